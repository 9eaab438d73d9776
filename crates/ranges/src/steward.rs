//! Turning a table into orders.
//!
//! Only the steward of a service changes its table, and its orders follow from a table that is in
//! the store. An entry's range goes to its owner in two steps. First every former owner is cleared:
//! it has confirmed a release, is known to have ended, or the last grant that can have reached it
//! has run out. Then the owner is granted the range, and the grant is renewed.
//!
//! A release alone is no proof if an older grant can still be on its way, because the upstream would
//! apply it afterwards. That is the case while an unanswered grant of this steward can be valid, and
//! while grants of an earlier steward can be. The former owner is then granted the range under a
//! higher fence first, for a short time; once it has confirmed that, it refuses the older grant.
//!
//! Until a former owner has confirmed the release, it serves the range if its grant is known to be
//! valid, so requests are sent to it for that long.

use std::collections::{BTreeMap, HashMap};

use derive_more::{Display, From};
use smallvec::SmallVec;
use trefoil_core::{Fence, Key, KeyRange, Tick, UnixMillis, UpstreamName};
use trefoil_directory::Life;

use crate::move_state::{Event, Phase};
use crate::table::{Entry, Owner, Table};
use crate::timing::Timing;

/// Wait after a failed order before it is sent again.
const RETRY: std::time::Duration = std::time::Duration::from_millis(250);

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
        hold: std::time::Duration,
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
    pub life: Life,
    /// The range.
    pub range: KeyRange,
    /// Fence of the order.
    pub fence: Fence,
    /// What it asks for.
    pub kind: OrderKind,
}

/// What became of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The upstream confirmed it.
    Done(Option<Handover>),
    /// The upstream has seen a higher fence.
    Fenced,
    /// No answer came. The upstream may have applied the order, or may apply it later.
    Silent,
    /// The order did not reach the upstream.
    Unsent,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Nothing is under way; the next order may be sent at this tick.
    Ready(Tick),
    /// A grant that bars older ones is under way.
    Barring,
    /// No older grant can be applied any more.
    Barred,
    /// A release is under way.
    Releasing,
    /// It cannot hold a grant.
    Cleared,
}

/// What is known of a former owner of an entry.
#[derive(Debug, Clone)]
struct Clearing {
    owner: Owner,
    step: Step,
    /// No grant to it can be valid from this tick.
    until: Tick,
    /// An unanswered grant can be applied until this tick.
    unanswered: Tick,
    /// Its grant is known to be valid until this tick, unless it is released before.
    serves: Tick,
    handover: Option<Handover>,
}

/// What is known of an entry of the table.
#[derive(Debug, Clone)]
struct Progress {
    phase: Phase,
    former: SmallVec<[Clearing; 1]>,
    /// Grants to the owner can be valid until this tick.
    until: Tick,
    /// An unanswered grant to the owner can be applied until this tick.
    unanswered: Tick,
    /// The owner's grant is known to be valid until this tick.
    serves: Tick,
    /// When the next grant is due.
    due: Tick,
    in_flight: bool,
    /// Orders to the owner without an answer, in a row.
    failures: u32,
}

impl Clearing {
    /// What holds if both are true of parts of a range.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "both parts are replaced by what holds for them together"
    )]
    fn or_later(self, other: Self) -> Self {
        let step = match self.step {
            Step::Cleared => other.step,
            step => step,
        };
        Self {
            step,
            until: self.until.max(other.until),
            unanswered: self.unanswered.max(other.unanswered),
            serves: self.serves.min(other.serves),
            ..self
        }
    }

    /// The same, with orders to be sent anew.
    fn reordered(mut self, now: Tick) -> Self {
        if self.step != Step::Cleared {
            self.step = Step::Ready(now);
        }
        self
    }
}

impl Progress {
    fn new(now: Tick, phase: Phase) -> Self {
        Self {
            phase,
            former: SmallVec::new(),
            until: Tick::default(),
            unanswered: Tick::default(),
            serves: Tick::default(),
            due: now,
            in_flight: false,
            failures: 0,
        }
    }

    /// The same, with orders to be sent anew.
    fn reordered(self, now: Tick) -> Self {
        let former = self.former.into_iter();
        Self {
            former: former.map(|c| c.reordered(now)).collect(),
            in_flight: false,
            ..self
        }
    }
}

/// What the progress of an earlier entry says about `owner` as a former owner.
fn clearing_of(now: Tick, owner: &Owner, earlier: &Entry, known: &Progress) -> Option<Clearing> {
    if earlier.owner.as_ref() == Some(owner) {
        return Some(Clearing {
            owner: owner.clone(),
            step: Step::Ready(now),
            until: known.until,
            unanswered: known.unanswered,
            serves: known.serves,
            handover: None,
        });
    }
    let before = known.former.iter().find(|c| c.owner == *owner)?;
    Some(before.clone().reordered(now))
}

#[derive(Debug, Clone)]
struct Pending {
    first: Key,
    to: Owner,
    sent: Tick,
    hold: std::time::Duration,
    role: Role,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    Grant,
    Bar,
    Release,
}

/// Turns a table into orders.
#[derive(Debug)]
pub struct Steward {
    timing: Timing,
    table: Table,
    progress: Vec<Progress>,
    /// Grants of earlier stewards can be valid until this tick.
    former_until: Tick,
    /// Grants may be sent until this tick.
    term_until: Tick,
    /// Newest life of each upstream that is registered.
    lives: HashMap<UpstreamName, UnixMillis>,
    pending: BTreeMap<OrderId, Pending>,
    next_order: u64,
    /// Changes whenever [`Steward::routes`] does.
    serial: u64,
    deposed: bool,
}

impl Steward {
    /// A steward that has just taken over with `table`.
    ///
    /// `former` is the tick from which no grant of an earlier steward can be valid.
    pub fn new(now: Tick, table: Table, timing: Timing, former: Tick) -> Self {
        let mut steward = Self {
            timing,
            progress: Vec::new(),
            former_until: former,
            term_until: now.after(timing.term),
            lives: HashMap::new(),
            pending: BTreeMap::new(),
            next_order: 0,
            serial: 0,
            deposed: false,
            table,
        };
        let entries = steward.table.entries();
        steward.progress = entries
            .iter()
            .map(|entry| Progress {
                former: entry
                    .former
                    .iter()
                    .map(|owner| steward.unknown(now, owner))
                    .collect(),
                until: former,
                unanswered: former,
                ..Progress::new(now, Phase::initial())
            })
            .collect();
        steward
    }

    /// What is assumed of a former owner that an earlier steward has granted the range.
    fn unknown(&self, now: Tick, owner: &Owner) -> Clearing {
        Clearing {
            owner: owner.clone(),
            step: Step::Ready(now),
            until: self.former_until,
            unanswered: self.former_until,
            serves: Tick::default(),
            handover: None,
        }
    }

    /// The table from which orders follow.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Number of the present [`routes`](Self::routes).
    pub fn serial(&self) -> u64 {
        self.serial
    }

    /// Whether an upstream refused an order because another steward has sent a later one.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// The store has confirmed the term by a call that was sent at `sent`.
    pub fn confirm_term(&mut self, sent: Tick) {
        self.term_until = self.term_until.max(sent.after(self.timing.term));
    }

    /// Takes in which upstreams are registered. A former owner whose name has a newer life has
    /// ended, and holds nothing.
    pub fn set_lives<I>(&mut self, lives: I)
    where
        I: IntoIterator<Item = Life>,
    {
        self.lives = lives.into_iter().map(|l| (l.name, l.born)).collect();
    }

    /// Uses a table that is in the store now.
    pub fn adopt(&mut self, now: Tick, table: Table) {
        let old = std::mem::replace(&mut self.table, table);
        let progress = std::mem::take(&mut self.progress);
        let known: Vec<(&Entry, &Progress)> = old.entries().iter().zip(&progress).collect();
        let renewed = self.table.entries().iter().map(|entry| {
            let from = known.partition_point(|(e, _)| e.range.last() < entry.range.first());
            let to = known.partition_point(|(e, _)| e.range.first() <= entry.range.last());
            self.carry(now, entry, &known[from..to])
        });
        self.progress = renewed.collect();
        self.serial += 1;
    }

    /// What is known of an entry that has taken the place of those in `earlier`, which cover it.
    fn carry(&self, now: Tick, entry: &Entry, earlier: &[(&Entry, &Progress)]) -> Progress {
        let life = |e: &Entry| e.owner.as_ref().map(|o| o.life.clone());
        let same = |(e, _): &(&Entry, &Progress)| entry.owner.is_some() && e.owner == entry.owner;
        if let [only] = earlier
            && same(only)
        {
            let known = only.1.clone();
            return if only.0.range == entry.range {
                known
            } else {
                // Orders for the whole range are under way; they cover this part as well, but
                // their answers are counted for its first part only.
                known.reordered(now)
            };
        }
        let kept = |(e, p): &(&Entry, &Progress)| life(e) == life(entry) && p.phase == Phase::Held;
        if entry.owner.is_some() && earlier.iter().all(kept) {
            // Only the fence differs: the owner serves under the old ones until it has the new one.
            let parts = || earlier.iter().map(|(_, p)| p);
            return Progress {
                until: parts().map(|p| p.until).max().unwrap_or_default(),
                unanswered: parts().map(|p| p.unanswered).max().unwrap_or_default(),
                serves: parts().map(|p| p.serves).min().unwrap_or_default(),
                ..Progress::new(now, Phase::Held)
            };
        }
        let clearing = |owner: &Owner| {
            let known = earlier
                .iter()
                .filter_map(|(e, p)| clearing_of(now, owner, e, p));
            known
                .reduce(Clearing::or_later)
                .unwrap_or_else(|| self.unknown(now, owner))
        };
        Progress {
            former: entry.former.iter().map(clearing).collect(),
            ..Progress::new(now, Phase::initial())
        }
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
            for index in 0..state.former.len() {
                self.clear(now, entry, &mut state.former[index], orders);
            }
            if state.former.iter().all(|c| c.step == Step::Cleared) {
                let event = match entry.owner {
                    Some(_) => Event::Cleared,
                    None => Event::Emptied,
                };
                state.phase = state.phase.after(event);
                self.serial += 1;
            }
        }
        if state.phase == Phase::Held && now >= state.serves {
            state.phase = state.phase.after(Event::Lapsed);
            self.serial += 1;
        }
        let granted = matches!(state.phase, Phase::Granting | Phase::Held);
        if let Some(owner) = entry.owner.as_ref().filter(|_| granted)
            && !state.in_flight
            && now >= state.due
            && now < self.term_until
        {
            let hold = self.timing.hold;
            let handover = match state.phase {
                Phase::Granting => state.former.iter().rev().find_map(|c| c.handover.clone()),
                _ => None,
            };
            let kind = OrderKind::Grant { hold, handover };
            orders.push(self.order(now, entry, owner.clone(), kind, Role::Grant));
            state.in_flight = true;
            state.until = self.timing.end_of(now, hold);
            state.unanswered = state.until;
        }
    }

    fn clear(&mut self, now: Tick, entry: &Entry, former: &mut Clearing, orders: &mut Vec<Order>) {
        let life = &former.owner.life;
        let ended = self
            .lives
            .get(&life.name)
            .is_some_and(|born| *born > life.born);
        if ended || now >= former.until {
            if former.step != Step::Cleared {
                former.step = Step::Cleared;
                self.serial += 1;
            }
            return;
        }
        let bar = Owner {
            life: life.clone(),
            fence: entry.bar,
        };
        let unbarred = now < former.unanswered;
        // A bar is sent under the term as any grant is.
        let may_bar = now < self.term_until && entry.owner.is_some();
        match former.step {
            Step::Ready(at) if now < at => {}
            Step::Ready(_) if unbarred && may_bar => {
                let kind = OrderKind::Grant {
                    hold: self.timing.bar,
                    handover: None,
                };
                orders.push(self.order(now, entry, bar, kind, Role::Bar));
                former.step = Step::Barring;
                let end = self.timing.end_of(now, self.timing.bar);
                former.until = former.until.max(end);
            }
            Step::Ready(_) if unbarred => {}
            Step::Ready(_) => {
                let owner = former.owner.clone();
                orders.push(self.order(now, entry, owner, OrderKind::Release, Role::Release));
                former.step = Step::Releasing;
            }
            Step::Barred => {
                orders.push(self.order(now, entry, bar, OrderKind::Release, Role::Release));
                former.step = Step::Releasing;
            }
            _ => {}
        }
    }

    fn order(&mut self, now: Tick, entry: &Entry, to: Owner, kind: OrderKind, role: Role) -> Order {
        let id = OrderId(self.next_order);
        self.next_order += 1;
        let hold = match kind {
            OrderKind::Grant { hold, .. } => hold,
            OrderKind::Release => std::time::Duration::ZERO,
        };
        let pending = Pending {
            first: entry.range.first(),
            to: to.clone(),
            sent: now,
            hold,
            role,
        };
        self.pending.insert(id, pending);
        Order {
            id,
            life: to.life,
            range: entry.range,
            fence: to.fence,
            kind,
        }
    }

    /// Takes in what became of an order.
    pub fn answered(&mut self, now: Tick, id: OrderId, answer: Answer) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let index = self
            .table
            .entries()
            .partition_point(|e| e.range.first() <= pending.first)
            .saturating_sub(1);
        let entry = self.table.entries()[index].clone();
        if entry.range.first() != pending.first {
            return;
        }
        match pending.role {
            Role::Grant => self.grant_answered(now, index, &entry, &pending, &answer),
            Role::Bar | Role::Release => self.clearing_answered(now, index, &pending, answer),
        }
    }

    fn grant_answered(
        &mut self,
        now: Tick,
        index: usize,
        entry: &Entry,
        pending: &Pending,
        answer: &Answer,
    ) {
        let state = &mut self.progress[index];
        // The entry may have been given to another owner, or got a new fence, since the order was
        // sent.
        if entry.owner.as_ref() != Some(&pending.to) {
            return;
        }
        state.in_flight = false;
        match answer {
            Answer::Done(_) => {
                state.failures = 0;
                state.due = pending.sent.after(self.timing.renew);
                state.unanswered = Tick::default();
                state.serves = state.serves.max(pending.sent.after(pending.hold));
                if state.phase != Phase::Held {
                    state.phase = state.phase.after(Event::Granted);
                    self.serial += 1;
                }
            }
            Answer::Fenced => {
                state.failures += 1;
                state.due = now.after(RETRY);
                self.deposed = true;
            }
            Answer::Silent | Answer::Unsent => {
                state.failures += 1;
                state.due = now.after(RETRY);
            }
        }
    }

    fn clearing_answered(&mut self, now: Tick, index: usize, pending: &Pending, answer: Answer) {
        let former = &mut self.progress[index].former;
        let Some(clearing) = former.iter_mut().find(|c| c.owner.life == pending.to.life) else {
            return;
        };
        clearing.step = match (pending.role, answer) {
            (_, _) if clearing.step == Step::Cleared => Step::Cleared,
            (Role::Bar, Answer::Done(_)) => Step::Barred,
            (Role::Bar, Answer::Fenced) => {
                self.deposed = true;
                Step::Ready(now.after(RETRY))
            }
            (_, Answer::Done(handover)) => {
                clearing.handover = handover;
                self.serial += 1;
                Step::Cleared
            }
            _ => Step::Ready(now.after(RETRY)),
        };
    }

    /// Entries whose former owners have been cleared and whose owner has been granted the range, so
    /// that the table in the store may forget the former owners.
    pub fn cleared(&self) -> impl Iterator<Item = Key> {
        let pairs = self.table.entries().iter().zip(&self.progress);
        pairs
            .filter(|(entry, state)| {
                let done = matches!(state.phase, Phase::Held | Phase::Free);
                done && !entry.former.is_empty()
            })
            .map(|(entry, _)| entry.range.first())
    }

    /// The phase of each entry, in the order of the table.
    pub fn phases(&self) -> impl Iterator<Item = (&Entry, Phase)> {
        let states = self.progress.iter().map(|p| p.phase);
        self.table.entries().iter().zip(states)
    }

    /// Orders to this upstream that were not answered, in a row, over all its entries.
    pub fn failures(&self, life: &Life) -> u32 {
        let pairs = self.table.entries().iter().zip(&self.progress);
        let own = pairs.filter(|(e, _)| e.owner.as_ref().is_some_and(|o| o.life == *life));
        own.map(|(_, p)| p.failures).max().unwrap_or(0)
    }

    /// Where requests for each range are to be sent, in the order of the keys. Nobody serves a
    /// range while it moves.
    pub fn routes(&self, now: Tick) -> impl Iterator<Item = (KeyRange, Option<&UpstreamName>)> {
        let pairs = self.table.entries().iter().zip(&self.progress);
        pairs.map(move |(entry, state)| (entry.range, holder(now, entry, state)))
    }

    /// The earliest tick at which [`Steward::poll`] has something to do.
    pub fn next_wake(&self) -> Option<Tick> {
        let entries = self.table.entries().iter().zip(&self.progress);
        let wakes = entries.flat_map(|(entry, state)| {
            let grants = matches!(state.phase, Phase::Granting | Phase::Held);
            let due = (grants && !state.in_flight && entry.owner.is_some()).then_some(state.due);
            let lapse = (state.phase == Phase::Held).then_some(state.serves);
            let clearing = state.phase == Phase::Clearing;
            let former = state.former.iter().filter(move |_| clearing);
            let former = former.flat_map(|c| match c.step {
                Step::Cleared => [None, None],
                Step::Ready(at) => [Some(at), Some(c.until)],
                _ => [None, Some(c.until)],
            });
            let former: SmallVec<[Option<Tick>; 4]> = former.collect();
            [due, lapse].into_iter().chain(former).flatten()
        });
        wakes.min()
    }
}

/// Who serves an entry.
fn holder<'a>(now: Tick, entry: &'a Entry, state: &'a Progress) -> Option<&'a UpstreamName> {
    match state.phase {
        Phase::Held => entry.owner.as_ref().map(|o| &o.life.name),
        Phase::Clearing => state
            .former
            .iter()
            .find(|c| matches!(c.step, Step::Ready(_)) && now < c.serves)
            .map(|c| &c.owner.life.name),
        Phase::Granting | Phase::Free => None,
    }
}
