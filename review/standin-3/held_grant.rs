//! A backend is cut off from all machines while a grant is on its way to it.

use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend::{Backend, Ledger};
use crate::fleet::Machine;
use crate::link::Link;
use crate::net::{call, next_id};
use crate::record::Record;
use crate::store::Store;

/// `freezeSlackMs`: grants that arrive within this time after a link has healed do not count.
const FREEZE_SLACK: Duration = Duration::from_millis(300);

/// Length of the cut.
const CUT: Duration = Duration::from_secs(6);

/// Time from the last grant before the cut to the cut. Grants are renewed each 1.2 s.
const BEFORE: Duration = Duration::from_millis(800);

/// Time that is watched after the cut.
const AFTER: Duration = Duration::from_secs(12);

const CONFIG: &str = r#"{"version":7,"routes":{"r-1":{"host":"jepu9.example","pathPrefix":"/estatus/","routeType":"idempotent","timeoutMs":1200,"targetLatencyMs":600,"priority":2,"service":"registro","attempts":2}},"services":{"registro":{"healthCheckPath":"/healthz","maxConnections":130,"protocol":"h1","tls":false,"sharded":true,"warmS":5.0,"grants":"rpc"}},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"baseVersion":5}"#;

fn request(front: SocketAddr, key: u64) -> u16 {
    let id = next_id();
    let head = format!(
        "GET /estatus/1 HTTP/1.1\r\nhost: jepu9.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 1200\r\nx-shard-key: {key}"
    );
    call(front, &head, b"", Duration::from_millis(1500)).map_or(0, |answer| answer.status())
}

/// Clients of a machine, which ask for all keys in turn.
fn start_clients(front: SocketAddr, name: &str, record: &Record) {
    for first in 0..8u64 {
        let (name, record) = (name.to_owned(), record.clone());
        thread::spawn(move || {
            for number in 0u64.. {
                let key = (first * 8_192 + number * 977) % 65_536;
                let status = request(front, key);
                record.count(&name, &format!("status {status}"));
                thread::sleep(Duration::from_millis(40));
            }
        });
    }
}

pub fn run(record: &Record, folder: &Path, trouble: bool) -> Result<bool, String> {
    let store = Store::default();
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    store.serve(listener);
    store.set("keyed.op", "config", CONFIG);
    let ledger: Arc<Mutex<Ledger>> = Arc::default();
    let mut backends = Vec::new();
    for number in 1..=6 {
        let id = format!("i-{number}");
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let own = listener.local_addr().map_err(|e| e.to_string())?;
        let link = Link::start(own, &id, record);
        let backend = Backend::start(&id, listener, link.address, (&store, record, &ledger));
        backends.push((backend, link));
    }
    let mut machines = Vec::new();
    for (name, zone) in [("edge-1", "za"), ("edge-2", "zb"), ("edge-3", "zc")] {
        machines.push(Machine::new(name, zone, address, folder));
    }
    machines.iter_mut().for_each(Machine::start);
    let held = || backends.iter().map(|(backend, _)| backend.held()).sum::<usize>();
    let until = Instant::now() + Duration::from_secs(30);
    while !(machines.iter().all(Machine::is_ready) && held() == 65_536) {
        if Instant::now() > until {
            return Err("the system does not start".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.write("all machines are ready and all keys are held");
    for machine in &machines {
        start_clients(machine.front, &machine.name, record);
    }
    thread::sleep(Duration::from_secs(8));
    let (victim, link) = &backends[0];
    let keys = victim.held();
    record.write(&format!("{} holds {keys} keys", victim.id));
    if keys == 0 {
        return Err("the backend holds no keys".to_owned());
    }
    while trouble && !(BEFORE..BEFORE + BEFORE / 4).contains(&victim.since_grant()) {
        thread::sleep(Duration::from_millis(5));
    }
    if trouble {
        record.write(&format!("cut: {} from all machines", victim.id));
        link.cut();
    }
    thread::sleep(CUT);
    let healed = Instant::now();
    if trouble {
        link.heal();
        record.write(&format!("cut ends: {}", victim.id));
    }
    thread::sleep(AFTER);
    let ledger = ledger.lock().unwrap();
    let counted = |at: Instant| at < healed || at > healed + FREEZE_SLACK;
    let late = |at: Instant| at.saturating_duration_since(healed).as_millis();
    let mut broken = false;
    for (at, text) in ledger.stale.iter().filter(|(at, _)| counted(*at)) {
        broken = true;
        record.write(&format!("OWNER, {} ms after the cut: {text}", late(*at)));
    }
    for (at, text) in &ledger.shared {
        record.write(&format!("{} ms after the cut: {text}", late(*at)));
    }
    for ((backend, other), count) in &ledger.shared_runs {
        let back = ledger.shared_runs.contains_key(&(other.clone(), backend.clone()));
        broken |= back;
        let both = if back { "OWNER, both begin requests: " } else { "" };
        record.write(&format!("{both}{backend} begins {count} requests on keys that {other} holds too"));
    }
    Ok(broken)
}
