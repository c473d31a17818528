//! What comes to a client's connection in the very moment in which the front shuts it, closes it or takes another's place
//! away: each test puts the byte, the end or the second signal between two steps of a turn.

mod arrival;
#[allow(dead_code, reason = "each test file uses a part of it")]
mod front_desk;

use front_desk::{Client, Desk, Said, query, startup, wish};

/// A cancel, or the end of a connection, is to be known so soon (us).
const GONE: u64 = 100_000;
/// Who rests and is ended is heard out for so long (us); so is half a message, and who has not asked, once it finishes.
const HEARD_OUT: u64 = 300_000;
/// Connections that there may be beyond the places.
const BEYOND: usize = 8;

#[test]
fn told_twice_to_end_it_hears_out_whom_it_hears_out() {
    // Danger: the second SIGTERM falls due while the connections that the first one ended are heard out.
    let mut desk = Desk::new(8);
    let mut client = desk.resting("a1");
    desk.front.drain(desk.now, &mut desk.engine);
    assert_eq!(desk.hear(&mut client), Said::End);
    desk.now += HEARD_OUT / 3;
    client.write(&query("a2"));
    desk.front.drain(desk.now, &mut desk.engine);
    assert_eq!(desk.front.client_count(), 1, "closed at once");
    desk.turn();
    assert!(!client.is_reset(), "closed over unread bytes");
    desk.pass_by(HEARD_OUT);
    assert!(desk.front.is_drained() && desk.sent.is_empty());
}

#[test]
fn what_comes_with_the_end_of_the_time_to_hear_out_resets_nothing() {
    // Danger: an answer that the client has not read yet goes with the reset.
    let mut desk = Desk::new(8);
    let mut client = desk.resting("a1");
    desk.front.drain(desk.now, &mut desk.engine);
    assert_eq!(desk.hear(&mut client), Said::End);
    client.write(&query("a2"));
    desk.now += HEARD_OUT;
    desk.turn();
    assert!(desk.front.is_drained() && desk.sent.is_empty());
    assert!(!client.is_reset(), "closed over unread bytes");
}

#[test]
fn who_gives_its_place_to_a_newcomer_is_heard_out() {
    // Danger: closed at once, the connection is reset by a request that crosses the close.
    let mut desk = Desk::new(6);
    let mut resting = desk.resting("a1");
    desk.now += 1;
    let mut later = desk.resting("a2");
    let mut busy: Vec<Client> = (0..4).map(|_| desk.greeted()).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.write(&query(&format!("b{n}")));
        desk.turn();
    }
    let mut newcomer = desk.greeted();
    assert_eq!(desk.hear(&mut resting), Said::End, "its place was wanted");
    let begun = desk.engine.pending_requests();
    resting.write(&query("a3"));
    desk.turn();
    assert!(
        !resting.is_reset(),
        "what crossed the close broke the connection"
    );
    assert_eq!(
        desk.engine.pending_requests(),
        begun,
        "read after the end was told, and begun"
    );
    // The place counts as free, and the next newcomer gets that of the second.
    newcomer.write(&query("c1"));
    let mut next = desk.greeted();
    assert_eq!((desk.hear(&mut later), next.hears()), (Said::End, None));
    assert_eq!(
        desk.engine.pending_requests(),
        begun + 1,
        "the newcomer's request is taken on"
    );
}

#[test]
fn those_heard_out_are_never_more_than_there_is_room_for() {
    // Danger: descriptors. Clients that rest and never close are ended one by one, each for a newcomer.
    let mut desk = Desk::new(6);
    let mut ended = Vec::new();
    for n in 0..40 {
        ended.push(desk.resting(&format!("a{n:x}")));
        assert!(
            desk.front.client_count() <= 6 + BEYOND,
            "{} after {n}",
            desk.front.client_count()
        );
        desk.now += 1;
    }
    // Nobody was reset by it, as nothing crossed.
    assert!(ended.iter().all(|client| !client.is_reset()));
}

#[test]
fn a_request_that_lies_unread_keeps_its_client_its_place() {
    // Danger: closed with its request in the system's buffer, the client has no answer.
    let mut desk = Desk::new(2);
    let mut client = desk.greeted();
    let mut other = desk.greeted();
    client.write(&query("a1"));
    // The newcomer is taken in by a turn whose events were taken before the request came.
    let mut newcomer = Client::dial(desk.to);
    newcomer.write(startup());
    desk.front.accept(
        plovercove_engine::Key::from_number(0),
        desk.now,
        &mut desk.engine,
    );
    desk.finish_turn();
    assert_eq!(
        desk.hear(&mut other),
        Said::Error("53300".into()),
        "the next one goes"
    );
    assert_eq!(desk.hear(&mut newcomer), Said::Ready);
    assert_eq!(desk.sent.len(), 1, "it is begun");
    desk.serve();
    assert_eq!(desk.hear(&mut client), Said::Ready);
}

#[test]
fn a_request_and_the_end_of_its_client_behind_it_are_seen_by_the_last_look() {
    // Danger: a look that stops at the request takes its client for there, and begins it for nobody.
    let mut desk = Desk::new(8);
    let mut client = desk.resting("a1");
    client.write(&query("a2"));
    client.finish();
    desk.front.drain(desk.now, &mut desk.engine);
    desk.finish_turn();
    assert!(desk.sent.is_empty(), "begun, though its client had gone");
    desk.turn();
    assert!(desk.front.is_drained());
}

#[test]
fn a_cancel_that_is_found_by_the_last_look_counts() {
    // Danger: its sender has closed and gives up its place in the same turn; the wish goes with it.
    let mut desk = Desk::new(2);
    let mut client = desk.greeted();
    desk.ask(&mut client, "a1");
    let mut wishes = Client::dial(desk.to);
    desk.until("it is taken in", |desk| desk.front.client_count() == 2);
    wishes.write(&wish(&client.key));
    wishes.finish();
    let _newcomer = Client::dial(desk.to);
    desk.front.accept(
        plovercove_engine::Key::from_number(0),
        desk.now,
        &mut desk.engine,
    );
    desk.finish_turn();
    assert_eq!(client.hears(), Some(Said::Error("57014".into())));
}

#[test]
fn a_cancel_that_crosses_the_words_that_end_its_connection_counts() {
    // Danger: its connection has given up its place and is only heard out; the request would run on for nobody.
    for cut in [0, 7, 16] {
        let mut desk = Desk::new(2);
        let mut client = desk.greeted();
        desk.ask(&mut client, "a1");
        let mut wishes = Client::dial(desk.to);
        desk.until("it is taken in", |desk| desk.front.client_count() == 2);
        let _newcomer = Client::dial(desk.to);
        desk.front.accept(
            plovercove_engine::Key::from_number(0),
            desk.now,
            &mut desk.engine,
        );
        desk.finish_turn();
        assert_eq!(
            desk.hear(&mut wishes),
            Said::Error("53300".into()),
            "its place was wanted"
        );
        let wish = wish(&client.key);
        for piece in [&wish[..cut], &wish[cut..]]
            .into_iter()
            .filter(|piece| !piece.is_empty())
        {
            wishes.write(piece);
            desk.turn();
        }
        assert_eq!(
            client.hears(),
            Some(Said::Error("57014".into())),
            "in pieces of {cut} bytes and the rest"
        );
    }
}

#[test]
fn a_cancel_that_lies_unread_as_its_connection_is_closed_counts() {
    // Danger: the time to hear its sender out is over in a turn whose events were taken before the wish came.
    let mut desk = Desk::new(2);
    let mut client = desk.greeted();
    desk.ask(&mut client, "a1");
    let mut wishes = Client::dial(desk.to);
    desk.until("it is taken in", |desk| desk.front.client_count() == 2);
    let _newcomer = Client::dial(desk.to);
    desk.front.accept(
        plovercove_engine::Key::from_number(0),
        desk.now,
        &mut desk.engine,
    );
    desk.finish_turn();
    assert_eq!(
        desk.hear(&mut wishes),
        Said::Error("53300".into()),
        "its place was wanted"
    );
    wishes.write(&wish(&client.key));
    desk.now += HEARD_OUT;
    while let Some(due) = desk.engine.deadlines.pop(desk.now) {
        if let plovercove_engine::Deadline::Client(key) = due {
            desk.front.check_client(key, desk.now, &mut desk.engine);
        }
    }
    desk.finish_turn();
    assert_eq!(client.hears(), Some(Said::Error("57014".into())));
}

/// All places held by requests, and as many beyond them as there may be.
fn full(desk: &mut Desk, places: usize, say: &[u8]) -> (Vec<Client>, Vec<Client>) {
    let mut busy: Vec<Client> = (0..places).map(|_| desk.greeted()).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.write(&query(&format!("b{n}")));
    }
    desk.until("all are taken on", |desk| {
        desk.engine.pending_requests() == places
    });
    let mut beyond: Vec<Client> = (0..BEYOND).map(|_| Client::dial(desk.to)).collect();
    beyond.iter_mut().for_each(|client| client.write(say));
    desk.until("all are taken in", |desk| {
        desk.front.client_count() == places + BEYOND
    });
    (busy, beyond)
}

#[test]
fn a_cancel_behind_those_beyond_the_limit_is_heard_in_time() {
    // Danger: those who say nothing, or were told and stay, keep the door shut for longer than a request may run on
    // after its cancel. Up to twice as many as there is room for may come before it.
    for (say, more) in [
        (&b""[..], 0),
        (&b""[..], BEYOND),
        (startup(), 0),
        (startup(), BEYOND),
    ] {
        let mut desk = Desk::new(4);
        let (mut busy, _beyond) = full(&mut desk, 4, say);
        let mut ahead: Vec<Client> = (0..more).map(|_| Client::dial(desk.to)).collect();
        ahead.iter_mut().for_each(|client| client.write(say));
        let mut wishes = Client::dial(desk.to);
        wishes.write(&wish(&busy[2].key));
        wishes.finish();
        let came = desk.now;
        desk.turn();
        let told = loop {
            if let Some(said) = busy[2].hears() {
                break said;
            }
            desk.pass();
        };
        assert_eq!(told, Said::Error("57014".into()));
        let took = desk.now - came;
        assert!(
            took <= GONE,
            "{more} ahead, all said {}: heard after {took} us",
            say.escape_ascii()
        );
    }
}

#[test]
fn one_beyond_the_limit_that_gives_up_its_descriptor_is_told() {
    let mut desk = Desk::new(4);
    let (_busy, mut mute) = full(&mut desk, 4, b"");
    let mut late: Vec<Client> = (0..BEYOND).map(|_| Client::dial(desk.to)).collect();
    for _ in 0..2 {
        late.iter_mut().for_each(|client| client.write(b""));
    }
    late.iter_mut().for_each(|client| client.write(startup()));
    for client in late.iter_mut().chain(&mut mute) {
        let mut said = None;
        while said.is_none() {
            desk.pass();
            said = client.hears();
        }
        assert_eq!(said, Some(Said::Error("53300".into())));
    }
}

#[test]
fn all_who_wait_at_the_door_when_it_is_shut_are_answered() {
    // Danger: the system resets those whom a closed listener leaves waiting. More have come than one turn takes in.
    for places in [512, 20] {
        let mut desk = Desk::new(places);
        let mut crowd: Vec<Client> = (0..200).map(|_| Client::dial(desk.to)).collect();
        for (n, client) in crowd.iter_mut().enumerate() {
            client.write(&[startup(), &query(&format!("a{n:x}"))].concat());
        }
        desk.front.drain(desk.now, &mut desk.engine);
        desk.finish_turn();
        let mut told = 0;
        for (n, client) in crowd.iter_mut().enumerate() {
            let mut said = client.hears();
            while said.is_none() {
                desk.pass();
                said = client.hears();
            }
            match said {
                Some(Said::Ready) => told += 1,
                said => assert_eq!(
                    said,
                    Some(Said::Error("53300".into())),
                    "{n} of {places} places"
                ),
            }
        }
        assert!(told >= places.min(200), "{told} were let in");
    }
}

#[test]
fn those_who_wait_at_a_shut_door_behind_mute_ones_are_answered() {
    // Danger: where no descriptor is left at that moment, closing the listener resets them.
    let mut desk = Desk::new(4);
    let (_busy, _mute) = full(&mut desk, 4, b"");
    let mut late: Vec<Client> = (0..4).map(|_| Client::dial(desk.to)).collect();
    late.iter_mut().for_each(|client| client.write(startup()));
    desk.front.drain(desk.now, &mut desk.engine);
    desk.finish_turn();
    for client in &mut late {
        let mut said = client.hears();
        while said.is_none() {
            desk.pass();
            said = client.hears();
        }
        assert_eq!(said, Some(Said::Error("53300".into())));
    }
    while !desk.front.is_drained() {
        desk.pass();
    }
}

#[test]
fn the_rest_of_a_message_that_comes_with_the_end_of_its_time_is_a_request() {
    // Danger: it has been read in the same turn and not looked at; its client is closed without an answer.
    let mut desk = Desk::new(8);
    let mut client = desk.resting("a1");
    let asks = query("a2");
    client.write(&asks[..9]);
    desk.turn();
    desk.front.drain(desk.now, &mut desk.engine);
    desk.now += HEARD_OUT;
    client.write(&asks[9..]);
    desk.turn();
    assert_eq!(desk.sent.len(), 1, "begun: {:?}", client.hears());
    desk.serve();
    assert_eq!(desk.hear(&mut client), Said::Ready);
    assert_eq!(desk.hear(&mut client), Said::End);
}

#[test]
fn half_a_message_is_heard_out_and_its_rest_resets_nothing() {
    // Danger: what crosses the close takes an answer, or the words to one that has not asked, with it.
    for asked in [true, false] {
        let mut desk = Desk::new(8);
        let mut client = if asked {
            desk.resting("a1")
        } else {
            desk.greeted()
        };
        let asks = query("a2");
        client.write(&asks[..9]);
        desk.turn();
        desk.front.drain(desk.now, &mut desk.engine);
        desk.pass_by(HEARD_OUT);
        client.write(&asks[9..]);
        desk.turn();
        if !asked {
            assert_eq!(client.hears(), Some(Said::Error("53300".into())));
        }
        assert_eq!(client.hears(), Some(Said::End), "asked before: {asked}");
        assert!(!client.is_reset(), "asked before: {asked}");
        assert!(
            desk.sent.is_empty(),
            "read after the end was told, and begun"
        );
        desk.pass_by(HEARD_OUT);
        assert!(desk.front.is_drained());
    }
}

#[test]
fn a_request_that_comes_in_the_turn_of_the_shutdown_is_answered() {
    // Danger: it has been read and not begun when all that rest are ended.
    let mut desk = Desk::new(8);
    let mut client = desk.resting("a1");
    client.write(&query("a2"));
    desk.engine
        .deadlines
        .add(desk.now, plovercove_engine::Deadline::Shutdown);
    desk.turn();
    desk.serve();
    assert_eq!(
        (desk.hear(&mut client), desk.hear(&mut client)),
        (Said::Ready, Said::End)
    );
}

#[test]
fn a_request_that_comes_between_the_turns_last_look_and_the_shutdown_is_answered() {
    // Danger: it lies unread in the system's buffer when all that rest are ended.
    let mut desk = Desk::new(8);
    let mut client = desk.resting("a1");
    client.write(&query("a2"));
    desk.front.drain(desk.now, &mut desk.engine);
    desk.finish_turn();
    assert_eq!(desk.sent.len(), 1, "begun: {:?}", client.hears());
    desk.serve();
    assert_eq!(
        (desk.hear(&mut client), desk.hear(&mut client)),
        (Said::Ready, Said::End)
    );
}

#[test]
fn a_pipelined_tail_is_answered_to_its_end_though_it_finishes() {
    // Danger: more queries than are begun at a time, with half a one behind them; all came before the shutdown.
    let mut desk = Desk::new(8);
    let mut client = desk.resting("a1");
    let mut all: Vec<u8> = (0..40).flat_map(|n| query(&format!("b{n:x}"))).collect();
    all.truncate(all.len() - 9);
    client.write(&all);
    desk.turn();
    desk.front.drain(desk.now, &mut desk.engine);
    desk.finish_turn();
    for n in 0..39 {
        if desk.sent.is_empty() {
            desk.until("it is begun", |desk| !desk.sent.is_empty());
        }
        desk.serve();
        assert!(desk.front.client_count() == 1, "closed after {n}");
    }
    for _ in 0..39 {
        assert_eq!(desk.hear(&mut client), Said::Ready);
    }
    desk.pass_by(HEARD_OUT);
    assert_eq!(desk.hear(&mut client), Said::End);
    desk.pass_by(HEARD_OUT);
    assert!(desk.front.is_drained());
}

/// A request whose attempts were turned away until the next one is put off.
fn backing_off(desk: &mut Desk) -> Client {
    let mut client = desk.resting("a1");
    desk.ask(&mut client, "a2");
    let mut tries = 0;
    while !desk.sent.is_empty() {
        tries += 1;
        assert!(tries < 10, "it is never put off");
        desk.turn_away();
        desk.turn();
    }
    assert!(
        client.hears().is_none() && desk.engine.pending_requests() == 1,
        "it waits after {tries} tries"
    );
    client
}

#[test]
fn a_request_in_back_off_when_it_finishes_has_its_next_attempt_and_its_answer() {
    // Danger: with no attempt out its connection looks like one that rests.
    let mut desk = Desk::new(8);
    let mut client = backing_off(&mut desk);
    desk.front.drain(desk.now, &mut desk.engine);
    desk.turn();
    while desk.sent.is_empty() {
        assert_eq!(client.hears(), None);
        desk.pass();
    }
    desk.serve();
    assert_eq!(
        (desk.hear(&mut client), desk.hear(&mut client)),
        (Said::Ready, Said::End)
    );
}

#[test]
fn a_request_between_two_attempts_when_it_finishes_is_answered() {
    // The drain falls due in the very turn in which the first attempt ended.
    let mut desk = Desk::new(8);
    let mut client = desk.resting("a1");
    desk.ask(&mut client, "a2");
    desk.turn_away();
    desk.front.drain(desk.now, &mut desk.engine);
    desk.turn();
    while desk.sent.is_empty() {
        assert_eq!(client.hears(), None);
        desk.pass();
    }
    desk.serve();
    assert_eq!(
        (desk.hear(&mut client), desk.hear(&mut client)),
        (Said::Ready, Said::End)
    );
}

#[test]
fn a_request_whose_client_goes_between_two_attempts_or_in_back_off_is_begun_no_more() {
    // Danger: the next attempt is the module's, put off to a moment after the end.
    for in_back_off in [false, true] {
        let mut desk = Desk::new(8);
        let mut client = if in_back_off {
            backing_off(&mut desk)
        } else {
            let mut client = desk.resting("a1");
            desk.ask(&mut client, "a2");
            // The attempt's end and the client's are read in one turn.
            desk.turn_away();
            client
        };
        client.finish();
        desk.turn();
        assert_eq!(
            (desk.front.client_count(), desk.engine.pending_requests()),
            (0, 0),
            "in back-off: {in_back_off}"
        );
        desk.pass_by(2_000_000);
        assert!(desk.sent.is_empty(), "in back-off: {in_back_off}");
    }
}

#[test]
fn who_trickles_loses_its_place_in_time_and_keeps_nobody_out() {
    // Danger: many clients with one byte a second each hold all places for as long as they like.
    let mut desk = Desk::new(20);
    let asks = [startup(), &query("a1")[..]].concat();
    let mut slow: Vec<Client> = (0..20).map(|_| Client::dial(desk.to)).collect();
    let mut ends = [None; 20];
    for (second, byte) in asks.iter().enumerate().take(4) {
        for (client, end) in slow.iter_mut().zip(&mut ends) {
            if end.is_none() {
                client.write(&[*byte]);
            }
        }
        // Taken in, and heard.
        (0..2).for_each(|_| desk.turn());
        // Newcomers are served all the while.
        let mut newcomer = desk.greeted();
        desk.ask(&mut newcomer, &format!("b{second}"));
        desk.serve();
        assert_eq!(desk.hear(&mut newcomer), Said::Ready);
        assert!(desk.front.client_count() <= 20 + BEYOND);
        drop(newcomer);
        desk.pass_by(1_000_000);
        for (client, end) in slow.iter_mut().zip(&mut ends) {
            if end.is_none() && client.hears().is_some() {
                *end = Some(second);
            }
        }
    }
    assert!(
        ends.iter().all(|end| end.is_some_and(|second| second < 3)),
        "{ends:?}"
    );
    desk.pass_by(HEARD_OUT);
    assert_eq!(desk.front.client_count(), 0);
}

#[test]
fn one_client_that_floods_has_no_more_than_its_part_of_a_turn() {
    // Danger: it holds the loop for as long as its input lasts, or begins all of it at once. Another's request lies behind
    // what it has sent.
    const BEGUN: usize = 16;
    const READ: usize = 32;
    let mut desk = Desk::new(8);
    let (mut flood, mut other) = (desk.greeted(), desk.greeted());
    flood.write(
        &(0..400)
            .flat_map(|n| query(&format!("a{n:x}")))
            .collect::<Vec<u8>>(),
    );
    other.write(&query("b1"));
    desk.turn();
    assert_eq!(
        desk.engine.pending_requests(),
        BEGUN + 1,
        "of the one so many, and the other's"
    );
    // What is answered here makes room at once. Nothing is decided meanwhile, so that it is read once in the turn.
    let mut desk = Desk::new(8);
    let mut empty = desk.greeted();
    empty.write(&b"Q\0\0\0\x05\0".repeat(4_000));
    desk.turn();
    let answers = std::iter::from_fn(|| empty.hears()).count();
    assert!(
        (1..=READ).contains(&answers),
        "{answers} empty queries were answered in one turn"
    );
    // All of it has its answer in the end.
    for n in answers..4_000 {
        assert_eq!(desk.hear(&mut empty), Said::Ready, "{n}");
    }
}
