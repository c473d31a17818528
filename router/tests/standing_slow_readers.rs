//! Answers that the router has written and the client has not read yet are in the system's socket buffer. Whatever closes
//! the connection then, bytes that the client sends must not reset it and destroy the answer.

mod arrival;
#[allow(dead_code, reason = "each test file uses a part of it")]
mod front_harness;

use front_harness::{Client, ClientEvent, Harness, query, startup_packet};

/// Size of an answer: much more than the client's system buffers, and less than the router's system buffers.
const ANSWER_BYTES: usize = 600_000;
/// Idle timeout of connections in microseconds.
const IDLE_TIMEOUT_US: u64 = 2_000_000;
/// Linger time in microseconds of a client that is closed between requests.
const LINGER_US: u64 = 300_000;
/// Time in microseconds for which an answer may stay unread.
const UNREAD_ANSWER_TIMEOUT_US: u64 = 2_500_000;

/// Returns a client whose answer the router has written, while the client's system has received hardly any of it.
fn client_with_unread_answer(harness: &mut Harness) -> Client {
    let mut client = Client::connect_with_small_buffer(harness.address);
    client.send(startup_packet());
    assert_eq!(harness.next_event(&mut client), ClientEvent::Ready);
    harness.begin_request(&mut client, "a1");
    let mut row = vec![b'D'];
    row.extend_from_slice(&(ANSWER_BYTES as u32 + 10).to_be_bytes());
    row.extend_from_slice(&1_u16.to_be_bytes());
    row.extend_from_slice(&(ANSWER_BYTES as u32).to_be_bytes());
    row.resize(row.len() + ANSWER_BYTES, b'7');
    row.extend_from_slice(b"C\0\0\0\x0dSELECT 1\0");
    harness.answer_last_attempt_with(&row);
    client
}

/// Lets the client send another query and read: it must receive its complete answer, and then the close in good order.
fn assert_answer_arrives_complete(harness: &mut Harness, client: &mut Client) {
    client.send_without_waiting(&query("a2"));
    harness.advance_by(1_000);
    assert_eq!(harness.next_event(client), ClientEvent::Ready, "its answer");
    assert_eq!(harness.next_event(client), ClientEvent::Closed);
    assert!(
        harness.begun_attempts.is_empty(),
        "a request after the close was begun"
    );
}

#[test]
fn an_unread_answer_survives_the_close_of_an_idle_connection() {
    let mut harness = Harness::new(8);
    let mut client = client_with_unread_answer(&mut harness);
    harness.advance_by(IDLE_TIMEOUT_US + LINGER_US + 1);
    assert_answer_arrives_complete(&mut harness, &mut client);
}

#[test]
fn an_unread_answer_survives_the_shutdown() {
    let mut harness = Harness::new(8);
    let mut client = client_with_unread_answer(&mut harness);
    harness.drain();
    harness.advance_by(LINGER_US + 1);
    assert_answer_arrives_complete(&mut harness, &mut client);
    harness.advance_by(LINGER_US);
    assert!(harness.front.is_drained());
}

#[test]
fn an_unread_answer_survives_an_eviction() {
    let mut harness = Harness::new(2);
    let mut client = client_with_unread_answer(&mut harness);
    harness.now += 1;
    // More new clients than the limit on connections beyond the slots allows: each evicts the one before.
    let others: Vec<Client> = (0..12)
        .map(|n| {
            harness.now += 1;
            harness.idle_client(&format!("b{n:x}"))
        })
        .collect();
    assert_answer_arrives_complete(&mut harness, &mut client);
    drop(others);
}

#[test]
fn a_client_that_never_reads_its_answer_is_closed_in_time() {
    let mut harness = Harness::new(8);
    let _client = client_with_unread_answer(&mut harness);
    harness.drain();
    harness.advance_by(UNREAD_ANSWER_TIMEOUT_US - 1);
    assert!(!harness.front.is_drained(), "closed too early");
    harness.advance_by(LINGER_US);
    assert!(harness.front.is_drained(), "it delays the shutdown");
}

#[test]
fn a_lingering_client_that_reads_its_answer_is_closed_soon() {
    let mut harness = Harness::new(8);
    let mut client = client_with_unread_answer(&mut harness);
    harness.drain();
    harness.advance_by(LINGER_US + 1);
    assert_eq!(harness.next_event(&mut client), ClientEvent::Ready);
    assert_eq!(harness.next_event(&mut client), ClientEvent::Closed);
    harness.advance_by(LINGER_US);
    assert!(harness.front.is_drained(), "all answers have been read");
}
