//! JSON messages of the platform.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use trefoil_core::{HostName, Offset, Shard, Token, UnixMillis};

/// Path of the log stream.
pub const STREAM_PATH: &str = "/v1/streams/trefoil";

/// Path of the host list.
pub const HOSTS_PATH: &str = "/v1/hosts";

/// Answer to an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Appended {
    /// Offset of the new record.
    pub offset: Offset,
}

/// Answer to a read below the oldest retained record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gone {
    /// Oldest retained offset.
    pub first: Offset,
}

/// Answer to a read.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
    /// Offset at which the next read goes on.
    pub next: Offset,
    /// Offset after the newest record.
    pub end: Offset,
}

/// A stored record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Position in the log.
    pub offset: Offset,
    /// The record's bytes, in base64.
    #[serde(serialize_with = "encode", deserialize_with = "decode")]
    pub data: Vec<u8>,
}

/// State of a host in the host list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// The platform believes that the host runs.
    Live,
    /// The platform is about to stop the host.
    Leaving,
}

/// An entry of the host list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: HostName,
    /// State of the host.
    pub state: ListedState,
}

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

fn encode<S>(data: &[u8], serializer: S) -> Result<S::Ok, S::Error>
where
    S: Serializer,
{
    serializer.serialize_str(&BASE64_STANDARD.encode(data))
}

fn decode<'de, D>(deserializer: D) -> Result<Vec<u8>, D::Error>
where
    D: Deserializer<'de>,
{
    let text = String::deserialize(deserializer)?;
    BASE64_STANDARD
        .decode(text)
        .map_err(serde::de::Error::custom)
}
