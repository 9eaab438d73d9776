//! Age of a copy of data in the store.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use trefoil_core::Tick;

use super::KnownReads;
use crate::message::ReadId;

/// How current this host's copy of data in the store is.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// The copy contains every change that the store had accepted at this tick.
    as_of: Cell<Option<Tick>>,
    /// Reads of the store that the ages of copies count from.
    reads: RefCell<KnownReads>,
}

impl Freshness {
    /// As of when the copy holds.
    pub(crate) fn as_of(&self) -> Option<Tick> {
        self.as_of.get()
    }

    /// Time since the copy was last known to contain every change.
    pub(crate) fn age(&self, now: Tick) -> Option<Duration> {
        self.as_of.get().map(|at| now.since(at))
    }

    /// The newest read that the copy contains.
    pub(crate) fn read(&self) -> Option<ReadId> {
        self.reads.borrow().current()
    }

    /// Returns `true` if this is the newest read that the copy contains.
    pub(crate) fn is_current(&self, read: Option<ReadId>) -> bool {
        self.reads.borrow().is_current(read)
    }

    /// Records that the copy contains every change that the store had accepted at `as_of`, when the
    /// read was sent.
    pub(crate) fn confirm(&self, as_of: Tick, read: Option<ReadId>) {
        if self.as_of.get() < Some(as_of) {
            self.as_of.set(Some(as_of));
            self.reads.borrow_mut().set_current(read);
        }
    }

    /// Records a report that a read was sent at `estimate`, see [`KnownReads::record`].
    pub(crate) fn record(
        &self,
        now: Tick,
        read: ReadId,
        estimate: Tick,
        span: Duration,
    ) -> Option<Tick> {
        self.reads.borrow_mut().record(now, read, estimate, span)
    }

    /// When a read was sent, by this host's clock, if it is the newest known one of its host.
    pub(crate) fn sent(&self, read: ReadId) -> Option<Tick> {
        self.reads.borrow().sent(read)
    }
}
