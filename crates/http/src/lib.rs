//! HTTP/1 over smol, with hyper.
//!
//! [`Server`] accepts connections, limits their number and the size of headers, and shuts down
//! without aborting requests in flight. [`Connection`] is one client connection that carries one
//! request at a time; its user decides whether it may be reused. [`call`] sends one small request
//! on a new connection and reads the whole answer, for control traffic. [`h1`] implements the parts
//! of HTTP/1.1 that forwarding requests needs and hyper does not provide.

pub mod client;
pub mod h1;
mod head_guard;
mod refusal;
pub mod server;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};

pub use client::{CallError, Connection, ConnectionError, call};
pub use server::{Limits, Server, Service};

/// Error of a streamed body.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A streamed body.
pub type Body = BoxBody<Bytes, BodyError>;

/// Creates a body that consists of `data`.
pub fn full<T>(data: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed()
}
