//! An upstream that shows what it received and misbehaves on request.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use smol::net::TcpListener;
use trefoil_http::{Body, BodyError, Limits, Server, Service, full};

/// Size of the pieces of a streamed answer in bytes.
const PIECE: usize = 32 * 1024;

/// The upstream. The last path segment selects what it does:
///
/// | segment | answer |
/// |---|---|
/// | `refuse` | 503 with `Trefoil-Refused: 1` |
/// | `busy` | 503 without it |
/// | `hold` | 200 after [`release`](Self::release) |
/// | `large-N` | N bytes, streamed |
/// | `cut-N` | as `large-N`, but it breaks off in the middle |
/// | `drop` | none; the connection breaks while the request's body is read |
/// | others | what was received |
#[derive(Debug, Default)]
pub struct Upstream {
    pub requests: Mutex<Vec<(String, HeaderMap)>>,
    /// Requests that are executed now.
    pub active: AtomicUsize,
    /// Requests whose connection was closed before their answer.
    pub abandoned: AtomicUsize,
    /// Bytes of streamed answers that were asked for.
    pub streamed: Arc<AtomicUsize>,
    /// Bytes of requests' bodies that were received.
    pub received: AtomicUsize,
    released: AtomicBool,
}

struct Active<'a> {
    upstream: &'a Upstream,
    done: bool,
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.upstream.active.fetch_sub(1, Ordering::SeqCst);
        if !self.done {
            self.upstream.abandoned.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl Upstream {
    /// Serves on a free port.
    pub async fn serve(self: &Arc<Self>) -> (Server, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let service = Arc::clone(self);
        (Server::serve(listener, Limits::default(), service), address)
    }

    /// Lets the requests that are held go on.
    pub fn release(&self) {
        self.released.store(true, Ordering::SeqCst);
    }

    /// Holds requests again.
    pub fn hold(&self) {
        self.released.store(false, Ordering::SeqCst);
    }

    /// The requests whose path contains `part`.
    pub fn seen(&self, part: &str) -> Vec<(String, HeaderMap)> {
        let requests = self.requests.lock().expect("no panic");
        requests
            .iter()
            .filter(|(line, _)| line.contains(part))
            .cloned()
            .collect()
    }

    fn pieces(&self, size: usize, whole: usize) -> Body {
        let streamed = Arc::clone(&self.streamed);
        let pieces = Pieces {
            sent: 0,
            whole,
            size,
            streamed,
        };
        pieces.boxed()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, mut body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        if path == "/-/health" {
            return Response::new(full("ok\n"));
        }
        self.active.fetch_add(1, Ordering::SeqCst);
        let mut active = Active {
            upstream: self,
            done: false,
        };
        let line = format!("{} {}", parts.method, parts.uri);
        let seen = (line.clone(), parts.headers.clone());
        self.requests.lock().expect("no panic").push(seen);
        let last = path.rsplit('/').next().unwrap_or_default().to_owned();
        let mut received = 0;
        while let Some(Ok(frame)) = body.frame().await {
            let length = frame.data_ref().map_or(0, Bytes::len);
            received += length;
            self.received.fetch_add(length, Ordering::SeqCst);
            if last == "drop" {
                active.done = true;
                return Response::new(self.pieces(1, 0));
            }
        }
        while last == "hold" && !self.released.load(Ordering::SeqCst) {
            smol::Timer::after(Duration::from_millis(2)).await;
        }
        active.done = true;
        let size = |prefix| last.strip_prefix(prefix).and_then(|n| n.parse().ok());
        match (last.as_str(), size("large-"), size("cut-")) {
            ("refuse", ..) => {
                let mut response = Response::new(full("refused\n"));
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                let one = "1".parse().expect("a value");
                response.headers_mut().insert("trefoil-refused", one);
                response
            }
            ("busy", ..) => {
                let mut response = Response::new(full("busy\n"));
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                response
            }
            (_, Some(size), _) => Response::new(self.pieces(size, size)),
            (_, _, Some(size)) => Response::new(self.pieces(size, size / 2)),
            _ => Response::new(full(shown(&line, &parts.headers, received))),
        }
    }
}

/// A body of `size` bytes that breaks off after `whole` bytes.
struct Pieces {
    sent: usize,
    whole: usize,
    size: usize,
    streamed: Arc<AtomicUsize>,
}

impl http_body::Body for Pieces {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.sent >= self.size {
            return Poll::Ready(None);
        }
        if self.sent >= self.whole {
            return Poll::Ready(Some(Err("the answer breaks off".into())));
        }
        let piece = PIECE.min(self.whole - self.sent);
        self.sent += piece;
        self.streamed.fetch_add(piece, Ordering::SeqCst);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'x'; piece])))))
    }
}

fn shown(line: &str, headers: &HeaderMap, received: usize) -> String {
    let mut lines: Vec<_> = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("?")))
        .collect();
    lines.sort();
    format!("{line}\n{}\nreceived {received}\n", lines.join("\n"))
}

impl Service for Upstream {
    fn handle(self: Arc<Self>, _: SocketAddr, request: Request<Incoming>) -> Boxed<Response<Body>> {
        async move { self.answer(request).await }.boxed()
    }
}
