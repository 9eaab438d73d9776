//! The keys that an upstream holds.

use std::time::{Duration, Instant};

/// Keys of a service.
const KEY_COUNT: usize = 1 << 16;

/// The keys that an upstream holds, and the highest fencing token that it has seen for each.
#[derive(Debug)]
pub(super) struct KeyGrants {
    expiries: Vec<Option<Instant>>,
    fences: Vec<u64>,
}

impl Default for KeyGrants {
    fn default() -> Self {
        Self {
            expiries: vec![None; KEY_COUNT],
            fences: vec![0; KEY_COUNT],
        }
    }
}

impl KeyGrants {
    /// Takes keys; false if a higher fencing token was seen for one of them.
    pub(super) fn grant(
        &mut self,
        now: Instant,
        range: (u16, u16),
        fence: u64,
        ttl: Duration,
    ) -> bool {
        let indexes = usize::from(range.0)..=usize::from(range.1);
        if self.fences[indexes.clone()]
            .iter()
            .any(|seen| *seen > fence)
        {
            return false;
        }
        self.fences[indexes.clone()].fill(fence);
        self.expiries[indexes].fill(Some(now + ttl));
        true
    }

    /// Gives keys back.
    pub(super) fn release(&mut self, range: (u16, u16), fence: u64) {
        for key in usize::from(range.0)..=usize::from(range.1) {
            if self.fences[key] <= fence {
                self.expiries[key] = None;
            }
        }
    }

    pub(super) fn is_held(&self, now: Instant, key: u16) -> bool {
        self.expiries[usize::from(key)].is_some_and(|expiry| now < expiry)
    }

    /// How long it still holds a key, and the fencing token.
    pub(super) fn remaining(&self, now: Instant, key: u16) -> Option<(Duration, u64)> {
        let key = usize::from(key);
        let remaining = self.expiries[key]?.checked_duration_since(now)?;
        Some((remaining, self.fences[key]))
    }

    /// The highest fencing token seen in a range.
    pub(super) fn highest_fence(&self, range: (u16, u16)) -> u64 {
        let indexes = usize::from(range.0)..=usize::from(range.1);
        self.fences[indexes]
            .iter()
            .copied()
            .max()
            .unwrap_or_default()
    }
}
