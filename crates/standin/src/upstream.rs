//! Test doubles of upstreams that implement the platform's protocol, and a recorder of their runs.
//!
//! Such an upstream registers itself in the store and runs up to `slots` requests concurrently. If
//! its service is sharded, it runs only requests for keys that it holds under an unexpired grant. A
//! test selects faults of its responses with a [`ResponseMode`].

mod connection;
mod grants;
mod recorder;
mod registration;

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use smol::{Async, Task};
use trefoil_core::{Clock, SystemClock};
use trefoil_store::Store;

use grants::KeyGrants;
pub use recorder::{Run, RunRecorder};

/// The static properties of an upstream.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// Id in the registry.
    pub name: String,
    /// Service that it belongs to.
    pub service: String,
    /// Failure domain.
    pub domain: String,
    /// Maximum number of concurrent requests; it refuses requests beyond that.
    pub slots: u32,
    /// Duration of a request.
    pub service_time: Duration,
    /// True if the keys of its service are divided among its upstreams.
    pub sharded: bool,
}

/// Time by which [`ResponseMode::RepeatOrderAnswer`] delays a release.
pub const LATE_RELEASE: Duration = Duration::from_millis(1_500);

/// Length of the body that [`ResponseMode::LongBody`] sends, in bytes.
pub const LONG_BODY: usize = 8 * 1024 * 1024;

/// A way to respond to requests, most of them faulty.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ResponseMode {
    /// Runs the request and answers it.
    #[default]
    Normal,
    /// Runs the request and closes the connection without an answer.
    Reset,
    /// Runs the request and closes the connection in the middle of the answer's body.
    Truncate,
    /// Runs the request and closes the connection in the middle of the answer's head, before its
    /// length.
    TruncateHead,
    /// Runs the request and sends the answer twice.
    Duplicate,
    /// Refuses the request and states that it did not run.
    Refuse,
    /// Runs the request and answers with status 500.
    Fail,
    /// Runs the request and answers with status 504.
    TimeOut,
    /// Runs the request and answers without the seal that proves the answer's origin.
    Unsigned,
    /// Starts the request and never answers.
    Hang,
    /// Runs the request and sends interim heads until the caller closes the connection.
    EndlessHeads,
    /// Runs the request and sends one header field until the caller closes the connection.
    EndlessField,
    /// Runs the request and sends a body until the caller closes the connection.
    EndlessBody,
    /// Refuses the first request of each connection, and sends the refusal once more at the start
    /// of every later one, which runs.
    RepeatRefusal,
    /// Sends the answer to the previous order of the connection once more when a release arrives,
    /// and carries out the release [`LATE_RELEASE`] later.
    RepeatOrderAnswer,
    /// Answers orders without the id of the call.
    AnonymousOrders,
    /// Runs the request and answers with a body of [`LONG_BODY`] bytes.
    LongBody,
    /// Runs and answers requests beyond its slots instead of refusing them.
    Unbounded,
}

#[derive(Debug, Default)]
struct State {
    response_mode: ResponseMode,
    /// Requests a second that its answers name as its limit.
    limit: Option<f64>,
    /// End of its warm-up.
    warm_at: Option<Instant>,
    active: u32,
    draining: bool,
    grants: KeyGrants,
    tasks: Vec<Task<()>>,
}

/// An upstream. It serves until [`Upstream::crash`] is called.
#[derive(Debug)]
pub struct Upstream {
    spec: UpstreamSpec,
    /// Start of this incarnation in milliseconds since the Unix epoch.
    started: u64,
    address: SocketAddr,
    /// Address in the registry. It may be that of a proxy in front of `address`.
    advertised: SocketAddr,
    /// Version of the registry entry.
    sequence: AtomicU64,
    state: Mutex<State>,
    store: Arc<dyn Store>,
    recorder: Arc<RunRecorder>,
}

impl Upstream {
    /// Starts an upstream and registers it in the store. `advertise` maps the address that it
    /// listens on to the address that it registers.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound or if `advertise` fails.
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

    /// Returns the id in the registry.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Returns the static properties.
    pub fn spec(&self) -> &UpstreamSpec {
        &self.spec
    }

    /// Replaces the response mode; it applies to requests that arrive afterwards.
    pub fn set_response_mode(&self, mode: ResponseMode) {
        self.lock().response_mode = mode;
    }

    /// Replaces the limit that its answers name. It does not enforce the limit.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.lock().limit = limit;
    }

    /// Begins a warm-up, which its next registrations tell. It does not enforce a limit.
    pub fn warm_up(&self, span: Duration) {
        self.lock().warm_at = Some(Instant::now() + span);
    }

    /// Announces in the registry that it is leaving, and continues to serve.
    pub fn drain(&self) {
        self.lock().draining = true;
        self.sequence.fetch_add(1, Ordering::SeqCst);
    }

    /// Stops without notice. Its connections close, and its entry remains until the registry
    /// removes it.
    pub fn crash(&self) {
        let mut state = self.lock();
        state.grants = KeyGrants::default();
        let tasks = std::mem::take(&mut state.tasks);
        drop(state);
        drop(tasks);
        self.recorder.remove_upstream(self);
    }
}

/// Accepts connections and serves each in a task of its own.
async fn accept(upstream: Arc<Upstream>, listener: Async<TcpListener>) {
    while let Ok((stream, _)) = listener.accept().await {
        let task = smol::spawn(serve(Arc::clone(&upstream), stream));
        let mut state = upstream.lock();
        state.tasks.retain(|task| !task.is_finished());
        state.tasks.push(task);
    }
}

async fn serve(upstream: Arc<Upstream>, stream: Async<TcpStream>) {
    // A failure ends the connection, which the client notices; nothing else depends on it.
    let _ = connection::Connection::new(upstream, stream).run().await;
}
