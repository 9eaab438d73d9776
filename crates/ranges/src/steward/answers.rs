//! What the answers to orders say.

use trefoil_core::Tick;

use super::{Answer, OrderId, Pending, RETRY, Role, Step, Steward};
use crate::move_state::{Event, Phase};
use crate::table::Entry;

impl Steward {
    /// Takes in what became of an order.
    pub fn answered(&mut self, now: Tick, id: OrderId, answer: Answer) {
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
            Role::Bar | Role::Release => self.former_answered(now, index, id, &pending, answer),
        }
    }

    fn grant_answered(
        &mut self,
        now: Tick,
        index: usize,
        entry: &Entry,
        id: OrderId,
        pending: &Pending,
        answer: &Answer,
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
            Answer::Done(_) => {
                state.failures = 0;
                // A grant after the longest travel of the release repairs what it has undone.
                let next = if std::mem::take(&mut state.release_late) {
                    self.timing.travel
                } else {
                    self.timing.renew
                };
                state.due = pending.sent.after(next);
                state.grants.earlier &= !state.own_fence;
                let valid = pending.sent.after(pending.hold);
                state.grants.serves = state.grants.serves.max(valid);
                if state.phase == Phase::Granting {
                    state.phase = state.phase.after(Event::Granted);
                    self.serial += 1;
                }
            }
            Answer::Fenced => {
                state.failures += 1;
                state.due = now.after(RETRY);
                self.deposed = true;
            }
            Answer::Silent => {
                // It may still be applied, also after later ones have been answered.
                let end = self.timing.end_of(pending.sent, pending.hold);
                state.grants.unanswered = state.grants.unanswered.max(end);
                state.failures += 1;
                state.due = now.after(RETRY);
            }
            Answer::Unsent | Answer::Ended => {
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
        answer: Answer,
    ) {
        let state = &mut self.progress[index];
        let Some(former) = &mut state.former else {
            return;
        };
        // The answer to an order that was sent before the range was divided or given to another
        // owner says nothing about the orders that have followed it.
        if ![Step::Barring(id), Step::Releasing(id)].contains(&former.step) {
            return;
        }
        if pending.role == Role::Bar && matches!(answer, Answer::Done(_) | Answer::Silent) {
            let end = self.timing.end_of(pending.sent, pending.hold);
            former.grants.until = former.grants.until.max(end);
        }
        former.step = match (pending.role, answer) {
            (Role::Bar, Answer::Done(_)) => {
                former.grants.unanswered = Tick::default();
                former.grants.earlier = false;
                former.fence = pending.to.fence;
                Step::Barred
            }
            (Role::Bar, Answer::Fenced) => {
                self.deposed = true;
                Step::Ready(now.after(RETRY))
            }
            (_, Answer::Ended) => Step::Cleared,
            (_, Answer::Done(handover)) => {
                state.handover = handover;
                Step::Cleared
            }
            _ => Step::Ready(now.after(RETRY)),
        };
        self.serial += 1;
    }
}
