//! Validation of a routing resource that involves several fields.

use std::collections::HashMap;
use std::hash::Hash;

use http::{HeaderName, Method};

use super::{Key, Routing, Service};
use crate::path::Path;
use crate::read::{Document, Validator};

/// Maximum size of a resource's YAML form, in bytes, from section 10 of the design. A resource must
/// fit into one log record of at most 256 KiB, and its binary encoding there is shorter than the
/// YAML.
pub const RESOURCE_SIZE_MAX: usize = 192 * 1024;

/// Headers that cannot contain a key: hop-by-hop headers (RFC 9110, section 7.6.1), headers that
/// frame the body, and headers that the router interprets itself.
const RESERVED_HEADERS: [&str; 14] = [
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

/// Prefix of the headers that the router sets itself and removes from callers' requests.
const RESERVED_PREFIX: &str = "trefoil-";

impl Document for Routing {
    const SAMPLE: &'static str = include_str!("sample.yaml");

    fn check(&self, validator: &mut Validator<'_>) {
        let spec = Path::root().key("spec");
        let domains = spec.key("domains");
        let paths = (0..self.spec.domains.len()).map(|i| domains.index(i));
        report_duplicates(
            "failure domain",
            self.spec.domains.iter().zip(paths),
            validator,
        );

        let services = spec.key("services");
        let paths = (0..self.spec.services.len()).map(|i| services.index(i).key("name"));
        let names = self.spec.services.iter().map(|s| &s.name);
        report_duplicates("service", names.zip(paths), validator);

        let upstreams = || {
            let with_path =
                |(i, s)| std::iter::repeat(services.index(i)).zip(Service::enumerate_upstreams(s));
            self.spec.services.iter().enumerate().flat_map(with_path)
        };
        let names = upstreams()
            .map(|(service, (i, u))| (&u.name, service.key("upstreams").index(i).key("name")));
        report_duplicates("upstream", names, validator);
        let addresses = upstreams().map(|(service, (i, u))| {
            (&u.address, service.key("upstreams").index(i).key("address"))
        });
        report_duplicates("address", addresses, validator);

        for (service, (i, upstream)) in upstreams() {
            let path = service.key("upstreams").index(i);
            if !self.spec.domains.contains(&upstream.domain) {
                let message = format!("failure domain \"{}\" is not declared", upstream.domain);
                validator.report_with(&path.key("domain"), std::slice::from_ref(&domains), message);
            }
            let address = upstream.address;
            if address.port() == 0 || address.ip().is_unspecified() {
                let message = format!("{address} cannot be connected to");
                validator.report(&path.key("address"), message);
            }
        }
        for (i, service) in self.spec.services.iter().enumerate() {
            service.check(&services.index(i), validator);
        }
        let size = self.to_yaml().len();
        if size > RESOURCE_SIZE_MAX {
            let message = format!("is {size} bytes long, at most {RESOURCE_SIZE_MAX} are allowed");
            validator.report(&Path::root(), message);
        }
    }
}

impl Service {
    fn enumerate_upstreams(&self) -> impl Iterator<Item = (usize, &super::Upstream)> {
        self.upstreams.iter().enumerate()
    }

    fn check(&self, service: &Path, validator: &mut Validator<'_>) {
        self.check_key(&service.key("key").key("header"), validator);
        self.check_methods(&service.key("methods"), validator);

        let weights = &self.weights;
        if [weights.unavailable, weights.churn, weights.imbalance]
            .iter()
            .all(|w| *w <= 0.0)
        {
            let path = service.key("weights");
            validator.report_with(
                &path,
                std::slice::from_ref(&path),
                "at least one weight must be above 0",
            );
        }
        let deadlines = service.key("deadlines");
        if self.deadlines.default > self.deadlines.max {
            let message = format!(
                "is {} ms, above the longest deadline of {} ms",
                self.deadlines.default, self.deadlines.max
            );
            validator.report_with(&deadlines.key("default"), &[deadlines.key("max")], message);
        }
        let upstreams = service.key("upstreams");
        if !self.upstreams.is_empty() && self.upstreams.iter().all(|u| u.leaving) {
            let message = "at least one upstream must not be leaving";
            validator.report_with(&upstreams, std::slice::from_ref(&upstreams), message);
        }
    }

    fn check_key(&self, path: &Path, validator: &mut Validator<'_>) {
        let Key::Header(name) = &self.key else {
            return;
        };
        let lower = name.to_ascii_lowercase();
        match HeaderName::from_bytes(name.as_bytes()) {
            // The declared bound on the length reports an empty name.
            _ if name.is_empty() => {}
            Err(_) => validator.report(path, format!("\"{name}\" is not a valid header name")),
            Ok(_)
                if RESERVED_HEADERS.contains(&lower.as_str())
                    || lower.starts_with(RESERVED_PREFIX) =>
            {
                validator.report(path, format!("the header \"{name}\" is reserved"));
            }
            Ok(_) => {}
        }
    }

    fn check_methods(&self, methods: &Path, validator: &mut Validator<'_>) {
        let lists = [
            ("idempotent", &self.methods.idempotent),
            ("non-idempotent", &self.methods.non_idempotent),
        ];
        let all = || {
            lists.iter().flat_map(|(kind, list)| {
                let list = list.iter().enumerate();
                list.map(|(i, method)| (*kind, method, methods.key(kind).index(i)))
            })
        };
        for (_, method, path) in all() {
            // Methods are case-sensitive, and all registered methods are in upper case.
            let upper = !method.chars().any(|c| c.is_ascii_lowercase());
            match Method::from_bytes(method.as_bytes()) {
                Ok(Method::CONNECT) => validator.report(&path, "CONNECT cannot be routed by key"),
                Ok(_) if upper => {}
                Ok(_) => {
                    let message = format!("\"{method}\" must be in upper case");
                    validator.report(&path, message);
                }
                Err(_) => validator.report(&path, format!("\"{method}\" is not a valid method")),
            }
        }
        let mut seen: HashMap<&str, (&str, Path)> = HashMap::new();
        for (kind, method, path) in all() {
            match seen.get(method.as_str()) {
                Some((first, other)) if *first != kind => {
                    let message = format!("\"{method}\" is also listed as {first}");
                    validator.report_with(&path, std::slice::from_ref(other), message);
                }
                Some((_, other)) => {
                    let message = format!("\"{method}\" is listed twice");
                    validator.report_with(&path, std::slice::from_ref(other), message);
                }
                None => {
                    seen.insert(method, (kind, path));
                }
            }
        }
    }
}

/// Reports every value that repeats an earlier one, with the path of the first occurrence.
pub(crate) fn report_duplicates<T, I>(label: &str, values: I, validator: &mut Validator<'_>)
where
    T: Eq + Hash + std::fmt::Display,
    I: Iterator<Item = (T, Path)>,
{
    let mut seen: HashMap<T, Path> = HashMap::new();
    for (value, path) in values {
        match seen.get(&value) {
            Some(first) => {
                let message = format!("{label} {value} is already used at {first}");
                validator.report_with(&path, std::slice::from_ref(first), message);
            }
            None => {
                seen.insert(value, path);
            }
        }
    }
}
