//! Encoding of datagrams between hosts.

use trefoil_core::{HostId, UnixMillis};
use trefoil_directory::Incarnation;
use trefoil_gateway::message::{
    ChangeItem, Digest, Message, MessageError, Removal, Report, SyncStatus,
};
use trefoil_store::Era;

fn report(directory_age_ms: Option<u32>) -> Message {
    Message::Report(Report {
        from: HostId::random(),
        status: SyncStatus {
            config_version: 3,
            directory_digest: Some(7),
            store_age_ms: None,
            directory_age_ms,
            ..SyncStatus::default()
        },
        open: Vec::new(),
        times: Vec::new(),
        keys: Vec::new(),
        terms: Vec::new(),
    })
}

/// Guards against hosts that drop each other's datagrams during a rolling upgrade: earlier builds
/// neither send nor expect the age of the directory, which follows the message.
#[test]
fn the_directory_age_is_optional() {
    let with = report(Some(250));
    let Message::Report(report) = &with else {
        panic!("a report");
    };
    let mut earlier = report.clone();
    earlier.status.directory_age_ms = None;
    let earlier = Message::Report(earlier);
    let (bytes, prefix) = (with.encode(), earlier.encode());
    let (bytes, prefix) = (bytes.expect("encoded"), prefix.expect("encoded"));
    assert!(bytes.starts_with(&prefix) && bytes.len() > prefix.len());
    assert_eq!(Message::decode(&bytes), Ok(with));
    assert_eq!(Message::decode(&prefix), Ok(earlier));
    let cut = Message::decode(&bytes[..bytes.len() - 1]);
    assert!(matches!(cut, Err(MessageError::Decode { .. })), "{cut:?}");
}

fn digest(sequence: Option<u64>) -> Digest {
    let incarnation = Incarnation {
        name: "u1".parse().expect("a name"),
        started: UnixMillis(5),
    };
    Digest {
        from: HostId::random(),
        status: SyncStatus {
            config_version: 3,
            directory_digest: Some(7),
            store_age_ms: None,
            directory_age_ms: Some(250),
            ..SyncStatus::default()
        },
        live: Vec::new(),
        hosts: 2,
        local: Vec::new(),
        remote: Vec::new(),
        times: Vec::new(),
        terms: Vec::new(),
        changes: vec![ChangeItem::Gone(Removal {
            incarnation,
            sequence,
        })],
    }
}

/// Guards against hosts that drop each other's removals during a rolling upgrade: earlier builds
/// neither send nor expect the sequence number, which follows the age of the directory.
#[test]
fn the_sequence_of_a_removal_is_optional() {
    let with = digest(Some(41));
    let mut earlier = with.clone();
    earlier.status.directory_age_ms = None;
    let age_ms = postcard::to_allocvec(&250_u32).expect("encoded");
    let earlier = Message::Digest(earlier).encode().expect("encoded");
    let earlier = [earlier, age_ms].concat();
    let bytes = Message::Digest(with.clone()).encode().expect("encoded");
    assert!(bytes.starts_with(&earlier) && bytes.len() > earlier.len());
    let mut without = with.clone();
    without.changes = digest(None).changes;
    assert_eq!(Message::decode(&bytes), Ok(Message::Digest(with)));
    assert_eq!(Message::decode(&earlier), Ok(Message::Digest(without)));
}

/// Guards against hosts that drop each other's datagrams during a rolling upgrade: earlier builds
/// neither send nor expect the eras, which follow the sequence numbers of removals.
#[test]
fn the_eras_are_optional() {
    for changes in [digest(Some(41)).changes, Vec::new()] {
        let mut with = digest(None);
        with.changes = changes;
        with.status.store_era = Some(Era(300));
        with.status.config_era = Era(2);
        let mut earlier = with.clone();
        earlier.status.store_era = None;
        earlier.status.config_era = Era::default();
        let prefix = Message::Digest(earlier.clone()).encode().expect("encoded");
        let bytes = Message::Digest(with.clone()).encode().expect("encoded");
        assert!(bytes.starts_with(&prefix) && bytes.len() > prefix.len());
        assert_eq!(Message::decode(&bytes), Ok(Message::Digest(with)));
        assert_eq!(Message::decode(&prefix), Ok(Message::Digest(earlier)));
        let cut = Message::decode(&bytes[..bytes.len() - 1]);
        assert!(matches!(cut, Err(MessageError::Decode { .. })), "{cut:?}");
    }
}
