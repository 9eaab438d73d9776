//! The placement report of a small deployment.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::{Offset, UnixMillis};
use trefoil_daemon::load::Window;
use trefoil_daemon::planner::{ColdMembers, Loads, Observations, balance_plans, merge_plans};
use trefoil_daemon::report::{Reports, truncate_to_frame};
use trefoil_log::View;
use trefoil_placement::Report;

use super::world::{FOUR, World, loads, observed, service, upstream};

const LENGTH: Duration = Duration::from_secs(10);

/// Replays the records of a world into the reports of another host.
fn replay(world: &World, reports: &Reports, from: usize, view: &mut View) {
    for (offset, record) in (0..).zip(&world.records).skip(from) {
        let (tables, placement) = (view.tables.clone(), view.placement);
        let verdict = view.apply(Offset(offset), record, &world.keys);
        verdict.expect("the record decodes");
        if view.placement != placement {
            reports.record_placement(&tables, view, record, LENGTH);
        }
    }
}

fn skewed(world: &World) -> Loads {
    let heavy = |s: &trefoil_placement::ReplicaSet| if s.owner.index() == 0 { 40.0 } else { 10.0 };
    loads(world.table().replica_sets().iter().map(heavy).collect())
}

/// Runs a loss, a skewed load and the leaving of an upstream. Returns the reports of the host that
/// collects the load and of a host that only replays the records.
fn session() -> (Reports, Reports) {
    let mut world = World::placed(16, &FOUR);
    let (first, second) = (Reports::default(), Reports::default());
    let (mut view, mut seen) = (View::default(), 0);
    let mut follow = |world: &World| {
        replay(world, &first, seen, &mut view);
        seen = world.records.len();
    };
    for window in 0..4 {
        follow(&world);
        let mut load = skewed(&world);
        if window == 1 {
            let closed = load.get_mut(&service()).expect("the service");
            closed.unavailable = BTreeMap::from([(upstream("offers-2"), 2.5)]);
        }
        first.close_window(
            &world.view,
            Window(window),
            &load,
            &ColdMembers::new(),
            LENGTH,
        );
        let time = UnixMillis((window + 1) * 10_000 + 2_000);
        match window {
            0 => {
                let plan = world
                    .required_placement(&observed(&["offers-2"], &[]))
                    .expect("a plan");
                world.write_at(time, plan);
            }
            1 => {
                let plans = balance_plans(
                    &world.view,
                    &Observations::default(),
                    &load,
                    &ColdMembers::new(),
                );
                first.record_plans(&world.view, &plans);
                world.write_at(time, merge_plans(&plans).expect("a plan"));
            }
            2 => {
                let mut leaving = FOUR;
                leaving[2].2 = true;
                world.declare(&leaving);
                let plan = world
                    .required_placement(&Observations::default())
                    .expect("a plan");
                world.write_at(time, plan);
            }
            _ => {}
        }
    }
    replay(&world, &second, 0, &mut View::default());
    second.close_window(
        &world.view,
        Window(9),
        &Loads::new(),
        &ColdMembers::new(),
        LENGTH,
    );
    (first, second)
}

fn report(reports: &Reports) -> Report {
    Report {
        title: "region r".to_owned(),
        services: reports.services(),
    }
}

/// Guards against unintended changes of the report: reasons, times, load, unavailable time and
/// trade-offs.
#[test]
fn the_report_of_a_small_deployment() {
    let (first, _) = session();
    insta::assert_snapshot!(report(&first).to_text());
}

/// Guards against hosts that report different moves for the same log.
#[test]
fn every_host_reports_the_same_moves() {
    let (first, second) = session();
    let moves = |reports: &Reports| {
        let service = reports.services().remove(0);
        let rows = service.moves.into_iter();
        let rows = rows.map(|m| (m.at, m.unit, m.from, m.to, m.reason));
        (rows.collect::<Vec<_>>(), service.reasons)
    };
    assert!(!moves(&first).0.is_empty());
    assert_eq!(moves(&first), moves(&second));
}

/// Guards against a reply above the frame limit, which the peer would reject as a whole.
#[test]
fn a_large_report_is_cut_to_a_frame() {
    let (first, _) = session();
    let mut services = first.services();
    let row = services[0].moves[0].clone();
    services[0].moves = vec![row; 60_000];
    let cut = truncate_to_frame(services);
    let size = trefoil_wire::encode(&cut).expect("it fits").len();
    assert!(size <= trefoil_wire::codec::FRAME_MAX);
    assert_eq!(cut[0].moves.len() as u64 + cut[0].omitted, 60_000);
}
