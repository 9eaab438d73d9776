//! Pages of the store with keys and values of other writers.

use std::io::{BufRead, BufReader, Write};
use std::net::TcpListener;
use std::sync::Arc;

use serde_json::json;
use trefoil_core::SystemClock;
use trefoil_platform::StoreClient;
use trefoil_soak::{Fleet, upstream_spec};
use trefoil_store::{Newest, Page, PartitionId, Store, Topic};

/// Reads a page of a keyed topic from a store that answers with this body. Returns the page and
/// the first line of the call.
fn read_page(body: &[u8], after: Option<&str>) -> (Page, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let body = body.to_vec();
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut lines = BufReader::new(stream.try_clone().expect("a copy")).lines();
        let first = lines.next().expect("a line").expect("text");
        let end = lines.find(|line| line.as_ref().is_ok_and(String::is_empty));
        end.expect("the end of the head").expect("text");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let sent = stream.write_all(&[head.as_bytes(), &body].concat());
        sent.expect("sent");
        first
    });
    let client = StoreClient::new(address, Arc::new(SystemClock));
    let newest = Newest {
        partition: PartitionId::first(Topic::fixed("keyed.servers")),
        after: after.map(str::to_owned),
    };
    let page = smol::block_on(client.newest(newest));
    let first = server.join().expect("the server ends");
    (page.expect("a page"), first)
}

/// Guards against one unreadable value or key that makes the whole page unreadable, so that a host
/// no longer follows the registry.
#[test]
fn an_unreadable_record_does_not_hide_the_others() {
    let items = [
        r#"{"key":"odd-1","value":"%%%","offset":1}"#,
        r#"{"key":"odd-2","value":7,"offset":2}"#,
        r#"{"key":"odd-3","offset":3}"#,
        r#"{"key":"good","value":"e30=","offset":4}"#,
    ];
    let page = format!(
        r#"{{"items":[{}],"hasMore":false,"end":5}}"#,
        items.join(",")
    );
    let (page, _) = read_page(page.as_bytes(), None);
    let values: Vec<(&str, &[u8])> = page
        .items
        .iter()
        .map(|item| (item.key.as_str(), item.value.as_ref()))
        .collect();
    let empty: &[u8] = b"";
    assert_eq!(
        values,
        [
            ("odd-1", empty),
            ("odd-2", empty),
            ("odd-3", empty),
            ("good", b"{}")
        ]
    );
    let page = b"{\"items\":[{\"key\":\"\xff\",\"value\":\"e30=\",\"offset\":1}],\"end\":2}";
    let (page, _) = read_page(page, None);
    assert_eq!(page.items.len(), 1);
}

/// Guards against a key of another writer at the end of a page that makes the call for the next
/// page invalid, and against reading the same page for ever.
#[test]
fn the_next_page_is_read_after_any_key() {
    let key = "a b&part=7#\u{e9}\r\n%";
    let body = json!({ "items": [], "hasMore": false, "end": 5 }).to_string();
    let (_, first) = read_page(body.as_bytes(), Some(key));
    let call = "GET /log-newest?topic=keyed.servers&part=0&after=";
    let expected = format!("{call}a%20b%26part%3D7%23%C3%A9%0D%0A%25 HTTP/1.1");
    assert_eq!(first, expected);
    let same = json!({
        "items": [{ "key": key, "value": "e30=", "offset": 1 }], "hasMore": true, "end": 5,
    });
    let (page, _) = read_page(same.to_string().as_bytes(), Some(key));
    assert!(!page.more, "the page does not end after the one before");
}

/// Guards against a host that never reads the rest of the registry because a page ends with a key
/// that needs to be encoded.
#[test]
fn a_registry_with_odd_keys_is_read_to_the_end() {
    let mut fleet = Fleet::new(super::program(), vec![upstream_spec("p1", "plain")]);
    // A page has 500 records, and these keys come before that of the upstream.
    for number in 0..600 {
        let key = format!(" &odd={number}#\u{e9}");
        let written = fleet.control_plane.write_registration(&key, "odd");
        written.expect("written");
    }
    fleet.start_host();
    fleet.wait_until_served(0, "/read/x", "");
}
