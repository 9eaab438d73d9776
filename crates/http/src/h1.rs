//! HTTP/1.1 messages over `httparse`, for the path of requests.
//!
//! hyper serves the operators' port and control traffic. It does not fit the path of requests in
//! two places: its server starts a pipelined request only after the answer before it has been
//! written, so the later one waits for work that does not concern it; and its client takes the next
//! answer on a connection for the next request, while an upstream may send an answer twice, the
//! second time late. This module reads heads with hyper's own parser and adds what these two need:
//!
//! - [`ServerConnection`] serves one connection of a caller. It starts idempotent requests while
//!   earlier ones are unanswered, answers in order, and drops the work of a caller that has gone.
//! - [`ClientConnection`] is one connection to an upstream. It skips answers that belong to another
//!   request, and reports for every failure whether a byte of the request had been handed to the
//!   socket.

mod client;
mod encode;
mod framing;
mod head;
mod server;
mod stream;

pub use client::{ClientConnection, ExchangeError, Match, Response, Sent};
pub use encode::{encode_request, encode_response};
pub use framing::{BodyError, Decoded, Decoder, Framing};
pub use head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use server::{Answer, Handler, Limits, RejectReason, Request, ServerConnection, Shutdown};
pub use stream::BufferedStream;
