//! Scenarios, and the random requests of a scenario.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use trefoil_config::Weights;
use trefoil_core::KeyHash;

/// A deployment, its load and its events.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// The name of the deployment.
    pub name: &'static str,
    /// Number of servers in each failure domain.
    pub domains: Vec<u16>,
    /// Number of shards.
    pub shards: u32,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf weights.
    pub zipf: f64,
    /// Number of requests in a measure window.
    pub requests: f64,
    /// Number of hot keys, which are all replaced at the same time.
    pub hot_keys: usize,
    /// Number of measure windows between these replacements.
    pub shift_interval: u32,
    /// Number of measure windows.
    pub windows: u32,
    /// Weights of the objective.
    pub weights: Weights,
    /// Window and kind of the events, in ascending order.
    pub events: Vec<(u32, Event)>,
}

/// An event of randomly chosen servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Servers are lost at the same moment.
    Lose(usize),
    /// All servers of a failure domain are lost.
    LoseDomain,
    /// A server is drained. It counts as lost from the next [`Event::Replace`].
    Leave,
    /// New servers join in place of those that were lost or left.
    Replace,
}

impl Scenario {
    /// The service registro-gar of Monterrey: 20 upstreams with 4 slots each in 4 failure domains.
    /// Unavailable time has the highest weight.
    pub fn monterrey() -> Self {
        Self {
            name: "Monterrey registro-gar",
            domains: vec![5, 5, 5, 5],
            shards: 1024,
            keys: 50_000,
            zipf: 0.9,
            // 20 upstreams at 240/s: 60% of 4 slots of 10 ms.
            requests: 48_000.0,
            hot_keys: 20,
            shift_interval: 18,
            windows: 360,
            weights: weights(10.0, 1.0, 1.0),
            events: events(),
        }
    }

    /// The service tilbud of Brekkestad: 20 upstreams with 2 slots each in 3 failure domains. Churn
    /// has the highest weight, and imbalance is accepted.
    pub fn brekkestad() -> Self {
        Self {
            name: "Brekkestad tilbud",
            domains: vec![7, 7, 6],
            shards: 1024,
            keys: 30_000,
            zipf: 0.7,
            // 20 upstreams at 60/s: 60% of 2 slots of 20 ms.
            requests: 12_000.0,
            hot_keys: 20,
            shift_interval: 18,
            windows: 360,
            weights: weights(1.0, 10.0, 1.0),
            events: events(),
        }
    }
}

fn weights(unavailable: f64, churn: f64, imbalance: f64) -> Weights {
    Weights {
        unavailable,
        churn,
        imbalance,
    }
}

/// Returns the events of both scenarios: one loss, three drains as in a rolling restart, the loss
/// of a failure domain, and the simultaneous loss of two servers.
fn events() -> Vec<(u32, Event)> {
    let mut events = vec![(40, Event::Lose(1)), (60, Event::Replace)];
    for start in [100, 130, 160] {
        events.extend([(start, Event::Leave), (start + 6, Event::Replace)]);
    }
    events.extend([(220, Event::LoseDomain), (250, Event::Replace)]);
    events.extend([(300, Event::Lose(2)), (320, Event::Replace)]);
    events
}

/// Generates the requests of a scenario, window by window.
#[derive(Debug)]
pub(super) struct Workload {
    rng: StdRng,
    /// The keys.
    pub keys: Vec<KeyHash>,
    /// Mean number of requests for each key in a window.
    rates: Vec<f64>,
    /// Positions in `rates` of the current hot keys.
    hot: Vec<usize>,
}

impl Workload {
    pub fn new(scenario: &Scenario, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let keys = (0..scenario.keys).map(|_| KeyHash(rng.random()));
        let keys: Vec<KeyHash> = keys.collect();
        let rank = |i: usize| crate::objective::to_f64(i + 1).powf(-scenario.zipf);
        let mut rates: Vec<f64> = (0..scenario.keys).map(rank).collect();
        let sum: f64 = rates.iter().sum();
        for rate in &mut rates {
            *rate *= scenario.requests / sum;
        }
        Self {
            rng,
            keys,
            rates,
            hot: (0..scenario.hot_keys).collect(),
        }
    }

    /// Draws a number below `count`.
    pub fn draw(&mut self, count: usize) -> usize {
        self.rng.random_range(0..count)
    }

    /// Shuffles a list.
    pub fn shuffle<T>(&mut self, list: &mut [T]) {
        list.shuffle(&mut self.rng);
    }

    /// Swaps the rates of the hot keys with those of randomly chosen keys.
    pub fn shift_popularity(&mut self) {
        let mut hot = std::mem::take(&mut self.hot);
        for old in &mut hot {
            let new = self.rng.random_range(0..self.rates.len());
            self.rates.swap(*old, new);
            *old = new;
        }
        self.hot = hot;
    }

    /// Draws the number of requests for each key in one window.
    pub fn window(&mut self) -> Vec<u64> {
        let Self { rng, rates, .. } = self;
        rates.iter().map(|&rate| poisson(rng, rate)).collect()
    }
}

/// Draws from a Poisson distribution: with Knuth's multiplication method for small rates, and with
/// the normal approximation above 30, where the error of the approximation is smaller than the
/// random variation of the draw.
fn poisson(rng: &mut StdRng, rate: f64) -> u64 {
    if rate > 30.0 {
        let (u, v): (f64, f64) = (rng.random(), rng.random());
        let normal = (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos();
        let count = (rate + rate.sqrt() * normal).round().max(0.0);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small number that is not negative"
        )]
        return count as u64;
    }
    let limit = (-rate).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > limit {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}
