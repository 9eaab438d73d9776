//! Views from other hosts, for a host that cannot read the log.
//!
//! # Start
//!
//! A host that starts while the log is down, or whose next record the log no longer keeps, asks its
//! seeds which revision they serve and which is the highest they have learnt of. With answers from a
//! majority of the seeds in its settings it fetches the highest view in parts, and is current once
//! its view reaches all that it was told of. A seed that is itself starting does not answer, and
//! the host's own address, if it is in the list, counts as a seed without an answer. Without seeds
//! the host waits for the log.
//!
//! # Serving before joining
//!
//! Joining needs the log, and without it the host has no lease. It may serve as ingress only: it is
//! ranked for no upstream, witnesses nobody, and so sends nothing to an upstream. For a host that
//! has joined, the lease also bounds how long it may serve callers while it is cut off and misses
//! changes of configuration. Until it has joined, answers of a majority of the seeds take that
//! place, by the rule of the lease: each answer counts for `LEASE` from the moment the question was
//! sent, and the host serves callers only while a majority of answers counts. A host that has joined
//! once never falls back to this rule, so a host whose lease has ended does not serve.
//!
//! The rule bounds how stale an ingress is. It gives no authority, so it needs no witness and no
//! record: ownership and at-most-once execution are kept by the dispatchers.
//!
//! # Running hosts
//!
//! A host that has joined and cannot read the log fetches a newer view from any host that has one.
//! No majority is needed: until its view reaches the highest revision that it has learnt of, it
//! does not serve.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use slog::{info, warn};
use smallvec::SmallVec;
use trefoil_core::{Offset, Revision, Tick, WriterId};
use trefoil_lease::majority;
use trefoil_log::snapshot::split_view;
use trefoil_log::{FORMAT, SnapshotAssembler, SnapshotPart, View};
use trefoil_wire::{Peers, decode, encode};

use crate::message::{Message, Reply};
use crate::shared::{ReplayState, Shared};

/// Time between two rounds of questions, the same as between two heartbeats of a lease.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);

/// Time in which a host must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Hosts that a running host asks in one round.
const HOSTS_PER_TICK: usize = 8;

/// Split views that are kept for those who fetch them. A newer view does not end a fetch of the one
/// before.
const SPLIT_VIEWS_MAX: usize = 2;

/// A view's next offset and its parts.
type SplitView = (Offset, Arc<Vec<SnapshotPart>>);

/// Views that were split for other hosts.
#[derive(Debug, Default)]
pub struct SplitViews {
    views: Mutex<SmallVec<[SplitView; SPLIT_VIEWS_MAX]>>,
}

impl SplitViews {
    fn lock(&self) -> MutexGuard<'_, SmallVec<[SplitView; SPLIT_VIEWS_MAX]>> {
        self.views.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A part of the view with this digest, or the first part of `view`.
    fn part(&self, view: &View, digest: Option<[u8; 32]>, index: u32) -> Option<SnapshotPart> {
        let mut views = self.lock();
        let at = usize::try_from(index).ok()?;
        if let Some(digest) = digest {
            let has = |p: &SnapshotPart| p.digest == digest;
            let mut matching = views.iter().filter_map(|(_, parts)| parts.get(at));
            return matching.find(|p| has(p)).cloned();
        }
        if let Some((_, parts)) = views.iter().find(|(next, _)| *next == view.next) {
            return parts.first().cloned();
        }
        let parts = Arc::new(split_view(view).ok()?);
        let first = parts.first().cloned();
        if views.len() == SPLIT_VIEWS_MAX {
            views.remove(0);
        }
        views.push((view.next, parts));
        first
    }
}

/// Answers a question of another host. A host without a view of its own refuses.
pub fn answer_view_request(shared: &Shared, message: &Message) -> Reply {
    let refused = |reason: &str| Reply::Refused {
        reason: reason.to_owned(),
    };
    if !shared.is_synced() {
        return refused("this host is starting");
    }
    let view = shared.view();
    match message {
        Message::ViewStatus { sender } => {
            shared.observe_revision(*sender);
            Reply::ViewStatus {
                revision: view.revision,
                next: view.next,
                highest: shared.highest_known(),
            }
        }
        Message::ViewPart { digest, index } => {
            match shared.split_views.part(&view, *digest, *index) {
                Some(part) => Reply::ViewPart { part },
                None => refused("this host no longer has that view"),
            }
        }
        _ => refused("not a question about views"),
    }
}

/// What a host has told about its view.
#[derive(Debug, Clone, Copy)]
struct PeerView {
    address: SocketAddr,
    next: Offset,
}

/// Catches up from other hosts for as long as the process runs.
#[derive(Debug)]
pub struct CatchUp {
    shared: Arc<Shared>,
    peers: Arc<dyn Peers>,
    seeds: Vec<SocketAddr>,
    /// Time for which an answer counts.
    lease: Duration,
}

impl CatchUp {
    /// Catches up from `seeds` and the hosts in the view.
    pub fn new(
        shared: Arc<Shared>,
        peers: Arc<dyn Peers>,
        seeds: Vec<SocketAddr>,
        lease: Duration,
    ) -> Self {
        Self {
            shared,
            peers,
            seeds,
            lease,
        }
    }

    /// Asks whenever the log does not do.
    pub async fn run(self) {
        let mut tick = 0;
        let mut joined = false;
        loop {
            let shared = &self.shared;
            joined |= shared.view().hosts.contains_key(&shared.host.id);
            match shared.replay_state() {
                ReplayState::Starting | ReplayState::Stopped(_) => {}
                _ if !joined && !self.seeds.is_empty() => self.query_seeds().await,
                ReplayState::RecordsMissing(_) => self.query_some_hosts(tick).await,
                ReplayState::LogUnavailable(_) if !shared.is_up_to_date() => {
                    self.query_some_hosts(tick).await;
                }
                ReplayState::Current | ReplayState::LogUnavailable(_) => {}
            }
            tick += 1;
            shared.clock.sleep(QUERY_INTERVAL).await;
        }
    }

    /// Asks the seeds, takes the newest view if the log does not give it, and notes for how long a
    /// majority answers for it.
    async fn query_seeds(&self) {
        let asked = self.shared.clock.now();
        let peer_views = self.query_hosts(&self.seeds).await;
        if peer_views.len() < majority(self.seeds.len()) {
            return;
        }
        let reads = self.shared.replay_state() == ReplayState::Current;
        if !reads && !self.adopt_newest(&peer_views).await {
            return;
        }
        self.shared.set_synced();
        self.shared.extend_seed_majority(asked.after(self.lease));
    }

    async fn query_some_hosts(&self, tick: usize) {
        let view = self.shared.view();
        let addresses = view.hosts.values().map(|h| h.addresses.peer);
        let own = self.shared.host.addresses.peer;
        let all: BTreeSet<_> = addresses.chain(self.seeds.iter().copied()).collect();
        let all: Vec<_> = all.into_iter().filter(|a| *a != own).collect();
        let asked: Vec<_> = all.chunks(HOSTS_PER_TICK).collect();
        if let Some(chunk) = asked.get(tick % asked.len().max(1)) {
            let peer_views = self.query_hosts(chunk).await;
            self.adopt_newest(&peer_views).await;
        }
    }

    /// Takes the newest view. Returns whether the own view is as new.
    async fn adopt_newest(&self, peer_views: &[PeerView]) -> bool {
        let Some(newest) = peer_views.iter().max_by_key(|k| k.next) else {
            return false;
        };
        let shared = &self.shared;
        if newest.next <= shared.view().next {
            return true;
        }
        match self.fetch_view(newest.address).await {
            Ok(view) if view.format_level() > FORMAT => {
                warn!(shared.logger, "view of a newer version"; "from" => %newest.address,
                    "level" => view.format_level());
                false
            }
            Ok(view) => {
                info!(shared.logger, "view fetched"; "from" => %newest.address,
                    "revision" => %view.revision, "next" => %view.next);
                shared.publish(view, []);
                true
            }
            Err(reason) => {
                warn!(shared.logger, "view not fetched"; "from" => %newest.address,
                    "error" => reason);
                false
            }
        }
    }

    async fn fetch_view(&self, from: SocketAddr) -> Result<View, String> {
        // The assembler keeps parts by writer; here there is only one.
        let writer = WriterId::random();
        let mut assembler = SnapshotAssembler::default();
        let (mut digest, mut index) = (None, 0);
        loop {
            let part = match self.call(from, &Message::ViewPart { digest, index }).await {
                Some(Reply::ViewPart { part }) => part,
                Some(Reply::Refused { reason }) => return Err(reason),
                _ => return Err("no answer".to_owned()),
            };
            if part.index != index {
                return Err(format!("part {} in place of {index}", part.index));
            }
            let added = assembler.add(writer, &part);
            if let Some(view) = added.map_err(|e| e.to_string())? {
                return Ok(view);
            }
            index += 1;
            if index >= part.count {
                return Err("the parts do not fit together".to_owned());
            }
            digest = Some(part.digest);
        }
    }

    /// Asks hosts at once and returns what they tell. All learn from each other.
    async fn query_hosts(&self, addresses: &[SocketAddr]) -> Vec<PeerView> {
        let own = self.shared.host.addresses.peer;
        let sender = self.shared.view().revision;
        let others = addresses.iter().copied().filter(|a| *a != own);
        let asked: Vec<_> = others
            .map(|address| (address, smol::spawn(self.request_status(address, sender))))
            .collect();
        let mut peer_views = Vec::new();
        for (address, answer) in asked {
            if let Some(Reply::ViewStatus { next, highest, .. }) = answer.await {
                self.shared.observe_revision(highest);
                peer_views.push(PeerView { address, next });
            }
        }
        peer_views
    }

    fn request_status(
        &self,
        address: SocketAddr,
        sender: Revision,
    ) -> futures_lite::future::Boxed<Option<Reply>> {
        call_peer(
            Arc::clone(&self.shared),
            Arc::clone(&self.peers),
            address,
            &Message::ViewStatus { sender },
        )
    }

    async fn call(&self, address: SocketAddr, message: &Message) -> Option<Reply> {
        let (shared, peers) = (Arc::clone(&self.shared), Arc::clone(&self.peers));
        call_peer(shared, peers, address, message).await
    }
}

fn call_peer(
    shared: Arc<Shared>,
    peers: Arc<dyn Peers>,
    address: SocketAddr,
    message: &Message,
) -> futures_lite::future::Boxed<Option<Reply>> {
    let data = encode(message).ok();
    async move {
        let timeout = async {
            shared.clock.sleep(CALL_TIMEOUT).await;
            None
        };
        let reply = async { peers.call(address, data?).await.ok() };
        decode(&reply.or(timeout).await?).ok()
    }
    .boxed()
}

/// Waits until this host serves: it has joined, or its seeds answer for it.
///
/// # Errors
///
/// Fails with the reason if the host's build cannot replay a record.
pub async fn wait_until_serving(shared: &Shared) -> Result<(), String> {
    let joined = |s: &Shared| s.view().hosts.contains_key(&s.host.id);
    let serves = |s: &Shared| joined(s) || (s.can_serve() && s.has_seed_majority());
    let stopped = |s: &Shared| matches!(s.replay_state(), ReplayState::Stopped(_));
    let never = Tick(Duration::MAX);
    shared.wait_until(never, |s| serves(s) || stopped(s)).await;
    match shared.replay_state() {
        ReplayState::Stopped(reason) => Err(reason),
        _ => Ok(()),
    }
}
