//! Sending requests to peers, and the traits at the boundary of this crate.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;

use bytes::Bytes;
use futures_lite::future::poll_fn;
use quinn::RecvStream;
use trefoil_core::Clock;
use trefoil_core::clock::Sleep;

use crate::body::{self, Body, Pump, PumpError, Sender, StreamBody};
use crate::code;
use crate::codec::{FrameError, Kind, frame, read_end, read_frame};
use crate::endpoint::Limits;
use crate::error::{PeerError, reason};
use crate::keys::PeerId;
use crate::message::{AnswerHead, ForwardHead};
use crate::pool::{Pool, Traffic};

/// A boxed future.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// What a host does with the requests of its peers.
///
/// A request that its sender cancelled, or whose connection is lost, ends by dropping the handler's
/// future and both bodies. A handler whose work must go on, such as the execution of a request
/// that is not idempotent, does that work in a task of its own.
pub trait Handler: Debug + Send + Sync {
    /// Answers a forwarded request.
    ///
    /// `body` is complete only if it ends without an error. An error in the returned body reaches
    /// the peer as a cut-off answer.
    fn forward(
        self: Arc<Self>,
        from: PeerId,
        head: ForwardHead,
        body: Body,
    ) -> BoxFuture<(AnswerHead, Body)>;

    /// Answers a control message.
    fn call(self: Arc<Self>, from: PeerId, message: Bytes) -> BoxFuture<Bytes>;

    /// Told of a connection or a request that was refused without a call of the other methods.
    fn on_refused(&self, from: SocketAddr, reason: &str) {
        let _ = (from, reason);
    }
}

/// The way to other hosts.
///
/// Dropping a returned future or body cancels the request, which the peer notices.
pub trait Peers: Debug + Send + Sync {
    /// Forwards a request and returns the answer when its head has arrived.
    fn forward(
        &self,
        to: SocketAddr,
        head: ForwardHead,
        body: Body,
    ) -> BoxFuture<Result<(AnswerHead, Body), PeerError>>;

    /// Sends a control message and returns its answer.
    fn call(&self, to: SocketAddr, message: Bytes) -> BoxFuture<Result<Bytes, PeerError>>;
}

/// Peers reached over QUIC, with one connection for each address.
#[derive(Debug, Clone)]
pub struct QuicPeers {
    pool: Arc<Pool>,
}

impl QuicPeers {
    pub(crate) fn new(
        quic: quinn::Endpoint,
        config: quinn::ClientConfig,
        clock: Arc<dyn Clock>,
        limits: &Limits,
    ) -> Self {
        Self {
            pool: Arc::new(Pool::new(quic, config, clock, limits)),
        }
    }

    pub(crate) fn set_config(&self, config: quinn::ClientConfig) {
        self.pool.set_config(config);
    }

    /// What the open connections to peers have carried so far. Connections that peers opened are
    /// not among them.
    pub fn traffic(&self) -> Traffic {
        self.pool.traffic()
    }

    /// Number of open connections to peers.
    pub fn connections(&self) -> usize {
        self.pool.len()
    }
}

impl Peers for QuicPeers {
    fn forward(
        &self,
        to: SocketAddr,
        mut head: ForwardHead,
        body: Body,
    ) -> BoxFuture<Result<(AnswerHead, Body), PeerError>> {
        let pool = Arc::clone(&self.pool);
        Box::pin(async move {
            let start = pool.clock.now();
            // A request that has found no connection within its budget was not sent. The grace is
            // for the answer to one that was.
            let latest = pool.clock.sleep(head.budget);
            let until = pool.clock.sleep(head.budget + pool.limits.grace);
            let mut exchange = Exchange::open(&pool, to, latest, until).await?;
            // The peer counts the budget from the arrival of the head.
            let waited = pool.clock.now().since(start);
            head.budget = head.budget.saturating_sub(waited);
            let first = head.encode().and_then(|m| frame(Some(Kind::Forward), &m));
            exchange.start(first.map_err(|e| PeerError::invalid(to, &e))?, body);
            let answer = exchange.answer(false).await?;
            let head = AnswerHead::decode(&answer).map_err(|e| PeerError::InvalidAnswer {
                to,
                reason: reason(e),
            })?;
            let rest = StreamBody::new(exchange.recv, exchange.pump);
            Ok((head, Body::new(rest)))
        })
    }

    fn call(&self, to: SocketAddr, message: Bytes) -> BoxFuture<Result<Bytes, PeerError>> {
        let pool = Arc::clone(&self.pool);
        Box::pin(async move {
            let first = frame(Some(Kind::Call), &message);
            let first = first.map_err(|e| PeerError::invalid(to, &e))?;
            let latest = pool.clock.sleep(pool.limits.call);
            let until = pool.clock.sleep(pool.limits.call);
            let mut exchange = Exchange::open(&pool, to, latest, until).await?;
            exchange.start(first, body::empty());
            exchange.answer(true).await
        })
    }
}

/// One request on its stream.
struct Exchange {
    to: SocketAddr,
    until: Sleep,
    recv: RecvStream,
    /// The sending half, until the request is started.
    send: Option<Sender>,
    /// The rest of the request, until it has been sent.
    pump: Option<Pump>,
    /// Whether the transport has taken any byte of the request.
    sent: bool,
}

impl Exchange {
    /// Opens a stream. Nothing has been sent when this fails.
    async fn open(
        pool: &Pool,
        to: SocketAddr,
        mut latest: Sleep,
        until: Sleep,
    ) -> Result<Self, PeerError> {
        let mut opening = pin!(pool.stream(to));
        let opened = poll_fn(|cx| match opening.as_mut().poll(cx) {
            Poll::Ready(opened) => Poll::Ready(opened),
            Poll::Pending => latest
                .as_mut()
                .poll(cx)
                .map(|()| Err(PeerError::Timeout { to, sent: false })),
        });
        let (send, recv) = opened.await?;
        Ok(Self {
            to,
            until,
            recv,
            send: Some(Sender::new(send, code::var(code::CANCELLED))),
            pump: None,
            sent: false,
        })
    }

    /// Sets the request that [`Exchange::answer`] sends.
    fn start(&mut self, first: Bytes, body: Body) {
        let pump = |sender| Pump::new(sender, first, body, code::var(code::BODY_FAILED));
        self.pump = self.send.take().map(pump);
    }

    /// Sends the request until the frame of the answer has arrived.
    async fn answer(&mut self, last: bool) -> Result<Bytes, PeerError> {
        let Self {
            to,
            until,
            recv,
            pump,
            sent,
            ..
        } = self;
        let to = *to;
        let mut read = pin!(async {
            let answer = read_frame(recv).await?;
            if last {
                read_end(recv).await?;
            }
            Ok(answer)
        });
        poll_fn(|cx| {
            if let Some(sending) = pump {
                let done = Pin::new(&mut *sending).poll(cx);
                *sent |= sending.started();
                match done {
                    Poll::Pending => {}
                    Poll::Ready(Err(PumpError::Source(e))) => {
                        return Poll::Ready(Err(PeerError::RequestBody {
                            to,
                            reason: reason(e),
                            sent: *sent,
                        }));
                    }
                    // The reading half tells why the connection or the stream ended. A peer may
                    // also answer without reading the whole request.
                    Poll::Ready(_) => *pump = None,
                }
            }
            match (read.as_mut().poll(cx), until.as_mut().poll(cx)) {
                (Poll::Ready(Ok(answer)), _) => Poll::Ready(Ok(answer)),
                (Poll::Ready(Err(e)), _) => Poll::Ready(Err(failure(to, e, *sent))),
                (_, Poll::Ready(())) => Poll::Ready(Err(PeerError::Timeout { to, sent: *sent })),
                _ => Poll::Pending,
            }
        })
        .await
    }
}

fn failure(to: SocketAddr, error: FrameError, sent: bool) -> PeerError {
    match error {
        FrameError::Reset(code) if code::is_refusal(code) => PeerError::Refused { to, code },
        FrameError::Lost(quinn::ConnectionError::ApplicationClosed(close))
            if close.error_code == code::var(code::DRAINING) =>
        {
            let code = close.error_code.into();
            PeerError::Refused { to, code }
        }
        FrameError::Lost(e) => PeerError::Lost {
            to,
            reason: reason(e),
            sent,
        },
        other => PeerError::InvalidAnswer {
            to,
            reason: other.describe(),
        },
    }
}
