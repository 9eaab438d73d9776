//! Selects upstreams by predicted latency.

mod competing;
mod members;

use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use smallvec::SmallVec;
use trefoil_core::{DomainName, ServiceName, Slots, Tick};
use trefoil_directory::{Upstream, UpstreamId};

use crate::Tag;
use crate::estimate::Estimate;
use crate::health::{Counts, Others};
use crate::load::{Load, Outcome, WARMUP_ERROR};
use crate::outlier::{Decision, Outliers};
use crate::share::Occupancy;
use crate::work::Works;

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

/// Time after the start of an upstream in which other hosts may report the failures of its earlier
/// run, which has the same tag.
const EARLIER_RUN_MAX: Duration = Duration::from_millis(3500);

/// Latency penalty of an upstream whose requests all fail or are refused.
const FAILURE_COST: Duration = Duration::from_secs(2);

/// Random part of a score, as a share of the service time. Without it, hosts with the same view of
/// all upstreams would send to the same one until they learn of each other's requests.
const JITTER: f64 = 1.0;

/// Advantage of an upstream to which this host has an idle connection, as a share of the service
/// time. Opening one takes two crossings of the network and a part of a slot's time. The share is
/// less than the random part, so that a host does not always send to the same upstream.
const IDLE_SHARE: f64 = 0.5;

/// Factor of the number that is drawn for such an upstream where upstreams are drawn at random.
const IDLE_DRAW: f64 = 0.25;

/// Tolerance of the bounds of one upstream where the use of all upstreams together is bounded. With
/// none, all hosts leave the same upstreams out at once when their reports arrive.
const POOL_TOLERANCE: f64 = 1.3;

/// Constraints that a request puts on the selection.
#[derive(Debug, Clone, Copy)]
pub struct Requirement<'a> {
    /// Latest predicted latency that is acceptable.
    pub max_latency: Duration,
    /// Longest idle time of a connection that may carry the request.
    pub max_idle: Duration,
    /// Expected service time of the request as a multiple of its service's mean.
    pub work: f64,
    /// What more urgent requests need of an upstream after this one has been added to its queue.
    /// A free slot may be taken regardless.
    pub urgent: &'a [Bound],
    /// Use of all upstreams of the service, if the load of each one is estimated from it. Reports
    /// of a single upstream alone make all hosts choose the same ones at once.
    pub pool: Option<Occupancy>,
}

impl Requirement<'_> {
    /// The constraint of a request with the mean service time, which yields to no other one.
    pub fn within(max_latency: Duration) -> Self {
        Self {
            max_latency,
            max_idle: Duration::ZERO,
            work: 1.0,
            urgent: &[],
            pool: None,
        }
    }
}

/// Bound on the predicted latency of the next request of a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Its expected service time as a multiple of the service's mean.
    pub work: f64,
    /// Latest acceptable prediction.
    pub max_latency: Duration,
}

/// An upstream of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Member {
    /// The upstream.
    pub id: UpstreamId,
    /// Set if the upstream is in the failure domain of this host.
    pub local: bool,
}

/// Result of a selection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// The request goes to this upstream.
    Upstream(UpstreamId),
    /// All upstreams are at capacity; there may be room after this time.
    Full(Duration),
    /// All upstreams with room warm up, and there is no permit for any of them now.
    Cold,
    /// The service has no upstream that accepts requests.
    NoCandidate,
}

/// A scored upstream.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    id: UpstreamId,
    /// Predicted latency plus the penalty for failures.
    cost: Duration,
    /// `cost` with a random part.
    jittered: Duration,
}

#[derive(Debug)]
struct TaggedLoad {
    tag: Tag,
    /// When the run was registered.
    since: Tick,
    load: Load,
}

#[derive(Debug, Default)]
struct ServiceLoad {
    members: Vec<Member>,
    time: Estimate,
    works: Works,
}

/// Selects upstreams by predicted latency.
#[derive(Debug)]
pub struct Balancer {
    domain: DomainName,
    loads: HashMap<UpstreamId, TaggedLoad>,
    services: BTreeMap<ServiceName, ServiceLoad>,
    service_of: HashMap<UpstreamId, ServiceName>,
    /// Upstreams by their short identity in the reports of other hosts.
    tagged: HashMap<Tag, SmallVec<[UpstreamId; 1]>>,
    outliers: Outliers,
}

impl Balancer {
    /// Creates the balancer of a host in `domain`.
    pub fn new(domain: DomainName) -> Self {
        Self {
            domain,
            loads: HashMap::new(),
            services: BTreeMap::new(),
            service_of: HashMap::new(),
            tagged: HashMap::new(),
            outliers: Outliers::default(),
        }
    }

    /// Adds or updates an upstream. One that is not `ready` is no longer selected; its load is kept
    /// for its open requests.
    pub fn register(&mut self, now: Tick, upstream: &Upstream, ready: bool) {
        let Upstream { id, registration } = upstream;
        let cold_until = match registration.warmup {
            Duration::ZERO => Tick::default(),
            left => now.after(left),
        };
        let slots = Slots(registration.slots.0.max(1));
        let tagged = self.loads.entry(*id).or_insert_with(|| {
            let tag = Tag::of(&registration.incarnation.name);
            self.tagged.entry(tag).or_default().push(*id);
            let load = Load::new(slots, cold_until);
            TaggedLoad {
                tag,
                since: now,
                load,
            }
        });
        tagged.load.update(slots, cold_until);
        self.set_member(upstream, ready);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, id: UpstreamId) {
        self.remove_member(id);
        self.outliers.remove(id);
        let Some(removed) = self.loads.remove(&id) else {
            return;
        };
        if let Entry::Occupied(mut same) = self.tagged.entry(removed.tag) {
            same.get_mut().retain(|other| *other != id);
            if same.get().is_empty() {
                same.remove();
            }
        }
    }

    /// Records the remaining warm-up in a later registration of an upstream. Returns whether the
    /// upstream has become cold again since it was registered.
    ///
    /// The remaining time is as old as the registration, so a warm-up seems to end later than it
    /// does, by as much as the registration took to arrive. It is compared with the end that the
    /// other hosts have learned of, so that small differences do not add up unseen by them.
    pub fn renew_warmup(&mut self, now: Tick, id: UpstreamId, left: Duration) -> bool {
        let Some(TaggedLoad { load, .. }) = self.loads.get_mut(&id) else {
            return false;
        };
        let until = now.after(left);
        let cold_again = until > load.told_until().after(WARMUP_ERROR);
        match () {
            () if left.is_zero() => {}
            () if cold_again => load.update(load.slots(), until),
            () => load.extend_warmup(until),
        }
        cold_again && !left.is_zero()
    }

    /// Updates the load of an upstream.
    pub fn update_load<F>(&mut self, id: UpstreamId, update: F)
    where
        F: FnOnce(&mut Load),
    {
        if let Some(tagged) = self.loads.get_mut(&id) {
            update(&mut tagged.load);
        }
    }

    /// Load of an upstream.
    pub fn load(&self, id: UpstreamId) -> Option<&Load> {
        self.loads.get(&id).map(|tagged| &tagged.load)
    }

    /// All upstreams with their loads.
    pub fn loads(&self) -> impl Iterator<Item = (UpstreamId, &Load)> {
        self.loads.iter().map(|(id, tagged)| (*id, &tagged.load))
    }

    /// The loads of all upstreams with their short identities, for a report to other hosts.
    pub fn tagged_loads(&self) -> impl Iterator<Item = (Tag, &Load)> {
        self.loads.values().map(|tagged| (tagged.tag, &tagged.load))
    }

    /// The upstream with this short identity, if there is only one.
    pub fn sole_tagged(&self, tag: Tag) -> Option<UpstreamId> {
        match self.tagged.get(&tag).map(SmallVec::as_slice) {
            Some([id]) => Some(*id),
            _ => None,
        }
    }

    /// Updates the loads of the upstreams that a report of another host may mean.
    pub fn update_loads<F>(&mut self, tag: Tag, update: F)
    where
        F: Fn(&mut Load),
    {
        for id in self.tagged.get(&tag).into_iter().flatten() {
            if let Some(tagged) = self.loads.get_mut(id) {
                update(&mut tagged.load);
            }
        }
    }

    /// Expected service time at an upstream, without queueing.
    pub fn service_time(&self, now: Tick, id: UpstreamId) -> Duration {
        let service = self.service_of.get(&id).and_then(|s| self.services.get(s));
        let mean_time = service.and_then(|s| s.time.mean()).unwrap_or(DEFAULT_TIME);
        let Some(load) = self.load(id) else {
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
    pub fn predict_latency(&self, now: Tick, id: UpstreamId) -> Duration {
        self.predict_work(now, id, 1.0, 0, None)
    }

    /// Predicted latency of a request at an upstream after `others` have been added, where `work` is
    /// its service time as a multiple of the service's mean.
    fn predict_work(
        &self,
        now: Tick,
        id: UpstreamId,
        work: f64,
        others: u32,
        pool: Option<Occupancy>,
    ) -> Duration {
        let time = self.service_time(now, id);
        let Some(load) = self.load(id) else {
            return time.mul_f64(work);
        };
        let slots = f64::from(load.slots().0);
        let open = match pool {
            Some(pool) => pool.estimate_open(load, now, time),
            None => f64::from(load.open(now)),
        };
        let queued = (open + 1.0 + f64::from(others) - slots).max(0.0);
        time.mul_f64(load.pace(now) * (work + queued / slots))
    }

    /// Predicted latency at an upstream, whether or not it has room for the request.
    pub fn answer_at(&self, now: Tick, id: UpstreamId, work: f64) -> Duration {
        self.predict_work(now, id, work, 0, None)
    }

    /// Lowest predicted latency over the upstreams of a service, whether or not they have room.
    pub fn earliest_answer(
        &self,
        now: Tick,
        service: &ServiceName,
        need: Requirement<'_>,
    ) -> Option<Duration> {
        let members = self.services.get(service)?.members.iter();
        members
            .map(|m| self.predict_work(now, m.id, need.work, 0, need.pool))
            .min()
    }

    /// Scores an upstream for selection.
    fn score(&self, now: Tick, id: UpstreamId, need: Requirement<'_>) -> Candidate {
        let predicted = self.predict_work(now, id, need.work, 0, need.pool);
        let mut cost = predicted;
        if let Some(load) = self.load(id) {
            let share = self.outliers.smoothed_share(id);
            cost += FAILURE_COST.mul_f64(load.refusal_rate().max(share));
        }
        let connected = self
            .load(id)
            .is_some_and(|load| load.has_idle(now, need.max_idle));
        let time = self.service_time(now, id);
        let jittered = if let (Some(pool), Some(load)) = (need.pool, self.load(id)) {
            let mut penalty = cost.saturating_sub(predicted);
            if predicted > need.max_latency {
                penalty += FAILURE_COST;
            }
            let drawn = pool.draw(load, now, time, rand::random());
            let weight = if connected { IDLE_DRAW } else { 1.0 };
            penalty + drawn.mul_f64(weight)
        } else {
            let connection_cost = if connected { 0.0 } else { IDLE_SHARE };
            cost + time.mul_f64(JITTER * rand::random::<f64>() + connection_cost)
        };
        Candidate { id, cost, jittered }
    }

    /// Checks that an upstream has room for one more request and is predicted to answer it in time.
    ///
    /// # Errors
    ///
    /// Fails with the time after which there may be room.
    pub fn check_admission(
        &self,
        now: Tick,
        id: UpstreamId,
        need: Requirement<'_>,
    ) -> Result<(), Duration> {
        let Some(load) = self.load(id) else {
            return Ok(());
        };
        let slots = load.slots().0;
        let open = load.open(now);
        let free = open < slots;
        let tolerance = if need.pool.is_some() {
            POOL_TOLERANCE
        } else {
            1.0
        };
        let exceeds = |work, others, max: Duration| {
            let latency = self.predict_work(now, id, work, others, need.pool);
            latency > max.mul_f64(tolerance)
        };
        let late = exceeds(need.work, 0, need.max_latency);
        let inverts = || {
            let mut bounds = need.urgent.iter();
            bounds.any(|b| exceeds(b.work, 1, b.max_latency))
        };
        if open < slots.saturating_mul(OPEN_MAX) && (free || !(late || inverts())) {
            return Ok(());
        }
        // Slots become free at a rate of one per service time divided by the number of slots.
        Err(self.service_time(now, id).div_f64(f64::from(slots)))
    }

    /// Selects an upstream of a service, except those in `tried` and those that `admit` rejects with
    /// the time after which they may take a request. Ejected upstreams are selected for a probe, or
    /// if there is no other one.
    pub fn choose<F>(
        &self,
        now: Tick,
        service: &ServiceName,
        need: Requirement<'_>,
        tried: &[UpstreamId],
        admit: F,
    ) -> Choice
    where
        F: FnMut(UpstreamId) -> Result<(), Duration>,
    {
        let unlimited: Option<fn(UpstreamId) -> bool> = None;
        self.choose_permitted(now, service, need, tried, admit, unlimited)
    }

    /// Selects an upstream like [`choose`](Self::choose). If there is a `permits`, requests to cold
    /// upstreams need permits: only those of this failure domain are offered for which `permits` says
    /// that a permit may be had, and only while no warm upstream has a free slot.
    pub fn choose_permitted<F, P>(
        &self,
        now: Tick,
        service: &ServiceName,
        need: Requirement<'_>,
        tried: &[UpstreamId],
        mut admit: F,
        mut permits: Option<P>,
    ) -> Choice
    where
        F: FnMut(UpstreamId) -> Result<(), Duration>,
        P: FnMut(UpstreamId) -> bool,
    {
        let Some(service) = self.services.get(service) else {
            return Choice::NoCandidate;
        };
        let members = service.members.iter().filter(|m| !tried.contains(&m.id));
        let only_ejected = members.clone().all(|m| self.outliers.is_ejected(m.id));
        let (mut local, mut remote, mut cold) = (None, None, None);
        let mut room: Option<Duration> = None;
        let (mut has_free, mut has_cold) = (false, false);
        for member in members {
            let ejected = self.outliers.is_ejected(member.id);
            let probed = ejected && self.outliers.is_probe_due(now, member.id);
            if ejected && !probed && !only_ejected {
                continue;
            }
            let load = self.load(member.id);
            let is_cold = permits.is_some() && load.is_some_and(|l| l.needs_permit(now));
            if is_cold && !(member.local && permits.as_mut().is_some_and(|p| p(member.id))) {
                has_cold = true;
                continue;
            }
            let admitted = self.check_admission(now, member.id, need);
            if let Err(wait) = admitted.and_then(|()| admit(member.id)) {
                room = Some(room.map_or(wait, |r| r.min(wait)));
                continue;
            }
            if probed {
                return Choice::Upstream(member.id);
            }
            let scored = self.score(now, member.id, need);
            let best = match member.local {
                _ if is_cold => &mut cold,
                true => &mut local,
                false => &mut remote,
            };
            has_free |= !is_cold && !ejected && load.is_some_and(|l| l.open(now) < l.slots().0);
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
        let best = match (best, cold) {
            (Some(warm), Some(cold)) if !has_free && cold.cost < warm.cost => Some(cold),
            (warm, cold) => warm.or(cold),
        };
        match (best, room) {
            (Some(scored), _) => Choice::Upstream(scored.id),
            (None, Some(wait)) => Choice::Full(wait),
            (None, None) if has_cold => Choice::Cold,
            (None, None) => Choice::NoCandidate,
        }
    }

    /// Changes what is known of the load of an upstream.
    pub fn load_mut(&mut self, id: UpstreamId) -> Option<&mut Load> {
        self.loads.get_mut(&id).map(|tagged| &mut tagged.load)
    }

    /// Counts a request as open at an upstream, and returns how many were open before.
    pub fn begin(&mut self, now: Tick, id: UpstreamId) -> u32 {
        let Some(TaggedLoad { load, .. }) = self.loads.get_mut(&id) else {
            return 0;
        };
        let open = load.open(now);
        load.begin();
        self.outliers.begin(now, id);
        open
    }

    /// Records the end of a request; `open` is the result of [`begin`](Self::begin).
    pub fn end(&mut self, now: Tick, id: UpstreamId, outcome: Outcome, open: u32, took: Duration) {
        let Some(TaggedLoad { load, .. }) = self.loads.get_mut(&id) else {
            return;
        };
        load.end(now, outcome, open, took);
        if matches!(outcome, Outcome::Answered | Outcome::Failed) {
            let sent = Tick(now.0.saturating_sub(took));
            self.outliers
                .record_end(now, id, sent, outcome == Outcome::Failed);
        }
        if outcome == Outcome::Answered
            && let Some(service) = self
                .service_of
                .get(&id)
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

    /// This host's counts of the upstreams that it or others have seen failing.
    pub fn own_counts(&mut self, now: Tick) -> BTreeMap<Tag, Counts> {
        let mut sums: BTreeMap<Tag, Counts> = BTreeMap::new();
        for (id, counts) in self.outliers.own_counts(now) {
            if let Some(tagged) = self.loads.get(&id) {
                let sum = sums.entry(tagged.tag).or_default();
                *sum = sum.plus(counts);
            }
        }
        sums
    }

    /// Failures of the upstreams with this tag in the last 2 s, those of all hosts.
    pub fn known_failures(&self, tag: Tag) -> u32 {
        let ids = self.tagged.get(&tag).into_iter().flatten();
        ids.map(|id| self.outliers.known_failures(*id)).sum()
    }

    /// Records the counts of other hosts. They are ignored if several upstreams have this tag, or if
    /// they may concern an earlier run of the upstream.
    pub fn record_counts(&mut self, now: Tick, tag: Tag, others: Others) {
        let Some(id) = self.sole_tagged(tag) else {
            return;
        };
        let known_for = self.loads.get(&id).map(|tagged| now.since(tagged.since));
        if known_for.is_some_and(|span| span >= EARLIER_RUN_MAX) {
            self.outliers.record_others(now, id, others);
        }
    }

    /// Ejects upstreams that fail and returns what has changed. `hosts` is the number of live hosts.
    pub fn judge(&mut self, now: Tick, hosts: u32) -> Vec<Decision> {
        let Self {
            outliers,
            services,
            service_of,
            ..
        } = self;
        outliers.judge(now, hosts, |id| {
            let service = service_of.get(&id)?;
            Some((service, services.get(service)?.members.len()))
        })
    }

    /// Returns whether an upstream is ejected.
    pub fn is_ejected(&self, id: UpstreamId) -> bool {
        self.outliers.is_ejected(id)
    }

    /// Number of ejected upstreams of a service.
    pub fn ejected_count(&self, service: &ServiceName) -> usize {
        let members = self.services.get(service).map(|s| s.members.as_slice());
        let members = members.unwrap_or_default().iter();
        members.filter(|m| self.is_ejected(m.id)).count()
    }

    /// The services of the probes since the last call.
    pub fn take_probes(&mut self) -> Vec<ServiceName> {
        let probes = self.outliers.take_probes().into_iter();
        probes
            .filter_map(|id| self.service_of.get(&id).cloned())
            .collect()
    }
}
