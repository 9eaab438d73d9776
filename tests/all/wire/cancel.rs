//! Requests that their sender cancels.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use smol::Timer;
use trefoil_core::Outcome;
use trefoil_wire::{AnswerHead, BodyError, PeerError, Peers, body};

use super::support::{channel_body, collect, eventually, head, pair, run};

/// Guards against handlers that continue after the requester has cancelled the request.
#[test]
fn dropped_future() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let hang = smol::spawn(peers.forward(pair.to, head("/hang"), body::empty()));
        eventually("request starts", || pair.handler.started() == 1).await;
        assert_eq!(pair.handler.ended(), 0);
        drop(hang);
        eventually("handler ends", || pair.handler.ended() == 1).await;
        // The connection remains usable.
        peers.call(pair.to, Bytes::new()).await.unwrap();
        assert_eq!(peers.connections(), 1);
    });
}

/// Guards against the truncated body of a cancelled request that looks complete to a handler that
/// reads it in a separate task.
#[test]
fn dropped_future_in_the_body() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        for round in 0..20 {
            let (send, request) = channel_body();
            let forward = smol::spawn(peers.forward(pair.to, head("/task"), request));
            send.send(Ok(Bytes::from_static(b"begin"))).await.unwrap();
            eventually("request starts", || pair.handler.started() == round + 1).await;
            drop(forward);
            let read = || pair.handler.bodies.lock().unwrap().len() == round + 1;
            eventually("the body ends", read).await;
        }
        let bodies = pair.handler.bodies.lock().unwrap();
        assert!(bodies.iter().all(Result::is_err), "{bodies:?}");
    });
}

/// Guards against a peer that continues to send an answer after the requester has dropped it.
#[test]
fn dropped_answer() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let (send, request) = channel_body();
        let echo = peers.forward(pair.to, head("/echo"), request).await;
        let (_, mut answer) = echo.unwrap();
        send.send(Ok(Bytes::from_static(b"one"))).await.unwrap();
        answer.frame().await.unwrap().unwrap();
        drop(answer);
        eventually("the request's body is dropped", || send.is_closed()).await;
    });
}

/// Guards against a request body that ends early and is taken for a complete one.
#[test]
fn cut_off_request() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let (send, request) = channel_body();
        let forward = smol::spawn(peers.forward(pair.to, head("/read"), request));
        send.send(Ok(Bytes::from_static(b"begin"))).await.unwrap();
        eventually("request starts", || pair.handler.started() == 1).await;
        let reason = "caller has gone".to_owned();
        let cut = BodyError::Source { reason };
        send.send(Err(cut)).await.unwrap();
        let error = forward.await.unwrap_err();
        assert!(
            matches!(error, PeerError::RequestBody { sent: true, .. }),
            "{error}"
        );
        eventually("handler ends", || pair.handler.ended() == 1).await;
    });
}

/// Guards against an unbounded wait for a handler that does not answer: the request ends after its
/// budget and the grace period, and the handler's future is dropped.
#[test]
fn budget_expires() {
    run(async {
        let pair = pair();
        let mut hang = head("/hang");
        hang.budget = Duration::from_millis(100);
        let peers = pair.client.peers();
        // Opens the connection first: without one within its budget, the request would not be sent.
        peers.call(pair.to, Bytes::new()).await.unwrap();
        let error = peers.forward(pair.to, hang, body::empty()).await;
        let error = error.unwrap_err();
        assert!(
            matches!(error, PeerError::Timeout { sent: true, .. }),
            "{error}"
        );
        eventually("handler ends", || pair.handler.ended() == 1).await;
    });
}

/// Guards against a panic of a handler that stops the server or looks like an answer.
#[test]
fn handler_panics() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let error = peers.forward(pair.to, head("/panic"), body::empty()).await;
        let error = error.unwrap_err();
        assert!(matches!(error, PeerError::InvalidAnswer { .. }), "{error}");
        assert!(error.may_have_been_sent());
        peers.call(pair.to, Bytes::new()).await.unwrap();
    });
}

/// Guards against an answer that is lost because the request was not read to its end.
#[test]
fn answer_before_request_ends() {
    run(async {
        let pair = pair();
        let peers = pair.client.peers();
        let (send, request) = channel_body();
        let large = Bytes::from(vec![0; 1024 * 1024]);
        send.send(Ok(large)).await.unwrap();
        let early = peers.forward(pair.to, head("/late/0/early"), request);
        let (answer, body) = early.await.unwrap();
        assert!(matches!(
            answer,
            AnswerHead::Answer {
                outcome: Outcome::Done,
                ..
            }
        ));
        assert_eq!(collect(body).await.unwrap(), "early");
        // The rest of the request is cancelled at the end of the answer.
        Timer::after(Duration::from_millis(10)).await;
        assert!(send.is_closed());
    });
}
