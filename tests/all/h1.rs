//! HTTP/1.1 connections: server side, client side and framing of bodies.

mod bodies;
mod client;
mod early;
mod fields;
mod framing;
mod memory;
mod pipe;
mod server;
mod status;
mod streams;
