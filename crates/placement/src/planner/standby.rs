//! Repair of standbys.
//!
//! The members that are standbys of one owner form its group. A group is not computed from names
//! but is what the table holds: a standby stays as long as it is usable, and a group that has room
//! takes the next members of a ring of all members. A ring that is hashed anew when members come
//! and go would move standbys that nothing is wrong with.
//!
//! Within the group a unit goes to the member that would have the least utilization if the owner
//! were lost, so that a loss spreads its load evenly.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::draft::{Draft, Index, Noted};
use super::units::Units;
use crate::member::MemberState;
use crate::objective::EXPOSURE_WEIGHT;
use crate::reason::Reason;
use crate::table::{Member, ReplicaSet};

/// A standby of an owner and the share of the load that it would take over.
type Group = SmallVec<[(Member, f64); 16]>;

pub(super) fn repair(draft: &mut Draft<'_>, size: usize) {
    let units = Units::new(draft);
    let ring = Ring::new(draft);
    for &owner in &ring.members {
        let mine = units.of(owner).iter().copied();
        let mine: SmallVec<[Index; 64]> = mine.filter(|&u| draft.has_own_replicas(u)).collect();
        let mut group = ring.group(draft, owner, &mine);
        if group.len() > size {
            group.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
            group.truncate(size);
        }
        let fault = |&unit: &Index| Some((unit, ring.fault(draft, unit, &group)?));
        let mut faults: SmallVec<[(Index, Reason); 16]> = mine.iter().filter_map(fault).collect();
        if faults.is_empty() {
            continue;
        }
        ring.extend(draft, owner, &mut group, size.min(mine.len()));
        faults.sort_by(|a, b| {
            draft
                .unit_load(b.0)
                .total_cmp(&draft.unit_load(a.0))
                .then(a.cmp(b))
        });
        for (unit, reason) in faults {
            assign(draft, unit, reason, &mut group);
        }
    }
}

/// Gives a unit the standby that would have the least utilization after the owner's loss.
fn assign(draft: &mut Draft<'_>, unit: Index, reason: Reason, group: &mut Group) {
    let load = draft.unit_load(unit);
    let after = |(member, taken): (Member, f64)| {
        let utilization = draft.utilization(member);
        // A cold member is a standby only if there is no other.
        let cold = match draft.input.members[member.index()].state {
            MemberState::Cold { .. } => 1e6,
            _ => 0.0,
        };
        cold + (utilization.load + taken + load) / utilization.capacity
    };
    let best = (0..group.len()).min_by(|&a, &b| after(group[a]).total_cmp(&after(group[b])));
    let replicas = draft.replicas(unit);
    let standby = best.map_or(replicas.owner, |i| group[i].0);
    if let Some(i) = best {
        group[i].1 += load;
    }
    if standby == replicas.standby {
        return;
    }
    draft.set_replicas(
        unit,
        ReplicaSet {
            standby,
            ..replicas
        },
    );
    let exposed = match reason {
        Reason::StandbyGroup => 0.0,
        _ => EXPOSURE_WEIGHT * load,
    };
    let noted = Noted {
        reason,
        gain: draft.objective.weights.unavailable * draft.objective.horizon * exposed,
        price: 0.0,
    };
    draft.standbys.insert(unit, noted);
}

/// The open members in a fixed random order.
struct Ring {
    members: Vec<Member>,
    /// Position of each member in `members`.
    place: Vec<usize>,
    /// Whether the members are in more than one failure domain.
    split: bool,
}

impl Ring {
    fn new(draft: &Draft<'_>) -> Self {
        let count = u16::try_from(draft.capacity.len()).unwrap_or(u16::MAX);
        let open = (0..count).map(Member).filter(|&m| draft.is_eligible(m));
        let mut members: Vec<Member> = open.collect();
        members.sort_by_cached_key(|m| xxh3_64(&m.0.to_le_bytes()));
        let mut place = vec![usize::MAX; draft.capacity.len()];
        for (i, member) in members.iter().enumerate() {
            place[member.index()] = i;
        }
        let mut domains = members
            .iter()
            .map(|m| draft.input.members[m.index()].domain);
        let first = domains.next();
        let split = domains.any(|d| Some(d) != first);
        Self {
            members,
            place,
            split,
        }
    }

    /// Whether a member can be a standby of an owner.
    fn is_usable(&self, draft: &Draft<'_>, owner: Member, standby: Member) -> bool {
        let domain = |m: Member| draft.input.members[m.index()].domain;
        standby != owner
            && draft.is_eligible(standby)
            && !(self.split && domain(owner) == domain(standby))
    }

    /// The usable standbys of an owner.
    fn group(&self, draft: &Draft<'_>, owner: Member, units: &[Index]) -> Group {
        let mut group = Group::new();
        for &unit in units {
            let standby = draft.replicas(unit).standby;
            let load = draft.unit_load(unit);
            match group.iter_mut().find(|(m, _)| *m == standby) {
                Some((_, taken)) => *taken += load,
                None if self.is_usable(draft, owner, standby) => group.push((standby, load)),
                None => {}
            }
        }
        group
    }

    /// What is wrong with the standby of a unit.
    fn fault(&self, draft: &Draft<'_>, unit: Index, group: &Group) -> Option<Reason> {
        let ReplicaSet { owner, standby } = draft.replicas(unit);
        let alone = self.members.len() < 2;
        match () {
            () if owner == standby || draft.is_lost(standby) => {
                (!alone).then_some(Reason::StandbyMissing)
            }
            () if !draft.is_eligible(standby) => Some(Reason::StandbyLeaving),
            () if !self.is_usable(draft, owner, standby) => Some(Reason::StandbyDomain),
            () if group.iter().all(|(m, _)| *m != standby) => Some(Reason::StandbyGroup),
            () => None,
        }
    }

    /// Adds the members that follow the owner on the ring until the group has `size` members.
    fn extend(&self, draft: &Draft<'_>, owner: Member, group: &mut Group, size: usize) {
        let start = self.place[owner.index()] + 1;
        let after = self.members.iter().cycle().skip(start);
        for &member in after.take(self.members.len()) {
            if group.len() >= size {
                return;
            }
            let known = group.iter().any(|(m, _)| *m == member);
            if !known && self.is_usable(draft, owner, member) {
                group.push((member, 0.0));
            }
        }
    }
}
