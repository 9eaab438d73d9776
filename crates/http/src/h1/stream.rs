//! A connection with the bytes that were read from it and not used yet.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::BytesMut;
use futures_lite::{AsyncRead, AsyncWrite};

/// Bytes read at once.
const READ_SIZE: usize = 16 * 1024;

thread_local! {
    // Shared by all connections of the thread, so that an idle connection holds no buffer.
    static SCRATCH: RefCell<Box<[u8]>> = RefCell::new(vec![0; READ_SIZE].into_boxed_slice());
}

/// A connection with the bytes that were read from it and not used yet.
#[derive(Debug)]
pub struct BufferedStream<S> {
    stream: S,
    /// Bytes that were read and not used yet.
    pub input: BytesMut,
    closed: bool,
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
        }
    }

    /// Whether the peer has closed its sending side.
    pub fn is_closed(&self) -> bool {
        self.closed
    }

    /// Reads more bytes into [`input`](Self::input); 0 means that the peer has closed.
    ///
    /// # Errors
    ///
    /// Fails if the socket does.
    pub fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.closed {
            return Poll::Ready(Ok(0));
        }
        let read = SCRATCH.with_borrow_mut(|scratch| {
            let n = ready!(Pin::new(&mut self.stream).poll_read(cx, scratch))?;
            self.input.extend_from_slice(&scratch[..n]);
            Poll::Ready(io::Result::Ok(n))
        });
        let n = ready!(read)?;
        self.closed = n == 0;
        Poll::Ready(Ok(n))
    }

    /// Writes a part of `bytes` and returns its size.
    ///
    /// # Errors
    ///
    /// Fails if the socket does, or if it takes nothing.
    pub fn poll_write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        match ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))? {
            0 => Poll::Ready(Err(io::ErrorKind::WriteZero.into())),
            n => Poll::Ready(Ok(n)),
        }
    }

    /// Closes the sending side.
    ///
    /// # Errors
    ///
    /// Fails if the socket does.
    pub fn poll_close(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }

    /// Whether nothing has arrived and the peer has not closed. Reads without waiting.
    pub fn is_idle(&mut self) -> bool {
        let mut cx = Context::from_waker(std::task::Waker::noop());
        self.input.is_empty() && !self.closed && self.poll_fill(&mut cx).is_pending()
    }
}
