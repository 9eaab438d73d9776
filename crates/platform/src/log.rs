//! Client of the log service.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::{Method, Request, StatusCode};
use serde::de::DeserializeOwned;
use trefoil_core::Offset;
use trefoil_http::call;
use trefoil_log::log::RECORD_MAX;
use trefoil_log::{Batch, Log, LogError, Stored};

use crate::protocol::{Appended, Gone, Records, STREAM_PATH};

/// Time that a call may take beyond the wait that it asks for.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer in bytes. Base64 adds a third to a record.
const ANSWER_MAX: usize = 64 * 1024 * 1024;

/// Client of the log service.
#[derive(Debug, Clone, Copy)]
pub struct LogClient {
    address: SocketAddr,
}

impl LogClient {
    /// A client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { address }
    }
}

impl Log for LogClient {
    fn append(&self, data: Bytes) -> Boxed<Result<Offset, LogError>> {
        append(self.address, data).boxed()
    }

    fn read(&self, from: Offset, max: usize, wait: Duration) -> Boxed<Result<Batch, LogError>> {
        read(self.address, from, max, wait).boxed()
    }
}

async fn append(address: SocketAddr, data: Bytes) -> Result<Offset, LogError> {
    if data.len() > RECORD_MAX {
        return Err(LogError::TooLarge { size: data.len() });
    }
    let request = request(Method::POST, STREAM_PATH, data);
    match call(address, request, ANSWER_MAX, CALL_TIMEOUT).await {
        Ok((StatusCode::CREATED, body)) => parse::<Appended>(&body)
            .map(|a| a.offset)
            .map_err(|reason| LogError::Ambiguous { reason }),
        Ok((StatusCode::SERVICE_UNAVAILABLE, _)) => unavailable("status 503"),
        Ok((status, _)) => Err(LogError::Ambiguous {
            reason: format!("status {status}"),
        }),
        Err(e) if e.may_have_been_sent() => Err(LogError::Ambiguous {
            reason: e.to_string(),
        }),
        Err(e) => unavailable(&e.to_string()),
    }
}

async fn read(
    address: SocketAddr,
    from: Offset,
    max: usize,
    wait: Duration,
) -> Result<Batch, LogError> {
    let path = format!(
        "{STREAM_PATH}?from={from}&max={max}&wait={}",
        wait.as_millis()
    );
    let request = request(Method::GET, &path, Bytes::new());
    match call(address, request, ANSWER_MAX, wait + CALL_TIMEOUT).await {
        Ok((StatusCode::OK, body)) => {
            let records: Records = parse(&body).or_else(|e| unavailable(&e))?;
            let stored = |r: crate::protocol::Record| Stored {
                offset: r.offset,
                data: r.data.into(),
            };
            let list = records.records.into_iter().map(stored).collect();
            Ok(Batch {
                records: list,
                next: records.next,
                end: records.end,
            })
        }
        Ok((StatusCode::GONE, body)) => {
            let gone: Gone = parse(&body).or_else(|e| unavailable(&e))?;
            Err(LogError::Truncated {
                from,
                first: gone.first,
            })
        }
        Ok((status, _)) => unavailable(&format!("status {status}")),
        Err(e) => unavailable(&e.to_string()),
    }
}

fn request(method: Method, path: &str, data: Bytes) -> Request<Bytes> {
    let mut request = Request::new(data);
    *request.method_mut() = method;
    // The paths are built from constants and numbers, so they always parse.
    *request.uri_mut() = path.parse().unwrap_or_default();
    request
}

fn parse<T>(body: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|e| format!("the answer does not parse: {e}"))
}

fn unavailable<T>(reason: &str) -> Result<T, LogError> {
    Err(LogError::Unavailable {
        reason: reason.to_owned(),
    })
}
