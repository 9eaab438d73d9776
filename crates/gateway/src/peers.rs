//! The other hosts.
//!
//! A host writes its [`Card`] into a compacted topic at its start, reads the cards of the others and
//! greets them. From then on the hosts know each other by datagrams: a host that hears from one it
//! does not know asks who it is. A host that has fallen silent is sent fewer datagrams, but is not
//! forgotten for a while, because a cut can end.

use std::collections::{BTreeMap, HashSet};
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use slog::{debug, info, warn};
use smol::Async;
use trefoil_balance::{Estimate, Report};
use trefoil_core::{HostId, Key, ServiceName, Tick, UpstreamName};
use trefoil_route::Version;
use trefoil_store::{Append, Keyed, Newest, Place, StoreError};

use crate::host::Host;
use crate::message::{Beat, Card, Message, OpenItem, RoutesPart, TermItem, TimeItem};
use crate::tables::{Age, Routes};

/// Topic with the cards of all hosts.
const HOSTS_TOPIC: &str = "keyed.trefoil-hosts";

/// Time between two beats.
const BEAT: Duration = Duration::from_millis(200);

/// Every so many beats the estimates of time are sent, and silent hosts get a beat as well.
const SLOW_BEATS: u32 = 5;

/// Time after which a host that was not heard counts as silent.
pub const SILENT: Duration = Duration::from_secs(1);

/// Time after which a silent host is forgotten. Cuts end after seconds.
const FORGET: Duration = Duration::from_mins(1);

/// Age up to which a host's last answer of the store shows that the store can be reached.
const STORE_SEEN: Duration = Duration::from_millis(1500);

/// Wait after a failed call of the store.
const RETRY: Duration = Duration::from_millis(500);

/// Weight below which an estimate is not worth sending, in observations.
const WEIGHT_MIN: f64 = 0.2;

/// What is known of another host.
#[derive(Debug, Clone)]
pub struct Peer {
    /// Who it is.
    pub card: Card,
    /// When it was heard, if it ever was.
    pub heard: Option<Tick>,
    /// Milliseconds since the store answered it, when it was heard.
    pub store: Option<u32>,
}

/// A steward of a service, as heard from it.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    /// The steward.
    pub host: HostId,
    /// How new its routes are.
    pub age: Age,
    /// Time since the store had confirmed its term, when it was heard.
    pub confirmed: Duration,
    /// When it was heard.
    pub at: Tick,
}

/// Parts of routes that have arrived.
#[derive(Debug, Default)]
struct Assembly {
    age: Age,
    parts: BTreeMap<u16, RoutesPart>,
}

/// The other hosts.
#[derive(Debug, Default)]
pub struct Peers {
    hosts: BTreeMap<HostId, Peer>,
    stewards: BTreeMap<ServiceName, Seen>,
    /// Processes that have ended.
    ended: HashSet<HostId>,
    assemblies: BTreeMap<ServiceName, Assembly>,
    /// Keys that were asked for at this host and not reported yet.
    keys: BTreeMap<ServiceName, Vec<Key>>,
    /// Datagrams to be sent.
    outbox: Vec<(SocketAddr, Bytes)>,
}

impl Peers {
    /// Hosts that were heard lately.
    pub fn live(&self, now: Tick) -> impl Iterator<Item = &Peer> {
        let heard = move |p: &&Peer| p.heard.is_some_and(|at| now.since(at) < SILENT);
        self.hosts.values().filter(heard)
    }

    /// The steward of a service that was heard lately.
    pub fn steward(&self, now: Tick, service: &ServiceName) -> Option<Seen> {
        let seen = self.stewards.get(service).copied();
        seen.filter(|s| now.since(s.at) < SILENT)
    }

    /// The steward of a service that was heard last, however long ago.
    pub fn last_steward(&self, service: &ServiceName) -> Option<Seen> {
        self.stewards.get(service).copied()
    }

    /// A key was asked for.
    pub fn count_key(&mut self, service: &ServiceName, key: Key) {
        match self.keys.get_mut(service) {
            Some(keys) => keys.push(key),
            None => {
                self.keys.insert(service.clone(), vec![key]);
            }
        }
    }

    /// Takes out the keys that were asked for since the last call.
    pub fn take_keys(&mut self, service: &ServiceName) -> Vec<Key> {
        self.keys.remove(service).unwrap_or_default()
    }

    /// Queues a datagram to a host.
    pub fn send(&mut self, to: SocketAddr, message: &Message) {
        self.post([to], message);
    }

    /// Queues a datagram to all hosts that were heard lately.
    pub fn send_all(&mut self, now: Tick, message: &Message) {
        let to: Vec<SocketAddr> = self.live(now).map(|p| p.card.address).collect();
        self.post(to, message);
    }

    fn post<I>(&mut self, to: I, message: &Message)
    where
        I: IntoIterator<Item = SocketAddr>,
    {
        // Encoding into memory fails only for types that no message has.
        let bytes = Bytes::from(message.encode().unwrap_or_default());
        let queued = to.into_iter().map(|address| (address, bytes.clone()));
        self.outbox.extend(queued);
    }

    /// Adds a host; says whether it was unknown, and which processes have ended since another one
    /// has taken their address.
    fn add(&mut self, card: Card) -> (bool, Vec<HostId>) {
        let id = card.id;
        if self.hosts.contains_key(&id) || self.ended.contains(&id) {
            return (false, Vec::new());
        }
        let replaced = self.hosts.iter();
        let replaced = replaced.filter(|(_, p)| p.card.address == card.address);
        let replaced: Vec<HostId> = replaced.map(|(id, _)| *id).collect();
        for id in &replaced {
            self.hosts.remove(id);
            self.ended.insert(*id);
            self.end_terms(*id, &[]);
        }
        let peer = Peer {
            card,
            heard: None,
            store: None,
        };
        self.hosts.insert(id, peer);
        (true, replaced)
    }

    /// Whether the process of a host is known to have ended.
    pub fn has_ended(&self, id: HostId) -> bool {
        self.ended.contains(&id)
    }

    /// Where a host takes datagrams.
    pub fn address(&self, id: HostId) -> Option<SocketAddr> {
        self.hosts.get(&id).map(|p| p.card.address)
    }

    /// Whether the store has answered another host within the last second, as far as is known.
    pub fn anyone_reaches_store(&self, now: Tick) -> bool {
        self.hosts.values().any(|peer| {
            let (Some(heard), Some(age)) = (peer.heard, peer.store) else {
                return false;
            };
            now.since(heard) + Duration::from_millis(age.into()) < STORE_SEEN
        })
    }

    /// The term of a steward that has ended, or that its host does not claim any more.
    fn end_terms(&mut self, host: HostId, kept: &[TermItem]) {
        let claims = |service: &ServiceName| kept.iter().any(|t| t.service == *service);
        self.stewards
            .retain(|service, seen| seen.host != host || claims(service));
    }

    fn assemble(&mut self, part: RoutesPart) -> Option<(ServiceName, Routes)> {
        let assembly = self.assemblies.entry(part.service.clone()).or_default();
        if part.age < assembly.age {
            return None;
        }
        if part.age > assembly.age {
            assembly.age = part.age;
            assembly.parts.clear();
        }
        let parts = usize::from(part.parts);
        let (service, age) = (part.service.clone(), part.age);
        assembly.parts.insert(part.part, part);
        if assembly.parts.len() < parts {
            return None;
        }
        let parts = std::mem::take(&mut assembly.parts);
        let ranges = parts.into_values().flat_map(|part| {
            let owners = part.owners;
            let ranges = part.ranges.into_iter();
            ranges.map(move |(first, owner)| {
                let name: Option<UpstreamName> =
                    owner.and_then(|i| owners.get(usize::from(i)).cloned());
                (first, name)
            })
        });
        let routes = Routes {
            age,
            ranges: ranges.collect(),
        };
        Some((service, routes))
    }
}

fn hosts_place() -> Option<Place> {
    HOSTS_TOPIC.parse().ok().map(Place::first)
}

/// The card of this host.
fn own_card(host: &Host) -> Card {
    let millicores = (host.config.cores * 1000.0).clamp(1.0, 1e9);
    Card {
        id: host.id,
        name: host.config.name.clone(),
        domain: host.config.domain.clone(),
        address: host.config.peer,
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to the range of the type"
        )]
        millicores: millicores as u32,
    }
}

/// Writes this host's card into the store and greets the hosts whose cards are there.
pub async fn introduce(host: Rc<Host>) {
    while let Err(error) = try_introduce(&host).await {
        warn!(host.log, "not introduced yet"; "reason" => %error);
        host.clock.sleep(RETRY).await;
    }
    info!(host.log, "introduced"; "hosts" => host.peers.borrow().hosts.len());
}

async fn try_introduce(host: &Host) -> Result<(), StoreError> {
    let Some(place) = hosts_place() else {
        return Ok(());
    };
    let card = own_card(host);
    let value = postcard::to_allocvec(&card).unwrap_or_default();
    if let Some(record) = Keyed::set(card.name.as_str(), Bytes::from(value)) {
        // Whether an answer was lost does not matter: a repeat writes the same.
        host.store
            .append(Append::new(place.clone(), record.encode()))
            .await?;
    }
    let mut after = None;
    loop {
        let newest = Newest {
            place: place.clone(),
            after,
        };
        let page = host.store.newest(newest).await?;
        after = page.items.last().map(|item| item.key.clone());
        for item in &page.items {
            match postcard::from_bytes::<Card>(&item.value) {
                Ok(other) if other.id != host.id => greet(host, other),
                Ok(_) => {}
                Err(reason) => host.log_rejected("card of a host", &reason),
            }
        }
        if !page.more || after.is_none() {
            return Ok(());
        }
    }
}

fn greet(host: &Host, other: Card) {
    let mut peers = host.peers.borrow_mut();
    let address = other.address;
    peers.add(other);
    peers.send(address, &Message::Hello(own_card(host), true));
}

/// Receives datagrams. It does not return.
pub async fn receive(host: Rc<Host>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; 2 * crate::message::DATAGRAM_MAX];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) => match Message::decode(&buffer[..size]) {
                Ok(message) => handle(&host, from, message),
                Err(reason) => debug!(host.log, "datagram dropped"; "from" => %from,
                    "reason" => %reason),
            },
            Err(error) => {
                warn!(host.log, "cannot receive datagrams"; "reason" => %error);
                host.clock.sleep(RETRY).await;
            }
        }
        flush(&host, &socket).await;
    }
}

fn handle(host: &Host, from: SocketAddr, message: Message) {
    match message {
        Message::Hello(card, asks) => {
            let now = host.now();
            let mut peers = host.peers.borrow_mut();
            let (id, address) = (card.id, card.address);
            if id == host.id {
                return;
            }
            let name = card.name.clone();
            let (joined, replaced) = peers.add(card);
            if joined {
                info!(host.log, "host joined"; "host" => %name, "address" => %address);
            }
            if let Some(peer) = peers.hosts.get_mut(&id) {
                peer.heard = Some(now);
            }
            if asks {
                peers.send(address, &Message::Hello(own_card(host), false));
            }
            drop(peers);
            for ended in replaced {
                info!(host.log, "host ended"; "incarnation" => %ended, "host" => %name);
                crate::steward::heard_ended(host, ended);
            }
        }
        Message::Beat(beat) => handle_beat(host, from, beat),
        Message::Keys(service, keys) => crate::steward::take_keys(host, &service, keys),
        Message::Routes(part) => {
            let routes = host.peers.borrow_mut().assemble(part);
            if let Some((service, routes)) = routes {
                host.apply_routes(&service, routes);
            }
        }
        Message::Ask(service) => crate::steward::send_routes(host, &service, from),
        Message::Resigned(resigned) => crate::steward::heard_resigned(host, &resigned),
        Message::Bye(id) => {
            let mut peers = host.peers.borrow_mut();
            peers.hosts.remove(&id);
            peers.ended.insert(id);
            peers.end_terms(id, &[]);
            drop(peers);
            crate::steward::heard_ended(host, id);
        }
    }
}

fn handle_beat(host: &Host, from: SocketAddr, beat: Beat) {
    let now = host.now();
    let mut peers = host.peers.borrow_mut();
    let Some(peer) = peers.hosts.get_mut(&beat.from) else {
        peers.send(from, &Message::Hello(own_card(host), true));
        return;
    };
    peer.heard = Some(now);
    peer.store = beat.store;
    peers.end_terms(beat.from, &beat.terms);
    let (mut asks, mut terms) = (Vec::new(), Vec::new());
    for term in beat.terms {
        let seen = Seen {
            host: beat.from,
            age: term.age,
            confirmed: Duration::from_millis(term.confirmed.into()),
            at: now,
        };
        terms.push(term.clone());
        let known = peers.stewards.get(&term.service);
        if known.is_some_and(|k| k.age.term > term.age.term && now.since(k.at) < SILENT) {
            continue;
        }
        if host.tables.borrow().age(&term.service) < term.age {
            asks.push(term.service.clone());
        }
        peers.stewards.insert(term.service, seen);
    }
    for service in asks {
        peers.send(from, &Message::Ask(service));
    }
    drop(peers);
    for term in terms {
        crate::steward::heard_of_term(host, beat.from, &term);
    }
    let mut balancer = host.balancer.borrow_mut();
    balancer.clear_open(beat.from);
    for item in beat.open {
        balancer.report(now, beat.from, item.tag, Report::Open(item.open));
    }
    for item in beat.times {
        let mean = Duration::from_micros(u64::from(item.mean) * 100);
        let time = Estimate::received(now, mean, f64::from(item.weight) / 10.0);
        balancer.report(now, beat.from, item.tag, Report::Time(time));
    }
    drop(balancer);
    if Version(beat.version) > host.version() {
        host.events.newer.notify(usize::MAX);
    }
}

/// Sends beats. It does not return.
pub async fn beat(host: Rc<Host>, socket: Rc<Async<UdpSocket>>) {
    let mut count = 0;
    loop {
        let now = host.now();
        let slow = count % SLOW_BEATS == 0;
        count += 1;
        let message = Message::Beat(own_beat(&host, now, slow));
        post_beat(&host, now, slow, &message);
        flush(&host, &socket).await;
        let next = host.clock.sleep(BEAT);
        let posted = async {
            loop {
                host.events.outbox.listen().await;
                flush(&host, &socket).await;
            }
        };
        next.or(posted).await;
    }
}

fn post_beat(host: &Host, now: Tick, slow: bool, message: &Message) {
    let mut peers = host.peers.borrow_mut();
    let remembered = |p: &Peer| p.heard.is_none_or(|at| now.since(at) < FORGET);
    peers.hosts.retain(|_, p| remembered(p));
    if slow {
        let all = peers.hosts.values().map(|p| p.card.address);
        let all: Vec<SocketAddr> = all.collect();
        peers.post(all, message);
        let live = peers.live(now).count();
        let live = i64::try_from(live).unwrap_or(i64::MAX);
        host.metrics.peers.set(live);
    } else {
        peers.send_all(now, message);
    }
    report_keys(host, &mut peers, now);
}

fn own_beat(host: &Host, now: Tick, slow: bool) -> Beat {
    let balancer = host.balancer.borrow();
    let open = balancer.loads().filter(|(_, load)| load.own() > 0);
    let open = open.map(|(tag, load)| OpenItem {
        tag,
        open: load.own(),
    });
    let times = balancer.loads().filter(|_| slow).filter_map(|(tag, load)| {
        let time = load.own_time(now);
        let mean = time.mean().filter(|_| time.weight() > WEIGHT_MIN)?;
        Some(TimeItem {
            tag,
            mean: u32::try_from(mean.as_micros() / 100).unwrap_or(u32::MAX),
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "weights are sums of a few seconds of requests"
            )]
            weight: (time.weight() * 10.0) as u32,
        })
    });
    let age = |at: Tick| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
    Beat {
        from: host.id,
        version: host.version().0,
        store: host.store_seen.get().map(age),
        open: open.collect(),
        times: times.collect(),
        terms: crate::steward::terms(host, now),
    }
}

/// Sends the keys that were asked for to the stewards of their services.
fn report_keys(host: &Host, peers: &mut Peers, now: Tick) {
    let services: Vec<ServiceName> = peers.keys.keys().cloned().collect();
    for service in services {
        if host.terms.borrow().contains_key(&service) {
            let keys = peers.take_keys(&service);
            crate::steward::take_keys(host, &service, keys);
            continue;
        }
        let Some(seen) = peers.steward(now, &service) else {
            continue;
        };
        let address = peers.hosts.get(&seen.host).map(|p| p.card.address);
        if let Some(address) = address {
            let keys = peers.take_keys(&service);
            peers.send(address, &Message::Keys(service, keys));
        }
    }
}

/// Sends the queued datagrams. What the socket does not take is dropped: datagrams may be lost.
pub async fn flush(host: &Host, socket: &Async<UdpSocket>) {
    let outbox = std::mem::take(&mut host.peers.borrow_mut().outbox);
    for (to, bytes) in outbox {
        if let Err(error) = socket.send_to(&bytes, to).await {
            debug!(host.log, "datagram not sent"; "to" => %to, "reason" => %error);
        }
    }
}

/// Tells the other hosts that this one ends, and removes its card.
pub async fn leave(host: &Host, socket: &Async<UdpSocket>) {
    let now = host.now();
    host.peers
        .borrow_mut()
        .send_all(now, &Message::Bye(host.id));
    flush(host, socket).await;
}

/// Binds the socket for datagrams.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn bind(address: SocketAddr) -> io::Result<Rc<Async<UdpSocket>>> {
    Async::<UdpSocket>::bind(address).map(Rc::new)
}
