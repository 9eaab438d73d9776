//! Ownership of shards at one upstream, and their handover between dispatchers.
//!
//! The handover is a pull protocol: the dispatcher of the new owner queries that of the previous
//! owner for releases until it has received all of them. The previous owner needs no state for this
//! besides its admission, and the protocol continues when either dispatcher role is taken over by
//! another host in the meantime.

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

/// Interval between two queries for releases.
const QUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a query to another host.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of shards in one query, so that it and its reply fit into a frame.
const QUERY_SHARDS_MAX: usize = 256;

/// A query for the releases of shards.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseQuery {
    /// The previous owner.
    pub from: UpstreamName,
    /// The new owner.
    pub to: UpstreamName,
    /// Revision of the sender's view.
    pub revision: Revision,
    /// The shards, each with the revision of the placement that moved it.
    pub shards: Vec<(Shard, Revision)>,
}

/// The release of one shard by its previous owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRelease {
    /// The shard.
    pub shard: Shard,
    /// Revision of the placement that moved it.
    pub revision: Revision,
    /// The memory of the request ids that were seen in the shard.
    pub handover: Handover,
}

impl Driver {
    /// Applies changes of the shard table.
    ///
    /// Several tasks call this concurrently, each with a view that it loaded earlier. A view older
    /// than the last one applied must have no effect: it would assign a shard again that was
    /// released, and two upstreams would serve it. The lock is held for the whole call, so that a
    /// call with an older view cannot interleave with one that has a newer view.
    ///
    /// The log is replayed in batches, and one batch may move a shard twice. Each placement is
    /// therefore applied in order. A dispatcher that applied only the last one would not require
    /// the release of the shard before the next owner may have it, and would report to that owner
    /// that no upstream owns the shard.
    pub(super) fn sync(&self, view: &View) {
        let mut synced = self.synced.lock().unwrap_or_else(PoisonError::into_inner);
        match *synced {
            Some(last) if view.placement < last => return,
            Some(last) => {
                for earlier in self.shared.placed_between(last, view.placement) {
                    self.apply_table(&earlier);
                }
            }
            // A driver that starts has no earlier state. An earlier dispatcher of this upstream may
            // already have received the shards that this one awaits, and may have run requests in
            // them.
            None => {
                self.apply_table(view);
                let mut inner = self.lock();
                inner.inherited = inner.awaited.keys().copied().collect();
            }
        }
        *synced = Some(view.placement);
        self.apply_table(view);
    }

    fn apply_table(&self, view: &View) {
        let Some(table) = view.tables.get(self.service()) else {
            return;
        };
        let mut inner = self.lock();
        let applied = inner.table.as_ref().is_some_and(|t| Arc::ptr_eq(t, table));
        if applied {
            return;
        }
        inner.table = Some(Arc::clone(table));
        drop(inner);
        let now = self.shared.clock.now();
        self.end_failover(table);
        for (shard, replicas) in (0..).map(Shard).zip(table.replica_sets()) {
            let owns = table.name(replicas.owner) == Some(self.name());
            let state = self.lock().admission.ownership().state(shard);
            if self.is_provisional(shard, table.name(replicas.owner)) || self.has_failed_over() {
                continue;
            }
            match state {
                ShardState::Released if owns => self.assign(view, now, shard),
                ShardState::Serving | ShardState::Awaiting if !owns => {
                    self.revoke(view, table, now, shard, replicas.owner);
                }
                ShardState::Releasing | ShardState::Relaying if owns => {
                    // The shard was assigned back before its release was complete. It can be
                    // assigned again only after the release, so the table is cleared to be applied
                    // again at the next tick.
                    self.lock().table = None;
                }
                _ => {}
            }
        }
    }

    /// Ends a failover without the log when a placement has removed the member from the table.
    fn end_failover(&self, table: &Table) {
        if self.has_failed_over() && table.member(self.name()).is_none() {
            self.failed_over.store(false, Ordering::SeqCst);
        }
    }

    /// Returns whether this upstream serves a shard as its standby while the log still names the
    /// upstream that has failed over as the owner.
    fn is_provisional(&self, shard: Shard, owner: Option<&UpstreamName>) -> bool {
        let mut inner = self.lock();
        let in_effect = inner.provisional.get(&shard) == owner && owner.is_some();
        if !in_effect {
            inner.provisional.remove(&shard);
        }
        in_effect
    }

    fn assign(&self, view: &View, now: Tick, shard: Shard) {
        let moved = view
            .moved
            .get(self.service())
            .and_then(|m| m.get(&shard))
            .copied();
        let table = view.tables.get(self.service());
        let from = moved.and_then(|m| table?.name(m.from));
        let origin = match moved {
            // If a new table is too large for one record, its later records assign shards that had
            // no owner before, so no upstream has to release them.
            Some(moved) if from.is_some_and(|f| f != self.name()) => Origin::Owner(moved.revision),
            _ if self.is_first() => Origin::New,
            _ => Origin::Predecessor(self.predecessor_end()),
        };
        let mut inner = self.lock();
        inner.taken_over.remove(&shard);
        inner.inherited.remove(&shard);
        // An earlier release by this dispatcher is kept until the next one replaces it: its
        // receiver may not have queried it yet, and must receive the shard before it can release it
        // again.
        match (origin, from) {
            (Origin::Owner(revision), Some(from)) => {
                inner.awaited.insert(shard, (from.clone(), revision));
            }
            _ => inner.granted_at = Tick::default(),
        }
        if let Err(e) = inner.admission.assign(now, shard, origin) {
            debug!(self.shared.logger, "shard not assigned";
                "upstream" => %self.name(), "error" => %e);
        }
    }

    fn revoke(&self, view: &View, table: &Table, now: Tick, shard: Shard, to: Member) {
        let Some(to) = table.name(to).cloned() else {
            return;
        };
        let moved = view.moved.get(self.service()).and_then(|m| m.get(&shard));
        let revision = moved.map_or(view.placement, |m| m.revision);
        let mut inner = self.lock();
        match inner.admission.revoke(now, shard, to, revision) {
            Ok(dropped) => inner.drop_waiters(dropped),
            Err(e) => {
                debug!(self.shared.logger, "shard not revoked";
                    "upstream" => %self.name(), "error" => %e);
            }
        }
    }

    /// Returns the releases that are available for a query of a new owner's dispatcher.
    pub(super) fn answer_query(&self, query: &ReleaseQuery) -> Vec<ShardRelease> {
        let view = self.shared.view();
        self.sync(&view);
        let now = self.shared.clock.now();
        let inner = self.lock();
        let predecessor_ended = now >= self.predecessor_end();
        let answer = |&(shard, revision): &(Shard, Revision)| {
            let state = inner.admission.ownership().state(shard);
            if inner.inherited.contains(&shard) && !predecessor_ended {
                return None;
            }
            let handover = match inner.released.get(&shard) {
                // A release by a failover without the log has the revision of the placement at that
                // time, and not that of the record which confirms the failover later.
                Some(release)
                    if release.revision == revision
                        || (release.to == query.to && state == ShardState::Released) =>
                {
                    release.handover.clone()
                }
                // This dispatcher never owned the shard. Requests of an earlier dispatcher have
                // ended after the longest possible time of a request.
                None if state == ShardState::Released && predecessor_ended => Handover {
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
            .take(QUERY_SHARDS_MAX)
            .filter_map(answer)
            .collect()
    }

    /// Returns the shards that wait for a release, by the upstream that must release them. A shard
    /// that was moved on in the meantime still waits for the release of its previous owner.
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

    /// Queries the missing releases periodically, for as long as the driver runs.
    pub(super) async fn collect_releases(self: Arc<Self>) {
        loop {
            let view = self.shared.view();
            for (from, mut shards) in self.awaited() {
                shards.truncate(QUERY_SHARDS_MAX);
                self.query_releases(&view, from, shards).await;
            }
            self.shared.clock.sleep(QUERY_INTERVAL).await;
        }
    }

    async fn query_releases(
        &self,
        view: &View,
        from: UpstreamName,
        shards: Vec<(Shard, Revision)>,
    ) {
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
                self.accept_releases(released).await;
                return;
            }
        }
    }

    fn local_releases(&self, query: &ReleaseQuery) -> Vec<ShardRelease> {
        let local = self
            .dispatchers
            .upgrade()
            .and_then(|d| d.driver(&query.from));
        local.map(|d| d.answer_query(query)).unwrap_or_default()
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
        let timeout = async {
            self.shared.clock.sleep(QUERY_TIMEOUT).await;
            None
        };
        // The timeout keeps a host that was lost recently from delaying the query to the next one.
        match call.or(timeout).await.map(|reply| decode::<Reply>(&reply)) {
            Some(Ok(Reply::Releases { shards })) => shards,
            _ => Vec::new(),
        }
    }

    /// Accepts releases. An upstream that checks fencing tokens must accept a grant of the shards
    /// first: it would refuse a request that is sent earlier, and a request that is not idempotent
    /// is not sent again under its id.
    async fn accept_releases(&self, released: Vec<ShardRelease>) {
        let _guard = self.granting.lock().await;
        let relaying = |r: &ShardRelease| {
            let inner = self.lock();
            inner.admission.ownership().state(r.shard) == ShardState::Relaying
        };
        // A shard that was moved on in the meantime is only relayed. It needs no grant, and a lost
        // upstream would never accept one.
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
            // The release may have been received before, by an earlier dispatcher of this upstream.
            // Its memory of request ids does not cover the requests that ran since, so it counts
            // only from the start of this dispatcher.
            if inner.inherited.contains(&shard) {
                handover.since = handover.since.max(self.started_at);
            }
            if let Ok(next) = inner
                .admission
                .receive_release(now, shard, revision, handover)
            {
                actions.push(next);
            }
        }
        if self.is_fenced() {
            // The grant is counted from now, which is later than the time at which it was sent.
            inner.admission.renew_grant(now);
        }
        for next in actions {
            inner.perform(next);
        }
        drop(inner);
        self.wake();
        info!(self.shared.logger, "shards received"; "upstream" => %self.name(), "count" => count);
    }

    /// Returns the service of the upstream.
    pub(super) fn service(&self) -> &ServiceName {
        &self.service
    }
}
