//! Limit on the bodies of answers that are being received.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Limit on the bodies of answers that are being received: the size of each, and the memory that
/// all of them take up together. Clones share that memory.
#[derive(Debug, Clone)]
pub struct BodyLimit {
    each: usize,
    total: usize,
    used: Arc<AtomicUsize>,
}

impl BodyLimit {
    /// A limit of `each` bytes for one body, without one for all together.
    pub fn new(each: usize) -> Self {
        Self::with_total(each, usize::MAX)
    }

    /// A limit of `each` bytes for one body and of `total` bytes for all together.
    pub fn with_total(each: usize, total: usize) -> Self {
        Self {
            each,
            total,
            used: Arc::default(),
        }
    }
}

/// Memory of one body. Dropping it returns the memory.
#[derive(Debug)]
pub(super) struct BodyMemory {
    limit: BodyLimit,
    size: usize,
}

impl BodyMemory {
    pub(super) fn new(limit: &BodyLimit) -> Self {
        Self {
            limit: limit.clone(),
            size: 0,
        }
    }

    /// Takes memory for `count` more bytes.
    ///
    /// # Errors
    ///
    /// Fails with the reason if a limit is reached.
    pub(super) fn take(&mut self, count: usize) -> Result<(), String> {
        let BodyLimit { each, total, used } = &self.limit;
        if self.size + count > *each {
            return Err(format!("the answer has more than {each} bytes"));
        }
        self.size += count;
        if used.fetch_add(count, Ordering::Relaxed) + count > *total {
            return Err(format!("the open answers have more than {total} bytes"));
        }
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.limit.used.fetch_sub(self.size, Ordering::Relaxed);
    }
}
