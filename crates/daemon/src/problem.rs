//! Errors for callers as problem documents (RFC 9457).

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{HeaderName, Response, StatusCode};
use serde::Serialize;
use trefoil_core::Outcome;
use trefoil_http::{Body, full};

/// Header that tells whether the request ran.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("trefoil-outcome");

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Status of the answer.
    pub status: u16,
    /// Short text of the status.
    pub title: &'static str,
    /// What went wrong with this request.
    pub detail: String,
    /// Whether the request ran.
    pub outcome: Outcome,
}

impl Problem {
    /// A problem of a request that was not run.
    pub fn not_run<D>(status: StatusCode, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self::new(status, Outcome::NotRun, detail.into())
    }

    /// A problem of a request that may have run. The status is one after which no client library
    /// repeats the request by itself.
    pub fn unknown(detail: &str) -> Self {
        let advice = "the request may have run; repeat it only with the same Idempotency-Key";
        Self::new(
            StatusCode::BAD_GATEWAY,
            Outcome::Unknown,
            format!("{detail}; {advice}"),
        )
    }

    fn new(status: StatusCode, outcome: Outcome, detail: String) -> Self {
        let title = status.canonical_reason().unwrap_or("Error");
        Self {
            status: status.as_u16(),
            title,
            detail,
            outcome,
        }
    }

    /// The answer with this problem.
    pub fn response(&self) -> Response<Body> {
        // The document has only strings and numbers, so it always encodes.
        let mut response = Response::new(full(serde_json::to_vec(self).unwrap_or_default()));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or_default();
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(OUTCOME_HEADER, outcome_value(self.outcome));
        response
    }
}

/// The value of [`OUTCOME_HEADER`].
pub fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}
