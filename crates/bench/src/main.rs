//! Measures the resources that a host spends on the control plane and on each request.
//!
//! ```text
//! cargo run --release -p trefoil-bench -- slopes [replay|lease|lookup|dispatch|wire]
//! SMOL_THREADS=1 cargo run --release -p trefoil-bench -- path
//! ```
//!
//! `slopes` measures each quantity at several sizes, with at least three repeats at each, and fits
//! a line to the medians. `docs/CAPACITY.md` extrapolates the demand at full scale from these
//! lines. `path` compares the complete path of a request with a direct call to the same upstream.
//! All traffic stays on the loopback interface, and all loops are bounded.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    reason = "sizes and times of a measurement are far below 2^52"
)]

mod alloc;
mod deployment;
mod dispatch;
mod fit;
mod lease;
mod lookup;
mod path;
mod replay;
mod wire;

/// Error of a measurement that failed.
type Error = Box<dyn std::error::Error>;

#[global_allocator]
static ALLOCATOR: alloc::CountingAllocator = alloc::CountingAllocator;

fn main() -> Result<(), Error> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let name = |i: usize| arguments.get(i).map(String::as_str);
    match (name(0), name(1)) {
        (Some("slopes"), None) => {
            replay::run()?;
            lease::run()?;
            lookup::run()?;
            dispatch::run()?;
            wire::run()
        }
        (Some("slopes"), Some("replay")) => replay::run(),
        (Some("slopes"), Some("lease")) => lease::run(),
        (Some("slopes"), Some("lookup")) => lookup::run(),
        (Some("slopes"), Some("dispatch")) => dispatch::run(),
        (Some("slopes"), Some("wire")) => wire::run(),
        (Some("path"), None) => path::run(),
        _ => Err("usage: trefoil-bench slopes [replay|lease|lookup|dispatch|wire] | path".into()),
    }
}
