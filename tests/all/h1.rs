//! HTTP/1.1 on one connection: callers' side, upstreams' side, and where a body ends.

mod client;
mod framing;
mod pipe;
mod server;
