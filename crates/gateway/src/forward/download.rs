//! Answers that are passed on while they arrive.
//!
//! A [`Download`] is the body of such an answer. It holds all that lasts until the caller has the
//! whole answer: the connection to the upstream, its slot and the memory for the body. Dropping it
//! closes the connection and frees the rest.

use std::fmt::{self, Debug};
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, HeaderValue};
use trefoil_balance::Outcome;
use trefoil_core::clock::Sleep;
use trefoil_core::{ServiceName, Tick};
use trefoil_directory::Registration;
use trefoil_http::h1::{
    Answer, Body, BodyReader, BodyStream, COLLECTED_MAX, Piece, Reservation, ResponseHead,
    StreamEnd,
};
use trefoil_route::Delivery;

use super::attempt::LoadGuard;
use super::{Completion, Job, Progress, failed};
use crate::cause::Cause;
use crate::host::Host;
use crate::pool::{Traffic, UpstreamLink};
use crate::request_log::{self, BrokenStream};

/// Most bytes of a body that are in memory. An upstream keeps what does not fit.
const BUFFER_MAX: usize = 64 * 1024;

/// Memory for one read and the piece that is being written. The first part of the body has memory
/// of its own, of [`COLLECTED_MAX`] bytes at most.
const STREAM_MEMORY: usize = BUFFER_MAX - COLLECTED_MAX;

/// Returns true if the answer is passed on while it arrives. For callers of HTTP/1.0 it is
/// collected: the body might have to end with their connection, and a body that breaks off would
/// look complete.
pub(super) fn is_streamed(job: &Job) -> bool {
    job.route.delivery == Delivery::Streamed && job.request.head.minor > 0
}

/// Takes memory for the body of a streamed answer. Returns false if there is too little.
pub(super) fn hold_memory(host: &Host, job: &Job, progress: &mut Progress) -> bool {
    if !is_streamed(job) || progress.stream_memory.size() > 0 {
        return true;
    }
    progress.stream_memory = host.memory.answers.reservation();
    progress.stream_memory.resize(STREAM_MEMORY).is_ok()
}

/// An answer of which a part has arrived.
pub(super) struct Source<'a> {
    pub(super) target: &'a Registration,
    pub(super) link: UpstreamLink,
    pub(super) rest: BodyReader,
    pub(super) load: LoadGuard,
    /// What the whole answer says about the upstream.
    pub(super) outcome: Outcome,
    pub(super) memory: Reservation,
}

/// Body of an answer that is passed on while it arrives.
pub(super) struct Download {
    host: Rc<Host>,
    service: ServiceName,
    id: Option<HeaderValue>,
    upstream: Registration,
    /// Connection and load of the upstream until the body has arrived or failed.
    link: Option<UpstreamLink>,
    load: Option<LoadGuard>,
    outcome: Outcome,
    /// The upstream had enough time for the whole answer.
    had_time: bool,
    rest: BodyReader,
    /// The part that arrived with the head.
    first: Bytes,
    length: Option<u64>,
    _memory: Reservation,
    deadline: Sleep,
    started: Tick,
    /// When the caller began to take the current piece.
    taken: Option<Tick>,
    /// Bytes taken from the upstream.
    size: u64,
    failure: String,
    has_ended: bool,
}

impl Debug for Download {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Download")
            .field("id", &self.id)
            .field("size", &self.size)
            .field("length", &self.length)
            .finish_non_exhaustive()
    }
}

impl Download {
    pub(super) fn new(host: &Rc<Host>, job: &Job, first: Bytes, source: Source<'_>) -> Self {
        host.metrics.streams.open.inc();
        let first_size = u64::try_from(first.len()).unwrap_or(u64::MAX);
        let rest = source.rest.remaining();
        Self {
            host: Rc::clone(host),
            service: job.service.clone(),
            id: job.id.clone(),
            upstream: source.target.clone(),
            link: Some(source.link),
            had_time: failed::had_time(job, source.load.started()),
            load: Some(source.load),
            outcome: source.outcome,
            rest: source.rest,
            first,
            length: rest.map(|rest| rest.saturating_add(first_size)),
            _memory: source.memory,
            deadline: host.clock.sleep_until(job.deadline),
            started: host.now(),
            taken: None,
            size: 0,
            failure: String::new(),
            has_ended: false,
        }
    }

    pub(super) fn into_completion(self: Box<Self>, head: ResponseHead) -> Completion {
        let mut headers = head.headers;
        headers.remove(CONTENT_LENGTH);
        Completion {
            answer: Answer {
                status: head.status,
                headers,
                body: Body::Stream(self),
            },
            cause: Cause::Answered,
        }
    }

    /// Ends the use of the upstream.
    fn release_upstream(&mut self, outcome: Outcome) -> Option<UpstreamLink> {
        if let Some(mut load) = self.load.take() {
            load.outcome = outcome;
        }
        self.link.take()
    }

    fn record_piece(&mut self, piece: Bytes) -> Piece {
        let size = u64::try_from(piece.len()).unwrap_or(u64::MAX);
        self.size += size;
        self.host.metrics.streams.bytes.inc_by(size);
        self.taken = Some(self.host.now());
        Piece::Data(piece)
    }

    /// The time for which the caller took the last piece is not that of the upstream.
    fn record_pause(&mut self) {
        if let Some(taken) = self.taken.take()
            && let Some(load) = &mut self.load
        {
            load.blocked += self.host.now().since(taken);
        }
    }

    fn record_end(&mut self, result: &'static str) {
        self.has_ended = true;
        self.host.metrics.streams.open.dec();
        self.host.metrics.streams.record_end(&self.service, result);
    }

    fn break_off(&mut self, result: &'static str, cause: Cause) {
        self.record_end(result);
        request_log::log_broken_stream(
            &self.host,
            &BrokenStream {
                id: self.id.as_ref(),
                service: &self.service,
                upstream: self.upstream.incarnation.name.as_str(),
                cause,
                reason: &self.failure,
                size: self.size,
                length: self.length,
                started: self.started,
            },
        );
    }
}

impl BodyStream for Download {
    fn length(&self) -> Option<u64> {
        self.length
    }

    fn poll_piece(&mut self, cx: &mut Context<'_>) -> Poll<Piece> {
        self.record_pause();
        if !self.first.is_empty() {
            let first = std::mem::take(&mut self.first);
            return Poll::Ready(self.record_piece(first));
        }
        let Some(link) = &mut self.link else {
            return Poll::Ready(Piece::Broken);
        };
        match link.poll_body(cx, &mut self.rest) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Ok(Some(piece))) => Poll::Ready(self.record_piece(piece)),
            Poll::Ready(Ok(None)) => {
                let id = self.load.as_ref().map(LoadGuard::id);
                let link = self.release_upstream(self.outcome);
                if let (Some(id), Some(link)) = (id, link) {
                    let from = (self.upstream.address, Traffic::Requests);
                    self.host.keep_link(self.host.now(), id, from, link);
                }
                Poll::Ready(Piece::End)
            }
            Poll::Ready(Err(reason)) => {
                self.failure = reason;
                self.release_upstream(Outcome::Failed);
                Poll::Ready(Piece::Broken)
            }
        }
    }

    fn poll_expired(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.deadline.as_mut().poll(cx)
    }

    fn end(mut self: Box<Self>, end: StreamEnd) {
        match end {
            StreamEnd::Sent => self.record_end("sent"),
            StreamEnd::Broken => self.break_off("upstream", Cause::ResponseBroken),
            StreamEnd::Stalled => self.break_off("caller stalled", Cause::CallerStalled),
            StreamEnd::Expired => {
                // Without a piece at the caller, the upstream is what the stream waits for.
                if self.taken.is_none() && self.had_time {
                    self.release_upstream(Outcome::Failed);
                }
                self.break_off("late", Cause::ResponseLate);
            }
        }
    }
}

impl Drop for Download {
    fn drop(&mut self) {
        if !self.has_ended {
            self.record_end("caller gone");
        }
    }
}
