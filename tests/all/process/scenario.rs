//! Scripted failures under load, with the checker of the request history.
//!
//! Each of `scenarios/*.txt` contains a script with one step per line, and the expected verdict.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use nix::sys::signal::Signal;
use serde_json::Value;

use super::deployment::{Daemon, Deployment, call};
use super::history::{Load, check};
use trefoil_soak::eventually;

/// Maximum time from a loss until all keys are served again.
const TARGET: Duration = Duration::from_secs(4);

/// Time after which a leaving upstream receives no new requests.
const LEAVE_TIME: Duration = Duration::from_secs(3);

const DOMAINS: [&str; 3] = ["a", "b", "c"];

struct Scenario {
    deployment: Deployment,
    fenced: bool,
    /// Processing time of a request at an upstream, in milliseconds.
    work: String,
    load: Option<Load>,
    last_loss: Instant,
    verdict: String,
    stopped: Vec<Daemon>,
}

impl Scenario {
    fn new() -> Self {
        Self {
            deployment: Deployment::new(),
            fenced: false,
            work: "3".to_owned(),
            load: None,
            last_loss: Instant::now(),
            verdict: String::new(),
            stopped: Vec::new(),
        }
    }

    fn step(&mut self, line: &str) {
        let words: Vec<_> = line.split_whitespace().collect();
        match words[..] {
            ["upstreams", count, kind] => self.upstreams(number(count), kind == "fenced"),
            ["work", millis] => millis.clone_into(&mut self.work),
            ["hosts", count] => self.hosts(number(count)),
            ["publish"] => self.publish(&[]),
            ["load", callers] => self.start_load(number(callers)),
            ["wait", millis] => std::thread::sleep(Duration::from_millis(number(millis))),
            ["kill", "dispatcher", "of", upstream] => self.kill_dispatcher(upstream),
            ["stop", "dispatcher", "of", upstream] => self.stop_dispatcher(upstream),
            ["restart", host] => self.restart(host),
            ["lose", upstream] => {
                self.last_loss = Instant::now();
                let upstream = self
                    .deployment
                    .upstreams
                    .get_mut(upstream)
                    .expect("an upstream");
                upstream.process.signal(Signal::SIGKILL);
            }
            ["freeze", upstream] => {
                self.last_loss = Instant::now();
                self.deployment.upstreams[upstream]
                    .process
                    .signal(Signal::SIGSTOP);
            }
            ["thaw", upstream] => {
                self.deployment.upstreams[upstream]
                    .process
                    .signal(Signal::SIGCONT);
            }
            ["log", fault] => self.deployment.fault(fault),
            ["leave", upstream] => self.publish(&[upstream]),
            ["quiet", upstream] => self.quiet(upstream),
            ["served"] => self.served(),
            ["check"] => self.check(),
            _ => panic!("not a step: {line}"),
        }
    }

    fn upstreams(&mut self, count: u64, fenced: bool) {
        self.fenced = fenced;
        let mut flags = vec!["--work-ms", self.work.as_str()];
        flags.extend(fenced.then_some("--fenced"));
        for (i, domain) in (1..=count).zip(DOMAINS.iter().cycle()) {
            self.deployment
                .upstream(&format!("offers-{i}"), domain, &flags);
        }
    }

    fn hosts(&mut self, count: u64) {
        for (i, domain) in (1..=count).zip(DOMAINS.iter().cycle()) {
            self.deployment.daemon(&format!("host-{i}"), domain);
        }
    }

    fn any_host(&self) -> String {
        self.deployment
            .daemons
            .keys()
            .next()
            .expect("a host")
            .clone()
    }

    fn publish(&mut self, leaving: &[&str]) {
        let host = self.any_host();
        let mut resource = self.deployment.resource(self.fenced);
        for name in leaving {
            let found = format!("name: {name},");
            resource = resource.replace(&found, &format!("{found} leaving: true,"));
        }
        let status = get(&self.deployment, &host, "/v1/resources");
        let base = status[0]["revision"].as_u64().unwrap_or(0);
        let (status, verdict) = self.deployment.publish(&host, &resource, base);
        assert!(status.is_success(), "{verdict}");
        self.last_loss = Instant::now();
        for host in self.deployment.daemons.keys() {
            eventually("every host serves", || self.serves(host));
        }
    }

    fn serves(&self, host: &str) -> Option<()> {
        let done = |k| {
            let path = format!("/offers/customer-{k}");
            let mut request = Request::get(path).body(Bytes::new()).expect("a request");
            let timeout = http::HeaderValue::from_static("400");
            request.headers_mut().insert("trefoil-timeout-ms", timeout);
            let outcome = self.deployment.send(host, request).outcome;
            if outcome != "done" && self.last_loss.elapsed() > 2 * TARGET {
                println!("{host}: customer-{k} is {outcome}");
            }
            outcome == "done"
        };
        (0..24).all(done).then_some(())
    }

    fn start_load(&mut self, callers: u64) {
        // Waits until every lease has its witnesses, because a host without any has no successor.
        std::thread::sleep(Duration::from_secs(2));
        let addresses: Vec<_> = self.deployment.daemons.values().map(|d| d.caller).collect();
        self.load = Some(Load::start(&addresses, callers));
    }

    fn dispatcher(&self, upstream: &str) -> String {
        let status = get(&self.deployment, &self.any_host(), "/v1/status");
        let list = status["upstreams"].as_array().expect("upstreams");
        let found = list
            .iter()
            .find(|u| u["name"] == upstream)
            .expect("the upstream");
        found["dispatcher"]
            .as_str()
            .expect("a dispatcher")
            .to_owned()
    }

    fn kill_dispatcher(&mut self, upstream: &str) {
        let host = self.dispatcher(upstream);
        self.last_loss = Instant::now();
        self.deployment.daemons.remove(&host).expect("it runs");
    }

    fn stop_dispatcher(&mut self, upstream: &str) {
        let host = self.dispatcher(upstream);
        self.last_loss = Instant::now();
        let daemon = self.deployment.daemons.remove(&host).expect("it runs");
        daemon.process.signal(Signal::SIGSTOP);
        self.stopped.push(daemon);
    }

    fn restart(&mut self, host: &str) {
        let mut daemon = self.deployment.daemons.remove(host).expect("it runs");
        daemon.process.signal(Signal::SIGTERM);
        let status = daemon.process.wait();
        assert!(
            status.success(),
            "a drained host exits with 0, got {status}"
        );
        let index = host.rsplit('-').next().map_or(1, number);
        let domain = DOMAINS[usize::try_from(index - 1).expect("an index") % DOMAINS.len()];
        self.deployment.daemon(host, domain);
        self.last_loss = Instant::now();
    }

    /// Waits until all hosts serve all keys, and checks the time since the last loss.
    fn served(&mut self) {
        for host in self.deployment.daemons.keys() {
            eventually("served again", || self.serves(host));
        }
        let took = self.last_loss.elapsed();
        println!("served again after {} ms", took.as_millis());
        if took > TARGET {
            writeln!(self.verdict, "served again only after {took:?}").expect("written");
        }
    }

    /// Checks that a leaving upstream receives no new requests after [`LEAVE_TIME`].
    fn quiet(&mut self, upstream: &str) {
        std::thread::sleep(LEAVE_TIME.saturating_sub(self.last_loss.elapsed()));
        let before = self.deployment.runs(upstream).len();
        std::thread::sleep(Duration::from_secs(1));
        let new = self.deployment.runs(upstream).len() - before;
        if new > 0 {
            writeln!(self.verdict, "{upstream} ran {new} requests while leaving").expect("written");
        }
    }

    fn check(&mut self) {
        let requests = self.load.take().expect("a load").finish();
        let mut runs = BTreeMap::new();
        for (name, upstream) in &self.deployment.upstreams {
            upstream.process.signal(Signal::SIGCONT);
            if upstream.process.is_running() {
                runs.insert(name.clone(), self.deployment.runs(name));
            }
        }
        // A resumed upstream still executes requests that were in its socket buffers.
        std::thread::sleep(Duration::from_secs(1));
        for (name, list) in &mut runs {
            *list = self.deployment.runs(name);
        }
        let lost = self.deployment.upstreams.len() > runs.len();
        let (violations, counts) = check(&requests, &runs, lost);
        println!("outcomes: {counts:?}");
        for violation in violations {
            writeln!(self.verdict, "{violation}").expect("written");
        }
        if !counts.contains_key("done") {
            writeln!(self.verdict, "no request was done").expect("written");
        }
    }
}

fn number(word: &str) -> u64 {
    word.parse().expect("a number")
}

fn get(deployment: &Deployment, host: &str, path: &str) -> Value {
    let request = Request::get(path).body(Bytes::new()).expect("a request");
    let (_, body) = call(deployment.daemons[host].operator, request);
    serde_json::from_str(&body).expect("JSON")
}

fn run_file(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/all/process/scenarios")
        .join(name);
    datadriven::walk(path.to_str().expect("a path"), |file| {
        file.run(|case| {
            let mut scenario = Scenario::new();
            for line in case.input.lines() {
                scenario.step(line);
            }
            if scenario.verdict.is_empty() {
                "ok\n".to_owned()
            } else {
                scenario.verdict
            }
        });
    });
}

macro_rules! scenarios {
    ($($name:ident),+ $(,)?) => {
        $(
            #[test]
            fn $name() {
                run_file(concat!(stringify!($name), ".txt"));
            }
        )+
    };
}

scenarios!(
    dispatcher_killed,
    dispatcher_killed_log_down,
    dispatcher_stopped,
    dispatchers_killed_in_a_row,
    moved_then_killed,
    upstream_frozen,
    upstream_frozen_unfenced,
    upstream_lost_log_down,
    upstream_leaves,
    log_slow,
    rolling_restart,
);
