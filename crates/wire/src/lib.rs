//! Messages and QUIC endpoints between entry hosts.
//!
//! An ingress forwards a caller's request to the dispatcher of the key's owner, and hosts exchange
//! control messages (heartbeats, attestations, releases, catch-up). Both use QUIC with mutual
//! TLS 1.3. [`Endpoint`] is the UDP socket of a host, [`QuicPeers`] sends requests to other hosts,
//! and [`Server`] passes the requests of other hosts to a [`Handler`].
//!
//! # One stream for each request
//!
//! Each request has its own bidirectional stream. A late answer therefore cannot be mistaken for
//! the answer to another request, and a lost packet delays only the requests whose bytes it
//! carried. All requests to an address share one connection. A stream carries:
//!
//! | direction | bytes |
//! |---|---|
//! | request | kind (1 byte), length (4 bytes, big endian), postcard head, raw body, end of stream |
//! | answer | length (4 bytes, big endian), postcard head, raw body, end of stream |
//!
//! A body is complete only at the end of the stream. quinn finishes a stream that is dropped, which
//! would make the body of a cancelled task look complete. Every sending half is therefore wrapped
//! in a guard that resets the stream unless the body ended without an error. Heads are
//! length-prefixed because they must be decoded before their body begins. Bodies need no framing of
//! their own, since QUIC already delimits them.
//!
//! # Proof that a request did not run
//!
//! A caller receives "not run" only with proof. [`PeerError::may_have_been_sent`] is `false` only
//! if
//!
//! - there was no usable connection. A connection is usable once the peer's greeting has arrived: a
//!   byte on a separate unidirectional stream that the peer sends after it has accepted this host's
//!   certificate. Without it, a client whose TLS 1.3 handshake is complete could send a request and
//!   then learn that its certificate was refused. The greeting costs one round trip for each
//!   connection, not for each request; or
//! - the transport accepted no byte of the request; or
//! - the peer reset the stream with a [refusal](code::is_refusal), which it uses only for streams
//!   that it has not passed to its handler; or
//! - the peer closed the connection with [`code::DRAINING`]. It does so only after every request
//!   that it passed to its handler has been answered and the answers have been acknowledged, so a
//!   request without an answer was never passed to the handler.
//!
//! Everything else counts as sent, including a request written to a connection whose peer had
//! already failed. Early data (0-RTT) is disabled: it can be replayed, and a replayed request would
//! run twice.
//!
//! # Cancellation
//!
//! Dropping the future or the answer's body of a request resets its sending half and stops its
//! receiving half. The peer drops the handler's future or the body that it returned. A handler
//! whose work must outlive its requester spawns a separate task for it.
//!
//! # Lost peers
//!
//! A connection is lost after 3 s without a packet. The connecting side sends a keep-alive every
//! second, and closes a connection that no request has used for 10 s, so that keep-alives cost
//! traffic only between hosts that exchange requests; the check runs when the next request to any
//! peer starts. The restart of a peer at the same address is detected without that timeout: its
//! stateless reset secret is derived from the host's private key, so the new process resets the
//! connections of the old one as soon as it receives a packet of them.
//!
//! # Limits
//!
//! All input from peers is bounded: frames (1 MiB), headers (100), the time for a head (1 s) and
//! for a connection (1 s), concurrent requests of a connection (512), connections (8,192),
//! handshakes from unvalidated addresses (128), and the windows of streams (128 KiB) and
//! connections. The window of a connection is the sum of its streams' windows, so unread bodies
//! cannot block other requests. Memory for a frame grows with the bytes that arrive. The time for a
//! body is bounded by its reader, since only the reader knows the deadline.
//!
//! # Versions
//!
//! The protocol version is the ALPN identifier (`trefoil/1`). Any change of a head changes the
//! version, because postcard is not self-describing; during a rolling upgrade a host offers both
//! versions. Control messages are opaque to this crate, and the daemon versions them.
//!
//! # Time
//!
//! The timeouts of this crate run on the [`Clock`](trefoil_core::Clock) given to [`Builder`]. The
//! timers inside quinn (loss detection, idle timeout, keep-alive) run on the system's clock,
//! because quinn takes `Instant`s from its runtime.

pub mod body;
pub mod code;
pub mod codec;
pub mod endpoint;
pub mod error;
pub mod keys;
pub mod message;
pub mod peers;
mod pool;
pub mod server;

pub use body::{Body, BodyError};
pub use codec::{CodecError, decode, encode};
pub use endpoint::{Builder, Endpoint, OpenError, PROTOCOL};
pub use error::PeerError;
pub use keys::{Authority, Identity, KeyError, KeyPem, PeerId};
pub use message::{AnswerHead, ForwardHead, Headers};
pub use peers::{BoxFuture, Handler, Peers, QuicPeers};
pub use pool::Traffic;
pub use server::Server;
