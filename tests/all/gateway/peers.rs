//! State that a host keeps of the other hosts.

use std::time::Duration;

use trefoil_core::{HostId, KeyRange, ServiceName, Tick};
use trefoil_gateway::Bounds;
use trefoil_gateway::message::{Candidacy, HostInfo, SyncStatus, TermItem};
use trefoil_gateway::peers::Peers;
use trefoil_gateway::tables::{Revision, Routes, Tables};

fn info(name: &str, domain: &str) -> HostInfo {
    HostInfo {
        id: HostId::random(),
        name: name.parse().expect("a name"),
        domain: domain.parse().expect("a name"),
        address: "192.0.2.1:1".parse().expect("an address"),
        millicores: 100,
    }
}

fn service() -> ServiceName {
    "keys".parse().expect("a name")
}

fn item(host: HostId, term: u64, age_ms: u32) -> TermItem {
    TermItem {
        service: service(),
        host,
        revision: Revision {
            term,
            ..Revision::default()
        },
        confirmed_ms: 0,
        predecessor: None,
        age_ms,
        number: None,
    }
}

fn at(ms: u64) -> Tick {
    Tick::default().after(Duration::from_millis(ms))
}

/// Guards against keys without a coordinator after a resignation. Hosts that have not received the
/// resignation still report the term.
#[test]
fn a_term_that_has_ended_stays_ended() {
    let mut peers = Peers::new(info("entry-1", "a"));
    let coordinator = HostId::random();
    assert!(peers.record_term(at(100), &item(coordinator, 7, 0)));
    assert!(peers.coordinator(at(100), &service()).is_some());
    peers.end_term(&service(), 7);
    assert!(peers.coordinator(at(110), &service()).is_none());
    assert!(
        !peers.record_term(at(120), &item(coordinator, 7, 90)),
        "reported before the end"
    );
    assert!(!peers.record_term(at(130), &item(coordinator, 7, 0)));
    assert!(peers.coordinator(at(130), &service()).is_none());
    assert!(
        peers.record_term(at(140), &item(coordinator, 8, 0)),
        "a later term"
    );
    assert_eq!(
        peers
            .coordinator(at(140), &service())
            .map(|s| s.revision.term),
        Some(8)
    );
}

/// Guards against an older term that replaces a later one, and against a coordinator that counts as
/// running long after it fell silent.
#[test]
fn the_latest_term_is_kept_until_it_is_silent() {
    let mut peers = Peers::new(info("entry-1", "a"));
    let (early, late) = (HostId::random(), HostId::random());
    assert!(peers.record_term(at(100), &item(late, 8, 0)));
    assert!(!peers.record_term(at(200), &item(early, 7, 0)));
    assert_eq!(
        peers.coordinator(at(200), &service()).map(|s| s.host),
        Some(late)
    );
    assert!(peers.coordinator(at(20_000), &service()).is_none());
    assert!(peers.last_coordinator(&service()).is_some());
    peers.mark_ended(late);
    assert!(peers.last_coordinator(&service()).is_none());
    assert!(
        !peers.record_term(at(300), &item(late, 8, 0)),
        "the coordinator has ended"
    );
}

/// Guards against a live coordinator that counts as silent during a rolling upgrade, because relays
/// of an earlier build pass on its reports without their numbers.
#[test]
fn reports_without_a_number_count_by_their_age() {
    let mut peers = Peers::new(info("entry-1", "a"));
    let coordinator = HostId::random();
    let numbered = |number| TermItem {
        number: Some(number),
        ..item(coordinator, 7, 0)
    };
    assert!(peers.record_term(at(100), &numbered(5)));
    assert!(!peers.record_term(at(200), &numbered(5)), "it came back");
    assert!(!peers.record_term(at(200), &numbered(4)), "an earlier one");
    assert!(peers.record_term(at(900), &item(coordinator, 7, 0)));
    assert!(peers.coordinator(at(1_800), &service()).is_some());
    assert!(!peers.record_term(at(1_000), &numbered(5)), "still known");
    assert!(peers.record_term(at(1_100), &numbered(6)));
}

/// Guards against a coordinator of an earlier term that is taken for the only one, because the host
/// of a later one has restarted.
#[test]
fn the_term_of_a_host_that_has_ended_stays_known() {
    let mut peers = Peers::new(info("entry-1", "a"));
    let (earlier, later) = (HostId::random(), HostId::random());
    assert!(peers.record_term(at(0), &item(later, 9, 0)));
    peers.mark_ended(later);
    assert_eq!(peers.last_term(&service()), 9);
    assert!(!peers.record_term(at(100), &item(earlier, 7, 0)));
}

/// Guards against a coordinator that is known for some time after it has resigned, because it
/// resigns under a later number than it was reported with.
#[test]
fn a_resignation_ends_earlier_numbers() {
    let mut peers = Peers::new(info("entry-1", "a"));
    assert!(peers.record_term(at(0), &item(HostId::random(), 7, 0)));
    peers.end_term(&service(), 9);
    assert!(peers.coordinator(at(10), &service()).is_none());
}

/// Guards against a retry budget that is shared with hosts that no longer run, and against a domain
/// in which no host reads the store.
#[test]
fn silent_hosts_do_not_count() {
    let own = info("entry-2", "a");
    let mut peers = Peers::new(own);
    let first = info("entry-1", "a");
    let (joined, replaced) = peers.add(at(0), first.clone());
    assert!(joined && replaced.is_empty());
    peers.record_received(at(0), first.id, None);
    assert_eq!(peers.domain_hosts(at(10)), 2);
    assert_eq!(peers.position(at(10)), 1, "the other host ranks first");
    assert_eq!(peers.domain_hosts(at(30_000)), 1);
    assert_eq!(peers.position(at(30_000)), 0);
    let restarted = HostInfo {
        id: HostId::random(),
        ..first.clone()
    };
    let (joined, replaced) = peers.add(at(30_100), restarted);
    assert!(joined);
    assert_eq!(
        replaced,
        [first.id],
        "the later incarnation replaces the earlier one"
    );
    assert!(peers.has_ended(first.id));
}

/// Guards against a candidate that blocks the others although it has failed or ended, and against
/// one that blocks itself.
#[test]
fn a_candidacy_defers_other_candidates_for_a_while() {
    let mut peers = Peers::new(info("entry-1", "a"));
    let candidate = HostId::random();
    let candidacy = |withdrawn| Candidacy {
        from: candidate,
        service: service(),
        withdrawn,
    };
    assert!(!peers.has_candidate(at(0), &service()));
    peers.record_candidacy(at(0), &candidacy(false));
    assert!(peers.has_candidate(at(1_000), &service()));
    assert!(
        !peers.has_candidate(at(3_000), &service()),
        "the candidate is silent"
    );
    peers.record_candidacy(at(3_000), &candidacy(false));
    peers.record_candidacy(at(3_100), &candidacy(true));
    assert!(
        !peers.has_candidate(at(3_200), &service()),
        "the takeover failed"
    );
    peers.record_candidacy(at(4_000), &candidacy(false));
    peers.mark_ended(candidate);
    assert!(
        !peers.has_candidate(at(4_100), &service()),
        "the candidate has ended"
    );
}

/// Guards against a coordinator that mistakes an outage of the store for a partition of its own
/// because another host had an answer shortly before the outage, and against one that does not
/// notice its own partition.
#[test]
fn only_later_answers_show_that_others_reach_the_store() {
    let mut peers = Peers::new(info("entry-1", "a"));
    let other = info("entry-2", "b");
    peers.add(at(0), other.clone());
    let status = |store_age_ms| SyncStatus {
        config_version: 1,
        directory_digest: Some(0),
        store_age_ms: Some(store_age_ms),
        directory_age_ms: None,
        ..SyncStatus::default()
    };
    // The report arrives at 3.0 s; the last answered call was sent at 2.0 s.
    peers.record_received(at(3_000), other.id, Some(status(1_000)));
    assert!(peers.others_reached_store(at(3_100), at(1_500)));
    assert!(
        !peers.others_reached_store(at(3_100), at(2_000)),
        "the same moment"
    );
    assert!(
        !peers.others_reached_store(at(3_100), at(2_400)),
        "an earlier call"
    );
    peers.record_received(at(3_200), other.id, Some(status(100)));
    assert!(
        peers.others_reached_store(at(3_200), at(2_400)),
        "a later call"
    );
}

/// Guards against a reader that counts as cut off right after a read, and against one that is
/// replaced so late that a draining upstream receives requests for too long.
#[test]
fn a_reader_that_is_cut_off_is_replaced_in_time() {
    for drain in [500, 2_000, 2_500, 5_000] {
        let bounds = Bounds {
            drain: Duration::from_millis(drain),
            ..Bounds::default()
        };
        let mut peers = Peers::new(info("entry-2", "a"));
        let reader = info("entry-1", "a");
        peers.add(at(0), reader.clone());
        let silence = bounds.reader_silence();
        let mut readers = |span: Duration| {
            let status = SyncStatus {
                config_version: 1,
                directory_digest: Some(0),
                store_age_ms: Some(u32::try_from(span.as_millis()).expect("a short span")),
                directory_age_ms: None,
                ..SyncStatus::default()
            };
            peers.record_received(at(10_000), reader.id, Some(status));
            peers.readers_before(at(10_000), silence)
        };
        assert_eq!(readers(bounds.registry_pace(0)), 1, "{drain}");
        // A third of the time is left for the read and for informing the others.
        assert_eq!(readers(bounds.drain * 2 / 3), 0, "{drain}");
    }
}

/// Guards against a host that takes its late start to read for an outage of the store, and against
/// one that does not notice an outage because another host has read a moment earlier.
#[test]
fn the_newest_directory_is_that_of_a_settled_host() {
    let mut peers = Peers::new(info("entry-3", "a"));
    assert_eq!(peers.newest_directory(at(5_000)), None);
    let hosts = [("entry-1", "a"), ("entry-2", "b")].map(|(name, domain)| info(name, domain));
    for (host, address) in hosts.iter().zip(["192.0.2.2:1", "192.0.2.3:1"]) {
        let mut host = host.clone();
        host.address = address.parse().expect("an address");
        peers.add(at(0), host);
    }
    let status = |directory_digest, age_ms| SyncStatus {
        config_version: 1,
        directory_digest,
        store_age_ms: Some(0),
        directory_age_ms: Some(age_ms),
        ..SyncStatus::default()
    };
    peers.record_received(at(5_000), hosts[0].id, Some(status(Some(7), 2_000)));
    assert_eq!(peers.newest_directory(at(5_100)), Some(at(3_000)));
    peers.record_received(at(5_100), hosts[1].id, Some(status(Some(7), 300)));
    assert_eq!(
        peers.newest_directory(at(5_200)),
        Some(at(4_800)),
        "a host of another domain"
    );
    peers.record_received(at(5_200), hosts[1].id, Some(status(None, 0)));
    assert_eq!(
        peers.newest_directory(at(5_300)),
        Some(at(3_000)),
        "it keeps missing upstreams"
    );
}

/// Guards against a host that alternates between the directories of two relays whose views differ.
#[test]
fn the_directory_comes_from_one_relay() {
    let mut peers = Peers::new(info("entry-3", "a"));
    let silence = Bounds::default().reader_silence();
    assert_eq!(peers.directory_source(at(0), silence), None);
    let relays = ["entry-2", "entry-1"].map(|name| info(name, "a"));
    let reader = |store_age_ms| SyncStatus {
        config_version: 1,
        directory_digest: Some(7),
        store_age_ms,
        directory_age_ms: None,
        ..SyncStatus::default()
    };
    for (relay, address) in relays.iter().zip(["192.0.2.2:1", "192.0.2.3:1"]) {
        let mut info = relay.clone();
        info.address = address.parse().expect("an address");
        peers.add(at(0), info);
        peers.record_received(at(0), relay.id, Some(reader(Some(0))));
    }
    let [second, first] = relays;
    assert_eq!(peers.directory_source(at(100), silence), Some(first.id));
    peers.record_received(at(1_000), first.id, Some(reader(None)));
    peers.record_received(at(1_000), second.id, Some(reader(Some(0))));
    assert_eq!(
        peers.directory_source(at(1_100), silence),
        Some(second.id),
        "a partition"
    );
    peers.record_received(at(2_000), second.id, Some(reader(None)));
    peers.record_received(at(2_000), first.id, Some(reader(None)));
    assert_eq!(
        peers.directory_source(at(2_100), silence),
        None,
        "an outage"
    );
}

/// Guards against a coordinator that moves keys after the store has lost the term of a successor
/// that only some hosts have heard of.
#[test]
fn a_term_is_alone_once_every_relay_reports_it() {
    let mut peers = Peers::new(info("own", "x"));
    let (coordinator, near, far) = (HostId::random(), HostId::random(), HostId::random());
    let alone = |peers: &Peers| peers.all_list_term(&service(), 5, at(1000), at(3000));
    assert!(!alone(&peers), "no relay was heard");
    for relay in [near, far] {
        peers.record_listing(at(1500), relay, &[item(coordinator, 5, 0)]);
    }
    assert!(!alone(&peers), "the reports are from before the loss");
    peers.record_listing(at(3100), near, &[item(coordinator, 5, 0)]);
    assert!(!alone(&peers), "one relay is silent");
    peers.record_listing(at(3200), far, &[]);
    assert!(!alone(&peers), "one relay does not report the term");
    peers.record_listing(at(3300), far, &[item(near, 6, 0)]);
    assert!(!alone(&peers), "one relay reports a successor");
    peers.record_listing(at(3400), far, &[item(coordinator, 5, 0)]);
    assert!(alone(&peers));
}

/// Guards against a term number that is not above those of ended terms, from which fences may have
/// been derived.
#[test]
fn the_last_term_includes_ended_ones() {
    let mut peers = Peers::new(info("own", "x"));
    assert_eq!(peers.last_term(&service()), 0);
    peers.record_term(at(0), &item(HostId::random(), 5, 0));
    assert_eq!(peers.last_term(&service()), 5);
    peers.end_term(&service(), 8);
    assert_eq!(peers.last_term(&service()), 8);
}

/// Guards against routes of an older copy of the table that replace newer ones.
#[test]
fn routes_from_an_older_copy_replace_nothing() {
    let routes = |version, term| {
        let revision = Revision {
            version,
            term,
            ..Revision::default()
        };
        Routes::new(revision, [(KeyRange::ALL, None)])
    };
    let mut tables = Tables::default();
    assert!(
        tables.update(&service(), routes(9, 0)),
        "a host that knows nothing takes it"
    );
    assert!(tables.update(&service(), routes(12, 77)));
    for version in [9, 11, 12] {
        assert!(!tables.update(&service(), routes(version, 0)), "{version}");
    }
    assert_eq!(tables.revision(&service()).version, 12);
}
