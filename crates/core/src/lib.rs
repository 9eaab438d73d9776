//! Types shared by all crates of trefoilcart.
//!
//! This crate contains no policy. It holds the newtypes for identifiers, sizes and rates, the
//! [`Clock`] through which all code reads time, the three [`Outcome`]s that are reported to
//! callers, and the interpreter of the [state charts](chart) that other crates keep as YAML files.
//!
//! Time is read only through [`Clock`], because smol's timers cannot be paused. Tests use
//! [`ManualClock`] and advance it; a test that depends on a race between real timers would not
//! be reproducible.

pub mod chart;
pub mod clock;
pub mod ids;
pub mod keys;
pub mod outcome;
pub mod units;

pub use chart::StateChart;
pub use clock::{Clock, ManualClock, QueueClock, SystemClock, Tick, UnixMillis};
pub use ids::{
    DomainName, Era, HostId, HostName, KeyHash, NameError, Offset, Rank, RegionName, RequestId,
    ResourceName, Revision, ServiceName, Shard, Term, Token, UpstreamName, WriterId,
};
pub use keys::{Fence, KEYS, Key, KeyRange, RangeError};
pub use outcome::Outcome;
pub use units::{Bytes, PerSecond, Slots};
