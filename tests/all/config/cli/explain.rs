//! Tests of `trefoilctl explain` and of its examples in the operations page.

use super::transcript;

const LOG: &str = "docs/incidents/monterrey-1.log";

/// Guards against examples in the operations page that differ from the output of the command.
#[test]
fn the_operations_page_matches_the_output() {
    let page = include_str!("../../../../docs/OPERATIONS.md");
    for id in ["996c554538736736", "e0fe7584f5084613", "0a19703f95a20656"] {
        let shown = transcript(&["explain", id, LOG]);
        let (printed, end) = shown.split_once("-- exit ").expect("an end");
        assert!(end.starts_with('0'), "{shown}");
        assert!(page.contains(printed.trim_end()), "{printed}");
    }
}

/// Guards against a report about an id that occurs in no line. `996c` is a prefix of a logged id.
#[test]
fn an_unknown_id_is_reported() {
    let shown = transcript(&["explain", "996c", LOG]);
    insta::assert_snapshot!(shown, @r"
    $ trefoilctl explain 996c docs/incidents/monterrey-1.log
    no log line has the id 996c; answered requests are logged at level debug only, see OPERATIONS.md
    -- exit 1 --
    ");
    let missing = transcript(&["explain", "996c", "docs/none.log"]);
    assert!(missing.ends_with("-- exit 2 --\n"), "{missing}");
}
