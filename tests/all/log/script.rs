//! Interpreter of the scenario files.
//!
//! A scenario appends records to one in-memory log and lets hosts replay it in batches of
//! individual size. `REWRITE=1` updates the expected output.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

use datadriven::{TestCase, walk};
use trefoil_core::{HostId, ManualClock, Offset, UnixMillis};
use trefoil_log::snapshot::split_view_with_max;
use trefoil_log::{
    Addresses, Body, Envelope, FORMAT, HostRecord, Log, LogError, MemoryLog, SignedRecord, Signer,
    Verdict, View, recover,
};

use super::{Keys, envelope, routing, signed, writer};

/// Runs every scenario file.
#[test]
fn scenarios() {
    walk("tests/all/log/scenarios", |file| {
        let mut session = Session::new();
        file.run(|case| session.run(case));
    });
}

struct Session {
    keys: Keys,
    log: MemoryLog,
    views: BTreeMap<String, View>,
    /// Records by writer and sequence, so that they can be appended again.
    written: BTreeMap<(u128, u64), bytes::Bytes>,
}

fn take_arg<T>(case: &mut TestCase, name: &str, default: T) -> T
where
    T: std::str::FromStr,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    let value = case.try_take_arg(name).expect("a valid argument");
    value.unwrap_or(default)
}

pub(super) fn host(number: u16, id: u16, format: u16) -> HostRecord {
    let port = |base: u16| std::net::SocketAddr::from(([192, 0, 2, 1], base + number));
    HostRecord {
        id: HostId(uuid::Uuid::from_u128(id.into())),
        name: format!("host-{number}").parse().expect("a name"),
        region: "test".parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        addresses: Addresses {
            caller: port(1000),
            peer: port(2000),
            operator: port(3000),
        },
        format,
    }
}

fn describe(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Accepted { revision } => format!("accepted, revision {revision}"),
        Verdict::Conflict { current } => format!("conflict with revision {current}"),
        Verdict::Rejected { reason } => format!("rejected: {reason}"),
        Verdict::Noted => "noted".to_owned(),
        Verdict::Duplicate => "duplicate".to_owned(),
    }
}

impl Session {
    fn new() -> Self {
        let clock = Arc::new(ManualClock::new(UnixMillis(0)));
        Self {
            keys: Keys::new(),
            log: MemoryLog::new(clock, 1_000),
            views: BTreeMap::new(),
            written: BTreeMap::new(),
        }
    }

    fn append(&self, data: bytes::Bytes) -> String {
        let offset = smol::block_on(self.log.append(data)).expect("the record is appended");
        format!("offset {offset}\n")
    }

    fn signer(&self, name: &str, default: &str) -> &Signer {
        match if name.is_empty() { default } else { name } {
            "operator" => &self.keys.operator,
            "host" => &self.keys.host,
            "stranger" => &self.keys.stranger,
            other => panic!("unknown key {other}"),
        }
    }

    fn write(&mut self, case: &mut TestCase, body: Body, default: &str) -> String {
        let (number, sequence) = (take_arg(case, "writer", 1), take_arg(case, "seq", 1));
        let mut record = envelope(number, sequence, body);
        record.base = trefoil_core::Revision(take_arg(case, "base", 0));
        record.format = take_arg(case, "format", FORMAT);
        let key = take_arg(case, "key", String::new());
        let mut data = signed(&record, self.signer(&key, default)).to_vec();
        if take_arg(case, "damaged", false) {
            // The last byte is part of the signature.
            *data.last_mut().expect("a record") ^= 1;
        }
        let data = bytes::Bytes::from(data);
        self.written.insert((number, sequence), data.clone());
        self.append(data)
    }

    fn run(&mut self, case: &mut TestCase) -> String {
        match case.directive.clone().as_str() {
            "config" => {
                let name = take_arg(case, "name", "r".to_owned());
                let upstream = take_arg(case, "upstream", "u".to_owned());
                let (port, base) = (take_arg(case, "port", 1), take_arg(case, "base", 0));
                let mut resource = routing(&name, &upstream, port, base);
                let service = &mut resource.spec.services[0];
                service.shards = take_arg(case, "shards", service.shards);
                service.limits.slots = take_arg(case, "slots", service.limits.slots);
                self.write(case, Body::Config(Box::new(resource)), "operator")
            }
            "join" => {
                let number = take_arg(case, "host", 1);
                let id = take_arg(case, "id", number);
                let body = host(number, id, take_arg(case, "supports", FORMAT));
                self.write(case, Body::Joined(body), "host")
            }
            "level" => {
                let format = take_arg(case, "to", 2);
                self.write(case, Body::FormatLevel { format }, "operator")
            }
            "again" => {
                let id = (take_arg(case, "writer", 1), take_arg(case, "seq", 1));
                self.append(self.written[&id].clone())
            }
            "unknown-body" => {
                let body = Body::Left {
                    host: HostId(uuid::Uuid::from_u128(1)),
                };
                self.append(unknown_body(&envelope(77, 1, body), &self.keys.host))
            }
            "snapshot" => self.snapshot(case),
            "truncate" => {
                self.log.truncate(Offset(take_arg(case, "to", 0)));
                String::new()
            }
            "read" => self.read(case),
            "load" => self.load(case),
            "verdict" => self.verdict(case),
            "same" => {
                let mut views = self.views.values();
                let first = views.next();
                let same = views.all(|v| Some(v) == first);
                format!("{}\n", if same { "same" } else { "different" })
            }
            other => panic!("unknown command {other}"),
        }
    }

    /// Appends parts of a snapshot of a host's view.
    fn snapshot(&mut self, case: &mut TestCase) -> String {
        let of = take_arg(case, "of", "h1".to_owned());
        let number: u128 = take_arg(case, "writer", 50);
        let sequence: u64 = take_arg(case, "seq", 1);
        let (from, to) = (take_arg(case, "from", 0), take_arg(case, "to", u32::MAX));
        let (twice, damaged) = (
            take_arg(case, "twice", u32::MAX),
            take_arg(case, "damaged", u32::MAX),
        );
        let key = take_arg(case, "key", String::new());
        let max = take_arg(case, "bytes", 200);
        let mut view = self.views[&of].clone();
        view.next = Offset(take_arg(case, "next", view.next.0));
        let parts = split_view_with_max(&view, max).expect("the view splits");
        let mut out = String::new();
        for mut part in parts {
            let index = part.index;
            if !(from..=to).contains(&index) {
                continue;
            }
            if index == damaged {
                // Changes a letter of a name, so that the damaged view still decodes.
                let letter = part.data.iter_mut().find(|b| b.is_ascii_lowercase());
                *letter.expect("a name") ^= 2;
            }
            let record = envelope(number, sequence + u64::from(index), Body::Snapshot(part));
            let data = signed(&record, self.signer(&key, "host"));
            out = self.append(data.clone());
            if index == twice {
                out = self.append(data);
            }
        }
        format!("last {out}")
    }

    fn read(&mut self, case: &mut TestCase) -> String {
        let name = take_arg(case, "host", "h1".to_owned());
        let quiet = take_arg(case, "quiet", false);
        let view = self.views.entry(name).or_default();
        let ring = self.keys.ring();
        let mut out = String::new();
        let max = take_arg(case, "batch", 100);
        loop {
            let batch = match smol::block_on(self.log.read(view.next, max, Duration::ZERO)) {
                Ok(batch) => batch,
                Err(e) => return format!("{e}\n"),
            };
            for record in &batch.records {
                match view.apply(record.offset, &record.data, &ring) {
                    Ok(_) if quiet => {}
                    Ok(verdict) => {
                        writeln!(out, "{}: {}", record.offset, describe(&verdict))
                            .expect("written");
                    }
                    Err(e) => return format!("{out}stopped: {e}\n"),
                }
            }
            if batch.next >= batch.end {
                let due = view.snapshot_progress.end_offset;
                return format!("{out}revision {}, snapshot up to {due}\n", view.revision);
            }
        }
    }

    fn load(&mut self, case: &mut TestCase) -> String {
        let name = take_arg(case, "host", "h1".to_owned());
        let read = self.log.read(Offset(0), 1, Duration::ZERO);
        let first = match smol::block_on(read) {
            Err(LogError::Truncated { first, .. }) => first,
            _ => Offset(0),
        };
        let ring = self.keys.ring();
        let loaded = recover::load_snapshot(&self.log, &ring, first);
        match smol::block_on(loaded).expect("the log is read") {
            None => "nothing usable\n".to_owned(),
            Some(view) => {
                let text = format!("revision {}, next {}\n", view.revision, view.next);
                self.views.insert(name, view);
                text
            }
        }
    }

    fn verdict(&mut self, case: &mut TestCase) -> String {
        let name = take_arg(case, "host", "h1".to_owned());
        let (number, sequence) = (take_arg(case, "writer", 1), take_arg(case, "seq", 1));
        let record = SignedRecord::decode(&self.written[&(number, sequence)]).expect("a record");
        let view = &self.views[&name];
        match view.verdict(writer(number), sequence, record.signed_bytes()) {
            Some(verdict) => format!("{}\n", describe(&verdict)),
            None => "not remembered\n".to_owned(),
        }
    }
}

/// Creates a validly signed record of a known format with an unknown body, which only a faulty
/// newer build would write.
fn unknown_body(envelope: &Envelope, signer: &Signer) -> bytes::Bytes {
    let mut bytes = postcard::to_stdvec(envelope).expect("it encodes");
    let body = postcard::to_stdvec(&envelope.body)
        .expect("it encodes")
        .len();
    let at = bytes.len() - body;
    bytes[at] = 99;
    let signature = signer.sign(&bytes);
    let record = postcard::to_stdvec(&(bytes, signer.key(), signature));
    record.expect("it encodes").into()
}
