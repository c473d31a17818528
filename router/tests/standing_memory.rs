//! The byte budget has little room, or is spent: each request that was sent whole gets its final answer, and incomplete messages make room for it.

mod arrival;
#[allow(dead_code, reason = "each test of the front uses a part of it")]
mod front_harness;

use front_harness::{Client, ClientEvent, Harness, REQUEST_TIMEOUT_MS, query, startup_packet};

const BUDGET_BYTES: usize = 256 * 1024;
/// Length of the part of an incomplete message that a client has sent. Two of them spend the budget.
const SENT_PART_BYTES: usize = 128 * 1024;
/// Length of an incomplete message.
const INCOMPLETE_MESSAGE_BYTES: usize = 192 * 1024;
/// Length of a request of a usual client: a value of 32 KiB in hex digits.
const LONG_REQUEST_BYTES: usize = 64 * 1024;
/// Bytes that a client sends between two turns.
const SENT_BEFORE_TURN_BYTES: usize = 16 * 1024;
/// A bit more than the time from the first byte of a message to its last (us), within the linger time that follows.
const JUST_AFTER_MESSAGE_TIMEOUT: u64 = 2_050_000;

/// Returns a message of this type and length that consists of spaces.
fn message(kind: u8, length: usize) -> Vec<u8> {
    let mut bytes = vec![b' '; length];
    bytes[0] = kind;
    bytes[1..5].copy_from_slice(&(length as u32 - 1).to_be_bytes());
    bytes[length - 1] = 0;
    bytes
}

/// Returns a request whose message has this length.
fn long_query(id: &str, length: usize) -> Vec<u8> {
    let labels = format!("/* id={id},c=look,d={REQUEST_TIMEOUT_MS},cluster=1 */ SELECT 1");
    let mut bytes = message(b'Q', length);
    bytes[5..5 + labels.len()].copy_from_slice(labels.as_bytes());
    bytes
}

/// Sends bytes in parts, with turns between them.
fn send_in_parts(harness: &mut Harness, client: &mut Client, bytes: &[u8]) {
    for part in bytes.chunks(SENT_BEFORE_TURN_BYTES) {
        client.send(part);
        harness.run_turn();
    }
}

/// Returns a client that has sent a part of a message of this type, and the rest of the message.
fn client_with_incomplete_message(harness: &mut Harness, kind: u8) -> (Client, Vec<u8>) {
    let mut client = harness.connected_client();
    let mut bytes = message(kind, INCOMPLETE_MESSAGE_BYTES);
    let rest = bytes.split_off(SENT_PART_BYTES);
    send_in_parts(harness, &mut client, &bytes);
    (client, rest)
}

fn rejected() -> ClientEvent {
    ClientEvent::Error("53300".into())
}

#[test]
fn incomplete_messages_make_room_for_a_request_that_was_sent_whole() {
    // The usual client was closed without an answer while others stopped in the middle of long messages.
    let mut harness = Harness::with_budget(16, BUDGET_BYTES);
    let mut others: Vec<_> = (0..4)
        .map(|_| client_with_incomplete_message(&mut harness, b'Q'))
        .collect();
    for number in 0..4 {
        let mut usual = harness.connected_client();
        let request = long_query(&format!("b{number}"), LONG_REQUEST_BYTES);
        send_in_parts(&mut harness, &mut usual, &request);
        assert_eq!(harness.begun_attempts.len(), 1, "{number}");
        harness.answer_last_attempt();
        assert_eq!(harness.next_event(&mut usual), ClientEvent::Ready);
    }
    // Those whose messages were dropped are told so once they are complete, and their sessions go on.
    let mut rejections = 0;
    for (number, (client, rest)) in others.iter_mut().enumerate() {
        send_in_parts(&mut harness, client, rest);
        let event = harness.next_event(client);
        rejections += usize::from(event == rejected());
        assert!(
            event == rejected() || event == ClientEvent::Ready,
            "{event:?}"
        );
        harness.begin_request(client, &format!("c{number}"));
        harness.answer_last_attempt();
        assert_eq!(harness.next_event(client), ClientEvent::Ready);
    }
    assert!(rejections >= 2, "{rejections} of 4 messages were dropped");
}

#[test]
fn a_long_request_is_rejected_while_statements_in_flight_hold_the_memory() {
    // It was closed without an answer. Statements in flight cannot be dropped, so there is no room, and that is the answer.
    let mut harness = Harness::with_budget(16, BUDGET_BYTES);
    let in_flight = harness.reserve_memory(BUDGET_BYTES);
    let mut usual = harness.connected_client();
    let requests = [long_query("b1", LONG_REQUEST_BYTES), query("b2")].concat();
    send_in_parts(&mut harness, &mut usual, &requests);
    assert_eq!(harness.next_event(&mut usual), rejected());
    assert_eq!(
        harness.next_event(&mut usual),
        rejected(),
        "what follows is read as well"
    );
    drop(in_flight);
    send_in_parts(
        &mut harness,
        &mut usual,
        &long_query("b3", LONG_REQUEST_BYTES),
    );
    harness.answer_last_attempt();
    assert_eq!(harness.next_event(&mut usual), ClientEvent::Ready);
}

#[test]
fn a_statement_that_an_attempt_holds_counts_although_its_client_has_gone() {
    const HELD_BYTES: usize = 112 * 1024;
    let mut harness = Harness::with_budget(16, BUDGET_BYTES);
    let mut leaving = harness.connected_client();
    let request = long_query("b1", HELD_BYTES);
    send_in_parts(&mut harness, &mut leaving, &request);
    let (attempt, origin) = harness.begun_attempts[0];
    let statement = harness.front.statement(origin, attempt.request);
    assert!(statement.is_some());
    drop(leaving);
    harness.run_turns_until("the client has gone", |harness| {
        harness.front.client_count() == 0
    });
    let _rest = harness.reserve_memory(BUDGET_BYTES - HELD_BYTES);
    let mut usual = harness.connected_client();
    usual.send(&query("b2"));
    assert_eq!(harness.next_event(&mut usual), rejected());
    drop(statement);
    harness.begin_request(&mut usual, "b3");
    harness.answer_last_attempt();
    assert_eq!(harness.next_event(&mut usual), ClientEvent::Ready);
}

#[test]
fn a_request_on_its_way_is_answered_although_the_next_message_is_dropped() {
    // The close took the answers with it that were pending on the connection.
    let mut harness = Harness::with_budget(16, BUDGET_BYTES);
    let mut usual = harness.connected_client();
    harness.begin_request(&mut usual, "b1");
    let _in_flight = harness.reserve_memory(BUDGET_BYTES);
    send_in_parts(
        &mut harness,
        &mut usual,
        &long_query("b2", LONG_REQUEST_BYTES),
    );
    harness.answer_last_attempt();
    assert_eq!(harness.next_event(&mut usual), ClientEvent::Ready);
    assert_eq!(harness.next_event(&mut usual), rejected());
}

#[test]
fn a_client_whose_dropped_message_never_ends_is_closed_in_time() {
    let mut harness = Harness::with_budget(16, BUDGET_BYTES);
    let _in_flight = harness.reserve_memory(BUDGET_BYTES);
    let (mut client, rest) = client_with_incomplete_message(&mut harness, b'Q');
    assert_eq!(client.poll_event(), None, "its message may still end");
    harness.advance_by(JUST_AFTER_MESSAGE_TIMEOUT);
    assert_eq!(harness.next_event(&mut client), rejected());
    assert_eq!(harness.next_event(&mut client), ClientEvent::Closed);
    // The rest of the message, which crosses the close, resets nothing and gets no second answer.
    send_in_parts(&mut harness, &mut client, &rest);
    harness.run_turn();
    assert_eq!(client.poll_event(), Some(ClientEvent::Closed));
    assert!(!client.is_reset());
}

#[test]
fn a_dropped_message_that_is_no_query_is_handled_like_one_that_was_kept() {
    let mut harness = Harness::with_budget(16, BUDGET_BYTES);
    let _in_flight = harness.reserve_memory(BUDGET_BYTES);
    let (mut client, rest) = client_with_incomplete_message(&mut harness, b'P');
    send_in_parts(&mut harness, &mut client, &rest);
    let unsupported = ClientEvent::Error("0A000".into());
    assert_eq!(harness.next_event(&mut client), unsupported);
    // Up to Sync further messages are skipped, also those that are dropped.
    send_in_parts(
        &mut harness,
        &mut client,
        &long_query("b1", LONG_REQUEST_BYTES),
    );
    client.send(b"S\0\0\0\x04");
    assert_eq!(harness.next_event(&mut client), ClientEvent::Ready);
}

#[test]
fn an_incomplete_login_is_told_that_the_memory_is_spent() {
    let mut harness = Harness::with_budget(16, BUDGET_BYTES);
    let _in_flight = harness.reserve_memory(BUDGET_BYTES);
    let mut startup = startup_packet().to_vec();
    startup[..4].copy_from_slice(&9_000u32.to_be_bytes());
    startup.resize(8_000, b'x');
    let mut client = Client::connect(harness.address);
    client.send(&startup);
    assert_eq!(harness.next_event(&mut client), rejected());
}
