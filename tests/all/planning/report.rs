//! The report of a small deployment, from its records and its load.

use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::{Offset, UnixMillis};
use trefoil_daemon::load::Window;
use trefoil_daemon::planner::{Cold, Loads, Observed, balanced, decision};
use trefoil_daemon::report::{Reports, bounded};
use trefoil_log::View;
use trefoil_placement::Report;

use super::world::{FOUR, World, loads, observed, service, upstream};

const LENGTH: Duration = Duration::from_secs(10);

/// Replays the records of a world, as another host does.
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

/// A loss, a skewed load, an upstream that leaves. Returns what the collecting host reports and
/// what a host reports that only replayed the records.
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
        first.close(&world.view, Window(window), &load, &Cold::new(), LENGTH);
        let time = UnixMillis((window + 1) * 10_000 + 2_000);
        match window {
            0 => {
                let plan = world.wanted(&observed(&["offers-2"], &[])).expect("a plan");
                world.write_at(time, plan);
            }
            1 => {
                let plans = balanced(&world.view, &Observed::default(), &load, &Cold::new());
                first.planned(&world.view, &plans);
                world.write_at(time, decision(&plans).expect("a plan"));
            }
            2 => {
                let mut leaving = FOUR;
                leaving[2].2 = true;
                world.declare(&leaving);
                let plan = world.wanted(&Observed::default()).expect("a plan");
                world.write_at(time, plan);
            }
            _ => {}
        }
    }
    replay(&world, &second, 0, &mut View::default());
    second.close(&world.view, Window(9), &Loads::new(), &Cold::new(), LENGTH);
    (first, second)
}

fn report(reports: &Reports) -> Report {
    Report {
        title: "region r".to_owned(),
        services: reports.services(),
    }
}

/// Guards against a changed report: reasons, times, load, unavailable time and trades.
#[test]
fn the_report_of_a_small_deployment() {
    let (first, _) = session();
    insta::assert_snapshot!(report(&first).to_text());
}

/// Guards against hosts that tell different moves of one log.
#[test]
fn every_host_tells_the_same_moves() {
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

/// Guards against a reply above the frame limit, which the peer would refuse as a whole.
#[test]
fn a_large_report_is_cut_to_a_frame() {
    let (first, _) = session();
    let mut services = first.services();
    let row = services[0].moves[0].clone();
    services[0].moves = vec![row; 60_000];
    let cut = bounded(services);
    let size = trefoil_wire::encode(&cut).expect("it fits").len();
    assert!(size <= trefoil_wire::codec::FRAME_MAX);
    assert_eq!(cut[0].moves.len() as u64 + cut[0].omitted, 60_000);
}
