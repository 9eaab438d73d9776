//! Answers of the store that are broken, as the client of the platform reads them.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use trefoil_core::SystemClock;
use trefoil_platform::StoreClient;
use trefoil_store::{Append, Appended, PartitionId, Store, StoreError, Topic};

use crate::raw::{read_head, reset_on_close};

/// A record that does not fit into the buffers of a connection, in bytes.
const LONG_RECORD: usize = 8 * 1024 * 1024;

/// Time before an answer, in which the client fills the buffers of the connection.
const WORK: Duration = Duration::from_millis(30);

/// Whether the store reads the call before it answers, or resets the connection instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Call {
    Read,
    Unread,
}

/// Appends a record to a store that answers with these bytes.
fn append(answer: &str, call: Call) -> Result<Appended, StoreError> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let answer = answer.to_owned();
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        read_head(&mut stream).expect("a head");
        if call == Call::Read {
            // The length of a record and its bytes.
            stream.read_exact(&mut [0; 4 + 1]).expect("a record");
        } else {
            thread::sleep(WORK);
            reset_on_close(&stream);
        }
        let _ = stream.write_all(answer.as_bytes());
    });
    let client = StoreClient::new(address, Arc::new(SystemClock));
    let size = if call == Call::Read { 1 } else { LONG_RECORD };
    let partition = PartitionId::first(Topic::fixed("test"));
    let record = Bytes::from(vec![b'x'; size]);
    let result = smol::block_on(client.append(Append::new(partition, record)));
    server.join().expect("no panic");
    result
}

/// Guards against a broken answer that is taken for the acknowledgement of an append, and against
/// one that is taken for the proof that the append had no effect.
#[test]
fn a_broken_answer_acknowledges_nothing() {
    let body = r#"{"offset":7,"end":8}"#;
    let length = format!("Content-Length: {}\r\n", body.len());
    let sound = append(
        &format!("HTTP/1.1 200 OK\r\n{length}\r\n{body}"),
        Call::Read,
    );
    assert!(sound.is_ok(), "{sound:?}");
    for (head, body) in [
        (format!("HTTP/1.1 000 OK\r\n{length}"), body),
        (format!("HTTP/1.1 200 OK\r\nX Odd: 1\r\n{length}"), body),
        (format!("HTTP/1.1 200 OK\r\nX-\0Odd: 1\r\n{length}"), body),
        (format!("HTTP/1.1 200 OK\r\n\nX-Odd: 1\r\n{length}"), body),
        (format!("HTTP/1.1 200 OK\r\n{length}"), &body[..10]),
    ] {
        let answer = format!("{head}\r\n{body}");
        let result = append(&answer, Call::Read);
        let lost = matches!(result, Err(StoreError::Ambiguous { .. }));
        assert!(lost, "{answer:?}: {result:?}");
    }
    for _ in 0..8 {
        let result = append(&format!("HTTP/1.1 200 OK\r\n\r\n{body}"), Call::Unread);
        let lost = matches!(result, Err(StoreError::Ambiguous { .. }));
        assert!(lost, "{result:?}");
    }
}
