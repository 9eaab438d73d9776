//! Records of evacuations whose keys name no domain.

use std::collections::BTreeSet;

/// Most keys that are remembered. The keys beyond them are not logged.
const KEYS_MAX: usize = 64;

/// Keys that were logged as rejected, each once until its record is removed. The newest records are
/// read again and again.
#[derive(Debug, Default)]
pub(crate) struct RejectedKeys {
    keys: BTreeSet<String>,
}

impl RejectedKeys {
    /// Forgets keys without a record when the newest record of each key was read.
    pub(crate) fn retain_present<'a, I>(&mut self, present: I)
    where
        I: Iterator<Item = &'a str>,
    {
        let present: BTreeSet<&str> = present.collect();
        self.keys.retain(|key| present.contains(key.as_str()));
    }

    /// Records a record with an unusable key, or its removal. Returns `true` if it must be logged.
    pub(crate) fn record(&mut self, key: String, present: bool) -> bool {
        if !present {
            self.keys.remove(&key);
            return false;
        }
        self.keys.len() < KEYS_MAX && self.keys.insert(key)
    }
}
