//! Order in which the requests of a host take room at upstreams.
//!
//! A request that finds no room waits in the host as long as it can still be in time. Waiting
//! requests are ordered by priority and then by the latest useful start, and only the first one may
//! take room; a new request that ranks behind one that waits joins the queue. The number of places
//! is limited: if all are taken, the request that ranks last is refused.
//!
//! Waiting cannot help a request for which every upstream is predicted to answer too late, because
//! the queues at the upstreams become shorter no faster than the time that it has left. It is
//! refused at once, and the caller can use its time elsewhere.
//!
//! Two rules protect a class of requests from another one of the same service:
//!
//! - A less urgent request joins the queue of an upstream only as far as the more urgent classes
//!   would still meet their objectives there; see [`bounds`].
//! - A class that is served less than a quarter as often as all requests of the service is owed
//!   service: its first request takes room before all others.
//!
//! All functions take the current tick, and none of them blocks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use smallvec::SmallVec;
use trefoil_core::{ServiceName, Tick};
use trefoil_route::Priority;

use crate::balancer::Bound;
use crate::share::{Occupancy, Share};
use crate::tempo::Tempo;

/// Most requests that wait in one queue. At three times its room, a host of the larger deployments
/// gets about as many requests of a service in a second.
const PLACES_MAX: usize = 32;

/// Requests that may wait whatever the recent rate. A host that was idle has no rate to go by.
const PLACES_MIN: usize = 4;

/// Part of the time until its latest useful start for which a request may be expected to wait. The
/// rest is a margin for the estimates; without it a queue that stays full serves all requests just
/// too late.
const WAIT_SHARE: f64 = 0.5;

/// Part of the time left within which a request must be predicted to be answered if it is to wait.
/// Without a margin, half of those that are sent after a wait are late and delay others.
const LEFT_SHARE: f64 = 0.8;

/// Part of the objective of a more urgent class up to which less urgent requests may fill an
/// upstream. Loads of single upstreams differ from the mean by about as much as the rest, because
/// hosts learn of each other's requests up to 400 ms late.
const URGENT_SHARE: f64 = 0.5;

/// Part of its own objective up to which a class may fill the upstreams.
const OWN_SHARE: f64 = 0.8;

/// Least share of a class in the service that it would get without an order.
const QUARTER: f64 = 0.25;

/// Requests of a class below which no service is owed to it: a quarter of fewer is less than one.
const ASKED_MIN: f64 = 4.0;

/// Time after which the counts of a queue that nobody uses are dropped.
const IDLE_MAX: Duration = Duration::from_secs(20);

/// A class of the requests to a service, from the routes that lead to it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Class {
    /// Priority of its routes.
    pub priority: Priority,
    /// Shortest objective of its routes.
    pub objective: Duration,
    /// Expected service time as a multiple of the service's mean.
    pub work: f64,
}

/// Rank of a request. Lower ones take room first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// Priority of the request's route.
    pub priority: Priority,
    /// Tick at which its work must start so that the answer is in time.
    pub latest_start: Tick,
    /// Number of the request, in the order of arrival.
    pub number: u64,
}

/// What a request can expect from waiting.
#[derive(Debug, Clone, Copy)]
pub struct Prospect {
    /// Lowest predicted latency over the upstreams that may answer it.
    pub answer: Duration,
    /// Time until its objective or its deadline, whichever comes first.
    pub left: Duration,
}

/// Why a request does not wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum Refusal {
    /// No upstream can answer it in time any more.
    #[display("late")]
    Late,
    /// Too many requests that rank before it wait.
    #[display("crowded")]
    Crowded,
    /// All places are taken by requests that rank before it.
    #[display("full")]
    Full,
}

/// Requests of a class in the recent past, with decaying weights.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    asked: Tempo,
    served: Tempo,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: BTreeSet<Place>,
    counts: BTreeMap<Priority, Count>,
    share: Share,
    used: Tick,
}

impl Queue {
    /// Returns `true` if a class is served less than a quarter as often as all.
    fn is_owed(&self, now: Tick, priority: Priority) -> bool {
        let Some(own) = self.counts.get(&priority).filter(|_| self.counts.len() > 1) else {
            return false;
        };
        let sum = |part: fn(&Count) -> &Tempo| -> f64 {
            self.counts.values().map(|c| part(c).weight(now)).sum()
        };
        let (asked, served) = (own.asked.weight(now), own.served.weight(now));
        let (all_asked, all_served) = (sum(|c| &c.asked), sum(|c| &c.served));
        asked >= ASKED_MIN && served * all_asked < QUARTER * all_served * asked
    }

    /// The request that may take room next, if `other` waited as well.
    fn next(&self, now: Tick, other: Option<Place>) -> Option<Place> {
        let first = |priority: Option<Priority>| {
            let of_class = |p: &&Place| priority.is_none_or(|priority| p.priority == priority);
            let known = self.waiting.iter().find(of_class).copied();
            let other = other.filter(|p| of_class(&p));
            known.into_iter().chain(other).min()
        };
        let owed = self.counts.keys().rev();
        let mut owed = owed.filter(|priority| self.is_owed(now, **priority));
        owed.find_map(|priority| first(Some(*priority)))
            .or_else(|| first(None))
    }

    fn ahead(&self, place: Place) -> usize {
        self.waiting.range(..place).count()
    }

    /// Expected time until this many requests have taken room, or `None` without a rate.
    fn drain_time(&self, now: Tick, requests: usize) -> Option<Duration> {
        let rate: f64 = self.counts.values().map(|c| c.served.rate(now)).sum();
        #[expect(
            clippy::cast_precision_loss,
            reason = "the number of places is far below the precision of the type"
        )]
        let seconds = requests as f64 / rate;
        Duration::try_from_secs_f64(seconds).ok()
    }
}

/// The queues of a host.
#[derive(Debug, Default)]
pub struct Admission {
    queues: BTreeMap<ServiceName, Queue>,
    next_number: u64,
}

impl Admission {
    /// Assigns a rank to a new request.
    pub fn rank(&mut self, priority: Priority, latest_start: Tick) -> Place {
        self.next_number += 1;
        Place {
            priority,
            latest_start,
            number: self.next_number,
        }
    }

    /// Counts a request that asks for room. Queues of services with one class are counted only
    /// while they are in use.
    pub fn ask(&mut self, now: Tick, service: &ServiceName, place: Place, classes: &[Class]) {
        if classes.len() < 2 && !self.queues.contains_key(service) {
            return;
        }
        let queue = self.queues.entry(service.clone()).or_default();
        queue.used = now;
        queue
            .counts
            .entry(place.priority)
            .or_default()
            .asked
            .add(now);
    }

    /// Returns `true` if a request, whether or not it waits, may take room before all that wait.
    pub fn is_next(&self, now: Tick, service: &ServiceName, place: Place) -> bool {
        self.queues
            .get(service)
            .is_none_or(|queue| queue.next(now, Some(place)) == Some(place))
    }

    /// The waiting request that may take room next.
    pub fn next(&self, now: Tick, service: &ServiceName) -> Option<Place> {
        self.queues.get(service)?.next(now, None)
    }

    /// The requests that may take room next, one of each queue.
    pub fn all_next(&self, now: Tick) -> Vec<Place> {
        let next = self.queues.values().map(|queue| queue.next(now, None));
        next.flatten().collect()
    }

    /// Returns `true` if service is owed to a class.
    pub fn is_owed(&self, now: Tick, service: &ServiceName, priority: Priority) -> bool {
        let queue = self.queues.get(service);
        queue.is_some_and(|queue| queue.is_owed(now, priority))
    }

    /// Returns `true` if a request of this class waits and none before it in its class. Such
    /// requests look for room from time to time, and the others wait for their turn.
    pub fn leads_class(&self, service: &ServiceName, place: Place) -> bool {
        let queue = self.queues.get(service);
        let first = queue.and_then(|q| q.waiting.iter().find(|p| p.priority == place.priority));
        first == Some(&place)
    }

    /// Adds a request to a queue, or confirms its place. Returns the request that has lost its
    /// place to it, if any.
    ///
    /// # Errors
    ///
    /// Fails if waiting is of no use to the request or all places are taken. It has no place then.
    pub fn join(
        &mut self,
        now: Tick,
        service: &ServiceName,
        place: Place,
        prospect: Prospect,
    ) -> Result<Option<Place>, Refusal> {
        if prospect.answer > prospect.left.mul_f64(LEFT_SHARE) || now >= place.latest_start {
            self.leave(service, place);
            return Err(Refusal::Late);
        }
        let queue = self.queues.entry(service.clone()).or_default();
        queue.used = now;
        if queue.waiting.contains(&place) {
            return Ok(None);
        }
        let ahead = queue.ahead(place);
        let slack = prospect.left.saturating_sub(prospect.answer);
        let wait = queue.drain_time(now, ahead);
        if ahead >= PLACES_MIN && wait.is_some_and(|wait| wait > slack.mul_f64(WAIT_SHARE)) {
            return Err(Refusal::Crowded);
        }
        queue.waiting.insert(place);
        if queue.waiting.len() <= PLACES_MAX {
            return Ok(None);
        }
        match queue.waiting.pop_last() {
            Some(last) if last == place => Err(Refusal::Full),
            last => Ok(last),
        }
    }

    /// Records that a request has taken room. Returns the classes of those that arrived before it
    /// and still wait.
    pub fn take(
        &mut self,
        now: Tick,
        service: &ServiceName,
        place: Place,
    ) -> SmallVec<[Priority; 4]> {
        let Some(queue) = self.queues.get_mut(service) else {
            return SmallVec::new();
        };
        queue.used = now;
        queue.waiting.remove(&place);
        queue
            .counts
            .entry(place.priority)
            .or_default()
            .served
            .add(now);
        let earlier = queue.waiting.iter().filter(|p| p.number < place.number);
        earlier.map(|p| p.priority).collect()
    }

    /// Removes a request that waits no longer.
    pub fn leave(&mut self, service: &ServiceName, place: Place) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.waiting.remove(&place);
        }
    }

    /// Returns `true` if this host, one of `hosts`, may send one more request of a queue within its
    /// part of the room.
    pub fn has_share(
        &mut self,
        now: Tick,
        service: &ServiceName,
        use_: Occupancy,
        hosts: u32,
    ) -> bool {
        let queue = self.queues.get_mut(service);
        queue.is_none_or(|queue| queue.share.has_room(now, use_, hosts))
    }

    /// Expected time until the requests that rank before this one have taken room.
    pub fn drain_before(&self, now: Tick, service: &ServiceName, place: Place) -> Duration {
        let queue = self.queues.get(service);
        let time = queue.and_then(|q| q.drain_time(now, q.ahead(place)));
        time.unwrap_or_default()
    }

    /// Number of waiting requests by service and priority.
    pub fn waiting(&self) -> BTreeMap<(ServiceName, Priority), u32> {
        let mut counts = BTreeMap::new();
        for (service, queue) in &self.queues {
            for place in &queue.waiting {
                let key = (service.clone(), place.priority);
                let count: &mut u32 = counts.entry(key).or_default();
                *count += 1;
            }
        }
        counts
    }

    /// Drops the queues that nobody has used for a while.
    pub fn expire(&mut self, now: Tick) {
        let is_used = |q: &Queue| !q.waiting.is_empty() || now.since(q.used) < IDLE_MAX;
        self.queues.retain(|_, queue| is_used(queue));
    }
}

/// Bounds that a request of a priority keeps to at an upstream.
pub fn bounds(classes: &[Class], priority: Priority) -> SmallVec<[Bound; 2]> {
    let urgent = classes.iter().filter(|class| class.priority < priority);
    let bound = |class: &Class| Bound {
        work: class.work,
        max_latency: class.objective.mul_f64(URGENT_SHARE),
    };
    urgent.map(bound).collect()
}

/// The bound up to which a class itself may fill the upstreams of its service.
pub fn own_bound(class: &Class) -> Bound {
    Bound {
        work: class.work,
        max_latency: class.objective.mul_f64(OWN_SHARE),
    }
}

/// Time after which the caller of a refused request should return: the expected time until there
/// is room, spread by a random number in `0..1` so that callers do not return together.
pub fn return_time(room: Duration, least: Duration, most: Duration, random: f64) -> Duration {
    let base = room.clamp(least, most.max(least * 2) / 2);
    base.mul_f64(1.0 + random)
}
