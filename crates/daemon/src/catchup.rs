//! Transfer of views between hosts, for hosts that cannot read the log.
//!
//! # Start
//!
//! A host that starts while the log is down, or whose next record is no longer retained, queries
//! its seeds for the revision that they serve and the highest revision that they know. With replies
//! from a majority of the seeds in its settings, it fetches the newest view in parts. It is up to
//! date when its view has reached every revision in the replies. A seed that is itself starting
//! refuses the query, and the host's own address, if it is in the list, counts as a seed without a
//! reply. Without seeds the host waits for the log.
//!
//! # Serving before joining
//!
//! Joining needs the log, and a host that has not joined has no lease. It may serve as ingress
//! only: it is in no upstream's ranking and witnesses no lease, so it sends no requests to
//! upstreams. Once a host has joined, its lease also bounds the time for which it may serve callers
//! while it is isolated and misses changes of configuration. Before, replies of a majority of the
//! seeds have that function, under the rule of the lease: a reply is valid for `LEASE` from the
//! moment its query was sent, and the host serves callers only while a majority of the replies is
//! valid. A host that has joined once never returns to this rule, so a host whose lease has ended
//! does not serve.
//!
//! The rule only bounds the staleness of an ingress. It confers no authority and therefore needs no
//! witness and no record: dispatchers enforce ownership and at-most-once execution.
//!
//! # Running hosts
//!
//! A host that has joined and cannot read the log fetches a newer view from any host that has one.
//! No majority is needed, because the host does not serve until its view has reached the highest
//! revision that it knows.

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

/// Interval between two ticks, equal to the heartbeat interval of a lease.
const QUERY_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a query.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of hosts that a running host queries in one tick.
const HOSTS_PER_TICK: usize = 8;

/// Number of split views that are kept for hosts that fetch them, so that a newer view does not
/// interrupt a transfer of the previous one.
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

    /// Returns part `index` of the view with this digest or, without a digest, the first part of
    /// `view`.
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

/// Answers a query of another host. A host that is not synchronized yet refuses it.
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

/// State of a host's view, from its reply.
#[derive(Debug, Clone, Copy)]
struct PeerView {
    address: SocketAddr,
    next: Offset,
}

/// Catches up from other hosts until the process ends.
#[derive(Debug)]
pub struct CatchUp {
    shared: Arc<Shared>,
    peers: Arc<dyn Peers>,
    seeds: Vec<SocketAddr>,
    /// Time for which a seed's reply is valid.
    lease: Duration,
}

impl CatchUp {
    /// Creates a task that catches up from `seeds` and the hosts in the view.
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

    /// Queries other hosts in each tick in which the log does not keep the view up to date. A host
    /// that has not joined queries its seeds in every tick.
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

    /// Queries the seeds, adopts the newest view if the log cannot be read, and extends the time
    /// for which the replies of a majority are valid.
    async fn query_seeds(&self) {
        let sent_at = self.shared.clock.now();
        let peer_views = self.query_hosts(&self.seeds).await;
        if peer_views.len() < majority(self.seeds.len()) {
            return;
        }
        let log_readable = self.shared.replay_state() == ReplayState::Current;
        if !log_readable && !self.adopt_newest(&peer_views).await {
            return;
        }
        self.shared.set_synced();
        self.shared.extend_seed_majority(sent_at.after(self.lease));
    }

    /// Queries the hosts of one chunk, so that all hosts are queried in turn, and adopts the newest
    /// view.
    async fn query_some_hosts(&self, tick: usize) {
        let view = self.shared.view();
        let addresses = view.hosts.values().map(|h| h.addresses.peer);
        let own = self.shared.host.addresses.peer;
        let all: BTreeSet<_> = addresses.chain(self.seeds.iter().copied()).collect();
        let all: Vec<_> = all.into_iter().filter(|a| *a != own).collect();
        let chunks: Vec<_> = all.chunks(HOSTS_PER_TICK).collect();
        if let Some(chunk) = chunks.get(tick % chunks.len().max(1)) {
            let peer_views = self.query_hosts(chunk).await;
            self.adopt_newest(&peer_views).await;
        }
    }

    /// Fetches and publishes the newest view. Returns true if this host's view is then at least as
    /// new as the newest in the replies.
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
                warn!(shared.logger, "fetched view needs a newer version";
                    "from" => %newest.address,
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
        // The assembler keeps parts by writer; all parts here come from one host.
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
                return Err(format!(
                    "expected part {index} of the view, received part {}",
                    part.index
                ));
            }
            let added = assembler.add(writer, &part);
            if let Some(view) = added.map_err(|e| e.to_string())? {
                return Ok(view);
            }
            index += 1;
            if index >= part.count {
                return Err("the parts ended without a complete view".to_owned());
            }
            digest = Some(part.digest);
        }
    }

    /// Queries hosts concurrently and returns their replies. Both sides record the other's highest
    /// revision.
    async fn query_hosts(&self, addresses: &[SocketAddr]) -> Vec<PeerView> {
        let own = self.shared.host.addresses.peer;
        let sender = self.shared.view().revision;
        let others = addresses.iter().copied().filter(|a| *a != own);
        let queries: Vec<_> = others
            .map(|address| (address, smol::spawn(self.request_status(address, sender))))
            .collect();
        let mut peer_views = Vec::new();
        for (address, answer) in queries {
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

/// Waits until this host serves callers, because it has joined or has the replies of a majority of
/// its seeds.
///
/// # Errors
///
/// Fails with the reason if this build cannot replay a record.
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
