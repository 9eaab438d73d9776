//! What the answers to orders say.

use trefoil_core::Tick;

use super::{Coordinator, OrderId, OrderOutcome, Pending, RETRY, Role, Step};
use crate::move_state::{Event, Phase};
use crate::table::Entry;

impl Coordinator {
    /// Takes in what became of an order.
    pub fn on_outcome(&mut self, now: Tick, id: OrderId, answer: OrderOutcome) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let after = self
            .table
            .entries()
            .partition_point(|e| e.range.first() <= pending.first);
        let index = after.saturating_sub(1);
        let entry = self.table.entries()[index].clone();
        if entry.range.first() != pending.first {
            return;
        }
        match pending.role {
            Role::Grant => self.grant_answered(now, index, &entry, id, &pending, &answer),
            Role::FencingGrant | Role::Release => {
                self.former_answered(now, index, id, &pending, answer);
            }
        }
    }

    fn grant_answered(
        &mut self,
        now: Tick,
        index: usize,
        entry: &Entry,
        id: OrderId,
        pending: &Pending,
        answer: &OrderOutcome,
    ) {
        // The entry may have been given to another owner, or got a new fence, since the order was
        // sent.
        if entry.owner.as_ref() != Some(&pending.to) {
            return;
        }
        let state = &mut self.progress[index];
        if state.in_flight == Some(id) {
            state.in_flight = None;
        }
        match answer {
            OrderOutcome::Confirmed(_) => {
                state.failures = 0;
                // A grant after the longest travel of the release repairs what it has undone.
                let next = if std::mem::take(&mut state.release_late) {
                    self.timing.max_delay
                } else {
                    self.timing.renew_interval
                };
                state.due = pending.sent.after(next);
                state.grants.earlier &= !state.own_fence;
                let valid = pending.sent.after(pending.ttl);
                state.grants.serves = state.grants.serves.max(valid);
                if state.phase == Phase::Granting {
                    state.phase = state.phase.after(Event::Granted);
                    self.serial += 1;
                }
            }
            OrderOutcome::Fenced => {
                state.failures += 1;
                state.due = now.after(RETRY);
                self.deposed = true;
            }
            OrderOutcome::NoAnswer => {
                // It may still be applied, also after later ones have been answered.
                let end = self.timing.grant_expiry(pending.sent, pending.ttl);
                state.grants.unanswered = state.grants.unanswered.max(end);
                state.failures += 1;
                state.due = now.after(RETRY);
            }
            OrderOutcome::NotApplied | OrderOutcome::IncarnationEnded => {
                state.failures += 1;
                state.due = now.after(RETRY);
            }
        }
    }

    fn former_answered(
        &mut self,
        now: Tick,
        index: usize,
        id: OrderId,
        pending: &Pending,
        answer: OrderOutcome,
    ) {
        let state = &mut self.progress[index];
        let Some(former) = &mut state.former else {
            return;
        };
        // The answer to an order that was sent before the range was divided or given to another
        // owner says nothing about the orders that have followed it.
        if ![Step::Fencing(id), Step::Releasing(id)].contains(&former.step) {
            return;
        }
        if pending.role == Role::FencingGrant
            && matches!(answer, OrderOutcome::Confirmed(_) | OrderOutcome::NoAnswer)
        {
            let end = self.timing.grant_expiry(pending.sent, pending.ttl);
            former.grants.until = former.grants.until.max(end);
        }
        former.step = match (pending.role, answer) {
            (Role::FencingGrant, OrderOutcome::Confirmed(_)) => {
                former.grants.unanswered = Tick::default();
                former.grants.earlier = false;
                former.fence = pending.to.fence;
                Step::GrantsFenced
            }
            (Role::FencingGrant, OrderOutcome::Fenced) => {
                self.deposed = true;
                Step::Ready(now.after(RETRY))
            }
            (_, OrderOutcome::IncarnationEnded) => Step::Cleared,
            (_, OrderOutcome::Confirmed(handover)) => {
                state.handover = handover;
                Step::Cleared
            }
            _ => Step::Ready(now.after(RETRY)),
        };
        self.serial += 1;
    }
}
