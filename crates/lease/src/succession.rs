//! When a host acts as the dispatcher of an upstream.
//!
//! A host acts for an upstream with `Token { term, rank }` if all of these hold:
//!
//! 1. Its own lease is valid.
//! 2. Every host of a lower rank in the newest term that it has read is lost.
//! 3. Every host that an earlier term ranked is lost, has renounced that term, or is the host
//!    itself.
//!
//! A host is lost if the log says so or the attestations of its witnesses prove it. Being lost is
//! permanent, so 2 and 3 never become false within a term.
//!
//! # Proof of a loss
//!
//! Let `g` be the newest generation that this host has read and `p` the one before it. The holder
//! is lost if one of these holds:
//!
//! - A majority of `p` has attested "expired". Then no majority can close `p`, so the holder can
//!   never act without `p`, and it can never act with it.
//! - A majority of `g` has attested "expired", and the holder is known to rely on `g`: there is no
//!   `p`, a seat of `p` was closed, or a seat of `g` was told so in a heartbeat.
//! - A majority of `g` has attested "expired", and a majority of `p` has given any verdict. If one
//!   of the latter is "closed", the case before applies. Otherwise no majority promises `p` any
//!   more; and if the holder has moved on to `g` unnoticed, it is stopped by the majority of `g`.
//!
//! A verdict counts for the seat and not for the process, so a predecessor and its successor at
//! one address count once.
//!
//! # Change of term
//!
//! The minimum-revision rule does not stop a host that has not heard of a new term. Let term 1
//! rank `a, b, c`, let `a` be lost, and let the planner rank `b, d, e` in term 2. If `b` is lost
//! too, `d` acts in term 2; `c`, cut off from the log and from `d`, knows that `a` and `b` are lost
//! and acts in term 1. Condition 3 closes this: `d` waits until `c` has renounced term 1 or is lost
//! itself. Ranked hosts ask for it as soon as they read the new term, so that the answer is there
//! before it is needed.
//!
//! A host that may act at the change and has rank 0 in the new term goes on under its old token
//! while it asks. All hosts of the old term that could act are below it in rank, and need the proof
//! of its own loss. It takes the new token only when condition 3 holds. If it took the new one at
//! once and were lost, a host that has not read the new term would act with a token of the old
//! term, which an upstream that has seen the new one refuses.
//!
//! A host that acts at the change and has another rank must stop. It renounces its old term only
//! when the caller reports through [`Succession::mark_drained`] that nothing is in flight.

use std::collections::{BTreeMap, BTreeSet};

use smallvec::SmallVec;
use trefoil_core::{HostId, Tick, Token, UpstreamName};

use crate::holder::{Holder, send};
use crate::message::{Attestation, Effect, Message, Peer, Verdict};
use crate::records::{Assignment, Generation, HostLeases, Lease, Records, majority};
use crate::switches::Switches;
use crate::timing::Timing;

/// The verdicts on one generation, by seat.
#[derive(Debug, Clone, Default)]
struct Votes {
    verdicts: SmallVec<[Option<Verdict>; 5]>,
    relied_on: bool,
}

impl Votes {
    fn count<F>(&self, test: F) -> usize
    where
        F: Fn(Verdict) -> bool,
    {
        self.verdicts.iter().flatten().filter(|v| test(**v)).count()
    }

    fn expired(&self) -> usize {
        self.count(|v| v == Verdict::Expired)
    }
}

/// An upstream for which this host is ranked, or still has requests of an earlier term in flight.
///
/// There is none for other upstreams, because the roles are walked at each poll and a deployment has
/// thousands of upstreams.
#[derive(Debug, Clone)]
struct Role {
    assignment: Assignment,
    /// Hosts of earlier terms that cannot act there any more.
    settled: BTreeSet<HostId>,
    acting: Option<Token>,
    /// Token of an earlier term under which this host goes on until condition 3 holds.
    carried: Option<Token>,
    /// Requests of an earlier term are in flight.
    draining: bool,
}

/// The authority of this host over upstreams.
#[derive(Debug, Clone)]
pub struct Succession {
    host: HostId,
    timing: Timing,
    switches: Switches,
    votes: BTreeMap<(HostId, Generation), Votes>,
    lost: BTreeSet<HostId>,
    roles: BTreeMap<UpstreamName, Role>,
    next_request: Tick,
}

impl Succession {
    /// A host without roles.
    pub fn new(host: HostId, timing: Timing) -> Self {
        Self::with_switches(host, timing, Switches::default())
    }

    /// A host without roles, with mechanisms turned off.
    #[doc(hidden)]
    pub fn with_switches(host: HostId, timing: Timing, switches: Switches) -> Self {
        Self {
            host,
            timing,
            switches,
            votes: BTreeMap::new(),
            lost: BTreeSet::new(),
            roles: BTreeMap::new(),
            next_request: Tick::default(),
        }
    }

    /// Takes over changed records.
    pub fn sync(&mut self, records: &Records, now: Tick) -> Vec<Effect> {
        self.votes.retain(|&(h, g), _| {
            let lease = records.leases_of(h).and_then(|t| t.get(g));
            lease.is_some()
        });
        // What the old roles allow decides how the new ones begin, so losses come first.
        self.evaluate_all(records);
        let mut effects = Vec::new();
        for assignment in records.assignments() {
            effects.extend(self.install(assignment, now));
        }
        self.evaluate_all(records);
        let named = |h: &HostId| records.assignments().any(|a| a.names(*h));
        self.lost.retain(named);
        effects
    }

    /// Evaluates all hosts whose loss matters to this host.
    fn evaluate_all(&mut self, records: &Records) {
        let roles = self.roles.values();
        let hosts = roles.flat_map(|r| r.assignment.hosts.iter().chain(&r.assignment.prior));
        let hosts: BTreeSet<HostId> = hosts.copied().filter(|h| *h != self.host).collect();
        for host in hosts {
            self.evaluate(host, records);
        }
    }

    fn install(&mut self, assignment: &Assignment, now: Tick) -> Option<Effect> {
        let upstream = &assignment.upstream;
        let old = self.roles.get(upstream);
        if old.is_some_and(|r| r.assignment.term >= assignment.term) {
            if let Some(role) = self.roles.get_mut(upstream) {
                role.assignment.prior.clone_from(&assignment.prior);
            }
            return None;
        }
        let rank = assignment.rank(self.host);
        if rank.is_none() && old.is_none() {
            return None;
        }
        let first = rank.is_some_and(|r| r.0 == 0);
        let held = old.filter(|_| first).and_then(|r| self.token(r));
        let acting = old.and_then(|r| r.acting);
        let drain = acting.is_some() && held.is_none();
        let role = Role {
            assignment: assignment.clone(),
            settled: BTreeSet::new(),
            acting: acting.filter(|_| !drain),
            carried: held,
            draining: drain || old.is_some_and(|r| r.draining),
        };
        self.next_request = now;
        if rank.is_some() || role.draining {
            self.roles.insert(upstream.clone(), role);
        } else {
            self.roles.remove(upstream);
        }
        drain.then(|| Effect::Drain {
            upstream: upstream.clone(),
        })
    }

    /// Whether a host of one of this host's upstreams is known to be lost.
    pub fn is_lost(&self, host: HostId) -> bool {
        self.lost.contains(&host)
    }

    fn evaluate(&mut self, holder: HostId, records: &Records) {
        let proven = records.leases_of(holder).is_some_and(|t| self.proves(t));
        if proven || records.is_dead(holder) {
            self.lost.insert(holder);
        }
    }

    fn proves(&self, tenure: &HostLeases) -> bool {
        let none = Votes::default();
        let votes = |l: &Lease| self.votes.get(&(l.holder, l.generation)).unwrap_or(&none);
        let quorum = |l: &Lease| {
            if self.switches.any_attestation {
                1
            } else {
                majority(l.witnesses.len())
            }
        };
        let current = votes(&tenure.current);
        let expired = current.expired() >= quorum(&tenure.current);
        match &tenure.previous {
            None => expired,
            Some(lease) => {
                let previous = votes(lease);
                let closed = previous.count(|v| v == Verdict::Closed) > 0;
                let relied_on = current.relied_on || closed || self.switches.skip_relied;
                let stopped = previous.count(|_| true) >= quorum(lease);
                previous.expired() >= quorum(lease) || (expired && (relied_on || stopped))
            }
        }
    }

    /// Whether conditions 2 and 3 hold.
    fn may_act(&self, role: &Role) -> bool {
        let assignment = &role.assignment;
        let Some(rank) = assignment.rank(self.host) else {
            return false;
        };
        let mut above = assignment.hosts.iter().take(usize::from(rank.0));
        let above = if self.switches.skip_rank {
            above.next().is_none_or(|&h| self.is_lost(h))
        } else {
            above.all(|&h| self.is_lost(h))
        };
        let mut prior = assignment.prior.iter();
        let settled = self.switches.skip_renounce
            || prior.all(|&h| h == self.host || role.settled.contains(&h) || self.is_lost(h));
        above && settled
    }

    /// The token with which this host acts for `upstream` at `now`, or nothing if it may not.
    ///
    /// It must be called immediately before each request is handed to the socket. The role begins
    /// only with [`poll`](Self::poll), so that a change of term finds out whether it was used.
    pub fn authority(&self, upstream: &UpstreamName, holder: &Holder, now: Tick) -> Option<Token> {
        let role = self.roles.get(upstream).filter(|r| r.acting.is_some())?;
        self.right(role, holder, now)
    }

    fn right(&self, role: &Role, holder: &Holder, now: Tick) -> Option<Token> {
        let valid = holder.is_valid(now) || self.switches.ignore_own_lease;
        self.token(role).filter(|_| valid)
    }

    /// The token with which this host may act while its lease is valid.
    fn token(&self, role: &Role) -> Option<Token> {
        let newest = role.assignment.token(self.host);
        let token = newest.filter(|_| self.may_act(role)).or(role.carried);
        token.filter(|_| !role.draining)
    }

    /// Whether this host can act, or has requests in flight, under an earlier term.
    fn holds_earlier_term(&self, role: &Role) -> bool {
        role.draining || (role.carried.is_some() && !self.may_act(role))
    }

    /// Notes that no request of an earlier term is in flight at the upstream.
    pub fn mark_drained(&mut self, upstream: &UpstreamName) {
        if let Some(role) = self.roles.get_mut(upstream) {
            role.draining = false;
        }
        let host = self.host;
        self.roles
            .retain(|_, r| r.draining || r.assignment.rank(host).is_some());
    }

    /// The tick at which [`poll`](Self::poll) has something to do, if nothing changes before.
    ///
    /// The caller also polls after each `sync`, `receive` and `mark_drained`, of this value or the holder.
    pub fn next_wake(&self, holder: &Holder) -> Option<Tick> {
        let mut roles = self.roles.values();
        let asks = roles.any(|r| self.open(r).next().is_some());
        let acts = self.roles.values().any(|r| r.acting.is_some());
        let ask = asks.then_some(self.next_request);
        let stop = holder.stop_at().filter(|_| acts);
        ask.into_iter().chain(stop).min()
    }

    /// Hosts of earlier terms that can still act there.
    fn open<'a>(&'a self, role: &'a Role) -> impl Iterator<Item = HostId> + 'a {
        let ranked = role.assignment.rank(self.host).is_some();
        let prior = role
            .assignment
            .prior
            .iter()
            .copied()
            .filter(move |_| ranked);
        prior.filter(|&h| h != self.host && !role.settled.contains(&h) && !self.is_lost(h))
    }

    /// Reports roles that began or ended, and asks hosts of earlier terms to renounce them.
    ///
    /// A role ends the margin before the lease does, so that the caller has time to close its
    /// connections. It begins only if the lease lasts longer than the margin.
    pub fn poll(&mut self, holder: &Holder, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        let stop = holder.must_stop(now) && !self.switches.ignore_own_lease;
        let mut changes = Vec::new();
        for (upstream, role) in &self.roles {
            let token = self.right(role, holder, now).filter(|_| !stop);
            if token != role.acting {
                changes.push((upstream.clone(), token));
            }
        }
        for (upstream, token) in changes {
            if let Some(role) = self.roles.get_mut(&upstream) {
                role.acting = token;
            }
            effects.push(match token {
                Some(token) => Effect::Acquired { upstream, token },
                None => Effect::Stopped { upstream },
            });
        }
        if now >= self.next_request {
            self.next_request = now.after(self.timing.retry);
            for (upstream, role) in &self.roles {
                let term = role.assignment.term;
                effects.extend(self.open(role).map(|to| {
                    let upstream = upstream.clone();
                    send(to, Message::Renounce { upstream, term })
                }));
            }
        }
        effects
    }

    /// Handles a verdict of a witness, or a question or answer about earlier terms.
    pub fn receive(&mut self, from: Peer, message: &Message, records: &Records) -> Vec<Effect> {
        match message {
            Message::Attest(attestation) => self.attest(from, attestation, records),
            Message::Renounce { upstream, term } => {
                let known = records.assignment(upstream);
                let role = self.roles.get(upstream);
                match known {
                    Some(a) if a.term >= *term => {
                        let free = role.is_none_or(|r| !self.holds_earlier_term(r));
                        let (upstream, term) = (upstream.clone(), *term);
                        let answer = send(from.host, Message::Renounced { upstream, term });
                        free.then_some(answer).into_iter().collect()
                    }
                    _ => vec![Effect::CatchUp],
                }
            }
            Message::Renounced { upstream, term } => {
                let role = self.roles.get_mut(upstream);
                if let Some(role) = role.filter(|r| r.assignment.term == *term) {
                    role.settled.insert(from.host);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn attest(&mut self, from: Peer, attestation: &Attestation, records: &Records) -> Vec<Effect> {
        let key = (attestation.holder, attestation.generation);
        let tenure = records.leases_of(attestation.holder);
        let Some(lease) = tenure.and_then(|t| t.get(attestation.generation)) else {
            // A generation that is not recorded any more needs no verdict. One that is not
            // recorded yet is attested again until this host has read it.
            let newest = tenure.map(|t| t.current.generation);
            let old = newest.is_some_and(|g| g > attestation.generation)
                || records.is_dead(attestation.holder);
            return if old {
                vec![send(from.host, Message::AttestAck(*attestation))]
            } else {
                vec![Effect::CatchUp]
            };
        };
        let index = usize::from(attestation.witness.0);
        let seat = lease.witnesses.get(index);
        if seat.is_none_or(|s| s.host != from.host && s.address != from.address) {
            return Vec::new();
        }
        let len = lease.witnesses.len();
        let votes = self.votes.entry(key).or_default();
        votes.verdicts.resize(len, None);
        votes.relied_on |= attestation.relied_on;
        // The first strict verdict of a seat stays. "ExpiredOrClosed" is weaker than the verdict of the
        // process that it speaks for, whichever arrives first.
        if let Some(vote) = votes.verdicts.get_mut(index)
            && vote.is_none_or(|v| v == Verdict::ExpiredOrClosed)
        {
            *vote = Some(attestation.verdict);
        }
        self.evaluate(attestation.holder, records);
        vec![send(from.host, Message::AttestAck(*attestation))]
    }
}
