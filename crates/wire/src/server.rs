//! Accepting peers and their requests.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use futures_lite::future::or;
use quinn::{Connection, Incoming, RecvStream, SendStream};
use smol::Task;
use smol::channel::{self, Receiver, Sender as Guard};
use trefoil_core::{Clock, Outcome};

use crate::body::{self, Body, Pump, Sender, StreamBody};
use crate::code;
use crate::codec::{FrameError, Kind, frame, read_end, read_request};
use crate::endpoint::{HANDSHAKES_MAX, Limits};
use crate::keys::PeerId;
use crate::message::{AnswerHead, ForwardHead};
use crate::peers::Handler;
use crate::pool::{GREETING, identity};

/// A signal that is given by dropping every clone of its guard.
#[derive(Debug)]
struct Signal {
    guard: Mutex<Option<Guard<()>>>,
    wait: Receiver<()>,
}

impl Signal {
    fn new() -> Self {
        let (guard, wait) = channel::bounded(1);
        Self {
            guard: Mutex::new(Some(guard)),
            wait,
        }
    }

    /// A guard that holds the signal back, unless it has been released.
    fn hold(&self) -> Option<Guard<()>> {
        let guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        guard.clone()
    }

    /// Drops the signal's own guard. The signal is given once all others are dropped too.
    fn release(&self) {
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        *guard = None;
    }

    async fn given(&self) {
        // Nothing is ever sent, so this ends when the channel closes.
        let _closed = self.wait.recv().await;
    }
}

#[derive(Debug)]
struct Shared {
    handler: Arc<dyn Handler>,
    clock: Arc<dyn Clock>,
    limits: Limits,
    handshakes: AtomicUsize,
    /// Given when the server starts to drain.
    drain: Signal,
    /// Held by every connection.
    live: Signal,
    /// Given when the server is dropped.
    stop: Signal,
}

/// Accepts peers. Dropping it closes their connections.
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
            drain: Signal::new(),
            live: Signal::new(),
            stop: Signal::new(),
        });
        let accept = smol::spawn(accept(quic, Arc::clone(&shared)));
        Self { shared, accept }
    }

    /// Refuses new requests and waits until those in flight are answered.
    ///
    /// Peers learn that the refused requests did not run. Drop the server to end the wait early.
    pub async fn drain(&self) {
        self.shared.drain.release();
        self.shared.live.release();
        self.shared.live.given().await;
    }

    /// Whether the server has ended, which it does only when its endpoint is closed.
    pub fn is_finished(&self) -> bool {
        self.accept.is_finished()
    }
}

async fn accept(quic: quinn::Endpoint, shared: Arc<Shared>) {
    while let Some(incoming) = quic.accept().await {
        let Some(live) = shared.live.hold() else {
            incoming.refuse();
            continue;
        };
        let crowded = shared.handshakes.load(Ordering::Relaxed) >= HANDSHAKES_MAX;
        match () {
            () if quic.open_connections() >= shared.limits.connections => incoming.refuse(),
            () if crowded && incoming.may_retry() => {
                // Fails only for a validated address, which the guard excludes.
                let _validated = incoming.retry();
            }
            () => {
                let shared = Arc::clone(&shared);
                smol::spawn(async move {
                    let from = incoming.remote_address();
                    let stopped = async {
                        shared.stop.given().await;
                        Ok(())
                    };
                    if let Err(reason) = or(stopped, connection(&shared, incoming)).await {
                        shared.handler.refused(from, &reason);
                    }
                    drop(live);
                })
                .detach();
            }
        }
    }
}

/// Serves one connection. Fails if the peer is refused.
async fn connection(shared: &Arc<Shared>, incoming: Incoming) -> Result<(), String> {
    shared.handshakes.fetch_add(1, Ordering::Relaxed);
    let greeted = greet(incoming).await;
    shared.handshakes.fetch_sub(1, Ordering::Relaxed);
    let (conn, peer) = greeted?;
    let from = conn.remote_address();
    let _close = CloseOnDrop(conn.clone());
    let requests = Signal::new();
    let accept = async {
        while let Ok((send, recv)) = conn.accept_bi().await {
            match requests.hold() {
                Some(held) => {
                    let shared = Arc::clone(shared);
                    let request = request(shared, from, peer.clone(), send, recv);
                    smol::spawn(async move {
                        request.await;
                        drop(held);
                    })
                    .detach();
                }
                None => refuse(
                    Sender::new(send, code::var(code::DRAINING)),
                    recv,
                    code::DRAINING,
                ),
            }
        }
    };
    let drain = async {
        shared.drain.given().await;
        requests.release();
        requests.given().await;
        // Every request that the peer still waits for was not passed to the handler: those that
        // were are answered, and the answers acknowledged.
        conn.close(code::var(code::DRAINING), b"host is shutting down");
    };
    or(accept, drain).await;
    Ok(())
}

/// Closes the connection when its task is dropped, which also ends its requests.
struct CloseOnDrop(Connection);

impl Drop for CloseOnDrop {
    fn drop(&mut self) {
        self.0.close(code::var(code::ABORTED), b"server stopped");
    }
}

/// Completes the handshake and tells the peer that its certificate is accepted.
async fn greet(incoming: Incoming) -> Result<(Connection, PeerId), String> {
    let connecting = incoming.accept().map_err(|e| e.to_string())?;
    let conn = connecting.await.map_err(|e| e.to_string())?;
    let peer = identity(&conn).inspect_err(|reason| {
        conn.close(code::var(code::NO_IDENTITY), reason.as_bytes());
    })?;
    let mut greeting = conn.open_uni().await.map_err(|e| e.to_string())?;
    let written = greeting.write_all(&[GREETING]).await;
    written.map_err(|e| e.to_string())?;
    // Fails only for a stream that the peer has stopped, which changes nothing here.
    let _closed = greeting.finish();
    Ok((conn, peer))
}

/// Tells the peer that its request was not passed to the handler.
fn refuse(send: Sender, mut recv: RecvStream, code: u32) {
    // Fails only for a stream whose end has been read.
    let _closed = recv.stop(code::var(code));
    send.reset(code::var(code));
}

/// Answers one request and waits until the peer has the answer.
async fn request(
    shared: Arc<Shared>,
    from: SocketAddr,
    peer: PeerId,
    send: SendStream,
    recv: RecvStream,
) {
    let mut stopped = pin!(send.stopped());
    let cancelled = async {
        let _code = stopped.as_mut().await;
        false
    };
    let send = Sender::new(send, code::var(code::ABORTED));
    let answer = async {
        if let Err(reason) = answer(&shared, peer, send, recv).await {
            shared.handler.refused(from, &reason);
        }
        true
    };
    // The cancellation comes first, so that a request that is already cancelled does not start.
    if or(cancelled, answer).await {
        let _code = stopped.await;
    }
}

async fn answer(
    shared: &Shared,
    peer: PeerId,
    send: Sender,
    mut recv: RecvStream,
) -> Result<(), String> {
    let head = async {
        let (kind, head) = read_request(&mut recv).await?;
        if kind == Kind::Call {
            read_end(&mut recv).await?;
        }
        Ok((kind, head))
    };
    let late = async {
        shared.clock.sleep(shared.limits.head).await;
        Err(FrameError::Late)
    };
    let (kind, head) = match or(head, late).await {
        Ok(read) => read,
        Err(e) => {
            refuse(send, recv, e.code());
            return Err(e.describe());
        }
    };
    let handler = Arc::clone(&shared.handler);
    let (first, body) = match kind {
        Kind::Call => {
            let answer = handler.call(peer, head).await;
            (
                frame(None, &answer).map_err(|e| e.to_string())?,
                body::empty(),
            )
        }
        Kind::Forward => match ForwardHead::decode(&head) {
            Ok(head) => {
                let body = Body::new(StreamBody::new(recv, None));
                let (head, body) = handler.forward(peer, head, body).await;
                answer_frame(&head, body)
            }
            Err(e) => {
                refuse(send, recv, code::MALFORMED);
                return Err(e.to_string());
            }
        },
    };
    // A peer that stops reading or a lost connection has ended the request already.
    let _done = Pump::new(send, first, body, code::var(code::CUT)).await;
    Ok(())
}

/// The frame of a head, or of a failure if the handler's head breaks a limit.
fn answer_frame(head: &AnswerHead, body: Body) -> (Bytes, Body) {
    let framed = head.encode().and_then(|h| frame(None, &h));
    match framed {
        Ok(framed) => (framed, body),
        Err(e) => {
            let reason = format!("answer cannot be sent: {e}");
            let failed = AnswerHead::failed(Outcome::Unknown, reason, head.revision());
            let framed = failed.encode().and_then(|h| frame(None, &h));
            (framed.unwrap_or_default(), body::empty())
        }
    }
}
