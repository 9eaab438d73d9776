//! Backends of a service that is divided by key go down and up by turns; each comes back as a new
//! incarnation. At last the host is killed and started again.
//!
//! The keys must be served again `recoverS` after the host is back.

mod host;
mod http;
mod keys;
mod registry;
mod store;

use std::collections::HashMap;
use std::fs;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{Wire, answer};
use registry::Route;

const SERVICE: &str = "registro-gar";
/// Topic and key of the record in which the router keeps the owners of the keys.
const TABLE: (&str, &str) = ("keyed.trefoil-ranges", SERVICE);
const BACKENDS: usize = 424;
/// Part of the backends that go down and up by turns, the period, and the time after which others
/// do: `share`, `gap_s` and `for_s` of `srv_flap`.
const SHARE: f64 = 0.15;
const PERIOD: Duration = Duration::from_millis(1000);
const FLAP_FOR: Duration = Duration::from_millis(6500);
const HEARTBEAT: Duration = Duration::from_millis(870);
/// Longest time for the disruptions.
const FLAPS_MAX: Duration = Duration::from_secs(84);
/// Time for which the host is down at the end: `down_s` of `kill_all`.
const DOWN: Duration = Duration::from_millis(1400);
/// `recoverS`, and the time after it in which requests count.
const RECOVER: Duration = Duration::from_secs(15);
const COUNTED: Duration = Duration::from_secs(6);
const CALLERS: u64 = 100;

/// One run of a backend under an id of its own.
struct Run {
    id: String,
    born: u128,
    down: AtomicBool,
    keys: keys::Keys,
    /// Open connections, by a number.
    streams: Mutex<HashMap<u64, TcpStream>>,
}

/// An address at which a backend runs or has gone down.
struct Backend {
    address: SocketAddr,
    run: Mutex<Arc<Run>>,
}

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(1);

fn new_run() -> Arc<Run> {
    let number = NEXT_NUMBER.fetch_add(1, Relaxed).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 24;
    let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis();
    Arc::new(Run {
        id: format!("i-{number:010x}"),
        born,
        down: AtomicBool::new(false),
        keys: keys::Keys::default(),
        streams: Mutex::default(),
    })
}

impl Backend {
    fn start(store: &Arc<store::Store>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a backend");
        let address = listener.local_addr().expect("address");
        let backend = Arc::new(Self { address, run: Mutex::new(new_run()) });
        backend.register(store);
        let accepting = Arc::clone(&backend);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let run = Arc::clone(&accepting.run.lock().expect("lock"));
                // A connection to a backend that is down ends at once.
                if run.down.load(Relaxed) {
                    continue;
                }
                let thread = thread::Builder::new().stack_size(128 * 1024);
                let _ = thread.spawn(move || {
                    let number = NEXT_NUMBER.fetch_add(1, Relaxed);
                    if let Ok(clone) = stream.try_clone() {
                        run.streams.lock().expect("lock").insert(number, clone);
                    }
                    serve(stream, &run);
                    run.streams.lock().expect("lock").remove(&number);
                });
            }
        });
        backend
    }

    /// Registers the present run with each heartbeat. Its entry is removed after three without one.
    fn register(&self, store: &Arc<store::Store>) {
        let run = Arc::clone(&self.run.lock().expect("lock"));
        let (store, address) = (Arc::clone(store), self.address);
        thread::spawn(move || {
            for sequence in 1.. {
                if run.down.load(Relaxed) {
                    thread::sleep(HEARTBEAT * 2);
                    store.put("keyed.servers", &run.id, "");
                    return;
                }
                registry::put_backend(
                    &store,
                    &registry::Backend {
                        id: &run.id,
                        service: SERVICE,
                        zone: host::SMAGM_LARGE.zone,
                        address,
                        born: run.born,
                        sequence,
                    },
                );
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn go_down(&self) {
        let run = Arc::clone(&self.run.lock().expect("lock"));
        run.down.store(true, Relaxed);
        for (_, stream) in run.streams.lock().expect("lock").drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn come_up(&self, store: &Arc<store::Store>) {
        *self.run.lock().expect("lock") = new_run();
        self.register(store);
    }
}

fn serve(stream: TcpStream, run: &Run) {
    let mut wire = Wire::new(stream);
    while let Ok(Some(head)) = wire.head() {
        let Ok(body) = wire.body(&head) else { return };
        if run.down.load(Relaxed) {
            return;
        }
        let id = head.field("x-request-id").unwrap_or("").to_owned();
        let own: [(&str, &str); 1] = [("X-Request-Id", &id)];
        let other = head.field("x-target-instance").is_some_and(|named| named != run.id);
        let bytes = match head.request().1 {
            _ if other => answer(421, &[own[0], ("X-Instance-Id", &run.id)], b""),
            "/grant" => answer(run.keys.grant(&body), &own, b""),
            "/release" => {
                run.keys.release(&body);
                answer(200, &[own[0], ("X-Handover", "h")], b"")
            }
            _ => {
                let key = head.field("x-shard-key").and_then(|k| k.parse().ok());
                if key.is_some_and(|key| run.keys.holds(key)) {
                    thread::sleep(Duration::from_millis(5));
                    answer(200, &[own[0], ("X-Response-Seal", "s")], b"status")
                } else {
                    answer(421, &[own[0], ("X-Not-Executed", "1")], b"")
                }
            }
        };
        if wire.send(&bytes).is_err() {
            return;
        }
    }
}

/// Requests of a phase: all, and those that were served.
#[derive(Default)]
struct Count([AtomicU64; 2]);

impl Count {
    fn values(&self) -> (u64, u64) {
        (self.0[0].load(Relaxed), self.0[1].load(Relaxed))
    }
}

/// Phases: before the final fault, in the time to recover, after it, end.
struct Calls {
    phase: AtomicUsize,
    counts: [Count; 3],
}

fn call(caller: u64, address: SocketAddr, calls: &Calls) {
    let mut kept: Option<Wire> = None;
    for number in 1u64.. {
        let phase = calls.phase.load(Relaxed);
        let Some(count) = calls.counts.get(phase) else { return };
        thread::sleep(Duration::from_millis(40));
        count.0[0].fetch_add(1, Relaxed);
        let opened = kept.take().or_else(|| TcpStream::connect(address).ok().map(Wire::new));
        let Some(mut wire) = opened else { continue };
        let _ = wire.stream.set_read_timeout(Some(Duration::from_millis(2500)));
        let key = (number * 40_503 + caller * 7_919) % 65_536;
        let request = format!(
            "GET /estatus/{caller} HTTP/1.1\r\nHost: g.example\r\nX-Request-Id: {caller}-{number}\r\n\
             X-Deadline-Ms: 2500\r\nX-Shard-Key: {key}\r\n\r\n"
        );
        if wire.send(request.as_bytes()).is_err() {
            continue;
        }
        let Ok(Some(head)) = wire.head() else { continue };
        let whole = wire.body(&head).is_ok();
        count.0[1].fetch_add(u64::from(whole && head.status() == 200), Relaxed);
        kept = Some(wire).filter(|_| whole && head.field("connection").is_none());
    }
}

/// Lets backends go down and up until the store refuses the record of the owners, or for the longest
/// time.
fn flap(store: &Arc<store::Store>, backends: &[Arc<Backend>], record: &Mutex<Vec<String>>) {
    let begun = Instant::now();
    let count = (SHARE * BACKENDS as f64) as usize;
    for first in 0.. {
        let group: Vec<_> = (0..count).map(|i| &backends[(first + 7 * i) % BACKENDS]).collect();
        let until = Instant::now() + FLAP_FOR;
        while Instant::now() < until {
            if begun.elapsed() >= FLAPS_MAX || store.refused() > 0 {
                return;
            }
            group.iter().for_each(|backend| backend.go_down());
            thread::sleep(PERIOD / 2);
            group.iter().for_each(|backend| backend.come_up(store));
            thread::sleep(PERIOD / 2);
        }
        let line = format!(
            "{:.0} s: the record of the owners has {} bytes",
            begun.elapsed().as_secs_f64(),
            store.size(TABLE.0, TABLE.1)
        );
        record.lock().expect("lock").push(line);
    }
}

fn main() {
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Mutex::new(Vec::new());
    let note = |line: String| record.lock().expect("lock").push(line);
    let (store, store_address) = store::Store::start();
    let route = Route {
        host: "g.example",
        prefix: "/estatus/",
        kind: "idempotent",
        timeout_ms: 2500,
        service: SERVICE,
    };
    registry::put_config(&store, 3, &[route], &[(SERVICE, true)]);
    let backends: Vec<_> = (0..BACKENDS).map(|_| Backend::start(&store)).collect();
    let folder = host::Folder::new();
    let mut router = host::Host::start(&folder.0, &host::SMAGM_LARGE, store_address);
    if !router.wait_ready(Duration::from_secs(15)) {
        eprintln!("the host did not become ready");
        drop((router, folder));
        std::process::exit(2);
    }
    // The keys get their first owners.
    thread::sleep(Duration::from_secs(3));
    let calls = Arc::new(Calls { phase: AtomicUsize::new(0), counts: Default::default() });
    let address = router.caller;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let calls = Arc::clone(&calls);
            thread::spawn(move || call(caller, address, &calls))
        })
        .collect();
    if trouble {
        flap(&store, &backends, &record);
        note(format!(
            "the disruption ends; the record has {} bytes, the store has refused {} longer ones",
            store.size(TABLE.0, TABLE.1),
            store.refused()
        ));
    } else {
        thread::sleep(Duration::from_secs(20));
    }
    calls.phase.store(1, Relaxed);
    router.kill();
    thread::sleep(DOWN);
    router.start_again();
    let back = router.wait_ready(Duration::from_secs(10));
    note(format!("the host was killed and is back, ready: {back}"));
    thread::sleep(RECOVER);
    calls.phase.store(2, Relaxed);
    thread::sleep(COUNTED);
    calls.phase.store(3, Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    let runs = router.runs();
    drop((router, folder));
    let ((before, served_before), (after, served_after)) =
        (calls.counts[0].values(), calls.counts[2].values());
    note(format!(
        "before the final fault {served_before} of {before} requests were served, later than 15 s \
         after it {served_after} of {after}; the store has refused {} records over `recordBytes`",
        store.refused()
    ));
    let lines = record.lock().expect("lock").clone();
    println!("{}", lines.last().map_or("", |l| l));
    let place = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let _ = fs::write(place, lines.join("\n") + "\n");
    let code = match () {
        () if served_before * 4 < before || before < 500 || after < 100 || !runs || !back => 2,
        () if served_after * 4 < after => 1,
        () => 0,
    };
    std::process::exit(code);
}
