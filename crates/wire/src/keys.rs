//! Certificate authority of a deployment and the certificates of its hosts.
//!
//! # Names in a host certificate
//!
//! A host connects to a peer by address, and an address does not determine the host name: any host
//! of the deployment may serve there. A host certificate therefore carries two DNS names.
//! [`ROLE_DNS_NAME`] is the same in all of them and is the name that a client verifies. It shows
//! that the authority issued the certificate for connections between hosts, so an operator's
//! certificate of the same authority is refused. `NAME.host.trefoil` names the host and becomes the
//! [`PeerId`]. The common name is informational. A certificate that names no host, or more than
//! one, is refused.
//!
//! # Time
//!
//! Validity is checked against the wall clock of [`Clock`], which is also the clock for issuing. A
//! certificate is valid from one hour before its issue, because the clocks of hosts differ.
//! Sessions are not resumed, so each new connection verifies the certificate again, and an expired
//! one opens no new connection. Expiry does not close a connection that is already open.

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

/// DNS name that every host certificate contains.
pub const ROLE_DNS_NAME: &str = "host.trefoil";

/// Time before its issue from which a certificate is valid, for hosts whose clocks are behind.
pub const CLOCK_SKEW: Duration = Duration::from_hours(1);

/// Host name of a peer, from its certificate.
#[derive(
    Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From, Into, Serialize, Deserialize,
)]
pub struct PeerId(pub HostName);

/// Error of creating or loading keys and certificates.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum KeyError {
    /// The text is not PEM of the expected kind.
    #[snafu(display("{item} cannot be read: {reason}"))]
    Pem {
        /// Item that was expected.
        item: &'static str,
        /// Message of the parser.
        reason: String,
    },
    /// A certificate cannot be issued.
    #[snafu(display("certificate cannot be issued: {reason}"))]
    Issue {
        /// Message of the library.
        reason: String,
    },
    /// The certificate, its key and the authority do not form a valid TLS configuration.
    #[snafu(display("certificate is not usable: {reason}"))]
    Unusable {
        /// Message of the library.
        reason: String,
    },
    /// The certificate does not name exactly one host.
    #[snafu(display("certificate names {count} hosts, must name one in NAME.{ROLE_DNS_NAME}"))]
    HostNameCount {
        /// Number of host names in the certificate.
        count: usize,
    },
}

fn issue_error(error: &rcgen::Error) -> KeyError {
    KeyError::Issue {
        reason: error.to_string(),
    }
}

fn unusable_error<E>(error: E) -> KeyError
where
    E: fmt::Display,
{
    KeyError::Unusable {
        reason: error.to_string(),
    }
}

fn certificate_params(name: &str, now: UnixMillis, valid: Duration) -> CertificateParams {
    let epoch = date_time_ymd(1970, 1, 1);
    let now = Duration::from_millis(now.0);
    let mut params = CertificateParams::default();
    params.distinguished_name.push(DnType::CommonName, name);
    params.not_before = epoch + now.saturating_sub(CLOCK_SKEW);
    params.not_after = epoch + now + valid;
    params.use_authority_key_identifier_extension = true;
    params
}

/// Certificate and its private key, both as PEM.
#[derive(Clone)]
pub struct KeyPem {
    /// The certificate.
    pub cert: String,
    /// The private key (PKCS #8).
    pub key: String,
}

impl fmt::Debug for KeyPem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // The private key must not be logged.
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
    /// Fails if the certificate cannot be created.
    pub fn create(name: &str, now: UnixMillis, valid: Duration) -> Result<Self, KeyError> {
        let key = KeyPair::generate().map_err(|e| issue_error(&e))?;
        let mut params = certificate_params(name, now, valid);
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
    /// Fails if the texts are not a certificate and a private key.
    pub fn from_pem(pem: KeyPem) -> Result<Self, KeyError> {
        let key = KeyPair::from_pem(&pem.key).map_err(|e| KeyError::Pem {
            item: "key of the authority",
            reason: e.to_string(),
        })?;
        let issuer = Issuer::from_ca_cert_pem(&pem.cert, key).map_err(|e| KeyError::Pem {
            item: "certificate of the authority",
            reason: e.to_string(),
        })?;
        Ok(Self { issuer, pem })
    }

    /// Returns the certificate, which every host needs, and the key, which only the issuer needs.
    pub fn pem(&self) -> &KeyPem {
        &self.pem
    }

    /// Issues the certificate of a host.
    ///
    /// # Errors
    ///
    /// Fails if the certificate cannot be issued, for example because the name begins or ends with
    /// a hyphen, which DNS names do not allow.
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
        let mut params = certificate_params(host.as_str(), now, valid);
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

    /// Issues a certificate and returns it as the identity of a host in this process.
    ///
    /// Together with [`Authority::create`], it suffices for a deployment within one process.
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

/// Certificate and private key of a host, and the authorities that it trusts.
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
struct ClockTime(Arc<dyn Clock>);

impl TimeProvider for ClockTime {
    fn current_time(&self) -> Option<UnixTime> {
        let now = Duration::from_millis(self.0.unix().0);
        Some(UnixTime::since_unix_epoch(now))
    }
}

fn parse_certs(item: &'static str, pem: &str) -> Result<Vec<CertificateDer<'static>>, KeyError> {
    let read: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem.as_bytes()).collect();
    match read {
        Ok(certs) if certs.is_empty() => Err(KeyError::Pem {
            item,
            reason: "no certificate in the text".to_owned(),
        }),
        Ok(certs) => Ok(certs),
        Err(e) => Err(KeyError::Pem {
            item,
            reason: e.to_string(),
        }),
    }
}

impl Identity {
    /// Loads an identity.
    ///
    /// `authorities` holds one or more certificates; with two, hosts can migrate from one authority
    /// to the next without downtime.
    ///
    /// # Errors
    ///
    /// Fails if a text is not PEM of its kind or the certificate does not name exactly one host.
    pub fn from_pem(authorities: &str, host: &KeyPem) -> Result<Self, KeyError> {
        let mut roots = RootCertStore::empty();
        for cert in parse_certs("certificate of the authority", authorities)? {
            roots.add(cert).map_err(unusable_error)?;
        }
        let chain = parse_certs("certificate of the host", &host.cert)?;
        let key = PrivateKeyDer::from_pem_slice(host.key.as_bytes());
        Ok(Self {
            roots: Arc::new(roots),
            peer: parse_peer_id(&chain)?,
            chain,
            key: key.map_err(|e| KeyError::Pem {
                item: "key of the host",
                reason: e.to_string(),
            })?,
        })
    }

    /// Returns the name of this host, as peers see it in its certificate.
    pub fn peer(&self) -> &PeerId {
        &self.peer
    }

    /// Creates the TLS settings of the accepting side, which requires a certificate from the peer.
    ///
    /// # Errors
    ///
    /// Fails if the certificate and its key do not match.
    pub fn server_tls(
        &self,
        clock: &Arc<dyn Clock>,
        versions: &[Vec<u8>],
    ) -> Result<ServerConfig, KeyError> {
        let roots = Arc::clone(&self.roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, crypto_provider())
            .build()
            .map_err(unusable_error)?;
        let time = Arc::new(ClockTime(Arc::clone(clock)));
        let mut config = ServerConfig::builder_with_details(crypto_provider(), time)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable_error)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable_error)?;
        config.alpn_protocols = versions.to_vec();
        // Without tickets no session is resumed, so each connection verifies the certificate. Early
        // data stays disabled: it can be replayed, and a replayed request would run twice.
        config.send_tls13_tickets = 0;
        Ok(config)
    }

    /// Creates the TLS settings of the connecting side.
    ///
    /// # Errors
    ///
    /// Fails if the certificate and its key do not match.
    pub fn client_tls(
        &self,
        clock: &Arc<dyn Clock>,
        versions: &[Vec<u8>],
    ) -> Result<ClientConfig, KeyError> {
        let time = Arc::new(ClockTime(Arc::clone(clock)));
        let mut config = ClientConfig::builder_with_details(crypto_provider(), time)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(unusable_error)?
            .with_root_certificates(Arc::clone(&self.roots))
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())
            .map_err(unusable_error)?;
        config.alpn_protocols = versions.to_vec();
        config.resumption = Resumption::disabled();
        Ok(config)
    }

    /// Derives a secret for `purpose`, which is the same after a restart with the same key.
    pub(crate) fn derive_secret(&self, purpose: &str) -> hmac::Tag {
        let key = hmac::Key::new(hmac::HMAC_SHA256, self.key.secret_der());
        hmac::sign(&key, purpose.as_bytes())
    }
}

fn crypto_provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// Returns the host that a verified certificate chain names.
pub(crate) fn parse_peer_id(chain: &[CertificateDer<'_>]) -> Result<PeerId, KeyError> {
    let cert = chain.first().ok_or(KeyError::HostNameCount { count: 0 })?;
    let cert = webpki::EndEntityCert::try_from(cert).map_err(unusable_error)?;
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
