//! A loopback proxy that harms connections.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Async, Task};

/// What a proxy does to the bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Passes them on.
    #[default]
    Forward,
    /// Passes them on later.
    Delay(Duration),
    /// Closes connections, old and new ones.
    Reset,
    /// Swallows them in both directions.
    Blackhole,
    /// Passes on what the caller sends and swallows the answers.
    DropAnswers,
}

/// A proxy in front of one address. It ends when it is dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: Arc<Mutex<LinkMode>>,
    _task: Task<()>,
}

impl Proxy {
    /// Starts a proxy in front of `target`.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = Async::<TcpListener>::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.get_ref().local_addr()?;
        let mode = Arc::<Mutex<LinkMode>>::default();
        let task = smol::spawn(accept(listener, target, Arc::clone(&mode)));
        Ok(Self {
            address,
            mode,
            _task: task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does, also to open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }
}

fn now(mode: &Mutex<LinkMode>) -> LinkMode {
    *mode.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn accept(listener: Async<TcpListener>, target: SocketAddr, mode: Arc<Mutex<LinkMode>>) {
    while let Ok((stream, _)) = listener.accept().await {
        if now(&mode) != LinkMode::Reset {
            // The end of a connection is all that there is to tell.
            smol::spawn(connection(stream, target, Arc::clone(&mode))).detach();
        }
    }
}

async fn connection(near: Async<TcpStream>, target: SocketAddr, mode: Arc<Mutex<LinkMode>>) {
    let Ok(far) = Async::<TcpStream>::connect(target).await else {
        return;
    };
    let there = copy(&near, &far, &mode, false);
    let back = copy(&far, &near, &mode, true);
    // Either end closes both.
    let _ = there.or(back).await;
    let _ = near.get_ref().shutdown(Shutdown::Both);
    let _ = far.get_ref().shutdown(Shutdown::Both);
}

async fn copy(
    mut from: &Async<TcpStream>,
    mut to: &Async<TcpStream>,
    mode: &Mutex<LinkMode>,
    answers: bool,
) -> io::Result<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let count = from.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        match now(mode) {
            LinkMode::Reset => return Ok(()),
            LinkMode::Blackhole => continue,
            LinkMode::DropAnswers if answers => continue,
            LinkMode::Delay(span) => {
                smol::Timer::after(span).await;
            }
            LinkMode::Forward | LinkMode::DropAnswers => {}
        }
        to.write_all(&buffer[..count]).await?;
    }
}
