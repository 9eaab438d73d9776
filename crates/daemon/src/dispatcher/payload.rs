//! Request bodies at a dispatcher.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Frame, SizeHint};
use http_body_util::BodyExt;
use trefoil_dispatch::Digest;
use trefoil_wire::{Body, BodyError, ForwardHead};
use xxhash_rust::xxh3::Xxh3;

/// Size in bytes up to which a body is buffered before the request is offered for admission. A
/// buffered request can be retried, and its digest covers the body.
pub const REPLAY_MAX: usize = 64 * 1024;

/// The body of a request.
#[derive(Debug)]
pub(super) enum Payload {
    /// A buffered body, which can be sent more than once.
    Whole(Bytes),
    /// A streamed body, which can be sent once.
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
        // Without a content length, the size is known only after the body was read.
        let (mut body, mut prefix) = (body, BytesMut::new());
        while prefix.len() <= REPLAY_MAX {
            match body.frame().await {
                None => return Ok(Self::Whole(prefix.freeze())),
                Some(Err(e)) => return Err(e.to_string()),
                Some(Ok(frame)) => prefix.extend(frame.into_data()),
            }
        }
        let rest = PrefixedBody {
            prefix: prefix.freeze(),
            rest: body,
        };
        Ok(Self::Stream(Some(rest.boxed())))
    }

    /// Computes the digest of a request. Of a streamed body it covers only the content length,
    /// because the body is not read before admission.
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

/// A body whose first bytes are buffered.
struct PrefixedBody {
    prefix: Bytes,
    rest: Body,
}

impl http_body::Body for PrefixedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.prefix.is_empty() {
            return Pin::new(&mut self.rest).poll_frame(cx);
        }
        let prefix = std::mem::take(&mut self.prefix);
        Poll::Ready(Some(Ok(Frame::data(prefix))))
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
