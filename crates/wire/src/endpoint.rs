//! UDP socket of a host, with its transport settings and limits.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::Duration;

use futures_lite::future::or;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{EndpointConfig, IdleTimeout, SmolRuntime, TransportConfig, VarInt};
use quinn_proto::HashedConnectionIdGenerator;
use ring::hmac;
use snafu::Snafu;
use trefoil_core::{Clock, SystemClock};

use crate::keys::{Identity, KeyError, PeerId};
use crate::peers::{Handler, QuicPeers};
use crate::server::Server;

/// Protocol version, as an ALPN identifier.
pub const PROTOCOL: &str = "trefoil/1";

/// Receive window of one stream, in bytes. With a round trip of 10 ms, a body of 8 MiB takes 0.64
/// s.
const STREAM_WINDOW: u32 = 128 * 1024;

/// Round-trip time assumed before the first measurement. With quinn's default of 333 ms, a lost
/// first packet is retransmitted only after 1 s, which is the whole connect timeout.
const INITIAL_RTT: Duration = Duration::from_millis(50);

/// Handshakes in progress from which on a client must first validate its address (QUIC Retry).
pub(crate) const HANDSHAKES_MAX: usize = 128;

/// Error of opening an endpoint or replacing its identity.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// The socket cannot be opened.
    #[snafu(display("cannot open UDP socket {addr}: {source}"))]
    Socket {
        /// Address of the socket.
        addr: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The keys are not usable.
    #[snafu(display("{source}"), context(false))]
    Keys {
        /// Error of the keys.
        source: KeyError,
    },
    /// The new certificate names a different host.
    #[snafu(display("new certificate names {new}, this host is {old}"))]
    HostMismatch {
        /// The name of this host.
        old: PeerId,
        /// The name in the new certificate.
        new: PeerId,
    },
    /// A setting is out of range.
    #[snafu(display("setting out of range: {reason}"))]
    Setting {
        /// Message of the library.
        reason: String,
    },
}

fn setting_error<E>(error: E) -> OpenError
where
    E: std::fmt::Display,
{
    OpenError::Setting {
        reason: error.to_string(),
    }
}

/// Limits of an endpoint, for the connections that it opens and accepts.
#[derive(Debug, Clone)]
pub(crate) struct Limits {
    pub(crate) connect: Duration,
    pub(crate) head: Duration,
    pub(crate) call: Duration,
    pub(crate) grace: Duration,
    pub(crate) idle: Duration,
    pub(crate) unused: Duration,
    pub(crate) streams: u32,
    pub(crate) connections: usize,
}

/// Settings of an [`Endpoint`].
#[derive(Debug)]
pub struct Builder {
    identity: Identity,
    settings: Settings,
}

#[derive(Debug, Clone)]
struct Settings {
    clock: Arc<dyn Clock>,
    versions: Vec<Vec<u8>>,
    limits: Limits,
}

impl Builder {
    /// Creates a builder with the default settings for a host with this identity.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity,
            settings: Settings {
                clock: Arc::new(SystemClock),
                versions: vec![PROTOCOL.into()],
                limits: Limits {
                    connect: Duration::from_secs(1),
                    head: Duration::from_secs(1),
                    call: Duration::from_secs(2),
                    grace: Duration::from_millis(500),
                    idle: Duration::from_secs(3),
                    unused: Duration::from_secs(10),
                    streams: 512,
                    connections: 8_192,
                },
            },
        }
    }

    /// Sets the clock for timeouts and for the validity of certificates. The timers inside QUIC run
    /// on the system's clock.
    #[must_use]
    pub fn clock(mut self, clock: Arc<dyn Clock>) -> Self {
        self.settings.clock = clock;
        self
    }

    /// Sets the protocol versions to offer and accept, in order of preference. Default:
    /// [`PROTOCOL`].
    #[must_use]
    pub fn versions(mut self, versions: &[&str]) -> Self {
        self.settings.versions = versions.iter().map(|&v| v.into()).collect();
        self
    }

    /// Sets the longest time for a connection to become usable. Default: 1 s.
    #[must_use]
    pub fn connect_timeout(mut self, duration: Duration) -> Self {
        self.settings.limits.connect = duration;
        self
    }

    /// Sets the longest time from the opening of a stream until the head of its request has
    /// arrived. Default: 1 s.
    #[must_use]
    pub fn head_timeout(mut self, duration: Duration) -> Self {
        self.settings.limits.head = duration;
        self
    }

    /// Sets the longest time for a control message and its answer. Default: 2 s.
    #[must_use]
    pub fn call_timeout(mut self, duration: Duration) -> Self {
        self.settings.limits.call = duration;
        self
    }

    /// Sets the time past the budget of a forwarded request for which its answer is still awaited,
    /// so that the dispatcher's own report of a missed deadline arrives. Default: 500 ms.
    #[must_use]
    pub fn answer_grace(mut self, duration: Duration) -> Self {
        self.settings.limits.grace = duration;
        self
    }

    /// Sets the time without a packet after which a connection is lost. Default: 3 s.
    #[must_use]
    pub fn idle_timeout(mut self, duration: Duration) -> Self {
        self.settings.limits.idle = duration;
        self
    }

    /// Sets the time without a request after which a connection to a peer is closed. Default: 10 s.
    #[must_use]
    pub fn unused_timeout(mut self, duration: Duration) -> Self {
        self.settings.limits.unused = duration;
        self
    }

    /// Sets the largest number of concurrent requests on one connection. Default: 512.
    #[must_use]
    pub fn max_streams(mut self, count: u32) -> Self {
        self.settings.limits.streams = count;
        self
    }

    /// Sets the largest number of accepted connections that may be open at a time. Default: 8,192.
    #[must_use]
    pub fn max_connections(mut self, count: usize) -> Self {
        self.settings.limits.connections = count;
        self
    }

    /// Opens the endpoint on a local address.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened, the keys are unusable or a setting is out of range.
    pub fn open(self, addr: SocketAddr) -> Result<Endpoint, OpenError> {
        let Self { identity, settings } = self;
        let accept = settings.server_config(&identity)?;
        let connect = settings.client_config(&identity)?;
        let socket = UdpSocket::bind(addr).map_err(|source| OpenError::Socket { addr, source })?;
        let runtime = Arc::new(SmolRuntime);
        let quic = quinn::Endpoint::new(endpoint_config(&identity), Some(accept), socket, runtime);
        let quic = quic.map_err(|source| OpenError::Socket { addr, source })?;
        let addr = quic
            .local_addr()
            .map_err(|source| OpenError::Socket { addr, source })?;
        let clock = Arc::clone(&settings.clock);
        Ok(Endpoint {
            peers: QuicPeers::new(quic.clone(), connect, clock, &settings.limits),
            quic,
            addr,
            peer: identity.peer().clone(),
            settings,
        })
    }
}

impl Settings {
    /// Creates the transport settings of one side. `bidi` and `uni` are the numbers of streams that
    /// its peer may open.
    fn transport_config(&self, bidi: u32, uni: u32) -> Result<TransportConfig, OpenError> {
        let idle = IdleTimeout::try_from(self.limits.idle).map_err(setting_error)?;
        let mut transport = TransportConfig::default();
        transport
            .max_concurrent_bidi_streams(bidi.into())
            .max_concurrent_uni_streams(uni.into())
            .max_idle_timeout(Some(idle))
            .initial_rtt(INITIAL_RTT)
            .datagram_receive_buffer_size(None)
            .stream_receive_window(STREAM_WINDOW.into())
            // The sum of all stream windows, so that unread bodies cannot exhaust the window of the
            // connection and block the other requests.
            .receive_window(connection_window(self.limits.streams));
        Ok(transport)
    }

    fn server_config(&self, identity: &Identity) -> Result<quinn::ServerConfig, OpenError> {
        let tls = identity.server_tls(&self.clock, &self.versions)?;
        let tls = QuicServerConfig::try_from(tls).map_err(setting_error)?;
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(tls));
        config
            .transport_config(Arc::new(self.transport_config(self.limits.streams, 0)?))
            .migration(false)
            .max_incoming(2 * HANDSHAKES_MAX)
            .incoming_buffer_size(64 * 1024)
            .incoming_buffer_size_total(4 * 1024 * 1024);
        Ok(config)
    }

    fn client_config(&self, identity: &Identity) -> Result<quinn::ClientConfig, OpenError> {
        let mut transport = self.transport_config(0, 1)?;
        // Only the connecting side sends keep-alives, because only it knows whether the connection
        // is used.
        transport.keep_alive_interval(Some(self.limits.idle / 3));
        let tls = identity.client_tls(&self.clock, &self.versions)?;
        let tls = QuicClientConfig::try_from(tls).map_err(setting_error)?;
        let mut config = quinn::ClientConfig::new(Arc::new(tls));
        config.transport_config(Arc::new(transport));
        Ok(config)
    }
}

/// Creates endpoint settings with which peers detect a restart of this host at once.
///
/// The secrets for connection ids and stateless resets are derived from the private key. A process
/// that is restarted at the same address can therefore reset the connections of its predecessor.
/// With random secrets, peers would keep sending on them until the idle timeout of 3 s.
fn endpoint_config(identity: &Identity) -> EndpointConfig {
    let reset = identity.derive_secret("trefoil stateless reset");
    let reset = hmac::Key::new(hmac::HMAC_SHA256, reset.as_ref());
    let ids = identity.derive_secret("trefoil connection ids");
    let ids = ids.as_ref().first_chunk();
    let ids = ids.map_or(0, |bytes| u64::from_be_bytes(*bytes));
    let mut config = EndpointConfig::new(Arc::new(reset));
    config.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(ids)));
    config
}

fn connection_window(streams: u32) -> VarInt {
    let bytes = u64::from(STREAM_WINDOW) * u64::from(streams);
    VarInt::from_u64(bytes).unwrap_or(VarInt::MAX)
}

/// QUIC endpoint of a host, which opens connections to peers and accepts theirs.
#[derive(Debug, Clone)]
pub struct Endpoint {
    quic: quinn::Endpoint,
    peers: QuicPeers,
    addr: SocketAddr,
    peer: PeerId,
    settings: Settings,
}

impl Endpoint {
    /// Returns the local address of the socket.
    pub fn local_addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the name of this host, as peers see it in its certificate.
    pub fn peer(&self) -> &PeerId {
        &self.peer
    }

    /// Returns the sender of requests to other hosts. All clones share their connections.
    pub fn peers(&self) -> QuicPeers {
        self.peers.clone()
    }

    /// Accepts connections of peers until the server is drained or dropped.
    pub fn serve(&self, handler: Arc<dyn Handler>) -> Server {
        let clock = Arc::clone(&self.settings.clock);
        Server::start(self.quic.clone(), handler, clock, &self.settings.limits)
    }

    /// Replaces this host's certificate and its trusted authorities for new connections.
    ///
    /// Open connections are not affected.
    ///
    /// # Errors
    ///
    /// Fails without any change if the identity is unusable or names a different host.
    pub fn replace_identity(&self, identity: &Identity) -> Result<(), OpenError> {
        if *identity.peer() != self.peer {
            let (old, new) = (self.peer.clone(), identity.peer().clone());
            return Err(OpenError::HostMismatch { old, new });
        }
        let accept = self.settings.server_config(identity)?;
        self.peers
            .set_config(self.settings.client_config(identity)?);
        self.quic.set_server_config(Some(accept));
        Ok(())
    }

    /// Closes all connections and waits until peers have been notified, at most for the idle
    /// timeout.
    pub async fn close(&self) {
        self.quic.close(VarInt::from_u32(0), b"closed");
        let notified = self.quic.wait_idle();
        let Settings { clock, limits, .. } = &self.settings;
        or(notified, clock.sleep(limits.idle)).await;
    }
}
