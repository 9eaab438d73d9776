//! Requests and events of a scenario.

use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use trefoil_config::Weights;
use trefoil_core::KeyHash;

/// A deployment for one hour.
#[derive(Debug, Clone, PartialEq)]
pub struct Scenario {
    /// Name of the deployment.
    pub name: &'static str,
    /// Number of servers in each failure domain.
    pub domains: Vec<u16>,
    /// Number of shards.
    pub shards: u32,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the Zipf weights.
    pub zipf: f64,
    /// Requests in a measure window.
    pub requests: f64,
    /// Number of keys whose popularity changes together.
    pub hot_keys: usize,
    /// Measure windows between these changes.
    pub shift_interval: u32,
    /// Number of measure windows.
    pub windows: u32,
    /// Weights of the objective.
    pub weights: Weights,
    /// Window and kind of the events, in ascending order.
    pub events: Vec<(u32, Event)>,
}

/// What happens to servers. The servers are drawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// Servers are lost at the same moment.
    Lose(usize),
    /// All servers of a failure domain are lost.
    LoseDomain,
    /// A server is drained; it is gone when servers return.
    Leave,
    /// New servers take the places of those that were lost or left.
    Replace,
}

impl Scenario {
    /// The service registro-gar of Monterrey: 20 upstreams with 4 slots each in 4 failure domains.
    /// The weight of unavailable time is the highest.
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

    /// The service tilbud of Brekkestad: 20 upstreams with 2 slots each in 3 failure domains. The
    /// weight of churn is the highest, and imbalance is accepted.
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

/// One loss, three drains as in a rolling restart, the loss of a failure domain, and the loss of
/// two servers at once.
fn events() -> Vec<(u32, Event)> {
    let mut events = vec![(40, Event::Lose(1)), (60, Event::Replace)];
    for start in [100, 130, 160] {
        events.extend([(start, Event::Leave), (start + 6, Event::Replace)]);
    }
    events.extend([(220, Event::LoseDomain), (250, Event::Replace)]);
    events.extend([(300, Event::Lose(2)), (320, Event::Replace)]);
    events
}

/// The requests of a scenario, window by window.
#[derive(Debug)]
pub(super) struct Workload {
    rng: StdRng,
    /// The keys.
    pub keys: Vec<KeyHash>,
    /// Mean number of requests for each key in a window.
    rates: Vec<f64>,
    /// Positions in `rates` of the keys that are hot now.
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

    /// Gives the popularity of the hot keys to other keys.
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

/// Draws from a Poisson distribution: by multiplication for small rates, and by the normal
/// approximation above 30, where its error is below that of the draw.
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
