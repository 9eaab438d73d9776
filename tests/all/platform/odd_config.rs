//! Configurations with parts that cannot be read or numbers out of range.

use std::time::Duration;

use serde_json::{Value, json};
use trefoil_core::Tick;
use trefoil_gateway::Platform;
use trefoil_platform::UsersPlatform;
use trefoil_route::Spread;
use trefoil_standin::test_config;

use super::odd_entries::NUMBERS;

/// Guards against one part of a configuration that invalidates the others because it is nested
/// deeply or has a number out of range, and against a span that is too long and becomes zero.
#[test]
fn an_odd_part_of_a_configuration_changes_nothing_else() {
    let nested = "[".repeat(100_000) + &"]".repeat(100_000);
    for odd in [nested.as_str(), "1e999", r#"{"timeoutMs":1e999}"#, r#""x""#] {
        let mut document = test_config(9);
        document["routes"]["odd"] = json!("ODD");
        document["services"]["odd"] = json!("ODD");
        let text = document.to_string().replace(r#""ODD""#, odd);
        let read = UsersPlatform::new().decode_config(text.as_bytes());
        let (config, rejected) = read.expect("the other parts are valid");
        assert_eq!((config.routes.len(), config.services.len()), (3, 2));
        let mut places: Vec<&str> = rejected.iter().map(|e| e.place.as_str()).collect();
        places.sort_unstable();
        assert_eq!(places, ["routes.odd", "services.odd"]);
    }
    let now = Tick(Duration::from_secs(1_000_000));
    for number in NUMBERS {
        for field in ["timeoutMs", "targetLatencyMs", "attempts", "priority"] {
            let mut document = test_config(9);
            document["routes"]["read"][field] = json!("ODD");
            document["routes"]["read"]["service"] = Value::Null;
            document["routes"]["read"]["trafficSplit"] = json!([{ "service": "plain", "weight": "ODD" }, { "service": "keys", "weight": 0 }]);
            let text = document.to_string().replace(r#""ODD""#, number);
            let read = UsersPlatform::new().decode_config(text.as_bytes());
            let (config, _) = read.expect("the other parts are valid");
            for route in &config.routes {
                assert!(now.after(route.timeout) >= now.after(route.objective).min(now));
                Spread::new(0.9).next(&route.targets);
            }
        }
    }
    let mut document = test_config(9);
    document["routes"]["read"]["timeoutMs"] = json!(1e300);
    let read = UsersPlatform::new().decode_config(document.to_string().as_bytes());
    let (config, _) = read.expect("a document");
    let route = config.routes.iter().find(|r| r.name.0 == "read");
    let timeout = route.expect("the route").timeout;
    assert!(timeout > Duration::from_hours(1), "{timeout:?}");
}
