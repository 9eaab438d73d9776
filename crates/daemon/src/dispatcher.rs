//! Dispatchers: the only senders of requests to upstreams.
//!
//! [`Dispatchers`] handles forwarded requests for every upstream whose dispatcher role this host
//! holds, with one [`Driver`] per upstream. The lifetime of a driver is that of the role: the
//! driver starts when the role is acquired, stops at once when the lease is about to expire, and
//! drains when the log assigns another host.
//!
//! A request is sent only under three conditions: the view that admits it is at least as new as
//! that of the ingress, this host has authority over the upstream at the time of the write, and the
//! upstream owns the shard of the key at that time.

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
use crate::planner::Observations;
use crate::report;
use crate::shared::Shared;

/// Longest wait until the view of this host is as new as that of the sender.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest interval at which the drivers are reconciled with the view.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// The dispatchers of this host.
#[derive(Debug)]
pub struct Dispatchers {
    shared: Arc<Shared>,
    authority: Arc<Authority>,
    peers: Arc<dyn Peers>,
    drivers: Mutex<BTreeMap<UpstreamName, Arc<Driver>>>,
    failovers: Mutex<BTreeMap<UpstreamName, Announcement>>,
}

/// Head and body of an answer.
pub type Answer = (AnswerHead, Body);

impl Dispatchers {
    /// Creates an empty set of dispatchers.
    pub fn new(shared: Arc<Shared>, authority: Arc<Authority>, peers: Arc<dyn Peers>) -> Self {
        Self {
            shared,
            authority,
            peers,
            drivers: Mutex::default(),
            failovers: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, Arc<Driver>>> {
        self.drivers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn announcements(&self) -> MutexGuard<'_, BTreeMap<UpstreamName, Announcement>> {
        self.failovers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn drivers(&self) -> Vec<Arc<Driver>> {
        self.lock().values().cloned().collect()
    }

    pub(crate) fn peers(&self) -> Arc<dyn Peers> {
        Arc::clone(&self.peers)
    }

    /// Returns the driver of an upstream, if this host is its dispatcher.
    pub fn driver(&self, upstream: &UpstreamName) -> Option<Arc<Driver>> {
        self.lock().get(upstream).cloned()
    }

    /// Returns the health that the dispatchers of this host observe at their upstreams.
    pub fn observations(&self) -> Observations {
        let mut observations = Observations::default();
        for driver in self.drivers() {
            let list = match driver.health() {
                _ if driver.has_failed_over() => &mut observations.lost,
                HealthState::Lost => &mut observations.lost,
                HealthState::Cold | HealthState::Serving => &mut observations.healthy,
                HealthState::Suspect | HealthState::Draining | HealthState::Left => continue,
            };
            list.push(driver.name().clone());
        }
        observations
    }

    /// Returns the load that the dispatchers of this host counted in a closed measurement window.
    pub fn loads(&self, window: Window) -> Vec<UpstreamLoad> {
        let closed = |d: Arc<Driver>| d.window_load(window);
        load::truncate_to_frame(self.drivers().into_iter().filter_map(closed).collect())
    }

    /// Returns whether no dispatcher runs.
    pub fn is_empty(&self) -> bool {
        self.lock().is_empty()
    }

    /// Returns whether no request is queued or in flight at any upstream.
    pub fn is_idle(&self) -> bool {
        self.drivers().iter().all(|d| d.is_idle())
    }

    /// Drains all dispatchers before this host stops.
    pub fn drain(&self) {
        for driver in self.drivers() {
            driver.drain();
        }
    }

    /// Starts and stops drivers as roles change, for as long as the process runs.
    pub async fn run(self: Arc<Self>, changes: Receiver<RoleChange>) {
        loop {
            let timeout = async {
                self.shared
                    .wait_change(self.shared.clock.now().after(RECONCILE_INTERVAL))
                    .await;
                None
            };
            let change = async { changes.recv().await.ok() };
            match change.or(timeout).await {
                Some(RoleChange::Started(upstream)) => self.start_driver(&upstream),
                Some(RoleChange::Stopped(upstream)) => {
                    if let Some(driver) = self.lock().remove(&upstream) {
                        driver.stop();
                    }
                }
                Some(RoleChange::Draining(upstream)) => self.drain_driver(upstream),
                None => self.reconcile(),
            }
        }
    }

    fn start_driver(self: &Arc<Self>, upstream: &UpstreamName) {
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
                error!(self.shared.logger, "cannot start the dispatcher"; "upstream" => %upstream,
                    "error" => %e);
            }
        }
    }

    /// Removes a driver, completes its requests in flight and then releases the role.
    fn drain_driver(&self, upstream: UpstreamName) {
        let driver = self.lock().remove(&upstream);
        let authority = Arc::clone(&self.authority);
        smol::spawn(async move {
            if let Some(driver) = driver {
                driver.drain();
                driver.wait_idle().await;
                driver.stop();
            }
            authority.on_drained(&upstream);
        })
        .detach();
    }

    /// Starts drivers whose upstream was declared after the role was acquired, and drains and stops
    /// those whose declaration changed.
    fn reconcile(self: &Arc<Self>) {
        let view = self.shared.view();
        let changed = |d: &Arc<Driver>| {
            let declared = view.upstream(d.name());
            declared.is_none_or(|(s, u)| !d.matches_declaration(s, u))
        };
        let outdated: Vec<_> = self.drivers().into_iter().filter(changed).collect();
        for driver in outdated {
            driver.drain();
            if driver.is_idle() {
                driver.stop();
                self.lock().remove(driver.name());
            }
        }
        for assignment in view.records.assignments() {
            if self.authority.token(&assignment.upstream).is_some() {
                self.start_driver(&assignment.upstream);
            }
        }
    }

    async fn dispatch(&self, head: ForwardHead, body: Body) -> Answer {
        let until = self.shared.clock.now().after(head.budget);
        self.shared.learn(head.revision);
        let wait = until.min(self.shared.clock.now().after(CATCH_UP_TIMEOUT));
        if !self.shared.wait_until(wait, Shared::is_current).await {
            let reason = "the dispatcher's configuration is out of date";
            return failed_answer(&self.shared, Outcome::NotRun, reason);
        }
        let view = self.shared.view();
        let Some((service, _)) = view.upstream(&head.upstream) else {
            return failed_answer(
                &self.shared,
                Outcome::NotRun,
                "the upstream is not declared",
            );
        };
        let Some(driver) = self.driver(&head.upstream) else {
            let reason = "this host is not the upstream's dispatcher";
            return failed_answer(&self.shared, Outcome::NotRun, reason);
        };
        match owner(&view, service, head.key) {
            None => failed_answer(&self.shared, Outcome::NotRun, "the key has no owner"),
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

    async fn handle_message(self: Arc<Self>, from: PeerId, message: Bytes) -> Reply {
        match decode::<Message>(&message) {
            Ok(Message::Revision { sender }) => {
                self.shared.learn(sender);
                Reply::Revision {
                    revision: self.shared.view().revision,
                }
            }
            Ok(Message::Lease {
                from: host,
                revision,
                messages,
            }) => {
                self.shared.learn(revision);
                let messages = self.authority.receive(&from, host, &messages);
                Reply::Lease {
                    from: self.shared.host.id,
                    revision: self.shared.view().revision,
                    messages,
                }
            }
            Ok(Message::Load { sender, window }) => {
                self.shared.learn(sender);
                Reply::Load {
                    loads: self.loads(window),
                }
            }
            Ok(Message::Report { sender }) => {
                self.shared.learn(sender);
                Reply::Report {
                    services: report::truncate_to_frame(self.shared.reports.services()),
                }
            }
            Ok(Message::Releases { query }) => self.on_release_query(&query).await,
            Ok(Message::FailedOver { announcement }) => self.on_announcement(&announcement),
            Ok(Message::Offer { offer }) => self.on_offer(&offer),
            Ok(m @ (Message::Known { .. } | Message::Part { .. })) => {
                catchup::answer(&self.shared, &m)
            }
            Err(e) => Reply::Refused {
                reason: e.to_string(),
            },
        }
    }

    async fn on_release_query(&self, query: &shards::ReleaseQuery) -> Reply {
        self.shared.learn(query.revision);
        let wait = self.shared.clock.now().after(CATCH_UP_TIMEOUT);
        let current = self
            .shared
            .wait_until(wait, |s| s.view().revision >= query.revision)
            .await;
        match self.driver(&query.from) {
            _ if !current => Reply::Releases { shards: Vec::new() },
            Some(driver) => Reply::Releases {
                shards: driver.answer_query(query),
            },
            None => Reply::Releases { shards: Vec::new() },
        }
    }
}

/// Builds an answer that reports a failure at the dispatcher. The ingress may try another host.
pub fn failed_answer(shared: &Shared, outcome: Outcome, reason: &str) -> Answer {
    let revision = shared.view().revision;
    (
        AnswerHead::failed(outcome, reason, revision),
        trefoil_wire::body::empty(),
    )
}

/// Builds an answer that reports a failure and that the ingress must take as final.
pub fn final_answer(shared: &Shared, outcome: Outcome, reason: &str) -> Answer {
    let (head, body) = failed_answer(shared, outcome, reason);
    (head.mark_final(), body)
}

/// Returns the upstream that owns a key.
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
            let reply = self.handle_message(from, message).await;
            // A reply above the frame limit is replaced by an empty one, which the peer rejects
            // because it does not decode.
            encode(&reply).unwrap_or_default()
        }
        .boxed()
    }
}
