//! Tests of `trefoil-config` and `trefoilctl`.

mod cli;
mod examples;
mod properties;
mod routing;
mod settings;

/// A valid resource, which tests modify.
const ROUTING: &str = include_str!("config/files/routing.yaml");

/// Valid settings, which tests modify.
const SETTINGS: &str = include_str!("config/files/settings.yaml");

/// Replaces the only occurrence of `from`. Panics otherwise, because a test on unchanged text would
/// prove nothing.
fn replace_once(text: &str, from: &str, to: &str) -> String {
    assert_eq!(text.matches(from).count(), 1, "{from:?} must occur once");
    text.replace(from, to)
}

/// For every value of a printed document, returns its line and the text in which a mapping replaces
/// the value.
fn break_each_value(text: &str) -> Vec<(u32, String)> {
    let lines: Vec<&str> = text.lines().collect();
    let before = |line: &str| match line.split_once(": ") {
        Some((key, _)) => Some(format!("{key}: ")),
        None => line.find("- ").map(|i| line[..i + 2].to_owned()),
    };
    let numbered = lines.iter().zip(0..);
    let starts = numbered.filter_map(|(line, i)| before(line).map(|start| (i, start)));
    starts
        .map(|(i, start)| {
            let broken = format!("{start}{{ a: {{ b: c }} }}");
            let mut all = lines.clone();
            all[i as usize] = &broken;
            (i + 1, all.join("\n"))
        })
        .collect()
}
