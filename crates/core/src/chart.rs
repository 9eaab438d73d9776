//! Interpreter of state charts in YAML.
//!
//! A chart defines the initial state and, for each state, its transitions by event. States and
//! events are enums of the crate that owns the chart, so a chart with an unknown name fails to
//! parse:
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

/// A chart does not parse.
#[derive(Debug, Snafu)]
pub enum ChartError {
    /// The text is not a chart with these states and events.
    #[snafu(display("state chart does not parse: {message}"))]
    Parse {
        /// Message of the parser, with line and column.
        message: String,
    },
    /// The initial state or the target of a transition is not among the chart's states.
    #[snafu(display("state chart refers to the state {state}, which it does not define"))]
    UnlistedState {
        /// The missing state.
        state: String,
    },
}

/// A state machine with states of type `S` and events of type `E`.
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
    /// Parses a chart and checks that it defines every state that it refers to.
    ///
    /// # Errors
    ///
    /// Fails if the text does not parse or the chart refers to an undefined state.
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

    /// Returns the initial state.
    pub fn initial(&self) -> S {
        self.initial
    }

    /// Returns the state that follows `state` on `event`, or `None` without such a transition.
    pub fn next(&self, state: S, event: &E) -> Option<S> {
        self.states.get(&state)?.get(event).copied()
    }
}
