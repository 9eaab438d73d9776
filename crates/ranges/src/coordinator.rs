//! Derives grants and releases from a range table.
//!
//! Only the coordinator of a service changes its table, and it sends no order before the table that
//! the order follows from is in the store. A range changes owner in four steps:
//!
//! 1. The table is written with the new owner and the former one.
//! 2. The former owner is cleared: it confirms a release, another upstream answers at its address,
//!    or the last grant that can have reached it expires.
//! 3. The table is written without the former owner.
//! 4. The owner is granted the range, and the grant is renewed.
//!
//! A coordinator that takes over in between reads from the table which step was reached. If the
//! former owner is listed, nobody has granted the range to the new owner, and the move continues at
//! step 2 under new fences. If it is not listed, nobody else holds the range, and the move
//! continues at step 4.
//!
//! A release does not prove that the former owner holds nothing while an older grant can still be
//! in transit, because the upstream would apply that grant after the release. This is the case
//! while an unanswered grant of this coordinator can be valid, and while grants of an earlier
//! coordinator can be. The former owner is then first sent a fencing grant: a short grant with a
//! higher fence, after which it refuses the older ones.
//!
//! An upstream that restarts forgets its fences. What it has confirmed before counts for nothing if a
//! grant of an earlier coordinator can arrive after the restart, so no former owner is cleared until
//! all of these have arrived.
//!
//! Until the release is sent, requests continue to go to the former owner, provided that its grant
//! is known to be valid.

mod carry;
mod outcomes;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use derive_more::{Display, From};
use trefoil_core::{Fence, Key, KeyRange, Tick, UnixMillis, UpstreamName};
use trefoil_directory::Incarnation;

use crate::move_state::{Event, Phase};
use crate::table::{Entry, Owner, Table};
use crate::timing::Timing;

/// Delay before a failed order is sent again.
const RETRY: Duration = Duration::from_millis(250);

/// Proof of a release, which lets the next owner take over the state that the former one held.
#[derive(Debug, Clone, PartialEq, Eq, Display, From)]
pub struct Handover(pub String);

/// Identifies an order within one coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct OrderId(u64);

/// Content of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// Permits the upstream to serve the range.
    Grant {
        /// Validity, counted from the arrival of the order.
        ttl: Duration,
        /// Proof that the former owner has released the range.
        handover: Option<Handover>,
    },
    /// Revokes the range. The upstream answers once the requests that it has begun are finished.
    Release,
}

/// An order to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Matches the outcome to the order.
    pub id: OrderId,
    /// The addressed upstream.
    pub incarnation: Incarnation,
    /// The range to grant or release.
    pub range: KeyRange,
    /// Fencing token. The upstream refuses a grant below the highest fence that it has seen.
    pub fence: Fence,
    /// Grant or release.
    pub kind: OrderKind,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The upstream confirmed the order.
    Confirmed(Option<Handover>),
    /// The upstream refused the order because it has seen a higher fence.
    Fenced,
    /// No answer arrived. The upstream may have applied the order, or may apply it later.
    NoAnswer,
    /// The upstream has not applied the order and will not: it was not delivered, or it was
    /// refused.
    NotApplied,
    /// Another upstream answered at the address, so the addressed incarnation has ended.
    IncarnationEnded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClearStep {
    /// No order is pending; the next one may be sent at this tick.
    Ready(Tick),
    /// A fencing grant is pending.
    Fencing(OrderId),
    /// The upstream refuses all older grants.
    GrantsFenced,
    /// A release is pending.
    Releasing(OrderId),
    /// The upstream cannot hold a grant.
    Cleared,
}

/// Bounds on the grants of one upstream for one entry.
#[derive(Debug, Clone, Copy, Default)]
struct Grants {
    /// An earlier coordinator may have sent grants, and may send more until it learns that it is
    /// deposed.
    from_earlier: bool,
    /// From this tick no grant of this coordinator can be valid.
    valid_until: Tick,
    /// An unanswered grant of this coordinator can still be applied until this tick.
    unanswered_until: Tick,
    /// A confirmed grant is valid until this tick, unless it is released before.
    serves_until: Tick,
}

/// Progress in clearing the former owner of an entry.
#[derive(Debug, Clone)]
struct FormerOwner {
    owner: Owner,
    /// Highest fence sent: that of its own grant or of the fencing grant.
    fence: Fence,
    step: ClearStep,
    grants: Grants,
}

impl FormerOwner {
    fn new(now: Tick, owner: &Owner, grants: Grants) -> Self {
        Self {
            owner: owner.clone(),
            fence: owner.fence,
            step: ClearStep::Ready(now),
            grants,
        }
    }
}

/// Progress of the orders for one entry of the table.
#[derive(Debug, Clone)]
struct Progress {
    phase: Phase,
    former: Option<FormerOwner>,
    /// Proof of the former owner's release.
    handover: Option<Handover>,
    grants: Grants,
    /// Tick at which the next grant is due.
    due_at: Tick,
    /// The pending grant.
    in_flight: Option<OrderId>,
    /// The owner's fence was assigned in this term, so no earlier coordinator can have used it.
    own_fence: bool,
    /// The range returned to its owner while a release was pending, which can arrive after the new
    /// grant.
    release_late: bool,
    /// Consecutive orders to the owner without a confirmation.
    failures: u32,
}

#[derive(Debug, Clone)]
struct Pending {
    first: Key,
    to: Owner,
    sent: Tick,
    ttl: Duration,
    role: Role,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Grant,
    FencingGrant,
    Release,
}

impl Grants {
    /// Bounds that hold for a range joined from two parts.
    fn merge(self, other: Self) -> Self {
        Self {
            from_earlier: self.from_earlier || other.from_earlier,
            valid_until: self.valid_until.max(other.valid_until),
            unanswered_until: self.unanswered_until.max(other.unanswered_until),
            serves_until: self.serves_until.min(other.serves_until),
        }
    }
}

impl Progress {
    fn new(now: Tick, phase: Phase) -> Self {
        Self {
            phase,
            former: None,
            handover: None,
            grants: Grants::default(),
            due_at: now,
            in_flight: None,
            own_fence: false,
            release_late: false,
            failures: 0,
        }
    }

    /// Assumes the worst about an entry that an earlier coordinator has sent orders for.
    fn inherited(now: Tick, entry: &Entry) -> Self {
        let grants = Grants {
            from_earlier: true,
            ..Grants::default()
        };
        let former = entry.former.as_ref();
        let former = former.map(|owner| FormerOwner::new(now, owner, grants));
        let phase = match former {
            Some(_) => Phase::initial(),
            None => Phase::Granting,
        };
        Self {
            former,
            grants,
            ..Self::new(now, phase)
        }
    }

    /// Bounds on the owner's grants, in which a pending grant counts as one that may stay
    /// unanswered.
    fn known_grants(&self) -> Grants {
        let mut grants = self.grants;
        if self.in_flight.is_some() {
            grants.unanswered_until = grants.unanswered_until.max(grants.valid_until);
        }
        grants
    }

    /// Forgets the pending orders, so that they are sent again. A pending fencing grant may still
    /// be applied, so nothing else is sent to the former owner before it would have expired.
    fn reset_orders(mut self, now: Tick, timing: &Timing) -> Self {
        self.grants = self.known_grants();
        if let Some(former) = &mut self.former {
            let end = timing.grant_expiry(now, timing.fencing_ttl);
            former.step = match former.step {
                ClearStep::Cleared => ClearStep::Cleared,
                ClearStep::Fencing(_) => {
                    former.grants.valid_until = former.grants.valid_until.max(end);
                    ClearStep::Ready(end)
                }
                _ => ClearStep::Ready(now),
            };
        }
        self.in_flight = None;
        self
    }
}

/// Derives grants and releases from a range table.
#[derive(Debug)]
pub struct Coordinator {
    timing: Timing,
    table: Table,
    /// One per entry of the table.
    progress: Vec<Progress>,
    /// From this tick no grant of an earlier coordinator can be valid.
    earlier_until: Tick,
    /// From this tick no grant of an earlier coordinator arrives at an upstream.
    earlier_silent: Tick,
    /// Grants may be sent until this tick.
    term_until: Tick,
    /// Start of the newest registered incarnation of each upstream.
    incarnations: HashMap<UpstreamName, UnixMillis>,
    pending: BTreeMap<OrderId, Pending>,
    next_order: u64,
    /// Incremented whenever the result of [`Coordinator::routes`] changes.
    serial: u64,
    deposed: bool,
    store_unavailable: bool,
    unlisted: Option<Unlisted>,
}

/// Grants can be valid that the table does not list, because the store has lost records. Nothing
/// changes owner meanwhile.
#[derive(Debug, Clone, Copy)]
struct Unlisted {
    /// From this tick no such grant can be valid.
    until: Tick,
    /// The owners are granted their ranges again. They are not if the table is from an older copy.
    renews: bool,
}

impl Coordinator {
    /// Creates the coordinator of a new term. The moves in `table` must have new fences, see
    /// [`Table::refence_moves`].
    ///
    /// `earlier` is the tick from which no grant of an earlier coordinator can be valid.
    pub fn new(now: Tick, table: Table, timing: Timing, earlier: Tick) -> Self {
        let unlisted = table.author.map(|author| author.unlisted_grants);
        let unlisted = unlisted.filter(|span| !span.is_zero());
        let mut coordinator = Self {
            unlisted: unlisted.map(|span| Unlisted {
                until: now.after(span),
                renews: false,
            }),
            timing,
            progress: Vec::new(),
            earlier_until: earlier,
            earlier_silent: timing
                .last_arrival(earlier)
                .min(timing.earlier_arrival(now)),
            term_until: now.after(timing.term_ttl),
            incarnations: HashMap::new(),
            pending: BTreeMap::new(),
            next_order: 0,
            serial: 0,
            deposed: false,
            store_unavailable: false,
            table,
        };
        let entries = coordinator.table.entries().iter();
        coordinator.progress = entries
            .map(|entry| Progress::inherited(now, entry))
            .collect();
        coordinator
    }

    /// The table that orders are derived from.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Timing of grants and terms.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Version of the current [`routes`](Self::routes).
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Returns whether an upstream refused an order because of a higher fence, which only a later
    /// coordinator can have sent.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Lowers the tick from which no grant of an earlier coordinator can be valid. A later tick
    /// than the known one changes nothing.
    pub fn limit_earlier(&mut self, until: Tick) {
        self.earlier_until = self.earlier_until.min(until);
        self.earlier_silent = self.earlier_silent.min(self.timing.last_arrival(until));
    }

    /// The tick from which no grant of an earlier coordinator can be valid.
    pub fn earlier_until(&self) -> Tick {
        self.earlier_until
    }

    /// The tick from which no grant of this coordinator or an earlier one can be valid, provided
    /// that this one sends no more.
    pub fn grants_until(&self) -> Tick {
        let own = self.progress.iter().flat_map(|p| {
            let former = p.former.as_ref().map(|f| f.grants.valid_until);
            former.into_iter().chain([p.grants.valid_until])
        });
        let unlisted = self.unlisted_until().unwrap_or_default();
        own.max()
            .unwrap_or_default()
            .max(self.earlier_until)
            .max(unlisted)
    }

    /// Stops all changes of ownership, because the store has lost records. They continue when a
    /// table without unlisted grants is [adopted](Self::adopt_table).
    pub fn suspend_changes(&mut self, now: Tick) {
        let renews = self.unlisted.is_none_or(|u| u.renews);
        let until = self.timing.earlier_expiry(now);
        self.unlisted = Some(Unlisted { until, renews });
    }

    /// The tick from which no grant can be valid that the table does not list, or `None` if it lists
    /// all.
    pub fn unlisted_until(&self) -> Option<Tick> {
        self.unlisted.map(|u| u.until)
    }

    /// Returns `true` if no owner is granted anything, because the table may list owners that have
    /// lost their ranges.
    pub fn withholds_grants(&self) -> bool {
        self.unlisted.is_some_and(|u| !u.renews)
    }

    /// Ends the wait for unlisted grants, because there were none. Has no effect on a table from an
    /// older copy.
    pub fn exclude_unlisted(&mut self, now: Tick) {
        if let Some(unlisted) = self.unlisted.as_mut().filter(|u| u.renews) {
            unlisted.until = unlisted.until.min(now);
        }
    }

    /// The table that ends the wait for unlisted grants, once they have expired. Its fences are
    /// above those of all such grants.
    pub fn settled_table(&self, now: Tick) -> Option<Table> {
        self.unlisted.filter(|u| now >= u.until)?;
        let mut table = self.table.clone();
        table.refence_all();
        Some(table)
    }

    /// Switches between the usual and the long validity of grants. The long one applies while no
    /// host can reach the store.
    pub fn set_store_unavailable(&mut self, unavailable: bool) {
        self.store_unavailable = unavailable;
    }

    /// Extends the term, which the store has confirmed by a call sent at `sent`.
    pub fn confirm_term(&mut self, sent: Tick) {
        self.term_until = self.term_until.max(sent.after(self.timing.term_ttl));
    }

    /// Sets the registered incarnations of the service's upstreams.
    ///
    /// Orders name an upstream, not an incarnation, so an order for an earlier incarnation may have
    /// reached the present one. A restarted upstream is therefore cleared as any other former
    /// owner, and its present incarnation is sent the release.
    pub fn set_incarnations<I>(&mut self, incarnations: I)
    where
        I: IntoIterator<Item = Incarnation>,
    {
        self.incarnations = incarnations
            .into_iter()
            .map(|l| (l.name, l.started))
            .collect();
    }

    /// Replaces the table by one that was written to the store.
    pub fn adopt_table(&mut self, now: Tick, table: Table) {
        let unlisted = table.author.map_or(Duration::ZERO, |a| a.unlisted_grants);
        self.unlisted = match self.unlisted {
            Some(known) if !unlisted.is_zero() => Some(Unlisted {
                until: known.until.max(now.after(unlisted)),
                ..known
            }),
            _ => None,
        };
        let old = std::mem::replace(&mut self.table, table);
        let progress = std::mem::take(&mut self.progress);
        let known: Vec<(&Entry, &Progress)> = old.entries().iter().zip(&progress).collect();
        let renewed = self.table.entries().iter().map(|entry| {
            let from = known.partition_point(|(e, _)| e.range.last() < entry.range.first());
            let to = known.partition_point(|(e, _)| e.range.first() <= entry.range.last());
            carry::carry_over(now, &self.timing, entry, &known[from..to])
        });
        self.progress = renewed.collect();
        self.serial += 1;
    }

    /// Advances all entries and returns the orders to send now.
    pub fn poll(&mut self, now: Tick) -> Vec<Order> {
        let mut orders = Vec::new();
        if self.withholds_grants() {
            return orders;
        }
        let mut progress = std::mem::take(&mut self.progress);
        for (index, state) in progress.iter_mut().enumerate() {
            let entry = self.table.entries()[index].clone();
            self.advance(now, &entry, state, &mut orders);
        }
        self.progress = progress;
        orders
    }

    fn advance(&mut self, now: Tick, entry: &Entry, state: &mut Progress, orders: &mut Vec<Order>) {
        if state.phase == Phase::Clearing && self.unlisted.is_none() {
            if let Some(former) = &mut state.former {
                self.clear_former(now, entry, former, orders);
            }
            if state
                .former
                .as_ref()
                .is_none_or(|f| f.step == ClearStep::Cleared)
            {
                self.apply_event(state, Event::Cleared);
            }
        }
        if state.phase == Phase::Held && now >= state.grants.serves_until {
            self.apply_event(state, Event::Expired);
        }
        let may_grant = matches!(state.phase, Phase::Granting | Phase::Held);
        let due = state.in_flight.is_none() && now >= state.due_at && now < self.term_until;
        // A grant for an ended incarnation would be accepted by its successor.
        let is_newest = |owner: &&Owner| self.newest(&owner.incarnation) == owner.incarnation;
        let owner = entry.owner.as_ref().filter(|_| may_grant && due);
        if let Some(owner) = owner.filter(is_newest) {
            let ttl = if self.store_unavailable {
                self.timing.long_ttl
            } else {
                self.timing.ttl
            };
            let handover = match state.phase {
                Phase::Granting => state.handover.clone(),
                _ => None,
            };
            let kind = OrderKind::Grant { ttl, handover };
            let order = self.issue_order(now, entry, owner.clone(), kind, Role::Grant);
            state.in_flight = Some(order.id);
            orders.push(order);
            let end = self.timing.grant_expiry(now, ttl);
            state.grants.valid_until = state.grants.valid_until.max(end);
        }
    }

    fn apply_event(&mut self, state: &mut Progress, event: Event) {
        let before = state.phase;
        state.phase = before.after(event);
        self.serial += u64::from(state.phase != before);
    }

    /// The newest registered incarnation of an upstream, or `incarnation` if that is newer.
    fn newest(&self, incarnation: &Incarnation) -> Incarnation {
        let started = self.incarnations.get(&incarnation.name).copied();
        Incarnation {
            name: incarnation.name.clone(),
            started: started.map_or(incarnation.started, |started| {
                started.max(incarnation.started)
            }),
        }
    }

    fn clear_former(
        &mut self,
        now: Tick,
        entry: &Entry,
        former: &mut FormerOwner,
        orders: &mut Vec<Order>,
    ) {
        let incarnation = self.newest(&former.owner.incarnation);
        let restarted = incarnation != former.owner.incarnation;
        let earlier = if restarted || former.grants.from_earlier {
            self.earlier_until
        } else {
            Tick::default()
        };
        // A pending fencing grant can still be applied, so its answer is awaited. It does not end
        // work that the upstream began under an earlier coordinator's grant, so the expiry of that
        // grant counts until the release is answered.
        let expired = now >= former.grants.valid_until.max(self.earlier_until)
            && !matches!(former.step, ClearStep::Fencing(_));
        if expired {
            former.step = ClearStep::Cleared;
            return;
        }
        let fencing = Owner {
            incarnation: incarnation.clone(),
            fence: entry.fencing,
        };
        let unfenced = now < former.grants.unanswered_until.max(earlier);
        match former.step {
            // An upstream that restarts loses all fences. While earlier coordinators may send
            // grants, one could arrive after the restart, whatever the upstream has confirmed
            // before.
            ClearStep::Ready(at) if now < at.max(self.earlier_silent) => {}
            // A fencing grant needs a confirmed term, as any other grant.
            ClearStep::Ready(_) if unfenced && now < self.term_until => {
                let kind = OrderKind::Grant {
                    ttl: self.timing.fencing_ttl,
                    handover: None,
                };
                let order = self.issue_order(now, entry, fencing, kind, Role::FencingGrant);
                former.step = ClearStep::Fencing(order.id);
                orders.push(order);
            }
            ClearStep::Ready(_) if unfenced => {}
            ClearStep::Ready(_) | ClearStep::GrantsFenced => {
                let to = Owner {
                    incarnation,
                    fence: former.fence,
                };
                let order = self.issue_order(now, entry, to, OrderKind::Release, Role::Release);
                former.step = ClearStep::Releasing(order.id);
                orders.push(order);
                self.serial += 1;
            }
            ClearStep::Fencing(_) | ClearStep::Releasing(_) | ClearStep::Cleared => {}
        }
    }

    fn issue_order(
        &mut self,
        now: Tick,
        entry: &Entry,
        to: Owner,
        kind: OrderKind,
        role: Role,
    ) -> Order {
        let id = OrderId(self.next_order);
        self.next_order += 1;
        let ttl = match kind {
            OrderKind::Grant { ttl, .. } => ttl,
            OrderKind::Release => Duration::ZERO,
        };
        let pending = Pending {
            first: entry.range.first(),
            to: to.clone(),
            sent: now,
            ttl,
            role,
        };
        self.pending.insert(id, pending);
        Order {
            id,
            incarnation: to.incarnation,
            range: entry.range,
            fence: to.fence,
            kind,
        }
    }

    /// First keys of the entries whose former owner holds nothing any more. The table is to be
    /// written without these former owners.
    pub fn cleared(&self) -> impl Iterator<Item = Key> {
        let recording = self
            .phases()
            .filter(|(_, phase)| *phase == Phase::Recording);
        recording.map(|(entry, _)| entry.range.first())
    }

    /// The phase of each entry, in table order.
    pub fn phases(&self) -> impl Iterator<Item = (&Entry, Phase)> {
        let states = self.progress.iter().map(|p| p.phase);
        self.table.entries().iter().zip(states)
    }

    /// Upstreams that have left at least this many consecutive orders for one of their entries
    /// unanswered.
    pub fn silent_owners(&self, orders: u32) -> HashSet<&Incarnation> {
        let pairs = self.table.entries().iter().zip(&self.progress);
        let silent = pairs.filter(|(_, progress)| progress.failures >= orders);
        let owners = silent.filter_map(|(entry, _)| entry.owner.as_ref());
        owners.map(|owner| &owner.incarnation).collect()
    }

    /// The upstream to which requests for each range are sent, in key order. A range has none while
    /// it moves.
    pub fn routes(&self, now: Tick) -> impl Iterator<Item = (KeyRange, Option<&UpstreamName>)> {
        let pairs = self.table.entries().iter().zip(&self.progress);
        pairs.map(move |(entry, state)| (entry.range, serving_upstream(now, entry, state)))
    }

    /// The earliest tick at which [`Coordinator::poll`] has work to do.
    pub fn next_wake(&self) -> Option<Tick> {
        let settled = self.unlisted_until();
        if self.withholds_grants() {
            return settled;
        }
        let pairs = self.table.entries().iter().zip(&self.progress);
        let entries = pairs.filter_map(|(e, p)| self.entry_wake(e, p)).min();
        entries.into_iter().chain(settled).min()
    }

    /// The next tick at which an entry has work to do.
    fn entry_wake(&self, entry: &Entry, state: &Progress) -> Option<Tick> {
        let grants =
            entry.owner.is_some() && state.in_flight.is_none() && state.due_at < self.term_until;
        let due = grants.then_some(state.due_at);
        match (state.phase, &state.former) {
            (Phase::Clearing, _) if self.unlisted.is_some() => None,
            (Phase::Clearing, Some(former)) => Some(match former.step {
                ClearStep::Ready(at) => at.max(self.earlier_silent),
                _ => former.grants.valid_until.max(self.earlier_until),
            }),
            (Phase::Clearing, None) => Some(state.due_at),
            (Phase::Recording, _) => None,
            (Phase::Granting, _) => due,
            (Phase::Held, _) => due.into_iter().chain([state.grants.serves_until]).min(),
        }
    }
}

/// The upstream that serves an entry.
fn serving_upstream<'a>(
    now: Tick,
    entry: &'a Entry,
    state: &'a Progress,
) -> Option<&'a UpstreamName> {
    let owner = entry.owner.as_ref().map(|o| &o.incarnation.name);
    match (state.phase, &state.former) {
        (Phase::Held, _) => owner,
        (Phase::Clearing, Some(former)) => {
            let untouched = !matches!(former.step, ClearStep::Releasing(_) | ClearStep::Cleared);
            let serves = untouched && now < former.grants.serves_until;
            serves.then_some(&former.owner.incarnation.name)
        }
        _ => None,
    }
}
