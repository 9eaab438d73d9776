//! Budgets of retries and connections.
//!
//! Retries multiply load exactly when an upstream is short of capacity. The [`RetryBudget`] bounds
//! them to a tenth of the requests. Each upstream has its own budget, queue and limit, and an
//! upstream belongs to one service, so a failing service cannot spend what another one saved.
//!
//! A [`ConnectionPermit`] is a handle that cannot be copied. The budget counts it from the attempt to
//! open it, because a half-open connection occupies the upstream as well.

use snafu::Snafu;

/// Requests that pay for one retry.
pub const REQUESTS_PER_RETRY: u32 = 10;

/// Most retries that can be saved up. It bounds the burst after a long time without failures.
pub const RETRY_BURST_MAX: u32 = 10;

/// Retries that one upstream may receive: a tenth of its requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryBudget {
    /// Saved credit; [`REQUESTS_PER_RETRY`] pay for one retry.
    credit: u32,
}

impl RetryBudget {
    /// Counts a request that is sent for the first time.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + 1).min(REQUESTS_PER_RETRY * RETRY_BURST_MAX);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn withdraw(&mut self) -> bool {
        match self.credit.checked_sub(REQUESTS_PER_RETRY) {
            Some(rest) => {
                self.credit = rest;
                true
            }
            None => false,
        }
    }
}

/// All connections of the budget are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("all {limit} connections to the upstream are in use"))]
pub struct ConnectionsExhausted {
    /// The budget.
    pub limit: u32,
}

/// Permission to hold one connection open.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "an unreturned connection reduces the budget for good"]
pub struct ConnectionPermit(());

/// Connections to one upstream that may be open at once.
#[derive(Debug)]
pub struct ConnectionBudget {
    limit: u32,
    open: u32,
}

impl ConnectionBudget {
    /// A budget of `limit` connections.
    pub fn new(limit: u32) -> Self {
        Self { limit, open: 0 }
    }

    /// Takes a connection. It is called before the connection is opened.
    ///
    /// # Errors
    ///
    /// Fails if all connections are in use.
    pub fn open(&mut self) -> Result<ConnectionPermit, ConnectionsExhausted> {
        if self.open >= self.limit {
            return Err(ConnectionsExhausted { limit: self.limit });
        }
        self.open += 1;
        Ok(ConnectionPermit(()))
    }

    /// Returns a connection that was closed or could not be opened.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "consuming the connection makes a second return impossible"
    )]
    pub fn close(&mut self, connection: ConnectionPermit) {
        let ConnectionPermit(()) = connection;
        self.open = self.open.saturating_sub(1);
    }

    /// Number of connections in use.
    pub fn in_use(&self) -> u32 {
        self.open
    }
}
