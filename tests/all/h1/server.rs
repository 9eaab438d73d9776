//! One connection of a caller.

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
    Answer, Handler, Limits, RejectReason, Request, RequestHead, ServerConnection, Shutdown,
};

use super::pipe::{Peer, connection, settle};

const LIMITS: Limits = Limits {
    head: 512,
    body: 64,
    request_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// What has happened to requests, by path.
#[derive(Debug, Default)]
struct Seen {
    begun: Vec<String>,
    bodies: Vec<Bytes>,
    cancelled: Vec<String>,
    /// Requests that wait for the test.
    open: BTreeMap<String, smol::channel::Sender<()>>,
}

/// Answers each request with its path when the test says so. Paths that begin with `/safe` may
/// overlap, and those that contain `now` are answered at once.
#[derive(Debug, Default)]
struct Script {
    seen: RefCell<Seen>,
}

/// Notes that a request was dropped before its answer.
struct Guard {
    script: Rc<Script>,
    path: String,
    done: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.done {
            let path = self.path.clone();
            self.script.seen.borrow_mut().cancelled.push(path);
        }
    }
}

impl Handler for Script {
    fn limits(&self) -> Limits {
        LIMITS
    }

    fn may_overlap(&self, head: &RequestHead) -> bool {
        head.path().starts_with("/safe")
    }

    fn handle(self: Rc<Self>, request: Request) -> BoxedLocal<Answer> {
        let path = request.head.target.clone();
        let (sender, receiver) = smol::channel::bounded(1);
        {
            let mut seen = self.seen.borrow_mut();
            seen.begun.push(path.clone());
            seen.bodies.push(request.body);
            if path.contains("now") {
                sender.try_send(()).expect("there is room");
            } else {
                seen.open.insert(path.clone(), sender);
            }
        }
        async move {
            let mut guard = Guard {
                script: self,
                path: path.clone(),
                done: false,
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

/// One connection whose caller is the test.
struct World {
    executor: LocalExecutor<'static>,
    clock: ManualClock,
    script: Rc<Script>,
    stop: Rc<Shutdown>,
    peer: Peer,
    front: Task<()>,
}

impl World {
    fn new() -> Self {
        Self::with_room(1 << 20)
    }

    fn with_room(room: usize) -> Self {
        let executor = LocalExecutor::new();
        let (clock, script, stop) = (ManualClock::default(), Rc::default(), Rc::default());
        let (stream, peer) = connection(room);
        let handler: Rc<Script> = Rc::clone(&script);
        let front =
            ServerConnection::new(stream, handler, Arc::new(clock.clone()), Rc::clone(&stop));
        let front = executor.spawn(front.run());
        settle(&executor);
        Self {
            executor,
            clock,
            script,
            stop,
            peer,
            front,
        }
    }

    /// Sends bytes and lets the program work on them.
    fn send(&self, text: &str) {
        self.peer.send(text);
        settle(&self.executor);
    }

    fn get(&self, path: &str) {
        self.send(&format!("GET {path} HTTP/1.1\r\nhost: h\r\n\r\n"));
    }

    fn answer(&self, path: &str) {
        let sender = self.script.seen.borrow_mut().open.remove(path);
        let sender = sender.unwrap_or_else(|| panic!("{path} was not begun"));
        sender.try_send(()).expect("the request waits");
        settle(&self.executor);
    }

    fn pass(&self, millis: u64) {
        self.clock.advance(Duration::from_millis(millis));
        settle(&self.executor);
    }

    fn begun(&self) -> Vec<String> {
        self.script.seen.borrow().begun.clone()
    }

    fn cancelled(&self) -> Vec<String> {
        self.script.seen.borrow().cancelled.clone()
    }

    /// Statuses and bodies of the answers that have arrived since the last call.
    fn answers(&self) -> Vec<(u16, String)> {
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

    fn bodies(&self) -> Vec<String> {
        self.answers().into_iter().map(|(_, body)| body).collect()
    }

    fn has_ended(&self) -> bool {
        settle(&self.executor);
        self.front.is_finished()
    }
}

/// Guards against answers that leave in another order than their requests, and against a pipelined
/// request that waits for work that does not concern it.
#[test]
fn overlapping_requests_are_answered_in_order() {
    let world = World::new();
    world.get("/safe/1");
    world.get("/safe/2");
    world.get("/safe/3");
    assert_eq!(world.begun(), ["/safe/1", "/safe/2", "/safe/3"]);
    world.answer("/safe/3");
    world.answer("/safe/2");
    assert_eq!(world.bodies(), [""; 0], "the first one is unanswered");
    world.answer("/safe/1");
    assert_eq!(world.bodies(), ["/safe/1", "/safe/2", "/safe/3"]);
}

/// Guards against a request that must not run twice being started behind an answer that may close
/// the connection: its caller would send it again.
#[test]
fn other_requests_wait_until_nothing_is_unanswered() {
    let world = World::new();
    world.get("/safe/1");
    world.get("/once/2");
    world.get("/safe/3");
    assert_eq!(world.begun(), ["/safe/1"]);
    world.answer("/safe/1");
    assert_eq!(world.begun(), ["/safe/1", "/once/2", "/safe/3"]);
    world.get("/once/4");
    world.answer("/once/2");
    world.answer("/safe/3");
    world.answer("/once/4");
    let all = ["/safe/1", "/once/2", "/safe/3", "/once/4"];
    assert_eq!(world.bodies(), all);
}

/// Guards against work that goes on for a caller that has gone.
#[test]
fn a_caller_that_closes_cancels_its_requests() {
    let world = World::new();
    world.get("/safe/1");
    world.get("/safe/2");
    world.peer.close();
    assert!(world.has_ended());
    assert_eq!(world.cancelled(), ["/safe/1", "/safe/2"]);

    let world = World::new();
    world.get("/safe/1");
    world.peer.reset();
    assert!(world.has_ended());
    assert_eq!(world.cancelled(), ["/safe/1"]);
}

/// Guards against requests that are run although they stand behind the end of their connection.
#[test]
fn nothing_is_read_behind_a_request_that_closes() {
    let world = World::new();
    world.send("GET /safe/1 HTTP/1.1\r\nconnection: close\r\n\r\nGET /safe/2 HTTP/1.1\r\n\r\n");
    assert_eq!(world.begun(), ["/safe/1"]);
    world.answer("/safe/1");
    let text = world.peer.received();
    assert!(text.contains("connection: close\r\n"), "{text}");
    assert!(world.peer.is_closed());
    // A connection that is closed with unread bytes is reset, and the answer could be lost.
    world.get("/safe/3");
    assert_eq!(world.peer.unread(), 0);
    world.peer.close();
    assert!(world.has_ended());
    assert_eq!(world.begun(), ["/safe/1"]);
}

/// Guards against a connection that a caller never closes.
#[test]
fn a_closed_connection_is_read_for_a_short_time_only() {
    let world = World::new();
    world.send("GET /now HTTP/1.1\r\nconnection: close\r\n\r\n");
    assert!(!world.has_ended());
    world.pass(500);
    assert!(world.has_ended());
}

/// Guards against connections that outlive the order to stop, and against requests that are cut
/// off by it.
#[test]
fn stopping_closes_idle_connections_and_finishes_requests() {
    let idle = World::new();
    idle.get("/now");
    idle.answers();
    idle.stop.close_connections();
    assert!(idle.has_ended(), "nothing is under way");

    let begun = World::new();
    begun.send("GET /now HT");
    begun.stop.close_connections();
    assert!(!begun.has_ended(), "a request is arriving");
    begun.send("TP/1.1\r\n\r\n");
    let text = begun.peer.received();
    assert!(text.contains("connection: close\r\n"), "{text}");

    let busy = World::new();
    busy.get("/safe/1");
    busy.get("/once/2");
    busy.stop.close_connections();
    assert!(!busy.has_ended());
    busy.answer("/safe/1");
    let text = busy.peer.received();
    assert!(text.contains("connection: close\r\n"), "{text}");
    assert_eq!(
        busy.begun(),
        ["/safe/1"],
        "the second one is the caller's again"
    );
}

/// Guards against a connection that opens after the order to stop and outlives it.
#[test]
fn a_connection_that_opens_late_is_closed_by_the_next_order() {
    let world = World::new();
    world.stop.close_connections();
    world.stop.close_connections();
    assert!(world.has_ended());

    let late = World::new();
    late.stop.close_connections();
    let (stream, peer) = connection(1 << 20);
    let handler: Rc<Script> = Rc::clone(&late.script);
    let clock = Arc::new(late.clock.clone());
    let front = ServerConnection::new(stream, handler, clock, Rc::clone(&late.stop));
    let front = late.executor.spawn(front.run());
    settle(&late.executor);
    assert!(!front.is_finished(), "its caller may be about to send");
    late.stop.close_connections();
    settle(&late.executor);
    assert!(front.is_finished());
    assert!(peer.is_closed());
}

/// Guards against callers that hold a connection without using it.
#[test]
fn slow_callers_are_told_and_idle_ones_are_closed() {
    let idle = World::new();
    idle.pass(14_900);
    assert!(!idle.has_ended());
    idle.pass(200);
    assert!(idle.has_ended());

    let slow = World::new();
    slow.send("POST /once/1 HTTP/1.1\r\ncontent-length: 10\r\n\r\nabc");
    slow.pass(2_900);
    slow.send("d");
    slow.pass(200);
    assert_eq!(slow.answers(), [(408, String::new())]);
    assert_eq!(slow.begun(), [""; 0]);
}

/// Guards against a caller that does not read its answers and holds their memory.
#[test]
fn a_caller_that_does_not_read_is_closed() {
    let world = World::with_room(20);
    world.get("/now");
    assert_eq!(world.peer.take(10), 10);
    world.pass(9_900);
    assert!(!world.has_ended());
    world.pass(200);
    assert!(world.has_ended());
}

/// Guards against requests that are larger than the operator allows.
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
        let world = World::new();
        world.send(head);
        world.send(&"x".repeat(more));
        assert_eq!(world.answers(), [(status, String::new())], "{head:?}");
        assert_eq!(world.begun(), [""; 0], "{head:?}");
        assert!(world.peer.is_closed(), "{head:?}");
    }
}

/// Guards against bodies that lose or gain bytes on their way.
#[test]
fn bodies_arrive_whole_however_they_are_split() {
    let requests = [
        "POST /now HTTP/1.1\r\ncontent-length: 11\r\n\r\nhello world",
        "POST /now HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n\
         5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nignored: yes\r\n\r\n",
    ];
    for request in requests {
        for cut in 0..request.len() {
            let world = World::new();
            world.send(&request[..cut]);
            world.send(&request[cut..]);
            world.get("/now/2");
            let seen = world.script.seen.borrow();
            assert_eq!(seen.bodies, ["hello world", ""], "{request:?} cut at {cut}");
        }
    }
}

/// Guards against a caller that waits for leave to send its body until it gives up.
#[test]
fn a_caller_that_asks_first_is_told_to_go_on() {
    let world = World::new();
    world.send("POST /now HTTP/1.1\r\ncontent-length: 2\r\nexpect: 100-continue\r\n\r\n");
    assert_eq!(world.peer.received(), "HTTP/1.1 100 Continue\r\n\r\n");
    world.send("ok");
    assert_eq!(world.answers(), [(200, "/now".to_owned())]);
}

/// Guards against bytes behind the answer to a request for a head, which belong to no answer.
#[test]
fn the_answer_to_head_has_no_body() {
    let world = World::new();
    world.send("HEAD /now HTTP/1.1\r\n\r\n");
    let text = world.peer.received();
    assert!(text.ends_with("\r\n\r\n"), "{text}");
    world.get("/now/2");
    assert_eq!(world.bodies(), ["/now/2"]);
}

/// Guards against an old caller that waits for the end of its connection.
#[test]
fn an_old_caller_gets_its_connection_closed() {
    let world = World::new();
    world.send("GET /now HTTP/1.0\r\n\r\n");
    assert_eq!(world.bodies(), ["/now"]);
    assert!(world.peer.is_closed());
    let kept = World::new();
    kept.send("GET /now HTTP/1.0\r\nconnection: keep-alive\r\n\r\n");
    assert_eq!(kept.bodies(), ["/now"]);
    assert!(!kept.peer.is_closed());
}

/// Guards against a caller that fills the memory with requests that it does not wait for.
#[test]
fn a_long_pipeline_waits_in_the_socket() {
    let world = World::new();
    for i in 0..20 {
        world.get(&format!("/safe/{i}"));
    }
    assert_eq!(world.begun().len(), 16);
    world.answer("/safe/0");
    assert_eq!(world.begun().len(), 17);

    let long = World::new();
    long.get("/once/1");
    long.get("/once/2");
    for _ in 0..4000 {
        long.get("/once/more");
    }
    assert!(
        long.peer.unread() > 0,
        "the program reads no more than it allows"
    );
    assert_eq!(long.begun(), ["/once/1"]);
}
