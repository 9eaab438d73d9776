//! A record of all runs, and checks of key ownership across upstreams.
//!
//! The recorder sees the grants of all upstreams of a deployment, which no single upstream does. It
//! reports a violation when a request with a key starts while another upstream of the service holds
//! an unexpired grant of that key, and when a grant does not have a higher fencing token than all
//! that other upstreams of the service have seen for its keys.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::Upstream;

/// One execution of a request.
#[derive(Debug, Clone)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Method, path and body as received.
    pub content: String,
    /// Start of the run.
    pub began: Instant,
    /// End of the run, and true if it completed rather than being cancelled.
    pub ended: Option<(Instant, bool)>,
}

#[derive(Debug, Default)]
struct Records {
    upstreams: Vec<Arc<Upstream>>,
    runs: Vec<Run>,
    violations: Vec<String>,
}

/// Records the runs of all upstreams of a deployment and checks the ownership of keys.
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

    /// Returns the other running upstreams of the same service.
    fn service_peers(&self, upstream: &Upstream) -> Vec<Arc<Upstream>> {
        let records = self.lock();
        let others = records.upstreams.iter().filter(|other| {
            other.spec.service == upstream.spec.service && other.address != upstream.address
        });
        others.map(Arc::clone).collect()
    }

    /// Records the start of a run and returns its index. Reports a violation for each other
    /// upstream that holds the key.
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
                        "{} runs {id} with grant {own:?} while {} holds key {key} with {left:?} \
                         (remaining time and fence)",
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

    /// Records the end of a run.
    pub(super) fn record_end(&self, run: usize, finished: bool) {
        if let Some(run) = self.lock().runs.get_mut(run) {
            run.ended = Some((Instant::now(), finished));
        }
    }

    /// Reports a violation for each other upstream that has seen the fencing token of this grant,
    /// or a higher one, for any of its keys.
    pub(super) fn check_grant(&self, upstream: &Upstream, range: (u16, u16), fence: u64) {
        for other in self.service_peers(upstream) {
            let highest = other.lock().grants.highest_fence(range);
            if highest >= fence {
                let text = format!(
                    "{} accepts keys {range:?} with fence {fence} \
                     although {} has seen fence {highest}",
                    upstream.name(),
                    other.name()
                );
                self.lock().violations.push(text);
            }
        }
    }

    /// Returns all runs in the order of their starts.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the number of runs per request id.
    pub fn run_counts(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for run in &self.lock().runs {
            *counts.entry(run.id.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the violations of key ownership, each as a line of text.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }
}
