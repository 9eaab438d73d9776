//! The shard table of one service.
//!
//! A [`ReplicaSet`] takes 4 bytes, so a table of 2^20 shards is 4 MiB and stays in the cache of the last
//! level. Keys that are too hot for their shard have entries of their own, at most [`HOT_KEYS_MAX`]. They
//! are kept sorted by key: 4,096 keys of 8 bytes fit the cache of the first level, and a sorted list
//! is equal and serialized equally on all hosts, which a hash table with a random seed is not.
//!
//! A seat never names a lost member as standby while its owner lives: the loss of a standby makes
//! the owner its own standby until a plan names another. A shard whose owner and standby are lost
//! keeps its seat, and [`Table::is_lost`] of the owner tells that nobody serves it.
//!
//! Two limits come from the design. A log record has at most 256 KiB, so a table of full size is
//! not created by one [`Change::Reset`] but by [`Change::Vacant`], joins and moves in batches of
//! [`MOVES_PER_CHANGE`]. A [`Member`] has 16 bits and a lost member keeps its index; with 3,810 host events a
//! day the indices above 19,000 would last 12 days, so [`Change::Replace`] uses them again.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::Snafu;
use trefoil_core::{Bytes, KeyHash, Shard, UpstreamName};

/// Largest number of hot-key entries of a table.
pub const HOT_KEYS_MAX: usize = 4096;

/// Largest number of members of a table: all values of a [`Member`] but [`Member::NONE`].
pub const MEMBERS_MAX: usize = 65_535;

/// Largest number of moves in one change. A move of a hot key takes at most 16 bytes in postcard,
/// so a batch takes at most 64 KiB of the 256 KiB of a log record.
pub const MOVES_PER_CHANGE: usize = 4096;

/// Largest number of members in one change. A name takes at most 64 bytes, so a batch takes at
/// most 128 KiB.
pub const MEMBERS_PER_CHANGE: usize = 2048;

/// Index of an upstream in its table's member list. It stays with the upstream while the table
/// lives; a lost member keeps its index.
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
    /// No member. It counts as lost in every table.
    pub const NONE: Self = Self(u16::MAX);

    /// The position of the member in the member list.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Owner and standby of one shard or hot key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaSet {
    /// The upstream that owns the keys.
    pub owner: Member,
    /// The upstream that takes over if the owner is lost. Equal to the owner if there is no other.
    pub standby: Member,
}

/// A new seat for one shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Move {
    /// The shard.
    pub shard: Shard,
    /// Its new owner and standby.
    pub replicas: ReplicaSet,
}

impl ReplicaSet {
    /// The seat of a shard that was never given to a member.
    pub const VACANT: Self = Self {
        owner: Member::NONE,
        standby: Member::NONE,
    };
}

/// A seat for one hot key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HotMove {
    /// The key.
    pub key: KeyHash,
    /// Its owner and standby.
    pub replicas: ReplicaSet,
}

/// A member that takes the index of a lost one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replacement {
    /// The index.
    pub member: Member,
    /// The new member.
    pub name: UpstreamName,
}

/// A change of a table, as it is written to the log.
///
/// New variants are added at the end, because postcard encodes a variant by its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates the table or replaces it: the first seat belongs to shard 0.
    Reset {
        /// The member list.
        members: Vec<UpstreamName>,
        /// One seat for each shard.
        replica_sets: Vec<ReplicaSet>,
    },
    /// Appends members; they own nothing until a move gives them shards.
    Join {
        /// The new members, in the order of their indices.
        members: Vec<UpstreamName>,
    },
    /// Gives shards new seats.
    Moves {
        /// The moves.
        moves: Vec<Move>,
    },
    /// Marks members as lost; the shards they own go to their standbys.
    Lost {
        /// The lost members.
        members: SmallVec<[Member; 4]>,
    },
    /// Gives hot keys entries of their own, or new seats if they have entries.
    HotMoves {
        /// The entries.
        moves: Vec<HotMove>,
    },
    /// Removes hot-key entries; the keys return to the seats of their shards.
    HotDrops {
        /// The keys. A key without an entry is ignored.
        keys: Vec<KeyHash>,
    },
    /// Creates the table or replaces it by one without members whose shards are all vacant.
    Vacant {
        /// Number of shards.
        shards: u32,
    },
    /// Gives indices of lost members, which no seat may name any more, to new members.
    Replace {
        /// The new members.
        members: Vec<Replacement>,
    },
}

/// Why a change does not fit a table.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// The number of seats is not a power of two.
    #[snafu(display("{count} shards is not a power of two"))]
    InvalidShardCount {
        /// Number of seats.
        count: usize,
    },
    /// A seat names a member that does not exist.
    #[snafu(display("member {member} does not exist"))]
    UnknownMember {
        /// The member.
        member: Member,
    },
    /// A move names a member that was lost.
    #[snafu(display("member {member} was lost"))]
    LostMember {
        /// The member.
        member: Member,
    },
    /// The index of a member that lives or is named by a seat was given to a new member.
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
    /// A move names a shard that does not exist.
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
    /// Hot keys in ascending order; `hot_replica_sets` has their seats in the same order.
    hot_keys: Vec<KeyHash>,
    hot_replica_sets: Vec<ReplicaSet>,
}

impl Table {
    /// The member list.
    pub fn members(&self) -> &[UpstreamName] {
        &self.members
    }

    /// Whether a member was lost.
    pub fn is_lost(&self, member: Member) -> bool {
        self.lost.get(member.index()).copied().unwrap_or(true)
    }

    /// The member of that name that is not lost.
    pub fn member(&self, name: &UpstreamName) -> Option<Member> {
        let live = |(m, lost): (&UpstreamName, &bool)| m == name && !lost;
        let index = self.members.iter().zip(&self.lost).rposition(live)?;
        Some(Member(u16::try_from(index).ok()?))
    }

    /// The name of a member.
    pub fn name(&self, member: Member) -> Option<&UpstreamName> {
        self.members.get(member.index())
    }

    /// The members that are not lost.
    pub fn live_members(&self) -> impl Iterator<Item = (Member, &UpstreamName)> {
        let all = (0u16..).map(Member).zip(&self.members);
        all.filter(|(m, _)| !self.is_lost(*m))
    }

    /// The seats of all shards.
    pub fn replica_sets(&self) -> &[ReplicaSet] {
        &self.replica_sets
    }

    /// Number of shards.
    pub fn shard_count(&self) -> u32 {
        u32::try_from(self.replica_sets.len()).unwrap_or(u32::MAX)
    }

    /// The shard of a key.
    pub fn shard(&self, key: KeyHash) -> Shard {
        key.shard(self.shard_count().max(1))
    }

    /// Owner and standby of a shard.
    pub fn replicas(&self, shard: Shard) -> Option<ReplicaSet> {
        self.replica_sets
            .get(usize::try_from(shard.0).ok()?)
            .copied()
    }

    /// Owner and standby of a key: those of its own entry, or else those of its shard.
    pub fn locate(&self, key: KeyHash) -> Option<ReplicaSet> {
        self.hot_replicas(key)
            .or_else(|| self.replicas(self.shard(key)))
    }

    /// The seat of a key that has an entry of its own.
    pub fn hot_replicas(&self, key: KeyHash) -> Option<ReplicaSet> {
        let index = self.hot_keys.binary_search(&key).ok()?;
        self.hot_replica_sets.get(index).copied()
    }

    /// The hot-key entries in ascending order of their keys.
    pub fn hot_entries(&self) -> impl ExactSizeIterator<Item = HotMove> + '_ {
        let pairs = self.hot_keys.iter().zip(&self.hot_replica_sets);
        pairs.map(|(&key, &replicas)| HotMove { key, replicas })
    }

    /// Memory that the table takes, without unused capacity.
    pub fn state_bytes(&self) -> Bytes {
        let names: usize = self.members.iter().map(|m| m.as_str().len()).sum();
        let members = self.members.len() * (size_of::<UpstreamName>() + size_of::<bool>());
        let replica_sets = size_of_val(self.replica_sets.as_slice())
            + size_of_val(self.hot_replica_sets.as_slice());
        let keys = size_of_val(self.hot_keys.as_slice());
        Bytes((size_of::<Self>() + names + members + replica_sets + keys) as u64)
    }

    /// [`Table::state_bytes`] for each shard.
    pub fn bytes_per_shard(&self) -> f64 {
        let Bytes(total) = self.state_bytes();
        #[expect(clippy::cast_precision_loss, reason = "a ratio for display")]
        let total = total as f64;
        total / f64::from(self.shard_count().max(1))
    }

    /// Applies a change. On an error the table is unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the change names a member or shard that does not exist, gives a shard to a lost
    /// member, uses an index again that is in use, or exceeds [`MEMBERS_MAX`] or [`HOT_KEYS_MAX`].
    pub fn apply(&mut self, change: &Change) -> Result<(), TableError> {
        match change {
            Change::Reset {
                members,
                replica_sets,
            } => {
                check_shards(replica_sets.len())?;
                check_members(members.len())?;
                check(replica_sets.iter(), members.len())?;
                *self = Self {
                    lost: vec![false; members.len()],
                    members: members.clone(),
                    replica_sets: replica_sets.clone(),
                    ..Self::default()
                };
            }
            Change::Join { members } => {
                check_members(self.members.len() + members.len())?;
                self.members.extend(members.iter().cloned());
                self.lost.resize(self.members.len(), false);
            }
            Change::Moves { moves } => {
                self.check_live(moves.iter().map(|m| &m.replicas))?;
                if let Some(bad) = moves.iter().find(|m| self.replicas(m.shard).is_none()) {
                    return Err(TableError::UnknownShard { shard: bad.shard });
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
                self.check_live(moves.iter().map(|m| &m.replicas))?;
                self.set_hot(moves)?;
            }
            Change::HotDrops { keys } => {
                let mut kept: Vec<HotMove> = self.hot_entries().collect();
                let drops: BTreeSet<_> = keys.iter().collect();
                kept.retain(|m| !drops.contains(&m.key));
                self.replace_hot(&kept);
            }
            Change::Vacant { shards } => {
                let count = usize::try_from(*shards).unwrap_or(usize::MAX);
                check_shards(count)?;
                *self = Self {
                    replica_sets: vec![ReplicaSet::VACANT; count],
                    ..Self::default()
                };
            }
            Change::Replace { members } => {
                self.check_free(members)?;
                for r in members {
                    self.members[r.member.index()].clone_from(&r.name);
                    self.lost[r.member.index()] = false;
                }
            }
        }
        Ok(())
    }

    /// Members that were lost and that no seat names, so that their indices can be used again.
    pub fn free_indices(&self) -> Vec<Member> {
        let mut free = self.lost.clone();
        for replicas in self.replica_sets.iter().chain(&self.hot_replica_sets) {
            for member in [replicas.owner, replicas.standby] {
                if let Some(it) = free.get_mut(member.index()) {
                    *it = false;
                }
            }
        }
        let indices = (0u16..).zip(free);
        indices
            .filter_map(|(i, free)| free.then_some(Member(i)))
            .collect()
    }

    fn set_hot(&mut self, moves: &[HotMove]) -> Result<(), TableError> {
        let mut all: Vec<HotMove> = self.hot_entries().chain(moves.iter().copied()).collect();
        // The sort is stable and the last entry of a key counts, so a move replaces an old entry.
        all.sort_by_key(|m| m.key);
        all.reverse();
        all.dedup_by_key(|m| m.key);
        all.reverse();
        match all.len() {
            count if count > HOT_KEYS_MAX => Err(TableError::TooManyHotKeys { count }),
            _ => {
                self.replace_hot(&all);
                Ok(())
            }
        }
    }

    fn replace_hot(&mut self, entries: &[HotMove]) {
        self.hot_keys = entries.iter().map(|m| m.key).collect();
        self.hot_replica_sets = entries.iter().map(|m| m.replicas).collect();
    }

    fn check_live<'a, I>(&self, replica_sets: I) -> Result<(), TableError>
    where
        I: Iterator<Item = &'a ReplicaSet> + Clone,
    {
        check(replica_sets.clone(), self.members.len())?;
        let mut named = replica_sets.flat_map(|s| [s.owner, s.standby]);
        match named.find(|m| self.lost[m.index()]) {
            Some(member) => Err(TableError::LostMember { member }),
            None => Ok(()),
        }
    }

    fn check_free(&self, members: &[Replacement]) -> Result<(), TableError> {
        let free = self.free_indices();
        let mut taken: Vec<Member> = members.iter().map(|r| r.member).collect();
        taken.sort_unstable();
        let twice = taken.windows(2).find(|pair| pair[0] == pair[1]);
        let used = taken.iter().find(|m| free.binary_search(m).is_err());
        match used.or(twice.map(|pair| &pair[0])) {
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

fn check_shards(count: usize) -> Result<(), TableError> {
    match count {
        n if n.is_power_of_two() && u32::try_from(n).is_ok() => Ok(()),
        _ => Err(TableError::InvalidShardCount { count }),
    }
}

fn check_members(count: usize) -> Result<(), TableError> {
    match count {
        n if n <= MEMBERS_MAX => Ok(()),
        _ => Err(TableError::TooManyMembers { count }),
    }
}

fn check<'a, I>(replica_sets: I, members: usize) -> Result<(), TableError>
where
    I: Iterator<Item = &'a ReplicaSet>,
{
    let mut named = replica_sets.flat_map(|s| [s.owner, s.standby]);
    match named.find(|m| m.index() >= members) {
        Some(member) => Err(TableError::UnknownMember { member }),
        None => Ok(()),
    }
}
