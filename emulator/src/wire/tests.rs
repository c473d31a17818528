//! Unit tests of `wire`.

#[test]
fn labels_are_found_by_their_complete_name() {
    let statement = "/* id=1f,c=look,cluster=2,d=40 */ SELECT 'd=7'";
    assert_eq!(super::label(statement, "c"), Some("look"));
    assert_eq!(
        (super::label(statement, "d"), super::label(statement, "x")),
        (Some("40"), None)
    );
}
