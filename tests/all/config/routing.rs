//! Reading and checking routing resources.

use trefoil_config::{Findings, Routing};
use trefoil_core::DomainName;

use super::{ROUTING, changed, with_broken_lines};

fn findings(text: &str) -> Findings {
    Routing::from_yaml(text, "routing.yaml").expect_err("the text has mistakes")
}

/// The findings without places, for tests of the rules.
fn messages(text: &str) -> Vec<String> {
    let list = findings(text);
    list.into_iter()
        .map(|f| format!("{}: {}", f.path, f.message))
        .collect()
}

/// Guards against a first mistake that hides the others, and against wrong places.
#[test]
fn five_mistakes_give_five_findings() {
    let list = findings(include_str!("files/routing-five.yaml"));
    assert_eq!(list.len(), 5);
    insta::assert_snapshot!(list);
}

/// Guards against findings that scripts cannot read.
#[test]
fn findings_serialize_to_json() {
    let list = findings(include_str!("files/routing-five.yaml"));
    let json = serde_json::to_string_pretty(&list).expect("findings have no maps");
    insta::assert_snapshot!(json);
    let back: Findings = serde_json::from_str(&json).expect("findings are read back");
    assert_eq!(back, list);
}

/// Guards against the loss of fields or defaults on the way from the file to the types.
#[test]
fn a_valid_resource_is_read() {
    let routing = Routing::from_yaml(ROUTING, "routing.yaml").expect("the resource is valid");
    insta::assert_debug_snapshot!(routing);
}

/// Guards against a syntax error without a place, and against panics on truncated files.
#[test]
fn broken_yaml_has_a_place() {
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

/// Guards against a syntax error that hides the mistakes before it, and against findings about
/// what may follow it.
#[test]
fn mistakes_before_a_syntax_error_are_reported() {
    let text = include_str!("files/routing-five.yaml");
    let cut = changed(
        text,
        "      deadlines: { default",
        "      deadlines: { { default",
    );
    insta::assert_snapshot!(findings(&cut));
}

/// Guards against a misspelt required field that is reported as unknown and as missing, and whose
/// value is not checked.
#[test]
fn misspelt_fields_are_reported_once() {
    let text = changed(ROUTING, "domains: [a, b]", "domians: [a, 7 b]");
    let text = changed(&text, "limits: { slots: 4,", "limits: { slot: 4000,");
    insta::assert_snapshot!(findings(&text));
}

/// Guards against structures that other YAML tools accept and that this crate does not.
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

/// Guards against a check across fields that is lost.
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
        lines.extend(messages(&changed(ROUTING, from, to)));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against findings about values that stand in for unreadable ones: only the unreadable
/// list of domains may be reported here, not the upstreams that name its domains.
#[test]
fn a_mistake_has_no_consequential_findings() {
    let text = changed(ROUTING, "domains: [a, b]", "domains: 3");
    assert_eq!(messages(&text), ["spec.domains: expected a list, found 3"]);
    let text = changed(
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

/// Guards against a field that the sample document lacks: its mistakes would end the search for
/// others, or be followed by findings about the value that stands in.
#[test]
fn every_unreadable_value_is_one_finding() {
    let routing = Routing::from_yaml(ROUTING, "routing.yaml").expect("the resource is valid");
    let text = routing.to_yaml();
    let all = with_broken_lines(&text);
    for (line, broken) in &all {
        let list = findings(broken);
        assert_eq!(list.len(), 1, "line {line}: {list}");
        assert_eq!(list.as_slice()[0].location.line, *line, "{list}");
    }
    assert_eq!(all.len(), 55, "{text}");
}

/// Guards against a resource that does not fit into a log record.
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

/// Guards against a resource built by a program that passes where its file would be refused.
#[test]
fn a_built_resource_is_checked() {
    let mut routing = Routing::from_yaml(ROUTING, "routing.yaml").expect("the resource is valid");
    assert_eq!(routing.check(), Ok(()));
    routing.spec.domains = vec!["z".parse::<DomainName>().expect("a name")];
    routing.spec.services[1].limits.slots = 0;
    let list = routing.check().expect_err("the resource is invalid");
    insta::assert_snapshot!(list);
}

/// Guards against an unbounded number of passes over a file of another kind.
#[test]
fn many_mistakes_are_cut_off() {
    let fields: Vec<String> = (0..500).map(|i| format!("f{i}: 1\n")).collect();
    let list = findings(&format!("{ROUTING}{}", fields.concat()));
    assert_eq!(list.len(), 101);
}
