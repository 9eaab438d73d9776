//! Encoding of datagrams between hosts.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use trefoil_core::{HostId, Key, KeyRange, UpstreamName};
use trefoil_gateway::message::{Message, MessageError, Report, SyncStatus};
use trefoil_gateway::tables::{Revision, Routes};
use trefoil_ranges::Table;

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 2_000,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(0x6d65_7373_6167),
        failure_persistence: None,
        ..Config::default()
    })
}

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

/// Guards against a process that ends because of ranges in a message of another host that are
/// reversed, overlap or are in any order.
#[test]
fn ranges_of_any_kind_are_handled() {
    let reversed = postcard::to_allocvec(&(6_u16, 3_u16)).expect("encoded");
    postcard::from_bytes::<KeyRange>(&reversed).expect_err("a reversed range");
    let whole = postcard::to_allocvec(&(3_u16, 6_u16)).expect("encoded");
    let range: KeyRange = postcard::from_bytes(&whole).expect("a range");
    assert_eq!((range.first(), range.last()), (Key(3), Key(6)));
    let strategy = proptest::collection::vec((0..6_u16, 0..6_u16, any::<bool>()), 0..8);
    let result = runner().run(&(strategy.clone(), strategy), |(first, second)| {
        let owner = "i-1".parse().expect("a name");
        let ranges = |list: &[(u16, u16, bool)]| -> Vec<(KeyRange, Option<UpstreamName>)> {
            let ranges = list.iter().filter_map(|(a, b, owned)| {
                let range = KeyRange::new(Key(*a), Key(*b)).ok()?;
                Some((range, owned.then(|| UpstreamName::clone(&owner))))
            });
            ranges.collect()
        };
        let (first, second) = (ranges(&first), ranges(&second));
        let revision = Revision::default();
        let routes = Routes::new(revision, first.iter().map(|(r, o)| (*r, o.as_ref())));
        let changed = routes.apply_changes(revision, &second);
        changed.changes_since(&routes);
        changed.iter().for_each(|(range, _)| {
            changed.owner(range.first());
        });
        Ok(())
    });
    result.expect("no panic");
}

/// Guards against a process that ends because of a datagram or a table with any bytes.
#[test]
fn any_bytes_are_handled() {
    let valid = report(Some(7)).encode().expect("encoded");
    let change = (any::<prop::sample::Index>(), any::<u8>());
    let changes = proptest::collection::vec(change, 0..6);
    let tail = proptest::collection::vec(any::<u8>(), 0..200);
    let result = runner().run(&(changes, tail), |(changes, tail)| {
        let mut bytes = valid.clone();
        for (index, byte) in changes {
            *index.get_mut(&mut bytes) = byte;
        }
        let _ = Message::decode(&bytes);
        for variant in 0..10 {
            let _ = Message::decode(&[&[2, variant], tail.as_slice()].concat());
        }
        let _ = Table::decode(&tail);
        let _ = Table::decode(&[&[1], tail.as_slice()].concat());
        Ok(())
    });
    result.expect("no panic");
}
