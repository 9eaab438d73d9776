//! Readiness of a host for requests.

use slog::info;

use super::Host;

impl Host {
    pub(crate) fn set_directory_loaded(&self) {
        self.directory_loaded.set(true);
        self.log_readiness_change();
    }

    /// Logs a change of readiness.
    pub(crate) fn log_readiness_change(&self) {
        let ready = self.is_ready();
        if ready {
            self.started_up.set(true);
        }
        if self.was_ready.replace(ready) != ready {
            info!(self.log, "readiness changed"; "ready" => ready, "leaving" => self.leaving.get(),
                "listed" => self.directory_loaded.get(), "config" => self.config_version().0,
                "upstreams" => self.directory.borrow().len());
        }
    }

    /// Returns `true` if the host can answer requests and is not shutting down. A host that is ready
    /// stays so when settings begin to allow evacuations.
    pub fn is_ready(&self) -> bool {
        !self.leaving.get()
            && self.directory_loaded.get()
            && self.router.borrow().is_some()
            && (self.was_ready.get() || self.knows_evacuations())
    }

    /// Returns `true` if this host has just started and its configuration may be in force without the
    /// evacuated domains.
    pub(crate) fn lacks_evacuations(&self) -> bool {
        !self.started_up.get() && !self.knows_evacuations()
    }
}
