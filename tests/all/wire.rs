//! Tests of `trefoil-wire` over loopback sockets.

mod cancel;
mod codec;
mod frames;
mod loss;
mod relay;
mod round_trip;
mod support;
mod trust;
