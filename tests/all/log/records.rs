//! Encoding of records.

use trefoil_core::HostId;
use trefoil_log::{Body, Envelope, RecordError, SignedRecord};

use super::{Keys, envelope};

/// Guards against a record of a newer format that decodes by chance, and against ignored bytes
/// after the envelope.
#[test]
fn only_whole_records_of_known_formats_decode() {
    let keys = Keys::new();
    let host = HostId(uuid::Uuid::from_u128(1));
    let mut record = envelope(1, 1, Body::Left { host });
    let read = |r: &Envelope| {
        SignedRecord::new(r, &keys.host)
            .expect("it encodes")
            .envelope()
    };
    assert_eq!(read(&record), Ok(record.clone()));
    record.format += 1;
    let format = record.format;
    assert_eq!(read(&record), Err(RecordError::NewerFormat { format }));

    record.format -= 1;
    let bytes = postcard::to_stdvec(&record).expect("it encodes");
    let longer = [&*bytes, &[0, 0]].concat();
    let data = (longer.clone(), keys.host.key(), keys.host.sign(&longer));
    let data = postcard::to_stdvec(&data).expect("it encodes");
    let record = SignedRecord::decode(&data).expect("a signed record");
    assert_eq!(record.envelope(), Err(RecordError::Trailing { len: 2 }));
}
