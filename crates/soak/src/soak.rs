//! The randomized fault-injection soak.
//!
//! One generator, seeded by [`Options::seed`], draws all faults, their targets and their durations.
//! Faults overlap: each schedules the action that ends it and does not wait for it. The callers
//! have generators of their own, so the number of requests does not influence the faults. The order
//! of draws must not change, because failed seeds are regression cases. A seed does not determine
//! the timing of the processes, so two runs of it can differ.

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use trefoil_standin::{ResponseMode, StoreFault, test_config};

use crate::callers::Callers;
use crate::fleet::{Fleet, upstream_spec};
use crate::invariants::check_invariants;
use crate::proxy::LinkMode;

/// Time limit for service to recover after the last fault, as the users' sites state it.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);

/// Wait after the last call for its attempts to end. It exceeds the 1.5 s timeout of the routes.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time after which the registry removes a crashed upstream: three heartbeats.
const REGISTRY_EXPIRY: Duration = Duration::from_millis(900);

/// Options of a soak.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the trefoild binary.
    pub program: PathBuf,
    /// Seed of all random choices.
    pub seed: u64,
    /// Time during which faults start.
    pub fault_window: Duration,
    /// Number of hosts.
    pub hosts: usize,
}

/// A scheduled action, such as one that ends a fault.
type Action = Box<dyn FnOnce(&mut Soak)>;

/// State of a soak.
struct Soak {
    fleet: Fleet,
    rng: StdRng,
    /// Hosts that were signalled to stop and have not been restarted yet.
    stopping: BTreeSet<usize>,
    /// Scheduled actions and their times.
    scheduled: Vec<(Instant, Action)>,
    config_version: u64,
    replacements: u32,
    /// Injected faults and other events as lines of text, for the report.
    timeline: Vec<String>,
    started: Instant,
}

/// Runs a deployment under faults. Returns the violations and the timeline, each as lines of text.
pub fn soak(options: &Options) -> (Vec<String>, Vec<String>) {
    let plain = ["p1", "p2", "p3"].map(|name| upstream_spec(name, "plain"));
    let sharded = ["k1", "k2", "k3"].map(|name| upstream_spec(name, "keys"));
    let mut fleet = Fleet::new(&options.program, [plain, sharded].concat());
    for number in 0..options.hosts {
        fleet.start_host_in(["a", "b", "c"][number % 3]);
    }
    fleet.wait_until_served(0, "/read/x", "");
    fleet.wait_until_served(0, "/keyed/x", "X-Shard-Key: 7\r\n");
    let callers: Vec<_> = fleet.hosts.iter().map(|host| host.caller_address).collect();
    let callers = Callers::start(options.seed, 8, &callers);
    let mut soak = Soak {
        fleet,
        rng: StdRng::seed_from_u64(options.seed),
        stopping: BTreeSet::new(),
        scheduled: Vec::new(),
        config_version: 1,
        replacements: 0,
        timeline: Vec::new(),
        started: Instant::now(),
    };
    soak.run(options.fault_window);
    let mut violations = soak.wait_for_recovery();
    let calls = callers.finish();
    thread::sleep(SETTLE_TIME);
    violations.extend(check_invariants(&calls, &soak.fleet.recorder));
    let served = calls
        .iter()
        .filter(|c| c.answer.as_ref().is_some_and(|a| a.status == 200));
    soak.timeline
        .push(format!("{} calls, {} served", calls.len(), served.count()));
    if !violations.is_empty() {
        soak.save_logs(options.seed);
    }
    (violations, soak.timeline)
}

impl Soak {
    /// Injects faults for `fault_window`, then waits until all have ended.
    fn run(&mut self, fault_window: Duration) {
        while self.started.elapsed() < fault_window {
            let pause = self.rng.random_range(100..1200);
            self.run_scheduled(Duration::from_millis(pause));
            self.inject_fault();
        }
        // Faults that are still active end as scheduled.
        while let Some(last) = self.scheduled.iter().map(|(at, _)| *at).max() {
            self.run_scheduled(last.saturating_duration_since(Instant::now()));
        }
    }

    /// Runs scheduled actions as they become due, for `duration`.
    fn run_scheduled(&mut self, duration: Duration) {
        let until = Instant::now() + duration;
        loop {
            let now = Instant::now();
            let due = self.scheduled.iter().position(|(at, _)| *at <= now);
            if let Some(index) = due {
                let (_, action) = self.scheduled.swap_remove(index);
                action(self);
            } else if now >= until {
                return;
            } else {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    /// Adds an event to the timeline.
    fn log_event(&mut self, event: &str) {
        let at = self.started.elapsed().as_millis();
        self.timeline.push(format!("{at:>6} ms  {event}"));
    }

    /// Schedules an action after `delay_ms` milliseconds.
    fn schedule<F>(&mut self, delay_ms: u64, action: F)
    where
        F: FnOnce(&mut Self) + 'static,
    {
        let at = Instant::now() + Duration::from_millis(delay_ms);
        self.scheduled.push((at, Box::new(action)));
    }

    /// Injects a random fault.
    fn inject_fault(&mut self) {
        let duration_ms = self.rng.random_range(200..3000);
        match self.rng.random_range(0..11) {
            0 => self.stop_host(Signal::SIGKILL),
            1 => self.stop_host(Signal::SIGTERM),
            2 => self.pause_host(duration_ms),
            3 => self.reload_host(),
            4 => self.crash_upstream(duration_ms),
            5 => self.drain_upstream(duration_ms),
            6 => self.inject_response_fault(duration_ms),
            7 => self.inject_upstream_link_fault(duration_ms),
            8 => self.inject_store_fault(duration_ms),
            9 => self.inject_store_link_fault(duration_ms),
            _ => self.change_config(),
        }
    }

    fn pick_host(&mut self) -> usize {
        self.rng.random_range(0..self.fleet.hosts.len())
    }

    fn pick_upstream(&mut self) -> String {
        let index = self.rng.random_range(0..self.fleet.upstreams.len());
        self.fleet.upstreams[index].name().to_owned()
    }

    fn pick_link_fault(&mut self) -> LinkMode {
        let delay = Duration::from_millis(self.rng.random_range(5..400));
        let modes = [
            LinkMode::Delay(delay),
            LinkMode::Reset,
            LinkMode::Blackhole,
            LinkMode::DropAnswers,
        ];
        modes[self.rng.random_range(0..modes.len())]
    }

    /// Signals a host to stop, and restarts it after its process has ended.
    fn stop_host(&mut self, signal: Signal) {
        let host = self.pick_host();
        if !self.fleet.hosts[host].is_running() {
            return;
        }
        self.log_event(&format!("{signal} to host {}", host + 1));
        self.fleet.hosts[host].signal(signal);
        let delay_ms = self.rng.random_range(100..2500);
        // A second signal may come before the process has ended; only the first schedules a
        // restart.
        if self.stopping.insert(host) {
            self.schedule(delay_ms, move |soak| soak.restart_host(host));
        }
    }

    /// Restarts a host once its process has ended.
    fn restart_host(&mut self, host: usize) {
        if self.fleet.hosts[host].is_running() {
            // It is still draining and may serve callers until its process ends.
            self.schedule(200, move |soak| soak.restart_host(host));
            return;
        }
        self.log_event(&format!("host {} is restarted", host + 1));
        self.stopping.remove(&host);
        self.fleet.restart_host(host);
    }

    /// Pauses the process of a host.
    fn pause_host(&mut self, duration_ms: u64) {
        let host = self.pick_host();
        if !self.fleet.hosts[host].is_running() {
            return;
        }
        self.log_event(&format!("host {} is paused for {duration_ms} ms", host + 1));
        self.fleet.hosts[host].signal(Signal::SIGSTOP);
        self.schedule(duration_ms, move |soak| {
            if soak.fleet.hosts[host].is_running() {
                soak.fleet.hosts[host].signal(Signal::SIGCONT);
            }
        });
    }

    /// Makes a host reload its settings.
    fn reload_host(&mut self) {
        let host = self.pick_host();
        if self.fleet.hosts[host].is_running() {
            self.log_event(&format!("SIGHUP to host {}", host + 1));
            self.fleet.hosts[host].signal(Signal::SIGHUP);
        }
    }

    /// Crashes an upstream. It restarts under the same name, or one with a new name replaces it.
    fn crash_upstream(&mut self, duration_ms: u64) {
        let name = self.pick_upstream();
        let same_name = self.rng.random_bool(0.5);
        self.log_event(&format!(
            "{name} crashes for {duration_ms} ms, restarts under its name: {same_name}"
        ));
        self.fleet.upstream(&name).crash();
        self.replace_upstream(name, same_name, duration_ms);
    }

    /// Schedules the removal of the registry entry, unless the upstream restarts under its name
    /// before the entry expires, and the start of the next upstream after `delay_ms` milliseconds.
    /// An upstream with a new name does not start before the old entry is removed.
    fn replace_upstream(&mut self, name: String, same_name: bool, delay_ms: u64) {
        let expiry = u64::try_from(REGISTRY_EXPIRY.as_millis()).unwrap_or(u64::MAX);
        let mut next = self.fleet.upstream(&name).spec().clone();
        if !same_name {
            self.replacements += 1;
            next.name = format!("{name}x{}", self.replacements);
        }
        self.fleet.remove_upstream(&name);
        if delay_ms > expiry || !same_name {
            self.schedule(expiry, move |soak| {
                let removed = soak.fleet.control_plane.remove_registration(&name);
                removed.expect("the store accepts the removal");
            });
        }
        self.schedule(
            delay_ms.max(if same_name { 0 } else { expiry }),
            move |soak| {
                soak.fleet.start_upstream(next);
            },
        );
    }

    /// Drains an upstream and then stops it; one with a new name replaces it.
    fn drain_upstream(&mut self, duration_ms: u64) {
        let name = self.pick_upstream();
        self.log_event(&format!(
            "{name} drains and stops after {} ms",
            duration_ms + 2000
        ));
        self.fleet.upstream(&name).drain();
        self.schedule(duration_ms + 2000, move |soak| {
            if soak.fleet.has_upstream(&name) {
                soak.fleet.upstream(&name).crash();
                soak.replace_upstream(name, false, 0);
            }
        });
    }

    /// Makes an upstream respond faultily.
    fn inject_response_fault(&mut self, duration_ms: u64) {
        let modes = [
            ResponseMode::Reset,
            ResponseMode::Truncate,
            ResponseMode::Duplicate,
            ResponseMode::Refuse,
            ResponseMode::Fail,
            ResponseMode::Unsigned,
            ResponseMode::Hang,
        ];
        let mode = modes[self.rng.random_range(0..modes.len())];
        let name = self.pick_upstream();
        self.log_event(&format!("{name}: {mode:?} for {duration_ms} ms"));
        self.fleet.upstream(&name).set_response_mode(mode);
        self.schedule(duration_ms, move |soak| {
            if soak.fleet.has_upstream(&name) {
                soak.fleet
                    .upstream(&name)
                    .set_response_mode(ResponseMode::Normal);
            }
        });
    }

    /// Injects a network fault between the hosts and an upstream.
    fn inject_upstream_link_fault(&mut self, duration_ms: u64) {
        let (name, mode) = (self.pick_upstream(), self.pick_link_fault());
        self.log_event(&format!("link to {name}: {mode:?} for {duration_ms} ms"));
        self.fleet.upstream_link(&name).set_mode(mode);
        self.schedule(duration_ms, move |soak| {
            if soak.fleet.has_upstream(&name) {
                soak.fleet.upstream_link(&name).set_mode(LinkMode::Forward);
            }
        });
    }

    /// Injects a fault into all calls to the store.
    fn inject_store_fault(&mut self, duration_ms: u64) {
        let faults = [
            StoreFault::Down,
            StoreFault::Silent,
            StoreFault::AnswerLost,
            StoreFault::Slow(300),
        ];
        let fault = faults[self.rng.random_range(0..faults.len())];
        self.log_event(&format!("store: {fault:?} for {duration_ms} ms"));
        self.fleet.store.set_fault(fault);
        self.schedule(duration_ms, |soak| {
            soak.fleet.store.set_fault(StoreFault::None);
        });
    }

    /// Injects a network fault between a host and the store.
    fn inject_store_link_fault(&mut self, duration_ms: u64) {
        let (host, mode) = (self.pick_host(), self.pick_link_fault());
        let number = host + 1;
        self.log_event(&format!(
            "store for host {number}: {mode:?} for {duration_ms} ms"
        ));
        self.fleet.hosts[host].store_link().set_mode(mode);
        self.schedule(duration_ms, move |soak| {
            soak.fleet.hosts[host]
                .store_link()
                .set_mode(LinkMode::Forward);
        });
    }

    /// Writes a new version of the configuration.
    fn change_config(&mut self) {
        self.config_version += self.rng.random_range(1..4);
        let mut next = test_config(self.config_version);
        let timeout: u64 = self.rng.random_range(800..1500);
        next["routes"]["read"]["timeoutMs"] = timeout.into();
        self.log_event(&format!("configuration {}", self.config_version));
        let written = self.fleet.control_plane.write_config(&next);
        written.expect("the store accepts the configuration");
    }

    /// Writes the log of each host to a folder, and the folder's path to the timeline.
    fn save_logs(&mut self, seed: u64) {
        let folder = std::env::temp_dir().join(format!("trefoil-soak-{seed}"));
        std::fs::create_dir_all(&folder).expect("the log folder is created");
        for (number, host) in self.fleet.hosts.iter().enumerate() {
            let file = folder.join(format!("host-{}.log", number + 1));
            std::fs::write(file, host.log_lines().join("\n")).expect("the log is written");
        }
        self.log_event(&format!("logs of the hosts: {}", folder.display()));
    }

    /// Waits until every host serves every kind of request again. Returns a violation for each that
    /// is not served within [`RECOVERY_TIMEOUT`].
    fn wait_for_recovery(&mut self) -> Vec<String> {
        let until = Instant::now() + RECOVERY_TIMEOUT;
        let paths = [
            ("/read/x", 0),
            ("/write/x", 0),
            ("/keyed/x", 1),
            ("/keyed/x", 60_000),
        ];
        let hosts = 0..self.fleet.hosts.len();
        let all = hosts.flat_map(|host| paths.map(|(path, key)| (host, path, key)));
        let mut missing: Vec<(usize, &str, u16)> = all.collect();
        while !missing.is_empty() && Instant::now() < until {
            missing.retain(|(host, path, key)| {
                let id = format!("recovery-{host}-{}", self.rng.random::<u32>());
                let headers = format!("X-Shard-Key: {key}\r\n");
                let answer = self.fleet.hosts[*host].get(&id, path, &headers);
                answer.is_none_or(|a| a.status != 200)
            });
            thread::sleep(Duration::from_millis(20));
        }
        let after = self.started.elapsed();
        self.log_event(&format!("the recovery check ended after {after:?}"));
        let violations = missing.iter().map(|(host, path, key)| {
            format!(
                "host {}: {path} with key {key} is not served within {RECOVERY_TIMEOUT:?}",
                host + 1
            )
        });
        violations.collect()
    }
}
