//! Accepts connections of peers and passes their requests to the handler.
//!
//! A drain ends with the proof that unanswered requests did not run ([`code::DRAINING`]). It is
//! valid only if every request that reached the handler has been answered and the peer has
//! acknowledged the end of its stream, so each request counts as complete only after that.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::{or, poll_once};
use quinn::{Connection, Incoming, RecvStream};
use smol::Task;
use smol::channel::{self, Receiver, Sender as Guard};
use trefoil_core::{Clock, Outcome};

use crate::body::{self, Body, SendGuard, StreamBody, Transfer, TransferError};
use crate::code;
use crate::codec::{FrameError, RequestKind, encode_frame, read_end, read_request};
use crate::endpoint::{HANDSHAKES_MAX, Limits};
use crate::error::log_text;
use crate::keys::PeerId;
use crate::message::{AnswerHead, ForwardHead};
use crate::peers::Handler;
use crate::pool::{GREETING, authenticated_peer};

/// Interval at which the acknowledgement of a stream reset is polled.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A latch that opens once every clone of its guard has been dropped.
#[derive(Debug)]
struct Latch {
    guard: Mutex<Option<Guard<()>>>,
    closed: Receiver<()>,
}

impl Latch {
    fn new() -> Self {
        let (guard, closed) = channel::bounded(1);
        Self {
            guard: Mutex::new(Some(guard)),
            closed,
        }
    }

    /// Returns a guard that keeps the latch closed, or nothing if the latch has been released.
    fn acquire(&self) -> Option<Guard<()>> {
        let guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        guard.clone()
    }

    /// Drops the latch's own guard. The latch opens once all other guards have been dropped.
    fn release(&self) {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        *guard = None;
    }

    async fn opened(&self) {
        // No message is ever sent, so this ends when the channel closes.
        let _closed = self.closed.recv().await;
    }
}

#[derive(Debug)]
struct Shared {
    handler: Arc<dyn Handler>,
    clock: Arc<dyn Clock>,
    limits: Limits,
    handshakes: AtomicUsize,
    /// Opens when the server starts to drain.
    drain: Latch,
    /// Opens when the server drains and no connection is left. Every connection has a guard.
    connections: Latch,
    /// Opens when the server is dropped.
    stop: Latch,
}

/// Accepts connections of peers. Dropping it closes them.
#[derive(Debug)]
pub struct Server {
    shared: Arc<Shared>,
    accept: Task<()>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shared.stop.release();
    }
}

impl Server {
    pub(crate) fn start(
        quic: quinn::Endpoint,
        handler: Arc<dyn Handler>,
        clock: Arc<dyn Clock>,
        limits: &Limits,
    ) -> Self {
        let shared = Arc::new(Shared {
            handler,
            clock,
            limits: limits.clone(),
            handshakes: AtomicUsize::new(0),
            drain: Latch::new(),
            connections: Latch::new(),
            stop: Latch::new(),
        });
        let accept = smol::spawn(accept_connections(quic, Arc::clone(&shared)));
        Self { shared, accept }
    }

    /// Refuses new requests and waits until those in flight are answered.
    ///
    /// Peers receive proof that the refused requests did not run. Drop the server to stop waiting.
    pub async fn drain(&self) {
        self.shared.drain.release();
        self.shared.connections.release();
        self.shared.connections.opened().await;
    }

    /// Returns true if the server has ended, which happens only when its endpoint is closed.
    pub fn is_finished(&self) -> bool {
        self.accept.is_finished()
    }
}

async fn accept_connections(quic: quinn::Endpoint, shared: Arc<Shared>) {
    while let Some(incoming) = quic.accept().await {
        let Some(guard) = shared.connections.acquire() else {
            incoming.refuse();
            continue;
        };
        let must_validate = shared.handshakes.load(Ordering::Relaxed) >= HANDSHAKES_MAX;
        match () {
            () if quic.open_connections() >= shared.limits.connections => incoming.refuse(),
            () if must_validate && incoming.may_retry() => {
                // Fails only for a validated address, which `may_retry` excludes.
                let _validated = incoming.retry();
            }
            () => {
                let shared = Arc::clone(&shared);
                smol::spawn(async move {
                    let from = incoming.remote_address();
                    let stop = async {
                        shared.stop.opened().await;
                        Ok(())
                    };
                    if let Err(reason) = or(stop, serve_connection(&shared, incoming)).await {
                        shared.handler.on_refused(from, &reason);
                    }
                    drop(guard);
                })
                .detach();
            }
        }
    }
}

/// Serves one connection. Fails if the peer is refused.
async fn serve_connection(shared: &Arc<Shared>, incoming: Incoming) -> Result<(), String> {
    shared.handshakes.fetch_add(1, Ordering::Relaxed);
    // The idle timeout does not bound the handshake of a client that keeps sending packets.
    let timeout = async {
        shared.clock.sleep(shared.limits.connect).await;
        Err("no handshake in time".to_owned())
    };
    let handshake = or(complete_handshake(incoming), timeout).await;
    shared.handshakes.fetch_sub(1, Ordering::Relaxed);
    let (conn, peer) = handshake?;
    let from = conn.remote_address();
    let _close = CloseOnDrop(conn.clone());
    let requests = Latch::new();
    let incomplete = Arc::new(AtomicBool::new(false));
    let accept = async {
        while let Ok((send, recv)) = conn.accept_bi().await {
            let mut send = SendGuard::new(send, code::to_varint(code::ABORTED));
            match requests.acquire() {
                Some(held) => {
                    let completion = CompletionGuard {
                        incomplete: Arc::clone(&incomplete),
                        complete: false,
                        _held: held,
                    };
                    let shared = Arc::clone(shared);
                    smol::spawn(serve_request(
                        shared,
                        from,
                        peer.clone(),
                        send,
                        recv,
                        completion,
                    ))
                    .detach();
                }
                None => refuse(&mut send, recv, code::DRAINING),
            }
        }
    };
    let drain = async {
        shared.drain.opened().await;
        requests.release();
        requests.opened().await;
        // If all requests are complete, their answers have been acknowledged, so a request that the
        // peer still waits for was never passed to the handler.
        let code = if incomplete.load(Ordering::Acquire) {
            code::ABORTED
        } else {
            code::DRAINING
        };
        conn.close(code::to_varint(code), b"host is shutting down");
    };
    or(accept, drain).await;
    Ok(())
}

/// Records on drop whether the peer has acknowledged the end of a request. If a request stays
/// incomplete, for example because its handler panicked, the connection is not closed with
/// [`code::DRAINING`], because that code would claim that the request did not run.
struct CompletionGuard {
    incomplete: Arc<AtomicBool>,
    complete: bool,
    _held: Guard<()>,
}

impl Drop for CompletionGuard {
    fn drop(&mut self) {
        if !self.complete {
            self.incomplete.store(true, Ordering::Release);
        }
    }
}

/// Closes the connection when its task is dropped, which also cancels its requests.
struct CloseOnDrop(Connection);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0
            .close(code::to_varint(code::ABORTED), b"server stopped");
    }
}

/// Completes the handshake and sends the greeting, which accepts the peer's certificate.
async fn complete_handshake(incoming: Incoming) -> Result<(Connection, PeerId), String> {
    let connecting = incoming.accept().map_err(log_text)?;
    let conn = connecting.await.map_err(log_text)?;
    let peer = authenticated_peer(&conn).inspect_err(|reason| {
        conn.close(code::to_varint(code::NO_IDENTITY), reason.as_bytes());
    })?;
    let mut greeting = conn.open_uni().await.map_err(log_text)?;
    let written = greeting.write_all(&[GREETING]).await;
    written.map_err(log_text)?;
    // Fails only if the peer has stopped the stream, which does not affect its requests.
    let _closed = greeting.finish();
    Ok((conn, peer))
}

/// Resets both halves of a stream with a code that proves that the request did not run.
fn refuse(send: &mut SendGuard, mut recv: RecvStream, code: u32) {
    // Fails only if the end of the stream has been read.
    let _closed = recv.stop(code::to_varint(code));
    send.reset(code::to_varint(code));
}

/// Result of serving a request.
enum RequestEnd {
    /// The peer cancelled the request or the connection was lost.
    Cancelled,
    /// The request was not passed to the handler.
    Refused(String),
    /// The whole answer has been written.
    Finished,
    /// The answer was aborted by a reset.
    Aborted(SendGuard),
}

/// Serves one request and waits until the peer has acknowledged the end of the stream.
async fn serve_request(
    shared: Arc<Shared>,
    from: SocketAddr,
    peer: PeerId,
    send: SendGuard,
    recv: RecvStream,
    mut completion: CompletionGuard,
) {
    let mut stopped = pin!(send.stream.stopped());
    let cancelled = async {
        let _code = stopped.as_mut().await;
        RequestEnd::Cancelled
    };
    // `or` polls the cancellation first, so that a request that is already cancelled does not
    // start.
    match or(cancelled, answer(&shared, peer, send, recv)).await {
        RequestEnd::Cancelled => {}
        RequestEnd::Refused(reason) => shared.handler.on_refused(from, &reason),
        RequestEnd::Finished => {
            let _code = stopped.await;
        }
        RequestEnd::Aborted(send) => {
            // quinn does not wake a waiter when a reset is acknowledged, but a new future returns
            // the current state.
            while poll_once(send.stream.stopped()).await.is_none() {
                shared.clock.sleep(RESET_POLL_INTERVAL).await;
            }
        }
    }
    completion.complete = true;
}

async fn answer(
    shared: &Shared,
    peer: PeerId,
    mut send: SendGuard,
    mut recv: RecvStream,
) -> RequestEnd {
    let head = async {
        let (kind, head) = read_request(&mut recv).await?;
        if kind == RequestKind::Call {
            read_end(&mut recv).await?;
        }
        Ok((kind, head))
    };
    let timeout = async {
        shared.clock.sleep(shared.limits.head).await;
        Err(FrameError::TimedOut)
    };
    let (kind, head) = match or(head, timeout).await {
        Ok(read) => read,
        Err(e) => {
            refuse(&mut send, recv, e.code());
            return RequestEnd::Refused(e.describe());
        }
    };
    let handler = Arc::clone(&shared.handler);
    let (frame, body) = match kind {
        RequestKind::Call => {
            let answer = handler.call(peer, head).await;
            let Ok(frame) = encode_frame(None, &answer) else {
                send.reset(code::to_varint(code::ABORTED));
                return RequestEnd::Aborted(send);
            };
            (frame, body::empty())
        }
        RequestKind::Forward => match ForwardHead::decode(&head) {
            Ok(head) => {
                let body = Body::new(StreamBody::new(recv, None));
                let (head, body) = handler.forward(peer, head, body).await;
                encode_answer(&head, body)
            }
            Err(e) => {
                refuse(&mut send, recv, code::MALFORMED);
                return RequestEnd::Refused(log_text(e));
            }
        },
    };
    let mut transfer = Transfer::new(send, frame, body, code::to_varint(code::BODY_FAILED));
    match (&mut transfer).await {
        Ok(()) => RequestEnd::Finished,
        Err(TransferError::Source(_)) => RequestEnd::Aborted(transfer.into_guard()),
        Err(TransferError::Stopped | TransferError::Lost) => RequestEnd::Cancelled,
    }
}

/// Encodes the frame of a head, or of a failure if the handler's head violates a limit.
fn encode_answer(head: &AnswerHead, body: Body) -> (Bytes, Body) {
    let framed = head.encode().and_then(|h| encode_frame(None, &h));
    match framed {
        Ok(framed) => (framed, body),
        Err(e) => {
            let reason = format!("answer cannot be sent: {e}");
            let failed = AnswerHead::failed(Outcome::Unknown, reason, head.revision());
            let framed = failed.encode().and_then(|h| encode_frame(None, &h));
            (framed.unwrap_or_default(), body::empty())
        }
    }
}
