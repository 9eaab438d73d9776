//! Routes that arrive in several datagrams.

use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::pending;
use trefoil_core::{Key, KeyRange, SystemClock};
use trefoil_gateway::message::{Message, RoutesPart};
use trefoil_gateway::tables::{Revision, Routes};
use trefoil_gateway::{Host, HostConfig, relay};
use trefoil_reactor::Async;
use trefoil_store::MemoryStore;

use super::support;

/// Number of ranges, more than one datagram has.
const RANGES: u16 = 60;

/// Ranges in one datagram.
const PART: usize = 50;

fn host(peer: SocketAddr) -> Rc<Host> {
    let config = HostConfig {
        peer,
        ..support::settings(1)
    };
    let store = MemoryStore::new(Arc::new(SystemClock));
    support::host(config, Arc::new(store))
}

fn revision(serial: u64) -> Revision {
    Revision {
        version: 1,
        term: 1,
        serial,
    }
}

/// Owners of the first ranges before and after the changes, and of the others.
const OWNERS: [&str; 3] = ["before", "after", "other"];

/// Number of ranges that change their owner.
const CHANGED: u16 = 55;

/// The first `count` ranges. Those that change have the owner with this index, in turn with none.
fn parts(base: Option<Revision>, revision: Revision, count: u16, owner: u16) -> Vec<RoutesPart> {
    let range = |i: u16| {
        let last = if i == RANGES - 1 {
            u16::MAX
        } else {
            i * 1000 + 999
        };
        let range = KeyRange::new(Key(i * 1000), Key(last)).expect("a range");
        let owner = if i < CHANGED { owner } else { 2 };
        (range, (i % 2 == 1).then_some(owner))
    };
    let ranges: Vec<_> = (0..count).map(range).collect();
    let part = |(part, chunk): (u16, &[(KeyRange, Option<u16>)])| RoutesPart {
        service: "keys".parse().expect("a name"),
        base,
        revision,
        part,
        parts: 2,
        owners: OWNERS.map(|o| o.parse().expect("a name")).to_vec(),
        ranges: chunk.to_vec(),
    };
    (0..).zip(ranges.chunks(PART)).map(part).collect()
}

/// Guards against routes that are put together from parts of changes and parts of complete routes
/// of the same revision.
#[test]
fn parts_of_changes_and_of_complete_routes_are_not_mixed() {
    let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = socket.get_ref().local_addr().expect("bound");
    let host = host(address);
    let other = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let send = async |message: Message| {
        let bytes = message.encode().expect("encoded");
        other.send_to(&bytes, address).await.expect("sent");
    };
    let test = async {
        for part in parts(None, revision(1), RANGES, 0) {
            send(Message::Routes(part)).await;
        }
        // The first part of the changes is lost, so the complete routes are requested.
        let changes = parts(Some(revision(1)), revision(2), CHANGED, 1);
        send(Message::Routes(changes[1].clone())).await;
        for part in parts(None, revision(2), RANGES, 1) {
            send(Message::Routes(part)).await;
        }
        send(Message::RoutesRequest("keys".parse().expect("a name"))).await;
        let mut received = Vec::new();
        let mut buffer = vec![0; 4096];
        loop {
            let received_all = received
                .first()
                .is_some_and(|p: &RoutesPart| received.len() >= usize::from(p.parts));
            if received_all {
                break;
            }
            let answer = async { Some(other.recv_from(&mut buffer).await.expect("received").0) };
            let timeout = async {
                smol::Timer::after(Duration::from_secs(2)).await;
                None
            };
            let size = answer.or(timeout).await.expect("routes");
            if let Ok(Message::Routes(part)) = Message::decode(&buffer[..size]) {
                received.push(part);
            }
        }
        received.sort_by_key(|p| p.part);
        let ranges = received.iter().flat_map(|p| {
            p.ranges
                .iter()
                .map(|(range, owner)| (*range, owner.map(|i| &p.owners[usize::from(i)])))
        });
        let known = Routes::new(received[0].revision, ranges);
        assert_eq!(known.revision, revision(2));
        let owner = |key| known.owner(Key(key)).map(ToString::to_string);
        let owners = [owner(1000), owner(u16::MAX)];
        assert_eq!(owners, [Some("after".to_owned()), Some("other".to_owned())]);
    };
    let receiving = relay::receive(Rc::clone(&host), Rc::new(socket));
    let running = async {
        let task = host.spawn(receiving);
        host.executor.run(pending::<()>()).await;
        drop(task);
    };
    support::block_on(test.or(running));
}
