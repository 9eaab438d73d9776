//! `trefoild dev`, run as in the quick start of README.

use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::deployment::{call, send};

const CALLER: &str = "127.0.0.1:8080";
const OPERATOR: &str = "127.0.0.1:9090";

/// Maximum time from a signal to the exit. A single host does not wait for other hosts.
const EXIT_TIMEOUT: Duration = Duration::from_secs(3);

fn get(path: &str) -> Request<Bytes> {
    Request::get(path).body(Bytes::new()).expect("a request")
}

fn check_quick_start(signal: Signal) {
    for address in [CALLER, OPERATOR] {
        let free = TcpListener::bind(address);
        assert!(
            free.is_ok(),
            "{address} is taken by another process; `trefoild dev` needs it: {free:?}"
        );
    }
    let mut child = Command::new(env!("CARGO_BIN_EXE_trefoild"))
        .arg("dev")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("trefoild runs");
    let pid = Pid::from_raw(i32::try_from(child.id()).expect("a pid"));
    let mut out = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let mut line = || out.next().expect("a line").expect("UTF-8");
    assert_eq!(line(), "Ready. Try:");
    assert_eq!(
        line(),
        format!("  curl -i http://{CALLER}/offers/customer-17")
    );
    assert_eq!(line(), "  cargo run --locked --bin trefoilctl -- status");

    let request = get("/offers/customer-17");
    let answer = send(CALLER.parse().expect("an address"), request).expect("an answer");
    assert_eq!(
        (answer.status.as_u16(), answer.outcome.as_str()),
        (200, "done"),
        "{answer:?}"
    );
    let status = Command::new(env!("CARGO_BIN_EXE_trefoilctl"))
        .arg("status")
        .env_clear()
        .output()
        .expect("trefoilctl runs");
    let text = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(
        status.status.success() && text.contains("host dev: ready"),
        "{text}"
    );
    let (_, metrics) = call(OPERATOR.parse().expect("an address"), get("/metrics"));
    for name in [
        "requests_total{",
        "sent_total{",
        "active{upstream=\"offers-1\"} 0",
    ] {
        assert!(
            metrics.contains(&format!("trefoil_{name}")),
            "{name}: {metrics}"
        );
    }

    let since = Instant::now();
    kill(pid, signal).expect("the process runs");
    let status = loop {
        match child.try_wait().expect("the child can be waited for") {
            Some(status) => break status,
            None if since.elapsed() > EXIT_TIMEOUT => {
                drop(child.kill());
                panic!("{signal} did not end the process within {EXIT_TIMEOUT:?}");
            }
            None => std::thread::sleep(Duration::from_millis(10)),
        }
    };
    println!("{signal} ended the process after {:?}", since.elapsed());
    assert_eq!(status.code(), Some(0), "{signal}");
}

/// Guards against printed commands that do not work, a metric that is never set, and a process that
/// does not exit with 0. One test covers both signals, because both cases need the fixed ports.
#[test]
fn the_quick_start_works_and_exits_with_zero() {
    check_quick_start(Signal::SIGTERM);
    check_quick_start(Signal::SIGINT);
}
