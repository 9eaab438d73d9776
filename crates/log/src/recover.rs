//! Recovery from the newest snapshot in the log.

use std::time::Duration;

use trefoil_core::Offset;

use crate::log::{Log, LogError};
use crate::record::{Body, Envelope, FORMAT, RecordError, SignedRecord};
use crate::sign::{Keyring, Role};
use crate::snapshot::SnapshotAssembler;
use crate::view::View;

/// Number of records per read.
const READ_BATCH: usize = 256;

/// Reads the retained log from `first` to its end and returns the newest usable snapshot.
///
/// A snapshot is usable if the log contains all its parts, each signed by a host, if they match its
/// digest, and if the log retains all records from the next offset of its view on. All other
/// snapshots are ignored.
///
/// A record in a known format that does not decode ends the search, because replay stops there as
/// well: later snapshots include a decision that this build cannot interpret. For the same reason a
/// snapshot whose format level is newer than this build is not usable.
///
/// # Errors
///
/// Fails if the log cannot be read. [`LogError::Truncated`] means that retention dropped records
/// during the search; the caller can retry from the new first offset.
pub async fn load_snapshot(
    log: &dyn Log,
    keys: &Keyring,
    first: Offset,
) -> Result<Option<View>, LogError> {
    let mut assembler = SnapshotAssembler::default();
    let mut newest: Option<View> = None;
    let mut from = first;
    loop {
        let batch = log.read(from, READ_BATCH, Duration::ZERO).await?;
        for record in &batch.records {
            let envelope = match decode_host_record(&record.data, keys) {
                Decoded::Record(envelope) => envelope,
                Decoded::Ignored => continue,
                Decoded::Undecodable => return Ok(newest),
            };
            let Body::Snapshot(part) = &envelope.body else {
                continue;
            };
            // A damaged snapshot is ignored; an older one may still be usable.
            let Ok(Some(view)) = assembler.add(envelope.writer, part) else {
                continue;
            };
            let retained = view.next >= first && view.next <= record.offset;
            let usable = retained && view.format_level() <= FORMAT;
            if usable && newest.as_ref().is_none_or(|n| view.next >= n.next) {
                newest = Some(view);
            }
        }
        if batch.next >= batch.end {
            return Ok(newest);
        }
        from = batch.next;
    }
}

/// A stored record as recovery sees it.
enum Decoded {
    Record(Box<Envelope>),
    Ignored,
    Undecodable,
}

fn decode_host_record(data: &[u8], keys: &Keyring) -> Decoded {
    let Ok(signed) = SignedRecord::decode(data) else {
        return Decoded::Ignored;
    };
    let role = keys.verify(signed.key(), signed.signed_bytes(), signed.signature());
    match (role, signed.envelope()) {
        (Some(Role::Host), Ok(envelope)) => Decoded::Record(Box::new(envelope)),
        (Some(Role::Operator), Ok(_)) | (None, _) | (_, Err(RecordError::NewerFormat { .. })) => {
            Decoded::Ignored
        }
        (Some(_), Err(_)) => Decoded::Undecodable,
    }
}
