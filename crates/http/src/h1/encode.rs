//! Writing messages.

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// Room for the first line and the fields that are added here.
const HEAD_ROOM: usize = 128;

/// Fields that concern one connection only (RFC 9110, section 7.6.1). Their names never reach the
/// next hop.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "upgrade",
];

/// Whether a field concerns one connection only, or is written by this module itself.
fn is_own(name: &HeaderName, named: &HeaderMap) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
        || matches!(*name, CONTENT_LENGTH | TRANSFER_ENCODING)
        || name.as_str() == "trailer"
        || listed(name, named)
}

/// Whether the `Connection` field names this field.
fn listed(name: &HeaderName, headers: &HeaderMap) -> bool {
    // The common values name no field.
    let plain =
        |v: &[u8]| v.eq_ignore_ascii_case(b"close") || v.eq_ignore_ascii_case(b"keep-alive");
    headers
        .get_all(CONNECTION)
        .iter()
        .filter(|v| !plain(v.as_bytes()))
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case(name.as_str()))
}

fn field(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.reserve(name.len() + value.len() + 4);
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

fn fields(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if !is_own(name, headers) {
            field(out, name.as_str(), value.as_bytes());
        }
    }
}

/// Encodes a request with a whole body. Fields that concern one connection are left out.
pub fn encode_request(method: &Method, target: &str, headers: &HeaderMap, body: &Bytes) -> Bytes {
    let mut out = BytesMut::with_capacity(HEAD_ROOM + 48 * headers.len() + body.len());
    out.put_slice(method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(target.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    if let Some(host) = headers.get(HOST) {
        field(&mut out, HOST.as_str(), host.as_bytes());
    }
    for (name, value) in headers.iter().filter(|(name, _)| **name != HOST) {
        if !is_own(name, headers) {
            field(&mut out, name.as_str(), value.as_bytes());
        }
    }
    // A method that usually has a body states that there is none.
    if !body.is_empty() || !matches!(*method, Method::GET | Method::HEAD | Method::DELETE) {
        field(
            &mut out,
            "content-length",
            body.len().to_string().as_bytes(),
        );
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}

/// Length of an encoded body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Extent {
    /// This many bytes follow.
    Length(u64),
    /// Nothing follows, and the head says nothing about it.
    Nothing,
}

/// Encodes the head of a response.
pub(super) fn response_head(
    status: StatusCode,
    headers: &HeaderMap,
    extent: Extent,
    close: bool,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(HEAD_ROOM + 48 * headers.len());
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(status.canonical_reason().unwrap_or("-").as_bytes());
    out.put_slice(b"\r\n");
    fields(&mut out, headers);
    match extent {
        Extent::Length(n) => field(&mut out, "content-length", n.to_string().as_bytes()),
        Extent::Nothing => {}
    }
    if close {
        field(&mut out, "connection", b"close");
    }
    out.put_slice(b"\r\n");
    out
}

/// Encodes a response with a whole body. Fields that concern one connection are left out.
pub fn encode_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &Bytes,
    close: bool,
) -> Bytes {
    let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
    let mut out = response_head(status, headers, Extent::Length(length), close);
    out.reserve(body.len());
    out.put_slice(body);
    out.freeze()
}
