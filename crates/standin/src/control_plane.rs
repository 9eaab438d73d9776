//! What operators and the platform itself write into the store.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{Value, json};
use trefoil_store::{Append, KeyedRecord, PartitionId, Store, StoreError, Topic};

/// Topic of the operators' configuration.
const CONFIG_TOPIC: Topic = Topic::fixed("keyed.op");

/// Topic in which upstreams register.
pub(crate) const REGISTRY_TOPIC: Topic = Topic::fixed("keyed.servers");

/// Writes as operators and the platform do.
#[derive(Debug, Clone)]
pub struct ControlPlane {
    store: Arc<dyn Store>,
}

impl ControlPlane {
    /// Writes into `store`, which should have no faults: the platform's own writes meet none.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Writes a configuration.
    ///
    /// # Errors
    ///
    /// Fails if the store does not take it.
    pub fn write_config(&self, config: &Value) -> Result<(), StoreError> {
        self.write_keyed(CONFIG_TOPIC, "config", &config.to_string())
    }

    /// Writes an entry of the registry as it is.
    ///
    /// # Errors
    ///
    /// Fails if the store does not take it.
    pub fn write_registration(&self, key: &str, entry: &str) -> Result<(), StoreError> {
        self.write_keyed(REGISTRY_TOPIC, key, entry)
    }

    /// Removes an entry of the registry, as the platform does after three missed heartbeats.
    ///
    /// # Errors
    ///
    /// Fails if the store does not take it.
    pub fn remove_registration(&self, name: &str) -> Result<(), StoreError> {
        // A record without a value removes its key.
        let length = u8::try_from(name.len()).map_err(|e| rejected(&e))?;
        let key = [&[length], name.as_bytes()].concat();
        self.append(REGISTRY_TOPIC, Bytes::from(key))
    }

    fn write_keyed(&self, topic: Topic, key: &str, value: &str) -> Result<(), StoreError> {
        let record = KeyedRecord::set(key, Bytes::from(value.to_owned()));
        let record = record.ok_or_else(|| rejected(&"no key or no value"))?;
        self.append(topic, record.encode())
    }

    fn append(&self, topic: Topic, record: Bytes) -> Result<(), StoreError> {
        let append = Append::new(PartitionId::first(topic), record);
        smol::block_on(self.store.append(append)).map(|_| ())
    }
}

fn rejected<E>(reason: &E) -> StoreError
where
    E: ToString,
{
    StoreError::Rejected {
        reason: reason.to_string(),
    }
}

/// The configuration of the tests: `/read/` may be repeated, `/write/` must not be, and `/keyed/`
/// leads to a service that is divided by keys.
pub fn test_config(version: u64) -> Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "host": "shop.example", "pathPrefix": prefix, "routeType": kind, "service": service,
            "timeoutMs": 1500, "targetLatencyMs": 800, "attempts": 2, "priority": 0,
        })
    };
    json!({
        "version": version,
        "routes": {
            "read": route("/read/", "idempotent", "plain"),
            "write": route("/write/", "non_idempotent", "plain"),
            "keyed": route("/keyed/", "idempotent", "keys"),
        },
        "services": {
            "plain": { "healthCheckPath": "/healthz", "maxConnections": 100 },
            "keys": { "healthCheckPath": "/healthz", "maxConnections": 100, "sharded": true },
        },
        "limits": {
            "maxHeaderBytes": 8192, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 10000,
        },
    })
}
