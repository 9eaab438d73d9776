//! Tests of `trefoil-wire` on loopback.

mod round_trip;
mod support;
