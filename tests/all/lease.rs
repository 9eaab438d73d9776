//! Tests of `trefoil-lease`.
//!
//! Scripted scenarios run hosts on manual time over a fake network; `world` holds both, `checker`
//! judges every step, and `script` is the test language. `REWRITE=1` updates the expected output.

mod checker;
mod property;
mod script;
mod unit;
mod world;

use script::Script;

/// Guards against two hosts acting for one upstream, and against late takeovers, in the situations
/// that the design lists.
///
/// The judgement is apart from the expected output, so rewriting that output cannot hide a
/// violation.
#[test]
fn scenarios() {
    let mut wrong = Vec::new();
    datadriven::walk("tests/all/lease/scenarios", |file| {
        let mut script = Script::default();
        let name = file.filename.clone();
        file.run(|case| {
            if case.take_flag("fresh").expect("no value") {
                script = Script::default();
            }
            let text = match case.directive.as_str() {
                "script" => script.run(&case.input),
                "verdict" => script.verdict(),
                other => panic!("no directive {other}"),
            };
            if let Some(first) = script.faults().first() {
                wrong.push(format!("{name}: {first} after\n{}", case.input));
            }
            text
        });
    });
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Guards against a checker or a scenario that cannot fail: each mechanism is turned off once, and
/// the checker must then find a violation that it does not find with the mechanism on.
#[test]
fn each_mechanism_is_needed() {
    let mut wrong = Vec::new();
    datadriven::walk("tests/all/lease/switches", |file| {
        file.run(|case| {
            let name = case.take_arg::<String>("off").expect("argument off");
            let mut on = Script::default();
            on.run(&case.input);
            if let Some(first) = on.faults().first() {
                wrong.push(format!("{name} is on: {first}"));
            }
            let mut off = Script::without(&name);
            off.run(&case.input);
            if off.faults().is_empty() {
                wrong.push(format!("{name} is off, and nothing is found"));
            }
            off.faults()
                .first()
                .map_or(String::new(), |f| f.clone() + "\n")
        });
    });
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}
