//! Cancellation of requests, and access to upstreams that are leaving or lost.

use std::time::Duration;

use smallvec::SmallVec;
use snafu::OptionExt;
use trefoil_core::Tick;

use super::Admission;
use crate::ticket::NotFoundSnafu;
use crate::{Actions, Cancelled, Dropped, ServiceTime, ShedReason, TicketError, TicketId};

/// Time from the start of a drain during which queued requests may still be started.
pub const DRAIN_QUEUE_TIME: Duration = Duration::from_secs(2);

/// Permission to send requests to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    /// Requests are admitted.
    Open,
    /// Nothing new is admitted; queued requests may start until the given tick.
    Draining(Tick),
    /// Nothing is sent.
    Closed,
}

impl Admission {
    /// Cancels a request on behalf of its caller. A running request is cancelled only if it is
    /// idempotent: cancelling a non-idempotent one would make its outcome unknown.
    ///
    /// # Errors
    ///
    /// Fails if no such request is queued or running.
    pub fn cancel(&mut self, now: Tick, id: TicketId) -> Result<Cancelled, TicketError> {
        if let Some(dropped) = self.drop_queued(now, id, ShedReason::Cancelled) {
            return Ok(Cancelled::Removed(dropped));
        }
        let run = self.running.get_mut(&id).context(NotFoundSnafu { id })?;
        if !run.request.idempotent {
            return Ok(Cancelled::Continues);
        }
        run.closing = true;
        Ok(Cancelled::Close)
    }

    /// Sets the access to the upstream, see [`Health::access`].
    ///
    /// When the upstream is lost, its queue is handed back and the connections of its idempotent
    /// requests are closed. An upstream that returns from [`Access::Closed`] is cold: its limit
    /// starts again at 1.
    ///
    /// [`Health::access`]: crate::Health::access
    pub fn set_access(&mut self, now: Tick, access: Access) -> Actions {
        let before = std::mem::replace(&mut self.access, access);
        let mut actions = Actions::default();
        match access {
            Access::Closed if before != Access::Closed => {
                self.ownership.stop_grants();
                actions.dropped = self.drop_all(now);
                // An idempotent request can run on the standby instead. A non-idempotent one keeps
                // its connection, since only a late answer can settle its outcome.
                for (&id, run) in &mut self.running {
                    if run.request.idempotent && !run.closing {
                        run.closing = true;
                        actions.close.push(id);
                    }
                }
            }
            Access::Open if before == Access::Closed => {
                self.ownership.resume_grants();
                self.limit.reset();
                self.service_time = ServiceTime::default();
            }
            Access::Open | Access::Draining(_) | Access::Closed => {}
        }
        actions
    }

    /// Hands back all queued requests.
    pub(super) fn drop_all(&mut self, now: Tick) -> SmallVec<[Dropped; 4]> {
        let ids = self.queue.ids(None);
        let dropped = |id| self.drop_queued(now, id, ShedReason::Unavailable);
        ids.into_iter().filter_map(dropped).collect()
    }
}
