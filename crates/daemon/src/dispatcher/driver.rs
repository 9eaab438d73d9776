//! The driver of one upstream: performs the I/O that the decisions of `trefoil-dispatch` require.

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

/// Timeout of a health probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between grants to an upstream that checks fencing tokens.
const GRANT_INTERVAL: Duration = Duration::from_millis(400);

/// Longest interval between two ticks of the driver.
const TICK_INTERVAL_MAX: Duration = Duration::from_millis(500);

/// A notification to a request that waits in the queue or for its answer.
#[derive(Debug)]
pub(super) enum Notice {
    /// The request may be sent now.
    Start(Ticket),
    /// The request was dropped from the queue.
    Dropped(Dropped),
    /// The request must close its connection and finish its ticket.
    Close,
    /// The deadline of the request has passed.
    Expired,
}

#[derive(Debug)]
pub(super) struct Inner {
    pub(super) admission: Admission,
    pub(super) health: Health,
    pub(super) table: Option<Arc<Table>>,
    pub(super) released: BTreeMap<Shard, Release>,
    /// Shards that wait for a release, with the upstream that must release them and the revision of
    /// the placement that moved them.
    pub(super) awaited: BTreeMap<Shard, (UpstreamName, Revision)>,
    /// Shards that were awaited when this driver started. An earlier dispatcher of the upstream may
    /// have received them already.
    pub(super) inherited: BTreeSet<Shard>,
    /// Released shards that their standbys already serve.
    pub(super) taken_over: BTreeSet<Shard>,
    pub(super) provisional: Provisional,
    pub(super) waiters: BTreeMap<TicketId, Sender<Notice>>,
    pub(super) granted_at: Tick,
}

/// The driver of one upstream.
#[derive(Debug)]
pub struct Driver {
    pub(super) shared: Arc<Shared>,
    pub(super) authority: Arc<Authority>,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) dispatchers: Weak<Dispatchers>,
    pub(super) service: ServiceName,
    declared: Upstream,
    pub(super) settings: Service,
    pub(super) pool: Pool,
    inner: Mutex<Inner>,
    /// Locked while a grant is sent, so that grants arrive in their order.
    pub(super) granting: async_lock::Mutex<()>,
    /// Shards of the newest grant that the upstream accepted.
    pub(super) confirmed: Mutex<BTreeSet<Shard>>,
    /// Notified when the upstream accepts a grant.
    pub(super) confirm: Event,
    /// Revision of the newest placement that was applied. Locked before `inner`.
    pub(super) synced: Mutex<Option<Revision>>,
    pub(super) counter: Counter,
    woken: Event,
    stopped: AtomicBool,
    stop: Event,
    draining: AtomicBool,
    pub(super) failed_over: AtomicBool,
    first: bool,
    predecessor_end: Tick,
    /// Wall clock at the start of this dispatcher.
    pub(super) started_at: UnixMillis,
    tasks: Mutex<Vec<Task<()>>>,
}

/// Returns the time after which all requests of an earlier dispatcher have ended. If the upstream
/// checks fencing tokens, they end with the last grant of that dispatcher, and otherwise after the
/// longest deadline plus the margin.
pub(crate) fn max_request_time(service: &Service) -> Duration {
    let limits = service.deadlines;
    if service.fenced {
        exchange::GRANT_VALIDITY + GRANT_INTERVAL
    } else {
        Duration::from_millis(u64::from(limits.max) + u64::from(limits.margin))
    }
}

impl Inner {
    /// Notifies the waiting requests of the results of a decision.
    pub(super) fn perform(&mut self, actions: Actions) {
        for ticket in actions.started {
            let id = ticket.id();
            self.notify(id, Notice::Start(ticket));
        }
        self.drop_waiters(actions.dropped);
        for id in actions.expired {
            self.notify(id, Notice::Expired);
        }
        for id in actions.close {
            self.notify(id, Notice::Close);
        }
        for release in actions.releases {
            self.released.insert(release.shard, release);
        }
    }

    /// Notifies requests that were dropped from the queue.
    pub(super) fn drop_waiters<I>(&mut self, dropped: I)
    where
        I: IntoIterator<Item = Dropped>,
    {
        for entry in dropped {
            self.notify(entry.id, Notice::Dropped(entry));
        }
    }

    fn notify(&mut self, id: TicketId, notice: Notice) {
        // A request registers its channel under the same lock as its admission, and the channel is
        // unbounded, so a notification is lost only if its request has ended.
        if let Some(waiter) = self.waiters.get(&id) {
            let _ = waiter.try_send(notice);
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.admission.running() == 0 && self.admission.queued() == 0
    }
}

impl Driver {
    /// Starts the driver of an upstream over which this host has acquired authority.
    ///
    /// # Errors
    ///
    /// Fails if a state chart that is built into this binary does not load.
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
            taken_over: BTreeSet::new(),
            provisional: Provisional::new(),
            waiters: BTreeMap::new(),
            granted_at: Tick::default(),
        };
        let keep = usize::try_from(service.limits.slots).unwrap_or(1);
        let request_time = max_request_time(service);
        let driver = Arc::new(Self {
            peers: dispatchers.peers(),
            dispatchers: Arc::downgrade(dispatchers),
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
            started_at: wall.unix,
            predecessor_end: if first { now } else { now.after(request_time) },
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

    /// Returns the name of the upstream.
    pub fn name(&self) -> &UpstreamName {
        &self.declared.name
    }

    /// Returns the address of the upstream.
    pub(super) fn address(&self) -> SocketAddr {
        self.declared.address
    }

    /// Returns whether the driver was started with this declaration. The `leaving` flag is ignored:
    /// an upstream that is declared to be leaving keeps its driver.
    pub fn matches_declaration(&self, service: &Service, upstream: &Upstream) -> bool {
        let same = |s: &Service| (s.fenced, s.limits, s.deadlines);
        same(&self.settings) == same(service) && self.declared.address == upstream.address
    }

    /// Returns the health state of the upstream.
    pub fn health(&self) -> HealthState {
        self.lock().health.state()
    }

    /// Returns whether no request is queued or in flight.
    pub fn is_idle(&self) -> bool {
        self.lock().is_idle()
    }

    /// Returns whether the upstream had no dispatcher before this one.
    pub(super) fn is_first(&self) -> bool {
        self.first
    }

    /// Returns the tick by which all requests of earlier dispatchers have ended.
    pub(super) fn predecessor_end(&self) -> Tick {
        self.predecessor_end
    }

    pub(super) fn wake(&self) {
        self.woken.notify(usize::MAX);
    }

    /// Returns the load that was counted in a closed measurement window.
    pub fn window_load(&self, window: Window) -> Option<UpstreamLoad> {
        let names = (self.name(), &self.service);
        self.counter
            .window_load(self.shared.clock.unix(), window, names)
    }

    /// Returns whether this upstream serves the shard of a key, also if the view names another
    /// owner.
    pub fn serves(&self, view: &View, key: KeyHash) -> bool {
        let Some(table) = view.tables.get(&self.service) else {
            return false;
        };
        let state = self.lock().admission.ownership().state(table.shard(key));
        matches!(state, ShardState::Serving)
    }

    /// Stops admission. Requests that are queued or in flight are completed.
    pub fn drain(&self) {
        if !self.draining.swap(true, Ordering::SeqCst) {
            let now = self.shared.clock.now();
            let mut inner = self.lock();
            inner.health.set_leaving(now, true);
            drop(inner);
            self.wake();
        }
    }

    /// Waits until no request is queued or in flight.
    pub async fn wait_idle(&self) {
        while !self.is_idle() {
            let woken = self.woken.listen();
            if self.is_idle() {
                return;
            }
            woken.or(self.shared.clock.sleep(TICK_INTERVAL_MAX)).await;
        }
    }

    /// Closes all connections at once. Requests that were not written end as not run, and all
    /// others with an unknown outcome.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
        self.pool.close();
        let labels = Metrics::upstream(self.name().as_str());
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

    /// Waits until the driver is stopped.
    pub(super) async fn wait_stopped(&self) {
        loop {
            let listener = self.stop.listen();
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }

    /// Probes the upstream, renews its grants and advances the queue, for as long as the driver
    /// runs.
    async fn run(self: Arc<Self>) {
        loop {
            let woken = self.woken.listen();
            let view = self.shared.view();
            self.sync(&view);
            let now = self.shared.clock.now();
            let (probe, grant, wake) = self.tick(&view, now);
            if let Some(probe) = probe {
                smol::spawn(Arc::clone(&self).probe(probe)).detach();
            }
            if grant {
                smol::spawn(Arc::clone(&self).renew_grant()).detach();
            }
            let latest = now.after(TICK_INTERVAL_MAX);
            let until = wake
                .map_or(latest, |w| w.min(latest))
                .max(now.after(MIN_WAIT));
            woken.or(self.shared.wait_change(until)).await;
        }
    }

    fn tick(&self, view: &View, now: Tick) -> (Option<Probe>, bool, Option<Tick>) {
        let table = view.tables.get(&self.service);
        let owns = table.is_some_and(|t| t.member(self.name()).is_some());
        let times = (now, self.shared.clock.unix());
        let unavailable = owns && self.health() == HealthState::Lost;
        self.counter.record_availability(times, !unavailable);
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
            info!(self.shared.logger, "upstream changed";
                "upstream" => %self.name(), "state" => %state);
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
            .get_or_create(&Metrics::upstream(self.name().as_str()))
            .set(i64::try_from(running).unwrap_or(i64::MAX));
        let due = self.settings.fenced
            && now >= inner.granted_at.after(GRANT_INTERVAL)
            && inner.health.may_grant();
        if due {
            inner.granted_at = now;
        }
        let next_grant = self
            .settings
            .fenced
            .then(|| inner.granted_at.after(GRANT_INTERVAL));
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
        // Any response shows that the process runs. Its status is not evidence of health and is
        // ignored.
        match answer {
            Ok(_) => inner.health.on_probe_answered(now, probe),
            Err(_) => inner.health.on_probe_failed(now, probe),
        }
        drop(inner);
        self.wake();
    }

    /// Finishes an attempt in the admission state and passes its result to the health state.
    /// Returns the report of the admission, if it accepts the ticket.
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

    /// Cancels a queued request or a retry that no caller waits for any more.
    pub(super) fn cancel(&self, id: TicketId) {
        let now = self.shared.clock.now();
        // Cancelling fails if the request was started or dropped in the meantime, which is
        // harmless.
        let _ = self.lock().admission.cancel(now, id);
    }

    pub(super) fn count_sent(&self) {
        let labels = Metrics::upstream(self.name().as_str());
        self.shared.metrics.sent.get_or_create(&labels).inc();
    }
}

/// Shortest wait between two ticks, so that a wake-up that is always due cannot spin.
const MIN_WAIT: Duration = Duration::from_millis(1);
