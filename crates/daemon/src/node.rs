//! Starting and stopping an entry host's process.

use std::net::SocketAddr;
use std::sync::Arc;

use slog::{Logger, info, o};
use smol::Task;
use snafu::{ResultExt, Snafu};
use trefoil_core::{Clock, DomainName, HostId, HostName, RegionName, SystemClock};
use trefoil_http::{Limits, Server};
use trefoil_log::{Addresses, HostRecord, Keyring, Log, Signer};
use trefoil_wire::{Builder, Identity, OpenError, Peers};

use crate::dispatcher::Dispatchers;
use crate::ingress::Ingress;
use crate::operator::Operator;
use crate::shared::Shared;
use crate::{member, planner, tailer};

/// Everything a [`Node`] needs to know.
#[derive(Debug)]
pub struct NodeConfig {
    name: HostName,
    region: RegionName,
    domain: DomainName,
    addresses: Addresses,
    identity: Identity,
    keys: Keyring,
    signer: Signer,
    log: Arc<dyn Log>,
    logger: Logger,
    limits: Limits,
    clock: Arc<dyn Clock>,
}

impl NodeConfig {
    /// A configuration with the host's addresses on free ports of 127.0.0.1 and no logging.
    pub fn new(
        name: HostName,
        region: RegionName,
        domain: DomainName,
        identity: Identity,
        signer: Signer,
        log: Arc<dyn Log>,
    ) -> Self {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut keys = Keyring::default();
        keys.add(signer.key(), trefoil_log::Role::Host);
        Self {
            name,
            region,
            domain,
            addresses: Addresses {
                caller: any,
                peer: any,
                operator: any,
            },
            identity,
            keys,
            signer,
            log,
            logger: Logger::root(slog::Discard, o!()),
            limits: Limits::default(),
            clock: Arc::new(SystemClock),
        }
    }

    /// Sets the listen addresses.
    #[must_use]
    pub fn addresses(mut self, addresses: Addresses) -> Self {
        self.addresses = addresses;
        self
    }

    /// Sets the keys whose records are accepted.
    #[must_use]
    pub fn keys(mut self, keys: Keyring) -> Self {
        self.keys = keys;
        self
    }

    /// Sets the logger.
    #[must_use]
    pub fn logger(mut self, logger: Logger) -> Self {
        self.logger = logger;
        self
    }

    /// Sets the bounds on what clients may send.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}

/// Why a node does not start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The port for other hosts cannot be opened.
    #[snafu(display("the port for other hosts: {source}"))]
    Peer {
        /// The endpoint's error.
        source: OpenError,
    },
    /// A port cannot be opened.
    #[snafu(display("the {port} port {address}: {source}"))]
    Bind {
        /// Which port.
        port: &'static str,
        /// The address.
        address: SocketAddr,
        /// The socket's error.
        source: std::io::Error,
    },
}

/// A running entry host.
#[derive(Debug)]
pub struct Node {
    shared: Arc<Shared>,
    ingress: Server,
    operator: Server,
    peers: trefoil_wire::Server,
    _tasks: Vec<Task<()>>,
}

impl Node {
    /// Opens the ports and starts all parts. Returns when the host has joined.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened.
    pub async fn start(config: NodeConfig) -> Result<Self, NodeError> {
        let NodeConfig {
            addresses, limits, ..
        } = config;
        let endpoint = Builder::new(config.identity).clock(Arc::clone(&config.clock));
        let endpoint = endpoint.open(addresses.peer).context(PeerSnafu)?;
        let peers: Arc<dyn Peers> = Arc::new(endpoint.peers());
        // The listeners are bound before the host record is written, because it names their ports.
        let caller = bound("caller", addresses.caller)?;
        let operator = bound("operator", addresses.operator)?;
        let addresses = Addresses {
            caller: caller.1,
            operator: operator.1,
            peer: endpoint.local_addr(),
        };
        let host = HostRecord {
            id: HostId::random(),
            name: config.name,
            region: config.region,
            domain: config.domain,
            addresses,
        };
        let logger = config.logger.new(o!("host" => host.name.to_string()));
        info!(logger, "starting"; "incarnation" => %host.id, "caller" => %addresses.caller,
            "peer" => %addresses.peer, "operator" => %addresses.operator);
        let shared = Arc::new(Shared::new(
            host,
            config.clock,
            config.log,
            logger,
            config.signer,
        ));
        let dispatchers = Arc::new(Dispatchers::new(Arc::clone(&shared)));
        let ingress = Ingress::new(
            Arc::clone(&shared),
            Arc::clone(&dispatchers),
            Arc::clone(&peers),
        );
        let service = Operator::new(Arc::clone(&shared), peers);
        let (tail, keys) = (Arc::clone(&shared), config.keys);
        let tasks = vec![
            smol::spawn(async move {
                tailer::run(tail, keys).await;
            }),
            smol::spawn(Arc::clone(&dispatchers).run()),
            smol::spawn(planner::run(Arc::clone(&shared), Arc::clone(&dispatchers))),
        ];
        let node = Self {
            ingress: Server::serve(caller.0, limits, Arc::new(ingress)),
            operator: Server::serve(operator.0, limits, Arc::new(service)),
            peers: endpoint.serve(dispatchers),
            shared,
            _tasks: tasks,
        };
        member::join(&node.shared).await;
        Ok(node)
    }

    /// The addresses that the host listens on.
    pub fn addresses(&self) -> Addresses {
        self.shared.host.addresses
    }

    /// State of the process.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Leaves the ready list, finishes what is in flight and leaves the deployment.
    pub async fn drain(self) {
        info!(self.shared.logger, "draining");
        self.shared.start_drain();
        self.ingress.stop().await;
        member::leave(&self.shared).await;
        self.peers.drain().await;
        self.operator.stop().await;
        info!(self.shared.logger, "drained");
    }
}

type Bound = (smol::net::TcpListener, SocketAddr);

fn bound(port: &'static str, address: SocketAddr) -> Result<Bound, NodeError> {
    let bind = || {
        let listener = std::net::TcpListener::bind(address)?;
        let local = listener.local_addr()?;
        let listener = smol::Async::new(listener)?;
        Ok((smol::net::TcpListener::from(listener), local))
    };
    bind().context(BindSnafu { port, address })
}
