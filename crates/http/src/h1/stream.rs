//! Connection with a buffer for its input.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::BytesMut;
use futures_lite::{AsyncRead, AsyncWrite};

/// Largest number of bytes per read.
pub(super) const READ_SIZE: usize = 16 * 1024;

/// Largest buffer that a connection keeps while it has no input, in bytes.
const KEPT_MAX: usize = 4 * 1024;

thread_local! {
    // Shared by all connections of a thread, so that an idle connection needs no read buffer.
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_SIZE].into_boxed_slice());
}

/// Connection with a buffer for input that has been read but not consumed.
#[derive(Debug)]
pub struct BufferedStream<S> {
    stream: S,
    /// Input that has been read but not consumed.
    pub input: BytesMut,
    closed: bool,
    /// First failure of the connection. A socket reports a reset once, to the next write or read;
    /// later reads return what had arrived and then no bytes, as after a regular close.
    failure: Option<io::ErrorKind>,
}

impl<S> BufferedStream<S>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    /// Wraps a connection.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            closed: false,
            failure: None,
        }
    }

    /// The connection.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Returns true if the peer has closed its sending side. A connection that failed earlier is not
    /// closed: bytes may be missing at its end.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Reads bytes into [`input`](Self::input) and returns their number, which is 0 once the peer
    /// has closed its sending side.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, or if it failed in an earlier read or write and no bytes are
    /// left that had arrived before.
    pub fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.closed {
            return Poll::Ready(Ok(0));
        }
        let read = SCRATCH.with_borrow_mut(|scratch| {
            let n = ready!(Pin::new(&mut self.stream).poll_read(cx, scratch))?;
            self.input.extend_from_slice(&scratch[..n]);
            Poll::Ready(io::Result::Ok(n))
        });
        Poll::Ready(match (ready!(read), self.failure) {
            (Ok(0), Some(failure)) => Err(failure.into()),
            (Ok(n), _) => {
                self.closed = n == 0;
                Ok(n)
            }
            (Err(error), _) => Err(self.record_failure(error)),
        })
    }

    fn record_failure(&mut self, error: io::Error) -> io::Error {
        self.failure.get_or_insert(error.kind());
        error
    }

    /// Frees the buffer of the input if it is empty, unless it is small.
    pub fn release_buffer(&mut self) {
        if self.input.is_empty() && self.input.capacity() > KEPT_MAX {
            self.input = BytesMut::new();
        }
    }

    /// Writes a prefix of `bytes` and returns its length.
    ///
    /// # Errors
    ///
    /// Fails if the connection does, or if it accepts no byte.
    pub fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes));
        Poll::Ready(match written {
            Ok(0) => Err(self.record_failure(io::ErrorKind::WriteZero.into())),
            Ok(n) => Ok(n),
            Err(error) => Err(self.record_failure(error)),
        })
    }

    /// Closes the sending side.
    ///
    /// # Errors
    ///
    /// Fails if the connection does.
    pub fn poll_close(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }

    /// Returns true if there is no input, and the connection is neither closed nor has failed. Polls
    /// it once to find out.
    pub fn is_idle(&mut self) -> bool {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        let open = !self.closed && self.failure.is_none();
        self.input.is_empty() && open && self.poll_fill(&mut cx).is_pending()
    }
}
