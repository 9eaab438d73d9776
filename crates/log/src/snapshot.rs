//! Snapshots of the view in the log.
//!
//! The log keeps records for a limited time, so a snapshot of the view is written before the
//! records that led to it are dropped. A snapshot is split into parts that fit into records. It
//! counts only when all parts of one writer are there and their digest fits; a writer that dies
//! half-way leaves parts that nobody uses.

use std::collections::BTreeMap;

use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use trefoil_core::{Revision, WriterId};

use crate::log::RECORD_MAX;
use crate::view::View;

/// Bytes of the view in one part. The rest of a record is its envelope and signature.
pub const PART_MAX: usize = RECORD_MAX / 2;

/// Largest view in bytes that is assembled: the tables of 2^20 shards need 8 MiB.
const VIEW_MAX: usize = 256 * 1024 * 1024;

/// One part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
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
    #[snafu(display("the snapshot has more than {VIEW_MAX} bytes"))]
    TooLarge,
}

/// Splits a view into parts.
///
/// # Errors
///
/// Fails if the view does not encode.
pub fn split(view: &View) -> Result<Vec<Part>, SnapshotError> {
    let data = postcard::to_stdvec(view)?;
    let sum = sha256(&data);
    let chunks = data.chunks(PART_MAX);
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let part = |(index, data): (u32, &[u8])| Part {
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
pub struct Assembler {
    partial: BTreeMap<WriterId, Partial>,
}

#[derive(Debug)]
struct Partial {
    digest: [u8; 32],
    next: u32,
    data: Vec<u8>,
}

impl Assembler {
    /// Adds the next part of a writer. Returns the view once its last part is there.
    ///
    /// # Errors
    ///
    /// Fails if the parts do not fit together. The writer's parts so far are dropped.
    pub fn add(&mut self, writer: WriterId, part: &Part) -> Result<Option<View>, SnapshotError> {
        let mut partial = match self.partial.remove(&writer) {
            Some(p) if p.digest == part.digest && p.next == part.index => p,
            _ if part.index == 0 => Partial {
                digest: part.digest,
                next: 0,
                data: Vec::new(),
            },
            // The first parts were dropped by retention, or never written.
            _ => return Ok(None),
        };
        if partial.data.len() + part.data.len() > VIEW_MAX {
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
        Ok(Some(postcard::from_bytes(&partial.data)?))
    }
}

/// What replay remembers of the snapshots in the log, so that hosts know when the next is due.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Revision of the view in the newest complete snapshot.
    pub newest: Revision,
    open: BTreeMap<WriterId, (Revision, u32)>,
}

impl Progress {
    /// Notes a part that was replayed.
    pub fn note(&mut self, writer: WriterId, part: &Part) {
        let expected = match self.open.remove(&writer) {
            Some((revision, next)) if revision == part.revision => next,
            _ => 0,
        };
        match part.index == expected {
            true if part.index + 1 == part.count => self.newest = self.newest.max(part.revision),
            true => {
                self.open.insert(writer, (part.revision, part.index + 1));
            }
            false => {}
        }
        // Writers that died half-way are forgotten once a newer snapshot is complete.
        let newest = self.newest;
        self.open.retain(|_, (revision, _)| *revision > newest);
    }
}
