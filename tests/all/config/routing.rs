//! Parsing and validation of routing resources.

use trefoil_config::{Findings, Routing};
use trefoil_core::DomainName;

use super::{ROUTING, break_each_value, replace_once};

fn findings(text: &str) -> Findings {
    Routing::from_yaml(text, "routing.yaml").expect_err("the text has mistakes")
}

/// Returns the findings without locations, for tests of the rules.
fn messages(text: &str) -> Vec<String> {
    let list = findings(text);
    list.into_iter()
        .map(|f| format!("{}: {}", f.path, f.message))
        .collect()
}

/// Guards against a first error that hides the others, and against wrong locations.
#[test]
fn five_mistakes_give_five_findings() {
    let list = findings(include_str!("files/routing-five.yaml"));
    assert_eq!(list.len(), 5);
    insta::assert_snapshot!(list);
}

/// Guards against findings that scripts cannot parse.
#[test]
fn findings_serialize_to_json() {
    let list = findings(include_str!("files/routing-five.yaml"));
    let json = serde_json::to_string_pretty(&list).expect("findings have no maps");
    insta::assert_snapshot!(json);
    let back: Findings = serde_json::from_str(&json).expect("findings are read back");
    assert_eq!(back, list);
}

/// Guards against fields or defaults that are lost in deserialization.
#[test]
fn a_valid_resource_is_read() {
    let routing = Routing::from_yaml(ROUTING, "routing.yaml").expect("the resource is valid");
    insta::assert_debug_snapshot!(routing);
}

/// Guards against a syntax error without a location, and against panics on truncated files.
#[test]
fn invalid_yaml_has_a_location() {
    let texts = [
        "kind: Routing\nname: [a, b\nspec: {}\n",
        "kind: Routing\n  name: a\n",
        "kind: \"Routing\nname: a\n",
        "kind: Routing\n\tname: a\n",
        "kind: *unknown\n",
    ];
    let lists: Vec<String> = texts
        .iter()
        .map(|text| findings(text).to_string())
        .collect();
    insta::assert_snapshot!(lists.join("\n"));
}

/// Guards against a syntax error that hides the errors before it, and against findings about fields
/// that may follow it.
#[test]
fn mistakes_before_a_syntax_error_are_reported() {
    let text = include_str!("files/routing-five.yaml");
    let cut = replace_once(
        text,
        "      deadlines: { default",
        "      deadlines: { { default",
    );
    insta::assert_snapshot!(findings(&cut));
}

/// Guards against a misspelt required field that is reported both as unknown and as missing, and
/// whose value is not validated.
#[test]
fn misspelt_fields_are_reported_once() {
    let text = replace_once(ROUTING, "domains: [a, b]", "domians: [a, 7 b]");
    let text = replace_once(&text, "limits: { slots: 4,", "limits: { slot: 4000,");
    insta::assert_snapshot!(findings(&text));
}

/// Guards against accepting YAML features that this crate does not support but other tools do.
#[test]
fn unsupported_yaml_is_refused() {
    let texts = [
        "",
        "- kind: Routing\n",
        "kind: Routing\n---\nkind: Routing\n",
        "kind: !!str Routing\n",
        "kind: Routing\nkind: Routing\n",
        "kind: Routing\nname: &a x\nspec: *a\n",
        "? [kind]\n: Routing\n",
    ];
    let lists: Vec<String> = texts
        .iter()
        .map(|text| findings(text).to_string())
        .collect();
    insta::assert_snapshot!(lists.join("\n---\n"));
}

/// Guards against the loss of a check that involves several fields.
#[test]
fn checks_across_fields() {
    let cases = [
        ("name: filing-1", "name: lookup-1"),
        ("192.0.2.3:80", "192.0.2.1:80"),
        ("192.0.2.3:80", "0.0.0.0:80"),
        ("192.0.2.3:80", "192.0.2.3:0"),
        (
            "domain: a }\n        - { name: lookup",
            "domain: c }\n        - { name: lookup",
        ),
        ("domains: [a, b]", "domains: [a, b, a]"),
        ("- name: filing", "- name: lookup"),
        ("non-idempotent: [POST]", "non-idempotent: [POST, GET]"),
        ("non-idempotent: [POST]", "non-idempotent: [POST, POST]"),
        ("non-idempotent: [POST]", "non-idempotent: [post]"),
        ("non-idempotent: [POST]", "non-idempotent: [\"P OST\"]"),
        ("non-idempotent: [POST]", "non-idempotent: [CONNECT]"),
        ("default: 1000", "default: 5001"),
        ("header: Guarantee-Number", "header: \"Guarantee Number\""),
        ("header: Guarantee-Number", "header: fence-token"),
        ("header: Guarantee-Number", "header: Trefoil-Key"),
        ("header: Guarantee-Number", "header: \"\""),
        (
            "name: filing-1, address: \"192.0.2.3:80\", domain: a",
            "name: filing-1, address: \"192.0.2.3:80\", domain: a, leaving: true",
        ),
        (
            "unavailable: 3, churn: 1, imbalance: 0.5",
            "unavailable: 0, churn: 0, imbalance: 0",
        ),
        ("imbalance: 0.5", "imbalance: -1"),
        ("imbalance: 0.5", "imbalance: .nan"),
        ("slots: 4,", "slots: \"4\","),
        ("slots: 4,", "slots: 99999999999999999999999999,"),
        ("fenced: true", "fenced: true\n      shards: 1000"),
        ("key: { path: 1 }", "key: { query: id }"),
        ("key: { path: 1 }", "key: path"),
        ("key: { path: 1 }", "key: { path: 17 }"),
    ];
    let mut lines = Vec::new();
    for (from, to) in cases {
        lines.push(format!("# {to}"));
        lines.extend(messages(&replace_once(ROUTING, from, to)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against findings that only follow from a replaced value. Of the invalid list of domains,
/// only the list may be reported, not the upstreams whose domains it does not contain.
#[test]
fn an_error_causes_no_other_findings() {
    let text = replace_once(ROUTING, "domains: [a, b]", "domains: 3");
    assert_eq!(messages(&text), ["spec.domains: expected a list, found 3"]);
    let text = replace_once(
        ROUTING,
        "default: 1000, max: 5000",
        "default: 1000, max: soon",
    );
    assert_eq!(
        messages(&text),
        [
            "spec.services[0].deadlines.max: expected a whole number from 0 to 4294967295, found soon"
        ]
    );
}

/// Guards against a field that is missing from the sample document. An error in it would end the
/// validation early, or cause findings about a replaced enclosing value.
#[test]
fn every_invalid_value_is_one_finding() {
    let routing = Routing::from_yaml(ROUTING, "routing.yaml").expect("the resource is valid");
    let text = routing.to_yaml();
    let all = break_each_value(&text);
    for (line, broken) in &all {
        let list = findings(broken);
        assert_eq!(list.len(), 1, "line {line}: {list}");
        assert_eq!(list.as_slice()[0].location.line, *line, "{list}");
    }
    assert_eq!(all.len(), 55, "{text}");
}

/// Guards against accepting a resource that does not fit into a log record.
#[test]
fn a_large_resource_is_refused() {
    let mut routing = Routing::from_yaml(ROUTING, "routing.yaml").expect("the resource is valid");
    let first = routing.spec.services[0].upstreams[0].clone();
    for i in 0..4000_u16 {
        let mut upstream = first.clone();
        upstream.name = format!("a-rather-long-upstream-name-{i}")
            .parse()
            .expect("a name");
        upstream.address.set_port(1000 + i);
        routing.spec.services[0].upstreams.push(upstream);
    }
    let list = routing.check().expect_err("the resource is too large");
    assert_eq!(list.len(), 1, "{list}");
    assert!(
        list.to_string().ends_with("at most 196608 are allowed"),
        "{list}"
    );
    assert_eq!(findings(&routing.to_yaml()).len(), 1);
}

/// Guards against a resource built by a program that passes validation although the equivalent file
/// would not.
#[test]
fn a_built_resource_is_checked() {
    let mut routing = Routing::from_yaml(ROUTING, "routing.yaml").expect("the resource is valid");
    assert_eq!(routing.check(), Ok(()));
    routing.spec.domains = vec!["z".parse::<DomainName>().expect("a name")];
    routing.spec.services[1].limits.slots = 0;
    let list = routing.check().expect_err("the resource is invalid");
    insta::assert_snapshot!(list);
}

/// Guards against an unbounded number of passes over a file that is not a routing resource.
#[test]
fn the_number_of_findings_is_limited() {
    let fields: Vec<String> = (0..500).map(|i| format!("f{i}: 1\n")).collect();
    let list = findings(&format!("{ROUTING}{}", fields.concat()));
    assert_eq!(list.len(), 101);
}
