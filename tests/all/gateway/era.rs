//! Reads while the store comes back from an older copy.

use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_lite::FutureExt;
use futures_lite::future::{Boxed, pending};
use serde_json::json;
use trefoil_core::SystemClock;
use trefoil_gateway::{Host, follow};
use trefoil_standin::ControlPlane;
use trefoil_store::{
    Append, Appended, Batch, Era, MemoryStore, Newest, Page, Read, Store, StoreCopy, StoreError,
};

use super::support;

/// A store that comes back from a copy before it answers the first call for a second page.
#[derive(Debug)]
struct TornStore {
    store: MemoryStore,
    copy: Mutex<Option<StoreCopy>>,
}

impl Store for TornStore {
    fn append(&self, append: Append) -> Boxed<Result<Appended, StoreError>> {
        self.store.append(append)
    }

    fn read(&self, read: Read) -> Boxed<Result<Batch, StoreError>> {
        self.store.read(read)
    }

    fn newest(&self, newest: Newest) -> Boxed<Result<Page, StoreError>> {
        if newest.after.is_some()
            && let Some(copy) = self.copy.lock().expect("no panic").take()
        {
            self.store.restore(copy);
        }
        self.store.newest(newest)
    }

    fn era(&self) -> Era {
        self.store.era()
    }
}

fn register(control_plane: &ControlPlane, name: &str) {
    let entry = json!({
        "service": "plain", "address": "192.0.2.1:80", "zone": "a", "version": "1",
        "slots": 4, "state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": 1,
    });
    let written = control_plane.write_registration(name, &entry.to_string());
    written.expect("written");
}

fn host(store: Arc<dyn Store>) -> Rc<Host> {
    support::host(support::settings(1), store)
}

/// Guards against a list of upstreams whose pages come from before and after a return of the store,
/// so that it contains upstreams that the store has never listed together.
#[test]
fn pages_of_two_eras_are_not_joined() {
    let clock = Arc::new(SystemClock);
    let store = MemoryStore::new(clock);
    let control_plane = ControlPlane::new(Arc::new(store.clone()));
    // A page has at most 500 upstreams.
    for number in 0..600 {
        register(&control_plane, &format!("u-{number}"));
    }
    let copy = store.copy();
    register(&control_plane, "a-1");
    let copy = Mutex::new(Some(copy));
    let host = host(Arc::new(TornStore { store, copy }));
    let following = host.spawn(follow::follow_registry(Rc::clone(&host)));
    support::block_on(async {
        let timer = async {
            smol::Timer::after(Duration::from_secs(2)).await;
        };
        timer.or(host.executor.run(pending::<()>())).await;
    });
    drop(following);
    let text = host.metrics.encode().expect("encoded");
    let joined = text.lines().find(|l| l.contains("change=\"joined\""));
    let joined = joined.and_then(|l| l.rsplit(' ').next());
    assert_eq!(joined, Some("600"), "{text}");
}
