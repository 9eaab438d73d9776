//! What stays known of an entry when the table changes.

use trefoil_core::Tick;

use super::{Clearing, Grants, Progress, Step};
use crate::move_state::{Event, Phase};
use crate::table::{Entry, Owner};
use crate::timing::Timing;

/// What is known of an entry that has taken the place of those in `earlier`, which cover it.
pub(super) fn carry(
    now: Tick,
    timing: &Timing,
    entry: &Entry,
    earlier: &[(&Entry, &Progress)],
) -> Progress {
    let [(before, known)] = earlier else {
        return joined(now, entry, earlier);
    };
    let known = if before.range == entry.range {
        (*known).clone()
    } else {
        // Orders for a whole range that was divided cover this part as well, but their answers are
        // counted for its first part only.
        (*known).clone().reordered(now, timing)
    };
    let same_owner = before.owner == entry.owner;
    match (&entry.former, &before.former) {
        (former, same) if former == same && same_owner => known,
        (None, Some(_)) if same_owner => Progress {
            phase: known.phase.after(Event::Recorded),
            former: None,
            due: now,
            ..known
        },
        // Another owner was chosen while the former one is being cleared. Former owners are known by
        // their lives: within one change a range may have returned to one, which gives it another
        // fence, and left it again.
        (Some(former), Some(same)) if former.incarnation == same.incarnation => Progress {
            former: known.former,
            handover: known.handover,
            ..Progress::new(now, Phase::initial())
        },
        (Some(former), _) => {
            let owner = before
                .owner
                .as_ref()
                .filter(|o| o.incarnation == former.incarnation);
            let grants = known.known_grants();
            let former = Clearing::new(now, owner.unwrap_or(former), grants);
            Progress {
                former: Some(former),
                ..Progress::new(now, Phase::initial())
            }
        }
        (None, _) => refenced(now, entry, before, &known),
    }
}

/// What is known of an entry without a former owner whose owner has a new fence.
fn refenced(now: Tick, entry: &Entry, before: &Entry, known: &Progress) -> Progress {
    let incarnation = |owner: &Option<Owner>| owner.as_ref().map(|o| o.incarnation.clone());
    let stays = incarnation(&before.owner) == incarnation(&entry.owner);
    let phase = match known.phase {
        // The owner serves under the old fence until it has the new one.
        Phase::Held if stays => Phase::Held,
        _ => Phase::Granting,
    };
    let former = known.former.as_ref();
    let returned =
        former.filter(|f| Some(&f.owner.incarnation) == incarnation(&entry.owner).as_ref());
    let grants = match returned {
        _ if stays && before.former.is_none() => known.known_grants(),
        Some(former) => former.grants,
        None => Grants::default(),
    };
    let release_late = returned.is_some_and(|f| matches!(f.step, Step::Releasing(_)));
    Progress {
        grants,
        own_fence: true,
        release_late,
        ..Progress::new(now, phase)
    }
}

/// What is known of an entry that neighbours with the same owner were joined to.
fn joined(now: Tick, entry: &Entry, earlier: &[(&Entry, &Progress)]) -> Progress {
    let incarnation = |owner: &Option<Owner>| owner.as_ref().map(|o| o.incarnation.clone());
    let kept = |(before, known): &(&Entry, &Progress)| {
        incarnation(&before.owner) == incarnation(&entry.owner) && known.phase == Phase::Held
    };
    let phase = if earlier.iter().all(kept) {
        Phase::Held
    } else {
        Phase::Granting
    };
    let parts = earlier.iter().map(|(_, known)| known.known_grants());
    Progress {
        grants: parts.reduce(Grants::or).unwrap_or_default(),
        own_fence: true,
        ..Progress::new(now, phase)
    }
}
