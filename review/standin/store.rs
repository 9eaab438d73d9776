//! The platform's store: a log with keyed topics, fenced producers and waiting reads.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{answer, Connection, Message};
use crate::world::World;

#[derive(Default)]
struct Part {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: Option<u64>,
    last: Vec<(u64, u64, u64)>,
}

/// Largest record, as in the settings of the sites (`recordBytes`).
const RECORD_MAX: usize = 262_144;

pub struct Store {
    pub world: Arc<World>,
    pub address: SocketAddr,
    parts: Mutex<HashMap<(String, u64), Part>>,
    changed: Condvar,
    /// Topics that are down: every call gets 503 and is not carried out.
    pub down: Mutex<Vec<String>>,
}

impl Store {
    pub fn start(world: &Arc<World>) -> Arc<Self> {
        let listener = TcpListener::bind((world.ip(), 0)).expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let store = Arc::new(Self {
            world: Arc::clone(world),
            address,
            parts: Mutex::default(),
            changed: Condvar::new(),
            down: Mutex::default(),
        });
        let shared = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                std::thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(call)) = connection.read(false) {
            let answer = self.handle(&call);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, call: &Message) -> Vec<u8> {
        let topic = call.query("topic").unwrap_or_default();
        let part = call.number("part").unwrap_or(0);
        // An answer of the store takes 4 ms.
        std::thread::sleep(Duration::from_millis(4));
        if self.down.lock().unwrap().contains(&topic) {
            return json(503, "{}");
        }
        match call.path() {
            "/log-append" => self.append(call, topic, part),
            "/log-read" => self.read(call, &topic, part),
            "/log-newest" => self.newest(call, &topic, part),
            _ => answer(404, &[], b""),
        }
    }

    fn append(&self, call: &Message, topic: String, part: u64) -> Vec<u8> {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return answer(403, &[], b"");
        }
        let records = split(&call.body);
        if records.iter().any(|r| r.len() > RECORD_MAX) {
            return answer(413, &[], b"");
        }
        let mut parts = self.parts.lock().unwrap();
        let state = parts.entry((topic.clone(), part)).or_default();
        let end = state.records.len() as u64;
        if call.number("at").is_some_and(|at| at != end) {
            return json(412, &format!("{{\"end\":{end}}}"));
        }
        if let (Some(name), Some(epoch)) = (call.query("producer"), call.number("epoch")) {
            let sequence = call.number("sequence").unwrap_or(0);
            let producer = state.producers.entry(name).or_default();
            if epoch < producer.epoch {
                return json(409, "{\"why\":\"fenced\"}");
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if records.is_empty() {
                return json(200, &format!("{{\"offset\":{end},\"end\":{end}}}"));
            }
            if let Some((_, offset, end)) = producer.last.iter().find(|l| l.0 == sequence) {
                return json(200, &format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if producer.sequence.is_some_and(|last| sequence != last + 1) {
                let expected = producer.sequence.unwrap_or(0) + 1;
                return json(409, &format!("{{\"why\":\"seq\",\"sequence\":{expected}}}"));
            }
            producer.sequence = Some(sequence);
            producer
                .last
                .push((sequence, end, end + records.len() as u64));
            if producer.last.len() > 5 {
                producer.last.remove(0);
            }
        }
        put(state, &topic, records);
        let new_end = state.records.len();
        self.changed.notify_all();
        json(200, &format!("{{\"offset\":{end},\"end\":{new_end}}}"))
    }

    fn read(&self, call: &Message, topic: &str, part: u64) -> Vec<u8> {
        let from = call.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(call.number("waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut parts = self.parts.lock().unwrap();
        loop {
            let state = parts.entry((topic.to_owned(), part)).or_default();
            if state.records.len() > from || Instant::now() >= until {
                let mut body = (state.records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for record in state.records.iter().skip(from) {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return answer(200, &[], &body);
            }
            let left = until.saturating_duration_since(Instant::now());
            parts = self.changed.wait_timeout(parts, left).unwrap().0;
        }
    }

    fn newest(&self, call: &Message, topic: &str, part: u64) -> Vec<u8> {
        let after = call.query("after").map(String::into_bytes);
        let mut parts = self.parts.lock().unwrap();
        let state = parts.entry((topic.to_owned(), part)).or_default();
        let items = state.newest.iter();
        let items = items.filter(|(key, _)| after.as_ref().is_none_or(|a| *key > a));
        let (mut text, mut size, mut more) = (String::new(), 0, false);
        for (count, (key, (value, offset))) in items.enumerate() {
            if count == 500 || size > 1_000_000 {
                more = true;
                break;
            }
            size += value.len();
            let comma = if count > 0 { "," } else { "" };
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            text +=
                &format!("{comma}{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}");
        }
        let end = state.records.len();
        json(
            200,
            &format!("{{\"items\":[{text}],\"hasMore\":{more},\"end\":{end}}}"),
        )
    }

    /// Writes a record as the operator or a backend. No value removes the key.
    pub fn set(&self, topic: &str, key: &str, value: Option<&str>) {
        let mut record = vec![key.len() as u8];
        record.extend(key.bytes());
        record.extend(value.unwrap_or("").bytes());
        let mut parts = self.parts.lock().unwrap();
        put(
            parts.entry((topic.to_owned(), 0)).or_default(),
            topic,
            vec![record],
        );
        self.changed.notify_all();
    }

    /// Size of the newest record of a key.
    pub fn size(&self, topic: &str, key: &str) -> usize {
        let parts = self.parts.lock().unwrap();
        let state = parts.get(&(topic.to_owned(), 0));
        state
            .and_then(|s| s.newest.get(key.as_bytes()))
            .map_or(0, |(v, _)| v.len())
    }
}

fn put(state: &mut Part, topic: &str, records: Vec<Vec<u8>>) {
    for record in records {
        let offset = state.records.len() as u64;
        if topic.starts_with("keyed.") && !record.is_empty() {
            let key_end = 1 + record[0] as usize;
            if record.len() >= key_end {
                let (key, value) = (record[1..key_end].to_vec(), record[key_end..].to_vec());
                if value.is_empty() {
                    state.newest.remove(&key);
                } else {
                    state.newest.insert(key, (value, offset));
                }
            }
        }
        state.records.push(record);
    }
}

fn split(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let len = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let end = (4 + len).min(body.len());
        records.push(body[4..end].to_vec());
        body = &body[end..];
    }
    records
}

fn json(status: u16, text: &str) -> Vec<u8> {
    answer(
        status,
        &[("Content-Type", "application/json")],
        text.as_bytes(),
    )
}

fn base64(bytes: &[u8]) -> String {
    const CHARS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let n = u32::from_be_bytes([0, b[0], b[1], b[2]]);
        for i in 0..4 {
            let at = (n >> (18 - 6 * i)) & 63;
            out.push(if i <= chunk.len() {
                CHARS[at as usize] as char
            } else {
                '='
            });
        }
    }
    out
}
