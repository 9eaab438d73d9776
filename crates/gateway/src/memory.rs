//! Memory of the data whose amount callers, upstreams or the store decide.
//!
//! Each kind of data has a share of the process's memory, so none can use up what another one
//! needs. What does not fit is refused at once and not queued: bytes that wait in the buffers of
//! the sockets count as memory of the process, too, and a caller that is refused reaches another
//! host.

use std::cell::Cell;

use slog::warn;
use trefoil_core::Bytes;
use trefoil_http::h1::{BodyLimit, MemoryShare};

use crate::forward::ANSWER_MAX;
use crate::host::Host;

/// Share of the memory that callers' requests take up until they are answered.
const REQUESTS_SHARE: f64 = 0.3;

/// Share of the memory that answers of upstreams take up until callers have read them.
const ANSWERS_SHARE: f64 = 0.2;

/// Share of the memory that answers of the store and of other hosts take up, and the answers to
/// other hosts.
const CALLS_SHARE: f64 = 0.1;

/// Shares of the memory of the process.
#[derive(Debug)]
pub struct Memory {
    /// Requests of callers that are being received or handled.
    pub(crate) requests: MemoryShare,
    /// Answers of upstreams that are being received or sent to callers.
    pub(crate) answers: MemoryShare,
    /// Answers of the store and other hosts, and answers to other hosts.
    pub(crate) calls: MemoryShare,
    /// Limit of one answer of an upstream and of all together.
    pub(crate) answer_limit: BodyLimit,
    /// Refusals of each kind that have been logged.
    logged: [Cell<u64>; KINDS],
}

/// Number of kinds.
const KINDS: usize = 3;

impl Memory {
    /// Divides the memory of the process.
    pub fn new(process: Bytes) -> Self {
        let answers = share(process, ANSWERS_SHARE);
        Self {
            requests: share(process, REQUESTS_SHARE),
            answer_limit: BodyLimit::of_share(ANSWER_MAX, &answers),
            answers,
            calls: share(process, CALLS_SHARE),
            logged: Default::default(),
        }
    }

    /// The share of calls of the store.
    pub fn calls(&self) -> &MemoryShare {
        &self.calls
    }

    /// Returns the name and the share of each kind.
    pub(crate) fn kinds(&self) -> [(&'static str, &MemoryShare); KINDS] {
        [
            ("requests", &self.requests),
            ("answers", &self.answers),
            ("calls", &self.calls),
        ]
    }

    /// Logs the kinds of which memory was refused since the last call.
    pub(crate) fn log_refusals(&self, host: &Host) {
        for ((kind, share), logged) in self.kinds().into_iter().zip(&self.logged) {
            let refused = share.refused();
            let count = refused - logged.replace(refused);
            if count > 0 {
                warn!(host.log, "memory short"; "kind" => kind, "refused" => count,
                    "used" => share.used(), "limit" => share.limit());
            }
        }
    }
}

/// Takes a share of the memory of the process.
fn share(process: Bytes, share: f64) -> MemoryShare {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a share of the memory is positive, and its last bytes do not matter"
    )]
    let bytes = (process.0 as f64 * share) as usize;
    MemoryShare::new(bytes)
}
