//! Validation of settings that involves several fields.

use std::net::SocketAddr;
use std::path::Path as FilePath;

use super::Settings;
use crate::path::Path;
use crate::read::{Document, Validator};
use crate::resource::report_duplicates;

impl Document for Settings {
    const SAMPLE: &'static str = include_str!("sample.yaml");

    fn check(&self, validator: &mut Validator<'_>) {
        let root = Path::root();
        let listeners = [
            (self.caller, root.key("caller")),
            (self.peer, root.key("peer")),
            (self.operator, root.key("operator")),
        ];
        for (i, (address, path)) in listeners.iter().enumerate() {
            let earlier = listeners[..i]
                .iter()
                .find(|(other, _)| overlaps(*address, *other));
            if let Some((other, first)) = earlier {
                let message = format!("{address} overlaps with {other} of {first}");
                validator.report_with(path, std::slice::from_ref(first), message);
            }
        }

        let platform = root.key("platform");
        let platform = [
            (self.platform.log, platform.key("log")),
            (self.platform.hosts, platform.key("hosts")),
        ];
        let seeds = (0..self.seeds.len()).map(|i| root.key("seeds").index(i));
        let seeds: Vec<(SocketAddr, Path)> = self.seeds.iter().copied().zip(seeds).collect();
        for (address, path) in platform.iter().chain(&seeds) {
            if address.port() == 0 || address.ip().is_unspecified() {
                validator.report(path, format!("{address} cannot be connected to"));
            }
        }
        report_duplicates("seed", seeds.into_iter(), validator);

        let keys = root.key("keys");
        let paths = |list: &str, len| {
            let path = keys.key(list);
            (0..len).map(move |i| path.index(i))
        };
        let operators = self
            .keys
            .operators
            .iter()
            .zip(paths("operators", self.keys.operators.len()));
        let hosts = self
            .keys
            .hosts
            .iter()
            .zip(paths("hosts", self.keys.hosts.len()));
        // A key in both lists would authorize a host to publish configuration.
        report_duplicates("key", operators.chain(hosts), validator);

        let tls = root.key("tls");
        let files = [
            (Some(&self.tls.authority), tls.key("authority")),
            (Some(&self.tls.certificate), tls.key("certificate")),
            (Some(&self.tls.key), tls.key("key")),
            (Some(&self.keys.signing), keys.key("signing")),
            (self.trace.as_ref(), root.key("trace")),
        ];
        for (file, path) in files {
            if file.is_some_and(|file| file == FilePath::new("")) {
                validator.report(&path, "must not be empty");
            }
        }
    }
}

/// Returns true if one process cannot listen on both addresses. Port 0 never conflicts, because the
/// system picks a free port.
fn overlaps(a: SocketAddr, b: SocketAddr) -> bool {
    let any = a.ip().is_unspecified() || b.ip().is_unspecified();
    a.port() != 0 && a.port() == b.port() && (any || a.ip() == b.ip())
}
