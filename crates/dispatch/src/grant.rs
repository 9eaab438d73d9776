//! Call of a dispatcher that grants shards to an upstream that checks fences.

use serde::{Deserialize, Serialize};
use trefoil_core::{Shard, Token, UnixMillis};

/// Path of the call at the upstream.
pub const GRANT_PATH: &str = "/-/grant";

/// A grant of shards to an upstream that checks fences. It replaces the previous grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Token of the dispatcher. The upstream refuses requests with an older one.
    pub token: Token,
    /// Validity in milliseconds from the arrival.
    pub valid: u64,
    /// End of the validity by the wall clock, independent of the time at which the grant is read.
    /// An upstream that was frozen finds old grants in its socket when it resumes, and must not
    /// count their validity from then.
    pub until: UnixMillis,
    /// Shards that the upstream may serve.
    pub shards: Vec<Shard>,
}
