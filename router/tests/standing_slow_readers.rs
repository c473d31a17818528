//! An answer that the router has written and its client has not read lies in the system's buffer. Whatever ends the connection
//! then, a byte that the client sends must not take the answer with it.

mod arrival;
#[allow(dead_code, reason = "each test file uses a part of it")]
mod front_desk;

use front_desk::{Client, Desk, Said, query, startup};

/// Far more than the client's system takes, and less than the router's.
const ANSWER_BYTES: usize = 600_000;
/// A connection without a request is ended after this (us).
const IDLE: u64 = 2_000_000;
/// Who is ended is heard out for so long (us).
const HEARD_OUT: u64 = 300_000;
/// No answer is kept for longer than this for a client that does not read it (us).
const UNREAD: u64 = 2_500_000;

/// A client whose answer has left the router and whose own system has hardly any of it.
fn with_unread_answer(desk: &mut Desk) -> Client {
    let mut client = Client::dial_with_little_room(desk.to);
    client.write(startup());
    assert_eq!(desk.hear(&mut client), Said::Ready);
    desk.ask(&mut client, "a1");
    let mut row = vec![b'D'];
    row.extend_from_slice(&(ANSWER_BYTES as u32 + 10).to_be_bytes());
    row.extend_from_slice(&1_u16.to_be_bytes());
    row.extend_from_slice(&(ANSWER_BYTES as u32).to_be_bytes());
    row.resize(row.len() + ANSWER_BYTES, b'7');
    row.extend_from_slice(b"C\0\0\0\x0dSELECT 1\0");
    desk.serve_with(&row);
    client
}

/// The client sends a byte that nobody asked for, and reads: it gets its whole answer, then the end in good order.
fn assert_answer_comes_whole(desk: &mut Desk, client: &mut Client) {
    client.write_at_once(&query("a2"));
    desk.pass_by(1_000);
    assert_eq!(desk.hear(client), Said::Ready, "its answer");
    assert_eq!(desk.hear(client), Said::End);
    assert!(desk.sent.is_empty(), "what came after the end was begun");
}

#[test]
fn an_unread_answer_survives_the_close_of_an_idle_connection() {
    let mut desk = Desk::new(8);
    let mut client = with_unread_answer(&mut desk);
    desk.pass_by(IDLE + HEARD_OUT + 1);
    assert_answer_comes_whole(&mut desk, &mut client);
}

#[test]
fn an_unread_answer_survives_the_end_of_a_drain() {
    let mut desk = Desk::new(8);
    let mut client = with_unread_answer(&mut desk);
    desk.front.drain(desk.now, &mut desk.engine);
    desk.pass_by(HEARD_OUT + 1);
    assert_answer_comes_whole(&mut desk, &mut client);
    desk.pass_by(HEARD_OUT);
    assert!(desk.front.is_drained());
}

#[test]
fn an_unread_answer_survives_an_eviction() {
    let mut desk = Desk::new(2);
    let mut client = with_unread_answer(&mut desk);
    desk.now += 1;
    // More newcomers than there may be connections beyond the places: each gives up the place of the one before.
    let others: Vec<Client> = (0..12)
        .map(|n| {
            desk.now += 1;
            desk.resting(&format!("b{n:x}"))
        })
        .collect();
    assert_answer_comes_whole(&mut desk, &mut client);
    drop(others);
}

#[test]
fn who_never_reads_its_answer_is_closed_in_time() {
    let mut desk = Desk::new(8);
    let _client = with_unread_answer(&mut desk);
    desk.front.drain(desk.now, &mut desk.engine);
    desk.pass_by(UNREAD - 1);
    assert!(!desk.front.is_drained(), "given up too early");
    desk.pass_by(HEARD_OUT);
    assert!(desk.front.is_drained(), "it holds up the router's end");
}

#[test]
fn who_reads_its_answer_while_it_is_heard_out_is_closed_soon() {
    let mut desk = Desk::new(8);
    let mut client = with_unread_answer(&mut desk);
    desk.front.drain(desk.now, &mut desk.engine);
    desk.pass_by(HEARD_OUT + 1);
    assert_eq!(desk.hear(&mut client), Said::Ready);
    assert_eq!(desk.hear(&mut client), Said::End);
    desk.pass_by(HEARD_OUT);
    assert!(desk.front.is_drained(), "nothing is owed to it any more");
}
