//! Clients that disconnect or cancel: operators are promised that a waiting request of such a client is never sent to a node.

mod arrival;
#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Process, ProcessSignal};
use standing_fleet::{Start, TEST_TIMEOUT, group, listing, statement};
use std::collections::HashSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Maximum number of queries of one connection that the router begins at a time.
const MAX_PIPELINED_QUERIES: usize = 16;

/// A client that writes and reads the protocol itself, on a blocking socket.
struct RawClient {
    stream: TcpStream,
    /// The cancel key: id and secret, as in BackendKeyData.
    cancel_key: Vec<u8>,
}

impl RawClient {
    /// Connects, logs in and stores the cancel key.
    fn connect(to: SocketAddr) -> Self {
        let mut client = RawClient::connect_without_login(to);
        client.send(b"\0\0\0\x11\0\x03\0\0user\0me\0\0");
        loop {
            match client.read_message() {
                (b'K', body) => client.cancel_key = body,
                (b'Z', _) => return client,
                (b'E', body) => panic!("login rejected: {}", body.escape_ascii()),
                _ => {}
            }
        }
    }

    fn connect_without_login(to: SocketAddr) -> Self {
        let stream = TcpStream::connect(to).expect("it listens");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        RawClient {
            stream,
            cancel_key: Vec::new(),
        }
    }

    fn send(&mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("it reads");
    }

    fn send_query(&mut self, text: &str) {
        self.send(&query(text));
    }

    fn read_message(&mut self) -> (u8, Vec<u8>) {
        let mut header = [0; 5];
        self.stream.read_exact(&mut header).expect("a message");
        let mut body =
            vec![0; u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize - 4];
        self.stream.read_exact(&mut body).expect("a body");
        (header[0], body)
    }

    /// Reads an answer up to ReadyForQuery. Returns the SQLSTATE of its error, `row`, or an empty text for an empty query.
    fn read_answer(&mut self) -> String {
        let mut received = String::new();
        loop {
            match self.read_message() {
                (b'Z', _) => return received,
                (b'D', _) => received = "row".into(),
                (b'E', body) => {
                    let code = body.split(|b| *b == 0).find_map(|f| f.strip_prefix(b"C"));
                    received = String::from_utf8_lossy(code.unwrap_or_default()).into_owned();
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

fn cancel_request(cancel_key: &[u8]) -> Vec<u8> {
    [&[0, 0, 0, 16, 4, 0xd2, 0x16, 0x2e][..], cancel_key].concat()
}

/// Sends a cancel request, and waits until the router has read it and closed the connection.
fn cancel(to: SocketAddr, cancel_key: &[u8]) {
    let mut canceller = RawClient::connect_without_login(to);
    canceller.send(&cancel_request(cancel_key));
    let mut received = Vec::new();
    match canceller.stream.read_to_end(&mut received) {
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            panic!("the connection stays open")
        }
        _ => assert!(
            received.is_empty(),
            "no answer to a cancel: {}",
            received.escape_ascii()
        ),
    }
}

/// Starts a router with a list from its agent. Returns the router, its nodes, and what must outlive the router.
fn start_router(
    name: &str,
    manners: [NodeBehavior; 3],
    sockets: u32,
) -> (Process, Vec<Node>, impl Sized) {
    start_router_with_log_level(name, manners, sockets, "info")
}

/// Does the same with a log level.
fn start_router_with_log_level(
    name: &str,
    manners: [NodeBehavior; 3],
    sockets: u32,
    log: &str,
) -> (Process, Vec<Node>, impl Sized + use<>) {
    let (nodes, entries) = group(manners);
    let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
    let (router, folder) = Start {
        sockets,
        ..Start::with_agent(name, &agent, &entries)
    }
    .run_logging(log);
    assert!(
        agent.wait_for_calls(2, TEST_TIMEOUT),
        "the list is followed"
    );
    (router, nodes, (agent, folder))
}

fn has_run(nodes: &[Node], id: &str) -> bool {
    nodes.iter().any(|node| node.ran().contains_key(id))
}

fn wait_until(condition: &str, mut is_done: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_done() {
        assert!(Instant::now() < deadline, "{condition}");
        std::thread::sleep(Duration::from_millis(2));
    }
}

/// Serves a request of another client. Once it is answered, the router has processed everything that arrived before it.
fn serve_another_client(to: SocketAddr, id: &str) {
    let mut other = RawClient::connect(to);
    other.send_query(&statement(id, "look"));
    assert_eq!(other.read_answer(), "row");
}

#[test]
fn a_cancelled_request_is_answered_and_the_queries_behind_it_continue() {
    // Without cancelling, the request would be sent on to nodes and occupy the router until its deadline, although its client
    // no longer wants it.
    let (router, nodes, _guard) = start_router(
        "clients-cancel",
        [NodeBehavior::Slow, NodeBehavior::Slow, NodeBehavior::Slow],
        512,
    );
    let listen = router.listen();
    let mut client = RawClient::connect(listen);
    assert_eq!(client.cancel_key.len(), 8, "an id and four secret bytes");
    client.send(
        &[
            query(&statement("a1", "look")),
            query(&statement("a2", "look")),
        ]
        .concat(),
    );
    wait_until("the request runs", || has_run(&nodes, "a1"));
    let mut wrong = client.cancel_key.clone();
    wrong[7] ^= 1;
    cancel(listen, &wrong);
    cancel(listen, &client.cancel_key);
    assert_eq!(
        (client.read_answer().as_str(), client.read_answer().as_str()),
        ("57014", "row")
    );
    // A cancel request after the answer has no effect, nor has it one on queries that are sent after its connection has been
    // closed.
    for n in 3..9 {
        cancel(listen, &client.cancel_key);
        client.send_query(&statement(&format!("a{n}"), "look"));
        assert_eq!(client.read_answer(), "row");
    }
}

#[test]
fn a_request_that_is_cancelled_before_its_attempt_is_written_is_never_sent_on() {
    // Connections to these nodes are never established, so that the attempt of the request is never written.
    let (router, nodes, _guard) =
        start_router("clients-cancel-early", [NodeBehavior::Silent; 3], 512);
    let listen = router.listen();
    let mut client = RawClient::connect(listen);
    client.send_query(&statement("b1", "look"));
    let sent_at = Instant::now();
    cancel(listen, &client.cancel_key);
    assert_eq!(client.read_answer(), "57014");
    assert!(
        sent_at.elapsed() < Duration::from_millis(800),
        "the answer took {:?}",
        sent_at.elapsed()
    );
    assert!(!has_run(&nodes, "b1"));
}

#[test]
fn a_cancel_request_that_is_read_before_its_query_cancels_it() {
    // The cancel request and the query arrive while the router is stopped, so that it may read either one first.
    let (mut router, nodes, _guard) =
        start_router("clients-cancel-crossed", [NodeBehavior::Healthy; 3], 512);
    let listen = router.listen();
    for waits in [true, false] {
        let mut client = RawClient::connect(listen);
        // The connection is accepted before the stop, so that it is read at once after it.
        let mut canceller = RawClient::connect_without_login(listen);
        serve_another_client(listen, &format!("c0{}", u8::from(waits)));
        router.send_signal(ProcessSignal::Stop);
        canceller.send(&cancel_request(&client.cancel_key));
        if !waits {
            canceller.stream.shutdown(Shutdown::Both).expect("it is up");
        }
        let id = format!("c1{}", u8::from(waits));
        client.send_query(&statement(&id, "look"));
        router.send_signal(ProcessSignal::Continue);
        assert_eq!(
            client.read_answer(),
            "57014",
            "the sender waits for the close: {waits}"
        );
        serve_another_client(listen, &format!("c2{}", u8::from(waits)));
        assert!(!has_run(&nodes, &id));
    }
}

#[test]
fn cancel_requests_are_processed_without_free_slots_and_during_the_shutdown() {
    let (mut router, _nodes, _guard) =
        start_router("clients-cancel-full", [NodeBehavior::Silent; 3], 64);
    let listen = router.listen();
    // Requests occupy all 20 slots.
    let mut busy: Vec<RawClient> = (0..20).map(|_| RawClient::connect(listen)).collect();
    for (n, client) in busy.iter_mut().enumerate() {
        client.send_query(&statement(&format!("d{n:x}"), "look"));
    }
    cancel(listen, &busy[3].cancel_key);
    assert_eq!(busy[3].read_answer(), "57014");
    router.send_signal(ProcessSignal::Term);
    assert!(router.wait_for_line("SIGTERM", TEST_TIMEOUT).is_some());
    cancel(listen, &busy[4].cancel_key);
    assert_eq!(busy[4].read_answer(), "57014");
}

#[test]
fn no_query_of_a_client_that_has_closed_is_begun_however_many_wait() {
    // The client's close is behind queries that the router cannot begin yet. If it were not detected, all of them would be
    // sent on, one after the other. The primary does not answer, so that no answer makes room before the close.
    for close_kind in ["close", "reset", "half"] {
        let name = format!("clients-much-{close_kind}");
        let manners = [
            NodeBehavior::HangOnStatement,
            NodeBehavior::Healthy,
            NodeBehavior::Healthy,
        ];
        let (mut router, nodes, _guard) = start_router_with_log_level(&name, manners, 512, "debug");
        let listen = router.listen();
        let mut client = RawClient::connect(listen);
        let ids: Vec<String> = (0..400).map(|n| format!("a{n:04x}")).collect();
        let mut queries: Vec<u8> = ids
            .iter()
            .flat_map(|id| query(&statement(id, "book")))
            .collect();
        if close_kind == "half" {
            queries.truncate(queries.len() - 9);
        }
        client.send(&queries);
        wait_until("some queries run", || has_run(&nodes, &ids[0]));
        if close_kind == "reset" {
            let now = Some(Duration::ZERO);
            socket2::SockRef::from(&client.stream)
                .set_linger(now)
                .expect("a linger");
        }
        drop(client);
        // It is the only client so far: what the log reports after this line was decided after the client's close.
        assert!(
            router
                .wait_for_line("closed client=", TEST_TIMEOUT)
                .is_some(),
            "{close_kind}"
        );
        // The log covers a later read and the shutdown, at the end of which nothing is left to do.
        let mut other = RawClient::connect(listen);
        other.send_query(&statement("b1", "look"));
        other.read_answer();
        router.send_signal(ProcessSignal::Term);
        assert!(
            router
                .wait_for_exit(TEST_TIMEOUT)
                .is_some_and(|status| status.success())
        );
        assert!(
            router
                .wait_for_line("all is answered", TEST_TIMEOUT)
                .is_some(),
            "the log is read to the end"
        );
        let lines = router.lines();
        let closed = lines
            .iter()
            .position(|line| line.contains("closed client="))
            .expect("the line was found above");
        let writes =
            |line: &&String| line.contains("sent request=") && line.contains("class=\"book\"");
        let late_writes: Vec<&String> = lines[closed..].iter().filter(writes).collect();
        assert!(late_writes.is_empty(), "{close_kind}: {late_writes:?}");
        // An attempt whose connection is not established in time is repeated, so requests are counted and not attempts.
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
        let run_count = ids.iter().filter(|id| has_run(&nodes, id)).count();
        assert!(
            0 < run_count && run_count <= begun && begun <= MAX_PIPELINED_QUERIES,
            "{close_kind}: {run_count} of {begun} ran"
        );
    }
}

#[test]
fn a_request_that_is_read_after_its_client_has_closed_is_never_sent_on() {
    // If the event loop was busy, it could read the request and begin it, and detect the client's close only in its next
    // turn.
    let (mut router, nodes, _guard) =
        start_router("clients-gone-unread", [NodeBehavior::Healthy; 3], 512);
    let listen = router.listen();
    let mut clients: Vec<RawClient> = (0..8).map(|_| RawClient::connect(listen)).collect();
    // For this client, startup packet, request and close arrive together.
    clients.push(RawClient::connect_without_login(listen));
    serve_another_client(listen, "f0");
    router.send_signal(ProcessSignal::Stop);
    for (n, mut client) in clients.into_iter().enumerate() {
        let startup = if n == 8 {
            &b"\0\0\0\x11\0\x03\0\0user\0me\0\0"[..]
        } else {
            b""
        };
        client.send(&[startup, &query(&statement(&format!("f1{n:x}"), "look"))].concat());
        let port = arrival::local_port(&client.stream);
        drop(client);
        arrival::wait_for_acknowledgement(port);
    }
    router.send_signal(ProcessSignal::Continue);
    serve_another_client(listen, "f2");
    // All requests that the router begins have been begun when it exits.
    router.send_signal(ProcessSignal::Term);
    assert!(
        router
            .wait_for_exit(TEST_TIMEOUT)
            .is_some_and(|status| status.success())
    );
    let begun: Vec<_> = (0..9)
        .map(|n| format!("f1{n:x}"))
        .filter(|id| has_run(&nodes, id))
        .collect();
    assert!(
        begun.is_empty(),
        "sent on although the client was gone: {begun:?}"
    );
}

#[test]
fn bytes_that_cross_the_close_of_an_idle_client_reset_nothing_and_are_not_sent_on() {
    // If the router closed the connection at once, bytes that cross the close would reset it and destroy an answer on its
    // way. If the router sent a request on that it read after the close, its answer would be lost.
    let (router, nodes, _guard) =
        start_router("clients-close-crossed", [NodeBehavior::Healthy; 3], 64);
    let listen = router.listen();
    // Idle clients may occupy 6 of the 20 slots, so the seventh idle client evicts the first.
    let mut idle_clients: Vec<RawClient> = Vec::new();
    for n in 0..7 {
        let mut client = RawClient::connect(listen);
        client.send_query(&statement(&format!("a7{n:x}"), "look"));
        assert_eq!(client.read_answer(), "row");
        idle_clients.push(client);
    }
    let first = &mut idle_clients[0];
    assert_eq!(
        first.stream.read(&mut [0]).expect("an end in good order"),
        0
    );
    first.send_query(&statement("a8", "look"));
    let last = &mut idle_clients[6];
    last.send_query(&statement("a9", "look"));
    assert_eq!(last.read_answer(), "row");
    let first = &idle_clients[0];
    let error = first.stream.take_error().expect("asked");
    assert!(
        error.is_none(),
        "bytes that crossed the close reset the connection: {error:?}"
    );
    assert!(
        !has_run(&nodes, "a8"),
        "a request was sent on after the close"
    );
}

#[test]
fn idle_clients_do_not_delay_the_shutdown() {
    let (mut router, _nodes, _guard) =
        start_router("clients-rest", [NodeBehavior::Healthy; 3], 512);
    let mut idle_clients: Vec<RawClient> = (0..4)
        .map(|_| RawClient::connect(router.listen()))
        .collect();
    for (n, client) in idle_clients.iter_mut().enumerate() {
        client.send_query(&statement(&format!("b9{n:x}"), "look"));
        assert_eq!(client.read_answer(), "row");
    }
    let signalled_at = Instant::now();
    router.send_signal(ProcessSignal::Term);
    // A second SIGTERM changes nothing.
    router.send_signal(ProcessSignal::Term);
    assert!(
        router
            .wait_for_exit(TEST_TIMEOUT)
            .is_some_and(|status| status.success())
    );
    assert!(
        signalled_at.elapsed() < Duration::from_millis(1_500),
        "the router exited after {:?}",
        signalled_at.elapsed()
    );
    for client in &mut idle_clients {
        assert_eq!(
            client.stream.read(&mut [0]).expect("an end in good order"),
            0
        );
    }
}

#[test]
fn clients_that_have_sent_requests_keep_their_slots_when_many_connect_in_one_turn() {
    // Each new client makes the router examine the first clients for eviction. The second examination finds no new bytes; if
    // it ignored those that were read before, it would close clients with unread requests. The router is stopped until all
    // clients have sent their requests, so that it accepts all of them in one turn.
    let (mut router, _nodes, _guard) =
        start_router("clients-crowd", [NodeBehavior::Healthy; 3], 64);
    let listen = router.listen();
    router.send_signal(ProcessSignal::Stop);
    let mut crowd: Vec<RawClient> = (0..26)
        .map(|_| RawClient::connect_without_login(listen))
        .collect();
    for (n, client) in crowd.iter_mut().enumerate() {
        let request = query(&statement(&format!("ca{n:x}"), "look"));
        client.send(&[&b"\0\0\0\x11\0\x03\0\0user\0me\0\0"[..], &request].concat());
    }
    router.send_signal(ProcessSignal::Continue);
    // There are 20 slots, and up to 8 more clients receive an error.
    for (n, client) in crowd.iter_mut().enumerate() {
        let mut is_logged_in = false;
        while let (kind, body) = client.read_message()
            && kind != b'Z'
        {
            if kind == b'E' {
                assert!(
                    n >= 20,
                    "client {n} was rejected although a slot was free: {}",
                    body.escape_ascii()
                );
                break;
            }
            is_logged_in |= kind == b'R';
        }
        assert!(is_logged_in == (n < 20), "{n}");
        if is_logged_in {
            assert_eq!(client.read_answer(), "row", "{n}");
        }
    }
}
