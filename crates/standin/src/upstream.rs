//! Upstreams that speak the platform's protocol, and a recorder of what they run.
//!
//! Such an upstream registers itself in the store, runs up to `slots` requests at once, and, if its
//! service is divided by keys, only those whose keys it holds. A test can make it misbehave.

mod connection;
mod grants;
mod recorder;
mod registration;

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use smol::{Async, Task};
use trefoil_core::{Clock, SystemClock};
use trefoil_store::Store;

use grants::KeyGrants;
pub use recorder::{Run, RunRecorder};

/// What an upstream is.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// Its id in the registry.
    pub name: String,
    /// Its service.
    pub service: String,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once; it refuses others.
    pub slots: u32,
    /// Time that it works on a request.
    pub service_time: Duration,
    /// Whether its service is divided by keys.
    pub sharded: bool,
}

/// How an upstream treats the requests that it runs from now on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// It answers them.
    #[default]
    Normal,
    /// It runs them and resets the connection instead of answering.
    Reset,
    /// It runs them and breaks off in the middle of the answer.
    Truncate,
    /// It answers, and sends a second answer to the same request afterwards.
    Duplicate,
    /// It refuses them and says that they did not run.
    Refuse,
    /// It runs them and answers 500.
    Fail,
    /// It answers without its signature.
    Unsigned,
    /// It begins them and never answers.
    Hang,
}

#[derive(Debug, Default)]
struct State {
    response_mode: ResponseMode,
    active: u32,
    draining: bool,
    grants: KeyGrants,
    tasks: Vec<Task<()>>,
}

/// An upstream. It ends when it crashes or leaves.
#[derive(Debug)]
pub struct Upstream {
    spec: UpstreamSpec,
    /// Start of this life in milliseconds since the Unix epoch.
    started: u64,
    address: SocketAddr,
    /// Where callers reach it; something may stand in between.
    advertised: SocketAddr,
    sequence: AtomicU64,
    state: Mutex<State>,
    store: Arc<dyn Store>,
    recorder: Arc<RunRecorder>,
}

impl Upstream {
    /// Starts an upstream and registers it in the store, at the address that `advertise` returns for
    /// the one that it listens on.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start<F>(
        spec: UpstreamSpec,
        store: Arc<dyn Store>,
        recorder: &Arc<RunRecorder>,
        advertise: F,
    ) -> std::io::Result<Arc<Self>>
    where
        F: FnOnce(SocketAddr) -> std::io::Result<SocketAddr>,
    {
        let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.get_ref().local_addr()?;
        let upstream = Arc::new(Self {
            spec,
            started: SystemClock.unix().0,
            address,
            advertised: advertise(address)?,
            sequence: AtomicU64::new(0),
            state: Mutex::default(),
            store,
            recorder: Arc::clone(recorder),
        });
        recorder.add_upstream(&upstream);
        let acceptor = smol::spawn(accept(Arc::clone(&upstream), listener));
        let heartbeat = smol::spawn(registration::send_heartbeats(Arc::clone(&upstream)));
        upstream.lock().tasks = vec![acceptor, heartbeat];
        Ok(upstream)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its id.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// What it is.
    pub fn spec(&self) -> &UpstreamSpec {
        &self.spec
    }

    /// Changes how it treats requests.
    pub fn set_response_mode(&self, mode: ResponseMode) {
        self.lock().response_mode = mode;
    }

    /// Says that it is leaving; it goes on serving.
    pub fn drain(&self) {
        self.lock().draining = true;
        self.sequence.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends without a word: its connections close and its entry stays until the registry drops it.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.grants = KeyGrants::default();
        let tasks = std::mem::take(&mut state.tasks);
        drop(state);
        drop(tasks);
        self.recorder.remove_upstream(self);
    }
}

async fn accept(upstream: Arc<Upstream>, listener: Async<TcpListener>) {
    while let Ok((stream, _)) = listener.accept().await {
        let task = smol::spawn(serve(Arc::clone(&upstream), stream));
        let mut state = upstream.lock();
        state.tasks.retain(|task| !task.is_finished());
        state.tasks.push(task);
    }
}

async fn serve(upstream: Arc<Upstream>, stream: Async<TcpStream>) {
    // The caller sees the end of the connection; there is nobody else to tell.
    let _ = connection::Connection::new(upstream, stream).run().await;
}
