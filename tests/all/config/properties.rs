//! Property tests of the parser. The seed is fixed, so that every run uses the same cases.

use std::net::{Ipv4Addr, SocketAddr};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use trefoil_config::resource::Kind;
use trefoil_config::{
    Deadlines, Key, Limits, Methods, Path, Routing, RoutingSpec, Service, Settings, Upstream,
    Weights,
};
use trefoil_core::Revision;

use super::{ROUTING, SETTINGS};

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x7265_666f_696c),
        failure_persistence: None,
        ..Config::default()
    })
}

/// Parses a text as a resource and as settings. Findings are allowed if their locations are within
/// the text; a panic fails the test.
fn parse_as_both(text: &str) {
    let lines = u32::try_from(text.lines().count()).expect("a short text");
    for list in [
        Routing::from_yaml(text, "r").err(),
        Settings::from_yaml(text, "s").err(),
    ] {
        for finding in list.into_iter().flatten() {
            assert!(!finding.message.is_empty(), "a finding says what is wrong");
            let location = &finding.location;
            assert!(location.column >= 1, "{finding}");
            // A syntax error at the end of the text is reported on the line after the last one.
            assert!((1..=lines + 1).contains(&location.line), "{finding}");
        }
    }
}

/// Guards against a stack overflow on deeply nested text, and against unbounded work.
#[test]
fn deep_and_large_text_is_refused() {
    for piece in ["[", "{a: ", "- ", "a:\n ", "? "] {
        parse_as_both(&piece.repeat(100_000));
    }
    let large = format!(
        "# {}\n{ROUTING}",
        "x".repeat(trefoil_config::DOCUMENT_SIZE_MAX)
    );
    let list = Routing::from_yaml(&large, "large").expect_err("the text is too large");
    assert_eq!(list.len(), 1, "{list}");
}

/// Guards against panics on arbitrary text.
#[test]
fn arbitrary_text_does_not_panic() {
    let text = prop_oneof![
        any::<String>(),
        "[-:{}\\[\\],&*!|>'\"%@`#? \n\ta-c0-9~<]{0,80}",
        "(kind|name|spec|services|key|[a-z]{1,3}|[\\[{}\\]:\n -]){0,60}",
    ];
    runner(2000)
        .run(&text, |text| {
            parse_as_both(&text);
            Ok(())
        })
        .expect("no panic");
}

/// Guards against panics on almost valid text: a part of a valid file is replaced. It reaches the
/// validation code, which arbitrary text does not.
#[test]
fn damaged_text_does_not_panic() {
    let damage = (
        any::<bool>(),
        0..2000_usize,
        0..40_usize,
        "[-:{}\\[\\],&*!'\"\n a-c0-9~]{0,6}",
    );
    runner(2000)
        .run(&damage, |(first, start, len, insert)| {
            let text = if first { ROUTING } else { SETTINGS };
            let start = start.min(text.len());
            let end = (start + len).min(text.len());
            parse_as_both(&format!("{}{insert}{}", &text[..start], &text[end..]));
            Ok(())
        })
        .expect("no panic");
}

fn service(index: usize) -> impl Strategy<Value = Service> {
    let key = prop_oneof![
        "[A-Za-z][A-Za-z0-9-]{0,20}".prop_map(|name| Key::Header(format!("X-{name}"))),
        (1..=16_u8).prop_map(Key::Path),
    ];
    let weights = (0.0..1000.0_f64, 0.0..1000.0_f64, 0.1..1000.0_f64);
    let limits = (
        1..=1024_u32,
        1..=4096_u32,
        1..=100_000_u32,
        1..=1_073_741_824_u64,
    );
    let deadlines = (1..=600_000_u32, 1..=600_000_u32, 0..=600_000_u32);
    let upstreams = proptest::collection::vec((any::<bool>(), any::<[u8; 2]>()), 0..6);
    let rest = (any::<bool>(), 0..=20_u32, any::<bool>());
    (key, weights, limits, deadlines, upstreams, rest).prop_map(
        move |(key, (unavailable, churn, imbalance), l, d, list, (fenced, shards, post))| {
            // At least one upstream must not be leaving.
            let list = [(false, [0, 0])].into_iter().chain(list).enumerate();
            let upstreams = list.map(|(i, (leaving, _))| Upstream {
                name: format!("{index}-{i}").parse().expect("a name"),
                address: SocketAddr::from((
                    Ipv4Addr::LOCALHOST,
                    u16::try_from(1 + index * 100 + i).expect("a port"),
                )),
                domain: "null".parse().expect("a name"),
                leaving,
            });
            Service {
                name: format!("{index}").parse().expect("a name"),
                key,
                methods: Methods {
                    idempotent: vec!["GET".to_owned()],
                    non_idempotent: if post {
                        vec!["POST".to_owned()]
                    } else {
                        Vec::new()
                    },
                },
                fenced,
                shards: 1 << shards,
                weights: Weights {
                    unavailable,
                    churn,
                    imbalance,
                },
                limits: Limits {
                    slots: l.0,
                    connections: l.1,
                    queue: l.2,
                    body: l.3,
                },
                deadlines: Deadlines {
                    default: d.0.min(d.1),
                    max: d.0.max(d.1),
                    margin: d.2,
                },
                upstreams: upstreams.collect(),
            }
        },
    )
}

/// Guards against a printed resource that is parsed back differently: a name of digits or `null`
/// without quotes, or a number that loses digits. `trefoilctl apply` must read the output of `get`.
#[test]
fn a_printed_resource_is_read_back() {
    let services = (1..4_usize).prop_flat_map(|n| (0..n).map(service).collect::<Vec<_>>());
    let resource = ("[a-z0-9-]{1,63}", any::<u64>(), services);
    runner(300)
        .run(&resource, |(name, revision, services)| {
            let routing = Routing {
                kind: Kind::Routing,
                name: name.parse().expect("a name"),
                revision: Revision(revision),
                spec: RoutingSpec {
                    region: "true".parse().expect("a name"),
                    domains: vec![
                        "null".parse().expect("a name"),
                        "1".parse().expect("a name"),
                    ],
                    services,
                },
            };
            let text = routing.to_yaml();
            prop_assert_eq!(Routing::from_yaml(&text, "printed"), Ok(routing));
            Ok(())
        })
        .expect("the same resource");
}

/// Guards against a path in JSON findings that is parsed back differently.
#[test]
fn a_printed_path_is_read_back() {
    let step = prop_oneof![
        "[a-z][a-z-]{0,8}".prop_map(trefoil_config::Segment::Key),
        any::<usize>().prop_map(trefoil_config::Segment::Index),
    ];
    runner(300)
        .run(&proptest::collection::vec(step, 0..6), |steps| {
            let path = steps
                .into_iter()
                .fold(Path::root(), |path, step| path.join(step));
            prop_assert_eq!(path.to_string().parse(), Ok(path));
            Ok(())
        })
        .expect("the same path");
}
