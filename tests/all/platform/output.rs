//! Log output that is not read, and floods of log lines.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use slog::{Drain, Logger, info, o};
use trefoil_core::{ManualClock, UnixMillis};
use trefoil_daemon::logging::{KeyValueDrain, Limited, LostLines};

use trefoil_soak::{Fleet, upstream_spec};
use trefoil_standin::ResponseMode;

/// A sink for log lines, which accepts none while it is full.
#[derive(Debug, Clone, Default)]
struct Sink {
    text: Arc<Mutex<Vec<u8>>>,
    full: Arc<Mutex<bool>>,
}

impl Sink {
    fn take_lines(&self) -> Vec<String> {
        let text = std::mem::take(&mut *self.text.lock().expect("no panic"));
        let text = String::from_utf8(text).expect("text");
        text.lines()
            .map(|line| line.split_once(" event=").expect("an event").1.to_owned())
            .collect()
    }
}

impl Write for Sink {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        if *self.full.lock().expect("no panic") {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.text.lock().expect("no panic").write(buf)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against a flood of one event that suppresses other events, and against lines that are
/// left out without being counted.
#[test]
fn each_event_has_its_limit() {
    let (clock, sink, lost) = (
        ManualClock::new(UnixMillis(0)),
        Sink::default(),
        LostLines::default(),
    );
    let drain = Limited::new(
        KeyValueDrain::new(sink.clone()),
        2,
        clock.clone(),
        lost.clone(),
    );
    let log = Logger::root(drain.ignore_res(), o!());
    clock.advance(Duration::from_secs(1));
    for number in 0..5 {
        info!(log, "flood"; "n" => number);
    }
    info!(log, "rare"; "id" => "a b", "n" => 1);
    assert_eq!(
        sink.take_lines(),
        ["flood n=0", "flood n=1", "rare id=\"a b\" n=1"]
    );
    assert_eq!(lost.limited.get(), 3);
    clock.advance(Duration::from_secs(1));
    info!(log, "flood"; "n" => 9);
    assert_eq!(
        sink.take_lines(),
        ["flood n=9", "\"lines left out\" of=flood count=3 limit=2"]
    );
    *sink.full.lock().expect("no panic") = true;
    info!(log, "rare");
    *sink.full.lock().expect("no panic") = false;
    clock.advance(Duration::from_secs(1));
    info!(log, "rare");
    assert_eq!(sink.take_lines(), ["rare", "\"lines dropped\" count=1"]);
    assert_eq!(lost.dropped.get(), 1);
}

/// Guards against a process that blocks on its log output: while the pipe is full it must serve
/// requests, count the lines that it drops, and end on a signal.
#[test]
fn an_unread_log_does_not_slow_requests() {
    let mut fleet = Fleet::new(super::program(), vec![upstream_spec("p1", "plain")]);
    let host = fleet.start_unread_host("log-lines: 100000\n");
    fleet.wait_until_served(host, "/read/x", "");
    // A pipe holds 64 KiB and the queue 512 lines; these lines need several times as much.
    let mut slowest = Duration::ZERO;
    for number in 0..3000 {
        let begun = Instant::now();
        let answer = fleet.hosts[host].get(&format!("unread-{number}"), "/none/x", "");
        assert_eq!(answer.map(|a| a.status), Some(404));
        slowest = slowest.max(begun.elapsed());
    }
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    assert!(fleet.hosts[host].sum_metric("trefoil_log_lines_dropped_total", "") > 0.0);
    fleet.wait_until_served(host, "/read/x", "");
    fleet.hosts[host].signal(Signal::SIGTERM);
    assert_eq!(fleet.hosts[host].wait_for_exit().code(), Some(0));
}

/// Guards against log lines that are as long as a caller wants. They wait in a queue for the reader
/// of the output.
#[test]
fn a_caller_does_not_decide_the_length_of_a_line() {
    let mut fleet = Fleet::new(super::program(), vec![upstream_spec("p1", "plain")]);
    fleet.start_host();
    fleet.wait_until_served(0, "/read/x", "");
    let host = &fleet.hosts[0];
    let id = "i".repeat(6000);
    let answer = host.get(&id, "/none/x", "").expect("an answer");
    assert_eq!(answer.status, 404);
    fleet.upstream("p1").set_response_mode(ResponseMode::Reset);
    let answer = host.post(&id, "/write/x", "data").expect("an answer");
    assert_eq!(answer.status, 502);
    for event in ["request refused", "attempt failed", "request ended"] {
        let line = host.wait_for_entry("event", event);
        let length = line["id"].len();
        assert!((100..1000).contains(&length), "{event}: {length}");
    }
}
