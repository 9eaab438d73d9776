//! HTTP/1.1 connections over `httparse`, for forwarding requests.
//!
//! hyper serves the operators' port and control traffic, but it does not fit the forwarding of
//! requests in two respects. Its server starts a pipelined request only after the previous answer
//! has been written, so a request waits for work that it does not depend on. Its client treats the
//! next answer on a connection as the answer to the next request, while an upstream may send an
//! answer twice, the second time late. This module parses heads with `httparse`, as hyper does, and
//! implements what these two cases require:
//!
//! - [`ServerConnection`] serves one connection of a caller. It starts idempotent requests while
//!   earlier ones are unanswered, answers in the order of the requests, and cancels the requests of
//!   a caller that disconnects.
//! - [`ClientConnection`] is one connection to an upstream. It skips answers that belong to another
//!   request, and reports for every failure whether a byte of the request had been handed to the
//!   socket.

mod client;
mod encode;
mod framing;
mod head;
mod memory;
mod progress;
mod server;
mod stream;

pub use client::{
    BodyReader, COLLECTED_MAX, ClientConnection, ExchangeError, Match, Response, Sent,
};
pub use encode::{EncodedMessage, encode_request, encode_response};
pub use framing::{BodyError, Decoded, Decoder, Framing};
pub(crate) use head::{EARLY_END, ends_early};
pub use head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use memory::{BodyLimit, MemoryShare, NoMemory, Reservation};
pub use progress::Progress;
pub use server::{
    Answer, Body, BodyStream, Handler, Limits, Piece, RejectReason, Request, ServerConnection,
    Shutdown, StreamEnd, StreamHooks,
};
pub use stream::BufferedStream;
