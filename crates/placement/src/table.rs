//! The shard table of one service.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::Snafu;
use trefoil_core::{KeyHash, Shard, UpstreamName};

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
    /// The position of the member in the member list.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// Owner and standby of one shard or hot key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seat {
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
    pub seat: Seat,
}

/// A change of a table, as it is written to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Creates the table or replaces it: the first seat belongs to shard 0.
    Reset {
        /// The member list.
        members: Vec<UpstreamName>,
        /// One seat for each shard.
        seats: Vec<Seat>,
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
}

/// Why a change does not fit a table.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum TableError {
    /// The number of seats is not a power of two.
    #[snafu(display("{count} shards is not a power of two"))]
    BadCount {
        /// Number of seats.
        count: usize,
    },
    /// A seat names a member that does not exist.
    #[snafu(display("member {member} does not exist"))]
    NoMember {
        /// The member.
        member: Member,
    },
    /// A move names a shard that does not exist.
    #[snafu(display("shard {shard} does not exist"))]
    NoShard {
        /// The shard.
        shard: Shard,
    },
}

/// Owners and standbys of all shards of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    members: Vec<UpstreamName>,
    lost: Vec<bool>,
    seats: Vec<Seat>,
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
        let index = self.members.iter().rposition(|m| m == name)?;
        let member = Member(u16::try_from(index).ok()?);
        (!self.is_lost(member)).then_some(member)
    }

    /// The name of a member.
    pub fn name(&self, member: Member) -> Option<&UpstreamName> {
        self.members.get(member.index())
    }

    /// The members that are not lost.
    pub fn live(&self) -> impl Iterator<Item = (Member, &UpstreamName)> {
        let all = (0u16..).map(Member).zip(&self.members);
        all.filter(|(m, _)| !self.is_lost(*m))
    }

    /// The seats of all shards.
    pub fn seats(&self) -> &[Seat] {
        &self.seats
    }

    /// Number of shards.
    pub fn shard_count(&self) -> u32 {
        u32::try_from(self.seats.len()).unwrap_or(u32::MAX)
    }

    /// The shard of a key.
    pub fn shard(&self, key: KeyHash) -> Shard {
        key.shard(self.shard_count().max(1))
    }

    /// Owner and standby of a shard.
    pub fn seat(&self, shard: Shard) -> Option<Seat> {
        self.seats.get(usize::try_from(shard.0).ok()?).copied()
    }

    /// Applies a change. On an error the table is unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the change names a member or shard that does not exist.
    pub fn apply(&mut self, change: &Change) -> Result<(), TableError> {
        match change {
            Change::Reset { members, seats } => {
                if !seats.len().is_power_of_two() {
                    return Err(TableError::BadCount { count: seats.len() });
                }
                check(seats.iter(), members.len())?;
                self.lost = vec![false; members.len()];
                self.members.clone_from(members);
                self.seats.clone_from(seats);
            }
            Change::Join { members } => {
                self.members.extend(members.iter().cloned());
                self.lost.resize(self.members.len(), false);
            }
            Change::Moves { moves } => {
                check(moves.iter().map(|m| &m.seat), self.members.len())?;
                if let Some(bad) = moves.iter().find(|m| self.seat(m.shard).is_none()) {
                    return Err(TableError::NoShard { shard: bad.shard });
                }
                for m in moves {
                    self.seats[m.shard.0 as usize] = m.seat;
                }
            }
            Change::Lost { members } => {
                if let Some(&member) = members.iter().find(|m| m.index() >= self.members.len()) {
                    return Err(TableError::NoMember { member });
                }
                for member in members {
                    self.lost[member.index()] = true;
                }
                self.promote_standbys();
            }
        }
        Ok(())
    }

    fn promote_standbys(&mut self) {
        let lost = &self.lost;
        for seat in &mut self.seats {
            if lost[seat.owner.index()] && !lost[seat.standby.index()] {
                seat.owner = seat.standby;
            }
        }
    }
}

fn check<'a, I>(seats: I, members: usize) -> Result<(), TableError>
where
    I: Iterator<Item = &'a Seat>,
{
    let mut named = seats.flat_map(|s| [s.owner, s.standby]);
    match named.find(|m| m.index() >= members) {
        Some(member) => Err(TableError::NoMember { member }),
        None => Ok(()),
    }
}
