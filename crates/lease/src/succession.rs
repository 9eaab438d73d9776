//! Decides whether this host acts as the dispatcher of an upstream.
//!
//! A host acts for an upstream with `Token { term, rank }` if all of these hold:
//!
//! 1. Its own lease is valid.
//! 2. Every host of a lower rank in the newest term that it has read is lost.
//! 3. Every host that an earlier term ranked is lost, has renounced that term, or is the host
//!    itself.
//!
//! A host is lost if the log records its expiry or the attestations of its witnesses prove it. Loss
//! is permanent, so conditions 2 and 3 never become false within a term.
//!
//! # Proof of a loss
//!
//! Let `g` be the newest generation that this host has read and `p` the one before it. The holder
//! is lost if one of these holds:
//!
//! - A majority of `p` has attested "expired". Then no majority can close `p`, so the holder can
//!   never act without `p`, and it can never act with it.
//! - A majority of `g` has attested "expired", and the holder is known to rely on `g`: there is no
//!   `p`, a witness of `p` has closed it, or a heartbeat to a witness of `g` said so.
//! - A majority of `g` has attested "expired", and a majority of `p` has given any verdict. If one
//!   of the latter is "closed", the previous case applies. Otherwise no majority promises `p` any
//!   more; and if the holder has moved on to `g` unnoticed, the majority of `g` stops it.
//!
//! A verdict counts for the recorded witness and not for the process that sent it, so a predecessor
//! and its successor at one address count once.
//!
//! # Change of term
//!
//! The minimum-revision rule does not stop a host that has not received a new term. Let term 1 rank
//! `a, b, c`, let `a` be lost, and let the planner rank `b, d, e` in term 2. If `b` is lost too,
//! `d` acts in term 2; `c`, partitioned from the log and from `d`, knows that `a` and `b` are lost
//! and acts in term 1. Condition 3 prevents this: `d` waits until `c` has renounced term 1 or is
//! lost itself. Ranked hosts request the renunciation as soon as they read the new term, so that it
//! has arrived before it is needed.
//!
//! A host that may act at the change and has rank 0 in the new term continues under its old token
//! while it waits for the renunciations. All hosts of the old term that could act rank below it,
//! and need the proof of its own loss. It takes the new token only when condition 3 holds. If it
//! took the new token at once and were lost, a host that has not read the new term would act with a
//! token of the old term, which an upstream that has seen the new one refuses.
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

/// Verdicts on one generation, by witness.
#[derive(Debug, Clone, Default)]
struct Verdicts {
    by_witness: SmallVec<[Option<Verdict>; 5]>,
    relied_on: bool,
}

impl Verdicts {
    fn count<F>(&self, test: F) -> usize
    where
        F: Fn(Verdict) -> bool,
    {
        self.by_witness
            .iter()
            .flatten()
            .filter(|v| test(**v))
            .count()
    }

    fn expired(&self) -> usize {
        self.count(|v| v == Verdict::Expired)
    }
}

/// An upstream for which this host is ranked, or still has requests of an earlier term in flight.
///
/// Other upstreams have no role, because each poll visits every role and a deployment has thousands
/// of upstreams.
#[derive(Debug, Clone)]
struct Role {
    assignment: Assignment,
    /// Hosts that have renounced their earlier terms.
    renounced: BTreeSet<HostId>,
    acting: Option<Token>,
    /// Token of an earlier term under which this host continues until condition 3 holds.
    earlier_token: Option<Token>,
    /// True while requests of an earlier term are in flight.
    draining: bool,
}

/// Authority of this host over upstreams.
#[derive(Debug, Clone)]
pub struct Succession {
    host: HostId,
    timing: Timing,
    switches: Switches,
    verdicts: BTreeMap<(HostId, Generation), Verdicts>,
    lost: BTreeSet<HostId>,
    roles: BTreeMap<UpstreamName, Role>,
    next_renounce: Tick,
}

impl Succession {
    /// Creates the succession of a host without roles.
    pub fn new(host: HostId, timing: Timing) -> Self {
        Self::with_switches(host, timing, Switches::default())
    }

    /// Creates the succession of a host without roles, with some mechanisms turned off.
    #[doc(hidden)]
    pub fn with_switches(host: HostId, timing: Timing, switches: Switches) -> Self {
        Self {
            host,
            timing,
            switches,
            verdicts: BTreeMap::new(),
            lost: BTreeSet::new(),
            roles: BTreeMap::new(),
            next_renounce: Tick::default(),
        }
    }

    /// Applies changed records.
    pub fn sync(&mut self, records: &Records, now: Tick) -> Vec<Effect> {
        self.verdicts.retain(|&(h, g), _| {
            let lease = records.leases_of(h).and_then(|t| t.get(g));
            lease.is_some()
        });
        // The new roles begin from the state of the old ones, so losses are evaluated first.
        self.update_losses(records);
        let mut effects = Vec::new();
        for assignment in records.assignments() {
            effects.extend(self.apply_assignment(assignment, now));
        }
        self.update_losses(records);
        let included = |h: &HostId| records.assignments().any(|a| a.includes(*h));
        self.lost.retain(included);
        effects
    }

    /// Evaluates the loss of all hosts that share an upstream with this host.
    fn update_losses(&mut self, records: &Records) {
        let roles = self.roles.values();
        let hosts = roles.flat_map(|r| r.assignment.hosts.iter().chain(&r.assignment.prior));
        let hosts: BTreeSet<HostId> = hosts.copied().filter(|h| *h != self.host).collect();
        for host in hosts {
            self.update_loss(host, records);
        }
    }

    fn apply_assignment(&mut self, assignment: &Assignment, now: Tick) -> Option<Effect> {
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
            renounced: BTreeSet::new(),
            acting: acting.filter(|_| !drain),
            earlier_token: held,
            draining: drain || old.is_some_and(|r| r.draining),
        };
        self.next_renounce = now;
        if rank.is_some() || role.draining {
            self.roles.insert(upstream.clone(), role);
        } else {
            self.roles.remove(upstream);
        }
        drain.then(|| Effect::Drain {
            upstream: upstream.clone(),
        })
    }

    /// Returns true if `host`, of one of this host's upstreams, is known to be lost.
    pub fn is_lost(&self, host: HostId) -> bool {
        self.lost.contains(&host)
    }

    fn update_loss(&mut self, holder: HostId, records: &Records) {
        let proven = records
            .leases_of(holder)
            .is_some_and(|l| self.proves_loss(l));
        if proven || records.is_dead(holder) {
            self.lost.insert(holder);
        }
    }

    /// Returns true if the verdicts prove the loss of the holder of `leases`.
    fn proves_loss(&self, leases: &HostLeases) -> bool {
        let none = Verdicts::default();
        let verdicts = |l: &Lease| {
            self.verdicts
                .get(&(l.holder, l.generation))
                .unwrap_or(&none)
        };
        let quorum = |l: &Lease| {
            if self.switches.any_attestation {
                1
            } else {
                majority(l.witnesses.len())
            }
        };
        let current = verdicts(&leases.current);
        let expired = current.expired() >= quorum(&leases.current);
        match &leases.previous {
            None => expired,
            Some(lease) => {
                let previous = verdicts(lease);
                let closed = previous.count(|v| v == Verdict::Closed) > 0;
                let relied_on = current.relied_on || closed || self.switches.skip_relied;
                let stopped = previous.count(|_| true) >= quorum(lease);
                previous.expired() >= quorum(lease) || (expired && (relied_on || stopped))
            }
        }
    }

    /// Returns true if conditions 2 and 3 hold.
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
        let cleared = self.switches.skip_renounce
            || prior.all(|&h| h == self.host || role.renounced.contains(&h) || self.is_lost(h));
        above && cleared
    }

    /// Returns the token with which this host acts for `upstream` at `now`, or `None` if it may
    /// not.
    ///
    /// The caller checks this immediately before it hands each request to the socket. The role
    /// begins only with [`poll`](Self::poll), so that a change of term can tell if the host has
    /// acted.
    pub fn authority(&self, upstream: &UpstreamName, holder: &Holder, now: Tick) -> Option<Token> {
        let role = self.roles.get(upstream).filter(|r| r.acting.is_some())?;
        self.valid_token(role, holder, now)
    }

    /// Returns the token with which this host may act at `now`.
    fn valid_token(&self, role: &Role, holder: &Holder, now: Tick) -> Option<Token> {
        let valid = holder.is_valid(now) || self.switches.ignore_own_lease;
        self.token(role).filter(|_| valid)
    }

    /// Returns the token with which this host may act while its lease is valid.
    fn token(&self, role: &Role) -> Option<Token> {
        let newest = role.assignment.token(self.host);
        let token = newest.filter(|_| self.may_act(role)).or(role.earlier_token);
        token.filter(|_| !role.draining)
    }

    /// Returns true if this host can act, or has requests in flight, under an earlier term.
    fn holds_earlier_term(&self, role: &Role) -> bool {
        role.draining || (role.earlier_token.is_some() && !self.may_act(role))
    }

    /// Reports that no request of an earlier term is in flight at the upstream.
    pub fn mark_drained(&mut self, upstream: &UpstreamName) {
        if let Some(role) = self.roles.get_mut(upstream) {
            role.draining = false;
        }
        let host = self.host;
        self.roles
            .retain(|_, r| r.draining || r.assignment.rank(host).is_some());
    }

    /// Returns the tick at which [`poll`](Self::poll) is to be called next if nothing changes
    /// before.
    ///
    /// The caller also polls after each `sync`, `receive` and `mark_drained` of the succession or
    /// the holder.
    pub fn next_wake(&self, holder: &Holder) -> Option<Tick> {
        let mut roles = self.roles.values();
        let asks = roles.any(|r| self.unrenounced(r).next().is_some());
        let acts = self.roles.values().any(|r| r.acting.is_some());
        let ask = asks.then_some(self.next_renounce);
        let stop = holder.stop_at().filter(|_| acts);
        ask.into_iter().chain(stop).min()
    }

    /// Returns the hosts of earlier terms that can still act at the upstream.
    fn unrenounced<'a>(&'a self, role: &'a Role) -> impl Iterator<Item = HostId> + 'a {
        let ranked = role.assignment.rank(self.host).is_some();
        let prior = role
            .assignment
            .prior
            .iter()
            .copied()
            .filter(move |_| ranked);
        prior.filter(|&h| h != self.host && !role.renounced.contains(&h) && !self.is_lost(h))
    }

    /// Reports roles that began or ended, and asks hosts of earlier terms to renounce them.
    ///
    /// A role ends earlier than the lease by the margin, so that the caller has time to close its
    /// connections. It begins only if the rest of the lease is longer than the margin.
    pub fn poll(&mut self, holder: &Holder, now: Tick) -> Vec<Effect> {
        let mut effects = Vec::new();
        let stop = holder.must_stop(now) && !self.switches.ignore_own_lease;
        let mut changes = Vec::new();
        for (upstream, role) in &self.roles {
            let token = self.valid_token(role, holder, now).filter(|_| !stop);
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
        if now >= self.next_renounce {
            self.next_renounce = now.after(self.timing.retry);
            for (upstream, role) in &self.roles {
                let term = role.assignment.term;
                effects.extend(self.unrenounced(role).map(|to| {
                    let upstream = upstream.clone();
                    send(to, Message::Renounce { upstream, term })
                }));
            }
        }
        effects
    }

    /// Handles an attestation, or a request to renounce earlier terms or the answer to one.
    pub fn receive(&mut self, from: Peer, message: &Message, records: &Records) -> Vec<Effect> {
        match message {
            Message::Attest(attestation) => self.on_attestation(from, attestation, records),
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
                    role.renounced.insert(from.host);
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn on_attestation(
        &mut self,
        from: Peer,
        attestation: &Attestation,
        records: &Records,
    ) -> Vec<Effect> {
        let key = (attestation.holder, attestation.generation);
        let leases = records.leases_of(attestation.holder);
        let Some(lease) = leases.and_then(|l| l.get(attestation.generation)) else {
            // An outdated generation needs no verdict and is acknowledged. One that this host has
            // not read yet is not acknowledged, so the witness repeats the attestation.
            let newest = leases.map(|l| l.current.generation);
            let old = newest.is_some_and(|g| g > attestation.generation)
                || records.is_dead(attestation.holder);
            return if old {
                vec![send(from.host, Message::AttestAck(*attestation))]
            } else {
                vec![Effect::CatchUp]
            };
        };
        let index = usize::from(attestation.witness.0);
        let witness = lease.witnesses.get(index);
        if witness.is_none_or(|w| w.host != from.host && w.address != from.address) {
            return Vec::new();
        }
        let len = lease.witnesses.len();
        let verdicts = self.verdicts.entry(key).or_default();
        verdicts.by_witness.resize(len, None);
        verdicts.relied_on |= attestation.relied_on;
        // The first definite verdict for a witness is final. "Expired or closed" comes from a
        // process that replaced the witness, and gives way to the witness's own verdict in either
        // order of arrival.
        if let Some(verdict) = verdicts.by_witness.get_mut(index)
            && verdict.is_none_or(|v| v == Verdict::ExpiredOrClosed)
        {
            *verdict = Some(attestation.verdict);
        }
        self.update_loss(attestation.holder, records);
        vec![send(from.host, Message::AttestAck(*attestation))]
    }
}
