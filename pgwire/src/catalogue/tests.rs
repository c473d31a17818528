//! Unit tests of `catalogue`.

use super::*;

#[test]
fn no_message_stands_twice_and_every_line_says_why() {
    for (n, a) in ENTRIES.iter().enumerate() {
        assert!(!a.why.is_empty() && !a.versions.is_empty(), "{}", a.name);
        let twice = ENTRIES[n + 1..]
            .iter()
            .any(|b| (a.side, a.name) == (b.side, b.name));
        assert!(!twice, "{} stands twice", a.name);
    }
}
