//! A seeded comparison of placement strategies.
//!
//! A [`Scenario`] simulates one of today's deployments for an hour, in measure windows of
//! [`WINDOW_SECONDS`] seconds. Requests for keys are drawn with Zipf weights, the hottest keys
//! change every few minutes, and servers are lost, drained and replaced. The input of a strategy is
//! the load of past windows; its result is measured with the requests of the next window.
//!
//! The measurements are the peak divided by the mean utilization in each window, the number of keys
//! whose owner changed, and unavailable key-seconds: [`TAKEOVER_SECONDS`] for a key whose owner was
//! lost, one window more if the standby was lost too, and [`HANDOVER_SECONDS`] for a key that moved
//! from a live owner. A key that is promoted and then moved in the same window counts as one move
//! and is charged only for the takeover, which favors the baselines.
//!
//! A scenario and a seed determine the result: it is equal in every run.

mod run;
mod workload;

use std::fmt::Write as _;
use std::ops::Range;

use crate::baseline::PlacementStrategy;
use crate::objective::Objective;
use crate::planner::PlanError;

pub use run::run;
pub use workload::{Event, Scenario};

/// Length of a measure window.
pub const WINDOW_SECONDS: f64 = 10.0;

/// Time without service for a key whose owner is lost: the bound from section 5 of the design.
pub const TAKEOVER_SECONDS: f64 = 3.0;

/// Time without service for a key that moves between live owners: an estimate of the time for
/// requests in flight to finish and for the release to cross failure domains twice.
pub const HANDOVER_SECONDS: f64 = 0.1;

/// Number of keys moved in the windows of one kind of event, and the minimum for these events.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Churn {
    /// Number of keys whose owner changed.
    pub moved: f64,
    /// Number of keys whose owner had to change.
    pub minimum: f64,
}

impl Churn {
    /// Returns the number of keys moved for each key that had to move.
    pub fn ratio(&self) -> f64 {
        self.moved / self.minimum
    }

    fn add(&mut self, other: Self) {
        self.moved += other.moved;
        self.minimum += other.minimum;
    }
}

/// The measurements of one strategy, or their sums over several seeds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Measurements {
    /// Peak divided by mean utilization in each window.
    pub peaks: Vec<f64>,
    /// Number of windows without an event, and number of keys moved in these windows.
    pub quiet: (f64, f64),
    /// Churn in the windows in which servers are lost.
    pub loss: Churn,
    /// Churn in the windows in which a server leaves.
    pub leave: Churn,
    /// Churn from the window in which servers join until they are warm.
    pub join: Churn,
    /// Number of keys moved in all windows.
    pub moved: f64,
    /// Unavailable key-seconds.
    pub unavailable: f64,
    /// Number of runs that were added up.
    pub runs: f64,
}

impl Measurements {
    /// Adds the measurements of another run.
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

    /// Returns the mean of all peaks.
    pub fn mean_peak(&self) -> f64 {
        self.peaks.iter().sum::<f64>() / crate::objective::to_f64(self.peaks.len())
    }

    /// Returns the peak that is not exceeded in the given fraction of the windows.
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

/// Runs a strategy with several seeds, each in its own thread, and adds up the measurements.
///
/// # Errors
///
/// Fails if the strategy cannot compute a plan.
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

/// Runs several strategies with several seeds and renders a table of their measurements.
///
/// # Errors
///
/// Fails if a strategy cannot compute a plan.
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
        // Writing to a string cannot fail.
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

/// Returns the default objective with the weights of a scenario.
pub fn objective(scenario: &Scenario) -> Objective {
    Objective {
        weights: scenario.weights,
        ..Objective::default()
    }
}
