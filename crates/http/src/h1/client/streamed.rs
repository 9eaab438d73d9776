//! Answers whose body is read piece by piece.
//!
//! The exchange ends at the head of the answer or shortly after it; the body is then read with
//! [`ClientConnection::poll_body`] as fast as its reader takes it. Nothing is read from the socket
//! until the previous piece was taken, so a slow reader slows the upstream down.

use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use futures_lite::{AsyncRead, AsyncWrite};
use http::Method;

use super::{
    BodyLimit, ClientConnection, Decoded, Decoder, EXTRA_MAX, EncodedMessage, Exchange,
    ExchangeError, Match, READS_MAX, Response, ResponseHead,
};
use crate::h1::stream::READ_SIZE;

/// Largest body that is collected before the answer is returned, in bytes. An answer that breaks
/// off before its first byte was passed on can be requested again, and a body of this size arrives
/// within a few round trips.
pub const COLLECTED_MAX: usize = 32 * 1024;

/// Size from which a piece is returned although more input is at hand, in bytes.
const PIECE_SIZE: usize = READ_SIZE;

/// Rest of a body that is being read.
#[derive(Debug)]
pub struct BodyReader {
    decoder: Decoder,
    /// Bytes received since the head, and those of them that were part of the body.
    received: usize,
    delivered: usize,
    /// The connection can carry another request after the body.
    keeps_connection: bool,
}

impl BodyReader {
    /// Returns the number of bytes that are still to be read, if it is known.
    pub fn remaining(&self) -> Option<u64> {
        self.decoder.remaining()
    }
}

impl Exchange<'_> {
    /// Returns true if the answer is to be returned with the part of its body that has arrived.
    /// `waiting` states that no further input is at hand.
    pub(super) fn is_begun(&self, waiting: bool) -> bool {
        if !self.streamed || !self.is_own() {
            return false;
        }
        let size = self.body.len();
        let most = u64::try_from(COLLECTED_MAX.saturating_sub(size)).unwrap_or_default();
        let fits = |rest| rest <= most;
        let is_short = self.decoder.remaining().is_some_and(fits);
        !is_short && (waiting || size + READ_SIZE > COLLECTED_MAX)
    }
}

impl<S> ClientConnection<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Sends an encoded request as [`exchange`](Self::exchange) does, but returns the answer once
    /// its head has arrived. Its body is then the first part only, and the rest is read with
    /// [`poll_body`](Self::poll_body). A body that is declared to have at most [`COLLECTED_MAX`]
    /// bytes, or that arrives together with the head, is returned whole, without a reader.
    ///
    /// # Errors
    ///
    /// Fails as [`exchange`](Self::exchange) does.
    pub async fn exchange_streamed<F>(
        &mut self,
        method: &Method,
        request: EncodedMessage,
        limit: &BodyLimit,
        classify: F,
    ) -> Result<(Response, Option<BodyReader>), ExchangeError>
    where
        F: Fn(&ResponseHead) -> Match,
    {
        let mut exchange = Exchange::new(method, request, limit);
        exchange.streamed = true;
        let response = self.run_exchange(&mut exchange, classify).await?;
        if exchange.is_complete {
            return Ok((response, None));
        }
        let reader = BodyReader {
            decoder: exchange.decoder,
            received: 0,
            delivered: 0,
            keeps_connection: self.keeps_connection,
        };
        Ok((response, Some(reader)))
    }

    /// Reads the next piece of a body, which has at most two times the size of a read. Returns
    /// `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the body is truncated or invalid, or if the connection fails. The
    /// connection must then be dropped.
    pub fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        body: &mut BodyReader,
    ) -> Poll<Result<Option<Bytes>, String>> {
        for _ in 0..READS_MAX {
            match self.decode_piece(body) {
                Err(reason) => return Poll::Ready(Err(reason)),
                Ok(Decoded::Data(piece)) => return Poll::Ready(Ok(Some(piece))),
                Ok(Decoded::End) => return Poll::Ready(Ok(None)),
                Ok(Decoded::Incomplete) => {}
            }
            match self.stream.poll_fill(cx) {
                Poll::Pending => {
                    self.stream.release_buffer();
                    return Poll::Pending;
                }
                Poll::Ready(Err(e)) => return Poll::Ready(Err(e.to_string())),
                Poll::Ready(Ok(count)) => {
                    body.received += count;
                    self.progress.add(count);
                }
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    /// Decodes the input up to the size of a piece.
    fn decode_piece(&mut self, body: &mut BodyReader) -> Result<Decoded, String> {
        if body.received.saturating_sub(body.delivered) > EXTRA_MAX {
            return Err("the upstream sends bytes that are no answer".to_owned());
        }
        let closed = self.stream.is_closed();
        let mut piece = BytesMut::new();
        while piece.len() < PIECE_SIZE {
            let step = body.decoder.decode(&mut self.stream.input, closed);
            match step.map_err(|e| e.to_string())? {
                // The copy frees the input's buffer, which is as large as the largest input was.
                Decoded::Data(data) => piece.extend_from_slice(&data),
                Decoded::End if piece.is_empty() => {
                    self.stream.release_buffer();
                    self.reusable = body.keeps_connection && self.is_drained();
                    return Ok(Decoded::End);
                }
                Decoded::Incomplete | Decoded::End => break,
            }
        }
        body.delivered += piece.len();
        if piece.is_empty() {
            return Ok(Decoded::Incomplete);
        }
        Ok(Decoded::Data(piece.freeze()))
    }
}
