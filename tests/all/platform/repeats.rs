//! Upstreams that send an earlier answer once more on a kept connection.

use std::time::{Duration, Instant};

use trefoil_soak::{Answer, Fleet, send_request, upstream_spec};
use trefoil_standin::{LATE_RELEASE, ResponseMode, UpstreamSpec, test_config};

/// One host in front of upstreams that own keys, with a route whose requests must not run twice.
fn keyed_fleet(specs: Vec<UpstreamSpec>) -> Fleet {
    let mut fleet = Fleet::new(super::program(), specs);
    let mut config = test_config(2);
    config["routes"]["order"] = config["routes"]["keyed"].clone();
    config["routes"]["order"]["pathPrefix"] = "/order/".into();
    config["routes"]["order"]["routeType"] = "non_idempotent".into();
    let written = fleet.control_plane.write_config(&config);
    written.expect("written");
    fleet.start_host();
    for key in ["0", "32768", "65535"] {
        fleet.wait_until_served(0, "/order/x", &format!("X-Shard-Key: {key}\r\n"));
    }
    fleet
}

/// Sends a POST with these header lines.
fn post(fleet: &Fleet, path: &str, headers: &str) -> Answer {
    let address = fleet.hosts[0].caller_address;
    let head = format!("Host: shop.example\r\nContent-Length: 2\r\n{headers}");
    let answer = send_request(address, &format!("POST {path} HTTP/1.1\r\n{head}\r\nhi"));
    answer.expect("an answer")
}

fn runs(fleet: &Fleet, id: &str) -> usize {
    fleet.recorder.run_counts().get(id).copied().unwrap_or(0)
}

/// Guards against an earlier refusal of the same request that is taken for the answer to its next
/// attempt, while the upstream runs that.
#[test]
fn a_repeated_refusal_does_not_end_the_next_attempt() {
    let fleet = keyed_fleet(vec![upstream_spec("k1", "keys")]);
    let refusing = ResponseMode::RepeatRefusal;
    fleet.upstream("k1").set_response_mode(refusing);
    let mut served = 0;
    for number in 0..10 {
        let id = format!("o{number}");
        let headers = format!("X-Request-Id: {id}\r\nX-Shard-Key: 5\r\nX-Deadline-Ms: 400\r\n");
        let answer = post(&fleet, "/order/x", &headers);
        let runs = runs(&fleet, &id);
        match answer.status {
            200 => assert_eq!((runs, answer.body), (1, format!("k1 ran {id}"))),
            503 => assert_eq!(runs, 0, "{id} was refused and ran"),
            _ => assert!(runs <= 1, "{id} ran {runs} times"),
        }
        served += usize::from(answer.status == 200);
    }
    assert!(served > 0, "connections that carried a refusal are reused");
}

/// Guards against a refusal of another request that is taken for the answer to a request without
/// an id, with which no answer can be matched.
#[test]
fn a_repeated_refusal_does_not_end_a_request_without_an_id() {
    let mut fleet = Fleet::new(super::program(), vec![upstream_spec("p1", "plain")]);
    fleet.start_host();
    fleet.wait_until_served(0, "/read/x", "");
    let refusing = ResponseMode::RepeatRefusal;
    fleet.upstream("p1").set_response_mode(refusing);
    for number in 0..5 {
        let before = runs(&fleet, "");
        post(&fleet, "/write/x", &format!("X-Request-Id: n{number}\r\n"));
        let answer = post(&fleet, "/write/x", "");
        let runs = runs(&fleet, "") - before;
        assert!(runs <= 1, "{runs} runs");
        assert!(answer.status != 503 || runs == 0, "refused and ran");
    }
}

/// Guards against an earlier answer to a grant that is taken for the confirmation of a release: the
/// keys would be granted to another upstream while the former owner still runs requests on them.
#[test]
fn a_repeated_answer_does_not_confirm_a_release() {
    let mut fleet = keyed_fleet(vec![upstream_spec("k1", "keys")]);
    let repeating = ResponseMode::RepeatOrderAnswer;
    fleet.upstream("k1").set_response_mode(repeating);
    // Some grants, so that their connections have carried an order in this mode.
    std::thread::sleep(Duration::from_secs(3));
    fleet.start_upstream(upstream_spec("k2", "keys"));
    let begun = Instant::now();
    let mut number = 0;
    let mut moved = false;
    while begun.elapsed() < LATE_RELEASE * 4 {
        let key = number * 257 % 65536;
        let id = format!("m{number}");
        let headers = format!("X-Shard-Key: {key}\r\nX-Deadline-Ms: 100\r\n");
        let answer = fleet.hosts[0].get(&id, "/keyed/x", &headers);
        moved |= answer.is_some_and(|a| a.body.starts_with("k2 ran"));
        number += 1;
        std::thread::sleep(Duration::from_millis(5));
    }
    assert_eq!(fleet.recorder.violations(), Vec::<String>::new());
    assert!(moved, "keys were given to the new upstream");
}

/// Guards against orders that count as unanswered because their answers carry no id.
#[test]
fn answers_to_orders_need_no_id() {
    let fleet = keyed_fleet(vec![
        upstream_spec("k1", "keys"),
        upstream_spec("k2", "keys"),
    ]);
    for upstream in &fleet.upstreams {
        upstream.set_response_mode(ResponseMode::AnonymousOrders);
    }
    // Longer than a grant is valid.
    std::thread::sleep(Duration::from_secs(5));
    for number in 0..20 {
        let headers = format!("X-Shard-Key: {}\r\n", number * 3_000);
        let answer = fleet.hosts[0].get(&format!("a{number}"), "/keyed/x", &headers);
        assert_eq!(answer.map(|a| a.status), Some(200), "{headers}");
    }
    assert_eq!(fleet.recorder.violations(), Vec::<String>::new());
}

/// Guards against a new connection for each order, of which the users pay every one.
#[test]
fn orders_reuse_their_connections() {
    let specs = vec![upstream_spec("k1", "keys"), upstream_spec("k2", "keys")];
    let fleet = keyed_fleet(specs);
    let host = &fleet.hosts[0];
    let count = |name: &str, hop: &str| host.sum_metric(name, &format!("hop=\"{hop}\""));
    std::thread::sleep(Duration::from_secs(2));
    let hops = "trefoil_hop_seconds_count";
    let (orders, connects) = (count(hops, "order"), count(hops, "order_connect"));
    std::thread::sleep(Duration::from_secs(5));
    let (orders, connects) = (
        count(hops, "order") - orders,
        count(hops, "order_connect") - connects,
    );
    assert!(orders > 5.5, "{orders} orders");
    assert!(connects < 1.5, "{connects} connections for {orders} orders");
}
