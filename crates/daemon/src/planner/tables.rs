//! Changes of the shard table of one service.

use std::collections::BTreeMap;

use trefoil_config::Service;
use trefoil_config::resource::SHARDS_MAX;
use trefoil_core::{DomainName, PerSecond, ServiceName, UpstreamName};
use trefoil_log::View;
use trefoil_placement::table::MEMBERS_PER_CHANGE;
use trefoil_placement::{
    Change, Domain, Load, Member, MemberInfo, MemberState, Objective, Plan, PlanInput, Planner,
    Table,
};

use super::Observations;

/// Members in slow start, with the number of measurement windows since they joined.
pub type ColdMembers = BTreeMap<(ServiceName, Member), u32>;

/// Returns the placement objective of a service.
pub fn objective(service: &Service) -> Objective {
    Objective {
        weights: service.weights,
        ..Objective::default()
    }
}

/// Returns the declared failure domains of a service. [`MemberInfo::domain`] is an index into them.
pub fn domains(view: &View, service: &ServiceName) -> Vec<DomainName> {
    let declared = view.service(service);
    declared.map_or_else(Vec::new, |(resource, _)| resource.spec.domains.clone())
}

/// Builds the [`MemberInfo`] of each member of a table for the planner. A member that is no longer
/// declared counts as lost.
pub fn member_infos(
    view: &View,
    service: &Service,
    table: &Table,
    observations: &Observations,
    cold: &ColdMembers,
) -> Vec<MemberInfo> {
    let domains = domains(view, &service.name);
    let member_info = |(member, name): (Member, &UpstreamName)| {
        let declared = service.upstreams.iter().find(|u| u.name == *name);
        let age = cold.get(&(service.name.clone(), member));
        let state = match (declared, age) {
            _ if table.is_lost(member) || observations.lost.contains(name) => MemberState::Lost,
            (None, _) => MemberState::Lost,
            (Some(it), _) if it.leaving => MemberState::Leaving,
            (Some(_), Some(&age)) => MemberState::Cold { age },
            (Some(_), None) => MemberState::Serving,
        };
        let position = domains
            .iter()
            .position(|d| declared.is_some_and(|u| u.domain == *d));
        MemberInfo {
            domain: Domain(u16::try_from(position.unwrap_or(0)).unwrap_or(u16::MAX)),
            capacity: PerSecond(service.limits.slots.into()),
            state,
        }
    };
    let members = (0..).map(Member).zip(table.members());
    members.map(member_info).collect()
}

/// Plans the changes that are required independent of the load. If the load is unknown, all shards
/// have the same weight.
pub(super) fn required_changes(
    view: &View,
    service: &Service,
    observations: &Observations,
    load: Option<&Load>,
) -> Vec<Change> {
    let known = view.tables.get(&service.name);
    let is_new = known.is_none();
    // A resource that was published by an older build may declare more shards than a table can
    // have.
    if is_new && service.shards > SHARDS_MAX {
        return Vec::new();
    }
    let mut table = known.map_or_else(Table::default, |t| Table::clone(t));
    let first = table.members().len();
    let joining = joining_upstreams(service, &table, observations, is_new);
    let vacant = is_new.then_some(Change::Vacant {
        shards: service.shards,
    });
    let joins = joining.chunks(MEMBERS_PER_CHANGE).map(|some| Change::Join {
        members: some.to_vec(),
    });
    let changes: Vec<_> = vacant.into_iter().chain(joins).collect();
    if changes.iter().any(|c| table.apply(c).is_err()) {
        return Vec::new();
    }
    let mut members = member_infos(view, service, &table, observations, &ColdMembers::new());
    for member in &mut members[first..] {
        member.state = if is_new {
            MemberState::Serving
        } else {
            MemberState::Cold { age: 0 }
        };
    }
    if joining.is_empty() && !needs_changes(&table, &members) {
        return Vec::new();
    }
    let count = table.shard_count();
    let even = Load::even(count);
    let load = load.filter(|l| l.shards.len() == even.shards.len());
    let input = PlanInput {
        table: &table,
        members: &members,
        load: load.unwrap_or(&even),
    };
    // With a budget of zero the planner only makes the moves that have no alternative and repairs
    // standbys.
    let planner = Planner::new(objective(service)).churn_budget(0.0);
    match planner.plan(&input) {
        Ok(plan) => changes.into_iter().chain(plan.changes).collect(),
        // If no upstream can own shards, the table does not change.
        Err(_) => Vec::new(),
    }
}

/// Returns the upstreams that must join the table.
fn joining_upstreams(
    service: &Service,
    table: &Table,
    observations: &Observations,
    is_new: bool,
) -> Vec<UpstreamName> {
    let all_leave = service.upstreams.iter().all(|u| u.leaving);
    let staying = |u: &&trefoil_config::Upstream| !u.leaving || (is_new && all_leave);
    // A lost member joins again only after its dispatcher has observed that it answers. Otherwise a
    // host that does not probe it would revert the loss, its dispatcher would record the loss
    // again, and the two would alternate forever.
    let joins = |name: &UpstreamName| match table.member(name) {
        Some(_) => false,
        None => !table.members().contains(name) || observations.healthy.contains(name),
    };
    let staying = service.upstreams.iter().filter(staying);
    let names = staying.map(|u| u.name.clone());
    names.filter(joins).collect()
}

/// Returns whether a member was lost since the last plan, or a shard has an owner or standby that
/// cannot keep it.
///
/// Standbys that could merely be better are left to the balancing plans. A required plan must leave
/// no required changes, or hosts would write records forever.
fn needs_changes(table: &Table, members: &[MemberInfo]) -> bool {
    let open = |m: Member| members.get(m.index()).is_some_and(MemberInfo::is_eligible);
    let newly_lost = (0..).map(Member).zip(members);
    let newly_lost = newly_lost.filter(|(m, p)| p.state == MemberState::Lost && !table.is_lost(*m));
    let mut replica_sets = table.replica_sets().iter();
    newly_lost.count() > 0 || replica_sets.any(|s| !open(s.owner) || !open(s.standby))
}

/// Plans moves that balance the load of a window. Returns `None` if there are none.
pub(super) fn balance_plan(
    view: &View,
    service: &Service,
    observations: &Observations,
    load: &Load,
    cold: &ColdMembers,
) -> Option<Plan> {
    let table = view.tables.get(&service.name)?;
    let members = member_infos(view, service, table, observations, cold);
    let input = PlanInput {
        table,
        members: &members,
        load,
    };
    // Planning fails if no upstream can own shards.
    let plan = Planner::new(objective(service)).plan(&input).ok()?;
    (!plan.is_empty()).then_some(plan)
}
