//! Loss, restart and drain of peers, and the proof that a request did not run.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use smol::Timer;
use trefoil_core::{Clock, SystemClock};
use trefoil_wire::{BodyError, Builder, Identity, PeerError, Peers, body};

use super::relay::Relay;
use super::support::{
    DAY, ScriptedHandler, authority, channel_body, collect, eventually, head, identity, loopback,
    open, pair, run, serve,
};

/// Guards against "sent" for a request to an address where no peer answers.
#[test]
fn unreachable_peer() {
    run(async {
        let authority = authority();
        let client = Builder::new(identity(&authority, "asking"))
            .connect_timeout(Duration::from_millis(300))
            .open(loopback())
            .unwrap();
        // A bound socket that is never read, so that no other process can answer at its address.
        let silent = UdpSocket::bind(loopback()).unwrap();
        let to = silent.local_addr().unwrap();
        let forward = client.peers().forward(to, head("/read"), body::empty());
        let error = forward.await.unwrap_err();
        assert!(matches!(error, PeerError::Connect { .. }), "{error}");
        assert!(!error.may_have_been_sent());
    });
}

/// Guards against a separate connection attempt for each waiting request, and against an attempt
/// that ends with the request that started it.
#[test]
fn waiters_share_an_attempt() {
    run(async {
        let authority = authority();
        let client = Builder::new(identity(&authority, "asking"))
            .connect_timeout(Duration::from_millis(300))
            .open(loopback())
            .unwrap();
        let silent = UdpSocket::bind(loopback()).unwrap();
        let to = silent.local_addr().unwrap();
        let start = Instant::now();
        let peers = client.peers();
        let first = smol::spawn(peers.call(to, Bytes::new()));
        Timer::after(Duration::from_millis(20)).await;
        let calls: Vec<_> = (0..20)
            .map(|_| smol::spawn(peers.call(to, Bytes::new())))
            .collect();
        Timer::after(Duration::from_millis(20)).await;
        drop(first);
        for call in calls {
            assert!(!call.await.unwrap_err().may_have_been_sent());
        }
        assert!(start.elapsed() < Duration::from_millis(900));
    });
}

/// Guards against "not sent" for a request that runs when its host is lost, and for one that is
/// written to a connection whose peer is already lost. Neither may wait without bound.
#[test]
fn peer_lost_after_send() {
    run(async {
        let authority = authority();
        let server_host = open(&authority, "served");
        let handler = ScriptedHandler::new();
        let _server = serve(&server_host, &handler);
        let relay = Relay::new(server_host.local_addr());
        let client = Builder::new(identity(&authority, "asking"))
            .idle_timeout(Duration::from_millis(600))
            .open(loopback())
            .unwrap();
        let peers = client.peers();
        let hang = smol::spawn(peers.forward(relay.addr(), head("/hang"), body::empty()));
        eventually("request starts", || handler.started() == 1).await;
        relay.drop_all();
        let late = smol::spawn(peers.forward(relay.addr(), head("/read"), body::empty()));
        for error in [hang.await.unwrap_err(), late.await.unwrap_err()] {
            assert!(matches!(error, PeerError::Lost { .. }), "{error}");
            assert!(error.may_have_been_sent());
        }
        assert_eq!(handler.started(), 1);
        eventually("handler ends", || handler.ended() == 1).await;
        // The next request opens a new connection.
        relay.restore(server_host.local_addr());
        let answer = peers.call(relay.addr(), Bytes::from_static(b"again")).await;
        assert_eq!(answer.unwrap(), "asking again");
    });
}

/// Guards against a stopped server that leaves requesters waiting, or that reports a request as not
/// sent although it reached the handler.
#[test]
fn server_dropped() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let hang = smol::spawn(peers.forward(pair.to, head("/hang"), body::empty()));
        eventually("request starts", || pair.handler.started() == 1).await;
        drop(pair.server);
        let error = hang.await.unwrap_err();
        assert!(error.may_have_been_sent(), "{error}");
        eventually("handler ends", || pair.handler.ended() == 1).await;
    });
}

/// Guards against a restart of a peer that is detected only after the idle timeout of 3 s.
#[test]
fn restart_is_detected() {
    run(async {
        let authority = authority();
        let host = "served".parse().unwrap();
        let pem = authority.issue(&host, SystemClock.unix(), DAY).unwrap();
        let start = || {
            let identity = Identity::from_pem(&authority.pem().cert, &pem).unwrap();
            Builder::new(identity).open(loopback()).unwrap()
        };
        let handler = ScriptedHandler::new();
        let (old, new) = (start(), start());
        let _servers = [serve(&old, &handler), serve(&new, &handler)];
        let relay = Relay::new(old.local_addr());
        let client = open(&authority, "asking");
        let peers = client.peers();
        peers.call(relay.addr(), Bytes::new()).await.unwrap();
        relay.restore(new.local_addr());
        let begin = Instant::now();
        let error = peers.call(relay.addr(), Bytes::new()).await.unwrap_err();
        assert!(
            matches!(error, PeerError::Lost { sent: true, .. }),
            "{error}"
        );
        peers.call(relay.addr(), Bytes::new()).await.unwrap();
        let took = begin.elapsed();
        assert!(took < Duration::from_secs(1), "noticed after {took:?}");
    });
}

/// Guards against a truncated answer that is taken for a complete one after its source fails, the
/// connection is lost, or the host stops.
#[test]
fn cut_off_answers() {
    run(async {
        let authority = authority();
        let host = open(&authority, "served");
        let server = host.serve(ScriptedHandler::new());
        let relay = Relay::new(host.local_addr());
        let client = Builder::new(identity(&authority, "asking"))
            .idle_timeout(Duration::from_millis(600))
            .open(loopback())
            .unwrap();
        let peers = client.peers();
        let to = host.local_addr();
        // A reset can arrive before the head, in which case there is no answer.
        match peers.forward(to, head("/cut"), body::empty()).await {
            Ok((_, cut)) => {
                let cut = collect(cut).await;
                assert!(matches!(cut, Err(BodyError::Aborted { .. })), "{cut:?}");
            }
            Err(e) => assert!(matches!(e, PeerError::InvalidAnswer { .. }), "{e}"),
        }

        // The body fails after a part of it has arrived.
        let (send, request) = channel_body();
        let echo = peers.forward(to, head("/echo"), request).await;
        let mut cut = echo.unwrap().1;
        send.send(Ok(Bytes::from_static(b"begin"))).await.unwrap();
        cut.frame().await.unwrap().unwrap();
        let reason = "caller has gone".to_owned();
        send.send(Err(BodyError::Source { reason })).await.unwrap();
        let cut = collect(cut).await;
        assert!(matches!(cut, Err(BodyError::Aborted { .. })), "{cut:?}");

        let endless = peers.forward(relay.addr(), head("/endless"), body::empty());
        let (_, lost) = endless.await.unwrap();
        relay.drop_all();
        let lost = collect(lost).await;
        assert!(matches!(lost, Err(BodyError::Lost { .. })), "{lost:?}");

        let endless = peers.forward(to, head("/endless"), body::empty());
        let (_, lost) = endless.await.unwrap();
        drop(server);
        let lost = collect(lost).await;
        assert!(lost.is_err(), "{lost:?}");
    });
}

/// Guards against a drain that aborts a request in flight, accepts a new one, or leaves the
/// requester of a refused one without proof that it did not run.
#[test]
fn drain() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let late = smol::spawn(peers.forward(pair.to, head("/late/300/text"), body::empty()));
        eventually("request starts", || pair.handler.started() == 1).await;
        let server = pair.server;
        let drain = smol::spawn(async move {
            server.drain().await;
            server
        });
        Timer::after(Duration::from_millis(50)).await;
        let refused = peers.forward(pair.to, head("/read"), body::empty()).await;
        let refused = refused.unwrap_err();
        assert!(matches!(refused, PeerError::Refused { .. }), "{refused}");
        assert!(!refused.may_have_been_sent());
        let (_, answer) = late.await.unwrap();
        assert_eq!(collect(answer).await.unwrap(), "text");
        let _server = drain.await;
        let refused = peers.call(pair.to, Bytes::new()).await.unwrap_err();
        assert!(!refused.may_have_been_sent(), "{refused}");
        assert_eq!(pair.handler.started(), 1);
    });
}

/// Guards against "sent" for a request that a drain refuses, also while the connection is being
/// closed, and against "not sent" for one that reached the handler.
#[test]
fn drain_under_requests() {
    run(async {
        for round in 0..10 {
            let pair = pair();
            let peers = pair.client.peers();
            let requests: Vec<_> = (0..50)
                .map(|n| {
                    let (peers, to) = (peers.clone(), pair.to);
                    smol::spawn(async move {
                        Timer::after(Duration::from_micros(200 * n)).await;
                        let head = head("/late/1/text");
                        match peers.forward(to, head, body::empty()).await {
                            Ok((_, answer)) => collect(answer).await.unwrap() == "text",
                            Err(e) => {
                                assert!(!e.may_have_been_sent(), "{e}");
                                false
                            }
                        }
                    })
                })
                .collect();
            Timer::after(Duration::from_millis(round)).await;
            pair.server.drain().await;
            let mut done = 0;
            for request in requests {
                done += usize::from(request.await);
            }
            assert_eq!(pair.handler.started(), done);
        }
    });
}

/// Guards against "not run" for a request that ran. Its answer is lost in the network, and the host
/// closes the connection before the answer has been retransmitted.
#[test]
fn drain_waits_for_the_answer() {
    run(async {
        let pair = pair();
        let relay = Relay::new(pair.to);
        let peers = pair.client.peers();
        let head = head("/late/100/text");
        let request = smol::spawn(peers.forward(relay.addr(), head, body::empty()));
        eventually("request starts", || pair.handler.started() == 1).await;
        relay.drop_to_client(true);
        let drain = smol::spawn(async move { pair.server.drain().await });
        eventually("request is answered", || pair.handler.ended() == 1).await;
        Timer::after(Duration::from_millis(20)).await;
        relay.drop_to_client(false);
        let (_, answer) = request.await.unwrap();
        assert_eq!(collect(answer).await.unwrap(), "text");
        drain.await;
    });
}

/// Guards against a drain that waits without bound for a peer to acknowledge an aborted answer, and
/// against "not run" from a host whose handler panicked.
#[test]
fn drain_after_failures() {
    run(async {
        for path in ["/cut", "/panic"] {
            let pair = pair();
            let peers = pair.client.peers();
            let failed = peers.forward(pair.to, head(path), body::empty()).await;
            let failed = match failed {
                Ok((_, body)) => collect(body).await.is_err(),
                Err(e) => e.may_have_been_sent(),
            };
            assert!(failed, "{path}");
            let begin = Instant::now();
            pair.server.drain().await;
            assert!(begin.elapsed() < Duration::from_secs(1), "{path}");
        }
    });
}
