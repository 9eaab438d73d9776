//! Collection of the load that the dispatchers of all hosts counted.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use trefoil_core::{Revision, ServiceName, Shard, UpstreamName};
use trefoil_log::{HostRecord, View};
use trefoil_placement::baseline::HISTORY_WEIGHT;
use trefoil_placement::{HotKeys, KeyLoad, Load, Meter, Table};
use trefoil_wire::{Peers, decode, encode};

use super::{SKETCH_COUNTERS, UpstreamLoad, Window, truncate_to_frame};
use crate::dispatcher::Dispatchers;
use crate::message::{Message, Reply};
use crate::shared::Shared;

/// Timeout of a query to another host.
const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of concurrent queries.
const QUERY_CONCURRENCY: usize = 64;

/// Load of one service in one window.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WindowLoad {
    /// Load of the shards, smoothed over windows. It has no hot keys, because the daemon has no
    /// table entries for them (see [`crate::planner`]).
    pub load: Load,
    /// The hottest keys, hottest first, in requests of the window.
    pub hot: Vec<KeyLoad>,
    /// Seconds in which an upstream owned shards and admitted no request.
    pub unavailable: BTreeMap<UpstreamName, f64>,
    /// Live members whose dispatchers did not answer the query.
    pub silent: Vec<UpstreamName>,
}

/// Merges the replies of the hosts once per window and keeps the smoothed load between windows.
#[derive(Debug, Default)]
pub struct Collector {
    meters: BTreeMap<ServiceName, (Meter, Load)>,
}

impl Collector {
    /// Merges the replies for a closed window. The result omits services of which no dispatcher
    /// answered.
    pub fn close_window(
        &mut self,
        view: &View,
        replies: &[UpstreamLoad],
    ) -> BTreeMap<ServiceName, WindowLoad> {
        self.meters.retain(|name, _| view.tables.contains_key(name));
        let mut all = BTreeMap::new();
        for (name, table) in &view.tables {
            let own: Vec<_> = replies.iter().filter(|r| r.service == *name).collect();
            if !own.is_empty() {
                all.insert(name.clone(), self.close_service(name, table, &own));
            }
        }
        all
    }

    fn close_service(
        &mut self,
        name: &ServiceName,
        table: &Table,
        replies: &[&UpstreamLoad],
    ) -> WindowLoad {
        let count = table.shard_count();
        let fresh = || (Meter::new(count, 1, HISTORY_WEIGHT), Load::default());
        let known = self.meters.entry(name.clone()).or_insert_with(fresh);
        if !known.1.shards.is_empty() && known.1.shards.len() != table.replica_sets().len() {
            *known = fresh();
        }
        let (meter, last) = known;
        let mut sketch = HotKeys::new(SKETCH_COUNTERS);
        let mut closed = WindowLoad::default();
        let mut total = 0u64;
        for reply in replies {
            for &(shard, requests) in &reply.shards {
                meter.observe_shard(shard, requests.into());
                total += u64::from(requests);
            }
            for hot in &reply.hot {
                sketch.observe(hot.key, hot.count - hot.error.min(hot.count));
            }
            if reply.unavailable > 0 {
                let seconds = f64::from(reply.unavailable) / 1000.0;
                *closed
                    .unavailable
                    .entry(reply.upstream.clone())
                    .or_default() += seconds;
            }
        }
        let answered = |upstream: &UpstreamName| replies.iter().any(|r| r.upstream == *upstream);
        let silent: Vec<_> = table.live_members().filter(|(_, u)| !answered(u)).collect();
        let mut replica_sets = (0..).map(Shard).zip(table.replica_sets());
        let open = replica_sets
            .clone()
            .filter(|(_, s)| silent.iter().all(|(m, _)| *m != s.owner));
        let mean = total / (open.count() as u64).max(1);
        for (shard, _) in replica_sets
            .by_ref()
            .filter(|(_, s)| silent.iter().any(|(m, _)| *m == s.owner))
        {
            meter.observe_shard(
                shard,
                last.shards
                    .get(shard.0 as usize)
                    .map_or(mean, |&l| to_count(l)),
            );
        }
        closed.silent = silent.into_iter().map(|(_, u)| u.clone()).collect();
        closed.load = Load {
            hot: Vec::new(),
            ..meter.end_window(0)
        };
        closed.hot = sketch
            .top(super::HOT_KEYS)
            .into_iter()
            .map(key_load)
            .collect();
        last.clone_from(&closed.load);
        closed
    }
}

fn key_load(hot: trefoil_placement::HotKey) -> KeyLoad {
    let load = u32::try_from(hot.count).unwrap_or(u32::MAX);
    KeyLoad {
        key: hot.key,
        load: load.into(),
    }
}

fn to_count(load: f64) -> u64 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a smoothed count is not negative and far below 2^53"
    )]
    let count = load.round() as u64;
    count
}

/// Queries the load of a window at all live hosts. Hosts that do not answer are ignored.
pub async fn collect(
    shared: &Shared,
    dispatchers: &Dispatchers,
    window: Window,
) -> Vec<UpstreamLoad> {
    let view = shared.view();
    let hosts: Vec<_> = view.hosts.values().collect();
    let mut replies = Vec::new();
    for chunk in hosts.chunks(QUERY_CONCURRENCY) {
        let asked: Vec<_> = chunk
            .iter()
            .map(|host| smol::spawn(query_load(shared, dispatchers, host, view.revision, window)))
            .collect();
        for answer in asked {
            replies.extend(answer.await.unwrap_or_default());
        }
    }
    replies
}

fn query_load(
    shared: &Shared,
    dispatchers: &Dispatchers,
    host: &HostRecord,
    revision: Revision,
    window: Window,
) -> Boxed<Option<Vec<UpstreamLoad>>> {
    if host.id == shared.host.id {
        let own = dispatchers.loads(window);
        return async move { Some(own) }.boxed();
    }
    let message = Message::Load {
        sender: revision,
        window,
    };
    let reply = query_host(shared, &dispatchers.peers(), host, &message);
    async move {
        match reply.await? {
            Reply::Load { loads } => Some(truncate_to_frame(loads)),
            _ => None,
        }
    }
    .boxed()
}

/// Sends a control message to another host and returns its reply, or `None` on an error or timeout.
pub fn query_host(
    shared: &Shared,
    peers: &Arc<dyn Peers>,
    host: &HostRecord,
    message: &Message,
) -> Boxed<Option<Reply>> {
    let (peers, address) = (Arc::clone(peers), host.addresses.peer);
    let (message, timeout) = (encode(message), shared.clock.sleep(QUERY_TIMEOUT));
    async move {
        let message = message.ok()?;
        let answer = async { peers.call(address, message).await.ok() };
        let timeout = async {
            timeout.await;
            None
        };
        decode::<Reply>(&answer.or(timeout).await?).ok()
    }
    .boxed()
}
