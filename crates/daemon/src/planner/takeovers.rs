//! Upstreams whose dispatcher was taken over a short while ago.
//!
//! A dispatcher that takes over has received again what its predecessor had received. It cannot
//! release such a shard before the longest request of its predecessor must have ended, so a shard
//! that is moved on before is served by nobody for that time. What only improves balance therefore
//! waits until then.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::{HostId, Tick, UpstreamName};

/// Who dispatches an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatched {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The host of its dispatcher.
    pub host: HostId,
    /// Whether another host was assigned before.
    pub replaced: bool,
}

/// Dispatchers of upstreams, and when each took over.
#[derive(Debug, Default)]
pub struct Takeovers {
    seen: BTreeMap<UpstreamName, (HostId, Option<Tick>)>,
}

impl Takeovers {
    /// Notes which host dispatches each upstream at `now`. One that is seen for the first time and
    /// has replaced another may have done so a moment ago.
    pub fn note<I>(&mut self, now: Tick, dispatchers: I)
    where
        I: IntoIterator<Item = Dispatched>,
    {
        for dispatched in dispatchers {
            let host = dispatched.host;
            let since = dispatched.replaced.then_some(now);
            let known = self.seen.entry(dispatched.upstream);
            let known = known.or_insert((host, since));
            if known.0 != host {
                *known = (host, Some(now));
            }
        }
    }

    /// Whether the dispatcher of an upstream was taken over less than `span` before `now`.
    pub fn is_recent(&self, now: Tick, upstream: &UpstreamName, span: Duration) -> bool {
        let since = self.seen.get(upstream).and_then(|(_, since)| *since);
        since.is_some_and(|since| now.since(since) < span)
    }
}
