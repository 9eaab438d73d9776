//! Bodies of requests at a dispatcher.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use trefoil_dispatch::Digest;
use trefoil_wire::{Body, BodyError, ForwardHead};
use xxhash_rust::xxh3::Xxh3;

/// Bodies up to this many bytes are read before the request is offered, so that it can be sent
/// again and its digest covers the body.
pub const REPLAY_MAX: usize = 64 * 1024;

/// The body of a request.
#[derive(Debug)]
pub(super) enum Payload {
    /// The whole body, which can be sent again.
    Whole(Bytes),
    /// A body that can be sent once.
    Stream(Option<Body>),
}

impl Payload {
    pub(super) async fn read(head: &ForwardHead, body: Body) -> Result<Self, String> {
        let length = head
            .headers
            .iter()
            .find(|(name, _)| name == "content-length");
        let length = length.and_then(|(_, v)| std::str::from_utf8(v).ok()?.parse::<u64>().ok());
        if length.is_some_and(|n| n > REPLAY_MAX as u64) {
            return Ok(Self::Stream(Some(body)));
        }
        // Without a length only the body tells whether it is small.
        let (mut body, mut first) = (body, BytesMut::new());
        while first.len() <= REPLAY_MAX {
            match body.frame().await {
                None => return Ok(Self::Whole(first.freeze())),
                Some(Err(e)) => return Err(e.to_string()),
                Some(Ok(frame)) => first.extend(frame.into_data()),
            }
        }
        let rest = Resumed {
            first: first.freeze(),
            rest: body,
        };
        Ok(Self::Stream(Some(rest.boxed())))
    }

    /// The digest of a request. Of a body that can be sent once it covers only the length, because
    /// the body is not read before the decision.
    pub(super) fn digest(&self, head: &ForwardHead) -> Digest {
        let mut hash = Xxh3::new();
        for part in [&head.method, &head.path] {
            hash.update(&part.len().to_le_bytes());
            hash.update(part.as_bytes());
        }
        match self {
            Self::Whole(bytes) => hash.update(bytes),
            Self::Stream(_) => {
                let length = head
                    .headers
                    .iter()
                    .find(|(name, _)| name == "content-length");
                hash.update(length.map_or(b"", |(_, v)| v.as_slice()));
            }
        }
        Digest(hash.digest128())
    }
}

/// A body whose beginning has been read.
struct Resumed {
    first: Bytes,
    rest: Body,
}

impl http_body::Body for Resumed {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.first.is_empty() {
            return Pin::new(&mut self.rest).poll_frame(cx);
        }
        let first = std::mem::take(&mut self.first);
        Poll::Ready(Some(Ok(Frame::data(first))))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
