//! Whether what callers and upstreams have seen keeps the promises.

use std::collections::{BTreeSet, HashMap};

use trefoil_standin::{Run, RunRecorder};

use crate::callers::{Call, RequestKind};

/// Statuses that promise that the request has not run and will not.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Upstreams that a request may meet: `attempts` of the routes.
const UPSTREAMS_MAX: usize = 2;

/// Times that a request may be sent.
const SENDS_MAX: usize = 4;

/// All broken promises, each as a line.
pub fn check_invariants(calls: &[Call], recorder: &RunRecorder) -> Vec<String> {
    let runs = recorder.runs();
    let mut of_call: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &runs {
        of_call.entry(&run.id).or_default().push(run);
    }
    let known: HashMap<&str, &Call> = calls.iter().map(|c| (c.id.as_str(), c)).collect();
    let mut broken: Vec<String> = recorder.violations();
    for call in calls {
        let own = of_call.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        broken.extend(check_call(call, own));
    }
    for run in &runs {
        match known.get(run.id.as_str()) {
            Some(call) if call.content != run.content => {
                broken.push(format!("{run:?} is not what {call:?} asked for"));
            }
            // The last request of a caller may have no call: the caller was stopped meanwhile.
            _ => {}
        }
    }
    broken
}

fn check_call(call: &Call, runs: &[&Run]) -> Vec<String> {
    let mut broken = Vec::new();
    let names: Vec<&str> = runs.iter().map(|run| run.upstream.as_str()).collect();
    let mut tell = |what: &str| broken.push(format!("{what}: {call:?}, runs at {names:?}"));
    if call.kind == RequestKind::Write && runs.len() > 1 {
        tell("ran twice");
    }
    let distinct: BTreeSet<&&str> = names.iter().collect();
    if distinct.len() > UPSTREAMS_MAX {
        tell("more upstreams than the route allows");
    }
    if runs.len() > SENDS_MAX {
        tell("sent too often");
    }
    let Some(answer) = &call.answer else {
        return broken;
    };
    if call.kind == RequestKind::Write && PROMISES.contains(&answer.status) && !runs.is_empty() {
        tell("refused, but it ran");
    }
    if answer.status == 200 {
        let seal = format!("sealed-{}", call.id);
        let whole = names
            .iter()
            .any(|name| answer.body == format!("{name} ran {}", call.id));
        if answer.header("x-response-seal") != Some(&seal) || !whole {
            tell("another answer than its upstream gave");
        }
    }
    if matches!(answer.status, 400 | 401 | 403 | 404) {
        tell("denied");
    }
    broken
}
