//! Bytes, closes and signals that cross with a decision of the front: to shut down, to close a connection, or to evict a
//! client. Each test places the event between two steps of a turn.

mod arrival;
#[allow(dead_code, reason = "each test file uses a part of it")]
mod front_harness;

use front_harness::{Client, ClientEvent, Harness, cancel_request, query, startup_packet};

/// Maximum time in microseconds until a cancel request takes effect.
const MAX_CANCEL_DELAY_US: u64 = 100_000;
/// Linger time in microseconds of a client that is closed between requests. During the shutdown it is also the timeout of an
/// incomplete message and of the first request.
const LINGER_US: u64 = 300_000;
/// Maximum number of connections beyond the slots.
const MAX_CLIENTS_BEYOND_LIMIT: usize = 8;

#[test]
fn a_second_shutdown_signal_does_not_close_lingering_clients() {
    // A second SIGTERM arrives while clients linger after the first one. If it closed them, their unread bytes would reset
    // the connections.
    let mut harness = Harness::new(8);
    let mut client = harness.idle_client("a1");
    harness.drain();
    assert_eq!(harness.next_event(&mut client), ClientEvent::Closed);
    harness.now += LINGER_US / 3;
    client.send(&query("a2"));
    harness.drain();
    assert_eq!(harness.front.client_count(), 1, "closed at once");
    harness.run_turn();
    assert!(!client.is_reset(), "closed over unread bytes");
    harness.advance_by(LINGER_US);
    assert!(harness.front.is_drained() && harness.begun_attempts.is_empty());
}

#[test]
fn bytes_that_arrive_at_the_end_of_the_linger_time_reset_nothing() {
    // If the connection were closed over unread bytes, it would be reset, and an answer that the client has not read yet
    // would be lost.
    let mut harness = Harness::new(8);
    let mut client = harness.idle_client("a1");
    harness.drain();
    assert_eq!(harness.next_event(&mut client), ClientEvent::Closed);
    client.send(&query("a2"));
    harness.now += LINGER_US;
    harness.run_turn();
    assert!(harness.front.is_drained() && harness.begun_attempts.is_empty());
    assert!(!client.is_reset(), "closed over unread bytes");
}

#[test]
fn an_evicted_client_lingers() {
    // If an evicted client were closed at once, a request that crosses the close would reset the connection.
    let mut harness = Harness::new(6);
    let mut idle_client = harness.idle_client("a1");
    harness.now += 1;
    let mut later = harness.idle_client("a2");
    let mut busy: Vec<Client> = (0..4).map(|_| harness.connected_client()).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.send(&query(&format!("b{n}")));
        harness.run_turn();
    }
    let mut newcomer = harness.connected_client();
    assert_eq!(
        harness.next_event(&mut idle_client),
        ClientEvent::Closed,
        "it is evicted"
    );
    let begun = harness.engine.pending_requests();
    idle_client.send(&query("a3"));
    harness.run_turn();
    assert!(
        !idle_client.is_reset(),
        "bytes that crossed the close reset the connection"
    );
    assert_eq!(
        harness.engine.pending_requests(),
        begun,
        "a request was begun after the close"
    );
    // The first client's slot counts as free, and the next newcomer takes that of the second client.
    newcomer.send(&query("c1"));
    let mut next = harness.connected_client();
    assert_eq!(
        (harness.next_event(&mut later), next.poll_event()),
        (ClientEvent::Closed, None)
    );
    assert_eq!(
        harness.engine.pending_requests(),
        begun + 1,
        "the newcomer's request is accepted"
    );
}

#[test]
fn lingering_clients_never_exceed_the_limit_on_connections() {
    // Idle clients that never close are evicted one by one, each for a newcomer. The lingering connections must not use up
    // the file descriptors.
    let mut harness = Harness::new(6);
    let mut ended = Vec::new();
    for n in 0..40 {
        ended.push(harness.idle_client(&format!("a{n:x}")));
        assert!(
            harness.front.client_count() <= 6 + MAX_CLIENTS_BEYOND_LIMIT,
            "{} after {n}",
            harness.front.client_count()
        );
        harness.now += 1;
    }
    // No connection was reset, since no bytes crossed a close.
    assert!(ended.iter().all(|client| !client.is_reset()));
}

#[test]
fn a_client_with_an_unread_request_is_not_evicted() {
    // If a client were evicted while its request is unread in the system's socket buffer, it would receive no answer.
    let mut harness = Harness::new(2);
    let mut client = harness.connected_client();
    let mut other = harness.connected_client();
    client.send(&query("a1"));
    // The newcomer is accepted in a turn whose events were polled before the request arrived.
    let mut newcomer = Client::connect(harness.address);
    newcomer.send(startup_packet());
    harness.front.accept(
        plovercove_engine::Key::from_number(0),
        harness.now,
        &mut harness.engine,
    );
    harness.finish_turn();
    assert_eq!(
        harness.next_event(&mut other),
        ClientEvent::Error("53300".into()),
        "the next client is evicted"
    );
    assert_eq!(harness.next_event(&mut newcomer), ClientEvent::Ready);
    assert_eq!(harness.begun_attempts.len(), 1, "the request is begun");
    harness.answer_last_attempt();
    assert_eq!(harness.next_event(&mut client), ClientEvent::Ready);
}

#[test]
fn the_check_before_an_eviction_detects_a_close_behind_a_request() {
    // If the check before an eviction stopped at the request, it would not detect the client's close behind it, and the
    // request would be begun although its client is gone.
    let mut harness = Harness::new(8);
    let mut client = harness.idle_client("a1");
    client.send(&query("a2"));
    client.shut_down_write();
    harness.drain();
    harness.finish_turn();
    assert!(
        harness.begun_attempts.is_empty(),
        "begun although its client is gone"
    );
    harness.run_turn();
    assert!(harness.front.is_drained());
}

#[test]
fn a_cancel_request_found_by_the_check_before_an_eviction_is_processed() {
    // The sender of the cancel request has closed its connection and is evicted in the same turn. The cancel request must
    // not be lost with the connection.
    let mut harness = Harness::new(2);
    let mut client = harness.connected_client();
    harness.begin_request(&mut client, "a1");
    let mut canceller = Client::connect(harness.address);
    harness.run_turns_until("the connection is accepted", |harness| {
        harness.front.client_count() == 2
    });
    canceller.send(&cancel_request(&client.key));
    canceller.shut_down_write();
    let _newcomer = Client::connect(harness.address);
    harness.front.accept(
        plovercove_engine::Key::from_number(0),
        harness.now,
        &mut harness.engine,
    );
    harness.finish_turn();
    assert_eq!(
        client.poll_event(),
        Some(ClientEvent::Error("57014".into()))
    );
}

#[test]
fn a_cancel_request_that_crosses_the_eviction_of_its_connection_is_processed() {
    // The connection of the cancel request has been evicted and lingers. If its bytes were dropped, the request would
    // continue although its client no longer wants it.
    for cut in [0, 7, 16] {
        let mut harness = Harness::new(2);
        let mut client = harness.connected_client();
        harness.begin_request(&mut client, "a1");
        let mut canceller = Client::connect(harness.address);
        harness.run_turns_until("the connection is accepted", |harness| {
            harness.front.client_count() == 2
        });
        let _newcomer = Client::connect(harness.address);
        harness.front.accept(
            plovercove_engine::Key::from_number(0),
            harness.now,
            &mut harness.engine,
        );
        harness.finish_turn();
        assert_eq!(
            harness.next_event(&mut canceller),
            ClientEvent::Error("53300".into()),
            "it is evicted"
        );
        let cancel_request = cancel_request(&client.key);
        for piece in [&cancel_request[..cut], &cancel_request[cut..]]
            .into_iter()
            .filter(|piece| !piece.is_empty())
        {
            canceller.send(piece);
            harness.run_turn();
        }
        assert_eq!(
            client.poll_event(),
            Some(ClientEvent::Error("57014".into())),
            "in pieces of {cut} bytes and the rest"
        );
    }
}

#[test]
fn a_cancel_request_that_is_unread_when_its_connection_is_closed_is_processed() {
    // The linger time of the sender ends in a turn whose events were polled before the cancel request arrived.
    let mut harness = Harness::new(2);
    let mut client = harness.connected_client();
    harness.begin_request(&mut client, "a1");
    let mut canceller = Client::connect(harness.address);
    harness.run_turns_until("the connection is accepted", |harness| {
        harness.front.client_count() == 2
    });
    let _newcomer = Client::connect(harness.address);
    harness.front.accept(
        plovercove_engine::Key::from_number(0),
        harness.now,
        &mut harness.engine,
    );
    harness.finish_turn();
    assert_eq!(
        harness.next_event(&mut canceller),
        ClientEvent::Error("53300".into()),
        "it is evicted"
    );
    canceller.send(&cancel_request(&client.key));
    harness.now += LINGER_US;
    while let Some(due) = harness.engine.deadlines.pop(harness.now) {
        if let plovercove_engine::Deadline::Client(key) = due {
            harness
                .front
                .check_client(key, harness.now, &mut harness.engine);
        }
    }
    harness.finish_turn();
    assert_eq!(
        client.poll_event(),
        Some(ClientEvent::Error("57014".into()))
    );
}

/// Occupies all slots with pending requests, and opens the maximum number of connections beyond them, which send
/// `first_bytes`. Returns the clients of both groups.
fn fill_slots(
    harness: &mut Harness,
    slots: usize,
    first_bytes: &[u8],
) -> (Vec<Client>, Vec<Client>) {
    let mut busy: Vec<Client> = (0..slots).map(|_| harness.connected_client()).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.send(&query(&format!("b{n}")));
    }
    harness.run_turns_until("all requests are accepted", |harness| {
        harness.engine.pending_requests() == slots
    });
    let mut beyond: Vec<Client> = (0..MAX_CLIENTS_BEYOND_LIMIT)
        .map(|_| Client::connect(harness.address))
        .collect();
    beyond
        .iter_mut()
        .for_each(|client| client.send(first_bytes));
    harness.run_turns_until("all connections are accepted", |harness| {
        harness.front.client_count() == slots + MAX_CLIENTS_BEYOND_LIMIT
    });
    (busy, beyond)
}

#[test]
fn a_cancel_request_behind_connections_beyond_the_limit_is_processed_in_time() {
    // Connections beyond the limit that are silent, or stay open after they were rejected, must not delay accepting a cancel
    // request for longer than the request may continue after it. Up to twice their maximum number may precede the cancel
    // request.
    for (first_bytes, extra_connections) in [
        (&b""[..], 0),
        (&b""[..], MAX_CLIENTS_BEYOND_LIMIT),
        (startup_packet(), 0),
        (startup_packet(), MAX_CLIENTS_BEYOND_LIMIT),
    ] {
        let mut harness = Harness::new(4);
        let (mut busy, _beyond) = fill_slots(&mut harness, 4, first_bytes);
        let mut ahead: Vec<Client> = (0..extra_connections)
            .map(|_| Client::connect(harness.address))
            .collect();
        ahead.iter_mut().for_each(|client| client.send(first_bytes));
        let mut canceller = Client::connect(harness.address);
        canceller.send(&cancel_request(&busy[2].key));
        canceller.shut_down_write();
        let sent_at = harness.now;
        harness.run_turn();
        let answered = loop {
            if let Some(event) = busy[2].poll_event() {
                break event;
            }
            harness.advance_to_next_deadline();
        };
        assert_eq!(answered, ClientEvent::Error("57014".into()));
        let elapsed_us = harness.now - sent_at;
        assert!(
            elapsed_us <= MAX_CANCEL_DELAY_US,
            "{extra_connections} more ahead, each sent {}: cancelled after {elapsed_us} us",
            first_bytes.escape_ascii()
        );
    }
}

#[test]
fn a_connection_beyond_the_limit_that_is_closed_receives_an_error() {
    let mut harness = Harness::new(4);
    let (_busy, mut silent) = fill_slots(&mut harness, 4, b"");
    let mut late: Vec<Client> = (0..MAX_CLIENTS_BEYOND_LIMIT)
        .map(|_| Client::connect(harness.address))
        .collect();
    for _ in 0..2 {
        late.iter_mut().for_each(|client| client.send(b""));
    }
    late.iter_mut()
        .for_each(|client| client.send(startup_packet()));
    for client in late.iter_mut().chain(&mut silent) {
        let mut event = None;
        while event.is_none() {
            harness.advance_to_next_deadline();
            event = client.poll_event();
        }
        assert_eq!(event, Some(ClientEvent::Error("53300".into())));
    }
}

#[test]
fn all_connections_that_wait_when_a_listener_closes_are_answered() {
    // The system resets connections that still wait when a listener is closed. More connections wait here than one turn
    // accepts.
    for slots in [512, 20] {
        let mut harness = Harness::new(slots);
        let mut crowd: Vec<Client> = (0..200).map(|_| Client::connect(harness.address)).collect();
        for (n, client) in crowd.iter_mut().enumerate() {
            client.send(&[startup_packet(), &query(&format!("a{n:x}"))].concat());
        }
        harness.drain();
        harness.finish_turn();
        let mut answered = 0;
        for (n, client) in crowd.iter_mut().enumerate() {
            let mut event = client.poll_event();
            while event.is_none() {
                harness.advance_to_next_deadline();
                event = client.poll_event();
            }
            match event {
                Some(ClientEvent::Ready) => answered += 1,
                event => assert_eq!(
                    event,
                    Some(ClientEvent::Error("53300".into())),
                    "client {n} with {slots} slots"
                ),
            }
        }
        assert!(
            answered >= slots.min(200),
            "{answered} clients were answered"
        );
    }
}

#[test]
fn connections_that_wait_behind_silent_ones_during_the_shutdown_are_answered() {
    // If the listener were closed while no descriptor is free, the connections that wait at it would be reset.
    let mut harness = Harness::new(4);
    let (_busy, _silent) = fill_slots(&mut harness, 4, b"");
    let mut late: Vec<Client> = (0..4).map(|_| Client::connect(harness.address)).collect();
    late.iter_mut()
        .for_each(|client| client.send(startup_packet()));
    harness.drain();
    harness.finish_turn();
    for client in &mut late {
        let mut event = client.poll_event();
        while event.is_none() {
            harness.advance_to_next_deadline();
            event = client.poll_event();
        }
        assert_eq!(event, Some(ClientEvent::Error("53300".into())));
    }
    while !harness.front.is_drained() {
        harness.advance_to_next_deadline();
    }
}

#[test]
fn a_message_that_completes_as_its_timeout_ends_is_a_request() {
    // The rest of the message is read in the turn in which the timeout of the message ends. If it were not processed, the
    // client would be closed without an answer.
    let mut harness = Harness::new(8);
    let mut client = harness.idle_client("a1");
    let request = query("a2");
    client.send(&request[..9]);
    harness.run_turn();
    harness.drain();
    harness.now += LINGER_US;
    client.send(&request[9..]);
    harness.run_turn();
    assert_eq!(
        harness.begun_attempts.len(),
        1,
        "begun: {:?}",
        client.poll_event()
    );
    harness.answer_last_attempt();
    assert_eq!(harness.next_event(&mut client), ClientEvent::Ready);
    assert_eq!(harness.next_event(&mut client), ClientEvent::Closed);
}

#[test]
fn the_rest_of_an_incomplete_message_after_its_timeout_resets_nothing() {
    // If bytes that cross the close reset the connection, they would destroy an answer, or the error to a client that has
    // not sent a request.
    for has_requested in [true, false] {
        let mut harness = Harness::new(8);
        let mut client = if has_requested {
            harness.idle_client("a1")
        } else {
            harness.connected_client()
        };
        let request = query("a2");
        client.send(&request[..9]);
        harness.run_turn();
        harness.drain();
        harness.advance_by(LINGER_US);
        client.send(&request[9..]);
        harness.run_turn();
        if !has_requested {
            assert_eq!(
                client.poll_event(),
                Some(ClientEvent::Error("53300".into()))
            );
        }
        assert_eq!(
            client.poll_event(),
            Some(ClientEvent::Closed),
            "a request before: {has_requested}"
        );
        assert!(!client.is_reset(), "a request before: {has_requested}");
        assert!(
            harness.begun_attempts.is_empty(),
            "a request was begun after the close"
        );
        harness.advance_by(LINGER_US);
        assert!(harness.front.is_drained());
    }
}

#[test]
fn a_request_that_arrives_in_the_turn_of_the_shutdown_is_answered() {
    // The request has been read and not begun when the shutdown closes all idle clients.
    let mut harness = Harness::new(8);
    let mut client = harness.idle_client("a1");
    client.send(&query("a2"));
    harness
        .engine
        .deadlines
        .add(harness.now, plovercove_engine::Deadline::Drain);
    harness.run_turn();
    harness.answer_last_attempt();
    assert_eq!(
        (
            harness.next_event(&mut client),
            harness.next_event(&mut client)
        ),
        (ClientEvent::Ready, ClientEvent::Closed)
    );
}

#[test]
fn a_request_that_is_unread_when_the_shutdown_starts_is_answered() {
    // The request is unread in the system's socket buffer when the shutdown closes all idle clients.
    let mut harness = Harness::new(8);
    let mut client = harness.idle_client("a1");
    client.send(&query("a2"));
    harness.drain();
    harness.finish_turn();
    assert_eq!(
        harness.begun_attempts.len(),
        1,
        "begun: {:?}",
        client.poll_event()
    );
    harness.answer_last_attempt();
    assert_eq!(
        (
            harness.next_event(&mut client),
            harness.next_event(&mut client)
        ),
        (ClientEvent::Ready, ClientEvent::Closed)
    );
}

#[test]
fn pipelined_queries_are_all_answered_during_the_shutdown() {
    // Before the shutdown, more queries arrive than may be pending at a time, and an incomplete one behind them.
    let mut harness = Harness::new(8);
    let mut client = harness.idle_client("a1");
    let mut all: Vec<u8> = (0..40).flat_map(|n| query(&format!("b{n:x}"))).collect();
    all.truncate(all.len() - 9);
    client.send(&all);
    harness.run_turn();
    harness.drain();
    harness.finish_turn();
    for n in 0..39 {
        if harness.begun_attempts.is_empty() {
            harness.run_turns_until("it is begun", |harness| !harness.begun_attempts.is_empty());
        }
        harness.answer_last_attempt();
        assert!(harness.front.client_count() == 1, "closed after {n}");
    }
    for _ in 0..39 {
        assert_eq!(harness.next_event(&mut client), ClientEvent::Ready);
    }
    harness.advance_by(LINGER_US);
    assert_eq!(harness.next_event(&mut client), ClientEvent::Closed);
    harness.advance_by(LINGER_US);
    assert!(harness.front.is_drained());
}

/// Returns a client whose request waits in backoff, because all its attempts so far were rejected.
fn client_in_backoff(harness: &mut Harness) -> Client {
    let mut client = harness.idle_client("a1");
    harness.begin_request(&mut client, "a2");
    let mut attempts = 0;
    while !harness.begun_attempts.is_empty() {
        attempts += 1;
        assert!(attempts < 10, "the request never backs off");
        harness.reject_last_attempt();
        harness.run_turn();
    }
    assert!(
        client.poll_event().is_none() && harness.engine.pending_requests() == 1,
        "it waits after {attempts} attempts"
    );
    client
}

#[test]
fn a_request_in_backoff_is_retried_and_answered_during_the_shutdown() {
    // Without an attempt in flight, the connection must not be taken for an idle one.
    let mut harness = Harness::new(8);
    let mut client = client_in_backoff(&mut harness);
    harness.drain();
    harness.run_turn();
    while harness.begun_attempts.is_empty() {
        assert_eq!(client.poll_event(), None);
        harness.advance_to_next_deadline();
    }
    harness.answer_last_attempt();
    assert_eq!(
        (
            harness.next_event(&mut client),
            harness.next_event(&mut client)
        ),
        (ClientEvent::Ready, ClientEvent::Closed)
    );
}

#[test]
fn a_request_between_two_attempts_is_answered_during_the_shutdown() {
    // The shutdown starts in the turn in which the first attempt ended.
    let mut harness = Harness::new(8);
    let mut client = harness.idle_client("a1");
    harness.begin_request(&mut client, "a2");
    harness.reject_last_attempt();
    harness.drain();
    harness.run_turn();
    while harness.begun_attempts.is_empty() {
        assert_eq!(client.poll_event(), None);
        harness.advance_to_next_deadline();
    }
    harness.answer_last_attempt();
    assert_eq!(
        (
            harness.next_event(&mut client),
            harness.next_event(&mut client)
        ),
        (ClientEvent::Ready, ClientEvent::Closed)
    );
}

#[test]
fn a_request_whose_client_closes_between_two_attempts_or_in_backoff_is_not_retried() {
    // The next attempt is scheduled for a time after the client's close, and must not be begun then.
    for is_in_backoff in [false, true] {
        let mut harness = Harness::new(8);
        let mut client = if is_in_backoff {
            client_in_backoff(&mut harness)
        } else {
            let mut client = harness.idle_client("a1");
            harness.begin_request(&mut client, "a2");
            // The end of the attempt and the client's close are read in the same turn.
            harness.reject_last_attempt();
            client
        };
        client.shut_down_write();
        harness.run_turn();
        assert_eq!(
            (
                harness.front.client_count(),
                harness.engine.pending_requests()
            ),
            (0, 0),
            "in backoff: {is_in_backoff}"
        );
        harness.advance_by(2_000_000);
        assert!(
            harness.begun_attempts.is_empty(),
            "in backoff: {is_in_backoff}"
        );
    }
}

#[test]
fn clients_that_trickle_bytes_are_closed_in_time_and_block_no_others() {
    // Many clients that send one byte per second each would otherwise occupy all slots for as long as they like.
    let mut harness = Harness::new(20);
    let request = [startup_packet(), &query("a1")[..]].concat();
    let mut slow: Vec<Client> = (0..20).map(|_| Client::connect(harness.address)).collect();
    let mut ended_at = [None; 20];
    for (second, byte) in request.iter().enumerate().take(4) {
        for (client, ended) in slow.iter_mut().zip(&mut ended_at) {
            if ended.is_none() {
                client.send(&[*byte]);
            }
        }
        // One turn accepts the connections, and one reads their bytes.
        (0..2).for_each(|_| harness.run_turn());
        // Meanwhile new clients are served.
        let mut newcomer = harness.connected_client();
        harness.begin_request(&mut newcomer, &format!("b{second}"));
        harness.answer_last_attempt();
        assert_eq!(harness.next_event(&mut newcomer), ClientEvent::Ready);
        assert!(harness.front.client_count() <= 20 + MAX_CLIENTS_BEYOND_LIMIT);
        drop(newcomer);
        harness.advance_by(1_000_000);
        for (client, ended) in slow.iter_mut().zip(&mut ended_at) {
            if ended.is_none() && client.poll_event().is_some() {
                *ended = Some(second);
            }
        }
    }
    assert!(
        ended_at
            .iter()
            .all(|ended| ended.is_some_and(|second| second < 3)),
        "{ended_at:?}"
    );
    harness.advance_by(LINGER_US);
    assert_eq!(harness.front.client_count(), 0);
}

#[test]
fn a_client_that_floods_gets_only_its_share_of_a_turn() {
    // A client that floods the router must not occupy the event loop for as long as its input lasts, and must not begin all
    // its requests at once. Another client's request has to be begun in the same turn.
    const MAX_PIPELINED_QUERIES: usize = 16;
    const MAX_MESSAGES_PER_TURN: usize = 32;
    let mut harness = Harness::new(8);
    let (mut flood, mut other) = (harness.connected_client(), harness.connected_client());
    flood.send(
        &(0..400)
            .flat_map(|n| query(&format!("a{n:x}")))
            .collect::<Vec<u8>>(),
    );
    other.send(&query("b1"));
    harness.run_turn();
    assert_eq!(
        harness.engine.pending_requests(),
        MAX_PIPELINED_QUERIES + 1,
        "the requests of a full pipeline, and that of the other client"
    );
    // Answers of the router itself make room at once. The engine decides nothing meanwhile, so that the client is pumped only
    // once in the turn.
    let mut harness = Harness::new(8);
    let mut sender = harness.connected_client();
    sender.send(&b"Q\0\0\0\x05\0".repeat(4_000));
    harness.run_turn();
    let answers = std::iter::from_fn(|| sender.poll_event()).count();
    assert!(
        (1..=MAX_MESSAGES_PER_TURN).contains(&answers),
        "{answers} empty queries were answered in one turn"
    );
    // All queries are answered in the end.
    for n in answers..4_000 {
        assert_eq!(harness.next_event(&mut sender), ClientEvent::Ready, "{n}");
    }
}
