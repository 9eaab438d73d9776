//! Upstreams of a service that can be selected.

use std::collections::{BTreeMap, HashSet};

use trefoil_core::ServiceName;
use trefoil_directory::{Upstream, UpstreamId};

use super::{Balancer, Member};

impl Balancer {
    /// Sets whether a registered upstream can be selected.
    pub fn set_member(&mut self, upstream: &Upstream, ready: bool) {
        self.set_members([(upstream, ready)]);
    }

    /// Sets whether registered upstreams, each of which occurs once, can be selected. Takes one pass
    /// over the members of each service, because a change can concern all upstreams of a domain.
    pub fn set_members<'a, I>(&mut self, changes: I)
    where
        I: IntoIterator<Item = (&'a Upstream, bool)>,
    {
        let mut removed: BTreeMap<ServiceName, HashSet<UpstreamId>> = BTreeMap::new();
        let mut added = Vec::new();
        for (upstream, ready) in changes {
            let Upstream { id, registration } = upstream;
            if let Some(service) = self.service_of.remove(id) {
                removed.entry(service).or_default().insert(*id);
            }
            if ready {
                added.push((*id, registration));
            }
        }
        for (service, ids) in removed {
            if let Some(load) = self.services.get_mut(&service) {
                load.members.retain(|m| !ids.contains(&m.id));
            }
        }
        for (id, registration) in added {
            let member = Member {
                id,
                local: registration.domain == self.domain,
            };
            let service = registration.service.clone();
            let load = self.services.entry(service.clone()).or_default();
            load.members.push(member);
            self.service_of.insert(id, service);
        }
    }

    pub(super) fn remove_member(&mut self, id: UpstreamId) {
        if let Some(service) = self.service_of.remove(&id)
            && let Some(load) = self.services.get_mut(&service)
        {
            load.members.retain(|m| m.id != id);
        }
    }

    /// Returns whether an upstream of a service can be selected.
    pub fn has_members(&self, service: &ServiceName) -> bool {
        let load = self.services.get(service);
        load.is_some_and(|load| !load.members.is_empty())
    }
}
