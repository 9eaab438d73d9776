//! Tests of `trefoil-config`.
