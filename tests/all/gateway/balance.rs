//! Selection of an upstream.

use std::time::Duration;

use trefoil_balance::{Balancer, Choice, Estimate, Requirement, Tally};
use trefoil_core::{Slots, Tick, UnixMillis};
use trefoil_directory::{Incarnation, Phase, Registration, Tag};

const SERVICE: &str = "orders";

/// Number of observations that makes an estimate certain.
const CERTAIN: f64 = 1000.0;

fn at(ms: u64) -> Tick {
    Tick::default().after(Duration::from_millis(ms))
}

fn registration(name: &str, domain: &str) -> Registration {
    Registration {
        incarnation: Incarnation {
            name: name.parse().expect("a name"),
            started: UnixMillis(1),
        },
        sequence: 1,
        service: SERVICE.parse().expect("a name"),
        address: "192.0.2.1:1".parse().expect("an address"),
        domain: domain.parse().expect("a name"),
        slots: Slots(2),
        phase: Phase::Ready,
        warmup: Duration::ZERO,
    }
}

/// A balancer in domain `a` with the given service times.
fn balancer(upstreams: &[(&str, &str, u64)]) -> Balancer {
    let mut balancer = Balancer::new("a".parse().expect("a name"));
    for (name, domain, ms) in upstreams {
        let registration = registration(name, domain);
        balancer.register(at(0), &registration, true);
        let time = Estimate::from_mean(at(0), Duration::from_millis(*ms), CERTAIN);
        let load = balancer.load_mut(Tag::of(&registration.incarnation.name));
        load.expect("it is registered").set_shared(time);
    }
    balancer
}

fn chosen(balancer: &Balancer, max_latency: Duration) -> Choice {
    let service = SERVICE.parse().expect("a name");
    balancer.choose(
        at(0),
        &service,
        Requirement { max_latency },
        &[],
        |_| Ok(()),
    )
}

fn upstream(name: &str) -> Choice {
    Choice::Upstream(Tag::of(&name.parse().expect("a name")))
}

/// Guards against traffic between failure domains for answers that are in time without it.
#[test]
fn a_local_upstream_is_preferred_if_it_answers_in_time() {
    let balancer = balancer(&[("near", "a", 300), ("far", "b", 200)]);
    let max_latency = Duration::from_secs(1);
    assert_eq!(chosen(&balancer, max_latency), upstream("near"));
}

/// Guards against late answers because the request stays in its own failure domain.
#[test]
fn a_remote_upstream_is_chosen_if_the_local_one_is_likely_late() {
    let balancer = balancer(&[("near", "a", 700), ("far", "b", 200)]);
    let max_latency = Duration::from_secs(1);
    assert_eq!(chosen(&balancer, max_latency), upstream("far"));
    // With less time left, a smaller difference decides.
    let balancer = self::balancer(&[("near", "a", 300), ("far", "b", 200)]);
    let max_latency = Duration::from_millis(350);
    assert_eq!(chosen(&balancer, max_latency), upstream("far"));
}

/// Guards against a relay that keeps the estimates of all upstreams that were ever reported.
#[test]
fn estimates_of_upstreams_that_are_gone_are_forgotten() {
    let mut tally = Tally::default();
    for second in 0..1000 {
        let now = at(u64::from(second) * 1000);
        let time = Estimate::from_mean(now, Duration::from_millis(100), 1.0);
        tally.set_open(now, "reporter", Vec::new());
        tally.add_times(now, "reporter", vec![(Tag(second), time)]);
        tally.expire(now);
    }
    let kept = tally.times(at(1_000_000)).len();
    assert!(kept < 200, "{kept} estimates kept");
}
