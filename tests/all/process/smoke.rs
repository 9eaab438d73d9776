//! The smallest complete deployment: two daemons, a platform and two upstreams.

use std::collections::BTreeSet;

use bytes::Bytes;
use http::{Request, StatusCode};
use serde_json::Value;

use super::deployment::{Deployment, call};
use trefoil_soak::eventually;

fn owner(deployment: &Deployment, daemon: &str, key: &str) -> Option<String> {
    let answer = deployment.get(daemon, &format!("/offers/{key}"));
    let owned = answer.status == StatusCode::OK && answer.outcome == "done";
    owned.then(|| {
        answer
            .field("upstream")
            .as_str()
            .unwrap_or_default()
            .to_owned()
    })
}

/// Guards against hosts that disagree about the owner of a key, and against keys that have no owner
/// after the loss of an upstream.
#[test]
fn keys_are_served_by_their_owner_and_move_when_it_is_lost() {
    let mut deployment = Deployment::new();
    deployment.upstream("offers-1", "a", &["--fenced"]);
    deployment.upstream("offers-2", "b", &["--fenced"]);
    deployment.daemon("host-1", "a");
    deployment.daemon("host-2", "b");
    let resource = deployment.resource(true);
    let (status, verdict) = deployment.publish("host-1", &resource, 0);
    assert_eq!(status, StatusCode::OK, "{verdict}");

    let keys: Vec<_> = (0..40).map(|i| format!("customer-{i}")).collect();
    let mut owners = Vec::new();
    for key in &keys {
        let first = eventually("host-1 serves", || owner(&deployment, "host-1", key));
        let second = eventually("host-2 serves", || owner(&deployment, "host-2", key));
        assert_eq!(first, second, "both hosts send {key} to one owner");
        owners.push(first);
    }
    let used: BTreeSet<_> = owners.iter().collect();
    assert_eq!(used.len(), 2, "both upstreams own keys");

    deployment.upstreams.remove("offers-1");
    for (key, before) in keys.iter().zip(&owners) {
        for daemon in ["host-1", "host-2"] {
            let now = eventually("the key is served again", || {
                owner(&deployment, daemon, key)
            });
            assert_eq!(now, "offers-2", "{key} was owned by {before}");
        }
    }

    // Two joins, resource, first table, assignments of the second host, loss. An earlier fault let
    // a host that does not probe an upstream undo its loss, and the log grew by 60 records in 17 s.
    let request = Request::get("/v1/status")
        .body(Bytes::new())
        .expect("a request");
    let (_, status) = call(deployment.daemons["host-1"].operator, request);
    let status: Value = serde_json::from_str(&status).expect("a status");
    assert!(
        status["revision"].as_u64() <= Some(8),
        "few decisions: {status}"
    );
}
