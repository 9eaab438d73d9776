//! Checks the acting hosts of each upstream at each step, and measures each takeover.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::time::Duration;

use trefoil_core::Token;

/// Maximum time from the loss of a host until the next one acts.
pub const TAKEOVER_MAX: Duration = Duration::from_secs(4);

/// A change of the acting host after the previous one was lost.
#[derive(Debug, Clone)]
pub struct Takeover {
    pub upstream: String,
    pub to: String,
    pub took: Duration,
}

#[derive(Debug, Clone)]
struct Acting {
    host: String,
    token: Token,
    lost: Option<Duration>,
}

/// Acting hosts, and the violations and takeovers so far.
#[derive(Debug, Clone, Default)]
pub struct Checker {
    acting: BTreeMap<String, Acting>,
    /// Acting hosts of each upstream at the previous step.
    previous: BTreeMap<String, String>,
    pub violations: Vec<String>,
    pub takeovers: Vec<Takeover>,
    pub events: Vec<String>,
}

impl Checker {
    /// Records that a host stops or loses peers at `now`. `acts` is true if it acted until then;
    /// otherwise the time of an earlier loss is kept.
    pub fn lost(&mut self, host: &str, now: Duration, acts: bool) {
        for acting in self.acting.values_mut().filter(|a| a.host == host) {
            acting.lost = acting.lost.filter(|_| !acts).or(Some(now));
        }
    }

    /// Records that a host has recovered and still acts.
    pub fn recovered(&mut self, host: &str) {
        for acting in self.acting.values_mut().filter(|a| a.host == host) {
            acting.lost = None;
        }
    }

    /// Measures the next takeover of an upstream from `now`.
    pub fn count_from(&mut self, upstream: &str, now: Duration) {
        if let Some(acting) = self.acting.get_mut(upstream) {
            acting.lost = Some(now);
        }
    }

    /// Checks one moment. `found` are the hosts that would act for `upstream` if they checked now;
    /// a host without a token has requests in flight.
    pub fn check(&mut self, now: Duration, upstream: &str, found: &[(String, Option<Token>)]) {
        let millis = now.as_millis();
        let hosts: Vec<_> = found.iter().map(|(h, _)| h.as_str()).collect();
        let hosts = hosts.join(" and ");
        let double = found.len() > 1;
        // Each pair of hosts is one violation, independently of its duration.
        let before = self.previous.insert(upstream.to_owned(), hosts.clone());
        if double && before.as_ref() != Some(&hosts) {
            self.violate(format!("{millis} ms {upstream}: {hosts} act at once"));
        }
        if double {
            return;
        }
        for (host, token) in found.iter().filter_map(|(h, t)| t.map(|t| (h, t))) {
            let before = self.acting.get(upstream).cloned();
            let before = before.as_ref();
            if before.is_some_and(|b| b.host == *host && b.token == token) {
                continue;
            }
            if let Some(b) = before.filter(|b| b.token >= token) {
                let text = format!("{millis} ms {upstream}: token {token} follows {}", b.token);
                self.violate(text);
            }
            let mut event = format!("{millis} ms {upstream}: {host} acts with {token}");
            let other = before.filter(|b| b.host != *host);
            if let Some((b, lost)) = other.and_then(|b| Some((b, b.lost?))) {
                let took = now.saturating_sub(lost);
                let _ = write!(
                    event,
                    ", {} ms after the loss of {}",
                    took.as_millis(),
                    b.host
                );
                self.takeovers.push(Takeover {
                    upstream: upstream.to_owned(),
                    to: host.clone(),
                    took,
                });
            }
            self.events.push(event);
            let acting = Acting {
                host: host.clone(),
                token,
                lost: None,
            };
            self.acting.insert(upstream.to_owned(), acting);
        }
    }

    /// Records a violation; the first one is also an event.
    pub fn violate(&mut self, text: String) {
        if self.violations.is_empty() {
            self.events.push(format!("VIOLATION {text}"));
        }
        self.violations.push(text);
    }
}
