//! Encoding of datagrams between hosts.

use trefoil_core::HostId;
use trefoil_gateway::message::{Message, MessageError, Report, SyncStatus};

fn report(directory_age_ms: Option<u32>) -> Message {
    Message::Report(Report {
        from: HostId::random(),
        status: SyncStatus {
            config_version: 3,
            directory_digest: Some(7),
            store_age_ms: None,
            directory_age_ms,
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
