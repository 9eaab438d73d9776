//! Encoding and decoding of heads.

use std::time::Duration;

use proptest::collection::vec;
use proptest::option;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use trefoil_core::{KeyHash, Outcome, Revision};
use trefoil_wire::{AnswerHead, CodecError, ForwardHead, Headers, codec, message};

use super::support::{head, ok_head};

/// Number of cases of each property.
const CASES: u32 = 512;

/// Creates a runner with a fixed seed, so that every run has the same cases.
fn seeded_runner() -> TestRunner {
    let seed = *b"trefoil-wire codec property test";
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

fn headers() -> impl Strategy<Value = Headers> {
    vec(
        ("[a-z-]{1,16}", vec(any::<u8>(), 0..64)),
        0..message::HEADERS_MAX,
    )
}

fn heads() -> impl Strategy<Value = ForwardHead> {
    let names = (
        "[a-z0-9-]{1,63}",
        "[a-z0-9-]{1,63}",
        "[A-Z]{1,32}",
        "/[ -~]{0,200}",
    );
    let rest = (
        any::<u64>(),
        headers(),
        option::of("[!-~]{1,64}"),
        any::<bool>(),
        any::<u64>(),
        option::of("[!-~]{1,55}"),
        any::<u64>(),
    );
    (names, rest).prop_map(|(names, rest)| ForwardHead {
        service: names.0.parse().unwrap(),
        upstream: names.1.parse().unwrap(),
        method: names.2,
        path: names.3,
        key: KeyHash(rest.0),
        headers: rest.1,
        id: rest.2.map(|id| id.parse().unwrap()),
        idempotent: rest.3,
        budget: Duration::from_nanos(rest.4),
        trace: rest.5,
        revision: Revision(rest.6),
    })
}

fn answers() -> impl Strategy<Value = AnswerHead> {
    let outcome = || {
        prop_oneof![
            Just(Outcome::Done),
            Just(Outcome::NotRun),
            Just(Outcome::Unknown)
        ]
    };
    let revision = || any::<u64>().prop_map(Revision);
    prop_oneof![
        (100..1000_u16, headers(), outcome(), revision()).prop_map(|a| AnswerHead::Answer {
            status: a.0,
            headers: a.1,
            outcome: a.2,
            revision: a.3,
        }),
        (outcome(), "\\PC{0,600}", revision()).prop_map(|a| AnswerHead::failed(a.0, a.1, a.2)),
        ("[a-z0-9-]{1,63}", revision()).prop_map(|a| AnswerHead::Moved {
            upstream: a.0.parse().unwrap(),
            revision: a.1,
        }),
    ]
}

/// Guards against fields that are lost or swapped between encoding and decoding.
#[test]
fn heads_round_trip() {
    let strategy = (heads(), answers());
    seeded_runner()
        .run(&strategy, |(head, answer)| {
            let bytes = head.encode().unwrap();
            assert_eq!(ForwardHead::decode(&bytes).unwrap(), head);
            let bytes = answer.encode().unwrap();
            assert_eq!(AnswerHead::decode(&bytes).unwrap(), answer);
            Ok(())
        })
        .unwrap();
}

/// Guards against input that makes decoding panic or that decodes to a head beyond a limit. The
/// input is random bytes, and valid heads with bytes changed, removed or appended.
#[test]
fn invalid_bytes_are_refused() {
    let change = (
        any::<u16>(),
        any::<u8>(),
        any::<u16>(),
        vec(any::<u8>(), 0..4),
    );
    let strategy = (vec(any::<u8>(), 0..300), heads(), answers(), change);
    let corrupt = |bytes: &[u8], change: &(u16, u8, u16, Vec<u8>)| {
        let mut bytes = bytes.to_vec();
        let at = usize::from(change.0) % bytes.len();
        bytes[at] ^= change.1;
        bytes.truncate(bytes.len() - usize::from(change.2) % bytes.len());
        bytes.extend_from_slice(&change.3);
        bytes
    };
    seeded_runner()
        .run(&strategy, |(garbage, head, answer, change)| {
            let corrupted = corrupt(&head.encode().unwrap(), &change);
            for bytes in [&garbage, &corrupted] {
                if let Ok(head) = ForwardHead::decode(bytes) {
                    // Encoding checks the limits, so a decoded head must also encode.
                    head.encode().unwrap();
                }
            }
            let corrupted = corrupt(&answer.encode().unwrap(), &change);
            for bytes in [&garbage, &corrupted] {
                if let Ok(answer) = AnswerHead::decode(bytes) {
                    answer.encode().unwrap();
                }
            }
            Ok(())
        })
        .unwrap();
}

/// Guards against limits that only encoding or only decoding enforces.
#[test]
fn limits() {
    let name = || ("x".to_owned(), vec![]);
    let mut many = head("/");
    many.headers = std::iter::repeat_with(name).take(101).collect();
    let mut long = head("/");
    long.method = "M".repeat(33);
    let mut relative = head("x");
    relative.path = String::new();
    let mut trace = head("/");
    trace.trace = Some("t".repeat(513));
    for head in [many, long, relative, trace] {
        let invalid = |r: Result<(), CodecError>| matches!(r, Err(CodecError::Invalid { .. }));
        assert!(invalid(head.encode().map(|_| ())), "{head:?}");
        let bytes = codec::encode(&head).unwrap();
        assert!(invalid(ForwardHead::decode(&bytes).map(|_| ())), "{head:?}");
    }
    let large = codec::encode(&vec![0_u8; 1024 * 1024]);
    assert!(matches!(large, Err(CodecError::TooLarge { .. })));
    let mut two = ok_head().encode().unwrap().to_vec();
    two.push(0);
    let error = AnswerHead::decode(&two).unwrap_err();
    assert_eq!(error, CodecError::Trailing { len: 1 });
}
