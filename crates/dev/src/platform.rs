//! The platform's log service and host list over HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use trefoil_core::{HostName, Offset};
use trefoil_http::{Body, Service, full};
use trefoil_log::log::RECORD_MAX;
use trefoil_log::{Log, LogError};
use trefoil_platform::protocol::{
    Appended, Gone, HOSTS_PATH, ListedHost, ListedState, Record, Records, STREAM_PATH,
};

/// Records in one answer.
const READ_MAX: usize = 1024;

/// Longest wait that a reader may ask for.
const WAIT_MAX: Duration = Duration::from_secs(30);

/// Serves a log and a host list.
#[derive(Debug)]
pub struct PlatformServer {
    log: Arc<dyn Log>,
    hosts: Mutex<Vec<ListedHost>>,
}

impl PlatformServer {
    /// Serves `log` and a list of live `hosts`.
    pub fn new(log: Arc<dyn Log>, hosts: Vec<HostName>) -> Self {
        let listed = |name| ListedHost {
            name,
            state: ListedState::Live,
        };
        Self {
            log,
            hosts: Mutex::new(hosts.into_iter().map(listed).collect()),
        }
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        *self.hosts.lock().unwrap_or_else(PoisonError::into_inner) = hosts;
    }

    async fn append(&self, request: Request<Incoming>) -> Response<Body> {
        let body = match Limited::new(request.into_body(), RECORD_MAX)
            .collect()
            .await
        {
            Ok(body) => body.to_bytes(),
            Err(e) => return text(StatusCode::PAYLOAD_TOO_LARGE, &e.to_string()),
        };
        match self.log.append(body).await {
            Ok(offset) => json(StatusCode::CREATED, &Appended { offset }),
            Err(e) => error(&e),
        }
    }

    async fn read(&self, request: &Request<Incoming>) -> Response<Body> {
        let query = request.uri().query().unwrap_or_default();
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .find(|(k, _)| *k == name)
                .and_then(|(_, v)| v.parse::<u64>().ok())
        };
        let Some(from) = number("from") else {
            return text(StatusCode::BAD_REQUEST, "the query needs from=OFFSET");
        };
        let max = number("max")
            .and_then(|m| usize::try_from(m).ok())
            .unwrap_or(READ_MAX);
        let wait = Duration::from_millis(number("wait").unwrap_or(0)).min(WAIT_MAX);
        match self.log.read(Offset(from), max.min(READ_MAX), wait).await {
            Ok(batch) => {
                let records = batch.records.into_iter();
                let records = records
                    .map(|r| Record {
                        offset: r.offset,
                        data: r.data.to_vec(),
                    })
                    .collect();
                let answer = Records {
                    records,
                    next: batch.next,
                    end: batch.end,
                };
                json(StatusCode::OK, &answer)
            }
            Err(e) => error(&e),
        }
    }

    fn list(&self) -> Response<Body> {
        json(
            StatusCode::OK,
            &*self.hosts.lock().unwrap_or_else(PoisonError::into_inner),
        )
    }
}

impl Service for PlatformServer {
    fn handle(
        self: Arc<Self>,
        _peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<Body>> {
        async move {
            match (request.method(), request.uri().path()) {
                (&Method::POST, STREAM_PATH) => self.append(request).await,
                (&Method::GET, STREAM_PATH) => self.read(&request).await,
                (&Method::GET, HOSTS_PATH) => self.list(),
                _ => text(StatusCode::NOT_FOUND, "no such call"),
            }
        }
        .boxed()
    }
}

fn error(error: &LogError) -> Response<Body> {
    match error {
        LogError::Truncated { first, .. } => json(StatusCode::GONE, &Gone { first: *first }),
        LogError::TooLarge { .. } => text(StatusCode::PAYLOAD_TOO_LARGE, &error.to_string()),
        LogError::Unavailable { .. } => text(StatusCode::SERVICE_UNAVAILABLE, &error.to_string()),
        LogError::Ambiguous { .. } => text(StatusCode::BAD_GATEWAY, &error.to_string()),
    }
}

fn json<T>(status: StatusCode, value: &T) -> Response<Body>
where
    T: Serialize,
{
    // The messages have only string keys and finite numbers, so they always encode.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(body));
    *response.status_mut() = status;
    response
}

fn text(status: StatusCode, message: &str) -> Response<Body> {
    let mut response = Response::new(full(format!("{message}\n")));
    *response.status_mut() = status;
    response
}
