//! Units by owner.

use super::draft::{Draft, UnitIndex};
use crate::table::Member;

/// Units that are compared for one move. A server has about 51 units today and about 55 in the
/// largest deployment, so in practice all its units are compared.
const CANDIDATES_MAX: usize = 512;

/// The units of each eligible member at the time of [`OwnedUnits::new`], in one list sorted by
/// owner.
#[derive(Debug)]
pub(super) struct OwnedUnits {
    /// End of each member's units in `units`; the units of the next member begin there.
    ends: Vec<usize>,
    units: Vec<UnitIndex>,
    /// Number of units at the start of each member's list that are no longer candidates.
    skipped: Vec<usize>,
    /// True for each member whose units are sorted by load.
    sorted: Vec<bool>,
}

impl OwnedUnits {
    pub fn new(draft: &Draft<'_>) -> Self {
        let mut ends = vec![0; draft.capacity.len()];
        let owned = |u: u32| {
            let owner = draft.replicas(UnitIndex(u)).owner;
            draft
                .is_eligible(owner)
                .then_some((owner.index(), UnitIndex(u)))
        };
        for (owner, _) in (0..draft.count()).filter_map(owned) {
            ends[owner] += 1;
        }
        // Replaces the count of each member by the position of its first unit.
        let mut start = 0;
        for end in &mut ends {
            start += std::mem::replace(end, start);
        }
        let mut units = vec![UnitIndex(0); start];
        for (owner, unit) in (0..draft.count()).filter_map(owned) {
            units[ends[owner]] = unit;
            ends[owner] += 1;
        }
        Self {
            skipped: vec![0; ends.len()],
            sorted: vec![false; ends.len()],
            ends,
            units,
        }
    }

    /// Returns all units of a member.
    pub fn owned_by(&self, member: Member) -> &[UnitIndex] {
        &self.units[self.range(member)]
    }

    /// Returns the units to compare for the next move of a member; empty if none are left.
    ///
    /// With 2^20 shards on 20 servers a member has 50,000 units, and comparing all of them for each
    /// of as many moves took 15 s. Long lists are therefore sorted once by load, greatest first,
    /// and compared in groups of [`CANDIDATES_MAX`]. The difference of load between donor and
    /// receiver only decreases, so a group whose load was too high for a move is not compared again.
    pub fn candidates(&mut self, draft: &Draft<'_>, member: Member) -> &[UnitIndex] {
        let range = self.range(member);
        let skipped = self.skipped[member.index()];
        let units = &mut self.units[range];
        let is_sorted = std::mem::replace(&mut self.sorted[member.index()], true);
        if units.len() > CANDIDATES_MAX && !is_sorted {
            units.sort_by(|&a, &b| {
                let order = draft.unit_load(b).total_cmp(&draft.unit_load(a));
                order.then(a.cmp(&b))
            });
        }
        let end = units.len().min(skipped + CANDIDATES_MAX);
        units.get(skipped..end).unwrap_or_default()
    }

    /// Skips the current candidates of a member, because none of them can move.
    pub fn skip_candidates(&mut self, member: Member) {
        self.skipped[member.index()] += CANDIDATES_MAX;
    }

    fn range(&self, member: Member) -> std::ops::Range<usize> {
        let start = match member.index() {
            0 => 0,
            i => self.ends[i - 1],
        };
        start..self.ends[member.index()]
    }
}
