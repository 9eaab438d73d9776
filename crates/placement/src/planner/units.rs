//! Which units each member owns.

use super::draft::{Draft, Index};
use crate::table::Member;

/// The units of each open member at one moment, in one list sorted by owner.
#[derive(Debug)]
pub(super) struct Units {
    /// End of each member's units in `units`; the units of the next member begin there.
    ends: Vec<usize>,
    units: Vec<Index>,
}

impl Units {
    pub fn new(draft: &Draft<'_>) -> Self {
        let mut ends = vec![0; draft.capacity.len()];
        let owned = |u: u32| {
            let owner = draft.seat(Index(u)).owner;
            draft.is_open(owner).then_some((owner.index(), Index(u)))
        };
        for (owner, _) in (0..draft.count()).filter_map(owned) {
            ends[owner] += 1;
        }
        // From counts to the position of each member's first unit.
        let mut start = 0;
        for end in &mut ends {
            start += std::mem::replace(end, start);
        }
        let mut units = vec![Index(0); start];
        for (owner, unit) in (0..draft.count()).filter_map(owned) {
            units[ends[owner]] = unit;
            ends[owner] += 1;
        }
        Self { ends, units }
    }

    pub fn of(&self, member: Member) -> &[Index] {
        let start = match member.index() {
            0 => 0,
            i => self.ends[i - 1],
        };
        &self.units[start..self.ends[member.index()]]
    }
}
