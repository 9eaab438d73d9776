//! Which upstream a request is sent to.

use std::time::Duration;

use trefoil_balance::{Balancer, Choice, Estimate, Requirement};
use trefoil_core::{Slots, Tick, UnixMillis};
use trefoil_directory::{Incarnation, Phase, Registration, Tag};

const SERVICE: &str = "orders";

/// Observations that make an estimate certain.
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

/// A balancer in domain `a` that knows how long each upstream works on a request.
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
    balancer.choose(at(0), &service, Requirement { max_latency }, &[])
}

fn upstream(name: &str) -> Choice {
    Choice::Upstream(Tag::of(&name.parse().expect("a name")))
}

/// Guards against bytes between failure domains for answers that would be in time without them.
#[test]
fn an_answer_in_time_from_the_own_domain_is_as_good_as_an_earlier_one() {
    let balancer = balancer(&[("near", "a", 300), ("far", "b", 200)]);
    let max_latency = Duration::from_secs(1);
    assert_eq!(chosen(&balancer, max_latency), upstream("near"));
}

/// Guards against answers that are late because the request was kept in its own failure domain.
#[test]
fn an_answer_that_is_likely_late_is_sought_in_another_domain() {
    let balancer = balancer(&[("near", "a", 700), ("far", "b", 200)]);
    let max_latency = Duration::from_secs(1);
    assert_eq!(chosen(&balancer, max_latency), upstream("far"));
    // With less time left, a smaller difference decides.
    let balancer = self::balancer(&[("near", "a", 300), ("far", "b", 200)]);
    let max_latency = Duration::from_millis(350);
    assert_eq!(chosen(&balancer, max_latency), upstream("far"));
}
