//! Rate of events with decaying weights.

use std::time::Duration;

use trefoil_core::Tick;

/// Time in which the weight of an event falls to 1/e. Overloads last some seconds.
const DECAY_TIME: Duration = Duration::from_secs(3);

/// Shortest time over which a rate is computed.
const SPAN_MIN: Duration = Duration::from_millis(100);

/// Counts events, which weigh less the older they are.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Tempo {
    weight: f64,
    at: Tick,
    /// The first event.
    since: Option<Tick>,
}

impl Tempo {
    pub(crate) fn add(&mut self, now: Tick) {
        self.weight = self.weight(now) + 1.0;
        self.at = now;
        self.since.get_or_insert(now);
    }

    /// Number of recent events.
    pub(crate) fn weight(&self, now: Tick) -> f64 {
        let age = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.weight * (-age).exp()
    }

    /// Events a second.
    pub(crate) fn rate(&self, now: Tick) -> f64 {
        let Some(since) = self.since else {
            return 0.0;
        };
        let decay = DECAY_TIME.as_secs_f64();
        let span = now.since(since).max(SPAN_MIN).as_secs_f64();
        // Sum of the weights of one event a second over the span.
        let unit = decay * (1.0 - (-span / decay).exp());
        self.weight(now) / unit
    }
}
