//! Unit tests of `watch`.

use super::*;

const MS: Micros = 1_000;
const NOW: Time = 1_000_000 * MS;

fn report_at(position: Time) -> NodeReport {
    NodeReport {
        position: Some(position),
        ..NodeReport::default()
    }
}

fn holding(group: GroupId) -> Watches {
    let mut watches = Watches::new(500 * MS);
    assert!(
        watches
            .set_held(NOW, &BTreeMap::from([(group, Token(3))]))
            .is_empty()
    );
    watches
}

fn answered_at(queried_at: Time, position: Time) -> Option<QueryAnswer> {
    let report = report_at(position);
    Some(QueryAnswer { queried_at, report })
}

#[test]
fn a_published_status_is_as_old_as_its_query_plus_the_transit() {
    // Without the age, an answer that took long or was published late would count as current.
    let mut watches = holding(1);
    let node: NodeId = "r1".into();
    assert_eq!(watches.take_due(NOW), [(1, Token(3))]);
    assert!(
        watches.begin_query(NOW, 1, &node) && !watches.begin_query(NOW + 1, 1, &node),
        "a node is queried once"
    );
    let at = NOW + 70 * MS;
    watches.end_query(at, 1, &node, Some(5), answered_at(NOW, NOW + 10));
    let items = watches.take_items(at + 2 * MS);
    let decoded = decode_item(&items[0].2).expect("well formed");
    assert_eq!((decoded[0].age, decoded[0].started), (72 * MS, Some(5)));
    assert_eq!(decoded[0].to_report(30 * MS).age, 102 * MS);
    assert!(
        watches.take_items(at + 3 * MS).is_empty(),
        "nothing is published twice"
    );
    assert_eq!(watches.next_deadline(), NOW + 500 * MS);
}

#[test]
fn a_watch_that_was_lost_and_regained_publishes_no_earlier_answers() {
    // Otherwise an answer to the previous lease holder would be published under the new token, although the query was not
    // sent under it.
    let mut watches = holding(1);
    let node: NodeId = "r1".into();
    assert!(watches.begin_query(NOW, 1, &node));
    watches.end_query(NOW, 1, &node, None, answered_at(NOW, NOW));
    assert_eq!(
        watches.set_held(NOW + 1, &BTreeMap::from([(1, Token(4))])),
        [1]
    );
    assert!(watches.take_items(NOW + 1_000 * MS).is_empty());
    assert!(
        watches.set_held(NOW + 2, &BTreeMap::new()) == [1] && watches.next_deadline() == Time::MAX
    );
}

#[test]
fn a_large_group_is_published_in_parts_and_no_item_is_too_long() {
    let mut watches = holding(1);
    let nodes: Vec<NodeId> = (0..100)
        .map(|n| format!("a-node-with-a-long-name-{n:04}").into())
        .collect();
    let mut published = std::collections::BTreeSet::new();
    for round in 0..12 {
        let now = NOW + round * 500 * MS;
        for node in &nodes {
            assert!(watches.begin_query(now, 1, node));
        }
        for node in &nodes {
            watches.end_query(now, 1, node, None, answered_at(now, now));
        }
        for (_, _, item) in watches.take_items(now + BATCH_INTERVAL_US) {
            assert!(item.len() <= MAX_ITEM_BYTES, "{} bytes", item.len());
            published.extend(
                decode_item(&item)
                    .expect("well formed")
                    .into_iter()
                    .map(|w| w.node),
            );
        }
    }
    assert_eq!(published.len(), nodes.len());
}

#[test]
fn malformed_items_are_not_decoded() {
    for bytes in [&[][..], &[255; 700][..], &[200, 200, 200, 200, 15], &[0, 1]] {
        assert_eq!(decode_item(bytes), None);
    }
    assert_eq!(decode_item(&[0]), Some(Vec::new()));
}
