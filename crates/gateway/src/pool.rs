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
#[derive(Debug, Default)]
pub struct Pool {
    kept: HashMap<SocketAddr, Vec<IdleLink>>,
}

impl Pool {
    /// Takes a connection that has been idle for less than `idle`.
    pub fn take(&mut self, now: Tick, address: SocketAddr, idle: Duration) -> Option<UpstreamLink> {
        let kept = self.kept.get_mut(&address)?;
        while let Some(mut newest) = kept.pop() {
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
        }
    }

    /// Closes the idle connections to an address.
    pub fn close(&mut self, address: SocketAddr) {
        self.kept.remove(&address);
    }

    /// Closes the connections that have been idle for too long.
    pub fn expire(&mut self, now: Tick) {
        for kept in self.kept.values_mut() {
            kept.retain(|k| now.since(k.since) < max_idle(&k.link));
        }
        self.kept.retain(|_, kept| !kept.is_empty());
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
