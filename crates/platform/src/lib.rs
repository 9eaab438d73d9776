//! HTTP clients of the platform's log service and host list.
//!
//! The protocol is JSON over HTTP/1:
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/streams/trefoil`, body: the record | 201 [`protocol::Appended`] |
//! | `GET /v1/streams/trefoil?from=N&max=N&wait=MS` | 200 [`protocol::Records`], 410 [`protocol::Gone`] |
//! | `GET /v1/hosts` | 200, list of [`protocol::ListedHost`] |
//!
//! A 503 to an append means that it had no effect. Every other failure after the request was begun
//! leaves open whether the record was appended, and is reported as
//! [`LogError::Ambiguous`](trefoil_log::LogError::Ambiguous).

pub mod hosts;
pub mod log;
pub mod protocol;

pub use hosts::{Hosts, HostsClient, HostsError};
pub use log::LogClient;
