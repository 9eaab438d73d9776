//! The set of evacuated domains that a host knows.

use std::collections::{BTreeMap, BTreeSet};

use trefoil_core::{DomainName, ServiceName, Tick};

use super::returns::Return;
use crate::message::Evacuations;

/// A set of evacuated domains, by its origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Statement {
    /// Read from the store. It also replaces a known set of the same place.
    Read(Evacuations),
    /// Told by another host.
    Told(Evacuations),
}

/// Domains that a set lists and the one before did not, and the other way round.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changed {
    /// Domains that are evacuated now.
    pub evacuated: Vec<DomainName>,
    /// Domains that are not evacuated any more.
    pub returned: Vec<DomainName>,
}

impl Changed {
    /// Returns `true` if both sets list the same domains.
    pub fn is_empty(&self) -> bool {
        self.evacuated.is_empty() && self.returned.is_empty()
    }
}

/// The set of evacuated domains that a host knows.
#[derive(Debug, Default)]
pub struct EvacuationState {
    known: Option<Evacuations>,
    /// Until when the owners of keys in each evacuated domain get requests.
    owners_until: BTreeMap<DomainName, Tick>,
    /// Whether all ready upstreams of a service are evacuated, since the last change.
    pub(super) whole_services: BTreeMap<ServiceName, bool>,
    /// Domains that have returned, and whose upstreams are presumed to be cold.
    pub(super) returns: BTreeMap<DomainName, Return>,
}

impl EvacuationState {
    /// The set with its place, if there is one.
    pub fn known(&self) -> Option<&Evacuations> {
        self.known.as_ref()
    }

    /// Number of evacuated domains.
    pub fn count(&self) -> usize {
        self.owners_until.len()
    }

    /// Returns `true` if a domain is evacuated.
    pub fn contains(&self, domain: &DomainName) -> bool {
        self.owners_until.contains_key(domain)
    }

    /// Returns `true` if the owners of keys in an evacuated domain still get requests.
    pub fn admits_owner(&self, now: Tick, domain: &DomainName) -> bool {
        self.owners_until
            .get(domain)
            .is_some_and(|until| now < *until)
    }

    /// Replaces the set by a newer one, in the order of era and offset. Owners of keys in domains
    /// that are evacuated now get requests until `owners_until`, except if no set was known: then
    /// nothing says for how long the domains have been evacuated. Returns `None` if the set is not
    /// newer.
    pub fn take(&mut self, statement: Statement, owners_until: Tick) -> Option<Changed> {
        let order = |e: &Evacuations| (e.era, e.offset);
        let known = self.known.as_ref().map(order);
        let mut newer = match statement {
            Statement::Read(read) if known <= Some(order(&read)) => read,
            Statement::Told(told) if known < Some(order(&told)) => told,
            _ => return None,
        };
        let until = match known {
            Some(_) => owners_until,
            None => Tick::default(),
        };
        let listed: BTreeSet<DomainName> = newer.domains.drain(..).collect();
        let evacuated = listed.iter().filter(|d| !self.contains(d));
        let returned = self.owners_until.keys().filter(|d| !listed.contains(*d));
        let changed = Changed {
            evacuated: evacuated.cloned().collect(),
            returned: returned.cloned().collect(),
        };
        for domain in &changed.returned {
            self.owners_until.remove(domain);
        }
        for domain in &changed.evacuated {
            self.owners_until.insert(domain.clone(), until);
            self.returns.remove(domain);
        }
        newer.domains = listed.into_iter().collect();
        self.known = Some(newer);
        Some(changed)
    }
}
