//! Tests of `trefoil-lease`.
