//! The driver of one upstream: performs what `trefoil-dispatch` decides.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use event_listener::Event;
use futures_lite::FutureExt;
use http::{Request as HttpRequest, StatusCode};
use slog::{info, warn};
use smol::Task;
use trefoil_config::{Service, Upstream};
use trefoil_core::chart::ChartError;
use trefoil_core::{KeyHash, Outcome, ServiceName, Shard, Slots, Tick, UpstreamName};
use trefoil_dispatch::{
    Access, Actions, Admission, Cause, Decision, Dropped, Finished, Health, Probe, Proof, Record,
    Release, Report, Request, ShardState, State, Ticket, TicketId, WallClock,
};
use trefoil_log::View;
use trefoil_placement::Table;
use trefoil_wire::{AnswerHead, Body, ForwardHead, Peers};

use super::payload::Payload;
use super::{Answer, Dispatchers, exchange, failed};
use crate::authority::Authority;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::problem::Problem;
use crate::request::forwarded;
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
    waiters: BTreeMap<TicketId, Sender<Notice>>,
    granted: Tick,
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
    settings: Service,
    pub(super) pool: Pool,
    inner: Mutex<Inner>,
    woken: Event,
    stopped: AtomicBool,
    stop: Event,
    draining: AtomicBool,
    first: bool,
    predecessor_end: Tick,
    tasks: Mutex<Vec<Task<()>>>,
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
            waiters: BTreeMap::new(),
            granted: Tick::default(),
        };
        let keep = usize::try_from(service.limits.slots).unwrap_or(1);
        let longest = millis(service.deadlines.max) + margin;
        let driver = Arc::new(Self {
            peers: dispatchers.peers(),
            siblings: Arc::downgrade(dispatchers),
            service: service.name.clone(),
            declared: upstream.clone(),
            settings: service.clone(),
            pool: Pool::new(upstream.address, keep),
            inner: Mutex::new(inner),
            woken: Event::new(),
            stopped: AtomicBool::new(false),
            stop: Event::new(),
            draining: AtomicBool::new(false),
            first,
            predecessor_end: if first { now } else { now.after(longest) },
            tasks: Mutex::default(),
            shared,
            authority,
        });
        driver.sync(&driver.shared.view());
        let tasks = vec![
            smol::spawn(Arc::clone(&driver).run()),
            smol::spawn(Arc::clone(&driver).collect_releases()),
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
    pub fn health(&self) -> State {
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
            if let Some(shards) = grant {
                smol::spawn(Arc::clone(&self).grant(shards)).detach();
            }
            let latest = now.after(ROUND_MAX);
            let until = wake
                .map_or(latest, |w| w.min(latest))
                .max(now.after(MIN_WAIT));
            woken.or(self.shared.wait_change(until)).await;
        }
    }

    fn round(&self, view: &View, now: Tick) -> (Option<Probe>, Option<Vec<Shard>>, Option<Tick>) {
        let mut inner = self.lock();
        let probe = inner.health.poll(now);
        let leaving = view.upstream(self.name()).is_some_and(|(_, u)| u.leaving);
        let leaving = leaving || self.draining.load(Ordering::SeqCst);
        let before = inner.health.state();
        if leaving != matches!(before, State::Draining | State::Left) {
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
        let due = self.settings.fenced
            && now >= inner.granted.after(GRANT_EVERY)
            && inner.health.may_grant();
        let grant = due.then(|| {
            inner.granted = now;
            inner.admission.renew(now)
        });
        let next_grant = self
            .settings
            .fenced
            .then(|| inner.granted.after(GRANT_EVERY));
        let wakes = [
            inner.health.next_wake(),
            inner.admission.next_wake(now),
            next_grant,
        ];
        (
            probe,
            grant.filter(|g| !g.is_empty()),
            wakes.into_iter().flatten().min(),
        )
    }

    async fn probe(self: Arc<Self>, probe: Probe) {
        let mut request = HttpRequest::new(Bytes::new());
        *request.uri_mut() = http::Uri::from_static("/-/health");
        let answer = trefoil_http::call(self.address(), request, 4096, PROBE_TIMEOUT).await;
        let now = self.shared.clock.now();
        let mut inner = self.lock();
        // Any answer shows that the process runs; what the endpoint claims is only a hint.
        match answer {
            Ok(_) => inner.health.probe_answered(now, probe),
            Err(_) => inner.health.probe_failed(now, probe),
        }
        drop(inner);
        self.wake();
    }

    async fn grant(self: Arc<Self>, shards: Vec<Shard>) {
        let Some(token) = self.authority.token(self.name()) else {
            return;
        };
        if let Err(e) =
            exchange::grant(self.address(), token, self.shared.clock.unix(), &shards).await
        {
            warn!(self.shared.logger, "grant not accepted"; "upstream" => %self.name(), "error" => %e);
        }
    }

    /// Answers a forwarded request.
    pub async fn handle(
        self: &Arc<Self>,
        view: &View,
        head: ForwardHead,
        body: Body,
        until: Tick,
    ) -> Answer {
        let Some(table) = view.tables.get(&self.service) else {
            return failed(&self.shared, Outcome::NotRun, "the service has no table");
        };
        let shard = table.shard(head.key);
        let payload = match Payload::read(&head, body).await {
            Ok(payload) => payload,
            Err(reason) => return failed(&self.shared, Outcome::NotRun, &reason),
        };
        let mut request = Request::new(shard, until);
        if let Some(id) = &head.id {
            request = request.id(id.clone(), payload.digest(&head));
        }
        if head.idempotent {
            request = request.idempotent();
        }
        let now = self.shared.clock.now();
        let (sender, signals) = async_channel::unbounded();
        let decision = {
            let mut inner = self.lock();
            let decision = inner.admission.offer(now, request);
            let id = match &decision {
                Decision::Start(ticket) => Some(ticket.id()),
                Decision::Queued(id) => Some(*id),
                _ => None,
            };
            if let Some(id) = id {
                inner.waiters.insert(id, sender);
            }
            decision
        };
        let (id, ticket) = match decision {
            Decision::Start(ticket) => (ticket.id(), Some(ticket)),
            Decision::Queued(id) => (id, None),
            other => return self.refused(&other),
        };
        self.wake();
        let job = Job {
            driver: Arc::clone(self),
            head,
            payload,
            shard,
            id,
            signals,
            until,
        };
        if job.head.idempotent {
            return job.run(ticket).await;
        }
        // The caller may go away, but a request that is not idempotent runs to its end so that its
        // outcome is learnt.
        let (answered, answer) = async_channel::bounded(1);
        smol::spawn(async move {
            let _ = answered.send(job.run(ticket).await).await;
        })
        .detach();
        match answer.recv().await {
            Ok(answer) => answer,
            Err(_) => failed(&self.shared, Outcome::Unknown, "the request was given up"),
        }
    }

    fn refused(&self, decision: &Decision) -> Answer {
        let outcome = decision.outcome().unwrap_or(Outcome::Unknown);
        let reason = match decision {
            Decision::Shed(why, _) => format!("the request was shed: {why}"),
            Decision::Repeat(record) => return self.repeated(*record),
            Decision::InFlight => {
                let detail = "a request with this id is being executed; repeat it later";
                return self.problem(&Problem {
                    outcome,
                    ..Problem::not_run(StatusCode::CONFLICT, detail)
                });
            }
            Decision::Conflict => {
                let detail = "another request was seen under this id";
                return self.problem(&Problem::not_run(StatusCode::UNPROCESSABLE_ENTITY, detail));
            }
            Decision::Start(_) | Decision::Queued(_) => String::new(),
        };
        failed(&self.shared, outcome, &reason)
    }

    /// Answers with a status of its own. The ingress does not forward such a request again, because
    /// this is an answer and no failure.
    fn problem(&self, problem: &Problem) -> Answer {
        let (parts, document) = problem.document().into_parts();
        let head = AnswerHead::Answer {
            status: parts.status.as_u16(),
            headers: forwarded(&parts.headers),
            outcome: problem.outcome,
            revision: self.shared.view().revision,
        };
        (head, trefoil_wire::body::full(document))
    }

    /// Answers a repeat of a request that has finished. The body of the first answer is not kept.
    fn repeated(&self, record: Record) -> Answer {
        let revision = self.shared.view().revision;
        let head = match record.status {
            Some(status) => AnswerHead::Answer {
                status: status.0,
                headers: vec![("trefoil-repeat".to_owned(), b"1".to_vec())],
                outcome: record.outcome,
                revision,
            },
            None => AnswerHead::failed(record.outcome, "repeat of a finished request", revision),
        };
        (head, trefoil_wire::body::empty())
    }

    /// Reports the end of an attempt. Returns the report if the request has ended.
    fn finish(&self, ticket: Ticket, cause: Cause) -> Option<Report> {
        let now = self.shared.clock.now();
        let mut inner = self.lock();
        let finished = inner.admission.finish(now, ticket, cause).ok();
        let report = finished.map(|f| {
            let Finished {
                report,
                verdict,
                actions,
            } = f;
            inner.health.observe(now, verdict.signal);
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
        let labels = Metrics::upstream(self.name().as_str());
        self.shared.metrics.sent.get_or_create(&labels).inc();
    }
}

/// Shortest wait between two rounds, so that a tick that is due at once cannot spin.
const MIN_WAIT: Duration = Duration::from_millis(1);

/// A started request. If it is dropped, because its caller has gone away, the slot is given back
/// and the request counts as abandoned, or as not written if it was not.
#[derive(Debug)]
pub(super) struct Held {
    driver: Arc<Driver>,
    ticket: Option<Ticket>,
    written: bool,
}

impl Held {
    fn new(driver: &Arc<Driver>, ticket: Ticket) -> Self {
        Self {
            driver: Arc::clone(driver),
            ticket: Some(ticket),
            written: false,
        }
    }

    /// Notes that from now on a part of the request may be written.
    pub(super) fn written(&mut self) {
        self.written = true;
    }

    /// Whether the request may be handed to a connection now.
    pub(super) fn may_write(&self) -> bool {
        let now = self.driver.shared.clock.now();
        let inner = self.driver.lock();
        self.ticket
            .as_ref()
            .is_some_and(|t| inner.admission.check_write(now, t).is_ok())
    }

    /// Reports the end of the attempt.
    pub(super) fn finish(mut self, cause: Cause) -> Option<Report> {
        self.ticket
            .take()
            .and_then(|ticket| self.driver.finish(ticket, cause))
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket.take() {
            let cause = if self.written {
                Cause::Abandoned
            } else {
                Cause::NothingWritten
            };
            let report = self.driver.finish(ticket, cause);
            if let Some(Report::Retry(id)) = report {
                self.driver.cancel(id);
            }
        }
    }
}

/// One admitted request.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) driver: Arc<Driver>,
    pub(super) head: ForwardHead,
    pub(super) payload: Payload,
    pub(super) shard: Shard,
    id: TicketId,
    pub(super) signals: Receiver<Notice>,
    pub(super) until: Tick,
}

impl Drop for Job {
    fn drop(&mut self) {
        let mut inner = self.driver.lock();
        inner.waiters.remove(&self.id);
        drop(inner);
        // Takes a request out of the queue whose caller has gone away. It has no effect on one that
        // has ended.
        self.driver.cancel(self.id);
    }
}

impl Job {
    async fn run(mut self, mut ticket: Option<Ticket>) -> Answer {
        loop {
            let ready = match ticket.take() {
                Some(ready) => ready,
                None => match self.signals.recv().await {
                    Ok(Notice::Start(ready)) => ready,
                    Ok(Notice::Dropped(dropped)) => return self.dropped(dropped),
                    Ok(Notice::Expired | Notice::Close) => continue,
                    Err(_) => {
                        let reason = "the dispatcher stopped";
                        return failed(&self.driver.shared, Outcome::NotRun, reason);
                    }
                },
            };
            let held = Held::new(&self.driver, ready);
            match self.attempt(held).await {
                exchange::Attempt::Answer(answer) => return answer,
                exchange::Attempt::Ended(cause, Some(Report::Answer(record))) => {
                    let reason = cause.to_string();
                    return failed(&self.driver.shared, record.outcome, &reason);
                }
                exchange::Attempt::Ended(_, Some(Report::Retry(_))) => {}
                exchange::Attempt::Ended(cause, None) => {
                    return failed(&self.driver.shared, Outcome::Unknown, &cause.to_string());
                }
            }
        }
    }

    fn dropped(&self, dropped: Dropped) -> Answer {
        let reason = format!("the request was shed: {}", dropped.why);
        failed(&self.driver.shared, dropped.outcome, &reason)
    }
}
