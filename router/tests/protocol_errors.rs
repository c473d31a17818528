//! Which errors count against a client, and that their number never costs it the answer to a request that it has sent whole.

mod arrival;
#[allow(dead_code, reason = "each test of the front uses a part of it")]
mod front_harness;

use front_harness::{Client, ClientEvent, Harness, query};

/// More than the errors in a row that end a session.
const MANY: usize = 12;
/// A query that is no request.
const UNSOUND: &[u8] = b"Q\0\0\0\x0dSELECT 1\0";

fn error(code: &str) -> ClientEvent {
    ClientEvent::Error(code.into())
}

/// Returns a query to a group that the endpoint list does not name.
fn query_to_unknown_group(id: &str) -> Vec<u8> {
    let known = String::from_utf8(query(id)).expect("text");
    known.replace("cluster=1", "cluster=7").into_bytes()
}

fn assert_next(harness: &mut Harness, client: &mut Client, expected: &ClientEvent, what: &str) {
    assert_eq!(harness.next_event(client), *expected, "{what}");
}

/// Guards against requests that get no answer because the router's own refusals ended the session.
#[test]
fn requests_that_are_refused_for_an_unknown_group_do_not_end_the_session() {
    let mut harness = Harness::new(4);
    let mut client = harness.connected_client();
    let queries: Vec<Vec<u8>> = (0..MANY)
        .map(|number| query_to_unknown_group(&format!("g{number}")))
        .collect();
    client.send(&queries.concat());
    for number in 0..MANY {
        let what = format!("request {number}");
        assert_next(&mut harness, &mut client, &error("57P03"), &what);
    }
    harness.begin_request(&mut client, "known");
    harness.answer_last_attempt();
    assert_next(
        &mut harness,
        &mut client,
        &ClientEvent::Ready,
        "the session goes on",
    );
}

/// Guards against a close of the connection of a client whose requests were all refused, as if it had sent none.
#[test]
fn a_refused_request_counts_as_the_first_request_of_a_client() {
    let mut harness = Harness::new(4);
    let mut client = harness.connected_client();
    for number in 0..3 {
        client.send(&query_to_unknown_group(&format!("g{number}")));
        assert_next(&mut harness, &mut client, &error("57P03"), "refused");
        harness.advance_by(900_000);
        assert_eq!(client.poll_event(), None, "round {number}");
    }
}

/// Guards against whole requests that are dropped without an answer because they were sent behind too many protocol errors.
#[test]
fn a_request_behind_many_protocol_errors_is_answered() {
    for errors_in_front in [7, 8, 9, 100] {
        let mut harness = Harness::new(4);
        let mut client = harness.connected_client();
        let id = format!("behind{errors_in_front}");
        client.send(&[UNSOUND.repeat(errors_in_front), query(&id)].concat());
        harness.run_turns_until("the request is begun", |harness| {
            !harness.begun_attempts.is_empty()
        });
        harness.answer_last_attempt();
        for number in 0..errors_in_front {
            let what = format!("error {number} of {errors_in_front}");
            assert_next(&mut harness, &mut client, &error("08P01"), &what);
        }
        assert_next(&mut harness, &mut client, &ClientEvent::Ready, &id);
    }
}

/// Guards against a request without an answer whose last bytes come after the error that would end the session.
#[test]
fn a_request_that_is_half_received_behind_many_protocol_errors_is_answered() {
    let mut harness = Harness::new(4);
    let mut client = harness.connected_client();
    let request = query("halves");
    let (first_half, second_half) = request.split_at(request.len() / 2);
    client.send(&[&UNSOUND.repeat(MANY), first_half].concat());
    for number in 0..MANY {
        assert_next(
            &mut harness,
            &mut client,
            &error("08P01"),
            &format!("error {number}"),
        );
    }
    client.send(second_half);
    harness.run_turns_until("the request is begun", |harness| {
        !harness.begun_attempts.is_empty()
    });
    harness.answer_last_attempt();
    assert_next(&mut harness, &mut client, &ClientEvent::Ready, "answered");
}

/// Guards against sessions that errors never end.
#[test]
fn protocol_errors_with_nothing_behind_them_end_the_session() {
    let mut harness = Harness::new(4);
    let mut client = harness.connected_client();
    for _ in 0..8 {
        client.send(UNSOUND);
        assert_next(&mut harness, &mut client, &error("08P01"), "an error each");
    }
    assert_next(
        &mut harness,
        &mut client,
        &ClientEvent::Closed,
        "the session ends",
    );
}
