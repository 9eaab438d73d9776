//! Why a call of the store failed.

use snafu::Snafu;
use trefoil_core::Offset;

/// Why a call of the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store could not be reached. The call has had no effect and will have none.
    #[snafu(display("the store cannot be reached: {reason}"))]
    Unreachable {
        /// What the connection reported.
        reason: String,
    },
    /// The store refused the call for now. The call has had no effect and will have none.
    #[snafu(display("the store refused the call: {reason}"))]
    Refused {
        /// What the store reported.
        reason: String,
    },
    /// The answer was lost. The call may have taken effect, or may take effect seconds later.
    #[snafu(display("the store's answer was lost: {reason}"))]
    Ambiguous {
        /// What the connection reported.
        reason: String,
    },
    /// The partition does not end at the offset that the append named.
    #[snafu(display("the partition ends at {end}"))]
    Conflict {
        /// Where it ends.
        end: Offset,
    },
    /// A producer with a higher epoch has written to the partition.
    #[snafu(display("a producer with a higher epoch has written"))]
    Fenced,
    /// The sequence number does not follow the producer's last one.
    #[snafu(display("the sequence number is not the expected one, {expected:?}"))]
    Sequence {
        /// The number that the store expects, if it said so.
        expected: Option<u64>,
    },
    /// The records from this offset have been deleted.
    #[snafu(display("the oldest retained record is at {first}"))]
    Truncated {
        /// Oldest retained offset.
        first: Offset,
    },
    /// The store does not accept the call in this form, so a repeat would fail as well.
    #[snafu(display("the store rejected the call: {reason}"))]
    Rejected {
        /// What the store reported.
        reason: String,
    },
}

impl StoreError {
    /// Whether the store could not be reached or could not serve the call. The other errors are
    /// answers of a store that works.
    pub fn is_outage(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. } | Self::Refused { .. } | Self::Ambiguous { .. }
        )
    }
}
