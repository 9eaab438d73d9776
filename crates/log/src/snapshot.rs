//! Snapshots of the view in the log.
//!
//! The log retains records for a limited time, so hosts write a snapshot of the view before the
//! records that led to it are dropped. A snapshot is split into parts that fit into records. It is
//! complete when the log contains all parts of one writer and they match the digest. The parts of a
//! writer that crashes before it has written all of them are never used.
//!
//! A host whose next record is no longer retained
//! [loads](crate::recover::load_snapshot) the newest usable snapshot and replays the records after
//! its view. A snapshot is therefore usable only while the log retains all of those.

use std::collections::BTreeMap;

use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use trefoil_core::{Offset, Revision, UnixMillis, WriterId};

use crate::log::RECORD_MAX;
use crate::view::View;

/// Maximum size of a part's data in bytes. The rest of the record is left for envelope and
/// signature.
pub const PART_MAX: usize = RECORD_MAX / 2;

/// Largest encoded view in bytes that is assembled. The tables of 2^20 shards take 8 MiB.
const VIEW_BYTES_MAX: usize = 256 * 1024 * 1024;

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Revision of the view.
    pub revision: Revision,
    /// Index of the part, from 0.
    pub index: u32,
    /// Number of parts.
    pub count: u32,
    /// SHA-256 digest of the whole encoded view.
    pub digest: [u8; 32],
    /// This part's bytes of the encoded view.
    pub data: Vec<u8>,
}

/// A snapshot cannot be written or read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum SnapshotError {
    /// The view does not encode or decode.
    #[snafu(
        display("the view does not encode or decode: {source}"),
        context(false)
    )]
    Codec {
        /// The codec's error.
        source: postcard::Error,
    },
    /// The parts do not form one snapshot: digest or revision do not match.
    #[snafu(display("the assembled snapshot does not match the digest or revision in its parts"))]
    BadDigest,
    /// The encoded view is larger than this build accepts.
    #[snafu(display("the snapshot has more than {VIEW_BYTES_MAX} bytes"))]
    TooLarge,
}

/// Splits a view into parts of at most [`PART_MAX`] bytes.
///
/// # Errors
///
/// Fails if the view does not encode.
pub fn split_view(view: &View) -> Result<Vec<SnapshotPart>, SnapshotError> {
    split_view_with_max(view, PART_MAX)
}

/// Splits a view into parts of at most `max` bytes. A `max` of 0 is taken as 1.
///
/// # Errors
///
/// Fails if the view does not encode.
pub fn split_view_with_max(view: &View, max: usize) -> Result<Vec<SnapshotPart>, SnapshotError> {
    let data = postcard::to_stdvec(view)?;
    let sum = sha256(&data);
    let chunks = data.chunks(max.max(1));
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let part = |(index, data): (u32, &[u8])| SnapshotPart {
        revision: view.revision,
        index,
        count,
        digest: sum,
        data: data.to_vec(),
    };
    Ok((0..).zip(chunks).map(part).collect())
}

fn sha256(data: &[u8]) -> [u8; 32] {
    let mut sum = [0; 32];
    sum.copy_from_slice(digest(&SHA256, data).as_ref());
    sum
}

/// Assembles views from the parts of snapshots, separately for each writer.
#[derive(Debug, Default)]
pub struct SnapshotAssembler {
    partial: BTreeMap<WriterId, PartialSnapshot>,
}

#[derive(Debug)]
struct PartialSnapshot {
    digest: [u8; 32],
    next: u32,
    data: Vec<u8>,
}

impl SnapshotAssembler {
    /// Adds a part of a writer's snapshot. Returns the view with the last part.
    ///
    /// # Errors
    ///
    /// Fails if the assembled bytes do not match the digest, do not decode, or are too large. The
    /// writer's earlier parts are dropped then.
    pub fn add(
        &mut self,
        writer: WriterId,
        part: &SnapshotPart,
    ) -> Result<Option<View>, SnapshotError> {
        let mut partial = match self.partial.remove(&writer) {
            Some(p) if p.digest == part.digest && p.next == part.index => p,
            // A part that was added before: its record was appended twice, or the writer restarted.
            Some(p) if p.digest == part.digest && p.next > part.index => {
                self.partial.insert(writer, p);
                return Ok(None);
            }
            _ if part.index == 0 => PartialSnapshot {
                digest: part.digest,
                next: 0,
                data: Vec::new(),
            },
            // Retention dropped the first parts, or they were never appended.
            _ => return Ok(None),
        };
        if partial.data.len() + part.data.len() > VIEW_BYTES_MAX {
            return Err(SnapshotError::TooLarge);
        }
        partial.data.extend_from_slice(&part.data);
        partial.next += 1;
        if partial.next < part.count {
            self.partial.insert(writer, partial);
            return Ok(None);
        }
        if sha256(&partial.data) != partial.digest {
            return Err(SnapshotError::BadDigest);
        }
        let view: View = postcard::from_bytes(&partial.data)?;
        if view.revision == part.revision {
            Ok(Some(view))
        } else {
            Err(SnapshotError::BadDigest)
        }
    }
}

/// Progress of the snapshots in the log, from which hosts derive when the next one is due.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// Revision of the view in the newest complete snapshot.
    pub newest_revision: Revision,
    /// Offset after the newest complete snapshot, or of the first record if there is none. The
    /// records of a snapshot do not count towards the interval to the next one.
    pub end_offset: Offset,
    /// Wall clock time, according to its writer, of the last part of that snapshot or of that first
    /// record.
    pub time: UnixMillis,
    open: BTreeMap<WriterId, OpenSnapshot>,
}

/// A snapshot of which only some parts have been replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct OpenSnapshot {
    revision: Revision,
    digest: [u8; 32],
    next: u32,
}

impl SnapshotProgress {
    /// Starts the interval to the first snapshot at the first record of the log.
    pub fn start_interval(&mut self, offset: Offset, time: UnixMillis) {
        if self.time == UnixMillis(0) {
            (self.end_offset, self.time) = (offset, time);
        }
    }

    /// Records a replayed part.
    pub fn record_part(
        &mut self,
        writer: WriterId,
        part: &SnapshotPart,
        offset: Offset,
        time: UnixMillis,
    ) {
        let expected = match self.open.remove(&writer) {
            Some(open) if open.digest == part.digest && part.index > 0 => open.next,
            _ => 0,
        };
        if part.index != expected {
            return;
        }
        if part.index + 1 < part.count {
            let open = OpenSnapshot {
                revision: part.revision,
                digest: part.digest,
                next: part.index + 1,
            };
            self.open.insert(writer, open);
            return;
        }
        if part.revision >= self.newest_revision {
            self.newest_revision = part.revision;
            (self.end_offset, self.time) = (offset.next(), time);
        }
        // Incomplete snapshots of crashed writers are dropped once a newer snapshot is complete.
        // Without new decisions the next snapshot has the same revision, so equal ones are kept.
        let newest = self.newest_revision;
        self.open.retain(|_, open| open.revision >= newest);
    }

    /// Returns true if some snapshot has parts in the log but is not complete.
    pub fn has_incomplete(&self) -> bool {
        !self.open.is_empty()
    }
}
