//! Upstreams that are only silent or slow to report.

use std::thread;
use std::time::Duration;

use trefoil_soak::{Fleet, upstream_spec};
use trefoil_standin::UpstreamSpec;

/// Time for which the upstream works on a request.
const WORK: Duration = Duration::from_millis(900);

/// Guards against work that is given up, or started again elsewhere, because its upstream has
/// vanished from the registry for a while: silence says nothing about the work.
#[test]
fn an_upstream_that_is_missing_in_the_registry_finishes_its_work() {
    let spec = |name| UpstreamSpec {
        service_time: WORK,
        ..upstream_spec(name, "plain")
    };
    let mut fleet = Fleet::new(super::program(), vec![spec("p1"), spec("p2")]);
    fleet.start_host();
    fleet.wait_until_served(0, "/read/x", "");
    for (id, is_write) in [("w1", true), ("r1", false)] {
        let host = &fleet.hosts[0];
        let answer = thread::scope(|scope| {
            let waiting = scope.spawn(|| {
                if is_write {
                    host.post(id, "/write/x", "once")
                } else {
                    host.get(id, "/read/x", "")
                }
            });
            thread::sleep(WORK / 3);
            for name in ["p1", "p2"] {
                let removed = fleet.control_plane.remove_registration(name);
                removed.expect("removed");
            }
            waiting.join().expect("the caller ends")
        });
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200, "{answer:?}");
        let runs = fleet.recorder.runs();
        let runs = runs.iter().filter(|run| run.id == id);
        assert_eq!(runs.count(), 1, "{id} runs once");
    }
}
