//! Repeated measurements at several sizes, and a linear fit of their medians.

use std::time::Instant;

/// Measurements of one quantity at several sizes.
#[derive(Debug)]
pub struct Series {
    name: &'static str,
    unit: &'static str,
    points: Vec<(f64, Vec<f64>)>,
}

impl Series {
    /// Creates a series without measurements.
    pub fn new(name: &'static str, unit: &'static str) -> Self {
        Self {
            name,
            unit,
            points: Vec::new(),
        }
    }

    /// Adds the results of all repeats at one size.
    pub fn add(&mut self, size: usize, mut repeats: Vec<f64>) {
        repeats.sort_by(f64::total_cmp);
        self.points.push((size as f64, repeats));
    }

    /// Prints minimum / median / maximum at each size, and the fitted line.
    pub fn print(&self) {
        println!("{} [{}]", self.name, self.unit);
        for (size, repeats) in &self.points {
            let (least, greatest) = (repeats[0], repeats[repeats.len() - 1]);
            let median = repeats[repeats.len() / 2];
            println!("  {size:>9}: {least:.3} / {median:.3} / {greatest:.3}");
        }
        let (intercept, slope, deviation) = self.fit_line();
        println!("  = {intercept:.3} + {slope:.6} n, medians at most {deviation:.0}% off the line");
    }

    /// Returns intercept and slope by least squares, and the greatest deviation of a median from
    /// the line in percent.
    fn fit_line(&self) -> (f64, f64, f64) {
        let medians = self.points.iter().map(|(x, r)| (*x, r[r.len() / 2]));
        let medians: Vec<(f64, f64)> = medians.collect();
        let count = medians.len().max(1) as f64;
        let (x, y) = medians
            .iter()
            .fold((0.0, 0.0), |sum, p| (sum.0 + p.0, sum.1 + p.1));
        let (x, y) = (x / count, y / count);
        let (mut xy, mut xx) = (0.0, 0.0);
        for p in &medians {
            xy += (p.0 - x) * (p.1 - y);
            xx += (p.0 - x) * (p.0 - x);
        }
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let intercept = y - slope * x;
        let deviation = |p: &(f64, f64)| ((intercept + slope * p.0) / p.1 - 1.0).abs() * 100.0;
        let deviation = medians.iter().map(deviation).fold(0.0, f64::max);
        (intercept, slope, deviation)
    }
}

/// Returns the time of `run` in microseconds for each of `repeats` runs. Each run gets a new value
/// from `setup`, which is not timed.
pub fn time_runs<S, F, T, R>(repeats: usize, mut setup: S, mut run: F) -> Vec<f64>
where
    S: FnMut() -> T,
    F: FnMut(&mut T) -> R,
{
    let once = |_| {
        let mut value = setup();
        let start = Instant::now();
        let result = std::hint::black_box(run(&mut value));
        let time = start.elapsed().as_secs_f64() * 1e6;
        drop(result);
        time
    };
    (0..repeats).map(once).collect()
}

/// Returns the times of [`time_runs`] divided by `count`, the number of operations in one run.
pub fn time_operations<S, F, T, R>(repeats: usize, count: usize, setup: S, run: F) -> Vec<f64>
where
    S: FnMut() -> T,
    F: FnMut(&mut T) -> R,
{
    let all = time_runs(repeats, setup, run).into_iter();
    all.map(|t| t / count as f64).collect()
}
