//! Phases of a change of ownership.

use std::sync::LazyLock;

use derive_more::Display;
use serde::Deserialize;
use trefoil_core::StateChart;

/// Progress of the orders for one entry of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[display(rename_all = "kebab-case")]
pub enum Phase {
    /// The former owner may hold a grant.
    Clearing,
    /// The former owner holds no grant. The table in the store still lists it.
    Recording,
    /// The owner has not confirmed its first grant.
    Granting,
    /// The owner has confirmed a grant, which is renewed.
    Held,
}

/// Events that move an entry to another phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Event {
    /// The former owner cannot hold a grant any more, or there is none.
    Cleared,
    /// The store has a table without the former owner.
    Recorded,
    /// The owner has confirmed a grant.
    Granted,
    /// The owner's last confirmed grant has expired.
    Expired,
}

static CHART: LazyLock<StateChart<Phase, Event>> = LazyLock::new(|| {
    StateChart::parse(include_str!("move_state.yaml"))
        .unwrap_or_else(|e| panic!("move_state.yaml: {e}"))
});

impl Phase {
    /// The phase of an entry that was just written to the table.
    pub(crate) fn initial() -> Self {
        CHART.initial()
    }

    /// The phase after `event`. An event that the chart does not list for this phase is ignored.
    pub(crate) fn after(self, event: Event) -> Self {
        CHART.next(self, &event).unwrap_or(self)
    }
}
