//! Division of digests and exchanges into datagrams.

use trefoil_core::Tick;

use super::{ITEMS_BESIDE_LIMITS, ITEMS_MAX, sync_status};
use crate::host::Host;
use crate::message::{
    ChangeItem, Digest, Exchange, Extensions, LimitItem, OpenItem, Report, TimeItem, WaitingItem,
    limit_chunks,
};

/// Most changes of the directory in one digest.
const CHANGES_MAX: usize = 6;

/// Divides a report with its limits. Each part replaces the open requests of the one before, so all
/// repeat them. Requested keys must be counted once.
pub(super) fn report_parts(
    report: &Report,
    limits: &[LimitItem],
    waiting: Vec<WaitingItem>,
) -> Vec<Report> {
    let chunks = limit_chunks(limits);
    let has_room = report.open.len() + report.times.len() <= ITEMS_BESIDE_LIMITS;
    let (first, rest): (&[LimitItem], _) = match chunks.split_first() {
        Some((first, rest)) if has_room => (first, rest),
        _ => (&[], chunks.as_slice()),
    };
    let first = Report {
        limits: first.to_vec(),
        ..report.clone()
    };
    let open = report.open.iter().take(ITEMS_BESIDE_LIMITS).copied();
    let part = Report {
        open: open.collect(),
        times: Vec::new(),
        keys: Vec::new(),
        ..report.clone()
    };
    // The part that follows has all open requests again.
    let is_full = !has_room || !limits.is_empty();
    let (evacuated, first) = if states_domains(&report.extensions) && is_full {
        (Some(part.clone()), without_evacuations(first))
    } else {
        (None, first)
    };
    let part = without_evacuations(part);
    let rest = rest.iter().map(|chunk| Report {
        limits: chunk.to_vec(),
        ..part.clone()
    });
    let waiting = (!waiting.is_empty()).then(|| Report {
        extensions: Extensions {
            waiting,
            ..report.extensions.clone()
        },
        ..part.clone()
    });
    // The first part replaces the open requests of this one, which are perhaps not all.
    let waiting = waiting.into_iter();
    let parts = evacuated.into_iter().chain(waiting);
    parts.chain([first]).chain(rest).collect()
}

/// Returns `true` if a datagram names evacuated domains, which take more than a few bytes.
fn states_domains(extensions: &Extensions) -> bool {
    let evacuations = extensions.evacuations.as_ref();
    evacuations.is_some_and(|e| !e.domains.is_empty())
}

fn without_evacuations(mut report: Report) -> Report {
    report.extensions.evacuations = None;
    report
}

/// The digest that tells which requests wait, if any do.
pub(super) fn waiting_digest(host: &Host, now: Tick, waiting: Vec<WaitingItem>) -> Option<Digest> {
    let mut digests = digests(host, now, &[], &[], &[], &[]);
    let last = digests.pop().filter(|_| !waiting.is_empty())?;
    Some(Digest {
        changes: Vec::new(),
        live: Vec::new(),
        terms: Vec::new(),
        extensions: Extensions {
            waiting,
            ..last.extensions
        },
        ..last
    })
}

/// The exchange that tells which requests wait, if any do. Earlier builds read it as one of open
/// requests, so it repeats the first one.
pub(super) fn waiting_exchange(exchange: &Exchange, waiting: Vec<WaitingItem>) -> Option<Exchange> {
    let parts = exchange.open.chunks(ITEMS_MAX).len().max(1);
    let first = exchange.open.len().min(ITEMS_BESIDE_LIMITS);
    (!waiting.is_empty()).then(|| Exchange {
        open: exchange.open[..first].to_vec(),
        parts: u16::try_from(parts).unwrap_or(u16::MAX),
        times: Vec::new(),
        limits: Vec::new(),
        extensions: Extensions {
            waiting,
            ..exchange.extensions.clone()
        },
        ..exchange.clone()
    })
}

pub(super) fn digests(
    host: &Host,
    now: Tick,
    local: &[OpenItem],
    remote: &[OpenItem],
    times: &[TimeItem],
    limits: &[LimitItem],
) -> Vec<Digest> {
    let peers = host.peers.borrow();
    let empty = Digest {
        from: host.id,
        status: sync_status(host, now),
        live: Vec::new(),
        hosts: peers.all_hosts(now),
        local: Vec::new(),
        remote: Vec::new(),
        times: Vec::new(),
        terms: Vec::new(),
        changes: Vec::new(),
        limits: Vec::new(),
        extensions: Extensions::default(),
    };
    // The first part stands for all: a receiver that misses it misses one digest of many.
    let (live, terms) = (peers.direct_ids(now), peers.terms(now));
    drop(peers);
    let changes: Vec<ChangeItem> = host.changes.borrow().iter().cloned().collect();
    let mut digests: Vec<Digest> = changes
        .chunks(CHANGES_MAX)
        .map(|chunk| Digest {
            changes: chunk.to_vec(),
            ..empty.clone()
        })
        .collect();
    digests.extend(local.chunks(ITEMS_MAX).map(|chunk| Digest {
        local: chunk.to_vec(),
        ..empty.clone()
    }));
    digests.extend(remote.chunks(ITEMS_MAX).map(|chunk| Digest {
        remote: chunk.to_vec(),
        ..empty.clone()
    }));
    digests.extend(times.chunks(ITEMS_MAX).map(|chunk| Digest {
        times: chunk.to_vec(),
        ..empty.clone()
    }));
    digests.extend(limit_chunks(limits).into_iter().map(|chunk| Digest {
        limits: chunk.to_vec(),
        ..empty.clone()
    }));
    let extensions = host.evacuation_extensions();
    if states_domains(&extensions) || digests.is_empty() {
        digests.insert(0, empty);
    }
    if let Some(first) = digests.first_mut() {
        (first.live, first.terms, first.extensions) = (live, terms, extensions);
    }
    digests
}

pub(super) fn exchange_parts(exchange: &Exchange) -> Vec<Exchange> {
    let chunks: Vec<&[OpenItem]> = exchange.open.chunks(ITEMS_MAX).collect();
    let chunks = if chunks.is_empty() {
        vec![&[][..]]
    } else {
        chunks
    };
    let count = u16::try_from(chunks.len()).unwrap_or(u16::MAX);
    let empty = Exchange {
        open: Vec::new(),
        times: Vec::new(),
        limits: Vec::new(),
        extensions: Extensions::default(),
        ..exchange.clone()
    };
    let open = (0..).zip(&chunks).map(|(part, chunk)| Exchange {
        open: chunk.to_vec(),
        part,
        parts: count,
        ..empty.clone()
    });
    let times = exchange.times.chunks(ITEMS_MAX).map(|chunk| Exchange {
        times: chunk.to_vec(),
        ..empty.clone()
    });
    // Earlier builds read such a part as one of open requests, so it repeats the first one, which
    // has room for limits only if it is short.
    let first: &[OpenItem] = chunks.first().copied().unwrap_or_default();
    let limits = limit_chunks(&exchange.limits)
        .into_iter()
        .map(|chunk| Exchange {
            open: first[..first.len().min(ITEMS_BESIDE_LIMITS)].to_vec(),
            limits: chunk.to_vec(),
            parts: count,
            ..empty.clone()
        });
    let mut parts: Vec<Exchange> = limits.chain(open).chain(times).collect();
    let extensions = exchange.extensions.clone();
    if states_domains(&extensions) {
        // Earlier builds read this part as one of open requests as well.
        let stated = Exchange {
            open: first[..first.len().min(ITEMS_BESIDE_LIMITS)].to_vec(),
            parts: count,
            ..empty
        };
        parts.insert(0, stated);
    }
    if let Some(first) = parts.first_mut() {
        first.extensions = extensions;
    }
    parts
}
