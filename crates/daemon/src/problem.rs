//! Error responses to callers, as problem documents (RFC 9457).

use bytes::Bytes;
use http::header::{ALLOW, CONTENT_TYPE, HeaderValue};
use http::{HeaderName, Response, StatusCode};
use serde::Serialize;
use trefoil_core::Outcome;
use trefoil_http::{Body, full};

/// Response header with the outcome of the request.
pub const OUTCOME_HEADER: HeaderName = HeaderName::from_static("trefoil-outcome");

/// A problem document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// HTTP status code.
    pub status: u16,
    /// Reason phrase of the status.
    pub title: &'static str,
    /// Cause of this error.
    pub detail: String,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Allowed methods, for the `Allow` header.
    #[serde(skip)]
    pub allow: Option<String>,
}

impl Problem {
    /// Creates the problem of a request that was not run.
    pub fn not_run<D>(status: StatusCode, detail: D) -> Self
    where
        D: Into<String>,
    {
        Self::new(status, Outcome::NotRun, detail.into())
    }

    /// Creates the problem of a request that may have run. Its status is 502, after which client
    /// libraries do not retry by themselves.
    pub fn unknown(detail: &str) -> Self {
        let advice = "the request may have run; repeat it only with the same Idempotency-Key";
        Self::new(
            StatusCode::BAD_GATEWAY,
            Outcome::Unknown,
            format!("{detail}; {advice}"),
        )
    }

    /// Creates the problem of a body that turned out to be larger than `max` bytes while it was
    /// forwarded. The upstream received part of the body and cannot take it for the whole, but only
    /// an upstream that waits for the whole body has certainly not begun. `begun` is true if it may
    /// have.
    pub fn too_large(max: u64, begun: bool) -> Self {
        let detail = format!("the body has more than {max} bytes");
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        if !begun {
            return Self::not_run(status, detail);
        }
        let Self {
            detail, outcome, ..
        } = Self::unknown(&detail);
        Self::new(status, outcome, detail)
    }

    fn new(status: StatusCode, outcome: Outcome, detail: String) -> Self {
        let title = status.canonical_reason().unwrap_or("Error");
        Self {
            status: status.as_u16(),
            title,
            detail,
            outcome,
            allow: None,
        }
    }

    /// Creates the response with this problem.
    pub fn response(&self) -> Response<Body> {
        self.document().map(full)
    }

    /// Creates the response with this problem, with the body as one buffer.
    pub fn document(&self) -> Response<Bytes> {
        // The document contains only strings and numbers, so encoding cannot fail.
        let document = serde_json::to_vec(self).unwrap_or_default();
        let mut response = Response::new(Bytes::from(document));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or_default();
        let headers = response.headers_mut();
        headers.insert(
            CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        headers.insert(OUTCOME_HEADER, outcome_value(self.outcome));
        let allow = self.allow.as_deref().map(HeaderValue::from_str);
        if let Some(Ok(allow)) = allow {
            headers.insert(ALLOW, allow);
        }
        response
    }
}

/// Returns the value of [`OUTCOME_HEADER`] for an outcome.
pub fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}
