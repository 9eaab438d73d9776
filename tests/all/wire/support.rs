//! Hosts of a test deployment, and a handler whose behaviour depends on the path of the request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use futures_lite::future::or;
use http_body_util::BodyExt;
use smol::Timer;
use smol::channel::{Receiver, Sender, unbounded};
use trefoil_core::{Clock, KeyHash, Outcome, Revision, SystemClock};
use trefoil_wire::{
    AnswerHead, Authority, Body, BodyError, BoxFuture, Builder, Endpoint, ForwardHead, Handler,
    Identity, PeerId, Server, body,
};

/// Longest time for one test.
const TEST_MAX: Duration = Duration::from_secs(20);

/// Validity period of the certificates.
pub const DAY: Duration = Duration::from_hours(24);

/// Runs a test, which fails if it takes longer than [`TEST_MAX`].
pub fn run<F>(test: F) -> F::Output
where
    F: Future,
{
    smol::block_on(or(test, async {
        Timer::after(TEST_MAX).await;
        panic!("the test took longer than {TEST_MAX:?}");
    }))
}

/// Waits until `done` returns true, at most for 5 s.
pub async fn eventually<F>(condition: &str, done: F)
where
    F: Fn() -> bool,
{
    for _ in 0..500 {
        if done() {
            return;
        }
        Timer::after(Duration::from_millis(10)).await;
    }
    panic!("did not happen within 5 s: {condition}");
}

/// Creates an authority whose certificates are valid now.
pub fn authority() -> Authority {
    named_authority("test")
}

/// Creates an authority with this common name.
pub fn named_authority(name: &str) -> Authority {
    Authority::create(name, SystemClock.unix(), DAY).unwrap()
}

/// Issues the identity of a host.
pub fn identity(authority: &Authority, name: &str) -> Identity {
    let host = name.parse().unwrap();
    authority
        .issue_identity(&host, SystemClock.unix(), DAY)
        .unwrap()
}

/// Returns a loopback address with a port that the system chooses.
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Opens an endpoint with default settings.
pub fn open(authority: &Authority, name: &str) -> Endpoint {
    Builder::new(identity(authority, name))
        .open(loopback())
        .unwrap()
}

/// Serves the endpoint with this handler.
pub fn serve(endpoint: &Endpoint, handler: &Arc<ScriptedHandler>) -> Server {
    let handler = Arc::clone(handler);
    endpoint.serve(handler)
}

/// A host that serves and a client host that sends it requests.
pub struct Pair {
    pub authority: Authority,
    pub handler: Arc<ScriptedHandler>,
    pub server: Server,
    pub client: Endpoint,
    pub to: SocketAddr,
}

/// Starts a pair with default settings.
pub fn pair() -> Pair {
    let authority = authority();
    let handler = ScriptedHandler::new();
    let host = open(&authority, "served");
    let server = serve(&host, &handler);
    let client = open(&authority, "asking");
    Pair {
        to: host.local_addr(),
        authority,
        handler,
        server,
        client,
    }
}

/// Creates the head of a request for `path`.
pub fn head(path: &str) -> ForwardHead {
    ForwardHead {
        service: "tilbud".parse().unwrap(),
        upstream: "tilbud-1".parse().unwrap(),
        key: KeyHash::of(b"key"),
        method: "POST".to_owned(),
        path: path.to_owned(),
        headers: vec![("x-test".to_owned(), b"1".to_vec())],
        id: Some("id-1".parse().unwrap()),
        idempotent: false,
        budget: Duration::from_secs(5),
        trace: None,
        revision: Revision(7),
    }
}

/// Reads all bytes of a body.
pub async fn collect(body: Body) -> Result<Bytes, BodyError> {
    Ok(body.collect().await?.to_bytes())
}

/// Creates a body that yields the items sent to its channel and ends when the sender is dropped.
pub fn channel_body() -> (Sender<Result<Bytes, BodyError>>, Body) {
    let (send, receive) = unbounded();
    (send, Body::new(ChannelBody(Box::pin(receive))))
}

struct ChannelBody(std::pin::Pin<Box<Receiver<Result<Bytes, BodyError>>>>);

impl http_body::Body for ChannelBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<http_body::Frame<Bytes>, Self::Error>>> {
        let next = futures_lite::Stream::poll_next(self.0.as_mut(), cx);
        next.map(|item| item.map(|data| data.map(http_body::Frame::data)))
    }
}

/// Counts the end of a request when it is dropped.
struct CountOnDrop(Arc<ScriptedHandler>);

impl Drop for CountOnDrop {
    fn drop(&mut self) {
        self.0.ended.fetch_add(1, Ordering::SeqCst);
    }
}

/// Handler whose behaviour depends on the path.
#[derive(Debug, Default)]
pub struct ScriptedHandler {
    /// Number of requests that reached the handler.
    pub started: AtomicUsize,
    /// Number of requests whose future completed or was dropped.
    pub ended: AtomicUsize,
    /// Reasons of refusals.
    pub refusals: Mutex<Vec<String>>,
    /// Bodies that were read in a separate task.
    pub bodies: Mutex<Vec<Result<Bytes, BodyError>>>,
    /// Names of the peers that sent requests.
    pub peers: Mutex<Vec<PeerId>>,
}

impl ScriptedHandler {
    pub fn new() -> Arc<Self> {
        Arc::default()
    }

    pub fn started(&self) -> usize {
        self.started.load(Ordering::SeqCst)
    }

    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }

    pub fn refusals(&self) -> Vec<String> {
        self.refusals.lock().unwrap().clone()
    }
}

/// Creates the head of an answer with status 200.
pub fn ok_head() -> AnswerHead {
    AnswerHead::Answer {
        status: 200,
        headers: vec![("x-answer".to_owned(), b"2".to_vec())],
        outcome: Outcome::Done,
        revision: Revision(9),
    }
}

impl Handler for ScriptedHandler {
    fn forward(
        self: Arc<Self>,
        from: PeerId,
        head: ForwardHead,
        body: Body,
    ) -> BoxFuture<(AnswerHead, Body)> {
        self.started.fetch_add(1, Ordering::SeqCst);
        self.peers.lock().unwrap().push(from);
        let guard = CountOnDrop(Arc::clone(&self));
        Box::pin(async move {
            let _guard = guard;
            match head.path.as_str() {
                // Echoes the body of the request while it arrives.
                "/echo" => (ok_head(), body),
                // Reads the whole body, then echoes it.
                "/read" => match collect(body).await {
                    Ok(bytes) => (ok_head(), body::full(bytes)),
                    Err(e) => (
                        AnswerHead::failed(Outcome::NotRun, e.to_string(), Revision(9)),
                        body::empty(),
                    ),
                },
                // Reads the body in a task that outlives the request.
                "/task" => {
                    smol::spawn(async move {
                        let body = collect(body).await;
                        self.bodies.lock().unwrap().push(body);
                    })
                    .detach();
                    std::future::pending().await
                }
                // Never answers.
                "/hang" => std::future::pending().await,
                // Answers with a body that fails after its first chunk.
                "/cut" => {
                    let (send, body) = channel_body();
                    send.try_send(Ok(Bytes::from_static(b"begin"))).unwrap();
                    let cut = BodyError::Source {
                        reason: "upstream reset".to_owned(),
                    };
                    send.try_send(Err(cut)).unwrap();
                    (ok_head(), body)
                }
                // Answers with a body that never ends.
                "/endless" => {
                    let (send, body) = channel_body();
                    send.try_send(Ok(Bytes::from_static(b"begin"))).unwrap();
                    std::mem::forget(send);
                    (ok_head(), body)
                }
                // Answers with the budget of the received head.
                "/budget" => (ok_head(), body::full(format!("{:?}", head.budget))),
                "/panic" => panic!("handler fails as the test wants"),
                // `/late/N/TEXT` answers TEXT after N milliseconds.
                path => {
                    let mut parts = path.split('/').skip(2);
                    let millis = parts.next().and_then(|n| n.parse().ok()).unwrap_or(0);
                    Timer::after(Duration::from_millis(millis)).await;
                    let text = parts.next().unwrap_or_default().to_owned();
                    (ok_head(), body::full(text))
                }
            }
        })
    }

    fn call(self: Arc<Self>, from: PeerId, message: Bytes) -> BoxFuture<Bytes> {
        self.started.fetch_add(1, Ordering::SeqCst);
        Box::pin(async move {
            let mut answer = from.to_string().into_bytes();
            answer.push(b' ');
            answer.extend_from_slice(&message);
            answer.into()
        })
    }

    fn on_refused(&self, _from: SocketAddr, reason: &str) {
        self.refusals.lock().unwrap().push(reason.to_owned());
    }
}
