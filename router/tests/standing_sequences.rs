//! The watch of the endpoint list through sequences of faults, with the router as a process: the agent falls silent before
//! db nodes drain, resets the watch, is down and returns, or is replaced by a new configuration. Each sequence runs with
//! polled and with pushed lists, while a client sends requests all the time.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use plovercove_emulator::{RequestClient, RequestOutcome};
use serde_json::Value;
use standing_fleet::{DRAIN_GRACE_US, Start, TEST_TIMEOUT, ask, group, listing, with_status};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// With polled lists, the time within which the router must apply a change, after discovery has it and can be reached.
const POLLED_LIST_BOUND: Duration = Duration::from_secs(6);
/// The time after SIGHUP within which the router must apply the list of a new agent.
const NEW_AGENT_BOUND: Duration = Duration::from_secs(4);
/// Interval between two requests of the client, and between two checks of a polled condition.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);
/// Number of requests that are sent after the router has applied the list.
const REQUESTS_AFTER_LIST: usize = 40;

/// A client that sends requests all the time.
struct RequestLoop {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(String, Instant, RequestOutcome)>>,
}

impl RequestLoop {
    fn start(router: &Process) -> Self {
        let (stop, listen) = (Arc::new(AtomicBool::new(false)), router.listen());
        let is_stopping = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let (mut client, mut sent, mut remaining) =
                (RequestClient::new(listen), Vec::new(), REQUESTS_AFTER_LIST);
            while remaining > 0 {
                remaining -= usize::from(is_stopping.load(Ordering::SeqCst));
                let (id, sent_at) = (format!("a{:06x}", sent.len()), Instant::now());
                let outcome = ask(&mut client, &id, "look");
                sent.push((id, sent_at, outcome));
                std::thread::sleep(REQUEST_INTERVAL);
            }
            sent
        });
        RequestLoop { stop, thread }
    }

    /// Sends some more requests and ends. Asserts that no request ran at this node that was sent after the router had applied
    /// the list, and that all requests were served.
    fn finish(self, node: &Node, applied_at: Instant) {
        self.stop.store(true, Ordering::SeqCst);
        let sent = self.thread.join().expect("a client");
        let ran = node.ran();
        let late = sent
            .iter()
            .filter(|(id, sent_at, _)| *sent_at > applied_at && ran.contains_key(id))
            .count();
        let served = sent
            .iter()
            .filter(|(_, _, outcome)| *outcome == RequestOutcome::Served)
            .count();
        let after = sent
            .iter()
            .filter(|(_, sent_at, _)| *sent_at > applied_at)
            .count();
        println!(
            "{} sent, {served} served, {after} after the list, {} at the node",
            sent.len(),
            ran.len()
        );
        assert!(
            after >= REQUESTS_AFTER_LIST && !ran.is_empty(),
            "requests were sent after the list, and earlier ones reached the node"
        );
        assert_eq!(
            late, 0,
            "of {after} requests after the list, these reached the draining node"
        );
        assert_eq!(served, sent.len(), "the other nodes serve all requests");
    }
}

/// A router with an open watch, and a client that sends requests.
struct Scene {
    router: Process,
    folder: Folder,
    agent: Agent,
    nodes: Vec<Node>,
    entries: Vec<Value>,
    requests: RequestLoop,
    pushed: bool,
}

impl Scene {
    fn new(name: &str, pushed: bool) -> Self {
        let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
        let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
        let start = Start {
            pushed,
            ..Start::with_agent(name, &agent, &entries)
        };
        let folder = Folder::new(name).expect("a folder");
        let file = folder
            .write("config.json", &start.config(&start.agent))
            .expect("a file");
        let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
        let router = Process::start(program, &file, |command| command.env("PROXY_LOG", "debug"));
        let router = router.expect("the router starts");
        let requests = RequestLoop::start(&router);
        let scene = Scene {
            router,
            folder,
            agent,
            nodes,
            entries,
            requests,
            pushed,
        };
        scene.called(2);
        let draining_node = &scene.nodes[2];
        wait_until("the node that will drain gets a request", || {
            !draining_node.ran().is_empty()
        });
        scene
    }

    fn called(&self, times: usize) {
        let called = self.agent.wait_for_calls(times, TEST_TIMEOUT);
        assert!(
            called,
            "{:?}: {:?}",
            self.agent.calls(),
            self.router.since(0).last()
        );
    }

    /// Returns a list of this version in which the last node is leaving.
    fn leaving(&self, index: u64) -> String {
        listing(index, &with_status(&self.entries, 2, "leaving"))
    }

    /// Asserts that the router applies the list within the bound after the agent had it and could be reached, and that it
    /// sends no requests to the draining node from then on.
    fn assert_applied(self, available_at: Instant) {
        let applied_at = self.applied_at(&self.agent, 90);
        // With pushed lists, the bound is the grace period of draining nodes.
        let within = if self.pushed {
            Duration::from_micros(DRAIN_GRACE_US)
        } else {
            POLLED_LIST_BOUND
        };
        println!(
            "applied after {:?} of {within:?}",
            applied_at - available_at
        );
        assert!(
            applied_at - available_at < within,
            "{:?}: {:?}",
            applied_at - available_at,
            self.agent.calls()
        );
        self.requests.finish(&self.nodes[2], applied_at);
    }

    /// Waits until the router requests the changes after this version, which shows that it has applied the version. Returns
    /// the time of that call.
    fn applied_at(&self, agent: &Agent, index: u64) -> Instant {
        let after = format!("after={index}&");
        let call_index = || agent.calls().iter().position(|call| call.contains(&after));
        wait_until("the list is applied", || call_index().is_some());
        agent.times()[call_index().expect("just seen")].0
    }
}

fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < until, "timed out: {condition}");
        std::thread::sleep(REQUEST_INTERVAL);
    }
}

/// The open watch falls silent, and right after that a db node begins to drain.
fn run_silent_watch(name: &str, pushed: bool) {
    let scene = Scene::new(name, pushed);
    scene.agent.push_reply(AgentReply::Silence);
    wait_until("the watch falls silent", || {
        scene.agent.times()[1].1.is_some()
    });
    let available_at = Instant::now();
    scene.agent.push_reply(AgentReply::Body(scene.leaving(90)));
    scene.assert_applied(available_at);
}

#[test]
fn a_watch_that_falls_silent_right_before_nodes_drain_with_polled_lists() {
    run_silent_watch("sequence-silent-asked", false);
}

#[test]
fn a_watch_that_falls_silent_right_before_nodes_drain_with_pushed_lists() {
    run_silent_watch("sequence-silent-pushed", true);
}

/// The open watch is reset. The next call is answered without a length and reset within the answer. The draining list comes
/// after that.
fn run_reset_watch(name: &str, pushed: bool) {
    let scene = Scene::new(name, pushed);
    scene.agent.push_reply(AgentReply::Reset);
    scene.called(3);
    let available_at = Instant::now();
    scene
        .agent
        .push_reply(AgentReply::BodyThenReset(scene.leaving(60)));
    scene.called(4);
    assert!(
        !scene.agent.calls()[3].contains("after=60"),
        "an answer that ends in a reset is not complete: {:?}",
        scene.agent.calls()
    );
    scene.agent.push_reply(AgentReply::Body(scene.leaving(90)));
    scene.assert_applied(available_at);
}

#[test]
fn a_watch_that_is_reset_before_nodes_drain_with_polled_lists() {
    run_reset_watch("sequence-reset-asked", false);
}

#[test]
fn a_watch_that_is_reset_before_nodes_drain_with_pushed_lists() {
    run_reset_watch("sequence-reset-pushed", true);
}

/// Discovery is down and resets connections, until some calls of the router have failed. A node drains as discovery returns,
/// and another one by the list of a new agent after a reload.
fn run_discovery_down(name: &str, pushed: bool) {
    let mut scene = Scene::new(name, pushed);
    scene.agent.go_down();
    let failed_calls = |router: &Process| {
        router
            .lines()
            .iter()
            .filter(|line| line.contains("a call of discovery failed"))
            .count()
    };
    wait_until("calls fail", || failed_calls(&scene.router) >= 4);
    scene.agent.push_reply(AgentReply::Body(scene.leaving(90)));
    scene.agent.come_back();
    let available_at = Instant::now();
    let applied_at = scene.applied_at(&scene.agent, 90);
    let within = if pushed {
        Duration::from_micros(DRAIN_GRACE_US)
    } else {
        POLLED_LIST_BOUND
    };
    println!(
        "applied after {:?} of {within:?}",
        applied_at - available_at
    );
    assert!(
        applied_at - available_at < within,
        "{:?}: {:?}",
        applied_at - available_at,
        scene.agent.calls()
    );
    wait_until("the node that will drain gets a request", || {
        !scene.nodes[1].ran().is_empty()
    });
    // The new agent counts its versions from a lower number.
    let second_list = listing(
        7,
        &with_status(&with_status(&scene.entries, 2, "left"), 1, "leaving"),
    );
    let next = Agent::start(vec![AgentReply::Body(second_list)]).expect("an agent");
    let start = Start {
        pushed,
        ..Start::with_agent(name, &scene.agent, &scene.entries)
    };
    scene
        .folder
        .write("config.json", &start.config(&next.address().to_string()))
        .expect("a file");
    let reloaded_at = Instant::now();
    scene.router.send_signal(ProcessSignal::Reload);
    let moved_at = scene.applied_at(&next, 7);
    println!(
        "applied after {:?} of {NEW_AGENT_BOUND:?}",
        moved_at - reloaded_at
    );
    assert!(
        moved_at - reloaded_at < NEW_AGENT_BOUND,
        "{:?}",
        next.calls()
    );
    scene.requests.finish(&scene.nodes[1], moved_at);
}

#[test]
fn nodes_that_drain_as_discovery_returns_and_after_a_new_agent_with_polled_lists() {
    run_discovery_down("sequence-down-asked", false);
}

#[test]
fn nodes_that_drain_as_discovery_returns_and_after_a_new_agent_with_pushed_lists() {
    run_discovery_down("sequence-down-pushed", true);
}
