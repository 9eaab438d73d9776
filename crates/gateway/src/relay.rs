//! Exchange of load and state between hosts.
//!
//! The hosts of a failure domain report to its two relays. The first relay aggregates the reports.
//! It sends a digest to all hosts of its domain, and the sums of its domain to the relays of the
//! other domains. So a host sends and receives a few datagrams per tick regardless of the number of
//! hosts, and a relay as many as its domain has hosts. The second relay does the same less often
//! and takes over when the first one falls silent.
//!
//! The relays read the configuration and the registry, and so does any other host whose own copy is
//! too old, see [`crate::freshness`]. The others receive changes of the directory in digests. They fetch a newer
//! configuration from any host that has it. They copy the whole directory, if its digest differs,
//! from the first relay that reaches the store, or from any host that is more current once their
//! own is too old.

mod handle;
mod health_parts;
mod parts;
mod schedule;

use std::collections::BTreeMap;
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::FutureExt;
use slog::{debug, info, warn};
use trefoil_balance::{Estimate, Tag};
use trefoil_core::{HostId, Tick};
use trefoil_reactor::Async;

use crate::freshness::Source;
use crate::host::Host;
use crate::message::{
    ChangeItem, DATAGRAM_MAX, Exchange, Message, OpenItem, Report, SyncStatus, TimeItem,
};
use crate::peers::{RELAYS, whole_millis};
use crate::{coordinator, fetch, warmup};
use schedule::{Due, Schedule};

pub use schedule::tick_interval;

/// Most items in one datagram, so that it stays below [`DATAGRAM_MAX`].
const ITEMS_MAX: usize = 110;

/// Most items in a datagram that also has limits of upstreams.
const ITEMS_BESIDE_LIMITS: usize = ITEMS_MAX / 2;

/// Smallest weight of an estimate that is sent, in observations.
const WEIGHT_MIN: f64 = 0.2;

/// Wait after a socket error.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Receives datagrams. Never returns.
pub async fn receive(host: Rc<Host>, socket: Rc<Async<UdpSocket>>) {
    let mut buffer = vec![0; 2 * DATAGRAM_MAX];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((size, from)) => match Message::decode(&buffer[..size]) {
                Ok(message) => handle::handle(&host, from, message),
                Err(reason) => debug!(host.log, "datagram dropped"; "from" => %from,
                    "reason" => %reason),
            },
            Err(error) => {
                warn!(host.log, "cannot receive datagrams"; "reason" => %error);
                host.clock.sleep(RETRY_DELAY).await;
            }
        }
        flush(&host, &socket).await;
    }
}

/// Sends reports and digests. Never returns.
pub async fn send(host: Rc<Host>, socket: Rc<Async<UdpSocket>>) {
    let mut schedule = Schedule::default();
    let mut was_relay = host.peers.borrow().is_relay(host.now());
    loop {
        let now = host.now();
        let interval = tick_interval(host.peers.borrow().domain_hosts(now));
        let is_relay = tick(&host, now, schedule.take_due(now, interval));
        if is_relay && !was_relay {
            host.events.promoted.notify(usize::MAX);
        }
        was_relay = is_relay;
        flush(&host, &socket).await;
        let next = host.clock.sleep(interval);
        let flushed = async {
            loop {
                host.events.outbox.listen().await;
                flush(&host, &socket).await;
            }
        };
        next.or(flushed).await;
    }
}

/// Sends the queued datagrams. Those that the socket rejects are dropped; datagrams may be lost
/// anyway.
pub async fn flush(host: &Host, socket: &Async<UdpSocket>) {
    let outbox = host.peers.borrow_mut().take_outbox();
    for (to, bytes) in outbox {
        let size = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        host.metrics.datagram_bytes.inc_by(size);
        if let Err(error) = socket.send_to(&bytes, to).await {
            debug!(host.log, "datagram not sent"; "to" => %to, "reason" => %error);
        }
    }
}

/// The synchronization status that this host reports.
pub(crate) fn sync_status(host: &Host, now: Tick) -> SyncStatus {
    SyncStatus {
        config_version: host.config_version().0,
        directory_digest: host.offered_directory(),
        store_age_ms: host.store_seen.get().map(|at| whole_millis(now.since(at))),
        directory_age_ms: host.directory_age(now).map(whole_millis),
        directory_read: host.directory_freshness.read(),
        config_age_ms: host.config_freshness.age(now).map(whole_millis),
        config_read: host.config_freshness.read(),
        store_era: host.store_era.get(),
        config_era: host.config_era.get(),
    }
}

/// Sends what is due at a tick. Returns whether this host is a relay.
fn tick(host: &Host, now: Tick, due: Due) -> bool {
    if due.rare {
        host.peers.borrow_mut().expire(now);
    }
    host.expire_changes(now);
    let position = host.peers.borrow().position(now);
    coordinator::record_own_terms(host, now);
    match position {
        0 => send_digest(host, now, due),
        // A change that only the second relay has read must reach the others as soon as one that
        // the first relay has read.
        1 if due.slow || !host.changes.borrow().is_empty() => send_digest(host, now, due),
        _ => {}
    }
    if position > 0 {
        send_report(host, now, due.slow);
    }
    host.judge_upstreams(now);
    forward_keys(host, now, position);
    let peers = host.peers.borrow();
    let hosts = i64::from(peers.all_hosts(now));
    let before = host.metrics.hosts.set(hosts);
    if before != hosts {
        info!(host.log, "hosts changed"; "hosts" => hosts, "before" => before,
            "position" => position);
    }
    position < RELAYS
}

fn own_open(host: &Host) -> BTreeMap<Tag, u32> {
    let balancer = host.balancer.borrow();
    let mut sums = BTreeMap::new();
    for (tag, load) in balancer.tagged_loads() {
        if load.own_open() > 0 {
            *sums.entry(tag).or_default() += load.own_open();
        }
    }
    sums
}

fn own_times(host: &Host, now: Tick) -> Vec<(Tag, Estimate)> {
    let balancer = host.balancer.borrow();
    let times = balancer
        .tagged_loads()
        .map(|(tag, load)| (tag, load.own_estimate(now)));
    times
        .filter(|(_, time)| time.weight() > WEIGHT_MIN)
        .collect()
}

fn open_items(open: &BTreeMap<Tag, u32>) -> Vec<OpenItem> {
    let items = open.iter();
    let item = |(tag, open): (&Tag, &u32)| OpenItem {
        tag: *tag,
        open: *open,
    };
    items.map(item).collect()
}

fn time_items<I>(times: I) -> Vec<TimeItem>
where
    I: IntoIterator<Item = (Tag, Estimate)>,
{
    let item = |(tag, time): (Tag, Estimate)| {
        let mean = time.mean()?;
        Some(TimeItem {
            tag,
            mean: u32::try_from(mean.as_micros() / 100).unwrap_or(u32::MAX),
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "weights are sums of a few seconds of requests"
            )]
            weight: (time.weight() * 10.0) as u32,
        })
    };
    times.into_iter().filter_map(item).collect()
}

fn decode_estimates(now: Tick, items: &[TimeItem]) -> Vec<(Tag, Estimate)> {
    let estimate = |item: &TimeItem| {
        let mean = Duration::from_micros(u64::from(item.mean) * 100);
        let weight = f64::from(item.weight) / 10.0;
        (item.tag, Estimate::from_mean(now, mean, weight))
    };
    items.iter().map(estimate).collect()
}

fn open_pairs(items: &[OpenItem]) -> Vec<(Tag, u32)> {
    items.iter().map(|item| (item.tag, item.open)).collect()
}

/// Reports to the first relay, and if it is `slow` to the second one.
fn send_report(host: &Host, now: Tick, slow: bool) {
    let open = own_open(host);
    let times = if slow {
        time_items(own_times(host, now))
    } else {
        Vec::new()
    };
    let limits = host.report_limits(now);
    let health = host.report_health(now);
    let waiting = host.report_waiting();
    let mut peers = host.peers.borrow_mut();
    let relays = peers.relays(now);
    let Some(first) = relays.first().copied() else {
        return;
    };
    let keys = peers.take_keys().into_iter().collect();
    let mut report = Report {
        from: host.id,
        status: sync_status(host, now),
        open: open_items(&open),
        times,
        keys,
        terms: coordinator::term_items(host, now),
        limits: Vec::new(),
        extensions: host.evacuation_extensions(),
    };
    // A report that exceeds one datagram drops estimates first.
    report.open.truncate(ITEMS_MAX);
    report.times.truncate(ITEMS_MAX - report.open.len());
    let health = health_parts::report_parts(&report, &health);
    // The part with all open requests comes last.
    let parts = parts::report_parts(&report, &limits, waiting);
    for part in health.into_iter().chain(parts) {
        peers.queue([first], &Message::Report(part));
    }
    if slow && let Some(second) = relays.get(1) {
        // Each key must be counted once.
        report.keys.clear();
        for part in parts::report_parts(&report, &[], Vec::new()) {
            peers.queue([*second], &Message::Report(part));
        }
    }
    drop(peers);
    host.reported_open.replace(open);
}

/// Sends digests to the hosts of this domain, and exchanges to the relays of the others.
fn send_digest(host: &Host, now: Tick, due: Due) {
    let Due { slow, rare, .. } = due;
    let mut local = {
        let mut tally = host.local_loads.borrow_mut();
        tally.expire(now);
        tally.open()
    };
    let remote = {
        let mut tally = host.remote_loads.borrow_mut();
        tally.expire(now);
        tally.open()
    };
    apply_peer_loads(host, now, &local, &remote);
    for (tag, open) in own_open(host) {
        *local.entry(tag).or_default() += open;
    }
    let (domain_times, times) = if slow {
        join_times(host, now)
    } else {
        Default::default()
    };
    let remote = if due.remote {
        open_items(&remote)
    } else {
        Vec::new()
    };
    let (domain_limits, all_limits) = host.join_limits(now);
    let limits = host.limit_items(now, &all_limits);
    let (domain_health, all_health) = host.join_health(now);
    let mut digests = parts::digests(host, now, &open_items(&local), &remote, &times, &limits);
    let health = digests
        .first()
        .map(|first| health_parts::digest_parts(first, &all_health));
    digests.extend(health.into_iter().flatten());
    let (domain_waiting, waiting) = host.join_waiting(now);
    host.waiting.wake_first(now);
    digests.extend(parts::waiting_digest(host, now, waiting));
    let mut peers = host.peers.borrow_mut();
    let to = peers.domain_addresses(now, rare);
    for digest in digests {
        peers.queue(to.iter().copied(), &Message::Digest(digest));
    }
    if due.remote {
        let exchange = Exchange {
            from: host.id,
            domain: host.config.domain.clone(),
            status: sync_status(host, now),
            hosts: peers.domain_hosts(now),
            open: open_items(&local),
            times: domain_times,
            terms: peers.terms(now),
            part: 0,
            parts: 1,
            limits: host.limit_items(now, &domain_limits),
            extensions: host.evacuation_extensions(),
        };
        let most = if slow { RELAYS } else { 1 };
        let to = peers.remote_relays(now, most, rare);
        let mut parts = health_parts::exchange_parts(&exchange, &domain_health);
        parts.extend(parts::waiting_exchange(&exchange, domain_waiting));
        parts.extend(parts::exchange_parts(&exchange));
        for part in parts {
            peers.queue(to.iter().copied(), &Message::Exchange(part));
        }
        drop(peers);
        warmup::notify_cold_upstreams(host, now, &to);
    }
}

/// Joins the estimates that this relay has and applies them to itself. Returns those of its domain
/// and those of all domains.
fn join_times(host: &Host, now: Tick) -> (Vec<TimeItem>, Vec<TimeItem>) {
    let local = host.local_loads.borrow().times(now);
    let domain = merge_estimates(now, local, own_times(host, now));
    let remote = host.remote_loads.borrow().times(now);
    let all = merge_estimates(now, domain.clone(), remote);
    for (tag, time) in &all {
        let mut balancer = host.balancer.borrow_mut();
        balancer.update_loads(*tag, |load| load.set_shared(*time));
    }
    (time_items(domain), time_items(all))
}

fn merge_estimates<I>(
    now: Tick,
    mut sums: BTreeMap<Tag, Estimate>,
    more: I,
) -> BTreeMap<Tag, Estimate>
where
    I: IntoIterator<Item = (Tag, Estimate)>,
{
    for (tag, time) in more {
        let sum = sums
            .entry(tag)
            .or_insert_with(|| Estimate::default().at(now));
        *sum = sum.merge(time.at(now));
    }
    sums
}

/// Applies the open requests of other hosts to this host's balancer.
fn apply_peer_loads(
    host: &Host,
    now: Tick,
    local: &BTreeMap<Tag, u32>,
    remote: &BTreeMap<Tag, u32>,
) {
    let mut balancer = host.balancer.borrow_mut();
    for (tag, open) in local {
        balancer.update_loads(*tag, |load| load.set_local(now, *open));
    }
    for (tag, open) in remote {
        balancer.update_loads(*tag, |load| load.set_remote(now, *open));
    }
}

/// Forwards requested keys to the coordinators of their services.
fn forward_keys(host: &Host, now: Tick, position: usize) {
    if position > 0 && !host.peers.borrow().relays(now).is_empty() {
        // The keys are part of the report.
        return;
    }
    let keys = host.peers.borrow_mut().take_keys();
    for (service, keys) in keys {
        if host.terms.borrow().contains_key(&service) {
            coordinator::record_keys(host, &service, keys);
            continue;
        }
        let mut peers = host.peers.borrow_mut();
        let coordinator = peers.coordinator(now, &service);
        if let Some(address) = coordinator.and_then(|s| peers.address(s.host)) {
            peers.queue([address], &Message::Keys(service, keys));
        }
    }
}

/// Applies changes that a relay tells. Those of a host with an older directory are not news and
/// could undo newer ones. So could those of a host with the same content, except that an upstream
/// has become cold again, which the digest of the content does not show.
fn apply_change_items(host: &Host, now: Tick, status: SyncStatus, items: Vec<ChangeItem>) {
    let older = host.is_older_than(now, status);
    let is_news = older.unwrap_or_else(|| !host.reads_store(now));
    if items.is_empty() {
        return;
    }
    let mut directory = host.directory.borrow_mut();
    let changes = items.into_iter().filter_map(|item| match item {
        ChangeItem::Set(registration) if !is_news => directory.renew_reported(registration),
        ChangeItem::Set(registration) => directory.register_reported(registration),
        ChangeItem::Gone(_) if !is_news => None,
        ChangeItem::Gone(removal) => {
            directory.remove_reported(now, &removal.incarnation, removal.sequence)
        }
    });
    let changes: Vec<_> = changes.collect();
    drop(directory);
    host.apply_changes(changes, Source::Digest);
    if !is_news {
        return;
    }
    // The directory may have the same content as that of the relay now.
    host.compare_directory(now, status);
}

/// Fetches a configuration or directory that is newer at another host.
fn catch_up(host: &Host, from: HostId, status: SyncStatus) {
    let now = host.now();
    let known = (host.config_version().0, host.config_era.get());
    if (status.config_version, status.config_era) > known {
        fetch::fetch_config(host, from, now, status);
    }
    let Some(digest) = status.directory_digest else {
        return;
    };
    // A directory with the same content is not copied, but makes this host's complete.
    let same = digest == host.directory.borrow().digest();
    if same && host.has_directory() && host.directory_differs.get().is_none() {
        return;
    }
    // The two relays read the registry at different times, so a host that copied both would
    // alternate between two views.
    let silence = host.bounds.get().reader_silence();
    let source = host.peers.borrow().directory_source(now, silence) == Some(from);
    // A host without a directory accepts any.
    let urgent = !host.has_directory() || host.needs_copy(now);
    let wanted = match host.is_older_than(now, status) {
        Some(older) => (source || urgent) && (older || same),
        None => (source || !host.has_directory()) && !host.reads_store(now),
    };
    if wanted {
        fetch::fetch_directory(host, from, now, digest, urgent);
    }
}

/// Announces to the other hosts that this one is about to end.
pub async fn announce_leaving(host: &Host, socket: &Async<UdpSocket>) {
    let now = host.now();
    host.peers
        .borrow_mut()
        .broadcast(now, &Message::Leaving(host.id));
    flush(host, socket).await;
}
