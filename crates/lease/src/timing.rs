//! Durations of the lease protocol.

use std::time::Duration;

use snafu::{Snafu, ensure};

/// How long a witness's promise runs, on the witness's clock.
pub const LEASE: Duration = Duration::from_millis(1500);

/// Time between two heartbeats. Five fit into one promise, so four losses in a row are survived.
pub const HEARTBEAT: Duration = Duration::from_millis(300);

/// How long before the end of its lease a holder closes its upstream connections.
pub const MARGIN: Duration = Duration::from_millis(100);

/// Time after which an unacknowledged attestation or renunciation request is sent again.
pub const RETRY: Duration = Duration::from_millis(300);

/// How long a witness waits for the first heartbeat of a recorded generation.
///
/// It is longer than [`LEASE`] because the holder may read its own record from the log later than
/// the witness does. With 3 s, a host that dies before its first heartbeat is still replaced
/// within the target of 4 s.
pub const GRACE: Duration = Duration::from_secs(3);

/// Largest difference between the rates of two hosts' clocks, in parts per thousand.
///
/// Clocks that deviate by at most 1% from true time keep it. A holder that was paused and wakes
/// just before its count ends acts beside its successor for some milliseconds if they do not.
pub const DRIFT: u32 = 20;

/// Most entries that a witness keeps. With 19,000 hosts a host is a witness of 5 others on average.
pub const CAPACITY: usize = 1024;

/// Why a [`Timing`] is refused.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TimingError {
    /// A duration is zero or the drift is not below 1,000.
    #[snafu(display("{setting} is out of range"))]
    OutOfRange {
        /// Name of the setting.
        setting: &'static str,
    },
    /// The lease leaves no time between two heartbeats.
    #[snafu(display(
        "lease of {lease:?} does not outlast two heartbeats, the drift and the margin"
    ))]
    TooShort {
        /// The lease that was asked for.
        lease: Duration,
    },
}

/// Checked durations of the protocol. Every host of a deployment must use the same ones.
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
    /// Starts from the default durations.
    pub fn builder() -> TimingBuilder {
        TimingBuilder {
            timing: Self::default(),
        }
    }

    /// How long a holder counts a promise, on its own clock, from the time it sent the heartbeat.
    pub fn holder_lease(&self) -> Duration {
        self.lease * (1000 - self.drift) / 1000
    }

    /// How long a witness's promise runs.
    pub fn lease(&self) -> Duration {
        self.lease
    }

    /// How long before the end of its lease a holder stops.
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
    /// Sets how long a witness's promise runs.
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

    /// Sets how long before the end of its lease a holder stops.
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

    /// Sets how long a witness waits for the first heartbeat of a recorded generation.
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

    /// Sets the most entries that a witness keeps.
    #[must_use]
    pub fn capacity(mut self, capacity: usize) -> Self {
        self.timing.capacity = capacity;
        self
    }

    /// Checks the durations against each other.
    ///
    /// # Errors
    ///
    /// Fails if a setting is out of range, or if the lease is too short for two heartbeats.
    pub fn build(self) -> Result<Timing, TimingError> {
        let timing = self.timing;
        let positive = [
            ("lease", !timing.lease.is_zero()),
            ("heartbeat", !timing.heartbeat.is_zero()),
            ("retry", !timing.retry.is_zero()),
            ("grace", timing.grace >= timing.lease),
            ("drift", timing.drift < 1000),
            ("capacity", timing.capacity > 0),
        ];
        let wrong = positive.iter().find(|(_, ok)| !ok);
        ensure!(
            wrong.is_none(),
            OutOfRangeSnafu {
                setting: wrong.map_or("", |(setting, _)| setting),
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
