//! Giving out the keys of a service.
//!
//! One host is the steward of a keyed service. A host stands for it if no steward is heard whose
//! term the store has confirmed lately, and hosts stand one after the other, the one with most
//! processor first. Whoever stands takes a higher epoch as producer of the service's table; the
//! store refuses the writes of all earlier ones. What a steward that does not know this yet may
//! still do is bounded by [`Timing::term`], see [`trefoil_ranges`].

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use bytes::Bytes;
use futures_lite::FutureExt;
use slog::{debug, info, warn};
use trefoil_core::{Key, ServiceName, Tick, UpstreamName};
use trefoil_directory::{Life, Phase, Tag};
use trefoil_ranges::{
    Answer, Candidate, Demand, Order, OrderId, OrderKind, Planner, Reason, Steward, Table, Timing,
    Trace,
};
use trefoil_store::{Append, Epoch, Keyed, Newest, Place, Producer, StoreError};

use crate::host::Host;
use crate::message::{Message, RoutesPart, TermItem};
use crate::tables::{Age, Routes};

/// Topic with the tables of all keyed services.
const RANGES_TOPIC: &str = "keyed.trefoil-ranges";

/// Time after its start in which a host does not stand, so that it hears of a steward first.
const LISTEN: Duration = Duration::from_millis(700);

/// Wait of each further host before it stands.
const STAND_STEP: Duration = Duration::from_millis(300);

/// Time since the last confirmation after which a term is doubted by other hosts.
const DOUBT: Duration = Duration::from_millis(2500);

/// Time since the store's last answer after which a host does not stand.
const STORE_FRESH: Duration = Duration::from_secs(2);

/// Time between two confirmations of a term.
const CONFIRM: Duration = Duration::from_secs(1);

/// Wait after a failed call of the store.
const RETRY: Duration = Duration::from_millis(300);

/// Time between two checks of the load.
const EVEN: Duration = Duration::from_millis(500);

/// Requests that the load is judged by: those of this time.
const WINDOW: Duration = Duration::from_millis(2500);

/// Time between two steps of a term when nothing happens.
const TICK: Duration = Duration::from_millis(250);

/// Time for which the directory must not change before keys are given out for the first time.
const SETTLE: Duration = Duration::from_millis(800);

/// Orders without an answer, in a row, after which an upstream is not given keys.
const SILENT_ORDERS: u32 = 2;

/// Time for which an upstream that did not answer is not given keys.
const SUSPECT: Duration = Duration::from_secs(3);

/// Time for which a host does not stand after it could not reach most upstreams.
const ISOLATED: Duration = Duration::from_secs(4);

/// Time between two reads of a table whose steward is not heard.
const FOLLOW: Duration = Duration::from_secs(1);

/// Ranges in one datagram.
const PART_RANGES: usize = 50;

/// Something that has happened to a term.
#[derive(Debug)]
enum Note {
    Ordered(OrderId, Answer),
    Written(Result<(), StoreError>),
    Confirmed(Tick, Result<(), StoreError>),
    Changed,
}

/// The term of this host as steward of one service.
#[derive(Debug)]
pub struct Term {
    number: u64,
    steward: Steward,
    trace: Trace,
    confirmed: Tick,
    sequence: u64,
    /// The table that is being written, and why.
    writing: Option<(Table, Reason)>,
    published: Option<u64>,
    evened: Tick,
    suspects: HashMap<Life, Tick>,
    started: Tick,
}

/// Why a term has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
enum End {
    #[display("another host has a later term")]
    Deposed,
    #[display("most upstreams cannot be reached")]
    Isolated,
    #[display("the host is leaving")]
    Leaving,
    #[display("the store does not take the table")]
    Unwritten,
}

/// Terms of this host.
pub type Terms = BTreeMap<ServiceName, Term>;

fn place() -> Option<Place> {
    RANGES_TOPIC.parse().ok().map(Place::first)
}

/// Keeps a task for each keyed service of the configuration. It does not return.
pub async fn watch_services(host: Rc<Host>) {
    let mut tasks = BTreeMap::new();
    loop {
        let changed = host.events.config.listen();
        let keyed: Vec<ServiceName> = host.router().map_or_else(Vec::new, |router| {
            let services = router.services().filter(|(_, s)| s.keyed);
            services.map(|(name, _)| name.clone()).collect()
        });
        tasks.retain(|name, _| keyed.contains(name));
        for name in keyed {
            tasks
                .entry(name.clone())
                .or_insert_with(|| host.spawn(stand(Rc::clone(&host), name)));
        }
        changed.await;
    }
}

/// Stands for a service whenever it has no steward. It does not return.
async fn stand(host: Rc<Host>, service: ServiceName) {
    let mut barred = host.now().after(LISTEN);
    let mut alone_since = None;
    loop {
        host.clock.sleep(STAND_STEP / 3).await;
        let now = host.now();
        if now < barred || !may_stand(&host, &service, now) {
            alone_since = None;
            continue;
        }
        let since = *alone_since.get_or_insert(now);
        if now.since(since) < STAND_STEP * rank(&host, now) {
            continue;
        }
        alone_since = None;
        if let Some(end) = serve_term(&host, &service).await {
            info!(host.log, "term ended"; "service" => %service, "reason" => %end);
            host.terms.borrow_mut().remove(&service);
            if end == End::Isolated {
                barred = host.now().after(ISOLATED);
            }
        }
    }
}

fn may_stand(host: &Host, service: &ServiceName, now: Tick) -> bool {
    let fresh = |seen: Option<Tick>| seen.is_some_and(|at| now.since(at) < STORE_FRESH);
    let steward = host.peers.borrow().steward(now, service);
    let served = steward.is_some_and(|s| s.confirmed < DOUBT);
    host.is_ready() && fresh(host.store_seen.get()) && !served
}

/// How many live hosts stand before this one.
fn rank(host: &Host, now: Tick) -> u32 {
    let peers = host.peers.borrow();
    let able = |store: Option<u32>| {
        store.is_some_and(|age| Duration::from_millis(age.into()) < STORE_FRESH)
    };
    let own = (host.config.cores * 1000.0, &host.config.name);
    let before = peers.live(now).filter(|p| able(p.store)).filter(|p| {
        let cores = f64::from(p.card.millicores);
        cores > own.0 || (cores >= own.0 && p.card.name < *own.1)
    });
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}

/// Takes over a service and serves it until the term ends. Returns nothing if it was not taken
/// over.
async fn serve_term(host: &Rc<Host>, service: &ServiceName) -> Option<End> {
    let (notes, inbox) = async_channel::unbounded();
    match take_over(host, service).await {
        Ok(term) => {
            info!(host.log, "term begun"; "service" => %service, "term" => term.number,
                "table" => term.steward.table().version);
            host.terms.borrow_mut().insert(service.clone(), term);
        }
        Err(error) => {
            warn!(host.log, "term not begun"; "service" => %service, "reason" => %error);
            host.clock.sleep(RETRY).await;
            return None;
        }
    }
    let confirming = host.spawn(confirm(Rc::clone(host), service.clone(), notes.clone()));
    let end = run_term(host, service, &notes, &inbox).await;
    drop(confirming);
    Some(end)
}

async fn take_over(host: &Rc<Host>, service: &ServiceName) -> Result<Term, StoreError> {
    let place = place().ok_or_else(|| StoreError::Rejected {
        reason: RANGES_TOPIC.to_owned(),
    })?;
    let known = host.peers.borrow().last_steward(service);
    let known = known.map_or(0, |seen| seen.age.term);
    // The time of day gives a number above all earlier ones even if nobody remembers them; the low
    // bits keep two hosts apart that stand at the same moment.
    let time = host.clock.unix().0.max((known >> TERM_BITS) + 1);
    let number = (time << TERM_BITS) | (rand::random::<u64>() & ((1 << TERM_BITS) - 1));
    let producer = producer(service, number, 0);
    let sent = host.now();
    let taken = host
        .store
        .append(Append::epoch(place.clone(), producer))
        .await;
    host.metrics.called("take-over", result_name(&taken));
    taken?;
    let table = read_table(host, &place, service).await?;
    let now = host.now();
    let timing = timing(host);
    // Without a table nobody has ever granted anything.
    let former = table.as_ref().map_or(now, |_| timing.end_of_former(now));
    let table = table.unwrap_or_else(|| Table::new(service.clone()));
    let mut steward = Steward::new(now, table, timing, former);
    steward.confirm_term(sent);
    Ok(Term {
        number,
        steward,
        trace: Trace::new(WINDOW),
        confirmed: sent,
        sequence: 0,
        writing: None,
        published: None,
        evened: now,
        suspects: HashMap::new(),
        started: now,
    })
}

/// Bits of a term's number that are drawn at random.
const TERM_BITS: u32 = 10;

fn producer(service: &ServiceName, number: u64, sequence: u64) -> Producer {
    Producer {
        name: service.to_string(),
        epoch: Epoch(number),
        sequence,
    }
}

fn timing(host: &Host) -> Timing {
    let timing = Timing::default();
    Timing {
        hold: timing.hold.min(host.config.bounds.hold_max),
        ..timing
    }
}

async fn read_table(
    host: &Host,
    place: &Place,
    service: &ServiceName,
) -> Result<Option<Table>, StoreError> {
    let mut after = None;
    loop {
        let newest = Newest {
            place: place.clone(),
            after,
        };
        let page = host.store.newest(newest).await?;
        let mut items = page.items.iter();
        if let Some(item) = items.find(|item| item.key == service.as_str()) {
            let table = Table::decode(&item.value);
            return table.map(Some).map_err(|e| StoreError::Rejected {
                reason: e.to_string(),
            });
        }
        after = page.items.last().map(|item| item.key.clone());
        if !page.more || after.is_none() {
            return Ok(None);
        }
    }
}

/// Confirms the term with the store again and again.
async fn confirm(host: Rc<Host>, service: ServiceName, notes: Sender<Note>) {
    let Some(place) = place() else { return };
    loop {
        host.clock.sleep(CONFIRM).await;
        let number = host.terms.borrow().get(&service).map(|t| t.number);
        let Some(number) = number else { return };
        let sent = host.now();
        let append = Append::epoch(place.clone(), producer(&service, number, 0));
        let result = host.store.append(append).await.map(|_| ());
        host.metrics.called("confirm", result_name(&result));
        // The channel is closed only when the term has ended.
        let _ = notes.send(Note::Confirmed(sent, result)).await;
    }
}

fn result_name<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Unavailable { .. }) => "unavailable",
        Err(StoreError::Ambiguous { .. }) => "lost",
        Err(StoreError::Conflict { .. }) => "conflict",
        Err(StoreError::Fenced) => "fenced",
        Err(StoreError::Sequence { .. }) => "sequence",
        Err(StoreError::Dropped { .. }) => "dropped",
        Err(StoreError::Rejected { .. }) => "rejected",
    }
}

async fn run_term(
    host: &Rc<Host>,
    service: &ServiceName,
    notes: &Sender<Note>,
    inbox: &Receiver<Note>,
) -> End {
    loop {
        if let Some(end) = step(host, service, notes) {
            return end;
        }
        let wake = {
            let terms = host.terms.borrow();
            let next = terms.get(service).and_then(|t| t.steward.next_wake());
            let latest = host.now().after(TICK);
            next.map_or(latest, |at| at.min(latest))
        };
        let changed = host.events.directory.listen();
        let slept = async {
            host.clock.sleep_until(wake).await;
            Note::Changed
        };
        let joined = async {
            changed.await;
            Note::Changed
        };
        let received = async { inbox.recv().await.unwrap_or(Note::Changed) };
        let mut note = Some(received.or(joined).or(slept).await);
        while let Some(next) = note {
            if let Some(end) = take_note(host, service, next) {
                return end;
            }
            note = inbox.try_recv().ok();
        }
    }
}

fn take_note(host: &Rc<Host>, service: &ServiceName, note: Note) -> Option<End> {
    let now = host.now();
    let mut terms = host.terms.borrow_mut();
    let term = terms.get_mut(service)?;
    match note {
        Note::Confirmed(_, Err(StoreError::Fenced)) | Note::Written(Err(StoreError::Fenced)) => {
            return Some(End::Deposed);
        }
        // A term that could not be confirmed runs out by itself.
        Note::Changed | Note::Confirmed(_, Err(_)) => {}
        Note::Ordered(id, answer) => term.steward.answered(now, id, answer),
        Note::Confirmed(sent, Ok(())) => {
            host.store_answered(sent);
            term.confirmed = term.confirmed.max(sent);
            term.steward.confirm_term(sent);
        }
        Note::Written(Ok(())) => {
            if let Some((table, reason)) = term.writing.take() {
                info!(host.log, "table written"; "service" => %service, "term" => term.number,
                    "version" => table.version, "reason" => %reason,
                    "ranges" => table.entries().len());
                term.sequence += 1;
                term.steward.adopt(now, table);
            }
        }
        Note::Written(Err(_)) => return Some(End::Unwritten),
    }
    None
}

/// Plans, sends orders and tells the other hosts.
fn step(host: &Rc<Host>, service: &ServiceName, notes: &Sender<Note>) -> Option<End> {
    if host.leaving.get() {
        return Some(End::Leaving);
    }
    let now = host.now();
    let mut terms = host.terms.borrow_mut();
    let term = terms.get_mut(service)?;
    if term.steward.is_deposed() {
        return Some(End::Deposed);
    }
    let candidates = candidates(host, service, term, now);
    let Ok(candidates) = candidates else {
        return Some(End::Isolated);
    };
    if term.writing.is_none() && settled(host, term, now) {
        let demand = term.trace.demand(now);
        if let Some((mut table, reason)) = plan(term, now, &candidates, &demand) {
            table.version += 1;
            write(host, service, term, table, reason, notes);
        }
    }
    for order in term.steward.poll(now) {
        debug!(host.log, "order"; "service" => %service, "upstream" => %order.life,
            "range" => %order.range, "fence" => order.fence.0, "order" => order_name(&order));
        send_order(host, order, notes);
    }
    let serial = term.steward.serial();
    if term.published != Some(serial) {
        term.published = Some(serial);
        publish(host, service, term, now);
    }
    None
}

/// Whether the directory is complete enough for the first table.
fn settled(host: &Host, term: &Term, now: Tick) -> bool {
    let first = term.steward.table().version == 0;
    !first || now.since(host.directory_changed.get().max(term.started)) >= SETTLE
}

/// The upstreams that may own keys, or an error if this host cannot reach most of them.
fn candidates(
    host: &Host,
    service: &ServiceName,
    term: &mut Term,
    now: Tick,
) -> Result<Vec<Candidate>, ()> {
    let directory = host.directory.borrow();
    let balancer = host.balancer.borrow();
    let ready = directory
        .of(service)
        .filter(|r| r.phase == Phase::Ready)
        .collect::<Vec<_>>();
    term.steward
        .set_lives(directory.of(service).map(|r| r.life.clone()));
    for registration in &ready {
        if term.steward.failures(&registration.life) >= SILENT_ORDERS {
            let life = registration.life.clone();
            if term.suspects.insert(life, now.after(SUSPECT)).is_none() {
                warn!(host.log, "upstream does not answer orders"; "service" => %service,
                    "upstream" => %registration.life);
            }
        }
    }
    term.suspects.retain(|_, until| now < *until);
    let suspected = |life: &Life| term.suspects.contains_key(life);
    let lost = ready.iter().filter(|r| suspected(&r.life)).count();
    if lost > 1 && lost * 2 > ready.len() {
        return Err(());
    }
    let able = ready.iter().filter(|r| !suspected(&r.life));
    let candidate = |r: &&std::rc::Rc<trefoil_directory::Registration>| {
        let time = balancer.time(now, Tag::of(&r.life.name));
        Candidate {
            life: r.life.clone(),
            capacity: f64::from(r.slots.0.max(1)) / time.as_secs_f64().max(0.001),
        }
    };
    Ok(able.map(candidate).collect())
}

fn plan(
    term: &mut Term,
    now: Tick,
    candidates: &[Candidate],
    demand: &Demand,
) -> Option<(Table, Reason)> {
    let table = term.steward.table();
    if let Some(needed) = Planner.needed(table, candidates, demand) {
        return Some(forget_former(term, needed));
    }
    if now.since(term.evened) < EVEN {
        return None;
    }
    term.evened = now;
    let even = Planner.even(table, candidates, demand)?;
    Some(forget_former(term, (even, Reason::Uneven)))
}

/// Leaves out of a changed table the former owners that are known to hold nothing.
fn forget_former(term: &Term, (mut table, reason): (Table, Reason)) -> (Table, Reason) {
    for first in term.steward.cleared() {
        table.clear_former(first);
    }
    (table, reason)
}

fn write(
    host: &Rc<Host>,
    service: &ServiceName,
    term: &mut Term,
    table: Table,
    reason: Reason,
    notes: &Sender<Note>,
) {
    let encoded = table.encode().ok().map(Bytes::from);
    let record = encoded.and_then(|bytes| Keyed::set(service.as_str(), bytes));
    let (Some(record), Some(place)) = (record, place()) else {
        warn!(host.log, "table not encoded"; "service" => %service);
        return;
    };
    // Sequence numbers begin at 1: 0 is used for confirmations.
    let producer = producer(service, term.number, term.sequence + 1);
    let append = Append::new(place, record.encode()).by(producer);
    term.writing = Some((table, reason));
    let task = write_until_answered(Rc::clone(host), append, notes.clone());
    host.spawn(task).detach();
}

/// Repeats a write until the store says what became of it.
async fn write_until_answered(host: Rc<Host>, append: Append, notes: Sender<Note>) {
    loop {
        let result = host.store.append(append.clone()).await.map(|_| ());
        host.metrics.called("write-table", result_name(&result));
        if let Err(error) = &result {
            warn!(host.log, "table not written"; "reason" => %error);
        }
        let answered = !result.as_ref().is_err_and(StoreError::is_outage);
        if answered || notes.is_closed() {
            let _ = notes.send(Note::Written(result)).await;
            return;
        }
        host.clock.sleep(RETRY).await;
    }
}

fn order_name(order: &Order) -> &'static str {
    match order.kind {
        OrderKind::Grant { .. } => "grant",
        OrderKind::Release => "release",
    }
}

fn send_order(host: &Rc<Host>, order: Order, notes: &Sender<Note>) {
    let (host, notes) = (Rc::clone(host), notes.clone());
    let task = {
        let host = Rc::clone(&host);
        async move {
            let id = order.id;
            let answer = crate::forward::send_order(&host, &order).await;
            let result = match &answer {
                Answer::Done(_) => "done",
                Answer::Fenced => "fenced",
                Answer::Silent => "silent",
                Answer::Unsent => "unsent",
            };
            host.metrics.ordered(order_name(&order), result);
            if !matches!(answer, Answer::Done(_)) {
                info!(host.log, "order failed"; "order" => order_name(&order),
                    "upstream" => %order.life, "range" => %order.range,
                    "fence" => order.fence.0, "result" => result);
            }
            let _ = notes.send(Note::Ordered(id, answer)).await;
        }
    };
    host.spawn(task).detach();
}

/// Uses the routes of a term here, and sends them to the other hosts.
fn publish(host: &Host, service: &ServiceName, term: &Term, now: Tick) {
    let routes = routes(term, now);
    for part in parts(host, service, &routes) {
        host.peers
            .borrow_mut()
            .send_all(now, &Message::Routes(part));
    }
    host.events.outbox.notify(usize::MAX);
    host.apply_routes(service, routes);
}

fn routes(term: &Term, now: Tick) -> Routes {
    let age = Age {
        version: term.steward.table().version,
        term: term.number,
        serial: term.steward.serial(),
    };
    Routes::new(age, term.steward.routes(now))
}

fn parts(host: &Host, service: &ServiceName, routes: &Routes) -> Vec<RoutesPart> {
    let chunks: Vec<_> = routes.ranges.chunks(PART_RANGES).collect();
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    let part = |(number, chunk): (u16, &&[(Key, Option<UpstreamName>)])| {
        let mut owners: Vec<UpstreamName> = Vec::new();
        let mut index = |name: &UpstreamName| {
            let known = owners.iter().position(|o| o == name);
            let at = known.unwrap_or_else(|| {
                owners.push(name.clone());
                owners.len() - 1
            });
            u16::try_from(at).unwrap_or(u16::MAX)
        };
        let ranges = chunk
            .iter()
            .map(|(first, owner)| (*first, owner.as_ref().map(&mut index)))
            .collect();
        RoutesPart {
            from: host.id,
            service: service.clone(),
            age: routes.age,
            part: number,
            parts: count,
            owners,
            ranges,
        }
    };
    (0..).zip(&chunks).map(part).collect()
}

/// The terms of this host, for its beat.
pub(crate) fn terms(host: &Host, now: Tick) -> Vec<TermItem> {
    let terms = host.terms.borrow();
    let item = |(service, term): (&ServiceName, &Term)| TermItem {
        service: service.clone(),
        age: routes_age(term),
        confirmed: u32::try_from(now.since(term.confirmed).as_millis()).unwrap_or(u32::MAX),
    };
    terms.iter().map(item).collect()
}

fn routes_age(term: &Term) -> Age {
    Age {
        version: term.steward.table().version,
        term: term.number,
        serial: term.published.unwrap_or_default(),
    }
}

/// Keys that were asked for at another host.
pub(crate) fn take_keys(host: &Host, service: &ServiceName, keys: Vec<Key>) {
    let now = host.now();
    if let Some(term) = host.terms.borrow_mut().get_mut(service) {
        term.trace.record(now, keys);
    }
}

/// Sends the routes of a service to a host that lacks them.
pub(crate) fn send_routes(host: &Host, service: &ServiceName, to: SocketAddr) {
    let now = host.now();
    let terms = host.terms.borrow();
    let Some(term) = terms.get(service).filter(|t| t.published.is_some()) else {
        return;
    };
    for part in parts(host, service, &routes(term, now)) {
        host.peers.borrow_mut().send(to, &Message::Routes(part));
    }
}

/// Reads the tables of services whose steward is not heard from the store. It does not return.
pub async fn follow_tables(host: Rc<Host>) {
    loop {
        let keyed: Vec<ServiceName> = host.router().map_or_else(Vec::new, |router| {
            let services = router.services().filter(|(_, s)| s.keyed);
            services.map(|(name, _)| name.clone()).collect()
        });
        for service in keyed {
            let heard = host.peers.borrow().steward(host.now(), &service).is_some();
            if !heard && !host.terms.borrow().contains_key(&service) {
                read_routes(&host, &service).await;
            }
        }
        host.clock.sleep(FOLLOW).await;
    }
}

async fn read_routes(host: &Host, service: &ServiceName) {
    let Some(place) = place() else { return };
    let result = read_table(host, &place, service).await;
    host.metrics.called("read-table", result_name(&result));
    match result {
        Ok(Some(table)) => {
            let age = Age {
                version: table.version,
                ..Age::default()
            };
            let ranges = table.entries().iter().map(|e| {
                let owner = e.owner.as_ref().map(|o| &o.life.name);
                (e.range, owner)
            });
            host.apply_routes(service, Routes::new(age, ranges));
        }
        Ok(None) => {}
        Err(error) => debug!(host.log, "table not read"; "service" => %service,
            "reason" => %error),
    }
}
