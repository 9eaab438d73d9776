//! Index of the routes of a configuration.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use trefoil_core::ServiceName;

use crate::{Config, Limits, Route, Service, Version};

/// Index of the routes of a configuration.
#[derive(Debug)]
pub struct Router {
    version: Version,
    limits: Limits,
    services: BTreeMap<ServiceName, Service>,
    /// Routes by host, then by prefix.
    hosts: HashMap<String, HashMap<String, Rc<Route>>>,
}

impl Router {
    /// Indexes a configuration.
    pub fn new(config: Config) -> Self {
        let mut hosts: HashMap<String, HashMap<String, Rc<Route>>> = HashMap::new();
        for route in config.routes {
            let routes = hosts.entry(route.host.clone()).or_default();
            routes.insert(route.prefix.clone(), Rc::new(route));
        }
        Self {
            version: config.version,
            limits: config.limits,
            services: config.services.into_iter().collect(),
            hosts,
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Limits on the requests of callers.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// A service by its name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services, by name.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &Service)> {
        self.services.iter()
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<Route>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// The route with the longest prefix of `path`. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        // Prefixes end with a slash, so only the parts of the path up to a slash can match.
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.into_iter().find_map(|end| routes.get(&path[..end]))
    }
}
