//! The placement report.
//!
//! Operations reads it for imbalance: the load share and the peak of each upstream, service and
//! failure domain. Customer service reads it for churn: the keys that moved, with time and reason.
//! Both views refer to the same windows, so they are parts of one [`Report`]. A third part shows
//! the trade-offs of the objective: its terms before and after each plan, and the gain and price of
//! the moves with the weights in force.
//!
//! A [`Recorder`] collects the windows of one service and keeps a bounded number of them. A report
//! is rendered as [text](Report::to_text), [JSON](Report::to_json) or one
//! [HTML page](Report::to_html) without external resources. All text in the page is escaped, also
//! names whose types allow no special characters.

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

/// Largest number of rows of a table in text and HTML. JSON has all rows.
pub const ROWS_MAX: usize = 100;

/// End of the year 9999, the last year that RFC 3339 can represent, as time since the Unix epoch.
const LAST_YEAR: Duration = Duration::from_hours(70_389_528);

/// A placement report.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The title, for example the region.
    pub title: String,
    /// One report for each service.
    pub services: Vec<ServiceReport>,
}

/// The placement report of one service.
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
    /// Number of older moves that are left out of `moves`.
    pub omitted: u64,
    /// The trade-offs of the objective, one for each plan that has changes.
    pub trades: Vec<Trade>,
}

/// One measure window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WindowRow {
    /// End of the window.
    pub at: UnixMillis,
    /// Load of the service, in requests.
    pub load: f64,
    /// Highest utilization of an upstream divided by the mean.
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
    /// The failure domain.
    pub domain: DomainName,
    /// The state in the last window.
    pub state: String,
    /// Number of shards that it owns in the last window.
    pub shards: u64,
    /// Number of hot keys with entries that it owns in the last window.
    pub hot: u64,
    /// Share of the load of all windows.
    pub share: f64,
    /// Highest utilization in a window, divided by the mean of all upstreams.
    pub peak: f64,
    /// Number of shards and hot keys that moved to it.
    pub gained: u64,
    /// Number of shards and hot keys that moved away from it.
    pub given: u64,
    /// Seconds without service.
    pub unavailable: f64,
}

/// One failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DomainRow {
    /// The failure domain.
    pub domain: DomainName,
    /// Number of upstreams that are not lost.
    pub upstreams: u64,
    /// Share of the load of all windows.
    pub share: f64,
    /// Greatest share of the load in a window.
    pub peak: f64,
    /// Seconds without service, summed over its upstreams.
    pub unavailable: f64,
}

/// Number of moves with one reason.
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
    /// The moved unit.
    pub unit: Unit,
    /// The old owner, if there was one.
    pub from: Option<UpstreamName>,
    /// The new owner.
    pub to: Option<UpstreamName>,
    /// The reason.
    pub reason: Reason,
    /// Decrease of the objective, before the price is subtracted.
    pub gain: f64,
    /// Cost of churn and handover.
    pub price: f64,
}

/// The trade-off of the objective in one plan.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Trade {
    /// End of the window.
    pub at: UnixMillis,
    /// Terms before the plan.
    pub before: Cost,
    /// Terms after the plan.
    pub after: Cost,
    /// Churn of the forced moves.
    pub forced: f64,
    /// Churn of the moves that were chosen for balance.
    pub chosen: f64,
    /// Decrease of the objective by the chosen moves, before their price is subtracted.
    pub gained: f64,
    /// Cost of churn and handover of the chosen moves.
    pub paid: f64,
}

impl Report {
    /// Renders the report as text for a terminal.
    pub fn to_text(&self) -> String {
        text::render(self)
    }

    /// Renders the report as JSON.
    ///
    /// # Errors
    ///
    /// None are expected: JSON can represent all fields. A number that is not finite becomes
    /// `null`.
    pub fn to_json(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string_pretty(self)
    }

    /// Renders the report as one HTML page.
    pub fn to_html(&self) -> String {
        html::render(self)
    }
}

impl ServiceReport {
    /// Returns the mean of [`WindowRow::peak`] over all windows.
    pub fn mean_peak(&self) -> f64 {
        let sum: f64 = self.windows.iter().map(|w| w.peak).sum();
        sum / crate::objective::to_f64(self.windows.len().max(1))
    }

    /// Returns the greatest [`WindowRow::peak`] of all windows.
    pub fn worst_peak(&self) -> f64 {
        self.windows.iter().map(|w| w.peak).fold(0.0, f64::max)
    }

    /// Returns the share of the keys that changed their owner, summed over all windows.
    pub fn churn(&self) -> f64 {
        self.windows.iter().map(|w| w.churn).sum()
    }

    /// Returns the seconds without service, summed over upstreams and windows.
    pub fn unavailable(&self) -> f64 {
        self.windows.iter().map(|w| w.unavailable).sum()
    }
}

/// Formats a time as RFC 3339 in UTC.
fn format_time(at: UnixMillis) -> String {
    match SystemTime::UNIX_EPOCH.checked_add(Duration::from_millis(at.0)) {
        Some(at) if at < SystemTime::UNIX_EPOCH + LAST_YEAR => {
            humantime::format_rfc3339_seconds(at).to_string()
        }
        _ => format!("{} ms", at.0),
    }
}

/// Formats a share in percent.
fn format_percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn owner_name(name: Option<&UpstreamName>) -> &str {
    name.map_or("nobody", UpstreamName::as_str)
}
