//! Short identities of upstreams in load reports.

use derive_more::{Display, From, Into};
use serde::{Deserialize, Serialize};
use trefoil_core::UpstreamName;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an upstream's name, which stands for the upstream in load reports between hosts.
///
/// Two upstreams may have the same tag: both then get the sum of what is reported of either, which
/// makes estimates wrong. Nothing else may rely on a tag.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    From,
    Into,
    Serialize,
    Deserialize,
)]
pub struct Tag(pub u32);

impl Tag {
    /// The tag of a name.
    pub fn of(name: &UpstreamName) -> Self {
        let hash = xxh3_64(name.as_str().as_bytes());
        Self(u32::try_from(hash & u64::from(u32::MAX)).unwrap_or_default())
    }
}
