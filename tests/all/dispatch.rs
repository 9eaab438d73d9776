//! Tests of `trefoil-dispatch`.
