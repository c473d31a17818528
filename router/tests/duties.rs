//! Duties of a fleet, with processes of the program: one owner for each, what nodes are spared, and what becomes of it when
//! owners and deciders fail.

use plovercove::{Endpoint, EndpointUpdate, NodeId, Settings};
use plovercove_emulator::counting_node::CountingNode;
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use plovercove_emulator::{Agent, Entry, RequestClient, RequestOutcome};
use plovercove_engine::Engine;
use plovercove_poller::{Events, Poll};
use plovercove_router::net::budget::Budget;
use plovercove_router::net::{EventSource, split_poll_key};
use plovercove_router::upstream::NodeQuery;
use plovercove_router::upstream::{ConnectOptions, Upstream};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Ends a test that would hang.
const HANGS: Duration = Duration::from_secs(12);
/// The lease of the test's fleet (ms), a third of it, and after how long an ask is sent again.
const LEASE: u64 = 1_500;
const RENEW: u64 = LEASE / 3;
const ASK: u64 = 100;
/// Reads bear data of this age (ms); owners ask nodes a little more often.
const BEARS: u64 = 900;
const WATCH: u64 = 600;

/// Waits for it; the log of all is shown where it does not come.
fn wait(what: &str, fleet: &Fleet, mut found: impl FnMut() -> bool) {
    let until = Instant::now() + HANGS;
    while !found() {
        if Instant::now() >= until {
            fleet.show();
            panic!("{what}");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

struct Fleet {
    folder: Folder,
    agent: Agent,
    nodes: Vec<CountingNode>,
    places: Vec<SocketAddr>,
    processes: BTreeMap<usize, Process>,
    duties: bool,
}

/// One of the words in a line of the log.
fn word(line: &str, key: &str) -> Option<Value> {
    serde_json::from_str::<Value>(line)
        .ok()
        .map(|line| line[key].clone())
        .filter(|v| !v.is_null())
}

impl Fleet {
    /// So many routers, the first three of which decide, before two groups of a primary and a replica.
    fn start(name: &str, routers: usize, duties: bool) -> Fleet {
        let folder = Folder::new(&format!("duties-{name}")).expect("a folder");
        folder
            .write("key", "a key of enough bytes\n")
            .expect("a file");
        let nodes: Vec<CountingNode> = (0..4)
            .map(|n| CountingNode::start(n % 2 == 0).expect("a node"))
            .collect();
        let agent = Agent::start().expect("an agent");
        agent.set_list(nodes.iter().enumerate().map(|(n, node)| Entry {
            name: format!("s{n}"),
            address: node.address(),
            zone: "z".into(),
            group: n as u64 / 2 + 1,
            head: n % 2 == 0,
            started: None,
            draining: false,
        }));
        // Ports that are free, all found before any is given back.
        let held: Vec<UdpSocket> = (0..routers)
            .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"))
            .collect();
        let places = held
            .iter()
            .map(|s| s.local_addr().expect("it is bound"))
            .collect();
        drop(held);
        let mut fleet = Fleet {
            folder,
            agent,
            nodes,
            places,
            processes: BTreeMap::new(),
            duties,
        };
        (0..routers).for_each(|n| fleet.boot(n));
        fleet
    }

    fn boot(&mut self, n: usize) {
        let config = json!({
            "name": format!("n{n}"), "listen": "127.0.0.1:0", "discovery": self.agent.address().to_string(),
            "seed": format!("{}", n + 1),
            "settings": {"Balancers": self.places.len(), "SlotNo": n, "Tick": 5000, "Discovery": "automatic", "Zone": "z",
                "FamilyInfo": {"ClassRead": ["recent"], "MaxAge": [BEARS * 1_000], "ServerChecks": "silent",
                    "ShowsRole": "delayed", "SessionMarks": "client"},
                "Limits": {"MaxAttempts": 3, "Probing": true, "RetryAfter": true, "MaxRetryAfter": 100_000},
                "Profiles": [{"Name": "look", "Aim": 400_000, "Deadline": 1_000_000, "Gain": 1.0, "Effect": "idempotent"}],
                "Report": {"How": "pull", "Names": ["x0", "x1"]},
                "Rules": {"Cold": 1, "ColdShare": 0.2, "DrainGrace": 1_000_000, "OverloadFactor": 4,
                    "OverloadFor": 2_000_000}}});
        let operators = self.operators(n);
        let file = self
            .folder
            .write(&format!("n{n}.json"), &config.to_string())
            .expect("a file");
        let rules = self
            .folder
            .write(&format!("n{n}.star"), &operators)
            .expect("a file");
        let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
        let started = Process::start(program, &file, |command| {
            command
                .args(["--log-format", "json", "--operators"])
                .arg(&rules)
        });
        self.processes
            .insert(n, started.expect("the router starts"));
    }

    fn operators(&self, n: usize) -> String {
        let seeds: Vec<String> = self.places.iter().map(SocketAddr::to_string).collect();
        let peers = json!({"listen": self.places[n], "key_file": "key", "rules": {
            "installation": "here", "probe_ms": 200, "answer_ms": 60, "suspect_ms": 600, "gossip_ms": 60,
            "repair_ms": 200, "datagrams_per_s": 400, "bytes_per_s": 400_000, "seeds": seeds}});
        let deciders: Vec<Value> = (0..3)
            .map(
                |d| json!({"name": format!("n{d}"), "address": self.places[d % self.places.len()]}),
            )
            .collect();
        let duties = json!({
            "rules": {"deciders": {"generation": 1, "members": deciders}, "lease_ms": LEASE, "ask_ms": ASK,
                "aside_ms": 1_000, "datagrams_per_s": 200},
            "fanout": {"renew_ms": 500, "answer_ms": 100, "compare_ms": 200, "forget_ms": 12_000, "heads_ms": 200,
                "gap_ms": 500},
            "file": format!("n{n}.kept"), "watch_ms": WATCH});
        let block = if self.duties {
            format!("duties = {duties}\n")
        } else {
            String::new()
        };
        format!("peers = {peers}\n{block}")
    }

    /// What a router says when it is asked.
    fn tells(&mut self, n: usize) -> Value {
        let process = self.processes.get_mut(&n).expect("it runs");
        let before = process.lines().len();
        process.send_signal(ProcessSignal::LogState);
        let until = Instant::now() + HANGS;
        loop {
            let said = process.since(before);
            let line = said
                .iter()
                .find(|l| word(l, "reason") == Some(json!("duties")));
            if let Some(line) = line {
                return serde_json::from_str(line).expect("a line");
            }
            assert!(
                Instant::now() < until,
                "n{n} says nothing: {:?}",
                process.lines()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Each duty, with those who say that they own it.
    fn owners(&mut self) -> BTreeMap<String, Vec<(usize, u64)>> {
        let mut owners: BTreeMap<String, Vec<(usize, u64)>> = BTreeMap::new();
        for n in self.processes.keys().copied().collect::<Vec<_>>() {
            let told = self.tells(n);
            for one in told["owned"].as_str().unwrap_or_default().split(' ') {
                if let Some((duty, token)) = one.split_once('#') {
                    owners
                        .entry(duty.into())
                        .or_default()
                        .push((n, token.parse().expect("a number")));
                }
            }
        }
        owners
    }

    /// Waits until each of the three duties has an owner, and gives them.
    fn settled(&mut self) -> BTreeMap<String, (usize, u64)> {
        let until = Instant::now() + HANGS;
        loop {
            let owners = self.owners();
            assert!(
                owners.values().all(|all| all.len() == 1),
                "two own one duty: {owners:?}"
            );
            if owners.len() == 3 {
                return owners
                    .into_iter()
                    .map(|(duty, all)| (duty, all[0]))
                    .collect();
            }
            if Instant::now() >= until {
                self.show();
                panic!("no owner: {owners:?}");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// All logs, for a test that fails.
    fn show(&self) {
        for (n, process) in &self.processes {
            eprintln!("n{n}: {}", process.lines().join("\n    "));
        }
    }

    fn probes(&self) -> u64 {
        self.nodes.iter().map(CountingNode::probes).sum()
    }

    /// Reports that nodes were asked for within a time, while each router has a client.
    fn probes_of(&self, span: Duration) -> (u64, u64, u64) {
        let load = Load::start(self);
        // The first reads find nothing proved; what counts is what is asked later.
        std::thread::sleep(Duration::from_millis(1_000));
        let before = self.probes();
        std::thread::sleep(span);
        let probes = self.probes() - before;
        let (served, all) = load.end();
        (probes, served, all)
    }

    fn line(&self, n: usize, key: &str, wanted: &str) -> Option<String> {
        let lines = self.processes[&n].lines();
        lines
            .into_iter()
            .find(|line| word(line, key).is_some_and(|v| v.as_str() == Some(wanted)))
    }
}

/// Clients, one for each router.
struct Load {
    stop: Arc<AtomicBool>,
    served: Arc<AtomicU64>,
    all: Arc<AtomicU64>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet) -> Load {
        let (stop, served, all) = (Arc::default(), Arc::default(), Arc::default());
        let mut load = Load {
            stop,
            served,
            all,
            threads: Vec::new(),
        };
        for (n, process) in &fleet.processes {
            let (listen, n) = (process.listen(), *n);
            let (stop, served, all) = (load.stop.clone(), load.served.clone(), load.all.clone());
            load.threads.push(std::thread::spawn(move || {
                let mut caller = RequestClient::new(listen);
                let mut count = 0_u64;
                while !stop.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("{:x}{count:08x}", n + 16);
                    let group = count % 2 + 1;
                    let statement =
                        format!("/* id={id},c=look,d=1000,cluster={group} */ SELECT 'k'");
                    let fate = caller.ask(&statement, &id, Duration::from_millis(1_000));
                    all.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(u64::from(fate == RequestOutcome::Served), Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(10));
                }
            }));
        }
        load
    }

    /// How many were served, of how many.
    fn end(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .for_each(|t| t.join().expect("a client ends"));
        (
            self.served.load(Ordering::Relaxed),
            self.all.load(Ordering::Relaxed),
        )
    }
}

#[test]
fn each_duty_has_one_owner_and_nodes_are_asked_less() {
    // Danger: every router asks all nodes for their positions, and a node's time goes into reports.
    const SPAN: Duration = Duration::from_secs(3);
    let mut with = Fleet::start("with", 5, true);
    let without = Fleet::start("without", 5, false);
    let owners = with.settled();
    for n in 0..5 {
        with.learnt(n);
    }
    let (fewer, served, all) = with.probes_of(SPAN);
    let (more, also_served, also_all) = without.probes_of(SPAN);
    println!(
        "reports asked for in 3 s: {fewer} with duties, {more} without; served {served} of {all}, {also_served} of {also_all}"
    );
    assert!(
        owners.contains_key("positions/1") && owners.contains_key("gateway/z"),
        "{owners:?}"
    );
    assert!(fewer * 4 <= more * 3, "{fewer} with duties, {more} without");
    assert!(served * 100 >= all * 99 && also_served * 100 >= also_all * 99);
}

impl Fleet {
    /// Waits until a router has learned from the watches of others.
    fn learnt(&mut self, n: usize) {
        let until = Instant::now() + HANGS;
        loop {
            let told = self.tells(n);
            if told["learned"].as_u64().is_some_and(|learned| learned > 0) {
                return;
            }
            assert!(Instant::now() < until, "n{n} learns nothing: {told}");
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn an_owner_that_is_stopped_killed_or_told_to_end_is_followed_by_another() {
    let mut fleet = Fleet::start("fails", 5, true);
    let duty = "positions/1";
    // Stopped past its lease, and let go: it owns nothing until it has asked again, and asks nodes nothing.
    let (old, token) = fleet.settled()[duty];
    fleet
        .processes
        .get_mut(&old)
        .expect("it runs")
        .send_signal(ProcessSignal::Stop);
    let stopped = fleet.processes.remove(&old).expect("it runs");
    let (next, newer) = fleet.settled()[duty];
    assert!(newer > token && next != old, "the token rises");
    fleet.processes.insert(old, stopped);
    fleet
        .processes
        .get_mut(&old)
        .expect("it runs")
        .send_signal(ProcessSignal::Continue);
    wait("it does not notice that it stood still", &fleet, || {
        fleet.line(old, "reason", "stood still").is_some()
    });
    let owners = fleet.settled();
    assert!(
        owners[duty].1 >= newer && owners[duty].0 != old,
        "{owners:?}"
    );
    let asked = fleet.tells(old)["owned"]
        .as_str()
        .unwrap_or_default()
        .contains(duty);
    assert!(!asked, "it still takes itself for the owner");

    // Killed: the gap is a lease at the deciders, two looks of the next in rank and the claim, and what peers need.
    let (owner, token) = owners[duty];
    let killed = Instant::now();
    fleet
        .processes
        .get_mut(&owner)
        .expect("it runs")
        .send_signal(ProcessSignal::Kill);
    fleet.processes.remove(&owner);
    let (next, newer) = fleet.settled()[duty];
    let gap = killed.elapsed();
    let bound = Duration::from_millis(LEASE * 101 / 100 + 2 * RENEW + 4 * ASK);
    println!("gap after kill {gap:?}, bound {bound:?}");
    assert!(
        newer > token && gap <= bound + Duration::from_millis(500),
        "{gap:?}"
    );
    fleet.boot(owner);
    fleet.settled();

    // Told to end: it hands over first, and clients are not kept waiting for that.
    let load = Load::start(&fleet);
    let mut ending = fleet.processes.remove(&next).expect("it runs");
    ending.send_signal(ProcessSignal::Term);
    let line = ending.wait_for_line("\"handed over\"", HANGS);
    assert!(line.is_some(), "{:?}", ending.lines());
    let after = fleet.settled();
    assert!(after[duty].1 > newer, "{after:?}");
    load.end();
    assert!(
        ending
            .wait_for_exit(HANGS)
            .is_some_and(|status| status.success())
    );
}

#[test]
fn without_a_majority_all_goes_on_and_a_torn_file_is_refused() {
    let mut fleet = Fleet::start("alone", 3, true);
    fleet.settled();
    // A decider comes back with half a file: it says so, and votes when it has read the others' tokens.
    fleet
        .processes
        .get_mut(&1)
        .expect("it runs")
        .send_signal(ProcessSignal::Kill);
    fleet.processes.remove(&1);
    let path = fleet.folder.path().join("n1.kept");
    let whole = std::fs::read(&path).expect("it was kept");
    std::fs::write(&path, &whole[..whole.len() / 2]).expect("written");
    fleet.boot(1);
    let line = fleet
        .line(1, "reason", "decider's file")
        .expect("it is told at once");
    assert!(
        line.contains("torn") && word(&line, "help").is_some(),
        "{line}"
    );
    fleet.settled();
    wait("the file is not written anew", &fleet, || {
        std::fs::read(&path).is_ok_and(|now| now.len() >= whole.len())
    });
    let told = fleet.tells(0);
    println!(
        "writes of a decider's file: {}, the longest {} us",
        told["written"], told["longest_write_us"]
    );

    // Two of three are gone: what is owned ends, and requests are served as without duties.
    for n in [1, 2] {
        fleet
            .processes
            .get_mut(&n)
            .expect("it runs")
            .send_signal(ProcessSignal::Kill);
        fleet.processes.remove(&n);
    }
    wait("no majority is not told", &fleet, || {
        fleet.line(0, "reason", "no majority").is_some()
    });
    let mut left = fleet.owners();
    let until = Instant::now() + HANGS;
    while !left.is_empty() {
        assert!(Instant::now() < until, "it still owns {left:?}");
        std::thread::sleep(Duration::from_millis(50));
        left = fleet.owners();
    }
    let (probes, served, all) = fleet.probes_of(Duration::from_millis(1_000));
    assert!(
        probes > 0 && served * 100 >= all * 99,
        "{served} of {all}, {probes} reports"
    );
}

#[test]
fn a_question_whose_lease_is_over_does_not_leave() {
    // Danger: a question that waited for its connection while the process was stopped would leave after its lease, beside
    // those of the new owner; a node cannot tell them apart.
    let node = CountingNode::start(true).expect("a node");
    let (poll, budget) = (Poll::new().expect("a poller"), Budget::new(1 << 24));
    let mut upstream = Upstream::new(
        &poll,
        &budget,
        ConnectOptions::platform(),
        16,
        1_000_000,
        60_000_000,
    );
    let mut engine = Engine::new(Settings::default(), 1);
    let id: NodeId = "s0".into();
    upstream.set_address(&id, node.address(), &mut engine);
    // What no list names is asked nothing.
    engine.update_endpoints(EndpointUpdate::Full(vec![Endpoint {
        node: id.clone(),
        ..Endpoint::default()
    }]));
    let mut events = Events::new();
    // The first finds no connection, the last one that is free.
    for (may, asked) in [(false, 0), (true, 1), (false, 1)] {
        upstream.query(
            NodeQuery {
                node: id.clone(),
                lease_check: Rc::new(move || may),
            },
            1,
            &mut engine,
        );
        let until = Instant::now() + HANGS;
        let heard = loop {
            if let Some(heard) = upstream.take_query_outcomes().pop() {
                break heard;
            }
            assert!(Instant::now() < until, "nothing became of it");
            poll.wait(&mut events, Some(Duration::from_millis(50)))
                .expect("it waits");
            for event in events.iter() {
                if let (Some(EventSource::Node), key) = split_poll_key(event.key) {
                    upstream.handle_event(key, 2, &mut engine);
                }
            }
        };
        assert_eq!((heard.answer.is_some(), node.probes()), (may, asked));
        assert!(
            heard.answer.is_none_or(|answer| answer.queried_at == 1),
            "its age counts from when it was asked"
        );
    }
}
