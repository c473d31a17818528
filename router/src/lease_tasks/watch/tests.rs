//! Unit tests of `watch`.

use super::*;

const MS: Micros = 1_000;
const NOW: Time = 1_000_000 * MS;

fn said(position: Time) -> NodeReport {
    NodeReport {
        position: Some(position),
        ..NodeReport::default()
    }
}

fn owning(group: GroupId) -> Watches {
    let mut watches = Watches::new(500 * MS);
    assert!(
        watches
            .own(NOW, &BTreeMap::from([(group, Token(3))]))
            .is_empty()
    );
    watches
}

fn answered_at(asked_at: Time, position: Time) -> Option<QueryAnswer> {
    let report = said(position);
    Some(QueryAnswer { asked_at, report })
}

#[test]
fn what_is_told_is_as_old_as_its_question_and_the_time_under_way() {
    // Danger: an answer that took long, or lay about, would pass for one of now.
    let mut watches = owning(1);
    let node: NodeId = "r1".into();
    assert_eq!(watches.due(NOW), [(1, Token(3))]);
    assert!(
        watches.ask(NOW, 1, &node) && !watches.ask(NOW + 1, 1, &node),
        "it is asked once"
    );
    let at = NOW + 70 * MS;
    watches.answered(at, 1, &node, Some(5), answered_at(NOW, NOW + 10));
    let items = watches.items(at + 2 * MS);
    let read = words(&items[0].2).expect("it can be read");
    assert_eq!((read[0].age, read[0].started), (72 * MS, Some(5)));
    assert_eq!(read[0].standing(30 * MS).age, 102 * MS);
    assert!(
        watches.items(at + 3 * MS).is_empty(),
        "nothing is told twice"
    );
    assert_eq!(watches.next(), NOW + 500 * MS);
}

#[test]
fn a_watch_that_was_lost_and_won_again_tells_nothing_of_before() {
    // Danger: what the old owner was told would be told under the new token, as if it had been asked for by it.
    let mut watches = owning(1);
    let node: NodeId = "r1".into();
    assert!(watches.ask(NOW, 1, &node));
    watches.answered(NOW, 1, &node, None, answered_at(NOW, NOW));
    assert_eq!(watches.own(NOW + 1, &BTreeMap::from([(1, Token(4))])), [1]);
    assert!(watches.items(NOW + 1_000 * MS).is_empty());
    assert!(watches.own(NOW + 2, &BTreeMap::new()) == [1] && watches.next() == Time::MAX);
}

#[test]
fn a_large_group_is_told_in_turns_and_no_item_is_too_long() {
    let mut watches = owning(1);
    let nodes: Vec<NodeId> = (0..100)
        .map(|n| format!("a-node-with-a-long-name-{n:04}").into())
        .collect();
    let mut told = std::collections::BTreeSet::new();
    for round in 0..12 {
        let now = NOW + round * 500 * MS;
        for node in &nodes {
            assert!(watches.ask(now, 1, node));
        }
        for node in &nodes {
            watches.answered(now, 1, node, None, answered_at(now, now));
        }
        for (_, _, item) in watches.items(now + GATHER) {
            assert!(item.len() <= ITEM, "{} bytes", item.len());
            told.extend(
                words(&item)
                    .expect("it can be read")
                    .into_iter()
                    .map(|w| w.node),
            );
        }
    }
    assert_eq!(told.len(), nodes.len());
}

#[test]
fn what_no_owner_sends_is_not_read() {
    for bytes in [&[][..], &[255; 700][..], &[200, 200, 200, 200, 15], &[0, 1]] {
        assert_eq!(words(bytes), None);
    }
    assert_eq!(words(&[0]), Some(Vec::new()));
}
