//! The cases.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::backend::{Backend, Hold, Holds, Runs, Spec};
use crate::client::{send, Outcome};
use crate::router::Router;
use crate::store::Store;
use crate::world::World;

const HELD: i32 = 0;
const BROKEN: i32 = 1;
const NOT_RUN: i32 = 2;

pub fn run(case: &str, record: &str, trouble: bool) -> i32 {
    let world = Arc::new(World::new());
    let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&folder) {
        eprintln!("{}: {error}", folder.display());
        return NOT_RUN;
    }
    let place = folder.display().to_string();
    let result = match case {
        "unknown-coordinator" => unknown_coordinator(&world, &place, trouble),
        "foreign-service" => foreign_service(&world, &place, trouble),
        _ => {
            eprintln!("no such case: {case}");
            NOT_RUN
        }
    };
    world.note(match result {
        HELD => "result: the rule held",
        BROKEN => "result: the rule was broken",
        _ => "result: the case could not run",
    });
    world.write(record);
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&folder);
    } else {
        eprintln!("{place}");
    }
    result
}

fn spec(id: &str, service: &str, warmup_ms: u64) -> Spec {
    Spec {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: "zone-a".to_owned(),
        slots: 4,
        work: Duration::from_millis(40),
        warmup: Duration::from_millis(warmup_ms),
        sharded: false,
    }
}

/// Sends requests at a steady rate until `until`, each in a thread of its own.
fn load(
    world: &Arc<World>,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    router: &Router,
    path: &'static str,
    gap_ms: u64,
    until: f64,
) -> std::thread::JoinHandle<()> {
    let (world, outcomes, front) = (Arc::clone(world), Arc::clone(outcomes), router.front());
    std::thread::spawn(move || {
        let mut threads = Vec::new();
        while world.now() < until {
            let (shared, all) = (Arc::clone(&world), Arc::clone(&outcomes));
            threads.push(std::thread::spawn(move || {
                let body = b"{\"amount\":1200}";
                let outcome = send(
                    &shared,
                    front,
                    "POST",
                    path,
                    "gate.example",
                    None,
                    1500,
                    body,
                );
                all.lock().unwrap().push(outcome);
            }));
            std::thread::sleep(Duration::from_millis(gap_ms));
        }
        for thread in threads {
            let _ = thread.join();
        }
    })
}

/// Two services, to each of which a backend is added. Nothing else happens.
fn foreign_service(world: &Arc<World>, folder: &str, trouble: bool) -> i32 {
    let store = Store::start(world);
    let route = |path: &str, service: &str| {
        format!("{{\"host\":\"gate.example\",\"pathPrefix\":\"{path}\",\"routeType\":\"non_idempotent\",\"timeoutMs\":1500,\"targetLatencyMs\":600,\"priority\":1,\"service\":\"{service}\",\"attempts\":2}}")
    };
    let service = "{\"healthCheckPath\":\"/healthz\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false}";
    let config = format!(
        "{{\"version\":7,\"routes\":{{\"r-issue\":{},\"r-renew\":{}}},\"services\":{{\"issuing\":{service},\"renewing\":{service}}},\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\"baseVersion\":0}}",
        route("/issue/", "issuing"),
        route("/renew/", "renewing"),
    );
    let runs: Runs = Arc::default();
    let mut backends = Vec::new();
    for (id, service) in [
        ("i-11a0c3e1", "issuing"),
        ("i-22b7d9f2", "issuing"),
        ("i-33c4e803", "issuing"),
        ("i-97e20d54", "issuing"),
        ("i-44d1f714", "renewing"),
        ("i-55e8a625", "renewing"),
        ("i-66f5b536", "renewing"),
        ("i-a8c41b75", "renewing"),
    ] {
        backends.push(Backend::start(world, &store, &runs, spec(id, service, 0)));
    }
    store.set("keyed.op", "config", Some(&config));
    let mut router = Router::start(world, "edge-1", "zone-a", store.address, folder);
    if !router.wait_ready(15.0) {
        eprintln!("the router is not ready: {}", router.log_text());
        return NOT_RUN;
    }
    let begin = world.now();
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let threads = [
        load(world, &outcomes, &router, "/issue/", 20, begin + 14.0),
        load(world, &outcomes, &router, "/renew/", 20, begin + 14.0),
    ];
    // A quarter more backends (`scale_out`, at most 0.3).
    world.sleep_until(begin + 3.0);
    backends.push(Backend::start(
        world,
        &store,
        &runs,
        spec("i-7c101c1d", "issuing", 3000),
    ));
    world.sleep_until(begin + 5.0);
    let last = if trouble { "i-8149ffb2" } else { "i-8149ffb3" };
    backends.push(Backend::start(
        world,
        &store,
        &runs,
        spec(last, "renewing", 3000),
    ));
    for thread in threads {
        let _ = thread.join();
    }
    if let Some(end) = router.ended() {
        eprintln!("the router has ended by itself: {end}");
        return NOT_RUN;
    }
    router.kill();
    let outcomes = outcomes.lock().unwrap();
    let runs = runs.lock().unwrap();
    let served = outcomes.iter().filter(|o| o.status == 200).count();
    let mut by_backend: HashMap<String, usize> = HashMap::new();
    let mut foreign = 0;
    for run in runs.iter() {
        *by_backend
            .entry(format!("{} {} {}", run.service, run.backend, run.path))
            .or_default() += 1;
        let allowed = if run.path == "/issue/" {
            "issuing"
        } else {
            "renewing"
        };
        if run.service != allowed {
            foreign += 1;
            world.note(&format!(
                "broken   request {} {} was run by service {} (backend {})",
                run.id, run.path, run.service, run.backend
            ));
        }
    }
    let mut counts: Vec<_> = by_backend.into_iter().collect();
    counts.sort();
    for (what, count) in counts {
        world.note(&format!("summary  {what}: {count} runs"));
    }
    let text = format!("summary  {} requests, {served} with 200, {foreign} run by a service that no configuration allows", outcomes.len());
    world.note(&text);
    println!("{}", text.trim_start_matches("summary  "));
    match () {
        () if foreign > 0 => BROKEN,
        () if served * 2 < outcomes.len() || outcomes.len() < 200 => NOT_RUN,
        () => HELD,
    }
}

/// Sends requests with keys to a router until `until`.
fn keyed_load(
    world: &Arc<World>,
    outcomes: &Arc<Mutex<Vec<Outcome>>>,
    router: &Router,
    gap_ms: u64,
    until: f64,
) -> std::thread::JoinHandle<()> {
    let (world, outcomes, front) = (Arc::clone(world), Arc::clone(outcomes), router.front());
    std::thread::spawn(move || {
        let mut random =
            crate::world::Random(u64::from(front.port()) << 32 | u64::from(std::process::id()) | 1);
        let mut threads = Vec::new();
        while world.now() < until {
            let key = random.below(64) * 1024 + 512;
            let (shared, all) = (Arc::clone(&world), Arc::clone(&outcomes));
            threads.push(std::thread::spawn(move || {
                let outcome = send(
                    &shared,
                    front,
                    "GET",
                    "/status/x",
                    "gate.example",
                    Some(key),
                    1200,
                    b"",
                );
                all.lock().unwrap().push(outcome);
            }));
            std::thread::sleep(Duration::from_millis(gap_ms));
        }
        for thread in threads {
            let _ = thread.join();
        }
    })
}

/// Number of times that a router is replaced, and how far apart, in seconds.
const ROUNDS: usize = 5;
const ROUND: f64 = 20.0;

/// A router at a new address starts while the part of the store that lists the routers is down, and
/// backends restart under their ids.
fn unknown_coordinator(world: &Arc<World>, folder: &str, trouble: bool) -> i32 {
    let store = Store::start(world);
    let config = "{\"version\":7,\"routes\":{\"r-status\":{\"host\":\"gate.example\",\"pathPrefix\":\"/status/\",\"routeType\":\"idempotent\",\"timeoutMs\":1200,\"targetLatencyMs\":500,\"priority\":2,\"service\":\"registry\",\"attempts\":2}},\"services\":{\"registry\":{\"healthCheckPath\":\"/healthz\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warmS\":3.0,\"grants\":\"rpc\"}},\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"baseVersion\":0}";
    let (runs, holds): (Runs, Holds) = Default::default();
    let backends: Vec<_> = (0..11)
        .map(|i| {
            let spec = Spec {
                sharded: true,
                work: Duration::from_millis(20),
                ..spec(
                    &format!("i-{:08x}", 0x51ab_33c7_u32.wrapping_mul(2 * i + 3)),
                    "registry",
                    0,
                )
            };
            Backend::start_with(world, &store, &runs, &holds, spec)
        })
        .collect();
    store.set("keyed.op", "config", Some(config));
    let mut names = 0;
    let mut start_router = || {
        names += 1;
        Router::start(
            world,
            &format!("edge-{names}"),
            "zone-a",
            store.address,
            folder,
        )
    };
    let mut first = start_router();
    let mut others = vec![start_router(), start_router(), start_router()];
    if !others.iter().chain([&first]).all(|r| r.wait_ready(15.0)) {
        eprintln!("the routers are not ready");
        return NOT_RUN;
    }
    let begin = world.now();
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let end = begin + ROUNDS as f64 * ROUND;
    let mut random = crate::world::Random(crate::world::unix_ms() | 1);
    let mut threads = vec![keyed_load(world, &outcomes, &first, 15, end)];
    for round in 0..ROUNDS {
        let start = begin + round as f64 * ROUND;
        world.sleep_until(start + 6.0);
        // Routers are removed for good, and others come at new addresses (`replace_core`).
        others.clear();
        if trouble {
            // One partition of four is down for 8 s (`platform_down`, at most 0.3 of them, and 8 s).
            world.note("store    the topic that lists the routers is down");
            store
                .down
                .lock()
                .unwrap()
                .push("keyed.trefoil-hosts".to_owned());
        }
        world.sleep_until(start + 7.0);
        others = vec![start_router(), start_router(), start_router()];
        if !others.iter().all(|r| r.wait_ready(start + 12.0)) {
            eprintln!("the new routers are not ready");
            return NOT_RUN;
        }
        for router in &others {
            threads.push(keyed_load(
                world,
                &outcomes,
                router,
                45,
                (start + ROUND + 5.5).min(end),
            ));
        }
        let mut at = start + 8.0;
        while at < start + 13.3 {
            world.sleep_until(at);
            // Two of eleven backends crash (`srv_crash`, at most 0.195).
            let one = random.below(11) as usize;
            let pause = Duration::from_millis(150 + random.below(150));
            let crashing: Vec<_> = [one, (one + 5) % 11]
                .map(|i| Arc::clone(&backends[i]))
                .into_iter()
                .map(|b| std::thread::spawn(move || b.crash(pause)))
                .collect();
            for thread in crashing {
                let _ = thread.join();
            }
            at = world.now() + 0.05 + random.below(150) as f64 / 1000.0;
        }
        world.sleep_until(start + 14.0);
        store.down.lock().unwrap().clear();
        world.note("store    all topics are up");
    }
    for thread in threads {
        let _ = thread.join();
    }
    for router in others.iter_mut().chain([&mut first]) {
        if let Some(end) = router.ended() {
            eprintln!("a router has ended by itself: {end}");
            return NOT_RUN;
        }
        router.kill();
    }
    for backend in &backends {
        backend.finish_holds();
    }
    let (holds, runs, outcomes) = (
        holds.lock().unwrap(),
        runs.lock().unwrap(),
        outcomes.lock().unwrap(),
    );
    let (mut both, mut low) = (0, 0);
    for (i, a) in holds.iter().enumerate() {
        for b in &holds[i + 1..] {
            let (from, to) = (a.from.max(b.from), a.to.min(b.to));
            if a.backend == b.backend || from > to {
                continue;
            }
            if b.start > a.start && b.fence <= a.fence && b.order != "rest" {
                low += 1;
                world.note(&format!("broken   {from} to {to}: {} got fence {} at {:.3}, after {} had got fence {} at {:.3}", b.backend, b.fence, b.start, a.backend, a.fence, a.start));
            }
            let (start, end) = (a.start.max(b.start), a.end.min(b.end));
            if end <= start {
                continue;
            }
            let began = |name: &str| {
                runs.iter()
                    .filter(|r| {
                        r.backend == name
                            && start <= r.at
                            && r.at < end
                            && r.key.is_some_and(|k| from <= k && k <= to)
                    })
                    .count()
            };
            let (by_a, by_b) = (began(&a.backend), began(&b.backend));
            if end - start > 0.02 {
                world.note(&format!("overlap  {from} to {to}: {} (fence {}) and {} (fence {}) both hold them from {start:.3} to {end:.3}, and begin {by_a} and {by_b} requests", a.backend, a.fence, b.backend, b.fence));
            }
            if by_a > 0 && by_b > 0 {
                both += 1;
                world.note("broken   both begin requests on keys that both hold");
            }
        }
    }
    let long = long_double_holds(world, &holds);
    let served = outcomes.iter().filter(|o| o.status == 200).count();
    let text = format!("summary  {} requests, {served} with 200; broken: {both} times two backends began requests on keys that both held, {low} grants with a fence not above another backend's, {long} keys held by two backends for over half a second", outcomes.len());
    world.note(&text);
    println!("{}", text.trim_start_matches("summary  "));
    match () {
        () if both + low + long > 0 => BROKEN,
        () if served * 2 < outcomes.len() => NOT_RUN,
        () => HELD,
    }
}

/// Counts how often two backends held one of the requested keys for over half a second.
fn long_double_holds(world: &World, holds: &[Hold]) -> usize {
    let mut count = 0;
    for key in (0..64).map(|n| n * 1024 + 512) {
        let mut spans: HashMap<&str, Vec<(f64, f64)>> = HashMap::new();
        let mut of_key: Vec<&Hold> = holds
            .iter()
            .filter(|h| h.from <= key && key <= h.to)
            .collect();
        of_key.sort_by(|a, b| a.start.total_cmp(&b.start));
        for hold in of_key {
            let known = spans.entry(&hold.backend).or_default();
            match known.last_mut() {
                // A renewal takes the place of the grant before it.
                Some(last) if hold.start <= last.1 + 0.002 => last.1 = last.1.max(hold.end),
                _ => known.push((hold.start, hold.end)),
            }
        }
        let all: Vec<(&str, f64, f64)> = spans
            .iter()
            .flat_map(|(b, s)| s.iter().map(|(x, y)| (*b, *x, *y)))
            .collect();
        for (i, a) in all.iter().enumerate() {
            for b in all[i + 1..].iter().filter(|b| b.0 != a.0) {
                let (start, end) = (a.1.max(b.1), a.2.min(b.2));
                if end - start > 0.5 {
                    count += 1;
                    world.note(&format!(
                        "broken   key {key}: {} and {} both hold it from {start:.3} to {end:.3}",
                        a.0, b.0
                    ));
                }
            }
        }
    }
    count
}
