//! The rules that operators check continuously, as far as one router with emulated nodes can be tested against them. The
//! watch of the endpoint list has its own file, and the simulator tests the rules that need a fleet. docs/standing.md lists
//! the test of each rule.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Process, ProcessSignal};
use plovercove_emulator::{RequestClient, RequestOutcome};
use standing_fleet::{
    MAX_DEADLINE, Start, TEST_TIMEOUT, ask, group, listing, statement, with_status,
};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum time after SIGTERM during which new connections still arrive.
const NEW_CONNECTIONS_AFTER_TERM: Duration = Duration::from_millis(400);
/// SIGKILL comes no sooner after SIGTERM than the longest deadline plus this. Requests that arrive later than this after
/// SIGTERM may stay unanswered.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Maximum time in which a router must become ready.
const READY_BOUND: Duration = Duration::from_secs(30);

/// A client that writes and reads protocol messages itself, so that the end of a connection is visible to the byte.
struct RawClient(TcpStream);

/// The outcome of a wait for an answer.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    /// A row and `ReadyForQuery`.
    Row,
    /// An error of this code.
    Error(String),
    /// `ReadyForQuery` without a row or an error before it: the end of the login, or the answer to an empty query.
    Ready,
    /// The connection ended without an answer.
    Closed,
}

impl RawClient {
    fn connect(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(TEST_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(RawClient(stream))
    }

    fn send_startup(&mut self) -> io::Result<()> {
        self.0.write_all(b"\0\0\0\x11\0\x03\0\0user\0me\0\0")
    }

    fn query(&mut self, text: &str) -> io::Result<()> {
        let length = (text.len() as u32 + 5).to_be_bytes();
        self.0
            .write_all(&[b"Q", &length[..], text.as_bytes(), b"\0"].concat())
    }

    /// Reads up to `ReadyForQuery`, a fatal error or the end.
    fn read_outcome(&mut self) -> Outcome {
        let mut outcome = None;
        loop {
            let mut head = [0; 5];
            match self.0.read_exact(&mut head) {
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    panic!("no answer, and the connection stays open")
                }
                Err(_) => return outcome.unwrap_or(Outcome::Closed),
                Ok(()) => {}
            }
            let mut body =
                vec![0; u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize - 4];
            if self.0.read_exact(&mut body).is_err() {
                return outcome.unwrap_or(Outcome::Closed);
            }
            match head[0] {
                b'D' => outcome = Some(Outcome::Row),
                b'E' => {
                    let fields = body
                        .split(|b| *b == 0)
                        .map(|f| String::from_utf8_lossy(f).into_owned());
                    let code = fields
                        .into_iter()
                        .find_map(|f| f.strip_prefix('C').map(str::to_string));
                    outcome = Some(Outcome::Error(code.unwrap_or_default()));
                }
                b'Z' => return outcome.unwrap_or(Outcome::Ready),
                _ => {}
            }
        }
    }
}

/// Returns whether a login and an empty query are answered.
fn is_ready(to: SocketAddr) -> bool {
    let mut client = RawClient::connect(to).expect("it listens");
    client
        .send_startup()
        .and_then(|()| client.query(""))
        .expect("it reads");
    client.read_outcome() == Outcome::Ready && client.read_outcome() == Outcome::Ready
}

/// The requests of a client until its connection ended.
struct ClientLog {
    /// The time at which each request was completely written, and its ID.
    sent: Vec<(Instant, String)>,
    /// The number of answered requests. Answers come in order.
    answered: usize,
}

/// Starts a client that keeps this number of requests pending on one connection, until the connection ends.
fn start_persistent_client(to: SocketAddr, name: usize, pending: usize) -> JoinHandle<ClientLog> {
    std::thread::spawn(move || {
        let mut client = RawClient::connect(to).expect("it listens");
        client.send_startup().expect("it reads");
        assert_eq!(client.read_outcome(), Outcome::Ready);
        let mut seen = ClientLog {
            sent: Vec::new(),
            answered: 0,
        };
        loop {
            while seen.sent.len() < seen.answered + pending {
                let id = format!("{name:x}{:06x}", seen.sent.len());
                if client.query(&statement(&id, "look")).is_err() {
                    break;
                }
                seen.sent.push((Instant::now(), id));
            }
            match client.read_outcome() {
                Outcome::Closed => return seen,
                _ => seen.answered += 1,
            }
        }
    })
}

/// Starts a router that has applied its agent's list. Returns it with the nodes, the agent and the folder, which must
/// outlive it.
fn start_serving(
    name: &str,
    manners: [NodeBehavior; 3],
    sockets: u32,
) -> (Process, Vec<Node>, Agent, impl Sized) {
    let (nodes, entries) = group(manners);
    let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
    let (router, folder) = Start {
        sockets,
        ..Start::with_agent(name, &agent, &entries)
    }
    .run();
    assert!(agent.wait_for_calls(2, TEST_TIMEOUT), "the list is applied");
    (router, nodes, agent, folder)
}

#[test]
fn a_planned_restart_loses_no_received_request_while_clients_keep_sending() {
    // Clients send requests on every open connection until SIGKILL, and each request that a node has received must be
    // answered.
    let (mut router, nodes, _agent, _folder) =
        start_serving("standing-restart", [NodeBehavior::Slow; 3], 512);
    let listen = router.listen();
    // Half of the clients have one request pending at a time, the others have two.
    let clients: Vec<_> = (0..12)
        .map(|n| start_persistent_client(listen, n + 16, 1 + n % 2))
        .collect();
    let busy = Instant::now() + TEST_TIMEOUT;
    while nodes.iter().map(|n| n.ran().len()).sum::<usize>() < 24 {
        assert!(Instant::now() < busy, "{:?}", router.lines());
        std::thread::sleep(Duration::from_millis(5));
    }
    let term = Instant::now();
    router.send_signal(ProcessSignal::Term);
    let mut new_clients = 0;
    while term.elapsed() < NEW_CONNECTIONS_AFTER_TERM {
        new_clients += 1;
        let id = format!("f{new_clients:06x}");
        assert_eq!(
            ask(&mut RequestClient::new(listen), &id, "look"),
            RequestOutcome::Served,
            "at {:?}",
            term.elapsed()
        );
    }
    assert!(new_clients >= 2, "{new_clients} new connections");
    let kill = term + MAX_DEADLINE + KILL_MARGIN;
    router.wait_for_exit(kill.saturating_duration_since(Instant::now()));
    router.send_signal(ProcessSignal::Kill);
    let seen: Vec<ClientLog> = clients
        .into_iter()
        .map(|c| c.join().expect("a client"))
        .collect();
    let ran: Vec<_> = nodes.iter().map(Node::ran).collect();
    let mut after = 0;
    for client in &seen {
        after += client
            .sent
            .iter()
            .take(client.answered)
            .filter(|(at, _)| *at > term)
            .count();
        for (at, id) in &client.sent[client.answered..] {
            let has_run = ran.iter().any(|node| node.contains_key(id));
            let may_be_lost = *at > term + KILL_MARGIN;
            assert!(
                !has_run || may_be_lost,
                "{id} was received {:?} after SIGTERM and lost",
                at.saturating_duration_since(term)
            );
        }
    }
    assert!(
        after >= 6,
        "only {after} requests were sent after SIGTERM and answered"
    );
}

#[test]
fn a_client_that_connects_just_before_the_listener_closes_is_answered() {
    // Otherwise a connection that was accepted last would be closed without an answer while its request is in transit.
    let (mut router, _nodes, _agent, _folder) =
        start_serving("standing-late-comer", [NodeBehavior::Healthy; 3], 512);
    let listen = router.listen();
    let (mut silent, mut greeted) = (
        RawClient::connect(listen).expect("up"),
        RawClient::connect(listen).expect("up"),
    );
    greeted.send_startup().expect("it reads");
    assert_eq!(greeted.read_outcome(), Outcome::Ready);
    router.send_signal(ProcessSignal::Term);
    let until = Instant::now() + TEST_TIMEOUT;
    // Once connections are refused, the router has accepted all earlier ones.
    while TcpStream::connect(listen).is_ok() {
        assert!(
            Instant::now() < until,
            "the router does not stop accepting connections"
        );
        std::thread::sleep(Duration::from_millis(2));
    }
    silent
        .send_startup()
        .and_then(|()| silent.query(&statement("a1", "look")))
        .expect("it reads");
    greeted.query(&statement("a2", "look")).expect("it reads");
    assert_eq!(
        (silent.read_outcome(), silent.read_outcome()),
        (Outcome::Ready, Outcome::Row)
    );
    assert_eq!(greeted.read_outcome(), Outcome::Row);
    assert!(
        router
            .wait_for_exit(TEST_TIMEOUT)
            .is_some_and(|status| status.success())
    );
}

#[test]
fn a_silent_client_gets_an_error_before_it_is_closed_and_does_not_delay_the_exit() {
    let (mut router, _nodes, _agent, _folder) =
        start_serving("standing-mute", [NodeBehavior::Healthy; 3], 512);
    let mut silent_client = RawClient::connect(router.listen()).expect("up");
    // A client that has been served before, and has started a message that it never completes.
    let mut half = RawClient::connect(router.listen()).expect("up");
    half.send_startup()
        .and_then(|()| half.query(&statement("a1", "look")))
        .expect("it reads");
    assert_eq!(
        (half.read_outcome(), half.read_outcome()),
        (Outcome::Ready, Outcome::Row)
    );
    half.0.write_all(b"Q\0\0").expect("it reads");
    assert!(
        is_ready(router.listen()),
        "the silent client has been accepted before"
    );
    let term = Instant::now();
    router.send_signal(ProcessSignal::Term);
    assert_eq!(silent_client.read_outcome(), Outcome::Error("53300".into()));
    assert!(
        router
            .wait_for_exit(TEST_TIMEOUT)
            .is_some_and(|status| status.success())
    );
    assert!(
        term.elapsed() < MAX_DEADLINE + KILL_MARGIN,
        "the router exited after {:?}",
        term.elapsed()
    );
}

#[test]
fn at_the_connection_limit_every_new_client_gets_an_error() {
    // A connection that is closed without an answer counts as refused, and many of those as lost. Up to eight connections
    // beyond the limit are rejected with an error at a time. Here all connections are in use by requests on slow nodes, and
    // silent clients come first. The requests are writes that have been sent; reads would use up their attempts within the
    // 300 ms that the silent clients are given, and would free their connections.
    let (router, _nodes, _agent, _folder) =
        start_serving("standing-places", [NodeBehavior::HangOnStatement; 3], 64);
    let listen = router.listen();
    let mut accepted_clients = Vec::new();
    // The limit is reached once a new client is rejected.
    loop {
        let mut client = RawClient::connect(listen).expect("up");
        client.send_startup().expect("it reads");
        match client.read_outcome() {
            Outcome::Ready => client
                .query(&statement(
                    &format!("b{:x}", accepted_clients.len()),
                    "book",
                ))
                .expect("it reads"),
            outcome => break assert_eq!(outcome, Outcome::Error("53300".into())),
        }
        accepted_clients.push(client);
    }
    let mut silent_clients: Vec<RawClient> = (0..8)
        .map(|_| RawClient::connect(listen).expect("up"))
        .collect();
    let connected_at = Instant::now();
    let mut late_clients: Vec<RawClient> = (0..8)
        .map(|_| RawClient::connect(listen).expect("up"))
        .collect();
    for client in &mut late_clients {
        client
            .send_startup()
            .and_then(|()| client.query(&statement("c", "look")))
            .expect("it reads");
    }
    for client in late_clients.iter_mut().chain(&mut silent_clients) {
        assert_eq!(client.read_outcome(), Outcome::Error("53300".into()));
    }
    assert!(
        connected_at.elapsed() < Duration::from_millis(800),
        "rejected after {:?}, when no client waits any more",
        connected_at.elapsed()
    );
    for client in &mut accepted_clients {
        assert!(
            matches!(client.read_outcome(), Outcome::Error(_)),
            "the accepted clients are answered, too"
        );
    }
}

#[test]
fn many_simultaneous_clients_are_all_answered() {
    // Clients that have not sent anything yet are evicted for new ones, and must not be closed without an answer.
    let (router, _nodes, _agent, _folder) =
        start_serving("standing-crowd", [NodeBehavior::Healthy; 3], 64);
    let listen = router.listen();
    let mut crowd: Vec<RawClient> = (0..80)
        .map(|_| RawClient::connect(listen).expect("up"))
        .collect();
    for (n, client) in crowd.iter_mut().enumerate() {
        // Fails if the router has rejected the client and closed the connection already.
        let _ = client
            .send_startup()
            .and_then(|()| client.query(&statement(&format!("d{n:x}"), "look")));
    }
    let mut served_count = 0;
    for client in &mut crowd {
        match client.read_outcome() {
            Outcome::Ready => served_count += usize::from(client.read_outcome() == Outcome::Row),
            outcome => assert_eq!(outcome, Outcome::Error("53300".into())),
        }
    }
    assert!(served_count >= 8, "{served_count} of 80 were served");
}

#[test]
fn a_request_that_was_never_sent_is_rejected_and_not_failed() {
    // A failure means that the outcome is unknown, and the client must not retry a write. A request that was never sent must
    // be rejected instead.
    for (n, primary) in [
        NodeBehavior::RefuseConnection,
        NodeBehavior::CloseOnConnect,
        NodeBehavior::Silent,
    ]
    .into_iter()
    .enumerate()
    {
        let name = format!("standing-unsent-{n}");
        let (router, nodes, _agent, _folder) = start_serving(&name, [primary; 3], 512);
        let mut client = RequestClient::new(router.listen());
        for k in 0..4 {
            let outcome = ask(&mut client, &format!("e{k}"), "book");
            assert_eq!(
                outcome,
                RequestOutcome::Refused,
                "a write to nodes that are all {primary:?}"
            );
        }
        assert!(
            nodes
                .iter()
                .all(|node| !node.ran().keys().any(|id| id.starts_with('e'))),
            "{primary:?}"
        );
    }
}

#[test]
fn the_router_becomes_ready_whatever_discovery_does_at_the_start() {
    let (_nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let complete_list = listing(42, &entries);
    let starts = [
        ("nothing", Some(AgentReply::Silence)),
        ("closes", Some(AgentReply::Close)),
        ("refused", None),
        ("503", Some(AgentReply::Status(503))),
        (
            "garbage",
            Some(AgentReply::Body("\u{0}\u{1}]]{\"index\":".into())),
        ),
        ("other", Some(AgentReply::Body("[1, 2, 3]".into()))),
        ("nobody", Some(AgentReply::Body(listing(42, &[])))),
        ("half", Some(AgentReply::FirstHalf(complete_list.clone()))),
        ("head", Some(AgentReply::FirstBytes(complete_list, 17))),
    ];
    let one = |(name, says): (&str, Option<AgentReply>)| {
        for remembered in [&entries[..], &[]] {
            let agent = Agent::start(says.iter().cloned().collect()).expect("an agent");
            let free_address = TcpListener::bind("127.0.0.1:0")
                .and_then(|l| l.local_addr())
                .expect("a port");
            let mut start = Start::with_agent("", &agent, remembered);
            let folder = format!("standing-ready-{name}-{}", remembered.len());
            start.name = &folder;
            if says.is_none() {
                start.agent = free_address.to_string();
            }
            let started_at = Instant::now();
            let (router, _folder) = start.run();
            assert!(is_ready(router.listen()), "{name}");
            if !remembered.is_empty() {
                let outcome = ask(&mut RequestClient::new(router.listen()), "a7", "look");
                assert_eq!(
                    outcome,
                    RequestOutcome::Served,
                    "{name}: the remembered list is enough to serve"
                );
            }
            assert!(
                started_at.elapsed() < READY_BOUND,
                "{name}: ready after {:?}",
                started_at.elapsed()
            );
        }
    };
    std::thread::scope(|all| {
        starts
            .into_iter()
            .for_each(|start| drop(all.spawn(move || one(start))))
    });
}

/// Returns the same JSON with white space at all places where JSON allows it.
fn indented(body: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(body).expect("JSON");
    let pretty = serde_json::to_string_pretty(&value).expect("JSON");
    format!(
        "\r\n\t {}\n\r\n",
        pretty.replace('\n', "\r\n\t").replace(": ", " \t:\n ")
    )
}

#[test]
fn lists_with_white_space_are_accepted() {
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let changes = |index, entries: &[serde_json::Value]| {
        indented(&listing(index, entries)).replace("true", "false")
    };
    let agent =
        Agent::start(vec![AgentReply::Body(indented(&listing(42, &entries)))]).expect("an agent");
    let (router, _folder) = Start::with_agent("standing-indented", &agent, &[]).run();
    assert!(
        agent.wait_for_calls(2, TEST_TIMEOUT),
        "{:?}",
        router.lines()
    );
    let mut client = RequestClient::new(router.listen());
    assert_eq!(
        ask(&mut client, "a1", "look"),
        RequestOutcome::Served,
        "{:?}",
        router.lines()
    );
    agent.push_reply(AgentReply::Body(changes(
        43,
        &with_status(&entries, 1, "left")[1..2],
    )));
    assert!(
        agent.wait_for_calls(3, TEST_TIMEOUT) && agent.calls()[2].contains("after=43"),
        "{:?}",
        router.lines()
    );
    let before = nodes[1].ran().len();
    for n in 0..20 {
        assert_eq!(
            ask(&mut client, &format!("b{n:x}"), "look"),
            RequestOutcome::Served
        );
    }
    assert_eq!(
        nodes[1].ran().len(),
        before,
        "a removed node gets no requests"
    );
    assert!(
        !router.lines().iter().any(|l| l.contains("stays as it is")),
        "{:?}",
        router.lines()
    );
}

/// Sends enough requests that each node in use gets some. Asserts that this node, whose removal or draining the router has
/// applied, gets none.
fn assert_gets_no_requests(router: &Process, node: &Node) {
    let mut client = RequestClient::new(router.listen());
    let before = node.ran().len();
    for n in 0..40 {
        assert_eq!(
            ask(&mut client, &format!("f{n:04x}"), "look"),
            RequestOutcome::Served
        );
    }
    assert_eq!(
        node.ran().len(),
        before,
        "a draining or removed node gets no new requests"
    );
}

#[test]
fn a_new_process_calls_discovery_at_once_and_applies_its_list() {
    // A router is expected to know the agent's list from its start, whatever the remembered list says.
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    for pushed in [false, true] {
        let agent = Agent::start(vec![AgentReply::Body(listing(
            42,
            &with_status(&entries, 2, "left"),
        ))])
        .expect("an agent");
        let name = format!("standing-new-{pushed}");
        let started_at = Instant::now();
        let (router, _folder) = Start {
            pushed,
            ..Start::with_agent(&name, &agent, &entries)
        }
        .run();
        assert!(
            agent.wait_for_calls(2, TEST_TIMEOUT),
            "{:?}",
            router.lines()
        );
        let first_call_after = agent.times()[0].0 - started_at;
        assert!(
            first_call_after < Duration::from_secs(2),
            "the first call came {first_call_after:?} after the start"
        );
        assert_gets_no_requests(&router, &nodes[2]);
    }
}

#[test]
fn a_change_while_no_watch_was_open_is_requested_at_once() {
    // With pushed lists, a router is expected to know a change at once, even if no watch was open.
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    for pushed in [false, true] {
        let agent = Agent::start(vec![
            AgentReply::Body(listing(42, &entries)),
            AgentReply::Close,
        ])
        .expect("an agent");
        agent.push_reply(AgentReply::Body(listing(
            43,
            &with_status(&entries, 2, "leaving"),
        )));
        let name = format!("standing-outage-{pushed}");
        let (router, _folder) = Start {
            pushed,
            ..Start::with_agent(&name, &agent, &entries)
        }
        .run();
        assert!(
            agent.wait_for_calls(4, TEST_TIMEOUT),
            "{:?}",
            router.lines()
        );
        let times = agent.times();
        let pause = times[2].0 - times[1].1.expect("it closed");
        assert!(
            pause < Duration::from_millis(1_300),
            "the next call came after {pause:?}"
        );
        assert_gets_no_requests(&router, &nodes[2]);
    }
}

#[test]
fn the_list_of_a_new_agent_is_applied_within_four_seconds() {
    let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
    let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
    // The new agent counts its versions from a lower number.
    let next = Agent::start(vec![AgentReply::Body(listing(
        3,
        &with_status(&entries, 2, "leaving"),
    ))])
    .expect("an agent");
    let start = Start::with_agent("standing-moved", &agent, &entries);
    let (mut router, folder) = start.run();
    assert!(
        agent.wait_for_calls(2, TEST_TIMEOUT),
        "{:?}",
        router.lines()
    );
    folder
        .write("config.json", &start.config(&next.address().to_string()))
        .expect("a file");
    let reloaded_at = Instant::now();
    router.send_signal(ProcessSignal::Reload);
    assert!(next.wait_for_calls(2, TEST_TIMEOUT), "{:?}", router.lines());
    let applied_at = next.times()[1].0;
    assert!(
        applied_at - reloaded_at < Duration::from_secs(4),
        "applied after {:?}",
        applied_at - reloaded_at
    );
    assert_gets_no_requests(&router, &nodes[2]);
}
