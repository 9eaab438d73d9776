//! Joining and leaving the deployment.

use std::time::Duration;

use slog::{info, warn};
use trefoil_core::Revision;
use trefoil_log::{Body, Verdict};

use crate::shared::Shared;

/// Time in which a record must be read back.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait after a failed attempt to join.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Records this incarnation in the log; returns once the record was read back.
pub async fn join(shared: &Shared) {
    loop {
        let until = shared.clock.now().after(SUBMIT_TIMEOUT);
        match shared
            .decide(Revision(0), Body::Joined(shared.host.clone()), until)
            .await
        {
            Ok(Verdict::Accepted { revision }) => {
                info!(shared.logger, "joined"; "host" => %shared.host.id, "revision" => %revision);
                return;
            }
            Ok(verdict) => warn!(shared.logger, "join not accepted"; "verdict" => ?verdict),
            Err(e) => warn!(shared.logger, "join not written"; "error" => %e),
        }
        shared.clock.sleep(RETRY_WAIT).await;
    }
}

/// Records that this incarnation has left. The host stops in any case; if the record cannot be
/// written, its lease ends instead.
pub async fn leave(shared: &Shared) {
    let until = shared.clock.now().after(SUBMIT_TIMEOUT);
    match shared
        .decide(
            Revision(0),
            Body::Left {
                host: shared.host.id,
            },
            until,
        )
        .await
    {
        Ok(verdict) => info!(shared.logger, "left"; "verdict" => ?verdict),
        Err(e) => warn!(shared.logger, "leaving not written"; "error" => %e),
    }
}
