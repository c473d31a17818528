//! Bad input at the size of a large fleet: one of 300 routers with 120 db nodes, most of which misbehave, and an agent with
//! scripted answers. No test sleeps for a fixed time; every wait has a condition and a timeout.

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::{RequestClient, RequestOutcome};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Time after which a hanging test fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const GROUPS: usize = 20;
const NODES_PER_GROUP: usize = 6;
const REQUESTS_PER_CLIENT: usize = 20;
/// The timeout of a client (ms).
const CLIENT_TIMEOUT_MS: u64 = 900;

/// Returns an entry of the endpoint list.
fn entry(name: usize, node: &Node, primary: bool, status: &str) -> Value {
    json!({"name": format!("s-{name:04}"), "address": node.address().to_string(), "zone": "z", "type": "k",
           "group": name / NODES_PER_GROUP + 1, "status": status, "weight": 1.0, "since_ms": 0,
           "replication": if primary { "primary" } else { "standby" }})
}

fn listing(index: u64, is_complete: bool, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": is_complete, "endpoints": entries}).to_string()
}

/// Starts a router that is one of 300, with this agent and this remembered list.
fn start(name: &str, agent: &Agent, remembered: &[Value]) -> (Process, Folder) {
    let class = |name: &str, effect: &str| json!({"Name": name, "Aim": 400_000, "Deadline": 1_000_000, "Gain": 1.0, "LateWorth": 0.5, "Effect": effect});
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": agent.address().to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 512},
        "known": {"index": 41, "snapshot": true, "endpoints": remembered},
        "settings": {"Balancers": 300, "SlotNo": 1, "Tick": 5000, "Discovery": "automatic", "Zone": "z",
            "FamilyInfo": {"ClassRead": ["recent", "loose", "update"], "MaxAge": [3_000_000, 0, 0],
                "ServerChecks": "silent", "ShowsRole": "delayed", "SessionMarks": "client"},
            "Limits": {"Cancel": true, "ConnIdle": 30_000_000, "DialTimeout": 250_000, "MaxAttempts": 6,
                "MaxRetryAfter": 500_000, "Probing": true, "RetryAfter": true, "SecondCopies": true},
            "Profiles": [class("search", "idempotent"), class("look", "idempotent"), class("book", "at_most_once")],
            "Customers": [{"Name": "acme"}],
            "Report": {"How": "pull", "Names": ["x0", "x1", "inflight", "util"]},
            "Rules": {"Cold": 10_000_000, "ColdShare": 0.2, "DrainGrace": 1_000_000, "OverloadFactor": 4,
                "OverloadFor": 2_000_000, "GraceToAnswer": 20_000}}});
    let folder = Folder::new(name).expect("a folder");
    let file = folder
        .write("config.json", &config.to_string())
        .expect("a file");
    let process = Process::start(
        Path::new(env!("CARGO_BIN_EXE_plovercove")),
        &file,
        |command| command,
    );
    (process.expect("the router starts"), folder)
}

fn ask(client: &mut RequestClient, id: &str, class: &str, group: usize) -> RequestOutcome {
    let statement = format!(
        "/* id={id},c={class},t=acme,d={CLIENT_TIMEOUT_MS},cluster={group} */ SELECT body FROM objects WHERE oid = '7f'"
    );
    client.ask(&statement, id, Duration::from_millis(CLIENT_TIMEOUT_MS))
}

/// Returns the resident memory of a process (KB).
fn resident_kb(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("a line of the resident memory");
    line.split_whitespace()
        .nth(1)
        .and_then(|kb| kb.parse().ok())
        .expect("a number")
}

/// Returns the CPU time that a process has used so far (s).
fn cpu_seconds(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("it runs");
    let fields = stat
        .rsplit_once(')')
        .expect("its name ends")
        .1
        .split_whitespace()
        .skip(11)
        .take(2);
    fields
        .map(|f| f.parse::<f64>().expect("a number"))
        .sum::<f64>()
        / 100.0
}

/// Counts the log lines that differ only in numbers and names.
fn count_similar_lines(lines: &[String]) -> HashMap<String, usize> {
    let mut found = HashMap::new();
    for line in lines {
        let message = line
            .split_once("Z ")
            .map_or(line.as_str(), |(_, message)| message);
        let text: String = message
            .chars()
            .filter(|c| !c.is_ascii_hexdigit())
            .take(40)
            .collect();
        *found.entry(text).or_default() += 1;
    }
    found
}

#[test]
fn every_request_has_one_answer_although_most_nodes_misbehave() {
    // At this size, a router meets every kind of misbehaving node at the same time.
    let manners = [
        NodeBehavior::Healthy,
        NodeBehavior::RefuseConnection,
        NodeBehavior::CloseOnConnect,
        NodeBehavior::Silent,
        NodeBehavior::CloseOnStatement,
        NodeBehavior::ShortReport,
        NodeBehavior::MalformedReport,
    ];
    let nodes: Vec<Node> = (0..GROUPS * NODES_PER_GROUP)
        .map(|n| {
            let (group, member) = (n / NODES_PER_GROUP, n % NODES_PER_GROUP);
            // Primaries behave well except in three groups; replicas behave in all ways.
            let manner = match (group, member) {
                (0, 0) => NodeBehavior::RefuseConnection,
                (1, 0) => NodeBehavior::Silent,
                (2, 0) => NodeBehavior::CloseOnStatement,
                (_, 0) => NodeBehavior::Healthy,
                _ => manners[(group + member) % manners.len()],
            };
            Node::start(manner, member == 0).expect("a node")
        })
        .collect();
    let entries: Vec<Value> = nodes
        .iter()
        .enumerate()
        .map(|(n, node)| entry(n, node, n % NODES_PER_GROUP == 0, "active"))
        .collect();
    let agent =
        Agent::start(vec![AgentReply::Body(listing(42, true, &entries))]).expect("an agent");
    let (router, _folder) = start("rough-nodes", &agent, &entries);
    let (listen, started_at) = (router.listen(), Instant::now());
    let client = |n: usize| {
        std::thread::spawn(move || {
            let mut client = RequestClient::new(listen);
            let classes = ["search", "look", "book"];
            (0..REQUESTS_PER_CLIENT)
                .map(|k| {
                    let (class, group) = (classes[(n + k) % 3], (n * 7 + k) % GROUPS + 1);
                    (
                        class,
                        group,
                        ask(&mut client, &format!("{n:x}{k:04x}"), class, group),
                    )
                })
                .collect::<Vec<_>>()
        })
    };
    let clients: Vec<_> = (16..40).map(client).collect();
    let answers: Vec<_> = clients
        .into_iter()
        .flat_map(|c| c.join().expect("a client"))
        .collect();
    let count = |outcome: RequestOutcome| answers.iter().filter(|(_, _, f)| *f == outcome).count();
    assert_eq!(
        (
            count(RequestOutcome::Unanswered),
            count(RequestOutcome::Foreign)
        ),
        (0, 0),
        "of {}",
        answers.len()
    );
    let writes = answers
        .iter()
        .filter(|(class, group, _)| *class == "book" && *group > 3);
    let (all, good) = writes.fold((0, 0), |n, w| {
        (n.0 + 1, n.1 + usize::from(w.2 == RequestOutcome::Served))
    });
    assert!(
        good * 4 >= all * 3,
        "{good} of {all} writes to good primaries were served"
    );
    assert!(
        count(RequestOutcome::Served) * 2 > answers.len(),
        "{} served of {}",
        count(RequestOutcome::Served),
        answers.len()
    );
    // A write runs at most once over all nodes.
    let mut runs: HashMap<String, usize> = HashMap::new();
    for (id, times) in nodes.iter().flat_map(Node::ran) {
        *runs.entry(id).or_default() += times;
    }
    for (n, k) in (16..40)
        .flat_map(|n| (0..REQUESTS_PER_CLIENT).map(move |k| (n, k)))
        .filter(|(n, k)| (n + k) % 3 == 2)
    {
        let times = runs.get(&format!("{n:x}{k:04x}")).copied().unwrap_or(0);
        assert!(times <= 1, "a write ran {times} times");
    }
    let (cpu_used, elapsed) = (cpu_seconds(router.id()), started_at.elapsed().as_secs_f64());
    assert!(
        cpu_used < elapsed / 2.0,
        "{cpu_used} s of CPU in {elapsed} s: the loop spins"
    );
    assert!(
        resident_kb(router.id()) < 32 * 1024,
        "{} KB",
        resident_kb(router.id())
    );
    for (kind, times) in count_similar_lines(&router.lines()) {
        assert!(times <= 5 * nodes.len(), "{times} lines like {kind:?}");
    }
    assert!(
        !router.lines().iter().any(|line| line.contains("panicked")),
        "a panic"
    );
}

#[test]
fn bad_lists_do_not_remove_nodes() {
    // A router depends on one agent for all its nodes. In earlier faults, a list without nodes removed them all, changes of
    // an older version reopened draining nodes, and one unknown status blocked all later lists.
    let nodes: Vec<Node> = (0..NODES_PER_GROUP)
        .map(|n| Node::start(NodeBehavior::Healthy, n == 0).expect("a node"))
        .collect();
    let entries = |status: &str| -> Vec<Value> {
        let state = |n| if n == 3 { status } else { "active" };
        nodes
            .iter()
            .enumerate()
            .map(|(n, node)| entry(n, node, n == 0, state(n)))
            .collect()
    };
    let good = |index| AgentReply::Body(listing(index, true, &entries("active")));
    let agent = Agent::start(vec![good(42)]).expect("an agent");
    let (router, _folder) = start("rough-lists", &agent, &entries("active"));
    let mut client = RequestClient::new(router.listen());
    let mut sent = 0;
    let mut assert_serves = |when: &str| {
        for class in ["search", "look", "book"] {
            sent += 1;
            assert_eq!(
                ask(&mut client, &format!("{sent:x}"), class, 1),
                RequestOutcome::Served,
                "{class} {when}"
            );
        }
    };
    assert_serves("at the start");
    let wait_for_warning = |cause: &str| {
        let line = router.wait_for_line(&format!("discovery: {cause}"), TEST_TIMEOUT);
        assert!(
            line.is_some_and(|l| l.contains("the list stays as it is")),
            "{cause}: {:?}",
            router.lines()
        );
    };
    let bad_answers = [
        (
            AgentReply::Body(listing(43, true, &[])),
            "the list names nobody",
        ),
        (
            AgentReply::Body(listing(7, false, &entries("left"))),
            "changes of version 7, which is older",
        ),
        (
            AgentReply::Status(503),
            "the agent answered with status 503",
        ),
        (AgentReply::Close, "the agent closed the connection"),
        (AgentReply::Body("{\"index\":".into()), ""),
        (
            AgentReply::Body("{\"index\":44,\"snapshot\":true}".into()),
            "endpoints",
        ),
        (
            AgentReply::Body(listing(60, false, &entries("resting"))),
            "endpoints[3].status: \"resting\" is unknown",
        ),
    ];
    let calls = bad_answers.len();
    for (n, (says, cause)) in bad_answers.into_iter().enumerate() {
        agent.push_reply(says);
        wait_for_warning(cause);
        assert_serves(cause);
        // The next call gets a good answer, so that pauses stay short, and the call after it waits.
        agent.push_reply(good(50 + n as u64));
        assert!(
            agent.wait_for_calls(3 + 2 * n, TEST_TIMEOUT),
            "{:?}",
            agent.calls()
        );
    }
    let requests_complete_list = |call: &String| call.starts_with("GET /api/targets HTTP");
    assert!(
        agent
            .calls()
            .iter()
            .filter(|c| requests_complete_list(c))
            .count()
            >= 3,
        "after rejected lists, the complete list is requested"
    );
    // An unknown status that comes again is accepted: its node counts as draining, and the rest of the list is applied.
    agent.push_reply(AgentReply::Body(listing(70, true, &entries("resting"))));
    agent.push_reply(AgentReply::Body(listing(70, true, &entries("resting"))));
    let line = router.wait_for_line("its node counts as draining", TEST_TIMEOUT);
    assert!(
        line.is_some_and(|line| line.contains("\"resting\" is unknown")),
        "{:?}",
        router.lines()
    );
    let before = nodes[3].ran().len();
    assert_serves("with one node that rests");
    for _ in 0..10 {
        assert_serves("with one node that rests");
    }
    assert_eq!(
        nodes[3].ran().len(),
        before,
        "a node of unknown status gets no new requests"
    );
    // The agent falls silent: the list stays. Each cause is logged once, and successful calls are not logged.
    assert_serves("while the agent is silent");
    let warnings = router
        .lines()
        .iter()
        .filter(|l| l.contains("the list stays as it is"))
        .count();
    assert!(
        warnings <= calls + 1,
        "{warnings} lines for {} causes",
        calls + 1
    );
}
