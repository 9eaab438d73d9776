//! A store that comes back from an older copy.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use trefoil_core::{Offset, SystemClock};
use trefoil_http::{Limits, Server};
use trefoil_platform::StoreClient;
use trefoil_standin::StoreServer;
use trefoil_store::{
    Append, Era, MemoryStore, Newest, PartitionId, Read, Store, StoreError, Topic,
};

const PARTITION: PartitionId = PartitionId::first(Topic::fixed("keyed.x"));

fn read_from(offset: u64) -> Read {
    Read {
        partition: PARTITION,
        from: Offset(offset),
        wait: Duration::ZERO,
    }
}

/// Guards against a client that does not notice that the store has lost acknowledged records, or
/// that takes a late answer of an older era for one of the newest.
#[test]
fn every_answer_carries_the_era_of_the_store() {
    let clock = Arc::new(SystemClock);
    let memory = Arc::new(MemoryStore::new(Arc::<SystemClock>::clone(&clock)));
    let service = Arc::new(StoreServer::new(Arc::<MemoryStore>::clone(&memory)));
    smol::block_on(async {
        let listener = smol::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("an address");
        let _server = Server::serve(listener, Limits::default(), service);
        let client = StoreClient::new(address, clock);
        let record = || Append::new(PARTITION, Bytes::from_static(b"\x01kv"));
        let appended = client.append(record()).await.expect("appended");
        assert_eq!((appended.era, client.era()), (Era(0), Era(0)));
        let copy = memory.copy();
        client.append(record()).await.expect("appended");
        let lost = memory.restore(copy);
        assert_eq!(lost, [record()]);
        // A refusal carries the era as well.
        let beyond = client.read(read_from(2)).await;
        let first = Offset(0);
        assert_eq!(beyond, Err(StoreError::Truncated { first }));
        assert_eq!(client.era(), Era(1));
        let again = client.append(record()).await.expect("appended");
        assert_eq!((again.offset, again.era), (Offset(1), Era(1)));
        let batch = client.read(read_from(0)).await.expect("read");
        assert_eq!((batch.records.len(), batch.era), (2, Era(1)));
        let newest = Newest {
            partition: PARTITION,
            after: None,
        };
        let page = client.newest(newest).await.expect("read");
        assert_eq!((page.items.len(), page.era), (1, Era(1)));
    });
}
