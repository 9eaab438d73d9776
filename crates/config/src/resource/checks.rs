//! Checks of a routing resource that involve several fields.

use std::collections::HashMap;
use std::hash::Hash;

use http::{HeaderName, Method};

use super::{Key, Routing, Service};
use crate::path::Path;
use crate::read::{Checks, Document};

/// Largest resource in bytes of its printed YAML, from section 10 of the design: a resource travels
/// in one log record of at most 256 KiB. The binary form in the record is shorter than the YAML.
pub const RESOURCE_SIZE_MAX: usize = 192 * 1024;

/// Headers that cannot carry a key: those that belong to one connection (RFC 9110, section 7.6.1),
/// those that frame the body, and those that the router itself gives a meaning.
const RESERVED: [&str; 14] = [
    "connection",
    "content-length",
    "fence-token",
    "idempotency-key",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "traceparent",
    "tracestate",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the headers that the router drops from callers and sets itself.
const RESERVED_PREFIX: &str = "trefoil-";

impl Document for Routing {
    const SAMPLE: &'static str = include_str!("sample.yaml");

    fn check(&self, checks: &mut Checks<'_>) {
        let spec = Path::root().key("spec");
        let domains = spec.key("domains");
        let paths = (0..self.spec.domains.len()).map(|i| domains.index(i));
        unique(
            "failure domain",
            self.spec.domains.iter().zip(paths),
            checks,
        );

        let services = spec.key("services");
        let paths = (0..self.spec.services.len()).map(|i| services.index(i).key("name"));
        let names = self.spec.services.iter().map(|s| &s.name);
        unique("service", names.zip(paths), checks);

        let upstreams = || {
            let of = |(i, s)| std::iter::repeat(services.index(i)).zip(Service::numbered(s));
            self.spec.services.iter().enumerate().flat_map(of)
        };
        let names =
            upstreams().map(|(at, (i, u))| (&u.name, at.key("upstreams").index(i).key("name")));
        unique("upstream", names, checks);
        let addresses = upstreams()
            .map(|(at, (i, u))| (&u.address, at.key("upstreams").index(i).key("address")));
        unique("address", addresses, checks);

        for (at, (i, upstream)) in upstreams() {
            let at = at.key("upstreams").index(i);
            if !self.spec.domains.contains(&upstream.domain) {
                let message = format!("failure domain \"{}\" is not declared", upstream.domain);
                checks.report_with(&at.key("domain"), std::slice::from_ref(&domains), message);
            }
            let address = upstream.address;
            if address.port() == 0 || address.ip().is_unspecified() {
                let message = format!("{address} cannot be connected to");
                checks.report(&at.key("address"), message);
            }
        }
        for (i, service) in self.spec.services.iter().enumerate() {
            service.check(&services.index(i), checks);
        }
        let size = self.to_yaml().len();
        if size > RESOURCE_SIZE_MAX {
            let message = format!("is {size} bytes long, at most {RESOURCE_SIZE_MAX} are allowed");
            checks.report(&Path::root(), message);
        }
    }
}

impl Service {
    fn numbered(&self) -> impl Iterator<Item = (usize, &super::Upstream)> {
        self.upstreams.iter().enumerate()
    }

    fn check(&self, at: &Path, checks: &mut Checks<'_>) {
        self.check_key(&at.key("key").key("header"), checks);
        self.check_methods(&at.key("methods"), checks);

        let weights = &self.weights;
        if [weights.unavailable, weights.churn, weights.imbalance]
            .iter()
            .all(|w| *w <= 0.0)
        {
            let path = at.key("weights");
            checks.report_with(
                &path,
                std::slice::from_ref(&path),
                "at least one weight must be above 0",
            );
        }
        let deadlines = at.key("deadlines");
        if self.deadlines.default > self.deadlines.max {
            let message = format!(
                "is {} ms, above the longest deadline of {} ms",
                self.deadlines.default, self.deadlines.max
            );
            checks.report_with(&deadlines.key("default"), &[deadlines.key("max")], message);
        }
        let upstreams = at.key("upstreams");
        if !self.upstreams.is_empty() && self.upstreams.iter().all(|u| u.leaving) {
            let message = "at least one upstream must not be leaving";
            checks.report_with(&upstreams, std::slice::from_ref(&upstreams), message);
        }
    }

    fn check_key(&self, path: &Path, checks: &mut Checks<'_>) {
        let Key::Header(name) = &self.key else {
            return;
        };
        let lower = name.to_ascii_lowercase();
        match HeaderName::from_bytes(name.as_bytes()) {
            // Its length is reported by the declared bound.
            _ if name.is_empty() => {}
            Err(_) => checks.report(path, format!("\"{name}\" is not a valid header name")),
            Ok(_) if RESERVED.contains(&lower.as_str()) || lower.starts_with(RESERVED_PREFIX) => {
                checks.report(path, format!("the header \"{name}\" is reserved"));
            }
            Ok(_) => {}
        }
    }

    fn check_methods(&self, at: &Path, checks: &mut Checks<'_>) {
        let lists = [
            ("idempotent", &self.methods.idempotent),
            ("non-idempotent", &self.methods.non_idempotent),
        ];
        let all = || {
            lists.iter().flat_map(|(kind, list)| {
                let list = list.iter().enumerate();
                list.map(|(i, method)| (*kind, method, at.key(kind).index(i)))
            })
        };
        for (_, method, path) in all() {
            // Methods are case-sensitive, and all registered ones are upper case.
            let upper = !method.chars().any(|c| c.is_ascii_lowercase());
            match Method::from_bytes(method.as_bytes()) {
                Ok(Method::CONNECT) => checks.report(&path, "CONNECT cannot be routed by key"),
                Ok(_) if upper => {}
                Ok(_) => {
                    let message = format!("\"{method}\" must be in upper case");
                    checks.report(&path, message);
                }
                Err(_) => checks.report(&path, format!("\"{method}\" is not a valid method")),
            }
        }
        let mut seen: HashMap<&str, (&str, Path)> = HashMap::new();
        for (kind, method, path) in all() {
            match seen.get(method.as_str()) {
                Some((first, other)) if *first != kind => {
                    let message = format!("\"{method}\" is also listed as {first}");
                    checks.report_with(&path, std::slice::from_ref(other), message);
                }
                Some((_, other)) => {
                    let message = format!("\"{method}\" is listed twice");
                    checks.report_with(&path, std::slice::from_ref(other), message);
                }
                None => {
                    seen.insert(method, (kind, path));
                }
            }
        }
    }
}

/// Reports every value that occurred before, with the path of its first occurrence.
pub(crate) fn unique<T, I>(what: &str, values: I, checks: &mut Checks<'_>)
where
    T: Eq + Hash + std::fmt::Display,
    I: Iterator<Item = (T, Path)>,
{
    let mut seen: HashMap<T, Path> = HashMap::new();
    for (value, path) in values {
        match seen.get(&value) {
            Some(first) => {
                let message = format!("{what} {value} is already used at {first}");
                checks.report_with(&path, std::slice::from_ref(first), message);
            }
            None => {
                seen.insert(value, path);
            }
        }
    }
}
