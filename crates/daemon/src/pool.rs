//! Connection pool of one upstream.
//!
//! A connection carries one request at a time. It returns to the pool only after the complete
//! answer was read; a connection whose request was cancelled, timed out or failed is closed. A late
//! answer can therefore never be taken for the answer to a later request.
//!
//! An upstream in trouble may also send an answer twice, the second time when the next request has
//! been sent. Each attempt therefore has a number, see [`ATTEMPT_HEADER`], and only connections on
//! which the upstream returns it are used again. One that returns none gets a new connection for
//! each request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use derive_more::{Display, FromStr};
use futures_lite::FutureExt;
use http::HeaderMap;
use trefoil_http::{Connection, ConnectionError};

/// Header with the number of an attempt, which is unique among the attempts at one upstream. The
/// upstream returns it in its answer.
pub const ATTEMPT_HEADER: &str = "trefoil-attempt";

/// Timeout for opening a connection. Opening takes about 1 ms, but a lost SYN packet is
/// retransmitted only after 1 s.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time in which a connection must become ready for another request after it has answered.
const READY_TIMEOUT: Duration = Duration::from_millis(2);

/// Number of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, FromStr)]
pub struct AttemptNumber(u64);

/// Whether the head of an answer belongs to the attempt that waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// The upstream has returned the number of the attempt.
    Proven,
    /// The upstream returns no numbers, and no earlier answer can arrive on a new connection.
    Assumed,
    /// The answer belongs to another attempt, or may do so.
    Other,
}

/// A connection to an upstream.
#[derive(Debug)]
pub struct Link {
    /// The connection.
    pub connection: Connection,
    /// An answer was read from it.
    used: bool,
}

impl Link {
    /// Decides whether an answer with these headers belongs to the attempt with this number, which
    /// is the last one that was sent on this connection.
    pub fn identify(&mut self, number: AttemptNumber, headers: &HeaderMap) -> Identity {
        let used = std::mem::replace(&mut self.used, true);
        let mut returned = headers.get_all(ATTEMPT_HEADER).iter();
        match (returned.next(), returned.next()) {
            (Some(only), None) if only.as_bytes() == number.to_string().as_bytes() => {
                Identity::Proven
            }
            (None, _) if !used => Identity::Assumed,
            _ => Identity::Other,
        }
    }
}

/// A pool of idle connections to one upstream.
#[derive(Debug, Clone)]
pub struct Pool {
    address: SocketAddr,
    max_idle: usize,
    idle: Arc<Mutex<Vec<Link>>>,
    attempts: Arc<AtomicU64>,
}

impl Pool {
    /// Creates a pool that keeps up to `max_idle` idle connections.
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self {
            address,
            max_idle,
            idle: Arc::default(),
            attempts: Arc::default(),
        }
    }

    /// Returns the number of the next attempt.
    pub fn next_attempt(&self) -> AttemptNumber {
        AttemptNumber(self.attempts.fetch_add(1, Ordering::Relaxed) + 1)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Link>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if there is no idle connection and none can be opened.
    pub async fn take(&self) -> Result<Link, ConnectionError> {
        loop {
            let idle = self.lock().pop();
            let Some(mut link) = idle else {
                let connection = Connection::open(self.address, OPEN_TIMEOUT).await?;
                return Ok(Link {
                    connection,
                    used: false,
                });
            };
            let connection = &mut link.connection;
            let timeout = async {
                smol::Timer::after(READY_TIMEOUT).await;
                Err(ConnectionError::NotWritten)
            };
            if connection.is_idle() || connection.ready().or(timeout).await.is_ok() {
                return Ok(link);
            }
        }
    }

    /// Returns a connection to the pool on which nothing was sent, or whose answer was
    /// [`Proven`](Identity::Proven) and read completely.
    pub fn put_back(&self, link: Link) {
        let mut idle = self.lock();
        if idle.len() < self.max_idle {
            idle.push(link);
        }
    }

    /// Closes all idle connections.
    pub fn close(&self) {
        self.lock().clear();
    }
}
