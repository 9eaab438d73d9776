//! Messages and QUIC endpoints between entry hosts.

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
pub use server::Server;
