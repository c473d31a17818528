//! Clients that send more than the router keeps behind the requests in progress: it must see that they have closed, or begin nothing
//! more for them, and answer all that they have sent if they stay.

mod arrival;
#[allow(dead_code, reason = "each test of the front uses a part of it")]
mod front_harness;

use front_harness::{Client, ClientEvent, Harness, query};
use plovercove::{Micros, Time};
use std::time::Instant;

/// Requests of one client that are in progress at the same time.
const IN_PROGRESS: usize = 16;
/// Length of a long request: a value of 16 KiB in hex digits.
const LONG_REQUEST_BYTES: usize = 32 * 1024;
/// A little more than the time after its client's close within which an attempt may begin.
const JUST_AFTER_GRACE: Micros = 110_000;
/// A budget of which one client may hold only a few long requests.
const SMALL_BUDGET_BYTES: usize = 2 * 1024 * 1024;

/// Returns a query that is padded to a length.
fn query_of(id: &str, length: usize) -> Vec<u8> {
    let mut message = query(id);
    message.pop();
    message.resize(length.max(message.len() + 1) - 1, b' ');
    message.push(0);
    let body_length = message.len() as u32 - 1;
    message[1..5].copy_from_slice(&body_length.to_be_bytes());
    message
}

/// Returns a client that has sent queries in one go. The system may not accept all of them before the router reads, so a thread
/// writes; the client is closed at the end if `closes`.
fn send_at_once(
    harness: &mut Harness,
    queries: &[Vec<u8>],
    closes: bool,
    mut between_turns: impl FnMut(&mut Harness),
) -> Option<Client> {
    let mut client = harness.connected_client();
    let bytes = queries.concat();
    let writer = std::thread::spawn(move || {
        client.send_all(&bytes);
        (!closes).then_some(client)
    });
    let (began_at, now) = (Instant::now(), harness.now);
    harness.run_turns_until("all is sent", |harness| {
        harness.now = now + began_at.elapsed().as_micros() as Time;
        between_turns(harness);
        writer.is_finished()
    });
    writer.join().expect("it writes")
}

/// Answers all attempts that have been begun.
fn answer_all(harness: &mut Harness) {
    for (attempt, _) in std::mem::take(&mut harness.begun_attempts) {
        harness.answer(attempt);
    }
}

/// Lets the time pass in which a close has to be seen, with the turns that the event loop runs in it.
fn pass_grace(harness: &mut Harness) {
    for _ in 0..2 {
        harness.advance_by(JUST_AFTER_GRACE / 2);
        (0..1_000).for_each(|_| harness.run_turn());
    }
}

/// Guards against requests that are begun for a client that has closed behind more bytes than the router reads ahead.
#[test]
fn nothing_is_begun_for_a_client_that_has_closed_behind_much_unread() {
    for (count, length, budget) in [
        (60, LONG_REQUEST_BYTES, 64 * 1024 * 1024),
        (200, LONG_REQUEST_BYTES, SMALL_BUDGET_BYTES),
        (9_000, 0, SMALL_BUDGET_BYTES),
    ] {
        let mut harness = Harness::with_budget(4, budget);
        let queries: Vec<Vec<u8>> = (0..count)
            .map(|number| query_of(&format!("q{number}"), length))
            .collect();
        send_at_once(&mut harness, &queries, true, |_| {});
        pass_grace(&mut harness);
        let begun = harness.begun_attempts.len();
        assert!(
            (1..=IN_PROGRESS).contains(&begun),
            "{count} x {length}: {begun} attempts"
        );
        // Node after node answers now, which makes room for further requests.
        let (attempt, _) = harness.begun_attempts.remove(0);
        harness.answer(attempt);
        pass_grace(&mut harness);
        assert_eq!(
            harness.begun_attempts.len(),
            begun - 1,
            "{count} x {length}: begun after the close"
        );
        assert_eq!(harness.front.client_count(), 0, "the close was seen");
    }
}

/// Guards against refusals for a client that sends many long requests at once and waits for the answers.
#[test]
fn many_long_requests_that_come_at_once_are_all_served() {
    const REQUESTS: usize = 200;
    let mut harness = Harness::new(4);
    let queries: Vec<Vec<u8>> = (0..REQUESTS)
        .map(|number| query_of(&format!("q{number}"), LONG_REQUEST_BYTES))
        .collect();
    let client = send_at_once(&mut harness, &queries, false, |_| {});
    let mut client = client.expect("it stays");
    for number in 0..REQUESTS {
        harness.advance_by(1_000);
        let (attempt, _) = harness.begun_attempts.remove(0);
        harness.answer(attempt);
        assert_eq!(
            harness.next_event(&mut client),
            ClientEvent::Ready,
            "request {number}"
        );
    }
}

/// Guards against requests without an answer when the router cannot keep all that a client sends at once.
#[test]
fn requests_beyond_what_is_read_ahead_are_refused_and_the_session_goes_on() {
    const REQUESTS: usize = 200;
    let mut harness = Harness::with_budget(4, SMALL_BUDGET_BYTES);
    let queries: Vec<Vec<u8>> = (0..REQUESTS)
        .map(|number| query_of(&format!("q{number}"), LONG_REQUEST_BYTES))
        .collect();
    let client = send_at_once(&mut harness, &queries, false, answer_all);
    let mut client = client.expect("it stays");
    let (mut served, mut refused) = (0, 0);
    while served + refused < REQUESTS {
        harness.advance_by(1_000);
        answer_all(&mut harness);
        while let Some(event) = client.poll_event() {
            match event {
                ClientEvent::Ready => served += 1,
                ClientEvent::Error(code) if code == "53300" => refused += 1,
                other => panic!("{other:?} after {served} served, {refused} refused"),
            }
        }
    }
    assert!(served >= IN_PROGRESS, "{served} served, {refused} refused");
    harness.begin_request(&mut client, "later");
    harness.answer_last_attempt();
    assert_eq!(harness.next_event(&mut client), ClientEvent::Ready);
}
