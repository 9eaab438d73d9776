//! Answers to callers.

use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::BodyExt;
use trefoil_core::Outcome;
use trefoil_wire::{AnswerHead, Body};

use crate::problem::{OUTCOME_HEADER, Problem, outcome_value};

/// Outcome and response of a request.
pub(super) type CallerAnswer = (Outcome, Response<trefoil_http::Body>);

/// Creates the problem of a request that was not run because no dispatcher accepted it.
pub(super) fn unavailable(reason: &str) -> Problem {
    Problem::not_run(StatusCode::SERVICE_UNAVAILABLE, reason)
}

/// Converts the upstream's answer to a response with the outcome in its header.
pub(super) fn to_caller_answer(head: AnswerHead, body: Body) -> CallerAnswer {
    let AnswerHead::Answer {
        status,
        headers,
        outcome,
        ..
    } = head
    else {
        let problem = Problem::unknown("the dispatcher's answer has no head");
        return (problem.outcome, problem.response());
    };
    let body = body
        .map_err(|e| Box::new(e) as trefoil_http::BodyError)
        .boxed();
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(&value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, outcome_value(outcome));
    (outcome, response)
}
