//! Startup and shutdown of an entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, o};
use smol::Task;
use snafu::{ResultExt, Snafu};
use trefoil_core::{Clock, DomainName, HostId, HostName, RegionName, SystemClock, Tick};
use trefoil_http::{Limits, Server};
use trefoil_lease::Timing;
use trefoil_log::{Addresses, FORMAT, HostRecord, Keyring, Log, Signer};
use trefoil_wire::{Builder, Identity, OpenError, Peers};

use crate::authority::{Authority, AuthorityError};
use crate::catchup::{self, CatchUp};
use crate::dispatcher::Dispatchers;
use crate::ingress::Ingress;
use crate::operator::Operator;
use crate::shared::{ReplayState, Shared};
use crate::trace::Tracing;
use crate::{member, planner, snapshots, tailer};

/// Timeout for other hosts to take over the upstreams of a host that shuts down.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval at which a draining host checks its upstreams and requests.
const HANDOVER_POLL: Duration = Duration::from_millis(10);

/// Configuration of a [`Node`].
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
    timing: Timing,
    watchdog: bool,
    window: Duration,
    seeds: Vec<SocketAddr>,
    snapshots: snapshots::Policy,
    tracing: Tracing,
}

impl NodeConfig {
    /// Creates a configuration that listens on free ports of 127.0.0.1 and does not log.
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
            timing: Timing::default(),
            watchdog: false,
            window: crate::load::WINDOW,
            seeds: Vec::new(),
            snapshots: snapshots::Policy::default(),
            tracing: Tracing::default(),
        }
    }

    /// Sets the listen addresses.
    #[must_use]
    pub fn addresses(mut self, addresses: Addresses) -> Self {
        self.addresses = addresses;
        self
    }

    /// Sets the keys whose signatures are accepted.
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

    /// Sets the durations of leases. They must be equal on all hosts of a deployment.
    #[must_use]
    pub fn timing(mut self, timing: Timing) -> Self {
        self.timing = timing;
        self
    }

    /// Sets the length of a window of load measurement. It must be equal on all hosts of a
    /// deployment.
    #[must_use]
    pub fn window(mut self, length: Duration) -> Self {
        self.window = length;
        self
    }

    /// Sets the hosts that are queried for the newest view while the log cannot be read.
    #[must_use]
    pub fn seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets when snapshots are due.
    #[must_use]
    pub fn snapshots(mut self, policy: snapshots::Policy) -> Self {
        self.snapshots = policy;
        self
    }

    /// Lets the kernel kill this process if it is suspended past the end of its lease. Only for a
    /// process that runs nothing but this node.
    #[must_use]
    pub fn watchdog(mut self) -> Self {
        self.watchdog = true;
        self
    }

    /// Sets the source of trace spans.
    #[must_use]
    pub fn tracing(mut self, tracing: Tracing) -> Self {
        self.tracing = tracing;
        self
    }

    /// Sets the limits on requests of clients.
    #[must_use]
    pub fn limits(mut self, limits: Limits) -> Self {
        self.limits = limits;
        self
    }
}

/// A node cannot start.
#[derive(Debug, Snafu)]
pub enum NodeError {
    /// The port for requests of other hosts cannot be opened.
    #[snafu(display("the port for other hosts: {source}"))]
    Peer {
        /// The endpoint's error.
        source: OpenError,
    },
    /// The lease cannot be set up.
    #[snafu(display("{source}"))]
    Authority {
        /// The cause.
        source: AuthorityError,
    },
    /// The log contains a record that this build cannot replay.
    #[snafu(display("the log cannot be replayed: {reason}"))]
    Stopped {
        /// Error reported by replay.
        reason: String,
    },
    /// A port cannot be opened.
    #[snafu(display("the {port} port {address}: {source}"))]
    Bind {
        /// Name of the port.
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
    authority: Arc<Authority>,
    dispatchers: Arc<Dispatchers>,
    ingress: Server,
    operator: Server,
    peers: trefoil_wire::Server,
    _tasks: Vec<Task<()>>,
}

impl Node {
    /// Opens the ports and starts all tasks. Returns when the host has joined, or serves callers
    /// without having joined because the log is down.
    ///
    /// # Errors
    ///
    /// Fails if a port cannot be opened, or if this build cannot replay the log.
    pub async fn start(config: NodeConfig) -> Result<Self, NodeError> {
        let NodeConfig {
            addresses, limits, ..
        } = config;
        let endpoint = Builder::new(config.identity).clock(Arc::clone(&config.clock));
        let endpoint = endpoint.open(addresses.peer).context(PeerSnafu)?;
        let peers: Arc<dyn Peers> = Arc::new(endpoint.peers());
        // The host record contains the ports, so the listeners are bound before it is appended.
        let caller = bind_listener("caller", addresses.caller)?;
        let bound_operator = bind_listener("operator", addresses.operator)?;
        let addresses = Addresses {
            caller: caller.1,
            operator: bound_operator.1,
            peer: endpoint.local_addr(),
        };
        let host = HostRecord {
            id: HostId::random(),
            name: config.name,
            region: config.region,
            domain: config.domain,
            addresses,
            format: FORMAT,
        };
        let logger = config.logger.new(o!("host" => host.name.to_string()));
        info!(logger, "starting"; "incarnation" => %host.id, "caller" => %addresses.caller,
            "peer" => %addresses.peer, "operator" => %addresses.operator);
        let mut shared = Shared::new(host, config.clock, config.log, logger, config.signer);
        shared.tracing = config.tracing;
        let shared = Arc::new(shared.window(config.window));
        let (authority, changes) = Authority::new(
            Arc::clone(&shared),
            Arc::clone(&peers),
            config.timing,
            config.watchdog,
        )
        .context(AuthoritySnafu)?;
        let authority = Arc::new(authority);
        let dispatchers = Arc::new(Dispatchers::new(
            Arc::clone(&shared),
            Arc::clone(&authority),
            Arc::clone(&peers),
        ));
        let ingress = Ingress::new(
            Arc::clone(&shared),
            Arc::clone(&authority),
            Arc::clone(&dispatchers),
            Arc::clone(&peers),
        );
        let catchup = CatchUp::new(
            Arc::clone(&shared),
            Arc::clone(&peers),
            config.seeds,
            config.timing.lease(),
        );
        let joining = Arc::clone(&shared);
        let operator = Operator::new(Arc::clone(&shared), peers);
        let (tail, keys) = (Arc::clone(&shared), config.keys);
        let closed = Arc::clone(&dispatchers);
        let tasks = vec![
            smol::spawn(tailer::run(tail, keys)),
            smol::spawn(catchup.run()),
            smol::spawn(snapshots::run(Arc::clone(&shared), config.snapshots)),
            smol::spawn(async move { member::join(&joining).await }),
            smol::spawn(Arc::clone(&authority).run()),
            smol::spawn(Arc::clone(&authority).release_watchdog(move || closed.is_empty())),
            smol::spawn(Arc::clone(&dispatchers).run(changes)),
            smol::spawn(planner::run(
                Arc::clone(&shared),
                Arc::clone(&authority),
                Arc::clone(&dispatchers),
            )),
            smol::spawn(planner::balance::run(
                Arc::clone(&shared),
                Arc::clone(&dispatchers),
            )),
            smol::spawn(member::maintain_lease(
                Arc::clone(&shared),
                Arc::clone(&authority),
            )),
        ];
        let node = Self {
            ingress: Server::serve(caller.0, limits, Arc::new(ingress)),
            operator: Server::serve(bound_operator.0, limits, Arc::new(operator)),
            peers: endpoint.serve(Arc::<Dispatchers>::clone(&dispatchers)),
            shared,
            authority,
            dispatchers,
            _tasks: tasks,
        };
        let serving = catchup::wait_until_serving(&node.shared).await;
        serving.map_err(|reason| NodeError::Stopped { reason })?;
        Ok(node)
    }

    /// The addresses that the host listens on.
    pub fn addresses(&self) -> Addresses {
        self.shared.host.addresses
    }

    /// The shared state of the process.
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Waits until this incarnation's lease has permanently ended. The process must then end and be
    /// restarted.
    pub async fn wait_lease_ended(&self) {
        self.authority.ended().await;
    }

    /// Waits until replay has stopped at a record that this build cannot replay. The host must then
    /// be drained and restarted with a newer build.
    pub async fn wait_replay_stopped(&self) {
        let stopped = |s: &Shared| matches!(s.replay_state(), ReplayState::Stopped(_));
        self.shared.wait_until(Tick(Duration::MAX), stopped).await;
    }

    /// Leaves the deployment after the lease has ended. The host no longer serves requests, but it
    /// is still a witness of other hosts' leases, which could end as well if it stopped
    /// immediately.
    pub async fn retire(self) {
        info!(self.shared.logger, "retiring");
        self.shared.start_drain();
        self.authority.disarm();
        member::announce_leave(&self.shared).await;
        member::wait_until_replaced(&self.shared, &self.authority).await;
        member::leave(&self.shared).await;
    }

    /// Shuts the host down gracefully: it reports that it is not ready, hands over its upstreams,
    /// completes the requests in flight and leaves the deployment.
    pub async fn drain(self) {
        info!(self.shared.logger, "draining");
        self.shared.start_drain();
        self.ingress.stop().await;
        // A host whose replay has stopped would never see its placement record in the view. Its
        // record of leaving lets the successors take over.
        if !matches!(self.shared.replay_state(), ReplayState::Stopped(_)) {
            member::announce_leave(&self.shared).await;
            planner::hand_over(&self.shared).await;
        }
        let until = self.shared.clock.now().after(HANDOVER_TIMEOUT);
        let closed = |_: &Shared| self.dispatchers.is_empty();
        // Without other hosts there is no successor to wait for.
        let alone = |s: &Shared| s.view().hosts.keys().all(|id| *id == s.host.id);
        let waits = |s: &Shared| !closed(s) && !alone(s) && s.clock.now() < until;
        while waits(&self.shared) {
            self.shared.clock.sleep(HANDOVER_POLL).await;
        }
        // Requests in flight are completed even without a successor, for example while the log is
        // down.
        self.dispatchers.drain();
        while !self.dispatchers.is_idle() {
            self.shared.clock.sleep(HANDOVER_POLL).await;
        }
        member::wait_until_replaced(&self.shared, &self.authority).await;
        member::leave(&self.shared).await;
        self.peers.drain().await;
        self.operator.stop().await;
        self.authority.disarm();
        self.shared.tracing.flush();
        info!(self.shared.logger, "drained");
    }
}

type BoundListener = (smol::net::TcpListener, SocketAddr);

fn bind_listener(port: &'static str, address: SocketAddr) -> Result<BoundListener, NodeError> {
    let bind = || {
        let listener = std::net::TcpListener::bind(address)?;
        let local = listener.local_addr()?;
        let listener = smol::Async::new(listener)?;
        Ok((smol::net::TcpListener::from(listener), local))
    };
    bind().context(BindSnafu { port, address })
}
