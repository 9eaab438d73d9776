//! One host's view of the registry.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use trefoil_core::{ServiceName, Tick, UpstreamName};

use crate::{Incarnation, Registration, Tag};

/// Time after the return of the registry in which live upstreams register again. One that is
/// missing after it is gone.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Time for which the counter of a vanished upstream is remembered, so that a late registration
/// does not bring it back. Late writes arrive within seconds.
const MEMORY: Duration = Duration::from_mins(1);

/// What changed in the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An upstream appeared, or a new life of it.
    Joined(Rc<Registration>),
    /// An upstream says something new of itself.
    Updated(Rc<Registration>),
    /// An upstream is gone.
    Removed(Rc<Registration>),
}

#[derive(Debug)]
struct Entry {
    registration: Rc<Registration>,
    digest: u64,
    /// Set if the upstream is not in the registry any more and is gone at this tick.
    vanishes: Option<Tick>,
}

/// What says that an upstream is gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Proof {
    /// The registry, which this host has read.
    Registry,
    /// Another host, whose view can be older than this one's.
    Hearsay,
}

#[derive(Debug)]
struct Forgotten {
    registration: Rc<Registration>,
    proof: Proof,
    until: Tick,
}

impl Forgotten {
    /// Whether a registration is from before the upstream was gone. The one that was known last
    /// counts again if only another host has missed it.
    fn outdates(&self, registration: &Registration) -> bool {
        let (known, found) = (self.registration.order(), registration.order());
        found < known || (found == known && self.proof == Proof::Registry)
    }
}

/// One host's view of the registry.
#[derive(Debug, Default)]
pub struct Directory {
    entries: BTreeMap<UpstreamName, Entry>,
    tags: HashMap<Tag, UpstreamName>,
    forgotten: HashMap<UpstreamName, Forgotten>,
    /// When the registry returned from its last outage.
    returned: Option<Tick>,
    /// Digest of all entries.
    digest: u64,
}

impl Directory {
    /// The registry answers again after an outage.
    pub fn on_registry_return(&mut self, now: Tick) {
        self.returned = Some(now);
    }

    /// Takes in a registration. One that is older than what is known changes nothing.
    pub fn register(&mut self, registration: Registration) -> Option<Change> {
        let name = registration.incarnation.name.clone();
        let order = registration.order();
        let forgotten = self.forgotten.get(&name);
        if forgotten.is_some_and(|f| f.outdates(&registration)) {
            return None;
        }
        self.forgotten.remove(&name);
        let registration = Rc::new(registration);
        let Some(entry) = self.entries.get_mut(&name) else {
            self.tags.insert(Tag::of(&name), name.clone());
            let entry = Entry {
                digest: registration.digest(),
                registration: Rc::clone(&registration),
                vanishes: None,
            };
            self.digest ^= entry.digest;
            self.entries.insert(name, entry);
            return Some(Change::Joined(registration));
        };
        if order < entry.registration.order() {
            return None;
        }
        entry.vanishes = None;
        let earlier = std::mem::replace(&mut entry.registration, Rc::clone(&registration));
        match () {
            () if registration.is_renewal_of(&earlier) => None,
            () => {
                let before = std::mem::replace(&mut entry.digest, registration.digest());
                self.digest ^= before ^ entry.digest;
                Some(if earlier.incarnation == registration.incarnation {
                    Change::Updated(registration)
                } else {
                    Change::Joined(registration)
                })
            }
        }
    }

    /// Takes in that an upstream is not in the registry any more.
    pub fn mark_missing(&mut self, now: Tick, name: &UpstreamName) -> Option<Change> {
        let grace = self.returned.map(|at| at.after(RECOVERY_GRACE));
        let entry = self.entries.get_mut(name)?;
        match grace {
            Some(until) if now < until => {
                entry.vanishes.get_or_insert(until);
                None
            }
            _ => self.remove(now, name, Proof::Registry),
        }
    }

    /// Another host says that an upstream is gone.
    pub fn remove_reported(&mut self, now: Tick, incarnation: &Incarnation) -> Option<Change> {
        let known = self.get(&incarnation.name)?;
        if known.incarnation != *incarnation {
            return None;
        }
        self.remove(now, &incarnation.name, Proof::Hearsay)
    }

    /// Takes in the whole registry: upstreams that it does not list have vanished. `unreadable` are
    /// names under which it has something else than a registration, which says nothing about them.
    pub fn replace_from_registry(
        &mut self,
        now: Tick,
        listed: Vec<Registration>,
        unreadable: &[UpstreamName],
    ) -> Vec<Change> {
        let missing = self.missing(&listed, unreadable);
        let mut changes = self.register_all(listed);
        changes.extend(
            missing
                .iter()
                .filter_map(|name| self.mark_missing(now, name)),
        );
        changes
    }

    /// Takes over the directory of another host.
    pub fn replace_from_peer(&mut self, now: Tick, listed: Vec<Registration>) -> Vec<Change> {
        let missing = self.missing(&listed, &[]);
        let mut changes = self.register_all(listed);
        let gone = missing.iter();
        changes.extend(gone.filter_map(|name| self.remove(now, name, Proof::Hearsay)));
        changes
    }

    fn register_all(&mut self, listed: Vec<Registration>) -> Vec<Change> {
        let changes = listed.into_iter().filter_map(|r| self.register(r));
        changes.collect()
    }

    /// Upstreams that are not listed.
    fn missing(&self, listed: &[Registration], unreadable: &[UpstreamName]) -> Vec<UpstreamName> {
        let listed = listed.iter().map(|r| &r.incarnation.name);
        let known: HashSet<&UpstreamName> = listed.chain(unreadable).collect();
        let missing = self.entries.keys().filter(|name| !known.contains(name));
        missing.cloned().collect()
    }

    /// Removes the upstreams whose grace has passed.
    pub fn expire(&mut self, now: Tick) -> Vec<Change> {
        self.forgotten.retain(|_, f| now < f.until);
        let due = |e: &Entry| e.vanishes.is_some_and(|at| at <= now);
        let names = self.entries.iter().filter(|(_, e)| due(e));
        let names: Vec<UpstreamName> = names.map(|(name, _)| name.clone()).collect();
        names
            .iter()
            .filter_map(|name| self.remove(now, name, Proof::Registry))
            .collect()
    }

    fn remove(&mut self, now: Tick, name: &UpstreamName, proof: Proof) -> Option<Change> {
        let entry = self.entries.remove(name)?;
        self.digest ^= entry.digest;
        self.tags.remove(&Tag::of(name));
        let forgotten = Forgotten {
            registration: Rc::clone(&entry.registration),
            proof,
            until: now.after(MEMORY),
        };
        self.forgotten.insert(name.clone(), forgotten);
        Some(Change::Removed(entry.registration))
    }

    /// Digest of all upstreams. Two directories with the same one are the same but for counters
    /// and the rest of warmups.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Whether every upstream is known to be in the registry. After an outage those that are missing
    /// there are kept for a while.
    pub fn is_settled(&self) -> bool {
        self.entries.values().all(|e| e.vanishes.is_none())
    }

    /// An upstream by its name.
    pub fn get(&self, name: &UpstreamName) -> Option<&Rc<Registration>> {
        self.entries.get(name).map(|e| &e.registration)
    }

    /// An upstream by its name, also for a while after it is gone.
    pub fn get_recent(&self, name: &UpstreamName) -> Option<&Rc<Registration>> {
        let gone = || self.forgotten.get(name).map(|f| &f.registration);
        self.get(name).or_else(gone)
    }

    /// When the next upstream counts as gone that has vanished.
    pub fn next_expiry(&self) -> Option<Tick> {
        self.entries.values().filter_map(|e| e.vanishes).min()
    }

    /// An upstream by its tag.
    pub fn by_tag(&self, tag: Tag) -> Option<&Rc<Registration>> {
        self.get(self.tags.get(&tag)?)
    }

    /// All upstreams, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Rc<Registration>> {
        self.entries.values().map(|e| &e.registration)
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

    /// Whether no upstream is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
