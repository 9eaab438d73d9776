//! Streamed answers of a connection.

use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Buf;
use futures_lite::{AsyncRead, AsyncWrite};
use http::{HeaderMap, StatusCode};

use super::body::{BodyStream, Sending, Step, StreamEnd};
use super::{Event, ServerConnection, Wait};
use crate::h1::encode::encode_response_head;

/// Longest time for which the caller of a streamed answer may read nothing. Meanwhile the rest of
/// the answer fills the memory of an upstream, which cuts the answer off after some seconds.
pub(super) const STREAM_TIMEOUT: Duration = Duration::from_secs(2);

/// Functions that adapt a socket to streamed answers.
#[derive(Debug)]
pub struct StreamHooks<S> {
    /// Called before a streamed answer is sent. It may limit the bytes that the socket buffers.
    pub begin: fn(&S),
    /// Called before a caller is found to read nothing. It lets the next write ask the socket: one
    /// with a large send buffer reports only after a third of it was sent that it is writable,
    /// which can take longer than a caller may pause.
    pub recheck: fn(&S),
}

impl<S> ServerConnection<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Adapts the socket to streamed answers.
    #[must_use]
    pub fn with_hooks(self, hooks: StreamHooks<S>) -> Self {
        let hooks = Some(hooks);
        Self { hooks, ..self }
    }

    /// Begins a streamed answer, whose head becomes the output.
    pub(super) fn begin_stream(
        &mut self,
        stream: Box<dyn BodyStream>,
        status: StatusCode,
        headers: &HeaderMap,
        close: bool,
    ) {
        let sending = Sending::new(stream);
        let head = encode_response_head(status, headers, sending.body_length(), close);
        self.output = head.freeze().into();
        self.sending = Some(sending);
        if let Some(hooks) = &self.hooks {
            (hooks.begin)(self.stream.get_ref());
        }
    }

    /// Takes the next step of the streamed answer, whose earlier bytes have been written.
    pub(super) fn poll_stream(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        let Some(sending) = &mut self.sending else {
            return Poll::Ready(Event::Progress);
        };
        match ready!(sending.poll_step(cx)) {
            Step::Output(bytes) => self.output = bytes.into(),
            Step::Broken => return Poll::Ready(Event::Aborted(StreamEnd::Broken)),
            Step::Sent => {
                self.end_stream(StreamEnd::Sent);
                // The head announced no end if the shutdown began after it.
                self.observe_shutdown();
            }
        }
        Poll::Ready(Event::Progress)
    }

    /// Ends the streamed answer.
    pub(super) fn end_stream(&mut self, end: StreamEnd) {
        if let Some(sending) = self.sending.take() {
            sending.end(end);
        }
    }

    /// Writes once more although the socket has not reported that it is writable.
    pub(super) fn recheck_stream(&mut self, cx: &mut Context<'_>) -> Poll<Event> {
        match self.stream.poll_write(cx, self.output.chunk()) {
            Poll::Ready(Ok(n)) => {
                self.output.advance(n);
                // The timer has elapsed and must not be polled again.
                self.wait = Wait::Answer;
                self.timer = None;
                Poll::Ready(Event::Progress)
            }
            Poll::Ready(Err(_)) => Poll::Ready(Event::Closed),
            Poll::Pending => Poll::Ready(Event::TimedOut(Wait::Stream)),
        }
    }
}
