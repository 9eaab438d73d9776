//! Weighted distribution of a route's requests over its targets.

use crate::Target;

/// Fractional part of the golden ratio. Its multiples modulo 1 form a low-discrepancy sequence,
/// which gives each target its share within fewer requests than random numbers do.
const STEP: f64 = 0.618_033_988_749_894_8;

/// Position in the low-discrepancy sequence that selects targets.
#[derive(Debug, Clone, Copy)]
pub struct Spread {
    position: f64,
}

impl Spread {
    /// Creates a sequence that starts at `position`. Hosts choose it at random, so that they do not
    /// prefer the same target at the same time.
    pub fn new(position: f64) -> Self {
        Self {
            position: position.rem_euclid(1.0),
        }
    }

    /// Selects the target of the next request, or nothing if all weights are 0.
    pub fn next<'a>(&mut self, targets: &'a [Target]) -> Option<&'a Target> {
        let total: f64 = targets.iter().map(|t| f64::from(t.weight)).sum();
        let mut left = self.position * total;
        self.position = (self.position + STEP).fract();
        targets.iter().find(|target| {
            left -= f64::from(target.weight);
            left < 0.0
        })
    }
}
