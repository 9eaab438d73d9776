//! The driver of one upstream: performs what `trefoil-dispatch` decides.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use event_listener::Event;
use futures_lite::FutureExt;
use http::Request as HttpRequest;
use slog::info;
use smol::Task;
use trefoil_config::{Service, Upstream};
use trefoil_core::chart::ChartError;
use trefoil_core::{KeyHash, Revision, ServiceName, Shard, Slots, Tick, UnixMillis, UpstreamName};
use trefoil_dispatch::{
    Access, Actions, Admission, Cause, Dropped, Finished, Health, HealthState, Probe, Proof,
    Release, Report, ShardState, Ticket, TicketId, WallClock,
};
use trefoil_log::View;
use trefoil_placement::Table;
use trefoil_wire::Peers;

use super::failover::Provisional;
use super::{Dispatchers, exchange};
use crate::authority::Authority;
use crate::load::{Counter, UpstreamLoad, Window};
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::shared::Shared;

/// Time for a probe to answer.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time between two grants to an upstream that checks fences.
const GRANT_EVERY: Duration = Duration::from_millis(400);

/// Longest time between two rounds of the driver.
const ROUND_MAX: Duration = Duration::from_millis(500);

/// What a waiting request is told.
#[derive(Debug)]
pub(super) enum Notice {
    /// Send now.
    Start(Ticket),
    /// The request left the queue.
    Dropped(Dropped),
    /// Close the connection and finish the ticket.
    Close,
    /// The deadline has passed.
    Expired,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) admission: Admission,
    pub(super) health: Health,
    pub(super) table: Option<Arc<Table>>,
    pub(super) released: BTreeMap<Shard, Release>,
    /// The upstream whose release a shard waits for, and the revision that moved it.
    pub(super) awaited: BTreeMap<Shard, (UpstreamName, Revision)>,
    /// Shards that this driver found itself to own when it started.
    pub(super) inherited: BTreeSet<Shard>,
    /// Released shards that a standby serves already.
    pub(super) taken: BTreeSet<Shard>,
    pub(super) provisional: Provisional,
    pub(super) waiters: BTreeMap<TicketId, Sender<Notice>>,
    pub(super) granted: Tick,
}

/// The driver of one upstream.
#[derive(Debug)]
pub struct Driver {
    pub(super) shared: Arc<Shared>,
    pub(super) authority: Arc<Authority>,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) siblings: Weak<Dispatchers>,
    pub(super) service: ServiceName,
    declared: Upstream,
    pub(super) settings: Service,
    pub(super) pool: Pool,
    inner: Mutex<Inner>,
    /// Locked while a grant is sent.
    pub(super) granting: async_lock::Mutex<()>,
    /// Shards of the newest grant that the upstream has accepted.
    pub(super) confirmed: Mutex<BTreeSet<Shard>>,
    /// A grant was accepted.
    pub(super) confirm: Event,
    /// Revision of the newest placement that was taken over. Locked before `inner`.
    pub(super) synced: Mutex<Option<Revision>>,
    pub(super) counter: Counter,
    woken: Event,
    stopped: AtomicBool,
    stop: Event,
    draining: AtomicBool,
    pub(super) failed_over: AtomicBool,
    first: bool,
    predecessor_end: Tick,
    /// Wall clock when this dispatcher began.
    pub(super) began: UnixMillis,
    tasks: Mutex<Vec<Task<()>>>,
}

/// Time after which what an earlier dispatcher had in flight has ended: with its last grant where
/// the upstream checks fences, and otherwise with the longest deadline and the margin.
pub(crate) fn longest_work(service: &Service) -> Duration {
    let limits = service.deadlines;
    if service.fenced {
        exchange::GRANT_VALID + GRANT_EVERY
    } else {
        Duration::from_millis(u64::from(limits.max) + u64::from(limits.margin))
    }
}

impl Inner {
    /// Hands the results of a decision to the requests that wait for them.
    pub(super) fn perform(&mut self, actions: Actions) {
        for ticket in actions.started {
            let id = ticket.id();
            self.signal(id, Notice::Start(ticket));
        }
        self.drop_waiters(actions.dropped);
        for id in actions.expired {
            self.signal(id, Notice::Expired);
        }
        for id in actions.close {
            self.signal(id, Notice::Close);
        }
        for release in actions.releases {
            self.released.insert(release.shard, release);
        }
    }

    /// Answers requests that left the queue.
    pub(super) fn drop_waiters<I>(&mut self, dropped: I)
    where
        I: IntoIterator<Item = Dropped>,
    {
        for one in dropped {
            self.signal(one.id, Notice::Dropped(one));
        }
    }

    fn signal(&mut self, id: TicketId, notice: Notice) {
        // A request registers its channel while it holds the lock under which it was offered, and
        // the channel is unbounded, so a signal is lost only if its request has ended.
        if let Some(waiter) = self.waiters.get(&id) {
            let _ = waiter.try_send(notice);
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.admission.running() == 0 && self.admission.queued() == 0
    }
}

impl Driver {
    /// Starts the driver of an upstream over which this host has just gained authority.
    ///
    /// # Errors
    ///
    /// Fails if a state chart of this build does not load.
    pub fn start(
        shared: Arc<Shared>,
        authority: Arc<Authority>,
        dispatchers: &Arc<Dispatchers>,
        service: &Service,
        upstream: &Upstream,
    ) -> Result<Arc<Self>, ChartError> {
        let now = shared.clock.now();
        let token = authority.token(&upstream.name).unwrap_or_default();
        let first = token.term.0 <= 1 && token.rank.0 == 0;
        let millis = |n: u32| Duration::from_millis(n.into());
        let margin = millis(service.deadlines.margin);
        let proof = if service.fenced {
            Proof::Grant
        } else {
            Proof::Deadline
        };
        let wall = WallClock {
            tick: now,
            unix: shared.clock.unix(),
        };
        let admission = Admission::builder(wall)
            .slots(Slots(service.limits.slots))
            .connections(service.limits.connections)
            .queue(service.limits.queue)
            .margin(margin)
            .proof(proof)
            .build()?;
        let inner = Inner {
            admission,
            health: Health::new(now)?,
            table: None,
            released: BTreeMap::new(),
            awaited: BTreeMap::new(),
            inherited: BTreeSet::new(),
            taken: BTreeSet::new(),
            provisional: Provisional::new(),
            waiters: BTreeMap::new(),
            granted: Tick::default(),
        };
        let keep = usize::try_from(service.limits.slots).unwrap_or(1);
        let longest = longest_work(service);
        let driver = Arc::new(Self {
            peers: dispatchers.peers(),
            siblings: Arc::downgrade(dispatchers),
            service: service.name.clone(),
            declared: upstream.clone(),
            settings: service.clone(),
            pool: Pool::new(upstream.address, keep),
            inner: Mutex::new(inner),
            granting: async_lock::Mutex::default(),
            confirmed: Mutex::default(),
            confirm: Event::new(),
            synced: Mutex::default(),
            counter: Counter::new(wall.unix, shared.window),
            woken: Event::new(),
            stopped: AtomicBool::new(false),
            stop: Event::new(),
            draining: AtomicBool::new(false),
            failed_over: AtomicBool::new(false),
            first,
            began: wall.unix,
            predecessor_end: if first { now } else { now.after(longest) },
            tasks: Mutex::default(),
            shared,
            authority,
        });
        let view = driver.shared.view();
        driver.sync(&view);
        if dispatchers.has_failed_over(&view, driver.name()) {
            driver.start_failover(&view);
        }
        let tasks = vec![
            smol::spawn(Arc::clone(&driver).run()),
            smol::spawn(Arc::clone(&driver).collect_releases()),
            smol::spawn(Arc::clone(&driver).watch_loss()),
        ];
        *driver.tasks.lock().unwrap_or_else(PoisonError::into_inner) = tasks;
        Ok(driver)
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The upstream.
    pub fn name(&self) -> &UpstreamName {
        &self.declared.name
    }

    /// The upstream's address.
    pub(super) fn address(&self) -> SocketAddr {
        self.declared.address
    }

    /// Whether the declaration is still the one that the driver was started with. An upstream that
    /// is declared to be leaving keeps its driver.
    pub fn fits(&self, service: &Service, upstream: &Upstream) -> bool {
        let same = |s: &Service| (s.fenced, s.limits, s.deadlines);
        same(&self.settings) == same(service) && self.declared.address == upstream.address
    }

    /// State of the upstream.
    pub fn health(&self) -> HealthState {
        self.lock().health.state()
    }

    /// Whether no request is queued or running.
    pub fn is_idle(&self) -> bool {
        self.lock().is_idle()
    }

    /// Whether this is the first dispatcher that the upstream ever had.
    pub(super) fn is_first(&self) -> bool {
        self.first
    }

    /// When the last request of an earlier dispatcher has certainly ended.
    pub(super) fn predecessor_end(&self) -> Tick {
        self.predecessor_end
    }

    pub(super) fn wake(&self) {
        self.woken.notify(usize::MAX);
    }

    /// What was counted in a closed measure window.
    pub fn load(&self, window: Window) -> Option<UpstreamLoad> {
        let names = (self.name(), &self.service);
        self.counter.closed(self.shared.clock.unix(), window, names)
    }

    /// Whether the shard of a key is served here although the view names another owner.
    pub fn serves(&self, view: &View, key: KeyHash) -> bool {
        let Some(table) = view.tables.get(&self.service) else {
            return false;
        };
        let hold = self.lock().admission.ownership().state(table.shard(key));
        matches!(hold, ShardState::Serving)
    }

    /// Admits nothing more; what is queued or in flight finishes.
    pub fn drain(&self) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            let now = self.shared.clock.now();
            let mut inner = self.lock();
            inner.health.set_leaving(now, true);
            drop(inner);
            self.wake();
        }
    }

    /// Waits until nothing is queued or in flight.
    pub async fn idle(&self) {
        while !self.is_idle() {
            let woken = self.woken.listen();
            if self.is_idle() {
                return;
            }
            woken.or(self.shared.clock.sleep(ROUND_MAX)).await;
        }
    }

    /// Closes all connections at once. What was not written is not run; the rest is unknown.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.pool.close();
        let labels = Metrics::upstream_labels(self.name().as_str());
        self.shared.metrics.active.remove(&labels);
        let now = self.shared.clock.now();
        let mut inner = self.lock();
        let actions = inner.admission.set_access(now, Access::Closed);
        inner.perform(actions);
        drop(inner);
        self.stop.notify(usize::MAX);
        self.tasks
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clear();
    }

    /// Completes when the driver is stopped.
    pub(super) async fn stopping(&self) {
        loop {
            let listener = self.stop.listen();
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }

    /// Probes the upstream, renews grants and moves the queue, for as long as the driver runs.
    async fn run(self: Arc<Self>) {
        loop {
            let woken = self.woken.listen();
            let view = self.shared.view();
            self.sync(&view);
            let now = self.shared.clock.now();
            let (probe, grant, wake) = self.round(&view, now);
            if let Some(probe) = probe {
                smol::spawn(Arc::clone(&self).probe(probe)).detach();
            }
            if grant {
                smol::spawn(Arc::clone(&self).grant()).detach();
            }
            let latest = now.after(ROUND_MAX);
            let until = wake
                .map_or(latest, |w| w.min(latest))
                .max(now.after(MIN_WAIT));
            woken.or(self.shared.wait_change(until)).await;
        }
    }

    fn round(&self, view: &View, now: Tick) -> (Option<Probe>, bool, Option<Tick>) {
        let table = view.tables.get(&self.service);
        let owns = table.is_some_and(|t| t.member(self.name()).is_some());
        let times = (now, self.shared.clock.unix());
        let closed = owns && self.health() == HealthState::Lost;
        self.counter.available(times, !closed);
        let mut inner = self.lock();
        let probe = inner.health.poll(now);
        let leaving = view.upstream(self.name()).is_some_and(|(_, u)| u.leaving);
        let leaving = leaving || self.draining.load(Ordering::SeqCst);
        let before = inner.health.state();
        if leaving != matches!(before, HealthState::Draining | HealthState::Left) {
            inner.health.set_leaving(now, leaving);
        }
        let state = inner.health.state();
        if state != before {
            info!(self.shared.logger, "upstream changed"; "upstream" => %self.name(), "state" => %state);
        }
        let access = inner.health.access();
        let actions = inner.admission.set_access(now, access);
        inner.perform(actions);
        let actions = inner.admission.poll(now);
        inner.perform(actions);
        let running = inner.admission.running();
        self.shared
            .metrics
            .active
            .get_or_create(&Metrics::upstream_labels(self.name().as_str()))
            .set(i64::try_from(running).unwrap_or(i64::MAX));
        let due = self.settings.fenced
            && now >= inner.granted.after(GRANT_EVERY)
            && inner.health.may_grant();
        if due {
            inner.granted = now;
        }
        let next_grant = self
            .settings
            .fenced
            .then(|| inner.granted.after(GRANT_EVERY));
        let wakes = [
            inner.health.next_wake(),
            inner.admission.next_wake(now),
            next_grant,
        ];
        (probe, due, wakes.into_iter().flatten().min())
    }

    async fn probe(self: Arc<Self>, probe: Probe) {
        let mut request = HttpRequest::new(Bytes::new());
        *request.uri_mut() = http::Uri::from_static("/-/health");
        let answer = trefoil_http::call(self.address(), request, 4096, PROBE_TIMEOUT).await;
        let now = self.shared.clock.now();
        let mut inner = self.lock();
        // Any answer shows that the process runs; what the endpoint claims is only a hint.
        match answer {
            Ok(_) => inner.health.on_probe_answered(now, probe),
            Err(_) => inner.health.on_probe_failed(now, probe),
        }
        drop(inner);
        self.wake();
    }

    /// Reports the end of an attempt. Returns the report if the request has ended.
    pub(super) fn finish(&self, ticket: Ticket, cause: Cause) -> Option<Report> {
        let now = self.shared.clock.now();
        let mut inner = self.lock();
        let finished = inner.admission.finish(now, ticket, cause).ok();
        let report = finished.map(|f| {
            let Finished {
                report,
                verdict,
                actions,
            } = f;
            inner.health.on_signal(now, verdict.signal);
            inner.perform(actions);
            report
        });
        drop(inner);
        self.wake();
        report
    }

    /// Gives up a retry that nobody waits for any more.
    pub(super) fn cancel(&self, id: TicketId) {
        let now = self.shared.clock.now();
        // The request may have been started or dropped in the meantime.
        let _ = self.lock().admission.cancel(now, id);
    }

    pub(super) fn sent(&self) {
        let labels = Metrics::upstream_labels(self.name().as_str());
        self.shared.metrics.sent.get_or_create(&labels).inc();
    }
}

/// Shortest wait between two rounds, so that a tick that is due at once cannot spin.
const MIN_WAIT: Duration = Duration::from_millis(1);
