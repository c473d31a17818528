//! A node sends a reply a second time, right behind it, while the next request on the connection is already under way.

use super::*;

/// An error with which a node rejects a statement for lack of capacity, without having run it.
const FULL: &[u8] = b"E\0\0\0\x17SERROR\0C53300\0Mno\0\0";
const READY: &[u8] = b"Z\0\0\0\x05I";
/// The answer to an empty query.
const EMPTY_QUERY_ANSWER: &[u8] = b"I\0\0\0\x04Z\0\0\0\x05I";

fn next_statement(link: &mut Link) -> Option<String> {
    link.statement().expect("a statement or the end")
}

/// Serves a request with this value on a new connection, and begins another, which has been written to the same connection.
fn begin_second_request(
    pools: &mut Pools,
    node: &Node,
    class: usize,
    first_value: &str,
) -> (Link, Key) {
    let first = pools.begin_request("a1", READ, 0);
    let mut link = pools.accept_login(node);
    assert_eq!(next_statement(&mut link).as_deref(), Some("a1"));
    link.answer(first_value).expect("the pools are there");
    assert_eq!(pools.run_to_end(first), served(first_value));
    let second = pools.begin_request("a2", class, 0);
    assert_eq!(next_statement(&mut link).as_deref(), Some("a2"));
    (link, second)
}

/// Runs turns until the node receives a statement.
fn run_until_statement(pools: &mut Pools, link: &mut Link) -> Option<String> {
    loop {
        if let Some(text) = link.pending_statement().expect("a socket") {
            return Some(text);
        }
        pools.turn();
    }
}

#[test]
fn a_second_copy_of_an_answer_is_not_the_answer_to_the_next_request() {
    // A caller was served with another request's value, and so was every later one on the connection.
    for class in [READ, WRITE, KEYED] {
        for copies in 1..=2 {
            let node = start_node();
            let mut pools = Pools::with_nodes(&[("p", &node)]);
            let (mut link, second) = begin_second_request(&mut pools, &node, class, "a1");
            for _ in 0..copies {
                link.answer("a1").expect("the pools are there");
            }
            assert_eq!(
                run_until_statement(&mut pools, &mut link).as_deref(),
                Some("")
            );
            assert_eq!(
                pools.outcome(second),
                None,
                "{class}: its answer has not come"
            );
            link.answer("a2").expect("the pools are there");
            assert_eq!(pools.run_to_end(second), served("a2"), "{class}, {copies}");
            assert_eq!(pools.connection_counts(), (0, 0));
            let third = pools.begin_request("a3", class, 0);
            serve_on_new_connection(&mut pools, &node, "a3", third);
            assert_closed(&mut link);
        }
    }
}

#[test]
fn a_second_copy_that_comes_together_with_the_true_answer_is_dropped() {
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let (mut link, second) = begin_second_request(&mut pools, &node, WRITE, "a1");
    link.answer_all(&["a1", "a2"]).expect("the pools are there");
    assert_eq!(pools.run_to_end(second), served("a2"));
    assert_eq!(pools.connection_counts(), (0, 0));
}

#[test]
fn a_second_copy_of_a_rejection_does_not_let_a_booking_run_twice() {
    // A rejection says that the statement never ran. Taken for the next request's, it would let that one be sent again while
    // its first attempt runs.
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let (mut link, second) = begin_second_request(&mut pools, &node, READ, "a1");
    link.send(&[FULL, READY].concat())
        .expect("the pools are there");
    pools.run_until(|pools| pools.connection_counts() == (1, 0));
    pools.engine.cancel_request(second, pools.now);
    pools.advance(SECOND);
    let booking = pools.begin_request("a3", WRITE, 0);
    let attempts = pools.sent.len();
    assert_eq!(next_statement(&mut link).as_deref(), Some("a3"));
    link.send(&[FULL, READY].concat())
        .expect("the pools are there");
    assert_eq!(
        run_until_statement(&mut pools, &mut link).as_deref(),
        Some("")
    );
    assert_eq!((pools.outcome(booking), pools.sent.len()), (None, attempts));
    link.answer("a3").expect("the pools are there");
    assert_eq!(pools.run_to_end(booking), served("a3"));
    assert_eq!(pools.sent.len(), attempts, "it was sent once");
}

#[test]
fn an_equal_answer_to_another_request_is_served_once_the_node_has_confirmed_it() {
    // Two rows may hold the same value. Such an answer must not be taken for a copy.
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let (mut link, second) = begin_second_request(&mut pools, &node, WRITE, "vv");
    link.answer("vv").expect("the pools are there");
    assert_eq!(
        run_until_statement(&mut pools, &mut link).as_deref(),
        Some("")
    );
    assert_eq!(pools.outcome(second), None, "it is not confirmed");
    link.send(EMPTY_QUERY_ANSWER).expect("the pools are there");
    assert_eq!(pools.run_to_end(second), served("vv"));
    assert_eq!(pools.connection_counts(), (1, 0), "the connection is kept");
    // The answer that differs from the last one needs no confirmation.
    let third = pools.begin_request("a3", READ, 0);
    assert_eq!(next_statement(&mut link).as_deref(), Some("a3"));
    link.answer("a3").expect("the pools are there");
    assert_eq!(pools.run_to_end(third), served("a3"));
}

#[test]
fn a_second_copy_of_a_node_report_is_not_the_answer_to_a_request() {
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let mut link = pools.open_idle("p", &node);
    let request = pools.begin_request("a1", READ, 0);
    assert_eq!(next_statement(&mut link).as_deref(), Some("a1"));
    link.answer_all(&["x0=1,x1=1", "a1"])
        .expect("the pools are there");
    assert_eq!(pools.run_to_end(request), served("a1"));
}

#[test]
fn a_reply_that_may_be_a_copy_has_no_outcome_when_its_connection_ends() {
    // With or without ReadyForQuery: whether the booking ran is unknown.
    for with_ready in [true, false] {
        let node = start_node();
        let mut pools = Pools::with_nodes(&[("p", &node)]);
        let (mut link, second) = begin_second_request(&mut pools, &node, WRITE, "a1");
        match with_ready {
            true => link.answer("a1"),
            false => link.answer_without_ready("a1"),
        }
        .expect("the pools are there");
        link.close_write().expect("the pools are there");
        assert_eq!(pools.run_to_end(second), RequestOutcome::Failed);
    }
}

#[test]
fn a_second_copy_of_a_confirmation_is_not_the_answer_to_the_next_request() {
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let (mut link, second) = begin_second_request(&mut pools, &node, READ, "vv");
    link.answer("vv").expect("the pools are there");
    assert_eq!(
        run_until_statement(&mut pools, &mut link).as_deref(),
        Some("")
    );
    link.send(EMPTY_QUERY_ANSWER).expect("the pools are there");
    assert_eq!(pools.run_to_end(second), served("vv"));
    let third = pools.begin_request("a3", WRITE, 0);
    assert_eq!(next_statement(&mut link).as_deref(), Some("a3"));
    link.send(EMPTY_QUERY_ANSWER).expect("the pools are there");
    assert_eq!(pools.run_to_end(third), RequestOutcome::Failed);
    assert_closed(&mut link);
}

#[test]
fn a_reply_behind_the_answer_to_the_empty_query_is_invalid() {
    // The order on the connection is lost then, so neither reply can be said to belong to the request.
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let (mut link, second) = begin_second_request(&mut pools, &node, WRITE, "vv");
    link.answer("vv").expect("the pools are there");
    assert_eq!(
        run_until_statement(&mut pools, &mut link).as_deref(),
        Some("")
    );
    let confirmation_without_ready = &EMPTY_QUERY_ANSWER[..5];
    link.send(confirmation_without_ready)
        .expect("the pools are there");
    link.answer("a2").expect("the pools are there");
    assert_eq!(pools.run_to_end(second), RequestOutcome::Failed);
    assert_closed(&mut link);
}
