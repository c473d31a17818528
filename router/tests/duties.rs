//! Leases of a fleet of router processes: each lease has one holder, nodes get fewer queries, and leases move to other
//! routers when holders or voters fail.

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

/// Time after which a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(12);
/// The duration of a lease (ms).
const LEASE_MS: u64 = 1_500;
/// The interval of renewals (ms).
const RENEW_MS: u64 = LEASE_MS / 3;
/// Time after which a request to a voter is repeated (ms).
const ASK_MS: u64 = 100;
/// The staleness bound of reads (ms).
const STALENESS_BOUND_MS: u64 = 900;
/// The interval at which lease holders query nodes (ms), a little shorter than the staleness bound.
const WATCH_MS: u64 = 600;

/// Waits until a condition holds. Prints all logs and panics with `failure` if it does not.
fn wait_until(failure: &str, fleet: &Fleet, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        if Instant::now() >= until {
            fleet.print_logs();
            panic!("{failure}");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

struct Fleet {
    folder: Folder,
    agent: Agent,
    nodes: Vec<CountingNode>,
    addresses: Vec<SocketAddr>,
    processes: BTreeMap<usize, Process>,
    duties: bool,
}

/// Returns a field of a JSON log line.
fn log_field(line: &str, key: &str) -> Option<Value> {
    serde_json::from_str::<Value>(line)
        .ok()
        .map(|line| line[key].clone())
        .filter(|v| !v.is_null())
}

impl Fleet {
    /// Starts a fleet of routers, the first three of which are voters, and two groups of a primary and a replica each.
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
        // All sockets are open at the same time, so that the ports differ.
        let sockets: Vec<UdpSocket> = (0..routers)
            .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a port"))
            .collect();
        let addresses = sockets
            .iter()
            .map(|s| s.local_addr().expect("it is bound"))
            .collect();
        drop(sockets);
        let mut fleet = Fleet {
            folder,
            agent,
            nodes,
            addresses,
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
            "settings": {"Balancers": self.addresses.len(), "SlotNo": n, "Tick": 5000, "Discovery": "automatic", "Zone": "z",
                "FamilyInfo": {"ClassRead": ["recent"], "MaxAge": [STALENESS_BOUND_MS * 1_000], "ServerChecks": "silent",
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
        let process = Process::start(program, &file, |command| {
            command
                .args(["--log-format", "json", "--operators"])
                .arg(&rules)
        });
        self.processes
            .insert(n, process.expect("the router starts"));
    }

    fn operators(&self, n: usize) -> String {
        let seeds: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        let peers = json!({"listen": self.addresses[n], "key_file": "key", "rules": {
            "installation": "here", "probe_ms": 200, "answer_ms": 60, "suspect_ms": 600, "gossip_ms": 60,
            "repair_ms": 200, "datagrams_per_s": 400, "bytes_per_s": 400_000, "seeds": seeds}});
        let voters: Vec<Value> = (0..3)
            .map(
                |d| json!({"name": format!("n{d}"), "address": self.addresses[d % self.addresses.len()]}),
            )
            .collect();
        let duties = json!({
            "rules": {"deciders": {"generation": 1, "members": voters}, "lease_ms": LEASE_MS, "ask_ms": ASK_MS,
                "aside_ms": 1_000, "datagrams_per_s": 200},
            "fanout": {"renew_ms": 500, "answer_ms": 100, "compare_ms": 200, "forget_ms": 12_000, "heads_ms": 200,
                "gap_ms": 500},
            "file": format!("n{n}.kept"), "watch_ms": WATCH_MS});
        let block = if self.duties {
            format!("duties = {duties}\n")
        } else {
            String::new()
        };
        format!("peers = {peers}\n{block}")
    }

    /// Makes a router log its state, and returns the line on the leases.
    fn logged_state(&mut self, n: usize) -> Value {
        let process = self.processes.get_mut(&n).expect("it runs");
        let before = process.lines().len();
        process.send_signal(ProcessSignal::LogState);
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let lines = process.since(before);
            let line = lines
                .iter()
                .find(|l| log_field(l, "reason") == Some(json!("duties")));
            if let Some(line) = line {
                return serde_json::from_str(line).expect("a line");
            }
            assert!(
                Instant::now() < until,
                "n{n} logs nothing: {:?}",
                process.lines()
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Returns each lease with the routers that consider themselves its holder, and their tokens.
    fn holders(&mut self) -> BTreeMap<String, Vec<(usize, u64)>> {
        let mut holders: BTreeMap<String, Vec<(usize, u64)>> = BTreeMap::new();
        for n in self.processes.keys().copied().collect::<Vec<_>>() {
            let state = self.logged_state(n);
            for held in state["owned"].as_str().unwrap_or_default().split(' ') {
                if let Some((lease, token)) = held.split_once('#') {
                    holders
                        .entry(lease.into())
                        .or_default()
                        .push((n, token.parse().expect("a number")));
                }
            }
        }
        holders
    }

    /// Waits until each of the three leases has a holder. Returns the holders.
    fn wait_for_holders(&mut self) -> BTreeMap<String, (usize, u64)> {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let holders = self.holders();
            assert!(
                holders.values().all(|all| all.len() == 1),
                "a lease has two holders: {holders:?}"
            );
            if holders.len() == 3 {
                return holders
                    .into_iter()
                    .map(|(lease, all)| (lease, all[0]))
                    .collect();
            }
            if Instant::now() >= until {
                self.print_logs();
                panic!("a lease has no holder: {holders:?}");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Prints all logs, for a test that fails.
    fn print_logs(&self) {
        for (n, process) in &self.processes {
            eprintln!("n{n}: {}", process.lines().join("\n    "));
        }
    }

    fn probes(&self) -> u64 {
        self.nodes.iter().map(CountingNode::probes).sum()
    }

    /// Counts the queries to nodes within this time, while each router has a client. Returns the number of queries, of served
    /// requests and of all requests.
    fn count_probes(&self, duration: Duration) -> (u64, u64, u64) {
        let load = Load::start(self);
        // The first reads find no position yet, and their queries are not counted.
        std::thread::sleep(Duration::from_millis(1_000));
        let before = self.probes();
        std::thread::sleep(duration);
        let probes = self.probes() - before;
        let (served, all) = load.finish();
        (probes, served, all)
    }

    fn line(&self, n: usize, key: &str, value: &str) -> Option<String> {
        let lines = self.processes[&n].lines();
        lines
            .into_iter()
            .find(|line| log_field(line, key).is_some_and(|v| v.as_str() == Some(value)))
    }
}

/// Clients that send requests all the time, one for each router.
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
                    let outcome = caller.ask(&statement, &id, Duration::from_millis(1_000));
                    all.fetch_add(1, Ordering::Relaxed);
                    served.fetch_add(
                        u64::from(outcome == RequestOutcome::Served),
                        Ordering::Relaxed,
                    );
                    std::thread::sleep(Duration::from_millis(10));
                }
            }));
        }
        load
    }

    /// Ends the clients. Returns the numbers of served requests and of all requests.
    fn finish(self) -> (u64, u64) {
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
fn each_lease_has_one_holder_and_nodes_get_fewer_queries() {
    // Without leases, each router queries all nodes for their positions, which costs the nodes much of their time.
    const MEASURED_TIME: Duration = Duration::from_secs(3);
    let mut with = Fleet::start("with", 5, true);
    let without = Fleet::start("without", 5, false);
    let holders = with.wait_for_holders();
    for n in 0..5 {
        with.wait_for_published_status(n);
    }
    let (fewer, served, all) = with.count_probes(MEASURED_TIME);
    let (more, also_served, also_all) = without.count_probes(MEASURED_TIME);
    println!(
        "queries in 3 s: {fewer} with leases, {more} without; served {served} of {all}, {also_served} of {also_all}"
    );
    assert!(
        holders.contains_key("positions/1") && holders.contains_key("gateway/z"),
        "{holders:?}"
    );
    assert!(fewer * 4 <= more * 3, "{fewer} with leases, {more} without");
    assert!(served * 100 >= all * 99 && also_served * 100 >= also_all * 99);
}

impl Fleet {
    /// Waits until a router has applied a status that another router has published.
    fn wait_for_published_status(&mut self, n: usize) {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            let state = self.logged_state(n);
            if state["learned"].as_u64().is_some_and(|learned| learned > 0) {
                return;
            }
            assert!(
                Instant::now() < until,
                "n{n} gets no published status: {state}"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

#[test]
fn a_lease_moves_on_when_its_holder_is_stopped_killed_or_terminated() {
    let mut fleet = Fleet::start("fails", 5, true);
    let lease = "positions/1";
    // A holder that is stopped past the end of its lease and continued: it holds no lease until it has acquired one again.
    let (old_holder, token) = fleet.wait_for_holders()[lease];
    fleet
        .processes
        .get_mut(&old_holder)
        .expect("it runs")
        .send_signal(ProcessSignal::Stop);
    let stopped = fleet.processes.remove(&old_holder).expect("it runs");
    let (next_holder, new_token) = fleet.wait_for_holders()[lease];
    assert!(
        new_token > token && next_holder != old_holder,
        "the token increases"
    );
    fleet.processes.insert(old_holder, stopped);
    fleet
        .processes
        .get_mut(&old_holder)
        .expect("it runs")
        .send_signal(ProcessSignal::Continue);
    wait_until("the router does not notice its stall", &fleet, || {
        fleet.line(old_holder, "reason", "stood still").is_some()
    });
    let holders = fleet.wait_for_holders();
    assert!(
        holders[lease].1 >= new_token && holders[lease].0 != old_holder,
        "{holders:?}"
    );
    let still_holds = fleet.logged_state(old_holder)["owned"]
        .as_str()
        .unwrap_or_default()
        .contains(lease);
    assert!(
        !still_holds,
        "the old holder still considers itself the holder"
    );

    // A holder that is killed: the gap until the next holder is the lease duration at the voters, two checks and the claim
    // of the next candidate, and some time for gossip.
    let (holder, token) = holders[lease];
    let killed = Instant::now();
    fleet
        .processes
        .get_mut(&holder)
        .expect("it runs")
        .send_signal(ProcessSignal::Kill);
    fleet.processes.remove(&holder);
    let (next_holder, new_token) = fleet.wait_for_holders()[lease];
    let gap = killed.elapsed();
    let bound = Duration::from_millis(LEASE_MS * 101 / 100 + 2 * RENEW_MS + 4 * ASK_MS);
    println!("gap after kill {gap:?}, bound {bound:?}");
    assert!(
        new_token > token && gap <= bound + Duration::from_millis(500),
        "{gap:?}"
    );
    fleet.boot(holder);
    fleet.wait_for_holders();

    // A holder that gets SIGTERM: it hands the lease over first, and clients do not wait for that.
    let load = Load::start(&fleet);
    let mut ending = fleet.processes.remove(&next_holder).expect("it runs");
    ending.send_signal(ProcessSignal::Term);
    let line = ending.wait_for_line("\"handed over\"", TEST_TIMEOUT);
    assert!(line.is_some(), "{:?}", ending.lines());
    let after = fleet.wait_for_holders();
    assert!(after[lease].1 > new_token, "{after:?}");
    load.finish();
    assert!(
        ending
            .wait_for_exit(TEST_TIMEOUT)
            .is_some_and(|status| status.success())
    );
}

#[test]
fn without_a_majority_requests_are_served_and_a_torn_state_file_is_rejected() {
    let mut fleet = Fleet::start("alone", 3, true);
    fleet.wait_for_holders();
    // A voter restarts with half a state file: it logs that, and votes again once it has read the other voters' tokens.
    fleet
        .processes
        .get_mut(&1)
        .expect("it runs")
        .send_signal(ProcessSignal::Kill);
    fleet.processes.remove(&1);
    let path = fleet.folder.path().join("n1.kept");
    let complete = std::fs::read(&path).expect("it was kept");
    std::fs::write(&path, &complete[..complete.len() / 2]).expect("written");
    fleet.boot(1);
    let line = fleet
        .line(1, "reason", "decider's file")
        .expect("it is logged at once");
    assert!(
        line.contains("torn") && log_field(&line, "help").is_some(),
        "{line}"
    );
    fleet.wait_for_holders();
    wait_until("the file is not written again", &fleet, || {
        std::fs::read(&path).is_ok_and(|now| now.len() >= complete.len())
    });
    let state = fleet.logged_state(0);
    println!(
        "writes of a voter's state file: {}, the longest {} us",
        state["written"], state["longest_write_us"]
    );

    // Two of three voters are down: leases expire, and requests are served as without leases.
    for n in [1, 2] {
        fleet
            .processes
            .get_mut(&n)
            .expect("it runs")
            .send_signal(ProcessSignal::Kill);
        fleet.processes.remove(&n);
    }
    wait_until("the loss of the majority is not logged", &fleet, || {
        fleet.line(0, "reason", "no majority").is_some()
    });
    let mut remaining = fleet.holders();
    let until = Instant::now() + TEST_TIMEOUT;
    while !remaining.is_empty() {
        assert!(Instant::now() < until, "it still holds {remaining:?}");
        std::thread::sleep(Duration::from_millis(50));
        remaining = fleet.holders();
    }
    let (probes, served, all) = fleet.count_probes(Duration::from_millis(1_000));
    assert!(
        probes > 0 && served * 100 >= all * 99,
        "{served} of {all}, {probes} queries"
    );
}

#[test]
fn a_query_is_not_sent_after_its_lease_has_expired() {
    // A query that waits for its connection while the process is stopped could be sent after the lease has expired, in
    // addition to those of the new holder. A node cannot tell them apart.
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
    // A node that is in no list gets no queries.
    engine.update_endpoints(EndpointUpdate::Full(vec![Endpoint {
        node: id.clone(),
        ..Endpoint::default()
    }]));
    let mut events = Events::new();
    // The first query waits for a connection, the last one finds a free one.
    for (may_send, want_probes) in [(false, 0), (true, 1), (false, 1)] {
        upstream.query(
            NodeQuery {
                node: id.clone(),
                lease_check: Rc::new(move || may_send),
            },
            1,
            &mut engine,
        );
        let until = Instant::now() + TEST_TIMEOUT;
        let outcome = loop {
            if let Some(outcome) = upstream.take_query_outcomes().pop() {
                break outcome;
            }
            assert!(Instant::now() < until, "the query does not end");
            poll.wait(&mut events, Some(Duration::from_millis(50)))
                .expect("it waits");
            for event in events.iter() {
                if let (Some(EventSource::Node), key) = split_poll_key(event.key) {
                    upstream.handle_event(key, 2, &mut engine);
                }
            }
        };
        assert_eq!(
            (outcome.answer.is_some(), node.probes()),
            (may_send, want_probes)
        );
        assert!(
            outcome.answer.is_none_or(|answer| answer.queried_at == 1),
            "the age counts from the time of the query"
        );
    }
}
