//! Checks that the catalogue of log events lists each number that the code logs.

use std::collections::BTreeSet;

fn numbers(text: &str, before: &str) -> BTreeSet<u32> {
    let number = |line: &str| {
        let (_, rest) = line.split_once(before)?;
        rest.split(|found: char| !found.is_ascii_digit()).next()?.parse().ok()
    };
    text.lines().filter_map(number).collect()
}

#[test]
fn each_event_is_catalogued() {
    let code = numbers(include_str!("../src/events.rs"), "u32 = ");
    let page = numbers(include_str!("../../../docs/events.md"), "| ");
    let missing: Vec<_> = code.difference(&page).collect();
    assert!(code.len() > 20 && missing.is_empty(), "not in docs/events.md: {missing:?}");
}
