//! Distribution of routes, which map keys to the upstreams that own them.
//!
//! The coordinator sends changes of its routes to the hosts of its domain and to the relays of the
//! other domains, which forward them to their own. A host that has missed a change requests all
//! routes. One that receives nothing from a coordinator reads the table from the store. Wrong
//! routes are safe: an upstream refuses a request for a key that it does not own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use slog::debug;
use trefoil_core::{KeyRange, ServiceName, Tick, UpstreamName};

use super::table_store::read_table;
use super::term::Term;
use crate::host::Host;
use crate::message::{Message, RoutesPart};
use crate::tables::{Revision, Routes};

/// Time between two reads of a table while no coordinator is reported.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(700);

/// Time in which routes that another host already has usually arrive here. After it they are
/// requested.
const MISSING_ROUTES_DELAY: Duration = Duration::from_millis(120);

/// Most ranges in one datagram.
const PART_RANGES_MAX: usize = 50;

/// Received parts of one revision of routes.
#[derive(Debug, Default)]
pub struct Reassembly {
    /// Revision that the parts lead to, and the one that they are changes of.
    revisions: (Revision, Option<Revision>),
    parts: BTreeMap<u16, RoutesPart>,
}

/// Received parts of routes, by service. Changes and complete routes of one revision can arrive at
/// the same time and are divided differently, so they are kept apart.
pub type Reassemblies = BTreeMap<(ServiceName, Content), Reassembly>;

/// Content of a part of routes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Content {
    /// All routes.
    Complete,
    /// Changes of earlier routes.
    Changes,
}

/// Ranges with their owners.
type Ranges = Vec<(KeyRange, Option<UpstreamName>)>;

/// Applies the routes of a term on this host and sends the changes to the other hosts.
pub(super) fn publish(host: &Host, service: &ServiceName, term: &mut Term, now: Tick) {
    let routes = Routes::new(revision(term), term.coordinator.routes(now));
    let parts = match &term.routes {
        Some(before) => {
            let changes = routes.changes_since(before);
            parts(service, Some(before.revision), routes.revision, &changes)
        }
        None => all_parts(service, &routes),
    };
    let mut peers = host.peers.borrow_mut();
    for part in parts {
        peers.broadcast(now, &Message::Routes(part));
    }
    drop(peers);
    host.events.outbox.notify(usize::MAX);
    term.routes = Some(routes.clone());
    host.apply_routes(service, routes);
}

/// Revision of the routes that the term published last. Its version is 0 until then, so that other
/// hosts do not request what does not exist.
pub(super) fn revision(term: &Term) -> Revision {
    let version = term.coordinator.table().version;
    Revision {
        version: term.published_serial.map_or(0, |_| version),
        term: term.announced,
        serial: term.published_serial.unwrap_or_default(),
    }
}

fn all_parts(service: &ServiceName, routes: &Routes) -> Vec<RoutesPart> {
    let ranges = routes.iter();
    let ranges: Ranges = ranges
        .map(|(range, owner)| (range, owner.cloned()))
        .collect();
    parts(service, None, routes.revision, &ranges)
}

fn parts(
    service: &ServiceName,
    base: Option<Revision>,
    revision: Revision,
    ranges: &[(KeyRange, Option<UpstreamName>)],
) -> Vec<RoutesPart> {
    // A change of the revision alone is one part without ranges.
    let chunks: Vec<_> = ranges.chunks(PART_RANGES_MAX).collect();
    let chunks = if chunks.is_empty() {
        vec![ranges]
    } else {
        chunks
    };
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    let part = |(number, chunk): (u16, &[(KeyRange, Option<UpstreamName>)])| {
        let mut owners: Vec<UpstreamName> = Vec::new();
        let mut index = |name: &UpstreamName| {
            let known = owners.iter().position(|o| o == name);
            let at = known.unwrap_or_else(|| {
                owners.push(name.clone());
                owners.len() - 1
            });
            u16::try_from(at).unwrap_or(u16::MAX)
        };
        let ranges = chunk
            .iter()
            .map(|(range, owner)| (*range, owner.as_ref().map(&mut index)))
            .collect();
        RoutesPart {
            service: service.clone(),
            base,
            revision,
            part: number,
            parts: count,
            owners,
            ranges,
        }
    };
    (0..).zip(chunks).map(part).collect()
}

/// Sends all routes of a service to the host that requested them.
pub(crate) fn send_routes(host: &Host, service: &ServiceName, to: SocketAddr) {
    let tables = host.tables.borrow();
    let Some(routes) = tables.get(service) else {
        return;
    };
    let mut peers = host.peers.borrow_mut();
    for part in all_parts(service, routes) {
        peers.queue([to], &Message::Routes(part));
    }
}

/// Handles a report that another host has a revision of the routes. Requests the routes if a newer
/// revision has not arrived here after a delay.
pub(crate) fn on_routes_revision(
    host: &Host,
    from: SocketAddr,
    service: &ServiceName,
    revision: Revision,
) {
    let now = host.now();
    let known = host.tables.borrow().revision(service);
    let mut behind = host.missing_routes.borrow_mut();
    if revision <= known {
        return;
    }
    let (awaited, since) = *behind.entry(service.clone()).or_insert((revision, now));
    if awaited <= known {
        behind.insert(service.clone(), (revision, now));
    } else if now.since(since) >= MISSING_ROUTES_DELAY {
        behind.insert(service.clone(), (revision, now));
        let request = Message::RoutesRequest(service.clone());
        host.peers.borrow_mut().queue([from], &request);
    }
}

/// Handles a part of the routes of a service. The first relay of a domain forwards parts from other
/// domains to the hosts of its own.
pub(crate) fn on_routes_part(host: &Host, from: SocketAddr, part: RoutesPart) {
    let service = part.service.clone();
    let known = host.tables.borrow().revision(&service);
    let now = host.now();
    if part.revision <= known {
        return;
    }
    {
        let mut peers = host.peers.borrow_mut();
        if peers.position(now) == 0 && !peers.is_in_domain(from) {
            let to = peers.domain_addresses(now, false);
            peers.queue(to, &Message::Routes(part.clone()));
        }
    }
    if part.base.is_some_and(|base| base != known) {
        // An earlier change was lost or is late.
        on_routes_revision(host, from, &service, part.revision);
        return;
    }
    let assembled = host.reassemblies.borrow_mut().reassemble(part);
    let Some((base, revision, ranges)) = assembled else {
        return;
    };
    let routes = match (base, host.tables.borrow().get(&service)) {
        (Some(_), Some(before)) => before.apply_changes(revision, &ranges),
        _ => Routes::new(
            revision,
            ranges.iter().map(|(r, owner)| (*r, owner.as_ref())),
        ),
    };
    host.apply_routes(&service, routes);
}

trait Reassemble {
    fn reassemble(&mut self, part: RoutesPart) -> Option<(Option<Revision>, Revision, Ranges)>;
}

impl Reassemble for Reassemblies {
    /// Adds a part. Returns all ranges if this was the last missing one.
    fn reassemble(&mut self, part: RoutesPart) -> Option<(Option<Revision>, Revision, Ranges)> {
        let content = match part.base {
            Some(_) => Content::Changes,
            None => Content::Complete,
        };
        let key = (part.service.clone(), content);
        let reassembly = self.entry(key).or_default();
        let revisions = (part.revision, part.base);
        if revisions < reassembly.revisions {
            return None;
        }
        if revisions > reassembly.revisions {
            reassembly.revisions = revisions;
            reassembly.parts.clear();
        }
        let (count, base, revision) = (usize::from(part.parts), part.base, part.revision);
        reassembly.parts.insert(part.part, part);
        if reassembly.parts.len() < count {
            return None;
        }
        let parts = std::mem::take(&mut reassembly.parts);
        let ranges = parts.into_values().flat_map(|part| {
            let owners = part.owners;
            let ranges = part.ranges.into_iter();
            ranges.map(move |(range, owner)| {
                (
                    range,
                    owner.and_then(|i| owners.get(usize::from(i)).cloned()),
                )
            })
        });
        Some((base, revision, ranges.collect()))
    }
}

/// Reads the tables of services without a reported coordinator from the store. Never returns.
pub async fn follow_tables(host: Rc<Host>) {
    loop {
        for service in host.keyed_services() {
            let now = host.now();
            let has_coordinator = host.peers.borrow().coordinator(now, &service).is_some();
            let known = host.tables.borrow().get(&service).is_some();
            let own = host.terms.borrow().contains_key(&service);
            if own || (has_coordinator && known) {
                continue;
            }
            if host.reads_store(now) {
                load_routes(&host, &service).await;
            } else {
                let mut peers = host.peers.borrow_mut();
                let relays = peers.relays(now);
                peers.queue(relays, &Message::RoutesRequest(service));
            }
        }
        let configured = host.events.config.listen();
        host.clock.sleep(FOLLOW_INTERVAL).or(configured).await;
    }
}

async fn load_routes(host: &Host, service: &ServiceName) {
    match read_table(host, service).await {
        Ok((Some(table), _)) => {
            let revision = Revision {
                version: table.version,
                ..Revision::default()
            };
            // While a range moves, only its former owner can still serve it.
            let ranges = table.entries().iter().map(|e| {
                let owner = e.former.as_ref().or(e.owner.as_ref());
                (e.range, owner.map(|o| &o.incarnation.name))
            });
            host.apply_routes(service, Routes::new(revision, ranges));
        }
        Ok((None, _)) => {}
        Err(error) => debug!(host.log, "table not read"; "service" => %service,
            "reason" => %error),
    }
}
