//! A synthetic deployment of any size: log records and the view after their replay.

use std::net::{Ipv4Addr, SocketAddr};

use bytes::Bytes;
use trefoil_config::Routing;
use trefoil_core::{HostId, Offset, Revision, UnixMillis, UpstreamName, WriterId};
use trefoil_lease::{Generation, Lease, WitnessSlot};
use trefoil_log::{
    Addresses, Body, Envelope, FORMAT, HostRecord, Keyring, Placement, Ranking, Role, SignedRecord,
    Signer, Verdict, View,
};
use uuid::Uuid;

use crate::Error;

/// Number of upstreams in one resource. They take about 60 KiB of the 192 KiB that a resource may
/// have.
pub const GROUP: usize = 1_000;

/// Number of failure domains at full scale.
const DOMAINS: usize = 11;

/// Number of rankings in one record. They take about 130 KiB of the 256 KiB that a record may have.
const RANKINGS: usize = 1_500;

/// Creates log records and replays them.
pub struct Deployment {
    /// The view after all records so far.
    pub view: View,
    /// Keys of the writers.
    pub keys: Keyring,
    hosts: Signer,
    operator: Signer,
    size: usize,
}

/// Returns the incarnation id of host `i`. The ids are distributed like random ones.
pub fn id(i: usize) -> HostId {
    let spread = (i as u128 + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835);
    HostId(Uuid::from_u128(spread))
}

/// Returns the address of host `i` for other hosts.
pub fn peer(i: usize) -> SocketAddr {
    let low = u32::try_from(i).unwrap_or_default() + 1;
    SocketAddr::from((Ipv4Addr::from(0x0A00_0000 | low), 4_433))
}

/// Returns the log record of host `i`.
pub fn host(i: usize) -> Result<HostRecord, Error> {
    let domain = i % DOMAINS;
    let peer = peer(i);
    let port = |port| SocketAddr::new(peer.ip(), port);
    Ok(HostRecord {
        id: id(i),
        name: format!("entry-host-{i:05}").parse()?,
        region: format!("region-{}", domain % 3).parse()?,
        domain: format!("domain-{domain}").parse()?,
        addresses: Addresses {
            caller: port(8_080),
            peer,
            operator: port(9_090),
        },
        format: FORMAT,
    })
}

/// Returns the lease of host `i` among `size` hosts, with witnesses distributed over all hosts.
pub fn lease(i: usize, generation: u64, size: usize) -> Lease {
    let witness = |k: usize| (i + 1 + (k + generation as usize) * (size / 7).max(1)) % size;
    Lease {
        holder: id(i),
        generation: Generation(generation),
        witnesses: (0..5)
            .map(witness)
            .map(|w| WitnessSlot {
                host: id(w),
                address: peer(w),
            })
            .collect(),
    }
}

/// Returns the name of upstream `i`.
pub fn upstream(i: usize) -> Result<UpstreamName, Error> {
    Ok(format!("upstream-{i:05}").parse()?)
}

/// Returns a resource with one service of `count` upstreams.
pub fn routing(group: usize, count: usize, revision: Revision) -> Result<Routing, Error> {
    use std::fmt::Write;
    let mut text = format!(
        "kind: Routing
name: resource-{group}
revision: {revision}
spec:
  region: region-0
  domains: [domain-0, domain-1, domain-2]
  services:
    - name: service-{group}
      key: {{ path: 1 }}
      methods: {{ idempotent: [GET, HEAD], non-idempotent: [POST, PUT, DELETE] }}
      fenced: true
      limits: {{ slots: 4, connections: 130 }}
      deadlines: {{ default: 5000, max: 30000 }}
      upstreams:
"
    );
    for i in 0..count {
        let index = group * GROUP + i;
        let domain = i % 3;
        writeln!(
            text,
            "        - {{ name: upstream-{index:05}, address: \"{}\", domain: domain-{domain} }}",
            peer(index)
        )?;
    }
    Routing::from_yaml(&text, "resource").map_err(|e| e.to_string().into())
}

/// Returns rankings for upstreams `from..to`, each with three of `size` hosts.
pub fn rankings(from: usize, to: usize, size: usize) -> Result<Vec<Ranking>, Error> {
    let ranking = |i: usize| {
        Ok(Ranking {
            upstream: upstream(i)?,
            hosts: (0..3).map(|k| id((i + k * 11) % size)).collect(),
        })
    };
    (from..to).map(ranking).collect()
}

impl Deployment {
    /// Creates an empty deployment.
    pub fn new() -> Result<Self, Error> {
        let hosts = Signer::from_pkcs8(&Signer::generate()?)?;
        let operator = Signer::from_pkcs8(&Signer::generate()?)?;
        let mut keys = Keyring::default();
        keys.add(hosts.key(), Role::Host);
        keys.add(operator.key(), Role::Operator);
        Ok(Self {
            view: View::default(),
            keys,
            hosts,
            operator,
            size: 0,
        })
    }

    /// Returns a signed record of writer `writer`.
    pub fn record(&self, writer: usize, sequence: u64, body: Body) -> Result<Bytes, Error> {
        let operator = matches!(body, Body::Config(_));
        let base = match body {
            Body::Placement(_) => self.view.placement,
            _ => Revision(0),
        };
        let envelope = Envelope {
            format: FORMAT,
            writer: WriterId(id(writer).0),
            sequence,
            base,
            time: UnixMillis(1_700_000_000_000),
            body,
        };
        let signer = if operator {
            &self.operator
        } else {
            &self.hosts
        };
        Ok(SignedRecord::new(&envelope, signer)?.encode()?)
    }

    /// Replays a record.
    pub fn apply(&mut self, data: &[u8]) -> Result<(), Error> {
        accept(&mut self.view, data, &self.keys)
    }

    /// Grows the deployment to `size` hosts that have joined and hold leases, and to `size`
    /// upstreams, each with a ranking of three hosts.
    pub fn grow(&mut self, size: usize) -> Result<(), Error> {
        for i in self.size..size {
            let joined = self.record(i, 1, Body::Joined(host(i)?))?;
            self.apply(&joined)?;
        }
        for i in self.size..size {
            let lease = self.record(i, 2, Body::Lease(lease(i, 1, size)))?;
            self.apply(&lease)?;
        }
        for group in self.size / GROUP..size / GROUP {
            let body = Body::Config(Box::new(routing(group, GROUP, Revision(0))?));
            let config = self.record(1_000_000 + group, 1, body)?;
            self.apply(&config)?;
        }
        for from in (self.size..size).step_by(RANKINGS) {
            let assignments = rankings(from, (from + RANKINGS).min(size), size)?;
            let placement = Placement {
                changes: Vec::new(),
                assignments,
            };
            let data = self.record(2_000_000 + from, 1, Body::Placement(placement))?;
            self.apply(&data)?;
        }
        self.size = size;
        Ok(())
    }
}

/// Replays a record, and fails unless it is accepted.
pub fn accept(view: &mut View, data: &[u8], keys: &Keyring) -> Result<(), Error> {
    match view.apply(view.next, data, keys)? {
        Verdict::Accepted { .. } => Ok(()),
        verdict => Err(format!("record {:?}: {verdict:?}", Offset(view.next.0)).into()),
    }
}
