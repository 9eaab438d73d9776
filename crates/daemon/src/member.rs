//! Membership: joining, leaving, and the witnesses of this host's lease.

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

/// Timeout for a record to be replayed after its append.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed attempt to join.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Minimum number of other hosts for a lease to have witnesses. With fewer, the loss of one host
/// would deprive all others of their majority. Without witnesses only the upstreams of the lost
/// host are affected: they wait until a new incarnation joins at its address.
pub const WITNESSES_MIN: usize = 3;

/// Maximum number of witnesses of a lease.
const WITNESSES_MAX: usize = 5;

/// Maximum number of witnesses in one failure domain if there are at least three domains.
const WITNESSES_PER_DOMAIN: usize = 2;

/// Maximum time between two checks of the witnesses.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before a lost witness is replaced while the remaining ones exceed a majority. Without it,
/// each restart of a host would cost one record for every lease that it witnesses.
const REPLACEMENT_DELAY: Duration = Duration::from_secs(30);

/// Appends the record of this incarnation to the log. Returns when the record is in the view.
pub async fn join(shared: &Shared) {
    // A record whose answer was lost may still be appended after its timeout.
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
            Ok(verdict) => warn!(shared.logger, "join record not accepted"; "verdict" => ?verdict),
            Err(e) => warn!(shared.logger, "join record not confirmed"; "error" => %e),
        }
        shared.clock.sleep(RETRY_WAIT).await;
    }
}

/// Timeout for other hosts to replace a leaving host as witness.
const REPLACEMENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval at which a leaving host checks for its replacement.
const REPLACEMENT_POLL: Duration = Duration::from_millis(20);

/// Announces in the log that this incarnation is about to leave, so that it is assigned no new
/// roles.
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
        Err(e) => warn!(shared.logger, "leaving record not confirmed"; "error" => %e),
    }
}

/// Waits until no lease depends on this host as a witness. An earlier stop could deprive leases of
/// their majority if other witnesses of them are being replaced at the same time.
pub async fn wait_until_replaced(shared: &Shared, authority: &Authority) {
    let until = shared.clock.now().after(REPLACEMENT_TIMEOUT);
    while !authority.is_dispensable(&shared.view()) {
        if shared.clock.now() >= until {
            warn!(
                shared.logger,
                "leaving while leases still depend on this host"
            );
            return;
        }
        shared.clock.sleep(REPLACEMENT_POLL).await;
    }
}

/// Records in the log that this incarnation has left. The host stops in any case; if the record
/// cannot be appended, the host is removed when its lease expires.
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
        Err(e) => warn!(shared.logger, "left record not confirmed"; "error" => %e),
    }
}

/// Assigns witnesses to this host's lease and replaces lost ones, until the process ends.
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
            info!(shared.logger, "witnesses assigned"; "generation" => %generation,
                "count" => count);
        }
        Ok(verdict) => warn!(shared.logger, "lease record not accepted"; "verdict" => ?verdict),
        Err(e) => warn!(shared.logger, "lease record not confirmed"; "error" => %e),
    }
}

/// Returns the lease record that a host has to append next, if any. `missing_since` holds the tick
/// at which a witness was first found missing.
pub fn next_lease(
    view: &View,
    host: &HostRecord,
    now: Tick,
    missing_since: &mut Option<Tick>,
) -> Option<Lease> {
    let is_candidate = |h: &&HostRecord| h.id != host.id && view.is_active(h.id);
    let others = view.hosts.values().filter(is_candidate).count();
    // An even number of witnesses tolerates no more losses than the odd number below it, needs one
    // more answer, and can leave no spare host as replacement for a lost witness.
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
        // No witness beyond a majority is left, so the next loss would end the lease.
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

/// Chooses `target_count` witnesses: those in `remaining`, and others by rendezvous hashing, which
/// spreads the load of witnessing evenly without coordination.
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
    // Witnesses are in the holder's region, so that an isolated region keeps its leases.
    let in_region =
        |h: &&HostRecord| h.id != host.id && h.region == host.region && view.is_active(h.id);
    let mut candidates: Vec<_> = view.hosts.values().filter(in_region).collect();
    candidates.sort_by_cached_key(|h| score(h.id));
    // The second pass exceeds the domain limit if the other domains have too few hosts.
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
