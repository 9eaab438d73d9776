//! Authentication of peers and versions of the protocol.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::rustls::pki_types::pem::PemObject;
use quinn::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use quinn::rustls::{self, RootCertStore};
use rcgen::{CertificateParams, ExtendedKeyUsagePurpose, Issuer, KeyPair};
use smol::Timer;
use trefoil_core::{Clock, SystemClock, UnixMillis};
use trefoil_wire::{
    Authority, Builder, Endpoint, Identity, KeyError, KeyPem, OpenError, PeerError, Peers, body,
    keys,
};

use super::support::{
    DAY, Pair, ScriptedHandler, authority, eventually, head, identity, loopback, named_authority,
    open, pair, run,
};

/// Sends a request to the pair's server and expects an error, and a reason reported by the server.
async fn assert_refused(pair: &Pair, client: &Endpoint, reason: &str) -> PeerError {
    let forward = client
        .peers()
        .forward(pair.to, head("/read"), body::empty());
    let error = forward.await.unwrap_err();
    assert!(!error.may_have_been_sent(), "{error}");
    eventually("the server has a reason", || {
        !pair.handler.refusals().is_empty()
    })
    .await;
    let refusals = pair.handler.refusals();
    assert!(refusals[0].contains(reason), "{refusals:?}");
    assert_eq!(pair.handler.started(), 0);
    // Other hosts are still served.
    pair.client
        .peers()
        .call(pair.to, Bytes::new())
        .await
        .unwrap();
    error
}

/// Issues a certificate of `authority` with these DNS names.
fn issue_with_names(authority: &Authority, names: &[&str]) -> KeyPem {
    let names: Vec<_> = names.iter().map(|&n| n.to_owned()).collect();
    let mut params = CertificateParams::new(names).unwrap();
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ClientAuth,
        ExtendedKeyUsagePurpose::ServerAuth,
    ];
    let pem = authority.pem();
    let issuer = KeyPair::from_pem(&pem.key).unwrap();
    let issuer = Issuer::from_ca_cert_pem(&pem.cert, issuer).unwrap();
    let key = KeyPair::generate().unwrap();
    KeyPem {
        cert: params.signed_by(&key, &issuer).unwrap().pem(),
        key: key.serialize_pem(),
    }
}

/// Connects with plain TLS settings and returns the error that closes the connection.
async fn connect_raw(pair: &Pair, chain: Option<&KeyPem>) -> String {
    let mut roots = RootCertStore::empty();
    let root = pair.authority.pem().cert.as_bytes();
    roots
        .add(CertificateDer::from_pem_slice(root).unwrap())
        .unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(roots);
    let mut config = match chain {
        Some(pem) => {
            let cert = CertificateDer::from_pem_slice(pem.cert.as_bytes()).unwrap();
            let key = PrivateKeyDer::from_pem_slice(pem.key.as_bytes()).unwrap();
            config.with_client_auth_cert(vec![cert], key).unwrap()
        }
        None => config.with_no_client_auth(),
    };
    config.alpn_protocols = vec![trefoil_wire::PROTOCOL.into()];
    let config = QuicClientConfig::try_from(config).unwrap();
    let quic = quinn::Endpoint::client(loopback()).unwrap();
    let config = quinn::ClientConfig::new(Arc::new(config));
    let connecting = quic
        .connect_with(config, pair.to, keys::ROLE_DNS_NAME)
        .unwrap();
    match connecting.await {
        Ok(conn) => {
            // No request of a refused peer may reach the handler.
            if let Ok((mut send, _recv)) = conn.open_bi().await {
                let _lost = send.write_all(b"\x02\0\0\0\x01x").await;
            }
            conn.closed().await.to_string()
        }
        Err(e) => e.to_string(),
    }
}

/// Guards against a server that accepts clients without a certificate.
#[test]
fn no_certificate() {
    run(async {
        let pair = pair();
        let error = connect_raw(&pair, None).await;
        assert!(error.contains("error 116"), "{error}");
        eventually("the server has a reason", || {
            !pair.handler.refusals().is_empty()
        })
        .await;
        let refusals = pair.handler.refusals();
        assert!(
            refusals[0].contains("peer sent no certificates"),
            "{refusals:?}"
        );
        assert_eq!(pair.handler.started(), 0);
    });
}

/// Guards against certificates of the right authority that were issued for another purpose, such as
/// those of operators, and against those that name no host or two.
#[test]
fn certificate_for_another_purpose() {
    run(async {
        for names in [
            &["operator.example"][..],
            &["served.host.trefoil"],
            &["host.trefoil"],
            &["host.trefoil", "a.host.trefoil", "b.host.trefoil"],
        ] {
            let pair = pair();
            let pem = issue_with_names(&pair.authority, names);
            let error = connect_raw(&pair, Some(&pem)).await;
            assert!(error.contains("names"), "{error}");
            eventually("the server has a reason", || {
                !pair.handler.refusals().is_empty()
            })
            .await;
            assert_eq!(pair.handler.started(), 0);
            let own = Identity::from_pem(&pair.authority.pem().cert, &pem);
            assert!(
                matches!(own, Err(KeyError::HostNameCount { .. })),
                "{own:?}"
            );
        }
    });
}

/// Guards against trust in any authority, even one with the same name. The client detects the fault
/// first and reports it to the server in a TLS alert.
#[test]
fn server_of_another_authority() {
    run(async {
        for (name, alert) in [("other", "error 48"), ("test", "error 51")] {
            let pair = pair();
            let stranger = open(&named_authority(name), "stranger");
            let error = assert_refused(&pair, &stranger, alert).await;
            assert!(matches!(error, PeerError::Untrusted { .. }), "{error}");
        }
    });
}

/// Guards against a client that trusts this deployment's authority but has a certificate of
/// another.
#[test]
fn client_of_another_authority() {
    run(async {
        let cases = [("other", "UnknownIssuer"), ("test", "BadSignature")];
        for (name, reason) in cases {
            let pair = pair();
            let host = "stranger".parse().unwrap();
            let now = SystemClock.unix();
            let pem = named_authority(name).issue(&host, now, DAY).unwrap();
            let stranger = Identity::from_pem(&pair.authority.pem().cert, &pem).unwrap();
            let stranger = Builder::new(stranger).open(loopback()).unwrap();
            let error = assert_refused(&pair, &stranger, reason).await;
            assert!(
                matches!(error, PeerError::CertificateRefused { .. }),
                "{error}"
            );
        }
    });
}

/// Guards against certificates that are accepted after they expired.
#[test]
fn expired_certificate() {
    run(async {
        let pair = pair();
        let host = "expired".parse().unwrap();
        let past = UnixMillis(SystemClock.unix().0 - 3 * 86_400_000);
        let expired = pair.authority.issue_identity(&host, past, DAY).unwrap();
        let expired = Builder::new(expired).open(loopback()).unwrap();
        let error = assert_refused(&pair, &expired, "certificate expired").await;
        assert!(
            matches!(error, PeerError::CertificateRefused { .. }),
            "{error}"
        );
        assert!(error.to_string().contains("CertificateExpired"), "{error}");
    });
}

/// Guards against peers that decode heads of another protocol version.
#[test]
fn another_version() {
    run(async {
        let pair = pair();
        let next = Builder::new(identity(&pair.authority, "next"))
            .versions(&["trefoil/2"])
            .open(loopback())
            .unwrap();
        let error = assert_refused(&pair, &next, "protocol").await;
        assert!(
            matches!(error, PeerError::NoCommonVersion { .. }),
            "{error}"
        );
        let both = Builder::new(identity(&pair.authority, "both"))
            .versions(&["trefoil/2", trefoil_wire::PROTOCOL])
            .open(loopback())
            .unwrap();
        both.peers().call(pair.to, Bytes::new()).await.unwrap();
    });
}

/// Guards against PEM texts that cannot be loaded again, and against host names that a certificate
/// cannot contain.
#[test]
fn keys_from_pem() {
    run(async {
        let now = SystemClock.unix();
        let written = authority().pem().clone();
        let read = Authority::from_pem(written.clone()).unwrap();
        let host = "served".parse().unwrap();
        let pem = read.issue(&host, now, Duration::from_hours(1)).unwrap();
        let identity = Identity::from_pem(&written.cert, &pem).unwrap();
        assert_eq!(identity.peer().to_string(), "served");
        let server_host = Builder::new(identity).open(loopback()).unwrap();
        let _server = server_host.serve(ScriptedHandler::new());
        let client = open(&read, "asking");
        let answer = client.peers().call(server_host.local_addr(), Bytes::new());
        answer.await.unwrap();

        assert!(!format!("{pem:?}{read:?}").contains("PRIVATE"));
        let error = read.issue(&"-".parse().unwrap(), now, DAY).unwrap_err();
        assert!(matches!(error, KeyError::Issue { .. }), "{error}");
        let error = Identity::from_pem("", &pem).unwrap_err();
        assert!(error.to_string().contains("authority"), "{error}");
        let empty = KeyPem {
            cert: written.cert,
            key: String::new(),
        };
        let error = Authority::from_pem(empty).unwrap_err();
        assert!(matches!(error, KeyError::Pem { .. }), "{error}");
    });
}

/// Guards against a certificate that can only be replaced by a restart, which would interrupt the
/// requests in flight.
#[test]
fn renewed_certificate() {
    run(async {
        let pair = pair();
        let host = "asking".parse().unwrap();
        let past = UnixMillis(SystemClock.unix().0 - 3 * 86_400_000);
        let expired = pair.authority.issue_identity(&host, past, DAY).unwrap();
        let client = Builder::new(expired).open(loopback()).unwrap();
        let peers = client.peers();
        peers.call(pair.to, Bytes::new()).await.unwrap_err();
        let renamed = client.replace_identity(&identity(&pair.authority, "other"));
        assert!(
            matches!(renamed, Err(OpenError::HostMismatch { .. })),
            "{renamed:?}"
        );
        client
            .replace_identity(&identity(&pair.authority, "asking"))
            .unwrap();
        // A failed attempt blocks new ones for 100 ms.
        Timer::after(Duration::from_millis(150)).await;
        peers.call(pair.to, Bytes::new()).await.unwrap();
        // The accepting side also uses the new certificate.
        let _server = client.serve(ScriptedHandler::new());
        let to = client.local_addr();
        pair.client.peers().call(to, Bytes::new()).await.unwrap();
    });
}
