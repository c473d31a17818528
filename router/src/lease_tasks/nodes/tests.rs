//! Unit tests of `nodes`.

use super::*;

#[test]
fn reports_of_another_incarnation_of_a_node_are_recognized() {
    let status = |node: &str, started| NodeStatus {
        node: node.into(),
        started,
        position: Some(1),
        is_primary: None,
        in_flight: None,
        utilization_permille: None,
        age: 0,
    };
    let mut nodes = Nodes::default();
    nodes.listed.insert(
        "r1".into(),
        ListedNode {
            group: 1,
            is_serving: true,
            started: Some(9),
        },
    );
    let is_current = |group, status: &NodeStatus| {
        nodes
            .find_reported(group, status)
            .map(|(_, is_current)| is_current)
    };
    assert_eq!(is_current(1, &status("r1", Some(9))), Some(true));
    assert_eq!(
        is_current(1, &status("r1", Some(8))),
        Some(false),
        "it was restarted"
    );
    assert_eq!(
        (
            is_current(1, &status("r1", None)),
            is_current(2, &status("r1", Some(9)))
        ),
        (Some(false), Some(false))
    );
    assert_eq!(is_current(1, &status("r2", None)), None);
}
