//! This host's authority: its lease, the leases that it witnesses, and its dispatcher roles.
//!
//! `trefoil-lease` makes the decisions. This module is their driver: it passes messages, records
//! and the time to the state machines and performs their effects, which are to send messages, to
//! arm the [watchdog](crate::watchdog) and to notify the dispatchers of changed roles.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use event_listener::Event;
use futures_lite::FutureExt;
use slog::{debug, error, info, warn};
use snafu::Snafu;
use trefoil_core::chart::ChartError;
use trefoil_core::{HostId, Tick, Token, UpstreamName};
use trefoil_lease::{
    Effect, EntryState, Holder, Message as LeaseMessage, Peer, Records, Succession, Timing,
    Witness, majority,
};
use trefoil_log::View;
use trefoil_wire::{PeerId, Peers, decode, encode};

use crate::message::{Message, Reply};
use crate::shared::Shared;
use crate::watchdog::Watchdog;

/// Longest interval at which the state machines are synchronized with the records.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which connections that are being closed are polled. It must be well below the margin
/// of the lease.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Timeout of a call to a peer. A promise that arrives later would extend the lease by little,
/// because the lease counts it from the time at which the heartbeat was sent.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A change of this host's dispatcher roles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RoleChange {
    /// This host is now the dispatcher of an upstream.
    Started(UpstreamName),
    /// The dispatcher must stop at once, because the lease of this host is about to expire.
    Stopped(UpstreamName),
    /// The log assigned another host: the dispatcher admits no more requests and completes those in
    /// flight.
    Draining(UpstreamName),
}

/// An error while the authority is set up.
#[derive(Debug, Snafu)]
pub enum AuthorityError {
    /// A state chart that is built into this binary does not load.
    #[snafu(display("{source}"), context(false))]
    Chart {
        /// The error of the chart.
        source: ChartError,
    },
    /// The kernel timer cannot be created.
    #[snafu(
        display("cannot create the kernel timer of the watchdog: {source}"),
        context(false)
    )]
    Watchdog {
        /// The error of the system call.
        source: nix::errno::Errno,
    },
}

#[derive(Debug)]
struct State {
    holder: Holder,
    witness: Witness,
    succession: Succession,
    /// The records that the three state machines were last synchronized with. Messages are checked
    /// against these and not against a newer view: a role that is not synchronized yet may still
    /// act under a term that the view has ended.
    records: Arc<Records>,
    watchdog: Option<Watchdog>,
}

/// The lease, the witnessed leases and the dispatcher roles of this host.
#[derive(Debug)]
pub struct Authority {
    shared: Arc<Shared>,
    peers: Arc<dyn Peers>,
    state: Mutex<State>,
    changes: Sender<RoleChange>,
    ended: Event,
    woken: Event,
    margin: Duration,
}

impl Authority {
    /// Creates the authority of a host without a lease, and the channel of its role changes. With
    /// `watchdog`, the kernel kills this process if it is suspended past the end of its lease.
    ///
    /// # Errors
    ///
    /// Fails if a state chart does not load or the kernel timer cannot be created.
    pub fn new(
        shared: Arc<Shared>,
        peers: Arc<dyn Peers>,
        timing: Timing,
        watchdog: bool,
    ) -> Result<(Self, Receiver<RoleChange>), AuthorityError> {
        let (host, address) = (shared.host.id, shared.host.addresses.peer);
        let now = shared.clock.now();
        let state = State {
            holder: Holder::new(host, timing)?,
            witness: Witness::new(host, address, timing, now)?,
            succession: Succession::new(host, timing),
            records: Arc::default(),
            watchdog: watchdog.then(Watchdog::new).transpose()?,
        };
        let (changes, receiver) = async_channel::unbounded();
        let (state, ended, woken) = (Mutex::new(state), Event::new(), Event::new());
        let margin = timing.margin();
        Ok((
            Self {
                shared,
                peers,
                state,
                changes,
                ended,
                woken,
                margin,
            },
            receiver,
        ))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the fencing token with which this host may send to an upstream now. Callers check it
    /// immediately before each write of a request to the socket.
    pub fn token(&self, upstream: &UpstreamName) -> Option<Token> {
        let state = self.lock();
        let now = self.shared.clock.now();
        state.succession.authority(upstream, &state.holder, now)
    }

    /// Returns whether the lease of this host is valid now. A host without a valid lease serves no
    /// callers: it may be partitioned and may have missed a change of configuration.
    pub fn is_valid(&self) -> bool {
        self.lock().holder.is_valid(self.shared.clock.now())
    }

    /// Returns the tick by which this host must have closed its upstream connections if its lease
    /// is not renewed: the end of the lease less the margin.
    pub fn close_deadline(&self) -> Option<Tick> {
        let state = self.lock();
        let end = state.holder.valid_until()?;
        Some(Tick(end.0.saturating_sub(self.margin)))
    }

    /// Disarms the kernel timer once the lease is about to expire and all upstream connections are
    /// closed.
    pub async fn release_watchdog<F>(self: Arc<Self>, is_closed: F)
    where
        F: Fn() -> bool,
    {
        loop {
            let now = self.shared.clock.now();
            match self.close_deadline() {
                Some(at) if at > now => self.shared.clock.sleep_until(at).await,
                Some(_) => {
                    if is_closed() {
                        self.disarm();
                    }
                    self.shared.clock.sleep(CLOSE_POLL_INTERVAL).await;
                }
                None => self.shared.clock.sleep(REFRESH_INTERVAL).await,
            }
        }
    }

    /// Returns whether no live host's lease depends on this host as a witness: each lease has a
    /// majority without it, and no lease is in the middle of a change that replaces it.
    pub fn is_dispensable(&self, view: &View) -> bool {
        let state = self.lock();
        let me = self.shared.host.id;
        let stays = |host: HostId| host != me && view.stays(host);
        view.records.leases().all(|(lease, newest)| {
            let witnessed = lease.index_of(me).is_some() && view.hosts.contains_key(&lease.holder);
            let kept = lease.witnesses.iter().filter(|s| stays(s.host)).count();
            let entry = state.witness.state(lease.holder, lease.generation);
            let settled = matches!(entry, Some(EntryState::Closed | EntryState::Expired));
            !witnessed || kept >= majority(lease.witnesses.len()) || (!newest && settled)
        })
    }

    /// Returns whether this host may write the record of its next lease generation.
    pub fn can_change(&self) -> bool {
        self.lock().holder.can_change()
    }

    /// Returns the hosts whose leases are proved to have expired and that the log still lists as
    /// live.
    pub fn lost_hosts(&self, view: &View) -> Vec<HostId> {
        let state = self.lock();
        view.hosts
            .keys()
            .copied()
            .filter(|h| state.succession.is_lost(*h))
            .collect()
    }

    /// Handles the end of a drain: no request of an earlier term is in flight at the upstream.
    pub fn on_drained(&self, upstream: &UpstreamName) {
        self.lock().succession.mark_drained(upstream);
        self.woken.notify(usize::MAX);
    }

    /// Waits until the lease of this incarnation has expired. An expired lease is not renewed.
    pub async fn ended(&self) {
        self.ended.listen().await;
    }

    /// Renews the lease and updates the roles for as long as the process runs.
    pub async fn run(self: Arc<Self>) {
        let mut synced = None;
        loop {
            let woken = self.woken.listen();
            let view = self.shared.view();
            let now = self.shared.clock.now();
            let (effects, wake) = {
                let mut state = self.lock();
                let mut effects = Vec::new();
                if synced != Some(view.next) {
                    effects.extend(state.sync(&view, self.shared.is_caught_up(), now));
                    synced = Some(view.next);
                }
                effects.extend(state.poll(now));
                (effects, state.next_wake())
            };
            self.perform(&view, effects);
            let latest = now.after(REFRESH_INTERVAL);
            let until = wake
                .map_or(latest, |w| w.min(latest))
                .max(now.after(MIN_WAIT));
            let changed = self.shared.wait_change(until);
            woken.or(changed).await;
        }
    }

    /// Handles lease messages of a peer and returns the replies to that peer.
    pub fn receive(
        self: &Arc<Self>,
        from: &PeerId,
        host: HostId,
        messages: &[LeaseMessage],
    ) -> Vec<LeaseMessage> {
        let view = self.shared.view();
        let Some(record) = view.hosts.get(&host).filter(|h| h.name == from.0) else {
            // The view does not list the sender: it joined later, or it is recorded as lost.
            return Vec::new();
        };
        let peer = Peer {
            host,
            address: record.addresses.peer,
        };
        let now = self.shared.clock.now();
        let effects = {
            let mut state = self.lock();
            let handle = |m: &LeaseMessage| state.receive(peer, m, now);
            messages.iter().flat_map(handle).collect::<Vec<_>>()
        };
        let (answers, rest): (Vec<_>, Vec<_>) = effects
            .into_iter()
            .partition(|e| matches!(e, Effect::Send { to, .. } if *to == host));
        self.perform(&view, rest);
        self.woken.notify(usize::MAX);
        let message = |e| match e {
            Effect::Send { message, .. } => Some(message),
            _ => None,
        };
        answers.into_iter().filter_map(message).collect()
    }

    fn perform(self: &Arc<Self>, view: &View, effects: Vec<Effect>) {
        let mut outgoing = BTreeMap::<HostId, Vec<LeaseMessage>>::new();
        for effect in effects {
            match effect {
                Effect::Send { to, message } => outgoing.entry(to).or_default().push(message),
                other => self.perform_local(other),
            }
        }
        for (host, messages) in outgoing {
            if let Some(record) = view.hosts.get(&host) {
                let send = Arc::clone(self).send(host, record.addresses.peer, messages);
                smol::spawn(send).detach();
            }
        }
    }

    fn perform_local(&self, effect: Effect) {
        let logger = &self.shared.logger;
        let change = match effect {
            Effect::Extended { until } => {
                self.arm(until);
                None
            }
            Effect::Ended => {
                if self.shared.is_draining() {
                    info!(logger, "lease ended while draining");
                } else {
                    error!(logger, "lease expired");
                }
                self.ended.notify(usize::MAX);
                None
            }
            Effect::ChangeFailed { generation } => {
                warn!(logger, "next lease generation expired unused"; "generation" => %generation);
                None
            }
            Effect::Acquired { upstream, token } => {
                info!(logger, "dispatcher role acquired";
                    "upstream" => %upstream, "token" => %token);
                Some(RoleChange::Started(upstream))
            }
            Effect::Stopped { upstream } => {
                warn!(logger, "dispatcher role stopped, lease expires"; "upstream" => %upstream);
                Some(RoleChange::Stopped(upstream))
            }
            Effect::Drain { upstream } => {
                info!(logger, "dispatcher role draining, another host assigned";
                    "upstream" => %upstream);
                Some(RoleChange::Draining(upstream))
            }
            Effect::CatchUp => {
                debug!(logger, "records are behind those of a peer");
                None
            }
            Effect::Send { .. } => None,
        };
        if let Some(change) = change {
            // The channel is unbounded and its receiver lives as long as the process.
            let _ = self.changes.try_send(change);
        }
    }

    fn arm(&self, until: Tick) {
        if let Some(watchdog) = &mut self.lock().watchdog
            && let Err(e) = watchdog.arm(until)
        {
            error!(self.shared.logger, "cannot arm the kernel timer"; "error" => %e);
        }
    }

    /// Disarms the kernel timer. To be called only if the process is about to exit or has closed
    /// its upstream connections.
    pub fn disarm(&self) {
        if let Some(watchdog) = &mut self.lock().watchdog
            && let Err(e) = watchdog.disarm()
        {
            error!(self.shared.logger, "cannot disarm the kernel timer"; "error" => %e);
        }
    }

    async fn send(self: Arc<Self>, to: HostId, address: SocketAddr, messages: Vec<LeaseMessage>) {
        let revision = self.shared.view().revision;
        let message = Message::Lease {
            from: self.shared.host.id,
            revision,
            messages,
        };
        let Ok(data) = encode(&message) else { return };
        let timeout = async {
            self.shared.clock.sleep(CALL_TIMEOUT).await;
            None
        };
        let call = async { self.peers.call(address, data).await.ok() };
        let Some(reply) = call.or(timeout).await else {
            return;
        };
        if let Ok(Reply::Lease {
            from,
            revision,
            messages,
        }) = decode::<Reply>(&reply)
        {
            // A later incarnation may have answered at this address. Its promises do not count for
            // the one that was called.
            if from != to {
                return;
            }
            self.shared.learn(revision);
            let now = self.shared.clock.now();
            let peer = Peer { host: to, address };
            let effects = {
                let mut state = self.lock();
                let handle = |m: &LeaseMessage| state.receive(peer, m, now);
                messages.iter().flat_map(handle).collect::<Vec<_>>()
            };
            let view = self.shared.view();
            self.perform(&view, effects);
            self.woken.notify(usize::MAX);
        }
    }
}

/// Shortest wait between two ticks, so that a wake-up that is always due cannot spin.
const MIN_WAIT: Duration = Duration::from_millis(1);

impl State {
    fn sync(&mut self, view: &View, tail: bool, now: Tick) -> Vec<Effect> {
        if tail {
            self.witness.mark_caught_up();
        }
        self.records = Arc::clone(&view.records);
        self.witness.sync(&view.records, now);
        let mut effects = self.holder.sync(&view.records, now);
        effects.extend(self.succession.sync(&view.records, now));
        effects
    }

    fn poll(&mut self, now: Tick) -> Vec<Effect> {
        let mut effects = self.holder.poll(now);
        effects.extend(self.witness.poll(now));
        effects.extend(self.succession.poll(&self.holder, now));
        effects
    }

    fn receive(&mut self, from: Peer, message: &LeaseMessage, now: Tick) -> Vec<Effect> {
        let mut effects = self.holder.receive(from, message, now);
        effects.extend(self.witness.receive(from, message, now));
        effects.extend(self.succession.receive(from, message, &self.records));
        effects
    }

    fn next_wake(&self) -> Option<Tick> {
        let wakes = [
            self.holder.next_wake(),
            self.witness.next_wake(),
            self.succession.next_wake(&self.holder),
        ];
        wakes.into_iter().flatten().min()
    }
}
