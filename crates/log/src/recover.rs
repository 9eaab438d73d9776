//! Loading the newest snapshot from the log.

use std::time::Duration;

use trefoil_core::Offset;

use crate::log::{Log, LogError};
use crate::record::{Body, Envelope, FORMAT, RecordError, SignedRecord};
use crate::sign::{Keyring, Role};
use crate::snapshot::SnapshotAssembler;
use crate::view::View;

/// Records read in one call.
const READ_BATCH: usize = 256;

/// Reads the retained log from `first` to its end and returns the newest usable snapshot.
///
/// A snapshot is usable if all its parts are there, are signed by a host and fit its digest, and if
/// the log keeps all records from its view's next offset on. Anything else is passed over.
///
/// A record of a known format that does not decode ends the search, because replay would stop there:
/// a snapshot after it holds a decision that this build does not know. For the same reason a
/// snapshot is not usable if its level is above those that this build knows.
///
/// # Errors
///
/// Fails if the log cannot be read. [`LogError::Truncated`] means that retention has overtaken the
/// search, which can then be repeated from the new first offset.
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
            // A damaged snapshot is as good as none; an older one may still be usable.
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
