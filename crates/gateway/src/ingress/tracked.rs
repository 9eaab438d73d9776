//! Requests whose answer is streamed.

use std::task::{Context, Poll};

use trefoil_http::h1::{Answer, Body, BodyStream, Piece, StreamEnd};

use crate::cause::Cause;
use crate::forward::Completion;
use crate::request_log::RequestGuard;

/// Body of a streamed answer that keeps its request open until the caller has the whole answer.
#[derive(Debug)]
struct Tracked {
    stream: Box<dyn BodyStream>,
    request: RequestGuard,
}

/// Records the end of a request, at once or when its streamed answer ends.
pub(super) fn complete_request(end: Completion, request: RequestGuard) -> Answer {
    let mut answer = end.answer;
    match std::mem::take(&mut answer.body) {
        Body::Stream(stream) => answer.body = Body::Stream(Box::new(Tracked { stream, request })),
        body @ Body::Whole(_) => {
            request.complete(answer.status, end.cause);
            answer.body = body;
        }
    }
    answer
}

impl BodyStream for Tracked {
    fn length(&self) -> Option<u64> {
        self.stream.length()
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Piece> {
        self.stream.poll_piece(cx)
    }

    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.stream.poll_expired(cx)
    }

    fn end(self: Box<Self>, end: StreamEnd) {
        let Self { stream, request } = *self;
        stream.end(end);
        match end {
            StreamEnd::Sent => request.answer(),
            StreamEnd::Broken => request.break_off(Cause::ResponseBroken),
            StreamEnd::Stalled => request.break_off(Cause::CallerStalled),
            StreamEnd::Expired => request.break_off(Cause::ResponseLate),
        }
    }
}
