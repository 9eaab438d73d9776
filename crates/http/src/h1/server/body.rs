//! Bodies of answers, and the sending of those that are streamed.
//!
//! The next piece of a stream is taken only when the previous one has been handed to the socket, so
//! a caller that reads slowly slows its source down, and at most one piece is kept here. A stream
//! that breaks off ends the connection without the bytes that would complete the answer: the
//! caller misses bytes of the declared length, or the last chunk.

use std::fmt::Debug;
use std::task::{Context, Poll, ready};

use bytes::{BufMut, Bytes, BytesMut};

use super::super::encode::BodyLength;

/// Body of an answer.
#[derive(Debug)]
pub enum Body {
    /// The whole body.
    Whole(Bytes),
    /// A body that is sent while it arrives.
    Stream(Box<dyn BodyStream>),
}

impl Default for Body {
    fn default() -> Self {
        Self::Whole(Bytes::new())
    }
}

impl<B> From<B> for Body
where
    B: Into<Bytes>,
{
    fn from(bytes: B) -> Self {
        Self::Whole(bytes.into())
    }
}

/// Part of a streamed body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Piece {
    /// The next bytes, at least one.
    Data(Bytes),
    /// The body is complete.
    End,
    /// The body cannot be completed.
    Broken,
}

/// End of the sending of a streamed body. If the caller closes its connection, the stream is
/// dropped instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole answer was handed to the socket.
    Sent,
    /// The source broke off, or its bytes do not fit the declared length.
    Broken,
    /// The caller did not read.
    Stalled,
    /// The time of the answer is over.
    Expired,
}

/// Source of a streamed body.
pub trait BodyStream: Debug {
    /// Returns the length of the body in bytes if it is known. It does not change.
    fn length(&self) -> Option<u64>;

    /// Returns the next piece. It is not called again after the last one.
    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Piece>;

    /// Completes when the time of the answer is over. It is called while a piece waits for the
    /// caller as well.
    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()>;

    /// Ends the stream.
    fn end(self: Box<Self>, end: StreamEnd);
}

/// Next step of sending a streamed body.
pub(super) enum Step {
    /// Bytes to be sent.
    Output(Bytes),
    /// Everything was sent.
    Sent,
    /// The answer cannot be completed.
    Broken,
}

/// A streamed body that is being sent.
#[derive(Debug)]
pub(super) struct Sending {
    stream: Box<dyn BodyStream>,
    /// Bytes that are left of the declared length; `None` if the body is chunked.
    left: Option<u64>,
    /// The last bytes were returned.
    ended: bool,
    /// Bytes were handed to the socket since the timer was set.
    pub(super) progressed: bool,
}

impl Sending {
    pub(super) fn new(stream: Box<dyn BodyStream>) -> Self {
        Self {
            left: stream.length(),
            stream,
            ended: false,
            progressed: true,
        }
    }

    /// The declaration of the length in the head.
    pub(super) fn body_length(&self) -> BodyLength {
        self.left.map_or(BodyLength::Chunked, BodyLength::Length)
    }

    /// Returns the next step. All bytes returned before must have been sent.
    pub(super) fn poll_step(&mut self, cx: &mut Context<'_>) -> Poll<Step> {
        if self.ended {
            return Poll::Ready(Step::Sent);
        }
        let step = match (ready!(self.stream.poll_piece(cx)), &mut self.left) {
            (Piece::Data(bytes), None) => Step::Output(encode_chunk(&bytes)),
            (Piece::Data(bytes), Some(left)) => {
                let size = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
                match left.checked_sub(size) {
                    Some(rest) => *left = rest,
                    None => return Poll::Ready(Step::Broken),
                }
                Step::Output(bytes)
            }
            (Piece::End, None) => {
                self.ended = true;
                Step::Output(Bytes::from_static(b"0\r\n\r\n"))
            }
            (Piece::End, Some(0)) => Step::Sent,
            (Piece::End | Piece::Broken, _) => Step::Broken,
        };
        Poll::Ready(step)
    }

    pub(super) fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.stream.poll_expired(cx)
    }

    pub(super) fn end(self, end: StreamEnd) {
        self.stream.end(end);
    }
}

fn encode_chunk(bytes: &Bytes) -> Bytes {
    let size = format!("{:x}\r\n", bytes.len());
    let mut chunk = BytesMut::with_capacity(size.len() + bytes.len() + 2);
    chunk.put_slice(size.as_bytes());
    chunk.put_slice(bytes);
    chunk.put_slice(b"\r\n");
    chunk.freeze()
}
