//! Clients that leave or cancel, held against the operators' sentence on those that have gone: what waits is never sent on.

mod arrival;
#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::process::{Blow, Process};
use plovercove_emulator::rough::{Agent, Manner, Node, Says};
use standing_fleet::{HANGS, Start, group, listing, statement};
use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Queries of one connection that the router begins at a time.
const PIPELINE: usize = 16;

/// A client that writes and reads the protocol itself.
struct Raw {
    stream: TcpStream,
    /// What a cancel must show: number and secret.
    key: Vec<u8>,
}

impl Raw {
    /// Greeted, and given its key.
    fn connect(to: SocketAddr) -> Self {
        let mut client = Raw::dial(to);
        client.write(b"\0\0\0\x11\0\x03\0\0user\0me\0\0");
        loop {
            match client.message() {
                (b'K', body) => client.key = body,
                (b'Z', _) => return client,
                (b'E', body) => panic!("not let in: {}", body.escape_ascii()),
                _ => {}
            }
        }
    }

    fn dial(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("it listens");
        stream.set_read_timeout(Some(HANGS)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Raw {
            stream,
            key: Vec::new(),
        }
    }

    fn write(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it reads");
    }

    fn query(&mut self, text: &str) {
        self.write(&query(text));
    }

    fn message(&mut self) -> (u8, Vec<u8>) {
        let mut head = [0; 5];
        self.stream.read_exact(&mut head).expect("a message");
        let mut body =
            vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
        self.stream.read_exact(&mut body).expect("a body");
        (head[0], body)
    }

    /// The answer up to `ReadyForQuery`: the code of its error, `row`, or nothing for an empty query.
    fn answer(&mut self) -> String {
        let mut said = String::new();
        loop {
            match self.message() {
                (b'Z', _) => return said,
                (b'D', _) => said = "row".into(),
                (b'E', body) => {
                    let code = body.split(|b| *b == 0).find_map(|f| f.strip_prefix(b"C"));
                    said = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
                }
                _ => {}
            }
        }
    }
}

fn query(text: &str) -> Vec<u8> {
    [
        b"Q",
        &(text.len() as u32 + 5).to_be_bytes()[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat()
}

fn wish(key: &[u8]) -> Vec<u8> {
    [&[0, 0, 0, 16, 4, 0xd2, 0x16, 0x2e][..], key].concat()
}

/// Asks for a cancel, and waits until the router has taken the wish and ended the connection.
fn cancel(to: SocketAddr, key: &[u8]) {
    let mut wishes = Raw::dial(to);
    wishes.write(&wish(key));
    let mut said = Vec::new();
    match wishes.stream.read_to_end(&mut said) {
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            panic!("stays open")
        }
        _ => assert!(
            said.is_empty(),
            "no answer to a cancel: {}",
            said.escape_ascii()
        ),
    }
}

/// A router that serves on a list that its agent has told, and what must outlive it.
fn served(name: &str, manners: [Manner; 3], sockets: u32) -> (Process, Vec<Node>, impl Sized) {
    served_with(name, manners, sockets, "info")
}

/// The same, logging so much.
fn served_with(
    name: &str,
    manners: [Manner; 3],
    sockets: u32,
    log: &str,
) -> (Process, Vec<Node>, impl Sized + use<>) {
    let (nodes, entries) = group(manners);
    let agent = Agent::start(vec![Says::Body(listing(42, &entries))]).expect("an agent");
    let (router, folder) = Start {
        sockets,
        ..Start::before(name, &agent, &entries)
    }
    .run_logging(log);
    assert!(agent.called(2, HANGS), "the list is followed");
    (router, nodes, (agent, folder))
}

fn ran(nodes: &[Node], id: &str) -> bool {
    nodes.iter().any(|node| node.ran().contains_key(id))
}

fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let until = Instant::now() + HANGS;
    while !done() {
        assert!(Instant::now() < until, "{what}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Something else is served from now on, so that whatever the router was to do of what came before has been done.
fn serves_others(to: SocketAddr, id: &str) {
    let mut other = Raw::connect(to);
    other.query(&statement(id, "look"));
    assert_eq!(other.answer(), "row");
}

#[test]
fn a_cancelled_request_is_answered_and_what_waits_behind_it_goes_on() {
    // Danger: a client that cancels has gone; its request would be sent on, and held, until its time is over.
    let (router, nodes, _kept) = served(
        "clients-cancel",
        [Manner::Slow, Manner::Slow, Manner::Slow],
        512,
    );
    let listen = router.listen();
    let mut client = Raw::connect(listen);
    assert_eq!(client.key.len(), 8, "a number and four secret bytes");
    client.write(
        &[
            query(&statement("a1", "look")),
            query(&statement("a2", "look")),
        ]
        .concat(),
    );
    wait_until("it runs", || ran(&nodes, "a1"));
    let mut wrong = client.key.clone();
    wrong[7] ^= 1;
    cancel(listen, &wrong);
    cancel(listen, &client.key);
    assert_eq!(
        (client.answer().as_str(), client.answer().as_str()),
        ("57014", "row")
    );
    // After the answer it hits nothing, and nothing that comes once its sender was told its end.
    for n in 3..9 {
        cancel(listen, &client.key);
        client.query(&statement(&format!("a{n}"), "look"));
        assert_eq!(client.answer(), "row");
    }
}

#[test]
fn what_is_cancelled_before_its_attempt_is_written_is_never_sent_on() {
    // No connection to these nodes ever comes up: the request waits with an attempt that has not been written.
    let (router, nodes, _kept) = served("clients-cancel-early", [Manner::Silent; 3], 512);
    let listen = router.listen();
    let mut client = Raw::connect(listen);
    client.query(&statement("b1", "look"));
    let asked = Instant::now();
    cancel(listen, &client.key);
    assert_eq!(client.answer(), "57014");
    assert!(
        asked.elapsed() < Duration::from_millis(800),
        "it was not waited for: {:?}",
        asked.elapsed()
    );
    assert!(!ran(&nodes, "b1"));
}

#[test]
fn a_wish_that_is_read_before_its_query_ends_it_and_its_sender_need_not_wait() {
    // Danger: both lie in the router's buffers, and which is read first is chance. The router stands still meanwhile.
    let (mut router, nodes, _kept) = served("clients-cancel-crossed", [Manner::Good; 3], 512);
    let listen = router.listen();
    for waits in [true, false] {
        let mut client = Raw::connect(listen);
        // A connection that is taken in before the stop is read at once after it.
        let mut wishes = Raw::dial(listen);
        serves_others(listen, &format!("c0{}", u8::from(waits)));
        router.strike(Blow::Stop);
        wishes.write(&wish(&client.key));
        if !waits {
            wishes.stream.shutdown(Shutdown::Both).expect("it is up");
        }
        let id = format!("c1{}", u8::from(waits));
        client.query(&statement(&id, "look"));
        router.strike(Blow::Continue);
        assert_eq!(client.answer(), "57014", "its sender waits: {waits}");
        serves_others(listen, &format!("c2{}", u8::from(waits)));
        assert!(!ran(&nodes, &id));
    }
}

#[test]
fn a_cancel_is_heard_though_all_places_are_out_and_though_the_router_finishes() {
    let (mut router, _nodes, _kept) = served("clients-cancel-full", [Manner::Silent; 3], 64);
    let listen = router.listen();
    // All 20 places are held by requests.
    let mut held: Vec<Raw> = (0..20).map(|_| Raw::connect(listen)).collect();
    for (n, client) in held.iter_mut().enumerate() {
        client.query(&statement(&format!("d{n:x}"), "look"));
    }
    cancel(listen, &held[3].key);
    assert_eq!(held[3].answer(), "57014");
    router.strike(Blow::Term);
    assert!(router.says("SIGTERM", HANGS).is_some());
    cancel(listen, &held[4].key);
    assert_eq!(held[4].answer(), "57014");
}

#[test]
fn who_sends_much_and_goes_has_nothing_begun_any_more() {
    // Danger: the end lies behind what there is no room to begin, and all of it would be sent on, one after the other. The
    // primary holds all that it is sent, so that no answer makes room, and none fails to be passed on, before the end.
    for ends in ["close", "reset", "half"] {
        let name = format!("clients-much-{ends}");
        let manners = [Manner::HoldsWork, Manner::Good, Manner::Good];
        let (mut router, nodes, _kept) = served_with(&name, manners, 512, "debug");
        let listen = router.listen();
        let mut client = Raw::connect(listen);
        let ids: Vec<String> = (0..400).map(|n| format!("a{n:04x}")).collect();
        let mut all: Vec<u8> = ids
            .iter()
            .flat_map(|id| query(&statement(id, "book")))
            .collect();
        if ends == "half" {
            all.truncate(all.len() - 9);
        }
        client.write(&all);
        wait_until("some run", || ran(&nodes, &ids[0]));
        if ends == "reset" {
            let now = Some(Duration::ZERO);
            socket2::SockRef::from(&client.stream)
                .set_linger(now)
                .expect("a linger");
        }
        drop(client);
        // The one client so far: what the log says after its end was decided after it.
        assert!(router.says("closed client=", HANGS).is_some(), "{ends}");
        // A read that is begun later, and all that the router does up to its own end, which comes once nothing is left to
        // do.
        let mut other = Raw::connect(listen);
        other.query(&statement("b1", "look"));
        other.answer();
        router.strike(Blow::Term);
        assert!(router.ended(HANGS).is_some_and(|status| status.success()));
        assert!(
            router.says("all is answered", HANGS).is_some(),
            "the log is read to its end"
        );
        let lines = router.lines();
        let closed = lines
            .iter()
            .position(|line| line.contains("closed client="))
            .expect("said above");
        let writes =
            |line: &&String| line.contains("sent request=") && line.contains("class=\"book\"");
        let late: Vec<&String> = lines[closed..].iter().filter(writes).collect();
        assert!(late.is_empty(), "{ends}: {late:?}");
        // One whose connection does not come up in time is sent anew: requests are counted, not attempts.
        let number = |line: &String| {
            line.split("request=")
                .nth(1)?
                .split(' ')
                .next()
                .map(str::to_string)
        };
        let begun: HashSet<String> = lines[..closed]
            .iter()
            .filter(writes)
            .filter_map(number)
            .collect();
        let begun = begun.len();
        let ran = ids.iter().filter(|id| ran(&nodes, id)).count();
        assert!(
            0 < ran && ran <= begun && begun <= PIPELINE,
            "{ends}: {ran} of {begun} ran"
        );
    }
}

#[test]
fn a_request_whose_client_has_gone_before_it_is_read_is_never_sent_on() {
    // Danger: a loop that was busy would read the request and begin it, and see the end only in its next turn.
    let (mut router, nodes, _kept) = served("clients-gone-unread", [Manner::Good; 3], 512);
    let listen = router.listen();
    let mut clients: Vec<Raw> = (0..8).map(|_| Raw::connect(listen)).collect();
    // One that is greeted by nobody yet: startup, request and end come in one.
    clients.push(Raw::dial(listen));
    serves_others(listen, "f0");
    router.strike(Blow::Stop);
    for (n, mut client) in clients.into_iter().enumerate() {
        let startup = if n == 8 {
            &b"\0\0\0\x11\0\x03\0\0user\0me\0\0"[..]
        } else {
            b""
        };
        client.write(&[startup, &query(&statement(&format!("f1{n:x}"), "look"))].concat());
        let port = arrival::port(&client.stream);
        drop(client);
        arrival::acknowledged(port);
    }
    router.strike(Blow::Continue);
    serves_others(listen, "f2");
    // What it was to begin it has begun by its own end.
    router.strike(Blow::Term);
    assert!(router.ended(HANGS).is_some_and(|status| status.success()));
    let begun: Vec<_> = (0..9)
        .map(|n| format!("f1{n:x}"))
        .filter(|id| ran(&nodes, id))
        .collect();
    assert!(
        begun.is_empty(),
        "sent on though the client had gone: {begun:?}"
    );
}

#[test]
fn what_crosses_the_close_of_a_resting_client_resets_nothing_and_is_not_sent_on() {
    // Danger: closed at once, the connection is reset by what crosses, and an answer on its way is lost with it; read
    // after the end was told and sent on, the request is lost.
    let (router, nodes, _kept) = served("clients-close-crossed", [Manner::Good; 3], 64);
    let listen = router.listen();
    // Of 20 places 6 may be held without a request: the seventh ends the first.
    let mut resting: Vec<Raw> = Vec::new();
    for n in 0..7 {
        let mut client = Raw::connect(listen);
        client.query(&statement(&format!("a7{n:x}"), "look"));
        assert_eq!(client.answer(), "row");
        resting.push(client);
    }
    let first = &mut resting[0];
    assert_eq!(
        first.stream.read(&mut [0]).expect("an end in good order"),
        0
    );
    first.query(&statement("a8", "look"));
    let last = &mut resting[6];
    last.query(&statement("a9", "look"));
    assert_eq!(last.answer(), "row");
    let first = &resting[0];
    let broken = first.stream.take_error().expect("asked");
    assert!(
        broken.is_none(),
        "what crossed the close broke the connection: {broken:?}"
    );
    assert!(
        !ran(&nodes, "a8"),
        "read after the end was told, and sent on"
    );
}

#[test]
fn clients_that_rest_until_the_router_ends_them_hold_up_no_end() {
    let (mut router, _nodes, _kept) = served("clients-rest", [Manner::Good; 3], 512);
    let mut resting: Vec<Raw> = (0..4).map(|_| Raw::connect(router.listen())).collect();
    for (n, client) in resting.iter_mut().enumerate() {
        client.query(&statement(&format!("b9{n:x}"), "look"));
        assert_eq!(client.answer(), "row");
    }
    let term = Instant::now();
    router.strike(Blow::Term);
    // Told once more, it does as it was told.
    router.strike(Blow::Term);
    assert!(router.ended(HANGS).is_some_and(|status| status.success()));
    assert!(
        term.elapsed() < Duration::from_millis(1_500),
        "it ended after {:?}",
        term.elapsed()
    );
    for client in &mut resting {
        assert_eq!(
            client.stream.read(&mut [0]).expect("an end in good order"),
            0
        );
    }
}

#[test]
fn who_has_spoken_keeps_its_place_though_many_come_in_the_same_turn() {
    // Danger: each newcomer has those who came first looked at; the second look finds nothing new and closes them with
    // their requests unread. The router stands still until all have spoken, so that it takes them in at once.
    let (mut router, _nodes, _kept) = served("clients-crowd", [Manner::Good; 3], 64);
    let listen = router.listen();
    router.strike(Blow::Stop);
    let mut crowd: Vec<Raw> = (0..26).map(|_| Raw::dial(listen)).collect();
    for (n, client) in crowd.iter_mut().enumerate() {
        let asks = query(&statement(&format!("ca{n:x}"), "look"));
        client.write(&[&b"\0\0\0\x11\0\x03\0\0user\0me\0\0"[..], &asks].concat());
    }
    router.strike(Blow::Continue);
    // There are 20 places, and up to 8 more are told so.
    for (n, client) in crowd.iter_mut().enumerate() {
        let mut greeted = false;
        while let (kind, body) = client.message()
            && kind != b'Z'
        {
            if kind == b'E' {
                assert!(
                    n >= 20,
                    "{n} came before the places were out: {}",
                    body.escape_ascii()
                );
                break;
            }
            greeted |= kind == b'R';
        }
        assert!(greeted == (n < 20), "{n}");
        if greeted {
            assert_eq!(client.answer(), "row", "{n}");
        }
    }
}
