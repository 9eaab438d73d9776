//! Time that one host spends on leases: changed records, heartbeats and polls.

use std::time::Duration;

use trefoil_core::Tick;
use trefoil_lease::{Generation, Holder, Message, Peer, Records, Succession, Timing, Witness};

use crate::Error;
use crate::deployment::{self, Deployment};
use crate::fit::{Series, time_operations, time_runs};
use crate::replay::SIZES;

/// Repeats at each size.
const REPEATS: usize = 7;

/// Operations in one timed run.
const COUNT: usize = 1_000;

/// Time of the measured operations.
const NOW: Tick = Tick(Duration::from_secs(1_000));

fn witness(records: &Records, host: usize) -> Witness {
    let timing = Timing::default();
    let witness = Witness::new(deployment::id(host), deployment::peer(host), timing, NOW);
    let mut witness = witness.expect("the chart loads");
    witness.mark_caught_up();
    witness.sync(records, NOW);
    witness
}

/// Returns records in which host 0 is a witness of `entries` holders.
fn witnessed(entries: usize) -> Records {
    let mut records = Records::default();
    for i in 1..=entries {
        let mut lease = deployment::lease(i, 1, 1_000_000);
        lease.witnesses[0].host = deployment::id(0);
        lease.witnesses[0].address = deployment::peer(0);
        assert!(records.apply_lease(lease), "the lease is valid");
    }
    records
}

/// Measures and prints the time spent on leases.
pub fn run() -> Result<(), Error> {
    measure_entries();
    measure_deployment()
}

fn measure_entries() {
    let mut heartbeat = Series::new("heartbeat handled by a witness", "us; n entries");
    let mut poll = Series::new("poll and next wake of a witness", "us; n entries");
    for n in [5, 50, 500] {
        let records = witnessed(n);
        let holders: Vec<Peer> = (1..=n)
            .map(|i| Peer {
                host: deployment::id(i),
                address: deployment::peer(i),
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
        heartbeat.add(
            n,
            time_operations(REPEATS, COUNT, || witness(&records, 0), handle),
        );
        let operation = |witness: &mut Witness| {
            for _ in 0..COUNT {
                std::hint::black_box(witness.poll(NOW));
                std::hint::black_box(witness.next_wake());
            }
        };
        poll.add(
            n,
            time_operations(REPEATS, COUNT, || witness(&records, 0), operation),
        );
    }
    heartbeat.print();
    poll.print();
}

fn measure_deployment() -> Result<(), Error> {
    let mut deployment = Deployment::new()?;
    let mut holder_sync = Series::new("records synced by a holder", "us; n hosts");
    let mut witness_sync = Series::new(
        "records synced by a witness, about 5 entries",
        "us; n hosts",
    );
    let mut succession_sync = Series::new("records synced by a succession, 3 roles", "us; n hosts");
    let mut next_lease = Series::new("next witnesses chosen", "us; n hosts");
    for n in SIZES {
        deployment.grow(n)?;
        let records = &*deployment.view.records;
        let own_id = deployment::id(n / 2);
        let new_holder = || Holder::new(own_id, Timing::default()).expect("the chart loads");
        holder_sync.add(
            n,
            time_runs(REPEATS, new_holder, |h| h.sync(records, NOW).len()),
        );
        let new_witness = || witness(records, n / 2);
        witness_sync.add(n, time_runs(REPEATS, new_witness, |w| w.sync(records, NOW)));
        println!("{n} hosts: {} entries", new_witness().len());
        let succession = || {
            let mut succession = Succession::new(own_id, Timing::default());
            succession.sync(records, NOW);
            succession
        };
        succession_sync.add(
            n,
            time_runs(REPEATS, succession, |s| s.sync(records, NOW).len()),
        );
        let host = deployment::host(n + 1)?;
        let choose = |missing: &mut Option<Tick>| {
            trefoil_daemon::member::next_lease(&deployment.view, &host, NOW, missing).is_some()
        };
        next_lease.add(n, time_runs(REPEATS, || None, choose));
    }
    for series in [holder_sync, witness_sync, succession_sync, next_lease] {
        series.print();
    }
    // The planner searches for missing assignments every 250 ms and after each change of the view.
    let mut plan = Series::new(
        "assignments scanned by the planner, nothing to do",
        "us; n hosts and upstreams",
    );
    for n in [1_000, 2_000, 4_000] {
        let mut deployment = Deployment::new()?;
        deployment.grow(n)?;
        let operation = |()| trefoil_daemon::planner::plan_assignments(&deployment.view, &[]).len();
        plan.add(n, time_runs(3, || (), |()| operation(())));
    }
    plan.print();
    Ok(())
}
