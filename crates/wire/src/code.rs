//! Application error codes of stream resets and of closed connections.
//!
//! A peer sends a code for which [`is_refusal`] holds only on a stream that it has not passed to
//! its handler. Such a code proves that the request did not run; no other reset does.

use quinn::VarInt;

/// The requester no longer wants the answer.
pub const CANCELLED: u32 = 1;
/// The body ended with an error at its sender.
pub const BODY_FAILED: u32 = 2;
/// The handler ended without an answer.
pub const ABORTED: u32 = 3;

/// The frame cannot be decoded or violates a limit.
pub const MALFORMED: u32 = 16;
/// The frame is longer than allowed.
pub const TOO_LARGE: u32 = 17;
/// The frame did not arrive within the head timeout.
pub const FRAME_TIMEOUT: u32 = 18;
/// The host is shutting down.
pub const DRAINING: u32 = 19;
/// The certificate does not name exactly one host.
pub const NO_IDENTITY: u32 = 20;

/// Returns true if `code` proves that the request was not passed to the handler.
pub fn is_refusal(code: u64) -> bool {
    (u64::from(MALFORMED)..=u64::from(NO_IDENTITY)).contains(&code)
}

/// Returns the description of a code for log lines and errors.
pub fn describe(code: u64) -> &'static str {
    match u32::try_from(code).unwrap_or(u32::MAX) {
        CANCELLED => "cancelled",
        BODY_FAILED => "source of the body failed",
        ABORTED => "handler ended without an answer",
        MALFORMED => "malformed frame",
        TOO_LARGE => "frame too large",
        FRAME_TIMEOUT => "frame not received in time",
        DRAINING => "host is shutting down",
        NO_IDENTITY => "certificate does not name one host",
        _ => "unknown code",
    }
}

pub(crate) fn to_varint(code: u32) -> VarInt {
    VarInt::from_u32(code)
}
