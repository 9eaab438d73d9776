//! Malformed requests, answers and greetings.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{Connection, ReadToEndError, VarInt};
use smol::Task;
use trefoil_core::{Clock, SystemClock};
use trefoil_wire::{Builder, Identity, PROTOCOL, PeerError, Peers, code, keys};

use super::support::{
    ScriptedHandler, authority, eventually, identity, loopback, open, run, serve,
};

/// Opens a connection as a host, on which a test can write any bytes.
async fn connect(to: SocketAddr, host: &Identity) -> Connection {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let tls = host.client_tls(&clock, &[PROTOCOL.into()]);
    let config = QuicClientConfig::try_from(tls.unwrap()).unwrap();
    let config = quinn::ClientConfig::new(Arc::new(config));
    let quic = quinn::Endpoint::client(loopback()).unwrap();
    quic.connect_with(config, to, keys::ROLE_DNS_NAME)
        .unwrap()
        .await
        .unwrap()
}

/// Sends `bytes`, finishes the stream if `end` is true, and reads the answer or the reset code.
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

fn encode_frame(kind: u8, len: u32, rest: &[u8]) -> Vec<u8> {
    let mut bytes = vec![kind];
    bytes.extend_from_slice(&len.to_be_bytes());
    bytes.extend_from_slice(rest);
    bytes
}

/// Guards against malformed frames that stop the server, reach the handler, or are refused without
/// a reason. After each of them, the next request on the same connection succeeds.
#[test]
fn bad_frames() {
    run(async {
        let authority = authority();
        let server_host = Builder::new(identity(&authority, "served"))
            .head_timeout(Duration::from_millis(200))
            .open(loopback())
            .unwrap();
        let handler = ScriptedHandler::new();
        let _server = serve(&server_host, &handler);
        let conn = connect(server_host.local_addr(), &identity(&authority, "asking")).await;
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
                encode_frame(1, 100, b"abc"),
                true,
                code::MALFORMED,
                "ended inside",
            ),
            (
                "unknown kind",
                encode_frame(9, 1, b"a"),
                true,
                code::MALFORMED,
                "malformed",
            ),
            (
                "garbage head",
                encode_frame(1, 4, &[0xff; 4]),
                true,
                code::MALFORMED,
                "malformed",
            ),
            (
                "oversized head",
                encode_frame(1, 1024 * 1024 + 1, b"a"),
                false,
                code::TOO_LARGE,
                "1048576",
            ),
            (
                "oversized call",
                encode_frame(2, u32::MAX, b"a"),
                false,
                code::TOO_LARGE,
                "1048576",
            ),
            (
                "bytes after a call",
                encode_frame(2, 1, b"ab"),
                true,
                code::MALFORMED,
                "malformed",
            ),
            (
                "slow head",
                encode_frame(1, 100, b"a"),
                false,
                code::FRAME_TIMEOUT,
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
            let next = exchange(&conn, &encode_frame(2, 1, b"x"), true).await;
            assert_eq!(next.unwrap(), b"\0\0\0\x08asking x", "{name}");
        }
    });
}

/// Guards against a server that passes a request to the handler or stops serving the connection
/// when a peer resets a stream in the middle of a head. The next request succeeds.
#[test]
fn reset_within_a_head() {
    run(async {
        let authority = authority();
        let server_host = Builder::new(identity(&authority, "served"));
        let server_host = server_host.open(loopback()).unwrap();
        let handler = ScriptedHandler::new();
        let _server = serve(&server_host, &handler);
        let conn = connect(server_host.local_addr(), &identity(&authority, "asking")).await;
        let (mut send, recv) = conn.open_bi().await.unwrap();
        send.write_all(&encode_frame(1, 100, b"a")).await.unwrap();
        send.reset(VarInt::from_u32(code::CANCELLED)).unwrap();
        drop(recv);
        let next = exchange(&conn, &encode_frame(2, 1, b"x"), true).await;
        assert_eq!(next.unwrap(), b"\0\0\0\x08asking x");
        assert_eq!(handler.started(), 1);
    });
}

/// Accepts connections at a loopback address and passes them to `serve`.
fn serve_raw<F>(host: &Identity, serve: fn(Connection) -> F) -> (SocketAddr, Task<()>)
where
    F: Future<Output = ()> + Send + 'static,
{
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let tls = host.server_tls(&clock, &[PROTOCOL.into()]).unwrap();
    let config = QuicServerConfig::try_from(tls).unwrap();
    let config = quinn::ServerConfig::with_crypto(Arc::new(config));
    let quic = quinn::Endpoint::server(config, loopback()).unwrap();
    let addr = quic.local_addr().unwrap();
    let accept = async move {
        while let Some(incoming) = quic.accept().await {
            serve(incoming.await.unwrap()).await;
        }
    };
    (addr, smol::spawn(accept))
}

async fn send_greeting(conn: &Connection, greeting: &[u8]) {
    let mut send = conn.open_uni().await.unwrap();
    send.write_all(greeting).await.unwrap();
    send.finish().unwrap();
}

/// Guards against malformed answers that are accepted, or whose error does not state the fault. The
/// request counts as sent each time.
#[test]
fn bad_answers() {
    // Answers a call with the message of the call.
    async fn echo(conn: Connection) {
        send_greeting(&conn, &[1]).await;
        while let Ok((mut send, mut recv)) = conn.accept_bi().await {
            let request = recv.read_to_end(1024).await.unwrap();
            send.write_all(&request[5..]).await.unwrap();
            send.finish().unwrap();
        }
    }
    run(async {
        let authority = authority();
        let (to, _accept) = serve_raw(&identity(&authority, "served"), echo);
        let client = open(&authority, "asking");
        let peers = client.peers();
        let cases: [(&[u8], &str); 5] = [
            (b"", "ended inside"),
            (b"\0\0", "ended inside"),
            (b"\0\0\0\x05abc", "ended inside"),
            (b"\xff\xff\xff\xffabc", "1048576"),
            (b"\0\0\0\x01ab", "malformed"),
        ];
        for (answer, reason) in cases {
            let error = peers.call(to, answer.into()).await.unwrap_err();
            assert!(matches!(error, PeerError::InvalidAnswer { .. }), "{error}");
            assert!(error.may_have_been_sent());
            assert!(error.to_string().contains(reason), "{error}");
        }
        let good = peers.call(to, b"\0\0\0\x01a"[..].into()).await;
        assert_eq!(good.unwrap(), "a");
        assert_eq!(peers.connections(), 1);
    });
}

/// Guards against a greeting of another protocol, and against log injection by a peer: the reason
/// with which it closes a connection must be one short line.
#[test]
fn bad_greetings() {
    async fn unknown(conn: Connection) {
        send_greeting(&conn, &[7]).await;
        conn.closed().await;
    }
    async fn closed(conn: Connection) {
        conn.close(VarInt::from_u32(99), "first\nsecond ".repeat(40).as_bytes());
    }
    run(async {
        let authority = authority();
        let host = identity(&authority, "served");
        let client = open(&authority, "asking");
        let (to, _unknown) = serve_raw(&host, unknown);
        let error = client.peers().call(to, Bytes::new()).await.unwrap_err();
        assert!(error.to_string().contains("unknown greeting"), "{error}");
        let (to, _closed) = serve_raw(&host, closed);
        let error = client.peers().call(to, Bytes::new()).await.unwrap_err();
        assert!(matches!(error, PeerError::Connect { .. }), "{error}");
        let text = error.to_string();
        assert!(text.contains("first second"), "{text}");
        assert!(text.len() < 320 && !text.contains('\n'), "{text}");
    });
}
