//! Upstream that echoes the requests that it receives and misbehaves on request.

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

/// Size of the chunks of a streamed answer, in bytes.
const CHUNK_SIZE: usize = 32 * 1024;

/// Upstream whose behaviour depends on the last path segment:
///
/// | segment | answer |
/// |---|---|
/// | `refuse` | 503 with `Trefoil-Refused: 1` |
/// | `busy` | 503 without it |
/// | `hold` | 200 after [`release`](Self::release) |
/// | `large-N` | N bytes, streamed |
/// | `cut-N` | like `large-N`, but the body fails after half of it |
/// | `drop` | none; the connection fails while the body of the request is read |
/// | others | the received request as text |
#[derive(Debug, Default)]
pub struct Upstream {
    pub requests: Mutex<Vec<(String, HeaderMap)>>,
    /// Number of requests in execution.
    pub active: AtomicUsize,
    /// Number of requests whose connection was closed before their answer.
    pub abandoned: AtomicUsize,
    /// Number of bytes of streamed answers that the server has requested.
    pub streamed: Arc<AtomicUsize>,
    /// Number of bytes of request bodies that were received.
    pub received: AtomicUsize,
    released: AtomicBool,
}

struct ActiveRequest<'a> {
    upstream: &'a Upstream,
    done: bool,
}

impl Drop for ActiveRequest<'_> {
    fn drop(&mut self) {
        self.upstream.active.fetch_sub(1, Ordering::SeqCst);
        if !self.done {
            self.upstream.abandoned.fetch_add(1, Ordering::SeqCst);
        }
    }
}

impl Upstream {
    /// Serves on a port that the system chooses.
    pub async fn serve(self: &Arc<Self>) -> (Server, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let service = Arc::clone(self);
        (Server::serve(listener, Limits::default(), service), address)
    }

    /// Lets the held requests continue.
    pub fn release(&self) {
        self.released.store(true, Ordering::SeqCst);
    }

    /// Holds further requests again.
    pub fn hold(&self) {
        self.released.store(false, Ordering::SeqCst);
    }

    /// Returns the requests whose method and path contain `part`.
    pub fn requests_matching(&self, part: &str) -> Vec<(String, HeaderMap)> {
        let requests = self.requests.lock().expect("no panic");
        requests
            .iter()
            .filter(|(line, _)| line.contains(part))
            .cloned()
            .collect()
    }

    fn streamed_body(&self, size: usize, fail_at: usize) -> Body {
        let streamed = Arc::clone(&self.streamed);
        let body = StreamedBody {
            sent: 0,
            fail_at,
            size,
            streamed,
        };
        body.boxed()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Body> {
        let (parts, mut body) = request.into_parts();
        let path = parts.uri.path().to_owned();
        if path == "/-/health" {
            return Response::new(full("ok\n"));
        }
        self.active.fetch_add(1, Ordering::SeqCst);
        let mut active = ActiveRequest {
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
                return Response::new(self.streamed_body(1, 0));
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
            (_, Some(size), _) => Response::new(self.streamed_body(size, size)),
            (_, _, Some(size)) => Response::new(self.streamed_body(size, size / 2)),
            _ => Response::new(full(describe_request(&line, &parts.headers, received))),
        }
    }
}

/// Body of `size` bytes that fails after `fail_at` bytes.
struct StreamedBody {
    sent: usize,
    fail_at: usize,
    size: usize,
    streamed: Arc<AtomicUsize>,
}

impl http_body::Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.sent >= self.size {
            return Poll::Ready(None);
        }
        if self.sent >= self.fail_at {
            return Poll::Ready(Some(Err("the answer breaks off".into())));
        }
        let piece = CHUNK_SIZE.min(self.fail_at - self.sent);
        self.sent += piece;
        self.streamed.fetch_add(piece, Ordering::SeqCst);
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'x'; piece])))))
    }
}

fn describe_request(line: &str, headers: &HeaderMap, received: usize) -> String {
    // The number of an attempt depends on the attempts before it.
    let shown = headers
        .iter()
        .filter(|(name, _)| *name != "trefoil-attempt");
    let mut lines: Vec<_> = shown
        .map(|(name, value)| format!("{name}: {}", value.to_str().unwrap_or("?")))
        .collect();
    lines.sort();
    format!("{line}\n{}\nreceived {received}\n", lines.join("\n"))
}

impl Service for Upstream {
    fn handle(self: Arc<Self>, _: SocketAddr, request: Request<Incoming>) -> Boxed<Response<Body>> {
        async move {
            let number = request.headers().get("trefoil-attempt").cloned();
            let mut response = self.answer(request).await;
            if let Some(number) = number {
                response.headers_mut().insert("trefoil-attempt", number);
            }
            response
        }
        .boxed()
    }
}
