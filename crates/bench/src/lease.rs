//! Lease work of one host: records that change, heartbeats and polls.

use std::time::Duration;

use trefoil_core::Tick;
use trefoil_lease::{Generation, Holder, Message, Peer, Records, Succession, Timing, Witness};

use crate::Error;
use crate::fit::{Series, each, times};
use crate::replay::SIZES;
use crate::world::{self, World};

/// Repeats at each size.
const REPEATS: usize = 7;

/// Operations in one timed run.
const COUNT: usize = 1_000;

/// Start of the measured time.
const NOW: Tick = Tick(Duration::from_secs(1_000));

fn witness(records: &Records, host: usize) -> Witness {
    let timing = Timing::default();
    let witness = Witness::new(world::id(host), world::peer(host), timing, NOW);
    let mut witness = witness.expect("the chart loads");
    witness.mark_caught_up();
    witness.sync(records, NOW);
    witness
}

/// Records in which host 0 is a witness of `entries` holders.
fn witnessed(entries: usize) -> Records {
    let mut records = Records::default();
    for i in 1..=entries {
        let mut lease = world::lease(i, 1, 1_000_000);
        lease.witnesses[0].host = world::id(0);
        lease.witnesses[0].address = world::peer(0);
        assert!(records.apply_lease(lease), "the lease is sound");
    }
    records
}

/// Measures and prints the lease work.
pub fn run() -> Result<(), Error> {
    entries();
    deployment()
}

fn entries() {
    let mut beat = Series::new("heartbeat handled by a witness", "us; n entries");
    let mut poll = Series::new("poll and next wake of a witness", "us; n entries");
    for n in [5, 50, 500] {
        let records = witnessed(n);
        let holders: Vec<Peer> = (1..=n)
            .map(|i| Peer {
                host: world::id(i),
                address: world::peer(i),
            })
            .collect();
        let message = Message::Heartbeat {
            generation: Generation(1),
            sent: NOW,
            relied_on: true,
        };
        let handle = |witness: &mut Witness| {
            let from = holders.iter().cycle().take(COUNT);
            from.map(|&from| witness.receive(from, &message, NOW).len())
                .sum::<usize>()
        };
        beat.add(n, each(REPEATS, COUNT, || witness(&records, 0), handle));
        let look = |witness: &mut Witness| {
            for _ in 0..COUNT {
                std::hint::black_box(witness.poll(NOW));
                std::hint::black_box(witness.next_wake());
            }
        };
        poll.add(n, each(REPEATS, COUNT, || witness(&records, 0), look));
    }
    beat.print();
    poll.print();
}

fn deployment() -> Result<(), Error> {
    let mut world = World::new()?;
    let mut holder = Series::new("records synced by a holder", "us; n hosts");
    let mut seats = Series::new(
        "records synced by a witness, about 5 entries",
        "us; n hosts",
    );
    let mut roles = Series::new("records synced by a succession, 3 roles", "us; n hosts");
    let mut next = Series::new("next witnesses chosen", "us; n hosts");
    for n in SIZES {
        world.grow(n)?;
        let records = &*world.view.records;
        let own = world::id(n / 2);
        let kept = || Holder::new(own, Timing::default()).expect("the chart loads");
        holder.add(n, times(REPEATS, kept, |h| h.sync(records, NOW).len()));
        let known = || witness(records, n / 2);
        seats.add(n, times(REPEATS, known, |w| w.sync(records, NOW)));
        println!("{n} hosts: {} entries", known().len());
        let succession = || {
            let mut succession = Succession::new(own, Timing::default());
            succession.sync(records, NOW);
            succession
        };
        roles.add(
            n,
            times(REPEATS, succession, |s| s.sync(records, NOW).len()),
        );
        let host = world::host(n + 1)?;
        let choose = |missing: &mut Option<Tick>| {
            trefoil_daemon::member::next_lease(&world.view, &host, NOW, missing).is_some()
        };
        next.add(n, times(REPEATS, || None, choose));
    }
    for series in [holder, seats, roles, next] {
        series.print();
    }
    // The planner looks for missing assignments every 250 ms and at each change of the view.
    let mut plan = Series::new(
        "assignments looked through by the planner, nothing to do",
        "us; n hosts and upstreams",
    );
    for n in [1_000, 2_000, 4_000] {
        let mut world = World::new()?;
        world.grow(n)?;
        let look = |()| trefoil_daemon::planner::plan_assignments(&world.view, &[]).len();
        plan.add(n, times(3, || (), |()| look(())));
    }
    plan.print();
    Ok(())
}
