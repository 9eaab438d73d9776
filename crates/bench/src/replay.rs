//! Replay of the log: time for clones of the view, records of each kind and snapshots, and memory.

use std::collections::BTreeMap;

use trefoil_core::Revision;
use trefoil_log::snapshot::{SnapshotAssembler, split_view};
use trefoil_log::{Body, Placement, View};
use trefoil_placement::{Change, Move, ReplicaSet, Table};

use crate::deployment::{self, Deployment, accept};
use crate::fit::{Series, time_operations, time_runs};
use crate::{Error, alloc};

/// Numbers of hosts that are measured.
pub const SIZES: [usize; 4] = [1_000, 5_000, 10_000, 19_000];

/// Repeats at each size.
const REPEATS: usize = 7;

/// Number of records of one kind in a batch.
const BATCH: usize = 64;

/// Numbers of shards that are measured.
const SHARDS: [u32; 3] = [1 << 14, 1 << 17, 1 << 20];

/// Measures and prints the replay.
pub fn run() -> Result<(), Error> {
    measure_hosts()?;
    measure_losses()?;
    measure_tables()
}

type Kinds = BTreeMap<&'static str, (Series, Series)>;

fn measure_hosts() -> Result<(), Error> {
    let before = alloc::live_bytes();
    let mut deployment = Deployment::new()?;
    let mut clone = Series::new("clone of a view", "us; n hosts");
    let mut memory = Series::new("memory of a view", "bytes; n hosts");
    let mut size = Series::new("snapshot size", "bytes; n hosts");
    let mut cut = Series::new("snapshot encoded and split", "us; n hosts");
    let mut joined = Series::new("snapshot assembled", "us; n hosts");
    let mut kinds = Kinds::new();
    for n in SIZES {
        deployment.grow(n)?;
        memory.add(n, vec![(alloc::live_bytes() - before) as f64; 3]);
        clone.add(n, time_runs(REPEATS, || (), |()| deployment.view.clone()));
        let parts = split_view(&deployment.view)?;
        let bytes: usize = parts.iter().map(|p| p.data.len()).sum();
        size.add(n, vec![bytes as f64; 3]);
        cut.add(
            n,
            time_runs(REPEATS, || (), |()| split_view(&deployment.view)),
        );
        let writer = trefoil_core::WriterId(deployment::id(0).0);
        let assemble = |assembler: &mut SnapshotAssembler| {
            let mut last = None;
            for part in &parts {
                last = assembler.add(writer, part).ok().flatten();
            }
            last
        };
        joined.add(n, time_runs(REPEATS, SnapshotAssembler::default, assemble));
        for (name, records) in sample_records(&deployment, n)? {
            let series = kinds.entry(name).or_insert_with(|| {
                let first = Series::new("first record of a batch", "us; n hosts");
                (first, Series::new("each further record", "us; n hosts"))
            });
            let replay = |view: &mut View, records: &[bytes::Bytes]| {
                for data in records {
                    accept(view, data, &deployment.keys).expect("the record is accepted");
                }
            };
            let first = time_runs(
                REPEATS,
                || deployment.view.clone(),
                |view| replay(view, &records[..1]),
            );
            series.0.add(n, first);
            let started = || {
                let mut view = deployment.view.clone();
                replay(&mut view, &records[..1]);
                view
            };
            let rest = &records[1..];
            series.1.add(
                n,
                time_operations(REPEATS, rest.len(), started, |view| replay(view, rest)),
            );
        }
    }
    for series in [clone, memory, size, cut, joined] {
        series.print();
    }
    for (name, (first, rest)) in kinds {
        println!("-- {name}");
        first.print();
        rest.print();
    }
    Ok(())
}

type Records = Vec<(&'static str, Vec<bytes::Bytes>)>;

fn sample_records(deployment: &Deployment, n: usize) -> Result<Records, Error> {
    let batch = |body: &dyn Fn(usize) -> Result<Body, Error>, sequence| {
        (0..BATCH)
            .map(|i| deployment.record(i, sequence, body(i)?))
            .collect::<Result<Vec<_>, Error>>()
    };
    let fresh = |i: usize| {
        let data = Body::Joined(deployment::host(n + 100_000 + i)?);
        deployment.record(n + 100_000 + i, 1, data)
    };
    let joined: Result<Vec<_>, Error> = (0..BATCH).map(fresh).collect();
    let lease = batch(&|i| Ok(Body::Lease(deployment::lease(i, 2, n))), 3)?;
    let expired = batch(
        &|i| {
            Ok(Body::Expired {
                host: deployment::id(i),
            })
        },
        3,
    )?;
    let config = |i: usize| {
        let body = Body::Config(Box::new(deployment::routing(500 + i, 10, Revision(0))?));
        deployment.record(3_000_000 + i, 1, body)
    };
    let config: Result<Vec<_>, Error> = (0..BATCH).map(config).collect();
    Ok(vec![
        ("Joined", joined?),
        ("Lease", lease),
        ("Expired", expired),
        ("Config of 10 upstreams", config?),
    ])
}

/// Measures the loss of many hosts in one batch, as after the loss of a failure domain.
fn measure_losses() -> Result<(), Error> {
    let mut deployment = Deployment::new()?;
    deployment.grow(SIZES[SIZES.len() - 1])?;
    let mut series = Series::new(
        "n Expired records replayed at 19,000 hosts",
        "us; n records",
    );
    for n in [100, 200, 400] {
        let record = |i: usize| {
            deployment.record(
                i * 11,
                3,
                Body::Expired {
                    host: deployment::id(i * 11),
                },
            )
        };
        let records: Result<Vec<_>, Error> = (0..n).map(record).collect();
        let records = records?;
        let replay = |view: &mut View| {
            for data in &records {
                accept(view, data, &deployment.keys).expect("the record is accepted");
            }
        };
        series.add(n, time_runs(3, || deployment.view.clone(), replay));
    }
    series.print();
    let mut assign = Series::new("Placement record of n assignments", "us; n assignments");
    for n in [10, 100, 1_000] {
        let placement = Placement {
            changes: Vec::new(),
            assignments: deployment::rankings(0, n, 19_000)?,
        };
        let data = deployment.record(5_000_000, 1, Body::Placement(placement))?;
        println!("{n} assignments: a record of {} bytes", data.len());
        let apply = |view: &mut View| accept(view, &data, &deployment.keys);
        assign.add(n, time_runs(REPEATS, || deployment.view.clone(), apply));
    }
    assign.print();
    Ok(())
}

/// Creates a table with `shards` shards and 1,000 members. All shards have owners.
pub fn table(shards: u32) -> Result<Table, Error> {
    let mut table = Table::default();
    table.apply(&Change::Vacant { shards })?;
    let members: Result<Vec<_>, Error> = (0..1_000).map(deployment::upstream).collect();
    table.apply(&Change::Join { members: members? })?;
    let moves = (0..shards).map(|s| move_shard(s, 0)).collect();
    table.apply(&Change::Moves { moves })?;
    Ok(table)
}

fn move_shard(shard: u32, step: u32) -> Move {
    let member = |n: u32| trefoil_placement::Member((n % 1_000) as u16);
    Move {
        shard: trefoil_core::Shard(shard),
        replicas: ReplicaSet {
            owner: member(shard + step),
            standby: member(shard + step + 1),
        },
    }
}

fn measure_tables() -> Result<(), Error> {
    let mut memory = Series::new("memory of a table", "bytes; n shards");
    let mut clone = Series::new("clone of a table", "us; n shards");
    let mut apply = Series::new(
        "Placement record of 4,000 moves, first of a batch",
        "us; n shards",
    );
    for shards in SHARDS {
        let mut deployment = Deployment::new()?;
        let body = Body::Config(Box::new(deployment::routing(0, 1_000, Revision(0))?));
        let config = deployment.record(1, 1, body)?;
        deployment.apply(&config)?;
        let before = alloc::live_bytes();
        let table = table(shards)?;
        memory.add(
            shards as usize,
            vec![(alloc::live_bytes() - before) as f64; 3],
        );
        clone.add(
            shards as usize,
            time_runs(REPEATS, || (), |()| table.clone()),
        );
        let service: trefoil_core::ServiceName = "service-0".parse()?;
        deployment.view.tables.insert(service.clone(), table.into());
        let moves = (0..4_000).map(|s| move_shard(s, 7)).collect();
        let placement = Placement {
            changes: vec![(service, Change::Moves { moves })],
            assignments: Vec::new(),
        };
        let data = deployment.record(2, 1, Body::Placement(placement))?;
        println!("4,000 moves: a record of {} bytes", data.len());
        let replay = |view: &mut View| accept(view, &data, &deployment.keys);
        apply.add(
            shards as usize,
            time_runs(REPEATS, || deployment.view.clone(), replay),
        );
    }
    memory.print();
    clone.print();
    apply.print();
    Ok(())
}
