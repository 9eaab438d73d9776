//! Applies the outcomes of orders.

use trefoil_core::Tick;

use super::{ClearStep, Coordinator, OrderId, OrderOutcome, Pending, RETRY, Role};
use crate::move_state::{Event, Phase};
use crate::table::Entry;

impl Coordinator {
    /// Applies the outcome of an order. Outcomes of orders for replaced entries are ignored.
    pub fn on_outcome(&mut self, now: Tick, id: OrderId, outcome: OrderOutcome) {
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
            Role::Grant => self.on_grant_outcome(now, index, &entry, id, &pending, &outcome),
            Role::FencingGrant | Role::Release => {
                self.on_former_outcome(now, index, id, &pending, outcome);
            }
        }
    }

    fn on_grant_outcome(
        &mut self,
        now: Tick,
        index: usize,
        entry: &Entry,
        id: OrderId,
        pending: &Pending,
        outcome: &OrderOutcome,
    ) {
        // Since the order was sent, the entry may have been assigned to another owner or got a new
        // fence.
        if entry.owner.as_ref() != Some(&pending.to) {
            return;
        }
        let state = &mut self.progress[index];
        let latest = state.in_flight == Some(id);
        if latest {
            state.in_flight = None;
        }
        match outcome {
            OrderOutcome::Confirmed(_) => {
                state.failures = 0;
                // The release may arrive up to `max_delay` after it was sent and revoke this grant,
                // so the next grant is due right after that.
                let next = if std::mem::take(&mut state.release_late) {
                    self.timing.max_delay
                } else {
                    self.timing.renew_interval
                };
                state.due_at = pending.sent.after(next);
                // An upstream that restarts later gets no grant of an earlier coordinator any more.
                let fences_earlier = state.own_fence && pending.sent >= self.earlier_silent;
                state.grants.from_earlier &= !fences_earlier;
                let valid = pending.sent.after(pending.ttl);
                state.grants.serves_until = state.grants.serves_until.max(valid);
                if state.phase == Phase::Granting {
                    state.phase = state.phase.after(Event::Granted);
                    self.serial += 1;
                }
            }
            // The range was divided since. A fencing grant for another part of it has a higher
            // fence and can have overtaken this order.
            OrderOutcome::Fenced if !latest => {}
            OrderOutcome::Fenced => {
                state.failures += 1;
                state.due_at = now.after(RETRY);
                self.deposed = true;
            }
            OrderOutcome::NoAnswer => {
                // The grant may still be applied, even after later ones have been answered.
                let end = self.timing.grant_expiry(pending.sent, pending.ttl);
                state.grants.unanswered_until = state.grants.unanswered_until.max(end);
                state.failures += 1;
                state.due_at = now.after(RETRY);
            }
            OrderOutcome::NotApplied | OrderOutcome::IncarnationEnded => {
                state.failures += 1;
                state.due_at = now.after(RETRY);
            }
        }
    }

    fn on_former_outcome(
        &mut self,
        now: Tick,
        index: usize,
        id: OrderId,
        pending: &Pending,
        outcome: OrderOutcome,
    ) {
        let state = &mut self.progress[index];
        let Some(former) = &mut state.former else {
            return;
        };
        // An order that was sent before the range was divided or reassigned says nothing about the
        // orders that followed it.
        if ![ClearStep::Fencing(id), ClearStep::Releasing(id)].contains(&former.step) {
            return;
        }
        if pending.role == Role::FencingGrant
            && matches!(outcome, OrderOutcome::Confirmed(_) | OrderOutcome::NoAnswer)
        {
            let end = self.timing.grant_expiry(pending.sent, pending.ttl);
            former.grants.valid_until = former.grants.valid_until.max(end);
        }
        former.step = match (pending.role, outcome) {
            (Role::FencingGrant, OrderOutcome::Confirmed(_)) => {
                former.grants.unanswered_until = Tick::default();
                former.grants.from_earlier = false;
                former.fence = pending.to.fence;
                ClearStep::GrantsFenced
            }
            (Role::FencingGrant, OrderOutcome::Fenced) => {
                self.deposed = true;
                ClearStep::Ready(now.after(RETRY))
            }
            (_, OrderOutcome::IncarnationEnded) => ClearStep::Cleared,
            (_, OrderOutcome::Confirmed(handover)) => {
                state.handover = handover;
                ClearStep::Cleared
            }
            _ => ClearStep::Ready(now.after(RETRY)),
        };
        self.serial += 1;
    }
}
