//! The command-line tool of operators.

use std::process::ExitCode;

fn main() -> ExitCode {
    trefoilcart::commands::ctl::main()
}
