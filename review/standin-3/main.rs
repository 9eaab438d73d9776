//! Runs a case of the review. Usage: `bed CASE FOLDER`; the record goes to `FOLDER/record.txt`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod backend;
mod fleet;
mod held_grant;
mod link;
mod net;
mod record;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: bed CASE FOLDER");
        return ExitCode::from(2);
    };
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    let trouble = !std::env::var("TROUBLE").is_ok_and(|value| value == "0");
    let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("temporary folder");
    let broken = match case.as_str() {
        "held-grant" => held_grant::run(&record, &temporary, trouble),
        _ => Err(format!("no case {case}")),
    };
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    record.write_counts();
    match broken {
        Ok(true) => {
            record.write("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            record.write("the rule held");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            record.write(&format!("could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
