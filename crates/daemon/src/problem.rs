//! Errors for callers as problem documents (RFC 9457).

use bytes::Bytes;
use http::header::{ALLOW, CONTENT_TYPE, HeaderValue};
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
    /// The methods that would be allowed, for the `Allow` header.
    #[serde(skip)]
    pub allow: Option<String>,
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

    /// A problem of a body that turned out to be larger than `max` bytes while it was sent on. The
    /// upstream got a part of it and cannot take that for the whole, but only an upstream that
    /// waits for the whole body has certainly not begun.
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

    /// The answer with this problem.
    pub fn response(&self) -> Response<Body> {
        self.document().map(full)
    }

    /// The answer with this problem as one piece.
    pub fn document(&self) -> Response<Bytes> {
        // The document has only strings and numbers, so it always encodes.
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

/// The value of [`OUTCOME_HEADER`].
pub fn outcome_value(outcome: Outcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        Outcome::Done => "done",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
    })
}
