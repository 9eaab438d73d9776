//! Coordination of keyed services: one host assigns the key ranges of each of them.
//!
//! That host is the coordinator of the service. A relay campaigns for a service while no
//! coordinator is reported whose term the store has confirmed recently. Candidates start one after
//! the other, the host with the most processor capacity first. A candidate sets a higher epoch for
//! the producer of the service's table, after which the store refuses the writes of all earlier
//! coordinators. The time for which a superseded coordinator can still act without noticing is
//! bounded, see [`trefoil_ranges::Timing`]. One that notices announces its resignation, so that its
//! successor need not wait for that bound.

mod author;
mod backoff;
mod routes;
mod table_store;
mod term;

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use futures_lite::{FutureExt, future};
use slog::{info, warn};
use trefoil_core::{Era, HostId, Key, ServiceName, Tick};
use trefoil_store::StoreError;

use crate::host::Host;
use crate::message::{Candidacy, Message, Resigned, TermItem};
use author::is_author_silent;
use term::{EndReason, Event};

pub use backoff::Backoff;
pub use routes::Reassemblies;
pub use routes::follow_tables;
pub(crate) use routes::{on_routes_part, on_routes_revision, send_routes};
pub use term::{Term, tick_pace};

/// Time after its start in which a host does not campaign, so that it first receives the terms of
/// running coordinators.
const STARTUP_WAIT: Duration = Duration::from_millis(700);

/// Delay between the candidacies of hosts with consecutive ranks.
const CANDIDATE_STAGGER: Duration = Duration::from_millis(300);

/// Time since the last confirmation after which other hosts consider a term as vacant.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time after the store recovers in which a reported coordinator can confirm its term before others
/// campaign. It is enough for two attempts.
const STORE_RETURN_WAIT: Duration = table_store::CONFIRM_INTERVAL.saturating_mul(2);

/// Age of the store's last answer up to which a host campaigns.
const STORE_ANSWER_MAX_AGE: Duration = Duration::from_secs(2);

/// Wait after a term could not be started.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Longest time between two ticks of a term.
const TICK_MAX: Duration = Duration::from_millis(250);

/// Shortest time between two ticks of a term, unless an event arrives.
const TICK_MIN: Duration = Duration::from_millis(5);

/// Time between two announcements of a candidacy, less than half the time for which one holds.
const CANDIDACY_INTERVAL: Duration = Duration::from_millis(600);

/// Longest time for which other hosts wait for a takeover.
const TAKEOVER_MAX: Duration = Duration::from_secs(6);

/// Time between two resignations that a successor is sent until it waits no longer. It may not have
/// begun its term when the first one arrived.
const RESIGNATION_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which a host does not campaign after it could not reach most upstreams.
const ISOLATED_WAIT: Duration = Duration::from_secs(4);

/// The highest era of the store that this host knows of.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraSeen {
    era: Era,
    /// When it was seen first. No coordinator was confirmed in an earlier era after that.
    since: Tick,
    /// This process has seen an earlier era.
    has_risen: bool,
}

impl Host {
    /// The highest era of the store in any answer to this host.
    fn observe_era(&self) -> EraSeen {
        let (era, before) = (self.store.era(), self.era_seen.get());
        let seen = match before {
            Some(seen) if seen.era >= era => seen,
            _ => EraSeen {
                era,
                since: self.now(),
                // Before the first answer, the client reports era 0.
                has_risen: before.is_some(),
            },
        };
        if self.store_seen.get().is_some() {
            self.era_seen.set(Some(seen));
        }
        seen
    }
}

/// Terms in which this host is a coordinator.
pub type Terms = BTreeMap<ServiceName, Term>;

/// A finished term of this host.
#[derive(Debug, Clone, Copy)]
pub struct EndedTerm {
    number: u64,
    /// Expiry of the last grant of this term or an earlier one.
    until: Tick,
    /// When the successor was told last.
    told_at: Tick,
}

/// The last finished term of this host for each service.
pub type EndedTerms = BTreeMap<ServiceName, EndedTerm>;

/// Runs one campaign task for each keyed service of the configuration. Never returns.
pub async fn watch_services(host: Rc<Host>) {
    let mut tasks = BTreeMap::new();
    loop {
        let changed = host.events.config.listen();
        let keyed = host.keyed_services();
        tasks.retain(|name, _| keyed.contains(name));
        for name in keyed {
            tasks.entry(name.clone()).or_insert_with(|| {
                host.spawn_permanent("campaign", campaign(Rc::clone(&host), name))
            });
        }
        changed.await;
    }
}

/// Becomes the coordinator of a service whenever it has none. Never returns.
async fn campaign(host: Rc<Host>, service: ServiceName) {
    let mut not_before = host.now().after(STARTUP_WAIT);
    let mut vacant_since = None;
    let mut backoff = Backoff::default();
    let mut asked = None;
    loop {
        // Only relays campaign.
        let is_relay = host.peers.borrow().is_relay(host.now());
        let pause = if is_relay {
            CANDIDATE_STAGGER / 3
        } else {
            CANDIDATE_STAGGER
        };
        host.clock.sleep(pause).await;
        let now = host.now();
        host.observe_era();
        if now < not_before || !may_campaign(&host, &service, now) {
            vacant_since = None;
            continue;
        }
        let since = *vacant_since.get_or_insert(now);
        if now.since(since) < CANDIDATE_STAGGER * count_candidates_before(&host, now) {
            continue;
        }
        vacant_since = None;
        let looking = is_author_silent(&host, &service, &mut asked);
        if !while_announced(&host, &service, looking).await {
            announce_candidacy(&host, &service, true);
            continue;
        }
        let began = host.now();
        let end = serve_term(&host, &service).await;
        if let Ok(end) = &end {
            info!(host.log, "term ended"; "service" => %service, "reason" => %end);
        }
        let now = host.now();
        not_before = match end {
            Ok(EndReason::Isolated) => now.after(ISOLATED_WAIT),
            Ok(EndReason::Superseded) | Err(StoreError::Fenced) => {
                let term = end.map_or(Duration::ZERO, |_| now.since(began));
                let wait = backoff.after_loss(term, rand::random());
                info!(host.log, "campaign postponed"; "service" => %service,
                    "wait_ms" => wait.as_millis());
                now.after(wait)
            }
            _ => now,
        };
    }
}

fn may_campaign(host: &Host, service: &ServiceName, now: Tick) -> bool {
    let recent = |seen: Option<Tick>| seen.is_some_and(|at| now.since(at) < STORE_ANSWER_MAX_AGE);
    let coordinator = host.peers.borrow().coordinator(now, service);
    let regained = host.store_regained.get();
    let recently_regained = regained.is_some_and(|at| now.since(at) < STORE_RETURN_WAIT);
    let has_coordinator =
        coordinator.is_some_and(|seen| recently_regained || seen.confirmed_age < CONFIRM_TIMEOUT);
    let has_candidate = host.peers.borrow().has_candidate(now, service);
    let is_relay = host.peers.borrow().is_relay(now);
    is_relay
        && !has_candidate
        && host.is_ready()
        && recent(host.store_seen.get())
        && !has_coordinator
}

/// Number of hosts that campaign before this one.
fn count_candidates_before(host: &Host, now: Tick) -> u32 {
    let before = host.peers.borrow().candidates_before(now);
    u32::try_from(before).unwrap_or(u32::MAX)
}

/// Announces to the possible candidates that this host takes over a service, or that it failed to.
fn announce_candidacy(host: &Host, service: &ServiceName, withdrawn: bool) {
    let candidacy = Candidacy {
        from: host.id,
        service: service.clone(),
        withdrawn,
    };
    let now = host.now();
    host.peers
        .borrow_mut()
        .broadcast(now, &Message::Candidacy(candidacy));
    host.events.outbox.notify(usize::MAX);
}

/// Runs a part of a takeover and announces the candidacy of this host meanwhile, so that no other one
/// fences it however slow the store is.
async fn while_announced<F>(host: &Host, service: &ServiceName, takeover: F) -> F::Output
where
    F: Future,
{
    let announcing = async {
        announce_repeatedly(host, service).await;
        future::pending().await
    };
    takeover.or(announcing).await
}

/// Announces the candidacy of this host repeatedly. A takeover that takes too long even so is left to
/// others as well.
async fn announce_repeatedly(host: &Host, service: &ServiceName) {
    let until = host.now().after(TAKEOVER_MAX);
    while host.now() < until {
        announce_candidacy(host, service, false);
        host.clock.sleep(CANDIDACY_INTERVAL).await;
    }
}

/// Takes over a service and runs the term to its end.
///
/// # Errors
///
/// Fails with the error of the store if the takeover does.
async fn serve_term(host: &Rc<Host>, service: &ServiceName) -> Result<EndReason, StoreError> {
    let (events, queue) = async_channel::unbounded();
    info!(host.log, "takeover begun"; "service" => %service);
    let taking_over = table_store::take_over(host, service);
    match while_announced(host, service, taking_over).await {
        Ok(term) => {
            info!(host.log, "term begun"; "service" => %service, "term" => term.number,
                "table" => term.coordinator.table().version,
                "earlier_ms" => term.coordinator.earlier_until().since(host.now()).as_millis());
            host.terms.borrow_mut().insert(service.clone(), term);
        }
        Err(error) => {
            warn!(host.log, "term not begun"; "service" => %service, "reason" => %error);
            announce_candidacy(host, service, true);
            host.clock.sleep(RETRY_DELAY).await;
            return Err(error);
        }
    }
    let confirming =
        table_store::confirm_periodically(Rc::clone(host), service.clone(), events.clone());
    let confirming = host.spawn(confirming);
    let end = run_term(host, service, &events, &queue).await;
    drop(confirming);
    resign(host, service, end).await;
    Ok(end)
}

async fn run_term(
    host: &Rc<Host>,
    service: &ServiceName,
    events: &Sender<Event>,
    queue: &Receiver<Event>,
) -> EndReason {
    loop {
        let began = host.now();
        let ticked = with_term(host, service, |term| {
            term.tick(host, service, events)?;
            let entries = term.coordinator.table().entries().len();
            Ok((term.next_wake(), term::tick_pace(entries)))
        });
        let (next, pace) = match ticked {
            Ok(ticked) => ticked,
            Err(end) => return end,
        };
        let now = host.now();
        let (earliest, latest) = (now.after(TICK_MIN), now.after(TICK_MAX));
        let wake = next.map_or(latest, |at| at.clamp(earliest, latest));
        let changed = host.events.directory.listen();
        let timer = async {
            host.clock.sleep_until(wake).await;
            Event::StateChanged
        };
        let directory_changed = async {
            changed.await;
            Event::StateChanged
        };
        let incoming = async { queue.recv().await.unwrap_or(Event::StateChanged) };
        let event = incoming.or(directory_changed).or(timer).await;
        if let Err(end) = handle_events(host, service, event, queue) {
            return end;
        }
        let next_tick = began.after(pace);
        if host.now() < next_tick {
            host.clock.sleep_until(next_tick).await;
            if let Err(end) = handle_events(host, service, Event::StateChanged, queue) {
                return end;
            }
        }
    }
}

/// Handles an event and those that have arrived since.
fn handle_events(
    host: &Host,
    service: &ServiceName,
    first: Event,
    queue: &Receiver<Event>,
) -> Result<(), EndReason> {
    let mut event = Some(first);
    while let Some(next) = event {
        let now = host.now();
        with_term(host, service, |term| {
            term.handle_event(host, service, now, next)
        })?;
        event = queue.try_recv().ok();
    }
    Ok(())
}

/// Applies a function to a running term, which stays in the map so that its end is noticed.
fn with_term<F, T>(host: &Host, service: &ServiceName, action: F) -> Result<T, EndReason>
where
    F: FnOnce(&mut Term) -> Result<T, EndReason>,
{
    let mut terms = host.terms.borrow_mut();
    terms
        .get_mut(service)
        .map_or(Err(EndReason::Superseded), action)
}

/// Announces the end of a term to other hosts and, if possible, marks it in the store.
async fn resign(host: &Rc<Host>, service: &ServiceName, end: EndReason) {
    let Some(term) = host.terms.borrow_mut().remove(service) else {
        return;
    };
    let now = host.now();
    let ended = EndedTerm {
        number: term.number,
        until: term.coordinator.grants_until(),
        told_at: Tick::default(),
    };
    host.ended_terms.borrow_mut().insert(service.clone(), ended);
    let message = Message::Resigned(resigned_message(host, service, ended, now));
    host.peers.borrow_mut().end_term(service, term.number);
    host.peers.borrow_mut().broadcast(now, &message);
    host.events.outbox.notify(usize::MAX);
    // A table write in flight could be applied after this one and undo the mark.
    let may_write = !term.is_writing() && term.era == host.store.era();
    if !matches!(end, EndReason::Leaving | EndReason::Isolated) || !may_write {
        return;
    }
    let table = term.last_table(now);
    match table_store::table_append(&table, term.number, term.next_sequence()) {
        Ok(append) => {
            // A successor that does not see the mark waits for the expiry of the grants instead.
            if let Err(reason) = host.store.append(append).await {
                warn!(host.log, "last table not written"; "service" => %service,
                    "term" => term.number, "reason" => %reason);
            }
        }
        Err(reason) => warn!(host.log, "table not encoded"; "reason" => %reason),
    }
}

fn resigned_message(host: &Host, service: &ServiceName, ended: EndedTerm, now: Tick) -> Resigned {
    Resigned {
        from: host.id,
        service: service.clone(),
        term: ended.number,
        left: ended.until.since(now),
    }
}

/// Handles a report that another host has a term.
pub(crate) fn on_term(host: &Host, item: &TermItem) {
    let now = host.now();
    let mut terms = host.terms.borrow_mut();
    if let Some(term) = terms.get_mut(&item.service)
        && term.announced < item.revision.term
    {
        term.superseded = true;
        host.events.directory.notify(usize::MAX);
    }
    // The successor waits for the expiry of grants that this host may have sent; the message tells
    // it when that is.
    if let Some(waited) = item.predecessor
        && let Some(ended) = host.ended_terms.borrow_mut().get_mut(&item.service)
        && ended.number == waited
        && now.since(ended.told_at) >= RESIGNATION_INTERVAL
    {
        ended.told_at = now;
        let message = Message::Resigned(resigned_message(host, &item.service, *ended, now));
        let mut peers = host.peers.borrow_mut();
        if let Some(address) = peers.address(item.host) {
            peers.queue([address], &message);
        }
    }
}

/// Handles the resignation of a coordinator.
pub(crate) fn on_resigned(host: &Host, resigned: &Resigned) {
    let now = host.now();
    let mut peers = host.peers.borrow_mut();
    let is_news = peers.end_term(&resigned.service, resigned.term);
    drop(peers);
    if is_news {
        info!(host.log, "steward resigned"; "service" => %resigned.service,
            "host" => %resigned.from, "term" => resigned.term,
            "left_ms" => resigned.left.as_millis());
    }
    let mut terms = host.terms.borrow_mut();
    let Some(term) = terms.get_mut(&resigned.service) else {
        return;
    };
    let predecessor = term.predecessor(now);
    let waited = |p: term::Predecessor| p.host == resigned.from && p.term == resigned.term;
    if predecessor.is_some_and(waited) {
        let before = term.coordinator.earlier_until();
        term.limit_all_earlier(now.after(resigned.left));
        let until = term.coordinator.earlier_until();
        if until < before {
            info!(host.log, "wait for earlier grants"; "service" => %resigned.service,
                "term" => term.number, "left_ms" => until.since(now).as_millis(),
                "before_ms" => before.since(now).as_millis());
        }
    }
}

/// Handles the end of another host's process.
pub(crate) fn on_host_ended(host: &Host, ended: HostId) {
    let now = host.now();
    for term in host.terms.borrow_mut().values_mut() {
        if term.predecessor(now).is_some_and(|p| p.host == ended) {
            let until = term.coordinator.timing().last_expiry(now);
            term.limit_predecessor(until);
        }
    }
}

/// Terms of this host, as they are reported to other hosts.
pub(crate) fn term_items(host: &Host, now: Tick) -> Vec<TermItem> {
    let terms = host.terms.borrow();
    let item = |(service, term): (&ServiceName, &Term)| TermItem {
        service: service.clone(),
        host: host.id,
        age_ms: 0,
        number: u64::try_from(now.0.as_millis()).ok(),
        revision: routes::revision(term),
        confirmed_ms: u32::try_from(now.since(term.confirmed_at).as_millis()).unwrap_or(u32::MAX),
        predecessor: term.predecessor(now).map(|p| p.term),
    };
    terms.iter().map(item).collect()
}

/// Records this host's own terms, so that they are passed on together with those of others.
pub(crate) fn record_own_terms(host: &Host, now: Tick) {
    for item in term_items(host, now) {
        host.peers.borrow_mut().record_term(now, &item);
    }
}

/// Records keys requested at another host.
pub(crate) fn record_keys(host: &Host, service: &ServiceName, keys: Vec<Key>) {
    let now = host.now();
    if let Some(term) = host.terms.borrow_mut().get_mut(service) {
        term.trace.record(now, keys);
    }
}
