//! Exit of a process whose lease has ended.

use super::deployment::Deployment;
use trefoil_soak::eventually;

/// Guards against another exit code after the end of a lease. A supervisor must be able to tell it
/// from unusable settings, because a restart helps only after the end of a lease.
#[test]
fn a_process_without_witnesses_exits_with_75() {
    let mut deployment = Deployment::new();
    deployment.upstream("offers-1", "a", &[]);
    for (name, domain) in [
        ("host-1", "a"),
        ("host-2", "a"),
        ("host-3", "b"),
        ("host-4", "b"),
    ] {
        deployment.daemon(name, domain);
    }
    let (status, verdict) = deployment.publish("host-1", &deployment.resource(false), 0);
    assert!(status.is_success(), "{verdict}");
    let serves = |d: &Deployment| d.get("host-1", "/offers/c-1").outcome == "done";
    eventually("host-1 serves", || serves(&deployment).then_some(()));
    for name in ["host-2", "host-3", "host-4"] {
        deployment.daemons.remove(name);
    }
    let mut last = deployment.daemons.remove("host-1").expect("host-1 runs");
    assert_eq!(last.process.wait().code(), Some(75));
}
