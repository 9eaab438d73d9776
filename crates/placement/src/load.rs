//! The load that a plan is made for.

use serde::{Deserialize, Serialize};
use trefoil_core::KeyHash;

/// Load of one hot key.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct KeyLoad {
    /// The key.
    pub key: KeyHash,
    /// Its load, in the unit of [`Load::shards`].
    pub load: f64,
}

/// Load of the shards and hot keys of one service in a measure window.
///
/// The unit is free, for example requests per second; only ratios matter.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Load of each shard, including its hot keys with or without entries.
    pub shards: Vec<f64>,
    /// The hottest keys. Keys of the table's entries that are missing here count as idle.
    pub hot: Vec<KeyLoad>,
}

impl Load {
    /// Equal load on all shards.
    pub fn even(shards: u32) -> Self {
        Self {
            shards: vec![1.0; shards as usize],
            hot: Vec::new(),
        }
    }
}
