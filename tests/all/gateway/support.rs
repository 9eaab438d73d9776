//! Hosts in the process of the test.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use trefoil_core::{QueueClock, SystemClock};
use trefoil_gateway::{
    Bounds, Host, HostConfig, LostLines, Memory, Metrics, ProcessLimits, Telemetry,
};
use trefoil_platform::UsersPlatform;
use trefoil_store::Store;

/// Settings of a host in the failure domain `a` that listens on no address.
pub fn settings(number: usize) -> HostConfig {
    let unused: SocketAddr = "127.0.0.1:0".parse().expect("an address");
    HostConfig {
        name: format!("entry-{number}").parse().expect("a name"),
        domain: "a".parse().expect("a name"),
        cores: 1.0,
        caller: unused,
        ready: unused,
        peer: unused,
        operator: unused,
        limits: ProcessLimits::default(),
        bounds: Bounds::default(),
    }
}

/// A host that logs nothing.
pub fn host(config: HostConfig, store: Arc<dyn Store>) -> Rc<Host> {
    let telemetry = Telemetry {
        log: slog::Logger::root(slog::Discard, slog::o!()),
        metrics: Metrics::new(LostLines::default()),
    };
    let memory = Memory::new(config.limits.memory);
    let (clock, platform) = (Arc::new(SystemClock), Rc::new(UsersPlatform::new()));
    Host::new(config, memory, clock, telemetry, platform, store)
}

/// Runs a future with the event loop of the hosts.
pub fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    trefoil_reactor::block_on(&QueueClock::default(), future).expect("the event loop works")
}
