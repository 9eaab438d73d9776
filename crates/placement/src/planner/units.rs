//! Which units each member owns.

use super::draft::{Draft, Index};
use crate::table::Member;

/// Units that are compared for one move. A server of today has about 51 units and one of the
/// largest deployment about 55, so all their units are compared.
const GROUP: usize = 512;

/// The units of each open member at one moment, in one list sorted by owner.
#[derive(Debug)]
pub(super) struct Units {
    /// End of each member's units in `list`; the units of the next member begin there.
    ends: Vec<usize>,
    list: Vec<Index>,
    /// How many of each member's units, from the first, need not be looked at again.
    done: Vec<usize>,
    /// Whether each member's units were sorted.
    sorted: Vec<bool>,
}

impl Units {
    pub fn new(draft: &Draft<'_>) -> Self {
        let mut ends = vec![0; draft.capacity.len()];
        let owned = |u: u32| {
            let owner = draft.replicas(Index(u)).owner;
            draft
                .is_eligible(owner)
                .then_some((owner.index(), Index(u)))
        };
        for (owner, _) in (0..draft.count()).filter_map(owned) {
            ends[owner] += 1;
        }
        // From counts to the position of each member's first unit.
        let mut start = 0;
        for end in &mut ends {
            start += std::mem::replace(end, start);
        }
        let mut list = vec![Index(0); start];
        for (owner, unit) in (0..draft.count()).filter_map(owned) {
            list[ends[owner]] = unit;
            ends[owner] += 1;
        }
        Self {
            done: vec![0; ends.len()],
            sorted: vec![false; ends.len()],
            ends,
            list,
        }
    }

    /// All units of a member.
    pub fn of(&self, member: Member) -> &[Index] {
        &self.list[self.range(member)]
    }

    /// The units to compare for the next move of a member; empty if none are left.
    ///
    /// A member of a few servers with 2^20 shards has 50,000 units, and a comparison of all of them
    /// for each of as many moves took 15 s. Such a list is sorted once by load, greatest first, and
    /// compared in groups. The difference of load only shrinks, so a group that had too much load
    /// for it stays behind.
    pub fn group(&mut self, draft: &Draft<'_>, member: Member) -> &[Index] {
        let range = self.range(member);
        let done = self.done[member.index()];
        let list = &mut self.list[range];
        let is_sorted = std::mem::replace(&mut self.sorted[member.index()], true);
        if list.len() > GROUP && !is_sorted {
            list.sort_by(|&a, &b| {
                let order = draft.unit_load(b).total_cmp(&draft.unit_load(a));
                order.then(a.cmp(&b))
            });
        }
        let end = list.len().min(done + GROUP);
        list.get(done..end).unwrap_or_default()
    }

    /// Leaves a group behind, because none of it can move.
    pub fn skip(&mut self, member: Member) {
        self.done[member.index()] += GROUP;
    }

    fn range(&self, member: Member) -> std::ops::Range<usize> {
        let start = match member.index() {
            0 => 0,
            i => self.ends[i - 1],
        };
        start..self.ends[member.index()]
    }
}
