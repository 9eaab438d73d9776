//! Server side of a caller's connection.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_lite::FutureExt;
use futures_lite::future::BoxedLocal;
use http::StatusCode;
use smol::{LocalExecutor, Task};
use trefoil_core::ManualClock;
use trefoil_http::h1::{
    Answer, Handler, Limits, MemoryShare, RejectReason, Request, RequestHead, Reservation,
    ServerConnection, Shutdown,
};

use super::pipe::{Peer, connection, run_until_idle};

const LIMITS: Limits = Limits {
    head: 512,
    body: 64,
    request_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Events of requests, by path.
#[derive(Debug, Default)]
struct Events {
    started: Vec<String>,
    bodies: Vec<Bytes>,
    cancelled: Vec<String>,
    /// Requests that wait until the test answers them.
    open: BTreeMap<String, smol::channel::Sender<()>>,
}

/// Handler that answers each request with its path when the test requests it. Paths that begin with
/// `/safe` may overlap, and those that contain `now` are answered at once.
#[derive(Debug, Default)]
struct ScriptedHandler {
    events: RefCell<Events>,
    memory: Option<MemoryShare>,
    /// Largest head, if it is not that of [`LIMITS`].
    head: Option<usize>,
}

/// Records that a request was dropped before its answer.
struct CancelGuard {
    script: Rc<ScriptedHandler>,
    path: String,
    done: bool,
    _memory: Reservation,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.done {
            let path = self.path.clone();
            self.script.events.borrow_mut().cancelled.push(path);
        }
    }
}

impl Handler for ScriptedHandler {
    fn limits(&self) -> Limits {
        Limits {
            head: self.head.unwrap_or(LIMITS.head),
            ..LIMITS
        }
    }

    fn memory(&self) -> Option<MemoryShare> {
        self.memory.clone()
    }

    fn may_overlap(&self, head: &RequestHead) -> bool {
        head.path().starts_with("/safe")
    }

    fn handle(self: Rc<Self>, request: Request) -> BoxedLocal<Answer> {
        let path = request.head.target.clone();
        let (sender, receiver) = smol::channel::bounded(1);
        {
            let mut events = self.events.borrow_mut();
            events.started.push(path.clone());
            events.bodies.push(request.body);
            if path.contains("now") {
                sender.try_send(()).expect("there is room");
            } else {
                events.open.insert(path.clone(), sender);
            }
        }
        async move {
            let mut guard = CancelGuard {
                script: self,
                path: path.clone(),
                done: false,
                _memory: request.memory,
            };
            receiver.recv().await.expect("the test answers");
            guard.done = true;
            let mut answer = Answer::empty(StatusCode::OK);
            answer.body = path.into();
            answer
        }
        .boxed_local()
    }

    fn reject(&self, reason: RejectReason) -> Answer {
        Answer::empty(reason.status())
    }
}

/// Connection whose caller is the test.
pub(super) struct Fixture {
    executor: LocalExecutor<'static>,
    clock: ManualClock,
    script: Rc<ScriptedHandler>,
    stop: Rc<Shutdown>,
    pub(super) peer: Peer,
    server: Task<()>,
}

impl Fixture {
    fn new() -> Self {
        Self::create(1 << 20, ScriptedHandler::default())
    }

    fn with_capacity(capacity: usize) -> Self {
        Self::create(capacity, ScriptedHandler::default())
    }

    /// Creates a connection whose requests take their memory from a share.
    pub(super) fn with_memory(share: &MemoryShare) -> Self {
        let script = ScriptedHandler {
            memory: Some(share.clone()),
            head: Some(64 * 1024),
            ..ScriptedHandler::default()
        };
        Self::create(1 << 20, script)
    }

    fn create(capacity: usize, script: ScriptedHandler) -> Self {
        let executor = LocalExecutor::new();
        let (clock, script, stop) = (ManualClock::default(), Rc::new(script), Rc::default());
        let (stream, peer) = connection(capacity);
        let handler: Rc<ScriptedHandler> = Rc::clone(&script);
        let server =
            ServerConnection::new(stream, handler, Arc::new(clock.clone()), Rc::clone(&stop));
        let server = executor.spawn(server.run());
        run_until_idle(&executor);
        Self {
            executor,
            clock,
            script,
            stop,
            peer,
            server,
        }
    }

    /// Sends bytes and lets the server process them.
    pub(super) fn send(&self, text: &str) {
        self.peer.send(text);
        run_until_idle(&self.executor);
    }

    pub(super) fn get(&self, path: &str) {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n"));
    }

    pub(super) fn answer(&self, path: &str) {
        let sender = self.script.events.borrow_mut().open.remove(path);
        let sender = sender.unwrap_or_else(|| panic!("{path} was not begun"));
        sender.try_send(()).expect("the request waits");
        run_until_idle(&self.executor);
    }

    fn advance_clock(&self, millis: u64) {
        self.clock.advance(Duration::from_millis(millis));
        run_until_idle(&self.executor);
    }

    pub(super) fn started(&self) -> Vec<String> {
        self.script.events.borrow().started.clone()
    }

    fn cancelled(&self) -> Vec<String> {
        self.script.events.borrow().cancelled.clone()
    }

    /// Returns the statuses and bodies of the answers that were received since the last call.
    pub(super) fn answers(&self) -> Vec<(u16, String)> {
        let text = self.peer.received();
        let parts = text.split("HTTP/1.1 ").skip(1);
        let answer = |part: &str| {
            let (head, body) = part.split_once("\r\n\r\n").expect("a whole head");
            let status = head[..3].parse().expect("a status");
            let length = head
                .lines()
                .find_map(|l| l.strip_prefix("content-length: "));
            assert_eq!(length, Some(body.len().to_string().as_str()), "{head}");
            (status, body.to_owned())
        };
        parts.map(answer).collect()
    }

    pub(super) fn bodies(&self) -> Vec<String> {
        self.answers().into_iter().map(|(_, body)| body).collect()
    }

    pub(super) fn has_ended(&self) -> bool {
        run_until_idle(&self.executor);
        self.server.is_finished()
    }
}

/// Guards against answers in another order than their requests, and against a pipelined idempotent
/// request that waits for earlier ones.
#[test]
fn overlapping_requests_are_answered_in_order() {
    let fixture = Fixture::new();
    fixture.get("/safe/1");
    fixture.get("/safe/2");
    fixture.get("/safe/3");
    assert_eq!(fixture.started(), ["/safe/1", "/safe/2", "/safe/3"]);
    fixture.answer("/safe/3");
    fixture.answer("/safe/2");
    assert_eq!(fixture.bodies(), [""; 0], "the first one is unanswered");
    fixture.answer("/safe/1");
    assert_eq!(fixture.bodies(), ["/safe/1", "/safe/2", "/safe/3"]);
}

/// Guards against a non-idempotent request that is started while an earlier answer may still close
/// the connection: its caller would send it again.
#[test]
fn other_requests_wait_until_nothing_is_unanswered() {
    let fixture = Fixture::new();
    fixture.get("/safe/1");
    fixture.get("/once/2");
    fixture.get("/safe/3");
    assert_eq!(fixture.started(), ["/safe/1"]);
    fixture.answer("/safe/1");
    assert_eq!(fixture.started(), ["/safe/1", "/once/2", "/safe/3"]);
    fixture.get("/once/4");
    fixture.answer("/once/2");
    fixture.answer("/safe/3");
    fixture.answer("/once/4");
    let all = ["/safe/1", "/once/2", "/safe/3", "/once/4"];
    assert_eq!(fixture.bodies(), all);
}

/// Guards against work that continues after its caller has disconnected.
#[test]
fn a_disconnect_cancels_the_requests_of_a_caller() {
    let fixture = Fixture::new();
    fixture.get("/safe/1");
    fixture.get("/safe/2");
    fixture.peer.close();
    assert!(fixture.has_ended());
    assert_eq!(fixture.cancelled(), ["/safe/1", "/safe/2"]);

    let fixture = Fixture::new();
    fixture.get("/safe/1");
    fixture.peer.reset();
    assert!(fixture.has_ended());
    assert_eq!(fixture.cancelled(), ["/safe/1"]);
}

/// Guards against requests that are executed although they follow one that closes the connection.
#[test]
fn nothing_is_read_after_a_request_that_closes() {
    let fixture = Fixture::new();
    fixture.send("GET /safe/1 HTTP/1.1\r\nconnection: close\r\n\r\nGET /safe/2 HTTP/1.1\r\n\r\n");
    assert_eq!(fixture.started(), ["/safe/1"]);
    fixture.answer("/safe/1");
    let text = fixture.peer.received();
    assert!(text.contains("connection: close\r\n"), "{text}");
    assert!(fixture.peer.is_closed());
    // Closing with unread input resets the connection, and the caller could lose the answer.
    fixture.get("/safe/3");
    assert_eq!(fixture.peer.unread(), 0);
    fixture.peer.close();
    assert!(fixture.has_ended());
    assert_eq!(fixture.started(), ["/safe/1"]);
}

/// Guards against a connection that stays open because its caller never closes it.
#[test]
fn input_after_the_last_answer_is_read_for_a_limited_time() {
    let fixture = Fixture::new();
    fixture.send("GET /now HTTP/1.1\r\nconnection: close\r\n\r\n");
    assert!(!fixture.has_ended());
    fixture.advance_clock(500);
    assert!(fixture.has_ended());
}

/// Guards against idle connections that stay open during a shutdown, and against requests that a
/// shutdown aborts.
#[test]
fn shutdown_closes_idle_connections_and_finishes_requests() {
    let idle = Fixture::new();
    idle.get("/now");
    idle.answers();
    idle.stop.close_connections();
    assert!(idle.has_ended(), "nothing is under way");

    let started = Fixture::new();
    started.send("GET /now HT");
    started.stop.close_connections();
    assert!(!started.has_ended(), "a request is arriving");
    started.send("TP/1.1\r\n\r\n");
    let text = started.peer.received();
    assert!(text.contains("connection: close\r\n"), "{text}");

    let busy = Fixture::new();
    busy.get("/safe/1");
    busy.get("/once/2");
    busy.stop.close_connections();
    assert!(!busy.has_ended());
    busy.answer("/safe/1");
    let text = busy.peer.received();
    assert!(text.contains("connection: close\r\n"), "{text}");
    assert_eq!(
        busy.started(),
        ["/safe/1"],
        "the second one is the caller's again"
    );
}

/// Guards against a connection that is opened during a shutdown and stays open.
#[test]
fn a_connection_opened_during_shutdown_is_closed_by_the_next_call() {
    let fixture = Fixture::new();
    fixture.stop.close_connections();
    fixture.stop.close_connections();
    assert!(fixture.has_ended());

    let late = Fixture::new();
    late.stop.close_connections();
    let (stream, peer) = connection(1 << 20);
    let handler: Rc<ScriptedHandler> = Rc::clone(&late.script);
    let clock = Arc::new(late.clock.clone());
    let server = ServerConnection::new(stream, handler, clock, Rc::clone(&late.stop));
    let server = late.executor.spawn(server.run());
    run_until_idle(&late.executor);
    assert!(!server.is_finished(), "its caller may be about to send");
    late.stop.close_connections();
    run_until_idle(&late.executor);
    assert!(server.is_finished());
    assert!(peer.is_closed());
}

/// Guards against callers that hold a connection without using it, or send a request too slowly.
#[test]
fn slow_callers_get_408_and_idle_ones_are_closed() {
    let idle = Fixture::new();
    idle.advance_clock(14_900);
    assert!(!idle.has_ended());
    idle.advance_clock(200);
    assert!(idle.has_ended());

    let slow = Fixture::new();
    slow.send("POST /once/1 HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc");
    slow.advance_clock(2_900);
    slow.send("d");
    slow.advance_clock(200);
    assert_eq!(slow.answers(), [(408, String::new())]);
    assert_eq!(slow.started(), [""; 0]);
}

/// Guards against a caller that holds the memory of its answers by not reading them.
#[test]
fn a_caller_that_does_not_read_is_closed() {
    let fixture = Fixture::with_capacity(20);
    fixture.get("/now");
    assert_eq!(fixture.peer.discard(10), 10);
    fixture.advance_clock(9_900);
    assert!(!fixture.has_ended());
    fixture.advance_clock(200);
    assert!(fixture.has_ended());
}

/// Guards against requests that exceed a limit and are handled, or rejected with another status.
#[test]
fn limits_are_answered_with_their_status() {
    let cases = [
        ("GET /now HTTP/1.1\r\nx: ", 600, 431),
        ("POST /now HTTP/1.1\r\ncontent-length: 65\r\n\r\n", 0, 413),
        (
            "POST /now HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n41\r\n",
            65,
            413,
        ),
        ("GET /now HTTP/3.7\r\n\r\n", 0, 400),
        ("GET /now\r\n\r\n", 0, 400),
    ];
    for (head, more, status) in cases {
        let fixture = Fixture::new();
        fixture.send(head);
        fixture.send(&"x".repeat(more));
        assert_eq!(fixture.answers(), [(status, String::new())], "{head:?}");
        assert_eq!(fixture.started(), [""; 0], "{head:?}");
        assert!(fixture.peer.is_closed(), "{head:?}");
    }
}

/// Guards against bodies that lose or gain bytes depending on how the network splits them.
#[test]
fn bodies_do_not_depend_on_segmentation() {
    let requests = [
        "POST /now HTTP/1.1\r\ncontent-length: 11\r\n\r\nhello world",
        "POST /now HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
         5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nignored: yes\r\n\r\n",
    ];
    for request in requests {
        for cut in 0..request.len() {
            let fixture = Fixture::new();
            fixture.send(&request[..cut]);
            fixture.send(&request[cut..]);
            fixture.get("/now/2");
            let events = fixture.script.events.borrow();
            assert_eq!(
                events.bodies,
                ["hello world", ""],
                "{request:?} cut at {cut}"
            );
        }
    }
}

/// Guards against a caller that waits in vain for permission to send its body.
#[test]
fn a_caller_that_expects_100_continue_receives_it() {
    let fixture = Fixture::new();
    fixture.send("POST /now HTTP/1.1\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n");
    assert_eq!(fixture.peer.received(), "HTTP/1.1 100 Continue\r\n\r\n");
    fixture.send("ok");
    assert_eq!(fixture.answers(), [(200, "/now".to_owned())]);
}

/// Guards against a body in the answer to a HEAD request, which would be read as the next answer.
#[test]
fn the_answer_to_a_head_request_has_no_body() {
    let fixture = Fixture::new();
    fixture.send("HEAD /now HTTP/1.1\r\n\r\n");
    let text = fixture.peer.received();
    assert!(text.ends_with("\r\n\r\n"), "{text}");
    fixture.get("/now/2");
    assert_eq!(fixture.bodies(), ["/now/2"]);
}

/// Guards against an HTTP/1.0 caller that waits in vain for the end of the connection.
#[test]
fn an_http_1_0_connection_is_closed_after_the_answer() {
    let fixture = Fixture::new();
    fixture.send("GET /now HTTP/1.0\r\n\r\n");
    assert_eq!(fixture.bodies(), ["/now"]);
    assert!(fixture.peer.is_closed());
    let kept = Fixture::new();
    kept.send("GET /now HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
    assert_eq!(kept.bodies(), ["/now"]);
    assert!(!kept.peer.is_closed());
}

/// Guards against a caller that exhausts memory by pipelining requests without reading answers.
#[test]
fn a_long_pipeline_stays_in_the_socket_buffer() {
    let fixture = Fixture::new();
    for i in 0..20 {
        fixture.get(&format!("/safe/{i}"));
    }
    assert_eq!(fixture.started().len(), 16);
    fixture.answer("/safe/0");
    assert_eq!(fixture.started().len(), 17);

    let long = Fixture::new();
    long.get("/once/1");
    long.get("/once/2");
    for _ in 0..4000 {
        long.get("/once/more");
    }
    assert!(
        long.peer.unread() > 0,
        "the program reads no more than it allows"
    );
    assert_eq!(long.started(), ["/once/1"]);
}

/// Guards against a caller that sends without end and keeps the thread from all other tasks.
#[test]
fn a_caller_that_sends_without_end_lets_others_run() {
    let closing = "GET /now HTTP/1.1\r\nconnection: close\r\n\r\n";
    let open = "GET /safe/1 HTTP/1.1\r\nconnection: close\r\n\r\n";
    let body = "POST /once/1 HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n";
    for start in [closing, open, body] {
        let fixture = Fixture::new();
        fixture.send(start);
        fixture.peer.send("noise: 1\r\n".repeat(200_000));
        assert!(fixture.executor.try_tick());
        assert!(fixture.peer.unread() > 1 << 20, "{start:?}");
        run_until_idle(&fixture.executor);
        assert_eq!(fixture.peer.unread(), 0, "{start:?}");
    }
    let fixture = Fixture::new();
    fixture.peer.send("GET /now HTTP/1.1\r\n\r\n".repeat(1000));
    assert!(fixture.executor.try_tick());
    assert!(fixture.started().len() < 100);
    run_until_idle(&fixture.executor);
    assert_eq!(fixture.started().len(), 1000);
}

/// Guards against a connection that is closed too early after a request that was answered at once:
/// its caller may be about to send the next one.
#[test]
fn the_idle_time_begins_with_the_last_answer() {
    let fixture = Fixture::new();
    fixture.advance_clock(14_900);
    fixture.get("/now");
    assert_eq!(fixture.bodies(), ["/now"]);
    fixture.advance_clock(14_900);
    assert!(!fixture.has_ended());
    fixture.advance_clock(200);
    assert!(fixture.has_ended());
}

/// Guards against idle callers that take up all connections, and against the loss of requests when
/// connections are closed for new ones.
#[test]
fn idle_connections_are_closed_for_new_ones() {
    let second = Duration::from_secs(1);
    let idle = Fixture::new();
    idle.advance_clock(900);
    idle.stop.close_idle(1, second);
    assert!(!idle.has_ended(), "it was idle for less");
    idle.get("/now");
    idle.answers();
    idle.advance_clock(900);
    idle.stop.close_idle(1, second);
    assert!(!idle.has_ended(), "it had a request");
    idle.advance_clock(100);
    idle.stop.close_idle(0, second);
    assert!(!idle.has_ended(), "none is too many");
    idle.stop.close_idle(1, second);
    assert!(idle.has_ended());

    let busy = Fixture::new();
    busy.get("/safe/1");
    let partial = Fixture::new();
    partial.send("GET /now HT");
    for fixture in [busy, partial] {
        fixture.advance_clock(2000);
        fixture.stop.close_idle(1, second);
        assert!(!fixture.has_ended());
    }
}
