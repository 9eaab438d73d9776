//! Relation of a datagram to those received before.

use std::time::Duration;

/// Longest time between the first and the last part of one digest. Parts are sent at once, and the
/// next digest follows after several times as long.
pub(super) const PARTS_SPAN: Duration = Duration::from_millis(30);

/// Relation of a datagram to those received before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reception {
    /// The sender is unknown.
    Unknown,
    /// Its status was received just before, with another part of the same digest.
    Repeated,
    /// Its status is news.
    New,
}
