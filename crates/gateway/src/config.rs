//! Settings of a host.

use std::net::SocketAddr;
use std::time::Duration;

use trefoil_core::{Bytes, DomainName, HostName};

/// Bounds of the deployment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time within which a draining upstream stops receiving new requests.
    pub drain: Duration,
    /// Time within which an accepted configuration is in force on all hosts.
    pub config_apply: Duration,
    /// Time between the stop signal and the end of the process.
    pub grace: Duration,
    /// Retries as a share of the requests in a window.
    pub retry_ratio: f64,
    /// Retries in a window in addition to the share.
    pub retry_fixed: f64,
    /// Window in which retries are counted.
    pub retry_window: Duration,
    /// Longest time to live of a grant.
    pub ttl_max: Duration,
    /// Time after which nothing is sent to the upstreams of an evacuated failure domain. `None` if
    /// the deployment has no evacuations.
    pub evacuate: Option<Duration>,
    /// Tolerance of the limits of cold upstreams. `None` if the deployment has no such limits.
    pub warmup: Option<WarmupBound>,
}

/// Tolerance of the limit of a cold upstream: in any second it gets at most `overage` times its
/// rate plus `slack` requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupBound {
    /// Multiple of the rate.
    pub overage: f64,
    /// Requests in addition.
    pub slack: f64,
}

/// Time between two reads of the registry by the first reader of a domain, as a share of
/// [`Bounds::drain`], and its wait for the next configuration, as a share of
/// [`Bounds::config_apply`], or of [`Bounds::evacuate`] if that is less. The rest of that time is for the read itself and for informing the
/// other hosts.
const FIRST_READER_SHARE: f64 = 0.3;

/// Time between two reads of the registry by the second reader, which covers the loss of the first,
/// as a share of [`Bounds::drain`].
const SECOND_READER_SHARE: f64 = 0.7;

/// Age of the directory at which the second host of a domain reads the registry, as a share of
/// [`Bounds::drain`], and of the configuration, as a share of [`Bounds::config_apply`] or, if that is
/// less, of [`Bounds::evacuate`]. With the pace of the first reader, the age stays below it unless that reader fails.
const TAKEOVER_SHARE: f64 = 0.45;

/// Increase of that share with each doubling of a host's position. The hosts between two steps read
/// at the same time, so a few that are cut off as well delay the others by one step only, and the
/// reads of a domain at most double from step to step.
const TAKEOVER_STEP: f64 = 0.05;

/// Largest share. The rest of the bound is for the read itself.
const TAKEOVER_SHARE_MAX: f64 = 0.7;

/// Time without a read of the registry by any host after which the registry was unavailable, as a
/// share of [`Bounds::drain`]. It is above the largest takeover age by the time for a read.
const OUTAGE_SHARE: f64 = 0.8;

/// Age of the directory at which a host copies that of any host whose directory is more current, as
/// a share of [`Bounds::drain`].
const COPY_SHARE: f64 = 0.4;

/// Shortest time between two reads of the registry. Each read is charged, and upstreams write about
/// twice a second.
const REGISTRY_PACE_MIN: Duration = Duration::from_millis(100);

/// Time without an answer of the store after which a reader counts as cut off, as a share of
/// [`Bounds::drain`]. Within the rest of that time another host must read the registry and inform
/// the others. The second reader has answers less often and sometimes counts as cut off, which
/// costs some reads.
const READER_SILENCE_SHARE: f64 = 0.6;

impl Bounds {
    /// Time between two reads of the registry by a host. `before` is the number of readers in its
    /// domain that rank before it.
    pub fn registry_pace(&self, before: usize) -> Duration {
        let share = if before == 0 {
            FIRST_READER_SHARE
        } else {
            SECOND_READER_SHARE
        };
        self.drain.mul_f64(share).max(REGISTRY_PACE_MIN)
    }

    /// Age of the directory at which a host reads the registry itself, whatever others claim to do.
    /// `position` is the number of live hosts in its domain that rank before it.
    pub fn takeover_age(&self, position: usize) -> Duration {
        self.drain.mul_f64(takeover_share(position))
    }

    /// Age of the configuration at which a host reads the store itself, like
    /// [`takeover_age`](Self::takeover_age).
    pub fn config_takeover_age(&self, position: usize) -> Duration {
        self.config_bound().mul_f64(takeover_share(position))
    }

    /// Time for which a read waits for the next configuration. Its answer confirms the one in force.
    pub fn config_wait(&self) -> Duration {
        self.config_bound().mul_f64(FIRST_READER_SHARE)
    }

    /// Time within which a change of the operators' topic must be known, which has the configuration
    /// and the evacuations.
    fn config_bound(&self) -> Duration {
        self.evacuate
            .map_or(self.config_apply, |bound| bound.min(self.config_apply))
    }

    /// Time without a read of the registry by any host after which the registry was unavailable.
    /// While it is available, some host reads it at the latest takeover age.
    pub fn outage_age(&self) -> Duration {
        self.drain.mul_f64(OUTAGE_SHARE)
    }

    /// Age of the directory at which it is copied from any host whose directory is more current.
    pub fn copy_age(&self) -> Duration {
        self.drain.mul_f64(COPY_SHARE)
    }

    /// Time without an answer of the store after which a reader of the registry counts as cut off.
    pub fn reader_silence(&self) -> Duration {
        self.drain.mul_f64(READER_SILENCE_SHARE)
    }
}

fn takeover_share(position: usize) -> f64 {
    let doublings = f64::from(position.max(1).ilog2());
    let share = TAKEOVER_SHARE + TAKEOVER_STEP * doublings;
    share.min(TAKEOVER_SHARE_MAX)
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            drain: Duration::from_secs(2),
            config_apply: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            retry_ratio: 0.1,
            retry_fixed: 10.0,
            retry_window: Duration::from_secs(10),
            ttl_max: Duration::from_secs(10),
            evacuate: None,
            warmup: None,
        }
    }
}

/// Limits of the process, which the platform enforces.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory. A process that uses more is ended.
    pub memory: Bytes,
    /// Descriptors of sockets and files.
    pub descriptors: u32,
}

/// Memory of a connection without a request: its state and what it may read ahead.
const CONNECTION_MEMORY: u64 = 24 * 1024;

/// Divisor of the descriptors that gives the part for idle connections to upstreams.
const IDLE_LINKS_PART: u32 = 4;

/// Divisor of the memory that gives the part for connections.
const CONNECTIONS_PART: u64 = 7;

impl ProcessLimits {
    /// Most connections of callers: half of the descriptors, because requests need others for
    /// connections to upstreams, and no more than there is memory for.
    pub fn connections(&self) -> usize {
        let by_memory = self.memory.0 / CONNECTIONS_PART / CONNECTION_MEMORY;
        let most = by_memory.min(u64::from(self.descriptors / 2)).max(1);
        usize::try_from(most).unwrap_or(usize::MAX)
    }

    /// Most idle connections to upstreams.
    pub fn idle_links(&self) -> usize {
        usize::try_from(self.descriptors / IDLE_LINKS_PART).unwrap_or(usize::MAX)
    }
}

impl Default for ProcessLimits {
    /// Limits of the smallest hosts.
    fn default() -> Self {
        Self {
            memory: Bytes(160_000_000),
            descriptors: 1024,
        }
    }
}

/// Settings of a host from the start of its process.
#[derive(Debug, Clone, PartialEq)]
pub struct HostConfig {
    /// Name of the host. It stays the same across restarts.
    pub name: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Share of a processor core that it has.
    pub cores: f64,
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address at which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// Address for datagrams and calls of other hosts.
    pub peer: SocketAddr,
    /// Address for metrics and the operators' API.
    pub operator: SocketAddr,
    /// Limits of the process.
    pub limits: ProcessLimits,
    /// Bounds of the deployment.
    pub bounds: Bounds,
}
