//! Streams that carry no valid request.

use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::{Connection, ReadToEndError, VarInt};
use trefoil_core::{Clock, SystemClock};
use trefoil_wire::{Builder, code, keys};

use super::support::{Script, authority, eventually, identity, loopback, run, serve};

/// Connects as a host that writes what it wants.
async fn connect(to: std::net::SocketAddr, host: &trefoil_wire::Identity) -> Connection {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let tls = host.client_tls(&clock, &[trefoil_wire::PROTOCOL.into()]);
    let config = QuicClientConfig::try_from(tls.unwrap()).unwrap();
    let config = quinn::ClientConfig::new(Arc::new(config));
    let quic = quinn::Endpoint::client(loopback()).unwrap();
    quic.connect_with(config, to, keys::ROLE)
        .unwrap()
        .await
        .unwrap()
}

/// Sends `bytes`, with the end of the stream if `end` holds, and reads the answer.
async fn exchange(conn: &Connection, bytes: &[u8], end: bool) -> Result<Vec<u8>, u64> {
    let (mut send, mut recv) = conn.open_bi().await.unwrap();
    // The server may refuse before all bytes are written.
    let _stopped = send.write_all(bytes).await;
    if end {
        let _stopped = send.finish();
    }
    match recv.read_to_end(64).await {
        Ok(answer) => Ok(answer),
        Err(ReadToEndError::Read(quinn::ReadError::Reset(code))) => Err(code.into()),
        Err(e) => panic!("{e}"),
    }
}

fn framed(kind: u8, len: u32, rest: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&len.to_be_bytes());
    bytes.extend_from_slice(rest);
    bytes
}

/// Guards against frames that stop the server, reach the handler, or are refused without a reason.
/// After each of them, the next request on the same connection works.
#[test]
fn bad_frames() {
    run(async {
        let authority = authority();
        let served = Builder::new(identity(&authority, "served"))
            .head_timeout(Duration::from_millis(200))
            .open(loopback())
            .unwrap();
        let handler = Script::new();
        let _server = serve(&served, &handler);
        let conn = connect(served.local_addr(), &identity(&authority, "asking")).await;
        let cases: [(&str, Vec<u8>, bool, u32, &str); 9] = [
            (
                "empty stream",
                vec![],
                true,
                code::MALFORMED,
                "ended inside",
            ),
            (
                "truncated length",
                vec![1, 0, 0],
                true,
                code::MALFORMED,
                "ended inside",
            ),
            (
                "truncated head",
                framed(1, 100, b"abc"),
                true,
                code::MALFORMED,
                "ended inside",
            ),
            (
                "unknown kind",
                framed(9, 1, b"a"),
                true,
                code::MALFORMED,
                "malformed",
            ),
            (
                "garbage head",
                framed(1, 4, &[0xff; 4]),
                true,
                code::MALFORMED,
                "malformed",
            ),
            (
                "oversized head",
                framed(1, 1024 * 1024 + 1, b"a"),
                false,
                code::TOO_LARGE,
                "1048576",
            ),
            (
                "oversized call",
                framed(2, u32::MAX, b"a"),
                false,
                code::TOO_LARGE,
                "1048576",
            ),
            (
                "bytes after a call",
                framed(2, 1, b"ab"),
                true,
                code::MALFORMED,
                "malformed",
            ),
            (
                "slow head",
                framed(1, 100, b"a"),
                false,
                code::TOO_SLOW,
                "in time",
            ),
        ];
        for (n, (name, bytes, end, code, reason)) in cases.into_iter().enumerate() {
            let answer = exchange(&conn, &bytes, end).await;
            assert_eq!(answer, Err(u64::from(code)), "{name}");
            assert!(code::is_refusal(code.into()), "{name}");
            eventually(name, || handler.refusals().len() == n + 1).await;
            let refusals = handler.refusals();
            assert!(refusals[n].contains(reason), "{name}: {refusals:?}");
            let next = exchange(&conn, &framed(2, 1, b"x"), true).await;
            assert_eq!(next.unwrap(), b"\0\0\0\x08asking x", "{name}");
        }
    });
}

/// Guards against a host that a peer can make write into a void: a peer that resets a stream in the
/// middle of a head is not reported as a fault, and the next request works.
#[test]
fn head_given_up() {
    run(async {
        let authority = authority();
        let served = Builder::new(identity(&authority, "served"));
        let served = served.open(loopback()).unwrap();
        let handler = Script::new();
        let _server = serve(&served, &handler);
        let conn = connect(served.local_addr(), &identity(&authority, "asking")).await;
        let (mut send, recv) = conn.open_bi().await.unwrap();
        send.write_all(&framed(1, 100, b"a")).await.unwrap();
        send.reset(VarInt::from_u32(code::CANCELLED)).unwrap();
        drop(recv);
        let next = exchange(&conn, &framed(2, 1, b"x"), true).await;
        assert_eq!(next.unwrap(), b"\0\0\0\x08asking x");
        assert_eq!(handler.started(), 1);
    });
}
