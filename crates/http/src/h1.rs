//! HTTP/1.1 messages over `httparse`, for the path of requests.
//!
//! hyper serves the operators' port and control traffic. It does not fit the path of requests in
//! two places: its server starts a pipelined request only after the answer before it has been
//! written, so the later one waits for work that does not concern it; and its client takes the next
//! answer on a connection for the next request, while an upstream may send an answer twice, the
//! second time late. This module reads heads with hyper's own parser and adds what these two need:
//!
//! - [`Front`] serves one connection of a caller. It starts idempotent requests while earlier ones
//!   are unanswered, answers in order, and drops the work of a caller that has gone.
//! - [`Link`] is one connection to an upstream. It skips answers that belong to another request,
//!   and reports for every failure whether a byte of the request had been handed to the socket.

mod encode;
mod framing;
mod front;
mod head;
mod link;
mod wire;

pub use encode::{encode_request, encode_response};
pub use framing::{BodyError, Decoder, Framing, Step};
pub use front::{Answer, Front, Handler, Limits, Reject, Request, Stop};
pub use head::{HeadError, RequestHead, ResponseHead, parse_request, parse_response};
pub use link::{Link, LinkError, Match, Reply, Sent};
pub use wire::Wire;
