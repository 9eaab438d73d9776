//! Changes of the upstreams in the directory.

use std::net::SocketAddr;

use slog::info;
use trefoil_core::Tick;
use trefoil_directory::{Change, Phase, Registration, Upstream, UpstreamId};

use super::Host;
use crate::freshness::Source;
use crate::message::{ChangeItem, Removal};
use crate::pool::{IDLE_LINKS_MAX, Traffic, UpstreamLink};
use crate::request_log::age_ms;

/// Divisor of the connections that an upstream accepts which gives the part for idle ones.
const IDLE_PART: u32 = 2;

impl Host {
    /// Applies changes of the directory, which come from `source`.
    pub fn apply_changes(&self, changes: Vec<Change>, source: Source) {
        let changes = self.without_renewals(changes, source);
        if changes.is_empty() {
            return;
        }
        let now = self.now();
        self.directory_changed.set(now);
        for change in changes {
            self.apply_change(now, &change, source);
            let item = match &change {
                Change::Joined { upstream, .. }
                | Change::Updated(upstream)
                | Change::Renewed(upstream) => {
                    ChangeItem::Set(upstream.registration.as_ref().clone())
                }
                Change::Removed(Upstream { registration, .. }) => ChangeItem::Gone(Removal {
                    incarnation: registration.incarnation.clone(),
                    sequence: Some(registration.sequence),
                }),
            };
            // The first directory of a process is no news. It can be hundreds of datagrams for
            // each host, which copies it if it has another one.
            if self.has_directory() {
                self.changes.borrow_mut().add(now, item);
            }
        }
        self.forget_evacuated_services();
        self.expire_changes(now);
        let count = self.directory.borrow().len();
        self.metrics
            .upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        self.events.directory.notify(usize::MAX);
    }

    fn apply_change(&self, now: Tick, change: &Change, source: Source) {
        match change {
            Change::Joined { upstream, former } => {
                let r = &upstream.registration;
                self.log_upstream("joined", r, source);
                if let Some(former) = former {
                    self.forget_run(*former);
                }
                let ready = self.is_member(upstream);
                self.balancer.borrow_mut().register(now, upstream, ready);
                self.presume_cold(upstream);
            }
            Change::Updated(upstream) | Change::Renewed(upstream) => {
                let r = &upstream.registration;
                self.log_upstream("updated", r, source);
                let ready = self.is_member(upstream);
                self.balancer.borrow_mut().register(now, upstream, ready);
            }
            Change::Removed(upstream) => {
                let r = &upstream.registration;
                self.log_upstream("gone", r, source);
                self.forget_run(upstream.id);
                self.pool.borrow_mut().close(r.address);
            }
        }
    }

    /// Drops all that is known of a run that has ended.
    fn forget_run(&self, id: UpstreamId) {
        self.displaced.borrow_mut().remove(&id);
        self.balancer.borrow_mut().remove(id);
        self.limits.borrow_mut().remove(id);
    }

    /// Logs and counts a change of an upstream.
    fn log_upstream(&self, event: &'static str, r: &Registration, source: Source) {
        self.metrics.record_change(event, source);
        info!(self.log, "upstream changed"; "change" => event, "upstream" => %r.incarnation.name, "born" => r.incarnation.started.0,
            "service" => %r.service, "address" => %r.address, "domain" => %r.domain,
            "phase" => %r.phase, "sequence" => r.sequence, "source" => %source,
            "directory_age_ms" => age_ms(self.now(), self.directory_freshness.as_of()));
    }

    /// Records that another upstream answers at the address of this one. So it has ended, although
    /// the directory still lists it.
    pub(crate) fn displace(&self, upstream: &Upstream) {
        let listed = self.directory.borrow().by_id(upstream.id).is_some();
        if listed && self.displaced.borrow_mut().insert(upstream.id) {
            self.log_upstream("displaced", &upstream.registration, Source::Upstream);
            let now = self.now();
            self.balancer.borrow_mut().register(now, upstream, false);
            self.forget_evacuated_services();
            self.events.directory.notify(usize::MAX);
        }
    }

    /// Most idle connections to an upstream. All hosts together leave half of the connections that
    /// it accepts to requests in progress; beyond its limit it resets new ones.
    fn idle_links_max(&self, now: Tick, id: UpstreamId) -> usize {
        let directory = self.directory.borrow();
        let router = self.router();
        let service = directory.by_id(id).map(|u| &u.registration.service);
        let accepted = service
            .zip(router.as_ref())
            .and_then(|(name, router)| router.service(name))
            .map(|service| service.max_connections);
        let hosts = self.peers.borrow().all_hosts(now).max(1);
        accepted.map_or(IDLE_LINKS_MAX, |accepted| {
            usize::try_from(accepted / IDLE_PART / hosts).map_or(IDLE_LINKS_MAX, |most| most.max(1))
        })
    }

    /// Keeps a connection to an upstream for the next request, if it can carry one.
    pub(crate) fn keep_link(
        &self,
        now: Tick,
        id: UpstreamId,
        from: (SocketAddr, Traffic),
        link: UpstreamLink,
    ) {
        let most = self.idle_links_max(now, id);
        let keeps = self.pool.borrow_mut().put_within(now, from, link, most);
        if keeps && let Some(load) = self.balancer.borrow_mut().load_mut(id) {
            load.record_idle(now);
        }
    }

    /// Returns `true` if another upstream has taken the address of this one.
    pub(crate) fn is_displaced(&self, id: UpstreamId) -> bool {
        self.displaced.borrow().contains(&id)
    }

    /// Returns `true` if the upstream is still listed as ready, in the service for which it was
    /// selected, and not in an evacuated domain.
    pub(crate) fn accepts_requests(&self, target: &Upstream) -> bool {
        let directory = self.directory.borrow();
        let selected = &target.registration;
        let known = directory.by_id(target.id).map(|u| &u.registration);
        known.is_some_and(|r| r.phase == Phase::Ready && r.service == selected.service)
            && !self.is_displaced(target.id)
            && !self.withholds_requests(self.now(), selected)
    }
}
