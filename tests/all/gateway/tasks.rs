//! Tasks that must not end.

use std::future::pending;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use trefoil_core::SystemClock;
use trefoil_gateway::{ServeError, serve};
use trefoil_store::MemoryStore;

use super::support;

/// Guards against a host that goes on without one of its tasks, such as the one that follows the
/// configuration, and decides by old data.
#[test]
fn a_host_stops_when_a_permanent_task_panics() {
    let store = Arc::new(MemoryStore::new(Arc::new(SystemClock)));
    let host = support::host(support::settings(1), store);
    let _task = host.spawn_permanent("probe", async { panic!("a fault of the task") });
    let limit = async {
        smol::Timer::after(Duration::from_secs(15)).await;
        panic!("the host goes on");
    };
    let serving = serve(Rc::clone(&host), pending());
    let executor = Rc::clone(&host.executor);
    let result = support::block_on(executor.run(serving.or(limit)));
    assert!(
        matches!(result, Err(ServeError::TaskEnded { name: "probe" })),
        "{result:?}"
    );
}

/// Guards against an error in the handling of one request that ends the host, and all of its other
/// requests with it.
#[test]
fn a_host_goes_on_when_the_task_of_a_request_panics() {
    let store = Arc::new(MemoryStore::new(Arc::new(SystemClock)));
    let host = support::host(support::settings(1), store);
    host.spawn(async { panic!("a fault of one request") })
        .detach();
    let served = async {
        host.clock.sleep(Duration::from_millis(100)).await;
        "served"
    };
    let others = host.executor.run(served);
    assert_eq!(support::block_on(others), "served");
}
