//! Tests of `trefoild serve` as separate processes, between callers, upstreams and the store of a
//! stand-in platform.

mod admission;
mod calls;
mod configuration;
mod connections;
mod decoding;
mod downloads;
mod early_answers;
mod endless;
mod evacuations;
mod failing;
mod fake;
mod identities;
mod leaving;
mod limits;
mod memory;
mod odd_config;
mod odd_entries;
mod odd_heads;
mod odd_pages;
mod odd_store;
mod output;
mod ownership;
mod promises;
mod repeats;
mod restored;
mod signals;
mod silent;
mod soak;
mod takeovers;
mod telemetry;
mod warmup;

use std::path::Path;

/// The program under test.
fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_trefoild"))
}
