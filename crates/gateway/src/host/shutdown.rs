//! Shutdown of the host.

use trefoil_core::Tick;
use trefoil_route::Idempotency;

use super::Host;

/// Times of a shutdown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StopTimes {
    /// The load balancer sends no new connections from here on.
    pub(crate) late_from: Tick,
    /// The process ends.
    pub(crate) end: Tick,
}

impl Host {
    /// Starts the shutdown: the host is no longer ready.
    pub(crate) fn leave(&self, times: StopTimes) {
        self.leaving.set(true);
        self.stop_times.set(Some(times));
        self.log_readiness_change();
        self.waiting.wake_all();
    }

    /// Returns `true` if the host stops and may end before the answer to a request with this
    /// deadline. One that must not run twice is refused from the stop signal on, because its caller
    /// can send it elsewhere only while it has not run. Others are taken for as long as the load
    /// balancer may send new connections.
    pub(crate) fn ends_before(&self, now: Tick, deadline: Tick, idempotency: Idempotency) -> bool {
        self.stop_times.get().is_some_and(|times| {
            let late = now > times.late_from || idempotency == Idempotency::AtMostOnce;
            late && deadline > times.end
        })
    }
}
