//! Getting to know the other hosts.
//!
//! A host reads the cards of all hosts from a compacted topic at its start, greets them, and adds its
//! own [`HostInfo`] if it is not there. After that it reads once more: of two hosts that start at the
//! same time, at least the one whose card was written last finds the other.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use slog::{info, warn};
use trefoil_core::{HostId, Tick};
use trefoil_store::{Append, KeyedRecord, Newest, PartitionId, StoreError, Topic};

use crate::config::HostConfig;
use crate::host::Host;
use crate::message::{HostInfo, Message};

/// Partition with the cards of all hosts.
const PARTITION: PartitionId = PartitionId::first(Topic::fixed("keyed.trefoil-hosts"));

/// Wait after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The card of a host.
pub(crate) fn host_info(id: HostId, config: &HostConfig) -> HostInfo {
    let millicores = (config.cores * 1000.0).clamp(1.0, 1e9);
    HostInfo {
        id,
        name: config.name.clone(),
        domain: config.domain.clone(),
        address: config.peer,
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is clamped to the range of the type"
        )]
        millicores: millicores as u32,
    }
}

/// Writes this host's card into the store and greets the hosts whose cards are there.
pub async fn discover_hosts(host: Rc<Host>) {
    loop {
        match try_discover(&host).await {
            Ok(count) => {
                info!(host.log, "introduced"; "hosts" => count);
                host.discovered.set(Some(host.now()));
                return;
            }
            Err(error) => warn!(host.log, "not introduced yet"; "reason" => %error),
        }
        host.clock.sleep(RETRY_DELAY).await;
    }
}

async fn try_discover(host: &Host) -> Result<usize, StoreError> {
    let partition = PARTITION;
    let own = host.peers.borrow().own().clone();
    let (mut count, listed) = greet_listed(host, &partition, &own).await?;
    if !listed {
        register(host, partition.clone(), &own).await?;
        // Hosts that have added themselves in the meantime may not have seen this one.
        (count, _) = greet_listed(host, &partition, &own).await?;
    }
    Ok(count)
}

/// Greets the hosts whose cards are listed; returns how many, and whether this host is among them.
async fn greet_listed(
    host: &Host,
    partition: &PartitionId,
    own: &HostInfo,
) -> Result<(usize, bool), StoreError> {
    let (mut after, mut count, mut listed) = (None, 0, false);
    loop {
        let newest = Newest {
            partition: partition.clone(),
            after,
        };
        let sent = host.now();
        let page = host.store.newest(newest).await?;
        host.store_answered(sent);
        after = page.items.last().map(|item| item.key.clone());
        for item in &page.items {
            match postcard::from_bytes::<HostInfo>(&item.value) {
                // The card of an earlier process of this host serves as well: its address is what
                // others need, and the greeting tells them who is there now.
                Ok(other) if is_own_entry(&other, own) => listed = true,
                Ok(other) => {
                    greet(host, sent, own, other);
                    count += 1;
                }
                Err(reason) => host.log_rejected("card of a host", &reason),
            }
        }
        if !page.more || after.is_none() {
            return Ok((count, listed));
        }
    }
}

fn is_own_entry(listed: &HostInfo, own: &HostInfo) -> bool {
    let listed = HostInfo {
        id: own.id,
        ..listed.clone()
    };
    listed == *own
}

async fn register(host: &Host, partition: PartitionId, own: &HostInfo) -> Result<(), StoreError> {
    let value = postcard::to_allocvec(own).unwrap_or_default();
    if let Some(record) = KeyedRecord::set(own.name.as_str(), Bytes::from(value)) {
        // Whether an answer was lost does not matter: a repeat writes the same.
        host.store
            .append(Append::new(partition, record.encode()))
            .await?;
    }
    Ok(())
}

fn greet(host: &Host, now: Tick, own: &HostInfo, other: HostInfo) {
    let mut peers = host.peers.borrow_mut();
    let address = other.address;
    peers.add_listed(now, other);
    peers.queue([address], &Message::Hello(own.clone(), true));
}
