//! Requests that wait on other hosts.
//!
//! Hosts report the numbers of their waiting requests to the relays, which add them up and tell all
//! hosts. The sums are 150 to 400 ms old and expire, so without reports the local order holds.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use trefoil_core::{DomainName, HostId, ServiceName, Tick};
use trefoil_route::Priority;

use crate::host::Host;
use crate::message::WaitingItem;

/// Age at which the numbers of a host or a domain expire. They are repeated every 75 to 150 ms, and
/// one repetition may be lost.
const AGE_MAX: Duration = Duration::from_millis(350);

/// Bytes of the numbers in one datagram, beside what else it holds.
const ITEMS_BYTES: usize = 240;

/// Most bytes of an item without the name of its service.
const ITEM_BYTES: usize = 7;

/// Numbers of waiting requests by service and priority.
type Counts = BTreeMap<(ServiceName, Priority), u32>;

/// Reports by sender, with the tick at which they arrived.
type Reported<K> = RefCell<BTreeMap<K, (Tick, Counts)>>;

/// Waiting requests of other hosts, as reported.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Hosts of this domain, while this host is a relay.
    local: Reported<HostId>,
    /// Other domains, while this host is a relay.
    remote: Reported<DomainName>,
    /// Own numbers in the last report.
    own: RefCell<Counts>,
    /// Numbers of all other hosts.
    others: RefCell<Counts>,
    others_at: Cell<Tick>,
}

fn decode(items: &[WaitingItem]) -> Counts {
    let pair = |i: &WaitingItem| ((i.service.clone(), Priority(i.priority)), i.count);
    items.iter().map(pair).collect()
}

/// Encodes the numbers, the most urgent first, as far as they fit a datagram.
fn encode(counts: &Counts) -> Vec<WaitingItem> {
    let mut items: Vec<WaitingItem> = counts
        .iter()
        .map(|((service, priority), count)| WaitingItem {
            service: service.clone(),
            priority: priority.0,
            count: *count,
        })
        .collect();
    items.sort_by_key(|item| item.priority);
    let mut bytes = 0;
    items.retain(|item| {
        bytes += ITEM_BYTES + item.service.as_str().len();
        bytes <= ITEMS_BYTES
    });
    items
}

fn add(sum: &mut Counts, counts: &Counts) {
    for (key, count) in counts {
        let known = sum.entry(key.clone()).or_default();
        *known = known.saturating_add(*count);
    }
}

/// Sum of the reports that have not expired.
fn sum<K>(now: Tick, reported: &Reported<K>) -> Counts
where
    K: Ord,
{
    let mut reported = reported.borrow_mut();
    reported.retain(|_, (at, _)| now.since(*at) < AGE_MAX);
    let mut sum = Counts::new();
    for (_, counts) in reported.values() {
        add(&mut sum, counts);
    }
    sum
}

impl Reports {
    /// Number of requests of more urgent priorities that wait on other hosts.
    pub(crate) fn urgent_waiting(&self, now: Tick, service: &ServiceName, own: Priority) -> u32 {
        if now.since(self.others_at.get()) >= AGE_MAX {
            return 0;
        }
        let others = self.others.borrow();
        let urgent = others
            .iter()
            .filter(|((of, priority), _)| of == service && *priority < own);
        urgent.fold(0, |sum, (_, count)| sum.saturating_add(*count))
    }

    fn set_others(&self, now: Tick, others: Counts) {
        self.others.replace(others);
        self.others_at.set(now);
    }
}

impl Host {
    /// This host's waiting requests, for its relays.
    pub(crate) fn report_waiting(&self) -> Vec<WaitingItem> {
        let own = self.waiting.counts();
        let items = encode(&own);
        self.waiting.reports.own.replace(own);
        items
    }

    /// Records the report of another host of this domain. One without numbers says nothing, because
    /// not every part of a report has them.
    pub(crate) fn record_waiting(&self, now: Tick, from: HostId, items: &[WaitingItem]) {
        if !items.is_empty() {
            let mut local = self.waiting.reports.local.borrow_mut();
            local.insert(from, (now, decode(items)));
        }
    }

    /// Records the sum of another domain.
    pub(crate) fn record_remote_waiting(
        &self,
        now: Tick,
        from: &DomainName,
        items: &[WaitingItem],
    ) {
        if !items.is_empty() {
            let mut remote = self.waiting.reports.remote.borrow_mut();
            remote.insert(from.clone(), (now, decode(items)));
        }
    }

    /// Adds up the reports that this relay has, and applies them to itself. Returns the numbers of
    /// its domain and those of all domains.
    pub(crate) fn join_waiting(&self, now: Tick) -> (Vec<WaitingItem>, Vec<WaitingItem>) {
        let reports = &self.waiting.reports;
        let (local, remote) = (sum(now, &reports.local), sum(now, &reports.remote));
        let mut others = local.clone();
        add(&mut others, &remote);
        reports.set_others(now, others);
        let mut domain = local;
        let own = self.waiting.counts();
        add(&mut domain, &own);
        reports.own.replace(own);
        let mut all = domain.clone();
        add(&mut all, &remote);
        (encode(&domain), encode(&all))
    }

    /// Applies the numbers of all hosts, this one included.
    pub(crate) fn apply_waiting(&self, now: Tick, items: &[WaitingItem]) {
        if items.is_empty() {
            return;
        }
        let reports = &self.waiting.reports;
        let own = reports.own.borrow();
        let mut others = decode(items);
        for (key, count) in &mut others {
            *count = count.saturating_sub(own.get(key).copied().unwrap_or_default());
        }
        drop(own);
        reports.set_others(now, others);
    }
}
