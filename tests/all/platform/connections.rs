//! Connections of callers.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use trefoil_soak::{Fleet, read_answer, upstream_spec};
use trefoil_standin::UpstreamSpec;

/// Descriptors of the host. Half of them are for callers.
const DESCRIPTORS: u32 = 64;

/// Callers that open a connection and send nothing.
const IDLE_CALLERS: usize = 60;

/// Longest time until a new caller is answered. It connects at once, and waits for less than a
/// second for the answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Guards against callers without requests that use up the descriptors of a host, and against the
/// loss of other callers when it closes their connections.
#[test]
fn idle_callers_leave_connections_to_others() {
    let spec = UpstreamSpec {
        service_time: Duration::from_millis(300),
        ..upstream_spec("p1", "plain")
    };
    let mut fleet = Fleet::new(super::program(), vec![spec]);
    fleet.start_unread_host(&format!("descriptors: {DESCRIPTORS}\n"));
    fleet.wait_until_served(0, "/read/x", "");
    let host = &fleet.hosts[0];
    let mut kept = TcpStream::connect(host.caller_address).expect("connected");
    let mut ask = || {
        let request = "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: kept\r\n\r\n";
        kept.write_all(request.as_bytes()).expect("it is open");
        read_answer(&mut kept).expect("an answer")
    };
    ask();
    let idle: Vec<TcpStream> = (0..IDLE_CALLERS)
        .map(|_| TcpStream::connect(host.caller_address).expect("connected"))
        .collect();
    let begun = Instant::now();
    thread::scope(|scope| {
        let new = scope.spawn(|| host.get("new", "/read/x", ""));
        while !new.is_finished() {
            ask();
        }
        let answer = new.join().expect("no panic").expect("an answer");
        assert_eq!(answer.status, 200, "{}", answer.head);
    });
    assert!(begun.elapsed() < ANSWER_TIME, "{:?}", begun.elapsed());
    let open = host.sum_metric("trefoil_connections", "");
    // One more for the metrics themselves.
    assert!(open <= f64::from(DESCRIPTORS / 2 + 1), "{open}");
    drop(idle);
}
