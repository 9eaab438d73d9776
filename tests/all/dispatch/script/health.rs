//! Directives for the health of an upstream.

use std::fmt::Write;
use std::time::Duration;

use datadriven::TestCase;
use trefoil_core::Tick;
use trefoil_dispatch::health::{Health, Probe};
use trefoil_dispatch::{Access, Signal};

use super::take;
use crate::dispatch::ms;

/// Time until a probe is answered.
const ANSWER: Duration = Duration::from_millis(6);

/// A [`Health`] on manual time.
#[derive(Default)]
pub(super) struct Script {
    now: Tick,
    health: Option<Health>,
}

fn signal(text: &str) -> Signal {
    match text {
        "answer" => Signal::Answer,
        "refusal" => Signal::Refusal,
        "failure" => Signal::Failure,
        _ => Signal::None,
    }
}

impl Script {
    pub(super) fn run(&mut self, name: &str, case: &mut TestCase) -> String {
        let mut health = match name {
            "new" => {
                self.now = Tick::default();
                Health::new(self.now).expect("the crate's chart loads")
            }
            _ => self.health.take().expect("`health-new` comes first"),
        };
        let mut text = String::new();
        match name {
            "run" => text = self.drive(&mut health, case),
            "signal" => {
                let signal = signal(&take(case, "signal", String::new()));
                for _ in 0..take(case, "times", 1) {
                    health.on_signal(self.now, signal);
                }
            }
            "leaving" => health.set_leaving(self.now, true),
            "returned" => health.set_leaving(self.now, false),
            "emptied" => health.on_emptied(self.now),
            "hint" => health.on_hint(self.now),
            _ => {}
        }
        case.expect_empty().expect("known arguments");
        let access = match health.access() {
            Access::Open => "open".to_owned(),
            Access::Draining(end) => format!("draining until {end}"),
            Access::Closed => "closed".to_owned(),
        };
        let state = health.state();
        writeln!(text, "{}: {state}, {access}", self.now).expect("a string grows");
        self.health = Some(health);
        text
    }

    /// Runs until `t`. Probes are answered, refused or not answered; a request ends with the given
    /// signal every `every` ms.
    fn drive(&mut self, health: &mut Health, case: &mut TestCase) -> String {
        let end = ms(take(case, "t", 0));
        let probes = take(case, "probes", "answer".to_owned());
        let requests = signal(&take(case, "requests", String::new()));
        let every = Duration::from_millis(take(case, "every", 100));
        let mut request = self.now.after(every);
        let mut answer: Option<(Tick, Probe)> = None;
        let mut text = String::new();
        loop {
            let wakes = [health.next_wake(), answer.map(|(at, _)| at), Some(request)];
            let wake = wakes.into_iter().flatten().min().expect("a wake");
            if wake > end {
                break;
            }
            self.now = self.now.max(wake);
            let before = health.state();
            match answer.take_if(|&mut (at, _)| at <= self.now) {
                Some((_, probe)) => health.on_probe_answered(self.now, probe),
                None if self.now >= request => {
                    health.on_signal(self.now, requests);
                    request = request.after(every);
                }
                None => match (health.poll(self.now), probes.as_str()) {
                    (Some(probe), "answer") => answer = Some((self.now.after(ANSWER), probe)),
                    (Some(probe), "refuse") => health.on_probe_failed(self.now, probe),
                    _ => {}
                },
            }
            if health.state() != before {
                let state = health.state();
                writeln!(text, "{}: {state}", self.now).expect("a string grows");
            }
        }
        self.now = end;
        text
    }
}
