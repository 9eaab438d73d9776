//! A sample upstream that holds state per key.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use trefoil_core::{Clock, Token, UpstreamName};
use trefoil_http::{Body, Service, full};

/// Header that marks an answer as a refusal before execution.
pub const REFUSED_HEADER: &str = "trefoil-refused";

/// Header that carries the dispatcher's fencing token.
pub const FENCE_HEADER: &str = "fence-token";

/// One executed request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub path: String,
    /// The `Idempotency-Key` header.
    pub id: Option<String>,
    /// The `Fence-Token` header.
    pub token: Option<String>,
}

#[derive(Debug, Default)]
struct State {
    active: u32,
    newest: Token,
    counts: BTreeMap<String, u64>,
    runs: Vec<Run>,
}

/// A sample upstream: it counts the requests to each path and answers with the count.
#[derive(Debug)]
pub struct SampleUpstream {
    name: UpstreamName,
    slots: u32,
    fenced: bool,
    work: Duration,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl SampleUpstream {
    /// An upstream that executes up to `slots` requests at once, each for `work`, and refuses
    /// older fencing tokens if `fenced`.
    pub fn new(
        name: UpstreamName,
        slots: u32,
        fenced: bool,
        work: Duration,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            name,
            slots,
            fenced,
            work,
            clock,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The executed requests, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Takes a slot, or answers why the request is refused.
    fn admit(&self, headers: &HeaderMap) -> Result<(), (StatusCode, &'static str)> {
        let token = header(headers, FENCE_HEADER).and_then(|t| t.parse::<Token>().ok());
        let mut state = self.lock();
        match token {
            None if self.fenced => return Err((StatusCode::CONFLICT, "no fencing token")),
            Some(token) if self.fenced && token < state.newest => {
                return Err((StatusCode::CONFLICT, "the fencing token is out of date"));
            }
            Some(token) => state.newest = state.newest.max(token),
            None => {}
        }
        if state.active >= self.slots {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "no free slot"));
        }
        state.active += 1;
        Ok(())
    }

    async fn execute(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if let Err((status, message)) = self.admit(&parts.headers) {
            return refused(status, message);
        }
        // The slot is freed also if the connection breaks and the request is dropped.
        let _slot = Slot { upstream: self };
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return refused(StatusCode::BAD_REQUEST, "the body broke off"),
        };
        self.clock.sleep(self.work).await;
        let path = parts
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        let run = Run {
            method: parts.method.to_string(),
            path: path.clone(),
            id: header(&parts.headers, "idempotency-key").map(str::to_owned),
            token: header(&parts.headers, FENCE_HEADER).map(str::to_owned),
        };
        let mut state = self.lock();
        state.runs.push(run);
        let count = state.counts.entry(path.clone()).or_default();
        *count += 1;
        let answer = serde_json::json!({
            "upstream": self.name.as_str(),
            "method": parts.method.as_str(),
            "path": path,
            "count": *count,
            "received": body.len(),
        });
        let mut response = Response::new(full(format!("{answer}\n")));
        let json = http::HeaderValue::from_static("application/json");
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, json);
        response
    }
}

struct Slot<'a> {
    upstream: &'a SampleUpstream,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.upstream.lock().active -= 1;
    }
}

impl Service for SampleUpstream {
    fn handle(
        self: Arc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<Body>> {
        async move {
            match (request.method(), request.uri().path()) {
                (&Method::GET, "/-/health") => Response::new(full("ok\n")),
                (&Method::GET, "/-/runs") => {
                    let runs = serde_json::to_vec(&self.runs()).unwrap_or_default();
                    Response::new(full(runs))
                }
                _ => self.execute(request).await,
            }
        }
        .boxed()
    }
}

fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn refused(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = Response::new(full(format!("{message}\n")));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(REFUSED_HEADER, http::HeaderValue::from_static("1"));
    response
}
