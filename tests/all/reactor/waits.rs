//! Waits of the event loop for timers and other threads.

use std::cell::Cell;
use std::rc::Rc;
use std::thread;
use std::time::{Duration, Instant};

use futures_lite::future::yield_now;
use trefoil_core::{Clock, QueueClock};
use trefoil_reactor::block_on;

/// Guards against a host that misses its timers: leases, probes and timeouts depend on them.
#[test]
fn timers_end_in_order_and_not_before_they_are_due() {
    let clock = QueueClock::default();
    let executor = smol::LocalExecutor::new();
    let ended = Rc::new(Cell::new(Duration::ZERO));
    let start = Instant::now();
    let tasks: Vec<_> = [30, 10, 20]
        .map(|ms| {
            let (clock, ended) = (clock.clone(), Rc::clone(&ended));
            executor.spawn(async move {
                let span = Duration::from_millis(ms);
                clock.sleep(span).await;
                assert!(start.elapsed() >= span, "{span:?}");
                assert!(ended.replace(span) < span, "{span:?} is out of order");
            })
        })
        .into();
    let all = async {
        for task in tasks {
            task.await;
        }
    };
    block_on(&clock, executor.run(all)).expect("the event loop works");
    assert_eq!(ended.get(), Duration::from_millis(30));
}

/// Guards against a host that does not react to a signal, which another thread receives.
#[test]
fn another_thread_interrupts_the_wait() {
    let (sender, receiver) = async_channel::bounded(1);
    let other = thread::spawn(move || {
        thread::sleep(Duration::from_millis(50));
        sender.send_blocking(7).expect("received");
    });
    let message = block_on(&QueueClock::default(), receiver.recv());
    assert_eq!(message.expect("the event loop works"), Ok(7));
    other.join().expect("the other thread ends");
}

/// Guards against a task without a pause that keeps the host from its timers.
#[test]
fn a_busy_task_does_not_delay_timers() {
    let clock = QueueClock::default();
    let done = Cell::new(false);
    let busy = async {
        while !done.get() {
            yield_now().await;
        }
    };
    let timer = async {
        clock.sleep(Duration::from_millis(20)).await;
        done.set(true);
    };
    let start = Instant::now();
    block_on(&clock, futures_lite::future::zip(busy, timer)).expect("the event loop works");
    assert!(start.elapsed() < Duration::from_secs(5));
}
