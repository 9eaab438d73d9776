//! The delay of balancing plans after the takeover of a dispatcher role.

use std::time::Duration;

use trefoil_core::{HostId, Tick, UpstreamName};
use trefoil_daemon::planner::takeovers::{CurrentDispatcher, Takeovers};

use super::world::upstream;

fn at(s: u64) -> Tick {
    Tick::default().after(Duration::from_secs(s))
}

fn by(upstream: &UpstreamName, host: HostId, replaced: bool) -> CurrentDispatcher {
    CurrentDispatcher {
        upstream: upstream.clone(),
        host,
        replaced,
    }
}

/// Guards against shards that no upstream serves for the longest time of a request, because they
/// are moved right after a takeover, and against plans that wait after the first assignment.
#[test]
fn a_takeover_counts_for_the_longest_time_of_a_request() {
    let mut takeovers = Takeovers::default();
    let (first, second) = (HostId::random(), HostId::random());
    let (moved, other) = (upstream("offers-1"), upstream("offers-2"));
    let span = Duration::from_secs(30);
    let recent = |t: &Takeovers, now, name| t.is_recent(now, name, span);
    let begun = [by(&moved, first, false), by(&other, first, false)];
    takeovers.observe(at(0), begun);
    assert!(!recent(&takeovers, at(1), &moved), "the first assignment");
    let taken = [by(&moved, second, true), by(&other, first, false)];
    takeovers.observe(at(10), taken);
    assert!(recent(&takeovers, at(10), &moved));
    assert!(!recent(&takeovers, at(10), &other));
    takeovers.observe(at(20), [by(&moved, second, true)]);
    assert!(recent(&takeovers, at(39), &moved));
    assert!(!recent(&takeovers, at(40), &moved));
}

/// Guards against a planner that ignores a takeover before its first check of the view.
#[test]
fn a_takeover_before_the_first_check_counts() {
    let mut takeovers = Takeovers::default();
    let upstream = upstream("offers-1");
    takeovers.observe(at(5), [by(&upstream, HostId::random(), true)]);
    let span = Duration::from_secs(30);
    assert!(takeovers.is_recent(at(6), &upstream, span));
    assert!(!takeovers.is_recent(at(35), &upstream, span));
}
