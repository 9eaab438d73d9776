//! Replaces the answers that hyper gives by itself.
//!
//! hyper answers a request whose head it cannot read with a status and no body. Such a head is
//! recognised by its time alone: bytes that hyper writes while no request is with the service, and
//! after all earlier answers have been flushed, can only be this answer. If earlier answers are
//! still being written, hyper's own answer is left as it is, because its place among the bytes is
//! not known.

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

/// What is under way on a connection.
#[derive(Debug, Default)]
pub(crate) struct Exchange {
    /// Requests whose answer hyper has not encoded to its end.
    open: AtomicUsize,
    /// Whether encoded bytes of an answer may not have been written yet.
    unflushed: AtomicBool,
}

impl Exchange {
    /// Notes that a request has reached the service.
    pub(crate) fn begin(self: &Arc<Self>) -> Guard {
        self.open.fetch_add(1, Ordering::SeqCst);
        Guard(Arc::clone(self))
    }

    fn is_quiet(&self) -> bool {
        self.open.load(Ordering::SeqCst) == 0 && !self.unflushed.load(Ordering::SeqCst)
    }

    fn flushed(&self) {
        if self.open.load(Ordering::SeqCst) == 0 {
            self.unflushed.store(false, Ordering::SeqCst);
        }
    }
}

/// Exists while a request is with the service or its answer is being encoded.
#[derive(Debug)]
pub(crate) struct Guard(Arc<Exchange>);

impl Guard {
    /// Keeps the guard until the body has been encoded.
    pub(crate) fn hold(self, body: Body) -> Body {
        Held { body, _guard: self }.boxed()
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.unflushed.store(true, Ordering::SeqCst);
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

struct Held {
    body: Body,
    _guard: Guard,
}

impl http_body::Body for Held {
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

/// A stream that writes the service's refusal in place of hyper's.
#[derive(Debug)]
pub(crate) struct Refusing {
    stream: TcpStream,
    service: Arc<dyn Service>,
    exchange: Arc<Exchange>,
    refusal: Option<Bytes>,
}

impl Refusing {
    pub(crate) fn new(
        stream: TcpStream,
        service: Arc<dyn Service>,
        exchange: Arc<Exchange>,
    ) -> Self {
        Self {
            stream,
            service,
            exchange,
            refusal: None,
        }
    }

    fn refuse(&mut self, head: &[u8]) -> Option<Bytes> {
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
        // The date is taken over from hyper's head.
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

impl AsyncRead for Refusing {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Refusing {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        if this.refusal.is_none() && this.exchange.is_quiet() {
            this.refusal = this.refuse(buf);
        }
        let Some(refusal) = &mut this.refusal else {
            return Pin::new(&mut this.stream).poll_write(cx, buf);
        };
        // hyper writes its whole head at once, and nothing after it.
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
        self.exchange.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
