//! Replay, appends, snapshots and signatures of the decision log.

mod append;
mod daemon;
mod property;
mod records;
mod script;

use trefoil_config::Routing;
use trefoil_core::{Revision, UnixMillis, WriterId};
use trefoil_log::{Body, Envelope, FORMAT, KeyId, Keyring, Role, SignedRecord, Signer};

/// The signing keys of a deployment, and one that is not in its key list.
struct Keys {
    operator: Signer,
    host: Signer,
    stranger: Signer,
    host_pair: Vec<u8>,
}

impl Keys {
    fn new() -> Self {
        let pair = || Signer::generate().expect("a key pair");
        let host_pair = pair();
        Self {
            operator: signer(&pair()),
            host: signer(&host_pair),
            stranger: signer(&pair()),
            host_pair,
        }
    }

    /// Returns another signer with the hosts' key.
    fn host_signer(&self) -> Signer {
        signer(&self.host_pair)
    }

    fn ring(&self) -> Keyring {
        let mut ring = Keyring::default();
        ring.add(self.operator.key(), Role::Operator);
        ring.add(self.host.key(), Role::Host);
        ring
    }
}

fn signer(pair: &[u8]) -> Signer {
    Signer::from_pkcs8(pair).expect("the key pair reads back")
}

fn writer(number: u128) -> WriterId {
    WriterId(uuid::Uuid::from_u128(number))
}

/// Creates a resource with one service of one upstream.
fn routing(name: &str, upstream: &str, port: u16, base: u64) -> Routing {
    let text = format!(
        "kind: Routing
name: {name}
spec:
  region: test
  domains: [a]
  services:
    - name: {name}
      key: {{ path: 1 }}
      methods: {{ idempotent: [GET] }}
      limits: {{ slots: 4, connections: 130 }}
      deadlines: {{ default: 5000, max: 30000 }}
      fenced: true
      upstreams:
        - {{ name: {upstream}, address: \"192.0.2.1:{port}\", domain: a }}
"
    );
    let mut routing = Routing::from_yaml(&text, "test").unwrap_or_else(|e| panic!("{e}"));
    routing.revision = Revision(base);
    routing
}

fn envelope(number: u128, sequence: u64, body: Body) -> Envelope {
    Envelope {
        format: FORMAT,
        writer: writer(number),
        sequence,
        base: Revision(0),
        time: UnixMillis(1_000),
        body,
    }
}

fn signed(envelope: &Envelope, signer: &Signer) -> bytes::Bytes {
    let record = SignedRecord::new(envelope, signer).and_then(|s| s.encode());
    record.expect("the record encodes")
}

/// Guards against keys with a sign in place of a digit: `from_str_radix` parses "+f" as 15.
#[test]
fn keys_have_digits_only() {
    let good = "0f".repeat(32);
    assert_eq!(good.parse::<KeyId>().expect("a key").to_string(), good);
    for bad in ["+f".repeat(32), "0g".repeat(32), "0f".repeat(31)] {
        assert!(bad.parse::<KeyId>().is_err(), "{bad}");
    }
}
