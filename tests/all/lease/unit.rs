//! Tests of single types, for failures whose cause a scenario would hide.

use std::net::SocketAddr;
use std::time::Duration;

use trefoil_core::{HostId, Term, Tick};
use trefoil_lease::{
    Attestation, Effect, EntryState, Generation, Holder, HolderState, Lease, Message, Peer,
    Records, Refusal, Succession, Timing, TimingError, Verdict, Witness, WitnessIndex, WitnessSlot,
    majority,
};
use uuid::Uuid;

fn host(n: u16) -> HostId {
    HostId(Uuid::from_u128(u128::from(n)))
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9000 + n))
}

fn peer(n: u16) -> Peer {
    Peer {
        host: host(n),
        address: address(n),
    }
}

fn lease(holder: u16, generation: u64, witnesses: &[u16]) -> Lease {
    let slots = witnesses.iter().map(|&n| WitnessSlot {
        host: host(n),
        address: address(n),
    });
    Lease {
        holder: host(holder),
        generation: Generation(generation),
        witnesses: slots.collect(),
    }
}

fn at(millis: u64) -> Tick {
    Tick(Duration::from_millis(millis))
}

fn heartbeat(sent: Tick) -> Message {
    Message::Heartbeat {
        generation: Generation::FIRST,
        sent,
        relied_on: true,
    }
}

fn refused(effects: &[Effect]) -> Option<Refusal> {
    match effects {
        [
            Effect::Send {
                message: Message::Refused { reason, .. },
                ..
            },
        ] => Some(*reason),
        _ => None,
    }
}

fn attestations(effects: &[Effect]) -> Vec<(HostId, Attestation)> {
    let sent = effects.iter().filter_map(|e| match e {
        Effect::Send {
            to,
            message: Message::Attest(attestation),
        } => Some((*to, *attestation)),
        _ => None,
    });
    sent.collect()
}

/// Host 1 with witnesses 2 to 6; hosts 1, 2 and 3 are ranked for one upstream.
fn records() -> Records {
    let mut records = Records::default();
    assert!(
        records.apply_lease(lease(1, 1, &[2, 3, 4, 5, 6])),
        "first lease"
    );
    assert!(
        records.apply_lease(lease(2, 1, &[7, 8])) && records.apply_lease(lease(3, 1, &[7, 8])),
        "ranked"
    );
    records.apply_assignment(&"u".parse().expect("a name"), [host(1), host(2), host(3)]);
    records
}

/// Guards against settings with which the protocol is not safe or cannot renew in time.
#[test]
fn timing_is_checked() {
    let millis = Duration::from_millis;
    assert_eq!(Timing::builder().build(), Ok(Timing::default()));
    assert_eq!(Timing::default().holder_lease(), millis(1470));
    let setting = |builder: trefoil_lease::TimingBuilder| match builder.build() {
        Err(TimingError::OutOfRange { setting }) => setting,
        other => panic!("{other:?}"),
    };
    assert_eq!(setting(Timing::builder().heartbeat(millis(0))), "heartbeat");
    assert_eq!(setting(Timing::builder().drift(1000)), "drift");
    assert_eq!(setting(Timing::builder().capacity(0)), "capacity");
    assert_eq!(setting(Timing::builder().grace(millis(1499))), "grace");
    let short = Timing::builder().lease(millis(700)).build();
    assert_eq!(short, Err(TimingError::TooShort { lease: millis(700) }));
}

/// Guards against a message that postcard, which carries messages between hosts, cannot read back.
#[test]
fn messages_survive_postcard() {
    let generation = Generation(3);
    let sent = at(17);
    let attestation = Attestation {
        holder: host(1),
        generation,
        witness: WitnessIndex(4),
        verdict: Verdict::ExpiredOrClosed,
        relied_on: true,
    };
    let upstream: trefoil_core::UpstreamName = "u".parse().expect("a name");
    let term = Term(9);
    let messages = [
        heartbeat(sent),
        Message::Promise { generation, sent },
        Message::Refused {
            generation,
            reason: Refusal::Replaced,
        },
        Message::Close { generation },
        Message::Closed { generation },
        Message::Attest(attestation),
        Message::AttestAck(attestation),
        Message::Renounce {
            upstream: upstream.clone(),
            term,
        },
        Message::Renounced { upstream, term },
    ];
    for message in messages {
        let bytes = postcard::to_allocvec(&message).expect("encoded");
        let read: Message = postcard::from_bytes(&bytes).expect("decoded");
        assert_eq!(read, message);
    }
    // Heartbeats and promises are the bulk of the control traffic, so their size after 100 days of
    // uptime is bounded here.
    let sent = at(8_640_000_123);
    for message in [heartbeat(sent), Message::Promise { generation, sent }] {
        let bytes = postcard::to_allocvec(&message).expect("encoded");
        assert!(bytes.len() <= 12, "{message:?} takes {} bytes", bytes.len());
    }
}

/// Guards against records that let one process count twice, or bring back an expired lease.
#[test]
fn invalid_leases_are_refused() {
    let mut records = records();
    assert!(
        !records.apply_lease(lease(1, 1, &[2, 3])),
        "the generation is recorded already"
    );
    assert!(
        !records.apply_lease(lease(1, 3, &[2, 3])),
        "a generation is skipped"
    );
    assert!(
        !records.apply_lease(lease(7, 1, &[7, 2])),
        "the holder is its own witness"
    );
    assert!(
        !records.apply_lease(lease(7, 1, &[2, 2])),
        "one host is two witnesses"
    );
    assert!(
        !records.apply_lease(lease(7, 1, &[1, 2, 3, 4, 5, 6])),
        "too many witnesses"
    );
    let mut shared = lease(7, 1, &[2, 3]);
    shared.witnesses[1].address = address(2);
    assert!(
        !records.apply_lease(shared),
        "one address has two witnesses"
    );
    records.apply_expiry(host(1));
    assert!(
        !records.apply_lease(lease(1, 2, &[2, 3])),
        "the holder is dead"
    );
    assert_eq!([0, 1, 2, 3, 4, 5].map(majority), [1, 1, 2, 2, 3, 3]);
}

/// Guards against a dead host that is ranked again, whose loss no witness can attest.
#[test]
fn a_dead_host_is_not_ranked() {
    let mut records = records();
    records.apply_expiry(host(1));
    records.apply_expiry(host(9));
    let upstream = "u".parse().expect("a name");
    let term = records.apply_assignment(&upstream, [host(1), host(3), host(8)]);
    assert_eq!(term.hosts.as_slice(), [host(3)]);
    let term = records.apply_assignment(&upstream, [host(3), host(2)]);
    assert_eq!(term.prior.as_slice(), [host(2), host(3)]);
}

/// Guards against a promise that is not counted from the send time of the heartbeat, and against a
/// wrong end of the lease for the kernel timer.
#[test]
fn a_promise_counts_from_the_heartbeat() {
    let mut holder = Holder::new(host(1), Timing::default()).expect("chart");
    holder.sync(&records(), at(0));
    assert_eq!(holder.poll(at(0)).len(), 5);
    assert_eq!(holder.poll(at(299)), []);
    let promise = Message::Promise {
        generation: Generation::FIRST,
        sent: at(0),
    };
    assert_eq!(holder.receive(peer(2), &promise, at(200)), []);
    assert_eq!(holder.receive(peer(3), &promise, at(200)), []);
    assert!(!holder.is_valid(at(200)), "two of five promises");
    assert_eq!(holder.receive(peer(3), &promise, at(200)), []);
    assert!(!holder.is_valid(at(200)), "one witness counts once");
    let until = at(1470);
    assert_eq!(
        holder.receive(peer(4), &promise, at(900)),
        [Effect::Extended { until }]
    );
    assert!(
        holder.is_valid(at(1469)) && !holder.is_valid(until),
        "sent at 0"
    );
    assert!(
        !holder.must_stop(at(1369)) && holder.must_stop(at(1370)),
        "margin"
    );
    assert_eq!(holder.poll(at(3000)), [Effect::Ended]);
    assert_eq!(holder.state(), HolderState::Ended);
    assert_eq!(holder.poll(at(4000)), []);
}

/// Guards against a lease without witnesses that ends, and against a host that acts without a
/// record.
#[test]
fn a_host_alone_does_not_expire() {
    let mut holder = Holder::new(host(1), Timing::default()).expect("chart");
    assert!(!holder.is_valid(at(0)), "no record");
    let mut records = Records::default();
    records.apply_lease(lease(1, 1, &[]));
    holder.sync(&records, at(0));
    assert!(holder.is_valid(at(u64::MAX / 4)), "no witnesses");
    assert_eq!(holder.valid_until(), None);
}

/// Guards against a witness that changes a verdict, and against lost attestations that are not
/// repeated.
#[test]
fn a_verdict_is_final_and_repeated() {
    let mut witness = Witness::new(host(4), address(4), Timing::default(), at(0)).expect("chart");
    witness.sync(&records(), at(0));
    witness.receive(peer(1), &heartbeat(at(5)), at(10));
    assert_eq!(witness.poll(at(1509)), []);
    let first = attestations(&witness.poll(at(1510)));
    assert_eq!(
        first.iter().map(|(to, _)| *to).collect::<Vec<_>>(),
        [host(2), host(3)]
    );
    let (_, attestation) = first[0];
    assert_eq!(
        (attestation.verdict, attestation.witness),
        (Verdict::Expired, WitnessIndex(2))
    );
    witness.receive(peer(3), &Message::AttestAck(attestation), at(1600));
    assert_eq!(witness.poll(at(1809)), []);
    assert_eq!(
        attestations(&witness.poll(at(1810))),
        [(host(2), attestation)]
    );
    witness.receive(peer(2), &Message::AttestAck(attestation), at(1900));
    assert_eq!(witness.next_wake(), None);
    let answer = witness.receive(peer(1), &heartbeat(at(5)), at(9_000_000));
    assert_eq!(refused(&answer), Some(Refusal::Expired));
    let close = Message::Close {
        generation: Generation::FIRST,
    };
    assert_eq!(
        refused(&witness.receive(peer(1), &close, at(9_000_000))),
        Some(Refusal::Expired)
    );
    assert_eq!(
        witness.state(host(1), Generation::FIRST),
        Some(EntryState::Expired)
    );
}

/// Guards against memory that grows with the number of hosts, and against a full witness that
/// forgets an entry.
#[test]
fn a_witness_is_bounded() {
    let timing = Timing::builder().capacity(2).build().expect("timing");
    let mut witness = Witness::new(host(9), address(9), timing, at(0)).expect("chart");
    let mut records = Records::default();
    for n in [1, 2, 3] {
        records.apply_lease(lease(n, 1, &[9]));
    }
    witness.sync(&records, at(0));
    assert_eq!(witness.len(), 2);
    let answer = witness.receive(peer(3), &heartbeat(at(0)), at(0));
    assert_eq!(refused(&answer), Some(Refusal::Unknown));
    records.apply_expiry(host(1));
    witness.sync(&records, at(0));
    assert_eq!(witness.len(), 2);
    assert_eq!(
        witness.state(host(2), Generation::FIRST),
        Some(EntryState::Waiting)
    );
    assert_eq!(
        witness.state(host(3), Generation::FIRST),
        Some(EntryState::Waiting)
    );
}

/// Guards against a verdict from a process that is no witness, and against one witness that counts
/// twice.
#[test]
fn a_witness_counts_once() {
    let records = records();
    let mut succession = Succession::new(host(2), Timing::default());
    succession.sync(&records, at(0));
    let verdict = |index| {
        Message::Attest(Attestation {
            holder: host(1),
            generation: Generation::FIRST,
            witness: WitnessIndex(index),
            verdict: Verdict::Expired,
            relied_on: false,
        })
    };
    for n in [2, 3, 4] {
        succession.receive(peer(3), &verdict(1), &records);
        assert_eq!(succession.receive(peer(7), &verdict(n), &records), []);
    }
    let fresh = Peer {
        host: host(8),
        address: address(3),
    };
    succession.receive(fresh, &verdict(1), &records);
    succession.receive(peer(2), &verdict(0), &records);
    assert!(!succession.is_lost(host(1)), "witnesses 0 and 1 of five");
    succession.receive(peer(6), &verdict(4), &records);
    assert!(succession.is_lost(host(1)), "witnesses 0, 1 and 4 of five");
}
