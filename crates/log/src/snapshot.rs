//! Snapshots of the view in the log.
//!
//! The log keeps records for a limited time, so a snapshot of the view is written before the
//! records that led to it are dropped. A snapshot is split into parts that fit into records. It
//! counts only when all parts of one writer are there and their digest fits; a writer that dies
//! half-way leaves parts that nobody uses.
//!
//! A host whose next record the log no longer keeps [loads](crate::recover::load_snapshot) the newest usable
//! snapshot. The snapshot says nothing about the records after its view, so it is usable only while
//! the log still keeps all of them.

use std::collections::BTreeMap;

use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use trefoil_core::{Offset, Revision, UnixMillis, WriterId};

use crate::log::RECORD_MAX;
use crate::view::View;

/// Bytes of the view in one part. The rest of a record is its envelope and signature.
pub const PART_MAX: usize = RECORD_MAX / 2;

/// Largest view in bytes that is assembled: the tables of 2^20 shards need 8 MiB.
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
    /// The part's bytes.
    pub data: Vec<u8>,
}

/// Why a snapshot cannot be written or read.
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
    /// The parts are not those of one snapshot.
    #[snafu(display("the snapshot's digest does not fit its parts"))]
    BadDigest,
    /// The view is larger than any that this build writes.
    #[snafu(display("the snapshot has more than {VIEW_BYTES_MAX} bytes"))]
    TooLarge,
}

/// Splits a view into parts.
///
/// # Errors
///
/// Fails if the view does not encode.
pub fn split_view(view: &View) -> Result<Vec<SnapshotPart>, SnapshotError> {
    split_view_with_max(view, PART_MAX)
}

/// Splits a view into parts of at most `max` bytes, at least 1.
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

/// Puts the parts of snapshots together.
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
    /// Adds the next part of a writer. Returns the view once its last part is there.
    ///
    /// # Errors
    ///
    /// Fails if the parts do not fit together. The writer's parts so far are dropped.
    pub fn add(
        &mut self,
        writer: WriterId,
        part: &SnapshotPart,
    ) -> Result<Option<View>, SnapshotError> {
        let mut partial = match self.partial.remove(&writer) {
            Some(p) if p.digest == part.digest && p.next == part.index => p,
            // The same part once more: its record landed twice, or the writer started over.
            Some(p) if p.digest == part.digest && p.next > part.index => {
                self.partial.insert(writer, p);
                return Ok(None);
            }
            _ if part.index == 0 => PartialSnapshot {
                digest: part.digest,
                next: 0,
                data: Vec::new(),
            },
            // The first parts were dropped by retention, or never written.
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

/// What replay remembers of the snapshots in the log, so that hosts know when the next is due.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotProgress {
    /// Revision of the view in the newest complete snapshot.
    pub newest_revision: Revision,
    /// Offset after the newest complete snapshot, or of the first record if there is none. The
    /// records of the snapshot itself do not count towards the next.
    pub end_offset: Offset,
    /// Wall clock of the host that wrote the record before [`end_offset`](Self::end_offset).
    pub time: UnixMillis,
    open: BTreeMap<WriterId, OpenSnapshot>,
}

/// A snapshot of which some parts were replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct OpenSnapshot {
    revision: Revision,
    digest: [u8; 32],
    next: u32,
}

impl SnapshotProgress {
    /// Notes the time of the first record, from which the first snapshot is due.
    pub fn start_interval(&mut self, offset: Offset, time: UnixMillis) {
        if self.time == UnixMillis(0) {
            (self.end_offset, self.time) = (offset, time);
        }
    }

    /// Notes a part that was replayed.
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
        // Writers that died half-way are forgotten once a newer snapshot is complete. While nothing
        // is decided, the next snapshot has the same revision, so equal ones stay.
        let newest = self.newest_revision;
        self.open.retain(|_, open| open.revision >= newest);
    }

    /// Whether some snapshot is begun and not complete.
    pub fn has_incomplete(&self) -> bool {
        !self.open.is_empty()
    }
}
