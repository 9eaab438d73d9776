//! Carries the progress of entries over to a changed table.

use trefoil_core::Tick;

use super::{ClearStep, FormerOwner, Grants, Progress};
use crate::move_state::{Event, Phase};
use crate::table::{Entry, Owner};
use crate::timing::Timing;

/// Progress of an entry that replaces the entries in `earlier`, which cover its range.
pub(super) fn carry_over(
    now: Tick,
    timing: &Timing,
    entry: &Entry,
    earlier: &[(&Entry, &Progress)],
) -> Progress {
    let [(before, state)] = earlier else {
        return merge_entries(now, entry, earlier);
    };
    let state = if before.range == entry.range {
        (*state).clone()
    } else {
        // Orders for the undivided range cover this part as well, but their outcomes are attributed
        // to the entry with its first key only.
        (*state).clone().reset_orders(now, timing)
    };
    let same_owner = before.owner == entry.owner;
    match (&entry.former, &before.former) {
        (former, same) if former == same && same_owner => state,
        (None, Some(_)) if same_owner => Progress {
            phase: state.phase.after(Event::Recorded),
            former: None,
            due_at: now,
            ..state
        },
        // Another owner was chosen while the former one is being cleared. Former owners are
        // compared by incarnation, because one change may have given the range back to one under
        // another fence and away again.
        (Some(former), Some(same)) if former.incarnation == same.incarnation => Progress {
            former: state.former,
            handover: state.handover,
            ..Progress::new(now, Phase::initial())
        },
        (Some(former), _) => {
            let owner = before
                .owner
                .as_ref()
                .filter(|o| o.incarnation == former.incarnation);
            let grants = state.known_grants();
            let former = FormerOwner::new(now, owner.unwrap_or(former), grants);
            Progress {
                former: Some(former),
                ..Progress::new(now, Phase::initial())
            }
        }
        (None, _) => refenced(now, entry, before, &state),
    }
}

/// Progress of an entry without a former owner whose owner has a new fence.
fn refenced(now: Tick, entry: &Entry, before: &Entry, state: &Progress) -> Progress {
    let incarnation = |owner: &Option<Owner>| owner.as_ref().map(|o| o.incarnation.clone());
    let stays = incarnation(&before.owner) == incarnation(&entry.owner);
    let phase = match state.phase {
        // The owner serves under the old fence until it receives the new one.
        Phase::Held if stays => Phase::Held,
        _ => Phase::Granting,
    };
    let former = state.former.as_ref();
    let returned =
        former.filter(|f| Some(&f.owner.incarnation) == incarnation(&entry.owner).as_ref());
    let grants = match returned {
        _ if stays && before.former.is_none() => state.known_grants(),
        Some(former) => former.grants,
        None => Grants::default(),
    };
    let release_late = returned.is_some_and(|f| matches!(f.step, ClearStep::Releasing(_)));
    Progress {
        grants,
        own_fence: true,
        release_late,
        ..Progress::new(now, phase)
    }
}

/// Progress of an entry that replaces several neighbours with the same owner.
fn merge_entries(now: Tick, entry: &Entry, earlier: &[(&Entry, &Progress)]) -> Progress {
    let incarnation = |owner: &Option<Owner>| owner.as_ref().map(|o| o.incarnation.clone());
    let kept = |(before, state): &(&Entry, &Progress)| {
        incarnation(&before.owner) == incarnation(&entry.owner) && state.phase == Phase::Held
    };
    let phase = if earlier.iter().all(kept) {
        Phase::Held
    } else {
        Phase::Granting
    };
    let parts = earlier.iter().map(|(_, state)| state.known_grants());
    Progress {
        grants: parts.reduce(Grants::merge).unwrap_or_default(),
        own_fence: true,
        ..Progress::new(now, phase)
    }
}
