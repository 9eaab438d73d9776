//! Use of the upstreams of a service for which several classes of requests compete.

use std::time::Duration;

use trefoil_core::{ServiceName, Tick};
use trefoil_directory::UpstreamId;
use trefoil_route::Priority;

use super::{Balancer, Bound, OPEN_MAX};
use crate::share::Occupancy;

impl Balancer {
    /// Use of the upstreams of a service. They may be filled until `own` or a bound of another class
    /// would not be kept.
    pub fn occupancy(
        &self,
        now: Tick,
        service: &ServiceName,
        own: Bound,
        urgent: &[Bound],
    ) -> Occupancy {
        let mut sum = Occupancy::default();
        let service = self.services.get(service);
        for member in service.iter().flat_map(|s| &s.members) {
            let Some(load) = self.load(member.id) else {
                continue;
            };
            let (slots, open) = (load.slots().0, load.open(now));
            sum.own = sum.own.saturating_add(load.own_open());
            let others = open.saturating_sub(load.own_open());
            sum.others = sum.others.saturating_add(others);
            sum.free = sum.free.saturating_add(slots.saturating_sub(open));
            let time = self.service_time(now, member.id).as_secs_f64();
            sum.slots = sum.slots.saturating_add(slots);
            sum.pace += f64::from(slots) / time;
            // Queue in service times of the upstream.
            let queue = |b: &Bound| b.max_latency.as_secs_f64() / time - b.work;
            let most = f64::from(OPEN_MAX - 1);
            let queue = urgent
                .iter()
                .map(queue)
                .fold(queue(&own).min(most), f64::min)
                .max(0.0);
            sum.target += f64::from(slots) * (1.0 + queue);
        }
        sum
    }

    /// Expected service time of requests of a priority as a multiple of the mean of their service.
    pub fn work(&self, now: Tick, service: &ServiceName, priority: Priority) -> f64 {
        let service = self.services.get(service);
        service.map_or(1.0, |s| s.works.share(now, priority))
    }

    /// Records how long a request of a priority took; `open` is the result of
    /// [`begin`](Self::begin).
    pub fn observe_work(
        &mut self,
        now: Tick,
        id: UpstreamId,
        priority: Priority,
        open: u32,
        took: Duration,
    ) {
        let time = self.service_time(now, id);
        let Some(slots) = self.load(id).map(|load| load.slots().0.max(1)) else {
            return;
        };
        let queued = f64::from(open.saturating_add(1).saturating_sub(slots));
        let own = took.as_secs_f64() - time.as_secs_f64() * queued / f64::from(slots);
        let service = self.service_of.get(&id);
        if let Some(load) = service.and_then(|s| self.services.get_mut(s)) {
            load.works.observe(now, priority, own, time);
        }
    }

    /// Open requests at an upstream beside one of this host that ends, as far as known. A report is
    /// about as old as a request in a queue, so this is the load that the request has met.
    pub fn open_beside(&self, now: Tick, id: UpstreamId) -> u32 {
        self.load(id)
            .map_or(0, |load| load.open(now).saturating_sub(1))
    }
}
