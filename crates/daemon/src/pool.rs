//! Connection pool of one upstream.
//!
//! A connection carries one request at a time. It returns to the pool only after the complete
//! answer was read; a connection whose request was cancelled, timed out or failed is closed. A late
//! answer can therefore never be taken for the answer to a later request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use futures_lite::FutureExt;
use trefoil_http::{Connection, ConnectionError};

/// Timeout for opening a connection. Opening takes about 1 ms, but a lost SYN packet is
/// retransmitted only after 1 s.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time in which a connection must become ready for another request after it has answered.
const READY_TIMEOUT: Duration = Duration::from_millis(2);

/// A pool of idle connections to one upstream.
#[derive(Debug, Clone)]
pub struct Pool {
    address: SocketAddr,
    max_idle: usize,
    idle: Arc<Mutex<Vec<Connection>>>,
}

impl Pool {
    /// Creates a pool that keeps up to `max_idle` idle connections.
    pub fn new(address: SocketAddr, max_idle: usize) -> Self {
        Self {
            address,
            max_idle,
            idle: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns an idle connection, or opens a new one.
    ///
    /// # Errors
    ///
    /// Fails if there is no idle connection and none can be opened.
    pub async fn take(&self) -> Result<Connection, ConnectionError> {
        loop {
            let idle = self.lock().pop();
            let Some(mut connection) = idle else {
                return Connection::open(self.address, OPEN_TIMEOUT).await;
            };
            let timeout = async {
                smol::Timer::after(READY_TIMEOUT).await;
                Err(ConnectionError::NotWritten)
            };
            if connection.is_idle() || connection.ready().or(timeout).await.is_ok() {
                return Ok(connection);
            }
        }
    }

    /// Returns a connection to the pool after its answer was read completely.
    pub fn put_back(&self, connection: Connection) {
        let mut idle = self.lock();
        if idle.len() < self.max_idle {
            idle.push(connection);
        }
    }

    /// Closes all idle connections.
    pub fn close(&self) {
        self.lock().clear();
    }
}
