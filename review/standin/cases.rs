//! The cases.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::backend::{Backend, Runs, Spec};
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
fn load(world: &Arc<World>, outcomes: &Arc<Mutex<Vec<Outcome>>>, router: &Router, path: &'static str, gap_ms: u64, until: f64) -> std::thread::JoinHandle<()> {
    let (world, outcomes, front) = (Arc::clone(world), Arc::clone(outcomes), router.front());
    std::thread::spawn(move || {
        let mut threads = Vec::new();
        while world.now() < until {
            let (shared, all) = (Arc::clone(&world), Arc::clone(&outcomes));
            threads.push(std::thread::spawn(move || {
                let body = b"{\"amount\":1200}";
                let outcome = send(&shared, front, "POST", path, "gate.example", None, 1500, body);
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
        ("i-11a0c3e1", "issuing"), ("i-22b7d9f2", "issuing"), ("i-33c4e803", "issuing"), ("i-97e20d54", "issuing"),
        ("i-44d1f714", "renewing"), ("i-55e8a625", "renewing"), ("i-66f5b536", "renewing"), ("i-a8c41b75", "renewing"),
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
    backends.push(Backend::start(world, &store, &runs, spec("i-7c101c1d", "issuing", 3000)));
    world.sleep_until(begin + 5.0);
    let last = if trouble { "i-8149ffb2" } else { "i-8149ffb3" };
    backends.push(Backend::start(world, &store, &runs, spec(last, "renewing", 3000)));
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
        *by_backend.entry(format!("{} {} {}", run.service, run.backend, run.path)).or_default() += 1;
        let allowed = if run.path == "/issue/" { "issuing" } else { "renewing" };
        if run.service != allowed {
            foreign += 1;
            world.note(&format!("broken   request {} {} was run by service {} (backend {})", run.id, run.path, run.service, run.backend));
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
