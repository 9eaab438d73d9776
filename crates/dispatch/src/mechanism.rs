//! Switches for tests that turn one mechanism off.
//!
//! A checker that never fails proves nothing. The tests turn one mechanism off at a time and show
//! that the checker then finds the violation that the mechanism prevents.

use smallvec::SmallVec;

/// A mechanism that tests can turn off. Unused outside tests.
#[doc(hidden)]
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// Recorded outcomes and ids in flight.
    Memory,
    /// The rule for `UUIDv7` ids that the outcome memory does not cover.
    MintRule,
    /// The records that a released shard carries.
    Handover,
    /// The wait until nothing is in flight before a shard is released.
    ReleaseWait,
    /// Slots that stay occupied while the upstream may still work on an unanswered request.
    Linger,
    /// Shedding of requests that cannot meet their deadline.
    Shedding,
    /// The mark on a request of which an earlier attempt ended unknown.
    PriorRun,
}

/// Mechanisms that are turned off.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disabled(SmallVec<[Mechanism; 1]>);

impl Disabled {
    pub(crate) fn add(&mut self, mechanism: Mechanism) {
        self.0.push(mechanism);
    }

    pub(crate) fn has(&self, mechanism: Mechanism) -> bool {
        self.0.contains(&mechanism)
    }
}
