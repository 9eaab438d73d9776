//! The operators' command.

use std::process::ExitCode;

fn main() -> ExitCode {
    trefoilcart::commands::ctl::main()
}
