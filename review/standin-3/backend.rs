//! A backend that holds keys under grants, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crate::net::{Message, response, serve};
use crate::record::Record;
use crate::store::Store;

const KEYS: usize = 65_536;

/// Time between two writes of a backend's entry.
const HEARTBEAT: Duration = Duration::from_millis(870);

#[derive(Clone, Copy, Default)]
struct Key {
    /// Highest fencing token that the backend has seen.
    seen: u64,
    /// End of the grant.
    until: Option<Instant>,
}

/// Which backend had which key with which fencing token, and what they ran.
#[derive(Default)]
pub struct Ledger {
    /// Highest fencing token and end of the grant of each key, by backend.
    had: Vec<(String, Vec<(u64, Option<Instant>)>)>,
    /// Grants taken with a token that is not above those of other backends, and when.
    pub stale: Vec<(Instant, String)>,
    /// Requests that a backend began on a key while another one held it too, by both.
    pub shared_runs: BTreeMap<(String, String), u64>,
    /// Grants of keys that another backend holds: when, and what was taken.
    pub shared: Vec<(Instant, String)>,
}

impl Ledger {
    /// Records a grant. Returns which backend had one of the keys with a token that is not lower.
    fn take(&mut self, id: &str, range: (usize, usize), fence: u64, until: Instant) -> Option<String> {
        let now = Instant::now();
        let mut worst = None;
        for (other, had) in self.had.iter().filter(|(other, _)| other != id) {
            let highest = (range.0..=range.1).map(|key| (had[key].0, key)).max();
            if let Some((highest, key)) = highest.filter(|(highest, _)| *highest >= fence) {
                worst = Some(format!("{other} had key {key} with {highest}"));
            }
            let held = |key: &usize| had[*key].1.is_some_and(|end| now < end);
            let count = (range.0..=range.1).filter(held).count();
            if count > 0 {
                self.shared.push((now, format!("{id} takes {count} keys that {other} holds")));
            }
        }
        self.set(id, range, |key| *key = (key.0.max(fence), Some(until)));
        worst
    }

    fn set<F>(&mut self, id: &str, range: (usize, usize), change: F)
    where
        F: Fn(&mut (u64, Option<Instant>)),
    {
        if !self.had.iter().any(|(name, _)| name == id) {
            self.had.push((id.to_owned(), vec![(0, None); KEYS]));
        }
        if let Some((_, had)) = self.had.iter_mut().find(|(name, _)| name == id) {
            had[range.0..=range.1].iter_mut().for_each(change);
        }
    }

    /// Records that a backend begins a request.
    fn begin(&mut self, id: &str, key: usize) {
        let now = Instant::now();
        let holds = |had: &[(u64, Option<Instant>)]| had[key].1.is_some_and(|end| now < end);
        for (other, had) in &self.had {
            if other != id && holds(had) {
                let pair = (id.to_owned(), other.clone());
                *self.shared_runs.entry(pair).or_default() += 1;
            }
        }
    }
}

/// A backend.
#[derive(Clone)]
pub struct Backend {
    pub id: String,
    keys: Arc<Mutex<Vec<Key>>>,
    ledger: Arc<Mutex<Ledger>>,
    record: Record,
    work: Duration,
    /// When the last grant was taken.
    granted: Arc<Mutex<Option<Instant>>>,
}

impl Backend {
    /// Starts a backend that serves on `listener` and is registered at `address`.
    pub fn start(
        id: &str,
        listener: TcpListener,
        address: SocketAddr,
        (store, record, ledger): (&Store, &Record, &Arc<Mutex<Ledger>>),
    ) -> Self {
        let backend = Self {
            id: id.to_owned(),
            keys: Arc::new(Mutex::new(vec![Key::default(); KEYS])),
            ledger: Arc::clone(ledger),
            record: record.clone(),
            work: Duration::from_millis(20),
            granted: Arc::default(),
        };
        let serving = backend.clone();
        serve(listener, move |request| serving.answer(&request));
        let (store, id) = (store.clone(), id.to_owned());
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let born = born.map(|d| d.as_millis()).unwrap_or(0);
        thread::spawn(move || {
            for sequence in 1u64.. {
                let entry = format!(
                    "{{\"service\":\"registro\",\"address\":\"{address}\",\"zone\":\"za\",\
                     \"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"warmupLeftMs\":0,\
                     \"sequence\":{sequence},\"born\":{born}}}"
                );
                store.set("keyed.servers", &id, &entry);
                thread::sleep(HEARTBEAT);
            }
        });
        backend
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let id = request.field("x-request-id").unwrap_or("").to_owned();
        let target = request.field("x-target-instance");
        let fields = [("x-request-id", id.as_str()), ("x-instance-id", self.id.as_str())];
        if target.is_some_and(|target| target != self.id) {
            let mut fields = fields.to_vec();
            fields.push(("x-not-executed", "1"));
            return response(421, &fields, b"");
        }
        match (request.method(), request.path()) {
            ("POST", "/grant") => response(self.grant(request), &fields, b""),
            ("POST", "/release") => {
                self.release(request);
                let mut fields = fields.to_vec();
                fields.push(("x-handover", "5c0e7a21d94b36f8"));
                response(200, &fields, b"")
            }
            ("GET", "/healthz") => response(200, &fields, b""),
            _ => self.run(request, &fields),
        }
    }

    fn run(&self, request: &Message, fields: &[(&str, &str)]) -> Vec<u8> {
        let key = request.field("x-shard-key").and_then(|k| k.parse::<usize>().ok());
        let held = key.filter(|key| {
            let keys = self.keys.lock().unwrap();
            keys[*key].until.is_some_and(|until| Instant::now() < until)
        });
        let mut fields = fields.to_vec();
        let Some(key) = held else {
            fields.push(("x-not-executed", "1"));
            return response(421, &fields, b"");
        };
        self.ledger.lock().unwrap().begin(&self.id, key);
        self.record.count(&self.id, "runs");
        thread::sleep(self.work);
        fields.push(("x-response-seal", "3e1b.07.5a2.600.0.c9f2a4d1"));
        response(200, &fields, b"done")
    }

    fn range(request: &Message) -> Option<(usize, usize, u64)> {
        let from = usize::try_from(json_number(&request.body, "from")?).ok()?;
        let last = usize::try_from(json_number(&request.body, "target")?).ok()?;
        Some((from, last, json_number(&request.body, "fence")?))
    }

    fn grant(&self, request: &Message) -> u16 {
        let arrived = Instant::now();
        let hold = json_number(&request.body, "holdMs").map(Duration::from_millis);
        let (Some((from, last, fence)), Some(hold)) = (Self::range(request), hold) else {
            return 400;
        };
        let mut keys = self.keys.lock().unwrap();
        if keys[from..=last].iter().any(|key| key.seen > fence) {
            self.record.write(&format!("{} refuses grant {from}-{last} fence {fence}", self.id));
            return 409;
        }
        for key in &mut keys[from..=last] {
            key.seen = fence;
            key.until = Some(arrived + hold);
        }
        drop(keys);
        *self.granted.lock().unwrap() = Some(arrived);
        let mut ledger = self.ledger.lock().unwrap();
        let worst = ledger.take(&self.id, (from, last), fence, arrived + hold);
        let hold = hold.as_millis();
        let text = format!("{} takes {from}-{last} fence {fence} for {hold} ms", self.id);
        self.record.write(&text);
        if let Some(worst) = worst {
            self.record.write(&format!("not above all: {text}; {worst}"));
            ledger.stale.push((arrived, format!("{text}; {worst}")));
        }
        200
    }

    fn release(&self, request: &Message) {
        let Some((from, last, fence)) = Self::range(request) else {
            return;
        };
        self.record.write(&format!("{} releases {from}-{last} fence {fence}", self.id));
        let mut keys = self.keys.lock().unwrap();
        for key in &mut keys[from..=last] {
            if key.seen <= fence {
                key.seen = fence;
                key.until = None;
            }
        }
        drop(keys);
        let mut ledger = self.ledger.lock().unwrap();
        ledger.set(&self.id, (from, last), |key| {
            if key.0 <= fence {
                key.1 = None;
            }
        });
    }

    /// Time since the last grant was taken.
    pub fn since_grant(&self) -> Duration {
        self.granted.lock().unwrap().map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Number of keys that the backend holds now.
    pub fn held(&self) -> usize {
        let now = Instant::now();
        let keys = self.keys.lock().unwrap();
        keys.iter().filter(|key| key.until.is_some_and(|until| now < until)).count()
    }
}

fn json_number(body: &[u8], name: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let rest = text.split_once(&format!("\"{name}\":"))?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
