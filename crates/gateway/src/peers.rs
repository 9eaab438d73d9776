//! The other hosts.
//!
//! Hosts of a failure domain are ranked: more processor first, then by name. The first two that are
//! live are the domain's relays, see [`crate::relay`]. Every host knows the cards of all others from
//! the store, and which hosts of its domain are live from its relays, so all agree on who the relays
//! are as soon as they have heard the same.

mod coordinators;

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use smallvec::SmallVec;
use trefoil_core::{DomainName, HostId, HostName, Key, ServiceName, Tick};

use crate::message::{HostInfo, Message, SyncStatus};
use crate::tables::Revision;

/// Relays of a failure domain. With two, the loss of one is bridged by the other.
pub const RELAYS: usize = 2;

/// Time after which a host that was not heard of counts as silent.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1200);

/// Time after which a silent host is forgotten. Cuts end after seconds.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Age up to which a host's last answer of the store shows that it can stand for a service.
const STORE_ANSWER_MAX_AGE: Duration = Duration::from_millis(1500);

/// Error of the age of another host's last answer of the store: what a datagram takes on its way, and
/// the steps in which it is told.
const STORE_AGE_ERROR: Duration = Duration::from_millis(150);

/// What is known of another host.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who it is.
    pub info: HostInfo,
    /// When it was heard.
    received_at: Option<Tick>,
    /// When it was heard, or heard of from a relay.
    live_at: Option<Tick>,
    /// When it sent a digest.
    digest_at: Option<Tick>,
    status: Option<(Tick, SyncStatus)>,
    added_at: Tick,
}

/// A steward of a service, as heard of.
#[derive(Debug, Clone, Copy)]
pub struct KnownCoordinator {
    /// The steward.
    pub host: HostId,
    /// How new its routes are.
    pub revision: Revision,
    /// Time since the store had confirmed its term, when it said so.
    pub confirmed_age: Duration,
    /// The term that it waits for.
    pub predecessor: Option<u64>,
    /// When it said so.
    pub reported_at: Tick,
}

/// What the relays of another failure domain say of it.
#[derive(Debug, Clone, Copy)]
struct Domain {
    hosts: u32,
    at: Tick,
}

/// The other hosts.
#[derive(Debug)]
pub struct Peers {
    own: HostInfo,
    hosts: BTreeMap<HostId, Peer>,
    domains: BTreeMap<DomainName, Domain>,
    coordinators: BTreeMap<ServiceName, KnownCoordinator>,
    /// Hosts that are about to take over a service, and since when.
    candidates: BTreeMap<ServiceName, (HostId, Tick)>,
    /// The latest term of each service that is known to have ended.
    ended_terms: BTreeMap<ServiceName, u64>,
    /// Processes that have ended.
    ended: HashSet<HostId>,
    /// Hosts of all domains, as the own relay says.
    reported_hosts: u32,
    /// Keys that were asked for and not passed on yet.
    keys: BTreeMap<ServiceName, Vec<Key>>,
    /// Datagrams to be sent.
    outbox: Vec<(SocketAddr, Bytes)>,
}

/// Rank among the hosts of a domain; the lowest is first.
fn rank(info: &HostInfo) -> (Reverse<u32>, &HostName) {
    (Reverse(info.millicores), &info.name)
}

/// The short form of an id in digests.
pub(crate) fn short_id(id: HostId) -> u32 {
    let [a, b, c, d, ..] = *id.0.as_bytes();
    u32::from_be_bytes([a, b, c, d])
}

impl Peers {
    /// Nobody is known but this host.
    pub fn new(own: HostInfo) -> Self {
        Self {
            own,
            hosts: BTreeMap::new(),
            domains: BTreeMap::new(),
            coordinators: BTreeMap::new(),
            candidates: BTreeMap::new(),
            ended_terms: BTreeMap::new(),
            ended: HashSet::new(),
            reported_hosts: 0,
            keys: BTreeMap::new(),
            outbox: Vec::new(),
        }
    }

    /// The card of this host.
    pub fn own(&self) -> &HostInfo {
        &self.own
    }

    /// Adds a host from its card in the store. The card can be that of an earlier process, so a host
    /// that has been heard at its address stays.
    pub fn add_listed(&mut self, now: Tick, info: HostInfo) {
        if self.hosts.values().all(|p| p.info.address != info.address) {
            self.add(now, info);
        }
    }

    /// Adds a host that was heard; says whether it was unknown, and which processes have ended because this one
    /// has taken their address.
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

    /// The process of a host has ended.
    pub fn mark_ended(&mut self, id: HostId) {
        self.hosts.remove(&id);
        self.ended.insert(id);
        self.coordinators.retain(|_, seen| seen.host != id);
        self.candidates.retain(|_, (host, _)| *host != id);
    }

    /// Forgets hosts that have been silent for long.
    pub fn expire(&mut self, now: Tick) {
        let kept = |p: &Peer| now.since(p.live_at.unwrap_or(p.added_at)) < FORGET_AFTER;
        self.hosts.retain(|_, p| kept(p));
    }

    /// A host was heard; false if it is not known.
    pub fn record_received(&mut self, now: Tick, id: HostId, status: Option<SyncStatus>) -> bool {
        let Some(peer) = self.hosts.get_mut(&id) else {
            return false;
        };
        peer.received_at = Some(now);
        peer.live_at = Some(now);
        if let Some(status) = status {
            peer.status = Some((now, status));
        }
        true
    }

    /// A host has sent a digest, which vouches for others of its domain.
    pub fn record_digest(&mut self, now: Tick, id: HostId, live: &[u32], hosts: u32) {
        if let Some(peer) = self.hosts.get_mut(&id) {
            peer.digest_at = Some(now);
        }
        for peer in self.hosts.values_mut() {
            if live.contains(&short_id(peer.info.id)) {
                peer.live_at = Some(now);
            }
        }
        self.reported_hosts = hosts;
    }

    /// A relay of another domain has said how many hosts its domain has.
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

    /// Hosts of a domain by rank.
    fn ranked(&self, domain: &DomainName) -> Vec<&Peer> {
        let own = self.hosts.values().filter(|p| p.info.domain == *domain);
        let mut ranked: Vec<&Peer> = own.collect();
        ranked.sort_by(|a, b| rank(&a.info).cmp(&rank(&b.info)));
        ranked
    }

    /// Live hosts of this domain that are ranked before this host.
    fn before(&self, now: Tick) -> impl Iterator<Item = &Peer> {
        let in_domain = self
            .hosts
            .values()
            .filter(|p| p.info.domain == self.own.domain);
        in_domain.filter(move |p| Self::is_live(now, p) && rank(&p.info) < rank(&self.own))
    }

    /// How many hosts of this domain that are known, live or not, are ranked before this host.
    pub fn known_ranked_before(&self) -> usize {
        let in_domain = self.hosts.values();
        let in_domain = in_domain.filter(|p| p.info.domain == self.own.domain);
        in_domain
            .filter(|p| rank(&p.info) < rank(&self.own))
            .count()
    }

    /// How many live hosts of this domain are ranked before this host.
    pub fn position(&self, now: Tick) -> usize {
        self.before(now).count()
    }

    /// Whether this host is a relay of its domain.
    pub fn is_relay(&self, now: Tick) -> bool {
        self.position(now) < RELAYS
    }

    /// Addresses of the relays of this domain, the first one first, without this host.
    pub fn relays(&self, now: Tick) -> SmallVec<[SocketAddr; 2]> {
        let ranked = self.ranked(&self.own.domain);
        let live = ranked.into_iter().filter(|p| Self::is_live(now, p));
        live.take(RELAYS).map(|p| p.info.address).collect()
    }

    /// Addresses of the hosts of this domain: those that are live, or all.
    pub fn domain_addresses(&self, now: Tick, all: bool) -> Vec<SocketAddr> {
        let in_domain = self.hosts.values();
        let in_domain = in_domain.filter(|p| p.info.domain == self.own.domain);
        let wanted = in_domain.filter(|p| all || Self::is_live(now, p));
        wanted.map(|p| p.info.address).collect()
    }

    /// Hosts of this domain from which this host has heard itself.
    pub fn direct_ids(&self, now: Tick) -> Vec<u32> {
        let in_domain = self.hosts.values();
        let reachable = in_domain
            .filter(|p| p.info.domain == self.own.domain && Self::is_reachable(now, p))
            .map(|p| short_id(p.info.id));
        reachable.collect()
    }

    /// Addresses of the relays of the other domains that were heard lately, at most `most` of each.
    /// With `all`, also the first ones whether they were heard or not, because they may have
    /// returned.
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

    /// Live hosts of this domain, this one included.
    pub fn domain_hosts(&self, now: Tick) -> u32 {
        let in_domain = self.hosts.values();
        let live = in_domain
            .filter(|p| p.info.domain == self.own.domain && Self::is_live(now, p))
            .count();
        u32::try_from(live + 1).unwrap_or(u32::MAX)
    }

    /// Live hosts of all domains, this one included.
    pub fn all_hosts(&self, now: Tick) -> u32 {
        let fresh = self
            .domains
            .values()
            .filter(|d| now.since(d.at) < LIVENESS_TIMEOUT);
        let own = self.domain_hosts(now) + fresh.map(|d| d.hosts).sum::<u32>();
        own.max(self.reported_hosts)
    }

    /// How many live hosts of this domain before this one have heard from the store within `span`.
    pub fn readers_before(&self, now: Tick, span: Duration) -> usize {
        let readers = self.before(now);
        readers.filter(|p| reaches_store(now, p, span)).count()
    }

    /// The host whose directory this one copies: the first of this domain that has heard from the
    /// store within `span`.
    pub fn directory_source(&self, now: Tick, span: Duration) -> Option<HostId> {
        let mut before: SmallVec<[&Peer; 8]> = self.before(now).collect();
        before.sort_by(|a, b| rank(&a.info).cmp(&rank(&b.info)));
        let reader = before.iter().find(|p| reaches_store(now, p, span));
        reader.map(|p| p.info.id)
    }

    /// When the store last answered a host of this domain, as far as is known.
    pub fn last_store_answer(&self, now: Tick) -> Option<Tick> {
        let in_domain = self.hosts.values();
        let in_domain = in_domain.filter(|p| p.info.domain == self.own.domain);
        let ages = in_domain.filter_map(|p| store_age(now, p));
        ages.min().map(|age| Tick(now.0.saturating_sub(age)))
    }

    /// Whether the store has answered a call that another host sent after `since`, as far as is
    /// known.
    pub fn others_reached_store(&self, now: Tick, since: Tick) -> bool {
        let span = now.since(since);
        let ages = self.hosts.values().filter_map(|p| store_age(now, p));
        ages.into_iter().any(|age| age + STORE_AGE_ERROR < span)
    }

    /// Hosts that reach the store and whose rank among all hosts is before this one's.
    pub fn candidates_before(&self, now: Tick) -> usize {
        let eligible = self.hosts.values();
        let eligible = eligible
            .filter(|p| Self::is_reachable(now, p) && reaches_store(now, p, STORE_ANSWER_MAX_AGE));
        eligible.filter(|p| rank(&p.info) < rank(&self.own)).count()
    }

    /// Whether a host at this address is in this failure domain.
    pub fn is_in_domain(&self, address: SocketAddr) -> bool {
        let peer = self.hosts.values().find(|p| p.info.address == address);
        peer.is_some_and(|p| p.info.domain == self.own.domain)
    }

    /// Whether the process of a host is known to have ended.
    pub fn has_ended(&self, id: HostId) -> bool {
        self.ended.contains(&id)
    }

    /// Where a host takes datagrams and calls.
    pub fn address(&self, id: HostId) -> Option<SocketAddr> {
        self.hosts.get(&id).map(|p| p.info.address)
    }

    /// Keys were asked for.
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

    /// Takes out the keys that were asked for since the last call.
    pub fn take_keys(&mut self) -> BTreeMap<ServiceName, Vec<Key>> {
        std::mem::take(&mut self.keys)
    }

    /// Queues a datagram to hosts.
    pub fn queue<I>(&mut self, to: I, message: &Message)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        // Encoding into memory fails only for types that no message has.
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

    /// Takes out the queued datagrams.
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

/// Time since the store answered a host, as far as is known.
fn store_age(now: Tick, peer: &Peer) -> Option<Duration> {
    let (at, status) = peer.status?;
    Some(now.since(at) + millis(status.store_age_ms?))
}

fn reaches_store(now: Tick, peer: &Peer, span: Duration) -> bool {
    store_age(now, peer).is_some_and(|age| age < span)
}
