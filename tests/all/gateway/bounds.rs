//! What follows from the bounds of a deployment.

use std::time::Duration;

use trefoil_gateway::Bounds;

/// Guards against a registry that is read so seldom that an upstream which leaves still gets requests
/// after the stated time: with two readers, one of them always has it in time.
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
