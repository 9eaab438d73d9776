//! Running a future on the event loop.

use std::io;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use nix::sys::epoll::EpollTimeout;
use trefoil_core::{Clock, QueueClock};

use crate::reactor::Reactor;

/// Runs a future on the current thread until it completes, with the timers of `clock` and the
/// sockets of this thread.
///
/// # Errors
///
/// Fails if the process has no free descriptor at its first call on a thread, or if the system call
/// that waits for events fails.
pub fn block_on<F>(clock: &QueueClock, future: F) -> io::Result<F::Output>
where
    F: Future,
{
    let mut future = pin!(future);
    let reactor = Reactor::current()?;
    let notifier = reactor.notifier();
    let waker = Waker::from(Arc::clone(notifier));
    let mut cx = Context::from_waker(&waker);
    loop {
        notifier.take();
        if let Poll::Ready(output) = future.as_mut().poll(&mut cx) {
            return Ok(output);
        }
        let due = clock.next_due();
        let timeout = if notifier.begin_wait() {
            due.map_or(EpollTimeout::NONE, |at| timeout(at.since(clock.now())))
        } else {
            EpollTimeout::ZERO
        };
        reactor.wait(timeout)?;
        clock.wake_due();
    }
}

/// Whole milliseconds, rounded up so that a wait does not end before its timer is due.
fn timeout(span: Duration) -> EpollTimeout {
    let millis = span.as_micros().div_ceil(1000);
    EpollTimeout::try_from(millis).unwrap_or(EpollTimeout::MAX)
}
