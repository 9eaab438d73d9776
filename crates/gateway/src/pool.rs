//! Connections to upstreams.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Async;
use trefoil_core::{Clock, Tick};
use trefoil_http::h1::ClientConnection;

/// A connection to an upstream.
pub type UpstreamLink = ClientConnection<Async<TcpStream>>;

/// Longest time to open a connection. If the first packet is lost, it is retransmitted only after a
/// second; a new attempt is faster.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a connection is not used, unless the upstream states a shorter one.
/// Otherwise the upstream may close the connection at the moment at which a request is sent on it.
const IDLE_MAX: Duration = Duration::from_secs(8);

/// Margin before the upstream's stated idle limit at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(500);

/// Most idle connections for each upstream.
const IDLE_LINKS_MAX: usize = 8;

#[derive(Debug)]
struct IdleLink {
    link: UpstreamLink,
    since: Tick,
}

/// Idle connections to upstreams.
#[derive(Debug)]
pub struct Pool {
    /// By address, oldest first.
    kept: HashMap<SocketAddr, Vec<IdleLink>>,
    /// Number of connections to all addresses.
    count: usize,
    /// Largest value of `count`.
    max: usize,
}

impl Pool {
    /// Creates a pool that keeps up to `max` connections.
    pub fn new(max: usize) -> Self {
        Self {
            kept: HashMap::new(),
            count: 0,
            max,
        }
    }

    /// Takes a connection that has been idle for less than `idle`.
    pub fn take(&mut self, now: Tick, address: SocketAddr, idle: Duration) -> Option<UpstreamLink> {
        let kept = self.kept.get_mut(&address)?;
        while let Some(mut newest) = kept.pop() {
            self.count -= 1;
            if now.since(newest.since) < max_idle(&newest.link).min(idle)
                && newest.link.is_reusable()
            {
                return Some(newest.link);
            }
        }
        None
    }

    /// Keeps a connection for the next request if it can carry one.
    pub fn put(&mut self, now: Tick, address: SocketAddr, mut link: UpstreamLink) {
        let kept = self.kept.entry(address).or_default();
        if kept.len() < IDLE_LINKS_MAX && link.is_reusable() {
            kept.push(IdleLink { link, since: now });
            self.count += 1;
            self.close_surplus();
        }
    }

    /// Closes the connection that has been idle for longest if there are too many.
    fn close_surplus(&mut self) {
        if self.count <= self.max {
            return;
        }
        let oldest = self.kept.values_mut().filter(|kept| !kept.is_empty());
        if let Some(kept) = oldest.min_by_key(|kept| kept[0].since) {
            kept.remove(0);
            self.count -= 1;
        }
    }

    /// Closes the idle connections to an address.
    pub fn close(&mut self, address: SocketAddr) {
        let closed = self.kept.remove(&address);
        self.count -= closed.map_or(0, |kept| kept.len());
    }

    /// Closes the connections that have been idle for too long.
    pub fn expire(&mut self, now: Tick) {
        for kept in self.kept.values_mut() {
            kept.retain(|k| now.since(k.since) < max_idle(&k.link));
        }
        self.kept.retain(|_, kept| !kept.is_empty());
        self.count = self.kept.values().map(Vec::len).sum();
    }
}

fn max_idle(link: &UpstreamLink) -> Duration {
    let stated = link
        .keep_alive_timeout()
        .map(|l| l.saturating_sub(IDLE_MARGIN));
    stated.map_or(IDLE_MAX, |l| l.min(IDLE_MAX))
}

/// Opens a connection.
///
/// # Errors
///
/// Fails if the connection is refused or not open within [`CONNECT_TIMEOUT`].
pub async fn connect(clock: &dyn Clock, address: SocketAddr) -> io::Result<UpstreamLink> {
    let timeout = async {
        clock.sleep(CONNECT_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = Async::<TcpStream>::connect(address).or(timeout).await?;
    // A request is sent in one write; Nagle's algorithm would only delay it.
    stream.get_ref().set_nodelay(true)?;
    Ok(ClientConnection::new(stream))
}
