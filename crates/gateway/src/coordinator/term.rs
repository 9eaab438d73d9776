//! A term of this host as the coordinator of one service.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use derive_more::Display;
use slog::{debug, info, warn};
use trefoil_core::{Era, HostId, ServiceName, Slots, Tick};
use trefoil_directory::{Incarnation, Phase, Registration};
use trefoil_ranges::{
    Author, Candidate, Claim, Coordinator, Order, OrderId, OrderKind, OrderOutcome, Planner,
    Reason, RequestWindow, Table,
};
use trefoil_store::StoreError;

use super::{routes, table_store};
use crate::host::Host;
use crate::tables::Routes;

/// Time between two checks whether the load is balanced.
const BALANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Period of the requests that reveal a sudden change of the load.
const NEWEST_WINDOW: Duration = Duration::from_millis(700);

/// Period of the requests that measure the present load.
const PRESENT_WINDOW: Duration = Duration::from_millis(2500);

/// Period of the requests that measure lasting differences between keys. A longer one reveals
/// smaller differences.
const LONG_WINDOW: Duration = Duration::from_secs(8);

/// Time between two checks for lasting differences. Every check also finds random ones, and each
/// move costs three writes, so checks are a quarter of [`LONG_WINDOW`] apart.
const LONG_BALANCE_INTERVAL: Duration = Duration::from_secs(2);

/// Time in which cleared former owners are collected into one table write.
const CLEAR_DELAY: Duration = Duration::from_millis(40);

/// Shortest time between two publications of routes. A move changes them several times in quick
/// succession.
const PUBLISH_INTERVAL_MIN: Duration = Duration::from_millis(30);

/// Weight of an upstream's capacity at a service time of zero, and by how much it falls if the
/// service time takes up the whole latency objective. Calculated for two to four slots at a
/// utilization of 0.6, such that queues stay within the objective with equal probability.
const CAPACITY_WEIGHT_MAX: f64 = 1.6;
const CAPACITY_WEIGHT_SLOPE: f64 = 1.5;

/// Smallest capacity of an upstream in requests per second. One may state a limit of 0.
const CAPACITY_MIN: f64 = 0.1;

/// Smallest weight of an upstream's capacity.
const CAPACITY_WEIGHT_MIN: f64 = 0.4;

/// Time without a change of the directory before keys are assigned for the first time.
const DIRECTORY_SETTLE: Duration = Duration::from_millis(800);

/// Consecutive unanswered orders after which an upstream is suspected and gets no keys.
const SILENT_ORDERS: u32 = 2;

/// Time between two ticks of a term, for each entry of its table.
const PACE_OF_ENTRY: Duration = Duration::from_micros(20);

/// Longest time between two ticks for the sake of the pace. A move of keys takes several ticks.
const PACE_MAX: Duration = Duration::from_millis(50);

/// Time for which a suspected upstream gets no keys.
const SUSPECT_TIME: Duration = Duration::from_secs(3);

/// Time without a confirmation after which the store counts as unavailable.
const STORE_UNAVAILABLE: Duration = Duration::from_millis(1200);

/// Time without a confirmation after which a coordinator resigns if other hosts reach the store.
const CUT_OFF_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which other hosts must reach the store while this one does not. When the store
/// recovers, some host reaches it first; two confirmation attempts fit into this time.
const OTHERS_REACH_STORE: Duration = table_store::CONFIRM_INTERVAL.saturating_mul(2);

/// Time within which a relay was heard that counts in [`Term::is_known_to_all`].
const RELAY_HEARD: Duration = Duration::from_secs(10);

/// Time after which a relay no longer lists a coordinator that it knew before this host learned of
/// the loss of records. Datagrams wait up to half a second on busy links.
const LISTING_DELAY: Duration = Duration::from_secs(1);

/// An event that a term handles.
#[derive(Debug)]
pub(super) enum Event {
    /// An order was answered or has failed.
    OrderFinished(OrderId, OrderOutcome),
    /// The result of a table write under this term number is known.
    TableWritten(u64, Result<Era, StoreError>),
    /// A confirmation has succeeded or failed.
    ConfirmEnded {
        /// When it was sent.
        sent: Tick,
        /// The confirmed term.
        number: u64,
        /// Era in which the store confirmed it.
        result: Result<Era, StoreError>,
    },
    /// The term is established in the present era of the store, or another host has taken over in
    /// it.
    Reestablished(Option<Box<table_store::Reestablished>>),
    /// Other state of the host may have changed.
    StateChanged,
}

/// Why a term has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(super) enum EndReason {
    #[display("another host has a later term")]
    Superseded,
    #[display("most upstreams cannot be reached")]
    Isolated,
    #[display("other hosts reach the store, this one does not")]
    CutOff,
    #[display("the store has lost records while the term was not confirmed")]
    Lapsed,
    #[display("the host is leaving")]
    Leaving,
    #[display("the store does not take the table")]
    TableNotWritten,
}

/// The coordinator before this one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Predecessor {
    pub(crate) host: HostId,
    pub(crate) term: u64,
    /// Expiry of the grants of even earlier coordinators.
    earlier: Tick,
}

impl Predecessor {
    pub(super) fn new(now: Tick, author: Author) -> Self {
        Self {
            host: author.host,
            term: author.term,
            earlier: now.after(author.earlier_grants),
        }
    }
}

/// A term of this host as the coordinator of one service.
#[derive(Debug)]
pub struct Term {
    pub(crate) number: u64,
    /// The number that other hosts are told. After the store has lost records, it stays the earlier
    /// one until no other coordinator can have sent grants, because a host that is told a higher
    /// number no longer reports such a coordinator.
    pub(crate) announced: u64,
    /// Era of the store in which the term was confirmed.
    pub(crate) era: Era,
    pub(crate) coordinator: Coordinator,
    pub(crate) trace: RequestWindow,
    /// When the last successful confirmation was sent.
    pub(crate) confirmed_at: Tick,
    /// Serial of the routes that were published last.
    pub(crate) published_serial: Option<u64>,
    /// The routes that were published last.
    pub(super) routes: Option<Routes>,
    published_at: Tick,
    /// Since when other hosts reach the store and this one does not.
    cut_off_since: Option<Tick>,
    /// Another host has reported a later term.
    pub(crate) superseded: bool,
    predecessor: Option<Predecessor>,
    /// The store has lost records, and the term is not established in its present era yet.
    reestablishing: bool,
    /// When this host learned that the store has lost records.
    outdated_at: Tick,
    sequence: u64,
    /// The table being written, and the reason for it.
    writing: Option<(Table, Reason)>,
    balanced_at: Tick,
    /// When lasting differences were checked last.
    long_balanced_at: Tick,
    /// Since when a former owner is cleared whose removal is not written yet.
    clearing_since: Option<Tick>,
    suspects: HashMap<Incarnation, Tick>,
    started: Tick,
}

impl Term {
    pub(super) fn new(
        now: Tick,
        claim: Claim,
        coordinator: Coordinator,
        predecessor: Option<Predecessor>,
        confirmed_at: Tick,
    ) -> Self {
        Self {
            number: claim.term,
            era: claim.era,
            announced: claim.term,
            reestablishing: false,
            outdated_at: Tick::default(),
            coordinator,
            trace: RequestWindow::new(LONG_WINDOW),
            confirmed_at,
            published_serial: None,
            routes: None,
            cut_off_since: None,
            published_at: Tick::default(),
            superseded: false,
            predecessor,
            // The takeover has written the table once.
            sequence: 1,
            writing: None,
            balanced_at: now,
            long_balanced_at: now,
            clearing_since: None,
            suspects: HashMap::new(),
            started: now,
        }
    }

    /// Limits the wait for the previous coordinator, whose process has ended: its own grants expire
    /// by `until`, and those before it as its table says.
    pub(crate) fn limit_predecessor(&mut self, until: Tick) {
        if let Some(predecessor) = self.predecessor {
            self.coordinator
                .limit_earlier(until.max(predecessor.earlier));
        }
    }

    /// Limits the wait for the previous coordinator, which has announced that its last grant, and
    /// those of all coordinators before it, expire by `until`. It may have learned that after it
    /// wrote its table.
    pub(crate) fn limit_all_earlier(&mut self, until: Tick) {
        self.coordinator.limit_earlier(until);
    }

    /// The coordinator before this one, until the grants of earlier coordinators have expired.
    pub(crate) fn predecessor(&self, now: Tick) -> Option<Predecessor> {
        self.predecessor
            .filter(|_| now < self.coordinator.earlier_until())
    }

    /// The final table, which marks this term as ended for a successor.
    pub(super) fn last_table(&self, now: Tick) -> Table {
        let mut table = self.coordinator.table().clone();
        table.version += 1;
        if let Some(author) = &mut table.author {
            author.earlier_grants = self.coordinator.grants_until().since(now);
            let unlisted = self.coordinator.unlisted_until();
            author.unlisted_grants = unlisted.map_or(Duration::ZERO, |until| until.since(now));
            author.resigned = true;
        }
        table
    }

    /// Sequence number of the next write.
    pub(super) fn next_sequence(&self) -> u64 {
        self.sequence + 1
    }

    /// Returns `true` while a table write is in flight.
    pub(super) fn is_writing(&self) -> bool {
        self.writing.is_some()
    }

    /// Handles an event.
    pub(super) fn handle_event(
        &mut self,
        host: &Host,
        service: &ServiceName,
        now: Tick,
        event: Event,
    ) -> Result<(), EndReason> {
        match event {
            Event::Reestablished(outcome) => self.on_reestablished(host, service, now, outcome)?,
            Event::ConfirmEnded {
                sent,
                result: Ok(era),
                ..
            } if era != self.era => {
                host.store_answered(sent);
            }
            // The answer concerns the term as it was before the store lost records.
            Event::ConfirmEnded { number, .. } | Event::TableWritten(number, _)
                if number != self.number || self.is_outdated(host) => {}
            Event::ConfirmEnded {
                result: Err(StoreError::Fenced),
                ..
            }
            | Event::TableWritten(_, Err(StoreError::Fenced)) => {
                return Err(EndReason::Superseded);
            }
            // An unconfirmed term expires without further action.
            Event::StateChanged | Event::ConfirmEnded { result: Err(_), .. } => {}
            Event::OrderFinished(id, outcome) => self.coordinator.on_outcome(now, id, outcome),
            Event::ConfirmEnded { sent, .. } => {
                host.store_answered(sent);
                self.confirmed_at = self.confirmed_at.max(sent);
                self.coordinator.confirm_term(sent);
            }
            Event::TableWritten(_, Ok(_)) => {
                if let Some((table, reason)) = self.writing.take() {
                    host.metrics.record_table_write(service, reason.to_string());
                    info!(host.log, "table written"; "service" => %service,
                        "term" => self.number, "version" => table.version,
                        "reason" => %reason, "ranges" => table.entries().len());
                    self.sequence += 1;
                    self.coordinator.adopt_table(now, table);
                }
            }
            Event::TableWritten(_, Err(_)) => return Err(EndReason::TableNotWritten),
        }
        Ok(())
    }

    /// Returns `true` if the store has lost records since the term was established.
    fn is_outdated(&self, host: &Host) -> bool {
        self.reestablishing || host.store.era() > self.era
    }

    /// Begins to establish the term in the present era of the store.
    fn begin_reestablishing(
        &mut self,
        host: &Rc<Host>,
        service: &ServiceName,
        now: Tick,
        events: &Sender<Event>,
    ) {
        self.reestablishing = true;
        self.outdated_at = now;
        self.writing = None;
        self.clearing_since = None;
        self.coordinator.suspend_changes(now);
        let task = table_store::reestablish(Rc::clone(host), service.clone(), events.clone());
        host.spawn(task).detach();
    }

    fn on_reestablished(
        &mut self,
        host: &Host,
        service: &ServiceName,
        now: Tick,
        outcome: Option<Box<table_store::Reestablished>>,
    ) -> Result<(), EndReason> {
        let done = outcome.ok_or(EndReason::Superseded)?;
        if self.has_lapsed(now) {
            return Err(EndReason::Lapsed);
        }
        self.reestablishing = false;
        self.number = done.claim.term;
        self.era = done.claim.era;
        self.sequence = 1;
        // Its resignation says nothing of coordinators between it and the loss of records.
        self.predecessor = None;
        self.confirmed_at = self.confirmed_at.max(done.sent);
        self.coordinator.adopt_table(now, done.table);
        self.coordinator.confirm_term(done.sent);
        let until = self.coordinator.unlisted_until().unwrap_or(now);
        info!(host.log, "term re-established"; "service" => %service, "term" => self.number,
            "term_era" => self.era.0, "version" => self.coordinator.table().version,
            "wait_ms" => until.since(now).as_millis());
        Ok(())
    }

    /// Returns `true` if every relay that was heard recently has reported this term since the store
    /// lost records. A relay that is or has heard of a successor would report that one.
    fn is_known_to_all(&self, host: &Host, service: &ServiceName) -> bool {
        let heard = Tick(self.outdated_at.0.saturating_sub(RELAY_HEARD));
        let listed = self.outdated_at.after(LISTING_DELAY);
        let peers = host.peers.borrow();
        peers.all_list_term(service, self.announced, heard, listed)
    }

    /// Ends the wait for grants that no table lists once no other coordinator can have sent any.
    fn check_unlisted(&mut self, host: &Host, service: &ServiceName, now: Tick) {
        let until = self.coordinator.unlisted_until();
        match until {
            _ if self.reestablishing => {}
            Some(until) if now < until => {
                if !self.coordinator.withholds_grants() && self.is_known_to_all(host, service) {
                    self.coordinator.exclude_unlisted(now);
                    info!(host.log, "no other coordinator"; "service" => %service,
                        "term" => self.number, "saved_ms" => until.since(now).as_millis());
                }
            }
            _ => self.announced = self.number,
        }
    }

    /// Returns `true` if the term was unconfirmed for too long to go on in another era.
    fn has_lapsed(&self, now: Tick) -> bool {
        now >= self
            .coordinator
            .timing()
            .continuation_end(self.confirmed_at)
    }

    fn claim(&self, host: &Host) -> Claim {
        Claim {
            host: host.id,
            address: Some(host.config.peer),
            term: self.number,
            era: self.era,
        }
    }

    /// Plans ownership changes, sends due orders and publishes routes.
    pub(super) fn tick(
        &mut self,
        host: &Rc<Host>,
        service: &ServiceName,
        events: &Sender<Event>,
    ) -> Result<(), EndReason> {
        let now = host.now();
        self.check_term(host, now)?;
        let candidates = self.find_candidates(host, service, now)?;
        if !self.reestablishing && self.is_outdated(host) {
            self.begin_reestablishing(host, service, now, events);
        }
        self.check_unlisted(host, service, now);
        let may_write =
            self.writing.is_none() && !self.reestablishing && self.is_directory_settled(host, now);
        if may_write && let Some((table, reason)) = self.plan(now, &candidates) {
            self.spawn_write(host, table, reason, now, events)?;
        }
        for order in self.coordinator.poll(now) {
            debug!(host.log, "order"; "service" => %service, "upstream" => %order.incarnation,
                "range" => %order.range, "fence" => order.fence.0, "order" => order_name(&order));
            spawn_order(host, order, events);
        }
        let unpublished = self.is_unpublished();
        if unpublished && now.since(self.published_at) >= PUBLISH_INTERVAL_MIN {
            self.published_serial = Some(self.coordinator.serial());
            self.published_at = now;
            routes::publish(host, service, self, now);
        }
        Ok(())
    }

    /// Returns `true` if the routes have changed. Until the owners are known, the hosts go on with
    /// the routes that they have.
    fn is_unpublished(&self) -> bool {
        self.published_serial != Some(self.coordinator.serial())
            && !self.coordinator.withholds_grants()
    }

    /// When [`tick`](Self::tick) next has work to do.
    pub(super) fn next_wake(&self) -> Option<Tick> {
        let publish = self
            .is_unpublished()
            .then(|| self.published_at.after(PUBLISH_INTERVAL_MIN));
        let clear = self.clearing_since.map(|since| since.after(CLEAR_DELAY));
        let wakes = [self.coordinator.next_wake(), publish, clear];
        wakes.into_iter().flatten().min()
    }

    /// Checks whether the term continues. Fails with the reason for its end.
    fn check_term(&mut self, host: &Host, now: Tick) -> Result<(), EndReason> {
        let unconfirmed = now.since(self.confirmed_at);
        // The next confirmation would have been sent at this tick. If no call that another host
        // sent later was answered either, the store is unavailable to all hosts.
        let missed = self.confirmed_at.after(table_store::CONFIRM_INTERVAL);
        let others = unconfirmed >= table_store::CONFIRM_INTERVAL
            && host.peers.borrow().others_reached_store(now, missed);
        if !others {
            self.cut_off_since = None;
        } else if self.cut_off_since.is_none() {
            self.cut_off_since = Some(now);
        }
        let only_others = self
            .cut_off_since
            .is_some_and(|since| now.since(since) >= OTHERS_REACH_STORE);
        match () {
            () if host.leaving.get() => Err(EndReason::Leaving),
            () if self.superseded || self.coordinator.is_deposed() => Err(EndReason::Superseded),
            () if self.is_outdated(host) && self.has_lapsed(now) => Err(EndReason::Lapsed),
            () if unconfirmed >= CUT_OFF_TIMEOUT && only_others => Err(EndReason::CutOff),
            () => {
                let unavailable = unconfirmed >= STORE_UNAVAILABLE && !others;
                self.coordinator.set_store_unavailable(unavailable);
                Ok(())
            }
        }
    }

    /// Returns `true` unless the first table must wait for the directory to be stable for
    /// [`DIRECTORY_SETTLE`].
    fn is_directory_settled(&self, host: &Host, now: Tick) -> bool {
        let unowned = self.coordinator.table().entries().iter();
        let first = unowned.clone().all(|e| e.owner.is_none());
        !first || now.since(host.directory_changed.get().max(self.started)) >= DIRECTORY_SETTLE
    }

    /// The upstreams that may own keys, or an error if this host cannot reach most of them.
    fn find_candidates(
        &mut self,
        host: &Host,
        service: &ServiceName,
        now: Tick,
    ) -> Result<Vec<Candidate>, EndReason> {
        let directory = host.directory.borrow();
        let balancer = host.balancer.borrow();
        let incarnations = directory.by_service(service).map(|r| r.incarnation.clone());
        self.coordinator.set_incarnations(incarnations);
        let ready = directory
            .by_service(service)
            .filter(|r| r.phase == Phase::Ready && !host.is_evacuated(&r.domain));
        let ready: Vec<&Rc<Registration>> = ready.collect();
        let silent = self.coordinator.silent_owners(SILENT_ORDERS);
        for registration in &ready {
            let incarnation = &registration.incarnation;
            let displaced = directory
                .id_of(incarnation)
                .is_some_and(|id| host.is_displaced(id));
            if silent.contains(incarnation) || displaced {
                let until = now.after(SUSPECT_TIME);
                if self.suspects.insert(incarnation.clone(), until).is_none() {
                    warn!(host.log, "upstream does not answer orders"; "service" => %service,
                        "upstream" => %incarnation);
                }
            }
        }
        self.suspects.retain(|_, until| now < *until);
        let is_suspected = |incarnation: &Incarnation| self.suspects.contains_key(incarnation);
        let suspected_count = ready
            .iter()
            .filter(|r| is_suspected(&r.incarnation))
            .count();
        if suspected_count > 1 && suspected_count * 2 > ready.len() {
            return Err(EndReason::Isolated);
        }
        // Upstreams that answer orders and fail requests do not show that this host is isolated.
        let is_ejected = |r: &Registration| {
            let id = directory.id_of(&r.incarnation);
            id.is_some_and(|id| balancer.is_ejected(id))
        };
        let excluded = ready
            .iter()
            .filter(|r| is_suspected(&r.incarnation) || is_ejected(r))
            .count();
        let keeps_ejected = excluded * 2 > ready.len();
        let eligible = ready
            .iter()
            .filter(|r| !is_suspected(&r.incarnation) && (keeps_ejected || !is_ejected(r)));
        let objective = host.objective(service);
        let limits = host.limits.borrow();
        let warmup = host.warmup_limit(service);
        let is_cold = |id| balancer.load(id).is_some_and(|load| load.is_cold(now));
        let cold_limit = |id| warmup.filter(|_| is_cold(id)).map(|limit| limit.rate.0);
        let candidate = |r: &&Rc<Registration>| {
            let id = directory.id_of(&r.incarnation)?;
            let capacity = capacity(r.slots, balancer.service_time(now, id), objective);
            let limit = limits.rate(id).map_or(f64::INFINITY, |rate| rate.0);
            let cold = cold_limit(id);
            let capacity = capacity.min(limit).min(cold.unwrap_or(f64::INFINITY));
            Some(Candidate {
                incarnation: r.incarnation.clone(),
                capacity: capacity.max(CAPACITY_MIN),
                accepts: cold.is_none(),
            })
        };
        let mut candidates: Vec<Candidate> = eligible.filter_map(candidate).collect();
        // If all are cold, the keys need owners nevertheless.
        if candidates.iter().all(|c| !c.accepts) {
            for candidate in &mut candidates {
                candidate.accepts = true;
            }
        }
        Ok(candidates)
    }

    fn plan(&mut self, now: Tick, candidates: &[Candidate]) -> Option<(Table, Reason)> {
        if self.coordinator.unlisted_until().is_some() {
            let settled = self.coordinator.settled_table(now);
            return settled.map(|table| (table, Reason::Settled));
        }
        // Former owners known to own nothing are cleared before anything moves, because a move
        // turns the current owner into the former one.
        let mut table = self.coordinator.table().clone();
        for first in self.coordinator.cleared() {
            table.clear_former(first);
        }
        let cleared = table != *self.coordinator.table();
        self.trace.expire(now);
        let demand = self.trace.demand(now, PRESENT_WINDOW);
        if let Some(needed) = Planner.plan_needed(&table, candidates, &demand) {
            return Some(needed);
        }
        if now.since(self.balanced_at) >= BALANCE_INTERVAL {
            self.balanced_at = now;
            // The newest requests reveal a group of hot keys first; the longer periods reveal
            // lasting differences.
            let newest = self.trace.demand(now, NEWEST_WINDOW);
            let balanced = Planner.rebalance(&table, candidates, &newest, true);
            let balanced =
                balanced.or_else(|| Planner.rebalance(&table, candidates, &demand, true));
            let balanced = balanced.or_else(|| self.balance_long_window(now, &table, candidates));
            if let Some(balanced) = balanced {
                return Some((balanced, Reason::Uneven));
            }
        }
        // Several former owners are usually cleared within a short time; one write covers all of
        // them.
        if !cleared {
            self.clearing_since = None;
            return None;
        }
        let since = *self.clearing_since.get_or_insert(now);
        (now.since(since) >= CLEAR_DELAY).then_some((table, Reason::Cleared))
    }

    /// Balances lasting differences, at most once per [`LONG_BALANCE_INTERVAL`].
    fn balance_long_window(
        &mut self,
        now: Tick,
        table: &Table,
        candidates: &[Candidate],
    ) -> Option<Table> {
        if now.since(self.long_balanced_at) < LONG_BALANCE_INTERVAL {
            return None;
        }
        self.long_balanced_at = now;
        let lasting = self.trace.demand(now, LONG_WINDOW);
        Planner.rebalance(table, candidates, &lasting, false)
    }

    fn spawn_write(
        &mut self,
        host: &Rc<Host>,
        mut table: Table,
        reason: Reason,
        now: Tick,
        events: &Sender<Event>,
    ) -> Result<(), EndReason> {
        let claim = self.claim(host);
        claim.sign_change(now, &mut table, &self.coordinator);
        let append = table_store::table_append(&table, self.number, self.next_sequence());
        let append = append.map_err(|reason| {
            warn!(host.log, "table not encoded"; "reason" => %reason);
            EndReason::TableNotWritten
        })?;
        self.writing = Some((table, reason));
        self.clearing_since = None;
        let writing =
            table_store::write_table(Rc::clone(host), append, self.number, events.clone());
        host.spawn(writing).detach();
        Ok(())
    }
}

/// Shortest time between two ticks of a term whose table has this many entries. A tick looks at all
/// of them, and each answer to an order is an event; the coordinator of thousands of upstreams gets
/// hundreds of answers a second, of which one tick handles many.
pub fn tick_pace(entries: usize) -> Duration {
    let entries = u32::try_from(entries).unwrap_or(u32::MAX);
    PACE_OF_ENTRY.saturating_mul(entries).min(PACE_MAX)
}

/// Rate of requests that an upstream can be assigned so that they are answered within the latency
/// objective.
///
/// An upstream whose service time is half of the objective must have short queues. A fast one meets
/// the objective even if a request queues behind others, so it gets a higher weight.
fn capacity(slots: Slots, time: Duration, objective: Duration) -> f64 {
    let time = time.as_secs_f64().max(0.001);
    let share = time / objective.as_secs_f64().max(0.001);
    let weight = (CAPACITY_WEIGHT_MAX - CAPACITY_WEIGHT_SLOPE * share)
        .clamp(CAPACITY_WEIGHT_MIN, CAPACITY_WEIGHT_MAX);
    weight * f64::from(slots.0.max(1)) / time
}

fn order_name(order: &Order) -> &'static str {
    match order.kind {
        OrderKind::Grant { .. } => "grant",
        OrderKind::Release => "release",
    }
}

fn spawn_order(host: &Rc<Host>, order: Order, events: &Sender<Event>) {
    let (task_host, events) = (Rc::clone(host), events.clone());
    let sending = async move {
        let sent_at = task_host.now();
        let outcome = crate::order::send_order(&task_host, &order).await;
        let result = match &outcome {
            OrderOutcome::Confirmed(_) => "done",
            OrderOutcome::Fenced => "fenced",
            OrderOutcome::NoAnswer => "silent",
            OrderOutcome::NotApplied => "unsent",
            OrderOutcome::IncarnationEnded => "ended",
        };
        let span = task_host.now().since(sent_at);
        task_host
            .metrics
            .record_order(order_name(&order), result, span);
        if !matches!(outcome, OrderOutcome::Confirmed(_)) {
            info!(task_host.log, "order failed"; "order" => order_name(&order),
                "upstream" => %order.incarnation, "range" => %order.range, "fence" => order.fence.0,
                "result" => result);
        }
        // The channel is closed only when the term has ended.
        let _ = events.send(Event::OrderFinished(order.id, outcome)).await;
    };
    host.spawn(sending).detach();
}
