//! Budgets of retries and connections.
//!
//! Retries multiply load exactly when an upstream is short of capacity. The [`RetryBudget`] bounds
//! them to a tenth of the requests. Each upstream has its own budget, queue and limit, and an
//! upstream belongs to one service, so a failing service cannot use the credit of another.
//!
//! A [`ConnectionPermit`] cannot be copied. The budget counts it from the attempt to open the
//! connection, because a half-open connection occupies the upstream too.

use snafu::Snafu;

/// Number of requests that give the credit for one retry.
pub const REQUESTS_PER_RETRY: u32 = 10;

/// Maximum credit, in retries. It bounds the burst after a long time without failures.
pub const RETRY_BURST_MAX: u32 = 10;

/// Budget of the retries to one upstream: a tenth of its requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryBudget {
    /// Credit, of which one retry uses [`REQUESTS_PER_RETRY`].
    credit: u32,
}

impl RetryBudget {
    /// Counts a request that is sent for the first time.
    pub fn deposit(&mut self) {
        self.credit = (self.credit + 1).min(REQUESTS_PER_RETRY * RETRY_BURST_MAX);
    }

    /// Takes one retry from the budget and returns true, or returns false if the credit is too low.
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

/// Error of [`ConnectionBudget::open`]: all connections of the budget are in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("all {limit} connections to the upstream are in use"))]
pub struct ConnectionsExhausted {
    /// Number of connections in the budget.
    pub limit: u32,
}

/// Permit to have one connection open.
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a permit that is not returned reduces the budget permanently"]
pub struct ConnectionPermit(());

/// Budget of the connections to one upstream that may be open at once.
#[derive(Debug)]
pub struct ConnectionBudget {
    limit: u32,
    open: u32,
}

impl ConnectionBudget {
    /// Creates a budget of `limit` connections.
    pub fn new(limit: u32) -> Self {
        Self { limit, open: 0 }
    }

    /// Takes a permit. The driver calls it before it opens the connection.
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

    /// Returns the permit of a connection that was closed or could not be opened.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "consuming the permit prevents a second return"
    )]
    pub fn close(&mut self, permit: ConnectionPermit) {
        let ConnectionPermit(()) = permit;
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the number of connections in use.
    pub fn in_use(&self) -> u32 {
        self.open
    }
}
