//! A loopback TCP proxy that injects network faults.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use smol::{Async, Task};

/// The treatment of data that arrives at a proxy.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards it.
    #[default]
    Forward,
    /// Forwards it after a delay.
    Delay(Duration),
    /// Closes open connections when data arrives, and new connections at once.
    Reset,
    /// Discards it in both directions.
    Blackhole,
    /// Forwards data from the client and discards data from the server.
    DropAnswers,
}

/// A proxy in front of one address. Once dropped, it accepts no connections; established ones last
/// until either end closes them.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    mode: Arc<Mutex<LinkMode>>,
    _task: Task<()>,
}

impl Proxy {
    /// Starts a proxy that forwards to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
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

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the mode, also of open connections.
    pub fn set_mode(&self, mode: LinkMode) {
        *self.mode.lock().unwrap_or_else(PoisonError::into_inner) = mode;
    }
}

fn current_mode(mode: &Mutex<LinkMode>) -> LinkMode {
    *mode.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts connections until the proxy is dropped.
async fn accept(listener: Async<TcpListener>, target: SocketAddr, mode: Arc<Mutex<LinkMode>>) {
    while let Ok((stream, _)) = listener.accept().await {
        if current_mode(&mode) != LinkMode::Reset {
            // Both peers see the end of the connection; nothing else depends on its result.
            smol::spawn(relay(stream, target, Arc::clone(&mode))).detach();
        }
    }
}

/// Copies data between a client and the target until either closes the connection.
async fn relay(client: Async<TcpStream>, target: SocketAddr, mode: Arc<Mutex<LinkMode>>) {
    let Ok(server) = Async::<TcpStream>::connect(target).await else {
        return;
    };
    let requests = copy(&client, &server, &mode, false);
    let answers = copy(&server, &client, &mode, true);
    // The end of either direction closes both connections.
    let _ = requests.or(answers).await;
    let _ = client.get_ref().shutdown(Shutdown::Both);
    let _ = server.get_ref().shutdown(Shutdown::Both);
}

/// Copies data in one direction as the current mode requires. `answers` is true from server to
/// client.
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
        match current_mode(mode) {
            LinkMode::Reset => return Ok(()),
            LinkMode::Blackhole => continue,
            LinkMode::DropAnswers if answers => continue,
            LinkMode::Delay(delay) => {
                smol::Timer::after(delay).await;
            }
            LinkMode::Forward | LinkMode::DropAnswers => {}
        }
        to.write_all(&buffer[..count]).await?;
    }
}
