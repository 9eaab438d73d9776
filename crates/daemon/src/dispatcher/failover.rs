//! Failover of an upstream that is lost while the log is not writable.
//!
//! The log names a standby for each shard in advance. While the log is writable, the loss of an
//! upstream is a record, which the dispatchers of the standbys replay. While it is not, the
//! dispatcher of the lost upstream promotes the recorded standbys itself:
//!
//! 1. It announces the failover to every live successor that the log names for the upstream, and
//!    continues only after all of them have acknowledged it. A successor that takes over the
//!    dispatcher role therefore does not serve the shards, which are owned elsewhere.
//! 2. It revokes the shards and waits for the proof that no request is in flight, as for any move.
//! 3. It offers the released shards to the dispatchers of the standbys until these accept them.
//!
//! This is not a consensus protocol. The log has already decided on the standby, and the
//! announcement only prevents a second host from acting on the same record without regard to the
//! failover. If a successor does not answer, the shards wait for the log. An upstream that has
//! failed over counts as lost until the log records the loss, even if it answers again.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use trefoil_core::{HostId, Revision, Shard, Token, UpstreamName};
use trefoil_dispatch::{HealthState, Origin, ShardState};
use trefoil_log::View;
use trefoil_wire::{decode, encode};

use super::Dispatchers;
use super::driver::Driver;
use super::shards::ShardRelease;
use crate::message::{Message, Reply};

/// Time for which an upstream must be lost before its dispatcher fails over without the log. While
/// the log is available, a record is read back well within this time.
const FAILOVER_DELAY: Duration = Duration::from_millis(500);

/// Interval between two attempts to announce a failover or to offer its shards.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of shards in one offer, so that it fits into a frame.
const OFFER_SHARDS_MAX: usize = 128;

/// Announces that an upstream has failed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The lost upstream.
    pub upstream: UpstreamName,
    /// Fencing token of its dispatcher.
    pub token: Token,
    /// Revision of the placement whose standbys are promoted.
    pub placement: Revision,
}

/// Offers released shards to the dispatcher of a standby.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The lost upstream.
    pub from: UpstreamName,
    /// The standby that is to serve them.
    pub to: UpstreamName,
    /// Fencing token of the dispatcher of the lost upstream.
    pub token: Token,
    /// The shards.
    pub shards: Vec<ShardRelease>,
}

/// Shards that a standby serves before the log names it as their owner, with the owner that the log
/// names.
pub(super) type Provisional = BTreeMap<Shard, UpstreamName>;

impl Dispatchers {
    /// Stores an announcement of another host, unless one with a newer token is known.
    pub(super) fn on_announcement(&self, announcement: &Announcement) -> Reply {
        let mut known = self.announcements();
        let newest = known
            .get(&announcement.upstream)
            .is_none_or(|a| a.token < announcement.token);
        if newest {
            known.insert(announcement.upstream.clone(), announcement.clone());
        }
        Reply::Announced
    }

    /// Returns whether an announced failover applies to the current member of an upstream.
    /// Announcements that no longer apply are removed.
    pub(super) fn has_failed_over(&self, view: &View, upstream: &UpstreamName) -> bool {
        let mut known = self.announcements();
        let Some(announcement) = known.get(upstream) else {
            return false;
        };
        let in_effect = view.upstream(upstream).is_some_and(|(service, _)| {
            let table = view.tables.get(&service.name);
            // The announcement ends when a later placement has removed the member. The upstream
            // joins again as a new member.
            table.is_some_and(|t| t.member(upstream).is_some())
                && view.moved_at(&service.name, upstream) <= announcement.placement
        });
        if !in_effect {
            known.remove(upstream);
        }
        in_effect
    }

    /// Handles an offer of shards to a standby. Replies with those that the standby serves.
    pub(super) fn on_offer(&self, offer: &Offer) -> Reply {
        let none = Reply::Taken { shards: Vec::new() };
        match self.driver(&offer.to) {
            Some(driver) => Reply::Taken {
                shards: driver.take_over(offer),
            },
            None => none,
        }
    }
}

impl Driver {
    /// Returns whether the shards of the upstream were moved to its standbys without the log.
    pub fn has_failed_over(&self) -> bool {
        self.failed_over.load(Ordering::SeqCst)
    }

    /// Fails over if the upstream is lost and the log does not record it in time. Runs for as long
    /// as the driver does.
    pub(super) async fn watch_loss(self: Arc<Self>) {
        loop {
            self.shared.clock.sleep(RETRY_INTERVAL).await;
            let view = self.shared.view();
            if self.has_failed_over() {
                self.offer_all(&view).await;
                continue;
            }
            if self.is_failover_due(&view) && self.announce(&view).await {
                warn!(self.shared.logger, "upstream lost, failing over without the log";
                    "upstream" => %self.name());
                self.start_failover(&view);
            }
        }
    }

    /// Revokes all shards of the upstream in favour of their recorded standbys.
    pub(super) fn start_failover(&self, view: &View) {
        self.failed_over.store(true, Ordering::SeqCst);
        let Some(table) = view.tables.get(self.service()) else {
            return;
        };
        let now = self.shared.clock.now();
        let mut inner = self.lock();
        for (shard, replicas) in (0..).map(Shard).zip(table.replica_sets()) {
            let owns = table.name(replicas.owner) == Some(self.name());
            let standby = table
                .name(replicas.standby)
                .filter(|s| *s != self.name())
                .cloned();
            let (true, Some(to)) = (owns, standby) else {
                continue;
            };
            if let Ok(dropped) = inner.admission.revoke(now, shard, to, view.placement) {
                inner.drop_waiters(dropped);
            }
        }
        drop(inner);
        self.wake();
    }

    fn is_failover_due(&self, view: &View) -> bool {
        let inner = self.lock();
        let lost = inner.health.state() == HealthState::Lost;
        let since = self.shared.clock.now().since(inner.health.since());
        drop(inner);
        let member = view
            .tables
            .get(self.service())
            .and_then(|t| t.member(self.name()));
        lost && since >= FAILOVER_DELAY && member.is_some()
    }

    /// Announces the failover and returns whether every live successor has acknowledged it.
    async fn announce(&self, view: &View) -> bool {
        let Some(token) = self.authority.token(self.name()) else {
            return false;
        };
        let Some(assignment) = view.records.assignment(self.name()) else {
            return false;
        };
        let (upstream, placement) = (self.name().clone(), view.placement);
        let announcement = Announcement {
            upstream,
            token,
            placement,
        };
        let message = Message::FailedOver { announcement };
        for host in &assignment.hosts {
            let live = view.hosts.contains_key(host) && *host != self.shared.host.id;
            if live && self.call_host(view, *host, &message).await != Some(Reply::Announced) {
                return false;
            }
        }
        true
    }

    /// Offers all released shards that no standby serves yet.
    async fn offer_all(&self, view: &View) {
        let Some(token) = self.authority.token(self.name()) else {
            return;
        };
        let mut offers = BTreeMap::<UpstreamName, Vec<ShardRelease>>::new();
        {
            let inner = self.lock();
            let pending = inner
                .released
                .values()
                .filter(|r| !inner.taken_over.contains(&r.shard));
            for release in pending {
                let shards = offers.entry(release.to.clone()).or_default();
                if shards.len() < OFFER_SHARDS_MAX {
                    shards.push(ShardRelease {
                        shard: release.shard,
                        revision: release.revision,
                        handover: release.handover.clone(),
                    });
                }
            }
        }
        for (to, shards) in offers {
            let offer = Offer {
                from: self.name().clone(),
                to: to.clone(),
                token,
                shards,
            };
            let served = self.offer(view, &to, offer).await;
            if !served.is_empty() {
                info!(self.shared.logger, "standby accepted shards"; "upstream" => %self.name(),
                    "standby" => %to, "count" => served.len());
            }
            self.lock().taken_over.extend(served);
        }
    }

    async fn offer(&self, view: &View, to: &UpstreamName, offer: Offer) -> Vec<Shard> {
        let hosts = view
            .records
            .assignment(to)
            .map(|a| a.hosts.clone())
            .unwrap_or_default();
        for host in hosts {
            let reply = if host == self.shared.host.id {
                self.dispatchers.upgrade().map(|d| d.on_offer(&offer))
            } else {
                self.call_host(
                    view,
                    host,
                    &Message::Offer {
                        offer: offer.clone(),
                    },
                )
                .await
            };
            match reply {
                Some(Reply::Taken { shards }) if !shards.is_empty() => return shards,
                _ => {}
            }
        }
        Vec::new()
    }

    async fn call_host(&self, view: &View, host: HostId, message: &Message) -> Option<Reply> {
        let address = view.hosts.get(&host)?.addresses.peer;
        let data = encode(message).ok()?;
        let call = async { self.peers.call(address, data).await.ok() };
        let timeout = async {
            self.shared.clock.sleep(CALL_TIMEOUT).await;
            None
        };
        let reply = call.or(timeout).await?;
        decode::<Reply>(&reply).ok()
    }

    /// Starts to serve shards whose recorded owner has failed over to this upstream. Returns those
    /// that it serves.
    fn take_over(&self, offer: &Offer) -> Vec<Shard> {
        let view = self.shared.view();
        let Some(table) = view.tables.get(self.service()) else {
            return Vec::new();
        };
        let now = self.shared.clock.now();
        let mut taken = Vec::new();
        let mut inner = self.lock();
        for release in &offer.shards {
            let ShardRelease {
                shard,
                revision,
                handover,
            } = release;
            let Some(replicas) = table.replicas(*shard) else {
                continue;
            };
            let recorded = table.name(replicas.owner) == Some(&offer.from)
                && table.name(replicas.standby) == Some(self.name());
            let state = inner.admission.ownership().state(*shard);
            match state {
                ShardState::Serving => taken.push(*shard),
                ShardState::Released if recorded => {
                    let assigned = inner
                        .admission
                        .assign(now, *shard, Origin::Owner(*revision));
                    let received = assigned.and_then(|()| {
                        inner
                            .admission
                            .receive_release(now, *shard, *revision, handover.clone())
                    });
                    if let Ok(actions) = received {
                        inner.provisional.insert(*shard, offer.from.clone());
                        inner.perform(actions);
                        taken.push(*shard);
                    }
                }
                _ => {}
            }
        }
        drop(inner);
        self.wake();
        taken
    }
}
