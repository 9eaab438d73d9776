//! Tests of the platform's test double with the store client of `trefoil-platform`.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use trefoil_core::{Offset, SystemClock};
use trefoil_http::call;
use trefoil_log::{Log, LogError, TopicLog};
use trefoil_platform::StoreClient;

/// A child process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start_platform() -> (Process, SocketAddr) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_trefoil-standin"));
    let mut child = command
        .arg("platform")
        .stdout(Stdio::piped())
        .spawn()
        .expect("spawn");
    let mut line = String::new();
    let out = child.stdout.take().expect("stdout is piped");
    BufReader::new(out)
        .read_line(&mut line)
        .expect("stdout has a first line");
    let address = line.trim().strip_prefix("listening ").expect("address");
    (
        Process(child),
        address.parse().expect("the address is valid"),
    )
}

async fn set_fault(address: SocketAddr, json: &'static str) {
    let request = Request::post("/-/fault").body(Bytes::from_static(json.as_bytes()));
    let timeout = Duration::from_secs(2);
    let answer = call(address, request.expect("request"), 1024, timeout).await;
    assert!(
        answer.expect("answer").0.is_success(),
        "fault {json} was not accepted"
    );
}

/// Guards against an injected fault that differs from the fault it models: after a lost answer the
/// record must be in the log, after an outage it must not.
#[test]
fn injected_faults_have_their_stated_effect() {
    let (_process, address) = start_platform();
    let store = StoreClient::new(address, Arc::new(SystemClock));
    let log = TopicLog::new(Arc::new(store));
    smol::block_on(async {
        assert_eq!(log.append(Bytes::from_static(b"a")).await, Ok(Offset(0)));
        set_fault(address, "\"answer-lost\"").await;
        let lost = log.append(Bytes::from_static(b"b")).await;
        assert!(
            matches!(lost, Err(LogError::Ambiguous { .. })),
            "got {lost:?}"
        );
        set_fault(address, "\"twice\"").await;
        assert_eq!(log.append(Bytes::from_static(b"c")).await, Ok(Offset(2)));
        set_fault(address, "\"down\"").await;
        let down = log.append(Bytes::from_static(b"d")).await;
        assert!(
            matches!(down, Err(LogError::Unavailable { .. })),
            "got {down:?}"
        );
        set_fault(address, "\"none\"").await;
        let batch = log.read(Offset(0), 10, Duration::ZERO).await.expect("read");
        let data: Vec<_> = batch.records.iter().map(|r| r.data.to_vec()).collect();
        assert_eq!(
            data,
            [b"a".to_vec(), b"b".to_vec(), b"c".to_vec(), b"c".to_vec()]
        );
    });
}
