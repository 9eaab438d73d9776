//! Configurations with parts that cannot be read or numbers out of range.

use std::time::Duration;

use serde_json::{Value, json};
use trefoil_core::Tick;
use trefoil_gateway::Platform;
use trefoil_platform::UsersPlatform;
use trefoil_route::{Router, Spread};
use trefoil_soak::{Fleet, upstream_spec};
use trefoil_standin::test_config;

use super::odd_entries::{NUMBERS, any_json, runner};

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

/// Guards against a process that ends because of a value in a configuration.
#[test]
fn any_value_in_a_configuration_is_handled() {
    let parts = [
        "",
        "/limits",
        "/routes",
        "/routes/read",
        "/services",
        "/services/plain",
    ];
    let fields = [
        "version",
        "routes",
        "services",
        "limits",
        "maxHeaderBytes",
        "idleTimeoutMs",
        "host",
        "pathPrefix",
        "routeType",
        "timeoutMs",
        "targetLatencyMs",
        "priority",
        "service",
        "trafficSplit",
        "attempts",
        "healthCheckPath",
        "maxConnections",
        "sharded",
        "plain",
    ];
    let place = (
        proptest::sample::select(parts.to_vec()),
        proptest::sample::select(fields.to_vec()),
    );
    let changes = proptest::collection::vec((place, any_json()), 1..4);
    let result = runner().run(&changes, |changes| {
        let mut document = test_config(9);
        for ((part, field), value) in changes {
            if let Some(Value::Object(fields)) = document.pointer_mut(part) {
                fields.insert(field.to_owned(), value);
            }
        }
        let text = document.to_string();
        if let Ok((config, _)) = UsersPlatform::new().decode_config(text.as_bytes()) {
            let router = Router::new(config);
            for route in router.routes() {
                let now = Tick(Duration::from_secs(1_000_000));
                let _ = now.after(route.timeout).after(route.objective);
                let _ = Spread::new(0.9).next(&route.targets);
            }
        }
        Ok(())
    });
    result.expect("no panic");
}

/// Guards against a host that ends or serves nobody because of numbers at the ends of their types.
#[test]
fn a_host_serves_under_extreme_numbers() {
    let mut fleet = Fleet::new(super::program(), vec![upstream_spec("p1", "plain")]);
    fleet.start_host();
    for (version, number) in [(2, "1e300"), (3, "1.8446744073709549e22"), (4, "1e15")] {
        let mut document = test_config(version);
        for field in ["headerTimeoutMs", "idleTimeoutMs"] {
            document["limits"][field] = serde_json::from_str(number).expect("a number");
        }
        for field in ["maxHeaderBytes", "maxBodyBytes"] {
            document["limits"][field] = json!(u64::MAX);
        }
        let route = &mut document["routes"]["read"];
        for field in ["timeoutMs", "targetLatencyMs"] {
            route[field] = serde_json::from_str(number).expect("a number");
        }
        route["service"] = Value::Null;
        route["trafficSplit"] = json!([{ "service": "plain", "weight": u32::MAX }]);
        route["attempts"] = json!(u32::MAX);
        document["services"]["plain"]["maxConnections"] = json!(u32::MAX);
        let written = fleet.control_plane.write_config(&document);
        written.expect("written");
        fleet.hosts[0].wait_for_entry("version", &version.to_string());
        for deadline in ["", "X-Deadline-Ms: 1e21\r\n", "X-Deadline-Ms: 1e300\r\n"] {
            let answer = fleet.hosts[0].get("extreme", "/read/x", deadline);
            assert_eq!(answer.map(|a| a.status), Some(200), "{number} {deadline}");
        }
        assert!(fleet.hosts[0].is_running(), "the process has not ended");
    }
}
