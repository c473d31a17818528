//! A router whose file descriptors are all used by idle clients, and one to which many clients connect, while discovery is
//! unavailable. The system enforces the descriptor limit, so that a descriptor more than the router has planned for causes a
//! failed call.

#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::{RequestClient, RequestOutcome};
use serde_json::Value;
use standing_fleet::{Start, TEST_TIMEOUT, ask, group, listing, with_status};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Minimum number of descriptors that a router works with.
const DESCRIPTORS: u32 = 64;
/// Time that operators allow a restarted router until it is ready.
const MAX_STARTUP_TIME: Duration = Duration::from_secs(10);
/// Time after which a change must be known to routers, once discovery knows it and can be reached.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);

/// Starts a router under a descriptor limit that the system enforces.
fn start_limited_router(name: &str, agent: &Agent, entries: &[Value]) -> (Process, Folder) {
    let start = Start {
        sockets: DESCRIPTORS,
        ..Start::with_agent(name, agent, entries)
    };
    let folder = Folder::new(name).expect("a folder");
    let file = folder
        .write("config.json", &start.config(&start.agent))
        .expect("a file");
    let command = format!("ulimit -n {DESCRIPTORS} && exec \"$0\"");
    let program = env!("CARGO_BIN_EXE_plovercove");
    let router = Process::start(Path::new("/bin/sh"), &file, |c| {
        c.args(["-c", command.as_str(), program])
    });
    (router.expect("the router starts"), folder)
}

fn start_nodes() -> (Vec<Node>, Vec<Value>) {
    group([NodeBehavior::Healthy; 3])
}

/// Logs in and sends an empty query. Returns false if the router rejects the connection.
fn is_ready(to: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(to).expect("it listens");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stream
        .write_all(b"\0\0\0\x11\0\x03\0\0user\0me\0\0Q\0\0\0\x05\0")
        .expect("it reads");
    let mut received = Vec::new();
    let mut buffer = [0; 512];
    // Either EmptyQueryResponse arrives, or an error and the close.
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return false,
            Ok(count) => received.extend_from_slice(&buffer[..count]),
        }
        if received.windows(5).any(|bytes| bytes == b"I\0\0\0\x04") {
            return true;
        }
    }
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_nodes_and_new_clients() {
    // If discovery found no free descriptor after its return, the endpoint list would become outdated, and requests would be
    // sent to nodes that are leaving.
    let (nodes, entries) = start_nodes();
    let agent = Agent::start(vec![
        AgentReply::Body(listing(42, &entries)),
        AgentReply::Close,
        AgentReply::Close,
    ])
    .expect("an agent");
    let (router, _folder) = start_limited_router("full-resting", &agent, &entries);
    let listen = router.listen();
    assert!(
        agent.wait_for_calls(2, TEST_TIMEOUT),
        "the list is followed"
    );
    // More clients than descriptors connect; each is served and then stays idle.
    let mut idle_clients: Vec<RequestClient> = Vec::new();
    for n in 0..2 * DESCRIPTORS {
        let mut client = RequestClient::new(listen);
        assert_eq!(
            ask(&mut client, &format!("a{n:x}"), "look"),
            RequestOutcome::Served,
            "client {n}: {:?}",
            router.lines()
        );
        idle_clients.push(client);
    }
    // Discovery returns, and reports a node that is leaving.
    let calls = agent.calls().len();
    agent.push_reply(AgentReply::Body(listing(
        90,
        &with_status(&entries, 2, "leaving"),
    )));
    let returned_at = Instant::now();
    let list_is_followed = |agent: &Agent| {
        agent.calls()[calls.saturating_sub(1)..]
            .iter()
            .any(|c| c.contains("after=90"))
    };
    while !list_is_followed(&agent) {
        assert!(
            returned_at.elapsed() < MAX_DISCOVERY_DELAY,
            "{:?}: {:?}",
            agent.calls(),
            router.lines()
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    let count_before = nodes[2].ran().len();
    for n in 0..8 {
        assert_eq!(
            ask(&mut RequestClient::new(listen), &format!("b{n:x}"), "look"),
            RequestOutcome::Served,
            "newcomer {n}"
        );
    }
    assert_eq!(nodes[2].ran().len(), count_before, "the list is followed");
    assert_no_descriptor_shortage(&router);
}

/// Asserts that nothing failed for lack of a descriptor.
fn assert_no_descriptor_shortage(router: &Process) {
    let failed = |line: &String| line.contains("cannot accept") || line.contains("can be begun");
    let failed: Vec<String> = router.lines().into_iter().filter(failed).collect();
    assert!(failed.is_empty(), "{failed:?}");
}

#[test]
fn with_all_slots_in_use_descriptors_are_left_for_discovery_and_rejected_clients() {
    // If the router planned with too few descriptors, none would be left for the connection to the agent or for accepting a
    // client, and changes of the list would be missed. The primary does not answer writes before they time out, so that each
    // uses a descriptor on both sides. Three times as many clients as there are slots connect again and again.
    let (_nodes, entries) = group([
        NodeBehavior::HangOnStatement,
        NodeBehavior::Healthy,
        NodeBehavior::Healthy,
    ]);
    let agent = Agent::start(vec![
        AgentReply::Body(listing(42, &entries)),
        AgentReply::Close,
        AgentReply::Close,
    ])
    .expect("an agent");
    let (router, _folder) = start_limited_router("full-held", &agent, &entries);
    let listen = router.listen();
    assert!(
        agent.wait_for_calls(2, TEST_TIMEOUT),
        "the list is followed"
    );
    let is_over = AtomicBool::new(false);
    let rejected_count = AtomicUsize::new(0);
    std::thread::scope(|scope| {
        for n in 0..DESCRIPTORS {
            let (is_over, rejected_count) = (&is_over, &rejected_count);
            scope.spawn(move || {
                for attempt in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let fate = ask(
                        &mut RequestClient::new(listen),
                        &format!("c{n:02x}{attempt:x}"),
                        "book",
                    );
                    rejected_count.fetch_add(
                        usize::from(fate == RequestOutcome::Refused),
                        Ordering::Relaxed,
                    );
                }
            });
        }
        let deadline = Instant::now() + TEST_TIMEOUT;
        while rejected_count.load(Ordering::Relaxed) == 0 && Instant::now() < deadline {
            std::thread::sleep(Duration::from_millis(5));
        }
        let calls = agent.calls().len();
        agent.push_reply(AgentReply::Body(listing(
            90,
            &with_status(&entries, 2, "leaving"),
        )));
        let returned_at = Instant::now();
        let list_is_followed = || {
            agent.calls()[calls - 1..]
                .iter()
                .any(|c| c.contains("after=90"))
        };
        while !list_is_followed() && returned_at.elapsed() < MAX_DISCOVERY_DELAY {
            std::thread::sleep(Duration::from_millis(5));
        }
        let is_followed = list_is_followed();
        is_over.store(true, Ordering::Relaxed);
        assert!(is_followed, "{:?}: {:?}", agent.calls(), router.lines());
    });
    assert!(
        rejected_count.load(Ordering::Relaxed) > 0,
        "all slots were in use"
    );
    assert_no_descriptor_shortage(&router);
}

#[test]
fn a_restarted_router_becomes_ready_without_discovery_while_many_clients_connect() {
    // The operators' load balancer uses only routers that have answered an empty query.
    let (_nodes, entries) = start_nodes();
    let agent = Agent::start(vec![AgentReply::Silence; 8]).expect("an agent");
    let (router, _folder) = start_limited_router("full-crowd", &agent, &entries);
    let started_at = Instant::now();
    let silent: Vec<TcpStream> = (0..200)
        .map(|_| TcpStream::connect(router.listen()).expect("it listens"))
        .collect();
    // A rejected client tries again, as the operators' load balancer does.
    while !is_ready(router.listen()) {
        assert!(
            started_at.elapsed() < MAX_STARTUP_TIME,
            "{:?}",
            router.lines()
        );
    }
    assert!(
        started_at.elapsed() < MAX_STARTUP_TIME,
        "ready after {:?}",
        started_at.elapsed()
    );
    assert_eq!(
        ask(&mut RequestClient::new(router.listen()), "c1", "look"),
        RequestOutcome::Served
    );
    drop(silent);
}
