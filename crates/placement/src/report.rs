//! The placement report.
//!
//! Operations reads it for imbalance: the load share and the peak of each upstream, service and
//! failure domain. Customer service reads it for churn: which keys moved, when and why. Both need
//! the same windows, so there is one [`Report`] with two views, and a third part that shows what
//! the objective traded: the terms before and after each plan, in the weights that were in force.
//!
//! A [`Recorder`] collects one service's windows as they pass and keeps a bounded number of them.
//! A report is rendered as [text](Report::to_text), [JSON](Report::to_json) and one
//! [HTML page](Report::to_html) that loads nothing else. Everything that comes from outside is
//! escaped there, also names whose types allow no special characters.

mod html;
mod record;
mod text;

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use trefoil_config::Weights;
use trefoil_core::{DomainName, ServiceName, UnixMillis, UpstreamName};

use crate::objective::Cost;
use crate::reason::{Reason, Unit};

pub use record::{Recorder, WindowSample};

/// Rows of a table that text and HTML show. JSON has all rows.
pub const ROWS_MAX: usize = 100;

/// End of the year 9999, the last one that RFC 3339 can write.
const LAST_YEAR: Duration = Duration::from_hours(70_389_528);

/// A placement report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Title, for example the region.
    pub title: String,
    /// One part for each service.
    pub services: Vec<ServiceReport>,
}

/// The part of one service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceName,
    /// Weights of the objective at the last window.
    pub weights: Weights,
    /// The windows, oldest first.
    pub windows: Vec<WindowRow>,
    /// The upstreams by load share, greatest first.
    pub upstreams: Vec<UpstreamRow>,
    /// The failure domains by load share, greatest first.
    pub domains: Vec<DomainRow>,
    /// Number of moves for each reason that occurred.
    pub reasons: Vec<ReasonRow>,
    /// The moves that changed an owner, oldest first.
    pub moves: Vec<MoveRow>,
    /// Older moves that are left out of `moves`.
    pub omitted: u64,
    /// What the objective traded in each plan that changed something.
    pub trades: Vec<Trade>,
}

/// One measure window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowRow {
    /// End of the window.
    pub at: UnixMillis,
    /// Load of the service, in requests.
    pub load: f64,
    /// Peak over mean utilization of the upstreams.
    pub peak: f64,
    /// Shards and hot keys that changed their owner.
    pub moved: u64,
    /// Share of the keys that changed their owner.
    pub churn: f64,
    /// Seconds without service, summed over the upstreams.
    pub unavailable: f64,
}

/// One upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// The upstream.
    pub name: UpstreamName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its state at the last window.
    pub state: String,
    /// Shards that it owns at the last window.
    pub shards: u64,
    /// Hot keys with entries that it owns at the last window.
    pub hot: u64,
    /// Its share of the load of all windows.
    pub share: f64,
    /// Its greatest utilization over the mean in a window.
    pub peak: f64,
    /// Shards and hot keys that it got.
    pub gained: u64,
    /// Shards and hot keys that it gave.
    pub given: u64,
    /// Seconds without service.
    pub unavailable: f64,
}

/// One failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainRow {
    /// The failure domain.
    pub domain: DomainName,
    /// Upstreams that are not lost.
    pub upstreams: u64,
    /// Its share of the load of all windows.
    pub share: f64,
    /// Its greatest share of the load in a window.
    pub peak: f64,
    /// Seconds without service, summed over its upstreams.
    pub unavailable: f64,
}

/// Moves of one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReasonRow {
    /// The reason.
    pub reason: Reason,
    /// Number of moves.
    pub moves: u64,
}

/// One move that changed an owner.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MoveRow {
    /// End of the window.
    pub at: UnixMillis,
    /// What was moved.
    pub unit: Unit,
    /// The old owner, if there was one.
    pub from: Option<UpstreamName>,
    /// The new owner.
    pub to: Option<UpstreamName>,
    /// Why.
    pub reason: Reason,
    /// What the objective gained.
    pub gain: f64,
    /// What churn and hand-over cost.
    pub price: f64,
}

/// What the objective traded in one plan.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Trade {
    /// End of the window.
    pub at: UnixMillis,
    /// Terms before the plan.
    pub before: Cost,
    /// Terms after the plan.
    pub after: Cost,
    /// Churn that had no alternative.
    pub forced: f64,
    /// Churn that was chosen.
    pub chosen: f64,
    /// What the chosen moves gained in the objective.
    pub gained: f64,
    /// What their churn and hand-over cost in the objective.
    pub paid: f64,
}

impl Report {
    /// The report as text for a terminal.
    pub fn to_text(&self) -> String {
        text::render(self)
    }

    /// The report as JSON.
    ///
    /// # Errors
    ///
    /// None are known: all fields have a form in JSON. A figure that is not finite becomes `null`.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// The report as one HTML page.
    pub fn to_html(&self) -> String {
        html::render(self)
    }
}

impl ServiceReport {
    /// Mean of peak over mean over all windows.
    pub fn mean_peak(&self) -> f64 {
        let sum: f64 = self.windows.iter().map(|w| w.peak).sum();
        sum / crate::objective::to_f64(self.windows.len().max(1))
    }

    /// The greatest peak over mean of a window.
    pub fn worst_peak(&self) -> f64 {
        self.windows.iter().map(|w| w.peak).fold(0.0, f64::max)
    }

    /// Share of the keys that changed their owner, summed over all windows.
    pub fn churn(&self) -> f64 {
        self.windows.iter().map(|w| w.churn).sum()
    }

    /// Seconds without service, summed over upstreams and windows.
    pub fn unavailable(&self) -> f64 {
        self.windows.iter().map(|w| w.unavailable).sum()
    }
}

/// A time as RFC 3339 in UTC.
fn time(at: UnixMillis) -> String {
    match SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(at.0)) {
        Some(at) if at < SystemTime::UNIX_EPOCH + LAST_YEAR => {
            humantime::format_rfc3339_seconds(at).to_string()
        }
        _ => format!("{} ms", at.0),
    }
}

/// Part of a whole in percent.
fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn owner(name: Option<&UpstreamName>) -> &str {
    name.map_or("nobody", UpstreamName::as_str)
}
