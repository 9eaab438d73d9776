//! State of the other hosts.
//!
//! The hosts of a failure domain are ranked by processor capacity, highest first, then by name. The
//! first two live hosts are the domain's relays, see [`crate::relay`]. Every host reads the
//! [`HostInfo`] of all others from the store and receives the list of live hosts of its domain from
//! its relays. So all hosts agree on the relays once they have received the same lists.

mod coordinators;
mod permits;
mod reception;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;
use trefoil_core::{DomainName, HostId, HostName, Key, ServiceName, Tick};

use crate::message::{HostInfo, Message, SyncStatus};
use reception::PARTS_SPAN;

pub use coordinators::KnownCoordinator;
pub use reception::Reception;

/// Number of relays in a failure domain. With two, one covers the loss of the other.
pub const RELAYS: usize = 2;

/// Time without a datagram from a host, or a mention by its relay, after which it counts as silent.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time after which a silent host is removed. Network partitions end after seconds.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Age of a host's last answer from the store up to which it counts as a candidate for coordinator.
const STORE_ANSWER_MAX_AGE: Duration = Duration::from_millis(1500);

/// Error of the reported age of a host's last answer from the store: the latency of a datagram and
/// the interval between two reports.
const STORE_AGE_ERROR: Duration = Duration::from_millis(150);

/// State of another host.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Identity of the host.
    pub info: HostInfo,
    /// When a datagram from it was received last.
    received_at: Option<Tick>,
    /// When it was last known to be live, from its own datagrams or from a relay's digest.
    live_at: Option<Tick>,
    /// When it last sent a digest.
    digest_at: Option<Tick>,
    status: Option<(Tick, SyncStatus)>,
    added_at: Tick,
}

/// Report of another failure domain's relays.
#[derive(Debug, Clone, Copy)]
struct Domain {
    hosts: u32,
    at: Tick,
}

/// State of all other hosts.
#[derive(Debug)]
pub struct Peers {
    own: HostInfo,
    hosts: BTreeMap<HostId, Peer>,
    domains: BTreeMap<DomainName, Domain>,
    coordinators: BTreeMap<ServiceName, KnownCoordinator>,
    /// Hosts that are taking over a service, and since when.
    candidates: BTreeMap<ServiceName, (HostId, Tick)>,
    /// Terms that the relays have reported.
    listings: BTreeMap<HostId, coordinators::Listing>,
    /// The latest finished term of each service.
    ended_terms: BTreeMap<ServiceName, u64>,
    /// Incarnations of hosts that have ended.
    ended: HashSet<HostId>,
    /// Number of live hosts in all domains, as the own relay reported it.
    reported_hosts: u32,
    /// Requested keys that were not forwarded yet.
    keys: BTreeMap<ServiceName, Vec<Key>>,
    /// Datagrams to send.
    outbox: Vec<(SocketAddr, Bytes)>,
}

/// Rank of a host; the lowest is first.
pub(crate) fn rank(info: &HostInfo) -> (Reverse<u32>, &HostName) {
    (Reverse(info.millicores), &info.name)
}

/// The short form of an id that digests carry.
pub(crate) fn short_id(id: HostId) -> u32 {
    let [a, b, c, d, ..] = *id.0.as_bytes();
    u32::from_be_bytes([a, b, c, d])
}

impl Peers {
    /// State of a host that knows only itself.
    pub fn new(own: HostInfo) -> Self {
        Self {
            own,
            hosts: BTreeMap::new(),
            domains: BTreeMap::new(),
            coordinators: BTreeMap::new(),
            candidates: BTreeMap::new(),
            listings: BTreeMap::new(),
            ended_terms: BTreeMap::new(),
            ended: HashSet::new(),
            reported_hosts: 0,
            keys: BTreeMap::new(),
            outbox: Vec::new(),
        }
    }

    /// Identity of this host.
    pub fn own(&self) -> &HostInfo {
        &self.own
    }

    /// Adds a host from its record in the store. The record can belong to an earlier incarnation,
    /// so it does not replace a host that has already sent datagrams from the address.
    pub fn add_listed(&mut self, now: Tick, info: HostInfo) {
        if !self.knows(info.address) {
            self.add(now, info);
        }
    }

    /// Returns `true` if a host at this address is known.
    pub fn knows(&self, address: SocketAddr) -> bool {
        self.hosts.values().any(|p| p.info.address == address)
    }

    /// Returns `true` if the host at this address was heard lately.
    pub fn is_heard(&self, now: Tick, address: SocketAddr) -> bool {
        let mut at = self.hosts.values().filter(|p| p.info.address == address);
        at.any(|peer| Self::is_live(now, peer))
    }

    /// Adds a host that has sent a datagram. Returns whether it was unknown, and the incarnations
    /// that it replaces at its address, which have ended.
    pub fn add(&mut self, now: Tick, info: HostInfo) -> (bool, Vec<HostId>) {
        let id = info.id;
        let known = self.hosts.contains_key(&id) || self.ended.contains(&id);
        if known || id == self.own.id {
            return (false, Vec::new());
        }
        let replaced = self.hosts.values();
        let replaced = replaced.filter(|p| p.info.address == info.address);
        let replaced: Vec<HostId> = replaced.map(|p| p.info.id).collect();
        for id in &replaced {
            self.mark_ended(*id);
        }
        let peer = Peer {
            info,
            received_at: None,
            live_at: None,
            digest_at: None,
            status: None,
            added_at: now,
        };
        self.hosts.insert(id, peer);
        (true, replaced)
    }

    /// Records that an incarnation of a host has ended.
    pub fn mark_ended(&mut self, id: HostId) {
        self.hosts.remove(&id);
        self.ended.insert(id);
        self.listings.remove(&id);
        let ended = self.coordinators.extract_if(.., |_, seen| seen.host == id);
        for (service, seen) in ended {
            let last = self.ended_terms.entry(service).or_default();
            *last = seen.revision.term.max(*last);
        }
        self.candidates.retain(|_, (host, _)| *host != id);
    }

    /// Removes hosts that have been silent for a long time.
    pub fn expire(&mut self, now: Tick) {
        let kept = |p: &Peer| now.since(p.live_at.unwrap_or(p.added_at)) < FORGET_AFTER;
        self.hosts.retain(|_, p| kept(p));
        self.listings.retain(|id, _| self.hosts.contains_key(id));
    }

    /// Records a datagram of a host.
    pub fn record_received(
        &mut self,
        now: Tick,
        id: HostId,
        status: Option<SyncStatus>,
    ) -> Reception {
        let Some(peer) = self.hosts.get_mut(&id) else {
            return Reception::Unknown;
        };
        peer.received_at = Some(now);
        peer.live_at = Some(now);
        let Some(status) = status else {
            return Reception::New;
        };
        match peer.status {
            Some((at, known)) if known == status && now.since(at) < PARTS_SPAN => {
                Reception::Repeated
            }
            _ => {
                peer.status = Some((now, status));
                Reception::New
            }
        }
    }

    /// Records a part of a digest of a relay. One of the parts lists the live hosts of its domain.
    pub fn record_digest(&mut self, now: Tick, id: HostId, live: &[u32], hosts: u32) {
        if let Some(peer) = self.hosts.get_mut(&id) {
            peer.digest_at = Some(now);
        }
        self.reported_hosts = hosts;
        if live.is_empty() {
            return;
        }
        let live: HashSet<u32> = live.iter().copied().collect();
        let own = &self.own.domain;
        let in_domain = self.hosts.values_mut().filter(|p| p.info.domain == *own);
        for peer in in_domain.filter(|p| live.contains(&short_id(p.info.id))) {
            peer.live_at = Some(now);
        }
    }

    /// Records the number of hosts that a relay of another domain reports for that domain.
    pub fn record_domain(&mut self, now: Tick, domain: &DomainName, hosts: u32) {
        let report = Domain { hosts, at: now };
        self.domains.insert(domain.clone(), report);
    }

    fn is_live(now: Tick, peer: &Peer) -> bool {
        peer.live_at
            .is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
    }

    fn is_reachable(now: Tick, peer: &Peer) -> bool {
        peer.received_at
            .is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
    }

    /// Hosts of a domain in the order of their ranks.
    fn ranked(&self, domain: &DomainName) -> Vec<&Peer> {
        let own = self.hosts.values().filter(|p| p.info.domain == *domain);
        let mut ranked: Vec<&Peer> = own.collect();
        ranked.sort_by(|a, b| rank(&a.info).cmp(&rank(&b.info)));
        ranked
    }

    /// Live hosts of this domain that rank before this host.
    fn before(&self, now: Tick) -> impl Iterator<Item = &Peer> {
        let in_domain = self
            .hosts
            .values()
            .filter(|p| p.info.domain == self.own.domain);
        in_domain.filter(move |p| Self::is_live(now, p) && rank(&p.info) < rank(&self.own))
    }

    /// Number of known hosts of this domain, live or not, that rank before this host.
    pub fn known_ranked_before(&self) -> usize {
        let in_domain = self.hosts.values();
        let in_domain = in_domain.filter(|p| p.info.domain == self.own.domain);
        in_domain
            .filter(|p| rank(&p.info) < rank(&self.own))
            .count()
    }

    /// Number of live hosts of this domain that rank before this host.
    pub fn position(&self, now: Tick) -> usize {
        self.before(now).count()
    }

    /// Returns `true` if this host is a relay of its domain.
    pub fn is_relay(&self, now: Tick) -> bool {
        self.position(now) < RELAYS
    }

    /// Returns `true` if a relay of this domain sends digests to this host.
    pub fn hears_relay(&self, now: Tick) -> bool {
        let digests = self.before(now).filter_map(|p| p.digest_at);
        digests
            .max()
            .is_some_and(|at| now.since(at) < LIVENESS_TIMEOUT)
    }

    /// Addresses of the relays of this domain in the order of their ranks, without this host.
    pub fn relays(&self, now: Tick) -> SmallVec<[SocketAddr; 2]> {
        let ranked = self.ranked(&self.own.domain);
        let live = ranked.into_iter().filter(|p| Self::is_live(now, p));
        live.take(RELAYS).map(|p| p.info.address).collect()
    }

    /// Addresses of the hosts of this domain: the live ones, or all.
    pub fn domain_addresses(&self, now: Tick, all: bool) -> Vec<SocketAddr> {
        let in_domain = self.hosts.values();
        let in_domain = in_domain.filter(|p| p.info.domain == self.own.domain);
        let wanted = in_domain.filter(|p| all || Self::is_live(now, p));
        wanted.map(|p| p.info.address).collect()
    }

    /// Short ids of the hosts of this domain that send datagrams to this host.
    pub fn direct_ids(&self, now: Tick) -> Vec<u32> {
        let in_domain = self.hosts.values();
        let reachable = in_domain
            .filter(|p| p.info.domain == self.own.domain && Self::is_reachable(now, p))
            .map(|p| short_id(p.info.id));
        reachable.collect()
    }

    /// Addresses of the relays of the other domains that send datagrams to this host, at most
    /// `most` per domain. With `all`, also the first unreachable ones, because they may have
    /// recovered.
    pub fn remote_relays(&self, now: Tick, most: usize, all: bool) -> Vec<SocketAddr> {
        let domains = self.hosts.values().map(|p| &p.info.domain);
        let mut domains: Vec<&DomainName> = domains.filter(|d| **d != self.own.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let mut addresses = Vec::new();
        for domain in domains {
            let ranked = self.ranked(domain);
            let reachable = ranked.iter().filter(|p| Self::is_reachable(now, p));
            let reachable: Vec<SocketAddr> = reachable.take(most).map(|p| p.info.address).collect();
            let unreachable = ranked.iter().filter(|p| !Self::is_reachable(now, p));
            let probe_count = if all || reachable.is_empty() {
                RELAYS
            } else {
                0
            };
            addresses.extend(unreachable.take(probe_count).map(|p| p.info.address));
            addresses.extend(reachable);
        }
        addresses
    }

    /// Number of live hosts in this domain, including this one.
    pub fn domain_hosts(&self, now: Tick) -> u32 {
        let in_domain = self.hosts.values();
        let live = in_domain
            .filter(|p| p.info.domain == self.own.domain && Self::is_live(now, p))
            .count();
        u32::try_from(live + 1).unwrap_or(u32::MAX)
    }

    /// Number of live hosts in all domains, including this one.
    pub fn all_hosts(&self, now: Tick) -> u32 {
        let fresh = self
            .domains
            .values()
            .filter(|d| now.since(d.at) < LIVENESS_TIMEOUT);
        let own = self.domain_hosts(now) + fresh.map(|d| d.hosts).sum::<u32>();
        own.max(self.reported_hosts)
    }

    /// Number of live hosts of this domain that rank before this one and have had an answer from
    /// the store within `span`.
    pub fn readers_before(&self, now: Tick, span: Duration) -> usize {
        let readers = self.before(now);
        readers.filter(|p| reaches_store(now, p, span)).count()
    }

    /// The host whose directory this one copies: the first in this domain that has had an answer
    /// from the store within `span`.
    pub fn directory_source(&self, now: Tick, span: Duration) -> Option<HostId> {
        let mut before: SmallVec<[&Peer; 8]> = self.before(now).collect();
        before.sort_by(|a, b| rank(&a.info).cmp(&rank(&b.info)));
        let reader = before.iter().find(|p| reaches_store(now, p, span));
        reader.map(|p| p.info.id)
    }

    /// When the store last answered a host of this domain, according to the reports.
    pub fn last_store_answer(&self, now: Tick) -> Option<Tick> {
        let in_domain = self.hosts.values();
        let in_domain = in_domain.filter(|p| p.info.domain == self.own.domain);
        let ages = in_domain.filter_map(|p| store_age(now, p));
        ages.min().map(|age| Tick(now.0.saturating_sub(age)))
    }

    /// As of when the most current directory of another host holds, according to the reports. A
    /// host that keeps missing upstreams after an outage does not count, because the outage would
    /// then end for this host without the time in which they may return.
    pub fn newest_directory(&self, now: Tick) -> Option<Tick> {
        let age = |p: &Peer| {
            let (at, status) = p.status?;
            status.directory_digest?;
            Some(now.since(at) + status.directory_age()?)
        };
        let ages = self.hosts.values().filter_map(age);
        ages.min().map(|age| Tick(now.0.saturating_sub(age)))
    }

    /// Returns `true` if a report shows that the store has answered a call that another host sent
    /// after `since`.
    pub fn others_reached_store(&self, now: Tick, since: Tick) -> bool {
        let span = now.since(since);
        let ages = self.hosts.values().filter_map(|p| store_age(now, p));
        ages.into_iter().any(|age| age + STORE_AGE_ERROR < span)
    }

    /// Number of hosts in all domains that reach the store and rank before this one.
    pub fn candidates_before(&self, now: Tick) -> usize {
        let eligible = self.hosts.values();
        let eligible = eligible
            .filter(|p| Self::is_reachable(now, p) && reaches_store(now, p, STORE_ANSWER_MAX_AGE));
        eligible.filter(|p| rank(&p.info) < rank(&self.own)).count()
    }

    /// Returns `true` if the host at this address is in this failure domain.
    pub fn is_in_domain(&self, address: SocketAddr) -> bool {
        let peer = self.hosts.values().find(|p| p.info.address == address);
        peer.is_some_and(|p| p.info.domain == self.own.domain)
    }

    /// Returns `true` if an incarnation of a host is known to have ended.
    pub fn has_ended(&self, id: HostId) -> bool {
        self.ended.contains(&id)
    }

    /// Address of a host for datagrams and calls.
    pub fn address(&self, id: HostId) -> Option<SocketAddr> {
        self.hosts.get(&id).map(|p| p.info.address)
    }

    /// Records requested keys.
    pub fn record_keys<I>(&mut self, service: &ServiceName, keys: I)
    where
        I: IntoIterator<Item = Key>,
    {
        match self.keys.get_mut(service) {
            Some(known) => known.extend(keys),
            None => {
                self.keys
                    .insert(service.clone(), keys.into_iter().collect());
            }
        }
    }

    /// Takes the keys that were requested since the last call.
    pub fn take_keys(&mut self) -> BTreeMap<ServiceName, Vec<Key>> {
        std::mem::take(&mut self.keys)
    }

    /// Queues a datagram to the given addresses.
    pub fn queue<I>(&mut self, to: I, message: &Message)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        // Encoding into memory cannot fail for the types of a message.
        let bytes = Bytes::from(message.encode().unwrap_or_default());
        let queued = to.into_iter().map(|address| (address, bytes.clone()));
        self.outbox.extend(queued);
    }

    /// Queues a datagram to the live hosts of this domain and to the relays of the others.
    pub fn broadcast(&mut self, now: Tick, message: &Message) {
        let mut to = self.domain_addresses(now, false);
        to.extend(self.remote_relays(now, RELAYS, false));
        self.queue(to, message);
    }

    /// Takes the queued datagrams.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Bytes)> {
        std::mem::take(&mut self.outbox)
    }
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(ms.into())
}

/// Whole milliseconds, as datagrams carry them.
pub(crate) fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

/// Time since the store last answered a host, according to its report.
fn store_age(now: Tick, peer: &Peer) -> Option<Duration> {
    let (at, status) = peer.status?;
    Some(now.since(at) + millis(status.store_age_ms?))
}

fn reaches_store(now: Tick, peer: &Peer, span: Duration) -> bool {
    store_age(now, peer).is_some_and(|age| age < span)
}
