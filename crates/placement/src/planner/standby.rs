//! Repair of standbys.
//!
//! The standbys of one owner form its group. The group is read from the table and not computed from
//! names: a standby stays as long as it is usable, and a group below its largest size is filled
//! with the next members of a ring of all members. Computing the groups anew by hashing whenever
//! members join or leave would move standbys without need.
//!
//! Within the group, the standby of a unit is the member that would have the lowest utilization
//! after the loss of the owner, so that a loss spreads its load evenly.

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::draft::{Draft, Rationale, UnitIndex};
use super::units::OwnedUnits;
use crate::member::MemberState;
use crate::objective::EXPOSURE_WEIGHT;
use crate::reason::Reason;
use crate::table::{Member, ReplicaSet};

/// The standbys of an owner, each with the share of the load that it would take over.
type Group = SmallVec<[(Member, f64); 16]>;

pub(super) fn repair(draft: &mut Draft<'_>, size: usize) {
    let units = OwnedUnits::new(draft);
    let ring = Ring::new(draft);
    for &owner in &ring.members {
        let owned = units.owned_by(owner).iter().copied();
        let owned: SmallVec<[UnitIndex; 64]> =
            owned.filter(|&u| draft.has_own_replicas(u)).collect();
        let mut group = ring.group(draft, owner, &owned);
        if group.len() > size {
            group.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
            group.truncate(size);
        }
        let defect = |&unit: &UnitIndex| Some((unit, ring.defect(draft, unit, &group)?));
        let mut defects: SmallVec<[(UnitIndex, Reason); 16]> =
            owned.iter().filter_map(defect).collect();
        if defects.is_empty() {
            continue;
        }
        ring.fill(draft, owner, &mut group, size.min(owned.len()));
        defects.sort_by(|a, b| {
            draft
                .unit_load(b.0)
                .total_cmp(&draft.unit_load(a.0))
                .then(a.cmp(b))
        });
        for (unit, reason) in defects {
            assign_standby(draft, unit, reason, &mut group);
        }
    }
}

/// Assigns to a unit the standby that would have the lowest utilization after the owner's loss.
fn assign_standby(draft: &mut Draft<'_>, unit: UnitIndex, reason: Reason, group: &mut Group) {
    let load = draft.unit_load(unit);
    let after = |(member, taken): (Member, f64)| {
        let utilization = draft.utilization(member);
        // The penalty makes a cold member a standby only if there is no other.
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
    let exposure = match reason {
        Reason::StandbyGroup => 0.0,
        _ => EXPOSURE_WEIGHT * load,
    };
    let rationale = Rationale {
        reason,
        gain: draft.objective.weights.unavailable * draft.objective.horizon * exposure,
        price: 0.0,
    };
    draft.standby_moves.insert(unit, rationale);
}

/// The eligible members in a fixed pseudo-random order.
struct Ring {
    members: Vec<Member>,
    /// Position of each member in `members`; `usize::MAX` if it is not eligible.
    position: Vec<usize>,
    /// True if the members are in more than one failure domain.
    has_domains: bool,
}

impl Ring {
    fn new(draft: &Draft<'_>) -> Self {
        let count = u16::try_from(draft.capacity.len()).unwrap_or(u16::MAX);
        let eligible = (0..count).map(Member).filter(|&m| draft.is_eligible(m));
        let mut members: Vec<Member> = eligible.collect();
        members.sort_by_cached_key(|m| xxh3_64(&m.0.to_le_bytes()));
        let mut position = vec![usize::MAX; draft.capacity.len()];
        for (i, member) in members.iter().enumerate() {
            position[member.index()] = i;
        }
        let mut domains = members
            .iter()
            .map(|m| draft.input.members[m.index()].domain);
        let first = domains.next();
        let has_domains = domains.any(|d| Some(d) != first);
        Self {
            members,
            position,
            has_domains,
        }
    }

    /// Returns true if a member can be a standby of an owner.
    fn is_usable(&self, draft: &Draft<'_>, owner: Member, standby: Member) -> bool {
        let domain = |m: Member| draft.input.members[m.index()].domain;
        standby != owner
            && draft.is_eligible(standby)
            && !(self.has_domains && domain(owner) == domain(standby))
    }

    /// Returns the usable standbys of an owner.
    fn group(&self, draft: &Draft<'_>, owner: Member, units: &[UnitIndex]) -> Group {
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

    /// Returns the reason for which a unit needs another standby, if there is one.
    fn defect(&self, draft: &Draft<'_>, unit: UnitIndex, group: &Group) -> Option<Reason> {
        let ReplicaSet { owner, standby } = draft.replicas(unit);
        let is_alone = self.members.len() < 2;
        match () {
            () if owner == standby || draft.is_lost(standby) => {
                (!is_alone).then_some(Reason::StandbyMissing)
            }
            () if !draft.is_eligible(standby) => Some(Reason::StandbyLeaving),
            () if !self.is_usable(draft, owner, standby) => Some(Reason::StandbyDomain),
            () if group.iter().all(|(m, _)| *m != standby) => Some(Reason::StandbyGroup),
            () => None,
        }
    }

    /// Adds the members that follow the owner on the ring until the group has `size` members.
    fn fill(&self, draft: &Draft<'_>, owner: Member, group: &mut Group, size: usize) {
        let start = self.position[owner.index()] + 1;
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
