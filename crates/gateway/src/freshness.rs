//! Ages of the directory and of the configuration.
//!
//! A complete read of the store shows a copy to be current as of the moment at which the read was
//! sent. A host that does not read learns it by comparison: if its copy has the content of another
//! host's, it is at least as current. The age thus covers changes that were lost on the way, which
//! the health of the hosts that read cannot show.
//!
//! Hosts report the age together with the read that it counts from, because a reported age lacks
//! the latency of the report. Without the read, two hosts with the same content would confirm each
//! other for as long as they exchange reports.

mod copy;
mod known_reads;

use std::time::Duration;

use derive_more::Display;
use slog::info;
use trefoil_core::Tick;

use crate::host::{Host, PROBE_STAGGER};
use crate::message::{ReadId, SyncStatus};
use crate::peers::{RELAYS, short_id};
use crate::request_log::age_ms;

pub(crate) use copy::Freshness;
use known_reads::KnownReads;

/// Wait after a failed read of a host that cannot serve yet.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time since the last read within which another one is not logged as a takeover.
const TAKEOVER_QUIET: Duration = Duration::from_secs(5);

/// Shortest age up to which a report of an unknown read counts.
const READ_AGE_MIN: Duration = Duration::from_mins(1);

/// Where a host has learned of a change of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Source {
    /// Read from the registry.
    #[display("registry")]
    Registry,
    /// Told by a relay.
    #[display("digest")]
    Digest,
    /// Copied from the directory of another host.
    #[display("copy")]
    Copy,
    /// Told by an upstream.
    #[display("upstream")]
    Upstream,
}

/// Reads of one kind of data by this host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reads {
    /// When the last read was answered.
    pub(crate) ended: Option<Tick>,
    /// When the last read failed, unless one was answered since.
    pub(crate) failed: Option<Tick>,
}

/// Times of a host's reads.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    /// Times between two reads by the first and the second relay.
    paces: [Duration; RELAYS],
    /// Time between two reads by a host that has taken over, in which a more current one is heard.
    lead: Duration,
    /// Age of the copy at which any host reads.
    takeover: Duration,
}

impl Reads {
    /// Records an answered read.
    pub(crate) fn succeeded(&mut self, now: Tick) {
        self.ended = Some(now);
        self.failed = None;
    }
}

impl Host {
    /// Records a read of the registry by this host, sent at `sent`, whose result the directory
    /// contains.
    pub(crate) fn confirm_directory(&self, sent: Tick) {
        self.confirm_own_read(&self.directory_freshness, sent);
    }

    /// Records a read by this host whose result shows the configuration in force to be the newest
    /// one as of `as_of`.
    pub(crate) fn confirm_config(&self, as_of: Tick) {
        self.confirm_own_read(&self.config_freshness, as_of);
    }

    fn confirm_own_read(&self, copy: &Freshness, as_of: Tick) {
        let read = ReadId {
            host: short_id(self.id),
            number: u64::try_from(as_of.0.as_millis()).unwrap_or(u64::MAX),
        };
        self.record_read(copy, self.now(), read, as_of);
        copy.confirm(as_of, Some(read));
    }

    fn record_read(
        &self,
        copy: &Freshness,
        now: Tick,
        read: ReadId,
        estimate: Tick,
    ) -> Option<Tick> {
        let span = READ_AGE_MIN.max(self.bounds.get().drain);
        copy.record(now, read, estimate, span)
    }

    /// As of when the copy of another host holds that reports this age now.
    fn reported_as_of(
        &self,
        copy: &Freshness,
        now: Tick,
        age: Duration,
        read: Option<ReadId>,
    ) -> Option<Tick> {
        let estimate = Tick(now.0.saturating_sub(age));
        match read {
            Some(read) => self.record_read(copy, now, read, estimate),
            None => Some(estimate),
        }
    }

    /// Takes over the age of another host's configuration if this host has the same one and, as
    /// `same_evacuations` says, the same evacuated domains.
    pub(crate) fn compare_config(&self, now: Tick, status: SyncStatus, same_evacuations: bool) {
        let Some(age) = status.config_age() else {
            return;
        };
        let copy = &self.config_freshness;
        let as_of = self.reported_as_of(copy, now, age, status.config_read);
        let own = (self.config_version().0, self.config_era.get());
        let same = same_evacuations
            && self.router().is_some()
            && own == (status.config_version, status.config_era);
        if let Some(as_of) = as_of.filter(|_| same) {
            copy.confirm(as_of, status.config_read);
        }
    }

    /// Takes over the age of another host's directory if this host's has the same content. A host
    /// that still keeps upstreams that are missing in the registry offers no digest.
    pub(crate) fn compare_directory(&self, now: Tick, status: SyncStatus) {
        let Some(age) = status.directory_age() else {
            return;
        };
        let copy = &self.directory_freshness;
        let as_of = self.reported_as_of(copy, now, age, status.directory_read);
        let own = self.directory.borrow().digest();
        let Some(as_of) = as_of.filter(|_| status.directory_digest == Some(own)) else {
            return;
        };
        if Some(as_of) > copy.as_of() && status.store_era == self.store_era.get() {
            self.directory.borrow_mut().confirm_listed();
        }
        copy.confirm(as_of, status.directory_read);
    }

    /// As of when a copy holds that was requested at `sent` and had this age.
    pub(crate) fn copied_as_of(&self, sent: Tick, age: Duration, read: Option<ReadId>) -> Tick {
        let copy = &self.directory_freshness;
        let known = read.and_then(|read| copy.sent(read));
        known.unwrap_or_else(|| {
            let estimate = Tick(sent.0.saturating_sub(age));
            let recorded = read.and_then(|read| self.record_read(copy, self.now(), read, estimate));
            recorded.unwrap_or(estimate)
        })
    }

    /// Returns `true` if an answer at `now` ends an outage of the registry. A host that has left the
    /// reading to others knows from the age of the directories whether they have read meanwhile.
    pub(crate) fn ends_outage(&self, now: Tick) -> bool {
        let others = self.peers.borrow().newest_directory(now);
        let newest = self.directory_freshness.as_of().max(others);
        newest.is_some_and(|at| now.since(at) > self.bounds.get().outage_age())
    }

    /// Time since the directory was last known to contain every change of the registry.
    pub(crate) fn directory_age(&self, now: Tick) -> Option<Duration> {
        self.directory_freshness.age(now)
    }

    /// Returns `true` if the directory is older than that of a host with this status, or `None` if
    /// that host is an earlier build, which reports no age.
    pub(crate) fn is_older_than(&self, now: Tick, status: SyncStatus) -> Option<bool> {
        let age = status.directory_age()?;
        let copy = &self.directory_freshness;
        let known = status.directory_read.and_then(|read| copy.sent(read));
        let theirs = known.unwrap_or(Tick(now.0.saturating_sub(age)));
        let same = copy.is_current(status.directory_read);
        Some(!same && copy.as_of() < Some(theirs))
    }

    /// Returns `true` if the directory must be copied from any host that has a more current one.
    pub(crate) fn needs_copy(&self, now: Tick) -> bool {
        let age = self.directory_age(now);
        age.is_none_or(|age| age >= self.bounds.get().copy_age())
    }

    /// When this host reads the registry next.
    ///
    /// The relays read it at a pace. Every host, relay or not, reads it if its own directory is too
    /// old, so a host that reaches the store depends on no other one. If that read fails, other
    /// hosts have probably been turned away as well, and hosts that are no relays try again one
    /// after the other.
    pub(crate) fn registry_due(&self, now: Tick, reads: &Reads) -> Tick {
        let bounds = self.bounds.get();
        let position = self.peers.borrow().position(now);
        let schedule = Schedule {
            paces: [0, 1].map(|before| bounds.registry_pace(before)),
            lead: bounds.registry_pace(0),
            takeover: bounds.takeover_age(position),
        };
        self.read_due(now, &self.directory_freshness, reads, position, schedule)
    }

    /// When this host reads the configuration next, like [`registry_due`](Self::registry_due). The
    /// reads of the relays wait in the store for the next configuration and follow each other.
    pub(crate) fn config_due(&self, now: Tick, reads: &Reads) -> Tick {
        let position = self.peers.borrow().position(now);
        let bounds = self.bounds.get();
        let schedule = Schedule {
            paces: [Duration::ZERO; RELAYS],
            lead: bounds.config_wait(),
            takeover: bounds.config_takeover_age(position),
        };
        self.read_due(now, &self.config_freshness, reads, position, schedule)
    }

    fn read_due(
        &self,
        now: Tick,
        copy: &Freshness,
        reads: &Reads,
        position: usize,
        schedule: Schedule,
    ) -> Tick {
        let overdue = copy.as_of().map_or(now, |at| at.after(schedule.takeover));
        let leads = reads.ended.is_some() && reads.ended >= copy.as_of();
        let [first, second] = schedule.paces;
        let pace = match (position, reads.ended) {
            (0, Some(at)) => Some(at.after(first)),
            // Nobody has a more current copy than this host, which has taken over.
            (_, Some(at)) if leads => Some(at.after(schedule.lead)),
            (1, Some(at)) => Some(at.after(second)),
            _ => None,
        };
        let due = pace.map_or(overdue, |at| at.min(overdue));
        match reads.failed {
            Some(failed) if position >= RELAYS => due.max(failed.after(self.retry_delay(position))),
            _ => due,
        }
    }

    fn retry_delay(&self, position: usize) -> Duration {
        if !self.has_directory() || self.router().is_none() {
            return FIRST_RETRY_DELAY;
        }
        let step = u32::try_from(position - RELAYS + 1).unwrap_or(u32::MAX);
        PROBE_STAGGER.saturating_mul(step)
    }

    /// Logs a read of the registry by a host that has left it to others so far.
    pub(crate) fn log_takeover(&self, now: Tick, reads: &Reads) {
        let as_of = self.directory_freshness.as_of();
        if let Some(position) = self.takeover_position(now, as_of, reads) {
            info!(self.log, "directory overdue"; "position" => position,
                "directory_age_ms" => age_ms(now, as_of));
        }
    }

    /// Logs a read of the configuration by a host that has left it to others so far.
    pub(crate) fn log_config_takeover(&self, now: Tick, reads: &Reads) {
        let as_of = self.config_freshness.as_of();
        if let Some(position) = self.takeover_position(now, as_of, reads) {
            info!(self.log, "configuration overdue"; "position" => position,
                "config" => self.config_version().0, "config_age_ms" => age_ms(now, as_of));
        }
    }

    /// Position of this host if its next read takes over from the hosts before it.
    fn takeover_position(&self, now: Tick, as_of: Option<Tick>, reads: &Reads) -> Option<usize> {
        let position = self.peers.borrow().position(now);
        let recent = reads.ended.is_some_and(|at| now.since(at) < TAKEOVER_QUIET);
        (position > 0 && !recent && as_of.is_some()).then_some(position)
    }
}
