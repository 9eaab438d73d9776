//! A stub of a daemon's operators' API with scripted responses.
//!
//! A real daemon sends most of these responses only if the log fails at a certain moment. With the
//! stub, tests of `apply` get them reliably.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};
use trefoil_log::{Body, Envelope, SignedRecord};

/// Response to one record.
#[derive(Debug, Clone)]
pub enum Response {
    /// Status and body.
    Status(u16, Value),
    /// The connection is closed without a response after the record was read.
    Lost,
}

/// The resource in force that the stub reports.
#[derive(Debug, Clone, Copy)]
pub enum InForce {
    /// No resource exists.
    Nothing,
    /// The resource of the posted record, in force in all domains or only in `a`.
    Posted { revision: u64, everywhere: bool },
    /// The content of the posted record, published by another record.
    Same { revision: u64 },
    /// A resource that another operator published.
    Other { revision: u64 },
}

#[derive(Debug)]
struct State {
    responses: Vec<Response>,
    in_force: InForce,
    records: Vec<Vec<u8>>,
}

/// A running stub. Its thread ends with the test process.
#[derive(Debug)]
pub struct StubDaemon {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl StubDaemon {
    /// Responds to records in order. The last response is repeated for all further records.
    pub fn start(responses: &[Response], in_force: InForce) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State {
            responses: responses.to_vec(),
            in_force,
            records: Vec::new(),
        }));
        let shared = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                // A client that gave up may have closed the connection.
                drop(serve(stream.expect("a connection"), &shared));
            }
        });
        Self { address, state }
    }

    /// Returns the records that were posted.
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
        match state.responses.len() {
            0 | 1 => state.responses.first().cloned().expect("an answer"),
            _ => state.responses.remove(0),
        }
    } else if let Some(rest) = head.strip_prefix("GET /v1/report?format=") {
        let form = rest.split(' ').next().unwrap_or_default();
        Response::Status(200, json!(format!("the report as {form}\n")))
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

impl Response {
    fn into_parts(self) -> Option<(u16, Value)> {
        match self {
            Self::Status(status, value) => Some((status, value)),
            Self::Lost => None,
        }
    }
}

fn resource(state: &State) -> Response {
    let posted = state.records.last().map(|data| envelope(data));
    let (in_force, is_posted) = match state.in_force {
        InForce::Same { revision } => {
            let everywhere = true;
            (
                InForce::Posted {
                    revision,
                    everywhere,
                },
                false,
            )
        }
        in_force => (in_force, true),
    };
    match (in_force, posted) {
        (
            InForce::Posted {
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
                    "name": routing.name, "revision": revision, "accepted": envelope.time.0 - u64::from(!is_posted),
                    "spec": routing.spec,
                },
                "domains": {
                    "a": { "revision": revision, "hosts": 2, "silent": 0 },
                    "b": { "revision": behind, "hosts": 1, "silent": 0 },
                },
                "everywhere": everywhere,
            });
            Response::Status(200, value)
        }
        (InForce::Other { revision }, _) => {
            let value = json!({
                "resource": {
                    "name": "waterworks", "revision": revision, "accepted": 0,
                    "spec": { "region": "north", "domains": ["z"], "services": [] },
                },
                "domains": {}, "everywhere": true,
            });
            Response::Status(200, value)
        }
        _ => Response::Status(404, json!("no resource is named \"waterworks\"")),
    }
}

/// Decodes the envelope of a posted record.
pub fn envelope(data: &[u8]) -> Envelope {
    let signed = SignedRecord::decode(data).expect("a signed record");
    signed.envelope().expect("an envelope")
}
