//! Unit tests of `catalogue`.

use super::*;

#[test]
fn no_message_is_listed_twice_and_every_entry_has_a_reason() {
    for (index, entry) in ENTRIES.iter().enumerate() {
        assert!(
            !entry.why.is_empty() && !entry.versions.is_empty(),
            "{}",
            entry.name
        );
        let is_repeated = ENTRIES[index + 1..]
            .iter()
            .any(|other| (entry.side, entry.name) == (other.side, other.name));
        assert!(!is_repeated, "{} is listed twice", entry.name);
    }
}
