//! Follows the configuration and the registry in the store.
//!
//! Both are compacted topics. A follower reads the newest record of each key first and then the
//! records after it. If those have been deleted, or if the store has come back from an older copy,
//! it starts again with the newest records.
//!
//! The configuration changes rarely and must be in force soon, so its follower long-polls the store
//! for the next record. The poll is short, because its answer also confirms that the configuration
//! in force is the newest. The registry changes with every heartbeat of every upstream, so a long
//! poll would return at once every time. It is read at a fixed pace instead.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use slog::{info, warn};
use trefoil_core::{Offset, Tick, UpstreamName};
use trefoil_directory::Registration;
use trefoil_store::{Era, KeyedRecord, Newest, PartitionId, Read, StoreError};

use crate::evacuation::{Records, RejectedKeys};
use crate::freshness::{Reads, Source};
use crate::host::Host;

/// Time between two checks whether this host must read the store, by a relay, or by any host whose
/// read is due and cannot start.
const ROLE_INTERVAL: Duration = Duration::from_millis(50);

/// Time between two checks by the other hosts. The age of their copies tells when their next read
/// is due, unless they become relays.
const OTHERS_INTERVAL: Duration = Duration::from_millis(200);

/// Time since a host's last read of the registry after which it reads the newest records anew. The
/// records since then would be more than that.
const POSITION_MAX_AGE: Duration = Duration::from_secs(3);

/// Wait after a failed call. It doubles up to [`BACKOFF_MAX`] if the store refused the call,
/// because refused calls are charged. A call that did not reach the store costs nothing.
const BACKOFF: Duration = Duration::from_millis(150);

/// Longest wait after a refused call.
const BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Keys with their new values, or `None` for removed keys.
type KeyedValues = Vec<(String, Option<Bytes>)>;

/// Follows the configuration. Never returns.
pub async fn follow_config(host: Rc<Host>) {
    let (partition, key) = host.platform.config_partition();
    let key = key.to_owned();
    let mut follower = Follower::new(&host, partition, Duration::ZERO);
    let mut reads = Reads::default();
    let mut rejected = RejectedKeys::default();
    loop {
        let now = host.now();
        let due = host.config_due(now, &reads);
        // A read beside a fetch would slow down both, and a fetch that is stalled ends soon.
        if host.defers_first_read(now) || now < due || host.fetching_config.is_receiving() {
            wait_for_role(&host, now, due).await;
            continue;
        }
        host.log_config_takeover(now, &reads);
        follower.wait = host.bounds.get().config_wait();
        follower.adopt(host.config_start());
        let Some(answer) = follower.try_next().await else {
            let now = host.now();
            reads.failed = Some(now);
            if host.router().is_none() || host.peers.borrow().is_relay(now) {
                follower.back_off().await;
            }
            continue;
        };
        reads.succeeded(host.now());
        let mut evacuations = Records {
            changes: Vec::new(),
            complete: answer.complete,
            end: Position {
                offset: answer.next,
                era: answer.era,
            },
        };
        if answer.complete {
            let present = answer.records.iter().filter(|(_, value)| value.is_some());
            rejected.retain_present(present.map(|(name, _)| name.as_str()));
        }
        for (name, value) in answer.records {
            match (value, host.platform.evacuation_domain(&name)) {
                (Some(value), _) if name == key => load_config(&host, &value, answer.era),
                (value, Some(Ok(domain))) => evacuations.changes.push((domain, value.is_some())),
                (value, Some(Err(reason)))
                    if host.has_evacuations() && rejected.record(name, value.is_some()) =>
                {
                    host.log_rejected("evacuation", &reason);
                }
                _ => {}
            }
        }
        host.config_position.set(follower.position);
        let has_all = host.apply_evacuations(evacuations) && host.router().is_some();
        if let Some(as_of) = follower.read_as_of.filter(|_| has_all) {
            host.confirm_config(as_of);
        }
    }
}

/// Waits until `due`, but not for long: the role of the host and the age of its copy change.
async fn wait_for_role(host: &Host, now: Tick, due: Tick) {
    let wake = match () {
        () if now >= due => now.after(ROLE_INTERVAL),
        () if host.peers.borrow().is_relay(now) => due.min(now.after(ROLE_INTERVAL)),
        () => due.min(now.after(OTHERS_INTERVAL)),
    };
    host.clock.sleep_until(wake).await;
}

/// Decodes a configuration that was read in `era` and puts it in force.
pub fn load_config(host: &Host, value: &Bytes, era: Era) {
    if host.raw_config.borrow().as_ref() == Some(value) {
        host.config_era.set(host.config_era.get().max(era));
        return;
    }
    match host.platform.decode_config(value) {
        Ok((config, rejected)) => {
            for reason in rejected {
                host.log_rejected("part of the configuration", &reason);
            }
            if host.apply_config(config, era) {
                // A clone would keep the whole answer of the store in memory.
                host.raw_config.replace(Some(Bytes::copy_from_slice(value)));
            }
        }
        Err(reason) => host.log_rejected("configuration", &reason),
    }
}

/// Follows the registry. Never returns.
pub async fn follow_registry(host: Rc<Host>) {
    let mut follower = Follower::new(&host, host.platform.registry_partition(), Duration::ZERO);
    let mut reads = Reads::default();
    loop {
        let now = host.now();
        let expired = host.directory.borrow_mut().expire(now, follower.read_as_of);
        host.apply_changes(expired, Source::Registry);
        let recheck = host.directory.borrow().needs_complete_read(now);
        let next_expiry = host.directory.borrow().next_expiry();
        let due = match host.registry_due(now, &reads) {
            // The other hosts wait for the decision of the relays.
            _ if recheck && reads.failed.is_none() && host.peers.borrow().is_relay(now) => now,
            // A read decides whether upstreams are still missing.
            due if reads.failed.is_none() => next_expiry.map_or(due, |at| due.min(at)),
            due => due,
        };
        if host.defers_first_read(now) || now < due {
            wait_for_role(&host, now, due).await;
            continue;
        }
        let expired = reads
            .ended
            .is_some_and(|at| now.since(at) > POSITION_MAX_AGE);
        if expired || recheck {
            follower.position = None;
        }
        host.log_takeover(now, &reads);
        let Some(answer) = follower.try_next().await else {
            let now = host.now();
            reads.failed = Some(now);
            if host.peers.borrow().is_relay(now) {
                follower.back_off().await;
            }
            continue;
        };
        let now = host.now();
        host.missed_records.set(follower.starts_anew());
        if follower.starts_anew() {
            continue;
        }
        reads.succeeded(now);
        if host.ends_outage(now) {
            host.directory.borrow_mut().on_registry_return(now);
        }
        let changes = apply_records(&host, now, answer);
        host.apply_changes(changes, Source::Registry);
        // This holds after a read of an older copy as well: what the host knows beyond the copy
        // stays, so the directory still contains every change that the registry has.
        if let Some(as_of) = follower.read_as_of {
            host.confirm_directory(as_of);
            host.check_returns(now, as_of);
        }
        host.set_directory_loaded();
    }
}

fn apply_records(host: &Host, now: Tick, answer: Answer) -> Vec<trefoil_directory::Change> {
    let records = answer.records;
    let mut directory = host.directory.borrow_mut();
    if answer.complete {
        let mut listed = Vec::new();
        let mut unreadable = Vec::new();
        for (key, value) in records {
            match value.and_then(|value| decode_registration(host, &key, &value)) {
                Some(registration) => listed.push(registration),
                None => unreadable.extend(key.parse::<UpstreamName>()),
            }
        }
        return directory.replace_from_registry(now, listed, &unreadable);
    }
    let mut keys: HashMap<String, KeyRecords> = HashMap::new();
    for (key, value) in records {
        let of_key = keys.entry(key).or_default();
        of_key.removed = value.is_none();
        of_key.registration = value.or(of_key.registration.take());
    }
    let mut changes = Vec::new();
    for (key, of_key) in keys {
        let registration = of_key.registration;
        let registration = registration.and_then(|value| decode_registration(host, &key, &value));
        changes.extend(registration.and_then(|r| directory.register(r)));
        let removed = key.parse::<UpstreamName>().ok().filter(|_| of_key.removed);
        changes.extend(removed.and_then(|name| directory.mark_missing(now, &name)));
    }
    changes
}

/// Records of one key that were read together.
#[derive(Debug, Default)]
struct KeyRecords {
    /// The newest registration. A removal is told with its position, because other hosts may have
    /// read the registration before.
    registration: Option<Bytes>,
    /// The key was removed after it.
    removed: bool,
}

fn decode_registration(host: &Host, key: &str, value: &Bytes) -> Option<Registration> {
    let read = host.platform.decode_registration(key, value);
    read.inspect_err(|reason| host.log_rejected("registration", reason))
        .ok()
}

/// Records that were read.
#[derive(Debug, Default)]
struct Answer {
    records: KeyedValues,
    /// They are the newest record of each key.
    complete: bool,
    /// Offset of the next read.
    next: Offset,
    /// Offset after the newest record of the partition.
    end: Offset,
    /// Era of the store.
    era: Era,
    /// Time after the arrival of the call for which the store has had no further record.
    waited: Duration,
}

/// Place in a partition, which is valid within one era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) offset: Offset,
    pub(crate) era: Era,
}

/// Reads the records of a compacted topic.
#[derive(Debug)]
struct Follower {
    host: Rc<Host>,
    partition: PartitionId,
    wait: Duration,
    /// Start of the next read, or `None` if the newest record of each key is read next.
    position: Option<Position>,
    /// Highest era that the host knew when the newest records were read last.
    known_era: Option<Era>,
    backoff: Duration,
    /// Wait after the last failed call.
    retry_delay: Duration,
    answered_at: Option<Tick>,
    /// As of when the last read has returned everything up to the end of the partition, if it has.
    read_as_of: Option<Tick>,
    lost: bool,
}

impl Follower {
    fn new(host: &Rc<Host>, partition: PartitionId, wait: Duration) -> Self {
        Self {
            host: Rc::clone(host),
            partition,
            wait,
            position: None,
            known_era: None,
            backoff: BACKOFF,
            retry_delay: BACKOFF,
            answered_at: None,
            read_as_of: None,
            lost: false,
        }
    }

    /// Goes on at a position up to which another host has told this one everything.
    fn adopt(&mut self, position: Option<Position>) {
        if self.position != position {
            self.position = position;
            self.known_era = self.known_era.max(position.map(|p| p.era));
        }
    }

    /// Returns `true` if the next read starts with the newest record of each key.
    fn starts_anew(&self) -> bool {
        self.position.is_none()
    }

    /// Returns the next records, or `None` if the call fails. If they have been deleted, or if the
    /// position does not hold any more, it returns an empty list and the next read starts again
    /// with the newest records.
    async fn try_next(&mut self) -> Option<Answer> {
        loop {
            let sent = self.host.now();
            let host = Rc::clone(&self.host);
            let regained = host.events.store_recovered.listen();
            let restored = host.events.store_restored.listen();
            let era = host.store_era.get();
            if era > self.known_era {
                self.position = None;
            }
            if self.starts_anew() {
                self.known_era = era;
            }
            let read = async {
                Some(match self.position {
                    None => self.read_newest().await,
                    Some(position) => self.read_from(position.offset).await,
                })
            };
            // Another follower reaches the store again, so this call may be blocked on a dead
            // connection, or it starts at a position that does not hold any more.
            let overtaken = async {
                regained.or(restored).await;
                None
            };
            let Some(result) = read.or(overtaken).await else {
                continue;
            };
            match result {
                Ok(answer) if self.position.is_some_and(|p| p.era != answer.era) => {
                    self.on_answer(sent);
                    return Some(self.read_anew());
                }
                Ok(answer) => {
                    self.position = Some(Position {
                        offset: answer.next,
                        era: answer.era,
                    });
                    let as_of = sent.after(answer.waited);
                    self.read_as_of = (answer.next >= answer.end).then_some(as_of);
                    self.on_answer(sent);
                    return Some(answer);
                }
                Err(StoreError::Truncated { first }) => {
                    info!(self.host.log, "records were deleted, reading anew";
                        "place" => %self.partition, "oldest" => first.0);
                    self.on_answer(sent);
                    return Some(self.read_anew());
                }
                Err(error) => {
                    self.on_failure(&error);
                    return None;
                }
            }
        }
    }

    /// Makes the next read start with the newest records.
    fn read_anew(&mut self) -> Answer {
        self.position = None;
        self.read_as_of = None;
        Answer::default()
    }

    async fn read_newest(&self) -> Result<Answer, StoreError> {
        let mut records = Vec::new();
        let mut after = None;
        // Pages are not a snapshot. Reading on from the end of the first page repeats changes made
        // while the others were read.
        let mut first = None;
        loop {
            let newest = Newest {
                partition: self.partition.clone(),
                after,
            };
            let page = self.host.store.newest(newest).await?;
            let (end, era) = *first.get_or_insert((page.end, page.era));
            if era != page.era {
                let reason = "the store came back from a copy between two pages".to_owned();
                return Err(StoreError::Unreachable { reason });
            }
            after = page.items.last().map(|item| item.key.clone());
            let items = page.items.into_iter();
            records.extend(items.map(|item| (item.key, Some(item.value))));
            if !page.more || after.is_none() {
                return Ok(Answer {
                    records,
                    complete: true,
                    next: end,
                    end,
                    era,
                    waited: Duration::ZERO,
                });
            }
        }
    }

    async fn read_from(&self, from: Offset) -> Result<Answer, StoreError> {
        // During an outage the first answer matters more than the next record.
        let wait = if self.lost { Duration::ZERO } else { self.wait };
        let read = Read {
            partition: self.partition.clone(),
            from,
            wait,
        };
        let sent = self.host.now();
        let batch = self.host.store.read(read).await?;
        // A store that answers early without a record has not waited for one until then.
        let waited_out = batch.records.is_empty() && self.host.now().since(sent) >= wait;
        let waited = if waited_out { wait } else { Duration::ZERO };
        let keyed = batch.records.into_iter().filter_map(KeyedRecord::decode);
        let records = keyed.map(|k| (k.key, k.value)).collect();
        Ok(Answer {
            records,
            complete: false,
            next: batch.next,
            end: batch.end,
            era: batch.era,
            waited,
        })
    }

    fn on_answer(&mut self, sent: Tick) {
        self.host.store_answered(sent);
        self.backoff = BACKOFF;
        let now = self.host.now();
        let away = self.answered_at.replace(now).map(|at| now.since(at));
        if std::mem::take(&mut self.lost) {
            info!(self.host.log, "store regained"; "place" => %self.partition,
                "away_ms" => away.unwrap_or_default().as_millis());
            self.host.events.store_recovered.notify(usize::MAX);
        }
    }

    fn on_failure(&mut self, error: &StoreError) {
        self.host.record_answered_era();
        if !std::mem::replace(&mut self.lost, true) {
            warn!(self.host.log, "store lost"; "place" => %self.partition, "reason" => %error);
        }
        self.retry_delay = self.backoff;
        if matches!(error, StoreError::Refused { .. }) {
            self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Waits after a failed call.
    async fn back_off(&self) {
        self.host.clock.sleep(self.retry_delay).await;
    }
}
