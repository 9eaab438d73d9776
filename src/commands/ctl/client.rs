//! Client of a daemon's operators' API.
//!
//! The types contain only the fields of the API that this client uses. Unknown fields are ignored,
//! so that the command works with a newer daemon.

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

/// Maximum size of a response, in bytes. The largest one contains all resources of a deployment.
const RESPONSE_MAX: usize = 64 * 1024 * 1024;

/// Maximum size of the text of an error response, in bytes.
const ERROR_TEXT_MAX: usize = 64 * 1024;

/// Timeout of a request. A daemon queries all hosts for at most 500 ms and waits up to 5 s for a
/// record.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(8);

/// Status of a resource in one failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct DomainStatus {
    /// Lowest revision among the domain's hosts that answered.
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

/// A resource and its status in each failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct ResourceStatus {
    pub(super) resource: Resource,
    pub(super) domains: Domains,
    /// True if every known host serves the resource.
    pub(super) everywhere: bool,
}

impl ResourceStatus {
    /// Returns true if the resource is in force in every failure domain. Without any domain it is
    /// not in force, because a deployment without hosts serves nothing.
    pub(super) fn in_force(&self) -> bool {
        self.everywhere && !self.domains.is_empty()
    }

    /// Returns the failure domains that do not serve this revision yet.
    pub(super) fn lagging_domains(&self) -> Vec<DomainName> {
        let serves = |d: &DomainStatus| {
            d.silent == 0 && d.revision.is_some_and(|r| r >= self.resource.revision)
        };
        let lagging = self.domains.iter().filter(|(_, d)| !serves(d));
        lagging.map(|(name, _)| name.clone()).collect()
    }
}

/// Client of one daemon.
#[derive(Debug, Clone, Copy)]
pub(super) struct Client {
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: RESPONSE_TIMEOUT,
        }
    }

    /// Lowers the timeout to `timeout` if that is shorter.
    pub(super) fn with_timeout_max(self, timeout: Duration) -> Self {
        let timeout = self.timeout.min(timeout);
        Self { timeout, ..self }
    }

    /// Sends one request and returns the status and body of the response, also for error statuses.
    pub(super) fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        // Paths consist of constants, numbers and names, none of which need escaping.
        *request.uri_mut() = path.parse().unwrap_or_default();
        smol::block_on(call(self.address, request, RESPONSE_MAX, self.timeout))
    }

    /// Starts a request with a streamed response. The stream ends when the connection is dropped.
    pub(super) async fn stream(&self, path: &str) -> Result<(Connection, Incoming), CommandError> {
        let address = self.address;
        let open = async {
            let mut connection = Connection::open(address, self.timeout).await?;
            let request = Request::get(path).header(HOST, address.to_string());
            // The path and the address are always valid, because this client builds them.
            let request = request.body(full(Bytes::new())).unwrap_or_default();
            let response = connection.send(request).await?;
            Ok((connection, response))
        };
        let timed_out = async {
            SystemClock.sleep(self.timeout).await;
            let timeout = self.timeout;
            Err(CallError::TimedOut { address, timeout })
        };
        let (connection, response) = open.or(timed_out).await.context(UnreachableSnafu)?;
        let status = response.status();
        let body = response.into_body();
        if status.is_success() {
            return Ok((connection, body));
        }
        let text = Limited::new(body, ERROR_TEXT_MAX).collect().await;
        let text = text.map(Collected::to_bytes).unwrap_or_default();
        Err(CommandError::ErrorResponse {
            status,
            message: body_text(&text),
        })
    }

    fn send_checked(&self, method: Method, path: &str) -> Result<Bytes, CommandError> {
        let response = self.send(method, path, Bytes::new());
        let (status, body) = response.context(UnreachableSnafu)?;
        if status.is_success() {
            Ok(body)
        } else {
            Err(CommandError::ErrorResponse {
                status,
                message: body_text(&body),
            })
        }
    }

    /// Sends a GET request and parses the JSON response.
    pub(super) fn get<T>(&self, path: &str) -> Result<T, CommandError>
    where
        T: DeserializeOwned,
    {
        let body = self.send_checked(Method::GET, path)?;
        serde_json::from_slice(&body).context(MalformedResponseSnafu { path })
    }

    /// Sends a GET request and returns the body of the response.
    pub(super) fn get_bytes(&self, path: &str) -> Result<Bytes, CommandError> {
        self.send_checked(Method::GET, path)
    }

    /// Sends a POST request without a body and returns the text of the response.
    pub(super) fn post(&self, path: &str) -> Result<String, CommandError> {
        self.send_checked(Method::POST, path)
            .map(|body| body_text(&body))
    }

    /// Fetches a resource with its status, or returns `None` if it does not exist.
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
            Err(error) => Err(error),
        }
    }
}

/// Returns the text of a response that is not JSON, without surrounding white space.
pub(super) fn body_text(body: &[u8]) -> String {
    String::from_utf8_lossy(body).trim().to_owned()
}

/// Formats a wall-clock time according to RFC 3339.
pub(super) fn format_time(at: UnixMillis) -> String {
    // humantime cannot format times after the year 9999. A daemon does not send them.
    const LAST: u64 = 253_402_300_799_999;
    let at = UNIX_EPOCH + Duration::from_millis(at.0.min(LAST));
    humantime::format_rfc3339_millis(at).to_string()
}
