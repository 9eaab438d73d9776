//! Encoding of messages and framing of streams.
//!
//! A request stream starts with a kind byte, the length of the frame (4 bytes, big endian) and the
//! frame; an answer has no kind byte. Frames are encoded by postcard. Lengths are checked before
//! memory is allocated, and buffers grow with the bytes that arrive, so a peer cannot make this
//! host allocate 1 MiB by sending 5 bytes.

use bytes::{BufMut, Bytes, BytesMut};
use quinn::{ConnectionError, ReadError, ReadExactError, RecvStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::code;
use crate::error::log_text;

/// Longest frame, in bytes.
pub const FRAME_MAX: usize = 1024 * 1024;

/// Largest buffer that is allocated for a frame before its bytes arrive, in bytes.
const RESERVE_MAX: usize = 16 * 1024;

/// Error of encoding or decoding a message.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CodecError {
    /// The message is longer than [`FRAME_MAX`].
    #[snafu(display("frame of {len} bytes, at most {FRAME_MAX} are allowed"))]
    TooLarge {
        /// Length in bytes.
        len: usize,
    },
    /// The bytes do not encode the expected type, or the message cannot be encoded.
    #[snafu(display("malformed message: {reason}"))]
    Malformed {
        /// Message of the codec.
        reason: String,
    },
    /// The message is followed by further bytes.
    #[snafu(display("{len} bytes after the message"))]
    Trailing {
        /// Number of excess bytes.
        len: usize,
    },
    /// The message violates a limit of its type.
    #[snafu(display("invalid message: {reason}"))]
    Invalid {
        /// The violated limit.
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

/// Decodes a message that occupies all of `bytes`.
///
/// # Errors
///
/// Fails if there are more than [`FRAME_MAX`] bytes, they do not encode the type, or bytes follow
/// the message.
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

/// Type of the message on a request stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestKind {
    Forward = 1,
    Call = 2,
}

/// Prefixes a message with its length, and a request also with its kind.
pub(crate) fn encode_frame(kind: Option<RequestKind>, message: &[u8]) -> Result<Bytes, CodecError> {
    let len = message.len();
    let prefix = u32::try_from(len).ok().filter(|_| len <= FRAME_MAX);
    let prefix = prefix.ok_or(CodecError::TooLarge { len })?;
    let mut out = BytesMut::with_capacity(5 + len);
    if let Some(kind) = kind {
        out.put_u8(kind as u8);
    }
    out.put_u32(prefix);
    out.put_slice(message);
    Ok(out.freeze())
}

/// Failure to receive a frame.
#[derive(Debug)]
pub(crate) enum FrameError {
    /// The sender reset the stream.
    Reset(u64),
    /// The connection ended.
    Lost(ConnectionError),
    /// The stream ended within the frame.
    Truncated,
    /// The length prefix exceeds [`FRAME_MAX`].
    TooLarge,
    /// The kind byte is unknown, or bytes follow a frame that must be the last one.
    Malformed,
    /// The frame did not arrive in time.
    TimedOut,
}

impl FrameError {
    /// Returns the reset code with which a request is refused because of this error.
    pub(crate) fn code(&self) -> u32 {
        match self {
            Self::TooLarge => code::TOO_LARGE,
            Self::TimedOut => code::FRAME_TIMEOUT,
            _ => code::MALFORMED,
        }
    }

    /// Describes the error for log lines and [`PeerError`](crate::PeerError).
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Reset(code) => format!("stream reset: {}", code::describe(*code)),
            Self::Lost(e) => log_text(e),
            Self::Truncated => "stream ended inside a frame".to_owned(),
            Self::TooLarge => format!("frame of more than {FRAME_MAX} bytes"),
            Self::Malformed => "malformed frame".to_owned(),
            Self::TimedOut => "frame not received in time".to_owned(),
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
pub(crate) async fn read_request(
    stream: &mut RecvStream,
) -> Result<(RequestKind, Bytes), FrameError> {
    let mut kind = [0];
    stream.read_exact(&mut kind).await?;
    let kind = match kind[0] {
        k if k == RequestKind::Forward as u8 => RequestKind::Forward,
        k if k == RequestKind::Call as u8 => RequestKind::Call,
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

/// Reads the end of the stream, which must follow the last frame.
pub(crate) async fn read_end(stream: &mut RecvStream) -> Result<(), FrameError> {
    match stream.read_chunk(1, true).await? {
        Some(_) => Err(FrameError::Malformed),
        None => Ok(()),
    }
}
