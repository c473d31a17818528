//! What reaches db nodes, and what must not: the first byte of a request is held back by the test until the crossing that it
//! names has come about.

#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use plovercove_emulator::{RequestClient, RequestOutcome, manual_node};
use serde_json::Value;
use standing_fleet::{HANGS, Start, ask, group, listing, with_status};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Between two looks at what tells nobody of itself.
const LOOKS: Duration = Duration::from_millis(2);

/// A router before a primary that waits to be told, and two replicas that serve.
struct Scene {
    router: Process,
    agent: Agent,
    primary: manual_node::Node,
    entries: Vec<Value>,
    others: Vec<Node>,
    _folder: Folder,
}

fn at(entries: &[Value], node: usize, address: SocketAddr) -> Vec<Value> {
    let mut changed = entries.to_vec();
    changed[node]["address"] = address.to_string().into();
    changed
}

impl Scene {
    fn new(name: &str) -> Self {
        Scene::holding(name, 0, |config| config)
    }

    /// The same, but this node is the one that waits to be told, and the configuration says something else, too.
    fn holding(name: &str, held: usize, other: impl Fn(String) -> String) -> Self {
        let (others, entries) = group([NodeBehavior::Healthy; 3]);
        let primary = manual_node::Node::start(HANGS).expect("a node");
        let entries = at(&entries, held, primary.address().expect("bound"));
        // Where a replica is held there is no other.
        let entries = if held == 0 {
            entries
        } else {
            entries[..2].to_vec()
        };
        let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
        let start = Start::before(name, &agent, &entries);
        // A connection that is held back here is no slow one.
        let config = start
            .config(&start.agent)
            .replace("\"DialTimeout\":250000", "\"DialTimeout\":30000000");
        assert!(config.contains("30000000"), "{config}");
        let folder = Folder::new(name).expect("a folder");
        let file = folder.write("config.json", &other(config)).expect("a file");
        let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
        let router = Process::start(program, &file, |command| command.env("PROXY_LOG", "debug"))
            .expect("the router starts");
        assert!(agent.wait_for_calls(2, HANGS), "the list is followed");
        Scene {
            router,
            agent,
            primary,
            entries,
            others,
            _folder: folder,
        }
    }

    /// A client that asks for one write; its connection to the primary is up, and has not been greeted.
    fn writing(&self, id: &str) -> (JoinHandle<RequestOutcome>, manual_node::Link) {
        let client = self.asks(id);
        (
            client,
            self.primary.accept(HANGS).expect("the write's connection"),
        )
    }

    fn asks(&self, id: &str) -> JoinHandle<RequestOutcome> {
        let (listen, id) = (self.router.listen(), id.to_string());
        std::thread::spawn(move || ask(&mut RequestClient::new(listen), &id, "book"))
    }

    /// The agent tells this list, and the router has taken it in.
    fn told(&self, index: u64, entries: &[Value]) {
        let calls = self.agent.calls().len();
        self.agent
            .push_reply(AgentReply::Body(listing(index, entries)));
        assert!(
            self.agent.wait_for_calls(calls + 1, HANGS),
            "{:?}",
            self.router.lines()
        );
    }

    /// Stops the router while it waits, and returns once it stands still. Stopped amid a turn it would go on with what was
    /// ready then, and read the list in the next one.
    fn stop(&mut self) {
        self.comes_to('S');
        self.router.send_signal(ProcessSignal::Stop);
        self.comes_to('T');
    }

    /// The router is stopped, and what it reads first when it goes on is that this node is leaving.
    fn crosses(&mut self, node: usize) {
        self.stop();
        let call = self.agent.calls().len() - 1;
        // Whole, in one write: the system would hold back what follows the head of two.
        self.agent.push_reply(AgentReply::FirstBytes(
            listing(43, &with_status(&self.entries, node, "leaving")),
            usize::MAX,
        ));
        let until = Instant::now() + HANGS;
        while self.agent.times()[call].1.is_none() {
            assert!(Instant::now() < until, "the agent has not said it");
            std::thread::sleep(LOOKS);
        }
    }

    /// Waits for this state of the router's process, as the system names it.
    fn comes_to(&self, state: char) {
        let until = Instant::now() + HANGS;
        let stat = format!("/proc/{}/stat", self.router.id());
        let now = || {
            let stat = std::fs::read_to_string(&stat).expect("it runs");
            stat.rsplit(") ")
                .next()
                .and_then(|rest| rest.chars().next())
        };
        while now() != Some(state) {
            assert!(Instant::now() < until, "it does not come to {state}");
            std::thread::sleep(LOOKS);
        }
    }
}

#[test]
fn a_connection_that_comes_up_in_the_turn_that_tells_of_the_leaving_carries_nothing() {
    // Danger: the module hears a list at the end of the turn, and what came up before then went by the old one.
    let mut scene = Scene::new("nodes-leaving");
    let (client, mut link) = scene.writing("a1");
    scene.crosses(0);
    link.greet("primary").expect("the router is there");
    scene.router.send_signal(ProcessSignal::Continue);
    client.join().expect("a client");
    assert_eq!(
        link.pending_statement().expect("a socket"),
        None,
        "it was told of the leaving before the first byte: {:#?}",
        scene.router.lines()
    );
}

#[test]
fn a_probe_whose_connection_comes_up_in_the_turn_that_tells_of_the_leaving_is_not_asked() {
    // Reads need fresh data here, and the replica is asked for its position before it may have one. There is no other.
    let bounded = |config: String| {
        config
            .replace("\"loose\"", "\"recent\"")
            .replace("\"MaxAge\":[0,0]", "\"MaxAge\":[1000000,0]")
    };
    let mut scene = Scene::holding("nodes-probe", 1, bounded);
    let listen = scene.router.listen();
    let asks = |id: &'static str| {
        std::thread::spawn(move || ask(&mut RequestClient::new(listen), id, "look"))
    };
    let client = asks("a1");
    let mut link = scene.primary.accept(HANGS).expect("the probe's connection");
    scene.crosses(1);
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
fn who_has_gone_before_the_connection_comes_up_is_not_sent_on() {
    let scene = Scene::new("nodes-gone");
    let mut client = TcpStream::connect(scene.router.listen()).expect("it listens");
    let text = standing_fleet::statement("a1", "book");
    let length = (text.len() as u32 + 5).to_be_bytes();
    let asks = [
        b"\0\0\0\x11\0\x03\0\0user\0me\0\0Q",
        &length[..],
        text.as_bytes(),
        b"\0",
    ]
    .concat();
    client.write_all(&asks).expect("it reads");
    let mut link = scene.primary.accept(HANGS).expect("the write's connection");
    drop(client);
    // What is asked after it has gone is taken on after it has.
    assert_eq!(
        ask(&mut RequestClient::new(scene.router.listen()), "a2", "look"),
        RequestOutcome::Served
    );
    link.greet("primary").expect("the router is there");
    let next = scene.asks("a3");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a3")
    );
    link.answer("a3").expect("the router is there");
    assert_eq!(next.join().expect("a client"), RequestOutcome::Served);
}

#[test]
fn what_waits_for_a_node_that_moves_goes_to_where_it_is_now() {
    // Danger: by then another node may have the address.
    let scene = Scene::new("nodes-moved-coming");
    let (client, mut link) = scene.writing("a1");
    let moved = manual_node::Node::start(HANGS).expect("a node");
    scene.told(43, &at(&scene.entries, 0, moved.address().expect("bound")));
    // The router may have closed it by now.
    let _ = link.greet("primary");
    let mut there = moved.accept(HANGS).expect("the write's connection");
    there.greet("primary").expect("the router is there");
    assert_eq!(
        there.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    there.answer("a1").expect("the router is there");
    assert_eq!(client.join().expect("a client"), RequestOutcome::Served);
    assert_eq!(link.statement().expect("closed"), None);
}

#[test]
fn a_connection_at_work_where_its_node_was_is_closed_after_it() {
    let scene = Scene::new("nodes-moved-busy");
    let (client, mut link) = scene.writing("a1");
    link.greet("primary").expect("the router is there");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    let moved = manual_node::Node::start(HANGS).expect("a node");
    scene.told(43, &at(&scene.entries, 0, moved.address().expect("bound")));
    link.answer("a1").expect("the router is there");
    assert_eq!(client.join().expect("a client"), RequestOutcome::Served);
    let next = scene.asks("a2");
    assert_eq!(
        link.statement().expect("closed"),
        None,
        "it carries nothing more"
    );
    let mut there = moved.accept(HANGS).expect("the write's connection");
    there.greet("primary").expect("the router is there");
    assert_eq!(
        there.statement().expect("a statement").as_deref(),
        Some("a2")
    );
    there.answer("a2").expect("the router is there");
    assert_eq!(next.join().expect("a client"), RequestOutcome::Served);
}

/// The primary answers a write so; its client is told in time that nothing is promised, the connection ends, and the next
/// write is served on another.
fn odd(name: &str, answer: impl FnOnce(manual_node::Link) -> Option<manual_node::Link>) {
    let scene = Scene::new(name);
    let (client, mut link) = scene.writing("a1");
    link.greet("primary").expect("the router is there");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a1")
    );
    let link = answer(link);
    assert_eq!(client.join().expect("a client"), RequestOutcome::Failed);
    let next = scene.asks("a2");
    let mut other = scene
        .primary
        .accept(HANGS)
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

/// An error that blames the node.
const ERROR: &[u8] = b"E\0\0\0\x17SERROR\0CXX000\0Mno\0\0";
/// A notice of one field.
const NOTICE: &[u8] = b"N\0\0\0\x09Mno\0\0";

/// Says this and then nothing.
fn says(mut link: manual_node::Link, bytes: &[u8]) -> Option<manual_node::Link> {
    link.send(bytes).expect("the router is there");
    Some(link)
}

#[test]
fn an_error_and_then_silence_is_waited_for_no_longer_than_its_attempt() {
    odd("nodes-error", |link| says(link, ERROR));
}

#[test]
fn half_a_message_and_then_silence_is_waited_for_no_longer_than_its_attempt() {
    odd("nodes-half", |link| says(link, &ERROR[..9]));
}

#[test]
fn an_answer_that_never_ends_is_read_no_longer_than_its_attempt() {
    // Danger: each message is a sign of life, and none of them an answer.
    odd("nodes-endless", |mut link| {
        while link.send(NOTICE).is_ok() {}
        Some(link)
    });
}

#[test]
fn a_reset_after_the_last_byte_is_an_outcome_that_nobody_knows() {
    odd("nodes-reset", |link| {
        link.reset().expect("a socket");
        None
    });
}

#[test]
fn a_class_or_a_tenant_that_the_settings_lack_and_an_id_used_again_go_nowhere() {
    let scene = Scene::new("nodes-unknown");
    let mut client = RequestClient::new(scene.router.listen());
    let patience = Duration::from_millis(standing_fleet::PATIENCE);
    let known = standing_fleet::statement;
    assert_eq!(ask(&mut client, "a1", "look"), RequestOutcome::Served);
    let reads = || scene.others.iter().flat_map(|node| node.ran()).count();
    let before = reads();
    for (id, statement) in [
        ("b1", known("b1", "none")),
        ("b2", known("b2", "book").replace("t=acme", "t=nobody")),
        ("b3", known("b3", "look").replace("t=acme", "t=nobody")),
        ("b4", known("b4", "LOOK")),
        ("a1", known("a1", "look")),
        ("a1", known("a1", "book")),
    ] {
        assert_eq!(
            client.ask(&statement, id, patience),
            RequestOutcome::Failed,
            "{statement}"
        );
    }
    assert_eq!(reads(), before);
    let write = scene.asks("a2");
    let mut link = scene.primary.accept(HANGS).expect("the write's connection");
    link.greet("primary").expect("the router is there");
    assert_eq!(
        link.statement().expect("a statement").as_deref(),
        Some("a2"),
        "the first that came"
    );
    link.answer("a2").expect("the router is there");
    assert_eq!(write.join().expect("a client"), RequestOutcome::Served);
}
