//! Sockets of the event loop.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsFd, AsRawFd};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use futures_lite::future::poll_fn;
use futures_lite::{AsyncRead, AsyncWrite};
use nix::errno::Errno;
use nix::sys::socket::{AddressFamily, SockFlag, SockType, SockaddrStorage, connect, socket};
use socket2::SockRef;

use crate::reactor::{Reactor, SourceKey};
use crate::source::{Direction, Source};

/// A socket of the event loop of the thread that has created it.
#[derive(Debug)]
pub struct Async<T> {
    io: T,
    source: Rc<Source>,
    key: SourceKey,
    reactor: Rc<Reactor>,
}

impl<T> Drop for Async<T> {
    fn drop(&mut self) {
        self.reactor.remove(self.key);
    }
}

impl<T> Async<T>
where
    T: AsFd,
{
    /// Adds a socket in non-blocking mode to the event loop.
    fn register(io: T, connected: bool) -> io::Result<Self> {
        let reactor = Reactor::current()?;
        let source = Rc::new(Source::new(connected));
        let key = reactor.add(&io, Rc::clone(&source))?;
        Ok(Self {
            io,
            source,
            key,
            reactor,
        })
    }
}

impl<T> Async<T>
where
    T: AsFd,
{
    /// The socket.
    pub fn get_ref(&self) -> &T {
        &self.io
    }

    /// Lets the next read ask the socket, although no event has shown it to be readable. So a
    /// close is found whose event the loop has not received yet.
    pub fn recheck_input(&self) {
        self.source.read.assume_ready();
    }

    /// Lets the next write ask the socket, although no event has shown it to be writable. A socket
    /// is reported as writable only once a large part of its buffer is free.
    pub fn recheck_output(&self) {
        self.source.write.assume_ready();
    }

    fn poll_input<F, R>(&self, cx: &Context<'_>, operation: F) -> Poll<io::Result<R>>
    where
        F: FnMut(&T) -> io::Result<R>,
    {
        self.poll_with(cx, &self.source.read, operation)
    }

    fn poll_output<F, R>(&self, cx: &Context<'_>, operation: F) -> Poll<io::Result<R>>
    where
        F: FnMut(&T) -> io::Result<R>,
    {
        let watched = !self.source.write.is_ready();
        let done = self.poll_with(cx, &self.source.write, operation);
        if done.is_pending() && !watched {
            self.reactor.watch_output(&self.io, self.key)?;
        }
        done
    }

    fn poll_with<F, R>(
        &self,
        cx: &Context<'_>,
        direction: &Direction,
        mut operation: F,
    ) -> Poll<io::Result<R>>
    where
        F: FnMut(&T) -> io::Result<R>,
    {
        while direction.poll_ready(cx).is_ready() {
            match operation(&self.io) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => direction.set_blocked(),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
        Poll::Pending
    }

    async fn read_with<F, R>(&self, mut operation: F) -> io::Result<R>
    where
        F: FnMut(&T) -> io::Result<R>,
    {
        poll_fn(|cx| self.poll_input(cx, &mut operation)).await
    }

    async fn write_with<F, R>(&self, mut operation: F) -> io::Result<R>
    where
        F: FnMut(&T) -> io::Result<R>,
    {
        poll_fn(|cx| self.poll_output(cx, &mut operation)).await
    }
}

impl Async<TcpListener> {
    /// Listens on an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind<A>(address: A) -> io::Result<Self>
    where
        A: Into<SocketAddr>,
    {
        let listener = TcpListener::bind(address.into())?;
        listener.set_nonblocking(true)?;
        Self::register(listener, true)
    }

    /// Accepts a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection was reset meanwhile or the process has no free descriptor.
    pub async fn accept(&self) -> io::Result<(Async<TcpStream>, SocketAddr)> {
        let (stream, address) = self.read_with(TcpListener::accept).await?;
        stream.set_nonblocking(true)?;
        Ok((Async::register(stream, true)?, address))
    }
}

impl Async<TcpStream> {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or the process has no free descriptor.
    pub async fn connect<A>(address: A) -> io::Result<Self>
    where
        A: Into<SocketAddr>,
    {
        let address = address.into();
        let family = match address {
            SocketAddr::V4(_) => AddressFamily::Inet,
            SocketAddr::V6(_) => AddressFamily::Inet6,
        };
        let flags = SockFlag::SOCK_NONBLOCK | SockFlag::SOCK_CLOEXEC;
        let descriptor = socket(family, SockType::Stream, flags, None)?;
        let started = connect(descriptor.as_raw_fd(), &SockaddrStorage::from(address));
        match started {
            Ok(()) => return Self::register(TcpStream::from(descriptor), true),
            Err(Errno::EINPROGRESS) => {}
            Err(error) => return Err(error.into()),
        }
        let stream = Self::register(TcpStream::from(descriptor), false)?;
        poll_fn(|cx| stream.source.write.poll_ready(cx)).await;
        match stream.io.take_error()? {
            Some(error) => Err(error),
            None => Ok(stream),
        }
    }
}

/// Returns `true` if a connection could not be opened because this host lacks descriptors, ports or
/// memory, which says nothing about its peer.
pub fn is_local_failure(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error().map(Errno::from_raw),
        Some(Errno::EMFILE | Errno::ENFILE | Errno::EADDRNOTAVAIL | Errno::ENOBUFS | Errno::ENOMEM)
    )
}

impl Async<TcpStream> {
    /// Limits the bytes in the send buffer that the peer has no room for yet. Otherwise the buffer
    /// grows to megabytes, which count as memory of the process.
    ///
    /// # Errors
    ///
    /// Fails if the socket does not support it.
    pub fn limit_unsent(&self, bytes: u32) -> io::Result<()> {
        SockRef::from(&self.io).set_tcp_notsent_lowat(bytes)
    }
}

impl Async<UdpSocket> {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub fn bind<A>(address: A) -> io::Result<Self>
    where
        A: Into<SocketAddr>,
    {
        let socket = UdpSocket::bind(address.into())?;
        socket.set_nonblocking(true)?;
        Self::register(socket, true)
    }

    /// Receives a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the socket does.
    pub async fn recv_from(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.read_with(|socket| socket.recv_from(buffer)).await
    }

    /// Sends a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the socket rejects the datagram.
    pub async fn send_to(&self, datagram: &[u8], address: SocketAddr) -> io::Result<usize> {
        self.write_with(|socket| socket.send_to(datagram, address))
            .await
    }
}

impl AsyncRead for Async<TcpStream> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let asked = buf.len();
        let read = self.poll_input(cx, |mut stream| stream.read(buf));
        // Nothing was read at the end of the input.
        if matches!(read, Poll::Ready(Ok(n)) if n > 0 && n < asked) {
            self.source.read.set_drained();
        }
        read
    }
}

impl AsyncWrite for Async<TcpStream> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_output(cx, |mut stream| stream.write(buf))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(match self.io.shutdown(Shutdown::Write) {
            Err(error) if error.kind() != io::ErrorKind::NotConnected => Err(error),
            _ => Ok(()),
        })
    }
}
