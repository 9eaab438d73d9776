//! What a host does with the datagrams of others.

use std::net::SocketAddr;

use slog::info;
use trefoil_core::HostId;

use super::{catch_up, estimates, pairs, take_changes};
use crate::host::Host;
use crate::message::{Digest, Exchange, Message, Report, Standing, TermItem};
use crate::steward;

pub(super) fn handle(host: &Host, from: SocketAddr, message: Message) {
    match message {
        Message::Hello(card, asks) => {
            let (id, address) = (card.id, card.address);
            let name = card.name.clone();
            let now = host.now();
            let (joined, replaced) = host.peers.borrow_mut().add(now, card);
            if joined {
                info!(host.log, "host joined"; "host" => %name, "address" => %address);
            }
            let mut peers = host.peers.borrow_mut();
            peers.heard(now, id, None);
            if asks && id != host.id {
                let hello = Message::Hello(peers.own().clone(), false);
                peers.send([address], &hello);
            }
            drop(peers);
            for ended in replaced {
                info!(host.log, "host ended"; "incarnation" => %ended, "host" => %name);
                steward::heard_ended(host, ended);
            }
        }
        Message::Report(report) => take_report(host, from, report),
        Message::Digest(digest) => take_digest(host, from, digest),
        Message::Exchange(exchange) => take_exchange(host, from, exchange),
        Message::Keys(service, keys) => steward::take_keys(host, &service, keys),
        Message::Routes(part) => steward::take_routes(host, from, part),
        Message::Ask(service) => steward::send_routes(host, &service, from),
        Message::Resigned(resigned) => steward::heard_resigned(host, &resigned),
        Message::Stand(stand) => {
            let now = host.now();
            host.peers.borrow_mut().hear_stand(now, &stand);
        }
        Message::Bye(id) => {
            host.peers.borrow_mut().end(id);
            steward::heard_ended(host, id);
        }
    }
}

/// Notes that a host was heard, or asks who it is.
fn heard(host: &Host, from: SocketAddr, id: HostId, standing: Standing) -> bool {
    let mut peers = host.peers.borrow_mut();
    let known = peers.heard(host.now(), id, Some(standing));
    if !known && !peers.has_ended(id) {
        let hello = Message::Hello(peers.own().clone(), true);
        peers.send([from], &hello);
    }
    known
}

fn hear_terms(host: &Host, from: SocketAddr, terms: &[TermItem]) {
    let now = host.now();
    for item in terms {
        let known = host.peers.borrow().last_steward(&item.service);
        let news = host.peers.borrow_mut().hear_term(now, item);
        if news && known.is_none_or(|known| known.age.term != item.age.term) {
            info!(host.log, "steward heard"; "service" => %item.service, "host" => %item.host,
                "term" => item.age.term, "from" => %from, "heard_ms" => item.heard,
                "confirmed_ms" => item.confirmed);
        }
        steward::heard_of_routes(host, from, &item.service, item.age);
        steward::heard_of_term(host, item);
    }
}

fn take_report(host: &Host, from: SocketAddr, report: Report) {
    if !heard(host, from, report.from, report.standing) {
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
        host.peers.borrow_mut().count_keys(&service, keys);
    }
    hear_terms(host, from, &report.terms);
    catch_up(host, report.from, report.standing);
}

fn take_digest(host: &Host, from: SocketAddr, digest: Digest) {
    if !heard(host, from, digest.from, digest.standing) {
        return;
    }
    let now = host.now();
    host.peers
        .borrow_mut()
        .relayed(now, digest.from, &digest.live, digest.hosts);
    let reported = host.reported.borrow();
    let mut balancer = host.balancer.borrow_mut();
    for item in &digest.local {
        if let Some(load) = balancer.load_mut(item.tag) {
            // The sum contains what this host has reported itself.
            let own = reported.get(&item.tag).copied().unwrap_or(0);
            load.set_local(now, item.open.saturating_sub(own));
        }
    }
    for item in &digest.remote {
        if let Some(load) = balancer.load_mut(item.tag) {
            load.set_remote(now, item.open);
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
    catch_up(host, digest.from, digest.standing);
}

fn take_exchange(host: &Host, from: SocketAddr, exchange: Exchange) {
    if !heard(host, from, exchange.from, exchange.standing) {
        return;
    }
    let now = host.now();
    let domain = exchange.domain;
    host.peers
        .borrow_mut()
        .heard_domain(now, &domain, exchange.hosts);
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
    catch_up(host, exchange.from, exchange.standing);
}
