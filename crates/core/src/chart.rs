//! State charts that are read from YAML and interpreted.
//!
//! A chart names its initial state and, for each state, the transitions that events cause. States
//! and events are enums of the crate that owns the chart, so a chart with an unknown name does not
//! load:
//!
//! ```yaml
//! initial: warming
//! states:
//!   warming: { ready: serving, lost: down }
//!   serving: { lost: down }
//!   down: {}
//! ```

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// Why a chart does not load.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// The text is not a chart of these states and events.
    #[snafu(display("state chart does not parse: {message}"))]
    Parse {
        /// The parser's message with line and column.
        message: String,
    },
    /// A transition leads to a state that the chart does not list.
    #[snafu(display("state chart does not list the state {state}"))]
    UnlistedState {
        /// The missing state.
        state: String,
    },
}

/// Transitions between states of type `S` on events of type `E`.
#[derive(Debug, Clone, Deserialize)]
#[serde(
    deny_unknown_fields,
    bound = "S: DeserializeOwned + Ord, E: DeserializeOwned + Ord"
)]
pub struct StateChart<S, E> {
    initial: S,
    states: BTreeMap<S, BTreeMap<E, S>>,
}

impl<S, E> StateChart<S, E>
where
    S: DeserializeOwned + Ord + Copy + std::fmt::Debug,
    E: DeserializeOwned + Ord,
{
    /// Reads a chart and checks that every state it leads to is listed.
    ///
    /// # Errors
    ///
    /// Fails if the text does not parse or a transition leads to an unlisted state.
    pub fn parse(yaml: &str) -> Result<Self, ChartError> {
        let chart: Self = serde_saphyr::from_str(yaml).map_err(|e| ChartError::Parse {
            message: e.to_string(),
        })?;
        let targets = chart.states.values().flat_map(BTreeMap::values);
        let missing = targets
            .chain([&chart.initial])
            .find(|s| !chart.states.contains_key(s));
        match missing {
            Some(state) => Err(ChartError::UnlistedState {
                state: format!("{state:?}"),
            }),
            None => Ok(chart),
        }
    }

    /// The state in which a new subject starts.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// The state after `event`, or nothing if the chart has no such transition.
    pub fn next(&self, state: S, event: &E) -> Option<S> {
        self.states.get(&state)?.get(event).copied()
    }
}
