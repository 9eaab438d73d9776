//! Dispatchers: the only processes that send to an upstream.
//!
//! [`Dispatchers`] serves forwarded requests for all upstreams whose dispatcher this host is, with
//! one [`Driver`] for each. A driver exists exactly as long as this host has the role: it starts
//! when the role begins, and is stopped at once when the lease is about to end, or drained when
//! another host was assigned.
//!
//! A request is sent only if the view that admits it is at least as new as the ingress's, this host
//! has authority over the upstream at the moment of the write, and the upstream owns the key's
//! shard there and then.

pub mod driver;
pub mod exchange;
pub mod failover;
mod grants;
pub mod job;
mod payload;
pub mod shards;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Receiver;
use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use slog::{error, info};
use trefoil_config::Service;
use trefoil_core::{KeyHash, Outcome, UpstreamName};
use trefoil_dispatch::HealthState;
use trefoil_log::View;
use trefoil_wire::{AnswerHead, Body, ForwardHead, Handler, PeerId, Peers, decode, encode};

use self::driver::Driver;
use self::failover::Announcement;
use crate::authority::{Authority, RoleChange};
use crate::catchup;
use crate::load::{self, UpstreamLoad, Window};
use crate::message::{Message, Reply};
use crate::planner::Observed;
use crate::report;
use crate::shared::Shared;

/// Longest wait for a view that is as new as the ingress's.
const CATCH_UP: Duration = Duration::from_secs(1);

/// Longest time between two looks at the view.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// All dispatchers of this host.
#[derive(Debug)]
pub struct Dispatchers {
    shared: Arc<Shared>,
    authority: Arc<Authority>,
    peers: Arc<dyn Peers>,
    drivers: Mutex<BTreeMap<UpstreamName, Arc<Driver>>>,
    announced: Mutex<BTreeMap<UpstreamName, Announcement>>,
}

/// Head and body of an answer.
pub type Answer = (AnswerHead, Body);

impl Dispatchers {
    /// No dispatchers yet.
    pub fn new(shared: Arc<Shared>, authority: Arc<Authority>, peers: Arc<dyn Peers>) -> Self {
        Self {
            shared,
            authority,
            peers,
            drivers: Mutex::default(),
            announced: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, Arc<Driver>>> {
        self.drivers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announcements(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, Announcement>> {
        self.announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn all(&self) -> Vec<Arc<Driver>> {
        self.lock().values().cloned().collect()
    }

    pub(crate) fn peers(&self) -> Arc<dyn Peers> {
        Arc::clone(&self.peers)
    }

    /// The driver of an upstream, if this host dispatches to it.
    pub fn driver(&self, upstream: &UpstreamName) -> Option<Arc<Driver>> {
        self.lock().get(upstream).cloned()
    }

    /// What this host's dispatchers have seen of their upstreams.
    pub fn observed(&self) -> Observed {
        let mut observed = Observed::default();
        for driver in self.all() {
            let list = match driver.health() {
                _ if driver.has_failed_over() => &mut observed.lost,
                HealthState::Lost => &mut observed.lost,
                HealthState::Cold | HealthState::Serving => &mut observed.healthy,
                HealthState::Suspect | HealthState::Draining | HealthState::Left => continue,
            };
            list.push(driver.name().clone());
        }
        observed
    }

    /// What this host's dispatchers counted in a closed measure window.
    pub fn loads(&self, window: Window) -> Vec<UpstreamLoad> {
        let closed = |d: Arc<Driver>| d.load(window);
        load::bounded(self.all().into_iter().filter_map(closed).collect())
    }

    /// Whether no dispatcher runs.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Whether no request is at any upstream.
    pub fn is_idle(&self) -> bool {
        self.all().iter().all(|d| d.is_idle())
    }

    /// Drains all dispatchers, because this host stops.
    pub fn drain(&self) {
        for driver in self.all() {
            driver.drain();
        }
    }

    /// Starts and stops drivers as roles change, for as long as the process runs.
    pub async fn run(self: Arc<Self>, changes: Receiver<RoleChange>) {
        loop {
            let look = async {
                self.shared
                    .wait_change(self.shared.clock.now().after(LOOK_EVERY))
                    .await;
                None
            };
            let change = async { changes.recv().await.ok() };
            match change.or(look).await {
                Some(RoleChange::Began(upstream)) => self.begin(&upstream),
                Some(RoleChange::Stopped(upstream)) => {
                    if let Some(driver) = self.lock().remove(&upstream) {
                        driver.stop();
                    }
                }
                Some(RoleChange::Draining(upstream)) => self.finish(upstream),
                None => self.follow(),
            }
        }
    }

    fn begin(self: &Arc<Self>, upstream: &UpstreamName) {
        let view = self.shared.view();
        let Some((service, declared)) = view.upstream(upstream) else {
            return;
        };
        let mut drivers = self.lock();
        if drivers.contains_key(upstream) {
            return;
        }
        let (shared, authority) = (Arc::clone(&self.shared), Arc::clone(&self.authority));
        match Driver::start(shared, authority, self, service, declared) {
            Ok(driver) => {
                info!(self.shared.logger, "dispatcher started"; "upstream" => %upstream);
                drivers.insert(upstream.clone(), driver);
            }
            Err(e) => {
                error!(self.shared.logger, "dispatcher not started"; "upstream" => %upstream,
                    "error" => %e);
            }
        }
    }

    /// Lets what is in flight finish and then gives the role up.
    fn finish(&self, upstream: UpstreamName) {
        let driver = self.lock().remove(&upstream);
        let authority = Arc::clone(&self.authority);
        smol::spawn(async move {
            if let Some(driver) = driver {
                driver.drain();
                driver.idle().await;
                driver.stop();
            }
            authority.drained(&upstream);
        })
        .detach();
    }

    /// Starts drivers whose upstream was declared after the role began, and replaces those whose
    /// declaration changed.
    fn follow(self: &Arc<Self>) {
        let view = self.shared.view();
        let changed = |d: &Arc<Driver>| {
            let declared = view.upstream(d.name());
            declared.is_none_or(|(s, u)| !d.fits(s, u))
        };
        let outdated: Vec<_> = self.all().into_iter().filter(changed).collect();
        for driver in outdated {
            driver.drain();
            if driver.is_idle() {
                driver.stop();
                self.lock().remove(driver.name());
            }
        }
        for assignment in view.records.assignments() {
            if self.authority.token(&assignment.upstream).is_some() {
                self.begin(&assignment.upstream);
            }
        }
    }

    async fn dispatch(&self, head: ForwardHead, body: Body) -> Answer {
        let until = self.shared.clock.now().after(head.budget);
        self.shared.observe_revision(head.revision);
        let wait = until.min(self.shared.clock.now().after(CATCH_UP));
        if !self.shared.wait_until(wait, Shared::can_serve).await {
            let reason = "the dispatcher's configuration is out of date";
            return failed(&self.shared, Outcome::NotRun, reason);
        }
        let view = self.shared.view();
        let Some((service, _)) = view.upstream(&head.upstream) else {
            return failed(
                &self.shared,
                Outcome::NotRun,
                "the upstream is not declared",
            );
        };
        let Some(driver) = self.driver(&head.upstream) else {
            let reason = "this host is not the upstream's dispatcher";
            return failed(&self.shared, Outcome::NotRun, reason);
        };
        match owner(&view, service, head.key) {
            None => failed(&self.shared, Outcome::NotRun, "the key has no owner"),
            Some(owner) if *owner != head.upstream && !driver.serves(&view, head.key) => {
                let moved = AnswerHead::Moved {
                    upstream: owner.clone(),
                    revision: view.revision,
                };
                (moved, trefoil_wire::body::empty())
            }
            Some(_) => driver.handle(&view, head, body, until).await,
        }
    }

    async fn control(self: Arc<Self>, from: PeerId, message: Bytes) -> Reply {
        match decode::<Message>(&message) {
            Ok(Message::Revision { sender }) => {
                self.shared.observe_revision(sender);
                Reply::Revision {
                    revision: self.shared.view().revision,
                }
            }
            Ok(Message::Lease {
                from: host,
                revision,
                messages,
            }) => {
                self.shared.observe_revision(revision);
                let messages = self.authority.receive(&from, host, &messages);
                Reply::Lease {
                    from: self.shared.host.id,
                    revision: self.shared.view().revision,
                    messages,
                }
            }
            Ok(Message::Load { sender, window }) => {
                self.shared.observe_revision(sender);
                Reply::Load {
                    loads: self.loads(window),
                }
            }
            Ok(Message::Report { sender }) => {
                self.shared.observe_revision(sender);
                Reply::Report {
                    services: report::bounded(self.shared.reports.services()),
                }
            }
            Ok(Message::Releases { query }) => self.releases(&query).await,
            Ok(Message::FailedOver { announcement }) => self.announced(&announcement),
            Ok(Message::Offer { offer }) => self.offered(&offer),
            Ok(m @ (Message::ViewStatus { .. } | Message::ViewPart { .. })) => {
                catchup::answer_view_request(&self.shared, &m)
            }
            Err(e) => Reply::Refused {
                reason: e.to_string(),
            },
        }
    }

    async fn releases(&self, query: &shards::ReleaseQuery) -> Reply {
        self.shared.observe_revision(query.revision);
        let wait = self.shared.clock.now().after(CATCH_UP);
        let current = self
            .shared
            .wait_until(wait, |s| s.view().revision >= query.revision)
            .await;
        match self.driver(&query.from) {
            _ if !current => Reply::Releases { shards: Vec::new() },
            Some(driver) => Reply::Releases {
                shards: driver.released(query),
            },
            None => Reply::Releases { shards: Vec::new() },
        }
    }
}

/// An answer that says why there is none of the upstream.
pub fn failed(shared: &Shared, outcome: Outcome, reason: &str) -> Answer {
    let revision = shared.view().revision;
    (
        AnswerHead::failed(outcome, reason, revision),
        trefoil_wire::body::empty(),
    )
}

/// The dispatcher's final word on a request that has no answer of the upstream.
pub fn settled(shared: &Shared, outcome: Outcome, reason: &str) -> Answer {
    let (head, body) = failed(shared, outcome, reason);
    (head.settle(), body)
}

/// The upstream that owns a key.
pub fn owner<'a>(view: &'a View, service: &Service, key: KeyHash) -> Option<&'a UpstreamName> {
    let table = view.tables.get(&service.name)?;
    let replicas = table.replicas(table.shard(key))?;
    table.name(replicas.owner)
}

impl Handler for Dispatchers {
    fn forward(self: Arc<Self>, _from: PeerId, head: ForwardHead, body: Body) -> Boxed<Answer> {
        async move {
            let trace = head.trace.as_deref();
            let mut span = self.shared.tracing.server("dispatch", trace);
            span.set("upstream", &head.upstream);
            let trace = span.context().or(head.trace);
            let answer = self.dispatch(ForwardHead { trace, ..head }, body).await;
            if let AnswerHead::Answer { outcome, .. } | AnswerHead::Failed { outcome, .. } =
                &answer.0
            {
                span.set("outcome", outcome);
            }
            answer
        }
        .boxed()
    }

    fn call(self: Arc<Self>, from: PeerId, message: Bytes) -> Boxed<Bytes> {
        async move {
            let reply = self.control(from, message).await;
            // An answer above the frame limit is left empty, which does not decode at the peer.
            encode(&reply).unwrap_or_default()
        }
        .boxed()
    }
}
