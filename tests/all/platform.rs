//! `trefoild serve` as processes, between callers, upstreams and the store of a stand-in platform.

mod fleet;
mod output;
mod promises;
mod telemetry;
