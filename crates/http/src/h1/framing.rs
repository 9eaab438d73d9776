//! Where a body ends.
//!
//! A request whose length can be read in two ways could carry a second request past this process,
//! so a head with both a length and a transfer encoding, with two different lengths or with an
//! encoding other than `chunked` is refused.

use bytes::{Buf, Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Method};
use snafu::Snafu;

use super::head::{HeadError, RequestHead, ResponseHead};

/// Longest line with the size of a chunk, and longest trailer, in bytes.
const LINE_MAX: usize = 4096;

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// The framing of a request's body.
    ///
    /// # Errors
    ///
    /// Fails if the length is ambiguous.
    pub fn of_request(head: &RequestHead) -> Result<Self, HeadError> {
        match declared(&head.headers)? {
            Some(Self::Chunked) if head.minor == 0 => Err(invalid("chunked in HTTP/1.0")),
            Some(framing) => Ok(framing),
            None => Ok(Self::Empty),
        }
    }

    /// The framing of the answer to a request with `method`.
    ///
    /// # Errors
    ///
    /// Fails if the length is ambiguous.
    pub fn of_response(method: &Method, head: &ResponseHead) -> Result<Self, HeadError> {
        let status = head.status.as_u16();
        if method == Method::HEAD || status < 200 || matches!(status, 204 | 304) {
            return Ok(Self::Empty);
        }
        Ok(declared(&head.headers)?.unwrap_or(Self::UntilClose))
    }
}

fn invalid(reason: &str) -> HeadError {
    HeadError::Invalid {
        reason: reason.to_owned(),
    }
}

fn declared(headers: &HeaderMap) -> Result<Option<Framing>, HeadError> {
    let lengths = headers.get_all(CONTENT_LENGTH);
    let mut lengths = lengths.iter().map(http::HeaderValue::as_bytes);
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match (lengths.next(), encodings.next()) {
        (None, None) => Ok(None),
        (Some(_), Some(_)) => Err(invalid("both a length and a transfer encoding")),
        (None, Some(encoding)) => {
            let chunked = encoding.as_bytes().eq_ignore_ascii_case(b"chunked");
            if !chunked || encodings.next().is_some() {
                return Err(invalid("a transfer encoding other than chunked"));
            }
            Ok(Some(Framing::Chunked))
        }
        (Some(first), None) => {
            if lengths.any(|other| other != first) {
                return Err(invalid("two different lengths"));
            }
            let digits = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(first).ok().filter(|_| digits);
            let length = text.and_then(|t| t.parse().ok());
            let length = length.ok_or_else(|| invalid("a length that is not a number"))?;
            Ok(Some(Framing::Length(length)))
        }
    }
}

/// Why a body cannot be read to its end.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum BodyError {
    /// The connection ended before the body did.
    #[snafu(display("the body breaks off"))]
    Truncated,
    /// A chunk does not follow the protocol.
    #[snafu(display("a chunk is invalid"))]
    InvalidChunk,
}

/// What [`Decoder::decode`] found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decoded {
    /// A piece of the body.
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

/// Takes a body out of the input of a connection.
#[derive(Debug, Clone)]
pub struct Decoder {
    state: State,
}

impl Decoder {
    /// A decoder for a body.
    pub fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::End,
            Framing::Length(n) => State::Length(n),
            Framing::Chunked => State::Size,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state }
    }

    /// Takes the next piece out of `input`. `closed` says that the connection brings no more.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off or a chunk is invalid.
    pub fn decode(&mut self, input: &mut BytesMut, closed: bool) -> Result<Decoded, BodyError> {
        loop {
            match self.state {
                State::End => return Ok(Decoded::End),
                State::UntilClose if input.is_empty() && closed => self.state = State::End,
                _ if input.is_empty() && closed => return Err(BodyError::Truncated),
                _ if input.is_empty() => return Ok(Decoded::Incomplete),
                State::UntilClose => return Ok(Decoded::Data(input.split().freeze())),
                State::Length(left) => {
                    let piece = take(input, left);
                    let left = left - size(&piece);
                    self.state = if left == 0 {
                        State::End
                    } else {
                        State::Length(left)
                    };
                    return Ok(Decoded::Data(piece));
                }
                State::Chunk(left) => {
                    let piece = take(input, left);
                    let left = left - size(&piece);
                    self.state = if left == 0 {
                        State::ChunkEnd
                    } else {
                        State::Chunk(left)
                    };
                    return Ok(Decoded::Data(piece));
                }
                State::Size | State::ChunkEnd | State::Trailer => {
                    if !self.line(input)? {
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

    /// Takes a line of the chunked encoding; false if it is not complete.
    fn line(&mut self, input: &mut BytesMut) -> Result<bool, BodyError> {
        if self.state == State::Size {
            return match httparse::parse_chunk_size(input) {
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
            // Trailer fields are dropped up to the empty line that ends them.
            _ if end == 0 => self.state = State::End,
            _ => {}
        }
        input.advance(end + 2);
        Ok(true)
    }
}

fn take(input: &mut BytesMut, most: u64) -> Bytes {
    let most = usize::try_from(most).unwrap_or(usize::MAX);
    input.split_to(most.min(input.len())).freeze()
}

fn size(piece: &Bytes) -> u64 {
    u64::try_from(piece.len()).unwrap_or(u64::MAX)
}
