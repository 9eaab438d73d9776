//! The server side.
//!
//! hyper answers a request whose head it cannot read by itself, without a body and without asking
//! the service. [`Server`] replaces this answer by the service's own, see [`Service::refusal`].
//! When a connection ends with unread bytes, the system resets it and the client can lose an answer
//! that it has not read yet; the server therefore reads and drops bytes for a short time.

use std::convert::Infallible;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event;
use futures_lite::future::Boxed;
use futures_lite::{AsyncReadExt, FutureExt, future};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};

use crate::Body;
use crate::refusal::{Exchange, Refusing};

/// Time in which a client must send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait after a failed accept, for example because the process has no free file descriptor.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Time for which, and bytes up to which, a closed connection is still read.
const LINGER: Duration = Duration::from_secs(1);
const LINGER_MAX: usize = 16 * 1024 * 1024;

/// Handles requests.
pub trait Service: Debug + Send + Sync + 'static {
    /// Answers one request from `peer`.
    fn handle(
        self: Arc<Self>,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Boxed<Response<Body>>;

    /// The answer to a request whose head cannot be read, with the status that says why.
    fn refusal(&self, status: StatusCode) -> Response<Bytes> {
        let mut response = Response::default();
        *response.status_mut() = status;
        response
    }
}

/// Bounds on what clients may send.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: usize,
    /// Header fields of a request.
    pub fields: usize,
    /// Connections open at once.
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
    stopped: std::sync::atomic::AtomicBool,
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
        smol::spawn(accept(listener, limits, service, Arc::clone(&state))).detach();
        Self { state }
    }

    /// Stops accepting, lets every request in flight finish and waits until all connections are
    /// closed.
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
    async fn stopping(&self) {
        loop {
            let listener = self.stopping.listen();
            if self.stopped.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }
}

async fn accept(
    listener: TcpListener,
    limits: Limits,
    service: Arc<dyn Service>,
    state: Arc<State>,
) {
    loop {
        let next = async { Some(listener.accept().await) };
        let stop = async {
            state.stopping().await;
            None
        };
        match stop.or(next).await {
            None => return,
            Some(Err(_)) => {
                smol::Timer::after(ACCEPT_RETRY).await;
            }
            // Dropping the stream closes the connection, which tells the client to go elsewhere.
            Some(Ok(_)) if state.open.load(Ordering::SeqCst) >= limits.connections => {}
            Some(Ok((stream, peer))) => {
                state.open.fetch_add(1, Ordering::SeqCst);
                let (service, state) = (Arc::clone(&service), Arc::clone(&state));
                smol::spawn(async move {
                    serve(stream, peer, limits, service, &state).await;
                    state.open.fetch_sub(1, Ordering::SeqCst);
                    state.closed.notify(usize::MAX);
                })
                .detach();
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    peer: SocketAddr,
    limits: Limits,
    service: Arc<dyn Service>,
    state: &State,
) {
    // An answer's head and body leave as separate writes; with delayed acknowledgements Nagle's
    // algorithm would hold the second one back for 40 ms.
    let _ = stream.set_nodelay(true);
    let exchange = Arc::new(Exchange::default());
    let (io, rest) = (stream.clone(), stream);
    let io = Refusing::new(io, Arc::clone(&service), Arc::clone(&exchange));
    let handler = service_fn(move |request| {
        let guard = exchange.begin();
        let answer = Arc::clone(&service).handle(peer, request);
        async move { Ok::<_, Infallible>(answer.await.map(|body| guard.hold(body))) }
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
        state.stopping().await;
        true
    };
    let done = async {
        // An error here ends this connection only; the client sees it closed.
        let _ = connection.as_mut().await;
        false
    };
    if future::or(done, stopping).await {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
    linger(rest).or(state.stopping()).await;
}

/// Closes the sending side and reads until the client has closed its own.
async fn linger(mut stream: TcpStream) {
    let read = async {
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let (mut piece, mut left) = (vec![0; 16 * 1024], LINGER_MAX);
        while let Ok(n @ 1..) = stream.read(&mut piece).await {
            left = left.saturating_sub(n);
            if left == 0 {
                return;
            }
        }
    };
    let late = async {
        smol::Timer::after(LINGER).await;
    };
    read.or(late).await;
}
