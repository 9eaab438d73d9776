//! Telling the other hosts who serves which keys.
//!
//! The steward sends its routes to all hosts whenever they change. A host that hears of newer ones
//! asks for them, and one that hears no steward reads the table from the store. Routes need no
//! proof: an upstream refuses a request for a key that it does not own.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::debug;
use trefoil_core::{Key, ServiceName, Tick, UpstreamName};

use super::record::{read_table, result_name};
use super::term::Term;
use crate::host::Host;
use crate::message::{Message, RoutesPart};
use crate::tables::{Age, Routes};

/// Time between two reads of a table whose steward is not heard.
const FOLLOW: Duration = Duration::from_secs(1);

/// Ranges in one datagram.
const PART_RANGES: usize = 50;

/// Uses the routes of a term here, and sends them to the other hosts.
pub(super) fn publish(host: &Host, service: &ServiceName, term: &Term, now: Tick) {
    let routes = routes(term, now);
    for part in parts(host, service, &routes) {
        host.peers
            .borrow_mut()
            .send_all(now, &Message::Routes(part));
    }
    host.events.outbox.notify(usize::MAX);
    host.apply_routes(service, routes);
}

/// How new the routes of a term are that were published last.
pub(super) fn age(term: &Term) -> Age {
    Age {
        version: term.steward.table().version,
        term: term.number,
        serial: term.published.unwrap_or_default(),
    }
}

fn routes(term: &Term, now: Tick) -> Routes {
    Routes::new(age(term), term.steward.routes(now))
}

fn parts(host: &Host, service: &ServiceName, routes: &Routes) -> Vec<RoutesPart> {
    let chunks: Vec<_> = routes.ranges.chunks(PART_RANGES).collect();
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    let part = |(number, chunk): (u16, &&[(Key, Option<UpstreamName>)])| {
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
            .map(|(first, owner)| (*first, owner.as_ref().map(&mut index)))
            .collect();
        RoutesPart {
            from: host.id,
            service: service.clone(),
            age: routes.age,
            part: number,
            parts: count,
            owners,
            ranges,
        }
    };
    (0..).zip(&chunks).map(part).collect()
}

/// Sends the routes of a service to a host that lacks them.
pub(crate) fn send_routes(host: &Host, service: &ServiceName, to: SocketAddr) {
    let now = host.now();
    let terms = host.terms.borrow();
    let Some(term) = terms.get(service).filter(|t| t.published.is_some()) else {
        return;
    };
    for part in parts(host, service, &routes(term, now)) {
        host.peers.borrow_mut().send(to, &Message::Routes(part));
    }
}

/// Reads the tables of services whose steward is not heard from the store. It does not return.
pub async fn follow_tables(host: Rc<Host>) {
    loop {
        for service in host.keyed_services() {
            let heard = host.peers.borrow().steward(host.now(), &service).is_some();
            if !heard && !host.terms.borrow().contains_key(&service) {
                read_routes(&host, &service).await;
            }
        }
        host.clock.sleep(FOLLOW).await;
    }
}

async fn read_routes(host: &Host, service: &ServiceName) {
    let result = read_table(host, service).await;
    host.metrics.called("read-table", result_name(&result));
    match result {
        Ok(Some(table)) => {
            let age = Age {
                version: table.version,
                ..Age::default()
            };
            // While a range moves, its former owner is the one that may serve it.
            let ranges = table.entries().iter().map(|e| {
                let owner = e.former.as_ref().or(e.owner.as_ref());
                (e.range, owner.map(|o| &o.life.name))
            });
            host.apply_routes(service, Routes::new(age, ranges));
        }
        Ok(None) => {}
        Err(error) => debug!(host.log, "table not read"; "service" => %service,
            "reason" => %error),
    }
}
