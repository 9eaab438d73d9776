//! Wait of a coordinator for the grants of those before it.

use std::net::UdpSocket;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::pending;
use serde_json::json;
use trefoil_core::{Era, HostId, ServiceName, SystemClock};
use trefoil_gateway::message::{Digest, HostInfo, Message, Resigned};
use trefoil_gateway::{HostConfig, coordinator, follow, relay};
use trefoil_ranges::{Author, Table, Timing};
use trefoil_reactor::Async;
use trefoil_standin::{ControlPlane, test_config};
use trefoil_store::{Append, KeyedRecord, MemoryStore, PartitionId, Store, Topic};

use super::support;

/// Number of the predecessor's term.
const TERM: u64 = 5;

/// Time after which the last grant of the predecessor or an earlier coordinator expires, as the
/// predecessor announces it.
const LEFT: Duration = Duration::from_secs(2);

fn service() -> ServiceName {
    "keys".parse().expect("a name")
}

/// The table of a coordinator that ended before it knew when the grants of the one before it
/// expire, so the table states the longest possible time.
async fn write_table(store: &MemoryStore, author: HostId) {
    let mut table = Table::new(service());
    table.version = 1;
    table.author = Some(Author {
        host: author,
        term: TERM,
        earlier_grants: Timing::default()
            .earlier_expiry(trefoil_core::Tick::default())
            .0,
        resigned: false,
        unlisted_grants: Duration::ZERO,
        address: None,
    });
    let value = Bytes::from(table.encode().expect("encoded"));
    let record = KeyedRecord::set("keys", value).expect("a key");
    let partition = PartitionId::first(Topic::fixed("keyed.trefoil-ranges"));
    let append = Append::new(partition, record.encode());
    store.append(append).await.expect("written");
}

/// Guards against keys without an owner for longer than any grant of them can be valid: two hosts
/// take over at the same time, the second one finds the table of the first one, and the first one
/// learns only afterwards when the grants of their predecessor expire.
#[test]
fn a_resignation_also_limits_the_wait_for_earlier_coordinators() {
    let store = Arc::new(MemoryStore::new(Arc::new(SystemClock)));
    let registry = ControlPlane::new(Arc::<MemoryStore>::clone(&store));
    let entry = json!({
        "service": "keys", "address": "127.0.0.1:9", "zone": "a", "version": "1", "slots": 4,
        "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1,
    });
    let written = registry.write_registration("p1", &entry.to_string());
    written.expect("written");
    let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = socket.get_ref().local_addr().expect("bound");
    let config = HostConfig {
        peer: address,
        ..support::settings(1)
    };
    let host = support::host(config, Arc::<MemoryStore>::clone(&store));
    let config = Bytes::from(test_config(1).to_string());
    follow::load_config(&host, &config, Era::default());
    let other = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let predecessor = HostInfo {
        id: HostId::random(),
        name: "entry-9".parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        address: other.get_ref().local_addr().expect("bound"),
        millicores: 100,
    };
    let send = async |message: Message| {
        let bytes = message.encode().expect("encoded");
        other.send_to(&bytes, address).await.expect("sent");
    };
    let next_digest = async || -> Digest {
        let mut buffer = vec![0; 4096];
        loop {
            let (size, _) = other.recv_from(&mut buffer).await.expect("received");
            if let Ok(Message::Digest(digest)) = Message::decode(&buffer[..size]) {
                return digest;
            }
        }
    };
    let test = async {
        write_table(&store, predecessor.id).await;
        send(Message::Hello(predecessor.clone(), true)).await;
        let waits_for = async |expected: Option<u64>, limit: Duration| {
            let start = Instant::now();
            while start.elapsed() < limit {
                let terms = next_digest().await.terms;
                if terms.iter().any(|term| term.predecessor == expected) {
                    return true;
                }
                // The host stays in touch with the predecessor.
                send(Message::Hello(predecessor.clone(), true)).await;
            }
            false
        };
        let began = waits_for(Some(TERM), Duration::from_secs(8)).await;
        assert!(began, "the host takes over and waits");
        send(Message::Resigned(Resigned {
            from: predecessor.id,
            service: service(),
            term: TERM,
            left: LEFT,
        }))
        .await;
        let ended = waits_for(None, LEFT + Duration::from_secs(2)).await;
        assert!(
            ended,
            "the host still waits after the last grant has expired"
        );
    };
    let tasks = [
        host.spawn(coordinator::watch_services(Rc::clone(&host))),
        host.spawn(follow::follow_registry(Rc::clone(&host))),
        host.spawn(relay::receive(Rc::clone(&host), Rc::new(socket))),
    ];
    let sender = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let sending = host.spawn(relay::send(Rc::clone(&host), Rc::new(sender)));
    let running = async {
        host.executor.run(pending::<()>()).await;
    };
    support::block_on(test.or(running));
    drop((tasks, sending));
}
