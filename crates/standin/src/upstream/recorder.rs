//! What all upstreams have run, and which promises that breaks.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::Upstream;

/// One execution of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// The request's id.
    pub id: String,
    /// The upstream.
    pub upstream: String,
    /// Method, path and body, as they arrived.
    pub content: String,
    /// When it began.
    pub began: Instant,
    /// When it ended, and whether it was finished.
    pub ended: Option<(Instant, bool)>,
}

#[derive(Debug, Default)]
struct Records {
    upstreams: Vec<Arc<Upstream>>,
    runs: Vec<Run>,
    violations: Vec<String>,
}

/// Sees everything that upstreams do.
#[derive(Debug, Default)]
pub struct RunRecorder(Mutex<Records>);

impl RunRecorder {
    fn lock(&self) -> MutexGuard<'_, Records> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn add_upstream(&self, upstream: &Arc<Upstream>) {
        self.lock().upstreams.push(Arc::clone(upstream));
    }

    pub(super) fn remove_upstream(&self, upstream: &Upstream) {
        let mut records = self.lock();
        records
            .upstreams
            .retain(|u| u.started != upstream.started || u.name() != upstream.name());
    }

    fn service_peers(&self, upstream: &Upstream) -> Vec<Arc<Upstream>> {
        let records = self.lock();
        let others = records.upstreams.iter().filter(|other| {
            other.spec.service == upstream.spec.service && other.address != upstream.address
        });
        others.map(Arc::clone).collect()
    }

    /// A request begins; returns the number of the run.
    pub(super) fn record_start(
        &self,
        upstream: &Upstream,
        id: &str,
        content: String,
        key: Option<u16>,
    ) -> usize {
        if let Some(key) = key {
            let now = Instant::now();
            let own = upstream.lock().grants.remaining(now, key);
            for other in self.service_peers(upstream) {
                if let Some(left) = other.lock().grants.remaining(now, key) {
                    let names = (upstream.name(), other.name());
                    let text = format!(
                        "{} runs {id} with {own:?} while {} holds key {key} with {left:?} (time left, fence)",
                        names.0, names.1
                    );
                    self.lock().violations.push(text);
                }
            }
        }
        let mut records = self.lock();
        records.runs.push(Run {
            id: id.to_owned(),
            upstream: upstream.name().to_owned(),
            content,
            began: Instant::now(),
            ended: None,
        });
        records.runs.len() - 1
    }

    pub(super) fn record_end(&self, run: usize, finished: bool) {
        if let Some(run) = self.lock().runs.get_mut(run) {
            run.ended = Some((Instant::now(), finished));
        }
    }

    /// An upstream takes keys.
    pub(super) fn check_grant(&self, upstream: &Upstream, range: (u16, u16), fence: u64) {
        for other in self.service_peers(upstream) {
            let highest = other.lock().grants.highest_fence(range);
            if highest >= fence {
                let text = format!(
                    "{} takes keys {range:?} with fence {fence}, {} had {highest}",
                    upstream.name(),
                    other.name()
                );
                self.lock().violations.push(text);
            }
        }
    }

    /// All runs so far, in the order in which they began.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// How often each request ran.
    pub fn run_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for run in &self.lock().runs {
            *counts.entry(run.id.clone()).or_default() += 1;
        }
        counts
    }

    /// Violations of ownership so far.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }
}
