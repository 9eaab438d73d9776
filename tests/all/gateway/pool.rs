//! Idle connections to upstreams.

use std::net::TcpListener;
use std::time::Duration;

use super::support;
use trefoil_core::{SystemClock, Tick};
use trefoil_gateway::pool::{Pool, Traffic, connect};

/// Connections that the pool keeps.
const MAX: usize = 4;

/// Guards against idle connections to many upstreams that use up the descriptors.
#[test]
fn idle_connections_to_all_upstreams_are_limited() {
    let upstreams = [(); 3].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port"));
    let addresses = upstreams.map(|u| (u.local_addr().expect("bound"), u));
    let mut pool = Pool::new(MAX);
    let mut now = Tick(Duration::from_secs(1));
    support::block_on(async {
        for (address, _) in &addresses {
            for _ in 0..2 {
                let link = connect(&SystemClock, *address).await.expect("connected");
                pool.put(now, (*address, Traffic::Requests), link);
                now = now.after(Duration::from_millis(1));
            }
        }
    });
    let mut kept = addresses.each_ref().map(|(address, _)| {
        let taken = std::iter::from_fn(|| {
            pool.take(now, (*address, Traffic::Requests), Duration::MAX, None)
        });
        taken.count()
    });
    kept.reverse();
    assert_eq!(kept, [2, 2, 0], "the newest are kept");
}
