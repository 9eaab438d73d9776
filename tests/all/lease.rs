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
#[test]
fn scenarios() {
    datadriven::walk("tests/all/lease/scenarios", |file| {
        let mut script = Script::default();
        file.run(|case| match case.directive.as_str() {
            "script" => script.run(&case.input),
            "verdict" => script.verdict(),
            other => panic!("no directive {other}"),
        });
        let violations = script.violations();
        assert!(violations.is_empty(), "{}: {violations:?}", file.filename);
    });
}

/// Guards against a checker or a scenario that cannot fail: each mechanism is turned off once, and
/// the checker must then find a violation that it does not find with the mechanism on.
#[test]
fn each_mechanism_is_needed() {
    datadriven::walk("tests/all/lease/switches", |file| {
        file.run(|case| {
            let name = case.take_arg::<String>("off").expect("argument off");
            let mut on = Script::default();
            on.run(&case.input);
            assert_eq!(on.violations(), [] as [String; 0], "{name} is on");
            let mut off = Script::without(&name);
            off.run(&case.input);
            let found = off.violations();
            assert!(!found.is_empty(), "{name} is off and nothing was found");
            format!("{}\n", found[0])
        });
    });
}
