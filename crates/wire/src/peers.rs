//! Requests to peers over QUIC, and the traits [`Handler`] and [`Peers`].

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

use crate::body::{self, Body, SendGuard, StreamBody, Transfer, TransferError};
use crate::code;
use crate::codec::{FrameError, RequestKind, encode_frame, read_end, read_frame};
use crate::endpoint::Limits;
use crate::error::{PeerError, log_text};
use crate::keys::PeerId;
use crate::message::{AnswerHead, ForwardHead};
use crate::pool::{Pool, Traffic};

/// A boxed future.
pub type BoxFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Processes the requests of peers.
///
/// If the sender cancels a request or the connection is lost, the handler's future and both bodies
/// are dropped. Work that must continue in that case, such as the execution of a non-idempotent
/// request, belongs in a separate task.
pub trait Handler: Debug + Send + Sync {
    /// Answers a forwarded request.
    ///
    /// `body` is complete only if it ends without an error. An error in the returned body aborts
    /// the answer, and the peer receives it as incomplete.
    fn forward(
        self: Arc<Self>,
        from: PeerId,
        head: ForwardHead,
        body: Body,
    ) -> BoxFuture<(AnswerHead, Body)>;

    /// Answers a control message.
    fn call(self: Arc<Self>, from: PeerId, message: Bytes) -> BoxFuture<Bytes>;

    /// Reports a connection or a request that was refused without a call of the other methods.
    fn on_refused(&self, from: SocketAddr, reason: &str) {
        let _ = (from, reason);
    }
}

/// Sends requests to other hosts.
///
/// Dropping a returned future or body cancels the request, and the peer is notified.
pub trait Peers: Debug + Send + Sync {
    /// Forwards a request and returns its answer once the head of the answer has arrived.
    fn forward(
        &self,
        to: SocketAddr,
        head: ForwardHead,
        body: Body,
    ) -> BoxFuture<Result<(AnswerHead, Body), PeerError>>;

    /// Sends a control message and returns the answer.
    fn call(&self, to: SocketAddr, message: Bytes) -> BoxFuture<Result<Bytes, PeerError>>;
}

/// [`Peers`] over QUIC, with one connection for each address.
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

    /// Returns the traffic of the open connections that this host opened. Connections that peers
    /// opened are not included.
    pub fn traffic(&self) -> Traffic {
        self.pool.traffic()
    }

    /// Returns the number of open connections that this host opened.
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
            // Without a connection within its budget, the request is not sent. The grace period
            // applies only to the answer of a request that was sent.
            let connect_deadline = pool.clock.sleep(head.budget);
            let deadline = pool.clock.sleep(head.budget + pool.limits.grace);
            let mut exchange = Exchange::open(&pool, to, connect_deadline, deadline).await?;
            // The peer measures the budget from the arrival of the head, so the time for connecting
            // is subtracted here.
            let waited = pool.clock.now().since(start);
            head.budget = head.budget.saturating_sub(waited);
            let request = head
                .encode()
                .and_then(|m| encode_frame(Some(RequestKind::Forward), &m));
            exchange.set_request(request.map_err(|e| PeerError::invalid(to, &e))?, body);
            let answer = exchange.receive_answer(false).await?;
            let head = AnswerHead::decode(&answer).map_err(|e| PeerError::InvalidAnswer {
                to,
                reason: log_text(e),
            })?;
            let rest = StreamBody::new(exchange.recv, exchange.transfer);
            Ok((head, Body::new(rest)))
        })
    }

    fn call(&self, to: SocketAddr, message: Bytes) -> BoxFuture<Result<Bytes, PeerError>> {
        let pool = Arc::clone(&self.pool);
        Box::pin(async move {
            let request = encode_frame(Some(RequestKind::Call), &message);
            let request = request.map_err(|e| PeerError::invalid(to, &e))?;
            let connect_deadline = pool.clock.sleep(pool.limits.call);
            let deadline = pool.clock.sleep(pool.limits.call);
            let mut exchange = Exchange::open(&pool, to, connect_deadline, deadline).await?;
            exchange.set_request(request, body::empty());
            exchange.receive_answer(true).await
        })
    }
}

/// A request and its answer on one stream.
struct Exchange {
    to: SocketAddr,
    deadline: Sleep,
    recv: RecvStream,
    /// The sending half, until [`Exchange::set_request`] takes it.
    send: Option<SendGuard>,
    /// Transfer of the request, until it has been sent or has failed.
    transfer: Option<Transfer>,
    /// True if the transport has accepted any byte of the request.
    sent: bool,
}

impl Exchange {
    /// Opens a stream. If this fails, no byte of the request has been sent.
    async fn open(
        pool: &Pool,
        to: SocketAddr,
        mut connect_deadline: Sleep,
        deadline: Sleep,
    ) -> Result<Self, PeerError> {
        let mut opening = pin!(pool.open_stream(to));
        let opened = poll_fn(|cx| match opening.as_mut().poll(cx) {
            Poll::Ready(opened) => Poll::Ready(opened),
            Poll::Pending => connect_deadline
                .as_mut()
                .poll(cx)
                .map(|()| Err(PeerError::Timeout { to, sent: false })),
        });
        let (send, recv) = opened.await?;
        Ok(Self {
            to,
            deadline,
            recv,
            send: Some(SendGuard::new(send, code::to_varint(code::CANCELLED))),
            transfer: None,
            sent: false,
        })
    }

    /// Sets the request that [`Exchange::receive_answer`] sends.
    fn set_request(&mut self, request: Bytes, body: Body) {
        let transfer =
            |guard| Transfer::new(guard, request, body, code::to_varint(code::BODY_FAILED));
        self.transfer = self.send.take().map(transfer);
    }

    /// Sends the request while waiting for the frame of the answer. With `expect_end`, the stream
    /// must end after the frame.
    async fn receive_answer(&mut self, expect_end: bool) -> Result<Bytes, PeerError> {
        let Self {
            to,
            deadline,
            recv,
            transfer,
            sent,
            ..
        } = self;
        let to = *to;
        let mut read = pin!(async {
            let answer = read_frame(recv).await?;
            if expect_end {
                read_end(recv).await?;
            }
            Ok(answer)
        });
        poll_fn(|cx| {
            if let Some(running) = transfer {
                let done = Pin::new(&mut *running).poll(cx);
                *sent |= running.started();
                match done {
                    Poll::Pending => {}
                    Poll::Ready(Err(TransferError::Source(e))) => {
                        return Poll::Ready(Err(PeerError::RequestBody {
                            to,
                            reason: log_text(e),
                            sent: *sent,
                        }));
                    }
                    // The receiving half reports why the connection or the stream ended. A peer may
                    // also answer without reading the whole request.
                    Poll::Ready(_) => *transfer = None,
                }
            }
            match (read.as_mut().poll(cx), deadline.as_mut().poll(cx)) {
                (Poll::Ready(Ok(answer)), _) => Poll::Ready(Ok(answer)),
                (Poll::Ready(Err(e)), _) => Poll::Ready(Err(to_peer_error(to, e, *sent))),
                (_, Poll::Ready(())) => Poll::Ready(Err(PeerError::Timeout { to, sent: *sent })),
                _ => Poll::Pending,
            }
        })
        .await
    }
}

fn to_peer_error(to: SocketAddr, error: FrameError, sent: bool) -> PeerError {
    match error {
        FrameError::Reset(code) if code::is_refusal(code) => PeerError::Refused { to, code },
        FrameError::Lost(quinn::ConnectionError::ApplicationClosed(close))
            if close.error_code == code::to_varint(code::DRAINING) =>
        {
            let code = close.error_code.into();
            PeerError::Refused { to, code }
        }
        FrameError::Lost(e) => PeerError::Lost {
            to,
            reason: log_text(e),
            sent,
        },
        other => PeerError::InvalidAnswer {
            to,
            reason: other.describe(),
        },
    }
}
