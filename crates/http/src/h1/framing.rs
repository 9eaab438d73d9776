//! Framing of message bodies.
//!
//! If this process and an upstream could interpret the length of a request differently, the request
//! could smuggle a second one to the upstream. A head with both a length and a transfer encoding,
//! with two different lengths, or with an encoding other than `chunked` is therefore refused.

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method};
use snafu::Snafu;

use super::head::{HeadError, RequestHead, ResponseHead};

/// Longest line with the size of a chunk, and longest line of a trailer, in bytes.
const LINE_MAX: usize = 4096;

/// Rule that determines the end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body uses the chunked transfer encoding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

impl Framing {
    /// Determines the framing of a request's body.
    ///
    /// # Errors
    ///
    /// Fails if the length is ambiguous or invalid.
    pub fn of_request(head: &RequestHead) -> Result<Self, HeadError> {
        match declared_framing(&head.headers)? {
            Some(Self::Chunked) if head.minor == 0 => Err(invalid_head("chunked in HTTP/1.0")),
            Some(framing) => Ok(framing),
            None => Ok(Self::Empty),
        }
    }

    /// Determines the framing of the answer to a request with `method`.
    ///
    /// # Errors
    ///
    /// Fails if the length is ambiguous or invalid.
    pub fn of_response(method: &Method, head: &ResponseHead) -> Result<Self, HeadError> {
        let status = head.status.as_u16();
        if method == Method::HEAD || status < 200 || matches!(status, 204 | 304) {
            return Ok(Self::Empty);
        }
        Ok(declared_framing(&head.headers)?.unwrap_or(Self::UntilClose))
    }
}

fn invalid_head(reason: &str) -> HeadError {
    HeadError::Invalid {
        reason: reason.to_owned(),
    }
}

fn declared_framing(headers: &HeaderMap) -> Result<Option<Framing>, HeadError> {
    let lengths = headers.get_all(CONTENT_LENGTH);
    let mut lengths = lengths.iter().map(http::HeaderValue::as_bytes);
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(invalid_head("both a length and a transfer encoding")),
        (None, Some(encoding)) => {
            let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !chunked || encodings.next().is_some() {
                return Err(invalid_head("a transfer encoding other than chunked"));
            }
            Ok(Some(Framing::Chunked))
        }
        (Some(first), None) => {
            if lengths.any(|other| other != first) {
                return Err(invalid_head("two different lengths"));
            }
            let digits = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(first).ok().filter(|_| digits);
            let length = text.and_then(|t| t.parse().ok());
            let length = length.ok_or_else(|| invalid_head("a length that is not a number"))?;
            Ok(Some(Framing::Length(length)))
        }
    }
}

/// Error of decoding a body.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The connection closed before the end of the body.
    #[snafu(display("the connection closed before the end of the body"))]
    Truncated,
    /// A chunk violates the chunked encoding.
    #[snafu(display("a chunk is invalid"))]
    InvalidChunk,
    /// The lines after the last chunk are not header fields.
    #[snafu(display("a trailer field is invalid"))]
    InvalidTrailer,
}

/// Result of [`Decoder::decode`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// A part of the body.
    Data(Bytes),
    /// More input is needed.
    Incomplete,
    /// The body is complete.
    End,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Length(u64),
    UntilClose,
    Size,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    End,
}

/// Decodes a body from the input of a connection.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// Creates a decoder for a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::End,
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Returns the number of bytes until the end of the body, if it is known.
    pub fn remaining(&self) -> Option<u64> {
        match self.state {
            State::End => Some(0),
            State::Length(remaining) => Some(remaining),
            _ => None,
        }
    }

    /// Decodes and consumes the next part of the body in `input`. `closed` states that the peer has
    /// closed the connection, so no further input follows.
    ///
    /// # Errors
    ///
    /// Fails if the body is truncated or a chunk is invalid.
    pub fn decode(&mut self, input: &mut BytesMut, closed: bool) -> Result<Decoded, BodyError> {
        loop {
            match self.state {
                State::End => return Ok(Decoded::End),
                State::UntilClose if input.is_empty() && closed => self.state = State::End,
                _ if input.is_empty() && closed => return Err(BodyError::Truncated),
                _ if input.is_empty() => return Ok(Decoded::Incomplete),
                State::UntilClose => return Ok(Decoded::Data(input.split().freeze())),
                State::Length(remaining) => {
                    let piece = take_up_to(input, remaining);
                    let remaining = remaining - len_u64(&piece);
                    self.state = if remaining == 0 {
                        State::End
                    } else {
                        State::Length(remaining)
                    };
                    return Ok(Decoded::Data(piece));
                }
                State::Chunk(remaining) => {
                    let piece = take_up_to(input, remaining);
                    let remaining = remaining - len_u64(&piece);
                    self.state = if remaining == 0 {
                        State::ChunkEnd
                    } else {
                        State::Chunk(remaining)
                    };
                    return Ok(Decoded::Data(piece));
                }
                State::Size | State::ChunkEnd | State::Trailer => {
                    if !self.decode_line(input)? {
                        return if closed {
                            Err(BodyError::Truncated)
                        } else {
                            Ok(Decoded::Incomplete)
                        };
                    }
                }
            }
        }
    }

    /// Consumes one line of the chunked encoding. Returns false if the line is incomplete.
    fn decode_line(&mut self, input: &mut BytesMut) -> Result<bool, BodyError> {
        if self.state == State::Size {
            return match httparse::parse_chunk_size(input) {
                Ok(httparse::Status::Complete((used, _))) if !is_size_line(&input[..used]) => {
                    Err(BodyError::InvalidChunk)
                }
                Ok(httparse::Status::Complete((used, len))) => {
                    input.advance(used);
                    self.state = if len == 0 {
                        State::Trailer
                    } else {
                        State::Chunk(len)
                    };
                    Ok(true)
                }
                Ok(httparse::Status::Partial) if input.len() <= LINE_MAX => Ok(false),
                _ => Err(BodyError::InvalidChunk),
            };
        }
        let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") else {
            return if input.len() <= LINE_MAX {
                Ok(false)
            } else {
                Err(BodyError::InvalidChunk)
            };
        };
        match self.state {
            State::ChunkEnd if end > 0 => return Err(BodyError::InvalidChunk),
            State::ChunkEnd => self.state = State::Size,
            // Trailer fields are discarded up to the empty line that ends them.
            _ if end == 0 => self.state = State::End,
            _ if is_field(&input[..end + 2]) => {}
            _ => return Err(BodyError::InvalidTrailer),
        }
        input.advance(end + 2);
        Ok(true)
    }
}

/// Returns true if a line with the size of a chunk states a size and is one line. httparse takes a
/// line without a size for that of the last chunk, and a line feed for a part of an extension.
fn is_size_line(line: &[u8]) -> bool {
    let end = line.len().saturating_sub(1);
    line.first().is_some_and(u8::is_ascii_hexdigit) && !line[..end].contains(&b'\n')
}

/// Returns true if a line is one header field.
fn is_field(line: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; 1];
    // The parser waits for the line after the field.
    httparse::parse_headers(line, &mut fields) == Ok(httparse::Status::Partial)
}

fn take_up_to(input: &mut BytesMut, max: u64) -> Bytes {
    let max = usize::try_from(max).unwrap_or(usize::MAX);
    input.split_to(max.min(input.len())).freeze()
}

fn len_u64(piece: &Bytes) -> u64 {
    u64::try_from(piece.len()).unwrap_or(u64::MAX)
}
