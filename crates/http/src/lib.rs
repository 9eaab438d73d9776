//! HTTP/1 over smol, with hyper.
//!
//! [`Server`] accepts connections with bounds on headers and connections and shuts down without
//! cutting off a request in flight. [`Connection`] is one client connection that carries one
//! request at a time; its user decides whether it may be reused. [`call`] sends one small request
//! on a connection of its own and reads the whole answer, which control traffic uses. [`h1`] has
//! what the path of requests needs beyond hyper.

pub mod client;
pub mod h1;
mod refusal;
pub mod server;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};

pub use client::{CallError, Connection, ConnectionError, call};
pub use server::{Limits, Server, Service};

/// Error of a body's stream.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A streamed body.
pub type Body = BoxBody<Bytes, BodyError>;

/// A body of known bytes.
pub fn full<T>(data: T) -> Body
where
    T: Into<Bytes>,
{
    Full::new(data.into())
        .map_err(|never| match never {})
        .boxed()
}
