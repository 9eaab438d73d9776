//! A deployment under faults that a seed chooses.

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

/// Longest wait for service after the last fault. The users' sites state 15 s.
const RECOVERY: Duration = Duration::from_secs(15);

/// Time after the last call in which its attempts end; the routes' time-out is 1.5 s.
const SETTLE: Duration = Duration::from_secs(2);

/// Time after which the registry drops an upstream that has crashed: three heartbeats.
const LAPSE: Duration = Duration::from_millis(900);

/// What a soak does.
#[derive(Debug, Clone)]
pub struct Options {
    /// The program under test.
    pub program: PathBuf,
    /// The seed of all choices.
    pub seed: u64,
    /// Time in which faults begin.
    pub fault_window: Duration,
    /// Number of hosts.
    pub hosts: usize,
}

/// Something that ends a fault.
type Undo = Box<dyn FnOnce(&mut Soak)>;

/// One run.
struct Soak {
    fleet: Fleet,
    random: StdRng,
    /// Hosts that were told to end and are not started again yet.
    ending: BTreeSet<usize>,
    /// What is to be done, and when.
    due: Vec<(Instant, Undo)>,
    version: u64,
    joined: u32,
    /// What was done, for the report.
    story: Vec<String>,
    begun: Instant,
}

/// Runs a deployment under faults; returns what was broken, each as a line, and the story.
pub fn soak(options: &Options) -> (Vec<String>, Vec<String>) {
    let specs = ["p1", "p2", "p3"].map(|name| upstream_spec(name, "plain"));
    let keyed = ["k1", "k2", "k3"].map(|name| upstream_spec(name, "keys"));
    let mut fleet = Fleet::new(&options.program, [specs, keyed].concat());
    for number in 0..options.hosts {
        fleet.start_host_in(["a", "b", "c"][number % 3]);
    }
    fleet.wait_until_served(0, "/read/x", "");
    fleet.wait_until_served(0, "/keyed/x", "X-Shard-Key: 7\r\n");
    let callers: Vec<_> = fleet.hosts.iter().map(|host| host.caller_address).collect();
    let callers = Callers::start(options.seed, 8, &callers);
    let mut soak = Soak {
        fleet,
        random: StdRng::seed_from_u64(options.seed),
        ending: BTreeSet::new(),
        due: Vec::new(),
        version: 1,
        joined: 0,
        story: Vec::new(),
        begun: Instant::now(),
    };
    soak.run(options.fault_window);
    let mut broken = soak.recover();
    let calls = callers.finish();
    thread::sleep(SETTLE);
    broken.extend(check_invariants(&calls, &soak.fleet.recorder));
    let served = calls
        .iter()
        .filter(|c| c.answer.as_ref().is_some_and(|a| a.status == 200));
    soak.story
        .push(format!("{} calls, {} served", calls.len(), served.count()));
    if !broken.is_empty() {
        soak.keep_logs(options.seed);
    }
    (broken, soak.story)
}

impl Soak {
    fn run(&mut self, span: Duration) {
        while self.begun.elapsed() < span {
            let pause = self.random.random_range(100..1200);
            self.wait(Duration::from_millis(pause));
            self.harm();
        }
        // The last faults end in their own time.
        while let Some(last) = self.due.iter().map(|(at, _)| *at).max() {
            self.wait(last.saturating_duration_since(Instant::now()));
        }
    }

    /// Waits, and ends faults whose time has come.
    fn wait(&mut self, span: Duration) {
        let until = Instant::now() + span;
        loop {
            let now = Instant::now();
            let due = self.due.iter().position(|(at, _)| *at <= now);
            if let Some(index) = due {
                let (_, undo) = self.due.swap_remove(index);
                undo(self);
            } else if now >= until {
                return;
            } else {
                thread::sleep(Duration::from_millis(5));
            }
        }
    }

    fn tell(&mut self, what: &str) {
        let at = self.begun.elapsed().as_millis();
        self.story.push(format!("{at:>6} ms  {what}"));
    }

    /// Does something later.
    fn later<F>(&mut self, millis: u64, undo: F)
    where
        F: FnOnce(&mut Self) + 'static,
    {
        let at = Instant::now() + Duration::from_millis(millis);
        self.due.push((at, Box::new(undo)));
    }

    /// Begins one fault.
    fn harm(&mut self) {
        let span = self.random.random_range(200..3000);
        match self.random.random_range(0..11) {
            0 => self.end_host(Signal::SIGKILL),
            1 => self.end_host(Signal::SIGTERM),
            2 => self.pause_host(span),
            3 => self.reload_host(),
            4 => self.crash_upstream(span),
            5 => self.drain_upstream(span),
            6 => self.spoil_upstream(span),
            7 => self.harm_upstream_link(span),
            8 => self.harm_store(span),
            9 => self.harm_store_link(span),
            _ => self.configure(),
        }
    }

    fn host(&mut self) -> usize {
        self.random.random_range(0..self.fleet.hosts.len())
    }

    fn upstream(&mut self) -> String {
        let index = self.random.random_range(0..self.fleet.upstreams.len());
        self.fleet.upstreams[index].name().to_owned()
    }

    fn mode(&mut self) -> LinkMode {
        let delay = Duration::from_millis(self.random.random_range(5..400));
        let modes = [
            LinkMode::Delay(delay),
            LinkMode::Reset,
            LinkMode::Blackhole,
            LinkMode::DropAnswers,
        ];
        modes[self.random.random_range(0..modes.len())]
    }

    /// Ends a host and starts it again when it has gone.
    fn end_host(&mut self, signal: Signal) {
        let host = self.host();
        if !self.fleet.hosts[host].is_running() {
            return;
        }
        self.tell(&format!("{signal} to host {}", host + 1));
        self.fleet.hosts[host].signal(signal);
        let millis = self.random.random_range(100..2500);
        // A second signal may come before the process has ended; it is started again once.
        if self.ending.insert(host) {
            self.later(millis, move |soak| soak.restart(host));
        }
    }

    fn restart(&mut self, host: usize) {
        if self.fleet.hosts[host].is_running() {
            // It is still finishing; callers may use it until it is gone.
            self.later(200, move |soak| soak.restart(host));
            return;
        }
        self.tell(&format!("start of host {}", host + 1));
        self.ending.remove(&host);
        self.fleet.restart_host(host);
    }

    fn pause_host(&mut self, span: u64) {
        let host = self.host();
        if !self.fleet.hosts[host].is_running() {
            return;
        }
        self.tell(&format!("host {} stands still for {span} ms", host + 1));
        self.fleet.hosts[host].signal(Signal::SIGSTOP);
        self.later(span, move |soak| {
            if soak.fleet.hosts[host].is_running() {
                soak.fleet.hosts[host].signal(Signal::SIGCONT);
            }
        });
    }

    fn reload_host(&mut self) {
        let host = self.host();
        if self.fleet.hosts[host].is_running() {
            self.tell(&format!("SIGHUP to host {}", host + 1));
            self.fleet.hosts[host].signal(Signal::SIGHUP);
        }
    }

    /// Ends an upstream; it returns under its name, or another one takes its place.
    fn crash_upstream(&mut self, span: u64) {
        let name = self.upstream();
        let returns = self.random.random_bool(0.5);
        self.tell(&format!("{name} crashes for {span} ms, returns: {returns}"));
        self.fleet.upstream(&name).crash();
        self.replace(name, returns, span);
    }

    fn replace(&mut self, name: String, returns: bool, span: u64) {
        let lapse = u64::try_from(LAPSE.as_millis()).unwrap_or(u64::MAX);
        let mut next = self.fleet.upstream(&name).spec().clone();
        if !returns {
            self.joined += 1;
            next.name = format!("{name}x{}", self.joined);
        }
        self.fleet.remove_upstream(&name);
        if span > lapse || !returns {
            self.later(lapse, move |soak| {
                let forgotten = soak.fleet.control_plane.remove_registration(&name);
                forgotten.expect("the store takes it");
            });
        }
        self.later(span.max(if returns { 0 } else { lapse }), move |soak| {
            soak.fleet.start_upstream(next);
        });
    }

    fn drain_upstream(&mut self, span: u64) {
        let name = self.upstream();
        self.tell(&format!("{name} leaves within {} ms", span + 2000));
        self.fleet.upstream(&name).drain();
        self.later(span + 2000, move |soak| {
            if soak.fleet.has_upstream(&name) {
                soak.fleet.upstream(&name).crash();
                soak.replace(name, false, 0);
            }
        });
    }

    fn spoil_upstream(&mut self, span: u64) {
        let manners = [
            ResponseMode::Reset,
            ResponseMode::Truncate,
            ResponseMode::Duplicate,
            ResponseMode::Refuse,
            ResponseMode::Fail,
            ResponseMode::Unsigned,
            ResponseMode::Hang,
        ];
        let manner = manners[self.random.random_range(0..manners.len())];
        let name = self.upstream();
        self.tell(&format!("{name}: {manner:?} for {span} ms"));
        self.fleet.upstream(&name).set_response_mode(manner);
        self.later(span, move |soak| {
            if soak.fleet.has_upstream(&name) {
                soak.fleet
                    .upstream(&name)
                    .set_response_mode(ResponseMode::Normal);
            }
        });
    }

    fn harm_upstream_link(&mut self, span: u64) {
        let (name, mode) = (self.upstream(), self.mode());
        self.tell(&format!("link to {name}: {mode:?} for {span} ms"));
        self.fleet.upstream_link(&name).set_mode(mode);
        self.later(span, move |soak| {
            if soak.fleet.has_upstream(&name) {
                soak.fleet.upstream_link(&name).set_mode(LinkMode::Forward);
            }
        });
    }

    fn harm_store(&mut self, span: u64) {
        let faults = [
            StoreFault::Down,
            StoreFault::Silent,
            StoreFault::AnswerLost,
            StoreFault::Slow(300),
        ];
        let fault = faults[self.random.random_range(0..faults.len())];
        self.tell(&format!("store: {fault:?} for {span} ms"));
        self.fleet.store.set_fault(fault);
        self.later(span, |soak| soak.fleet.store.set_fault(StoreFault::None));
    }

    fn harm_store_link(&mut self, span: u64) {
        let (host, mode) = (self.host(), self.mode());
        let number = host + 1;
        self.tell(&format!("store for host {number}: {mode:?} for {span} ms"));
        self.fleet.hosts[host].store_link().set_mode(mode);
        self.later(span, move |soak| {
            soak.fleet.hosts[host]
                .store_link()
                .set_mode(LinkMode::Forward);
        });
    }

    fn configure(&mut self) {
        self.version += self.random.random_range(1..4);
        let mut next = test_config(self.version);
        let timeout: u64 = self.random.random_range(800..1500);
        next["routes"]["read"]["timeoutMs"] = timeout.into();
        self.tell(&format!("configuration {}", self.version));
        let written = self.fleet.control_plane.write_config(&next);
        written.expect("the store takes it");
    }

    /// Writes the log of each host to a folder, which the story names.
    fn keep_logs(&mut self, seed: u64) {
        let folder = std::env::temp_dir().join(format!("trefoil-soak-{seed}"));
        std::fs::create_dir_all(&folder).expect("a folder for the logs");
        for (number, host) in self.fleet.hosts.iter().enumerate() {
            let file = folder.join(format!("host-{}.log", number + 1));
            std::fs::write(file, host.log_lines().join("\n")).expect("the log is written");
        }
        self.tell(&format!("logs of the hosts: {}", folder.display()));
    }

    /// Waits until every host serves every kind of request again.
    fn recover(&mut self) -> Vec<String> {
        let until = Instant::now() + RECOVERY;
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
                let id = format!("recovery-{host}-{}", self.random.random::<u32>());
                let headers = format!("X-Shard-Key: {key}\r\n");
                let answer = self.fleet.hosts[*host].get(&id, path, &headers);
                answer.is_none_or(|a| a.status != 200)
            });
            thread::sleep(Duration::from_millis(20));
        }
        let after = self.begun.elapsed();
        self.tell(&format!("service is back after {after:?}"));
        let broken = missing.iter().map(|(host, path, key)| {
            format!(
                "host {}: {path} with key {key} is not served again",
                host + 1
            )
        });
        broken.collect()
    }
}
