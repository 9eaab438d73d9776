//! Selects upstreams by predicted latency.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use trefoil_core::{DomainName, ServiceName, Slots, Tick};
use trefoil_directory::{Registration, Tag};

use crate::estimate::Estimate;
use crate::load::{Load, Outcome};

/// Limit on open requests at an upstream, as a multiple of its slots. An upstream queues a few
/// requests, and some never answer a request that they cannot queue.
const OPEN_MAX: u32 = 3;

/// Service time assumed for a service that has not answered any request yet.
const DEFAULT_TIME: Duration = Duration::from_millis(150);

/// Weight of the service's mean in the estimate of one upstream, in observations.
const PRIOR_WEIGHT: f64 = 3.0;

/// Slowdown assumed for an upstream that has just started.
const COLD_FACTOR: f64 = 2.0;

/// Latency advantage that an upstream in another failure domain must be predicted to have, as a
/// share of the maximum latency of the request. At the prices of both users the traffic of a
/// request and its answer to another domain costs 5% to 10% of the request's worth, and an
/// additional latency of this share makes a late answer more likely by about as much.
const DOMAIN_SHARE: f64 = 0.25;

/// Latency penalty of an upstream whose requests all fail.
const FAILURE_COST: Duration = Duration::from_secs(2);

/// Random part of a score, as a share of the service time. Without it, hosts with the same view of
/// all upstreams would send to the same one until they learn of each other's requests.
const JITTER: f64 = 1.0;

/// Constraints that a request puts on the selection.
#[derive(Debug, Clone, Copy)]
pub struct Requirement {
    /// Latest predicted latency that is acceptable.
    pub max_latency: Duration,
}

/// An upstream of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// Hash of the upstream's name.
    pub tag: Tag,
    /// Set if the upstream is in the failure domain of this host.
    pub local: bool,
}

/// Result of a selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The request goes to this upstream.
    Upstream(Tag),
    /// All upstreams are at capacity; there may be room after this time.
    Full(Duration),
    /// The service has no upstream that accepts requests.
    NoCandidate,
}

/// A scored upstream.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    tag: Tag,
    /// Predicted latency plus the penalty for failures.
    cost: Duration,
    /// `cost` with a random part.
    jittered: Duration,
}

#[derive(Debug, Default)]
struct ServiceLoad {
    members: Vec<Member>,
    time: Estimate,
}

/// Selects upstreams by predicted latency.
#[derive(Debug)]
pub struct Balancer {
    domain: DomainName,
    loads: HashMap<Tag, Load>,
    services: BTreeMap<ServiceName, ServiceLoad>,
    service_of: HashMap<Tag, ServiceName>,
}

impl Balancer {
    /// Creates the balancer of a host in `domain`.
    pub fn new(domain: DomainName) -> Self {
        Self {
            domain,
            loads: HashMap::new(),
            services: BTreeMap::new(),
            service_of: HashMap::new(),
        }
    }

    /// Adds or updates an upstream. One that is not `ready` is no longer selected; its load is kept
    /// for its open requests.
    pub fn register(&mut self, now: Tick, registration: &Registration, ready: bool) {
        let tag = Tag::of(&registration.incarnation.name);
        let cold_until = match registration.warmup {
            Duration::ZERO => Tick::default(),
            left => now.after(left),
        };
        let slots = Slots(registration.slots.0.max(1));
        self.loads
            .entry(tag)
            .or_insert_with(|| Load::new(slots, cold_until))
            .update(slots, cold_until);
        self.remove_member(tag);
        if ready {
            let member = Member {
                tag,
                local: registration.domain == self.domain,
            };
            let service = registration.service.clone();
            let load = self.services.entry(service.clone()).or_default();
            load.members.push(member);
            self.service_of.insert(tag, service);
        }
    }

    /// Discards the load of an upstream that has restarted.
    pub fn reset(&mut self, tag: Tag) {
        if let Some(load) = self.loads.get_mut(&tag) {
            *load = Load::new(load.slots(), Tick::default());
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, tag: Tag) {
        self.remove_member(tag);
        self.loads.remove(&tag);
    }

    fn remove_member(&mut self, tag: Tag) {
        if let Some(service) = self.service_of.remove(&tag)
            && let Some(load) = self.services.get_mut(&service)
        {
            load.members.retain(|m| m.tag != tag);
        }
    }

    /// Load of an upstream.
    pub fn load(&self, tag: Tag) -> Option<&Load> {
        self.loads.get(&tag)
    }

    /// All upstreams with their loads.
    pub fn loads(&self) -> impl Iterator<Item = (Tag, &Load)> {
        self.loads.iter().map(|(tag, load)| (*tag, load))
    }

    /// Load of an upstream, to update it from the reports of other hosts.
    pub fn load_mut(&mut self, tag: Tag) -> Option<&mut Load> {
        self.loads.get_mut(&tag)
    }

    /// Expected service time at an upstream, without queueing.
    pub fn service_time(&self, now: Tick, tag: Tag) -> Duration {
        let service = self.service_of.get(&tag).and_then(|s| self.services.get(s));
        let mean_time = service.and_then(|s| s.time.mean()).unwrap_or(DEFAULT_TIME);
        let Some(load) = self.loads.get(&tag) else {
            return mean_time;
        };
        let prior = Estimate::from_mean(now, mean_time, PRIOR_WEIGHT);
        let time = load.estimate(now).merge(prior).mean().unwrap_or(mean_time);
        if load.is_cold(now) && load.estimate(now).weight() < PRIOR_WEIGHT {
            time.mul_f64(COLD_FACTOR)
        } else {
            time
        }
    }

    /// Predicted latency of one more request at an upstream.
    pub fn predict_latency(&self, now: Tick, tag: Tag) -> Duration {
        let time = self.service_time(now, tag);
        let Some(load) = self.loads.get(&tag) else {
            return time;
        };
        let queued = f64::from(
            load.open(now)
                .saturating_add(1)
                .saturating_sub(load.slots().0),
        );
        time.mul_f64(1.0 + queued / f64::from(load.slots().0))
    }

    /// Scores an upstream for selection.
    fn score(&self, now: Tick, tag: Tag) -> Candidate {
        let mut cost = self.predict_latency(now, tag);
        if let Some(load) = self.loads.get(&tag) {
            if load.is_backed_off(now) {
                cost += FAILURE_COST;
            }
            cost += FAILURE_COST.mul_f64(load.failure_rate());
        }
        let jittered = cost
            + self
                .service_time(now, tag)
                .mul_f64(JITTER * rand::random::<f64>());
        Candidate {
            tag,
            cost,
            jittered,
        }
    }

    /// Checks that an upstream has room for one more request and is predicted to answer it in time.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there may be room.
    pub fn check_admission(&self, now: Tick, tag: Tag, need: Requirement) -> Result<(), Duration> {
        let Some(load) = self.loads.get(&tag) else {
            return Ok(());
        };
        let slots = load.slots().0;
        let open = load.open(now);
        let free = open < slots;
        let late = self.predict_latency(now, tag) > need.max_latency;
        if open < slots.saturating_mul(OPEN_MAX) && (free || !late) {
            return Ok(());
        }
        // Slots become free at a rate of one per service time divided by the number of slots.
        Err(self.service_time(now, tag).div_f64(f64::from(slots)))
    }

    /// Selects an upstream of a service, except those in `tried` and those that `admit` rejects with
    /// the time after which they may take a request.
    pub fn choose<F>(
        &self,
        now: Tick,
        service: &ServiceName,
        need: Requirement,
        tried: &[Tag],
        mut admit: F,
    ) -> Choice
    where
        F: FnMut(Tag) -> Result<(), Duration>,
    {
        let Some(service) = self.services.get(service) else {
            return Choice::NoCandidate;
        };
        let members = service.members.iter().filter(|m| !tried.contains(&m.tag));
        let (mut local, mut remote) = (None, None);
        let mut room: Option<Duration> = None;
        for member in members {
            let admitted = self.check_admission(now, member.tag, need);
            if let Err(wait) = admitted.and_then(|()| admit(member.tag)) {
                room = Some(room.map_or(wait, |r| r.min(wait)));
                continue;
            }
            let scored = self.score(now, member.tag);
            let best = if member.local {
                &mut local
            } else {
                &mut remote
            };
            if best.is_none_or(|b: Candidate| scored.jittered < b.jittered) {
                *best = Some(scored);
            }
        }
        let domain_cost = need.max_latency.mul_f64(DOMAIN_SHARE);
        let best = match (local, remote) {
            (Some(local), Some(remote)) if remote.cost + domain_cost < local.cost => Some(remote),
            (Some(local), _) => Some(local),
            (None, remote) => remote,
        };
        match (best, room) {
            (Some(scored), _) => Choice::Upstream(scored.tag),
            (None, Some(wait)) => Choice::Full(wait),
            (None, None) => Choice::NoCandidate,
        }
    }

    /// Counts a request as open at an upstream, and returns how many were open before.
    pub fn begin(&mut self, now: Tick, tag: Tag) -> u32 {
        let Some(load) = self.loads.get_mut(&tag) else {
            return 0;
        };
        let open = load.open(now);
        load.begin();
        open
    }

    /// Records the end of a request; `open` is the result of [`begin`](Self::begin).
    pub fn end(&mut self, now: Tick, tag: Tag, outcome: Outcome, open: u32, took: Duration) {
        let Some(load) = self.loads.get_mut(&tag) else {
            return;
        };
        load.end(now, outcome, open, took);
        if outcome == Outcome::Answered
            && let Some(service) = self
                .service_of
                .get(&tag)
                .and_then(|s| self.services.get_mut(s))
        {
            let queued = f64::from(open.saturating_add(1).saturating_sub(load.slots().0));
            let share = 1.0 + queued / f64::from(load.slots().0.max(1));
            service.time.observe(now, took.div_f64(share));
        }
    }

    /// Mean service time over the upstreams of a service, if any has answered.
    pub fn mean_service_time(&self, service: &ServiceName) -> Option<Duration> {
        self.services.get(service)?.time.mean()
    }
}
