//! Durations of the lease protocol.

use std::time::Duration;

use snafu::{Snafu, ensure};

/// Duration of a promise, on the witness's clock.
pub const LEASE: Duration = Duration::from_millis(1500);

/// Time between two heartbeats. Five fit into one promise, so a lease survives the loss of four in
/// a row.
pub const HEARTBEAT: Duration = Duration::from_millis(300);

/// Time before the end of the lease at which a holder closes its upstream connections.
pub const MARGIN: Duration = Duration::from_millis(100);

/// Time after which an unacknowledged attestation or unanswered renunciation request is sent again.
pub const RETRY: Duration = Duration::from_millis(300);

/// Time for which a witness waits for the first heartbeat of a recorded generation.
///
/// It is longer than [`LEASE`] because the holder may read its own record from the log later than
/// the witness does. With 3 s, a host that dies before its first heartbeat is still replaced
/// within the target of 4 s.
pub const GRACE: Duration = Duration::from_secs(3);

/// Largest difference between the rates of two hosts' clocks, in parts per thousand.
///
/// Clocks that deviate by at most 1% from true time satisfy it. If they deviate more, a holder that
/// was paused and resumes just before its count ends can act for some milliseconds at the same time
/// as its successor.
pub const DRIFT: u32 = 20;

/// Maximum number of entries of a witness. With 19,000 hosts, a host is a witness of 5 others on
/// average.
pub const CAPACITY: usize = 1024;

/// Error of [`TimingBuilder::build`].
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TimingError {
    /// A setting is outside its range.
    #[snafu(display(
        "lease timing: {setting} is out of range (durations and the capacity are above zero, \
         the grace time is at least the lease, the drift is below 1000)"
    ))]
    OutOfRange {
        /// Name of the setting.
        setting: &'static str,
    },
    /// The lease leaves no time between two heartbeats.
    #[snafu(display(
        "lease timing: a lease of {lease:?}, less the drift, is not longer than two heartbeats \
         and the margin"
    ))]
    TooShort {
        /// The configured lease.
        lease: Duration,
    },
}

/// Validated durations of the protocol. All hosts of a deployment must use equal ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    pub(crate) lease: Duration,
    pub(crate) heartbeat: Duration,
    pub(crate) margin: Duration,
    pub(crate) retry: Duration,
    pub(crate) grace: Duration,
    pub(crate) drift: u32,
    pub(crate) capacity: usize,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            lease: LEASE,
            heartbeat: HEARTBEAT,
            margin: MARGIN,
            retry: RETRY,
            grace: GRACE,
            drift: DRIFT,
            capacity: CAPACITY,
        }
    }
}

impl Timing {
    /// Creates a builder with the default durations.
    pub fn builder() -> TimingBuilder {
        TimingBuilder {
            timing: Self::default(),
        }
    }

    /// Returns the duration for which a holder counts a promise, on its own clock, from the send
    /// time of the heartbeat.
    pub fn holder_lease(&self) -> Duration {
        self.lease * (1000 - self.drift) / 1000
    }

    /// Returns the duration of a witness's promise.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// Returns the time before the end of its lease at which a holder stops.
    pub fn margin(&self) -> Duration {
        self.margin
    }
}

/// Builder of a [`Timing`].
#[derive(Debug, Clone)]
pub struct TimingBuilder {
    timing: Timing,
}

impl TimingBuilder {
    /// Sets the duration of a witness's promise.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.timing.lease = lease;
        self
    }

    /// Sets the time between two heartbeats.
    #[must_use]
    pub fn heartbeat(mut self, heartbeat: Duration) -> Self {
        self.timing.heartbeat = heartbeat;
        self
    }

    /// Sets the time before the end of its lease at which a holder stops.
    #[must_use]
    pub fn margin(mut self, margin: Duration) -> Self {
        self.timing.margin = margin;
        self
    }

    /// Sets the time after which unacknowledged messages are sent again.
    #[must_use]
    pub fn retry(mut self, retry: Duration) -> Self {
        self.timing.retry = retry;
        self
    }

    /// Sets the time for which a witness waits for the first heartbeat of a recorded generation.
    #[must_use]
    pub fn grace(mut self, grace: Duration) -> Self {
        self.timing.grace = grace;
        self
    }

    /// Sets the largest difference between two clock rates, in parts per thousand.
    #[must_use]
    pub fn drift(mut self, drift: u32) -> Self {
        self.timing.drift = drift;
        self
    }

    /// Sets the maximum number of entries of a witness.
    #[must_use]
    pub fn capacity(mut self, capacity: usize) -> Self {
        self.timing.capacity = capacity;
        self
    }

    /// Validates the settings.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range, or if the lease is too short for two heartbeats.
    pub fn build(self) -> Result<Timing, TimingError> {
        let timing = self.timing;
        let checks = [
            ("lease", !timing.lease.is_zero()),
            ("heartbeat", !timing.heartbeat.is_zero()),
            ("retry", !timing.retry.is_zero()),
            ("grace", timing.grace >= timing.lease),
            ("drift", timing.drift < 1000),
            ("capacity", timing.capacity > 0),
        ];
        let failed = checks.iter().find(|(_, ok)| !ok);
        ensure!(
            failed.is_none(),
            OutOfRangeSnafu {
                setting: failed.map_or("", |(setting, _)| setting),
            }
        );
        ensure!(
            timing.holder_lease() > timing.heartbeat * 2 + timing.margin,
            TooShortSnafu {
                lease: timing.lease,
            }
        );
        Ok(timing)
    }
}
