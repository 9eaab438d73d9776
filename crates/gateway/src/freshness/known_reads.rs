//! Reads of the registry by all hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::Tick;

use crate::message::ReadId;

/// The newest known read of each host, and the one that the directory contains.
#[derive(Debug, Default)]
pub(crate) struct KnownReads {
    /// Number of the read and when it was sent, by this host's clock.
    newest: BTreeMap<u32, (u64, Tick)>,
    current: Option<ReadId>,
}

impl KnownReads {
    /// Records a report that a read was sent at `estimate`. Returns the estimate of the first report
    /// of this read, or `None` if a later read of the same host is known.
    ///
    /// Each report lacks its latency, and what this host reports comes back to it, so later
    /// estimates of a known read do not count. Reads are kept for twice the age `span` up to which a
    /// report of an unknown one counts; otherwise a forgotten read would be learned again from hosts
    /// that have not forgotten it yet.
    pub(crate) fn record(
        &mut self,
        now: Tick,
        read: ReadId,
        estimate: Tick,
        span: Duration,
    ) -> Option<Tick> {
        match self.newest.get(&read.host) {
            Some((number, _)) if *number > read.number => None,
            Some((number, sent)) if *number == read.number => Some(*sent),
            _ if now.since(estimate) >= span => None,
            _ => {
                self.newest
                    .retain(|_, (_, sent)| now.since(*sent) < 2 * span);
                self.newest.insert(read.host, (read.number, estimate));
                Some(estimate)
            }
        }
    }

    /// When a read was sent, by this host's clock, if it is the newest known one of its host.
    pub(crate) fn sent(&self, read: ReadId) -> Option<Tick> {
        let (number, sent) = self.newest.get(&read.host)?;
        (*number == read.number).then_some(*sent)
    }

    /// The newest read that the directory contains, unless an earlier build, which names no reads,
    /// has reported its age.
    pub(crate) fn current(&self) -> Option<ReadId> {
        self.current
    }

    /// Returns `true` if this is the newest read that the directory contains.
    pub(crate) fn is_current(&self, read: Option<ReadId>) -> bool {
        read.is_some() && read == self.current
    }

    /// Replaces the newest read that the directory contains.
    pub(crate) fn set_current(&mut self, read: Option<ReadId>) {
        self.current = read;
    }
}
