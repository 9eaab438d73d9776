//! Parsing, overriding and building of settings.

use std::net::SocketAddr;

use trefoil_config::settings::{SETTING_PATHS, Tls, flag_name, variable_name};
use trefoil_config::{Findings, LogLevel, Overrides, PublicKey, Settings};

use super::{SETTINGS, break_each_value, replace_once};

fn findings(text: &str) -> Findings {
    Settings::from_yaml(text, "trefoild.yaml").expect_err("the text has mistakes")
}

fn environment(pairs: &[(&str, &str)]) -> Overrides {
    let owned = pairs
        .iter()
        .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()));
    Overrides::new().variables(owned)
}

/// Guards against a first error that hides the others, and against wrong locations.
#[test]
fn five_mistakes_give_five_findings() {
    let list = findings(include_str!("files/settings-five.yaml"));
    assert_eq!(list.len(), 5);
    insta::assert_snapshot!(list);
}

/// Guards against fields or defaults that are lost in deserialization.
#[test]
fn valid_settings_are_read() {
    let settings = Settings::from_yaml(SETTINGS, "trefoild.yaml").expect("the settings are valid");
    insta::assert_debug_snapshot!(settings);
    let again = Settings::from_yaml(&settings.to_yaml(), "printed").expect("printed settings");
    assert_eq!(again, settings);
}

/// Guards against a setting that is missing from the sample document. An error in it would end the
/// validation early, or cause findings about a replaced enclosing value.
#[test]
fn every_invalid_value_is_one_finding() {
    let settings = Settings::from_yaml(SETTINGS, "trefoild.yaml").expect("valid settings");
    let text = settings.to_yaml();
    let all = break_each_value(&text);
    for (line, broken) in &all {
        let list = findings(broken);
        assert_eq!(list.len(), 1, "line {line}: {list}");
        assert_eq!(list.as_slice()[0].location.line, *line, "{list}");
    }
    assert_eq!(all.len(), 22, "{text}");
}

/// Guards against the loss of a check that involves several settings.
#[test]
fn checks_across_settings() {
    let cases = [
        ("127.0.0.1:8443", "127.0.0.1:8080"),
        ("127.0.0.1:8443", "0.0.0.0:8080"),
        ("192.0.2.250:7000", "192.0.2.250:0"),
        (
            "\"192.0.2.1:8443\"",
            "\"192.0.2.1:8443\", \"192.0.2.1:8443\"",
        ),
        ("authority: authority.pem", "authority: \"\""),
        (
            "[\"00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\"]",
            "[]",
        ),
        (
            "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
            "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100",
        ),
        (
            "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
            "zz112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
        ),
        ("region: north", "region: north\nlog-level: loud"),
        (
            "region: north",
            "region: north\nlimits: { header: 100, connections: 0 }",
        ),
    ];
    let mut lines = Vec::new();
    for (from, to) in cases {
        lines.push(format!("# {}", to.replace('\n', " / ")));
        lines.push(findings(&replace_once(SETTINGS, from, to)).to_string());
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against a wrong precedence: flags override the environment, which overrides the file.
#[test]
fn flags_override_the_environment_and_that_the_file() {
    let read = |overrides: &Overrides| {
        let settings = Settings::load(SETTINGS, "trefoild.yaml", overrides);
        settings.expect("the settings are valid").caller.port()
    };
    let variables = environment(&[("TREFOIL_CALLER", "127.0.0.1:2")]);
    assert_eq!(read(&Overrides::new()), 8080);
    assert_eq!(read(&variables), 2);
    assert_eq!(read(&variables.clone().flag("caller", "127.0.0.1:3")), 3);
    let early = Overrides::new().flag("caller", "127.0.0.1:3");
    let late = early.variables([("TREFOIL_CALLER".to_owned(), "127.0.0.1:2".to_owned())]);
    assert_eq!(read(&late), 3, "the order of the calls has no effect");
}

/// Guards against a setting without an environment variable, and against required content of the
/// file when all settings come from the environment.
#[test]
fn all_settings_come_from_the_environment() {
    let expected = Settings::from_yaml(SETTINGS, "trefoild.yaml").expect("valid settings");
    let pairs = [
        ("TREFOIL_NAME", "entry-01"),
        ("TREFOIL_DOMAIN", "a"),
        ("TREFOIL_REGION", "north"),
        ("TREFOIL_CALLER", "127.0.0.1:8080"),
        ("TREFOIL_PEER", "127.0.0.1:8443"),
        ("TREFOIL_OPERATOR", "127.0.0.1:9090"),
        ("TREFOIL_SEEDS", "192.0.2.1:8443, 192.0.2.2:8443"),
        ("TREFOIL_PLATFORM_LOG", "192.0.2.250:7000"),
        ("TREFOIL_PLATFORM_HOSTS", "192.0.2.250:7001"),
        ("TREFOIL_TLS_AUTHORITY", "authority.pem"),
        ("TREFOIL_TLS_CERTIFICATE", "entry-01.pem"),
        ("TREFOIL_TLS_KEY", "entry-01.key.pem"),
        (
            "TREFOIL_KEYS_OPERATORS",
            "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff",
        ),
        (
            "TREFOIL_KEYS_HOSTS",
            "ffeeddccbbaa99887766554433221100ffeeddccbbaa99887766554433221100",
        ),
        ("TREFOIL_KEYS_SIGNING", "entry-01.signing.key"),
        ("TREFOIL_SNAPSHOTS_RETENTION", "3600"),
        ("TREFOIL_SNAPSHOTS_RECORDS", "500"),
        ("TREFOIL_LIMITS_HEADER", "8192"),
        ("TREFOIL_LIMITS_HEADERS", "50"),
        ("TREFOIL_LIMITS_CONNECTIONS", "7"),
        ("TREFOIL_TRACE", "spans.jsonl"),
        ("TREFOIL_LOG_LEVEL", "debug"),
        ("TREFOIL_SERVER", "127.0.0.1:9090"),
        ("TREFOIL_OPERATOR_KEY", "operator.key"),
        ("PATH", "/bin"),
    ];
    for name in SETTING_PATHS {
        assert!(
            pairs.iter().any(|(k, _)| *k == variable_name(name)),
            "{name} is not tested"
        );
    }
    let settings = Settings::load("", "none", &environment(&pairs)).expect("valid settings");
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(
        (settings.limits.header, settings.limits.headers),
        (8192, 50)
    );
    assert_eq!(
        (settings.snapshots.retention, settings.snapshots.records),
        (3600, 500)
    );
    assert_eq!(settings.log_level, LogLevel::Debug);
    assert_eq!((settings.keys, settings.tls), (expected.keys, expected.tls));
}

/// Guards against findings that name the file although the error is in a variable or a flag, and
/// against misspelt variables that are silently ignored.
#[test]
fn findings_name_the_variable_or_flag() {
    let overrides = environment(&[
        ("TREFOIL_CALLER", "here"),
        ("TREFOIL_SEEDS", "192.0.2.1:8443,192.0.2.2"),
        ("TREFOIL_TRACE", ""),
        ("TREFOIL_CALER", "127.0.0.1:1"),
    ])
    .flag("limits.header", "many")
    .flag("platform.log", "192.0.2.1:0");
    let list = Settings::load(SETTINGS, "trefoild.yaml", &overrides).expect_err("invalid");
    insta::assert_snapshot!(list);
    assert_eq!(flag_name("platform.log"), "platform-log");
}

/// Guards against a builder that skips validation.
#[test]
fn the_builder_checks_settings() {
    let name = || "entry-01".parse().expect("a name");
    let builder = || {
        Settings::builder(
            name(),
            "a".parse().expect("a name"),
            "north".parse().expect("a name"),
        )
    };
    insta::assert_snapshot!(builder().build().expect_err("nothing is set"));

    let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
    let settings = builder()
        .caller(address(1))
        .peer(address(2))
        .operator(address(3))
        .seed(address(4))
        .platform(address(5), address(6))
        .tls(Tls {
            authority: "authority.pem".into(),
            certificate: "host.pem".into(),
            key: "host.key.pem".into(),
        })
        .operator_key(PublicKey([1; 32]))
        .host_key(PublicKey([2; 32]))
        .signing_key_file("signing.key")
        .log_level(LogLevel::Trace)
        .build();
    assert_eq!(settings.expect("complete settings").peer, address(2));
}
