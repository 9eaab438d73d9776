//! Encoding of messages and framing of streams.
//!
//! A request stream starts with a kind byte, the length of the frame (4 bytes, big endian) and the
//! frame; an answer has no kind byte. Frames are postcard. Lengths are checked before memory is
//! reserved, and memory grows with the bytes that arrive, so a peer cannot make this host reserve
//! 1 MiB with 5 bytes.

use bytes::{BufMut, Bytes, BytesMut};
use quinn::{ConnectionError, ReadError, ReadExactError, RecvStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::code;
use crate::error::reason;

/// Longest frame, in bytes.
pub const FRAME_MAX: usize = 1024 * 1024;

/// Memory that is reserved for a frame before its bytes arrive, in bytes.
const RESERVE_MAX: usize = 16 * 1024;

/// Why a message cannot be encoded or decoded.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CodecError {
    /// The message is longer than [`FRAME_MAX`].
    #[snafu(display("frame of {len} bytes, at most {FRAME_MAX} are allowed"))]
    TooLarge {
        /// Length in bytes.
        len: usize,
    },
    /// The bytes are no message of the expected type, or the message cannot be encoded.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// Message of the codec.
        reason: String,
    },
    /// The message is followed by other bytes.
    #[snafu(display("{len} bytes after the message"))]
    Trailing {
        /// Number of bytes.
        len: usize,
    },
    /// The message breaks a rule of its type.
    #[snafu(display("invalid message: {reason}"))]
    Invalid {
        /// The rule.
        reason: String,
    },
}

impl From<postcard::Error> for CodecError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed {
            reason: error.to_string(),
        }
    }
}

/// Encodes a message.
///
/// # Errors
///
/// Fails if the message is longer than [`FRAME_MAX`] or its type cannot be encoded.
pub fn encode<M>(message: &M) -> Result<Bytes, CodecError>
where
    M: Serialize + ?Sized,
{
    let bytes = postcard::to_stdvec(message)?;
    match bytes.len() {
        len if len > FRAME_MAX => Err(CodecError::TooLarge { len }),
        _ => Ok(bytes.into()),
    }
}

/// Decodes a message that takes up all of `bytes`.
///
/// # Errors
///
/// Fails if the bytes are too many, are no such message, or contain more than one.
pub fn decode<M>(bytes: &[u8]) -> Result<M, CodecError>
where
    M: DeserializeOwned,
{
    if bytes.len() > FRAME_MAX {
        return Err(CodecError::TooLarge { len: bytes.len() });
    }
    match postcard::take_from_bytes(bytes)? {
        (message, []) => Ok(message),
        (_, rest) => Err(CodecError::Trailing { len: rest.len() }),
    }
}

/// What a request stream carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Forward = 1,
    Call = 2,
}

/// Puts the length, and for a request the kind, in front of a message.
pub(crate) fn frame(kind: Option<Kind>, message: &[u8]) -> Result<Bytes, CodecError> {
    let len = message.len();
    let short = u32::try_from(len).ok().filter(|_| len <= FRAME_MAX);
    let short = short.ok_or(CodecError::TooLarge { len })?;
    let mut out = BytesMut::with_capacity(5 + len);
    if let Some(kind) = kind {
        out.put_u8(kind as u8);
    }
    out.put_u32(short);
    out.put_slice(message);
    Ok(out.freeze())
}

/// Why a frame was not received.
#[derive(Debug)]
pub(crate) enum FrameError {
    /// The sender reset the stream.
    Reset(u64),
    /// The connection ended.
    Lost(ConnectionError),
    /// The stream ended inside the frame.
    Truncated,
    /// The length is above [`FRAME_MAX`].
    TooLarge,
    /// The kind byte is unknown, or bytes follow a frame that should be the last one.
    Malformed,
    /// The frame did not arrive in time.
    Late,
}

impl FrameError {
    /// The code with which the receiver of a request refuses it.
    pub(crate) fn code(&self) -> u32 {
        match self {
            Self::TooLarge => code::TOO_LARGE,
            Self::Late => code::FRAME_TIMEOUT,
            _ => code::MALFORMED,
        }
    }

    /// The fault in words.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Reset(code) => format!("stream reset: {}", code::describe(*code)),
            Self::Lost(e) => reason(e),
            Self::Truncated => "stream ended inside a frame".to_owned(),
            Self::TooLarge => format!("frame of more than {FRAME_MAX} bytes"),
            Self::Malformed => "malformed frame".to_owned(),
            Self::Late => "frame not received in time".to_owned(),
        }
    }
}

impl From<ReadError> for FrameError {
    fn from(error: ReadError) -> Self {
        match error {
            ReadError::Reset(code) => Self::Reset(code.into()),
            ReadError::ConnectionLost(e) => Self::Lost(e),
            _ => Self::Malformed,
        }
    }
}

impl From<ReadExactError> for FrameError {
    fn from(error: ReadExactError) -> Self {
        match error {
            ReadExactError::FinishedEarly(_) => Self::Truncated,
            ReadExactError::ReadError(e) => e.into(),
        }
    }
}

/// Reads the kind byte and the frame of a request.
pub(crate) async fn read_request(stream: &mut RecvStream) -> Result<(Kind, Bytes), FrameError> {
    let mut kind = [0];
    stream.read_exact(&mut kind).await?;
    let kind = match kind[0] {
        k if k == Kind::Forward as u8 => Kind::Forward,
        k if k == Kind::Call as u8 => Kind::Call,
        _ => return Err(FrameError::Malformed),
    };
    Ok((kind, read_frame(stream).await?))
}

/// Reads one frame.
pub(crate) async fn read_frame(stream: &mut RecvStream) -> Result<Bytes, FrameError> {
    let mut len = [0; 4];
    stream.read_exact(&mut len).await?;
    let len = usize::try_from(u32::from_be_bytes(len)).unwrap_or(usize::MAX);
    if len > FRAME_MAX {
        return Err(FrameError::TooLarge);
    }
    let mut frame = BytesMut::with_capacity(len.min(RESERVE_MAX));
    while frame.len() < len {
        let chunk = stream.read_chunk(len - frame.len(), true).await?;
        frame.extend_from_slice(&chunk.ok_or(FrameError::Truncated)?.bytes);
    }
    Ok(frame.freeze())
}

/// Reads the end of a stream whose last frame has been read.
pub(crate) async fn read_end(stream: &mut RecvStream) -> Result<(), FrameError> {
    match stream.read_chunk(1, true).await? {
        Some(_) => Err(FrameError::Malformed),
        None => Ok(()),
    }
}
