//! Checks the ends of the heads that hyper reads.
//!
//! hyper does not tell how the lines of a head ended. [`HeadGuard`] lies between hyper and the
//! socket, and fails the read that completes a head which [ends early](ends_early).

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use futures_lite::{AsyncRead, AsyncWrite};

use crate::h1::{EARLY_END, ends_early};

/// Marks that the next bytes of a connection are the head of an answer.
#[derive(Debug, Clone, Default)]
pub(crate) struct HeadMark(Arc<AtomicBool>);

impl HeadMark {
    /// Announces a head.
    pub(crate) fn set(&self) {
        self.0.store(true, Ordering::SeqCst);
    }

    fn take(&self) -> bool {
        self.0.swap(false, Ordering::SeqCst)
    }
}

/// Stream whose reads fail at a head that ends early.
#[derive(Debug)]
pub(crate) struct HeadGuard<S> {
    stream: S,
    mark: HeadMark,
    /// Bytes of the head that is being read. hyper limits its size.
    head: Option<Vec<u8>>,
}

impl<S> HeadGuard<S> {
    /// Wraps a stream. Heads are checked once they are announced with `mark`.
    pub(crate) fn new(stream: S, mark: HeadMark) -> Self {
        Self {
            stream,
            mark,
            head: None,
        }
    }

    /// Checks the heads in `input`, which was just read.
    fn check(&mut self, input: &[u8]) -> io::Result<()> {
        if self.mark.take() {
            self.head = Some(Vec::new());
        }
        for &byte in input {
            let Some(head) = &mut self.head else {
                return Ok(());
            };
            // Empty lines may precede a head.
            if head.is_empty() && matches!(byte, b'\r' | b'\n') {
                continue;
            }
            head.push(byte);
            match () {
                () if !head.ends_with(b"\n\n") && !head.ends_with(b"\n\r\n") => {}
                () if ends_early(head) => {
                    return Err(io::Error::new(io::ErrorKind::InvalidData, EARLY_END));
                }
                () if is_interim(head) => head.clear(),
                () => self.head = None,
            }
        }
        Ok(())
    }
}

/// Returns true if another head follows, that of the final answer.
fn is_interim(head: &[u8]) -> bool {
    head.get(b"HTTP/1.1 ".len()) == Some(&b'1')
}

impl<S> AsyncRead for HeadGuard<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.check(&buf[..count])?;
        Poll::Ready(Ok(count))
    }
}

impl<S> AsyncWrite for HeadGuard<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
