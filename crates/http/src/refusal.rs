//! Replaces the answers that hyper sends without calling the service.
//!
//! If hyper cannot parse the head of a request, it answers with a status and no body, and offers no
//! hook for this. [`RefusalStream`] detects such an answer from the state of the connection: bytes
//! that hyper writes while the service handles no request, and after all earlier answers have been
//! flushed, can only be this answer. While earlier answers are still being written, hyper's answer
//! is left unchanged, because its position in the output is unknown.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::{Buf, Bytes, BytesMut};
use futures_lite::{AsyncRead, AsyncWrite};
use http::StatusCode;
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use smol::net::TcpStream;

use crate::{Body, BodyError, Service};

/// Progress of the requests on a connection.
#[derive(Debug, Default)]
pub(crate) struct ExchangeState {
    /// Number of requests whose answer hyper has not encoded completely.
    open: AtomicUsize,
    /// True while encoded bytes of an answer may not have been written to the socket.
    unflushed: AtomicBool,
}

impl ExchangeState {
    /// Counts a request that is passed to the service, until the guard is dropped.
    pub(crate) fn begin(self: &Arc<Self>) -> ExchangeGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        ExchangeGuard(Arc::clone(self))
    }

    fn is_idle(&self) -> bool {
        self.open.load(Ordering::SeqCst) == 0 && !self.unflushed.load(Ordering::SeqCst)
    }

    fn mark_flushed(&self) {
        if self.open.load(Ordering::SeqCst) == 0 {
            self.unflushed.store(false, Ordering::SeqCst);
        }
    }
}

/// Lives while the service handles a request or hyper encodes its answer.
#[derive(Debug)]
pub(crate) struct ExchangeGuard(Arc<ExchangeState>);

impl ExchangeGuard {
    /// Wraps a body so that the guard is dropped once the body has been encoded.
    pub(crate) fn attach(self, body: Body) -> Body {
        GuardedBody { body, _guard: self }.boxed()
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.unflushed.store(true, Ordering::SeqCst);
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

struct GuardedBody {
    body: Body,
    _guard: ExchangeGuard,
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Stream that replaces hyper's own refusals with those of the service.
#[derive(Debug)]
pub(crate) struct RefusalStream {
    stream: TcpStream,
    service: Arc<dyn Service>,
    state: Arc<ExchangeState>,
    refusal: Option<Bytes>,
}

impl RefusalStream {
    pub(crate) fn new(
        stream: TcpStream,
        service: Arc<dyn Service>,
        state: Arc<ExchangeState>,
    ) -> Self {
        Self {
            stream,
            service,
            state,
            refusal: None,
        }
    }

    fn encode_refusal(&mut self, head: &[u8]) -> Option<Bytes> {
        let status = head.strip_prefix(b"HTTP/1.1 ")?.get(..3)?;
        let status = StatusCode::from_bytes(status).ok()?;
        let answer = self.service.refusal(status);
        let mut bytes = BytesMut::new();
        let line = format!("HTTP/1.1 {}\r\n", answer.status());
        bytes.extend_from_slice(line.as_bytes());
        for (name, value) in answer.headers() {
            bytes.extend_from_slice(name.as_str().as_bytes());
            bytes.extend_from_slice(b": ");
            bytes.extend_from_slice(value.as_bytes());
            bytes.extend_from_slice(b"\r\n");
        }
        // Copies the date field that hyper has set.
        let lines = head.split_inclusive(|b| *b == b'\n');
        for line in lines.filter(|l| l.starts_with(b"date: ")) {
            bytes.extend_from_slice(line);
        }
        let end = format!(
            "connection: close\r\ncontent-length: {}\r\n\r\n",
            answer.body().len()
        );
        bytes.extend_from_slice(end.as_bytes());
        bytes.extend_from_slice(answer.body());
        Some(bytes.freeze())
    }
}

impl AsyncRead for RefusalStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for RefusalStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.refusal.is_none() && this.state.is_idle() {
            this.refusal = this.encode_refusal(buf);
        }
        let Some(refusal) = &mut this.refusal else {
            return Pin::new(&mut this.stream).poll_write(cx, buf);
        };
        // hyper writes the whole head of its answer in one call, and nothing after it.
        while refusal.has_remaining() {
            let n = ready!(Pin::new(&mut this.stream).poll_write(cx, refusal))?;
            if n == 0 {
                return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
            }
            refusal.advance(n);
        }
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.state.mark_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
