//! Progress of an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use trefoil_core::Clock;

/// Checks of the progress within the time for which it may pause.
const CHECKS: u32 = 4;

/// Number of bytes that a connection has received, for a task other than the one that reads them.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Number of bytes received so far.
    pub fn received(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Completes once no byte was received for `pause`, or after `most` in any case.
    ///
    /// The time that a transfer takes grows with its size and with the other traffic of the link. A
    /// limit of the whole transfer that is too short for it is too short for each retry as well.
    pub async fn stalled(&self, clock: &dyn Clock, pause: Duration, most: Duration) {
        let begun = clock.now();
        let (mut received, mut since) = (self.received(), begun);
        while clock.now().since(since) < pause && clock.now().since(begun) < most {
            clock.sleep(pause / CHECKS).await;
            let before = std::mem::replace(&mut received, self.received());
            if received != before {
                since = clock.now();
            }
        }
    }

    pub(super) fn add(&self, count: usize) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }
}
