//! A stand-in for a daemon's operators' API that gives scripted answers.
//!
//! A daemon gives most of these answers only when the log fails at a certain moment, so tests of
//! `apply` script them.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use trefoil_log::{Body, Envelope, SignedRecord};

/// Answer to one record.
#[derive(Debug, Clone)]
pub enum Answer {
    /// Status and body.
    Status(u16, Value),
    /// The connection closes after the record was read.
    Lost,
}

/// What the stand-in shows as the resource in force.
#[derive(Debug, Clone, Copy)]
pub enum Show {
    /// None.
    Nothing,
    /// The resource of the posted record, and whether all domains serve it.
    Posted { revision: u64, everywhere: bool },
    /// What the posted record declares, published by another record.
    Same { revision: u64 },
    /// A resource that another operator published.
    Other { revision: u64 },
}

#[derive(Debug)]
struct State {
    answers: Vec<Answer>,
    show: Show,
    records: Vec<Vec<u8>>,
}

/// A running stand-in. Its thread ends with the test's process.
#[derive(Debug)]
pub struct Stub {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Stub {
    /// Answers records in order; the last answer is given to all further ones.
    pub fn start(answers: &[Answer], show: Show) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            answers: answers.to_vec(),
            show,
            records: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                // A client that gave up has closed its side.
                drop(serve(stream.expect("a connection"), &shared));
            }
        });
        Self { address, state }
    }

    /// The records that were posted.
    pub fn records(&self) -> Vec<Vec<u8>> {
        self.state.lock().expect("no panic").records.clone()
    }
}

fn serve(stream: TcpStream, state: &Mutex<State>) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head)? == 0 {
            return Ok(());
        }
    }
    let lower = head.to_ascii_lowercase();
    let length = lower
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length = length.map_or(0, |l| l.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;

    let mut state = state.lock().expect("no panic");
    let (status, value) = if head.starts_with("POST /v1/records ") {
        state.records.push(body);
        match state.answers.len() {
            0 | 1 => state.answers.first().cloned().expect("an answer"),
            _ => state.answers.remove(0),
        }
    } else if let Some(rest) = head.strip_prefix("GET /v1/report?format=") {
        let form = rest.split(' ').next().unwrap_or_default();
        Answer::Status(200, json!(format!("the report as {form}\n")))
    } else {
        resource(&state)
    }
    .into_parts()
    .unwrap_or_default();
    drop(state);
    if status == 0 {
        return Ok(());
    }
    let text = match value {
        Value::String(text) => text,
        value => value.to_string(),
    };
    let length = text.len();
    write!(
        reader.get_mut(),
        "HTTP/1.1 {status} X\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{text}"
    )
}

impl Answer {
    fn into_parts(self) -> Option<(u16, Value)> {
        match self {
            Self::Status(status, value) => Some((status, value)),
            Self::Lost => None,
        }
    }
}

fn resource(state: &State) -> Answer {
    let posted = state.records.last().map(|data| envelope(data));
    let (show, own) = match state.show {
        Show::Same { revision } => {
            let everywhere = true;
            (
                Show::Posted {
                    revision,
                    everywhere,
                },
                false,
            )
        }
        show => (show, true),
    };
    match (show, posted) {
        (
            Show::Posted {
                revision,
                everywhere,
            },
            Some(envelope),
        ) => {
            let Body::Config(routing) = &envelope.body else {
                panic!("a configuration");
            };
            let behind = if everywhere { revision } else { revision - 1 };
            let value = json!({
                "resource": {
                    "name": routing.name, "revision": revision, "accepted": envelope.time.0 - u64::from(!own),
                    "spec": routing.spec,
                },
                "domains": {
                    "a": { "revision": revision, "hosts": 2, "silent": 0 },
                    "b": { "revision": behind, "hosts": 1, "silent": 0 },
                },
                "everywhere": everywhere,
            });
            Answer::Status(200, value)
        }
        (Show::Other { revision }, _) => {
            let value = json!({
                "resource": {
                    "name": "waterworks", "revision": revision, "accepted": 0,
                    "spec": { "region": "north", "domains": ["z"], "services": [] },
                },
                "domains": {}, "everywhere": true,
            });
            Answer::Status(200, value)
        }
        _ => Answer::Status(404, json!("no resource is named \"waterworks\"")),
    }
}

/// The envelope of a posted record.
pub fn envelope(data: &[u8]) -> Envelope {
    let signed = SignedRecord::decode(data).expect("a signed record");
    signed.envelope().expect("an envelope")
}
