//! Permits for requests to upstreams that warm up.
//!
//! A cold upstream takes few requests a second from all hosts together, fewer than there are hosts.
//! So no host has a share of its own: each sends one relay a permit request before it sends a request.
//!
//! The bound must hold while two relays both believe that they are the first of their failure
//! domain, and whatever becomes of the datagrams. Each relay therefore issues at most half of the
//! bound, in a window that is longer by the lifetime of a permit: permits issued in it are all that
//! can be used within one second. A host counts the lifetime from its permit request, which is
//! before the issue, so a late answer shortens a permit and never extends it.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use trefoil_core::{PerSecond, Tick};

/// Time from the permit request for which a permit holds.
pub const PERMIT_TTL: Duration = Duration::from_millis(150);

/// Span of the bound of an upstream.
const BOUND_WINDOW: Duration = Duration::from_secs(1);

/// Span of the cap of an issuer.
const CAP_WINDOW: Duration = BOUND_WINDOW.saturating_add(PERMIT_TTL);

/// Permits that may be issued at once.
const BURST: f64 = 2.0;

/// Time after which an issuer forgets an upstream. Its tokens are complete by then unless the rate
/// is below one in 5 s.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Shortest time for which a host remembers a refusal.
const PAUSE_MIN: Duration = Duration::from_millis(40);

/// Longest time for which a host remembers a refusal.
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// Time for which a host remembers that no relay has answered. A relay that has ended is replaced
/// after more than a second.
const SILENCE_PAUSE: Duration = Duration::from_millis(300);

/// What a cold upstream may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PermitLimit {
    /// Rate at which permits are issued.
    pub rate: PerSecond,
    /// Requests that the upstream may get in any second.
    pub bound: u32,
}

impl PermitLimit {
    /// The limit of an upstream that takes `rate` requests a second, and in any second at most
    /// `overage` times that plus `slack`.
    pub fn new(rate: PerSecond, overage: f64, slack: f64) -> Self {
        let bound = (rate.0 * overage + slack).clamp(0.0, f64::from(u16::MAX));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the value is in the range of the type, and a part of a request does not count"
        )]
        let bound = bound as u32;
        // The slack is for errors of the senders, but the overage is what the upstream bears.
        let rate = PerSecond(rate.0 * overage.max(1.0));
        Self { rate, bound }
    }

    /// Returns whether permits can be issued at all. Half of the bound is for another issuer, so a
    /// bound below 2 leaves no whole request.
    pub fn is_usable(self) -> bool {
        self.cap() > 0
    }

    /// Permits that one issuer issues in [`CAP_WINDOW`].
    fn cap(self) -> usize {
        usize::try_from(self.bound / 2).unwrap_or(usize::MAX)
    }
}

/// Hosts of a failure domain, as an issuer knows them. Each count includes the issuer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quorum {
    /// Known hosts.
    pub known: u32,
    /// Hosts that were heard within the last second.
    pub heard: u32,
}

impl Quorum {
    /// Returns whether more than half of the hosts were heard. Of two parts of a domain that do not
    /// hear each other, at most one does.
    pub fn is_reached(self) -> bool {
        u64::from(self.heard) * 2 > u64::from(self.known)
    }
}

/// Why a permit is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
pub enum Denial {
    /// The permits of the upstream's rate are used up.
    #[display("rate")]
    Rate,
    /// Half of the bound is used up.
    #[display("bound")]
    Bound,
    /// The issuer has not heard more than half of the hosts.
    #[display("few hosts heard")]
    FewHosts,
    /// The relay has just started, and may have issued permits before.
    #[display("just started")]
    JustStarted,
    /// The receiver is not the first relay of the domain.
    #[display("not the first relay")]
    NotFirst,
    /// The relay does not list the upstream, or knows of no limit.
    #[display("not listed")]
    NotListed,
    /// No relay has answered in time.
    #[display("no answer")]
    NoAnswer,
    /// Another permit request of the host is open, or was refused lately.
    #[display("asked lately")]
    AskedLately,
}

/// Says why there is no permit, and when there may be one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRefusal {
    /// For logs and metrics.
    pub reason: Denial,
    /// Time after which there may be a permit.
    pub retry: Duration,
}

/// Permits of one upstream.
#[derive(Debug)]
struct Bucket<A> {
    tokens: f64,
    /// When the tokens were counted last.
    at: Tick,
    /// Permits issued in the last [`CAP_WINDOW`], oldest first.
    issued: VecDeque<(Tick, A)>,
}

impl<A> Bucket<A> {
    fn advance(&mut self, now: Tick, rate: PerSecond) {
        let gained = now.since(self.at).as_secs_f64() * rate.0.max(0.0);
        self.tokens = (self.tokens + gained).min(BURST);
        self.at = now;
        while let Some((at, _)) = self.issued.front()
            && now.since(*at) >= CAP_WINDOW
        {
            self.issued.pop_front();
        }
    }
}

/// Issues the permits of a relay. `K` names an upstream across its restarts, because requests to a
/// former run may reach the next one; `A` is the number of a permit request.
#[derive(Debug)]
pub struct Issuer<K, A> {
    buckets: BTreeMap<K, Bucket<A>>,
    expired_at: Tick,
}

impl<K, A> Default for Issuer<K, A> {
    fn default() -> Self {
        Self {
            buckets: BTreeMap::new(),
            expired_at: Tick::default(),
        }
    }
}

impl<K, A> Issuer<K, A>
where
    K: Ord,
    A: Eq,
{
    /// Issues a permit, or repeats one if the datagram of its permit request has arrived twice.
    ///
    /// # Errors
    ///
    /// Fails with the reason of a refusal, and the time after which there may be a permit.
    pub fn issue(
        &mut self,
        now: Tick,
        key: K,
        ask: A,
        limit: PermitLimit,
        quorum: Quorum,
    ) -> Result<(), PermitRefusal> {
        if !quorum.is_reached() {
            let (reason, retry) = (Denial::FewHosts, SILENCE_PAUSE);
            return Err(PermitRefusal { reason, retry });
        }
        self.expire(now);
        let bucket = self.buckets.entry(key).or_insert_with(|| Bucket {
            tokens: BURST,
            at: now,
            issued: VecDeque::new(),
        });
        bucket.advance(now, limit.rate);
        if bucket.issued.iter().any(|(_, known)| *known == ask) {
            return Ok(());
        }
        if bucket.issued.len() >= limit.cap() {
            let oldest = bucket.issued.front().map_or(now, |(at, _)| *at);
            let retry = CAP_WINDOW.saturating_sub(now.since(oldest));
            let reason = Denial::Bound;
            return Err(PermitRefusal { reason, retry });
        }
        if bucket.tokens < 1.0 {
            let missing = (1.0 - bucket.tokens) / limit.rate.0.max(f64::MIN_POSITIVE);
            let retry = Duration::try_from_secs_f64(missing).unwrap_or(PAUSE_MAX);
            let reason = Denial::Rate;
            return Err(PermitRefusal { reason, retry });
        }
        bucket.tokens -= 1.0;
        bucket.issued.push_back((now, ask));
        Ok(())
    }

    /// Forgets upstreams without a permit for a while.
    fn expire(&mut self, now: Tick) {
        if now.since(self.expired_at) < FORGET_AFTER {
            return;
        }
        self.expired_at = now;
        self.buckets.retain(|_, b| now.since(b.at) < FORGET_AFTER);
    }
}

/// Allows one request to an upstream for [`PERMIT_TTL`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit<K> {
    /// The upstream.
    pub upstream: K,
    /// End of the permit.
    pub until: Tick,
}

impl<K> Permit<K>
where
    K: Eq,
{
    /// Returns whether a request may be sent to the upstream now.
    pub fn covers(&self, now: Tick, upstream: &K) -> bool {
        self.upstream == *upstream && now < self.until
    }
}

#[derive(Debug)]
struct OpenRequest<K, G> {
    upstream: K,
    group: G,
    asked_at: Tick,
}

/// Permit requests of one host. `K` identifies an upstream and `G` the group of upstreams
/// that one relay answers for.
#[derive(Debug)]
pub struct Asks<K, G> {
    number: u64,
    open: BTreeMap<u64, OpenRequest<K, G>>,
    /// Upstreams for which a permit was refused, until when.
    refused: BTreeMap<K, Tick>,
    /// Groups whose last permit request was not answered, until when none is sent.
    silent: BTreeMap<G, Tick>,
}

impl<K, G> Default for Asks<K, G> {
    fn default() -> Self {
        Self {
            number: 0,
            open: BTreeMap::new(),
            refused: BTreeMap::new(),
            silent: BTreeMap::new(),
        }
    }
}

impl<K, G> Asks<K, G>
where
    K: Ord + Clone,
    G: Ord + Clone,
{
    /// Checks that a permit request may be sent: one at a time for each upstream, none for a while
    /// after a refusal, and while no relay answers for a group, one at a time for the group.
    ///
    /// # Errors
    ///
    /// Fails with the time after which one may be sent.
    pub fn check(&self, now: Tick, upstream: &K, group: &G) -> Result<(), Duration> {
        let refused = self.refused.get(upstream).map(|until| until.since(now));
        let silent = self.silent.get(group).map(|until| until.since(now));
        let wait = refused.max(silent).unwrap_or_default();
        let asking = |q: &OpenRequest<K, G>| {
            q.upstream == *upstream || (silent.is_some() && q.group == *group)
        };
        match () {
            () if !wait.is_zero() => Err(wait),
            () if self.open.values().any(asking) => Err(PAUSE_MIN),
            () => Ok(()),
        }
    }

    /// Begins a permit request and returns its number.
    pub fn begin(&mut self, now: Tick, upstream: K, group: G) -> u64 {
        self.number += 1;
        let request = OpenRequest {
            upstream,
            group,
            asked_at: now,
        };
        self.open.insert(self.number, request);
        self.number
    }

    /// Returns whether a permit request waits for its answer.
    pub fn is_open(&self, number: u64) -> bool {
        self.open.contains_key(&number)
    }

    /// Records the answer to a permit request, once. `None` if that has ended.
    pub fn answer(
        &mut self,
        now: Tick,
        number: u64,
        result: Result<(), PermitRefusal>,
    ) -> Option<Result<Permit<K>, PermitRefusal>> {
        let request = self.open.remove(&number)?;
        self.silent.remove(&request.group);
        Some(match result {
            Ok(()) => Ok(Permit {
                upstream: request.upstream,
                until: request.asked_at.after(PERMIT_TTL),
            }),
            Err(refusal) => {
                self.pause(now, request.upstream, refusal.retry);
                Err(refusal)
            }
        })
    }

    /// Ends a permit request that was not answered in time.
    pub fn time_out(&mut self, now: Tick, number: u64) {
        if let Some(request) = self.open.remove(&number) {
            self.silent.insert(request.group, now.after(SILENCE_PAUSE));
            self.pause(now, request.upstream, SILENCE_PAUSE);
        }
    }

    /// Ends a permit request whose caller's request has ended.
    pub fn abandon(&mut self, number: u64) {
        self.open.remove(&number);
    }

    /// Sends no permit request for an upstream for a while.
    fn pause(&mut self, now: Tick, upstream: K, span: Duration) {
        self.refused.retain(|_, until| now < *until);
        let until = now.after(span.clamp(PAUSE_MIN, PAUSE_MAX));
        self.refused.insert(upstream, until);
    }
}
