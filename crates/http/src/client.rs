//! Client connections, and single requests that each open a new one.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use http::header::TRANSFER_ENCODING;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use smol::Task;
use smol::net::TcpStream;
use smol_hyper::rt::FuturesIo;
use snafu::{ResultExt, Snafu};

use crate::head_guard::{HeadGuard, HeadMark};
use crate::{Body, full};

/// Statuses of final answers (RFC 9110, section 15).
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Failure of a request on a [`Connection`].
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    /// The connection could not be opened; nothing was sent.
    #[snafu(display("cannot connect to {address}: {source}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the socket.
        source: std::io::Error,
    },
    /// The connection failed before any byte of the request was written.
    #[snafu(display("the connection closed before the request was written"))]
    NotWritten,
    /// The connection failed after the first byte of the request may have been written.
    #[snafu(display("the connection broke: {source}"))]
    Broken {
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The status of the answer is not one of a final answer of HTTP: hyper accepts all numbers from
    /// 100 to 999, and the switch to another protocol.
    #[snafu(display("the answer has the status {status}"))]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The body has a transfer encoding other than `chunked`, which no request asks for. hyper does
    /// not decode it, and does not fail.
    #[snafu(display("the answer has a transfer encoding other than chunked"))]
    Encoding,
}

/// Client connection that carries one request at a time.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Body>,
    /// Announces the head of the next answer to the stream.
    mark: HeadMark,
    // Dropping the task closes the socket, even while an answer is outstanding.
    _driver: Task<()>,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or is not established within `timeout`.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, ConnectionError> {
        let deadline = async {
            smol::Timer::after(timeout).await;
            Err(std::io::ErrorKind::TimedOut.into())
        };
        let stream = TcpStream::connect(address)
            .or(deadline)
            .await
            .context(ConnectSnafu { address })?;
        let _ = stream.set_nodelay(true);
        let mark = HeadMark::default();
        let stream = HeadGuard::new(stream, mark.clone());
        let handshake = http1::handshake(FuturesIo::new(stream)).await;
        let (sender, connection) = handshake.context(BrokenSnafu)?;
        let driver = smol::spawn(async move {
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            mark,
            _driver: driver,
        })
    }

    /// Returns true if the connection is open and no request is outstanding.
    pub fn is_idle(&self) -> bool {
        self.sender.is_ready()
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, if the status is not that of a final answer, or if the transfer
    /// encoding is not `chunked`. The error states whether any byte may have been written. The
    /// connection must then be dropped.
    pub async fn send(
        &mut self,
        request: Request<Body>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        self.sender
            .ready()
            .await
            .or(Err(ConnectionError::NotWritten))?;
        self.mark.set();
        match self.sender.try_send_request(request).await {
            Ok(response) => {
                let status = response.status();
                if !FINAL_STATUSES.contains(&status.as_u16()) {
                    return StatusSnafu { status }.fail();
                }
                let mut encodings = response.headers().get_all(TRANSFER_ENCODING).iter();
                if encodings.any(|e| !e.as_bytes().eq_ignore_ascii_case(b"chunked")) {
                    return EncodingSnafu.fail();
                }
                Ok(response)
            }
            // hyper returns the request only if it has not written any byte of it.
            Err(mut e) => match e.take_message() {
                Some(_) => Err(ConnectionError::NotWritten),
                None => Err(e.into_error()).context(BrokenSnafu),
            },
        }
    }

    /// Waits until the connection can accept another request.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed.
    pub async fn ready(&mut self) -> Result<(), ConnectionError> {
        self.sender.ready().await.context(BrokenSnafu)
    }
}

/// Failure of a [`call`].
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be opened, or it failed.
    #[snafu(display("{source}"), context(false))]
    Connection {
        /// Error of the connection.
        source: ConnectionError,
    },
    /// The answer is truncated or too large.
    #[snafu(display("the answer of {address} is incomplete: {reason}"))]
    Incomplete {
        /// Address of the server.
        address: SocketAddr,
        /// Message of the error.
        reason: String,
    },
    /// No answer arrived within the timeout.
    #[snafu(display("no answer from {address} within {} ms", timeout.as_millis()))]
    TimedOut {
        /// Address of the server.
        address: SocketAddr,
        /// The timeout of the call.
        timeout: Duration,
    },
}

impl CallError {
    /// Returns true if the server may have received the request.
    pub fn may_have_been_sent(&self) -> bool {
        !matches!(
            self,
            Self::Connection {
                source: ConnectionError::Connect { .. } | ConnectionError::NotWritten
            }
        )
    }
}

/// Sends one request on a new connection and reads the whole answer, whose body has at most `max`
/// bytes.
///
/// # Errors
///
/// Fails if the connection does, or if the answer is too large or not complete within `timeout`.
pub async fn call(
    address: SocketAddr,
    request: Request<Bytes>,
    max: usize,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let deadline = async {
        smol::Timer::after(timeout).await;
        Err(CallError::TimedOut { address, timeout })
    };
    exchange(address, request, max, timeout).or(deadline).await
}

async fn exchange(
    address: SocketAddr,
    request: Request<Bytes>,
    max: usize,
    timeout: Duration,
) -> Result<(StatusCode, Bytes), CallError> {
    let mut connection = Connection::open(address, timeout).await?;
    let (mut parts, data) = request.into_parts();
    if let Ok(host) = address.to_string().parse() {
        parts.headers.entry(http::header::HOST).or_insert(host);
    }
    let response = connection
        .send(Request::from_parts(parts, full(data)))
        .await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), max).collect().await;
    let body = body
        .map_err(|e| CallError::Incomplete {
            address,
            reason: e.to_string(),
        })?
        .to_bytes();
    Ok((status, body))
}
