//! Connection pool with one connection for each peer address.
//!
//! The first request to an address opens the connection, and requests that arrive in the meantime
//! wait for the same attempt. The waiters share the attempt: if the one that polls it is dropped,
//! the next one continues. The result of a failed attempt is kept for [`RETRY_DELAY`], so that
//! connection attempts to a peer that refuses this host do not follow the rate of requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::future::or;
use quinn::{ClientConfig, Connection, ConnectionError, RecvStream, SendStream};
use rustls::AlertDescription;
use smol::lock::OnceCell;
use trefoil_core::{Clock, Tick};

use crate::code;
use crate::endpoint::Limits;
use crate::error::{PeerError, log_text};
use crate::keys::{self, ROLE_DNS_NAME};

/// Time for which requests to an address fail without a new attempt after a failed one.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Byte that the accepting side sends on a unidirectional stream after accepting the certificate.
pub(crate) const GREETING: u8 = 1;

/// QUIC error code of TLS alert 0 (RFC 9001, section 4.8).
const ALERT_BASE: u64 = 0x100;

/// Connection attempt, which holds its connection once it has succeeded.
#[derive(Debug, Default)]
struct Attempt {
    result: OnceCell<(Tick, Result<Connection, PeerError>)>,
    last_used: Mutex<Tick>,
}

impl Attempt {
    /// Returns true if a new request can use this attempt or its connection.
    fn is_usable(&self, now: Tick) -> bool {
        match self.result.get() {
            None => true,
            Some((_, Ok(conn))) => conn.close_reason().is_none(),
            Some((at, Err(_))) => now.since(*at) < RETRY_DELAY,
        }
    }

    fn mark_used(&self, now: Tick) {
        *self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = now;
    }

    fn last_used_at(&self) -> Tick {
        *self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Traffic of the open connections, including acknowledgements. Bytes count the UDP payload; the
/// UDP and IPv4 headers add 28 bytes to each datagram.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received.
    pub datagrams_received: u64,
}

/// Connections and pending connection attempts by address.
#[derive(Debug)]
pub(crate) struct Pool {
    quic: quinn::Endpoint,
    config: Mutex<ClientConfig>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) limits: Limits,
    attempts: Mutex<HashMap<SocketAddr, Arc<Attempt>>>,
}

impl Pool {
    pub(crate) fn new(
        quic: quinn::Endpoint,
        config: ClientConfig,
        clock: Arc<dyn Clock>,
        limits: &Limits,
    ) -> Self {
        Self {
            quic,
            config: Mutex::new(config),
            clock,
            limits: limits.clone(),
            attempts: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Attempt>>> {
        self.attempts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn config(&self) -> MutexGuard<'_, ClientConfig> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the settings of connections that are opened from now on.
    pub(crate) fn set_config(&self, config: ClientConfig) {
        *self.config() = config;
    }

    /// Returns the number of open connections.
    pub(crate) fn len(&self) -> usize {
        let attempts = self.lock();
        let open = attempts.values().filter(
            |a| matches!(a.result.get(), Some((_, Ok(conn))) if conn.close_reason().is_none()),
        );
        open.count()
    }

    /// Sums the statistics of all open connections.
    pub(crate) fn traffic(&self) -> Traffic {
        let attempts = self.lock();
        let mut traffic = Traffic::default();
        for attempt in attempts.values() {
            if let Some((_, Ok(conn))) = attempt.result.get() {
                let stats = conn.stats();
                traffic.sent += stats.udp_tx.bytes;
                traffic.received += stats.udp_rx.bytes;
                traffic.datagrams_sent += stats.udp_tx.datagrams;
                traffic.datagrams_received += stats.udp_rx.datagrams;
            }
        }
        traffic
    }

    /// Opens a stream to `to`. If this fails, no byte of the request has been sent.
    pub(crate) async fn open_stream(
        &self,
        to: SocketAddr,
    ) -> Result<(SendStream, RecvStream), PeerError> {
        let conn = self.get_connection(to).await?;
        if let Ok(streams) = conn.open_bi().await {
            return Ok(streams);
        }
        // The lost connection has not carried any byte of this request, so a second attempt cannot
        // execute it twice.
        let conn = self.get_connection(to).await?;
        conn.open_bi().await.map_err(|e| connect_error(to, &e))
    }

    async fn get_connection(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let attempt = self.get_attempt(to);
        let connect = async || {
            let conn = self.connect(to).await;
            (self.clock.now(), conn)
        };
        let (_, conn) = attempt.result.get_or_init(connect).await;
        conn.clone()
    }

    /// Returns the attempt for `to`, and removes attempts and connections that are no longer used.
    fn get_attempt(&self, to: SocketAddr) -> Arc<Attempt> {
        let now = self.clock.now();
        let mut attempts = self.lock();
        let unused = |a: &Attempt| now.since(a.last_used_at()) > self.limits.unused;
        // An attempt with waiters has further references. A connection that is removed here closes
        // only after its last request, because streams hold a reference to it.
        attempts.retain(|_, a| a.is_usable(now) && !(unused(a) && Arc::strong_count(a) == 1));
        let attempt = attempts.entry(to).or_default();
        attempt.mark_used(now);
        Arc::clone(attempt)
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let timeout = async {
            self.clock.sleep(self.limits.connect).await;
            Err(PeerError::Connect {
                to,
                reason: format!("no connection after {:?}", self.limits.connect),
            })
        };
        or(self.handshake(to), timeout).await
    }

    async fn handshake(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let config = self.config().clone();
        let connecting = self.quic.connect_with(config, to, ROLE_DNS_NAME);
        let connecting = connecting.map_err(|e| PeerError::Connect {
            to,
            reason: log_text(e),
        })?;
        let conn = connecting.await.map_err(|e| connect_error(to, &e))?;
        // In TLS 1.3 the handshake completes at the client before the server has verified the
        // client's certificate. Until the greeting arrives, the server may still refuse it.
        let mut greeting = conn.accept_uni().await.map_err(|e| connect_error(to, &e))?;
        let greeting = greeting.read_to_end(1).await;
        match (greeting, authenticated_peer(&conn)) {
            (_, Err(reason)) => {
                conn.close(code::to_varint(code::NO_IDENTITY), reason.as_bytes());
                Err(PeerError::Untrusted { to, reason })
            }
            (Ok(bytes), Ok(_)) if bytes == [GREETING] => Ok(conn),
            (Ok(_), Ok(_)) => Err(PeerError::Connect {
                to,
                reason: "unknown greeting".to_owned(),
            }),
            (Err(e), Ok(_)) => Err(PeerError::Connect {
                to,
                reason: log_text(e),
            }),
        }
    }
}

/// Returns the peer's name from its verified certificate.
pub(crate) fn authenticated_peer(conn: &Connection) -> Result<keys::PeerId, String> {
    let chain = conn
        .peer_identity()
        .and_then(|id| {
            id.downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>()
                .ok()
        })
        .unwrap_or_default();
    keys::parse_peer_id(&chain).map_err(log_text)
}

fn connect_error(to: SocketAddr, error: &ConnectionError) -> PeerError {
    let reason = log_text(error);
    match error {
        ConnectionError::ConnectionClosed(close) => match tls_alert(close.error_code.into()) {
            Some(AlertDescription::NoApplicationProtocol) => PeerError::NoCommonVersion { to },
            Some(alert) => PeerError::CertificateRefused {
                to,
                reason: format!("TLS alert {alert:?}"),
            },
            None => PeerError::Connect { to, reason },
        },
        ConnectionError::TransportError(e) => match tls_alert(e.code.into()) {
            Some(AlertDescription::NoApplicationProtocol) => PeerError::NoCommonVersion { to },
            Some(_) => PeerError::Untrusted { to, reason },
            None => PeerError::Connect { to, reason },
        },
        ConnectionError::ApplicationClosed(close)
            if close.error_code == code::to_varint(code::NO_IDENTITY) =>
        {
            PeerError::CertificateRefused { to, reason }
        }
        _ => PeerError::Connect { to, reason },
    }
}

/// Extracts the TLS alert from a QUIC error code (RFC 9001, section 4.8).
fn tls_alert(code: u64) -> Option<AlertDescription> {
    let alert = u8::try_from(code.checked_sub(ALERT_BASE)?).ok()?;
    Some(AlertDescription::from(alert))
}
