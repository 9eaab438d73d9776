//! The state of the deployment, derived by replay of the log.
//!
//! Replay is deterministic: [`View::apply`] reads no clock, no settings but the key list, and
//! nothing of the host on which it runs. Its verdicts and their texts are part of the state,
//! because a writer whose answer was lost asks any host for the first verdict on its record.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::Snafu;
use trefoil_config::{Routing, RoutingSpec, Service, Upstream};
use trefoil_core::{
    HostId, Offset, ResourceName, Revision, ServiceName, Shard, UnixMillis, UpstreamName, WriterId,
};
use trefoil_lease::Records;
use trefoil_placement::{Member, Table};

use crate::host::HostRecord;
use crate::record::{Body, Envelope, FORMAT, FORMAT_FIRST, Placement, RecordError, SignedRecord};
use crate::sign::{Keyring, Role};
use crate::snapshot::SnapshotProgress;

/// Number of records after a writer's last one for which its sequence number is kept. A lost append
/// is resolved long before that many records follow it.
const WRITER_WINDOW: u64 = 200_000;

/// Number of first verdicts kept for each writer. An operator's command writes one record, and a
/// host has at most one append outstanding.
const VERDICTS_PER_WRITER: usize = 4;

/// Number of records between two removals of old writers.
const PRUNE_INTERVAL: u64 = 1024;

/// A routing resource in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Resource {
    /// Name of the resource.
    pub name: ResourceName,
    /// Revision at which it was accepted.
    pub revision: Revision,
    /// Wall clock time of the operator that published it.
    pub accepted: UnixMillis,
    /// The declared contents.
    pub spec: RoutingSpec,
}

/// The last change of a shard's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerChange {
    /// The owner before the change. The new owner waits until it releases the shard.
    pub from: Member,
    /// Revision of the placement that made the change.
    pub revision: Revision,
}

/// Result of replaying a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The record is valid and in force.
    Accepted {
        /// Revision of the state with the record.
        revision: Revision,
    },
    /// The record is valid but does not change the state, as with parts of a snapshot.
    Noted,
    /// An earlier copy of the record has been replayed.
    Duplicate,
    /// Another record on the same subject was accepted first.
    Conflict {
        /// Revision of the subject in force.
        current: Revision,
    },
    /// The record can never be accepted.
    Rejected {
        /// Reason, stored in the view and sent to operators.
        reason: String,
    },
}

/// Replay cannot continue.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ReplayError {
    /// A record with a valid signature does not decode, so a newer version must have written it.
    #[snafu(display("record {offset} needs a newer version: {source}"))]
    Newer {
        /// The record's offset.
        offset: Offset,
        /// The decoder's error.
        source: RecordError,
    },
}

/// Sequence, offset and first verdicts of a writer's newest records.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
struct WriterState {
    sequence: u64,
    offset: Offset,
    verdicts: SmallVec<[FirstVerdict; 1]>,
}

/// The first verdict on a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FirstVerdict {
    sequence: u64,
    /// First 8 bytes of the SHA-256 digest of the signed bytes. If a writer uses a sequence number
    /// for two records, the second must not be answered with the verdict on the first.
    digest: u64,
    verdict: Verdict,
}

fn digest_prefix(signed: &[u8]) -> u64 {
    let sum = digest(&SHA256, signed);
    let start = sum.as_ref().first_chunk::<8>();
    start.map_or(0, |b| u64::from_be_bytes(*b))
}

/// The state of the deployment at one revision.
///
/// Invariant: the view is a function of the replayed records alone. No field depends on the clock,
/// on the replaying host, or on the insertion order of map entries.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Revision of the newest accepted record.
    pub revision: Revision,
    /// Offset of the next record to replay.
    pub next: Offset,
    /// Routing resources by name.
    pub resources: BTreeMap<ResourceName, Arc<Resource>>,
    /// Live incarnations of entry hosts.
    pub hosts: Arc<BTreeMap<HostId, HostRecord>>,
    /// The last change of owner of each shard that was ever moved, by service and shard.
    pub owner_changes: BTreeMap<ServiceName, Arc<BTreeMap<Shard, OwnerChange>>>,
    /// Leases of hosts and dispatcher assignments of upstreams.
    pub records: Arc<Records>,
    /// Live incarnations that have announced to leave.
    pub leaving: Arc<BTreeSet<HostId>>,
    /// Shard tables by service.
    pub tables: BTreeMap<ServiceName, Arc<Table>>,
    /// Revision of the newest placement decision.
    pub placement: Revision,
    /// Progress of the snapshots in the log.
    pub snapshot_progress: SnapshotProgress,
    raised_level: u16,
    /// The first record of a batch copies this map, because the published view shares it. Entries
    /// are shared to keep that copy cheap: at 19,000 writers this halves the time of a Config
    /// record.
    writers: Arc<BTreeMap<WriterId, Arc<WriterState>>>,
}

impl View {
    /// Returns true if a host is live and not about to leave.
    pub fn is_active(&self, host: HostId) -> bool {
        self.hosts.contains_key(&host) && !self.leaving.contains(&host)
    }

    /// Returns a declared service and the resource that declares it.
    pub fn service(&self, name: &ServiceName) -> Option<(&Resource, &Service)> {
        self.resources.values().find_map(|resource| {
            let service = resource.spec.services.iter().find(|s| s.name == *name)?;
            Some((&**resource, service))
        })
    }

    /// Returns all declared services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.resources.values().flat_map(|r| &r.spec.services)
    }

    /// Returns a declared upstream and its service.
    pub fn upstream(&self, name: &UpstreamName) -> Option<(&Service, &Upstream)> {
        let mut all = self
            .services()
            .flat_map(|s| s.upstreams.iter().map(move |u| (s, u)));
        all.find(|(_, u)| u.name == *name)
    }

    /// Returns the revision of the newest placement that moved a shard away from an upstream, or 0.
    pub fn last_owner_change_from(&self, service: &ServiceName, from: &UpstreamName) -> Revision {
        let (Some(table), Some(moved)) =
            (self.tables.get(service), self.owner_changes.get(service))
        else {
            return Revision(0);
        };
        let taken = moved.values().filter(|m| table.name(m.from) == Some(from));
        taken.map(|m| m.revision).max().unwrap_or_default()
    }

    /// Returns the record format level in force. No record with a higher format may be written.
    pub fn format_level(&self) -> u16 {
        self.raised_level.max(FORMAT_FIRST)
    }

    /// Returns the first verdict on the record with this writer, sequence number and signed bytes.
    /// Only the newest verdicts of recent writers are kept.
    pub fn verdict(&self, writer: WriterId, sequence: u64, signed: &[u8]) -> Option<Verdict> {
        let state = self.writers.get(&writer)?;
        let mut verdicts = state.verdicts.iter();
        let first =
            verdicts.find(|v| v.sequence == sequence && v.digest == digest_prefix(signed))?;
        Some(first.verdict.clone())
    }

    /// Replays one stored record.
    ///
    /// # Errors
    ///
    /// Fails if a validly signed record does not decode, or raises the format level above that of
    /// this build. The view is unchanged then.
    pub fn apply(
        &mut self,
        offset: Offset,
        data: &[u8],
        keys: &Keyring,
    ) -> Result<Verdict, ReplayError> {
        let verdict = self.apply_record(offset, data, keys)?;
        self.next = offset.next();
        if let Verdict::Accepted { revision } = verdict {
            self.revision = revision;
        }
        if offset.0.is_multiple_of(PRUNE_INTERVAL) {
            let oldest = offset.0.saturating_sub(WRITER_WINDOW);
            Arc::make_mut(&mut self.writers).retain(|_, w| w.offset.0 >= oldest);
        }
        Ok(verdict)
    }

    /// Verifies and decodes a record, applies its decision and stores the verdict.
    fn apply_record(
        &mut self,
        offset: Offset,
        data: &[u8],
        keys: &Keyring,
    ) -> Result<Verdict, ReplayError> {
        // Data that is not signed with a known key does not come from this deployment. It must not
        // stop the replay, so it is rejected.
        let Ok(signed) = SignedRecord::decode(data) else {
            return Ok(rejected("not a signed record"));
        };
        let Some(role) = keys.verify(signed.key(), signed.signed_bytes(), signed.signature())
        else {
            return Ok(rejected("unknown key or bad signature"));
        };
        let newer = |source| ReplayError::Newer { offset, source };
        let format = signed.format().map_err(newer)?;
        if format > self.format_level() {
            let level = self.format_level();
            return Ok(rejected(&format!(
                "format {format} is above the level {level}"
            )));
        }
        let envelope = signed.envelope().map_err(newer)?;
        let (writer, sequence) = (envelope.writer, envelope.sequence);
        let last = self.writers.get(&writer);
        if last.is_some_and(|w| sequence <= w.sequence) {
            return Ok(Verdict::Duplicate);
        }
        if let Body::FormatLevel { format } = envelope.body
            && format > FORMAT
            && self.check_new_level(format).is_none()
            && role == Role::Operator
        {
            return Err(newer(RecordError::NewerFormat { format }));
        }
        self.snapshot_progress.start_interval(offset, envelope.time);
        let verdict = self.apply_body(offset, envelope, role);
        let first = FirstVerdict {
            sequence,
            digest: digest_prefix(signed.signed_bytes()),
            verdict: verdict.clone(),
        };
        let entry = Arc::make_mut(&mut self.writers).entry(writer).or_default();
        let state = Arc::make_mut(entry);
        (state.sequence, state.offset) = (sequence, offset);
        if state.verdicts.len() == VERDICTS_PER_WRITER {
            state.verdicts.remove(0);
        }
        state.verdicts.push(first);
        Ok(verdict)
    }

    /// Returns the reason why the level cannot be raised to `format`, if there is one.
    fn check_new_level(&self, format: u16) -> Option<String> {
        if format <= self.format_level() {
            return Some(format!("the level is {} already", self.format_level()));
        }
        let old = self.hosts.values().find(|h| h.format < format)?;
        Some(format!(
            "host {} supports formats up to {}",
            old.name, old.format
        ))
    }

    /// Applies the decision of a verified record if the rules accept it.
    fn apply_body(&mut self, offset: Offset, envelope: Envelope, role: Role) -> Verdict {
        let revision = offset.revision();
        let accepted = Verdict::Accepted { revision };
        let required = match envelope.body {
            Body::Config(_) | Body::FormatLevel { .. } => Role::Operator,
            _ => Role::Host,
        };
        if role != required {
            return rejected(&format!("needs a key of the role {required}"));
        }
        match envelope.body {
            Body::Config(routing) => self.apply_config(revision, envelope.time, *routing),
            Body::Joined(host) if host.format < self.format_level() => {
                rejected("the host does not support the level in force")
            }
            // A second record of the host, written after a lost answer, must not expire the host as
            // its own predecessor.
            Body::Joined(host) if self.hosts.contains_key(&host.id) => {
                rejected("the host has joined already")
            }
            Body::Joined(host) => {
                self.add_host(host);
                accepted
            }
            Body::Left { host } | Body::Expired { host } if self.hosts.contains_key(&host) => {
                self.remove_host(host);
                accepted
            }
            Body::Leaving { host } if self.hosts.contains_key(&host) => {
                Arc::make_mut(&mut self.leaving).insert(host);
                accepted
            }
            Body::Left { .. } | Body::Expired { .. } | Body::Leaving { .. } => {
                rejected("the host is not live")
            }
            Body::Lease(lease) if !self.hosts.contains_key(&lease.holder) => {
                rejected("the holder is not live")
            }
            Body::Lease(lease) => {
                if Arc::make_mut(&mut self.records).apply_lease(lease) {
                    accepted
                } else {
                    rejected("the lease is not sound or its generation is not the next")
                }
            }
            Body::Snapshot(part) => {
                self.snapshot_progress
                    .record_part(envelope.writer, &part, offset, envelope.time);
                Verdict::Noted
            }
            Body::Placement(_) if envelope.base != self.placement => Verdict::Conflict {
                current: self.placement,
            },
            Body::Placement(placement) => self.apply_placement(revision, &placement),
            Body::FormatLevel { format } => {
                if let Some(reason) = self.check_new_level(format) {
                    return rejected(&reason);
                }
                self.raised_level = format;
                accepted
            }
        }
    }

    /// Adds a host and removes earlier incarnations at its peer address. They have ended: a host
    /// writes this record after it has bound the address, which only one process can hold.
    fn add_host(&mut self, host: HostRecord) {
        let same = |old: &&HostRecord| old.addresses.peer == host.addresses.peer;
        let replaced: Vec<_> = self.hosts.values().filter(same).map(|old| old.id).collect();
        for id in replaced {
            self.remove_host(id);
        }
        Arc::make_mut(&mut self.hosts).insert(host.id, host);
    }

    fn remove_host(&mut self, host: HostId) {
        Arc::make_mut(&mut self.hosts).remove(&host);
        if self.leaving.contains(&host) {
            Arc::make_mut(&mut self.leaving).remove(&host);
        }
        Arc::make_mut(&mut self.records).apply_expiry(host);
    }

    fn apply_config(&mut self, revision: Revision, time: UnixMillis, routing: Routing) -> Verdict {
        let current = self
            .resources
            .get(&routing.name)
            .map_or(Revision(0), |r| r.revision);
        if routing.revision != current {
            return Verdict::Conflict { current };
        }
        if let Some(reason) = self.find_declaration_conflict(&routing) {
            return rejected(&reason);
        }
        let resource = Resource {
            name: routing.name,
            revision,
            accepted: time,
            spec: routing.spec,
        };
        self.resources
            .insert(resource.name.clone(), Arc::new(resource));
        let declared = |name: &ServiceName| {
            self.resources
                .values()
                .any(|r| r.spec.services.iter().any(|s| s.name == *name))
        };
        let undeclared: Vec<_> = self
            .tables
            .keys()
            .filter(|n| !declared(n))
            .cloned()
            .collect();
        for name in undeclared {
            self.tables.remove(&name);
            self.owner_changes.remove(&name);
        }
        Verdict::Accepted { revision }
    }

    /// Returns the reason for rejecting a resource that declares a service, upstream or address of
    /// another resource. Two upstreams at one address would have two dispatchers, each of which
    /// would use all slots.
    fn find_declaration_conflict(&self, routing: &Routing) -> Option<String> {
        let collides = |u: &Upstream, v: &Upstream| u.name == v.name || u.address == v.address;
        let others = || self.resources.values().filter(|r| r.name != routing.name);
        routing.spec.services.iter().find_map(|service| {
            let same = |s: &&Service| {
                s.name == service.name
                    || s.upstreams
                        .iter()
                        .any(|u| service.upstreams.iter().any(|v| collides(u, v)))
            };
            let other = others().find(|r| r.spec.services.iter().any(|s| same(&s)))?;
            Some(format!(
                "service {}, or an upstream or address of it, is declared by resource {}",
                service.name, other.name
            ))
        })
    }

    fn apply_placement(&mut self, revision: Revision, placement: &Placement) -> Verdict {
        let mut tables = self.tables.clone();
        for (service, change) in &placement.changes {
            if self.service(service).is_none() {
                return rejected(&format!("service {service} is not declared"));
            }
            let table = tables.entry(service.clone()).or_default();
            if let Err(e) = Arc::make_mut(table).apply(change) {
                return rejected(&format!("service {service}: {e}"));
            }
        }
        for (name, table) in &tables {
            if let Some(old) = self.tables.get(name).filter(|old| !Arc::ptr_eq(old, table)) {
                let moved = Arc::make_mut(self.owner_changes.entry(name.clone()).or_default());
                moved.extend(changed_owners(old, table, revision));
            }
        }
        self.tables = tables;
        let records = Arc::make_mut(&mut self.records);
        for ranking in &placement.assignments {
            records.apply_assignment(&ranking.upstream, ranking.hosts.iter().copied());
        }
        self.placement = revision;
        Verdict::Accepted { revision }
    }
}

fn changed_owners(old: &Table, new: &Table, revision: Revision) -> Vec<(Shard, OwnerChange)> {
    let pairs = (0..)
        .map(Shard)
        .zip(old.replica_sets().iter().zip(new.replica_sets()));
    let changed = pairs.filter(|(_, (before, after))| before.owner != after.owner);
    changed
        .map(|(shard, (before, _))| {
            (
                shard,
                OwnerChange {
                    from: before.owner,
                    revision,
                },
            )
        })
        .collect()
}

fn rejected(reason: &str) -> Verdict {
    Verdict::Rejected {
        reason: reason.to_owned(),
    }
}
