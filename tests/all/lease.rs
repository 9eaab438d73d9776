//! Tests of `trefoil-lease`.
//!
//! Scripted scenarios run hosts on manual time over a simulated network, which `world` implements.
//! `checker` checks every step, and `script` interprets the test language. `REWRITE=1` updates the
//! expected output.

mod checker;
mod node;
mod property;
mod script;
mod unit;
mod world;

use std::fmt::Write as _;

use script::Script;

/// Guards against two hosts that act for one upstream, and against late takeovers, in the
/// situations that the design lists.
///
/// Violations are checked separately from the expected output, so `REWRITE=1` cannot hide one.
#[test]
fn scenarios() {
    let mut wrong = Vec::new();
    datadriven::walk("tests/all/lease/scenarios", |file| {
        let mut script = Script::default();
        let name = file.filename.clone();
        file.run(|case| {
            assert_eq!(case.directive, "script");
            let hosts = case.try_take_arg::<u8>("hosts").expect("a number");
            let times = case.try_take_args::<String>("t").expect("a list");
            let mut text = String::new();
            for t in times.unwrap_or_else(|| vec![String::new()]) {
                if let Some(count) = hosts {
                    script = Script::default();
                    script.set_up(count);
                }
                if !t.is_empty() {
                    let _ = writeln!(text, "t={t}:");
                }
                text += &script.run(&case.input.replace("$t", &t));
                if let Some(first) = script.faults().first() {
                    wrong.push(format!("{name}: {first} after t={t}\n{}", case.input));
                }
            }
            text
        });
    });
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a checker or a scenario that cannot fail: with each mechanism turned off, the
/// checker must find a violation that it does not find with the mechanism on.
#[test]
fn each_mechanism_is_needed() {
    let mut wrong = Vec::new();
    datadriven::walk("tests/all/lease/switches", |file| {
        file.run(|case| {
            let name = case.take_arg::<String>("off").expect("argument off");
            let hosts = case.take_arg::<u8>("hosts").expect("argument hosts");
            let mut on = Script::default();
            on.set_up(hosts);
            on.run(&case.input);
            if let Some(first) = on.faults().first() {
                wrong.push(format!("{name} is on: {first}"));
            }
            let mut off = Script::without(&name);
            off.set_up(hosts);
            off.run(&case.input);
            if off.faults().is_empty() {
                wrong.push(format!("{name} is off, and no violation is found"));
            }
            let faults = off.faults();
            let double = faults.iter().find(|f| f.contains("at once"));
            let first = double.or(faults.first());
            first.map_or(String::new(), |f| f.clone() + "\n")
        });
    });
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
