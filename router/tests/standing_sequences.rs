//! The watch through the sequences that the short days play, against the real process: a list that goes quiet before db nodes
//! drain, a watch that is reset, discovery that is down and comes back, a new configuration. Each where lists are asked for
//! and where they are pushed, while a client asks all the time.

#[allow(dead_code, reason = "each test of the standing test uses a part of it")]
mod standing_fleet;

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use plovercove_emulator::{RequestClient, RequestOutcome};
use serde_json::Value;
use standing_fleet::{GRACE, HANGS, Start, ask, group, listing, with_status};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Where lists are asked for, a change counts as told so long after discovery had it and could be reached.
const TOLD: Duration = Duration::from_secs(6);
/// After SIGHUP what the new agent has counts as told.
const MOVED: Duration = Duration::from_secs(4);
/// Between two requests of the client.
const PACE: Duration = Duration::from_millis(5);
/// Requests that are asked after the router has followed a list.
const AFTER: usize = 40;

/// A client that asks all the time.
struct Asking {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Vec<(String, Instant, RequestOutcome)>>,
}

impl Asking {
    fn start(router: &Process) -> Self {
        let (stop, listen) = (Arc::new(AtomicBool::new(false)), router.listen());
        let over = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let (mut client, mut asked, mut left) = (RequestClient::new(listen), Vec::new(), AFTER);
            while left > 0 {
                left -= usize::from(over.load(Ordering::SeqCst));
                let (id, at) = (format!("a{:06x}", asked.len()), Instant::now());
                let fate = ask(&mut client, &id, "look");
                asked.push((id, at, fate));
                std::thread::sleep(PACE);
            }
            asked
        });
        Asking { stop, thread }
    }

    /// Asks some more and ends. Nothing that was asked after the router had followed the list ran at this node.
    fn end(self, node: &Node, followed: Instant) {
        self.stop.store(true, Ordering::SeqCst);
        let asked = self.thread.join().expect("a client");
        let ran = node.ran();
        let late = asked
            .iter()
            .filter(|(id, at, _)| *at > followed && ran.contains_key(id))
            .count();
        let served = asked
            .iter()
            .filter(|(_, _, fate)| *fate == RequestOutcome::Served)
            .count();
        let after = asked.iter().filter(|(_, at, _)| *at > followed).count();
        println!(
            "{} asked, {served} served, {after} after the list, {} at the node",
            asked.len(),
            ran.len()
        );
        assert!(
            after >= AFTER && !ran.is_empty(),
            "there is something to see"
        );
        assert_eq!(
            late, 0,
            "of {after} that were asked after the list was followed"
        );
        assert_eq!(served, asked.len(), "there are others to serve them");
    }
}

/// A router with an open watch, and a client that asks.
struct Scene {
    router: Process,
    folder: Folder,
    agent: Agent,
    nodes: Vec<Node>,
    entries: Vec<Value>,
    asking: Asking,
    pushed: bool,
}

impl Scene {
    fn new(name: &str, pushed: bool) -> Self {
        let (nodes, entries) = group([NodeBehavior::Healthy; 3]);
        let agent = Agent::start(vec![AgentReply::Body(listing(42, &entries))]).expect("an agent");
        let start = Start {
            pushed,
            ..Start::before(name, &agent, &entries)
        };
        let folder = Folder::new(name).expect("a folder");
        let file = folder
            .write("config.json", &start.config(&start.agent))
            .expect("a file");
        let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
        let router = Process::start(program, &file, |command| command.env("PROXY_LOG", "debug"));
        let router = router.expect("the router starts");
        let asking = Asking::start(&router);
        let scene = Scene {
            router,
            folder,
            agent,
            nodes,
            entries,
            asking,
            pushed,
        };
        scene.called(2);
        let first = &scene.nodes[2];
        until("the node that will leave gets something", || {
            !first.ran().is_empty()
        });
        scene
    }

    fn called(&self, times: usize) {
        let called = self.agent.wait_for_calls(times, HANGS);
        assert!(
            called,
            "{:?}: {:?}",
            self.agent.calls(),
            self.router.since(0).last()
        );
    }

    /// The last node is leaving, by a list of this version.
    fn leaving(&self, index: u64) -> String {
        listing(index, &with_status(&self.entries, 2, "leaving"))
    }

    /// The agent has the news since then and could be reached: it is followed in time, and holds from then on.
    fn follows(self, had: Instant) {
        let followed = self.followed(&self.agent, 90);
        // Where lists are pushed the news counts at once, and the router has the grace.
        let within = if self.pushed {
            Duration::from_micros(GRACE)
        } else {
            TOLD
        };
        println!("followed after {:?} of {within:?}", followed - had);
        assert!(
            followed - had < within,
            "{:?}: {:?}",
            followed - had,
            self.agent.calls()
        );
        self.asking.end(&self.nodes[2], followed);
    }

    /// When the router asked this agent for what came after this version: it had taken that in by then.
    fn followed(&self, agent: &Agent, index: u64) -> Instant {
        let after = format!("after={index}&");
        let place = || agent.calls().iter().position(|call| call.contains(&after));
        until("the list is followed", || place().is_some());
        agent.times()[place().expect("just seen")].0
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + HANGS;
    while !holds() {
        assert!(Instant::now() < until, "{what}: not so");
        std::thread::sleep(PACE);
    }
}

/// The open watch falls silent, and right after db nodes begin to drain.
fn silent(name: &str, pushed: bool) {
    let scene = Scene::new(name, pushed);
    scene.agent.push_reply(AgentReply::Silence);
    until("the watch falls silent", || {
        scene.agent.times()[1].1.is_some()
    });
    let had = Instant::now();
    scene.agent.push_reply(AgentReply::Body(scene.leaving(90)));
    scene.follows(had);
}

#[test]
fn a_watch_that_falls_silent_right_before_nodes_drain_asked_for() {
    silent("sequence-silent-asked", false);
}

#[test]
fn a_watch_that_falls_silent_right_before_nodes_drain_pushed() {
    silent("sequence-silent-pushed", true);
}

/// The open watch is reset; the next one is answered without a length and reset on the way, and the news comes then.
fn reset(name: &str, pushed: bool) {
    let scene = Scene::new(name, pushed);
    scene.agent.push_reply(AgentReply::Reset);
    scene.called(3);
    let had = Instant::now();
    scene
        .agent
        .push_reply(AgentReply::BodyThenReset(scene.leaving(60)));
    scene.called(4);
    assert!(
        !scene.agent.calls()[3].contains("after=60"),
        "a reset is no end: {:?}",
        scene.agent.calls()
    );
    scene.agent.push_reply(AgentReply::Body(scene.leaving(90)));
    scene.follows(had);
}

#[test]
fn a_watch_that_is_reset_before_nodes_drain_asked_for() {
    reset("sequence-reset-asked", false);
}

#[test]
fn a_watch_that_is_reset_before_nodes_drain_pushed() {
    reset("sequence-reset-pushed", true);
}

/// Discovery is down, and resets who connects, until the router has called it some times in vain; nodes drain as it comes back, and further ones by the
/// list of the agent that a new configuration names.
fn down(name: &str, pushed: bool) {
    let mut scene = Scene::new(name, pushed);
    scene.agent.go_down();
    let failed = |router: &Process| {
        router
            .lines()
            .iter()
            .filter(|line| line.contains("a call of discovery failed"))
            .count()
    };
    until("calls fail", || failed(&scene.router) >= 4);
    scene.agent.push_reply(AgentReply::Body(scene.leaving(90)));
    scene.agent.come_back();
    let had = Instant::now();
    let followed = scene.followed(&scene.agent, 90);
    let within = if pushed {
        Duration::from_micros(GRACE)
    } else {
        TOLD
    };
    println!("followed after {:?} of {within:?}", followed - had);
    assert!(
        followed - had < within,
        "{:?}: {:?}",
        followed - had,
        scene.agent.calls()
    );
    until("the node that will leave gets something", || {
        !scene.nodes[1].ran().is_empty()
    });
    // The versions of the new agent are counted anew, from below.
    let further = listing(
        7,
        &with_status(&with_status(&scene.entries, 2, "left"), 1, "leaving"),
    );
    let next = Agent::start(vec![AgentReply::Body(further)]).expect("an agent");
    let start = Start {
        pushed,
        ..Start::before(name, &scene.agent, &scene.entries)
    };
    scene
        .folder
        .write("config.json", &start.config(&next.address().to_string()))
        .expect("a file");
    let struck = Instant::now();
    scene.router.send_signal(ProcessSignal::Reload);
    let moved = scene.followed(&next, 7);
    println!("moved after {:?} of {MOVED:?}", moved - struck);
    assert!(moved - struck < MOVED, "{:?}", next.calls());
    scene.asking.end(&scene.nodes[1], moved);
}

#[test]
fn nodes_that_drain_as_discovery_comes_back_and_after_a_move_asked_for() {
    down("sequence-down-asked", false);
}

#[test]
fn nodes_that_drain_as_discovery_comes_back_and_after_a_move_pushed() {
    down("sequence-down-pushed", true);
}
