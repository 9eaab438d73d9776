//! Encoder for requests and responses.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderName, TRANSFER_ENCODING};
use http::{HeaderMap, Method, StatusCode};

/// Buffer capacity for the first line and the fields that this module adds.
const HEAD_CAPACITY: usize = 128;

/// Longest body that is copied behind its head, so that both are sent in one write. A copy of a
/// longer one would take up much more memory.
const COPIED_MAX: usize = 8 * 1024;

/// Fields that apply to a single connection (RFC 9110, section 7.6.1) and are not forwarded.
const HOP_BY_HOP: [&str; 7] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "upgrade",
];

/// Returns true for fields that apply to a single connection or that this module writes itself.
fn is_excluded(name: &HeaderName, headers: &HeaderMap) -> bool {
    HOP_BY_HOP.contains(&name.as_str())
        || matches!(*name, CONTENT_LENGTH | TRANSFER_ENCODING)
        || name.as_str() == "trailer"
        || is_connection_option(name, headers)
}

/// Returns true if the `Connection` field lists this field.
fn is_connection_option(name: &HeaderName, headers: &HeaderMap) -> bool {
    // The common values list no field.
    let lists_no_field =
        |v: &[u8]| v.eq_ignore_ascii_case(b"close") || v.eq_ignore_ascii_case(b"keep-alive");
    headers
        .get_all(CONNECTION)
        .iter()
        .filter(|v| !lists_no_field(v.as_bytes()))
        .filter_map(|v| v.to_str().ok())
        .flat_map(|v| v.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case(name.as_str()))
}

fn put_field(out: &mut BytesMut, name: &str, value: &[u8]) {
    out.reserve(name.len() + value.len() + 4);
    out.put_slice(name.as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}

fn put_fields(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        if !is_excluded(name, headers) {
            put_field(out, name.as_str(), value.as_bytes());
        }
    }
}

/// Encoded message whose bytes are read with [`Buf`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EncodedMessage {
    /// The head, and the body if that is short.
    head: Bytes,
    /// A long body.
    body: Bytes,
}

impl EncodedMessage {
    /// Creates a message from its head and its body.
    pub(super) fn new(mut head: BytesMut, body: &Bytes) -> Self {
        let copied = body.len() <= COPIED_MAX;
        if copied {
            head.extend_from_slice(body);
        }
        Self {
            head: head.freeze(),
            body: if copied { Bytes::new() } else { body.clone() },
        }
    }
}

impl From<Bytes> for EncodedMessage {
    fn from(head: Bytes) -> Self {
        Self {
            head,
            body: Bytes::new(),
        }
    }
}

impl Buf for EncodedMessage {
    fn remaining(&self) -> usize {
        self.head.len() + self.body.len()
    }

    fn chunk(&self) -> &[u8] {
        if self.head.is_empty() {
            &self.body
        } else {
            &self.head
        }
    }

    fn advance(&mut self, cnt: usize) {
        let in_head = cnt.min(self.head.len());
        self.head.advance(in_head);
        self.body.advance(cnt - in_head);
    }
}

/// Encodes a request with its body. Fields that apply to a single connection are omitted.
pub fn encode_request(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: &Bytes,
) -> EncodedMessage {
    let copied = Some(body.len()).filter(|n| *n <= COPIED_MAX);
    let capacity = HEAD_CAPACITY + 48 * headers.len() + copied.unwrap_or_default();
    let mut out = BytesMut::with_capacity(capacity);
    out.put_slice(method.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(target.as_bytes());
    out.put_slice(b" HTTP/1.1\r\n");
    if let Some(host) = headers.get(HOST) {
        put_field(&mut out, HOST.as_str(), host.as_bytes());
    }
    for (name, value) in headers.iter().filter(|(name, _)| **name != HOST) {
        if !is_excluded(name, headers) {
            put_field(&mut out, name.as_str(), value.as_bytes());
        }
    }
    // Methods that usually have a body declare an empty one with `Content-Length: 0`.
    if !body.is_empty() || !matches!(*method, Method::GET | Method::HEAD | Method::DELETE) {
        put_field(
            &mut out,
            "content-length",
            body.len().to_string().as_bytes(),
        );
    }
    out.put_slice(b"\r\n");
    EncodedMessage::new(out, body)
}

/// Declaration of the length of a body in the head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyLength {
    /// `Content-Length` with this number of bytes.
    Length(u64),
    /// `Transfer-Encoding: chunked`.
    Chunked,
    /// No body follows, and the head declares no length.
    Omitted,
}

/// Encodes the head of a response.
pub(super) fn encode_response_head(
    status: StatusCode,
    headers: &HeaderMap,
    body_length: BodyLength,
    close: bool,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY + 48 * headers.len());
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(status.canonical_reason().unwrap_or("-").as_bytes());
    out.put_slice(b"\r\n");
    put_fields(&mut out, headers);
    match body_length {
        BodyLength::Length(n) => put_field(&mut out, "content-length", n.to_string().as_bytes()),
        BodyLength::Chunked => put_field(&mut out, "transfer-encoding", b"chunked"),
        BodyLength::Omitted => {}
    }
    if close {
        put_field(&mut out, "connection", b"close");
    }
    out.put_slice(b"\r\n");
    out
}

/// Encodes a response with its body. Fields that apply to a single connection are omitted.
pub fn encode_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &Bytes,
    close: bool,
) -> Bytes {
    let length = u64::try_from(body.len()).unwrap_or(u64::MAX);
    let mut out = encode_response_head(status, headers, BodyLength::Length(length), close);
    out.reserve(body.len());
    out.put_slice(body);
    out.freeze()
}
