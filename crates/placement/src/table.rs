//! The shard table of one service.
//!
//! A [`ReplicaSet`] takes 4 bytes, so a table of 2^20 shards takes 4 MiB and fits the last-level
//! cache. Keys that are too hot for their shard have entries of their own, at most
//! [`HOT_KEYS_MAX`]. Entries are sorted by key: 4,096 keys of 8 bytes fit the L1 cache, and a sorted
//! list, unlike a hash table with a random seed, is equal and serialized equally on all hosts.
//!
//! A replica set never has a lost standby while its owner is live: the loss of a standby makes the
//! owner its own standby until a plan assigns another. A shard whose owner and standby are both
//! lost keeps its replica set; [`Table::is_lost`] then returns true for the owner, and no member
//! serves the shard.
//!
//! Two limits come from the design. A log record has at most 256 KiB, so a table of full size is
//! not created by one [`Change::Reset`] but by [`Change::Vacant`], [`Change::Join`] and
//! [`Change::Moves`] in batches of [`MOVES_PER_CHANGE`]. A [`Member`] has 16 bits and a lost member
//! keeps its index. With 3,810 host events a day the indices above 19,000 would last 12 days, so
//! [`Change::Replace`] reuses the indices of lost members.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::Snafu;
use trefoil_core::{Bytes, KeyHash, Shard, UpstreamName};

/// Largest number of hot-key entries of a table.
pub const HOT_KEYS_MAX: usize = 4096;

/// Largest number of members of a table: all values of a [`Member`] except [`Member::NONE`].
pub const MEMBERS_MAX: usize = 65_535;

/// Largest number of moves in one change. A move of a hot key is at most 16 bytes long in postcard,
/// so the moves take at most 64 KiB of the 256 KiB of a log record.
pub const MOVES_PER_CHANGE: usize = 4096;

/// Largest number of members in one change. A name takes at most 64 bytes, so the names take at
/// most 128 KiB of a log record.
pub const MEMBERS_PER_CHANGE: usize = 2048;

/// Index of an upstream in the member list of its table. A lost member keeps its index until
/// [`Change::Replace`] assigns it to a new member.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    derive_more::From,
    derive_more::Into,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct Member(pub u16);

impl Member {
    /// The absence of a member. [`Table::is_lost`] returns true for it in every table.
    pub const NONE: Self = Self(u16::MAX);

    /// Returns the position of the member in the member list.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Owner and standby of one shard or hot key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The upstream that serves the keys.
    pub owner: Member,
    /// The upstream that becomes the owner if the owner is lost. Equal to the owner if there is no
    /// other.
    pub standby: Member,
}

/// A new replica set for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The shard.
    pub shard: Shard,
    /// Its new owner and standby.
    pub replicas: ReplicaSet,
}

impl ReplicaSet {
    /// The replica set of a shard that was never assigned.
    pub const VACANT: Self = Self {
        owner: Member::NONE,
        standby: Member::NONE,
    };
}

/// The replica set of one hot key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotMove {
    /// The key.
    pub key: KeyHash,
    /// Its owner and standby.
    pub replicas: ReplicaSet,
}

/// A new member that takes the index of a lost one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// The index.
    pub member: Member,
    /// The new member.
    pub name: UpstreamName,
}

/// A change of a table in the form that is written to the log.
///
/// New variants are added at the end, because postcard encodes a variant by its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates or replaces the table. The first replica set belongs to shard 0.
    Reset {
        /// The member list.
        members: Vec<UpstreamName>,
        /// One replica set for each shard.
        replica_sets: Vec<ReplicaSet>,
    },
    /// Appends members. They own nothing until a move assigns shards to them.
    Join {
        /// The new members, in the order of their indices.
        members: Vec<UpstreamName>,
    },
    /// Assigns new replica sets to shards.
    Moves {
        /// The moves.
        moves: Vec<Move>,
    },
    /// Marks members as lost and promotes the standbys of the units they own.
    Lost {
        /// The lost members.
        members: SmallVec<[Member; 4]>,
    },
    /// Adds entries for hot keys or replaces their existing entries.
    HotMoves {
        /// The entries.
        moves: Vec<HotMove>,
    },
    /// Removes hot-key entries. The keys return to the replica sets of their shards.
    HotDrops {
        /// The keys. A key without an entry is ignored.
        keys: Vec<KeyHash>,
    },
    /// Creates or replaces the table by one that has no members and only vacant shards.
    Vacant {
        /// Number of shards.
        shards: u32,
    },
    /// Assigns the indices of lost members to new members. No replica set may refer to such an
    /// index.
    Replace {
        /// The new members.
        members: Vec<Replacement>,
    },
}

/// Error of a change that cannot be applied to a table.
///
/// The log stores the text in the verdict on the record, and hosts of different builds must store the
/// same verdict, so the texts do not change.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// The number of shards is not a power of two.
    #[snafu(display("{count} shards is not a power of two"))]
    InvalidShardCount {
        /// Number of shards.
        count: usize,
    },
    /// A change refers to a member that does not exist.
    #[snafu(display("member {member} does not exist"))]
    UnknownMember {
        /// The member.
        member: Member,
    },
    /// A move refers to a lost member.
    #[snafu(display("member {member} was lost"))]
    LostMember {
        /// The member.
        member: Member,
    },
    /// The index of a new member belongs to a live member, occurs in a replica set or is given
    /// twice.
    #[snafu(display("index {member} is in use"))]
    IndexInUse {
        /// The member.
        member: Member,
    },
    /// There are more members than indices.
    #[snafu(display("{count} members, at most {MEMBERS_MAX} are allowed"))]
    TooManyMembers {
        /// Number of members after the change.
        count: usize,
    },
    /// There are more hot-key entries than allowed.
    #[snafu(display("{count} hot-key entries, at most {HOT_KEYS_MAX} are allowed"))]
    TooManyHotKeys {
        /// Number of entries after the change.
        count: usize,
    },
    /// A move refers to a shard that does not exist.
    #[snafu(display("shard {shard} does not exist"))]
    UnknownShard {
        /// The shard.
        shard: Shard,
    },
}

/// Owners and standbys of all shards and hot keys of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    members: Vec<UpstreamName>,
    lost: Vec<bool>,
    replica_sets: Vec<ReplicaSet>,
    /// Hot keys in ascending order; `hot_replica_sets` is in the same order.
    hot_keys: Vec<KeyHash>,
    hot_replica_sets: Vec<ReplicaSet>,
}

impl Table {
    /// Returns the names of all members in the order of their indices, including lost ones.
    pub fn members(&self) -> &[UpstreamName] {
        &self.members
    }

    /// Returns true if a member is lost or does not exist.
    pub fn is_lost(&self, member: Member) -> bool {
        self.lost.get(member.index()).copied().unwrap_or(true)
    }

    /// Returns the live member with the given name.
    pub fn member(&self, name: &UpstreamName) -> Option<Member> {
        let live = |(m, lost): (&UpstreamName, &bool)| m == name && !lost;
        let index = self.members.iter().zip(&self.lost).rposition(live)?;
        Some(Member(u16::try_from(index).ok()?))
    }

    /// Returns the name of a member.
    pub fn name(&self, member: Member) -> Option<&UpstreamName> {
        self.members.get(member.index())
    }

    /// Returns the members that are not lost.
    pub fn live_members(&self) -> impl Iterator<Item = (Member, &UpstreamName)> {
        let all = (0u16..).map(Member).zip(&self.members);
        all.filter(|(m, _)| !self.is_lost(*m))
    }

    /// Returns the replica sets of all shards in the order of the shards.
    pub fn replica_sets(&self) -> &[ReplicaSet] {
        &self.replica_sets
    }

    /// Returns the number of shards.
    pub fn shard_count(&self) -> u32 {
        u32::try_from(self.replica_sets.len()).unwrap_or(u32::MAX)
    }

    /// Returns the shard of a key.
    pub fn shard(&self, key: KeyHash) -> Shard {
        key.shard(self.shard_count().max(1))
    }

    /// Returns the replica set of a shard.
    pub fn replicas(&self, shard: Shard) -> Option<ReplicaSet> {
        self.replica_sets
            .get(usize::try_from(shard.0).ok()?)
            .copied()
    }

    /// Returns the replica set of a key: that of its own entry if it has one, else that of its
    /// shard.
    pub fn locate(&self, key: KeyHash) -> Option<ReplicaSet> {
        self.hot_replicas(key)
            .or_else(|| self.replicas(self.shard(key)))
    }

    /// Returns the replica set of a key that has an entry of its own.
    pub fn hot_replicas(&self, key: KeyHash) -> Option<ReplicaSet> {
        let index = self.hot_keys.binary_search(&key).ok()?;
        self.hot_replica_sets.get(index).copied()
    }

    /// Returns the hot-key entries in ascending order of their keys.
    pub fn hot_entries(&self) -> impl ExactSizeIterator<Item = HotMove> + '_ {
        let pairs = self.hot_keys.iter().zip(&self.hot_replica_sets);
        pairs.map(|(&key, &replicas)| HotMove { key, replicas })
    }

    /// Returns the memory that the table takes, without unused capacity.
    pub fn state_bytes(&self) -> Bytes {
        let names: usize = self.members.iter().map(|m| m.as_str().len()).sum();
        let members = self.members.len() * (size_of::<UpstreamName>() + size_of::<bool>());
        let replica_sets = size_of_val(self.replica_sets.as_slice())
            + size_of_val(self.hot_replica_sets.as_slice());
        let keys = size_of_val(self.hot_keys.as_slice());
        Bytes((size_of::<Self>() + names + members + replica_sets + keys) as u64)
    }

    /// Returns [`Table::state_bytes`] divided by the number of shards.
    pub fn bytes_per_shard(&self) -> f64 {
        let Bytes(total) = self.state_bytes();
        #[expect(clippy::cast_precision_loss, reason = "a ratio for display")]
        let total = total as f64;
        total / f64::from(self.shard_count().max(1))
    }

    /// Applies a change. The table is unchanged if this fails.
    ///
    /// # Errors
    ///
    /// Fails if the change refers to a member or shard that does not exist, assigns a unit to a
    /// lost member, assigns an index that is in use to a new member, creates a number of shards
    /// that is not a power of two, or exceeds [`MEMBERS_MAX`] or [`HOT_KEYS_MAX`].
    pub fn apply(&mut self, change: &Change) -> Result<(), TableError> {
        match change {
            Change::Reset {
                members,
                replica_sets,
            } => {
                check_shard_count(replica_sets.len())?;
                check_member_count(members.len())?;
                check_members_exist(replica_sets.iter(), members.len())?;
                *self = Self {
                    lost: vec![false; members.len()],
                    members: members.clone(),
                    replica_sets: replica_sets.clone(),
                    ..Self::default()
                };
            }
            Change::Join { members } => {
                check_member_count(self.members.len() + members.len())?;
                self.members.extend(members.iter().cloned());
                self.lost.resize(self.members.len(), false);
            }
            Change::Moves { moves } => {
                self.check_members_live(moves.iter().map(|m| &m.replicas))?;
                if let Some(unknown) = moves.iter().find(|m| self.replicas(m.shard).is_none()) {
                    return Err(TableError::UnknownShard {
                        shard: unknown.shard,
                    });
                }
                for m in moves {
                    self.replica_sets[m.shard.0 as usize] = m.replicas;
                }
            }
            Change::Lost { members } => {
                if let Some(&member) = members.iter().find(|m| m.index() >= self.members.len()) {
                    return Err(TableError::UnknownMember { member });
                }
                for member in members {
                    self.lost[member.index()] = true;
                }
                self.promote_standbys();
            }
            Change::HotMoves { moves } => {
                self.check_members_live(moves.iter().map(|m| &m.replicas))?;
                self.set_hot_entries(moves)?;
            }
            Change::HotDrops { keys } => {
                let mut kept: Vec<HotMove> = self.hot_entries().collect();
                let dropped: BTreeSet<_> = keys.iter().collect();
                kept.retain(|m| !dropped.contains(&m.key));
                self.replace_hot_entries(&kept);
            }
            Change::Vacant { shards } => {
                let count = usize::try_from(*shards).unwrap_or(usize::MAX);
                check_shard_count(count)?;
                *self = Self {
                    replica_sets: vec![ReplicaSet::VACANT; count],
                    ..Self::default()
                };
            }
            Change::Replace { members } => {
                self.check_indices_free(members)?;
                for r in members {
                    self.members[r.member.index()].clone_from(&r.name);
                    self.lost[r.member.index()] = false;
                }
            }
        }
        Ok(())
    }

    /// Returns the lost members that occur in no replica set, so that their indices can be reused.
    pub fn free_indices(&self) -> Vec<Member> {
        let mut free = self.lost.clone();
        for replicas in self.replica_sets.iter().chain(&self.hot_replica_sets) {
            for member in [replicas.owner, replicas.standby] {
                if let Some(is_free) = free.get_mut(member.index()) {
                    *is_free = false;
                }
            }
        }
        let indices = (0u16..).zip(free);
        indices
            .filter_map(|(i, free)| free.then_some(Member(i)))
            .collect()
    }

    fn set_hot_entries(&mut self, moves: &[HotMove]) -> Result<(), TableError> {
        let mut all: Vec<HotMove> = self.hot_entries().chain(moves.iter().copied()).collect();
        // The sort is stable and the last entry of a key is kept, so a move replaces an old entry.
        all.sort_by_key(|m| m.key);
        all.reverse();
        all.dedup_by_key(|m| m.key);
        all.reverse();
        match all.len() {
            count if count > HOT_KEYS_MAX => Err(TableError::TooManyHotKeys { count }),
            _ => {
                self.replace_hot_entries(&all);
                Ok(())
            }
        }
    }

    fn replace_hot_entries(&mut self, entries: &[HotMove]) {
        self.hot_keys = entries.iter().map(|m| m.key).collect();
        self.hot_replica_sets = entries.iter().map(|m| m.replicas).collect();
    }

    fn check_members_live<'a, I>(&self, replica_sets: I) -> Result<(), TableError>
    where
        I: Iterator<Item = &'a ReplicaSet> + Clone,
    {
        check_members_exist(replica_sets.clone(), self.members.len())?;
        let mut named = replica_sets.flat_map(|s| [s.owner, s.standby]);
        match named.find(|m| self.lost[m.index()]) {
            Some(member) => Err(TableError::LostMember { member }),
            None => Ok(()),
        }
    }

    fn check_indices_free(&self, members: &[Replacement]) -> Result<(), TableError> {
        let free = self.free_indices();
        let mut taken: Vec<Member> = members.iter().map(|r| r.member).collect();
        taken.sort_unstable();
        let duplicate = taken.windows(2).find(|pair| pair[0] == pair[1]);
        let in_use = taken.iter().find(|m| free.binary_search(m).is_err());
        match in_use.or(duplicate.map(|pair| &pair[0])) {
            Some(&member) if member.index() >= self.members.len() => {
                Err(TableError::UnknownMember { member })
            }
            Some(&member) => Err(TableError::IndexInUse { member }),
            None => Ok(()),
        }
    }

    fn promote_standbys(&mut self) {
        let lost = &self.lost;
        let is_lost = |m: Member| lost.get(m.index()).copied().unwrap_or(true);
        for replicas in self
            .replica_sets
            .iter_mut()
            .chain(&mut self.hot_replica_sets)
        {
            match (is_lost(replicas.owner), is_lost(replicas.standby)) {
                (true, false) => replicas.owner = replicas.standby,
                (false, true) => replicas.standby = replicas.owner,
                _ => {}
            }
        }
    }
}

fn check_shard_count(count: usize) -> Result<(), TableError> {
    match count {
        n if n.is_power_of_two() && u32::try_from(n).is_ok() => Ok(()),
        _ => Err(TableError::InvalidShardCount { count }),
    }
}

fn check_member_count(count: usize) -> Result<(), TableError> {
    match count {
        n if n <= MEMBERS_MAX => Ok(()),
        _ => Err(TableError::TooManyMembers { count }),
    }
}

fn check_members_exist<'a, I>(replica_sets: I, members: usize) -> Result<(), TableError>
where
    I: Iterator<Item = &'a ReplicaSet>,
{
    let mut named = replica_sets.flat_map(|s| [s.owner, s.standby]);
    match named.find(|m| m.index() >= members) {
        Some(member) => Err(TableError::UnknownMember { member }),
        None => Ok(()),
    }
}
