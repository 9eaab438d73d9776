//! One connection to each peer.
//!
//! The first request to an address connects, and requests that come meanwhile wait for the same
//! attempt. The attempt belongs to its waiters: if the one that drives it is dropped, the next one
//! goes on. A failed attempt is remembered for [`RETRY_DELAY`], so that a peer that refuses this
//! host is not asked at the rate of the requests.

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
use crate::error::{PeerError, reason};
use crate::keys::{self, ROLE_DNS_NAME};

/// Time for which a failed attempt to connect answers for further requests.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// What the accepting side sends on a stream of its own once it accepts the certificate.
pub(crate) const GREETING: u8 = 1;

/// QUIC error code of the TLS alert 0.
const ALERT_BASE: u64 = 0x100;

#[derive(Debug, Default)]
struct Attempt {
    done: OnceCell<(Tick, Result<Connection, PeerError>)>,
    used: Mutex<Tick>,
}

impl Attempt {
    /// Whether a new request can join this attempt or its connection.
    fn usable(&self, now: Tick) -> bool {
        match self.done.get() {
            None => true,
            Some((_, Ok(conn))) => conn.close_reason().is_none(),
            Some((at, Err(_))) => now.since(*at) < RETRY_DELAY,
        }
    }

    fn touch(&self, now: Tick) {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }

    fn idle_since(&self) -> Tick {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What open connections have carried, acknowledgements included. Bytes are those of the UDP
/// payload; each datagram has 28 more for the headers of UDP and IPv4.
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

/// Connections by address.
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

    /// Makes new connections with these settings.
    pub(crate) fn set_config(&self, config: ClientConfig) {
        *self.config() = config;
    }

    /// Number of open connections.
    pub(crate) fn len(&self) -> usize {
        let attempts = self.lock();
        let open = attempts.values().filter(
            |a| matches!(a.done.get(), Some((_, Ok(conn))) if conn.close_reason().is_none()),
        );
        open.count()
    }

    /// Sums the statistics of all open connections.
    pub(crate) fn traffic(&self) -> Traffic {
        let attempts = self.lock();
        let mut traffic = Traffic::default();
        for attempt in attempts.values() {
            if let Some((_, Ok(conn))) = attempt.done.get() {
                let stats = conn.stats();
                traffic.sent += stats.udp_tx.bytes;
                traffic.received += stats.udp_rx.bytes;
                traffic.datagrams_sent += stats.udp_tx.datagrams;
                traffic.datagrams_received += stats.udp_rx.datagrams;
            }
        }
        traffic
    }

    /// Opens a stream to `to`. Nothing has been sent when this fails.
    pub(crate) async fn stream(
        &self,
        to: SocketAddr,
    ) -> Result<(SendStream, RecvStream), PeerError> {
        let conn = self.connection(to).await?;
        if let Ok(streams) = conn.open_bi().await {
            return Ok(streams);
        }
        // A connection that is found lost here has not carried this request yet, so a second
        // attempt repeats nothing.
        let conn = self.connection(to).await?;
        conn.open_bi().await.map_err(|e| connect_error(to, &e))
    }

    async fn connection(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let attempt = self.attempt(to);
        let connect = async || {
            let conn = self.connect(to).await;
            (self.clock.now(), conn)
        };
        let (_, conn) = attempt.done.get_or_init(connect).await;
        conn.clone()
    }

    fn attempt(&self, to: SocketAddr) -> Arc<Attempt> {
        let now = self.clock.now();
        let mut attempts = self.lock();
        let unused = |a: &Attempt| now.since(a.idle_since()) > self.limits.unused;
        // Streams hold their connection, so it closes only after its last request. An attempt that
        // others wait for has further references.
        attempts.retain(|_, a| a.usable(now) && !(unused(a) && Arc::strong_count(a) == 1));
        let attempt = attempts.entry(to).or_default();
        attempt.touch(now);
        Arc::clone(attempt)
    }

    async fn connect(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let late = async {
            self.clock.sleep(self.limits.connect).await;
            Err(PeerError::Connect {
                to,
                reason: format!("no connection after {:?}", self.limits.connect),
            })
        };
        or(self.handshake(to), late).await
    }

    async fn handshake(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let config = self.config().clone();
        let connecting = self.quic.connect_with(config, to, ROLE_DNS_NAME);
        let connecting = connecting.map_err(|e| PeerError::Connect {
            to,
            reason: reason(e),
        })?;
        let conn = connecting.await.map_err(|e| connect_error(to, &e))?;
        // In TLS 1.3 the client's handshake ends before the server has seen its certificate. Until
        // the greeting arrives, the server may still refuse it.
        let mut greeting = conn.accept_uni().await.map_err(|e| connect_error(to, &e))?;
        let greeting = greeting.read_to_end(1).await;
        match (greeting, identity(&conn)) {
            (_, Err(reason)) => {
                conn.close(code::var(code::NO_IDENTITY), reason.as_bytes());
                Err(PeerError::Untrusted { to, reason })
            }
            (Ok(bytes), Ok(_)) if bytes == [GREETING] => Ok(conn),
            (Ok(_), Ok(_)) => Err(PeerError::Connect {
                to,
                reason: "unknown greeting".to_owned(),
            }),
            (Err(e), Ok(_)) => Err(PeerError::Connect {
                to,
                reason: reason(e),
            }),
        }
    }
}

/// The peer's name from its certificate.
pub(crate) fn identity(conn: &Connection) -> Result<keys::PeerId, String> {
    let chain = conn
        .peer_identity()
        .and_then(|id| {
            id.downcast::<Vec<rustls::pki_types::CertificateDer<'static>>>()
                .ok()
        })
        .unwrap_or_default();
    keys::peer_id(&chain).map_err(reason)
}

fn connect_error(to: SocketAddr, error: &ConnectionError) -> PeerError {
    let reason = reason(error);
    match error {
        ConnectionError::ConnectionClosed(close) => match alert(close.error_code.into()) {
            Some(AlertDescription::NoApplicationProtocol) => PeerError::NoCommonVersion { to },
            Some(alert) => PeerError::CertificateRefused {
                to,
                reason: format!("TLS alert {alert:?}"),
            },
            None => PeerError::Connect { to, reason },
        },
        ConnectionError::TransportError(e) => match alert(e.code.into()) {
            Some(AlertDescription::NoApplicationProtocol) => PeerError::NoCommonVersion { to },
            Some(_) => PeerError::Untrusted { to, reason },
            None => PeerError::Connect { to, reason },
        },
        ConnectionError::ApplicationClosed(close)
            if close.error_code == code::var(code::NO_IDENTITY) =>
        {
            PeerError::CertificateRefused { to, reason }
        }
        _ => PeerError::Connect { to, reason },
    }
}

/// The TLS alert in a QUIC error code (RFC 9001, section 4.8).
fn alert(code: u64) -> Option<AlertDescription> {
    let alert = u8::try_from(code.checked_sub(ALERT_BASE)?).ok()?;
    Some(AlertDescription::from(alert))
}
