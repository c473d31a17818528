//! The memory of statements while their attempts are in flight.

use super::*;

#[test]
fn the_statement_of_a_client_that_has_gone_is_not_held_while_its_attempt_is_in_flight() {
    let node = start_node();
    let mut pools = Pools::with_nodes(&[("p", &node)]);
    let request = pools.begin_request("a1", READ, 64 * 1024);
    let mut link = pools.accept_login(&node);
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    let statement = pools.statements.remove(&request.number());
    let statement = Rc::downgrade(&statement.expect("it was begun"));
    pools.engine.client_gone(request);
    pools.settle();
    assert_eq!(
        pools.engine.pending_requests(),
        1,
        "its attempt is in flight"
    );
    assert!(statement.upgrade().is_none(), "the statement is still held");
}

#[test]
fn a_long_statement_takes_no_more_memory_than_its_length_on_its_way_to_a_node() {
    const LENGTH: usize = 1_000_000;
    let text = format!(
        "/* id=a1,c=x,d=5000,cluster=1 */ SELECT '{}'",
        "k".repeat(LENGTH)
    );
    let labels = statement_labels::read_labels(&text).expect("well formed");
    let mut out = Vec::new();
    Statement::new(&text, &labels, Shape::OneValue).append_query(&mut out, 5_000);
    assert_eq!(out.capacity(), out.len());
}
