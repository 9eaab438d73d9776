//! Configuration and registrations, as the operator and the backends write them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::store::Store;

/// Time between two registrations of a backend.
const HEARTBEAT: Duration = Duration::from_millis(870);

/// A route to one service.
pub struct Route {
    pub host: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub timeout_ms: u32,
    pub service: &'static str,
}

/// Writes a configuration. `services` have a name and whether they are divided by key.
pub fn put_config(store: &Store, version: u32, routes: &[Route], services: &[(&str, bool)]) {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(number, r)| {
            format!(
                "\"r-{number}\":{{\"host\":\"{}\",\"pathPrefix\":\"{}\",\"routeType\":\"{}\",\
                 \"timeoutMs\":{},\"targetLatencyMs\":1000,\"priority\":1,\"service\":\"{}\",\
                 \"attempts\":2}}",
                r.host, r.prefix, r.kind, r.timeout_ms, r.service
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|(name, sharded)| {
            format!(
                "\"{name}\":{{\"healthCheckPath\":\"/healthz\",\"maxConnections\":430,\
                 \"protocol\":\"h1\",\"tls\":false,\"sharded\":{sharded}}}"
            )
        })
        .collect();
    let text = format!(
        "{{\"version\":{version},\"routes\":{{{}}},\"services\":{{{}}},\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    );
    store.put("keyed.op", "config", &text);
}

/// A registration of a backend.
pub struct Backend<'a> {
    pub id: &'a str,
    pub service: &'a str,
    pub zone: &'a str,
    pub address: SocketAddr,
    pub born: u128,
    pub sequence: u64,
}

/// Writes one registration of a backend.
pub fn put_backend(store: &Store, backend: &Backend<'_>) {
    let Backend { id, service, zone, address, born, sequence } = backend;
    let text = format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"v1\",\"slots\":3,\"state\":\"ready\",\"warmupLeftMs\":0,\
         \"sequence\":{sequence},\"born\":{born}}}"
    );
    store.put("keyed.servers", id, &text);
}

/// Registers a backend and repeats that with each heartbeat.
pub fn register(store: &Arc<Store>, id: &str, service: &str, address: SocketAddr) {
    let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock").as_millis();
    let (store, id, service) = (Arc::clone(store), id.to_owned(), service.to_owned());
    thread::spawn(move || {
        for sequence in 1.. {
            let (id, service) = (id.as_str(), service.as_str());
            let zone = "ub-east";
            let backend = Backend { id, service, zone, address, born, sequence };
            put_backend(&store, &backend);
            thread::sleep(HEARTBEAT);
        }
    });
}
