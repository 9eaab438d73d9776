//! Changes of the upstreams in the directory.

use slog::info;
use trefoil_core::Tick;
use trefoil_directory::{Change, Incarnation, Phase, Registration, Tag};

use super::Host;
use crate::freshness::Source;
use crate::message::{ChangeItem, Removal};
use crate::request_log::age_ms;

impl Host {
    /// Applies changes of the directory, which come from `source`.
    pub fn apply_changes(&self, changes: Vec<Change>, source: Source) {
        if changes.is_empty() {
            return;
        }
        let now = self.now();
        self.directory_changed.set(now);
        for change in changes {
            self.apply_change(now, &change, source);
            let item = match &change {
                Change::Joined(r) | Change::Updated(r) => ChangeItem::Set(r.as_ref().clone()),
                Change::Removed(r) => ChangeItem::Gone(Removal {
                    incarnation: r.incarnation.clone(),
                    sequence: Some(r.sequence),
                }),
            };
            // The first directory of a process is no news. It can be hundreds of datagrams for
            // each host, which copies it if it has another one.
            if self.has_directory() {
                self.changes.borrow_mut().add(now, item);
            }
        }
        self.expire_changes(now);
        let count = self.directory.borrow().len();
        self.metrics
            .upstreams
            .set(i64::try_from(count).unwrap_or(i64::MAX));
        self.events.directory.notify(usize::MAX);
    }

    fn apply_change(&self, now: Tick, change: &Change, source: Source) {
        let mut balancer = self.balancer.borrow_mut();
        match change {
            Change::Joined(r) => {
                self.log_upstream("joined", r, source);
                balancer.reset(Tag::of(&r.incarnation.name));
                self.limits
                    .borrow_mut()
                    .remove(Tag::of(&r.incarnation.name));
                balancer.register(now, r, r.phase == Phase::Ready);
            }
            Change::Updated(r) => {
                self.log_upstream("updated", r, source);
                let ready = r.phase == Phase::Ready && !self.is_displaced(&r.incarnation);
                balancer.register(now, r, ready);
            }
            Change::Removed(r) => {
                self.log_upstream("gone", r, source);
                self.displaced.borrow_mut().remove(&r.incarnation);
                balancer.remove(Tag::of(&r.incarnation.name));
                self.limits
                    .borrow_mut()
                    .remove(Tag::of(&r.incarnation.name));
                self.pool.borrow_mut().close(r.address);
            }
        }
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
    pub(crate) fn displace(&self, registration: &Registration) {
        if self
            .displaced
            .borrow_mut()
            .insert(registration.incarnation.clone())
        {
            self.log_upstream("displaced", registration, Source::Upstream);
            let now = self.now();
            self.balancer
                .borrow_mut()
                .register(now, registration, false);
            self.events.directory.notify(usize::MAX);
        }
    }

    /// Returns `true` if another upstream has taken the address of this one.
    pub(crate) fn is_displaced(&self, incarnation: &Incarnation) -> bool {
        self.displaced.borrow().contains(incarnation)
    }

    /// Returns `true` if the upstream is still listed as ready.
    pub(crate) fn accepts_requests(&self, target: &Registration) -> bool {
        let directory = self.directory.borrow();
        let known = directory.get(&target.incarnation.name);
        known.is_some_and(|r| r.incarnation == target.incarnation && r.phase == Phase::Ready)
            && !self.is_displaced(&target.incarnation)
    }
}
