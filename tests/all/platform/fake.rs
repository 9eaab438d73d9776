//! An upstream that sends the bytes that a test chooses.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};
use trefoil_soak::{Fleet, eventually};
use trefoil_standin::test_config;

use crate::raw::read_head;

/// Longest time of a streamed answer.
const STREAM_TIME: Duration = Duration::from_secs(12);

/// Answers a request with this id on its connection. Returns true if the connection stays open.
type Act = dyn Fn(&str, &mut TcpStream) -> bool + Send + Sync;

/// Part of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Part {
    Head,
    Whole,
}

/// An upstream of the service `plain`.
pub(super) struct FakeUpstream {
    address: SocketAddr,
    received: Arc<AtomicUsize>,
}

impl FakeUpstream {
    /// Starts an upstream whose connections answer with `act` once they have read the request.
    pub(super) fn start<F>(act: F) -> Self
    where
        F: Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        Self::start_after(Part::Whole, act)
    }

    /// Starts an upstream whose connections answer with `act` once they have read this part of the
    /// request.
    pub(super) fn start_after<F>(part: Part, act: F) -> Self
    where
        F: Fn(&str, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
        let address = listener.local_addr().expect("bound");
        let received = Arc::<AtomicUsize>::default();
        let (act, count) = (
            Arc::<Act>::from(Box::new(act) as Box<Act>),
            Arc::clone(&received),
        );
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (act, count) = (Arc::clone(&act), Arc::clone(&count));
                thread::spawn(move || serve(stream, part, &*act, &count));
            }
        });
        Self { address, received }
    }

    /// Number of requests that have arrived, besides those with the id `probe`.
    pub(super) fn received(&self) -> usize {
        self.received.load(Ordering::SeqCst)
    }

    pub(super) fn register(&self, fleet: &Fleet, name: &str) {
        let entry = json!({
            "service": "plain", "address": self.address, "zone": "a", "version": "1", "slots": 64,
            "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1,
        });
        let written = fleet
            .control_plane
            .write_registration(name, &entry.to_string());
        written.expect("written");
    }
}

fn serve(mut stream: TcpStream, part: Part, act: &Act, received: &AtomicUsize) {
    loop {
        let Some(head) = read_head(&mut stream) else {
            return;
        };
        let head = head.to_lowercase();
        let field = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
        let length = field("content-length: ").and_then(|n| n.parse().ok());
        let length = length.filter(|_| part == Part::Whole);
        let mut body = vec![0; length.unwrap_or_default()];
        let id = field("x-request-id: ").unwrap_or_default();
        received.fetch_add(usize::from(id != "probe"), Ordering::SeqCst);
        if stream.read_exact(&mut body).is_err() || !act(id, &mut stream) {
            return;
        }
    }
}

/// Header fields of a valid answer to the request `id`.
pub(super) fn fields(id: &str) -> String {
    format!("X-Request-Id: {id}\r\nX-Response-Seal: sealed-{id}\r\n")
}

/// Version 2 of the test configuration, with a route `/load/` for downloads.
pub(super) fn download_config() -> Value {
    let mut config = test_config(2);
    config["routes"]["load"] = config["routes"]["read"].clone();
    config["routes"]["load"]["pathPrefix"] = "/load/".into();
    config["routes"]["load"]["routeType"] = "download".into();
    let millis = u64::try_from(STREAM_TIME.as_millis()).expect("it fits");
    config["routes"]["load"]["timeoutMs"] = millis.into();
    config
}

/// One host in front of these upstreams, with a route `/load/` for downloads.
pub(super) fn fleet_of(upstreams: &[&FakeUpstream]) -> Fleet {
    fleet_with(upstreams, &download_config())
}

/// One host in front of these upstreams, with version 2 of a configuration.
pub(super) fn fleet_with(upstreams: &[&FakeUpstream], config: &Value) -> Fleet {
    let mut fleet = Fleet::new(super::program(), Vec::new());
    for (number, upstream) in upstreams.iter().enumerate() {
        upstream.register(&fleet, &format!("f{number}"));
    }
    fleet.control_plane.write_config(config).expect("written");
    fleet.start_host();
    eventually("the configuration is in force", || {
        let version = fleet.hosts[0].sum_metric("trefoil_config_version", "");
        let listed = fleet.hosts[0].sum_metric("trefoil_upstreams", "");
        (version >= 2.0 && listed > 0.0).then_some(())
    });
    fleet
}
