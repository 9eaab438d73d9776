//! Readiness of a socket.

use std::cell::{Cell, RefCell};
use std::task::{Context, Poll, Waker};

use smallvec::SmallVec;

/// Readiness of a socket in one direction.
#[derive(Debug)]
pub(crate) struct Direction {
    /// The socket has not refused an operation since its last event.
    ready: Cell<bool>,
    /// The peer has closed this direction, or the socket has failed. No further event follows.
    ended: Cell<bool>,
    /// Tasks that wait for readiness.
    wakers: RefCell<SmallVec<[Waker; 1]>>,
}

impl Direction {
    fn new(ready: bool) -> Self {
        Self {
            ready: Cell::new(ready),
            ended: Cell::new(false),
            wakers: RefCell::default(),
        }
    }

    /// Returns whether the next operation is tried without waiting for an event.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.get()
    }

    /// Waits until the socket is ready.
    pub(crate) fn poll_ready(&self, cx: &Context<'_>) -> Poll<()> {
        if self.ready.get() {
            return Poll::Ready(());
        }
        let mut wakers = self.wakers.borrow_mut();
        if !wakers.iter().any(|waker| waker.will_wake(cx.waker())) {
            wakers.push(cx.waker().clone());
        }
        Poll::Pending
    }

    /// Records an event.
    pub(crate) fn set_ready(&self, ended: bool) {
        self.ready.set(true);
        self.ended.set(self.ended.get() || ended);
        for waker in self.wakers.take() {
            waker.wake();
        }
    }

    /// Lets the next operation ask the socket, whose next event may not have been received yet.
    pub(crate) fn assume_ready(&self) {
        self.ready.set(true);
    }

    /// Records that the socket has refused an operation, which shows that an event follows.
    pub(crate) fn set_blocked(&self) {
        self.ready.set(false);
    }

    /// Records that the socket has accepted or returned fewer bytes than it was asked for, so it
    /// would refuse the next operation.
    pub(crate) fn set_drained(&self) {
        self.ready.set(self.ended.get());
    }
}

/// Readiness of a socket.
#[derive(Debug)]
pub(crate) struct Source {
    pub(crate) read: Direction,
    pub(crate) write: Direction,
}

impl Source {
    /// State of a socket whose first operations are tried at once, except writes if it is not
    /// `connected` yet.
    pub(crate) fn new(connected: bool) -> Self {
        Self {
            read: Direction::new(connected),
            write: Direction::new(connected),
        }
    }
}
