//! Interpreter of the test language: one command per line, with its arguments separated by blanks.
//!
//! `script` continues with the hosts of the previous script. `script hosts=7` starts with new hosts
//! `a` to `g`, of which `a` acts for `u` and `b` and `c` are its successors. With `t=(0,5)` the
//! commands are run from the start for each value, which replaces `$t`. The output lists the
//! events.
//!
//! | command | effect |
//! |---|---|
//! | `hosts a b c` | starts hosts; each gets the five after it as witnesses |
//! | `start a b`, `crash a`, `pause a`, `resume a` | processes; `start` makes new incarnations |
//! | `lease a b c d` | records the next generation of `a` with witnesses `b`, `c`, `d` |
//! | `assign u a b c` | records the next term of upstream `u` |
//! | `expire a` | records the expiry of the last stopped incarnation of `a` |
//! | `cut a > b c`, `cut a <> b c`, `heal` | drops messages one way or both ways; `*` is all others |
//! | `delay 5 20`, `loss 10` | milliseconds from and to; percent |
//! | `clock -10 a b`, `lag 500 a b` | clock rate in parts per thousand; delay of log reads in ms |
//! | `log down`, `log up` | makes the log unreachable or reachable |
//! | `leases` | records the next generation of every running host, as after `hosts` |
//! | `count u` | measures a takeover of `u` from now, where the design lets it wait for the log |
//! | `run 2000` | milliseconds |
//! | `acts u a` | a violation unless exactly `a` acts for `u`; without a host: unless none does |

use std::time::Duration;

use trefoil_lease::Switches;

use super::checker::TAKEOVER_MAX;
use super::world::World;

/// A running script.
#[derive(Debug)]
pub struct Script {
    pub world: World,
}

impl Default for Script {
    fn default() -> Self {
        Self {
            world: World::new(1, Switches::default()),
        }
    }
}

pub fn switches(name: &str) -> Switches {
    let mut off = Switches::default();
    let field = match name {
        "count-from-send" => &mut off.count_from_arrival,
        "drift" => &mut off.ignore_drift,
        "silence-after-end" => &mut off.heartbeat_after_end,
        "closing" => &mut off.skip_closing,
        "refuse-after-attesting" => &mut off.renew_after_attesting,
        "fresh-wait" => &mut off.skip_wait,
        "log-tail" => &mut off.skip_tail,
        "no-renewal-in-place" => &mut off.renew_in_place,
        "outdated-verdict" => &mut off.attest_outdated,
        "address-rule" => &mut off.no_address_rule,
        "relied-generation" => &mut off.skip_relied,
        "majority" => &mut off.any_attestation,
        "rank-order" => &mut off.skip_rank,
        "renounce" => &mut off.skip_renounce,
        "own-lease" => &mut off.ignore_own_lease,
        _ => panic!("no mechanism {name}"),
    };
    *field = true;
    off
}

fn millis(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("milliseconds"))
}

impl Script {
    /// Creates a script that runs without one mechanism.
    pub fn without(name: &str) -> Self {
        Self {
            world: World::new(1, switches(name)),
        }
    }

    /// Starts `count` hosts named from `a`, of which `a` acts for the upstream `u`.
    pub fn set_up(&mut self, count: u8) {
        let names: Vec<_> = (b'a'..b'a' + count).map(char::from).collect();
        let names: Vec<_> = names.iter().map(char::to_string).collect();
        self.command("hosts", &names);
        let ranked = names[..names.len().min(3)].join(" ");
        self.run(&format!("assign u {ranked}\nrun 2000\nacts u a"));
    }

    /// Runs commands and returns the resulting events.
    pub fn run(&mut self, text: &str) -> String {
        let before = self.world.checker.events.len();
        for line in text.lines() {
            let words: Vec<String> = line.split_whitespace().map(str::to_owned).collect();
            if let Some((verb, args)) = words.split_first() {
                self.command(verb, args);
            }
        }
        let events = &self.world.checker.events[before..];
        events.iter().fold(String::new(), |text, e| text + e + "\n")
    }

    fn command(&mut self, verb: &str, args: &[String]) {
        let world = &mut self.world;
        match (verb, args) {
            ("hosts", names) => self.hosts(names),
            ("start", names) => names.iter().for_each(|a| world.start(a)),
            ("crash", names) => names.iter().for_each(|a| world.crash(a)),
            ("pause", names) => names.iter().for_each(|a| world.pause(a)),
            ("resume", names) => names.iter().for_each(|a| world.resume(a)),
            ("lease", [a, witnesses @ ..]) => world.lease(a, witnesses),
            ("assign", [upstream, hosts @ ..]) => world.assign(upstream, hosts),
            ("expire", [a]) => world.expire(a),
            ("cut", [a, way, others @ ..]) => self.cut(a, way, others),
            ("heal", []) => world.heal(),
            ("delay", [from, to]) => {
                world.delay = (from.parse().expect("ms"), to.parse().expect("ms"));
            }
            ("loss", [percent]) => world.loss = percent.parse().expect("percent"),
            ("clock", [rate, names @ ..]) => {
                let rate = rate.parse().expect("parts per thousand");
                for name in names {
                    world.clock(name, rate);
                }
            }
            ("lag", [span, names @ ..]) => names.iter().for_each(|a| world.lag(a, millis(span))),
            ("log", [state]) => world.log_up = state == "up",
            ("count", [upstream]) => world.checker.count_from(upstream, world.now),
            ("leases", []) => self.leases(),
            ("acts", [upstream, hosts @ ..]) => {
                let found = world.acting(upstream);
                if found != hosts {
                    let now = world.now.as_millis();
                    let text = format!("{now} ms {upstream}: {found:?} act, expected {hosts:?}");
                    world.checker.violate(text);
                }
            }
            ("run", [span]) => world.run(millis(span)),
            _ => panic!("no command {verb} {args:?}"),
        }
    }

    fn hosts(&mut self, names: &[String]) {
        for name in names {
            self.world.start(name);
        }
        self.leases();
    }

    fn leases(&mut self) {
        let names = self.world.names();
        for (i, name) in names.iter().enumerate() {
            let others = names.iter().cycle().skip(i + 1).take(names.len() - 1);
            let witnesses: Vec<_> = others.take(5).cloned().collect();
            if self.world.is_running(name) && self.world.may_change(name) {
                self.world.lease(name, &witnesses);
            }
        }
    }

    fn cut(&mut self, a: &str, way: &str, others: &[String]) {
        let all = self.world.names();
        let others: Vec<_> = match others {
            [star] if star == "*" => all.into_iter().filter(|n| n != a).collect(),
            _ => others.to_vec(),
        };
        for b in &others {
            if way != "<" {
                self.world.cut(a, b);
            }
            if way != ">" {
                self.world.cut(b, a);
            }
        }
    }

    /// Returns the violations and late takeovers so far.
    pub fn faults(&self) -> Vec<String> {
        let checker = &self.world.checker;
        let late = checker.takeovers.iter().filter(|t| t.took > TAKEOVER_MAX);
        let late = late.map(|t| format!("{}: {} is late", t.upstream, t.to));
        checker.violations.iter().cloned().chain(late).collect()
    }
}
