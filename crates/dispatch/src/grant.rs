//! The call by which a dispatcher grants shards to an upstream that checks fences.

use serde::{Deserialize, Serialize};
use trefoil_core::{Shard, Token, UnixMillis};

/// Path of a grant at an upstream that checks fences.
pub const GRANT_PATH: &str = "/-/grant";

/// A grant of shards to an upstream that checks fences. It replaces the grant before it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Token of the dispatcher. The upstream refuses requests with an older one.
    pub token: Token,
    /// Validity in milliseconds from the arrival.
    pub valid: u64,
    /// End of the validity by the wall clock, whenever the grant is read. An upstream that was
    /// frozen finds old grants in its socket when it wakes, and must not count them from then.
    pub until: UnixMillis,
    /// The shards that the upstream may serve.
    pub shards: Vec<Shard>,
}
