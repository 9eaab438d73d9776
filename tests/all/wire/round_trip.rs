//! Requests that are answered.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::{poll_once, zip};
use http_body_util::BodyExt;
use smol::Timer;
use trefoil_core::{Clock, ManualClock, SystemClock};
use trefoil_wire::{Builder, Peers, body};

use super::support::{
    ScriptedHandler, authority, channel_body, collect, eventually, head, identity, loopback,
    ok_head, open, pair, run, serve,
};

/// Guards against heads or bodies that are altered in transfer, and against bodies that are
/// buffered until they are complete.
#[test]
fn streams_both_ways() {
    run(async {
        let pair = pair();
        let (send, body) = channel_body();
        let peers = pair.client.peers();
        send.send(Ok(Bytes::from_static(b"one"))).await.unwrap();
        let (answer, mut echo) = peers.forward(pair.to, head("/echo"), body).await.unwrap();
        assert_eq!(answer, ok_head());
        for piece in ["one", "two", "three"] {
            if piece != "one" {
                send.send(Ok(Bytes::from(piece))).await.unwrap();
            }
            let frame = echo.frame().await.unwrap().unwrap();
            assert_eq!(frame.into_data().unwrap(), piece);
        }
        drop(send);
        assert_eq!(collect(echo).await.unwrap(), "");
        assert_eq!(pair.handler.peers.lock().unwrap()[0].to_string(), "asking");
    });
}

/// Guards against a transfer that stalls if a body is larger than the windows of the transport.
#[test]
fn large_bodies() {
    run(async {
        let pair = pair();
        let large = Bytes::from(vec![0xa5; 8 * 1024 * 1024]);
        let peers = pair.client.peers();
        let request = body::full(large.clone());
        let (_, answer) = peers
            .forward(pair.to, head("/read"), request)
            .await
            .unwrap();
        assert_eq!(collect(answer).await.unwrap(), large);
    });
}

/// Guards against control messages that receive the answer to another one or have no peer name.
#[test]
fn calls() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let one = peers.call(pair.to, Bytes::from_static(b"one"));
        let two = peers.call(pair.to, Bytes::from_static(b"two"));
        let (one, two) = zip(one, two).await;
        assert_eq!(one.unwrap(), "asking one");
        assert_eq!(two.unwrap(), "asking two");
    });
}

/// Guards against answers that are delivered to another request: 200 requests on one connection are
/// answered in reverse order.
#[test]
fn crossed_requests() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let requests: Vec<_> = (0..200)
            .map(|n| {
                let head = head(&format!("/late/{}/text-{n}", 200 - n));
                smol::spawn(peers.forward(pair.to, head, body::empty()))
            })
            .collect();
        for (n, request) in requests.into_iter().enumerate() {
            let (_, answer) = request.await.unwrap();
            assert_eq!(collect(answer).await.unwrap(), format!("text-{n}"));
        }
        assert_eq!(peers.connections(), 1);
    });
}

/// Guards against requests that fail at the limit of concurrent streams instead of waiting.
#[test]
fn more_requests_than_streams() {
    run(async {
        let authority = authority();
        let server_host = Builder::new(identity(&authority, "served")).max_streams(4);
        let server_host = server_host.open(loopback()).unwrap();
        let handler = ScriptedHandler::new();
        let _server = serve(&server_host, &handler);
        let client = open(&authority, "asking");
        let peers = client.peers();
        let requests: Vec<_> = (0..32)
            .map(|n| {
                let head = head(&format!("/late/20/text-{n}"));
                smol::spawn(peers.forward(server_host.local_addr(), head, body::empty()))
            })
            .collect();
        Timer::after(Duration::from_millis(10)).await;
        assert!(handler.started() <= 4, "the limit of streams does not hold");
        for (n, request) in requests.into_iter().enumerate() {
            let (_, answer) = request.await.unwrap();
            assert_eq!(collect(answer).await.unwrap(), format!("text-{n}"));
        }
    });
}

/// Guards against unread bodies that block other requests on the same connection.
#[test]
fn unread_bodies_block_nothing() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let large = Bytes::from(vec![1; 1024 * 1024]);
        let mut unread = Vec::new();
        for _ in 0..100 {
            let request = peers.forward(pair.to, head("/hang"), body::full(large.clone()));
            unread.push(smol::spawn(request));
        }
        eventually("requests start", || pair.handler.started() == 100).await;
        let request = body::full(large.clone());
        let (_, answer) = peers
            .forward(pair.to, head("/read"), request)
            .await
            .unwrap();
        assert_eq!(collect(answer).await.unwrap(), large);
    });
}

/// Guards against connections that are kept open, with keep-alives, although no request uses them.
#[test]
fn unused_connections_close() {
    run(async {
        let authority = authority();
        let first = open(&authority, "first");
        let second = open(&authority, "second");
        let handler = ScriptedHandler::new();
        let _servers = [serve(&first, &handler), serve(&second, &handler)];
        let clock = ManualClock::new(SystemClock.unix());
        let client = Builder::new(identity(&authority, "asking")).clock(Arc::new(clock.clone()));
        let peers = client.open(loopback()).unwrap().peers();
        let ping = Bytes::from_static(b"ping");
        peers.call(first.local_addr(), ping.clone()).await.unwrap();
        peers.call(second.local_addr(), ping.clone()).await.unwrap();
        assert_eq!(peers.connections(), 2);
        clock.advance(Duration::from_secs(11));
        peers.call(first.local_addr(), ping).await.unwrap();
        assert_eq!(peers.connections(), 1);
    });
}

/// Guards against a budget that is sent without subtracting the time that connecting took.
#[test]
fn budget_shrinks_while_connecting() {
    run(async {
        let pair = pair();
        let clock = ManualClock::new(SystemClock.unix());
        let client = Builder::new(identity(&pair.authority, "slow"))
            .connect_timeout(Duration::from_mins(1))
            .clock(Arc::new(clock.clone()));
        let client = client.open(loopback()).unwrap();
        let request = client
            .peers()
            .forward(pair.to, head("/budget"), body::empty());
        // The time of a request starts at its first poll, and its handshake needs several packets.
        let mut request = Box::pin(request);
        assert!(poll_once(&mut request).await.is_none());
        clock.advance(Duration::from_secs(2));
        let (_, answer) = request.await.unwrap();
        assert_eq!(collect(answer).await.unwrap(), "3s");
    });
}
