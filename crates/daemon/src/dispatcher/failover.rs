//! Failover of an upstream that is lost while the log cannot be written.
//!
//! The log has recorded a standby for each shard beforehand. While it can be written, the loss of
//! an upstream is a record, and the standbys' dispatchers learn of it from the log. While it cannot,
//! the lost upstream's dispatcher carries the recorded standby out by itself:
//!
//! 1. It announces the failover to every live successor that the log names for the upstream, and
//!    goes on only when all of them have acknowledged it. A successor that takes the dispatcher
//!    role over therefore knows that the shards are elsewhere, and does not serve them.
//! 2. It revokes the shards and waits for the proof that nothing is in flight, as for any move.
//! 3. It offers the released shards to the dispatchers of the standbys until they have taken them.
//!
//! Nothing is agreed here: the standby was recorded, and the announcement only prevents a second
//! host from acting on the same record as if nothing had happened. If a successor does not answer,
//! the shards wait for the log. An upstream that has failed over stays lost until the log says so,
//! also if it answers again.

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

/// Time for which an upstream is lost before its dispatcher fails over without the log. A record
/// is read back well within it while the log works.
const FAILOVER_AFTER: Duration = Duration::from_millis(500);

/// Time between two attempts.
const RETRY_EVERY: Duration = Duration::from_millis(100);

/// Time for a host to answer.
const TELL_TIMEOUT: Duration = Duration::from_millis(300);

/// Shards offered in one message, so that it stays within a frame.
const OFFER_MAX: usize = 128;

/// Announces that an upstream has failed over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// The lost upstream.
    pub upstream: UpstreamName,
    /// Token of its dispatcher.
    pub token: Token,
    /// Placement revision whose standbys are carried out.
    pub placement: Revision,
}

/// Offers released shards to the dispatcher of a standby.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The lost upstream.
    pub from: UpstreamName,
    /// The standby.
    pub to: UpstreamName,
    /// Token of the lost upstream's dispatcher.
    pub token: Token,
    /// The shards.
    pub shards: Vec<ShardRelease>,
}

/// Shards that a standby serves before the log names it as their owner.
pub(super) type Provisional = BTreeMap<Shard, UpstreamName>;

impl Dispatchers {
    /// Takes an announcement of another host.
    pub(super) fn announced(&self, announcement: &Announcement) -> Reply {
        let mut known = self.announcements();
        let newest = known
            .get(&announcement.upstream)
            .is_none_or(|a| a.token < announcement.token);
        if newest {
            known.insert(announcement.upstream.clone(), announcement.clone());
        }
        Reply::Announced
    }

    /// Whether a failover was announced for the member that the view has for an upstream.
    pub(super) fn has_failed_over(&self, view: &View, upstream: &UpstreamName) -> bool {
        let mut known = self.announcements();
        let Some(announcement) = known.get(upstream) else {
            return false;
        };
        let stands = view.upstream(upstream).is_some_and(|(service, _)| {
            let table = view.tables.get(&service.name);
            // The loss is in force once a placement after the announcement has taken the member
            // out; the upstream then joins as a new member.
            table.is_some_and(|t| t.member(upstream).is_some())
                && view.last_owner_change_from(&service.name, upstream) <= announcement.placement
        });
        if !stands {
            known.remove(upstream);
        }
        stands
    }

    /// Takes shards that are offered to a standby. Returns those that it serves.
    pub(super) fn offered(&self, offer: &Offer) -> Reply {
        let none = Reply::OfferAccepted { shards: Vec::new() };
        match self.driver(&offer.to) {
            Some(driver) => Reply::OfferAccepted {
                shards: driver.take_over(offer),
            },
            None => none,
        }
    }
}

impl Driver {
    /// Whether the upstream's shards have gone to its standbys without the log.
    pub fn has_failed_over(&self) -> bool {
        self.failed_over.load(Ordering::SeqCst)
    }

    /// Watches for a loss that the log does not take, for as long as the driver runs.
    pub(super) async fn watch_loss(self: Arc<Self>) {
        loop {
            self.shared.clock.sleep(RETRY_EVERY).await;
            let view = self.shared.view();
            if self.has_failed_over() {
                self.offer_all(&view).await;
                continue;
            }
            if self.is_lost_for_long(&view) && self.announce(&view).await {
                warn!(self.shared.logger, "failing over without the log"; "upstream" => %self.name());
                self.start_failover(&view);
            }
        }
    }

    /// Revokes all shards in favour of their recorded standbys.
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

    fn is_lost_for_long(&self, view: &View) -> bool {
        let inner = self.lock();
        let lost = inner.health.state() == HealthState::Lost;
        let since = self.shared.clock.now().since(inner.health.since());
        drop(inner);
        let member = view
            .tables
            .get(self.service())
            .and_then(|t| t.member(self.name()));
        lost && since >= FAILOVER_AFTER && member.is_some()
    }

    /// Announces the failover. Returns whether every live successor has acknowledged it.
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
            if live && self.tell(view, *host, &message).await != Some(Reply::Announced) {
                return false;
            }
        }
        true
    }

    /// Offers what is released and not taken yet.
    async fn offer_all(&self, view: &View) {
        let Some(token) = self.authority.token(self.name()) else {
            return;
        };
        let mut offers = BTreeMap::<UpstreamName, Vec<ShardRelease>>::new();
        {
            let inner = self.lock();
            let open = inner
                .released
                .values()
                .filter(|r| !inner.taken.contains(&r.shard));
            for release in open {
                let shards = offers.entry(release.to.clone()).or_default();
                if shards.len() < OFFER_MAX {
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
                info!(self.shared.logger, "standby took shards"; "upstream" => %self.name(),
                    "standby" => %to, "count" => served.len());
            }
            self.lock().taken.extend(served);
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
                self.siblings.upgrade().map(|all| all.offered(&offer))
            } else {
                self.tell(
                    view,
                    host,
                    &Message::Offer {
                        offer: offer.clone(),
                    },
                )
                .await
            };
            match reply {
                Some(Reply::OfferAccepted { shards }) if !shards.is_empty() => return shards,
                _ => {}
            }
        }
        Vec::new()
    }

    async fn tell(&self, view: &View, host: HostId, message: &Message) -> Option<Reply> {
        let address = view.hosts.get(&host)?.addresses.peer;
        let data = encode(message).ok()?;
        let call = async { self.peers.call(address, data).await.ok() };
        let late = async {
            self.shared.clock.sleep(TELL_TIMEOUT).await;
            None
        };
        let reply = call.or(late).await?;
        decode::<Reply>(&reply).ok()
    }

    /// Serves shards whose recorded owner has failed over to this upstream.
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
