//! Upstreams that send bytes without end which are no answer.

use std::thread;
use std::time::{Duration, Instant};

use trefoil_standin::{ResponseMode, UpstreamSpec};

use trefoil_soak::{Fleet, upstream_spec};

/// Requests at the upstream at the same time.
const CONCURRENT: usize = 16;

/// Time limit of an order. The deadline in its request is 1.2 s.
const ANSWER_TIME: Duration = Duration::from_millis(1_700);

/// Time limit of a question about readiness.
const READY_TIME: Duration = Duration::from_secs(1);

/// Memory of a host of the smallest class, in KiB.
const MEMORY_KIB: u64 = 160 * 1024;

/// Sends concurrent orders to an upstream in this mode and returns how long the slowest answer and
/// the slowest answer about readiness took.
fn flood(mode: ResponseMode) -> (Fleet, Duration, Duration) {
    let spec = UpstreamSpec {
        slots: 32,
        ..upstream_spec("p1", "plain")
    };
    let mut fleet = Fleet::new(super::program(), vec![spec]);
    fleet.start_host();
    fleet.wait_until_served(0, "/read/x", "");
    fleet.upstream("p1").set_response_mode(mode);
    let host = &fleet.hosts[0];
    let order = |number: usize| {
        let begun = Instant::now();
        let answer = host.post(&format!("order-{number}"), "/write/x", "data");
        let status = answer.map(|a| a.status);
        assert!(matches!(status, Some(502 | 504)), "{mode:?}: {status:?}");
        begun.elapsed()
    };
    let (orders, ready) = thread::scope(|scope| {
        let orders: Vec<_> = (0..CONCURRENT)
            .map(|number| scope.spawn(move || order(number)))
            .collect();
        let mut ready = Duration::ZERO;
        while orders.iter().any(|order| !order.is_finished()) {
            let begun = Instant::now();
            assert!(host.is_ready(), "{mode:?}");
            ready = ready.max(begun.elapsed());
            thread::sleep(Duration::from_millis(10));
        }
        let times = orders.into_iter().map(|o| o.join().expect("no panic"));
        (times.max().unwrap_or_default(), ready)
    });
    (fleet, orders, ready)
}

/// Guards against a host that reads on until the deadline or beyond, or that is busy with one
/// upstream and answers nobody else.
#[test]
fn bytes_without_end_end_the_attempt() {
    for mode in [
        ResponseMode::EndlessHeads,
        ResponseMode::EndlessField,
        ResponseMode::EndlessBody,
    ] {
        let (fleet, orders, ready) = flood(mode);
        assert!(orders < ANSWER_TIME, "{mode:?}: answered after {orders:?}");
        assert!(ready < READY_TIME, "{mode:?}: ready after {ready:?}");
        fleet.upstream("p1").set_response_mode(ResponseMode::Normal);
        let answer = fleet.wait_until_served(0, "/read/again", "");
        assert_eq!(answer.status, 200, "{mode:?}");
    }
}

/// Guards against a host that runs out of memory because of heads that do not end.
#[test]
fn heads_without_end_do_not_fill_the_memory() {
    for mode in [ResponseMode::EndlessHeads, ResponseMode::EndlessField] {
        let (fleet, ..) = flood(mode);
        let peak = fleet.hosts[0].peak_memory_kib();
        assert!(peak < MEMORY_KIB, "{mode:?}: {peak} KiB");
    }
}

/// Guards against a host that runs out of memory because one upstream sends long bodies in many
/// answers at once.
#[test]
fn bodies_without_end_do_not_fill_the_memory() {
    let (fleet, ..) = flood(ResponseMode::EndlessBody);
    let peak = fleet.hosts[0].peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
}
