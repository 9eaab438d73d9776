//! Writes of operators and of the platform itself to the store.

use std::sync::Arc;

use bytes::Bytes;
use serde_json::{Value, json};
use trefoil_store::{Append, KeyedRecord, PartitionId, Store, StoreError, Topic};

/// Topic of the configuration, which operators write.
const CONFIG_TOPIC: Topic = Topic::fixed("keyed.op");

/// Topic of the registry, in which upstreams register.
pub(crate) const REGISTRY_TOPIC: Topic = Topic::fixed("keyed.servers");

/// Writes configurations and registry entries in place of operators and the platform.
#[derive(Debug, Clone)]
pub struct ControlPlane {
    store: Arc<dyn Store>,
}

impl ControlPlane {
    /// Creates a control plane that writes to `store`. Pass a store without fault injection,
    /// because faults never affect the platform's own writes.
    pub fn new(store: Arc<dyn Store>) -> Self {
        Self { store }
    }

    /// Writes a configuration.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it does not accept the record.
    pub fn write_config(&self, config: &Value) -> Result<(), StoreError> {
        self.write_keyed(CONFIG_TOPIC, "config", &config.to_string())
    }

    /// Writes a registry entry verbatim, even if it is malformed.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it does not accept the record.
    pub fn write_registration(&self, key: &str, entry: &str) -> Result<(), StoreError> {
        self.write_keyed(REGISTRY_TOPIC, key, entry)
    }

    /// Removes a registry entry, as the platform does after three missed heartbeats.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it does not accept the record.
    pub fn remove_registration(&self, name: &str) -> Result<(), StoreError> {
        self.remove_keyed(REGISTRY_TOPIC, name)
    }

    /// Evacuates a failure domain.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it does not accept the record.
    pub fn evacuate(&self, domain: &str) -> Result<(), StoreError> {
        self.write_keyed(CONFIG_TOPIC, &evacuation_key(domain), "{}")
    }

    /// Ends the evacuation of a failure domain.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it does not accept the record.
    pub fn end_evacuation(&self, domain: &str) -> Result<(), StoreError> {
        self.remove_keyed(CONFIG_TOPIC, &evacuation_key(domain))
    }

    /// Writes again what operators and upstreams had written, out of all that a store has lost.
    ///
    /// # Errors
    ///
    /// Returns the error of the store if it does not accept a record.
    pub fn write_again(&self, lost: Vec<Append>) -> Result<(), StoreError> {
        let own = lost
            .into_iter()
            .filter(|append| [CONFIG_TOPIC, REGISTRY_TOPIC].contains(&append.partition.topic));
        for append in own {
            smol::block_on(self.store.append(append))?;
        }
        Ok(())
    }

    fn write_keyed(&self, topic: Topic, key: &str, value: &str) -> Result<(), StoreError> {
        let record = KeyedRecord::set(key, Bytes::from(value.to_owned()));
        let record = record
            .ok_or_else(|| reject(&"a keyed record needs a key of 1 to 255 bytes and a value"))?;
        self.append(topic, record.encode())
    }

    fn remove_keyed(&self, topic: Topic, key: &str) -> Result<(), StoreError> {
        // A record without a value removes its key.
        let length = u8::try_from(key.len()).map_err(|e| reject(&e))?;
        let record = [&[length], key.as_bytes()].concat();
        self.append(topic, Bytes::from(record))
    }

    fn append(&self, topic: Topic, record: Bytes) -> Result<(), StoreError> {
        let append = Append::new(PartitionId::first(topic), record);
        smol::block_on(self.store.append(append)).map(|_| ())
    }
}

fn evacuation_key(domain: &str) -> String {
    format!("evacuate/{domain}")
}

fn reject<E>(reason: &E) -> StoreError
where
    E: ToString,
{
    StoreError::Rejected {
        reason: reason.to_string(),
    }
}

/// Returns the configuration that the tests use. Requests to `/read/` are idempotent and those to
/// `/write/` are not; both go to the service `plain`. `/keyed/` leads to the sharded service
/// `keys`.
pub fn test_config(version: u64) -> Value {
    let route = |prefix: &str, route_type: &str, service: &str| {
        json!({
            "host": "shop.example", "pathPrefix": prefix, "routeType": route_type,
            "service": service, "timeoutMs": 1500, "targetLatencyMs": 800, "attempts": 2,
            "priority": 0,
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
