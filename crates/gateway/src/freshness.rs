//! Age of the directory.
//!
//! A complete read of the registry shows the directory to be current as of the moment at which the
//! read was sent. A host that does not read learns it by comparison: if its directory has the
//! content of another host's, it is at least as current. The age thus covers changes that were lost
//! on the way, which the health of the hosts that read cannot show.
//!
//! Hosts report the age together with the read that it counts from, because a reported age lacks
//! the latency of the report. Without the read, two hosts with the same content would confirm each
//! other for as long as they exchange reports.

mod known_reads;

use std::time::Duration;

use derive_more::Display;
use slog::info;
use trefoil_core::Tick;

use crate::host::{Host, PROBE_STAGGER};
use crate::message::{ReadId, SyncStatus};
use crate::peers::{RELAYS, short_id};
use crate::request_log::age_ms;

pub(crate) use known_reads::KnownReads;

/// Wait after a failed read of a host that has no directory yet.
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

/// Reads of the registry by this host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Reads {
    /// When the last read was answered.
    pub(crate) ended: Option<Tick>,
    /// When the last read failed, unless one was answered since.
    pub(crate) failed: Option<Tick>,
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
        let read = ReadId {
            host: short_id(self.id),
            number: u64::try_from(sent.0.as_millis()).unwrap_or(u64::MAX),
        };
        self.record_read(self.now(), read, sent);
        self.confirm_read(sent, Some(read));
    }

    /// Records that the directory contains every change that the registry had accepted at `as_of`,
    /// when the read was sent.
    pub(crate) fn confirm_read(&self, as_of: Tick, read: Option<ReadId>) {
        if self.directory_as_of.get() < Some(as_of) {
            self.directory_as_of.set(Some(as_of));
            self.known_reads.borrow_mut().set_current(read);
        }
    }

    fn record_read(&self, now: Tick, read: ReadId, estimate: Tick) -> Option<Tick> {
        let span = READ_AGE_MIN.max(self.bounds.get().drain);
        let mut reads = self.known_reads.borrow_mut();
        reads.record(now, read, estimate, span)
    }

    /// Takes over the age of another host's directory if this host's has the same content. A host
    /// that still keeps upstreams that are missing in the registry offers no digest.
    pub(crate) fn compare_directory(&self, now: Tick, status: SyncStatus) {
        let Some(age) = status.directory_age() else {
            return;
        };
        let estimate = Tick(now.0.saturating_sub(age));
        let as_of = match status.directory_read {
            Some(read) => self.record_read(now, read, estimate),
            None => Some(estimate),
        };
        let own = self.directory.borrow().digest();
        let Some(as_of) = as_of.filter(|_| status.directory_digest == Some(own)) else {
            return;
        };
        if Some(as_of) > self.directory_as_of.get() && status.store_era == self.store_era.get() {
            self.directory.borrow_mut().confirm_listed();
        }
        self.confirm_read(as_of, status.directory_read);
    }

    /// As of when a copy holds that was requested at `sent` and had this age.
    pub(crate) fn copied_as_of(&self, sent: Tick, age: Duration, read: Option<ReadId>) -> Tick {
        let known = read.and_then(|read| self.known_reads.borrow().sent(read));
        known.unwrap_or_else(|| {
            let estimate = Tick(sent.0.saturating_sub(age));
            let recorded = read.and_then(|read| self.record_read(self.now(), read, estimate));
            recorded.unwrap_or(estimate)
        })
    }

    /// Returns `true` if an answer at `now` ends an outage of the registry. A host that has left the
    /// reading to others knows from the age of the directories whether they have read meanwhile.
    pub(crate) fn ends_outage(&self, now: Tick) -> bool {
        let others = self.peers.borrow().newest_directory(now);
        let newest = self.directory_as_of.get().max(others);
        newest.is_some_and(|at| now.since(at) > self.bounds.get().outage_age())
    }

    /// Time since the directory was last known to contain every change of the registry.
    pub(crate) fn directory_age(&self, now: Tick) -> Option<Duration> {
        self.directory_as_of.get().map(|at| now.since(at))
    }

    /// Returns `true` if the directory is older than that of a host with this status, or `None` if
    /// that host is an earlier build, which reports no age.
    pub(crate) fn is_older_than(&self, now: Tick, status: SyncStatus) -> Option<bool> {
        let age = status.directory_age()?;
        let reads = self.known_reads.borrow();
        let known = status.directory_read.and_then(|read| reads.sent(read));
        let theirs = known.unwrap_or(Tick(now.0.saturating_sub(age)));
        let same = reads.is_current(status.directory_read);
        Some(!same && self.directory_as_of.get() < Some(theirs))
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
        let overdue = self
            .directory_as_of
            .get()
            .map_or(now, |at| at.after(bounds.takeover_age(position)));
        let leads = reads.ended.is_some() && reads.ended >= self.directory_as_of.get();
        let pace = match (position, reads.ended) {
            (0, Some(at)) => Some(at.after(bounds.registry_pace(0))),
            // Nobody has a more current directory than this host, which has taken over.
            (_, Some(at)) if leads => Some(at.after(bounds.registry_pace(0))),
            (1, Some(at)) => Some(at.after(bounds.registry_pace(1))),
            _ => None,
        };
        let due = pace.map_or(overdue, |at| at.min(overdue));
        match reads.failed {
            Some(failed) if position >= RELAYS => due.max(failed.after(self.retry_delay(position))),
            _ => due,
        }
    }

    fn retry_delay(&self, position: usize) -> Duration {
        if !self.has_directory() {
            return FIRST_RETRY_DELAY;
        }
        let step = u32::try_from(position - RELAYS + 1).unwrap_or(u32::MAX);
        PROBE_STAGGER.saturating_mul(step)
    }

    /// Logs a read of the registry by a host that has left it to others so far.
    pub(crate) fn log_takeover(&self, now: Tick, reads: &Reads) {
        let position = self.peers.borrow().position(now);
        let recent = reads.ended.is_some_and(|at| now.since(at) < TAKEOVER_QUIET);
        if position > 0 && !recent && self.directory_as_of.get().is_some() {
            info!(self.log, "directory overdue"; "position" => position,
                "directory_age_ms" => age_ms(now, self.directory_as_of.get()));
        }
    }
}
