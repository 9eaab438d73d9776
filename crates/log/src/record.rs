//! Log records and their codec.
//!
//! # Formats
//!
//! Each record begins with its format number, in every format. A writer uses the lowest format that
//! contains the record's body ([`Body::format`]) and writes no format above the level in force.
//! Replay rejects a record above the level without decoding the rest, so builds that know the
//! format and builds that do not reach the same verdict. A record at or below the level that does
//! not decode stops the replay.
//!
//! Raising the level is the last step of a rolling upgrade. It is accepted only if every live host
//! supports the new level, and a build that does not know the new level stops at the record.
//!
//! # Encoding
//!
//! A record is a postcard-encoded [`SignedRecord`]: the encoded [`Envelope`] and a signature over
//! exactly those bytes, so that a record can be verified before it is decoded.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use snafu::{ResultExt, Snafu};
use trefoil_config::Routing;
use trefoil_core::{HostId, Revision, ServiceName, UnixMillis, UpstreamName, WriterId};
use trefoil_lease::Lease;
use trefoil_placement::Change;

use crate::host::HostRecord;
use crate::sign::{KeyId, Signer};
use crate::snapshot::SnapshotPart;

/// The newest record format that this build supports.
pub const FORMAT: u16 = 1;

/// The record format of the first release, which every build can decode. It is in force until an
/// operator raises the level.
pub const FORMAT_FIRST: u16 = 1;

/// The dispatcher of an upstream and its successors, in the order of their ranks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ranking {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Hosts by rank.
    pub hosts: SmallVec<[HostId; 3]>,
}

/// A placement decision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Changes of shard tables, in the order in which they are applied.
    pub changes: Vec<(ServiceName, Change)>,
    /// New dispatcher assignments.
    pub assignments: Vec<Ranking>,
}

/// The decision in a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Publishes a routing resource. Its revision field is the revision that it replaces.
    Config(Box<Routing>),
    /// A host joins.
    Joined(HostRecord),
    /// A host leaves after a graceful shutdown.
    Left {
        /// The incarnation that leaves.
        host: HostId,
    },
    /// A majority of a host's witnesses attested that its lease has expired.
    Expired {
        /// The incarnation whose lease expired.
        host: HostId,
    },
    /// A host names the witnesses of its lease.
    Lease(Lease),
    /// Changes placement. The envelope's base is the placement revision that it was computed from.
    Placement(Placement),
    /// One part of a snapshot of the view. It does not change the state of a host that has replayed
    /// the records before it.
    Snapshot(SnapshotPart),
    /// A host is about to leave. It keeps serving until others have replaced it as dispatcher and
    /// as witness.
    Leaving {
        /// The incarnation.
        host: HostId,
    },
    /// Raises the record format that may be written.
    FormatLevel {
        /// The new format.
        format: u16,
    },
}

impl Body {
    /// Returns the lowest format that contains this body.
    pub fn format(&self) -> u16 {
        match self {
            Self::Config(_)
            | Self::Joined(_)
            | Self::Left { .. }
            | Self::Expired { .. }
            | Self::Leaving { .. }
            | Self::Lease(_)
            | Self::Placement(_)
            | Self::Snapshot(_)
            | Self::FormatLevel { .. } => FORMAT_FIRST,
        }
    }
}

/// The signed content of a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Format of the record.
    pub format: u16,
    /// Writer of the record.
    pub writer: WriterId,
    /// Sequence number among the writer's records, from 1.
    pub sequence: u64,
    /// Revision that the decision was computed from.
    pub base: Revision,
    /// Wall clock time of the writer.
    pub time: UnixMillis,
    /// The decision.
    pub body: Body,
}

/// A signed record as stored in the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedRecord {
    envelope: Vec<u8>,
    key: KeyId,
    signature: Vec<u8>,
}

/// A record does not decode or may not be written.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum RecordError {
    /// The bytes are not a signed record.
    #[snafu(display("not a signed record: {source}"))]
    BadRecord {
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The envelope does not decode, for example because a newer version encoded it.
    #[snafu(display("the envelope does not decode: {source}"))]
    BadEnvelope {
        /// The decoder's error.
        source: postcard::Error,
    },
    /// The format of the record, or the level that it sets, is newer than this build.
    #[snafu(display("format {format} is above {FORMAT}, the newest that this build knows"))]
    NewerFormat {
        /// The format.
        format: u16,
    },
    /// The format of the record is above the level in force.
    #[snafu(display("format {format} is above the level in force, {level}"))]
    AboveLevel {
        /// The record's format.
        format: u16,
        /// The level.
        level: u16,
    },
    /// Bytes remain after the envelope.
    #[snafu(display("the envelope is followed by {len} bytes"))]
    Trailing {
        /// Number of remaining bytes.
        len: usize,
    },
}

impl SignedRecord {
    /// Encodes and signs an envelope.
    ///
    /// # Errors
    ///
    /// Fails if the envelope does not encode.
    pub fn new(envelope: &Envelope, signer: &Signer) -> Result<Self, RecordError> {
        let envelope = postcard::to_stdvec(envelope).context(BadEnvelopeSnafu)?;
        let signature = signer.sign(&envelope);
        Ok(Self {
            envelope,
            key: signer.key(),
            signature,
        })
    }

    /// Decodes a stored record without verifying its signature.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a signed record.
    pub fn decode(data: &[u8]) -> Result<Self, RecordError> {
        postcard::from_bytes(data).context(BadRecordSnafu)
    }

    /// Encodes the record for the log.
    ///
    /// # Errors
    ///
    /// Fails if the record does not encode.
    pub fn encode(&self) -> Result<Bytes, RecordError> {
        Ok(postcard::to_stdvec(self).context(BadRecordSnafu)?.into())
    }

    /// Decodes the envelope.
    ///
    /// # Errors
    ///
    /// Fails if this build does not know the format or the body, or if bytes remain after it.
    pub fn envelope(&self) -> Result<Envelope, RecordError> {
        let format = self.format()?;
        if format > FORMAT {
            return Err(RecordError::NewerFormat { format });
        }
        let (envelope, rest) =
            postcard::take_from_bytes(&self.envelope).context(BadEnvelopeSnafu)?;
        match rest.len() {
            0 => Ok(envelope),
            len => Err(RecordError::Trailing { len }),
        }
    }

    /// Decodes only the format number, which comes first in every format.
    ///
    /// # Errors
    ///
    /// Fails if the envelope does not begin with a format number.
    pub fn format(&self) -> Result<u16, RecordError> {
        let (format, _) = postcard::take_from_bytes(&self.envelope).context(BadEnvelopeSnafu)?;
        Ok(format)
    }

    /// Public key of the signer.
    pub fn key(&self) -> KeyId {
        self.key
    }

    /// The signed bytes.
    pub fn signed_bytes(&self) -> &[u8] {
        &self.envelope
    }

    /// The signature.
    pub fn signature(&self) -> &[u8] {
        &self.signature
    }
}
