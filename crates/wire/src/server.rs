//! Accepting peers and their requests.

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

use crate::body::{self, Body, Pump, PumpError, Sender, StreamBody};
use crate::code;
use crate::codec::{FrameError, Kind, frame, read_end, read_request};
use crate::endpoint::{HANDSHAKES_MAX, Limits};
use crate::error::reason;
use crate::keys::PeerId;
use crate::message::{AnswerHead, ForwardHead};
use crate::peers::Handler;
use crate::pool::{GREETING, identity};

/// Time between two looks at a reset that the peer has to acknowledge.
const RESET_POLL: Duration = Duration::from_millis(20);

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
                        shared.handler.on_refused(from, &reason);
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
    // The idle timeout does not bound the handshake of a client that keeps sending.
    let late = async {
        shared.clock.sleep(shared.limits.connect).await;
        Err("no handshake in time".to_owned())
    };
    let greeted = or(greet(incoming), late).await;
    shared.handshakes.fetch_sub(1, Ordering::Relaxed);
    let (conn, peer) = greeted?;
    let from = conn.remote_address();
    let _close = CloseOnDrop(conn.clone());
    let requests = Signal::new();
    let unproven = Arc::new(AtomicBool::new(false));
    let accept = async {
        while let Ok((send, recv)) = conn.accept_bi().await {
            let mut send = Sender::new(send, code::var(code::ABORTED));
            match requests.hold() {
                Some(held) => {
                    let proof = Proof {
                        unproven: Arc::clone(&unproven),
                        complete: false,
                        _held: held,
                    };
                    let shared = Arc::clone(shared);
                    smol::spawn(request(shared, from, peer.clone(), send, recv, proof)).detach();
                }
                None => refuse(&mut send, recv, code::DRAINING),
            }
        }
    };
    let drain = async {
        shared.drain.given().await;
        requests.release();
        requests.given().await;
        // Without a doubt about any request, those that the peer still waits for were not passed
        // to the handler: the others are answered, and the answers acknowledged.
        let code = if unproven.load(Ordering::Acquire) {
            code::ABORTED
        } else {
            code::DRAINING
        };
        conn.close(code::var(code), b"host is shutting down");
    };
    or(accept, drain).await;
    Ok(())
}

/// Records whether the peer knows the end of a request. Unless it is completed, for example because
/// the handler panicked, the connection does not end with the proof that [`code::DRAINING`] gives.
struct Proof {
    unproven: Arc<AtomicBool>,
    complete: bool,
    _held: Guard<()>,
}

impl Drop for Proof {
    fn drop(&mut self) {
        if !self.complete {
            self.unproven.store(true, Ordering::Release);
        }
    }
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
    let connecting = incoming.accept().map_err(reason)?;
    let conn = connecting.await.map_err(reason)?;
    let peer = identity(&conn).inspect_err(|reason| {
        conn.close(code::var(code::NO_IDENTITY), reason.as_bytes());
    })?;
    let mut greeting = conn.open_uni().await.map_err(reason)?;
    let written = greeting.write_all(&[GREETING]).await;
    written.map_err(reason)?;
    // Fails only for a stream that the peer has stopped, which changes nothing here.
    let _closed = greeting.finish();
    Ok((conn, peer))
}

/// Tells the peer that its request was not passed to the handler.
fn refuse(send: &mut Sender, mut recv: RecvStream, code: u32) {
    // Fails only for a stream whose end has been read.
    let _closed = recv.stop(code::var(code));
    send.reset(code::var(code));
}

/// How a request ended.
enum End {
    /// The peer gave it up or is lost.
    Cancelled,
    /// It was not passed to the handler.
    Refused(String),
    /// The answer has been written to its end.
    Finished,
    /// The answer was cut off by a reset.
    Cut(Sender),
}

/// Answers one request and waits until the peer knows the answer.
async fn request(
    shared: Arc<Shared>,
    from: SocketAddr,
    peer: PeerId,
    send: Sender,
    recv: RecvStream,
    mut proof: Proof,
) {
    let mut stopped = pin!(send.stream.stopped());
    let cancelled = async {
        let _code = stopped.as_mut().await;
        End::Cancelled
    };
    // The cancellation comes first, so that a request that is already cancelled does not start.
    match or(cancelled, answer(&shared, peer, send, recv)).await {
        End::Cancelled => {}
        End::Refused(reason) => shared.handler.on_refused(from, &reason),
        End::Finished => {
            let _code = stopped.await;
        }
        End::Cut(send) => {
            // quinn reports no event for an acknowledged reset, but a new future sees the state.
            while poll_once(send.stream.stopped()).await.is_none() {
                shared.clock.sleep(RESET_POLL).await;
            }
        }
    }
    proof.complete = true;
}

async fn answer(shared: &Shared, peer: PeerId, mut send: Sender, mut recv: RecvStream) -> End {
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
            refuse(&mut send, recv, e.code());
            return End::Refused(e.describe());
        }
    };
    let handler = Arc::clone(&shared.handler);
    let (first, body) = match kind {
        Kind::Call => {
            let answer = handler.call(peer, head).await;
            let Ok(first) = frame(None, &answer) else {
                send.reset(code::var(code::ABORTED));
                return End::Cut(send);
            };
            (first, body::empty())
        }
        Kind::Forward => match ForwardHead::decode(&head) {
            Ok(head) => {
                let body = Body::new(StreamBody::new(recv, None));
                let (head, body) = handler.forward(peer, head, body).await;
                answer_frame(&head, body)
            }
            Err(e) => {
                refuse(&mut send, recv, code::MALFORMED);
                return End::Refused(reason(e));
            }
        },
    };
    let mut pump = Pump::new(send, first, body, code::var(code::BODY_FAILED));
    match (&mut pump).await {
        Ok(()) => End::Finished,
        Err(PumpError::Source(_)) => End::Cut(pump.into_sender()),
        Err(PumpError::Stopped | PumpError::Lost) => End::Cancelled,
    }
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
