//! Plans that wait after a dispatcher was taken over.

use std::time::Duration;

use trefoil_core::{HostId, Tick};
use trefoil_daemon::planner::takeovers::Takeovers;

use super::world::upstream;

fn at(s: u64) -> Tick {
    Tick::default().after(Duration::from_secs(s))
}

/// Guards against shards that nobody serves for the longest time of a request, because they are
/// moved on right after a dispatcher has taken over, and against plans that wait without a reason.
#[test]
fn a_takeover_counts_for_the_longest_time_of_a_request() {
    let mut takeovers = Takeovers::default();
    let (first, second) = (HostId::random(), HostId::random());
    let (moved, other) = (upstream("offers-1"), upstream("offers-2"));
    let span = Duration::from_secs(30);
    let recent = |t: &Takeovers, now, name| t.is_recent(now, name, span);
    takeovers.note(at(0), [(moved.clone(), first), (other.clone(), first)]);
    assert!(!recent(&takeovers, at(1), &moved), "the first that is seen");
    takeovers.note(at(10), [(moved.clone(), second), (other.clone(), first)]);
    assert!(recent(&takeovers, at(10), &moved));
    assert!(!recent(&takeovers, at(10), &other));
    takeovers.note(at(20), [(moved.clone(), second)]);
    assert!(recent(&takeovers, at(39), &moved));
    assert!(!recent(&takeovers, at(40), &moved));
}
