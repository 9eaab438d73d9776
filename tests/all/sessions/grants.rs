//! Upstreams that check grants.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::{Request, Response};
use hyper::body::Incoming;
use smol::net::TcpListener;
use trefoil_core::SystemClock;
use trefoil_dev::SampleUpstream;
use trefoil_dispatch::GRANT_PATH;
use trefoil_http::{Body, Limits, Server, Service};
use trefoil_log::Verdict;

use super::host::Hosts;
use trefoil_soak::eventually;

/// Delay of each grant.
const GRANT_DELAY: Duration = Duration::from_millis(300);

/// Upstream that receives grants with a delay.
#[derive(Debug)]
struct DelayedGrants(Arc<SampleUpstream>);

impl Service for DelayedGrants {
    fn handle(
        self: Arc<Self>,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<Body>> {
        async move {
            if request.uri().path() == GRANT_PATH {
                smol::Timer::after(GRANT_DELAY).await;
            }
            Arc::clone(&self.0).handle(peer, request).await
        }
        .boxed()
    }
}

/// Guards against requests that reach an upstream before the first grant of their shard. The
/// upstream would refuse them, and callers of a service that has just been added would receive 503.
#[test]
fn the_first_request_waits_for_the_first_grant() {
    let hosts = Hosts::start(&["a"]);
    let sample = SampleUpstream::new(
        "quotes-1".parse().expect("a name"),
        2,
        true,
        Duration::from_millis(1),
        Arc::new(SystemClock),
    );
    let upstream = Arc::new(DelayedGrants(Arc::new(sample)));
    let (_server, address) = smol::block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        (
            Server::serve(listener, Limits::default(), upstream),
            address,
        )
    });
    let resource = format!(
        "{}    - name: quotes
      key: {{ path: 1 }}
      methods: {{ idempotent: [GET], non-idempotent: [POST] }}
      fenced: true
      limits: {{ slots: 2, connections: 130 }}
      deadlines: {{ default: 5000, max: 10000, margin: 100 }}
      upstreams:
        - {{ name: quotes-1, address: \"{address}\", domain: a }}
",
        hosts.resource(&["a"])
    );
    // Publishing with base 0 conflicts with the first resource and thereby returns its revision.
    let Verdict::Conflict { current } = smol::block_on(hosts.publish(0, &resource)) else {
        panic!("the first resource is in force");
    };
    let verdict = smol::block_on(hosts.publish(current.0, &resource));
    assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    // Until the table of the new service is in force, the host answers without the upstream.
    let answer = eventually("the service is known", || {
        let mut caller = hosts.caller(0);
        caller.send(b"GET /quotes/k1 HTTP/1.1\r\nHost: h\r\n\r\n");
        let answer = caller.read_answer();
        let sent = answer.status() == 200 || answer.text().contains("refused");
        sent.then_some(answer)
    });
    assert_eq!(answer.status(), 200, "{}", answer.text());
}
