//! The relays that issue permits for cold upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use trefoil_balance::Quorum;
use trefoil_core::{DomainName, Tick};

use super::Peers;

/// Time within which a host was heard that counts towards a [`Quorum`]. Hosts report to the second
/// relay every 600 ms.
const HEARD_WITHIN: Duration = Duration::from_secs(1);

impl Peers {
    /// Address of the first relay of a failure domain, unless that is this host.
    pub fn first_relay(&self, now: Tick, domain: &DomainName) -> Option<SocketAddr> {
        if *domain == self.own.domain {
            return self.relays(now).first().copied();
        }
        let ranked = self.ranked(domain);
        let first = ranked.into_iter().find(|p| Self::is_reachable(now, p));
        first.map(|p| p.info.address)
    }

    /// The hosts of this domain, and those of them that were heard lately.
    pub fn quorum(&self, now: Tick) -> Quorum {
        let mut quorum = Quorum { known: 1, heard: 1 };
        let in_domain = self.hosts.values();
        for peer in in_domain.filter(|p| p.info.domain == self.own.domain) {
            let heard = peer.received_at;
            quorum.known = quorum.known.saturating_add(1);
            if heard.is_some_and(|at| now.since(at) < HEARD_WITHIN) {
                quorum.heard = quorum.heard.saturating_add(1);
            }
        }
        quorum
    }
}
