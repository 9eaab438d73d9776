//! Wakes the thread of an event loop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::Wake;

use nix::sys::eventfd::{EfdFlags, EventFd};

/// Waker of the future that an event loop runs.
#[derive(Debug)]
pub(crate) struct Notifier {
    /// Interrupts a wait for events.
    event: EventFd,
    /// The future must be polled.
    notified: AtomicBool,
    /// The thread waits for events, or is about to.
    waiting: AtomicBool,
}

impl Notifier {
    /// Creates a notifier.
    ///
    /// # Errors
    ///
    /// Fails if the process has no free descriptor.
    pub(crate) fn new() -> nix::Result<Self> {
        Ok(Self {
            event: EventFd::from_flags(EfdFlags::EFD_CLOEXEC | EfdFlags::EFD_NONBLOCK)?,
            notified: AtomicBool::new(false),
            waiting: AtomicBool::new(false),
        })
    }

    /// The descriptor that becomes readable when a wait is to be interrupted.
    pub(crate) fn descriptor(&self) -> &EventFd {
        &self.event
    }

    /// Returns whether the future was woken since the last call.
    pub(crate) fn take(&self) -> bool {
        self.notified.swap(false, Ordering::SeqCst)
    }

    /// Announces a wait for events. Returns `false` if the future was woken already.
    pub(crate) fn begin_wait(&self) -> bool {
        self.waiting.store(true, Ordering::SeqCst);
        !self.notified.load(Ordering::SeqCst)
    }

    /// Ends a wait for events.
    pub(crate) fn end_wait(&self) {
        self.waiting.store(false, Ordering::SeqCst);
    }

    /// Resets the descriptor after it has interrupted a wait.
    pub(crate) fn reset(&self) {
        // It fails if another reset was faster, which has the same effect.
        let _ = self.event.read();
    }
}

impl Wake for Notifier {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.notified.swap(true, Ordering::SeqCst) && self.waiting.load(Ordering::SeqCst) {
            // It fails only if the counter is at its limit, and the descriptor is readable then.
            let _ = self.event.write(1);
        }
    }
}
