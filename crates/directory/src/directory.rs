//! One host's view of the registry.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use trefoil_core::{ServiceName, Tick, UpstreamName};

use crate::{Incarnation, Registration, Upstream, UpstreamId};

/// Grace period after an outage of the registry, in which live upstreams register again. An
/// upstream that is still missing afterwards is removed.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Time for which the sequence number of a removed upstream is remembered, so that a late
/// registration does not restore it. Late writes arrive within seconds.
const TOMBSTONE_TTL: Duration = Duration::from_mins(1);

/// A change of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An upstream was added, or has restarted, which ends its former run.
    Joined {
        /// The upstream.
        upstream: Upstream,
        /// Its former run.
        former: Option<UpstreamId>,
    },
    /// An upstream has changed its registration.
    Updated(Upstream),
    /// An upstream that warms up has registered again. Only the time of arrival tells whether the
    /// remaining time is that of the same warm-up, or whether the upstream has become cold again.
    Renewed(Upstream),
    /// An upstream was removed.
    Removed(Upstream),
}

#[derive(Debug)]
struct Entry {
    upstream: Upstream,
    digest: u64,
    /// Tick at which an upstream that is missing from the registry is removed.
    remove_at: Option<Tick>,
}

/// Source of the information that an upstream has left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The registry, as read by this host.
    Registry,
    /// Another host, whose view can be older than this one's.
    Peer,
}

#[derive(Debug)]
struct Tombstone {
    registration: Rc<Registration>,
    evidence: Evidence,
    until: Tick,
}

impl Tombstone {
    /// Returns whether `registration` predates the removal. If only a peer has reported the
    /// removal, the last known registration itself does not, because the peer may have had an older
    /// view.
    fn supersedes(&self, registration: &Registration) -> bool {
        let (known, found) = (self.registration.order(), registration.order());
        found < known || (found == known && self.evidence == Evidence::Registry)
    }
}

/// Return of the registry from an older copy.
#[derive(Debug, Clone, Copy)]
struct Restore {
    /// End of the grace period.
    until: Tick,
    /// The registry has not been read completely since the return.
    unread: bool,
}

/// One host's view of the registry.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<UpstreamName, Entry>,
    /// Names of the listed upstreams.
    names: HashMap<UpstreamId, UpstreamName>,
    /// Number of runs that have got an identifier.
    runs: u64,
    tombstones: HashMap<UpstreamName, Tombstone>,
    /// End of the registry's last outage.
    recovered_at: Option<Tick>,
    /// Return of the registry from an older copy, until the registry has been read completely after
    /// the grace period.
    restore: Option<Restore>,
    /// XOR of the digests of all entries.
    digest: u64,
}

impl Directory {
    /// Starts the grace period after an outage of the registry.
    pub fn on_registry_return(&mut self, now: Tick) {
        self.recovered_at = Some(now);
    }

    /// Starts the grace period after the registry has come back from an older copy.
    ///
    /// The copy lacks upstreams that registered later, and lists ones that have left since. A
    /// registration of the copy proves no life, whatever its position: it may be newer than the
    /// last one that this host knows of, and still be older than the removal. So an upstream that
    /// was removed before returns with a registration that is newer than that of the copy. An
    /// upstream that was removed wrongly, or registers again at the same position, cannot be told
    /// from one that has left until the registry has had the time to drop silent ones: if it is
    /// still listed after the grace period, it returns with the complete read that is due then.
    /// That read also decides on the upstreams that were missing in the copy.
    pub fn on_registry_restored(&mut self, now: Tick) {
        let until = now.after(RECOVERY_GRACE);
        self.recovered_at = Some(now);
        self.restore = Some(Restore {
            until,
            unread: true,
        });
        for tombstone in self.tombstones.values_mut() {
            tombstone.until = tombstone.until.min(until);
        }
    }

    /// Returns whether the registry must be read completely, because the grace period after its
    /// return from an older copy has ended since the last such read.
    pub fn needs_complete_read(&self, now: Tick) -> bool {
        self.restore.is_some_and(|r| r.until <= now)
    }

    /// Applies a registration, unless it is older than the known one.
    pub fn register(&mut self, registration: Registration) -> Option<Change> {
        let name = registration.incarnation.name.clone();
        let order = registration.order();
        let tombstone = self.tombstones.get(&name);
        if tombstone.is_some_and(|f| f.supersedes(&registration)) {
            return None;
        }
        self.tombstones.remove(&name);
        let registration = Rc::new(registration);
        let Some(entry) = self.entries.get_mut(&name) else {
            let upstream = Upstream {
                id: self.assign_id(&name),
                registration,
            };
            let entry = Entry {
                digest: upstream.registration.digest(),
                upstream: upstream.clone(),
                remove_at: None,
            };
            self.digest ^= entry.digest;
            self.entries.insert(name, entry);
            return Some(Change::Joined {
                upstream,
                former: None,
            });
        };
        if order < entry.upstream.registration.order() {
            return None;
        }
        entry.remove_at = None;
        let earlier = std::mem::replace(&mut entry.upstream.registration, registration);
        let registration = &entry.upstream.registration;
        if registration.is_renewal_of(&earlier) {
            let is_later = earlier.sequence < registration.sequence;
            return (is_later && !registration.warmup.is_zero())
                .then(|| Change::Renewed(entry.upstream.clone()));
        }
        let before = std::mem::replace(&mut entry.digest, registration.digest());
        self.digest ^= before ^ entry.digest;
        if earlier.incarnation == registration.incarnation {
            return Some(Change::Updated(entry.upstream.clone()));
        }
        let former = entry.upstream.id;
        self.names.remove(&former);
        let id = self.assign_id(&name);
        let entry = self.entries.get_mut(&name)?;
        entry.upstream.id = id;
        Some(Change::Joined {
            upstream: entry.upstream.clone(),
            former: Some(former),
        })
    }

    fn assign_id(&mut self, name: &UpstreamName) -> UpstreamId {
        self.runs += 1;
        let id = UpstreamId(self.runs);
        self.names.insert(id, name.clone());
        id
    }

    /// Applies a registration that another host has reported. Unlike one that was read from the
    /// registry, it must be newer than all that is known of the upstream. So each report changes a
    /// directory at most once, and hosts that pass reports on to each other come to an end.
    pub fn register_reported(&mut self, registration: Registration) -> Option<Change> {
        let name = &registration.incarnation.name;
        let listed = self.entries.get(name);
        let listed = listed.map(|e| e.upstream.registration.order());
        let removed = self.tombstones.get(name).map(|t| t.registration.order());
        if listed.max(removed) >= Some(registration.order()) {
            return None;
        }
        self.register(registration)
    }

    /// Applies a renewal of a listed upstream that warms up, which another host has reported. It
    /// tells nothing of whether the upstream is still listed, so it may come from an older view.
    pub fn renew_reported(&mut self, registration: Registration) -> Option<Change> {
        let entry = self.entries.get_mut(&registration.incarnation.name)?;
        let known = &mut entry.upstream.registration;
        let is_later = known.order() < registration.order();
        if !is_later || !registration.is_renewal_of(known) || registration.warmup.is_zero() {
            return None;
        }
        *known = Rc::new(registration);
        Some(Change::Renewed(entry.upstream.clone()))
    }

    /// Records that an upstream is missing from the registry, which removes it at once or after the
    /// grace period.
    pub fn mark_missing(&mut self, now: Tick, name: &UpstreamName) -> Option<Change> {
        let grace = self.recovered_at.map(|at| at.after(RECOVERY_GRACE));
        let entry = self.entries.get_mut(name)?;
        match grace {
            Some(until) if now < until => {
                entry.remove_at.get_or_insert(until);
                None
            }
            _ => self.remove(now, name, Evidence::Registry),
        }
    }

    /// Removes an upstream whose registration with this sequence number another host has reported
    /// as gone. Earlier registrations are gone as well, and later ones stay. Earlier builds report
    /// no sequence number.
    pub fn remove_reported(
        &mut self,
        now: Tick,
        incarnation: &Incarnation,
        sequence: Option<u64>,
    ) -> Option<Change> {
        let known = self.get(&incarnation.name)?;
        let is_gone = match sequence {
            Some(sequence) => known.order() <= (incarnation.started, sequence),
            None => known.incarnation == *incarnation,
        };
        if !is_gone {
            return None;
        }
        self.remove(now, &incarnation.name, Evidence::Peer)
    }

    /// Applies a complete read of the registry: upstreams that it does not list are missing.
    /// `unreadable` lists names whose entries are not valid registrations, which leaves those
    /// upstreams unchanged.
    pub fn replace_from_registry(
        &mut self,
        now: Tick,
        listed: Vec<Registration>,
        unreadable: &[UpstreamName],
    ) -> Vec<Change> {
        match self.restore {
            Some(restore) if restore.until <= now => self.restore = None,
            Some(restore) if restore.unread => {
                self.doubt_copy(&listed);
                self.restore = Some(Restore {
                    unread: false,
                    ..restore
                });
            }
            _ => {}
        }
        let missing = self.missing(&listed, unreadable);
        let mut changes = self.register_all(listed);
        changes.extend(
            missing
                .iter()
                .filter_map(|name| self.mark_missing(now, name)),
        );
        changes
    }

    /// Makes the removal of each upstream that a copy lists supersede the registration in the copy.
    fn doubt_copy(&mut self, listed: &[Registration]) {
        for registration in listed {
            let name = &registration.incarnation.name;
            match self.tombstones.get_mut(name) {
                Some(tombstone)
                    if tombstone.registration.incarnation == registration.incarnation
                        && tombstone.registration.order() <= registration.order() =>
                {
                    tombstone.registration = Rc::new(registration.clone());
                    tombstone.evidence = Evidence::Registry;
                }
                _ => {}
            }
        }
    }

    /// Replaces the content by the directory of another host. After a return of the registry from
    /// an older copy, that host may never have known the upstreams that are missing in the copy.
    pub fn replace_from_peer(&mut self, now: Tick, listed: Vec<Registration>) -> Vec<Change> {
        let missing = self.missing(&listed, &[]);
        let missing = missing.iter();
        if self.restore.is_some_and(|r| now < r.until) {
            let listed = listed.into_iter();
            let mut changes: Vec<Change> =
                listed.filter_map(|r| self.register_reported(r)).collect();
            changes.extend(missing.filter_map(|name| self.mark_missing(now, name)));
            return changes;
        }
        let mut changes = self.register_all(listed);
        changes.extend(missing.filter_map(|name| self.remove(now, name, Evidence::Peer)));
        changes
    }

    fn register_all(&mut self, listed: Vec<Registration>) -> Vec<Change> {
        let changes = listed.into_iter().filter_map(|r| self.register(r));
        changes.collect()
    }

    /// Known upstreams that are not listed.
    fn missing(&self, listed: &[Registration], unreadable: &[UpstreamName]) -> Vec<UpstreamName> {
        let listed = listed.iter().map(|r| &r.incarnation.name);
        let known: HashSet<&UpstreamName> = listed.chain(unreadable).collect();
        let missing = self.entries.keys().filter(|name| !known.contains(name));
        missing.cloned().collect()
    }

    /// Records that another host with the same content has found all upstreams listed later than
    /// this host found some missing: they have registered again.
    pub fn confirm_listed(&mut self) {
        // After a return from an older copy, hosts also agree on upstreams that are missing in it.
        if self.restore.is_none() {
            for entry in self.entries.values_mut() {
                entry.remove_at = None;
            }
        }
    }

    /// Removes the upstreams that are still missing after their grace period. `read_as_of` is the
    /// moment as of which the registry was read last: a read from before the end of the period does
    /// not show that an upstream has not returned. If the registry cannot be read, the period is
    /// doubled. After a return from an older copy, the complete read that follows decides.
    pub fn expire(&mut self, now: Tick, read_as_of: Option<Tick>) -> Vec<Change> {
        self.tombstones.retain(|_, f| now < f.until);
        if self.restore.is_some() {
            return Vec::new();
        }
        let is_due =
            |at: Tick| read_as_of.is_some_and(|read| at <= read) || at.after(RECOVERY_GRACE) <= now;
        let due = |e: &Entry| e.remove_at.is_some_and(is_due);
        let names = self.entries.iter().filter(|(_, e)| due(e));
        let names: Vec<UpstreamName> = names.map(|(name, _)| name.clone()).collect();
        names
            .iter()
            .filter_map(|name| self.remove(now, name, Evidence::Registry))
            .collect()
    }

    fn remove(&mut self, now: Tick, name: &UpstreamName, evidence: Evidence) -> Option<Change> {
        let entry = self.entries.remove(name)?;
        self.digest ^= entry.digest;
        self.names.remove(&entry.upstream.id);
        let tombstone = Tombstone {
            registration: Rc::clone(&entry.upstream.registration),
            evidence,
            until: now.after(TOMBSTONE_TTL),
        };
        self.tombstones.insert(name.clone(), tombstone);
        Some(Change::Removed(entry.upstream))
    }

    /// Digest of all upstreams. Directories with equal digests differ at most in sequence numbers
    /// and remaining warmups.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns whether other hosts may copy this directory. After an outage of the registry,
    /// missing upstreams are kept for the grace period, and another host may know that they have
    /// left. After a return from an older copy, every host keeps what it knows beyond the copy.
    pub fn is_settled(&self) -> bool {
        self.restore.is_some() || self.entries.values().all(|e| e.remove_at.is_none())
    }

    /// An upstream by its name.
    pub fn get(&self, name: &UpstreamName) -> Option<&Rc<Registration>> {
        self.entries.get(name).map(|e| &e.upstream.registration)
    }

    /// An upstream by its name, also for a while after its removal.
    pub fn get_recent(&self, name: &UpstreamName) -> Option<&Rc<Registration>> {
        let gone = || self.tombstones.get(name).map(|f| &f.registration);
        self.get(name).or_else(gone)
    }

    /// The next tick at which a missing upstream is removed.
    pub fn next_expiry(&self) -> Option<Tick> {
        self.entries.values().filter_map(|e| e.remove_at).min()
    }

    /// An upstream by its name, with the identifier of its run.
    pub fn upstream(&self, name: &UpstreamName) -> Option<&Upstream> {
        self.entries.get(name).map(|e| &e.upstream)
    }

    /// An upstream by the identifier of its run, unless that has ended.
    pub fn by_id(&self, id: UpstreamId) -> Option<&Upstream> {
        self.upstream(self.names.get(&id)?)
    }

    /// The identifier of a run, unless it has ended.
    pub fn id_of(&self, incarnation: &Incarnation) -> Option<UpstreamId> {
        let upstream = self.upstream(&incarnation.name)?;
        (upstream.registration.incarnation == *incarnation).then_some(upstream.id)
    }

    /// All upstreams, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Registration>> {
        self.entries.values().map(|e| &e.upstream.registration)
    }

    /// The upstreams of a service, by name.
    pub fn by_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Rc<Registration>> {
        self.iter().filter(move |r| r.service == *service)
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the directory is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
