//! Upstreams of a domain whose evacuation has ended.
//!
//! The upstreams are cold when the record is removed, or have been for a short time, and their
//! registrations may say so up to 2 s later. So they are presumed to be cold for the span of their
//! service's warm-up. A registration that was written more than [`REPORT_DELAY`] after the removal
//! and says that its upstream is warm ends that earlier. Registrations have no time, so a host that
//! reads the registry compares their sequence numbers with those of a read that it has sent after
//! the delay. The other hosts, whose sequence numbers may be old, wait for the end of the span.

use std::collections::BTreeMap;
use std::time::Duration;

use smallvec::SmallVec;
use trefoil_balance::Load;
use trefoil_core::{DomainName, ServiceName, Tick};
use trefoil_directory::{Registration, Upstream, UpstreamId};

use crate::host::Host;

/// Time after the removal of a record in which a registration may be written that wrongly says that
/// its upstream is warm.
const REPORT_DELAY: Duration = Duration::from_secs(1);

/// A domain whose evacuation has ended.
#[derive(Debug)]
pub struct Return {
    /// When this host learned of it.
    since: Tick,
    /// End of the longest warm-up.
    until: Tick,
    /// Sequence numbers of the upstreams in a read of the registry that was sent after the delay.
    sequences: Option<BTreeMap<UpstreamId, u64>>,
}

impl Return {
    /// Creates the state of a domain whose return this host has learned of at `since`, and whose
    /// longest warm-up ends at `until`.
    pub fn new(since: Tick, until: Tick) -> Self {
        Self {
            since,
            until,
            sequences: None,
        }
    }

    /// Records a read of the registry that was sent at `as_of`, with the registrations of the
    /// domain. Returns the upstreams that have certainly warmed up.
    pub fn record_read<'a, I>(&mut self, as_of: Tick, listed: I) -> SmallVec<[UpstreamId; 8]>
    where
        I: Iterator<Item = (UpstreamId, &'a Registration)>,
    {
        if as_of < self.since.after(REPORT_DELAY) {
            return SmallVec::new();
        }
        let Some(sequences) = &self.sequences else {
            self.sequences = Some(listed.map(|(id, r)| (id, r.sequence)).collect());
            return SmallVec::new();
        };
        let is_later =
            |id: &UpstreamId, r: &Registration| sequences.get(id).is_some_and(|s| *s < r.sequence);
        let warm = listed.filter(|(id, r)| r.warmup.is_zero() && is_later(id, r));
        warm.map(|(id, _)| id).collect()
    }
}

impl Host {
    /// Presumes the upstreams of domains to be cold, whose evacuations have ended.
    pub(super) fn begin_returns(&self, now: Tick, domains: &[DomainName]) {
        let router = self.router();
        let services = router.iter().flat_map(|router| router.services());
        let spans = services.filter_map(|(_, s)| s.warmup.map(|w| w.span));
        let Some(longest) = spans.max().filter(|_| !domains.is_empty()) else {
            return;
        };
        let until = now.after(longest);
        let begun = domains.iter().cloned();
        let begun = begun.map(|d| (d, Return::new(now, until)));
        let mut state = self.evacuations.borrow_mut();
        // Hosts that do not read the registry do not check for the end of a return.
        state.returns.retain(|_, former| now < former.until);
        state.returns.extend(begun);
        drop(state);
        let directory = self.directory.borrow();
        // Upstreams of the other domains may have been confirmed to be warm.
        let upstreams = directory.iter().filter(|r| domains.contains(&r.domain));
        let upstreams = upstreams.map(|r| &r.incarnation.name);
        for upstream in upstreams.filter_map(|name| directory.upstream(name)) {
            self.presume_cold(upstream);
        }
    }

    /// Presumes an upstream to be cold if its domain has just returned.
    pub(crate) fn presume_cold(&self, upstream: &Upstream) {
        let state = self.evacuations.borrow();
        let registration = &upstream.registration;
        let begun = state.returns.get(&registration.domain);
        if let Some((begun, span)) = begun.zip(self.warmup_span(&registration.service)) {
            let until = begun.since.after(span);
            let mut balancer = self.balancer.borrow_mut();
            balancer.update_load(upstream.id, |load| load.presume_cold(until));
        }
    }

    fn warmup_span(&self, service: &ServiceName) -> Option<Duration> {
        let router = self.router()?;
        router.service(service)?.warmup.map(|warmup| warmup.span)
    }

    /// Ends the presumption for upstreams that have certainly warmed up. `as_of` is when this host
    /// sent the read of the registry that the directory contains.
    pub(crate) fn check_returns(&self, now: Tick, as_of: Tick) {
        let mut state = self.evacuations.borrow_mut();
        state.returns.retain(|_, begun| now < begun.until);
        if state.returns.is_empty() {
            return;
        }
        let directory = self.directory.borrow();
        let mut balancer = self.balancer.borrow_mut();
        for (domain, begun) in &mut state.returns {
            let own = directory.iter().filter(|r| r.domain == *domain);
            let own = own.filter_map(|r| Some((directory.id_of(&r.incarnation)?, r.as_ref())));
            for id in begun.record_read(as_of, own) {
                balancer.update_load(id, Load::confirm_warm);
            }
        }
    }
}
