//! Upstreams whose dispatcher role was taken over recently.
//!
//! A dispatcher that takes over inherits shards that its predecessor may already have received. It
//! cannot release them before the longest possible request of its predecessor has ended, so a shard
//! that is moved earlier is not served by any upstream for that time. Moves that only improve the
//! balance therefore wait until then.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::{HostId, Tick, UpstreamName};

/// The current dispatcher of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CurrentDispatcher {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The host that holds the dispatcher role.
    pub host: HostId,
    /// Set if another host held the role before.
    pub replaced: bool,
}

/// The dispatchers of upstreams and the times of their takeovers.
#[derive(Debug, Default)]
pub struct Takeovers {
    seen: BTreeMap<UpstreamName, (HostId, Option<Tick>)>,
}

impl Takeovers {
    /// Records the dispatcher of each upstream at `now`. A dispatcher that is seen for the first
    /// time and has replaced another counts as a takeover at `now`, because its time is not known.
    pub fn observe<I>(&mut self, now: Tick, dispatchers: I)
    where
        I: IntoIterator<Item = CurrentDispatcher>,
    {
        for current in dispatchers {
            let host = current.host;
            let since = current.replaced.then_some(now);
            let known = self.seen.entry(current.upstream);
            let known = known.or_insert((host, since));
            if known.0 != host {
                *known = (host, Some(now));
            }
        }
    }

    /// Returns whether the dispatcher role of an upstream was taken over less than `span` before
    /// `now`.
    pub fn is_recent(&self, now: Tick, upstream: &UpstreamName, span: Duration) -> bool {
        let since = self.seen.get(upstream).and_then(|(_, since)| *since);
        since.is_some_and(|since| now.since(since) < span)
    }
}
