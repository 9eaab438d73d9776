//! A seeded comparison of placements.
//!
//! A [`Scenario`] is one of today's deployments for an hour of measure windows of [`WINDOW_SECONDS`]
//! seconds. Requests for keys are drawn with Zipf weights, the hottest keys change every few
//! minutes, and servers are lost, drained and replaced. A placement sees only the requests of past
//! windows; it is measured by the requests of the next one.
//!
//! The measures are peak over mean utilization in each window, keys whose owner changed, and
//! unavailable key-seconds: [`TAKEOVER_SECONDS`] for a key whose owner was lost, a window more if the
//! standby was lost too, and [`HANDOVER_SECONDS`] for a key that was moved from a live owner. Baselines are
//! not charged for a key that was promoted and moved in one window; it counts as one move.
//!
//! The same scenario and seed give the same figures on every run.

mod run;
mod workload;

use std::fmt::Write as _;
use std::ops::Range;

use crate::baseline::PlacementStrategy;
use crate::objective::Objective;
use crate::planner::PlanError;

pub use run::run;
pub use workload::{Event, Scenario};

/// Length of a measure window in seconds.
pub const WINDOW_SECONDS: f64 = 10.0;

/// Seconds without service for a key whose owner is lost: the bound of the design's section 5.
pub const TAKEOVER_SECONDS: f64 = 3.0;

/// Seconds without service for a key that moves between live owners: an estimate of the time in
/// which requests in flight finish and the release crosses domains twice.
pub const HANDOVER_SECONDS: f64 = 0.1;

/// Keys moved in the windows of one kind of event, against the least that had to move.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Churn {
    /// Keys whose owner changed.
    pub moved: f64,
    /// Keys that had to change their owner.
    pub minimum: f64,
}

impl Churn {
    /// Keys moved for each key that had to move.
    pub fn ratio(&self) -> f64 {
        self.moved / self.minimum
    }

    fn add(&mut self, other: Self) {
        self.moved += other.moved;
        self.minimum += other.minimum;
    }
}

/// The measures of one placement, or their sums over several seeds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Measurements {
    /// Peak over mean utilization in each window.
    pub peaks: Vec<f64>,
    /// Windows and keys moved in them, without the windows of events.
    pub quiet: (f64, f64),
    /// Churn when servers are lost.
    pub loss: Churn,
    /// Churn when a server leaves.
    pub leave: Churn,
    /// Churn from the join of servers until they are warm.
    pub join: Churn,
    /// Keys moved in all windows.
    pub moved: f64,
    /// Unavailable key-seconds.
    pub unavailable: f64,
    /// Number of runs that were added up.
    pub runs: f64,
}

impl Measurements {
    /// Adds the measures of another run.
    pub fn add(&mut self, other: &Self) {
        self.peaks.extend(&other.peaks);
        self.quiet.0 += other.quiet.0;
        self.quiet.1 += other.quiet.1;
        self.loss.add(other.loss);
        self.leave.add(other.leave);
        self.join.add(other.join);
        self.moved += other.moved;
        self.unavailable += other.unavailable;
        self.runs += other.runs;
    }

    /// Mean of peak over mean.
    pub fn mean_peak(&self) -> f64 {
        self.peaks.iter().sum::<f64>() / crate::objective::to_f64(self.peaks.len())
    }

    /// The peak over mean that the given part of the windows does not exceed.
    pub fn peak_quantile(&self, part: f64) -> f64 {
        let mut sorted = self.peaks.clone();
        sorted.sort_by(f64::total_cmp);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "an index into a short list"
        )]
        let index = (crate::objective::to_f64(sorted.len()) * part) as usize;
        sorted.get(index).or(sorted.last()).copied().unwrap_or(0.0)
    }
}

/// Runs a placement over several seeds, each in its own thread, and adds up the measures.
///
/// # Errors
///
/// Fails if the placement makes no plan.
pub fn run_all(
    scenario: &Scenario,
    strategy: &dyn PlacementStrategy,
    seeds: Range<u64>,
) -> Result<Measurements, PlanError> {
    let results: Vec<Result<Measurements, PlanError>> = std::thread::scope(|scope| {
        let start = |seed| scope.spawn(move || run(scenario, strategy, seed));
        let threads: Vec<_> = seeds.map(start).collect();
        let join = |t: std::thread::ScopedJoinHandle<'_, _>| match t.join() {
            Ok(result) => result,
            Err(panic) => std::panic::resume_unwind(panic),
        };
        threads.into_iter().map(join).collect()
    });
    let mut sum = Measurements::default();
    for result in results {
        sum.add(&result?);
    }
    Ok(sum)
}

/// Runs several placements over several seeds and renders a table.
///
/// # Errors
///
/// Fails if a placement makes no plan.
pub fn render_table<'a, P>(
    scenario: &Scenario,
    strategies: P,
    seeds: Range<u64>,
) -> Result<String, PlanError>
where
    P: IntoIterator<Item = &'a dyn PlacementStrategy>,
{
    let mut text = format!(
        "{}: {} servers, {} shards, {} keys, {} windows of {WINDOW_SECONDS} s, seeds {}..{}\n",
        scenario.name,
        scenario.domains.iter().sum::<u16>(),
        scenario.shards,
        scenario.keys,
        scenario.windows,
        seeds.start,
        seeds.end,
    );
    text.push_str(
        "placement              peak/mean    p95    max  keys/window  loss  leave   join  \
         keys moved  unavailable key-s\n",
    );
    for strategy in strategies {
        let sum = run_all(scenario, strategy, seeds.clone())?;
        // Writing to a string does not fail.
        let _ = writeln!(
            text,
            "{:<22} {:>9.3} {:>6.3} {:>6.3} {:>12.1} {:>5.2} {:>6.2} {:>6.2} {:>11.0} {:>18.0}",
            strategy.name(),
            sum.mean_peak(),
            sum.peak_quantile(0.95),
            sum.peak_quantile(1.0),
            sum.quiet.1 / sum.quiet.0,
            sum.loss.ratio(),
            sum.leave.ratio(),
            sum.join.ratio(),
            sum.moved / sum.runs,
            sum.unavailable / sum.runs,
        );
    }
    Ok(text)
}

/// The objective of a scenario.
pub fn objective(scenario: &Scenario) -> Objective {
    Objective {
        weights: scenario.weights,
        ..Objective::default()
    }
}
