//! State of the host, which its tasks share.

mod gauges;
mod readiness;
mod shutdown;
mod upstreams;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt::{self, Debug};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use event_listener::Event;
use slog::{Logger, info, warn};
use smol::{LocalExecutor, Task};
use trefoil_balance::{
    Balancer, Counts, HealthTally, LimitReport, LimitTally, Limits, RetryBudget, Tag, Tally,
};
use trefoil_core::{Clock, DomainName, HostId, ServiceName, Tick};
use trefoil_directory::{Directory, UpstreamId};
use trefoil_http::h1::Shutdown;
use trefoil_route::{Config, Router, Version};
use trefoil_store::{Era, Store};

use crate::changes::RecentChanges;
use crate::config::{Bounds, HostConfig};
use crate::coordinator::{EndedTerms, EraSeen, Reassemblies, Terms};
use crate::discovery;
use crate::era::EraSource;
use crate::evacuation::EvacuationState;
use crate::fetch::InFlight;
use crate::follow::Position;
use crate::freshness::Freshness;
use crate::memory::Memory;
use crate::metered::MeteredStore;
use crate::metrics::Metrics;
use crate::peers::{Peers, RELAYS};
use crate::platform::Platform;
use crate::pool::Pool;
use crate::request_log::{RunningRequests, cut};
use crate::tables::{Revision, Routes, Tables};
use crate::tasks::EndedTask;
use crate::waiting::Waiting;
use crate::warmup::Permits;

pub(crate) use shutdown::StopTimes;

/// Delay between the probes of the store by hosts with consecutive ranks in a domain.
pub(crate) const PROBE_STAGGER: Duration = Duration::from_millis(700);

/// Time after the start in which a host leaves the first reads of the store to the hosts that rank
/// before it.
const FIRST_READ_DELAY: Duration = Duration::from_millis(400);

/// Events that tasks wait for.
#[derive(Debug, Default)]
pub struct Events {
    /// The configuration has changed.
    pub config: Event,
    /// The directory has changed.
    pub directory: Event,
    /// Routes of a keyed service have changed.
    pub routes: Event,
    /// A request has ended, which frees capacity of an upstream.
    pub capacity: Event,
    /// The store answers again after an outage.
    pub store_recovered: Event,
    /// The store has come back from an older copy.
    pub store_restored: Event,
    /// This host has become a relay of its domain.
    pub promoted: Event,
    /// Datagrams are queued.
    pub outbox: Event,
}

/// Outputs for operators.
#[derive(Debug)]
pub struct Telemetry {
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Metrics,
}

/// State of the host, which its tasks share.
pub struct Host {
    /// Settings from the start of the process.
    pub config: HostConfig,
    /// Bounds of the deployment, which may change while the process runs.
    pub bounds: Cell<Bounds>,
    /// This incarnation of the process.
    pub id: HostId,
    /// Source of time.
    pub clock: Arc<dyn Clock>,
    /// Log.
    pub log: Logger,
    /// Metrics.
    pub metrics: Arc<Metrics>,
    /// Names and encodings of the platform.
    pub platform: Rc<dyn Platform>,
    /// The store.
    pub store: Arc<dyn Store>,
    /// Executor of all tasks.
    pub executor: Rc<LocalExecutor<'static>>,
    /// Events that tasks wait for.
    pub events: Events,
    /// The first permanent task that has ended.
    pub(crate) ended_task: EndedTask,
    /// Closes idle connections at the stop, and the others after their next answer.
    pub stop: Rc<Shutdown>,
    /// The process was asked to stop.
    pub leaving: Cell<bool>,
    /// When it stops taking requests that may outlast it, and when it ends.
    pub(crate) stop_times: Cell<Option<StopTimes>>,
    /// State of the other hosts.
    pub peers: RefCell<Peers>,
    /// Open requests of the other hosts in this domain, while this host is a relay.
    pub(crate) local_loads: RefCell<Tally<HostId>>,
    /// Open requests of the other domains, while this host is a relay.
    pub(crate) remote_loads: RefCell<Tally<(DomainName, u16)>>,
    /// Limits that upstreams have stated.
    pub(crate) limits: RefCell<Limits>,
    /// Reports about limits by the other hosts in this domain, while this host is a relay.
    pub(crate) local_limits: RefCell<LimitTally<HostId>>,
    /// Reports about limits by the other domains, while this host is a relay.
    pub(crate) remote_limits: RefCell<LimitTally<DomainName>>,
    /// This host's last report about limits.
    pub(crate) reported_limits: RefCell<BTreeMap<UpstreamId, LimitReport>>,
    /// Permits for requests to cold upstreams.
    pub(crate) permits: Permits,
    /// Failures reported by the other hosts in this domain, while this host is a relay.
    pub(crate) local_health: RefCell<HealthTally<HostId>>,
    /// Failures reported by the other domains, while this host is a relay.
    pub(crate) remote_health: RefCell<HealthTally<DomainName>>,
    /// Counts of failures in this host's last report.
    pub(crate) reported_health: RefCell<BTreeMap<Tag, Counts>>,
    /// Open requests in this host's last report.
    pub(crate) reported_open: RefCell<BTreeMap<Tag, u32>>,
    /// Recent changes of the directory, for digests.
    pub(crate) changes: RefCell<RecentChanges>,
    /// The configuration in force, in the platform's encoding.
    pub(crate) raw_config: RefCell<Option<Bytes>>,
    /// Place in the store's topic up to which the configuration in force contains every change.
    pub(crate) config_position: Cell<Option<Position>>,
    /// Era of the store in which the configuration was read last.
    pub(crate) config_era: Cell<Era>,
    /// Evacuated failure domains.
    pub(crate) evacuations: RefCell<EvacuationState>,
    /// Highest known era of the store.
    pub(crate) store_era: Cell<Option<Era>>,
    /// The fetch of the configuration.
    pub(crate) fetching_config: InFlight,
    /// The fetch of the directory.
    pub(crate) fetching_directory: InFlight,
    /// Since when the directory differs from that of a relay.
    pub(crate) directory_differs: Cell<Option<Tick>>,
    /// Received parts of routes.
    pub(crate) reassemblies: RefCell<Reassemblies>,
    /// Routes that another host has and this one lacks, and since when.
    pub(crate) missing_routes: RefCell<BTreeMap<ServiceName, (Revision, Tick)>>,
    /// When this host finished reading the identities of the others.
    pub(crate) discovered: Cell<Option<Tick>>,
    started: Tick,
    weak_self: RefCell<Weak<Self>>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) balancer: RefCell<Balancer>,
    pub(crate) tables: RefCell<Tables>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    pub(crate) terms: RefCell<Terms>,
    /// Finished terms of this host.
    pub(crate) ended_terms: RefCell<EndedTerms>,
    /// Memory of what callers and upstreams send.
    pub(crate) memory: Memory,
    /// Open connections of callers and operators.
    pub(crate) connections: Cell<usize>,
    /// Requests that wait for room at an upstream.
    pub(crate) waiting: Waiting,
    /// Requests that callers wait for.
    pub(crate) running: RefCell<RunningRequests>,
    /// Upstreams in the directory whose address now belongs to another one.
    displaced: RefCell<HashSet<UpstreamId>>,
    /// When the directory last changed.
    pub(crate) directory_changed: Cell<Tick>,
    /// How current the directory is.
    pub(crate) directory_freshness: Freshness,
    /// How current the configuration in force is.
    pub(crate) config_freshness: Freshness,
    router: RefCell<Option<Rc<Router>>>,
    /// When the configuration came into force.
    config_changed: Cell<Tick>,
    /// Readiness that was logged last.
    was_ready: Cell<bool>,
    /// This host was ready at least once.
    started_up: Cell<bool>,
    /// The directory was loaded at least once.
    directory_loaded: Cell<bool>,
    /// Records of the registry were deleted before this host had read them.
    pub(crate) missed_records: Cell<bool>,
    /// The highest era of the store.
    pub(crate) era_seen: Cell<Option<EraSeen>>,
    /// When the last answered call of the store was sent.
    pub(crate) store_seen: Cell<Option<Tick>>,
    /// When the first answered call after an outage of the store was sent.
    pub(crate) store_regained: Cell<Option<Tick>>,
}

impl Debug for Host {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Host")
            .field("name", &self.config.name)
            .finish_non_exhaustive()
    }
}

impl Host {
    /// Creates a host with empty state.
    pub fn new(
        config: HostConfig,
        memory: Memory,
        clock: Arc<dyn Clock>,
        telemetry: Telemetry,
        platform: Rc<dyn Platform>,
        store: Arc<dyn Store>,
    ) -> Rc<Self> {
        let Telemetry { log, metrics } = telemetry;
        let metrics = Arc::new(metrics);
        let store = MeteredStore::new(store, Arc::clone(&metrics), Arc::clone(&clock));
        let id = HostId::random();
        let started = clock.now();
        let pool = Pool::new(config.limits.idle_links());
        let host = Rc::new(Self {
            peers: RefCell::new(Peers::new(discovery::host_info(id, &config))),
            local_loads: RefCell::default(),
            remote_loads: RefCell::default(),
            limits: RefCell::default(),
            local_limits: RefCell::default(),
            remote_limits: RefCell::default(),
            reported_limits: RefCell::default(),
            permits: Permits::default(),
            local_health: RefCell::default(),
            remote_health: RefCell::default(),
            reported_health: RefCell::default(),
            reported_open: RefCell::default(),
            changes: RefCell::default(),
            raw_config: RefCell::default(),
            config_position: Cell::default(),
            config_era: Cell::default(),
            evacuations: RefCell::default(),
            store_era: Cell::default(),
            fetching_config: InFlight::default(),
            fetching_directory: InFlight::default(),
            directory_differs: Cell::default(),
            reassemblies: RefCell::default(),
            missing_routes: RefCell::default(),
            discovered: Cell::default(),
            started,
            weak_self: RefCell::default(),
            bounds: Cell::new(config.bounds),
            balancer: RefCell::new(Balancer::new(config.domain.clone())),
            config,
            id,
            clock,
            log,
            metrics,
            platform,
            store: Arc::new(store),
            executor: Rc::default(),
            events: Events::default(),
            ended_task: EndedTask::default(),
            stop: Rc::default(),
            leaving: Cell::new(false),
            stop_times: Cell::new(None),
            directory: RefCell::default(),
            tables: RefCell::default(),
            pool: RefCell::new(pool),
            budgets: RefCell::default(),
            terms: RefCell::default(),
            ended_terms: RefCell::default(),
            memory,
            connections: Cell::new(0),
            waiting: Waiting::default(),
            running: RefCell::default(),
            displaced: RefCell::default(),
            directory_changed: Cell::default(),
            directory_freshness: Freshness::default(),
            config_freshness: Freshness::default(),
            router: RefCell::default(),
            config_changed: Cell::default(),
            was_ready: Cell::default(),
            started_up: Cell::default(),
            directory_loaded: Cell::new(false),
            missed_records: Cell::new(false),
            era_seen: Cell::new(None),
            store_seen: Cell::new(None),
            store_regained: Cell::new(None),
        });
        *host.weak_self.borrow_mut() = Rc::downgrade(&host);
        host
    }

    /// A strong reference for tasks that outlive the current call.
    pub(crate) fn to_shared(&self) -> Option<Rc<Self>> {
        self.weak_self.borrow().upgrade()
    }

    /// Returns `true` if this host reads tables of keyed services from the store itself. It does if
    /// fewer than two hosts that rank before it in its domain reach the store. If none does any
    /// more, the next ones probe the store one after the other.
    pub(crate) fn reads_store(&self, now: Tick) -> bool {
        let peers = self.peers.borrow();
        let silence = self.bounds.get().reader_silence();
        let (position, readers) = (peers.position(now), peers.readers_before(now, silence));
        if readers >= RELAYS || position < RELAYS {
            return readers < RELAYS;
        }
        let seen = peers.last_store_answer(now).unwrap_or(self.started);
        let step = u32::try_from(position - RELAYS + 1).unwrap_or(u32::MAX);
        now.since(seen) > PROBE_STAGGER.saturating_mul(step)
    }

    /// Returns `true` if this host has just started, leaves the first reads of the store to others
    /// and waits for their copies.
    pub(crate) fn defers_first_read(&self, now: Tick) -> bool {
        let Some(discovered) = self.discovered.get() else {
            return now.since(self.started) < FIRST_READ_DELAY;
        };
        let known = self.peers.borrow().known_ranked_before();
        known >= RELAYS && now.since(discovered) < FIRST_READ_DELAY
    }

    /// Drops the changes of the directory that digests do not repeat any more. Hosts that send no
    /// digests keep changes as well, because they may become relays.
    pub(crate) fn expire_changes(&self, now: Tick) {
        let mut changes = self.changes.borrow_mut();
        changes.expire(now);
        let kept = i64::try_from(changes.len()).unwrap_or(i64::MAX);
        self.metrics.kept_changes.set(kept);
    }

    /// Spawns a task on the host's thread. Dropping the handle cancels the task unless it is
    /// detached.
    pub fn spawn<F>(&self, future: F) -> Task<F::Output>
    where
        F: Future + 'static,
        F::Output: 'static,
    {
        self.executor.spawn(future)
    }

    /// The current tick.
    pub fn now(&self) -> Tick {
        self.clock.now()
    }

    /// The configuration in force.
    pub fn router(&self) -> Option<Rc<Router>> {
        self.router.borrow().clone()
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> Version {
        self.router().map(|r| r.version()).unwrap_or_default()
    }

    /// Keyed services of the configuration.
    pub(crate) fn keyed_services(&self) -> Vec<ServiceName> {
        self.router().map_or_else(Vec::new, |router| {
            let keyed = router.services().filter(|(_, s)| s.keyed);
            keyed.map(|(name, _)| name.clone()).collect()
        })
    }

    /// The longest latency objective of the routes to a service, or one second if it has no routes.
    pub(crate) fn objective(&self, service: &ServiceName) -> Duration {
        let router = self.router();
        let all = router.iter().flat_map(|router| router.routes());
        let own = all.filter(|r| r.targets.iter().any(|t| t.service == *service));
        let longest = own.map(|r| r.objective).max();
        longest.unwrap_or(Duration::from_secs(1))
    }

    /// Returns `true` once the directory was loaded, from the registry or from a relay.
    pub(crate) fn has_directory(&self) -> bool {
        self.directory_loaded.get()
    }

    /// Digest of the directory, for hosts that may copy it. `None` if this host has missed changes
    /// or keeps upstreams that are missing in the registry, because another host may know that they
    /// are gone.
    pub(crate) fn offered_directory(&self) -> Option<u64> {
        let directory = self.directory.borrow();
        let whole =
            self.directory_loaded.get() && !self.missed_records.get() && directory.is_settled();
        whole.then(|| directory.digest())
    }

    /// Puts a configuration in force that was read in `era`, unless the current one is at least as
    /// new. Of two with the same version, the one that was read in a later era is newer: the store
    /// has lost the other one. Returns whether it did.
    pub fn apply_config(&self, config: Config, era: Era) -> bool {
        let known = self.config_version();
        let is_known = (config.version, era) <= (known, self.config_era.get());
        if is_known && self.router.borrow().is_some() {
            return false;
        }
        self.config_era.set(era);
        info!(self.log, "configuration in force"; "version" => config.version.0,
            "before" => known.0, "routes" => config.routes.len(),
            "services" => config.services.len());
        self.metrics
            .version
            .set(i64::try_from(config.version.0).unwrap_or(i64::MAX));
        let router = Rc::new(Router::new(config));
        *self.router.borrow_mut() = Some(router);
        self.config_changed.set(self.now());
        self.log_unusable_limits();
        self.log_readiness_change();
        self.events.config.notify(usize::MAX);
        true
    }

    /// Records that the configuration in force contains every change before `position`.
    pub(crate) fn advance_config(&self, position: Position) {
        let known = self.config_position.get();
        let order = |position: Position| (position.era, position.offset);
        if known.is_none_or(|known| order(known) < order(position)) {
            self.config_position.set(Some(position));
        }
    }

    /// Applies routes of a keyed service unless the known ones are at least as new.
    pub fn apply_routes(&self, service: &ServiceName, routes: Routes) {
        let revision = routes.revision;
        if self.tables.borrow_mut().update(service, routes) {
            slog::debug!(self.log, "routes"; "service" => %service, "version" => revision.version,
                "term" => revision.term, "serial" => revision.serial);
            self.events.routes.notify(usize::MAX);
        }
    }

    /// Records that the store has answered a call sent at `sent`.
    pub(crate) fn store_answered(&self, sent: Tick) {
        let before = self.store_seen.get();
        let silence = self.bounds.get().reader_silence();
        if before.is_some_and(|before| sent.since(before) > silence) {
            self.store_regained.set(Some(sent));
        }
        self.store_seen.set(before.max(Some(sent)));
        self.record_era(self.store.era(), EraSource::Store);
    }

    /// Applies reloaded settings. Only the bounds can change while the process runs.
    pub fn reload(&self, config: &HostConfig) {
        let bounds = self.bounds.replace(config.bounds);
        if !self.has_evacuations() {
            self.reset_evacuations();
        }
        if bounds.warmup != config.bounds.warmup {
            self.log_unusable_limits();
        }
        let fixed = HostConfig {
            bounds,
            ..config.clone()
        };
        info!(self.log, "settings reloaded"; "bounds_changed" => bounds != config.bounds,
            "needs_restart" => fixed != HostConfig { bounds, ..self.config.clone() });
    }

    /// Logs that the settings cannot be reloaded.
    pub fn log_reload_failed(&self, reason: &dyn fmt::Display) {
        warn!(self.log, "settings not reloaded"; "reason" => %reason);
    }

    /// Logs a document that cannot be used, such as a configuration or a registration.
    pub(crate) fn log_rejected(&self, what: &'static str, reason: &dyn fmt::Display) {
        let reason = reason.to_string();
        warn!(self.log, "rejected"; "what" => what, "reason" => cut(&reason));
    }
}
