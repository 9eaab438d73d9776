//! Reading and writing tables in the store.
//!
//! The tables of all services are records of one compacted topic, keyed by the name of the service.
//! The coordinator appends as the producer of that name, with its term as the epoch. Once a higher
//! epoch is set, the store refuses the writes of all lower ones.

use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use bytes::Bytes;
use slog::{info, warn};
use trefoil_core::{Era, ServiceName, Tick};
use trefoil_ranges::{Author, Claim, Coordinator, Table, Takeover, Timing};
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

/// Least distance between the times of consecutive term numbers. After the store has lost records,
/// fences are counted up from the term number, so the next one must be above all that were used.
const TERM_DISTANCE_MS: u64 = 1000;

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
/// written, unless the store has lost records.
pub(super) async fn take_over(host: &Rc<Host>, service: &ServiceName) -> Result<Term, StoreError> {
    let mut above = last_term(host, service);
    loop {
        let number = next_term_number(host, above);
        let era = set_epoch(host, service, number).await?;
        let table = read_table_in(host, service, era).await?;
        let lost_since = lost_since(host, service, table.as_ref(), era);
        let author = table.as_ref().and_then(|table| table.author);
        let author_term = author.map_or(0, |author| author.term);
        if lost_since.is_some() && number < next_term_floor(author_term) {
            above = author_term;
            continue;
        }
        let claim = Claim {
            host: host.id,
            address: Some(host.config.peer),
            term: number,
            era,
        };
        return begin_term(host, service, claim, table, lost_since).await;
    }
}

async fn begin_term(
    host: &Host,
    service: &ServiceName,
    claim: Claim,
    table: Option<Table>,
    lost_since: Option<Tick>,
) -> Result<Term, StoreError> {
    let now = host.now();
    let timing = timing(host);
    let table = table.unwrap_or_else(|| Table::new(service.clone()));
    // What an author from before the loss says of its grants does not cover those after it.
    let author = table.author.filter(|_| lost_since.is_none());
    let predecessor = author.map(|author| Predecessor::new(now, author));
    let table_era = table.era;
    let takeover = Takeover {
        lost_since,
        known_version: known_version(host, service),
        earlier: earlier_grants_end(host, now, &timing, author),
        table,
    };
    let (table, earlier) = claim.take_over(now, &timing, takeover);
    let append = table_append(&table, claim.term, 1)?;
    // The store takes the table only if no other host has taken over until then.
    let sent = host.now();
    ensure_era(claim.era, host.store.append(append).await?.era)?;
    let now = host.now();
    let mut coordinator = Coordinator::new(now, table, timing, earlier);
    coordinator.confirm_term(sent);
    if let Some(until) = coordinator.unlisted_until() {
        info!(host.log, "table is of an earlier era"; "service" => %service, "term" => claim.term,
            "term_era" => claim.era.0, "table_era" => table_era.0, "wait_ms" => until.since(now).as_millis());
    }
    Ok(Term::new(now, claim, coordinator, predecessor, sent))
}

/// Sets the epoch of a term, and returns the era in which the store did so.
async fn set_epoch(host: &Host, service: &ServiceName, number: u64) -> Result<Era, StoreError> {
    let epoch = Append::epoch(PARTITION, producer(service, number, 0));
    Ok(host.store.append(epoch).await?.era)
}

fn ensure_era(expected: Era, found: Era) -> Result<(), StoreError> {
    if found == expected {
        Ok(())
    } else {
        Err(rejected("the store has lost records meanwhile"))
    }
}

/// Reads the newest table of a service, which fails unless all answers are of one era.
async fn read_table_in(
    host: &Host,
    service: &ServiceName,
    era: Era,
) -> Result<Option<Table>, StoreError> {
    let (table, found) = read_table(host, service).await?;
    ensure_era(era, found)?;
    Ok(table)
}

/// If the store has lost the newest table, since when this host knows of the present era.
fn lost_since(host: &Host, service: &ServiceName, table: Option<&Table>, era: Era) -> Option<Tick> {
    let seen = host.observe_era();
    let lost = match table {
        Some(table) => table.era < era,
        None => seen.has_risen || known_version(host, service) > 0,
    };
    lost.then_some(seen.since)
}

/// Highest version of the table that any host has reported.
fn known_version(host: &Host, service: &ServiceName) -> u64 {
    let reported = host.peers.borrow().last_coordinator(service);
    let reported = reported.map_or(0, |seen| seen.revision.version);
    reported.max(host.tables.borrow().revision(service).version)
}

/// Highest number of an earlier term that this host knows of.
fn last_term(host: &Host, service: &ServiceName) -> u64 {
    let reported = host.peers.borrow().last_term(service);
    reported.max(host.tables.borrow().revision(service).term)
}

/// A number above that of an earlier term. The time of day is above them even if no host remembers
/// them. The low bits differ between two hosts that campaign at the same moment.
fn next_term_number(host: &Host, above: u64) -> u64 {
    let time = host.clock.unix().0 << TERM_RANDOM_BITS;
    let random = rand::random::<u64>() & ((1 << TERM_RANDOM_BITS) - 1);
    time.max(next_term_floor(above)) | random
}

/// Lowest number of a term after one with the number `earlier`.
fn next_term_floor(earlier: u64) -> u64 {
    ((earlier >> TERM_RANDOM_BITS) + TERM_DISTANCE_MS) << TERM_RANDOM_BITS
}

/// The claim under which a term goes on after the store has lost records.
#[derive(Debug)]
pub(super) struct Reestablished {
    pub(super) claim: Claim,
    pub(super) table: Table,
    /// When the call that the store confirmed the claim by was sent.
    pub(super) sent: Tick,
}

/// Establishes a term in the present era of the store. Retries until it is known whether another
/// host has taken over in this era, in which case nothing is returned.
pub(super) async fn reestablish(host: Rc<Host>, service: ServiceName, events: Sender<Event>) {
    while !events.is_closed() {
        let result = try_reestablish(&host, &service).await;
        match result {
            Ok(outcome) => {
                // The channel is closed only when the term has ended.
                let _ = events
                    .send(Event::Reestablished(outcome.map(Box::new)))
                    .await;
                return;
            }
            Err(error) => {
                warn!(host.log, "term not re-established"; "service" => %service,
                    "reason" => %error);
                host.clock.sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn try_reestablish(
    host: &Host,
    service: &ServiceName,
) -> Result<Option<Reestablished>, StoreError> {
    let era = host.store.era();
    let others = |table: Option<Table>| {
        let table = table.filter(|table| table.era == era);
        let author = table.and_then(|table| table.author);
        author.is_some_and(|author| author.host != host.id)
    };
    // A coordinator of this era must not be fenced, so the table is read before the epoch is set.
    if others(read_table_in(host, service, era).await?) {
        return Ok(None);
    }
    let own = host.terms.borrow().get(service).map_or(0, |t| t.number);
    let number = next_term_number(host, own.max(last_term(host, service)));
    match set_epoch(host, service, number).await {
        Err(StoreError::Fenced) if host.store.era() == era => return Ok(None),
        set => ensure_era(era, set?)?,
    }
    if others(read_table_in(host, service, era).await?) {
        return Ok(None);
    }
    let claim = Claim {
        host: host.id,
        address: Some(host.config.peer),
        term: number,
        era,
    };
    let sent = host.now();
    let table = host
        .terms
        .borrow()
        .get(service)
        .map(|term| claim.reestablish(sent, &term.coordinator, known_version(host, service)));
    let Some(table) = table else { return Ok(None) };
    match host.store.append(table_append(&table, number, 1)?).await {
        Err(StoreError::Fenced) if host.store.era() == era => return Ok(None),
        written => ensure_era(era, written?.era)?,
    }
    Ok(Some(Reestablished { claim, table, sent }))
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
pub(super) async fn write_table(
    host: Rc<Host>,
    append: Append,
    number: u64,
    events: Sender<Event>,
) {
    loop {
        let result = host.store.append(append.clone()).await.map(|done| done.era);
        if let Err(error) = &result {
            warn!(host.log, "table not written"; "reason" => %error);
        }
        let answered = !result.as_ref().is_err_and(StoreError::is_outage);
        if answered || events.is_closed() {
            // The channel is closed only when the term has ended.
            let _ = events.send(Event::TableWritten(number, result)).await;
            return;
        }
        host.clock.sleep(RETRY_DELAY).await;
    }
}

/// Confirms a term with the store at once and at a fixed interval. Confirmations overlap, because an
/// answer may be lost.
pub(super) async fn confirm_periodically(
    host: Rc<Host>,
    service: ServiceName,
    events: Sender<Event>,
) {
    loop {
        let number = host.terms.borrow().get(&service).map(|term| term.number);
        if let Some(number) = number {
            spawn_confirmation(&host, &service, number, &events);
        }
        host.clock.sleep(CONFIRM_INTERVAL).await;
    }
}

fn spawn_confirmation(host: &Rc<Host>, service: &ServiceName, number: u64, events: &Sender<Event>) {
    let (shared, events, service) = (Rc::clone(host), events.clone(), service.clone());
    let confirming = async move {
        let sent = shared.now();
        let result = set_epoch(&shared, &service, number).await;
        let ended = Event::ConfirmEnded {
            sent,
            number,
            result,
        };
        // The channel is closed only when the term has ended.
        let _ = events.send(ended).await;
    };
    host.spawn(confirming).detach();
}

/// Reads the newest table of a service, and the era of the store.
pub(super) async fn read_table(
    host: &Host,
    service: &ServiceName,
) -> Result<(Option<Table>, Era), StoreError> {
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
            let table = Table::decode(&item.value).map_err(|e| rejected(&e))?;
            if let Some(author) = table.author {
                host.greet_author(author);
            }
            return Ok((Some(table), page.era));
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.more || after.is_none() {
            return Ok((None, page.era));
        }
    }
}
