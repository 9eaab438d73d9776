//! Checks of the guarantees against the calls of callers and the runs of upstreams.
//!
//! A request that is not idempotent runs at most once, and not at all if its answer states so. A
//! request reaches a bounded number of upstreams and is sent a bounded number of times. An upstream
//! runs the method, path and body that the caller sent. A successful answer is the one that an
//! upstream gave to this request. A known route is never denied. Violations of key ownership come
//! from the recorder.

use std::collections::{BTreeSet, HashMap};

use trefoil_standin::{Run, RunRecorder};

use crate::callers::{Call, RequestKind};

/// Statuses that guarantee that the request has not run and will not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Maximum number of upstreams that a request may reach: `attempts` in the routes of
/// [`test_config`](trefoil_standin::test_config).
const UPSTREAMS_MAX: usize = 2;

/// Maximum number of times that a request may be sent, to the same or another upstream.
const SENDS_MAX: usize = 4;

/// Returns all violations, each as a line of text.
pub fn check_invariants(calls: &[Call], recorder: &RunRecorder) -> Vec<String> {
    let runs = recorder.runs();
    let mut runs_by_id: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &runs {
        runs_by_id.entry(&run.id).or_default().push(run);
    }
    let calls_by_id: HashMap<&str, &Call> = calls.iter().map(|c| (c.id.as_str(), c)).collect();
    let mut violations: Vec<String> = recorder.violations();
    for call in calls {
        let own = runs_by_id
            .get(call.id.as_str())
            .map_or(&[][..], Vec::as_slice);
        violations.extend(check_call(call, own));
    }
    for run in &runs {
        match calls_by_id.get(run.id.as_str()) {
            Some(call) if call.content != run.content => {
                violations.push(format!("{run:?} differs from the request of {call:?}"));
            }
            // The last request of a caller may lack a call, because the caller was stopped
            // meanwhile.
            _ => {}
        }
    }
    violations
}

/// Returns the violations of a call, given the runs with its id.
fn check_call(call: &Call, runs: &[&Run]) -> Vec<String> {
    let mut violations = Vec::new();
    let names: Vec<&str> = runs.iter().map(|run| run.upstream.as_str()).collect();
    let mut report = |fault: &str| violations.push(format!("{fault}: {call:?}, runs at {names:?}"));
    if call.kind == RequestKind::Write && runs.len() > 1 {
        report("ran twice");
    }
    let distinct: BTreeSet<&&str> = names.iter().collect();
    if distinct.len() > UPSTREAMS_MAX {
        report("reached more upstreams than the route allows");
    }
    if runs.len() > SENDS_MAX {
        report("sent more often than allowed");
    }
    let Some(answer) = &call.answer else {
        return violations;
    };
    if call.kind == RequestKind::Write
        && NOT_RUN_STATUSES.contains(&answer.status)
        && !runs.is_empty()
    {
        report("ran although the answer states that it did not");
    }
    if answer.status == 200 {
        let seal = format!("sealed-{}", call.id);
        let genuine = names
            .iter()
            .any(|name| answer.body == format!("{name} ran {}", call.id));
        if answer.header("x-response-seal") != Some(&seal) || !genuine {
            report("the answer is not that of an upstream that ran it");
        }
    }
    if matches!(answer.status, 400 | 401 | 403 | 404) {
        report("denied on a known route");
    }
    violations
}
