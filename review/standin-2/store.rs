//! Stand-in of the platform's store: the log calls that trefoild uses, in memory.
//!
//! It loses nothing that it has acknowledged and answers in the order of its lock. Producers,
//! epochs, sequences, `at` and waiting reads are those of the protocol page.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Wire, answer};

/// `platform.recordBytes` of the settings: the most bytes of a record.
const RECORD_BYTES: usize = 262_144;

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: Option<u64>,
    /// The last appends with their first answers.
    recent: Vec<(u64, String)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, usize)>,
    producers: HashMap<String, Producer>,
}

impl Partition {
    fn add(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.records.len();
        if let Some((&length, rest)) = record.split_first().filter(|_| keyed) {
            let (key, value) = rest.split_at(usize::from(length).min(rest.len()));
            if value.is_empty() {
                self.newest.remove(key);
            } else {
                self.newest.insert(key.to_vec(), (value.to_vec(), offset));
            }
        }
        self.records.push(record);
    }
}

#[derive(Default)]
pub struct Store {
    partitions: Mutex<HashMap<String, Partition>>,
    changed: Condvar,
    /// Records that were too long.
    refused: AtomicUsize,
}

impl Store {
    /// Serves the store at a free loopback port.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self::default());
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let address = listener.local_addr().expect("address of the store");
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        (store, address)
    }

    /// Writes a keyed record, as the operator and backends do.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let length = u8::try_from(key.len()).expect("short key");
        let record = [&[length], key.as_bytes(), value.as_bytes()].concat();
        let mut all = self.partitions.lock().expect("lock");
        all.entry(format!("{topic}/0")).or_default().add(true, record);
        self.changed.notify_all();
    }

    /// Number of records that were refused because they were too long.
    pub fn refused(&self) -> usize {
        self.refused.load(Relaxed)
    }

    /// Length of the newest record of a key.
    pub fn size(&self, topic: &str, key: &str) -> usize {
        let all = self.partitions.lock().expect("lock");
        let part = all.get(&format!("{topic}/0"));
        let newest = part.and_then(|part| part.newest.get(key.as_bytes()));
        newest.map_or(0, |(value, _)| value.len() + key.len() + 1)
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(Some(head)) = wire.head() {
            let Ok(body) = wire.body(&head) else { return };
            let target = head.request().1.to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|p| p.split_once('=')).collect();
            let (status, body) = match path {
                "/log-append" => self.append(&query, &body),
                "/log-read" => self.read(&query),
                "/log-newest" => self.newest(&query),
                _ => (404, Vec::new()),
            };
            // An append takes `appendMs`, other calls as long.
            thread::sleep(Duration::from_millis(4));
            if wire.send(&answer(status, &[], &body)).is_err() {
                return;
            }
        }
    }

    fn append(&self, query: &HashMap<&str, &str>, body: &[u8]) -> (u16, Vec<u8>) {
        let number = |name| query.get(name).and_then(|v: &&str| v.parse::<u64>().ok());
        let topic = query.get("topic").copied().unwrap_or("");
        let mut records = Vec::new();
        let mut rest = body;
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            if tail.len() < length {
                return (400, Vec::new());
            }
            if length > RECORD_BYTES {
                self.refused.fetch_add(1, Relaxed);
                return (413, Vec::new());
            }
            records.push(tail[..length].to_vec());
            rest = &tail[length..];
        }
        let mut all = self.partitions.lock().expect("lock");
        let part = all.entry(format!("{topic}/{}", number("part").unwrap_or(0))).or_default();
        let end = part.records.len() as u64;
        if number("at").is_some_and(|at| at != end) {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let sequence = number("sequence");
        let producer = query.get("producer").copied();
        if let (Some(name), Some(epoch)) = (producer, number("epoch")) {
            let known = part.producers.entry(name.to_owned()).or_default();
            if epoch < known.epoch {
                return (409, b"{\"why\":\"fenced\"}".to_vec());
            }
            if epoch > known.epoch {
                *known = Producer { epoch, ..Producer::default() };
            }
            if records.is_empty() {
                return (200, format!("{{\"offset\":{end},\"end\":{end}}}").into_bytes());
            }
            let repeated = known.recent.iter().find(|(s, _)| Some(*s) == sequence);
            if let Some((_, first)) = repeated {
                return (200, first.clone().into_bytes());
            }
            let expected = known.sequence.map(|last| last + 1);
            if expected.is_some() && expected != sequence {
                let expected = expected.unwrap_or(0);
                let text = format!("{{\"why\":\"seq\",\"sequence\":{expected}}}");
                return (409, text.into_bytes());
            }
        }
        let text = format!("{{\"offset\":{end},\"end\":{}}}", end + records.len() as u64);
        if let (Some(name), Some(sequence)) = (producer, sequence) {
            let known = part.producers.entry(name.to_owned()).or_default();
            known.sequence = Some(sequence);
            known.recent.push((sequence, text.clone()));
            if known.recent.len() > 5 {
                known.recent.remove(0);
            }
        }
        for record in records {
            part.add(topic.starts_with("keyed."), record);
        }
        self.changed.notify_all();
        (200, text.into_bytes())
    }

    fn read(&self, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let number = |name| query.get(name).and_then(|v: &&str| v.parse::<usize>().ok());
        let topic = query.get("topic").copied().unwrap_or("");
        let key = format!("{topic}/{}", number("part").unwrap_or(0));
        let from = number("from").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000) as u64);
        let until = Instant::now() + wait;
        let mut all = self.partitions.lock().expect("lock");
        loop {
            let records = &all.entry(key.clone()).or_default().records;
            let left = until.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend((records.len() as u64).to_be_bytes());
                body.extend(0u64.to_be_bytes());
                for record in records.iter().skip(from) {
                    if body.len() + record.len() > 1024 * 1024 {
                        break;
                    }
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return (200, body);
            }
            all = self.changed.wait_timeout(all, left).expect("lock").0;
        }
    }

    fn newest(&self, query: &HashMap<&str, &str>) -> (u16, Vec<u8>) {
        let topic = query.get("topic").copied().unwrap_or("");
        let part = query.get("part").copied().unwrap_or("0");
        let after = query.get("after").copied().unwrap_or("");
        let mut all = self.partitions.lock().expect("lock");
        let part = all.entry(format!("{topic}/{part}")).or_default();
        let items: Vec<String> = part
            .newest
            .iter()
            .filter(|(key, _)| key.as_slice() > after.as_bytes())
            .map(|(key, (value, offset))| {
                let (key, value) = (String::from_utf8_lossy(key), base64(value));
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = part.records.len();
        let text = format!("{{\"items\":[{}],\"hasMore\":false,\"end\":{end}}}", items.join(","));
        (200, text.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |i: usize| u32::from(chunk.get(i).copied().unwrap_or(0));
        let word = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
