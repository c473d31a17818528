//! Which requests reach db nodes, with the router as a process. The nodes hold their login answers back, so that no request
//! can be sent before the race that the test is named after has been set up.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use plovercove_emulator::{RequestClient, RequestOutcome, manual_node};
use serde_json::Value;
use standing_fleet::{Start, TEST_TIMEOUT, ask, group, listing, with_status};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval between two checks of a polled condition.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A router with a primary that acts only when the test says so, and two replicas that serve.
struct Scene {
    router: Process,
    agent: Agent,
    primary: manual_node::Node,
    entries: Vec<Value>,
    others: Vec<Node>,
    _folder: Folder,
}

/// Returns a copy of the list with this address for one node.
fn with_address(entries: &[Value], node: usize, address: SocketAddr) -> Vec<Value> {
    let mut changed = entries.to_vec();
    changed[node]["address"] = address.to_string().into();
    changed
}

impl Scene {
    fn new(name: &str) -> Self {
        Scene::with_scripted_node(name, 0, |config| config)
    }

    /// Starts a scene in which this node is the scripted one, with a changed configuration. A scripted replica is the only
    /// replica.
    fn with_scripted_node(
        name: &str,
        scripted: usize,
        change_config: impl Fn(String) -> String,
    ) -> Self {
        let (others, entries) = group([NodeBehavior::Healthy; 3]);
        let primary = manual_node::Node::start(TEST_TIMEOUT).expect("a node");
        let entries = with_address(&entries, scripted, primary.address().expect("bound"));
        let entries = if scripted == 0 {
            entries
        } else {
            entries[..2].to_vec()
        };
        let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
        let start = Start::with_agent(name, &agent, &entries);
        // A long connection timeout, since the test delays logins.
        let config = start
            .config(&start.agent)
            .replace("\"DialTimeout\":250000", "\"DialTimeout\":30000000");
        assert!(config.contains("30000000"), "{config}");
        let folder = Folder::new(name).expect("a folder");
        let file = folder
            .write("config.json", &change_config(config))
            .expect("a file");
        let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
        let router = Process::start(program, &file, |command| command.env("PROXY_LOG", "debug"))
            .expect("the router starts");
        assert!(agent.wait_for_calls(2, TEST_TIMEOUT), "the list is applied");
        Scene {
            router,
            agent,
            primary,
            entries,
            others,
            _folder: folder,
        }
    }

    /// Starts a client that sends a write, and accepts its connection at the primary without answering the login.
    fn start_write(&self, id: &str) -> (JoinHandle<RequestOutcome>, manual_node::Link) {
        let client = self.start_client(id);
        (
            client,
            self.primary
                .accept(TEST_TIMEOUT)
                .expect("the write's connection"),
        )
    }

    /// Starts a client that sends a write.
    fn start_client(&self, id: &str) -> JoinHandle<RequestOutcome> {
        let (listen, id) = (self.router.listen(), id.to_string());
        std::thread::spawn(move || ask(&mut RequestClient::new(listen), &id, "book"))
    }

    /// Sends a list and waits until the router has applied it.
    fn send_list(&self, index: u64, entries: &[Value]) {
        let calls = self.agent.calls().len();
        self.agent
            .push_reply(AgentReply::Body(listing(index, entries)));
        assert!(
            self.agent.wait_for_calls(calls + 1, TEST_TIMEOUT),
            "{:?}",
            self.router.lines()
        );
    }

    /// Stops the router's process while it waits for events. If it were stopped within a turn, it would complete that turn
    /// after the stop, and read the list only in the next one.
    fn stop(&mut self) {
        self.wait_for_process_state('S');
        self.router.send_signal(ProcessSignal::Stop);
        self.wait_for_process_state('T');
    }

    /// Stops the router's process and sends a list in which this node is leaving. The router reads the list first when it
    /// continues.
    fn stop_and_drain(&mut self, node: usize) {
        self.stop();
        let call = self.agent.calls().len() - 1;
        // The answer is sent in one write; the system would delay the second of two.
        self.agent.push_reply(AgentReply::FirstBytes(
            listing(43, &with_status(&self.entries, node, "leaving")),
            usize::MAX,
        ));
        let until = Instant::now() + TEST_TIMEOUT;
        while self.agent.times()[call].1.is_none() {
            assert!(Instant::now() < until, "the agent has not sent the list");
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until the router's process has this state, by its letter in `/proc`.
    fn wait_for_process_state(&self, state: char) {
        let until = Instant::now() + TEST_TIMEOUT;
        let stat = format!("/proc/{}/stat", self.router.id());
        let state_now = || {
            let stat = std::fs::read_to_string(&stat).expect("it runs");
            stat.rsplit(") ")
                .next()
                .and_then(|rest| rest.chars().next())
        };
        while state_now() != Some(state) {
            assert!(
                Instant::now() < until,
                "the process does not reach state {state}"
            );
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

#[test]
fn a_connection_that_is_ready_in_the_turn_of_the_draining_list_is_not_used() {
    // The decision module applies a list at the end of the turn. In an earlier fault, a connection that became ready before
    // that in the same turn was used according to the old list.
    let mut scene = Scene::new("nodes-leaving");
    let (client, mut link) = scene.start_write("a1");
    scene.stop_and_drain(0);
    link.greet("primary").expect("the router is there");
    scene.router.send_signal(ProcessSignal::Continue);
    client.join().expect("a client");
    assert_eq!(
        link.pending_statement().expect("a socket"),
        None,
        "the router read the list before it could send the first byte: {:#?}",
        scene.router.lines()
    );
}

#[test]
fn a_position_check_is_not_sent_in_the_turn_of_the_draining_list() {
    // Reads need fresh data here, so the only replica must answer a position check before it may serve one.
    let bounded = |config: String| {
        config
            .replace("\"loose\"", "\"recent\"")
            .replace("\"MaxAge\":[0,0]", "\"MaxAge\":[1000000,0]")
    };
    let mut scene = Scene::with_scripted_node("nodes-probe", 1, bounded);
    let listen = scene.router.listen();
    let start_read = |id: &'static str| {
        std::thread::spawn(move || ask(&mut RequestClient::new(listen), id, "look"))
    };
    let client = start_read("a1");
    let mut link = scene
        .primary
        .accept(TEST_TIMEOUT)
        .expect("the probe's connection");
    scene.stop_and_drain(1);
    link.greet("standby").expect("the router is there");
    scene.router.send_signal(ProcessSignal::Continue);
    assert_eq!(client.join().expect("a client"), RequestOutcome::Served);
    assert_eq!(
        ask(&mut RequestClient::new(listen), "a2", "look"),
        RequestOutcome::Served
    );
    assert_eq!(
        link.pending_statement().expect("a socket"),
        None,
        "{:#?}",
        scene.router.lines()
    );
}

#[test]
fn the_request_of_a_disconnected_client_is_not_sent() {
    let scene = Scene::new("nodes-gone");
    let mut client = TcpStream::connect(scene.router.listen()).expect("it listens");
    let text = standing_fleet::statement("a1", "book");
    let length = (text.len() as u32 + 5).to_be_bytes();
    let startup_and_query = [
        b"\0\0\0\x11\0\x03\0\0user\0me\0\0Q",
        &length[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat();
    client.write_all(&startup_and_query).expect("it reads");
    let mut link = scene
        .primary
        .accept(TEST_TIMEOUT)
        .expect("the write's connection");
    drop(client);
    // The router handles this request after the disconnect, since it was sent later.
    assert_eq!(
        ask(&mut RequestClient::new(scene.router.listen()), "a2", "look"),
        RequestOutcome::Served
    );
    link.greet("primary").expect("the router is there");
    let next = scene.start_client("a3");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a3")
    );
    link.answer("a3").expect("the router is there");
    assert_eq!(next.join().expect("a client"), RequestOutcome::Served);
}

#[test]
fn a_request_that_waits_for_a_moved_node_is_sent_to_its_new_address() {
    // Another node may have the old address by then.
    let scene = Scene::new("nodes-moved-coming");
    let (client, mut link) = scene.start_write("a1");
    let moved = manual_node::Node::start(TEST_TIMEOUT).expect("a node");
    scene.send_list(
        43,
        &with_address(&scene.entries, 0, moved.address().expect("bound")),
    );
    // The router may have closed the connection already.
    let _ = link.greet("primary");
    let mut moved_link = moved.accept(TEST_TIMEOUT).expect("the write's connection");
    moved_link.greet("primary").expect("the router is there");
    assert_eq!(
        moved_link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    moved_link.answer("a1").expect("the router is there");
    assert_eq!(client.join().expect("a client"), RequestOutcome::Served);
    assert_eq!(link.statement().expect("closed"), None);
}

#[test]
fn a_busy_connection_to_the_old_address_of_a_moved_node_is_closed_after_its_job() {
    let scene = Scene::new("nodes-moved-busy");
    let (client, mut link) = scene.start_write("a1");
    link.greet("primary").expect("the router is there");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    let moved = manual_node::Node::start(TEST_TIMEOUT).expect("a node");
    scene.send_list(
        43,
        &with_address(&scene.entries, 0, moved.address().expect("bound")),
    );
    link.answer("a1").expect("the router is there");
    assert_eq!(client.join().expect("a client"), RequestOutcome::Served);
    let next = scene.start_client("a2");
    assert_eq!(
        link.statement().expect("closed"),
        None,
        "it carries nothing more"
    );
    let mut moved_link = moved.accept(TEST_TIMEOUT).expect("the write's connection");
    moved_link.greet("primary").expect("the router is there");
    assert_eq!(
        moved_link.statement().expect("a statement").as_deref(),
        Some("a2")
    );
    moved_link.answer("a2").expect("the router is there");
    assert_eq!(next.join().expect("a client"), RequestOutcome::Served);
}

/// Runs a write that the primary answers in this way. Asserts that its client gets a failure in time, that the connection
/// is closed, and that the next write is served on another connection.
fn check_invalid_answer(
    name: &str,
    answer: impl FnOnce(manual_node::Link) -> Option<manual_node::Link>,
) {
    let scene = Scene::new(name);
    let (client, mut link) = scene.start_write("a1");
    link.greet("primary").expect("the router is there");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    let link = answer(link);
    assert_eq!(client.join().expect("a client"), RequestOutcome::Failed);
    let next = scene.start_client("a2");
    let mut other = scene
        .primary
        .accept(TEST_TIMEOUT)
        .expect("the next write's connection");
    if let Some(mut link) = link {
        assert_eq!(
            link.statement().expect("closed"),
            None,
            "it carries nothing more"
        );
    }
    other.greet("primary").expect("the router is there");
    assert_eq!(
        other.statement().expect("a statement").as_deref(),
        Some("a2")
    );
    other.answer("a2").expect("the router is there");
    assert_eq!(next.join().expect("a client"), RequestOutcome::Served);
}

/// The bytes of an error of the node itself.
const ERROR: &[u8] = b"E\0\0\0\x17SERROR\0CXX000\0Mno\0\0";
/// The bytes of a notice with one field.
const NOTICE: &[u8] = b"N\0\0\0\x09Mno\0\0";

/// Sends these bytes and then nothing.
fn send_only(mut link: manual_node::Link, bytes: &[u8]) -> Option<manual_node::Link> {
    link.send(bytes).expect("the router is there");
    Some(link)
}

#[test]
fn an_error_without_an_end_does_not_extend_its_attempt() {
    check_invalid_answer("nodes-error", |link| send_only(link, ERROR));
}

#[test]
fn half_a_message_does_not_extend_its_attempt() {
    check_invalid_answer("nodes-half", |link| send_only(link, &ERROR[..9]));
}

#[test]
fn an_endless_answer_does_not_extend_its_attempt() {
    // Each message shows that the node is alive, and none of them is an answer.
    check_invalid_answer("nodes-endless", |mut link| {
        while link.send(NOTICE).is_ok() {}
        Some(link)
    });
}

#[test]
fn a_reset_after_the_last_byte_leaves_the_outcome_unknown() {
    check_invalid_answer("nodes-reset", |link| {
        link.reset().expect("a socket");
        None
    });
}

#[test]
fn requests_with_an_unknown_class_or_tenant_or_a_reused_id_are_not_sent() {
    let scene = Scene::new("nodes-unknown");
    let mut client = RequestClient::new(scene.router.listen());
    let timeout = Duration::from_millis(standing_fleet::CLIENT_TIMEOUT_MS);
    let statement_of = standing_fleet::statement;
    assert_eq!(ask(&mut client, "a1", "look"), RequestOutcome::Served);
    let read_count = || scene.others.iter().flat_map(|node| node.ran()).count();
    let before = read_count();
    for (id, statement) in [
        ("b1", statement_of("b1", "none")),
        (
            "b2",
            statement_of("b2", "book").replace("t=acme", "t=nobody"),
        ),
        (
            "b3",
            statement_of("b3", "look").replace("t=acme", "t=nobody"),
        ),
        ("b4", statement_of("b4", "LOOK")),
        ("a1", statement_of("a1", "look")),
        ("a1", statement_of("a1", "book")),
    ] {
        assert_eq!(
            client.ask(&statement, id, timeout),
            RequestOutcome::Failed,
            "{statement}"
        );
    }
    assert_eq!(read_count(), before);
    let write = scene.start_client("a2");
    let mut link = scene
        .primary
        .accept(TEST_TIMEOUT)
        .expect("the write's connection");
    link.greet("primary").expect("the router is there");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a2"),
        "the rejected writes did not reach the node"
    );
    link.answer("a2").expect("the router is there");
    assert_eq!(write.join().expect("a client"), RequestOutcome::Served);
}

/// Answers the router's own queries on a connection until this statement arrives. Returns the last answer on it.
fn answer_until_statement(link: &mut manual_node::Link, id: &str, last_answer: String) -> String {
    let mut last_answer = last_answer;
    for number in 1.. {
        let statement = link.statement().expect("a statement").expect("it is open");
        if statement == id {
            break;
        }
        last_answer = format!("x0={number},x1=1");
        link.answer(&last_answer).expect("the router reads");
    }
    last_answer
}

#[test]
fn a_second_copy_of_an_answer_reaches_no_other_client() {
    // The next booking on the connection was told to be done with the value of the one before.
    let scene = Scene::new("nodes-copy");
    let (first, mut link) = scene.start_write("a1");
    link.greet("primary").expect("the router reads");
    answer_until_statement(&mut link, "a1", String::new());
    link.answer("a1").expect("the router reads");
    assert_eq!(first.join().expect("it asks"), RequestOutcome::Served);
    let second = scene.start_client("b1");
    let copied = answer_until_statement(&mut link, "b1", "a1".into());
    link.answer(&copied).expect("the router reads");
    let confirmation = link.statement().expect("a statement");
    assert_eq!(
        confirmation.as_deref(),
        Some(""),
        "it asks whether that was a copy"
    );
    link.answer("b1").expect("the router reads");
    assert_eq!(second.join().expect("it asks"), RequestOutcome::Served);
}
