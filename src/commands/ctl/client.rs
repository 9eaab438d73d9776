//! Calls of the operators' API.
//!
//! The types here are those of the API as a client needs them. Unknown fields are passed over, so
//! that this command works with a newer daemon.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::HOST;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Collected, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use trefoil_core::{Clock, DomainName, ResourceName, Revision, SystemClock, UnixMillis};
use trefoil_http::{CallError, Connection, call, full};
use trefoil_log::Resource;

use super::error::{CommandError, MalformedResponseSnafu, UnreachableSnafu};

/// Largest answer that is read, in bytes: all resources of a deployment.
const ANSWER_MAX: usize = 64 * 1024 * 1024;

/// Largest text of a refused request that is read, in bytes.
const MESSAGE_MAX: usize = 64 * 1024;

/// Wait for an answer. A daemon asks all hosts for at most 500 ms and waits up to 5 s for a record.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(8);

/// What a failure domain serves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DomainStatus {
    /// Lowest revision of the domain's hosts that answered.
    pub(super) revision: Option<Revision>,
    /// Hosts that answered.
    pub(super) hosts: u32,
    /// Hosts that did not answer.
    pub(super) silent: u32,
}

impl fmt::Display for DomainStatus {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.revision {
            Some(revision) => write!(f, "revision {revision}, hosts: {}", self.hosts)?,
            None => f.write_str("no revision")?,
        }
        match self.silent {
            0 => Ok(()),
            silent => write!(f, ", without an answer: {silent}"),
        }
    }
}

/// Failure domains by name.
pub(super) type Domains = BTreeMap<DomainName, DomainStatus>;

/// A resource with its status.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct ResourceStatus {
    pub(super) resource: Resource,
    pub(super) domains: Domains,
    /// Whether every known host serves the resource.
    pub(super) everywhere: bool,
}

impl ResourceStatus {
    /// Whether the resource is in force in every failure domain. A deployment without hosts serves
    /// nothing.
    pub(super) fn in_force(&self) -> bool {
        self.everywhere && !self.domains.is_empty()
    }

    /// The domains that do not serve the resource yet.
    pub(super) fn behind(&self) -> Vec<DomainName> {
        let serves = |d: &DomainStatus| {
            d.silent == 0 && d.revision.is_some_and(|r| r >= self.resource.revision)
        };
        let behind = self.domains.iter().filter(|(_, d)| !serves(d));
        behind.map(|(name, _)| name.clone()).collect()
    }
}

/// A daemon's operators' API.
#[derive(Debug, Clone, Copy)]
pub(super) struct Client {
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: ANSWER_TIMEOUT,
        }
    }

    /// The same daemon with a shorter wait for an answer.
    pub(super) fn within(self, timeout: Duration) -> Self {
        let timeout = self.timeout.min(timeout);
        Self { timeout, ..self }
    }

    /// Sends one request and returns the whole answer, whatever its status.
    pub(super) fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        // All paths are built from constants, numbers and names, whose characters need no escapes.
        *request.uri_mut() = path.parse().unwrap_or_default();
        smol::block_on(call(self.address, request, ANSWER_MAX, self.timeout))
    }

    /// Starts a request whose answer is a stream. The answer ends when the connection is dropped.
    pub(super) async fn stream(&self, path: &str) -> Result<(Connection, Incoming), CommandError> {
        let address = self.address;
        let open = async {
            let mut connection = Connection::open(address, self.timeout).await?;
            let request = Request::get(path).header(HOST, address.to_string());
            // The path and the address are built here, so they are always valid.
            let request = request.body(full(Bytes::new())).unwrap_or_default();
            let response = connection.send(request).await?;
            Ok((connection, response))
        };
        let late = async {
            SystemClock.sleep(self.timeout).await;
            let timeout = self.timeout;
            Err(CallError::TimedOut { address, timeout })
        };
        let (connection, response) = open.or(late).await.context(UnreachableSnafu)?;
        let status = response.status();
        let body = response.into_body();
        if status.is_success() {
            return Ok((connection, body));
        }
        let text = Limited::new(body, MESSAGE_MAX).collect().await;
        let text = text.map(Collected::to_bytes).unwrap_or_default();
        Err(CommandError::ErrorResponse {
            status,
            message: message(&text),
        })
    }

    fn successful(&self, method: Method, path: &str) -> Result<Bytes, CommandError> {
        let answer = self.send(method, path, Bytes::new());
        let (status, body) = answer.context(UnreachableSnafu)?;
        if status.is_success() {
            Ok(body)
        } else {
            Err(CommandError::ErrorResponse {
                status,
                message: message(&body),
            })
        }
    }

    /// Reads a JSON answer.
    pub(super) fn get<T>(&self, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let body = self.successful(Method::GET, path)?;
        serde_json::from_slice(&body).context(MalformedResponseSnafu { path })
    }

    /// Reads an answer of any type.
    pub(super) fn raw(&self, path: &str) -> Result<Bytes, CommandError> {
        self.successful(Method::GET, path)
    }

    /// Sends a request without a body and returns the answer's text.
    pub(super) fn post(&self, path: &str) -> Result<String, CommandError> {
        self.successful(Method::POST, path)
            .map(|body| message(&body))
    }

    /// A resource with its status, or nothing if it does not exist.
    pub(super) fn resource(
        &self,
        name: &ResourceName,
    ) -> Result<Option<ResourceStatus>, CommandError> {
        match self.get(&format!("/v1/resources/{name}")) {
            Ok(status) => Ok(Some(status)),
            Err(CommandError::ErrorResponse {
                status: StatusCode::NOT_FOUND,
                ..
            }) => Ok(None),
            Err(failure) => Err(failure),
        }
    }
}

/// The text of an answer that is no JSON, on one line.
pub(super) fn message(body: &[u8]) -> String {
    String::from_utf8_lossy(body).trim().to_owned()
}

/// A wall clock time as people read it.
pub(super) fn time(at: UnixMillis) -> String {
    // Later times than the year 9999 do not print; a daemon does not send them.
    const LAST: u64 = 253_402_300_799_999;
    let at = UNIX_EPOCH + Duration::from_millis(at.0.min(LAST));
    humantime::format_rfc3339_millis(at).to_string()
}
