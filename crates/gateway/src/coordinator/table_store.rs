//! Reading and writing tables in the store.
//!
//! The tables of all services are records of one compacted topic, keyed by the name of the service.
//! The coordinator appends as the producer of that name, with its term as the epoch. Once a higher
//! epoch is set, the store refuses the writes of all lower ones.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use slog::warn;
use trefoil_core::{ServiceName, Tick};
use trefoil_ranges::{Author, Coordinator, Table, Timing};
use trefoil_store::{Append, Epoch, KeyedRecord, Newest, PartitionId, Producer, StoreError, Topic};

use super::term::{Event, Predecessor, Term};
use crate::host::Host;

/// Partition with the tables of all keyed services.
const PARTITION: PartitionId = PartitionId::first(Topic::fixed("keyed.trefoil-ranges"));

/// Time between two confirmations of a term. A few can fail before the term expires.
pub(super) const CONFIRM_INTERVAL: Duration = Duration::from_millis(600);

/// Wait after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Number of random low bits in a term number.
const TERM_RANDOM_BITS: u32 = 10;

fn rejected<T>(reason: &T) -> StoreError
where
    T: ToString + ?Sized,
{
    StoreError::Rejected {
        reason: reason.to_string(),
    }
}

/// Durations of the ownership protocol, limited by the bounds of the deployment.
fn timing(host: &Host) -> Timing {
    let timing = Timing::default();
    let ttl_max = host.bounds.get().ttl_max;
    Timing {
        ttl: timing.ttl.min(ttl_max),
        long_ttl: timing.long_ttl.min(ttl_max),
        ..timing
    }
}

fn producer(service: &ServiceName, number: u64, sequence: u64) -> Producer {
    Producer {
        name: service.to_string(),
        epoch: Epoch(number),
        sequence,
    }
}

/// Takes over a service: sets a higher epoch, reads the table and writes it under the new term. No
/// order is sent before that write, so only the author of a table can have sent orders since it was
/// written.
pub(super) async fn take_over(host: &Rc<Host>, service: &ServiceName) -> Result<Term, StoreError> {
    let partition = PARTITION;
    let number = next_term_number(host, service);
    let sent = host.now();
    let epoch = Append::epoch(partition, producer(service, number, 0));
    host.store.append(epoch).await?;
    let table = read_table(host, service).await?;
    let now = host.now();
    let timing = timing(host);
    let mut table = table.unwrap_or_else(|| Table::new(service.clone()));
    let predecessor = table.author.map(|author| Predecessor::new(now, author));
    let earlier = earlier_grants_end(host, now, &timing, table.author);
    table.refence_moves();
    set_author(host, &mut table, number, now, earlier);
    host.store.append(table_append(&table, number, 1)?).await?;
    let now = host.now();
    let mut coordinator = Coordinator::new(now, table, timing, earlier);
    coordinator.confirm_term(sent);
    Ok(Term::new(now, number, coordinator, predecessor, sent))
}

/// A number above all earlier terms. The time of day is above them even if no host remembers them.
/// The low bits differ between two hosts that campaign at the same moment.
fn next_term_number(host: &Host, service: &ServiceName) -> u64 {
    let known = host.peers.borrow().last_coordinator(service);
    let known = known.map_or(0, |seen| seen.revision.term);
    let time = host.clock.unix().0.max((known >> TERM_RANDOM_BITS) + 1);
    (time << TERM_RANDOM_BITS) | (rand::random::<u64>() & ((1 << TERM_RANDOM_BITS) - 1))
}

/// Expiry of the last grant of any earlier coordinator.
fn earlier_grants_end(host: &Host, now: Tick, timing: &Timing, author: Option<Author>) -> Tick {
    // A table without an author means that nothing was ever granted.
    let Some(author) = author else { return now };
    let author_earlier = now.after(author.earlier_grants);
    let author_grants = match () {
        () if author.resigned => now,
        () if host.peers.borrow().has_ended(author.host) => timing.last_expiry(now),
        () => timing.earlier_expiry(now),
    };
    author_grants.max(author_earlier)
}

/// Sets this host as the author of a table before it is written.
pub(super) fn set_author(host: &Host, table: &mut Table, number: u64, now: Tick, earlier: Tick) {
    table.version += 1;
    table.author = Some(Author {
        host: host.id,
        term: number,
        earlier_grants: earlier.since(now),
        resigned: false,
    });
}

/// Builds the append that writes a table. Sequence numbers begin at 1.
pub(super) fn table_append(
    table: &Table,
    number: u64,
    sequence: u64,
) -> Result<Append, StoreError> {
    let bytes = table.encode().map_err(|e| rejected(&e))?;
    let record = KeyedRecord::set(table.service.as_str(), Bytes::from(bytes));
    let record = record.ok_or_else(|| rejected("the name of the service is too long"))?;
    let append = Append::new(PARTITION, record.encode());
    Ok(append.by(producer(&table.service, number, sequence)))
}

/// Retries a write until its result is known. The store recognises a retry by its sequence number.
pub(super) async fn write_table(host: Rc<Host>, append: Append, events: Sender<Event>) {
    loop {
        let result = host.store.append(append.clone()).await.map(|_| ());
        if let Err(error) = &result {
            warn!(host.log, "table not written"; "reason" => %error);
        }
        let answered = !result.as_ref().is_err_and(StoreError::is_outage);
        if answered || events.is_closed() {
            // The channel is closed only when the term has ended.
            let _ = events.send(Event::TableWritten(result)).await;
            return;
        }
        host.clock.sleep(RETRY_DELAY).await;
    }
}

/// Confirms a term with the store at a fixed interval. Confirmations overlap, because an answer may
/// be lost.
pub(super) async fn confirm_periodically(
    host: Rc<Host>,
    service: ServiceName,
    number: u64,
    events: Sender<Event>,
) {
    loop {
        host.clock.sleep(CONFIRM_INTERVAL).await;
        let partition = PARTITION;
        let append = Append::epoch(partition, producer(&service, number, 0));
        let (host, events) = (Rc::clone(&host), events.clone());
        let spawner = Rc::clone(&host);
        let confirming = async move {
            let sent = host.now();
            let result = host.store.append(append).await.map(|_| ());
            // The channel is closed only when the term has ended.
            let _ = events.send(Event::ConfirmEnded(sent, result)).await;
        };
        spawner.spawn(confirming).detach();
    }
}

/// Reads the newest table of a service.
pub(super) async fn read_table(
    host: &Host,
    service: &ServiceName,
) -> Result<Option<Table>, StoreError> {
    let partition = PARTITION;
    let mut after = None;
    loop {
        let newest = Newest {
            partition: partition.clone(),
            after,
        };
        let page = host.store.newest(newest).await?;
        let mut items = page.items.iter();
        if let Some(item) = items.find(|item| item.key == service.as_str()) {
            let table = Table::decode(&item.value);
            return table.map(Some).map_err(|e| rejected(&e));
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.more || after.is_none() {
            return Ok(None);
        }
    }
}
