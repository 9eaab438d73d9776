//! A server of the platform's store protocol in front of any [`Store`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::header::{HeaderName, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde_json::{Value, json};
use trefoil_core::Offset;
use trefoil_http::{Body, Service, full};
use trefoil_store::{
    Append, Epoch, Era, Newest, PartitionId, PartitionNumber, Producer, Read, Store, StoreError,
    Topic,
};

/// Era of the store, in every answer.
const ERA: HeaderName = HeaderName::from_static("store-era");

/// Size limit of a call's body in bytes.
const BODY_MAX: usize = 2 * 1024 * 1024;

/// Upper bound of the wait for new records that a reader requests.
const READ_WAIT_MAX: Duration = Duration::from_secs(30);

/// Serves a store over the platform's HTTP protocol.
#[derive(Debug)]
pub struct StoreServer {
    store: Arc<dyn Store>,
}

/// The query parameters of a call.
struct Query(HashMap<String, String>);

impl Query {
    fn parse(request: &Request<Incoming>) -> Self {
        let query = request.uri().query().unwrap_or_default();
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        Self(pairs.map(|(k, v)| (k.to_owned(), decode(v))).collect())
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.0.get(name)?.parse().ok()
    }

    fn partition(&self) -> Option<PartitionId> {
        let topic: Topic = self.0.get("topic")?.parse().ok()?;
        let part = PartitionNumber(u16::try_from(self.number("part").unwrap_or(0)).ok()?);
        Some(PartitionId { topic, part })
    }

    fn producer(&self) -> Option<Producer> {
        Some(Producer {
            name: self.0.get("producer")?.clone(),
            epoch: Epoch(self.number("epoch").unwrap_or(0)),
            sequence: self.number("sequence").unwrap_or(0),
        })
    }
}

/// Decodes the percent-encoding of a query parameter.
fn decode(value: &str) -> String {
    let mut pieces = value.split('%');
    let mut bytes = pieces.next().unwrap_or_default().as_bytes().to_vec();
    for piece in pieces {
        let code = piece.get(..2).and_then(|c| u8::from_str_radix(c, 16).ok());
        match code {
            Some(code) => {
                bytes.push(code);
                bytes.extend_from_slice(&piece.as_bytes()[2..]);
            }
            None => bytes.extend_from_slice(piece.as_bytes()),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl StoreServer {
    /// Creates a server of `store`.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    async fn append(&self, request: Request<Incoming>) -> Response<Body> {
        let query = Query::parse(&request);
        let Some(partition) = query.partition() else {
            return message_response(StatusCode::BAD_REQUEST, "no topic");
        };
        let Ok(body) = Limited::new(request.into_body(), BODY_MAX).collect().await else {
            return message_response(StatusCode::PAYLOAD_TOO_LARGE, "the call is too large");
        };
        let Some(records) = decode_records(body.to_bytes()) else {
            return message_response(StatusCode::BAD_REQUEST, "the records are cut off");
        };
        let append = Append {
            partition,
            records,
            at: query.number("at").map(Offset),
            producer: query.producer(),
        };
        match self.store.append(append).await {
            Ok(appended) => {
                let body = json!({ "offset": appended.offset, "end": appended.end });
                with_era(json_response(StatusCode::OK, &body), appended.era)
            }
            Err(e) => error_response(&e),
        }
    }

    async fn read(&self, request: &Request<Incoming>) -> Response<Body> {
        let query = Query::parse(request);
        let Some(partition) = query.partition() else {
            return message_response(StatusCode::BAD_REQUEST, "no topic");
        };
        let wait = Duration::from_millis(query.number("waitMs").unwrap_or(0));
        let read = Read {
            partition,
            from: Offset(query.number("from").unwrap_or(0)),
            wait: wait.min(READ_WAIT_MAX),
        };
        let from = read.from;
        match self.store.read(read).await {
            Ok(batch) => {
                let mut body = BytesMut::new();
                body.put_u64(batch.end.0);
                body.put_u64(from.0);
                for record in &batch.records {
                    body.put_u32(u32::try_from(record.len()).unwrap_or(u32::MAX));
                    body.put_slice(record);
                }
                with_era(Response::new(full(body.freeze())), batch.era)
            }
            Err(e) => error_response(&e),
        }
    }

    async fn newest(&self, request: &Request<Incoming>) -> Response<Body> {
        let query = Query::parse(request);
        let Some(partition) = query.partition() else {
            return message_response(StatusCode::BAD_REQUEST, "no topic");
        };
        let newest = Newest {
            partition,
            after: query.0.get("after").cloned(),
        };
        match self.store.newest(newest).await {
            Ok(page) => {
                let items = page.items.iter().map(|item| {
                    json!({
                        "key": item.key,
                        "value": BASE64_STANDARD.encode(&item.value),
                        "offset": item.offset,
                    })
                });
                let items: Vec<Value> = items.collect();
                let era = page.era;
                let page = json!({ "items": items, "hasMore": page.more, "end": page.end });
                with_era(json_response(StatusCode::OK, &page), era)
            }
            Err(e) => error_response(&e),
        }
    }
}

impl Service for StoreServer {
    fn handle(
        self: Arc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<Body>> {
        async move {
            let response = match (request.method(), request.uri().path()) {
                (&Method::POST, "/log-append") => self.append(request).await,
                (&Method::GET, "/log-read") => self.read(&request).await,
                (&Method::GET, "/log-newest") => self.newest(&request).await,
                _ => message_response(StatusCode::NOT_FOUND, "no such call"),
            };
            if response.headers().contains_key(ERA) {
                response
            } else {
                with_era(response, self.store.era())
            }
        }
        .boxed()
    }
}

/// Splits a body into records, each preceded by its length in four bytes. Returns `None` if the
/// body ends within a record.
fn decode_records(mut body: Bytes) -> Option<Vec<Bytes>> {
    let mut records = Vec::new();
    while body.has_remaining() {
        let len = usize::try_from(body.try_get_u32().ok()?).ok()?;
        if body.len() < len {
            return None;
        }
        records.push(body.split_to(len));
    }
    Some(records)
}

/// Maps an error to the status and body that the platform's protocol has for it.
fn error_response(error: &StoreError) -> Response<Body> {
    match error {
        StoreError::Conflict { end } => {
            json_response(StatusCode::PRECONDITION_FAILED, &json!({ "end": end }))
        }
        StoreError::Fenced => json_response(StatusCode::CONFLICT, &json!({ "why": "fenced" })),
        StoreError::Sequence { expected } => {
            let body = json!({ "why": "seq", "sequence": expected });
            json_response(StatusCode::CONFLICT, &body)
        }
        StoreError::Truncated { first } => {
            json_response(StatusCode::GONE, &json!({ "first": first }))
        }
        StoreError::Unreachable { reason } | StoreError::Refused { reason } => {
            message_response(StatusCode::SERVICE_UNAVAILABLE, reason)
        }
        StoreError::Ambiguous { reason } => message_response(StatusCode::BAD_GATEWAY, reason),
        StoreError::Rejected { reason } => message_response(StatusCode::BAD_REQUEST, reason),
    }
}

fn with_era(mut response: Response<Body>, era: Era) -> Response<Body> {
    response.headers_mut().insert(ERA, HeaderValue::from(era.0));
    response
}

fn json_response(status: StatusCode, value: &Value) -> Response<Body> {
    let mut response = Response::new(full(value.to_string()));
    *response.status_mut() = status;
    response
}

fn message_response(status: StatusCode, message: &str) -> Response<Body> {
    json_response(status, &json!({ "error": message }))
}
