//! A kernel timer that kills the process if it is suspended past the end of its lease.
//!
//! The lease is checked immediately before a request is written to the socket. A process that is
//! suspended between the check and the write would still write when it resumes. The timer runs on
//! `CLOCK_BOOTTIME` and raises SIGKILL, which also takes effect on a stopped process, before it
//! executes another instruction. A healthy process that loses its lease closes its connections in
//! time and disarms the timer.
//!
//! The timer is owned by a dedicated thread, because the handle of a kernel timer cannot move
//! between threads. [`Watchdog::arm`] returns after the kernel has set the timer, so a lease is
//! never used before its timer is armed.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use nix::errno::Errno;
use nix::sys::signal::{SigEvent, SigevNotify, Signal};
use nix::sys::time::TimeSpec;
use nix::sys::timer::{Expiration, Timer, TimerSetTimeFlags};
use nix::time::ClockId;
use trefoil_core::Tick;

type TimerRequest = (Option<Tick>, SyncSender<Result<(), Errno>>);

/// The kernel timer of this process.
#[derive(Debug)]
pub struct Watchdog {
    requests: SyncSender<TimerRequest>,
}

impl Watchdog {
    /// Creates a timer that is not armed.
    ///
    /// # Errors
    ///
    /// Fails if the kernel cannot create the timer or its thread.
    pub fn new() -> Result<Self, Errno> {
        let (requests, receiver) = sync_channel(1);
        let (created, result) = sync_channel(1);
        let thread = thread::Builder::new().name("watchdog".to_owned());
        let spawned = thread.spawn(move || run_timer(&receiver, &created));
        spawned.map_err(|e| e.raw_os_error().map_or(Errno::EAGAIN, Errno::from_raw))?;
        result.recv().unwrap_or(Err(Errno::ESRCH))?;
        Ok(Self { requests })
    }

    /// Arms the timer for a tick of the system clock. Replaces the tick of an earlier call.
    ///
    /// # Errors
    ///
    /// Fails if the kernel rejects the time or the thread of the timer has ended.
    pub fn arm(&mut self, at: Tick) -> Result<(), Errno> {
        self.set(Some(at))
    }

    /// Disarms the timer.
    ///
    /// # Errors
    ///
    /// Fails if the thread of the timer has ended.
    pub fn disarm(&mut self) -> Result<(), Errno> {
        self.set(None)
    }

    fn set(&self, at: Option<Tick>) -> Result<(), Errno> {
        let (done, result) = sync_channel(1);
        self.requests.send((at, done)).or(Err(Errno::ESRCH))?;
        result.recv().unwrap_or(Err(Errno::ESRCH))
    }
}

fn run_timer(requests: &Receiver<TimerRequest>, created: &SyncSender<Result<(), Errno>>) {
    let notify = SigevNotify::SigevSignal {
        signal: Signal::SIGKILL,
        si_value: 0,
    };
    let timer = Timer::new(ClockId::CLOCK_BOOTTIME, SigEvent::new(notify));
    let mut timer = match timer {
        Ok(timer) => timer,
        Err(e) => {
            // The receiver waits for exactly one result.
            let _ = created.send(Err(e));
            return;
        }
    };
    let _ = created.send(Ok(()));
    while let Ok((at, done)) = requests.recv() {
        // An expiration of zero would disarm the timer.
        let span = at.map_or(Duration::ZERO, |at| at.0.max(Duration::from_nanos(1)));
        let expiration = Expiration::OneShot(TimeSpec::from(span));
        let _ = done.send(timer.set(expiration, TimerSetTimeFlags::TFD_TIMER_ABSTIME));
    }
}
