//! Tests of the placement report.

use trefoil_core::{DomainName, KeyHash, PerSecond, UnixMillis};
use trefoil_placement::{
    Change, Domain, KeyLoad, Load, Member, MemberInfo, MemberState, Objective, Plan, PlanInput,
    Planner, Recorder, Report, Table, WindowSample,
};

use super::names;

/// Creates a planner with fixed settings, so that new defaults do not change the snapshots.
fn planner() -> Planner {
    let objective = Objective {
        horizon: 32.0,
        ..Objective::default()
    };
    Planner::new(objective).churn_budget(0.2)
}

/// Creates a report of six windows of a small service: a first plan, a hot key, a lost server and a
/// leaving server.
fn report(title: &str) -> Report {
    let mut table = Table::default();
    let members = names(4);
    let changes = [Change::Vacant { shards: 16 }, Change::Join { members }];
    for change in changes {
        table.apply(&change).expect("applies");
    }
    let profile = |i: u16| MemberInfo {
        domain: Domain(i % 2),
        capacity: PerSecond(100.0),
        state: MemberState::Serving,
    };
    let mut members: Vec<MemberInfo> = (0..4).map(profile).collect();
    let domain = |text: &str| text.parse::<DomainName>().expect("valid name");
    let domains = vec![domain("noreste-mty"), domain("noreste-snn")];
    let service = "registro-gar".parse().expect("valid name");
    let mut recorder = Recorder::new(service, domains, Objective::default());
    let mut load = Load::even(16);
    for window in 0..6u64 {
        let mut unavailable = Vec::new();
        match window {
            2 => {
                load.shards[3] = 9.0;
                let key = KeyHash(3);
                load.hot = vec![KeyLoad { key, load: 4.0 }];
            }
            3 => {
                members[1].state = MemberState::Lost;
                unavailable.push((Member(1), 3.0));
            }
            4 => members[2].state = MemberState::Leaving,
            _ => {}
        }
        let input = PlanInput {
            table: &table,
            members: &members,
            load: &load,
        };
        let plan: Plan = planner().plan(&input).expect("open members");
        recorder.record(&WindowSample {
            at: UnixMillis(1_790_000_000_000 + window * 10_000),
            table: &table,
            members: &members,
            load: &load,
            plan: &plan,
            unavailable: &unavailable,
        });
        for change in &plan.changes {
            table.apply(change).expect("a plan applies");
        }
    }
    Report {
        title: title.to_owned(),
        services: vec![recorder.report()],
    }
}

/// Guards against unintended changes of the text report.
#[test]
fn text_report() {
    insta::assert_snapshot!(report("noreste").to_text());
}

/// Guards against unintended changes of the page, and against a title that is not escaped.
#[test]
fn html_report() {
    let page = report("<script>alert('noreste')</script> & more").to_html();
    assert!(!page.contains("<script") && !page.contains("http"));
    insta::assert_snapshot!(page);
}

/// Guards against a JSON report that cannot be decoded, and against shares and moves that do not
/// add up.
#[test]
fn json_report() {
    let report = report("noreste");
    let json = report.to_json().expect("encodes");
    let back: Report = serde_json::from_str(&json).expect("decodes");
    assert_eq!(back, report);
    let service = &report.services[0];
    let sum = |shares: Vec<f64>| shares.into_iter().sum::<f64>();
    // In the first window no shard has an owner, so a sixth of the load is not counted.
    assert!((sum(service.upstreams.iter().map(|u| u.share).collect()) - 1.0).abs() < 1e-9);
    assert!((sum(service.domains.iter().map(|u| u.share).collect()) - 1.0).abs() < 1e-9);
    let gained: u64 = service.upstreams.iter().map(|u| u.gained).sum();
    assert_eq!(gained, service.moves.len() as u64);
    assert_eq!(
        service.moves.len() as u64,
        service.windows.iter().map(|w| w.moved).sum::<u64>()
    );
    assert!((service.unavailable() - 3.0).abs() < 1e-9);
}

/// Guards against control characters from a title in the text report.
#[test]
fn text_has_no_control_characters() {
    let text = report("nor\u{1b}[31meste\n").to_text();
    assert!(text.chars().all(|c| c == '\n' || !c.is_control()));
}
