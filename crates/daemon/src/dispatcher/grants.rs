//! Grants to an upstream that checks fencing tokens.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard, PoisonError};

use futures_lite::FutureExt;
use slog::warn;
use trefoil_core::Shard;

use super::driver::Driver;
use super::exchange;

impl Driver {
    pub(super) async fn renew_grant(self: Arc<Self>) {
        let _guard = self.granting.lock().await;
        let shards = self.lock().admission.renew_grant(self.shared.clock.now());
        if !shards.is_empty() {
            self.send_grant(&shards).await;
        }
    }

    /// Sends a grant and returns whether the upstream accepted it. `granting` must be locked: a
    /// grant that arrives after a newer one would revoke the shards that only the newer one has.
    pub(super) async fn send_grant(&self, shards: &[Shard]) -> bool {
        let Some(token) = self.authority.token(self.name()) else {
            return false;
        };
        let sent =
            exchange::send_grant(self.address(), token, self.shared.clock.unix(), shards).await;
        match &sent {
            Ok(()) => {
                *self.confirmed() = shards.iter().copied().collect();
                self.confirm.notify(usize::MAX);
            }
            Err(e) => {
                warn!(self.shared.logger, "upstream did not accept the grant";
                    "upstream" => %self.name(), "error" => %e);
            }
        }
        sent.is_ok()
    }

    fn confirmed(&self) -> MutexGuard<'_, BTreeSet<Shard>> {
        self.confirmed
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until the upstream has accepted a grant of the shard, at most for the timeout of a
    /// grant. The upstream refuses requests that arrive before the grant.
    pub(super) async fn await_grant(&self, shard: Shard) {
        let accepted = async {
            loop {
                let listener = self.confirm.listen();
                if !self.is_fenced() || self.confirmed().contains(&shard) {
                    return;
                }
                listener.await;
            }
        };
        let timeout = self.shared.clock.sleep(exchange::GRANT_TIMEOUT);
        accepted.or(timeout).await;
    }

    /// Returns whether the upstream checks fencing tokens.
    pub(super) fn is_fenced(&self) -> bool {
        self.settings.fenced
    }
}
