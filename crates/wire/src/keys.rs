//! The deployment's certificate authority and the certificates of its hosts.
//!
//! # Names in a host certificate
//!
//! A peer is dialled by address, and an address says nothing about the host name: any host of the
//! deployment may serve there. A host certificate therefore carries two DNS names.
//! [`ROLE_DNS_NAME`] is the same in all of them and is what a client verifies; it says that the authority issued the
//! certificate for this purpose, so an operator's certificate of the same authority opens no
//! connection between hosts. `NAME.host.trefoil` names the host and becomes the [`PeerId`]. The
//! common name is for people only. A certificate that names no host or several is refused.
//!
//! # Time
//!
//! Validity is checked against the wall clock of [`Clock`], the same that issues certificates. A
//! certificate is valid from an hour before it is issued, because hosts' clocks differ. Sessions
//! are not resumed, so each connection checks the certificate anew and an expired one ends with
//! its last connection. Expiry does not close a connection that is already open.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, From, Into};
use rcgen::{
    BasicConstraints, CertificateParams, DnType, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose, date_time_ymd,
};
use ring::hmac;
use rustls::client::Resumption;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::time_provider::TimeProvider;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use trefoil_core::{Clock, HostName, UnixMillis};

/// DNS name that every host certificate carries.
pub const ROLE_DNS_NAME: &str = "host.trefoil";

/// Time by which the validity of a certificate begins before its issue.
pub const CLOCK_SKEW: Duration = Duration::from_hours(1);

/// Name of a peer, from its certificate.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into, Serialize, Deserialize,
)]
pub struct PeerId(pub HostName);

/// Why keys or certificates cannot be made or loaded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text is no PEM of the expected kind.
    #[snafu(display("{what} cannot be read: {reason}"))]
    Pem {
        /// What was to be read.
        what: &'static str,
        /// Message of the parser.
        reason: String,
    },
    /// A certificate cannot be made.
    #[snafu(display("certificate cannot be issued: {reason}"))]
    Issue {
        /// Message of the library.
        reason: String,
    },
    /// The certificate, its key and the authority do not make valid TLS settings.
    #[snafu(display("certificate is not usable: {reason}"))]
    Unusable {
        /// Message of the library.
        reason: String,
    },
    /// The certificate does not name exactly one host.
    #[snafu(display("certificate names {count} hosts, must name one in NAME.{ROLE_DNS_NAME}"))]
    HostNameCount {
        /// Number of host names.
        count: usize,
    },
}

fn issue_error(error: &rcgen::Error) -> KeyError {
    KeyError::Issue {
        reason: error.to_string(),
    }
}

fn unusable<E>(error: E) -> KeyError
where
    E: fmt::Display,
{
    KeyError::Unusable {
        reason: error.to_string(),
    }
}

fn params(name: &str, now: UnixMillis, valid: Duration) -> CertificateParams {
    let epoch = date_time_ymd(1970, 1, 1);
    let now = Duration::from_millis(now.0);
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, name);
    params.not_before = epoch + now.saturating_sub(CLOCK_SKEW);
    params.not_after = epoch + now + valid;
    params.use_authority_key_identifier_extension = true;
    params
}

/// A certificate with its private key, both as PEM.
#[derive(Clone)]
pub struct KeyPem {
    /// The certificate.
    pub cert: String,
    /// The private key (PKCS #8).
    pub key: String,
}

impl fmt::Debug for KeyPem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The key must not reach a log line.
        f.debug_struct("KeyPem")
            .field("cert", &self.cert)
            .finish_non_exhaustive()
    }
}

/// Certificate authority of a deployment.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: KeyPem,
}

impl fmt::Debug for Authority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Authority")
            .field("pem", &self.pem)
            .finish_non_exhaustive()
    }
}

impl Authority {
    /// Creates an authority with a new key.
    ///
    /// # Errors
    ///
    /// Fails if the certificate cannot be made.
    pub fn create(name: &str, now: UnixMillis, valid: Duration) -> Result<Self, KeyError> {
        let key = KeyPair::generate().map_err(|e| issue_error(&e))?;
        let mut params = params(name, now, valid);
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let cert = params.self_signed(&key).map_err(|e| issue_error(&e))?;
        let pem = KeyPem {
            cert: cert.pem(),
            key: key.serialize_pem(),
        };
        Ok(Self {
            issuer: Issuer::new(params, key),
            pem,
        })
    }

    /// Loads an authority.
    ///
    /// # Errors
    ///
    /// Fails if the texts are no certificate and private key.
    pub fn from_pem(pem: KeyPem) -> Result<Self, KeyError> {
        let key = KeyPair::from_pem(&pem.key).map_err(|e| KeyError::Pem {
            what: "key of the authority",
            reason: e.to_string(),
        })?;
        let issuer = Issuer::from_ca_cert_pem(&pem.cert, key).map_err(|e| KeyError::Pem {
            what: "certificate of the authority",
            reason: e.to_string(),
        })?;
        Ok(Self { issuer, pem })
    }

    /// The certificate, which every host needs, and the key, which only the issuer needs.
    pub fn pem(&self) -> &KeyPem {
        &self.pem
    }

    /// Issues the certificate of a host.
    ///
    /// # Errors
    ///
    /// Fails if the certificate cannot be made, for example because the name begins or ends with a
    /// hyphen, which DNS names do not allow.
    pub fn issue(
        &self,
        host: &HostName,
        now: UnixMillis,
        valid: Duration,
    ) -> Result<KeyPem, KeyError> {
        let name = format!("{host}.{ROLE_DNS_NAME}");
        rustls::pki_types::DnsName::try_from(name.as_str()).map_err(|e| KeyError::Issue {
            reason: format!("host name {host} is no DNS label: {e}"),
        })?;
        let mut params = params(host.as_str(), now, valid);
        let sans = CertificateParams::new([ROLE_DNS_NAME.to_owned(), name])
            .map_err(|e| issue_error(&e))?;
        params.subject_alt_names = sans.subject_alt_names;
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![
            ExtendedKeyUsagePurpose::ServerAuth,
            ExtendedKeyUsagePurpose::ClientAuth,
        ];
        let key = KeyPair::generate().map_err(|e| issue_error(&e))?;
        let cert = params
            .signed_by(&key, &self.issuer)
            .map_err(|e| issue_error(&e))?;
        Ok(KeyPem {
            cert: cert.pem(),
            key: key.serialize_pem(),
        })
    }

    /// Issues a certificate and makes it the identity of a host in this process.
    ///
    /// With [`Authority::create`], this is all that a deployment of one process needs.
    ///
    /// # Errors
    ///
    /// As for [`Authority::issue`] and [`Identity::from_pem`].
    pub fn issue_identity(
        &self,
        host: &HostName,
        now: UnixMillis,
        valid: Duration,
    ) -> Result<Identity, KeyError> {
        Identity::from_pem(&self.pem.cert, &self.issue(host, now, valid)?)
    }
}

/// What a host proves itself with, and whom it trusts.
pub struct Identity {
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    peer: PeerId,
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity")
            .field("peer", &self.peer)
            .finish_non_exhaustive()
    }
}

#[derive(Debug)]
struct WallTime(Arc<dyn Clock>);

impl TimeProvider for WallTime {
    fn current_time(&self) -> Option<UnixTime> {
        let now = Duration::from_millis(self.0.unix().0);
        Some(UnixTime::since_unix_epoch(now))
    }
}

fn certs(what: &'static str, pem: &str) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    match read {
        Ok(certs) if certs.is_empty() => Err(KeyError::Pem {
            what,
            reason: "no certificate in the text".to_owned(),
        }),
        Ok(certs) => Ok(certs),
        Err(e) => Err(KeyError::Pem {
            what,
            reason: e.to_string(),
        }),
    }
}

impl Identity {
    /// Loads an identity.
    ///
    /// `authorities` holds one or more certificates; with two, hosts can move from one authority
    /// to the next without a stop.
    ///
    /// # Errors
    ///
    /// Fails if a text is no PEM of its kind or the certificate does not name one host.
    pub fn from_pem(authorities: &str, host: &KeyPem) -> Result<Self, KeyError> {
        let mut roots = RootCertStore::empty();
        for cert in certs("certificate of the authority", authorities)? {
            roots.add(cert).map_err(unusable)?;
        }
        let chain = certs("certificate of the host", &host.cert)?;
        let key = PrivateKeyDer::from_pem_slice(host.key.as_bytes());
        Ok(Self {
            roots: Arc::new(roots),
            peer: peer_id(&chain)?,
            chain,
            key: key.map_err(|e| KeyError::Pem {
                what: "key of the host",
                reason: e.to_string(),
            })?,
        })
    }

    /// The name under which peers know this host.
    pub fn peer(&self) -> &PeerId {
        &self.peer
    }

    /// TLS settings of the accepting side, which requires a certificate of the peer.
    ///
    /// # Errors
    ///
    /// Fails if the certificate and its key do not belong together.
    pub fn server_tls(
        &self,
        clock: &Arc<dyn Clock>,
        versions: &[Vec<u8>],
    ) -> Result<ServerConfig, KeyError> {
        let roots = Arc::clone(&self.roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider())
            .build()
            .map_err(unusable)?;
        let time = Arc::new(WallTime(Arc::clone(clock)));
        let mut config = ServerConfig::builder_with_details(provider(), time)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        config.alpn_protocols = versions.to_vec();
        // Without tickets no session is resumed, see the module docs. Early data stays off, since
        // it can be replayed and a replayed request would run twice.
        config.send_tls13_tickets = 0;
        Ok(config)
    }

    /// TLS settings of the connecting side.
    ///
    /// # Errors
    ///
    /// Fails if the certificate and its key do not belong together.
    pub fn client_tls(
        &self,
        clock: &Arc<dyn Clock>,
        versions: &[Vec<u8>],
    ) -> Result<ClientConfig, KeyError> {
        let time = Arc::new(WallTime(Arc::clone(clock)));
        let mut config = ClientConfig::builder_with_details(provider(), time)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable)?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable)?;
        config.alpn_protocols = versions.to_vec();
        config.resumption = Resumption::disabled();
        Ok(config)
    }

    /// A secret for `purpose` that is the same after a restart with the same key.
    pub(crate) fn secret(&self, purpose: &str) -> hmac::Tag {
        let key = hmac::Key::new(hmac::HMAC_SHA256, self.key.secret_der());
        hmac::sign(&key, purpose.as_bytes())
    }
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// The host that a verified chain names.
pub(crate) fn peer_id(chain: &[CertificateDer<'_>]) -> Result<PeerId, KeyError> {
    let cert = chain.first().ok_or(KeyError::HostNameCount { count: 0 })?;
    let cert = webpki::EndEntityCert::try_from(cert).map_err(unusable)?;
    let has_role = cert.valid_dns_names().any(|n| n == ROLE_DNS_NAME);
    let names: Vec<HostName> = cert
        .valid_dns_names()
        .filter_map(|n| {
            n.strip_suffix(ROLE_DNS_NAME)?
                .strip_suffix('.')?
                .parse()
                .ok()
        })
        .collect();
    match names.as_slice() {
        [name] if has_role => Ok(PeerId(name.clone())),
        _ => Err(KeyError::HostNameCount { count: names.len() }),
    }
}
