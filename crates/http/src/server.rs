//! HTTP/1 server over hyper.
//!
//! If hyper cannot parse the head of a request, it sends an answer without a body and does not call
//! the service. [`Server`] replaces that answer with [`Service::refusal`]. If a socket is closed
//! while it has unread input, the kernel resets the connection, and the client can lose an answer
//! that it has not read yet; the server therefore reads and discards input for a short time before
//! it closes a connection. An answer without a length to a caller of HTTP/1.0 ends with its
//! connection; if it breaks off, the server resets the connection, because a regular close would
//! complete the answer.

use std::convert::Infallible;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event;
use futures_lite::future::Boxed;
use futures_lite::{AsyncReadExt, FutureExt, future};
use http::header::CONTENT_LENGTH;
use http::{Request, Response, StatusCode, Version};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use socket2::SockRef;

use crate::Body;
use crate::refusal::{ExchangeState, RefusalStream};

/// Longest time for a client to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept, for example because the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time for which input is read and discarded before a connection is closed, and the number
/// of bytes after which reading stops earlier.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
const LINGER_MAX: usize = 16 * 1024 * 1024;

/// Application that answers the requests of a [`Server`].
pub trait Service: Debug + Send + Sync + 'static {
    /// Answers one request from `peer`.
    fn handle(
        self: Arc<Self>,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<Body>>;

    /// Creates the answer to a request whose head cannot be parsed. `status` states the fault.
    fn refusal(&self, status: StatusCode) -> Response<Bytes> {
        let mut response = Response::default();
        *response.status_mut() = status;
        response
    }
}

/// Limits on requests and connections of clients.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head: usize,
    /// Largest number of header fields in a request.
    pub fields: usize,
    /// Largest number of open connections.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head: 16 * 1024,
            fields: 100,
            connections: 4096,
        }
    }
}

#[derive(Debug, Default)]
struct State {
    stopping: Event,
    stopped: AtomicBool,
    open: AtomicUsize,
    closed: Event,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    state: Arc<State>,
}

impl Server {
    /// Serves on a bound listener until [`stop`](Self::stop).
    pub fn serve(listener: TcpListener, limits: Limits, service: Arc<dyn Service>) -> Self {
        let state = Arc::new(State::default());
        smol::spawn(accept_connections(
            listener,
            limits,
            service,
            Arc::clone(&state),
        ))
        .detach();
        Self { state }
    }

    /// Stops accepting connections and waits until every request in flight is answered and all
    /// connections are closed.
    pub async fn stop(&self) {
        self.state.stopped.store(true, Ordering::SeqCst);
        self.state.stopping.notify(usize::MAX);
        loop {
            let listener = self.state.closed.listen();
            if self.state.open.load(Ordering::SeqCst) == 0 {
                return;
            }
            listener.await;
        }
    }
}

impl State {
    async fn wait_for_stop(&self) {
        loop {
            let listener = self.stopping.listen();
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }
}

async fn accept_connections(
    listener: TcpListener,
    limits: Limits,
    service: Arc<dyn Service>,
    state: Arc<State>,
) {
    loop {
        let next = async { Some(listener.accept().await) };
        let stop = async {
            state.wait_for_stop().await;
            None
        };
        match stop.or(next).await {
            None => return,
            Some(Err(_)) => {
                smol::Timer::after(ACCEPT_RETRY_DELAY).await;
            }
            // Dropping the stream closes the connection, so the client can retry at another host.
            Some(Ok(_)) if state.open.load(Ordering::SeqCst) >= limits.connections => {}
            Some(Ok((stream, peer))) => {
                state.open.fetch_add(1, Ordering::SeqCst);
                let (service, state) = (Arc::clone(&service), Arc::clone(&state));
                smol::spawn(async move {
                    serve_connection(stream, peer, limits, service, &state).await;
                    state.open.fetch_sub(1, Ordering::SeqCst);
                    state.closed.notify(usize::MAX);
                })
                .detach();
            }
        }
    }
}

async fn serve_connection(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    service: Arc<dyn Service>,
    state: &State,
) {
    // The head and the body of an answer are separate writes. With delayed acknowledgements,
    // Nagle's algorithm would delay the second one by 40 ms.
    let _ = stream.set_nodelay(true);
    let exchange = Arc::new(ExchangeState::default());
    let (io, rest) = (stream.clone(), stream);
    let io = RefusalStream::new(io, Arc::clone(&service), Arc::clone(&exchange));
    // The answer that is sent lasts until the connection closes.
    let ends_with_close = AtomicBool::default();
    let handler = service_fn(|request: Request<Incoming>| {
        let version = request.version();
        let guard = exchange.begin();
        let answer = Arc::clone(&service).handle(peer, request);
        let ends_with_close = &ends_with_close;
        async move {
            let answer = answer.await;
            ends_with_close.store(lasts_until_close(version, &answer), Ordering::Relaxed);
            Ok::<_, Infallible>(answer.map(|body| guard.attach(body)))
        }
    });
    let connection = http1::Builder::new()
        .timer(SmolTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(limits.fields)
        .max_header_size(limits.head)
        .max_buf_size(limits.head.max(8192))
        .half_close(false)
        .serve_connection(FuturesIo::new(io), handler);
    let mut connection = pin!(connection);
    let stopping = async {
        state.wait_for_stop().await;
        None
    };
    let done = async { Some(connection.as_mut().await) };
    let result = if let Some(result) = future::or(done, stopping).await {
        result
    } else {
        connection.as_mut().graceful_shutdown();
        connection.as_mut().await
    };
    // An error ends only this connection. Dropping the socket without a linger time resets it.
    if result.is_err() && ends_with_close.load(Ordering::Relaxed) {
        let _ = SockRef::from(&rest).set_linger(Some(Duration::ZERO));
        return;
    }
    linger(rest).or(state.wait_for_stop()).await;
}

/// Returns true if an answer to a request of this version has no end but that of the connection.
fn lasts_until_close(version: Version, answer: &Response<Body>) -> bool {
    version < Version::HTTP_11
        && !answer.headers().contains_key(CONTENT_LENGTH)
        && answer.body().size_hint().exact().is_none()
}

/// Closes the sending side, then reads and discards input until the client closes its side.
async fn linger(mut stream: TcpStream) {
    let read = async {
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let (mut buffer, mut remaining) = (vec![0; 16 * 1024], LINGER_MAX);
        while let Ok(n @ 1..) = stream.read(&mut buffer).await {
            remaining = remaining.saturating_sub(n);
            if remaining == 0 {
                return;
            }
        }
    };
    let timeout = async {
        smol::Timer::after(LINGER_TIMEOUT).await;
    };
    read.or(timeout).await;
}
