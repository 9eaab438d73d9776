//! Bodies of forwarded requests and answers.
//!
//! A body is complete only if it ends without an error. Every way in which a transfer can stop
//! early (reset, lost connection, failing source) yields a [`BodyError`] as the last item, so a
//! reader that collects a body cannot take a cut-off answer for a whole one. Trailers are not
//! carried.

use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full};
use quinn::{ReadError, RecvStream, SendStream, VarInt, WriteError};
use snafu::Snafu;

use crate::error::reason;

/// Body of a forwarded request or of its answer, streamed.
pub type Body = BoxBody<Bytes, BodyError>;

/// Largest piece of a body that is read from a stream at once, in bytes.
const CHUNK_MAX: usize = 64 * 1024;

/// Why a body ended before it was complete.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The sender gave the body up.
    #[snafu(display("body cut off by the sender (code {code})"))]
    Aborted {
        /// Code of the stream reset, see [`crate::code`].
        code: u64,
    },
    /// The connection ended.
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

/// A body without bytes.
pub fn empty() -> Body {
    Empty::new().map_err(|never| match never {}).boxed()
}

/// A body that consists of `bytes`.
pub fn full<B>(bytes: B) -> Body
where
    B: Into<Bytes>,
{
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed()
}

/// A sending half that resets its stream unless it was finished.
///
/// quinn finishes a dropped stream, so that a transfer whose task was cancelled would look
/// complete to the reader.
#[derive(Debug)]
pub(crate) struct Sender {
    pub(crate) stream: SendStream,
    code: VarInt,
    closed: bool,
}

impl Sender {
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
        // Fails only for a stream that is already closed.
        let _closed = self.stream.reset(code);
    }

    fn finish(&mut self) {
        self.closed = true;
        // Fails only for a stream that is already closed, which the reader sees as such.
        let _closed = self.stream.finish();
    }
}

impl Drop for Sender {
    fn drop(&mut self) {
        if !self.closed {
            self.reset(self.code);
        }
    }
}

/// Why a [`Pump`] stopped early.
#[derive(Debug)]
pub(crate) enum PumpError {
    /// The peer does not read any further.
    Stopped,
    /// The connection ended.
    Lost,
    /// The source failed; the stream has been reset.
    Source(BodyError),
}

/// Copies a frame and a body into a stream and finishes it.
#[derive(Debug)]
pub(crate) struct Pump {
    sender: Sender,
    pending: Bytes,
    body: Body,
    cut: VarInt,
    started: bool,
}

impl Pump {
    /// A pump of `first` and then `body`; a failing source resets the stream with `cut`.
    pub(crate) fn new(sender: Sender, first: Bytes, body: Body, cut: VarInt) -> Self {
        Self {
            sender,
            pending: first,
            body,
            cut,
            started: false,
        }
    }

    /// Whether the transport has taken any byte.
    pub(crate) fn started(&self) -> bool {
        self.started
    }

    /// The sending half, for its state after the copy.
    pub(crate) fn into_sender(self) -> Sender {
        self.sender
    }

    fn poll_write(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), PumpError>> {
        while !self.pending.is_empty() {
            let chunks = std::slice::from_mut(&mut self.pending);
            // The future keeps no state between polls, so it can be created for each.
            let write = pin!(self.sender.stream.write_chunks(chunks));
            let written = ready!(write.poll(cx)).map_err(|e| match e {
                WriteError::Stopped(_) | WriteError::ClosedStream | WriteError::ZeroRttRejected => {
                    PumpError::Stopped
                }
                WriteError::ConnectionLost(_) => PumpError::Lost,
            })?;
            self.started |= written.bytes > 0;
        }
        Poll::Ready(Ok(()))
    }
}

impl Future for Pump {
    type Output = Result<(), PumpError>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        loop {
            ready!(self.poll_write(cx))?;
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                Some(Ok(frame)) => self.pending = frame.into_data().unwrap_or_default(),
                Some(Err(e)) => {
                    let cut = self.cut;
                    self.sender.reset(cut);
                    return Poll::Ready(Err(PumpError::Source(e)));
                }
                None => {
                    self.sender.finish();
                    return Poll::Ready(Ok(()));
                }
            }
        }
    }
}

/// Body that is read from a stream until its end.
///
/// Dropping it before the end stops the stream, which the sender notices.
#[derive(Debug)]
pub(crate) struct StreamBody {
    stream: Option<RecvStream>,
    /// Rest of the request body, for the body of an answer that came before the request was sent.
    pump: Option<Pump>,
}

impl StreamBody {
    pub(crate) fn new(stream: RecvStream, pump: Option<Pump>) -> Self {
        Self {
            stream: Some(stream),
            pump,
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
        // A failed pump has reset its stream. The peer decides whether it can still answer.
        if matches!(
            self.pump.as_mut().map(|p| Pin::new(p).poll(cx)),
            Some(Poll::Ready(_))
        ) {
            self.pump = None;
        }
        let this = &mut *self;
        let Some(stream) = &mut this.stream else {
            return Poll::Ready(None);
        };
        let item = match ready!(poll_chunk(stream, cx)) {
            Ok(Some(bytes)) => return Poll::Ready(Some(Ok(Frame::data(bytes)))),
            Ok(None) => None,
            Err(ReadError::Reset(code)) => Some(Err(BodyError::Aborted { code: code.into() })),
            Err(e) => Some(Err(BodyError::Lost { reason: reason(e) })),
        };
        this.stream = None;
        this.pump = None;
        Poll::Ready(item)
    }
}

fn poll_chunk(
    stream: &mut RecvStream,
    cx: &mut Context<'_>,
) -> Poll<Result<Option<Bytes>, ReadError>> {
    // The future keeps no state between polls, so it can be created for each.
    let read = pin!(stream.read_chunk(CHUNK_MAX, true));
    read.poll(cx).map_ok(|chunk| chunk.map(|c| c.bytes))
}
