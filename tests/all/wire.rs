//! Tests of `trefoil-wire`.
