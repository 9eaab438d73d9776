//! Handling of datagrams from other hosts.

use std::net::SocketAddr;

use slog::info;
use trefoil_core::HostId;

use super::{apply_change_items, catch_up, decode_estimates, open_pairs};
use crate::coordinator;
use crate::era::EraSource;
use crate::evacuation;
use crate::host::Host;
use crate::message::{Digest, Exchange, Extensions, Message, Report, SyncStatus, TermItem};
use crate::peers::Reception;
use crate::warmup;

pub(super) fn handle(host: &Host, from: SocketAddr, message: Message) {
    match message {
        Message::Hello(info, asks) => {
            let (id, address) = (info.id, info.address);
            let name = info.name.clone();
            let now = host.now();
            let (joined, replaced) = host.peers.borrow_mut().add(now, info);
            if joined {
                info!(host.log, "host joined"; "host" => %name, "address" => %address);
            }
            let mut peers = host.peers.borrow_mut();
            peers.record_received(now, id, None);
            if asks && id != host.id {
                let hello = Message::Hello(peers.own().clone(), false);
                peers.queue([address], &hello);
            }
            drop(peers);
            for ended in replaced {
                info!(host.log, "host ended"; "incarnation" => %ended, "host" => %name);
                coordinator::on_host_ended(host, ended);
            }
        }
        Message::Report(report) => on_report(host, from, report),
        Message::Digest(digest) => on_digest(host, from, digest),
        Message::Exchange(exchange) => on_exchange(host, from, exchange),
        Message::Keys(service, keys) => coordinator::record_keys(host, &service, keys),
        Message::Routes(part) => coordinator::on_routes_part(host, from, part),
        Message::RoutesRequest(service) => coordinator::send_routes(host, &service, from),
        Message::Resigned(resigned) => coordinator::on_resigned(host, &resigned),
        Message::Candidacy(candidacy) => {
            let now = host.now();
            host.peers.borrow_mut().record_candidacy(now, &candidacy);
        }
        Message::PermitAsk(ask) => warmup::on_permit_request(host, ask),
        Message::PermitAnswer(answer) => warmup::on_answer(host, answer),
        Message::Renewals(renewals) => warmup::on_renewals(host, renewals),
        Message::Leaving(id) => {
            host.peers.borrow_mut().mark_ended(id);
            coordinator::on_host_ended(host, id);
        }
    }
}

/// Records the sender of a datagram. Asks an unknown sender for its identity.
///
/// The parts of one digest or exchange have the same status, and only the first one is compared
/// with this host's: that takes a look at every known host, and a large digest has dozens of parts
/// a second.
fn record_sender(
    host: &Host,
    from: SocketAddr,
    id: HostId,
    status: SyncStatus,
    extensions: &Extensions,
) -> Reception {
    let now = host.now();
    let received = host
        .peers
        .borrow_mut()
        .record_received(now, id, Some(status));
    // One part has the evacuations, and not always the one that arrives first.
    let evacuations = extensions.evacuations.as_ref();
    if received == Reception::Repeated && evacuations.is_none() {
        return received;
    }
    if received != Reception::Unknown {
        let age = status.config_age();
        host.adopt_evacuations(evacuations, age, evacuation::Source::Host);
    }
    host.compare_config(now, status, host.has_same_evacuations(evacuations));
    if received == Reception::Repeated {
        return received;
    }
    if let Some(era) = status.store_era {
        host.record_era(era, EraSource::Host);
    }
    host.compare_directory(now, status);
    let mut peers = host.peers.borrow_mut();
    if received == Reception::Unknown && !peers.has_ended(id) {
        let hello = Message::Hello(peers.own().clone(), true);
        peers.queue([from], &hello);
    }
    received
}

fn on_listing(host: &Host, from: SocketAddr, relay: HostId, terms: &[TermItem]) {
    let now = host.now();
    host.peers.borrow_mut().record_listing(now, relay, terms);
    on_terms(host, from, terms);
}

fn on_terms(host: &Host, from: SocketAddr, terms: &[TermItem]) {
    let now = host.now();
    for item in terms {
        let known = host.peers.borrow().last_coordinator(&item.service);
        let is_new = host.peers.borrow_mut().record_term(now, item);
        if is_new && known.is_none_or(|known| known.revision.term != item.revision.term) {
            info!(host.log, "steward heard"; "service" => %item.service, "host" => %item.host,
                "term" => item.revision.term, "from" => %from, "heard_ms" => item.age_ms,
                "confirmed_ms" => item.confirmed_ms);
        }
        coordinator::on_routes_revision(host, from, &item.service, item.revision);
        coordinator::on_term(host, item);
    }
}

fn on_report(host: &Host, from: SocketAddr, report: Report) {
    let extensions = &report.extensions;
    if record_sender(host, from, report.from, report.status, extensions) == Reception::Unknown {
        return;
    }
    let now = host.now();
    {
        let mut tally = host.local_loads.borrow_mut();
        tally.set_open(now, report.from, open_pairs(&report.open));
        if !report.times.is_empty() {
            tally.add_times(now, report.from, decode_estimates(now, &report.times));
        }
    }
    host.record_limit_report(now, report.from, &report.limits);
    host.record_health_report(now, report.from, &report.extensions.health);
    host.record_waiting(now, report.from, &report.extensions.waiting);
    for (service, keys) in report.keys {
        host.peers.borrow_mut().record_keys(&service, keys);
    }
    on_terms(host, from, &report.terms);
    catch_up(host, report.from, report.status);
}

fn on_digest(host: &Host, from: SocketAddr, digest: Digest) {
    let extensions = &digest.extensions;
    let received = record_sender(host, from, digest.from, digest.status, extensions);
    if received == Reception::Unknown {
        return;
    }
    let now = host.now();
    let mut peers = host.peers.borrow_mut();
    peers.record_digest(now, digest.from, &digest.live, digest.hosts);
    drop(peers);
    let reported = host.reported_open.borrow();
    let mut balancer = host.balancer.borrow_mut();
    for item in &digest.local {
        // The sum includes this host's own report.
        let own = reported.get(&item.tag).copied().unwrap_or(0);
        let others = item.open.saturating_sub(own);
        balancer.update_loads(item.tag, |load| load.set_local(now, others));
    }
    for item in &digest.remote {
        balancer.update_loads(item.tag, |load| load.set_remote(now, item.open));
    }
    for (tag, time) in decode_estimates(now, &digest.times) {
        balancer.update_loads(tag, |load| load.set_shared(time));
    }
    drop(balancer);
    drop(reported);
    if !digest.limits.is_empty() {
        host.apply_limits(now, &host.decode_limits(now, &digest.limits));
    }
    host.apply_health(now, &digest.extensions.health);
    host.apply_waiting(now, &digest.extensions.waiting);
    if received == Reception::New {
        host.waiting.wake_first(now);
    }
    // A relay that lists no term says that it knows none.
    if received == Reception::New || !digest.terms.is_empty() {
        on_listing(host, from, digest.from, &digest.terms);
    }
    apply_change_items(host, now, digest.status, digest.changes);
    if received == Reception::New {
        catch_up(host, digest.from, digest.status);
    }
}

fn on_exchange(host: &Host, from: SocketAddr, exchange: Exchange) {
    let extensions = &exchange.extensions;
    let received = record_sender(host, from, exchange.from, exchange.status, extensions);
    if received == Reception::Unknown {
        return;
    }
    let now = host.now();
    let domain = exchange.domain;
    host.peers
        .borrow_mut()
        .record_domain(now, &domain, exchange.hosts);
    host.record_remote_waiting(now, &domain, &exchange.extensions.waiting);
    {
        let mut tally = host.remote_limits.borrow_mut();
        for (id, report) in host.decode_limits(now, &exchange.limits) {
            tally.set(now, domain.clone(), id, report);
        }
    }
    host.record_remote_health(now, &domain, &exchange.extensions.health);
    {
        let mut tally = host.remote_loads.borrow_mut();
        if exchange.times.is_empty() {
            tally.forget(|(known, part)| *known == domain && *part >= exchange.parts);
            tally.set_open(now, (domain, exchange.part), open_pairs(&exchange.open));
        } else {
            tally.add_times(now, (domain, 0), decode_estimates(now, &exchange.times));
        }
    }
    if received == Reception::New {
        on_listing(host, from, exchange.from, &exchange.terms);
        catch_up(host, exchange.from, exchange.status);
    }
}
