//! Parser for the heads of requests and responses.

use bytes::{Buf, BytesMut};
use http::header::{HeaderName, HeaderValue};
use http::{HeaderMap, Method, StatusCode};
use snafu::Snafu;

/// Number of header fields that are parsed without an allocation.
const FIELDS: usize = 100;

/// Largest status of HTTP (RFC 9110, section 15). Others have no meaning that a caller could rely
/// on, so bytes with them are not taken for an answer.
const STATUS_MAX: u16 = 599;

/// Reason for which a head that [ends early](ends_early) is refused.
pub(crate) const EARLY_END: &str = "a line feed without CR ends a head whose lines end with CRLF";

/// Returns true if a complete head ends with a line feed without CR although other lines of it end
/// with CRLF. The line feed may be the first byte of a damaged field name, and what follows it the
/// rest of the head, not the body.
pub(crate) fn ends_early(head: &[u8]) -> bool {
    !head.ends_with(b"\r\n") && head.windows(2).any(|pair| pair == b"\r\n")
}

/// Most fields that a head of at most `max` bytes at the start of `input` has.
fn count_lines(input: &[u8], max: usize) -> usize {
    let head = &input[..input.len().min(max)];
    head.split(|byte| *byte == b'\n').count()
}

/// Error of parsing a head.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum HeadError {
    /// The head is longer than allowed.
    #[snafu(display("the head is too large"))]
    TooLarge,
    /// The bytes are not a valid HTTP/1.1 head.
    #[snafu(display("the head is not HTTP/1.1: {reason}"))]
    Invalid {
        /// Message of the parser.
        reason: String,
    },
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method.
    pub method: Method,
    /// Path and query as received. They are forwarded unchanged and therefore not parsed.
    pub target: String,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Header fields.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target
            .split_once('?')
            .map_or(self.target.as_str(), |(path, _)| path)
    }
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: StatusCode,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Header fields.
    pub headers: HeaderMap,
}

/// Parses and consumes the head of a request at the start of `input`. Returns `None` if the head is
/// incomplete.
///
/// # Errors
///
/// Fails if the head is longer than `max` bytes or invalid. The connection is then unusable.
pub fn parse_request(input: &mut BytesMut, max: usize) -> Result<Option<RequestHead>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut more = Vec::new();
    let mut head = httparse::Request::new(&mut fields);
    let mut result = head.parse(input);
    if result == Err(httparse::Error::TooManyHeaders) {
        more.resize(count_lines(input, max), httparse::EMPTY_HEADER);
        head = httparse::Request::new(&mut more);
        result = head.parse(input);
    }
    let Some(size) = head_size(result, input.len(), max)? else {
        return Ok(None);
    };
    let method = Method::from_bytes(head.method.unwrap_or_default().as_bytes());
    let method = method.map_err(|e| invalid_head(&e))?;
    let parsed = RequestHead {
        method,
        target: head.path.unwrap_or_default().to_owned(),
        minor: head.version.unwrap_or_default(),
        headers: to_header_map(head.headers)?,
    };
    input.advance(size);
    Ok(Some(parsed))
}

/// Parses and consumes the head of a response at the start of `input`. Returns `None` if the head
/// is incomplete.
///
/// # Errors
///
/// Fails if the head is longer than `max` bytes or invalid. The connection is then unusable.
pub fn parse_response(input: &mut BytesMut, max: usize) -> Result<Option<ResponseHead>, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut more = Vec::new();
    let mut head = httparse::Response::new(&mut fields);
    let mut result = head.parse(input);
    if result == Err(httparse::Error::TooManyHeaders) {
        more.resize(count_lines(input, max), httparse::EMPTY_HEADER);
        head = httparse::Response::new(&mut more);
        result = head.parse(input);
    }
    let Some(size) = head_size(result, input.len(), max)? else {
        return Ok(None);
    };
    if ends_early(&input[..size]) {
        return Err(invalid_head(&EARLY_END));
    }
    let code = StatusCode::from_u16(head.code.unwrap_or_default()).map_err(|e| invalid_head(&e))?;
    if code.as_u16() > STATUS_MAX {
        return Err(invalid_head(&"the status is not defined"));
    }
    let parsed = ResponseHead {
        status: code,
        minor: head.version.unwrap_or_default(),
        headers: to_header_map(head.headers)?,
    };
    input.advance(size);
    Ok(Some(parsed))
}

fn head_size(
    parsed: httparse::Result<usize>,
    available: usize,
    max: usize,
) -> Result<Option<usize>, HeadError> {
    match parsed {
        Ok(httparse::Status::Complete(size)) if size > max => Err(HeadError::TooLarge),
        Ok(httparse::Status::Complete(size)) => Ok(Some(size)),
        Ok(httparse::Status::Partial) if available > max => Err(HeadError::TooLarge),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(e) => Err(invalid_head(&e)),
    }
}

fn to_header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, HeadError> {
    let mut headers = HeaderMap::with_capacity(fields.len().min(FIELDS));
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes()).map_err(|e| invalid_head(&e))?;
        let value = HeaderValue::from_bytes(field.value).map_err(|e| invalid_head(&e))?;
        headers
            .try_append(name, value)
            .map_err(|_full| HeadError::TooLarge)?;
    }
    Ok(headers)
}

fn invalid_head<E>(error: &E) -> HeadError
where
    E: ToString,
{
    HeadError::Invalid {
        reason: error.to_string(),
    }
}
