//! The border to the platform: its names and encodings.

use std::fmt::Debug;

use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, Method};
use snafu::Snafu;
use trefoil_directory::Registration;
use trefoil_http::h1::ResponseHead;
use trefoil_ranges::{Order, OrderOutcome};
use trefoil_route::Config;
use trefoil_store::PartitionId;

/// Why bytes from the platform cannot be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: {reason}"))]
pub struct DecodeError {
    /// Which part of the document is wrong.
    pub place: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Names of the header fields that callers, hosts and upstreams exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// The caller's identifier of a request, which the upstream repeats in its answer.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender waits for an answer.
    pub deadline: HeaderName,
    /// Name of the upstream that a request is meant for; any other one refuses it.
    pub recipient: HeaderName,
    /// The upstream's signature under an answer.
    pub seal: HeaderName,
    /// Says in a refusal that the request did not run.
    pub refused: HeaderName,
    /// Key of a request to a keyed service.
    pub key: HeaderName,
    /// Name of the upstream that refuses a request because it is meant for another one.
    pub responder: HeaderName,
}

/// An HTTP call.
#[derive(Debug, Clone)]
pub struct Call {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Header fields, without those that the connection sets.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// Names and encodings of a platform.
pub trait Platform: Debug {
    /// Names of header fields.
    fn header_names(&self) -> &HeaderNames;

    /// Where the configuration is kept, and under which key.
    fn config_partition(&self) -> (PartitionId, &str);

    /// Where upstreams register, each under its name.
    fn registry_partition(&self) -> PartitionId;

    /// Decodes a configuration. Parts that cannot be used are left out and reported.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a configuration at all.
    fn decode_config(&self, bytes: &[u8]) -> Result<(Config, Vec<DecodeError>), DecodeError>;

    /// Decodes a registration.
    ///
    /// # Errors
    ///
    /// Fails if the bytes name no upstream that could be used.
    fn decode_registration(&self, key: &str, bytes: &[u8]) -> Result<Registration, DecodeError>;

    /// The call that carries an order to an upstream.
    fn encode_order(&self, order: &Order) -> Call;

    /// What an upstream's answer to an order means.
    fn decode_order_answer(&self, order: &Order, head: &ResponseHead) -> OrderOutcome;
}
