//! Unit tests of `table`.

use super::*;

#[test]
fn an_old_key_does_not_reach_a_reused_slot() {
    // An event or a deadline of a closed connection would reach the connection that reuses its slot.
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
