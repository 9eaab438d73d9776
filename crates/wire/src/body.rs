//! Bodies of forwarded requests and answers.
//!
//! A body is complete only if it ends without an error. A transfer that stops early (stream reset,
//! lost connection, failed source) yields a [`BodyError`] as its last item, so a reader cannot
//! mistake a truncated body for a complete one. Trailers are not transferred.

use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use quinn::{ReadError, RecvStream, SendStream, VarInt, WriteError};
use snafu::Snafu;

use crate::error::log_text;

/// Streamed body of a forwarded request or of its answer.
pub type Body = BoxBody<Bytes, BodyError>;

/// Largest chunk of a body that is read from a stream at once, in bytes.
const CHUNK_MAX: usize = 64 * 1024;

/// Error at the end of an incomplete body.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The sender reset the stream.
    #[snafu(display("body cut off by the sender (code {code})"))]
    Aborted {
        /// Code of the stream reset, see [`crate::code`].
        code: u64,
    },
    /// The connection was lost.
    #[snafu(display("connection lost inside the body: {reason}"))]
    Lost {
        /// Message of the transport.
        reason: String,
    },
    /// The local source of the body failed.
    #[snafu(display("source of the body failed: {reason}"))]
    Source {
        /// Message of the source.
        reason: String,
    },
}

/// Creates an empty body.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// Creates a body that consists of `bytes`.
pub fn full<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// Sending half of a stream that is reset on drop unless it was finished.
///
/// quinn finishes a dropped stream, so without this guard the truncated body of a cancelled task
/// would look complete to the reader.
#[derive(Debug)]
pub(crate) struct SendGuard {
    pub(crate) stream: SendStream,
    code: VarInt,
    closed: bool,
}

impl SendGuard {
    /// Wraps a stream that is reset with `code` if it is dropped unfinished.
    pub(crate) fn new(stream: SendStream, code: VarInt) -> Self {
        Self {
            stream,
            code,
            closed: false,
        }
    }

    /// Resets the stream with `code`.
    pub(crate) fn reset(&mut self, code: VarInt) {
        self.closed = true;
        // Fails only if the stream is already closed.
        let _closed = self.stream.reset(code);
    }

    fn finish(&mut self) {
        self.closed = true;
        // Fails only if the stream is already closed, which the reader observes itself.
        let _closed = self.stream.finish();
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        if !self.closed {
            self.reset(self.code);
        }
    }
}

/// Failure of a [`Transfer`].
#[derive(Debug)]
pub(crate) enum TransferError {
    /// The peer stopped reading the stream.
    Stopped,
    /// The connection was lost.
    Lost,
    /// The body failed; the stream has been reset.
    Source(BodyError),
}

/// Future that writes a frame and a body to a stream and finishes the stream.
#[derive(Debug)]
pub(crate) struct Transfer {
    guard: SendGuard,
    pending: Bytes,
    body: Body,
    failure_code: VarInt,
    started: bool,
}

impl Transfer {
    /// Creates a transfer of `frame` and then `body`. If the body fails, the stream is reset with
    /// `failure_code`.
    pub(crate) fn new(guard: SendGuard, frame: Bytes, body: Body, failure_code: VarInt) -> Self {
        Self {
            guard,
            pending: frame,
            body,
            failure_code,
            started: false,
        }
    }

    /// Returns true if the transport has accepted any byte.
    pub(crate) fn started(&self) -> bool {
        self.started
    }

    /// Returns the sending half, whose state can be awaited after the transfer.
    pub(crate) fn into_guard(self) -> SendGuard {
        self.guard
    }

    fn poll_write(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), TransferError>> {
        while !self.pending.is_empty() {
            let chunks = std::slice::from_mut(&mut self.pending);
            // This future keeps no state between polls, so each poll can create a new one.
            let write = pin!(self.guard.stream.write_chunks(chunks));
            let written = ready!(write.poll(cx)).map_err(|e| match e {
                WriteError::Stopped(_) | WriteError::ClosedStream | WriteError::ZeroRttRejected => {
                    TransferError::Stopped
                }
                WriteError::ConnectionLost(_) => TransferError::Lost,
            })?;
            self.started |= written.bytes > 0;
        }
        Poll::Ready(Ok(()))
    }
}

impl Future for Transfer {
    type Output = Result<(), TransferError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        loop {
            ready!(self.poll_write(cx))?;
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => self.pending = frame.into_data().unwrap_or_default(),
                Some(Err(e)) => {
                    let failure_code = self.failure_code;
                    self.guard.reset(failure_code);
                    return Poll::Ready(Err(TransferError::Source(e)));
                }
                None => {
                    self.guard.finish();
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

/// Body that is read from a stream until the end of the stream.
///
/// Dropping it before the end stops the stream, and the sender is notified.
#[derive(Debug)]
pub(crate) struct StreamBody {
    stream: Option<RecvStream>,
    /// Transfer of the rest of the request, if the answer began before the request was sent.
    transfer: Option<Transfer>,
}

impl StreamBody {
    pub(crate) fn new(stream: RecvStream, transfer: Option<Transfer>) -> Self {
        Self {
            stream: Some(stream),
            transfer,
        }
    }
}

impl HttpBody for StreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        // A failed transfer has reset its stream. The peer may still complete its answer.
        if matches!(
            self.transfer.as_mut().map(|p| Pin::new(p).poll(cx)),
            Some(Poll::Ready(_))
        ) {
            self.transfer = None;
        }
        let this = &mut *self;
        let Some(stream) = &mut this.stream else {
            return Poll::Ready(None);
        };
        let item = match ready!(poll_chunk(stream, cx)) {
            Ok(Some(bytes)) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Ok(None) => None,
            Err(ReadError::Reset(code)) => Some(Err(BodyError::Aborted { code: code.into() })),
            Err(e) => Some(Err(BodyError::Lost {
                reason: log_text(e),
            })),
        };
        this.stream = None;
        this.transfer = None;
        Poll::Ready(item)
    }
}

fn poll_chunk(
    stream: &mut RecvStream,
    cx: &mut Context<'_>,
) -> Poll<Result<Option<Bytes>, ReadError>> {
    // This future keeps no state between polls, so each poll can create a new one.
    let read = pin!(stream.read_chunk(CHUNK_MAX, true));
    read.poll(cx).map_ok(|chunk| chunk.map(|c| c.bytes))
}
