//! Limits of upstreams that all hosts keep together.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use trefoil_balance::{Fleet, LimitReport, Limits, Statement, Usage};
use trefoil_core::{PerSecond, Tick};
use trefoil_directory::UpstreamId;

/// Time of one step of the model.
const STEP_MS: u64 = 25;

/// Steps between two reports.
const REPORT_STEPS: usize = 3;

/// Time until a report reaches the other hosts, in reports: 0.4 s.
const DELAY: usize = 5;

/// Seeds of the requests.
const SEEDS: std::ops::Range<u64> = 0..8;

/// Window in which an upstream counts, in steps.
const WINDOW: usize = 160;

/// Time from the first statement of the limit until it must be kept, in steps.
const SETTLE: usize = 120;

/// Length of a run, in steps.
const STEPS: usize = 1600;

const UPSTREAM: UpstreamId = UpstreamId(1);

fn at(step: usize) -> Tick {
    let ms = STEP_MS * u64::try_from(step).expect("in range");
    Tick(Duration::from_millis(10_000 + ms))
}

/// Runs hosts whose callers want `rate` requests a second of one upstream, and returns the requests
/// that it gets in each step. Reports of the hosts' sums arrive late.
fn run<F>(seed: u64, hosts: u32, limit: f64, connected: bool, rate: F) -> Vec<u32>
where
    F: Fn(usize) -> f64,
{
    let fleet = Fleet { hosts, connected };
    let stated = Statement {
        rate: Some(PerSecond(limit)),
        at: at(0),
    };
    let mut random = StdRng::seed_from_u64(seed);
    let mut all: Vec<Limits> = (0..hosts).map(|_| Limits::default()).collect();
    let mut late: VecDeque<Vec<Usage>> = VecDeque::new();
    let mut arrivals = Vec::new();
    for step in 0..STEPS {
        let now = at(step);
        let wanted = rate(step) * Duration::from_millis(STEP_MS).as_secs_f64();
        let mut sent = 0;
        for host in &mut all {
            if step == 0 {
                host.record_answer(now, UPSTREAM, now, stated.rate);
            }
            let wants = random.random::<f64>() < wanted / f64::from(hosts);
            if wants && host.admit(now, UPSTREAM, fleet, random.random()).is_ok() {
                host.record_sent(now, UPSTREAM);
                sent += 1;
            }
        }
        arrivals.push(sent);
        if !connected || step % REPORT_STEPS != 0 {
            continue;
        }
        let usage = |host: &mut Limits| {
            let own = host.own_reports(now);
            own.get(&UPSTREAM)
                .map(|report| report.usage)
                .unwrap_or_default()
        };
        let sums: Vec<Usage> = all.iter_mut().map(usage).collect();
        late.push_back(sums);
        if late.len() <= DELAY {
            continue;
        }
        let reports = late.pop_front().unwrap_or_default();
        let all_sent = reports.iter().map(|own| own.sent).sum::<u32>();
        let all_wanted = reports.iter().map(|own| own.wanted).sum::<u32>();
        for (host, own) in all.iter_mut().zip(&reports) {
            let usage = Usage {
                sent: all_sent - own.sent,
                wanted: all_wanted - own.wanted,
            };
            let stated = None;
            host.record_others(now, UPSTREAM, LimitReport { usage, stated });
        }
    }
    arrivals
}

/// All pairs of a number of hosts and a limit.
fn cases(hosts: &[u32], limits: &[f64]) -> Vec<(u32, f64)> {
    let pairs = hosts.iter().flat_map(|h| limits.iter().map(|l| (*h, *l)));
    pairs.collect()
}

/// The most requests in a window after the limit must be kept.
fn most(arrivals: &[u32]) -> u32 {
    let windows = arrivals[SETTLE..].windows(WINDOW);
    windows.map(|w| w.iter().sum()).max().unwrap_or_default()
}

/// What the upstream may get in a window: one and a half times its limit, and 5 requests.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * 4.0 + 5.0
}

/// Guards against hosts that each keep to a limit and exceed it together, and against hosts that
/// leave much of it unused.
#[test]
fn many_hosts_keep_to_a_limit_together() {
    for seed in SEEDS {
        for (hosts, limit) in cases(&[1, 3, 12, 89], &[1.3, 4.0, 8.5, 40.0]) {
            for factor in [2.0, 10.0] {
                let arrivals = run(seed, hosts, limit, true, |_| limit * factor);
                let name = format!("{hosts} hosts, limit {limit}, wanted {factor} times, {seed}");
                let most = f64::from(most(&arrivals));
                assert!(most <= allowed(limit), "{name}: {most}");
                let total: u32 = arrivals[SETTLE..].iter().sum();
                let seconds = Duration::from_millis(STEP_MS).as_secs_f64() * 1480.0;
                let used = f64::from(total) / seconds / limit;
                assert!((0.7..1.35).contains(&used), "{name}: {used} of the limit");
            }
        }
    }
}

/// Guards against a burst that reaches an upstream before hosts know of each other's requests.
#[test]
fn a_sudden_rise_keeps_to_the_limit() {
    for seed in SEEDS {
        for (hosts, limit) in cases(&[3, 12, 89], &[4.0, 8.5, 40.0]) {
            let rise = |step: usize| if step < 800 { limit * 0.8 } else { limit * 4.0 };
            let most = f64::from(most(&run(seed, hosts, limit, true, rise)));
            assert!(most <= allowed(limit), "{hosts} hosts, {limit}: {most}");
        }
    }
}

/// Guards against hosts that hear nothing of each other and each use up the whole limit.
#[test]
fn hosts_that_hear_nothing_of_each_other_keep_to_a_limit() {
    for seed in SEEDS {
        for (hosts, limit) in cases(&[3, 12], &[4.0, 8.5]) {
            let most = f64::from(most(&run(seed, hosts, limit, false, |_| limit * 3.0)));
            assert!(most <= allowed(limit), "{hosts} hosts, {limit}: {most}");
        }
    }
}

/// Guards against a limit that an answer ends which was written before the limit, and against one
/// that never ends.
#[test]
fn a_limit_ends_with_answers_to_later_requests() {
    let mut limits = Limits::default();
    let rate = Some(PerSecond(2.0));
    assert!(limits.record_answer(at(10), UPSTREAM, at(5), rate));
    assert!(!limits.record_answer(at(12), UPSTREAM, at(9), None));
    assert_eq!(limits.rate(UPSTREAM), rate);
    assert!(limits.record_answer(at(20), UPSTREAM, at(11), None));
    assert_eq!((limits.rate(UPSTREAM), limits.count()), (None, 0));
    let older = Statement { rate, at: at(15) };
    let report = LimitReport {
        stated: Some(older),
        ..LimitReport::default()
    };
    assert!(!limits.record_others(at(21), UPSTREAM, report));
    assert_eq!(limits.rate(UPSTREAM), None);
    limits.record_answer(at(30), UPSTREAM, at(25), rate);
    limits.remove(UPSTREAM);
    assert_eq!(limits.rate(UPSTREAM), None);
}
