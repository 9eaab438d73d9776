//! Prints plan times, lookup time and bytes per shard at several sizes.
//!
//! `cargo run --release -p trefoil-placement --example sizes [REPEATS]`
//!
//! All plans are made on one core. Each time is the least, the median and the greatest of the
//! repeats, since other work on the machine only ever makes a run slower.

use std::hint::black_box;
use std::time::Instant;

use trefoil_core::{KeyHash, PerSecond, UpstreamName};
use trefoil_placement::{
    Change, Domain, HOT_KEYS_MAX, HotMove, KeyLoad, Load, MemberInfo, MemberState, Objective, Plan,
    PlanInput, Planner, Table,
};

/// Failure domains; 19,000 members in 11 domains are 1,727 or 1,728 in each.
const DOMAINS: usize = 11;

struct World {
    table: Table,
    members: Vec<MemberInfo>,
    load: Load,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let repeats: usize = std::env::args().nth(1).map_or(Ok(9), |a| a.parse())?;
    println!("milliseconds: least / median / greatest of {repeats}");
    // The last but one has far more shards for each member than any service needs.
    for (members, shards) in [
        (20, 1 << 10),
        (300, 1 << 14),
        (2_400, 1 << 17),
        (20, 1 << 20),
        (19_000, 1 << 20),
    ] {
        let mut world = World::new(members, shards)?;
        println!("{members} members, {shards} shards, {HOT_KEYS_MAX} hot-key entries");
        report("no event", repeats, || world.plan())?;
        world.members[7].state = MemberState::Lost;
        report("one member lost", repeats, || world.plan())?;
        world.members[7].state = MemberState::Serving;
        world.members[7].state = MemberState::Leaving;
        report("one member leaving", repeats, || world.plan())?;
        world.members[7].state = MemberState::Cold { age: 0 };
        report("one member cold", repeats, || world.plan())?;
        for member in world.members.iter_mut().filter(|m| m.domain == Domain(3)) {
            member.state = MemberState::Lost;
        }
        report("failure domain lost", repeats, || world.plan())?;
        println!("  {:<22} {:.1} ns", "lookup", lookup(&world.table, shards));
        println!(
            "  {:<22} {:.2}",
            "bytes per shard",
            world.table.bytes_per_shard()
        );
    }
    Ok(())
}

fn report<F>(name: &str, repeats: usize, plan: F) -> Result<(), Box<dyn std::error::Error>>
where
    F: Fn() -> Result<Plan, Box<dyn std::error::Error>>,
{
    let mut times = Vec::new();
    let mut moves = 0;
    for _ in 0..repeats.max(1) {
        let start = Instant::now();
        moves = black_box(plan()?).moves.len();
        times.push(start.elapsed().as_secs_f64() * 1e3);
    }
    times.sort_by(f64::total_cmp);
    let (least, median, greatest) = (times[0], times[times.len() / 2], times[times.len() - 1]);
    println!("  {name:<22} {least:.1} / {median:.1} / {greatest:.1}, {moves} moves");
    Ok(())
}

/// Mean time of a lookup of random keys in nanoseconds, one key in 16 with an entry of its own.
fn lookup(table: &Table, shards: u32) -> f64 {
    const COUNT: u32 = 4_000_000;
    let hot: Vec<KeyHash> = table.hot_entries().map(|m| m.key).collect();
    let mut state = u64::from(shards);
    let mut next = || {
        // Steps of an odd constant visit all values; the multiplication spreads the bits.
        state = state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        (state ^ (state >> 31)).wrapping_mul(0xBF58_476D_1CE4_E5B9)
    };
    let keys: Vec<KeyHash> = (0..1 << 16)
        .map(|i| match i % 16 {
            0 => hot[i % hot.len()],
            _ => KeyHash(next()),
        })
        .collect();
    let start = Instant::now();
    let mut sum = 0u64;
    for i in 0..COUNT {
        let key = keys[i as usize % keys.len()];
        sum += table
            .locate(black_box(key))
            .map_or(0, |s| u64::from(s.owner.0));
    }
    black_box(sum);
    start.elapsed().as_secs_f64() * 1e9 / f64::from(COUNT)
}

impl World {
    fn new(members: usize, shards: u32) -> Result<Self, Box<dyn std::error::Error>> {
        let mut table = Table::default();
        table.apply(&Change::Vacant { shards })?;
        let names: Result<Vec<UpstreamName>, _> = (0..members)
            .map(|i| format!("server-{i}").parse())
            .collect();
        table.apply(&Change::Join { members: names? })?;
        let profile = |i| MemberInfo {
            domain: Domain(u16::try_from(i % DOMAINS).unwrap_or_default()),
            capacity: PerSecond(1.0),
            state: MemberState::Serving,
        };
        // Loads between 0.5 and 1.5 in a fixed order that looks random.
        let load = |s: u32| 0.5 + f64::from(s.wrapping_mul(2_654_435_761) >> 16) / 65_536.0;
        let mut world = Self {
            table,
            members: (0..members).map(profile).collect(),
            load: Load {
                shards: (0..shards).map(load).collect(),
                hot: Vec::new(),
            },
        };
        world.step()?;
        world.add_hot(shards)?;
        // The plan that settles the table is not measured.
        world.step()?;
        Ok(world)
    }

    /// Gives all entries to keys that have a tenth of a shard's load.
    fn add_hot(&mut self, shards: u32) -> Result<(), Box<dyn std::error::Error>> {
        let members = u32::try_from(self.members.len())?;
        let mut moves = Vec::new();
        for i in 0..u32::try_from(HOT_KEYS_MAX)? {
            let key = KeyHash((u64::from(i) << 32) | u64::from(i * 977 % shards));
            let mut replicas = self.table.locate(key).ok_or("no seat")?;
            let other = (u32::from(replicas.owner.0) + 1) % members;
            replicas.owner.0 = u16::try_from(other)?;
            moves.push(HotMove { key, replicas });
            self.load.hot.push(KeyLoad { key, load: 0.1 });
        }
        self.table.apply(&Change::HotMoves { moves })?;
        Ok(())
    }

    fn step(&mut self) -> Result<(), Box<dyn std::error::Error>> {
        for change in self.plan()?.changes {
            self.table.apply(&change)?;
        }
        Ok(())
    }

    fn plan(&self) -> Result<Plan, Box<dyn std::error::Error>> {
        let input = PlanInput {
            table: &self.table,
            members: &self.members,
            load: &self.load,
        };
        Ok(Planner::new(Objective::default()).plan(&input)?)
    }
}
