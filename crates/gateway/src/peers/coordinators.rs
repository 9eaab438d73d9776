//! Which host is the steward of a service, as far as this host has heard.

use std::time::Duration;

use trefoil_core::{ServiceName, Tick};

use super::{KnownCoordinator, Peers, millis, whole_millis};
use crate::message::{Candidacy, TermItem};

/// Time for which a candidate holds the others back. It takes over with three calls of the store,
/// which last 0.4 s each when the store takes a hundred times its usual 4 ms.
const CANDIDACY_TIMEOUT: Duration = Duration::from_millis(1800);

/// Time after which a steward that was not heard of counts as silent. It is heard through relays,
/// several times a second.
const COORDINATOR_TIMEOUT: Duration = Duration::from_secs(1);

impl Peers {
    /// Takes in what was said of a steward; says whether it is news.
    pub fn record_term(&mut self, now: Tick, item: &TermItem) -> bool {
        let reported_at = Tick(now.0.saturating_sub(millis(item.age_ms)));
        let seen = KnownCoordinator {
            host: item.host,
            revision: item.revision,
            confirmed_age: millis(item.confirmed_ms),
            predecessor: item.predecessor,
            reported_at,
        };
        if self.ended.contains(&item.host) {
            return false;
        }
        // Hosts that have not heard of the end go on telling of the term.
        let ended = self.ended_terms.get(&item.service);
        if ended.is_some_and(|ended| item.revision.term <= *ended) {
            return false;
        }
        let known = self.coordinators.get(&item.service);
        let older = known.is_some_and(|k| {
            if k.revision.term == item.revision.term {
                k.reported_at >= reported_at
            } else {
                k.revision.term > item.revision.term
            }
        });
        if !older {
            self.coordinators.insert(item.service.clone(), seen);
        }
        !older
    }

    /// A host has ended its term.
    pub fn end_term(&mut self, service: &ServiceName, term: u64) {
        let ended = self.ended_terms.entry(service.clone()).or_default();
        *ended = term.max(*ended);
        if self
            .coordinators
            .get(service)
            .is_some_and(|s| s.revision.term == term)
        {
            self.coordinators.remove(service);
        }
    }

    /// A host is about to take over a service, or has failed to.
    pub fn record_candidacy(&mut self, now: Tick, candidacy: &Candidacy) {
        if candidacy.withdrawn {
            self.candidates.remove(&candidacy.service);
        } else {
            let candidate = (candidacy.from, now);
            self.candidates.insert(candidacy.service.clone(), candidate);
        }
    }

    /// Whether another host is taking over a service. The store decides who succeeds; this only
    /// keeps candidates from fencing each other.
    pub fn has_candidate(&self, now: Tick, service: &ServiceName) -> bool {
        let candidate = self.candidates.get(service);
        candidate.is_some_and(|(_, since)| now.since(*since) < CANDIDACY_TIMEOUT)
    }

    /// The steward of a service that was heard of lately.
    pub fn coordinator(&self, now: Tick, service: &ServiceName) -> Option<KnownCoordinator> {
        let seen = self.coordinators.get(service).copied();
        seen.filter(|s| now.since(s.reported_at) < COORDINATOR_TIMEOUT)
    }

    /// The steward of a service that was heard of last, however long ago.
    pub fn last_coordinator(&self, service: &ServiceName) -> Option<KnownCoordinator> {
        self.coordinators.get(service).copied()
    }

    /// Stewards that were heard of lately.
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
        };
        fresh.map(item).collect()
    }
}
