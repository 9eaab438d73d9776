//! Network traffic of heartbeats, from the statistics of QUIC.
//!
//! Six endpoints send heartbeats to each other, so each is a holder with 5 witnesses and a witness
//! of 5 holders, like the average host of a large deployment.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use smol::Timer;
use trefoil_core::{Clock, HostId, Revision, SystemClock};
use trefoil_daemon::message::{Message, Reply};
use trefoil_lease::{Generation, Message as LeaseMessage};
use trefoil_wire::{
    AnswerHead, Authority, Body, BoxFuture, Builder, Endpoint, ForwardHead, Handler, PeerId, Peers,
    QuicPeers, Traffic, body, decode, encode,
};

use crate::Error;
use crate::fit::Series;

/// Number of hosts: a holder and its 5 witnesses.
const HOSTS: usize = 6;

/// Number of heartbeats to each witness in one run.
const HEARTBEATS: u32 = 12;

/// Repeats at each interval.
const REPEATS: usize = 3;

/// Size of the UDP and IPv4 headers of a datagram.
const HEADER_BYTES: u64 = 28;

/// Validity period of the certificates.
const VALID: Duration = Duration::from_hours(1);

/// Answers every heartbeat with a promise.
#[derive(Debug)]
struct Witness;

impl Handler for Witness {
    fn forward(
        self: Arc<Self>,
        _: PeerId,
        _: ForwardHead,
        _: Body,
    ) -> BoxFuture<(AnswerHead, Body)> {
        let head = AnswerHead::Failed {
            outcome: trefoil_core::Outcome::NotRun,
            reason: String::new(),
            revision: Revision(0),
            is_final: true,
        };
        Box::pin(async { (head, body::empty()) })
    }

    fn call(self: Arc<Self>, _: PeerId, message: Bytes) -> BoxFuture<Bytes> {
        let promise = |m: &LeaseMessage| match m {
            LeaseMessage::Heartbeat {
                generation, sent, ..
            } => Some(LeaseMessage::Promise {
                generation: *generation,
                sent: *sent,
            }),
            _ => None,
        };
        let reply = match decode(&message) {
            Ok(Message::Lease {
                revision, messages, ..
            }) => Reply::Lease {
                from: HostId::random(),
                revision,
                messages: messages.iter().filter_map(promise).collect(),
            },
            _ => Reply::Announced,
        };
        Box::pin(async move { encode(&reply).unwrap_or_default() })
    }
}

fn heartbeat() -> Result<Bytes, Error> {
    let message = Message::Lease {
        from: HostId::random(),
        revision: Revision(1_000_000),
        messages: vec![LeaseMessage::Heartbeat {
            generation: Generation(1),
            sent: SystemClock.now(),
            relied_on: true,
        }],
    };
    Ok(encode(&message)?)
}

/// Measures and prints the bytes per second of one host.
pub fn run() -> Result<(), Error> {
    let authority = Authority::create("bench", SystemClock.unix(), VALID)?;
    let open = |i: usize| -> Result<Endpoint, Error> {
        let name = format!("host-{i}").parse()?;
        let identity = authority.issue_identity(&name, SystemClock.unix(), VALID)?;
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        Ok(Builder::new(identity).open(address)?)
    };
    let endpoints: Result<Vec<_>, Error> = (0..HOSTS).map(open).collect();
    let endpoints = endpoints?;
    let _servers: Vec<_> = endpoints
        .iter()
        .map(|e| e.serve(Arc::new(Witness)))
        .collect();
    let addresses: Vec<_> = endpoints.iter().map(Endpoint::local_addr).collect();
    println!("heartbeat message: {} bytes", heartbeat()?.len());
    let mut rate = Series::new(
        "sent by a host, 5 witnesses and 5 holders, with headers of UDP and IPv4",
        "B/s; n heartbeats a minute to each witness",
    );
    for millis in [1_000, 600, 450, 300, 150] {
        let interval = Duration::from_millis(millis);
        let mut repeats = Vec::new();
        for _ in 0..REPEATS {
            let (bytes, exchanges) =
                smol::block_on(exchange_heartbeats(&endpoints, &addresses, interval))?;
            println!("  {millis} ms: {bytes:.0} B/s sent, {exchanges}");
            repeats.push(bytes);
        }
        rate.add(60_000 / millis as usize, repeats);
    }
    rate.print();
    Ok(())
}

async fn exchange_heartbeats(
    endpoints: &[Endpoint],
    addresses: &[SocketAddr],
    interval: Duration,
) -> Result<(f64, String), Error> {
    let peers: Vec<QuicPeers> = endpoints.iter().map(Endpoint::peers).collect();
    // The first exchange opens the connections and is not measured.
    send_heartbeats(&peers, addresses).await?;
    Timer::after(interval).await;
    let before = sum_traffic(&peers);
    let start = Instant::now();
    for _ in 0..HEARTBEATS {
        send_heartbeats(&peers, addresses).await?;
        Timer::after(interval).await;
    }
    let seconds = start.elapsed().as_secs_f64();
    let after = sum_traffic(&peers);
    let datagrams = after.datagrams_sent + after.datagrams_received
        - before.datagrams_sent
        - before.datagrams_received;
    let payload = after.sent + after.received - before.sent - before.received;
    // Each byte on a connection is sent by one of its two ends, and `peers` has one end of every
    // connection, that of the holder. The sum of both directions is therefore the number of bytes
    // sent by all hosts.
    let sent = payload + datagrams * HEADER_BYTES;
    let exchanges = f64::from(HEARTBEATS) * (HOSTS * (HOSTS - 1)) as f64;
    let text = format!(
        "{:.1} B and {:.2} datagrams for each heartbeat and promise",
        sent as f64 / exchanges,
        datagrams as f64 / exchanges
    );
    Ok((sent as f64 / seconds / HOSTS as f64, text))
}

fn sum_traffic(peers: &[QuicPeers]) -> Traffic {
    let add = |sum: Traffic, one: Traffic| Traffic {
        sent: sum.sent + one.sent,
        received: sum.received + one.received,
        datagrams_sent: sum.datagrams_sent + one.datagrams_sent,
        datagrams_received: sum.datagrams_received + one.datagrams_received,
    };
    peers
        .iter()
        .map(QuicPeers::traffic)
        .fold(Traffic::default(), add)
}

async fn send_heartbeats(peers: &[QuicPeers], addresses: &[SocketAddr]) -> Result<(), Error> {
    let mut calls = Vec::new();
    for (i, from) in peers.iter().enumerate() {
        let others = addresses.iter().enumerate().filter(|(j, _)| *j != i);
        for (_, &to) in others {
            let (from, message) = (from.clone(), heartbeat()?);
            calls.push(smol::spawn(async move { from.call(to, message).await }));
        }
    }
    for call in calls {
        call.await?;
    }
    Ok(())
}
