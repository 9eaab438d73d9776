//! A sample upstream with a counter per path.
//!
//! It limits concurrent executions by slots and can enforce fencing: it then executes a request
//! only if no newer fencing token has been seen and an unexpired grant covers the request's shard.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::{HeaderMap, HeaderName, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use trefoil_core::{Clock, Shard, Tick, Token, UnixMillis, UpstreamName};
use trefoil_dispatch::{GRANT_PATH, Grant};
use trefoil_http::{Body, Service, full};

/// Response header that marks a refusal: the request was not executed.
pub const REFUSED_HEADER: &str = "trefoil-refused";

/// Header with the number of an attempt, which answers return.
pub const ATTEMPT_HEADER: &str = "trefoil-attempt";

/// Request header that carries the dispatcher's fencing token.
pub const FENCE_HEADER: &str = "fence-token";

/// Request header that carries the shard of the request's key.
pub const SHARD_HEADER: &str = "trefoil-shard";

/// Size limit of a grant in bytes: 2^16 shards of up to 7 digits and a comma each.
const GRANT_MAX: usize = 512 * 1024;

/// A request that the upstream has executed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Value of the `Idempotency-Key` header.
    pub id: Option<String>,
    /// Value of the `Fence-Token` header.
    pub token: Option<String>,
    /// Start of the execution.
    pub began: UnixMillis,
    /// Time at which the execution took effect.
    pub ended: UnixMillis,
}

#[derive(Debug, Default)]
struct State {
    active: u32,
    /// Highest fencing token accepted so far, in a grant or a request.
    newest_token: Token,
    /// Expiry and shards of the latest grant.
    grant: Option<(Tick, BTreeSet<Shard>)>,
    counts: BTreeMap<String, u64>,
    runs: Vec<Run>,
}

/// A sample upstream that counts the requests per path and returns the count.
#[derive(Debug)]
pub struct SampleUpstream {
    name: UpstreamName,
    slots: u32,
    fenced: bool,
    service_time: Duration,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
}

impl SampleUpstream {
    /// Creates an upstream that executes up to `slots` requests concurrently, each for
    /// `service_time`. If `fenced`, it refuses requests with an outdated token and requests for
    /// shards without an unexpired grant.
    pub fn new(
        name: UpstreamName,
        slots: u32,
        fenced: bool,
        service_time: Duration,
        clock: Arc<dyn Clock>,
    ) -> Self {
        Self {
            name,
            slots,
            fenced,
            service_time,
            clock,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the executed requests, oldest first.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Occupies a slot, or returns the status and message of the refusal.
    fn admit(&self, headers: &HeaderMap) -> Result<(), (StatusCode, &'static str)> {
        let mut state = self.lock();
        if self.fenced {
            let now = self.clock.now();
            check_fence(&mut state, headers, now).map_err(|e| (StatusCode::CONFLICT, e))?;
        }
        if state.active >= self.slots {
            return Err((StatusCode::SERVICE_UNAVAILABLE, "no free slot"));
        }
        state.active += 1;
        Ok(())
    }

    /// Stores a grant unless its token is outdated.
    async fn apply_grant(&self, request: Request<Incoming>) -> Response<Body> {
        let body = Limited::new(request.into_body(), GRANT_MAX).collect().await;
        let grant = body
            .ok()
            .and_then(|b| serde_json::from_slice::<Grant>(&b.to_bytes()).ok());
        let now = self.clock.now();
        let mut state = self.lock();
        match grant {
            None => refuse(StatusCode::BAD_REQUEST, "not a grant"),
            Some(grant) if grant.token < state.newest_token => {
                refuse(StatusCode::CONFLICT, "the fencing token is out of date")
            }
            Some(grant) => {
                state.newest_token = grant.token;
                let remaining = grant.until.0.saturating_sub(self.clock.unix().0);
                let expiry = now.after(Duration::from_millis(grant.valid.min(remaining)));
                state.grant = Some((expiry, grant.shards.into_iter().collect()));
                Response::new(full("ok\n"))
            }
        }
    }

    async fn execute(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, body) = request.into_parts();
        if let Err((status, message)) = self.admit(&parts.headers) {
            return refuse(status, message);
        }
        // Dropping the guard frees the slot even if the connection breaks and the request is
        // dropped.
        let _slot = Slot { upstream: self };
        let body = match body.collect().await {
            Ok(body) => body.to_bytes(),
            Err(_) => return refuse(StatusCode::BAD_REQUEST, "the body broke off"),
        };
        let began = self.clock.unix();
        self.clock.sleep(self.service_time).await;
        let path = parts
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        let run = Run {
            method: parts.method.to_string(),
            path: path.clone(),
            id: header_text(&parts.headers, "idempotency-key").map(str::to_owned),
            token: header_text(&parts.headers, FENCE_HEADER).map(str::to_owned),
            began,
            ended: self.clock.unix(),
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

/// Frees an occupied slot when dropped.
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
            // The number of the attempt is returned, so that the answer can be told from others.
            let number = request.headers().get(ATTEMPT_HEADER).cloned();
            let mut response = match (request.method(), request.uri().path()) {
                (&Method::POST, GRANT_PATH) => self.apply_grant(request).await,
                (&Method::GET, "/-/health") => Response::new(full("ok\n")),
                (&Method::GET, "/-/runs") => {
                    let runs = serde_json::to_vec(&self.runs()).unwrap_or_default();
                    Response::new(full(runs))
                }
                _ => self.execute(request).await,
            };
            let returned = number.map(|number| (ATTEMPT_HEADER, number));
            let headers = response.headers_mut();
            headers.extend(returned.map(|(name, value)| (HeaderName::from_static(name), value)));
            response
        }
        .boxed()
    }
}

/// Checks the token and the shard of a request against the newest token and the grant.
fn check_fence(state: &mut State, headers: &HeaderMap, now: Tick) -> Result<(), &'static str> {
    let token = header_text(headers, FENCE_HEADER).and_then(|t| t.parse::<Token>().ok());
    let shard = header_text(headers, SHARD_HEADER).and_then(|s| s.parse::<Shard>().ok());
    let (Some(token), Some(shard)) = (token, shard) else {
        return Err("no fencing token or no shard");
    };
    if token < state.newest_token {
        return Err("the fencing token is out of date");
    }
    match &state.grant {
        Some((expiry, shards)) if now < *expiry && shards.contains(&shard) => {
            state.newest_token = token;
            Ok(())
        }
        _ => Err("no grant for the shard"),
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn refuse(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = Response::new(full(format!("{message}\n")));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(REFUSED_HEADER, http::HeaderValue::from_static("1"));
    response
}
