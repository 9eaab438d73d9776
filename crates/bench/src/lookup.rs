//! Time to find the host that dispatches to the owner of a request's key.

use http::Request;
use trefoil_core::{KeyHash, Revision, ServiceName, Tick};
use trefoil_daemon::dispatcher::owner;
use trefoil_daemon::request::ParsedRequest;
use trefoil_daemon::routes::Routes;
use trefoil_placement::{Change, HOT_KEYS_MAX, HotMove, ReplicaSet};

use crate::deployment::{self, Deployment};
use crate::fit::{Series, time_operations};
use crate::replay::table;
use crate::{Error, alloc};

/// Repeats at each size.
const REPEATS: usize = 7;

/// Operations in one timed run.
const COUNT: usize = 20_000;

fn sample_keys() -> Vec<KeyHash> {
    (0..1_u64 << 16)
        .map(|i| KeyHash::of(&i.to_le_bytes()))
        .collect()
}

/// Measures and prints the lookups.
pub fn run() -> Result<(), Error> {
    measure_shards()?;
    measure_upstreams()
}

fn measure_shards() -> Result<(), Error> {
    let keys = sample_keys();
    let mut series = Series::new(
        "key to owner, 4,096 hot-key entries, one key in 16 hot",
        "ns; n shards",
    );
    for count in [1_u32 << 10, 1 << 14, 1 << 17, 1 << 20] {
        let mut table = table(count)?;
        let replicas = ReplicaSet {
            owner: trefoil_placement::Member(3),
            standby: trefoil_placement::Member(4),
        };
        let hot = keys.iter().step_by(16).take(HOT_KEYS_MAX);
        let moves = hot.map(|&key| HotMove { key, replicas }).collect();
        table.apply(&Change::HotMoves { moves })?;
        let find = |(): &mut ()| {
            let found = keys.iter().map(|&k| table.locate(k));
            found
                .map(|s| s.map_or(0, |s| u64::from(s.owner.0)))
                .sum::<u64>()
        };
        let times = time_operations(REPEATS, keys.len(), || (), find);
        series.add(count as usize, times.iter().map(|t| t * 1e3).collect());
    }
    series.print();
    Ok(())
}

fn measure_upstreams() -> Result<(), Error> {
    let keys = sample_keys();
    let mut read = Series::new("request head read", "ns; n upstreams of the service");
    let mut find = Series::new("key to owner's name", "ns; n upstreams of the service");
    let mut host = Series::new("owner to dispatcher host", "ns; n assignments");
    for n in [10, 100, 1_000] {
        let mut deployment = Deployment::new()?;
        deployment.grow(1_000)?;
        deployment.view.resources.clear();
        let body = trefoil_log::Body::Config(Box::new(deployment::routing(0, n, Revision(0))?));
        let config = deployment.record(9, 9, body)?;
        deployment.apply(&config)?;
        let name: ServiceName = "service-0".parse()?;
        deployment
            .view
            .tables
            .insert(name.clone(), table(1 << 17)?.into());
        let view = &deployment.view;
        let request = Request::get("/service-0/customer-17").header("host", "bench");
        let request = request.body(())?;
        let (parts, ()) = request.into_parts();
        let reads = |(): &mut ()| {
            for _ in 0..COUNT / 10 {
                let parsed = ParsedRequest::read(&parts, view);
                std::hint::black_box(parsed.is_ok());
            }
        };
        let before = alloc::allocations();
        let parsed = ParsedRequest::read(&parts, view);
        let calls = alloc::allocations() - before;
        println!("request head read with {n} upstreams: {calls} allocations");
        drop(parsed);
        let nanos = |times: Vec<f64>| times.iter().map(|t| t * 1e3).collect();
        read.add(n, nanos(time_operations(REPEATS, COUNT / 10, || (), reads)));
        let (_, service) = view
            .service(&name)
            .ok_or("the deployment does not have the service")?;
        let owners = |(): &mut ()| {
            let found = keys.iter().filter_map(|&k| owner(view, service, k));
            found.map(|u| u.as_str().len()).sum::<usize>()
        };
        find.add(
            n,
            nanos(time_operations(REPEATS, keys.len(), || (), owners)),
        );
    }
    for n in [1_000, 5_000, 19_000] {
        let mut deployment = Deployment::new()?;
        deployment.grow(n)?;
        let view = &deployment.view;
        let names: Result<Vec<_>, Error> = (0..n).map(deployment::upstream).collect();
        let names = names?;
        let routes = Routes::default();
        for (i, name) in names.iter().enumerate() {
            routes.record_answer(name, deployment::id(i));
        }
        let step = 7_919;
        let hosts = |(): &mut ()| {
            let order = (0..COUNT).map(|i| &names[i * step % n]);
            order
                .map(|u| routes.lookup(view, u, Tick::default()).len())
                .sum::<usize>()
        };
        let before = alloc::allocations();
        std::hint::black_box(routes.lookup(view, &names[0], Tick::default()));
        println!(
            "owner to dispatcher host: {} allocations",
            alloc::allocations() - before
        );
        let times = time_operations(REPEATS, COUNT, || (), hosts);
        host.add(n, times.iter().map(|t| t * 1e3).collect());
    }
    for series in [read, find, host] {
        series.print();
    }
    Ok(())
}
