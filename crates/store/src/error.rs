//! Errors of store calls.

use snafu::Snafu;
use trefoil_core::Offset;

/// Error of a store call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store could not be reached. The call has had no effect and will have none.
    #[snafu(display("the store cannot be reached: {reason}"))]
    Unreachable {
        /// Cause reported by the connection.
        reason: String,
    },
    /// The store temporarily refused the call. The call has had no effect and will have none.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// Cause reported by the store.
        reason: String,
    },
    /// The answer was lost. The call may have taken effect, or may take effect seconds later.
    #[snafu(display("the store's answer was lost: {reason}"))]
    Ambiguous {
        /// Cause reported by the connection.
        reason: String,
    },
    /// The partition does not end at the offset that the append named.
    #[snafu(display("the partition ends at {end}"))]
    Conflict {
        /// Actual end of the partition.
        end: Offset,
    },
    /// A producer with a higher epoch has written to the partition.
    #[snafu(display("a producer with a higher epoch has written"))]
    Fenced,
    /// The sequence number does not follow the producer's last one.
    #[snafu(display("the sequence number is not the expected one, {expected:?}"))]
    Sequence {
        /// Sequence number that the store expects, if it reported one.
        expected: Option<u64>,
    },
    /// The records at the requested offset have been deleted.
    #[snafu(display("the oldest retained record is at {first}"))]
    Truncated {
        /// Oldest retained offset.
        first: Offset,
    },
    /// The store does not accept the call in this form. A retry would fail as well.
    #[snafu(display("the store rejected the call: {reason}"))]
    Rejected {
        /// Cause reported by the store.
        reason: String,
    },
}

impl StoreError {
    /// Returns whether the store could not be reached or could not serve the call. The other errors
    /// are answers of a working store.
    pub fn is_outage(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Refused { .. } | Self::Ambiguous { .. }
        )
    }
}
