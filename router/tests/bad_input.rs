//! Bad input at the size of a large fleet: one of 300 routers before 120 db nodes, of which most misbehave, and an agent
//! that says whatever a test words. Nothing sleeps for a fixed time; every wait has a condition and an end.

use plovercove_emulator::faulty_peers::{Agent, AgentReply, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::{RequestClient, RequestOutcome};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::path::Path;
use std::time::{Duration, Instant};

/// Ends a test that would hang.
const HANGS: Duration = Duration::from_secs(30);
const GROUPS: usize = 20;
const MEMBERS: usize = 6;
/// Requests of each client.
const EACH: usize = 20;
/// What a client waits for (ms).
const PATIENCE: u64 = 900;

/// An entry of the list.
fn entry(name: usize, node: &Node, primary: bool, status: &str) -> Value {
    json!({"name": format!("s-{name:04}"), "address": node.address().to_string(), "zone": "z", "type": "k",
           "group": name / MEMBERS + 1, "status": status, "weight": 1.0, "since_ms": 0,
           "replication": if primary { "primary" } else { "standby" }})
}

fn listing(index: u64, whole: bool, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": whole, "endpoints": entries}).to_string()
}

/// One of 300 routers, before this agent, with this list remembered.
fn start(name: &str, agent: &Agent, known: &[Value]) -> (Process, Folder) {
    let class = |name: &str, effect: &str| json!({"Name": name, "Aim": 400_000, "Deadline": 1_000_000, "Gain": 1.0, "LateWorth": 0.5, "Effect": effect});
    let config = json!({
        "name": "n1", "listen": "127.0.0.1:0", "discovery": agent.address().to_string(), "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 512},
        "known": {"index": 41, "snapshot": true, "endpoints": known},
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
        "/* id={id},c={class},t=acme,d={PATIENCE},cluster={group} */ SELECT body FROM objects WHERE oid = '7f'"
    );
    client.ask(&statement, id, Duration::from_millis(PATIENCE))
}

/// A figure of the process in /proc: the number after this word in its status (KB).
fn memory(id: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("it runs");
    let line = status
        .lines()
        .find(|line| line.starts_with("VmRSS:"))
        .expect("it is told");
    line.split_whitespace()
        .nth(1)
        .and_then(|kb| kb.parse().ok())
        .expect("a number")
}

/// CPU time of a process so far (s).
fn cpu(id: u32) -> f64 {
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

/// Lines of the log that are alike but for numbers and names, and how often each came.
fn kinds(lines: &[String]) -> HashMap<String, usize> {
    let mut found = HashMap::new();
    for line in lines {
        let said = line
            .split_once("Z ")
            .map_or(line.as_str(), |(_, said)| said);
        let bare: String = said
            .chars()
            .filter(|c| !c.is_ascii_hexdigit())
            .take(40)
            .collect();
        *found.entry(bare).or_default() += 1;
    }
    found
}

#[test]
fn every_request_has_its_one_answer_whatever_most_nodes_do() {
    // Danger: at this size a router meets every kind of bad node at once, again and again.
    let manners = [
        NodeBehavior::Healthy,
        NodeBehavior::RefuseConnection,
        NodeBehavior::CloseOnConnect,
        NodeBehavior::Silent,
        NodeBehavior::CloseOnStatement,
        NodeBehavior::ShortReport,
        NodeBehavior::MalformedReport,
    ];
    let nodes: Vec<Node> = (0..GROUPS * MEMBERS)
        .map(|n| {
            let (group, member) = (n / MEMBERS, n % MEMBERS);
            // Primaries are good but for three groups; replicas take turns with all the rest.
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
        .map(|(n, node)| entry(n, node, n % MEMBERS == 0, "active"))
        .collect();
    let agent =
        Agent::start(vec![AgentReply::Body(listing(42, true, &entries))]).expect("an agent");
    let (router, _folder) = start("rough-nodes", &agent, &entries);
    let (listen, begun) = (router.listen(), Instant::now());
    let client = |n: usize| {
        std::thread::spawn(move || {
            let mut client = RequestClient::new(listen);
            let classes = ["search", "look", "book"];
            (0..EACH)
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
    let count = |fate: RequestOutcome| answers.iter().filter(|(_, _, f)| *f == fate).count();
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
    // A write runs once at the most, over all nodes.
    let mut ran: HashMap<String, usize> = HashMap::new();
    for (id, times) in nodes.iter().flat_map(Node::ran) {
        *ran.entry(id).or_default() += times;
    }
    for (n, k) in (16..40)
        .flat_map(|n| (0..EACH).map(move |k| (n, k)))
        .filter(|(n, k)| (n + k) % 3 == 2)
    {
        let times = ran.get(&format!("{n:x}{k:04x}")).copied().unwrap_or(0);
        assert!(times <= 1, "a write ran {times} times");
    }
    let (used, took) = (cpu(router.id()), begun.elapsed().as_secs_f64());
    assert!(
        used < took / 2.0,
        "{used} s of CPU in {took} s: the loop spins"
    );
    assert!(
        memory(router.id()) < 32 * 1024,
        "{} KB",
        memory(router.id())
    );
    for (kind, times) in kinds(&router.lines()) {
        assert!(times <= 5 * nodes.len(), "{times} lines like {kind:?}");
    }
    assert!(
        !router.lines().iter().any(|line| line.contains("panicked")),
        "a panic"
    );
}

#[test]
fn no_list_however_bad_takes_the_nodes_away() {
    // Danger: what one agent says goes for all that a router knows. A list without nodes closed them all, changes of an
    // older version opened what drains, and one unknown word kept all later news out.
    let nodes: Vec<Node> = (0..MEMBERS)
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
    let mut asked = 0;
    let mut serves = |when: &str| {
        for class in ["search", "look", "book"] {
            asked += 1;
            assert_eq!(
                ask(&mut client, &format!("{asked:x}"), class, 1),
                RequestOutcome::Served,
                "{class} {when}"
            );
        }
    };
    serves("at the start");
    let stays = |cause: &str| {
        let line = router.wait_for_line(&format!("discovery: {cause}"), HANGS);
        assert!(
            line.is_some_and(|l| l.contains("the list stays as it is")),
            "{cause}: {:?}",
            router.lines()
        );
    };
    let bad = [
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
    let calls = bad.len();
    for (n, (says, cause)) in bad.into_iter().enumerate() {
        agent.push_reply(says);
        stays(cause);
        serves(cause);
        // The next call is answered well, so that pauses stay short, and the one after it waits.
        agent.push_reply(good(50 + n as u64));
        assert!(
            agent.wait_for_calls(3 + 2 * n, HANGS),
            "{:?}",
            agent.calls()
        );
    }
    let whole = |call: &String| call.starts_with("GET /api/targets HTTP");
    assert!(
        agent.calls().iter().filter(|c| whole(c)).count() >= 3,
        "what was doubted is asked for whole"
    );
    // A word that comes again is no accident: its node drains, and the news beside it goes through.
    agent.push_reply(AgentReply::Body(listing(70, true, &entries("resting"))));
    agent.push_reply(AgentReply::Body(listing(70, true, &entries("resting"))));
    let said = router.wait_for_line("its node counts as draining", HANGS);
    assert!(
        said.is_some_and(|line| line.contains("\"resting\" is unknown")),
        "{:?}",
        router.lines()
    );
    let before = nodes[3].ran().len();
    serves("with one node that rests");
    for _ in 0..10 {
        serves("with one node that rests");
    }
    assert_eq!(
        nodes[3].ran().len(),
        before,
        "a node of unknown status gets nothing new"
    );
    // The agent says nothing any more: the list stays. One line for each cause, and none for what went well.
    serves("while the agent is silent");
    let stayed = router
        .lines()
        .iter()
        .filter(|l| l.contains("the list stays as it is"))
        .count();
    assert!(
        stayed <= calls + 1,
        "{stayed} lines for {} causes",
        calls + 1
    );
}
