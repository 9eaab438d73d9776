//! Evacuation of failure domains.
//!
//! An operator evacuates a domain with a record in the topic of the configuration and ends the
//! evacuation by removing it. The record is the source of truth. Each host keeps a copy of the set
//! with the era and the offset up to which it holds, and decides for its own requests: upstreams of
//! an evacuated domain are no members for the selection. So the bound holds without any agreement
//! between hosts.
//!
//! The relays read the records with the configuration, see [`crate::follow`]. The set travels in
//! reports, digests and exchanges, and a host adopts one with a higher (era, offset). Lost, late and
//! repeated datagrams do no harm, because each one states the whole set. Two hosts confirm the age
//! of each other's configuration only if they also have the same set, so a host that does not learn
//! of a record notices that its copy is old and reads the store itself.

mod rejected;
mod returns;
mod state;

use std::collections::BTreeSet;
use std::time::Duration;

use derive_more::Display;
use http::header::{HeaderName, HeaderValue};
use slog::info;
use trefoil_core::{DomainName, Offset, ServiceName, Tick};
use trefoil_directory::{Phase, Registration, Upstream};
use trefoil_store::Era;

use crate::follow::Position;
use crate::host::Host;
use crate::message::{Evacuations, Extensions};

pub(crate) use rejected::RejectedKeys;
pub use returns::Return;
pub use state::{Changed, EvacuationState, Statement};

/// Field of an answer with the configuration, which has the evacuated domains. Earlier builds
/// ignore it.
const FIELD: HeaderName = HeaderName::from_static("trefoil-evacuations");

/// Most bytes of the names in a datagram. A longer set is not sent, since a part of it would be
/// taken for the whole one. Hosts without each other's sets read the store themselves.
const NAMES_BYTES: usize = 400;

/// Part of [`Bounds::evacuate`](crate::Bounds::evacuate) for which the owner of a key gets requests
/// after this host has learned of the record. The rest is for learning of it.
const OWNER_SHARE: f64 = 0.4;

/// Part of [`Bounds::evacuate`](crate::Bounds::evacuate) after the last moment at which the record
/// did not exist, from which on no owner gets requests, however late this host has learned of it.
const OWNER_END_SHARE: f64 = 0.9;

/// Where a host has learned of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum Source {
    /// Read from the store.
    #[display("store")]
    Store,
    /// Told by another host in a datagram.
    #[display("host")]
    Host,
    /// Copied with the configuration of another host.
    #[display("copy")]
    Copy,
}

/// Records of the topic that were read together.
#[derive(Debug)]
pub(crate) struct Records {
    /// Domains whose record is present (`true`) or removed, in the order of the records.
    pub(crate) changes: Vec<(DomainName, bool)>,
    /// The newest record of each key was read.
    pub(crate) complete: bool,
    /// Place after the last record.
    pub(crate) end: Position,
}

impl Host {
    /// Returns `true` if the deployment has evacuations.
    pub(crate) fn has_evacuations(&self) -> bool {
        self.bounds.get().evacuate.is_some()
    }

    /// Returns `true` unless the evacuated domains are still unknown.
    pub(crate) fn knows_evacuations(&self) -> bool {
        !self.has_evacuations() || self.evacuations.borrow().known().is_some()
    }

    /// Returns `true` if a domain is evacuated.
    pub(crate) fn is_evacuated(&self, domain: &DomainName) -> bool {
        self.has_evacuations() && self.evacuations.borrow().contains(domain)
    }

    /// Returns `true` if an upstream gets no requests because its domain is evacuated. The owner of
    /// a key gets them for a short time longer.
    pub(crate) fn withholds_requests(&self, now: Tick, target: &Registration) -> bool {
        if !self.is_evacuated(&target.domain) {
            return false;
        }
        let router = self.router();
        let keyed = router.is_some_and(|r| r.service(&target.service).is_some_and(|s| s.keyed));
        !keyed || !self.evacuations.borrow().admits_owner(now, &target.domain)
    }

    /// Returns `true` if every ready upstream of a service is in an evacuated domain.
    pub(crate) fn is_service_evacuated(&self, service: &ServiceName) -> bool {
        if !self.has_evacuations() || self.evacuations.borrow().count() == 0 {
            return false;
        }
        let known = self
            .evacuations
            .borrow()
            .whole_services
            .get(service)
            .copied();
        if let Some(known) = known {
            return known;
        }
        let ready = |r: &Registration| r.phase == Phase::Ready && self.is_evacuated(&r.domain);
        let directory = self.directory.borrow();
        let found = !self.balancer.borrow().has_members(service)
            && directory.by_service(service).any(|r| ready(r));
        let mut state = self.evacuations.borrow_mut();
        state.whole_services.insert(service.clone(), found);
        found
    }

    /// Forgets which services are evacuated as a whole, because upstreams or evacuations have
    /// changed.
    pub(crate) fn forget_evacuated_services(&self) {
        self.evacuations.borrow_mut().whole_services.clear();
    }

    /// Place up to which the records of evacuations are known.
    pub(crate) fn evacuations_position(&self) -> Option<Position> {
        let state = self.evacuations.borrow();
        state.known().map(|known| Position {
            offset: known.offset,
            era: known.era,
        })
    }

    /// Place from which the operators' topic is read on: that of the configuration, unless the
    /// evacuated domains are not known up to there, so that the newest records must be read.
    pub(crate) fn config_start(&self) -> Option<Position> {
        let start = self.config_position.get()?;
        let order = |p: Position| (p.era, p.offset);
        let known = self.evacuations_position();
        let missing = self.has_evacuations() && known.map(order) < Some(order(start));
        (!missing).then_some(start)
    }

    /// Applies records that this host has read. Returns `true` if the known set then contains all
    /// that the read has shown, so that the read confirms its age.
    pub(crate) fn apply_evacuations(&self, records: Records) -> bool {
        if !self.has_evacuations() {
            return true;
        }
        let end = records.end;
        let known = self.evacuations.borrow().known().cloned();
        let start = known.as_ref().map(|known| (known.era, known.offset));
        let mut domains: BTreeSet<DomainName> = match known {
            _ if records.complete => BTreeSet::new(),
            Some(known) if known.era == end.era => known.domains.into_iter().collect(),
            // Records alone do not say which domains were evacuated before.
            _ => return false,
        };
        let before = domains.clone();
        let mut removed = BTreeSet::new();
        for (domain, present) in records.changes {
            if present {
                domains.insert(domain);
            } else {
                domains.remove(&domain);
                removed.insert(domain);
            }
        }
        // The newest records include removals from long ago, and a repeated read those that are
        // known.
        let is_later = start.is_some_and(|at| at < (end.era, end.offset));
        let passed = |d: &DomainName| {
            !records.complete && is_later && !before.contains(d) && !domains.contains(d)
        };
        let passed = removed.into_iter().filter(passed).collect();
        let read = Evacuations {
            era: end.era,
            offset: end.offset,
            domains: domains.into_iter().collect(),
        };
        self.take_evacuations(Statement::Read(read), passed, Source::Store);
        let known = self.evacuations_position();
        known.is_some_and(|known| known.era == end.era && known.offset >= end.offset)
    }

    /// Adopts the set of another host if it is newer. `age` is the time since that host knew it to be
    /// complete. A first set that may lack a record whose bound has passed is not adopted.
    pub(crate) fn adopt_evacuations(
        &self,
        told: Option<&Evacuations>,
        age: Option<Duration>,
        source: Source,
    ) {
        let bound = self.bounds.get().evacuate;
        let Some((told, bound)) = told.zip(bound) else {
            return;
        };
        let known = self.evacuations.borrow().known().map(|k| (k.era, k.offset));
        let is_recent = age.is_some_and(|age| age < bound);
        if (known.is_some() || is_recent) && known < Some((told.era, told.offset)) {
            self.take_evacuations(Statement::Told(told.clone()), Vec::new(), source);
        }
    }

    /// Returns `true` if another host has the same set, or one of the same place.
    pub(crate) fn has_same_evacuations(&self, told: Option<&Evacuations>) -> bool {
        if !self.has_evacuations() {
            return true;
        }
        let state = self.evacuations.borrow();
        let pair = state.known().zip(told);
        pair.is_some_and(|(own, told)| {
            (own.era, own.offset) == (told.era, told.offset) || own.domains == told.domains
        })
    }

    /// The group of a datagram that states the known set.
    pub(crate) fn evacuation_extensions(&self) -> Extensions {
        let state = self.evacuations.borrow();
        let known = state.known().filter(|_| self.has_evacuations());
        let fits = |e: &&Evacuations| {
            e.domains
                .iter()
                .map(|d| d.as_str().len() + 1)
                .sum::<usize>()
                <= NAMES_BYTES
        };
        Extensions {
            evacuations: known.filter(fits).cloned(),
            ..Extensions::default()
        }
    }

    /// Forgets the set when settings end the evacuations of a deployment, because records are not
    /// followed from then on.
    pub(crate) fn reset_evacuations(&self) {
        let former = self.evacuations.take();
        let domains = former.known().map(|k| k.domains.clone());
        self.metrics.evacuation.domains.set(0);
        self.update_members(&domains.unwrap_or_default());
    }

    /// Takes a newer set. `passed` are domains that were evacuated and have returned since the known
    /// one, and are in neither.
    fn take_evacuations(&self, statement: Statement, passed: Vec<DomainName>, source: Source) {
        let now = self.now();
        let until = self.owners_until(now);
        let taken = self.evacuations.borrow_mut().take(statement, until);
        let Some(changed) = taken else {
            return;
        };
        let position = self.evacuations_position();
        let (era, offset) = position.map_or((0, 0), |p| (p.era.0, p.offset.0));
        let evacuated = changed.evacuated.iter().map(|d| (d, "evacuated"));
        let returned = changed.returned.iter().map(|d| (d, "returned"));
        for (domain, change) in evacuated.chain(returned) {
            self.metrics.evacuation.changes.inc();
            info!(self.log, "evacuation changed"; "change" => change, "domain" => %domain,
                "source" => %source, "store_era" => era, "offset" => offset);
        }
        let count = self.evacuations.borrow().count();
        let gauge = &self.metrics.evacuation.domains;
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        if !changed.is_empty() {
            self.update_members(&[changed.evacuated, changed.returned.clone()].concat());
        }
        let seen = passed.iter().map(|d| (d, "evacuated and returned"));
        for (domain, change) in seen {
            self.metrics.evacuation.changes.inc();
            info!(self.log, "evacuation changed"; "change" => change, "domain" => %domain,
                "source" => %source, "store_era" => era, "offset" => offset);
        }
        self.begin_returns(now, &[changed.returned, passed].concat());
        self.log_readiness_change();
    }

    /// Until when the owners in a domain get requests if this host learns of its record now. The
    /// record was accepted after the moment as of which the set was known to be current.
    fn owners_until(&self, now: Tick) -> Tick {
        let (Some(bound), Some(as_of)) =
            (self.bounds.get().evacuate, self.config_freshness.as_of())
        else {
            return Tick::default();
        };
        let learned = now.after(bound.mul_f64(OWNER_SHARE));
        learned.min(as_of.after(bound.mul_f64(OWNER_END_SHARE)))
    }

    /// Selects or leaves out the upstreams of domains, as their evacuation says now.
    fn update_members(&self, domains: &[DomainName]) {
        if domains.is_empty() {
            return;
        }
        let directory = self.directory.borrow();
        let upstreams = directory.iter().filter(|r| domains.contains(&r.domain));
        let upstreams = upstreams.filter_map(|r| directory.upstream(&r.incarnation.name));
        let changes = upstreams.map(|u| (u, self.is_member(u)));
        self.balancer.borrow_mut().set_members(changes);
        drop(directory);
        self.forget_evacuated_services();
        self.events.directory.notify(usize::MAX);
        self.events.routes.notify(usize::MAX);
    }

    /// Returns `true` if an upstream can be selected.
    pub(crate) fn is_member(&self, upstream: &Upstream) -> bool {
        let r = &upstream.registration;
        r.phase == Phase::Ready && !self.is_displaced(upstream.id) && !self.is_evacuated(&r.domain)
    }
}

/// Encodes the known set for a host that copies the configuration.
pub(crate) fn encode_field(host: &Host) -> Option<(HeaderName, HeaderValue)> {
    let state = host.evacuations.borrow();
    let known = state.known().filter(|_| host.has_evacuations())?;
    let mut text = format!("{} {}", known.offset.0, known.era.0);
    for domain in &known.domains {
        text.push(' ');
        text.push_str(domain.as_str());
    }
    Some((FIELD, HeaderValue::from_str(&text).ok()?))
}

/// Decodes the set that came with a copied configuration, unless its host knows none.
pub(crate) fn decode_field(headers: &http::HeaderMap) -> Option<Evacuations> {
    let mut parts = headers.get(FIELD)?.to_str().ok()?.split(' ');
    let offset = Offset(parts.next()?.parse().ok()?);
    let era = Era(parts.next()?.parse().ok()?);
    let domains: Result<Vec<DomainName>, _> = parts.map(str::parse).collect();
    Some(Evacuations {
        era,
        offset,
        domains: domains.ok()?,
    })
}
