//! Client of the host list.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::{Request, StatusCode};
use snafu::Snafu;
use trefoil_http::{CallError, call};

use crate::protocol::{HOSTS_PATH, ListedHost};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer in bytes: 19,000 hosts of about 100 bytes, with room to grow.
const ANSWER_MAX: usize = 8 * 1024 * 1024;

/// Why the host list could not be read.
#[derive(Debug, Snafu)]
pub enum HostsError {
    /// The call failed.
    #[snafu(display("{source}"), context(false))]
    Call {
        /// The call's error.
        source: CallError,
    },
    /// The service answered with an error.
    #[snafu(display("the host list answered with status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The answer does not parse.
    #[snafu(display("the host list does not parse: {source}"), context(false))]
    Parse {
        /// The parser's error.
        source: serde_json::Error,
    },
}

/// The platform's list of hosts. It lags behind reality and is only a hint.
pub trait Hosts: Debug + Send + Sync {
    /// Reads the list.
    fn list(&self) -> Boxed<Result<Vec<ListedHost>, HostsError>>;
}

/// Client of the host list service.
#[derive(Debug, Clone, Copy)]
pub struct HostsClient {
    address: SocketAddr,
}

impl HostsClient {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl Hosts for HostsClient {
    fn list(&self) -> Boxed<Result<Vec<ListedHost>, HostsError>> {
        let address = self.address;
        async move {
            let mut request = Request::new(Bytes::new());
            *request.uri_mut() = http::Uri::from_static(HOSTS_PATH);
            match call(address, request, ANSWER_MAX, CALL_TIMEOUT).await? {
                (StatusCode::OK, body) => Ok(serde_json::from_slice(&body)?),
                (status, _) => Err(HostsError::Status { status }),
            }
        }
        .boxed()
    }
}
