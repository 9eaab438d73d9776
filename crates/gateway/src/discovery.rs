//! Discovery of the other hosts.
//!
//! At its start a host reads the [`HostInfo`] of all hosts from a compacted topic, sends a greeting
//! to each of them, and appends its own record if it is missing. After that it reads the topic
//! again. So of two hosts that start at the same time, at least the one that appended last finds
//! the other.
//!
//! When the store comes back from an older copy, which may lack the record, the host does the same
//! again, after a random wait so that the calls of all hosts are spread.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use slog::{info, warn};
use trefoil_core::{HostId, Tick};
use trefoil_store::{Append, KeyedRecord, Newest, PartitionId, StoreError, Topic};

use crate::config::HostConfig;
use crate::host::Host;
use crate::message::{HostInfo, Message};

/// Partition with the records of all hosts.
const PARTITION: PartitionId = PartitionId::first(Topic::fixed("keyed.trefoil-hosts"));

/// Wait after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Longest wait before a host looks for its record in a store that has come back from a copy.
const RETURN_SPREAD: Duration = Duration::from_secs(3);

/// The identity of a host with these settings.
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

/// Registers this host in the store and greets all registered hosts, at once and after each return
/// of the store from an older copy. Never returns.
pub async fn discover_hosts(host: Rc<Host>) {
    loop {
        let restored = host.events.store_restored.listen();
        introduce(&host).await;
        restored.await;
        let wait = RETURN_SPREAD.mul_f64(rand::random());
        host.clock.sleep(wait).await;
    }
}

async fn introduce(host: &Host) {
    loop {
        match try_discover(host).await {
            Ok(count) => {
                info!(host.log, "introduced"; "hosts" => count);
                let first = host.discovered.get().unwrap_or(host.now());
                host.discovered.set(Some(first));
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
        // Hosts that have registered since the first read may not have seen this one.
        (count, _) = greet_listed(host, &partition, &own).await?;
    }
    Ok(count)
}

/// Greets all registered hosts. Returns their number, and whether this host is registered.
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
                // The record of an earlier incarnation of this host is sufficient. Others only need
                // its address; the greeting carries the current incarnation.
                Ok(other) if is_own_entry(&other, own) => listed = true,
                Ok(other) => {
                    greet(host, sent, own, other);
                    count += 1;
                }
                Err(reason) => host.log_rejected("host record", &reason),
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
        // A lost answer does no harm: a retry writes identical data.
        host.store
            .append(Append::new(partition, record.encode()))
            .await?;
    }
    Ok(())
}

fn greet(host: &Host, now: Tick, own: &HostInfo, other: HostInfo) {
    let mut peers = host.peers.borrow_mut();
    let address = other.address;
    if host.discovered.get().is_some() && peers.knows(address) {
        return;
    }
    peers.add_listed(now, other);
    peers.queue([address], &Message::Hello(own.clone(), true));
}
