//! Memory of a host whose callers and upstreams decide how much it receives.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::json;
use trefoil_core::{Offset, SystemClock};
use trefoil_http::h1::MemoryShare;
use trefoil_http::{Limits, Server};
use trefoil_platform::StoreClient;
use trefoil_soak::{Answer, Fleet, eventually, read_answer, upstream_spec};
use trefoil_standin::{ResponseMode, StoreServer, UpstreamSpec, test_config};
use trefoil_store::{Append, MemoryStore, PartitionId, Read as ReadCall, Store, Topic};

/// Memory of a host of the smallest class, in KiB.
const MEMORY_KIB: u64 = 160 * 1024;

/// Callers that do not read their answers.
const SLOW_CALLERS: usize = 40;

/// Callers that upload a body at the same time.
const UPLOADS: usize = 10;

/// Length of each of these bodies, in bytes.
const UPLOAD: usize = 24 * 1024 * 1024;

/// A host with an upstream for many requests.
fn fleet() -> Fleet {
    let spec = UpstreamSpec {
        slots: 64,
        ..upstream_spec("p1", "plain")
    };
    let mut fleet = Fleet::new(super::program(), vec![spec]);
    fleet.start_host();
    fleet.wait_until_served(0, "/read/x", "");
    fleet
}

/// Allows bodies of 64 MiB, and the time that a busy machine needs for one.
fn allow_long_bodies(fleet: &Fleet) {
    let mut config = test_config(2);
    config["limits"]["maxBodyBytes"] = json!(64 * 1024 * 1024);
    config["limits"]["headerTimeoutMs"] = json!(15_000);
    config["routes"]["write"]["timeoutMs"] = json!(15_000);
    fleet.control_plane.write_config(&config).expect("written");
    eventually("the configuration is in force", || {
        let version = fleet.hosts[0].sum_metric("trefoil_config_version", "");
        (version >= 2.0).then_some(())
    });
}

/// Sends an order whose body has `length` bytes. Stops to send if it is answered before.
fn upload(fleet: &Fleet, id: &str, length: usize, deadline_ms: u32) -> Option<Answer> {
    let mut stream = TcpStream::connect(fleet.hosts[0].caller_address).ok()?;
    let head = format!(
        "POST /write/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {length}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).ok()?;
    let piece = vec![b'x'; 64 * 1024];
    let mut left = length;
    while left > 0 && stream.write_all(&piece[..left.min(piece.len())]).is_ok() {
        left -= left.min(piece.len());
    }
    read_answer(&mut stream)
}

/// Guards against a host that runs out of memory because callers read long answers slowly.
#[test]
fn answers_that_nobody_reads_do_not_fill_the_memory() {
    let fleet = fleet();
    fleet
        .upstream("p1")
        .set_response_mode(ResponseMode::LongBody);
    let callers: Vec<TcpStream> = (0..SLOW_CALLERS)
        .map(|number| {
            let address = fleet.hosts[0].caller_address;
            let mut stream = TcpStream::connect(address).expect("connected");
            let request = format!(
                "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: slow-{number}\r\n\r\n"
            );
            stream.write_all(request.as_bytes()).expect("sent");
            thread::sleep(Duration::from_millis(50));
            stream
        })
        .collect();
    for mut stream in &callers {
        let mut start = [0; 12];
        stream.read_exact(&mut start).expect("an answer");
        let status = std::str::from_utf8(&start[9..]).expect("a status");
        assert!(["200", "502", "503"].contains(&status), "{status}");
    }
    let host = &fleet.hosts[0];
    let peak = host.peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
    let held = |name: &str| host.sum_metric(name, "kind=\"answers\"");
    let (used, limit) = (
        held("trefoil_memory_bytes"),
        held("trefoil_memory_limit_bytes"),
    );
    assert!(used > 0.5 * limit && used <= limit, "{used} of {limit}");
    let line = host.wait_for_entry("event", "memory short");
    assert_eq!(line["kind"], "answers", "{line:?}");
    drop(callers);
    eventually("the memory is returned", || {
        (held("trefoil_memory_bytes") < 1.0).then_some(())
    });
    fleet.upstream("p1").set_response_mode(ResponseMode::Normal);
    fleet.wait_until_served(0, "/read/again", "");
}

/// Guards against a host that runs out of memory because many callers upload long bodies at once,
/// and against one that then serves none of them.
#[test]
fn bodies_of_many_callers_do_not_fill_the_memory() {
    let fleet = fleet();
    allow_long_bodies(&fleet);
    fleet.upstream("p1").set_response_mode(ResponseMode::Hang);
    let statuses: Vec<Option<u16>> = thread::scope(|scope| {
        let fleet = &fleet;
        let send = |number| move || upload(fleet, &format!("long-{number}"), UPLOAD, 1500);
        let uploads: Vec<_> = (0..UPLOADS).map(|n| scope.spawn(send(n))).collect();
        let ended = uploads.into_iter().map(|u| u.join().expect("no panic"));
        ended.map(|answer| Some(answer?.status)).collect()
    });
    let peak = fleet.hosts[0].peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB, {statuses:?}");
    assert!(statuses.contains(&Some(504)), "one is sent: {statuses:?}");
    fleet.upstream("p1").set_response_mode(ResponseMode::Normal);
    let answer = upload(&fleet, "alone", UPLOAD, 15_000).expect("an answer");
    assert_eq!(answer.status, 200, "{}", answer.head);
}

/// Guards against a caller that waits for the refusal of a body that the host has no memory for.
#[test]
fn a_body_that_never_fits_is_refused_at_once() {
    let fleet = fleet();
    allow_long_bodies(&fleet);
    let begun = Instant::now();
    let answer = upload(&fleet, "huge", 60 * 1024 * 1024, 15_000).expect("an answer");
    assert_eq!(answer.status, 503, "{}", answer.head);
    assert!(answer.header("retry-after").is_some(), "{}", answer.head);
    assert!(begun.elapsed() < Duration::from_secs(1));
    let peak = fleet.hosts[0].peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
}

/// Guards against records of the store that fill the memory, because any number of calls may be
/// under way and their records in use.
#[test]
fn answers_of_the_store_share_their_memory() {
    let store: Arc<dyn Store> = Arc::new(MemoryStore::new(Arc::new(SystemClock)));
    let partition = PartitionId::first(Topic::fixed("records"));
    let share = MemoryShare::new(1 << 20);
    smol::block_on(async {
        let record = Bytes::from(vec![b'x'; 250_000]);
        for _ in 0..2 {
            let append = Append::new(partition.clone(), record.clone());
            store.append(append).await.expect("appended");
        }
        let listener = smol::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await;
        let listener = listener.expect("a port");
        let address = listener.local_addr().expect("bound");
        let service = Arc::new(StoreServer::new(store));
        let _server = Server::serve(listener, Limits::default(), service);
        let client = StoreClient::with_memory(address, Arc::new(SystemClock), &share);
        let read = || {
            client.read(ReadCall {
                partition: partition.clone(),
                from: Offset(0),
                wait: Duration::ZERO,
            })
        };
        let mut batch = read().await.expect("it fits");
        assert!(share.used() >= 500_000, "{}", share.used());
        let error = read().await.expect_err("there is no room");
        assert!(error.to_string().contains("memory"), "{error}");
        batch.records.truncate(1);
        read().await.expect_err("one record is in use");
        drop(batch);
        read().await.expect("it fits again");
    });
    assert_eq!(share.used(), 0);
}
