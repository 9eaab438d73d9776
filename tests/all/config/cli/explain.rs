//! `trefoilctl explain`, and the page that shows how to use it.

use super::session;

const LOG: &str = "docs/incidents/monterrey-1.log";

/// Guards against commands on the page of operations that print something else than it shows.
#[test]
fn the_page_of_operations_shows_what_the_command_prints() {
    let page = include_str!("../../../../docs/OPERATIONS.md");
    for id in ["996c554538736736", "e0fe7584f5084613", "0a19703f95a20656"] {
        let shown = session(&["explain", id, LOG]);
        let (printed, end) = shown.split_once("-- exit ").expect("an end");
        assert!(end.starts_with('0'), "{shown}");
        assert!(page.contains(printed.trim_end()), "{printed}");
    }
}

/// Guards against a story that is made up for an id that no line names.
#[test]
fn an_unknown_id_has_no_story() {
    let shown = session(&["explain", "996c", LOG]);
    insta::assert_snapshot!(shown, @r"
    $ trefoilctl explain 996c docs/incidents/monterrey-1.log
    no log line has the id 996c; answered requests are logged at level debug only, see OPERATIONS.md
    -- exit 1 --
    ");
    let missing = session(&["explain", "996c", "docs/none.log"]);
    assert!(missing.ends_with("-- exit 2 --\n"), "{missing}");
}
