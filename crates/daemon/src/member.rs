//! Joining and leaving the deployment.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};
use smallvec::SmallVec;
use trefoil_core::{DomainName, HostId, KeyHash, Revision, Tick};

use trefoil_lease::{Generation, Lease, WitnessSlot, majority};
use trefoil_log::{Body, HostRecord, Verdict, View};

use crate::authority::Authority;
use crate::shared::Shared;

/// Time in which a record must be read back.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Wait after a failed attempt to join.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Fewest other hosts with which a lease has witnesses. With fewer, the loss of any host would take
/// the majority from all others; without witnesses only the lost host's own upstreams wait, until
/// it returns at its address.
pub const WITNESSES_MIN: usize = 3;

/// Most witnesses of a lease.
const WITNESSES_MAX: usize = 5;

/// Most witnesses in one failure domain where there are at least three domains.
const WITNESSES_PER_DOMAIN: usize = 2;

/// Longest time between two looks at the witnesses.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a lost witness is not replaced while the majority has one to spare. A restart of
/// a host would otherwise cost a record for each of the leases that it witnesses.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(30);

/// Records this incarnation in the log; returns once the record was read back.
pub async fn join(shared: &Shared) {
    // A record of which the answer was lost may land after this host has given it up.
    while !shared.view().hosts.contains_key(&shared.host.id) {
        let until = shared.clock.now().after(SUBMIT_TIMEOUT);
        match shared
            .submit_decision(Revision(0), Body::Joined(shared.host.clone()), until)
            .await
        {
            Ok(Verdict::Accepted { revision }) => {
                info!(shared.logger, "joined"; "host" => %shared.host.id, "revision" => %revision);
                return;
            }
            Ok(verdict) => warn!(shared.logger, "join not accepted"; "verdict" => ?verdict),
            Err(e) => warn!(shared.logger, "join not written"; "error" => %e),
        }
        shared.clock.sleep(RETRY_WAIT).await;
    }
}

/// Longest wait for other hosts to take the place of one that leaves.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between two looks at whether they have.
const REPLACEMENT_POLL: Duration = Duration::from_millis(20);

/// Records that this incarnation is about to leave, so that it gets no new roles.
pub async fn announce_leave(shared: &Shared) {
    let until = shared.clock.now().after(SUBMIT_TIMEOUT);
    match shared
        .submit_decision(
            Revision(0),
            Body::Leaving {
                host: shared.host.id,
            },
            until,
        )
        .await
    {
        Ok(verdict) => info!(shared.logger, "leaving"; "verdict" => ?verdict),
        Err(e) => warn!(shared.logger, "leaving not written"; "error" => %e),
    }
}

/// Waits until no lease depends on this host as a witness. A host that stopped before could take
/// the majority from leases whose other witnesses are being replaced as well.
pub async fn wait_until_replaced(shared: &Shared, authority: &Authority) {
    let until = shared.clock.now().after(REPLACEMENT_TIMEOUT);
    while !authority.is_dispensable(&shared.view()) {
        if shared.clock.now() >= until {
            warn!(shared.logger, "leaving although leases depend on this host");
            return;
        }
        shared.clock.sleep(REPLACEMENT_POLL).await;
    }
}

/// Records that this incarnation has left. The host stops in any case; if the record cannot be
/// written, its lease ends instead.
pub async fn leave(shared: &Shared) {
    let until = shared.clock.now().after(SUBMIT_TIMEOUT);
    match shared
        .submit_decision(
            Revision(0),
            Body::Left {
                host: shared.host.id,
            },
            until,
        )
        .await
    {
        Ok(verdict) => info!(shared.logger, "left"; "verdict" => ?verdict),
        Err(e) => warn!(shared.logger, "leaving not written"; "error" => %e),
    }
}

/// Names witnesses for this host's lease, and new ones when witnesses are lost, for as long as the
/// process runs.
pub async fn maintain_lease(shared: Arc<Shared>, authority: Arc<Authority>) {
    let mut missing_since = None;
    loop {
        let view = shared.view();
        let now = shared.clock.now();
        if let Some(lease) = next_lease(&view, &shared.host, now, &mut missing_since) {
            let first = lease.generation == Generation::FIRST;
            if view.hosts.contains_key(&shared.host.id) && (first || authority.can_change()) {
                submit_lease(&shared, lease).await;
            }
        }
        shared
            .wait_change(shared.clock.now().after(CHECK_INTERVAL))
            .await;
    }
}

async fn submit_lease(shared: &Shared, lease: Lease) {
    let (generation, count) = (lease.generation, lease.witnesses.len());
    let until = shared.clock.now().after(SUBMIT_TIMEOUT);
    match shared
        .submit_decision(Revision(0), Body::Lease(lease), until)
        .await
    {
        Ok(Verdict::Accepted { .. }) => {
            info!(shared.logger, "witnesses named"; "generation" => %generation, "count" => count);
        }
        Ok(verdict) => warn!(shared.logger, "witnesses not accepted"; "verdict" => ?verdict),
        Err(e) => warn!(shared.logger, "witnesses not written"; "error" => %e),
    }
}

/// The lease record that a host needs next, if any. `missing_since` remembers when a single witness
/// was found missing.
pub fn next_lease(
    view: &View,
    host: &HostRecord,
    now: Tick,
    missing_since: &mut Option<Tick>,
) -> Option<Lease> {
    let is_candidate = |h: &&HostRecord| h.id != host.id && view.is_active(h.id);
    let others = view.hosts.values().filter(is_candidate).count();
    // An even number tolerates no more losses than the odd number below it, needs one answer more,
    // and leaves no host over to replace a witness that is lost.
    let target_count = if others < WITNESSES_MIN {
        0
    } else {
        (others.min(WITNESSES_MAX) - 1) | 1
    };
    let Some(leases) = view.records.leases_of(host.id) else {
        let witnesses = choose_witnesses(view, host, &[], target_count);
        return Some(Lease {
            holder: host.id,
            generation: Generation::FIRST,
            witnesses,
        });
    };
    let current = &leases.current;
    let remaining: SmallVec<[WitnessSlot; 5]> = current
        .witnesses
        .iter()
        .copied()
        .filter(|s| view.is_active(s.host))
        .collect();
    let due = match target_count.saturating_sub(remaining.len()) {
        0 => {
            *missing_since = None;
            false
        }
        // Without a witness to spare the next loss would end the lease.
        _ if remaining.len() <= majority(current.witnesses.len()) => true,
        _ => now.since(*missing_since.get_or_insert(now)) >= REPLACEMENT_DELAY,
    };
    due.then(|| {
        *missing_since = None;
        let witnesses = choose_witnesses(view, host, &remaining, target_count);
        Lease {
            holder: host.id,
            generation: current.generation.next(),
            witnesses,
        }
    })
}

/// Chooses `full` witnesses: those in `kept`, and others by a hash, so that the load of witnessing
/// is even without any host knowing it.
fn choose_witnesses(
    view: &View,
    host: &HostRecord,
    remaining: &[WitnessSlot],
    target_count: usize,
) -> SmallVec<[WitnessSlot; 5]> {
    let mut witnesses = SmallVec::<[WitnessSlot; 5]>::from_slice(remaining);
    let mut domains = BTreeMap::<&DomainName, usize>::new();
    for witness in remaining {
        if let Some(record) = view.hosts.get(&witness.host) {
            *domains.entry(&record.domain).or_default() += 1;
        }
    }
    let all: std::collections::BTreeSet<_> = view.hosts.values().map(|h| &h.domain).collect();
    let domain_limit = if all.len() < 3 {
        WITNESSES_MAX
    } else {
        WITNESSES_PER_DOMAIN
    };
    let score = |id: HostId| KeyHash::of(format!("{}/{id}", host.id).as_bytes());
    // Witnesses stay in the holder's region, so that a region that is cut off keeps its leases.
    let in_region =
        |h: &&HostRecord| h.id != host.id && h.region == host.region && view.is_active(h.id);
    let mut candidates: Vec<_> = view.hosts.values().filter(in_region).collect();
    candidates.sort_by_cached_key(|h| score(h.id));
    // A second round goes over the limit of a domain if there are too few hosts in the others.
    for limit in [domain_limit, WITNESSES_MAX] {
        for record in &candidates {
            let used = domains.entry(&record.domain).or_default();
            let taken = witnesses.iter().any(|s| s.host == record.id);
            if witnesses.len() < target_count && !taken && *used < limit {
                *used += 1;
                witnesses.push(WitnessSlot {
                    host: record.id,
                    address: record.addresses.peer,
                });
            }
        }
    }
    witnesses
}
