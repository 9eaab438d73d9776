//! Tests of `trefoil-placement`.
