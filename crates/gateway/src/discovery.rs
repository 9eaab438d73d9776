//! Discovery of the other hosts.
//!
//! At its start a host reads the [`HostInfo`] of all hosts from a compacted topic, sends greetings,
//! and appends its own record if it is missing. After that it reads the topic again. So of two hosts
//! that start at the same time, at least the one that appended last finds the other.
//!
//! A host greets the hosts of its own failure domain, and of each other domain only those that rank
//! first, because only relays exchange datagrams with other domains. The greetings of a host thus
//! grow with its domain and the number of domains, and not with that of hosts: a fleet in which all
//! greet all would exchange the square of its size in datagrams when it starts.
//!
//! When the store comes back from an older copy, which may lack the record, the host does the same
//! again, after a random wait so that the calls of all hosts are spread. A host that becomes a relay
//! does it as well: it may have forgotten the relays of the other domains, from whom it has never
//! heard, or they may be newer than its last look.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use slog::{info, warn};
use trefoil_core::{DomainName, HostId};
use trefoil_store::{Append, KeyedRecord, Newest, PartitionId, StoreError, Topic};

use crate::config::HostConfig;
use crate::host::Host;
use crate::message::{HostInfo, Message};
use crate::peers::{RELAYS, rank};

/// Partition with the records of all hosts.
const PARTITION: PartitionId = PartitionId::first(Topic::fixed("keyed.trefoil-hosts"));

/// Wait after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Hosts of another failure domain that are greeted: its relays, and as many that would succeed
/// them.
const GREETED: usize = 2 * RELAYS;

/// Time for which a host has been a relay when it looks for the others. While the relays of a domain
/// are silent, every host of it may take itself for one.
const PROMOTION_WAIT: Duration = Duration::from_secs(3);

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

/// Registers this host in the store and greets registered hosts: at once, after each return of the
/// store from an older copy, and when this host becomes a relay. Never returns.
pub async fn discover_hosts(host: Rc<Host>) {
    loop {
        let mut restored = host.events.store_restored.listen();
        introduce(&host).await;
        let restored = async {
            (&mut restored).await;
            let wait = RETURN_SPREAD.mul_f64(rand::random());
            host.clock.sleep(wait).await;
        };
        restored.or(remain_relay(&host)).await;
    }
}

/// Completes when this host has become a relay and still is one after [`PROMOTION_WAIT`].
async fn remain_relay(host: &Host) {
    loop {
        host.events.promoted.listen().await;
        host.clock.sleep(PROMOTION_WAIT).await;
        if host.peers.borrow().is_relay(host.now()) {
            return;
        }
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

/// Greets registered hosts. Returns how many there are, and whether this host is registered.
async fn greet_listed(
    host: &Host,
    partition: &PartitionId,
    own: &HostInfo,
) -> Result<(usize, bool), StoreError> {
    let (mut after, mut listed) = (None, false);
    let mut others = Vec::new();
    let sent = loop {
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
                Ok(other) => others.push(other),
                Err(reason) => host.log_rejected("host record", &reason),
            }
        }
        if !page.more || after.is_none() {
            break sent;
        }
    };
    let mut peers = host.peers.borrow_mut();
    let hello = Message::Hello(own.clone(), true);
    let to = greeted(&own.domain, &others);
    let again = host.discovered.get().is_some();
    let to = to.filter(|other| !again || !peers.is_heard(sent, other.address));
    let to: Vec<SocketAddr> = to.map(|other| other.address).collect();
    let count = others.len();
    for other in others {
        peers.add_listed(sent, other);
    }
    peers.queue(to, &hello);
    drop(peers);
    host.events.outbox.notify(usize::MAX);
    Ok((count, listed))
}

/// The hosts that a host of `domain` greets.
pub fn greeted<'a>(
    domain: &'a DomainName,
    listed: &'a [HostInfo],
) -> impl Iterator<Item = &'a HostInfo> {
    let mut by_domain: BTreeMap<&DomainName, Vec<&HostInfo>> = BTreeMap::new();
    for info in listed {
        by_domain.entry(&info.domain).or_default().push(info);
    }
    by_domain.into_iter().flat_map(move |(other, mut hosts)| {
        if other != domain {
            hosts.sort_by(|a, b| rank(a).cmp(&rank(b)));
            hosts.truncate(GREETED);
        }
        hosts
    })
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
