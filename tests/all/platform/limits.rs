//! Upstreams that limit the requests they get.

use std::time::{Duration, Instant};

use trefoil_soak::{Fleet, eventually, upstream_spec};

/// Limit that the upstream names, in requests a second.
const LIMIT: f64 = 4.0;

/// Window in which it counts its requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Time from its first statement until the limit must be kept.
const SETTLE: Duration = Duration::from_secs(3);

/// Time for which callers send requests.
const LOAD: Duration = Duration::from_secs(12);

/// Time between two requests at each host.
const PAUSE: Duration = Duration::from_millis(80);

/// Guards against hosts that together send more requests than an upstream says that it takes.
#[test]
fn hosts_keep_to_the_limit_of_an_upstream_together() {
    let mut fleet = Fleet::new(super::program(), vec![upstream_spec("p1", "plain")]);
    for _ in 0..4 {
        fleet.start_host();
    }
    for host in 0..4 {
        fleet.wait_until_served(host, "/read/x", "");
    }
    fleet.upstream("p1").set_limit(Some(LIMIT));
    let begun = Instant::now();
    let fleet = &fleet;
    std::thread::scope(|scope| {
        for host in 0..4 {
            scope.spawn(move || {
                for number in 0.. {
                    if begun.elapsed() > LOAD {
                        return;
                    }
                    fleet.hosts[host].get(&format!("{host}-{number}"), "/read/x", "");
                    std::thread::sleep(PAUSE);
                }
            });
        }
    });
    let runs = fleet.recorder.runs();
    let starts: Vec<Duration> = runs
        .iter()
        .filter_map(|run| run.began.checked_duration_since(begun + SETTLE))
        .collect();
    let in_window = |from: &Duration| {
        let counted = starts
            .iter()
            .filter(|at| (*from..*from + WINDOW).contains(*at));
        counted.count()
    };
    let most = starts.iter().map(in_window).max().unwrap_or_default();
    // One and a half times the limit, and 5 requests.
    assert!(most <= 29, "{most} requests in 4 s");
    assert!(starts.len() > 24, "{} requests in 9 s", starts.len());
    fleet.upstream("p1").set_limit(None);
    eventually("the limit has ended", || {
        let answer = fleet.hosts[0].get("later", "/read/x", "");
        answer.filter(|answer| answer.status == 200)?;
        let limited = fleet.hosts[3].sum_metric("trefoil_limited_upstreams", "");
        (limited < 0.5).then_some(())
    });
}
