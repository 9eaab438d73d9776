//! The coordinator and the candidates of each service, as other hosts report them.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::{HostId, ServiceName, Tick};

use super::{Peers, millis, whole_millis};
use crate::message::{Candidacy, TermItem};
use crate::tables::Revision;

/// Time for which a candidacy defers other candidates. The candidate announces it again for as long
/// as its takeover lasts, so a few announcements may be lost.
const CANDIDACY_TIMEOUT: Duration = Duration::from_millis(1800);

/// Time without a report after which a coordinator counts as silent. Relays pass on its reports
/// several times a second.
const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(1);

/// The last reported coordinator of a service.
#[derive(Debug, Clone, Copy)]
pub struct KnownCoordinator {
    /// The coordinator.
    pub host: HostId,
    /// Revision of its routes.
    pub revision: Revision,
    /// Age of the last confirmation of its term, at the time of the report.
    pub confirmed_age: Duration,
    /// The previous term, while the coordinator waits for the expiry of its grants.
    pub predecessor: Option<u64>,
    /// When the coordinator made the report.
    pub reported_at: Tick,
    /// Number of the report, unless only earlier builds have passed on reports of the term.
    pub number: Option<u64>,
}

/// Terms that a relay has reported.
#[derive(Debug, Default)]
pub(super) struct Listing {
    at: Tick,
    /// Number of the term of each service, and when it was reported last.
    terms: BTreeMap<ServiceName, (u64, Tick)>,
}

impl Peers {
    /// Records the terms that a relay reports.
    pub fn record_listing(&mut self, now: Tick, relay: HostId, terms: &[TermItem]) {
        let listing = self.listings.entry(relay).or_default();
        listing.at = now;
        let reported = terms
            .iter()
            .map(|t| (t.service.clone(), (t.revision.term, now)));
        listing.terms.extend(reported);
    }

    /// Returns `true` if there are relays that were heard since `heard`, and all of them have
    /// reported this term of the service last, and after `listed`.
    pub fn all_list_term(
        &self,
        service: &ServiceName,
        term: u64,
        heard: Tick,
        listed: Tick,
    ) -> bool {
        let mut relays = self.listings.values().filter(|l| l.at >= heard).peekable();
        let lists = |listing: &Listing| {
            let last = listing.terms.get(service);
            last.is_some_and(|(number, at)| *number == term && *at >= listed)
        };
        relays.peek().is_some() && relays.all(lists)
    }

    /// Records a report of a coordinator. Returns whether it is newer than the known one.
    pub fn record_term(&mut self, now: Tick, item: &TermItem) -> bool {
        if self.ended.contains(&item.host) {
            return false;
        }
        // Hosts that have not received the resignation yet keep reporting the term.
        let ended = self.ended_terms.get(&item.service);
        if ended.is_some_and(|ended| item.revision.term <= *ended) {
            return false;
        }
        let mut seen = KnownCoordinator {
            host: item.host,
            revision: item.revision,
            confirmed_age: millis(item.confirmed_ms),
            predecessor: item.predecessor,
            reported_at: Tick(now.0.saturating_sub(millis(item.age_ms))),
            number: item.number,
        };
        if let Some(known) = self.coordinators.get(&item.service) {
            if !is_newer(&seen, known) {
                return false;
            }
            if seen.revision.term == known.revision.term {
                seen.number = seen.number.max(known.number);
            }
        }
        self.coordinators.insert(item.service.clone(), seen);
        true
    }

    /// Records that a term has ended. Returns whether that is news.
    pub fn end_term(&mut self, service: &ServiceName, term: u64) -> bool {
        let ended = self.ended_terms.entry(service.clone()).or_default();
        let is_news = *ended < term;
        *ended = term.max(*ended);
        if self
            .coordinators
            .get(service)
            .is_some_and(|s| s.revision.term <= term)
        {
            self.coordinators.remove(service);
        }
        is_news
    }

    /// Records that a host is taking over a service, or has failed to.
    pub fn record_candidacy(&mut self, now: Tick, candidacy: &Candidacy) {
        if candidacy.withdrawn {
            self.candidates.remove(&candidacy.service);
        } else {
            let candidate = (candidacy.from, now);
            self.candidates.insert(candidacy.service.clone(), candidate);
        }
    }

    /// Returns `true` while another host is taking over a service. The store decides which
    /// candidate succeeds; this check only keeps candidates from fencing each other.
    pub fn has_candidate(&self, now: Tick, service: &ServiceName) -> bool {
        let candidate = self.candidates.get(service);
        candidate.is_some_and(|(_, since)| now.since(*since) < CANDIDACY_TIMEOUT)
    }

    /// The coordinator of a service, if it was reported recently.
    pub fn coordinator(&self, now: Tick, service: &ServiceName) -> Option<KnownCoordinator> {
        let seen = self.coordinators.get(service).copied();
        seen.filter(|s| now.since(s.reported_at) < COORDINATOR_TIMEOUT)
    }

    /// The coordinator of a service that was reported last, at any time.
    pub fn last_coordinator(&self, service: &ServiceName) -> Option<KnownCoordinator> {
        self.coordinators.get(service).copied()
    }

    /// Highest number of a term of the service that was reported, ended or not.
    pub fn last_term(&self, service: &ServiceName) -> u64 {
        let reported = self.coordinators.get(service).map(|s| s.revision.term);
        let ended = self.ended_terms.get(service).copied();
        reported.max(ended).unwrap_or_default()
    }

    /// The recently reported coordinators.
    pub fn terms(&self, now: Tick) -> Vec<TermItem> {
        let fresh = self
            .coordinators
            .iter()
            .filter(|(_, s)| now.since(s.reported_at) < COORDINATOR_TIMEOUT);
        let item = |(service, seen): (&ServiceName, &KnownCoordinator)| TermItem {
            service: service.clone(),
            host: seen.host,
            revision: seen.revision,
            confirmed_ms: whole_millis(seen.confirmed_age),
            predecessor: seen.predecessor,
            age_ms: whole_millis(now.since(seen.reported_at)),
            number: seen.number,
        };
        fresh.map(item).collect()
    }
}

/// Returns `true` if a report is newer than the known one of the service.
///
/// The age of a report that is passed on lacks the latency, so a report that comes back seems to be
/// newer than at its first arrival. Only the number that the coordinator has given it shows that it
/// is the same. Earlier builds pass on no number.
fn is_newer(seen: &KnownCoordinator, known: &KnownCoordinator) -> bool {
    let terms = seen.revision.term.cmp(&known.revision.term);
    let in_term = match (seen.number, known.number) {
        (Some(seen), Some(known)) => seen > known,
        _ => seen.reported_at > known.reported_at,
    };
    terms.is_gt() || (terms.is_eq() && in_term)
}
