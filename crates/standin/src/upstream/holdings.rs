//! The keys that an upstream holds.

use std::time::{Duration, Instant};

/// Keys of a service.
const KEYS: usize = 1 << 16;

/// The keys that an upstream holds, and the highest fencing token that it has seen for each.
#[derive(Debug)]
pub(super) struct Holdings {
    until: Vec<Option<Instant>>,
    fences: Vec<u64>,
}

impl Default for Holdings {
    fn default() -> Self {
        Self {
            until: vec![None; KEYS],
            fences: vec![0; KEYS],
        }
    }
}

impl Holdings {
    /// Takes keys; false if a higher fencing token was seen for one of them.
    pub(super) fn grant(
        &mut self,
        now: Instant,
        keys: (u16, u16),
        fence: u64,
        hold: Duration,
    ) -> bool {
        let range = usize::from(keys.0)..=usize::from(keys.1);
        if self.fences[range.clone()].iter().any(|seen| *seen > fence) {
            return false;
        }
        self.fences[range.clone()].fill(fence);
        self.until[range].fill(Some(now + hold));
        true
    }

    /// Gives keys back.
    pub(super) fn release(&mut self, keys: (u16, u16), fence: u64) {
        for key in usize::from(keys.0)..=usize::from(keys.1) {
            if self.fences[key] <= fence {
                self.until[key] = None;
            }
        }
    }

    pub(super) fn holds(&self, now: Instant, key: u16) -> bool {
        self.until[usize::from(key)].is_some_and(|until| now < until)
    }

    /// How long it still holds a key, and the fencing token.
    pub(super) fn left(&self, now: Instant, key: u16) -> Option<(Duration, u64)> {
        let key = usize::from(key);
        let left = self.until[key]?.checked_duration_since(now)?;
        Some((left, self.fences[key]))
    }

    /// The highest fencing token seen in a range.
    pub(super) fn highest(&self, keys: (u16, u16)) -> u64 {
        let range = usize::from(keys.0)..=usize::from(keys.1);
        self.fences[range].iter().copied().max().unwrap_or_default()
    }
}
