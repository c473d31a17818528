//! Unit tests of `table`.

use super::*;

#[test]
fn a_reused_slot_is_not_reached_by_its_old_key() {
    // Danger: an event or a deadline of a closed connection would hit the one that got its slot.
    let mut table = Table::new();
    let Ok(old) = table.insert_with(|_| Ok::<_, std::convert::Infallible>("old"));
    assert_eq!(table.remove(old), Some("old"));
    let Ok(new) = table.insert_with(|_| Ok::<_, std::convert::Infallible>("new"));
    assert_eq!(old.slot(), new.slot());
    assert_eq!(
        (table.get(old).copied(), table.remove(old), table.get(new)),
        (None, None, Some(&"new"))
    );
}
