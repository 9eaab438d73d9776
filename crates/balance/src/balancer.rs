//! Choosing an upstream.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use trefoil_core::{DomainName, ServiceName, Slots, Tick};
use trefoil_directory::{Registration, Tag};

use crate::estimate::Estimate;
use crate::load::{Load, Outcome};

/// Requests at an upstream, as a multiple of its slots, beyond which none is sent. An upstream
/// queues a few requests, and some never answer one that they cannot queue.
const OPEN_MAX: u32 = 3;

/// Assumed time of work at an upstream of a service of which no answer has been seen.
const UNKNOWN_TIME: Duration = Duration::from_millis(150);

/// Observations that the mean of the service counts for in the estimate of one upstream.
const PRIOR: f64 = 3.0;

/// How much slower an upstream is that has just started.
const COLD: f64 = 2.0;

/// How much earlier an answer from another failure domain must be predicted to be worth leaving this
/// one, as a share of the longest time that the answer may take. At the prices of both users the
/// bytes of a request and its answer cost 5% to 10% of what the request is worth, and a prediction
/// that is later by this share makes a late answer about that much likelier.
const DOMAIN_SHARE: f64 = 0.25;

/// Added to the prediction for an upstream whose requests all fail.
const FAILURE_COST: Duration = Duration::from_secs(2);

/// Random part of a prediction, as a share of the time of work. Hosts that know the same of all
/// upstreams would otherwise send to the same one until they hear of each other's requests.
const JITTER: f64 = 1.0;

/// What a request needs from an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Requirement {
    /// Longest time that an answer may be predicted to take.
    pub max_latency: Duration,
}

/// An upstream of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The upstream.
    pub tag: Tag,
    /// Whether it is in this host's failure domain.
    pub local: bool,
}

/// Where a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// To this upstream.
    Upstream(Tag),
    /// Nowhere now; there may be room after this time.
    Full(Duration),
    /// Nowhere: no upstream is known that takes requests.
    NoCandidate,
}

/// An upstream that could get a request.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    tag: Tag,
    /// Predicted time until it answers, and what its failures are worth.
    cost: Duration,
    /// The same with a random part.
    jittered: Duration,
}

#[derive(Debug, Default)]
struct ServiceLoad {
    members: Vec<Member>,
    time: Estimate,
}

/// Chooses upstreams by predicted answer time.
#[derive(Debug)]
pub struct Balancer {
    domain: DomainName,
    loads: HashMap<Tag, Load>,
    services: BTreeMap<ServiceName, ServiceLoad>,
    service_of: HashMap<Tag, ServiceName>,
}

impl Balancer {
    /// A balancer of a host in `domain`.
    pub fn new(domain: DomainName) -> Self {
        Self {
            domain,
            loads: HashMap::new(),
            services: BTreeMap::new(),
            service_of: HashMap::new(),
        }
    }

    /// Takes in an upstream's registration. `ready` says whether it takes new work; one that does
    /// not is not chosen any more, and its load is kept for the requests that it still has.
    pub fn register(&mut self, now: Tick, registration: &Registration, ready: bool) {
        let tag = Tag::of(&registration.incarnation.name);
        let cold = match registration.warmup {
            Duration::ZERO => Tick::default(),
            left => now.after(left),
        };
        let slots = Slots(registration.slots.0.max(1));
        self.loads
            .entry(tag)
            .or_insert_with(|| Load::new(slots, cold))
            .update(slots, cold);
        self.leave(tag);
        if ready {
            let member = Member {
                tag,
                local: registration.domain == self.domain,
            };
            let service = registration.service.clone();
            let of = self.services.entry(service.clone()).or_default();
            of.members.push(member);
            self.service_of.insert(tag, service);
        }
    }

    /// A new life of an upstream: nothing of the one before holds.
    pub fn reset(&mut self, tag: Tag) {
        if let Some(load) = self.loads.get_mut(&tag) {
            *load = Load::new(load.slots(), Tick::default());
        }
    }

    /// Forgets an upstream.
    pub fn remove(&mut self, tag: Tag) {
        self.leave(tag);
        self.loads.remove(&tag);
    }

    fn leave(&mut self, tag: Tag) {
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

    /// Load of an upstream, to take in what other hosts say.
    pub fn load_mut(&mut self, tag: Tag) -> Option<&mut Load> {
        self.loads.get_mut(&tag)
    }

    /// Expected time of work at an upstream, without waiting.
    pub fn service_time(&self, now: Tick, tag: Tag) -> Duration {
        let service = self.service_of.get(&tag).and_then(|s| self.services.get(s));
        let usual = service.and_then(|s| s.time.mean()).unwrap_or(UNKNOWN_TIME);
        let Some(load) = self.loads.get(&tag) else {
            return usual;
        };
        let prior = Estimate::from_mean(now, usual, PRIOR);
        let time = load.estimate(now).merge(prior).mean().unwrap_or(usual);
        if load.is_cold(now) && load.estimate(now).weight() < PRIOR {
            time.mul_f64(COLD)
        } else {
            time
        }
    }

    /// Predicted time until an upstream answers one more request.
    pub fn predict_latency(&self, now: Tick, tag: Tag) -> Duration {
        let time = self.service_time(now, tag);
        let Some(load) = self.loads.get(&tag) else {
            return time;
        };
        let queued = f64::from((load.open(now) + 1).saturating_sub(load.slots().0));
        time.mul_f64(1.0 + queued / f64::from(load.slots().0))
    }

    /// What choosing an upstream costs.
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

    /// Whether an upstream has room for one more request that is answered in time.
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
        if open < slots * OPEN_MAX && (free || !late) {
            return Ok(());
        }
        // Room for one appears after about one time of work shared by all slots.
        Err(self.service_time(now, tag).div_f64(f64::from(slots)))
    }

    /// Chooses an upstream of a service that is not in `tried`.
    pub fn choose(
        &self,
        now: Tick,
        service: &ServiceName,
        need: Requirement,
        tried: &[Tag],
    ) -> Choice {
        let Some(service) = self.services.get(service) else {
            return Choice::NoCandidate;
        };
        let members = service.members.iter().filter(|m| !tried.contains(&m.tag));
        let (mut local, mut remote) = (None, None);
        let mut room: Option<Duration> = None;
        for member in members {
            if let Err(wait) = self.check_admission(now, member.tag, need) {
                room = Some(room.map_or(wait, |r| r.min(wait)));
                continue;
            }
            let option = self.score(now, member.tag);
            let best = if member.local {
                &mut local
            } else {
                &mut remote
            };
            if best.is_none_or(|b: Candidate| option.jittered < b.jittered) {
                *best = Some(option);
            }
        }
        let domain_cost = need.max_latency.mul_f64(DOMAIN_SHARE);
        let best = match (local, remote) {
            (Some(local), Some(remote)) if remote.cost + domain_cost < local.cost => Some(remote),
            (Some(local), _) => Some(local),
            (None, remote) => remote,
        };
        match (best, room) {
            (Some(option), _) => Choice::Upstream(option.tag),
            (None, Some(wait)) => Choice::Full(wait),
            (None, None) => Choice::NoCandidate,
        }
    }

    /// A request is sent to an upstream; returns how many were open before.
    pub fn begin(&mut self, now: Tick, tag: Tag) -> u32 {
        let Some(load) = self.loads.get_mut(&tag) else {
            return 0;
        };
        let open = load.open(now);
        load.begin();
        open
    }

    /// A request at an upstream has ended; `open` is what [`begin`](Self::begin) returned.
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
            let queued = f64::from((open + 1).saturating_sub(load.slots().0));
            let share = 1.0 + queued / f64::from(load.slots().0.max(1));
            service.time.observe(now, took.div_f64(share));
        }
    }

    /// Mean time of work at the upstreams of a service, if any answer has been seen.
    pub fn mean_service_time(&self, service: &ServiceName) -> Option<Duration> {
        self.services.get(service)?.time.mean()
    }
}
