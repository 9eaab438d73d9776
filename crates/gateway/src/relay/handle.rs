//! What a host does with the datagrams of others.

use std::net::SocketAddr;

use slog::info;
use trefoil_core::HostId;

use super::{catch_up, estimates, pairs, take_changes};
use crate::coordinator;
use crate::host::Host;
use crate::message::{Digest, Exchange, Message, Report, SyncStatus, TermItem};

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
                coordinator::heard_ended(host, ended);
            }
        }
        Message::Report(report) => take_report(host, from, report),
        Message::Digest(digest) => take_digest(host, from, digest),
        Message::Exchange(exchange) => take_exchange(host, from, exchange),
        Message::Keys(service, keys) => coordinator::take_keys(host, &service, keys),
        Message::Routes(part) => coordinator::take_routes(host, from, part),
        Message::RoutesRequest(service) => coordinator::send_routes(host, &service, from),
        Message::Resigned(resigned) => coordinator::heard_resigned(host, &resigned),
        Message::Candidacy(stand) => {
            let now = host.now();
            host.peers.borrow_mut().record_candidacy(now, &stand);
        }
        Message::Leaving(id) => {
            host.peers.borrow_mut().end(id);
            coordinator::heard_ended(host, id);
        }
    }
}

/// Notes that a host was heard, or asks who it is.
fn heard(host: &Host, from: SocketAddr, id: HostId, status: SyncStatus) -> bool {
    let mut peers = host.peers.borrow_mut();
    let known = peers.record_received(host.now(), id, Some(status));
    if !known && !peers.has_ended(id) {
        let hello = Message::Hello(peers.own().clone(), true);
        peers.queue([from], &hello);
    }
    known
}

fn hear_terms(host: &Host, from: SocketAddr, terms: &[TermItem]) {
    let now = host.now();
    for item in terms {
        let known = host.peers.borrow().last_coordinator(&item.service);
        let news = host.peers.borrow_mut().record_term(now, item);
        if news && known.is_none_or(|known| known.revision.term != item.revision.term) {
            info!(host.log, "steward heard"; "service" => %item.service, "host" => %item.host,
                "term" => item.revision.term, "from" => %from, "heard_ms" => item.heard,
                "confirmed_ms" => item.confirmed);
        }
        coordinator::heard_of_routes(host, from, &item.service, item.revision);
        coordinator::heard_of_term(host, item);
    }
}

fn take_report(host: &Host, from: SocketAddr, report: Report) {
    if !heard(host, from, report.from, report.status) {
        return;
    }
    let now = host.now();
    {
        let mut tally = host.local.borrow_mut();
        tally.set_open(now, report.from, pairs(&report.open));
        if !report.times.is_empty() {
            tally.add_times(now, report.from, estimates(now, &report.times));
        }
    }
    for (service, keys) in report.keys {
        host.peers.borrow_mut().record_keys(&service, keys);
    }
    hear_terms(host, from, &report.terms);
    catch_up(host, report.from, report.status);
}

fn take_digest(host: &Host, from: SocketAddr, digest: Digest) {
    if !heard(host, from, digest.from, digest.status) {
        return;
    }
    let now = host.now();
    host.peers
        .borrow_mut()
        .record_digest(now, digest.from, &digest.live, digest.hosts);
    let reported = host.reported.borrow();
    let mut balancer = host.balancer.borrow_mut();
    for item in &digest.local {
        if let Some(load) = balancer.load_mut(item.tag) {
            // The sum contains what this host has reported itself.
            let own = reported.get(&item.tag).copied().unwrap_or(0);
            load.set_near(now, item.open.saturating_sub(own));
        }
    }
    for item in &digest.remote {
        if let Some(load) = balancer.load_mut(item.tag) {
            load.set_far(now, item.open);
        }
    }
    for (tag, time) in estimates(now, &digest.times) {
        if let Some(load) = balancer.load_mut(tag) {
            load.set_shared(time);
        }
    }
    drop(balancer);
    drop(reported);
    hear_terms(host, from, &digest.terms);
    take_changes(host, now, digest.changes);
    catch_up(host, digest.from, digest.status);
}

fn take_exchange(host: &Host, from: SocketAddr, exchange: Exchange) {
    if !heard(host, from, exchange.from, exchange.status) {
        return;
    }
    let now = host.now();
    let domain = exchange.domain;
    host.peers
        .borrow_mut()
        .record_domain(now, &domain, exchange.hosts);
    {
        let mut tally = host.remote.borrow_mut();
        if exchange.times.is_empty() {
            tally.forget(|(known, part)| *known == domain && *part >= exchange.parts);
            tally.set_open(now, (domain, exchange.part), pairs(&exchange.open));
        } else {
            tally.add_times(now, (domain, 0), estimates(now, &exchange.times));
        }
    }
    hear_terms(host, from, &exchange.terms);
    catch_up(host, exchange.from, exchange.status);
}
