//! A view that is built by replaying signed records.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use trefoil_config::Routing;
use trefoil_core::{Offset, Revision, ServiceName, UnixMillis, UpstreamName, WriterId};
use trefoil_daemon::load::WindowLoad;
use trefoil_daemon::planner::{Loads, Observations, batches, required_placement};
use trefoil_log::{
    Body, Envelope, FORMAT, Keyring, Placement, Role, Signed, Signer, Verdict, View,
};
use trefoil_placement::{Load, Table};

/// A declared upstream: name, failure domain and whether it is leaving.
pub type Declared<'a> = (&'a str, &'a str, bool);

/// Four upstreams in two failure domains.
pub const FOUR: [Declared<'static>; 4] = [
    ("offers-1", "a", false),
    ("offers-2", "b", false),
    ("offers-3", "a", false),
    ("offers-4", "b", false),
];

/// A view, the records that led to it and the keys that these are signed with.
pub struct World {
    pub view: View,
    pub records: Vec<Vec<u8>>,
    pub keys: Keyring,
    host: Signer,
    operator: Signer,
    shards: u32,
}

fn signer() -> Signer {
    let key = Signer::generate().expect("a key pair");
    Signer::from_pkcs8(&key).expect("the key pair reads back")
}

impl World {
    /// Creates a view of a service without a table.
    pub fn new(shards: u32, upstreams: &[Declared<'_>]) -> Self {
        let (host, operator) = (signer(), signer());
        let mut keys = Keyring::default();
        keys.add(host.key(), Role::Host);
        keys.add(operator.key(), Role::Operator);
        let mut world = Self {
            view: View::default(),
            records: Vec::new(),
            keys,
            host,
            operator,
            shards,
        };
        world.declare(upstreams);
        world
    }

    /// Creates a view of a service with its first table.
    pub fn placed(shards: u32, upstreams: &[Declared<'_>]) -> Self {
        let mut world = Self::new(shards, upstreams);
        world.settle(&Observations::default());
        world
    }

    /// Publishes a resource that declares the upstreams.
    pub fn declare(&mut self, upstreams: &[Declared<'_>]) {
        let mut list = String::new();
        for (port, (name, domain, leaving)) in (1..).zip(upstreams) {
            // Writing to a string cannot fail.
            let _ = writeln!(
                list,
                "        - {{ name: {name}, address: \"127.0.0.1:{port}\", domain: {domain}, leaving: {leaving} }}"
            );
        }
        let yaml = format!(
            "kind: Routing\nname: test\nspec:\n  region: r\n  domains: [a, b]\n  services:\n    \
             - name: offers\n      key: {{ path: 1 }}\n      methods: {{ idempotent: [GET] }}\n      \
             shards: {}\n      fenced: true\n      limits: {{ slots: 4, connections: 130 }}\n      \
             deadlines: {{ default: 5000, max: 30000 }}\n      upstreams:\n{list}",
            self.shards
        );
        let mut routing = Routing::from_yaml(&yaml, "test").unwrap_or_else(|e| panic!("{e}"));
        let known = self.view.resources.values().next();
        routing.revision = known.map_or(Revision(0), |r| r.revision);
        let (base, body) = (routing.revision, Body::Config(Box::new(routing)));
        let verdict = self.apply(base, body, UnixMillis(0));
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    }

    fn apply(&mut self, base: Revision, body: Body, time: UnixMillis) -> Verdict {
        let signer = match body {
            Body::Config(_) => &self.operator,
            _ => &self.host,
        };
        let envelope = Envelope {
            format: FORMAT,
            writer: WriterId::random(),
            sequence: 1,
            base,
            time,
            body,
        };
        let record = Signed::new(&envelope, signer).and_then(|s| s.encode());
        let record = record.expect("the record encodes");
        assert!(record.len() <= trefoil_log::log::RECORD_MAX);
        let offset = Offset(self.records.len() as u64);
        self.records.push(record.to_vec());
        let verdict = self.view.apply(offset, &record, &self.keys);
        verdict.expect("the record decodes")
    }

    /// Writes one placement record.
    pub fn write(&mut self, base: Revision, placement: Placement) -> Verdict {
        let time = UnixMillis(self.records.len() as u64 * 1000);
        self.apply(base, Body::Placement(placement), time)
    }

    /// Writes one placement record with a given wall-clock time.
    pub fn write_at(&mut self, time: UnixMillis, placement: Placement) {
        let verdict = self.apply(self.view.placement, Body::Placement(placement), time);
        assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
    }

    /// Writes a plan. Returns the number of its records.
    pub fn submit(&mut self, placement: Placement) -> usize {
        let batches = batches(placement);
        let count = batches.len();
        for batch in batches {
            let verdict = self.write(self.view.placement, batch);
            assert!(matches!(verdict, Verdict::Accepted { .. }), "{verdict:?}");
        }
        count
    }

    /// Plans the required changes without a known load.
    pub fn required_placement(&self, observed: &Observations) -> Option<Placement> {
        required_placement(&self.view, observed, &Loads::new())
    }

    /// Plans and writes until no change is required. Returns the number of plans.
    pub fn settle(&mut self, observed: &Observations) -> usize {
        for plans in 0..10 {
            match self.required_placement(observed) {
                Some(placement) => self.submit(placement),
                None => return plans,
            };
        }
        panic!("ten plans were written and one more is wanted");
    }

    pub fn table(&self) -> &Table {
        &self.view.tables[&service()]
    }

    /// Returns the number of shards of each upstream that owns any.
    pub fn owners(&self) -> BTreeMap<String, usize> {
        let mut owners = BTreeMap::new();
        for replicas in self.table().replica_sets() {
            let name = self
                .table()
                .name(replicas.owner)
                .map_or("nobody", |n| n.as_str());
            *owners.entry(name.to_owned()).or_default() += 1;
        }
        owners
    }
}

/// The service of all tests.
pub fn service() -> ServiceName {
    "offers".parse().expect("a name")
}

pub fn upstream(name: &str) -> UpstreamName {
    name.parse().expect("a name")
}

/// Builds observations of lost and healthy upstreams.
pub fn observed(lost: &[&str], healthy: &[&str]) -> Observations {
    let names = |list: &[&str]| list.iter().map(|n| upstream(n)).collect();
    Observations {
        lost: names(lost),
        healthy: names(healthy),
    }
}

/// Builds the load of a window.
pub fn loads(shards: Vec<f64>) -> Loads {
    let closed = WindowLoad {
        load: Load {
            shards,
            hot: Vec::new(),
        },
        ..WindowLoad::default()
    };
    Loads::from([(service(), closed)])
}
