//! In-memory connection between the code under test and a test.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};

use futures_lite::{AsyncRead, AsyncWrite};
use smol::LocalExecutor;

/// Report of the reset of a socket, which is made once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Report {
    /// The next call that finds the reset fails with this error.
    Due(io::ErrorKind),
    /// A call has failed with it.
    Made,
}

/// Bytes in transit in one direction.
#[derive(Debug, Default)]
struct Channel {
    bytes: VecDeque<u8>,
    capacity: usize,
    closed: bool,
    reset: bool,
    /// The connection was reset as a socket reports it.
    socket_reset: Option<Report>,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Channel {
    fn wake(&mut self) {
        let wakers = [self.reader.take(), self.writer.take()];
        wakers.into_iter().flatten().for_each(Waker::wake);
    }
}

/// End of the connection for the code under test.
#[derive(Debug)]
pub struct Stream {
    input: Rc<RefCell<Channel>>,
    output: Rc<RefCell<Channel>>,
}

/// End of the connection for the test.
#[derive(Debug)]
pub struct Peer {
    input: Rc<RefCell<Channel>>,
    output: Rc<RefCell<Channel>>,
}

/// Creates a connection whose buffer towards the test holds `capacity` bytes.
pub fn connection(capacity: usize) -> (Stream, Peer) {
    let channel = |capacity| {
        Rc::new(RefCell::new(Channel {
            capacity,
            ..Channel::default()
        }))
    };
    let (to_subject, to_test) = (channel(usize::MAX), channel(capacity));
    let stream = Stream {
        input: Rc::clone(&to_subject),
        output: Rc::clone(&to_test),
    };
    let peer = Peer {
        input: to_test,
        output: to_subject,
    };
    (stream, peer)
}

impl Stream {
    /// Discards what the test has not received, as a socket that has room without reporting it.
    pub fn discard_output(&self) {
        self.output.borrow_mut().bytes.clear();
    }
}

impl Peer {
    /// Sends bytes to the code under test.
    pub fn send<B>(&self, bytes: B)
    where
        B: AsRef<[u8]>,
    {
        let mut channel = self.output.borrow_mut();
        channel.bytes.extend(bytes.as_ref());
        channel.wake();
    }

    /// Returns all bytes received since the last call.
    pub fn received(&self) -> String {
        let mut channel = self.input.borrow_mut();
        let bytes: Vec<u8> = channel.bytes.drain(..).collect();
        channel.wake();
        String::from_utf8(bytes).expect("the program sends text")
    }

    /// Discards up to `count` received bytes and returns their number.
    pub fn discard(&self, count: usize) -> usize {
        let mut channel = self.input.borrow_mut();
        let count = count.min(channel.bytes.len());
        channel.bytes.drain(..count);
        channel.wake();
        count
    }

    /// Closes the sending direction.
    pub fn close(&self) {
        let mut channel = self.output.borrow_mut();
        channel.closed = true;
        channel.wake();
    }

    /// Resets the connection in both directions.
    pub fn reset(&self) {
        for channel in [&self.input, &self.output] {
            let mut channel = channel.borrow_mut();
            channel.reset = true;
            channel.wake();
        }
    }

    /// Resets the connection as a socket of Linux reports it: the input that has arrived can still be
    /// read. The error is reported once, to the next write or to the read that finds no more input;
    /// later writes find a broken pipe, and later reads find the end of the input. After a regular
    /// [`close`](Self::close) reads find no error at all.
    pub fn reset_socket(&self) {
        let mut channel = self.output.borrow_mut();
        let kind = if channel.closed {
            io::ErrorKind::BrokenPipe
        } else {
            io::ErrorKind::ConnectionReset
        };
        channel.socket_reset = Some(Report::Due(kind));
        channel.wake();
        self.input.borrow_mut().wake();
    }

    /// Returns true if the code under test has closed its sending direction or dropped the
    /// connection.
    pub fn is_closed(&self) -> bool {
        self.input.borrow().closed
    }

    /// Returns the number of bytes that the code under test has not read.
    pub fn unread(&self) -> usize {
        self.output.borrow().bytes.len()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut channel = self.input.borrow_mut();
        if channel.reset {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if channel.bytes.is_empty() && !channel.closed {
            match channel.socket_reset {
                None => {
                    channel.reader = Some(cx.waker().clone());
                    return Poll::Pending;
                }
                Some(Report::Due(kind)) => {
                    channel.socket_reset = Some(Report::Made);
                    return Poll::Ready(Err(kind.into()));
                }
                Some(Report::Made) => return Poll::Ready(Ok(0)),
            }
        }
        let count = buf.len().min(channel.bytes.len());
        for (slot, byte) in buf.iter_mut().zip(channel.bytes.drain(..count)) {
            *slot = byte;
        }
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let report = &mut self.input.borrow_mut().socket_reset;
        match report.replace(Report::Made) {
            None => *report = None,
            Some(Report::Due(kind)) => return Poll::Ready(Err(kind.into())),
            Some(Report::Made) => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
        }
        let mut channel = self.output.borrow_mut();
        if channel.reset || channel.closed {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        let count = buf
            .len()
            .min(channel.capacity.saturating_sub(channel.bytes.len()));
        if count == 0 {
            channel.writer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        channel.bytes.extend(&buf[..count]);
        Poll::Ready(Ok(count))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.output.borrow_mut().closed = true;
        Poll::Ready(Ok(()))
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.output.borrow_mut().closed = true;
    }
}

/// Runs all tasks until each of them waits.
pub fn run_until_idle(executor: &LocalExecutor<'_>) {
    while executor.try_tick() {}
}
