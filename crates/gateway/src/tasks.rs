//! Tasks that run for as long as the process.
//!
//! The executor drops a task that panics, and the other tasks go on without its work. A host whose
//! configuration or registry is no longer followed would look healthy and decide by old data, so
//! the end of such a task stops the host.

use std::panic::AssertUnwindSafe;

use event_listener::Event;
use futures_lite::FutureExt;
use slog::crit;
use smol::Task;

use crate::host::Host;

/// The first permanent task that has ended.
#[derive(Debug, Default)]
pub(crate) struct EndedTask {
    name: std::cell::Cell<Option<&'static str>>,
    event: Event,
}

impl EndedTask {
    /// Name of the task, if one has ended.
    pub(crate) fn name(&self) -> Option<&'static str> {
        self.name.get()
    }

    /// Completes once a permanent task has ended.
    pub(crate) async fn wait(&self) {
        while self.name.get().is_none() {
            self.event.listen().await;
        }
    }

    fn record(&self, name: &'static str) {
        self.name.set(self.name.get().or(Some(name)));
        self.event.notify(usize::MAX);
    }
}

impl Host {
    /// Spawns a task that must not end. If it does, by a panic or by returning, the host logs that
    /// and stops.
    pub fn spawn_permanent<F>(&self, name: &'static str, future: F) -> Task<()>
    where
        F: Future<Output = ()> + 'static,
    {
        let host = self.to_shared();
        self.spawn(async move {
            let result = AssertUnwindSafe(future).catch_unwind().await;
            let Some(host) = host else { return };
            let reason = match &result {
                Ok(()) => "it has returned",
                Err(panic) => panic_text(panic.as_ref()),
            };
            crit!(host.log, "task ended"; "task" => name, "reason" => reason);
            host.ended_task.record(name);
        })
    }
}

fn panic_text(panic: &(dyn std::any::Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let text = text.or_else(|| panic.downcast_ref::<String>().map(String::as_str));
    text.unwrap_or("it has panicked")
}
