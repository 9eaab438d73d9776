//! Answers that a host passes on while they arrive.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use nix::sys::socket::{setsockopt, sockopt};
use trefoil_soak::{Fleet, eventually};

use super::fake::{FakeUpstream, fields, fleet_of};
use crate::raw::reset_on_close;

const MIB: usize = 1024 * 1024;

/// Memory of a host of the smallest class, in KiB.
const MEMORY_KIB: u64 = 160 * 1024;

/// Callers of long answers at the same time.
const CALLERS: usize = 10;

/// Time limit for a state that a test expects, and for a read.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Memory of the body of a streamed answer, in bytes.
const BUFFER_MAX: usize = 64 * 1024;

/// Sends the head of an answer with a length, and the first part of its body.
fn send_part(stream: &mut TcpStream, id: &str, length: usize, part: usize) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Content-Length: {length}\r\n\r\n",
        fields(id)
    );
    let piece = vec![b'x'; MIB.min(part)];
    let mut left = part;
    let mut sent = stream.write_all(head.as_bytes()).is_ok();
    while sent && left > 0 {
        let size = piece.len().min(left);
        sent = stream.write_all(&piece[..size]).is_ok();
        left -= size;
    }
    sent
}

/// Sends the head of an answer that the request has failed.
fn send_failure(stream: &mut TcpStream, id: &str, framing: &str) {
    let head = format!("HTTP/1.1 500 Failed\r\n{}{framing}\r\n", fields(id));
    let _ = stream.write_all(head.as_bytes());
}

/// Sends a request for `/load/x` and returns the connection.
fn request(fleet: &Fleet, id: &str, version: &str) -> TcpStream {
    let stream = connect(fleet);
    send_request(&stream, id, version);
    stream
}

fn connect(fleet: &Fleet) -> TcpStream {
    let stream = TcpStream::connect(fleet.hosts[0].caller_address).expect("connected");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("set");
    stream
}

fn send_request(stream: &TcpStream, id: &str, version: &str) {
    send_limited(stream, id, version, 12_000);
}

/// Sends a request whose caller waits for this time.
fn send_limited(mut stream: &TcpStream, id: &str, version: &str, deadline_ms: u32) {
    let request = format!(
        "GET /load/x HTTP/{version}\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: {deadline_ms}\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("sent");
}

fn read_head(mut stream: &TcpStream) -> String {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a head");
        head.push(byte[0]);
    }
    String::from_utf8(head).expect("text").to_lowercase()
}

/// Returns the sum of a metric of the host, which is a whole number.
fn metric(fleet: &Fleet, name: &str, labels: &str) -> usize {
    let sum = fleet.hosts[0].sum_metric(name, labels);
    // The sum of no samples is a negative zero.
    format!("{:.0}", sum.abs()).parse().expect("a count")
}

/// Reads until the connection ends.
fn read_rest(mut stream: &TcpStream) -> Vec<u8> {
    let mut body = Vec::new();
    // A reset ends the connection as well.
    let _ = stream.read_to_end(&mut body);
    body
}

/// Guards against a host that keeps whole answers in memory, or more of each than its share, while
/// callers read them slowly.
#[test]
fn long_answers_with_slow_callers_stay_within_their_memory() {
    let size = 24 * MIB;
    let upstream = FakeUpstream::start(move |id, stream| send_part(stream, id, size, size));
    let fleet = fleet_of(&[&upstream]);
    let read_slowly = |number: usize| {
        let mut stream = request(&fleet, &format!("slow-{number}"), "1.1");
        assert!(read_head(&stream).starts_with("http/1.1 200 "));
        let mut piece = vec![0; MIB];
        for _ in 0..size / MIB {
            stream.read_exact(&mut piece).expect("the whole body");
            thread::sleep(Duration::from_millis(50));
        }
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| scope.spawn(move || read_slowly(number)))
            .collect();
        let mut most = 0;
        while callers.iter().any(|caller| !caller.is_finished()) {
            let held = metric(&fleet, "trefoil_memory_bytes", "kind=\"answers\"");
            most = most.max(held);
            thread::sleep(Duration::from_millis(50));
        }
        assert!(most > 0 && most <= CALLERS * BUFFER_MAX, "{most}");
    });
    let host = &fleet.hosts[0];
    let peak = host.peak_memory_kib();
    assert!(peak < MEMORY_KIB, "{peak} KiB");
    assert_eq!(metric(&fleet, "trefoil_streams_open", ""), 0);
    assert_eq!(
        metric(&fleet, "trefoil_streams_total", "result=\"sent\""),
        CALLERS
    );
    assert_eq!(metric(&fleet, "trefoil_open_requests", ""), 0);
}

/// Guards against a truncated answer that looks complete to its caller, and against a retry after
/// its first byte was sent.
#[test]
fn an_answer_that_breaks_off_never_looks_complete() {
    let upstream = FakeUpstream::start(|id, stream| {
        let framing = match id {
            id if id.starts_with("chunked") => "Transfer-Encoding: chunked\r\n",
            id if id.starts_with("close") => "Connection: close\r\n",
            _ => "Content-Length: 200000\r\n",
        };
        let head = format!("HTTP/1.1 200 OK\r\n{}{framing}\r\n", fields(id));
        let body = "x".repeat(100_000);
        let body = if id.starts_with("chunked") {
            format!("186a0\r\n{body}\r\n")
        } else {
            body
        };
        let _ = stream.write_all((head + &body).as_bytes());
        thread::sleep(Duration::from_millis(200));
        if id.ends_with("invalid") {
            let _ = stream.write_all(b"no size\r\n");
        } else if id.ends_with("reset") {
            reset_on_close(stream);
        }
        false
    });
    let fleet = fleet_of(&[&upstream]);
    let ids = [
        "length",
        "length-reset",
        "chunked",
        "chunked-reset",
        "chunked-invalid",
        "close-reset",
    ];
    for (number, id) in ids.into_iter().enumerate() {
        let stream = request(&fleet, id, "1.1");
        let head = read_head(&stream);
        assert!(head.starts_with("http/1.1 200 "), "{id}: {head}");
        let body = read_rest(&stream);
        if id.starts_with("length") {
            assert!(head.contains("content-length: 200000\r\n"), "{id}: {head}");
            assert!(body.len() < 200_000, "{id}");
        } else {
            assert!(
                head.contains("transfer-encoding: chunked\r\n"),
                "{id}: {head}"
            );
            assert!(!body.ends_with(b"\r\n0\r\n\r\n"), "{id}");
        }
        assert_eq!(upstream.received(), number + 1, "{id} is not repeated");
    }
    let host = &fleet.hosts[0];
    let ended = |outcome: &str| metric(&fleet, "trefoil_requests_total", outcome);
    // The host records the end after it has closed the connection of the caller.
    eventually("all ends are recorded", || {
        (ended("outcome=\"broken off\"") == ids.len()).then_some(())
    });
    assert_eq!(ended("outcome=\"answered\""), 0);
    assert_eq!(
        host.log_entries("event", "response broken off").len(),
        ids.len()
    );
}

/// Guards against a truncated body without a length that a caller of HTTP/1.0 takes for a whole
/// one, and against answers that such a caller cannot read.
#[test]
fn an_http_1_0_caller_gets_a_length_or_an_error() {
    let upstream = FakeUpstream::start(|id, stream| {
        let head = format!("HTTP/1.1 200 OK\r\n{}\r\n", fields(id));
        let _ = stream.write_all((head + &"x".repeat(100_000)).as_bytes());
        thread::sleep(Duration::from_millis(100));
        if id == "reset" {
            reset_on_close(stream);
        }
        false
    });
    let fleet = fleet_of(&[&upstream]);
    let stream = request(&fleet, "whole", "1.0");
    assert!(read_head(&stream).contains("content-length: 100000\r\n"));
    assert_eq!(read_rest(&stream).len(), 100_000);
    let stream = request(&fleet, "reset", "1.0");
    let head = read_head(&stream);
    assert!(head.starts_with("http/1.1 50"), "{head}");
    let stream = request(&fleet, "chunks", "1.1");
    assert!(read_head(&stream).contains("transfer-encoding: chunked\r\n"));
    let mut last = [0; 5];
    let mut body = Vec::new();
    while &last != b"0\r\n\r\n" {
        let mut byte = [0];
        (&stream).read_exact(&mut byte).expect("a last chunk");
        body.push(byte[0]);
        last.rotate_left(1);
        last[4] = byte[0];
    }
    assert!(body.len() > 100_000);
}

/// Guards against an error at the caller although another upstream could answer: until its first
/// byte was sent, a failed answer is requested again.
#[test]
fn an_answer_is_repeated_only_before_its_first_byte() {
    let answers: [fn(&str, &mut TcpStream); 4] = [
        |_, _| {},
        // A part of a body that is short enough to be collected first.
        |id, stream| {
            send_part(stream, id, 20_000, 10_000);
        },
        |_, stream| {
            let head = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nno seal";
            let _ = stream.write_all(head);
        },
        // A failure of unknown length whose body arrives after its head.
        |id, stream| {
            send_failure(stream, id, "Transfer-Encoding: chunked\r\n");
            thread::sleep(Duration::from_millis(20));
            let _ = stream.write_all(b"3\r\nbad\r\n0\r\n\r\n");
        },
    ];
    for fail in answers {
        let bad = FakeUpstream::start(move |id, stream| {
            fail(id, stream);
            false
        });
        let good = FakeUpstream::start(|id, stream| send_part(stream, id, 100_000, 100_000));
        let fleet = fleet_of(&[&bad, &good]);
        eventually("both are listed", || {
            let listed = metric(&fleet, "trefoil_upstreams", "");
            (listed >= 2).then_some(())
        });
        // The upstream to which the host has an idle connection is preferred.
        for number in 0..100 {
            let stream = request(&fleet, &format!("r{number}"), "1.1");
            assert!(read_head(&stream).starts_with("http/1.1 200 "), "{number}");
            (&stream)
                .read_exact(&mut vec![0; 100_000])
                .expect("the body");
        }
        assert!(bad.received() > 0, "the failing one was asked");
    }
}

/// Guards against an upstream that keeps its share of requests because its failures are too long to
/// be collected.
#[test]
fn a_long_failure_counts() {
    let bad = FakeUpstream::start(|id, stream| {
        send_failure(stream, id, "Content-Length: 100000\r\n");
        stream.write_all(&vec![b'x'; 100_000]).is_ok()
    });
    let good = FakeUpstream::start(|id, stream| send_part(stream, id, 100_000, 100_000));
    let fleet = fleet_of(&[&bad, &good]);
    let mut sent = 0;
    eventually("the failing one is ejected", || {
        let stream = request(&fleet, &format!("f{sent}"), "1.1");
        read_head(&stream);
        (&stream)
            .read_exact(&mut vec![0; 100_000])
            .expect("the body");
        sent += 1;
        (metric(&fleet, "trefoil_ejections_total", "") > 0).then_some(())
    });
}

/// Guards against an upstream that is ejected because its callers wait too briefly for a long answer.
#[test]
fn a_caller_that_waits_briefly_says_nothing_about_the_upstream() {
    let slow = FakeUpstream::start(|id, stream| {
        send_part(stream, id, 100_000, 50_000);
        thread::sleep(Duration::from_millis(600));
        false
    });
    let good = FakeUpstream::start(|id, stream| send_part(stream, id, 100_000, 100_000));
    let fleet = fleet_of(&[&slow, &good]);
    for round in 0..4 {
        let callers: Vec<TcpStream> = (0..8)
            .map(|number| {
                let stream = connect(&fleet);
                send_limited(&stream, &format!("b{round}-{number}"), "1.1", 400);
                stream
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        drop(callers);
    }
    let late = metric(&fleet, "trefoil_streams_total", "result=\"late\"");
    assert!(late >= 5, "{late} of {} were late", slow.received());
    assert_eq!(metric(&fleet, "trefoil_ejections_total", ""), 0);
}

/// Guards against a stream that is cut by a planned stop although it ends within the grace period.
#[test]
fn a_planned_stop_lets_a_stream_finish() {
    let upstream = FakeUpstream::start(|id, stream| {
        send_part(stream, id, 400_000, 100_000);
        for _ in 0..3 {
            thread::sleep(Duration::from_millis(900));
            let _ = stream.write_all(&vec![b'x'; 100_000]);
        }
        true
    });
    let mut fleet = fleet_of(&[&upstream]);
    let stream = request(&fleet, "last", "1.1");
    assert!(read_head(&stream).starts_with("http/1.1 200 "));
    fleet.hosts[0].signal(Signal::SIGTERM);
    assert_eq!(read_rest(&stream).len(), 400_000);
    assert!(fleet.hosts[0].wait_for_exit().success());
    assert!(
        fleet.hosts[0]
            .log_entries("event", "request cut")
            .is_empty()
    );
}

/// Sends a long answer, and reports how long its connection stayed open.
fn endless_upstream() -> (FakeUpstream, mpsc::Receiver<Duration>) {
    let (ended, end) = mpsc::channel();
    let upstream = FakeUpstream::start(move |id, stream| {
        let begun = Instant::now();
        let complete = send_part(stream, id, 1024 * MIB, 1024 * MIB);
        let _ = ended.send(begun.elapsed());
        complete
    });
    (upstream, end)
}

/// Guards against an upstream that is held by a caller which has stopped reading.
#[test]
fn a_caller_that_stops_reading_is_aborted() {
    let (upstream, end) = endless_upstream();
    let fleet = fleet_of(&[&upstream]);
    let stream = request(&fleet, "stalled", "1.1");
    assert!(read_head(&stream).starts_with("http/1.1 200 "));
    let after = end
        .recv_timeout(WAIT_TIMEOUT)
        .expect("the upstream is freed");
    assert!(
        after >= Duration::from_secs(2) && after < Duration::from_secs(5),
        "{after:?}"
    );
    let host = &fleet.hosts[0];
    let entry = host.wait_for_entry("event", "response broken off");
    assert_eq!(entry["cause"], "caller does not read");
    let count = metric(&fleet, "trefoil_streams_total", "result=\"caller stalled\"");
    assert_eq!(count, 1);
    assert_eq!(metric(&fleet, "trefoil_open_requests", ""), 0);
    assert_eq!(
        metric(&fleet, "trefoil_memory_bytes", "kind=\"answers\""),
        0
    );
    assert!(read_rest(&stream).len() < 1024 * MIB, "it is incomplete");
}

/// Guards against megabytes of an answer in the send buffer of a caller that does not read. They
/// count as memory of the process.
#[test]
fn little_is_taken_ahead_of_the_caller() {
    let (upstream, _end) = endless_upstream();
    let fleet = fleet_of(&[&upstream]);
    let stream = TcpStream::connect(fleet.hosts[0].caller_address).expect("connected");
    setsockopt(&stream, sockopt::RcvBuf, &(32 * 1024)).expect("set");
    send_request(&stream, "paused", "1.1");
    thread::sleep(Duration::from_secs(1));
    let taken = metric(&fleet, "trefoil_streamed_bytes_total", "");
    assert!(taken > 0 && taken <= 512 * 1024, "{taken} bytes");
}

/// Guards against an abort of a caller that reads slowly but without a pause of 2 s: the socket
/// reports that it is writable only after a large part of its buffer is free.
#[test]
fn a_caller_that_reads_slowly_is_not_aborted() {
    let (upstream, end) = endless_upstream();
    let fleet = fleet_of(&[&upstream]);
    let mut stream = TcpStream::connect(fleet.hosts[0].caller_address).expect("connected");
    // A larger buffer would hide from the host for seconds that its caller reads.
    setsockopt(&stream, sockopt::RcvBuf, &(32 * 1024)).expect("set");
    send_request(&stream, "slow", "1.1");
    assert!(read_head(&stream).starts_with("http/1.1 200 "));
    for _ in 0..32 {
        stream.read_exact(&mut vec![0; 32 * 1024]).expect("a part");
        thread::sleep(Duration::from_millis(250));
    }
    assert!(end.try_recv().is_err(), "the upstream still sends");
    assert_eq!(metric(&fleet, "trefoil_streams_open", ""), 1);
}

/// Guards against streams that together take more memory than the host has for answers, and against
/// an upstream that is asked although there is no memory for its answer.
#[test]
fn streams_without_memory_are_refused_before_they_are_sent() {
    let (upstream, _end) = endless_upstream();
    let mut fleet = fleet_of(&[&upstream]);
    // A fifth of the memory is for answers: room for about 50 streams.
    let number = fleet.start_unread_host("memory-mb: 10\n");
    let address = fleet.hosts[number].caller_address;
    let callers: Vec<TcpStream> = (0..100)
        .map(|number| {
            let stream = TcpStream::connect(address).expect("connected");
            send_request(&stream, &format!("many-{number}"), "1.1");
            stream
        })
        .collect();
    let heads: Vec<String> = callers.iter().map(read_head).collect();
    let begun = heads
        .iter()
        .filter(|h| h.starts_with("http/1.1 200 "))
        .count();
    let refused = heads
        .iter()
        .filter(|h| h.starts_with("http/1.1 503 "))
        .count();
    assert!(begun > 0 && refused > 0, "{begun} begun, {refused} refused");
    assert_eq!(begun + refused, callers.len());
    let memory = fleet.hosts[number].sum_metric("trefoil_requests_total", "cause=\"no memory\"");
    assert!(memory > 0.0, "memory is a cause");
    assert_eq!(upstream.received(), begun, "no refused request was sent");
}

/// Guards against an upstream that works on for a caller which has disconnected.
#[test]
fn a_stream_ends_when_its_caller_goes() {
    let (upstream, end) = endless_upstream();
    let fleet = fleet_of(&[&upstream]);
    let mut stream = request(&fleet, "gone", "1.1");
    stream.read_exact(&mut vec![0; 100_000]).expect("a part");
    drop(stream);
    let gone = Instant::now();
    end.recv_timeout(WAIT_TIMEOUT)
        .expect("the upstream is freed");
    assert!(
        gone.elapsed() < Duration::from_millis(500),
        "{:?}",
        gone.elapsed()
    );
    let cancelled = fleet.hosts[0].wait_for_entry("event", "request cancelled");
    assert_eq!(cancelled["id"], "gone");
}

/// Guards against streams of one connection that are mixed or change their order.
#[test]
fn pipelined_streams_keep_their_order() {
    let upstream = FakeUpstream::start(|id, stream| {
        let size = if id == "first" { 300_000 } else { 200_000 };
        let sent = send_part(stream, id, size, size / 2);
        thread::sleep(Duration::from_millis(if id == "first" { 300 } else { 0 }));
        sent && stream.write_all(&vec![b'y'; size / 2]).is_ok()
    });
    let fleet = fleet_of(&[&upstream]);
    let stream = request(&fleet, "first", "1.1");
    send_request(&stream, "second", "1.1");
    for (id, size) in [("first", 300_000), ("second", 200_000)] {
        let head = read_head(&stream);
        assert!(head.contains(&format!("x-request-id: {id}\r\n")), "{head}");
        let mut body = vec![0; size];
        (&stream).read_exact(&mut body).expect("the body");
        let (first, second) = body.split_at(size / 2);
        assert!(first.iter().all(|b| *b == b'x') && second.iter().all(|b| *b == b'y'));
    }
}
