//! Finds the coordinator that wrote a table.
//!
//! Hosts find each other through records in the store, and those may be unavailable while the table
//! is not. A table therefore names the address of its author, and a candidate greets an author that
//! it has not found before it takes over.

use std::time::Duration;

use slog::{info, warn};
use trefoil_core::{HostId, ServiceName};
use trefoil_ranges::Author;

use super::{RETRY_DELAY, table_store};
use crate::host::Host;
use crate::message::Message;

/// Time in which the author of a table answers a greeting and reports its term.
const ANSWER_WAIT: Duration = Duration::from_millis(400);

/// Returns `true` if the host that wrote the table last is known to this one, whose reports then
/// show whether it is still the coordinator, or does not answer a greeting. `asked` is the author
/// that was greeted last.
pub(super) async fn is_author_silent(
    host: &Host,
    service: &ServiceName,
    asked: &mut Option<HostId>,
) -> bool {
    let author = match table_store::read_table(host, service).await {
        Ok((table, _)) => table.and_then(|table| table.author),
        Err(reason) => {
            warn!(host.log, "table not read"; "service" => %service, "reason" => %reason);
            host.clock.sleep(RETRY_DELAY).await;
            return false;
        }
    };
    match author {
        Some(author) if !author.resigned && *asked != Some(author.host) => {
            // Reading the table has greeted the author.
            if !host.may_be_unheard(&author) {
                return true;
            }
            *asked = Some(author.host);
            info!(host.log, "author greeted"; "service" => %service, "host" => %author.host,
                "term" => author.term);
            host.clock.sleep(ANSWER_WAIT).await;
            false
        }
        _ => true,
    }
}

impl Host {
    /// Returns `true` if the author of a table is a host that this one has not found, and that can
    /// be greeted.
    fn may_be_unheard(&self, author: &Author) -> bool {
        let peers = self.peers.borrow();
        author.host != self.id
            && author.address.is_some()
            && !peers.has_ended(author.host)
            && peers.address(author.host).is_none()
    }

    /// Greets the author of a table if this host has not found it.
    pub(super) fn greet_author(&self, author: Author) {
        if self.may_be_unheard(&author) {
            let mut peers = self.peers.borrow_mut();
            let hello = Message::Hello(peers.own().clone(), true);
            peers.queue(author.address, &hello);
            self.events.outbox.notify(usize::MAX);
        }
    }
}
