//! Intervals derived from the bounds of a deployment.

use std::time::Duration;

use trefoil_gateway::Bounds;

/// Guards against a draining upstream that receives requests after the stated time because the
/// registry is read too rarely. With two readers, one of them always reads it in time.
#[test]
fn the_registry_is_read_in_time() {
    for drain in [500, 1000, 2000, 2500, 10_000] {
        let bounds = Bounds {
            drain: Duration::from_millis(drain),
            ..Bounds::default()
        };
        assert!(bounds.registry_pace(0) * 2 < bounds.drain, "{drain}");
        assert!(bounds.registry_pace(1) < bounds.drain, "{drain}");
        assert!(bounds.registry_pace(0) >= Duration::from_millis(100));
    }
}
