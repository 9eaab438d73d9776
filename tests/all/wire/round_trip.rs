//! Requests that reach their peer and are answered.

use bytes::Bytes;
use futures_lite::future::zip;
use http_body_util::BodyExt;
use trefoil_wire::{Peers, body};

use super::support::{collect, head, ok, pair, piped, run};

/// Guards against heads or bodies that change on the way, and against bodies that are held back
/// until they are complete.
#[test]
fn streams_both_ways() {
    run(async {
        let pair = pair();
        let (send, body) = piped();
        let peers = pair.asking.peers();
        send.send(Ok(Bytes::from_static(b"one"))).await.unwrap();
        let (answer, mut echo) = peers.forward(pair.to, head("/echo"), body).await.unwrap();
        assert_eq!(answer, ok());
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

/// Guards against bodies that are larger than the windows of the transport.
#[test]
fn large_bodies() {
    run(async {
        let pair = pair();
        let large = Bytes::from(vec![0xa5; 8 * 1024 * 1024]);
        let peers = pair.asking.peers();
        let request = body::full(large.clone());
        let (_, answer) = peers
            .forward(pair.to, head("/read"), request)
            .await
            .unwrap();
        assert_eq!(collect(answer).await.unwrap(), large);
    });
}

/// Guards against control messages that get another's answer or no peer name.
#[test]
fn calls() {
    run(async {
        let pair = pair();
        let peers = pair.asking.peers();
        let one = peers.call(pair.to, Bytes::from_static(b"one"));
        let two = peers.call(pair.to, Bytes::from_static(b"two"));
        let (one, two) = zip(one, two).await;
        assert_eq!(one.unwrap(), "asking one");
        assert_eq!(two.unwrap(), "asking two");
    });
}
