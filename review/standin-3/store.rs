//! The platform's store: topics with conditional appends, as PROTOCOL.md describes them.

use std::collections::{BTreeMap, HashMap};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Message, response, serve};

#[derive(Default)]
struct Producer {
    epoch: u64,
    sequence: Option<u64>,
    /// Sequence numbers and answers of the last appends.
    recent: Vec<(u64, Vec<u8>)>,
}

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<Vec<u8>, (Vec<u8>, u64)>,
    producers: HashMap<String, Producer>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    parts: Arc<(Mutex<HashMap<(String, u64), Partition>>, Condvar)>,
}

impl Partition {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }

    fn add(&mut self, keyed: bool, record: Vec<u8>) {
        let offset = self.end();
        if keyed && !record.is_empty() {
            let size = usize::from(record[0]);
            if record.len() > size {
                let (key, value) = (record[1..=size].to_vec(), record[size + 1..].to_vec());
                match value.is_empty() {
                    true => self.newest.remove(&key),
                    false => self.newest.insert(key, (value, offset)),
                };
            }
        }
        self.records.push(record);
    }
}

impl Store {
    /// Serves the store.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        serve(listener, move |request| store.answer(&request));
    }

    /// Sets a key, as the operator and the backends do.
    pub fn set(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("key length")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (parts, changed) = &*self.parts;
        let mut parts = parts.lock().unwrap();
        let part = parts.entry((topic.to_owned(), 0)).or_default();
        part.add(true, record);
        changed.notify_all();
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        match (request.method(), request.path()) {
            ("POST", "/log-append") => self.append(request),
            ("GET", "/log-read") => self.read(request),
            ("GET", "/log-newest") => self.newest(request),
            _ => response(404, &[], b"{}"),
        }
    }

    fn place(request: &Message) -> (String, u64) {
        let topic = request.query("topic").unwrap_or("").to_owned();
        (topic, request.number("part").unwrap_or(0))
    }

    fn append(&self, request: &Message) -> Vec<u8> {
        let place = Self::place(request);
        let keyed = place.0.starts_with("keyed.");
        if matches!(place.0.as_str(), "keyed.op" | "keyed.servers") {
            return response(403, &[], b"{}");
        }
        let mut records = Vec::new();
        let mut rest = request.body.as_slice();
        while rest.len() >= 4 {
            let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + size {
                return response(400, &[], b"{}");
            }
            records.push(rest[4..4 + size].to_vec());
            rest = &rest[4 + size..];
        }
        let (parts, changed) = &*self.parts;
        let mut parts = parts.lock().unwrap();
        let part = parts.entry(place).or_default();
        if request.number("at").is_some_and(|at| at != part.end()) {
            let body = format!("{{\"end\":{}}}", part.end());
            return response(412, &[], body.as_bytes());
        }
        let end = part.end();
        let count = records.len() as u64;
        let answer = format!("{{\"offset\":{end},\"end\":{}}}", end + count);
        let answer = response(200, &[], answer.as_bytes());
        if let Some(name) = request.query("producer") {
            let epoch = request.number("epoch").unwrap_or(0);
            let sequence = request.number("sequence").unwrap_or(0);
            let known = part.producers.entry(name.to_owned()).or_default();
            if epoch < known.epoch {
                return response(409, &[], b"{\"why\":\"fenced\"}");
            }
            if epoch > known.epoch {
                *known = Producer { epoch, ..Producer::default() };
            }
            if !records.is_empty() {
                if let Some((_, first)) = known.recent.iter().find(|(s, _)| *s == sequence) {
                    return first.clone();
                }
                if let Some(last) = known.sequence.filter(|last| sequence != last + 1) {
                    let body = format!("{{\"why\":\"seq\",\"sequence\":{}}}", last + 1);
                    return response(409, &[], body.as_bytes());
                }
                known.sequence = Some(sequence);
                known.recent.push((sequence, answer.clone()));
                if known.recent.len() > 5 {
                    known.recent.remove(0);
                }
            }
        }
        for record in records {
            part.add(keyed, record);
        }
        changed.notify_all();
        answer
    }

    fn read(&self, request: &Message) -> Vec<u8> {
        let place = Self::place(request);
        let from = request.number("from").unwrap_or(0);
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let (parts, changed) = &*self.parts;
        let mut parts = parts.lock().unwrap();
        loop {
            let part = parts.entry(place.clone()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if part.end() > from || left.is_zero() {
                let mut body = part.end().to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for record in part.records.iter().skip(from as usize) {
                    if body.len() + record.len() > 1024 * 1024 {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return response(200, &[], &body);
            }
            parts = changed.wait_timeout(parts, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Message) -> Vec<u8> {
        let place = Self::place(request);
        let (parts, _) = &*self.parts;
        let mut parts = parts.lock().unwrap();
        let part = parts.entry(place).or_default();
        let after = request.query("after").map(|k| k.as_bytes().to_vec());
        let mut items = Vec::new();
        for (key, (value, offset)) in &part.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            let key = String::from_utf8_lossy(key);
            let value = base64(value);
            items.push(format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}"));
        }
        let more = items.len() > 500;
        items.truncate(500);
        let items = items.join(",");
        let end = part.end();
        let body = format!("{{\"items\":[{items}],\"hasMore\":{more},\"end\":{end}}}");
        response(200, &[], body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * place) & 63) as usize];
            out.push(if place <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    out
}
