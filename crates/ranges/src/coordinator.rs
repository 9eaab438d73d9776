//! Turning a table into orders.
//!
//! Only the steward of a service changes its table, and its orders follow from a table that is in
//! the store. A range changes its owner in these steps:
//!
//! 1. The table is written with the new owner and the former one.
//! 2. The former owner is cleared: it has confirmed a release, another upstream answers at its
//!    address, or the last grant that can have reached it has run out.
//! 3. The table is written without the former owner.
//! 4. The owner is granted the range, and the grant is renewed.
//!
//! A steward that takes over in between finds the former owner in the table, or does not. In the
//! first case nobody has granted the range to the owner, and it goes on with step 2 under new
//! fences. In the second case nobody else holds it, and it goes on with step 4.
//!
//! A release alone is no proof if an older grant can still be on its way, because the upstream would
//! apply it afterwards. That is the case while an unanswered grant of this steward can be valid, and
//! while grants of an earlier steward can be. The former owner is then granted the range under a
//! higher fence first, for a short time; once it has confirmed that, it refuses the older grant.
//!
//! Until the former owner is sent the release it serves the range, if its grant is known to be
//! valid, so requests are sent to it for that long.

mod carry;
mod outcomes;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use derive_more::{Display, From};
use trefoil_core::{Fence, Key, KeyRange, Tick, UnixMillis, UpstreamName};
use trefoil_directory::Incarnation;

use crate::move_state::{Event, Phase};
use crate::table::{Entry, Owner, Table};
use crate::timing::Timing;

/// Wait after a failed order before it is sent again.
const RETRY: Duration = Duration::from_millis(250);

/// Proof of a release that the next owner needs in order to take over what the former one held.
#[derive(Debug, Clone, PartialEq, Eq, Display, From)]
pub struct Handover(pub String);

/// Number of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct OrderId(u64);

/// What an order asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderKind {
    /// The upstream may serve the range.
    Grant {
        /// For how long, from the arrival of the order.
        ttl: Duration,
        /// Proof of the release by the former owner.
        handover: Option<Handover>,
    },
    /// The upstream stops serving the range, and answers when it has finished what it has begun.
    Release,
}

/// An order to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Number of the order.
    pub id: OrderId,
    /// The upstream.
    pub incarnation: Incarnation,
    /// The range.
    pub range: KeyRange,
    /// Fence of the order.
    pub fence: Fence,
    /// What it asks for.
    pub kind: OrderKind,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The upstream confirmed it.
    Confirmed(Option<Handover>),
    /// The upstream has seen a higher fence.
    Fenced,
    /// No answer came. The upstream may have applied the order, or may apply it later.
    NoAnswer,
    /// The order did not reach the upstream.
    NotApplied,
    /// Another upstream has the address, so this one has ended.
    IncarnationEnded,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Nothing is under way; the next order may be sent at this tick.
    Ready(Tick),
    /// A grant that bars older ones is under way.
    Fencing(OrderId),
    /// No older grant can be applied any more.
    GrantsFenced,
    /// A release is under way.
    Releasing(OrderId),
    /// It cannot hold a grant.
    Cleared,
}

/// What is known of the grants of one upstream for one entry.
#[derive(Debug, Clone, Copy, Default)]
struct Grants {
    /// An earlier steward may have sent some, and may do so until it knows that it is deposed.
    earlier: bool,
    /// None of this steward's can be valid from this tick.
    until: Tick,
    /// One of this steward's without an answer can be applied until this tick.
    unanswered: Tick,
    /// One is known to be valid until this tick, unless it is released before.
    serves: Tick,
}

/// What is known of the former owner of an entry.
#[derive(Debug, Clone)]
struct Clearing {
    owner: Owner,
    /// Fence of its newest grant: its own, or that of the bar.
    fence: Fence,
    step: Step,
    grants: Grants,
}

impl Clearing {
    fn new(now: Tick, owner: &Owner, grants: Grants) -> Self {
        Self {
            owner: owner.clone(),
            fence: owner.fence,
            step: Step::Ready(now),
            grants,
        }
    }
}

/// What is known of an entry of the table.
#[derive(Debug, Clone)]
struct Progress {
    phase: Phase,
    former: Option<Clearing>,
    /// Proof of the former owner's release.
    handover: Option<Handover>,
    grants: Grants,
    /// When the next grant is due.
    due: Tick,
    /// The grant that is under way.
    in_flight: Option<OrderId>,
    /// The owner's fence is from this term, so an earlier steward cannot have used it.
    own_fence: bool,
    /// A release of the owner, from before the range returned to it, can arrive after its grant.
    release_late: bool,
    /// Orders to the owner without an answer, in a row.
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
    /// What holds for a range of which both are true of a part.
    fn or(self, other: Self) -> Self {
        Self {
            earlier: self.earlier || other.earlier,
            until: self.until.max(other.until),
            unanswered: self.unanswered.max(other.unanswered),
            serves: self.serves.min(other.serves),
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
            due: now,
            in_flight: None,
            own_fence: false,
            release_late: false,
            failures: 0,
        }
    }

    /// What is assumed of an entry that an earlier steward has dealt with.
    fn unknown(now: Tick, entry: &Entry) -> Self {
        let grants = Grants {
            earlier: true,
            ..Grants::default()
        };
        let former = entry.former.as_ref();
        let former = former.map(|owner| Clearing::new(now, owner, grants));
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

    /// The grants to the owner. One that is under way may stay without an answer.
    fn known_grants(&self) -> Grants {
        let mut grants = self.grants;
        if self.in_flight.is_some() {
            grants.unanswered = grants.unanswered.max(grants.until);
        }
        grants
    }

    /// The same, with orders to be sent anew. What is under way is not awaited any more, but a bar
    /// may still be applied, so nothing else is sent until it would have run out.
    fn reordered(mut self, now: Tick, timing: &Timing) -> Self {
        self.grants = self.known_grants();
        if let Some(former) = &mut self.former {
            let end = timing.grant_expiry(now, timing.fencing_ttl);
            former.step = match former.step {
                Step::Cleared => Step::Cleared,
                Step::Fencing(_) => {
                    former.grants.until = former.grants.until.max(end);
                    Step::Ready(end)
                }
                _ => Step::Ready(now),
            };
        }
        self.in_flight = None;
        self
    }
}

/// Turns a table into orders.
#[derive(Debug)]
pub struct Coordinator {
    timing: Timing,
    table: Table,
    /// One for each entry of the table.
    progress: Vec<Progress>,
    /// Grants of earlier stewards can be valid until this tick.
    earlier_until: Tick,
    /// Grants may be sent until this tick.
    term_until: Tick,
    /// Newest life of each upstream that is registered.
    incarnations: HashMap<UpstreamName, UnixMillis>,
    pending: BTreeMap<OrderId, Pending>,
    next_order: u64,
    /// Changes whenever [`Coordinator::routes`] does.
    serial: u64,
    deposed: bool,
    store_unavailable: bool,
}

impl Coordinator {
    /// A steward that has just taken over with `table`, whose moves have got new fences.
    ///
    /// `earlier` is the tick from which no grant of an earlier steward can be valid.
    pub fn new(now: Tick, table: Table, timing: Timing, earlier: Tick) -> Self {
        let mut coordinator = Self {
            timing,
            progress: Vec::new(),
            earlier_until: earlier,
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
        coordinator.progress = entries.map(|entry| Progress::unknown(now, entry)).collect();
        coordinator
    }

    /// The table from which orders follow.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Spans of the proof of ownership.
    pub fn timing(&self) -> Timing {
        self.timing
    }

    /// Number of the present [`routes`](Self::routes).
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Whether an upstream refused an order because another steward has sent a later one.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// No grant of an earlier steward can be valid from `until`. A later tick than is known changes
    /// nothing.
    pub fn limit_earlier(&mut self, until: Tick) {
        self.earlier_until = self.earlier_until.min(until);
    }

    /// The tick from which no grant of an earlier steward can be valid.
    pub fn earlier_until(&self) -> Tick {
        self.earlier_until
    }

    /// The tick from which no grant of this steward or an earlier one can be valid if it sends none
    /// from now on.
    pub fn grants_until(&self) -> Tick {
        let own = self.progress.iter().flat_map(|p| {
            let former = p.former.as_ref().map(|f| f.grants.until);
            former.into_iter().chain([p.grants.until])
        });
        own.max().unwrap_or_default().max(self.earlier_until)
    }

    /// Whether grants hold for longer from now on, because the store is away.
    pub fn set_store_unavailable(&mut self, away: bool) {
        self.store_unavailable = away;
    }

    /// The store has confirmed the term by a call that was sent at `sent`.
    pub fn confirm_term(&mut self, sent: Tick) {
        self.term_until = self.term_until.max(sent.after(self.timing.term_ttl));
    }

    /// Takes in which upstreams are registered.
    ///
    /// Orders name an upstream and not its life, so one that was meant for an earlier life may have
    /// reached the present one. An upstream that has started again is therefore cleared as any
    /// other former owner is, and its present life gets the release.
    pub fn set_incarnations<I>(&mut self, incarnations: I)
    where
        I: IntoIterator<Item = Incarnation>,
    {
        self.incarnations = incarnations
            .into_iter()
            .map(|l| (l.name, l.started))
            .collect();
    }

    /// Uses a table that is in the store now.
    pub fn adopt_table(&mut self, now: Tick, table: Table) {
        let old = std::mem::replace(&mut self.table, table);
        let progress = std::mem::take(&mut self.progress);
        let known: Vec<(&Entry, &Progress)> = old.entries().iter().zip(&progress).collect();
        let renewed = self.table.entries().iter().map(|entry| {
            let from = known.partition_point(|(e, _)| e.range.last() < entry.range.first());
            let to = known.partition_point(|(e, _)| e.range.first() <= entry.range.last());
            carry::carry(now, &self.timing, entry, &known[from..to])
        });
        self.progress = renewed.collect();
        self.serial += 1;
    }

    /// Advances all entries and returns the orders to be sent now.
    pub fn poll(&mut self, now: Tick) -> Vec<Order> {
        let mut orders = Vec::new();
        let mut progress = std::mem::take(&mut self.progress);
        for (index, state) in progress.iter_mut().enumerate() {
            let entry = self.table.entries()[index].clone();
            self.advance(now, &entry, state, &mut orders);
        }
        self.progress = progress;
        orders
    }

    fn advance(&mut self, now: Tick, entry: &Entry, state: &mut Progress, orders: &mut Vec<Order>) {
        if state.phase == Phase::Clearing {
            if let Some(former) = &mut state.former {
                self.clear(now, entry, former, orders);
            }
            if state
                .former
                .as_ref()
                .is_none_or(|f| f.step == Step::Cleared)
            {
                self.enter(state, Event::Cleared);
            }
        }
        if state.phase == Phase::Held && now >= state.grants.serves {
            self.enter(state, Event::Lapsed);
        }
        let granted = matches!(state.phase, Phase::Granting | Phase::Held);
        let due = state.in_flight.is_none() && now >= state.due && now < self.term_until;
        // A life that has ended is not granted anything; its successor would take it.
        let is_newest = |owner: &&Owner| self.newest(&owner.incarnation) == owner.incarnation;
        let owner = entry.owner.as_ref().filter(|_| granted && due);
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
            let order = self.order(now, entry, owner.clone(), kind, Role::Grant);
            state.in_flight = Some(order.id);
            orders.push(order);
            let end = self.timing.grant_expiry(now, ttl);
            state.grants.until = state.grants.until.max(end);
        }
    }

    fn enter(&mut self, state: &mut Progress, event: Event) {
        let before = state.phase;
        state.phase = before.after(event);
        self.serial += u64::from(state.phase != before);
    }

    /// The newest life of an upstream that is registered, or the one that is given.
    fn newest(&self, incarnation: &Incarnation) -> Incarnation {
        let started = self.incarnations.get(&incarnation.name).copied();
        Incarnation {
            name: incarnation.name.clone(),
            started: started.map_or(incarnation.started, |started| {
                started.max(incarnation.started)
            }),
        }
    }

    fn clear(&mut self, now: Tick, entry: &Entry, former: &mut Clearing, orders: &mut Vec<Order>) {
        let incarnation = self.newest(&former.owner.incarnation);
        let restarted = incarnation != former.owner.incarnation;
        let earlier = if former.grants.earlier {
            self.earlier_until
        } else {
            Tick::default()
        };
        // A bar that is under way can still be applied, so its answer is awaited. A bar does not end
        // what its upstream works on under an earlier steward's grant, so that grant's end counts
        // for as long as the release is not answered.
        let run_out = now >= former.grants.until.max(self.earlier_until)
            && !matches!(former.step, Step::Fencing(_));
        if run_out {
            former.step = Step::Cleared;
            return;
        }
        let fencing = Owner {
            incarnation: incarnation.clone(),
            fence: entry.fencing,
        };
        let unfenced = now < former.grants.unanswered.max(earlier);
        match former.step {
            // A new life is not barred: it has forgotten all fences, so the bar of a steward that does
            // not know yet that it is deposed would take the keys from their present owner. A grant
            // without an answer is waited for instead.
            Step::Ready(_) if restarted && now < former.grants.unanswered => {}
            Step::Ready(at) if now < at => {}
            // A bar is sent under the term as any grant is.
            Step::Ready(_) if unfenced && !restarted && now < self.term_until => {
                let kind = OrderKind::Grant {
                    ttl: self.timing.fencing_ttl,
                    handover: None,
                };
                let order = self.order(now, entry, fencing, kind, Role::FencingGrant);
                former.step = Step::Fencing(order.id);
                orders.push(order);
            }
            Step::Ready(_) if unfenced && !restarted => {}
            Step::Ready(_) | Step::GrantsFenced => {
                let to = Owner {
                    incarnation,
                    fence: former.fence,
                };
                let order = self.order(now, entry, to, OrderKind::Release, Role::Release);
                former.step = Step::Releasing(order.id);
                orders.push(order);
                self.serial += 1;
            }
            Step::Fencing(_) | Step::Releasing(_) | Step::Cleared => {}
        }
    }

    fn order(&mut self, now: Tick, entry: &Entry, to: Owner, kind: OrderKind, role: Role) -> Order {
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

    /// First keys of the entries whose former owner holds nothing, which is to be written to the
    /// table.
    pub fn cleared(&self) -> impl Iterator<Item = Key> {
        let recording = self
            .phases()
            .filter(|(_, phase)| *phase == Phase::Recording);
        recording.map(|(entry, _)| entry.range.first())
    }

    /// The phase of each entry, in the order of the table.
    pub fn phases(&self) -> impl Iterator<Item = (&Entry, Phase)> {
        let states = self.progress.iter().map(|p| p.phase);
        self.table.entries().iter().zip(states)
    }

    /// Orders to this upstream that were not answered, in a row, over all its entries.
    pub fn failures(&self, incarnation: &Incarnation) -> u32 {
        let pairs = self.table.entries().iter().zip(&self.progress);
        let own = pairs.filter(|(e, _)| {
            e.owner
                .as_ref()
                .is_some_and(|o| o.incarnation == *incarnation)
        });
        own.map(|(_, p)| p.failures).max().unwrap_or(0)
    }

    /// Where requests for each range are to be sent, in the order of the keys. Nobody serves a
    /// range while it moves.
    pub fn routes(&self, now: Tick) -> impl Iterator<Item = (KeyRange, Option<&UpstreamName>)> {
        let pairs = self.table.entries().iter().zip(&self.progress);
        pairs.map(move |(entry, state)| (entry.range, holder(now, entry, state)))
    }

    /// The earliest tick at which [`Coordinator::poll`] has something to do.
    pub fn next_wake(&self) -> Option<Tick> {
        let pairs = self.table.entries().iter().zip(&self.progress);
        pairs.filter_map(|(e, p)| self.wake(e, p)).min()
    }

    /// When an entry has something to do next.
    fn wake(&self, entry: &Entry, state: &Progress) -> Option<Tick> {
        let grants =
            entry.owner.is_some() && state.in_flight.is_none() && state.due < self.term_until;
        let due = grants.then_some(state.due);
        match (state.phase, &state.former) {
            (Phase::Clearing, Some(former)) => Some(match former.step {
                Step::Ready(at) => at,
                _ => former.grants.until.max(self.earlier_until),
            }),
            (Phase::Clearing, None) => Some(state.due),
            (Phase::Recording, _) => None,
            (Phase::Granting, _) => due,
            (Phase::Held, _) => due.into_iter().chain([state.grants.serves]).min(),
        }
    }
}

/// Who serves an entry.
fn holder<'a>(now: Tick, entry: &'a Entry, state: &'a Progress) -> Option<&'a UpstreamName> {
    let owner = entry.owner.as_ref().map(|o| &o.incarnation.name);
    match (state.phase, &state.former) {
        (Phase::Held, _) => owner,
        (Phase::Clearing, Some(former)) => {
            let untouched = !matches!(former.step, Step::Releasing(_) | Step::Cleared);
            let serves = untouched && now < former.grants.serves;
            serves.then_some(&former.owner.incarnation.name)
        }
        _ => None,
    }
}
