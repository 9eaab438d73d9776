//! Tests of `trefoil-dispatch`.

mod causes;
mod limits;
mod load;
mod loss;
mod memory;
mod properties;
mod script;
mod sim;

use std::time::Duration;

use trefoil_core::{RequestId, Tick};
use uuid::Builder;

/// Returns the tick at `millis` after the origin.
fn ms(millis: u64) -> Tick {
    Tick(Duration::from_millis(millis))
}

/// Returns a `UUIDv7` id minted at `millis`; `number` distinguishes ids of equal times.
fn v7(millis: u64, number: u64) -> RequestId {
    let mut random = [0; 10];
    random[2..].copy_from_slice(&number.to_be_bytes());
    let uuid = Builder::from_unix_timestamp_millis(millis, &random).into_uuid();
    uuid.to_string().parse().expect("a UUID is a request id")
}
