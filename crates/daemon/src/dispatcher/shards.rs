//! Which shards an upstream serves, and how they pass from one dispatcher to the next.
//!
//! The new owner's dispatcher asks the previous owner's dispatcher for its releases until it has
//! them all. Asking needs no state at the previous owner but that of its admission, and it also
//! works when either dispatcher was taken over in the meantime.

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use slog::{debug, info};
use trefoil_core::{HostId, Revision, ServiceName, Shard, Tick, UpstreamName};
use trefoil_dispatch::memory::Handover;
use trefoil_dispatch::{Origin, ShardState};
use trefoil_log::View;
use trefoil_placement::{Member, Table};
use trefoil_wire::{decode, encode};

use super::driver::Driver;
use crate::message::{Message, Reply};

/// Time between two questions for releases.
const ASK_EVERY: Duration = Duration::from_millis(100);

/// Time for a host to answer a question.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// Shards named in one question, so that it and its answer stay within a frame.
const ASK_MAX: usize = 256;

/// A question for the releases of shards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseQuery {
    /// The previous owner.
    pub from: UpstreamName,
    /// The new owner.
    pub to: UpstreamName,
    /// The sender's revision.
    pub revision: Revision,
    /// The shards, with the revision that moved each.
    pub shards: Vec<(Shard, Revision)>,
}

/// A release of one shard.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRelease {
    /// The shard.
    pub shard: Shard,
    /// Revision of the placement that moved it.
    pub revision: Revision,
    /// What the new owner must know about the shard's ids.
    pub handover: Handover,
}

impl Driver {
    /// Takes over changes of the shard table.
    ///
    /// Several tasks call this, each with a view that it loaded before. A view older than one that
    /// was taken over must have no effect: it would assign a shard again that was released, and two
    /// upstreams would serve it. The lock is held throughout, so that no older call goes on beside
    /// a newer one.
    ///
    /// Views are read in batches, and a shard may have been moved twice within one. Each placement
    /// is therefore taken over in its turn. A dispatcher that saw only the last one would not know
    /// that it has to receive the shard before the next owner may, and would tell that owner that
    /// nobody holds it.
    pub(super) fn sync(&self, view: &View) {
        let mut synced = self.synced.lock().unwrap_or_else(PoisonError::into_inner);
        match *synced {
            Some(last) if view.placement < last => return,
            Some(last) => {
                for between in self.shared.placement_views_between(last, view.placement) {
                    self.follow(&between);
                }
            }
            // A driver that starts has no earlier state. An earlier dispatcher of this upstream may
            // have received what it finds itself to own, and may have run requests since.
            None => {
                self.follow(view);
                let mut inner = self.lock();
                inner.inherited = inner.awaited.keys().copied().collect();
            }
        }
        *synced = Some(view.placement);
        self.follow(view);
    }

    fn follow(&self, view: &View) {
        let Some(table) = view.tables.get(self.service()) else {
            return;
        };
        let mut inner = self.lock();
        let known = inner.table.as_ref().is_some_and(|t| Arc::ptr_eq(t, table));
        if known {
            return;
        }
        inner.table = Some(Arc::clone(table));
        drop(inner);
        let now = self.shared.clock.now();
        self.end_failover(table);
        for (shard, replicas) in (0..).map(Shard).zip(table.replica_sets()) {
            let owns = table.name(replicas.owner) == Some(self.name());
            let hold = self.lock().admission.ownership().state(shard);
            if self.is_provisional(shard, table.name(replicas.owner)) || self.has_failed_over() {
                continue;
            }
            match hold {
                ShardState::Released if owns => self.assign(view, now, shard),
                ShardState::Serving | ShardState::Awaiting if !owns => {
                    self.revoke(view, table, now, shard, replicas.owner);
                }
                ShardState::Releasing | ShardState::Relaying if owns => {
                    // The shard came back before it was released. It is taken up again when the
                    // release is complete; until then the table must be looked at again.
                    self.lock().table = None;
                }
                _ => {}
            }
        }
    }

    /// A failover without the log ends when the log has taken the member out of the table.
    fn end_failover(&self, table: &Table) {
        if self.has_failed_over() && table.member(self.name()).is_none() {
            self.failed_over.store(false, Ordering::SeqCst);
        }
    }

    /// Whether a shard is served here as a recorded standby, and the log still names the upstream
    /// that has failed over.
    fn is_provisional(&self, shard: Shard, owner: Option<&UpstreamName>) -> bool {
        let mut inner = self.lock();
        let stands = inner.provisional.get(&shard) == owner && owner.is_some();
        if !stands {
            inner.provisional.remove(&shard);
        }
        stands
    }

    fn assign(&self, view: &View, now: Tick, shard: Shard) {
        let moved = view
            .owner_changes
            .get(self.service())
            .and_then(|m| m.get(&shard))
            .copied();
        let table = view.tables.get(self.service());
        let from = moved.and_then(|m| table?.name(m.from));
        let origin = match moved {
            // A shard of a new table that did not fit the first record had no owner before, so
            // there is nobody to release it.
            Some(moved) if from.is_some_and(|f| f != self.name()) => Origin::Owner(moved.revision),
            _ if self.is_first() => Origin::New,
            _ => Origin::Predecessor(self.predecessor_end()),
        };
        let mut inner = self.lock();
        inner.taken.remove(&shard);
        inner.inherited.remove(&shard);
        // The release that this dispatcher gave stays until the next one replaces it: its receiver
        // may not have asked yet, and has to receive the shard before it can give it back.
        match (origin, from) {
            (Origin::Owner(revision), Some(from)) => {
                inner.awaited.insert(shard, (from.clone(), revision));
            }
            _ => inner.granted = Tick::default(),
        }
        if let Err(e) = inner.admission.assign(now, shard, origin) {
            debug!(self.shared.logger, "shard not taken"; "upstream" => %self.name(), "error" => %e);
        }
    }

    fn revoke(&self, view: &View, table: &Table, now: Tick, shard: Shard, to: Member) {
        let Some(to) = table.name(to).cloned() else {
            return;
        };
        let moved = view
            .owner_changes
            .get(self.service())
            .and_then(|m| m.get(&shard));
        let revision = moved.map_or(view.placement, |m| m.revision);
        let mut inner = self.lock();
        match inner.admission.revoke(now, shard, to, revision) {
            Ok(dropped) => inner.drop_waiters(dropped),
            Err(e) => {
                debug!(self.shared.logger, "shard not revoked"; "upstream" => %self.name(), "error" => %e);
            }
        }
    }

    /// The releases that answer a question of a new owner's dispatcher.
    pub(super) fn released(&self, query: &ReleaseQuery) -> Vec<ShardRelease> {
        let view = self.shared.view();
        self.sync(&view);
        let now = self.shared.clock.now();
        let inner = self.lock();
        let settled = now >= self.predecessor_end();
        let answer = |&(shard, revision): &(Shard, Revision)| {
            let hold = inner.admission.ownership().state(shard);
            if inner.inherited.contains(&shard) && !settled {
                return None;
            }
            let handover = match inner.released.get(&shard) {
                // A failover without the log carries the placement's revision, not that of the
                // record which confirms it later.
                Some(release)
                    if release.revision == revision
                        || (release.to == query.to && hold == ShardState::Released) =>
                {
                    release.handover.clone()
                }
                // This dispatcher never held the shard. Requests of an earlier dispatcher have
                // ended once the longest of them would have.
                None if hold == ShardState::Released && settled => Handover {
                    since: self.shared.clock.unix(),
                    records: Vec::new(),
                },
                _ => return None,
            };
            Some(ShardRelease {
                shard,
                revision,
                handover,
            })
        };
        query
            .shards
            .iter()
            .take(ASK_MAX)
            .filter_map(answer)
            .collect()
    }

    /// The shards that wait for a release, by the upstream that must give it. A shard that was moved
    /// on in the meantime still waits for the release of the upstream that it was to come from.
    fn awaited(&self) -> BTreeMap<UpstreamName, Vec<(Shard, Revision)>> {
        let mut awaited = BTreeMap::<_, Vec<_>>::new();
        let mut inner = self.lock();
        let inner = &mut *inner;
        let ownership = inner.admission.ownership();
        inner.awaited.retain(|shard, _| {
            let state = ownership.state(*shard);
            matches!(state, ShardState::Awaiting | ShardState::Relaying)
        });
        for (&shard, (from, revision)) in &inner.awaited {
            let shards = awaited.entry(from.clone()).or_default();
            shards.push((shard, *revision));
        }
        awaited
    }

    /// Asks for the releases that are missing, for as long as the driver runs.
    pub(super) async fn collect_releases(self: Arc<Self>) {
        loop {
            let view = self.shared.view();
            for (from, mut shards) in self.awaited() {
                shards.truncate(ASK_MAX);
                self.ask(&view, from, shards).await;
            }
            self.shared.clock.sleep(ASK_EVERY).await;
        }
    }

    async fn ask(&self, view: &View, from: UpstreamName, shards: Vec<(Shard, Revision)>) {
        let revision = view.revision;
        let query = ReleaseQuery {
            from: from.clone(),
            to: self.name().clone(),
            revision,
            shards,
        };
        let hosts: Vec<HostId> = view
            .records
            .assignment(&from)
            .map(|a| a.hosts.iter().copied().collect())
            .unwrap_or_default();
        for host in hosts {
            let Some(record) = view.hosts.get(&host) else {
                continue;
            };
            let released = if host == self.shared.host.id {
                self.local_releases(&query)
            } else {
                self.remote_releases(record.addresses.peer, &query).await
            };
            if !released.is_empty() {
                self.take(released).await;
                return;
            }
        }
    }

    fn local_releases(&self, query: &ReleaseQuery) -> Vec<ShardRelease> {
        let local = self
            .siblings
            .upgrade()
            .and_then(|all| all.driver(&query.from));
        local.map(|d| d.released(query)).unwrap_or_default()
    }

    async fn remote_releases(
        &self,
        to: std::net::SocketAddr,
        query: &ReleaseQuery,
    ) -> Vec<ShardRelease> {
        let Ok(data) = encode(&Message::Releases {
            query: query.clone(),
        }) else {
            return Vec::new();
        };
        let call = async { self.peers.call(to, data).await.ok() };
        let late = async {
            self.shared.clock.sleep(ASK_TIMEOUT).await;
            None
        };
        // A host that was lost a moment ago must not keep the next one from being asked.
        match call.or(late).await.map(|reply| decode::<Reply>(&reply)) {
            Some(Ok(Reply::Releases { shards })) => shards,
            _ => Vec::new(),
        }
    }

    /// Takes releases. An upstream that checks fences gets its grant first: it would refuse a request
    /// that is sent before, and a request that is not idempotent is not sent again under its id.
    async fn take(&self, released: Vec<ShardRelease>) {
        let _turn = self.granting.lock().await;
        let relaying = |r: &ShardRelease| {
            let inner = self.lock();
            inner.admission.ownership().state(r.shard) == ShardState::Relaying
        };
        // A shard that was moved on in the meantime is only passed on. It needs no grant, and an
        // upstream that is lost would never take one.
        let (relayed, served): (Vec<_>, Vec<_>) = released.into_iter().partition(relaying);
        let mut released = relayed;
        if self.is_fenced() && !served.is_empty() {
            let mut shards = self.lock().admission.renew_grant(self.shared.clock.now());
            shards.extend(served.iter().map(|r| r.shard));
            if self.send_grant(&shards).await {
                released.extend(served);
            }
        } else {
            released.extend(served);
        }
        let now = self.shared.clock.now();
        let count = released.len();
        let mut actions = Vec::new();
        let mut inner = self.lock();
        for release in released {
            let ShardRelease {
                shard,
                revision,
                mut handover,
            } = release;
            // The release was given once, to the dispatcher of that time. What it says of the ids
            // that were seen ends where that dispatcher began to run requests of its own.
            if inner.inherited.contains(&shard) {
                handover.since = handover.since.max(self.began);
            }
            if let Ok(next) = inner
                .admission
                .receive_release(now, shard, revision, handover)
            {
                actions.push(next);
            }
        }
        if self.is_fenced() {
            // The shards count as granted from now on, which is later than the sending.
            inner.admission.renew_grant(now);
        }
        for next in actions {
            inner.perform(next);
        }
        drop(inner);
        self.wake();
        info!(self.shared.logger, "shards received"; "upstream" => %self.name(), "count" => count);
    }

    /// The service of the upstream.
    pub(super) fn service(&self) -> &ServiceName {
        &self.service
    }
}
