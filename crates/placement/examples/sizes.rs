//! Measures planning time, lookup time and bytes per shard at several sizes.
//!
//! `cargo run --release -p trefoil-placement --example sizes [REPEATS]`
//!
//! Plans are computed in one thread. Each time is printed as the minimum, median and maximum of the
//! repeats, because other processes on the machine can only make a run slower.

use std::hint::black_box;
use std::time::Instant;

use trefoil_core::{KeyHash, PerSecond, UpstreamName};
use trefoil_placement::{
    Change, Domain, HOT_KEYS_MAX, HotMove, KeyLoad, Load, MemberInfo, MemberState, Objective, Plan,
    PlanInput, Planner, Table,
};

/// Number of failure domains. With 19,000 members each domain has 1,727 or 1,728.
const DOMAINS: usize = 11;

struct Fixture {
    table: Table,
    members: Vec<MemberInfo>,
    load: Load,
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let repeats: usize = std::env::args().nth(1).map_or(Ok(9), |a| a.parse())?;
    println!("milliseconds: least / median / greatest of {repeats}");
    // The last but one size has far more shards for each member than any service needs.
    for (members, shards) in [
        (20, 1 << 10),
        (300, 1 << 14),
        (2_400, 1 << 17),
        (20, 1 << 20),
        (19_000, 1 << 20),
    ] {
        let mut fixture = Fixture::new(members, shards)?;
        println!("{members} members, {shards} shards, {HOT_KEYS_MAX} hot-key entries");
        print_times("no event", repeats, || fixture.plan())?;
        fixture.members[7].state = MemberState::Lost;
        print_times("one member lost", repeats, || fixture.plan())?;
        fixture.members[7].state = MemberState::Serving;
        fixture.members[7].state = MemberState::Leaving;
        print_times("one member leaving", repeats, || fixture.plan())?;
        fixture.members[7].state = MemberState::Cold { age: 0 };
        print_times("one member cold", repeats, || fixture.plan())?;
        for member in fixture.members.iter_mut().filter(|m| m.domain == Domain(3)) {
            member.state = MemberState::Lost;
        }
        print_times("failure domain lost", repeats, || fixture.plan())?;
        println!(
            "  {:<22} {:.1} ns",
            "lookup",
            measure_lookup(&fixture.table, shards)
        );
        println!(
            "  {:<22} {:.2}",
            "bytes per shard",
            fixture.table.bytes_per_shard()
        );
    }
    Ok(())
}

fn print_times<F>(name: &str, repeats: usize, plan: F) -> Result<(), Box<dyn std::error::Error>>
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

/// Returns the mean time of a lookup of random keys in nanoseconds. One key in 16 has an entry of
/// its own.
fn measure_lookup(table: &Table, shards: u32) -> f64 {
    const COUNT: u32 = 4_000_000;
    let hot: Vec<KeyHash> = table.hot_entries().map(|m| m.key).collect();
    let mut state = u64::from(shards);
    let mut next = || {
        // Adding an odd constant visits all values; the multiplication mixes the bits.
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

impl Fixture {
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
        // Loads between 0.5 and 1.5 in a fixed pseudo-random order.
        let load = |s: u32| 0.5 + f64::from(s.wrapping_mul(2_654_435_761) >> 16) / 65_536.0;
        let mut fixture = Self {
            table,
            members: (0..members).map(profile).collect(),
            load: Load {
                shards: (0..shards).map(load).collect(),
                hot: Vec::new(),
            },
        };
        fixture.apply_plan()?;
        fixture.add_hot_entries(shards)?;
        // The plan that balances the hot-key entries is not measured.
        fixture.apply_plan()?;
        Ok(fixture)
    }

    /// Adds the largest number of entries, for keys that have a tenth of the load of a shard.
    fn add_hot_entries(&mut self, shards: u32) -> Result<(), Box<dyn std::error::Error>> {
        let members = u32::try_from(self.members.len())?;
        let mut moves = Vec::new();
        for i in 0..u32::try_from(HOT_KEYS_MAX)? {
            let key = KeyHash((u64::from(i) << 32) | u64::from(i * 977 % shards));
            let mut replicas = self.table.locate(key).ok_or("the key has no replica set")?;
            let other = (u32::from(replicas.owner.0) + 1) % members;
            replicas.owner.0 = u16::try_from(other)?;
            moves.push(HotMove { key, replicas });
            self.load.hot.push(KeyLoad { key, load: 0.1 });
        }
        self.table.apply(&Change::HotMoves { moves })?;
        Ok(())
    }

    fn apply_plan(&mut self) -> Result<(), Box<dyn std::error::Error>> {
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
