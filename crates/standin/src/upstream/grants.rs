//! Grants of keys to an upstream.

use std::time::{Duration, Instant};

/// Number of keys of a service.
const KEY_COUNT: usize = 1 << 16;

/// Expiry of the grant and highest fencing token seen, for each key of a service.
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
    /// Grants a range of keys for `ttl`. Returns false, without a change, if a higher fencing token
    /// has been seen for one of them.
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

    /// Releases the keys of a range whose fencing token is not higher than `fence`.
    pub(super) fn release(&mut self, range: (u16, u16), fence: u64) {
        for key in usize::from(range.0)..=usize::from(range.1) {
            if self.fences[key] <= fence {
                self.expiries[key] = None;
            }
        }
    }

    /// Returns true if an unexpired grant covers the key.
    pub(super) fn is_held(&self, now: Instant, key: u16) -> bool {
        self.expiries[usize::from(key)].is_some_and(|expiry| now < expiry)
    }

    /// Returns the remaining time and the fencing token of a key's grant if it has not expired.
    pub(super) fn remaining(&self, now: Instant, key: u16) -> Option<(Duration, u64)> {
        let key = usize::from(key);
        let remaining = self.expiries[key]?.checked_duration_since(now)?;
        Some((remaining, self.fences[key]))
    }

    /// Returns the highest fencing token seen for any key of a range.
    pub(super) fn highest_fence(&self, range: (u16, u16)) -> u64 {
        let indexes = usize::from(range.0)..=usize::from(range.1);
        self.fences[indexes]
            .iter()
            .copied()
            .max()
            .unwrap_or_default()
    }
}
