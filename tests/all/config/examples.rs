//! Tests of the files in `examples/`.

use trefoil_config::{Routing, Settings};

const MONTERREY: &str = include_str!("../../../examples/monterrey.yaml");
const BREKKESTAD: &str = include_str!("../../../examples/brekkestad.yaml");
const TREFOILD: &str = include_str!("../../../examples/trefoild.yaml");

/// Returns the services, their number of upstreams, and the slots of each upstream.
fn sizes(routing: &Routing) -> Vec<(&str, usize, u32)> {
    let services = routing.spec.services.iter();
    services
        .map(|s| (s.name.as_str(), s.upstreams.len(), s.limits.slots))
        .collect()
}

/// Guards against examples that no longer pass validation, and against sizes that differ from
/// section 1.5 of the design.
#[test]
fn routing_examples_have_the_deployments_sizes() {
    let monterrey = Routing::from_yaml(MONTERREY, "monterrey.yaml").expect("a valid example");
    assert_eq!(
        sizes(&monterrey),
        [
            ("registro-gar", 20, 4),
            ("renovador", 10, 4),
            ("emisor-gar", 8, 4)
        ]
    );
    let brekkestad = Routing::from_yaml(BREKKESTAD, "brekkestad.yaml").expect("a valid example");
    assert_eq!(
        sizes(&brekkestad),
        [("tilbud", 20, 2), ("oppsigelse", 12, 2), ("bytte", 6, 2)]
    );
    let all = || monterrey.spec.services.iter().map(|s| s.weights);
    assert!(all().all(|w| w.unavailable > w.churn && w.unavailable > w.imbalance));
    let all = || brekkestad.spec.services.iter().map(|s| s.weights);
    assert!(all().all(|w| w.churn > w.unavailable && w.churn > w.imbalance));
}

/// Guards against a settings example with which a daemon does not start.
#[test]
fn the_settings_example_is_valid() {
    let settings = Settings::from_yaml(TREFOILD, "trefoild.yaml").expect("a valid example");
    assert_eq!(
        settings.limits,
        trefoil_config::settings::CallerLimits::default()
    );
}
