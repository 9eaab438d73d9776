//! A kernel timer that ends the process if it is stopped past the end of its lease.
//!
//! The lease is checked immediately before a request is handed to the socket, but a process can be
//! stopped between the check and the write, and would write when it wakes. The timer counts on
//! `CLOCK_BOOTTIME` and raises SIGKILL, which takes effect also on a stopped process and before the
//! process executes another instruction. A healthy process that loses its lease closes its
//! connections in time and disarms the timer.
//!
//! The timer belongs to a thread of its own, because the handle of a kernel timer cannot move
//! between threads. A call returns when the kernel has taken the new time, so a lease is never in
//! use before its timer is armed.

use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use nix::errno::Errno;
use nix::sys::signal::{SigEvent, SigevNotify, Signal};
use nix::sys::time::TimeSpec;
use nix::sys::timer::{Expiration, Timer, TimerSetTimeFlags};
use nix::time::ClockId;
use trefoil_core::Tick;

type Set = (Option<Tick>, SyncSender<Result<(), Errno>>);

/// The kernel timer of this process.
#[derive(Debug)]
pub struct Watchdog {
    sets: SyncSender<Set>,
}

impl Watchdog {
    /// A timer that is not armed.
    ///
    /// # Errors
    ///
    /// Fails if the kernel has no room for the timer or its thread.
    pub fn new() -> Result<Self, Errno> {
        let (sets, receiver) = sync_channel(1);
        let (created, result) = sync_channel(1);
        let thread = thread::Builder::new().name("watchdog".to_owned());
        let spawned = thread.spawn(move || serve(&receiver, &created));
        spawned.map_err(|e| e.raw_os_error().map_or(Errno::EAGAIN, Errno::from_raw))?;
        result.recv().unwrap_or(Err(Errno::ESRCH))?;
        Ok(Self { sets })
    }

    /// Arms the timer for a tick of the system's clock, in place of an earlier tick.
    ///
    /// # Errors
    ///
    /// Fails if the kernel refuses the time.
    pub fn arm(&mut self, at: Tick) -> Result<(), Errno> {
        self.set(Some(at))
    }

    /// Disarms the timer.
    ///
    /// # Errors
    ///
    /// Fails if the timer's thread has ended.
    pub fn disarm(&mut self) -> Result<(), Errno> {
        self.set(None)
    }

    fn set(&self, at: Option<Tick>) -> Result<(), Errno> {
        let (done, result) = sync_channel(1);
        self.sets.send((at, done)).or(Err(Errno::ESRCH))?;
        result.recv().unwrap_or(Err(Errno::ESRCH))
    }
}

fn serve(sets: &Receiver<Set>, created: &SyncSender<Result<(), Errno>>) {
    let notify = SigevNotify::SigevSignal {
        signal: Signal::SIGKILL,
        si_value: 0,
    };
    let timer = Timer::new(ClockId::CLOCK_BOOTTIME, SigEvent::new(notify));
    let mut timer = match timer {
        Ok(timer) => timer,
        Err(e) => {
            // The receiver waits for exactly this one answer.
            let _ = created.send(Err(e));
            return;
        }
    };
    let _ = created.send(Ok(()));
    while let Ok((at, done)) = sets.recv() {
        // A time of zero would disarm the timer.
        let span = at.map_or(Duration::ZERO, |at| at.0.max(Duration::from_nanos(1)));
        let expiration = Expiration::OneShot(TimeSpec::from(span));
        let _ = done.send(timer.set(expiration, TimerSetTimeFlags::TFD_TIMER_ABSTIME));
    }
}
