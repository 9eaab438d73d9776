//! Interface to a platform: its names and encodings.

use std::fmt::Debug;

use bytes::Bytes;
use http::header::HeaderName;
use http::{HeaderMap, Method};
use snafu::Snafu;
use trefoil_core::{DomainName, PerSecond};
use trefoil_directory::Registration;
use trefoil_http::h1::ResponseHead;
use trefoil_ranges::{Order, OrderOutcome};
use trefoil_route::Config;
use trefoil_store::PartitionId;

/// Why bytes from the platform cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{place}: {reason}"))]
pub struct DecodeError {
    /// Place of the error in the document.
    pub place: String,
    /// Description of the error.
    pub reason: String,
}

/// Names of the header fields that callers, hosts and upstreams exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifier that the caller gives a request and the upstream repeats in its answer.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender waits for an answer.
    pub deadline: HeaderName,
    /// Name of the upstream that must execute the request; any other one refuses it.
    pub recipient: HeaderName,
    /// The upstream's signature of an answer.
    pub seal: HeaderName,
    /// Marks a refusal, which states that the request did not run.
    pub refused: HeaderName,
    /// Key of a request to a keyed service.
    pub key: HeaderName,
    /// Name of the upstream that refuses a request because it is addressed to another one.
    pub responder: HeaderName,
}

/// Load that an upstream states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StatedLoad {
    /// Requests that it executes.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Its slots.
    pub slots: u32,
    /// How long work takes at present in hundredths of the usual time, because upstreams share
    /// machines with others.
    pub pace: u32,
}

/// Statements of an upstream about itself in an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// Requests that it takes from all hosts together, if it limits them.
    pub limit: Option<PerSecond>,
    /// Its load, if it states that.
    pub load: Option<StatedLoad>,
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

    /// Topic partition and key of the configuration.
    fn config_partition(&self) -> (PartitionId, &str);

    /// The failure domain that a record evacuates whose topic is that of the configuration, if the
    /// record with this key does. The evacuation lasts until the record is removed. An error says why
    /// the key of an evacuation names no domain.
    fn evacuation_domain(&self, key: &str) -> Option<Result<DomainName, DecodeError>>;

    /// Topic partition in which upstreams register, each under its name.
    fn registry_partition(&self) -> PartitionId;

    /// Decodes a configuration. Unusable parts are left out and returned as errors.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a configuration at all.
    fn decode_config(&self, bytes: &[u8]) -> Result<(Config, Vec<DecodeError>), DecodeError>;

    /// Decodes a registration.
    ///
    /// # Errors
    ///
    /// Fails if the bytes do not describe a usable upstream.
    fn decode_registration(&self, key: &str, bytes: &[u8]) -> Result<Registration, DecodeError>;

    /// Encodes an order to an upstream as a call.
    fn encode_order(&self, order: &Order) -> Call;

    /// Decodes what an upstream says about itself in the head of an answer.
    ///
    /// # Errors
    ///
    /// Fails if a statement cannot be understood.
    fn decode_notice(&self, head: &ResponseHead) -> Result<Notice, DecodeError>;

    /// Decodes an upstream's answer to an order.
    fn decode_order_answer(&self, order: &Order, head: &ResponseHead) -> OrderOutcome;
}
