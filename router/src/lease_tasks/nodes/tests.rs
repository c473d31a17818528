//! Unit tests of `nodes`.

use super::*;

#[test]
fn news_of_another_life_of_a_node_is_not_its_own() {
    let word = |node: &str, started| Word {
        node: node.into(),
        started,
        position: Some(1),
        primary: None,
        held: None,
        busy: None,
        age: 0,
    };
    let mut nodes = Nodes::default();
    nodes.known.insert(
        "r1".into(),
        Known {
            group: 1,
            serving: true,
            started: Some(9),
        },
    );
    let own = |group, word: &Word| nodes.meant(group, word).map(|(_, own)| own);
    assert_eq!(own(1, &word("r1", Some(9))), Some(true));
    assert_eq!(
        own(1, &word("r1", Some(8))),
        Some(false),
        "it was restarted"
    );
    assert_eq!(
        (own(1, &word("r1", None)), own(2, &word("r1", Some(9)))),
        (Some(false), Some(false))
    );
    assert_eq!(own(1, &word("r2", None)), None);
}
