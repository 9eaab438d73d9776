//! Progress of an answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Number of bytes that a connection has received, for a task other than the one that reads them.
#[derive(Debug, Clone, Default)]
pub struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Number of bytes received so far.
    pub fn received(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    pub(super) fn add(&self, count: usize) {
        self.0.fetch_add(count, Ordering::Relaxed);
    }
}
