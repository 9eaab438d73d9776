//! Requests that wait in this host for room at an upstream.
//!
//! [`trefoil_balance::Admission`] decides on the order; this module keeps the waiting tasks. An event
//! wakes only the request that may take room next, which wakes the one after it when it has.

mod reports;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use futures_lite::FutureExt;
use slog::info;
use smallvec::SmallVec;
use trefoil_balance::{
    Admission, Bound, Class, Occupancy, Place, Prospect, Requirement, bounds, own_bound,
    return_time,
};
use trefoil_core::{ServiceName, Tick};
use trefoil_route::{Idempotency, Priority, Router};

use crate::forward::{Job, RETRY_AFTER_MAX, RETRY_AFTER_MIN, max_idle};
use crate::host::Host;
use crate::request_log::id_text;

pub(crate) use reports::Reports;

/// Time after which the first waiting request of a class looks for room without an event, because
/// room at an upstream can appear without one.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Classes of all services, of the configuration that they were derived from.
#[derive(Debug, Default)]
struct Classes {
    router: Option<Rc<Router>>,
    of: BTreeMap<ServiceName, Rc<[(Priority, Duration)]>>,
}

/// A waiting task.
#[derive(Debug)]
struct Sleeper {
    event: Rc<Event>,
    caller_gone: Rc<Cell<bool>>,
}

/// The waiting requests of a host.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    admission: RefCell<Admission>,
    sleepers: RefCell<BTreeMap<u64, Sleeper>>,
    classes: RefCell<Classes>,
    pub(crate) reports: Reports,
}

impl Waiting {
    fn wake(&self, place: Option<Place>) {
        let sleepers = self.sleepers.borrow();
        if let Some(sleeper) = place.and_then(|place| sleepers.get(&place.number)) {
            sleeper.event.notify(1);
        }
    }

    fn wake_next(&self, now: Tick, service: &ServiceName) {
        let next = self.admission.borrow().next(now, service);
        self.wake(next);
    }

    /// Wakes the requests that may take the room of one that has ended at an upstream.
    pub(crate) fn wake_for(&self, now: Tick, service: &ServiceName) {
        if self.sleepers.borrow().is_empty() {
            return;
        }
        self.wake_next(now, service);
    }

    /// Wakes the requests that may take room next after reports of other hosts.
    pub(crate) fn wake_first(&self, now: Tick) {
        if self.sleepers.borrow().is_empty() {
            return;
        }
        let next = self.admission.borrow().all_next(now);
        for place in next {
            self.wake(Some(place));
        }
    }

    /// Wakes all requests, which then consider that the host stops.
    pub(crate) fn wake_all(&self) {
        for sleeper in self.sleepers.borrow().values() {
            sleeper.event.notify(1);
        }
    }

    /// Wakes the requests whose callers have gone.
    pub(crate) fn wake_abandoned(&self) {
        let sleepers = self.sleepers.borrow();
        let gone = sleepers.values().filter(|s| s.caller_gone.get());
        for sleeper in gone {
            sleeper.event.notify(1);
        }
    }

    /// Drops the queues that are not in use.
    pub(crate) fn expire(&self, now: Tick) {
        self.admission.borrow_mut().expire(now);
    }

    /// Number of waiting requests by service and priority.
    pub(crate) fn counts(&self) -> BTreeMap<(ServiceName, Priority), u32> {
        self.admission.borrow().waiting()
    }

    /// Returns `true` if routes of several priorities lead to a service.
    pub(crate) fn competes(&self, host: &Host, service: &ServiceName) -> bool {
        self.classes(host, service).len() > 1
    }

    /// Priorities of the routes to a service with their shortest objectives, the most urgent first.
    fn classes(&self, host: &Host, service: &ServiceName) -> Rc<[(Priority, Duration)]> {
        self.update_classes(host);
        let known = self.classes.borrow();
        known.of.get(service).cloned().unwrap_or_default()
    }

    /// All services with the priorities of the routes to them.
    pub(crate) fn all_classes(&self, host: &Host) -> Vec<(ServiceName, Priority)> {
        self.update_classes(host);
        let known = self.classes.borrow();
        let classes = known.of.iter().flat_map(|(service, classes)| {
            let of_service = classes.iter();
            of_service.map(|(priority, _)| (service.clone(), *priority))
        });
        classes.collect()
    }

    /// Derives the classes anew if the configuration has changed.
    fn update_classes(&self, host: &Host) {
        let router = host.router();
        let mut known = self.classes.borrow_mut();
        let is_known = match (&known.router, &router) {
            (Some(known), Some(router)) => Rc::ptr_eq(known, router),
            _ => false,
        };
        if !is_known {
            known.of = router.as_deref().map(derive_classes).unwrap_or_default();
            known.router = router;
        }
    }
}

fn derive_classes(router: &Router) -> BTreeMap<ServiceName, Rc<[(Priority, Duration)]>> {
    let mut all: BTreeMap<ServiceName, BTreeMap<Priority, Duration>> = BTreeMap::new();
    for route in router.routes() {
        for target in route.targets.iter().filter(|t| t.weight > 0) {
            let classes = all.entry(target.service.clone()).or_default();
            let known = classes.entry(route.priority).or_insert(route.objective);
            *known = route.objective.min(*known);
        }
    }
    let list = |(service, classes): (ServiceName, BTreeMap<Priority, Duration>)| {
        (service, classes.into_iter().collect())
    };
    all.into_iter().map(list).collect()
}

/// What a request requires of an upstream at present.
pub(crate) struct Terms {
    urgent: SmallVec<[Bound; 2]>,
    work: f64,
    pool: Option<Occupancy>,
    max_idle: Duration,
    pub(crate) left: Duration,
    /// Its turn has come and the host has a part of the room left.
    pub(crate) may_send: bool,
}

impl Terms {
    pub(crate) fn requirement(&self) -> Requirement<'_> {
        Requirement {
            max_latency: self.left,
            max_idle: self.max_idle,
            work: self.work,
            urgent: &self.urgent,
            pool: self.pool,
        }
    }
}

/// The place of a request among those that wait. Dropping it frees the place.
pub(crate) struct Turn<'a> {
    host: &'a Host,
    job: &'a Job,
    place: Option<Place>,
    /// The queue that it has entered, which is that of a service.
    queue: Option<ServiceName>,
    event: Rc<Event>,
    /// When it began to wait.
    since: Option<Tick>,
}

impl<'a> Turn<'a> {
    pub(crate) fn new(host: &'a Host, job: &'a Job) -> Self {
        Self {
            host,
            job,
            place: None,
            queue: None,
            event: Rc::default(),
            since: None,
        }
    }

    /// Tick at which the work must start to be in time.
    fn latest_start(&self, now: Tick) -> Tick {
        let (job, balancer) = (self.job, self.host.balancer.borrow());
        let mean = balancer.mean_service_time(&job.service);
        let work = balancer.work(now, &job.service, job.route.priority);
        let work = mean.unwrap_or_default().mul_f64(work);
        Tick(
            job.arrived
                .after(job.route.objective)
                .0
                .saturating_sub(work),
        )
    }

    /// The rank in a queue. The request leaves the one that it was in before.
    fn enter(&mut self, now: Tick, service: &ServiceName, classes: &[Class]) -> Place {
        let latest_start = self.latest_start(now);
        let waiting = &self.host.waiting;
        if self.queue.as_ref().is_some_and(|known| known != service) {
            self.leave(now);
        }
        let mut admission = waiting.admission.borrow_mut();
        let place = *self
            .place
            .get_or_insert_with(|| admission.rank(self.job.route.priority, latest_start));
        if self.queue.is_none() {
            admission.ask(now, service, place, classes);
            self.queue = Some(service.clone());
        }
        place
    }

    /// What the request requires of the upstreams that it may be sent to.
    pub(crate) fn terms(&mut self, now: Tick, left: Duration) -> Terms {
        let (host, job) = (self.host, self.job);
        let (service, priority) = (&job.service, job.route.priority);
        let competing = host.waiting.classes(host, service);
        let balancer = host.balancer.borrow();
        let class = |(priority, objective): &(Priority, Duration)| Class {
            priority: *priority,
            objective: *objective,
            work: balancer.work(now, service, *priority),
        };
        // With one class there is nothing to compare service times with.
        let competing = competing.iter().filter(|_| competing.len() > 1);
        let classes: SmallVec<[Class; 4]> = competing.map(class).collect();
        let own = classes.iter().find(|class| class.priority == priority);
        let work = own.map_or(1.0, |class| class.work);
        let place = self.enter(now, service, &classes);
        let mut admission = host.waiting.admission.borrow_mut();
        let owed = admission.is_owed(now, service, priority);
        let waiting = host.waiting.reports.urgent_waiting(now, service, priority);
        let urgent = if owed {
            SmallVec::new()
        } else {
            bounds(&classes, priority)
        };
        let pool = own
            .map(|class| balancer.occupancy(now, service, own_bound(class), &urgent))
            .filter(Occupancy::is_scarce)
            .map(|pool| if owed { pool } else { pool.reserve(waiting) });
        let hosts = host.peers.borrow().all_hosts(now);
        let has_share = pool.is_none_or(|pool| admission.has_share(now, service, pool, hosts));
        let objective = job.arrived.after(job.route.objective).since(now);
        Terms {
            urgent,
            work,
            pool,
            max_idle: max_idle(job.route.idempotency),
            left: objective.min(left),
            may_send: has_share && admission.is_next(now, service, place),
        }
    }

    /// Records that the request is about to be sent, and wakes the next one.
    pub(crate) fn take(&mut self, now: Tick) {
        let (Some(service), Some(place)) = (self.queue.take(), self.place.take()) else {
            return;
        };
        let waiting = &self.host.waiting;
        let overtaken = waiting.admission.borrow_mut().take(now, &service, place);
        let metrics = &self.host.metrics.admission;
        for priority in overtaken {
            metrics.record_overtaken(&service, priority);
        }
        self.end(now, "sent");
        waiting.wake_next(now, &service);
    }

    /// Joins the queue or keeps the place in it, or returns the time after which the caller should
    /// try again.
    pub(crate) fn join(
        &mut self,
        now: Tick,
        prospect: Prospect,
        room: Duration,
    ) -> Result<(), Duration> {
        let (Some(service), Some(place)) = (self.queue.clone(), self.place) else {
            return Err(room);
        };
        let waiting = &self.host.waiting;
        let mut admission = waiting.admission.borrow_mut();
        let joined = admission.join(now, &service, place, prospect);
        let drain = admission.drain_before(now, &service, place);
        drop(admission);
        match joined {
            Ok(evicted) => {
                let sleeper = Sleeper {
                    event: Rc::clone(&self.event),
                    caller_gone: Rc::clone(&self.job.caller_gone),
                };
                waiting.sleepers.borrow_mut().insert(place.number, sleeper);
                self.since.get_or_insert(now);
                waiting.wake(evicted);
                Ok(())
            }
            Err(reason) => {
                self.host
                    .metrics
                    .admission
                    .record_refused(&service, place.priority, reason);
                self.end(now, "refused");
                self.leave(now);
                let random = rand::random();
                let room = room.max(drain);
                let after = return_time(room, RETRY_AFTER_MIN, RETRY_AFTER_MAX, random);
                Err(after)
            }
        }
    }

    /// Returns `true` if the host stops and may end before the answer.
    pub(crate) fn is_cut(&self, now: Tick) -> bool {
        let deadline = self.job.deadline;
        self.host
            .ends_before(now, deadline, Idempotency::AtMostOnce)
    }

    /// Waits until the request may look for room again.
    pub(crate) async fn wait(&self, now: Tick) {
        let (Some(service), Some(place)) = (&self.queue, self.place) else {
            return;
        };
        let leads = self
            .host
            .waiting
            .admission
            .borrow()
            .leads_class(service, place);
        let last = place.latest_start;
        let until = if leads {
            now.after(LOOK_INTERVAL).min(last)
        } else {
            last
        };
        let woken = self.event.listen();
        let timer = self.host.clock.sleep_until(until);
        timer.or(woken).await;
    }

    fn leave(&mut self, now: Tick) {
        let Some(service) = self.queue.take() else {
            return;
        };
        let waiting = &self.host.waiting;
        if let Some(place) = self.place {
            let was_next = waiting.admission.borrow().next(now, &service) == Some(place);
            waiting.admission.borrow_mut().leave(&service, place);
            waiting.sleepers.borrow_mut().remove(&place.number);
            if was_next {
                waiting.wake_next(now, &service);
            }
        }
    }

    /// Counts and logs the end of a wait.
    fn end(&mut self, now: Tick, result: &'static str) {
        let Some(since) = self.since.take() else {
            return;
        };
        let (host, job) = (self.host, self.job);
        let priority = job.route.priority;
        if let Some(place) = self.place {
            host.waiting.sleepers.borrow_mut().remove(&place.number);
        }
        host.metrics
            .admission
            .record_waited(&job.service, priority, result);
        info!(host.log, "request waited"; "id" => id_text(job.id.as_ref()),
            "service" => %job.service, "priority" => priority.0, "result" => result,
            "waited_ms" => now.since(since).as_millis());
    }
}

impl Drop for Turn<'_> {
    fn drop(&mut self) {
        let now = self.host.now();
        self.end(now, "left");
        self.leave(now);
    }
}
