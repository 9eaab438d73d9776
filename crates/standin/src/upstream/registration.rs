//! The registry entry of an upstream.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::Bytes;
use serde_json::json;
use trefoil_store::{Append, KeyedRecord, PartitionId};

use super::Upstream;
use crate::control_plane::REGISTRY_TOPIC;

/// Time between two heartbeats.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// Writes the entry once per [`HEARTBEAT_INTERVAL`].
pub(super) async fn send_heartbeats(upstream: Arc<Upstream>) {
    loop {
        let sequence = upstream.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let (draining, warm_at) = {
            let state = upstream.lock();
            (state.draining, state.warm_at)
        };
        let left = warm_at.map(|at| at.saturating_duration_since(Instant::now()));
        let spec = &upstream.spec;
        let entry = json!({
            "service": spec.service,
            "address": upstream.advertised,
            "zone": spec.domain,
            "version": "v1",
            "slots": spec.slots,
            "state": if draining { "draining" } else { "ready" },
            "warmupLeftMs": left.unwrap_or_default().as_secs_f64() * 1000.0,
            "sequence": sequence,
            "born": upstream.started,
        });
        if let Some(record) = KeyedRecord::set(&spec.name, Bytes::from(entry.to_string())) {
            let append = Append::new(PartitionId::first(REGISTRY_TOPIC), record.encode());
            // The next heartbeat replaces one that the store does not accept.
            let _ = upstream.store.append(append).await;
        }
        smol::Timer::after(HEARTBEAT_INTERVAL).await;
    }
}
