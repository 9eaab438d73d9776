//! Settings and results of the model.

use std::collections::{BTreeMap, BTreeSet};

use trefoil_core::{Outcome, RequestId};
use trefoil_dispatch::mechanism::Mechanism;

/// Load and faults of one run. Probabilities apply to each attempt.
#[derive(Debug, Clone)]
pub(in crate::dispatch) struct Setup {
    pub(in crate::dispatch) seed: u64,
    pub(in crate::dispatch) slots: Vec<u32>,
    /// Offered load as a multiple of the capacity of each upstream.
    pub(in crate::dispatch) load: f64,
    pub(in crate::dispatch) seconds: u64,
    /// The connection breaks while the upstream executes the request.
    pub(in crate::dispatch) breaks: f64,
    pub(in crate::dispatch) refusals: f64,
    pub(in crate::dispatch) unwritten: f64,
    /// A caller sends a second copy under the same id.
    pub(in crate::dispatch) duplicates: f64,
    /// Upstream 0 executes nothing in this span of milliseconds.
    pub(in crate::dispatch) frozen: Option<(u64, u64)>,
    /// The dispatcher of upstream 0 is replaced at this time in milliseconds.
    pub(in crate::dispatch) takeover: Option<u64>,
    /// All shards move from upstream 0 to upstream 1 at this time in milliseconds.
    pub(in crate::dispatch) moved: Option<u64>,
    pub(in crate::dispatch) without: Option<Mechanism>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            seed: 1,
            slots: vec![4],
            load: 3.0,
            seconds: 20,
            breaks: 0.0,
            refusals: 0.0,
            unwritten: 0.0,
            duplicates: 0.0,
            frozen: None,
            takeover: None,
            moved: None,
            without: None,
        }
    }
}

/// Mean service time of the model in seconds: 98% uniform from 5 to 15 ms, 2% uniform from 40
/// to 60 ms.
pub(in crate::dispatch) const MEAN: f64 = 0.98 * 0.010 + 0.02 * 0.050;

/// Results of a run.
#[derive(Debug, Default)]
pub(in crate::dispatch) struct Checker {
    /// Executions of each id.
    pub(in crate::dispatch) runs: BTreeMap<RequestId, u32>,
    /// Violations, as sentences.
    pub(in crate::dispatch) violations: BTreeSet<String>,
    /// Answers in time at each upstream.
    pub(in crate::dispatch) good: Vec<u64>,
    /// Times to the answer in milliseconds at each upstream.
    pub(in crate::dispatch) latencies: Vec<Vec<f64>>,
    /// Service times that were drawn, in seconds.
    pub(in crate::dispatch) drawn: Vec<f64>,
    /// Number of answers to callers, by outcome.
    pub(in crate::dispatch) outcomes: BTreeMap<Outcome, u64>,
    /// Maximum number of attempts that an upstream executed at once.
    pub(in crate::dispatch) peak: usize,
}
