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

use super::Observed;

/// Members that joined a short time ago, with the number of measure windows since.
pub type Cold = BTreeMap<(ServiceName, Member), u32>;

/// The objective of a service.
pub fn objective(service: &Service) -> Objective {
    Objective {
        weights: service.weights,
        ..Objective::default()
    }
}

/// The failure domains that [`MemberInfo::domain`] counts.
pub fn domains(view: &View, service: &ServiceName) -> Vec<DomainName> {
    let declared = view.service(service);
    declared.map_or_else(Vec::new, |(resource, _)| resource.spec.domains.clone())
}

/// What the planner knows of each member of a table. A member that is no longer declared counts as
/// lost.
pub fn profiles(
    view: &View,
    service: &Service,
    table: &Table,
    observed: &Observed,
    cold: &Cold,
) -> Vec<MemberInfo> {
    let domains = domains(view, &service.name);
    let profile = |(member, name): (Member, &UpstreamName)| {
        let declared = service.upstreams.iter().find(|u| u.name == *name);
        let age = cold.get(&(service.name.clone(), member));
        let state = match (declared, age) {
            _ if table.is_lost(member) || observed.lost.contains(name) => MemberState::Lost,
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
    members.map(profile).collect()
}

/// Changes that are needed whatever the load is. Without a measured load all shards count the same.
pub(super) fn needed(
    view: &View,
    service: &Service,
    observed: &Observed,
    load: Option<&Load>,
) -> Vec<Change> {
    let known = view.tables.get(&service.name);
    let is_new = known.is_none();
    // A resource that an older build published may have values that no table can have.
    if is_new && service.shards > SHARDS_MAX {
        return Vec::new();
    }
    let mut table = known.map_or_else(Table::default, |t| Table::clone(t));
    let first = table.members().len();
    let joined = joined(service, &table, observed, is_new);
    let vacant = is_new.then_some(Change::Vacant {
        shards: service.shards,
    });
    let joins = joined.chunks(MEMBERS_PER_CHANGE).map(|some| Change::Join {
        members: some.to_vec(),
    });
    let changes: Vec<_> = vacant.into_iter().chain(joins).collect();
    if changes.iter().any(|c| table.apply(c).is_err()) {
        return Vec::new();
    }
    let mut members = profiles(view, service, &table, observed, &Cold::new());
    for member in &mut members[first..] {
        member.state = if is_new {
            MemberState::Serving
        } else {
            MemberState::Cold { age: 0 }
        };
    }
    if joined.is_empty() && !is_needed(&table, &members) {
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
    // Without a budget the planner makes only the moves that have no alternative, and repairs
    // standbys.
    let planner = Planner::new(objective(service)).churn_budget(0.0);
    match planner.plan(&input) {
        Ok(plan) => changes.into_iter().chain(plan.changes).collect(),
        // Without any upstream that can own shards, all stay where they are.
        Err(_) => Vec::new(),
    }
}

/// Upstreams that are to become members.
fn joined(
    service: &Service,
    table: &Table,
    observed: &Observed,
    is_new: bool,
) -> Vec<UpstreamName> {
    let all_leave = service.upstreams.iter().all(|u| u.leaving);
    let staying = |u: &&trefoil_config::Upstream| !u.leaving || (is_new && all_leave);
    // A member that was lost joins again only when its dispatcher has seen it answer. A host that
    // does not probe it would otherwise undo the loss, and the two would go on for ever.
    let joins = |name: &UpstreamName| match table.member(name) {
        Some(_) => false,
        None => !table.members().contains(name) || observed.healthy.contains(name),
    };
    let staying = service.upstreams.iter().filter(staying);
    let names = staying.map(|u| u.name.clone());
    names.filter(joins).collect()
}

/// Whether a member was lost since the last plan, or a shard's owner or standby cannot keep it.
///
/// Standbys that could only be better are left to the plans of the load: a plan that is needed must
/// leave nothing needed, or hosts would write records without end.
fn is_needed(table: &Table, members: &[MemberInfo]) -> bool {
    let open = |m: Member| members.get(m.index()).is_some_and(MemberInfo::is_eligible);
    let newly = (0..).map(Member).zip(members);
    let newly = newly.filter(|(m, p)| p.state == MemberState::Lost && !table.is_lost(*m));
    let mut replica_sets = table.replica_sets().iter();
    newly.count() > 0 || replica_sets.any(|s| !open(s.owner) || !open(s.standby))
}

/// Changes that even out the load of a window.
pub(super) fn balanced(
    view: &View,
    service: &Service,
    observed: &Observed,
    load: &Load,
    cold: &Cold,
) -> Option<Plan> {
    let table = view.tables.get(&service.name)?;
    let members = profiles(view, service, table, observed, cold);
    let input = PlanInput {
        table,
        members: &members,
        load,
    };
    // Without any upstream that can own shards there is no plan.
    let plan = Planner::new(objective(service)).plan(&input).ok()?;
    (!plan.is_empty()).then_some(plan)
}
