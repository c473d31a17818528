//! What the tests of the standing test's sentences share: one router before one group, and an agent that says what a test
//! words.

use plovercove_emulator::faulty_peers::{Agent, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::{RequestClient, RequestOutcome};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// Ends a test that would hang; no test waits for it.
pub const HANGS: Duration = Duration::from_secs(40);
/// What a client waits for (ms), and the longest deadline of the settings.
pub const PATIENCE: u64 = 900;
/// See `PATIENCE`.
pub const DEADLINE: Duration = Duration::from_millis(1_000);
/// How long after it was told a router may still send to a node that drains (us).
pub const GRACE: u64 = 1_000_000;

/// An entry of the list; all are of group 1.
pub fn entry(name: usize, node: &Node, primary: bool, status: &str) -> Value {
    json!({"name": format!("s-{name}"), "address": node.address().to_string(), "zone": "z", "type": "k", "group": 1,
           "status": status, "weight": 1.0, "since_ms": 0, "replication": if primary { "primary" } else { "standby" }})
}

/// A primary and two replicas that behave so, with their entries, all serving.
pub fn group(manners: [NodeBehavior; 3]) -> (Vec<Node>, Vec<Value>) {
    let start = |(n, manner)| Node::start(manner, n == 0).expect("a node");
    let nodes: Vec<Node> = manners.into_iter().enumerate().map(start).collect();
    let entries = nodes
        .iter()
        .enumerate()
        .map(|(n, node)| entry(n, node, n == 0, "active"))
        .collect();
    (nodes, entries)
}

/// The same list with this status for one of its nodes.
pub fn with_status(entries: &[Value], node: usize, status: &str) -> Vec<Value> {
    let mut changed = entries.to_vec();
    changed[node]["status"] = status.into();
    changed
}

/// An answer of the agent: a whole list.
pub fn listing(index: u64, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": true, "endpoints": entries}).to_string()
}

/// How a router is started.
pub struct Start<'a> {
    /// The name of its folder.
    pub name: &'a str,
    /// Where it looks for its agent.
    pub agent: String,
    /// What it remembers of the list, as version 41.
    pub known: &'a [Value],
    /// Whether lists are pushed to it.
    pub pushed: bool,
    /// Descriptors that it may have.
    pub sockets: u32,
}

impl<'a> Start<'a> {
    /// Before this agent, remembering this list, which is asked for.
    pub fn before(name: &'a str, agent: &Agent, known: &'a [Value]) -> Self {
        Start {
            name,
            agent: agent.address().to_string(),
            known,
            pushed: false,
            sockets: 512,
        }
    }

    /// Its configuration, with an agent at this address.
    pub fn config(&self, agent: &str) -> String {
        let class = |name: &str, effect: &str| json!({"Name": name, "Aim": 400_000, "Deadline": DEADLINE.as_micros() as u64, "Gain": 1.0, "LateWorth": 0.5, "Effect": effect});
        json!({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": agent, "seed": "5",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.sockets},
            "known": {"index": 41, "snapshot": true, "endpoints": self.known},
            "settings": {"Balancers": 1, "SlotNo": 0, "Tick": 5000,
                "Discovery": if self.pushed { "automatic" } else { "subscribe" }, "Zone": "z",
                "FamilyInfo": {"ClassRead": ["loose", "update"], "MaxAge": [0, 0],
                    "ServerChecks": "silent", "ShowsRole": "delayed", "SessionMarks": "client"},
                "Limits": {"Cancel": true, "ConnIdle": 30_000_000, "DialTimeout": 250_000, "MaxAttempts": 6,
                    "MaxRetryAfter": 500_000, "Probing": true, "RetryAfter": true, "SecondCopies": true},
                "Profiles": [class("look", "idempotent"), class("book", "at_most_once")],
                "Customers": [{"Name": "acme"}],
                "Report": {"How": "pull", "Names": ["x0", "x1", "inflight", "util"]},
                "Rules": {"Cold": 10_000_000, "ColdShare": 0.2, "DrainGrace": GRACE, "OverloadFactor": 4,
                    "OverloadFor": 2_000_000, "GraceToAnswer": 20_000}}})
        .to_string()
    }

    /// Starts it. The folder goes with its owner.
    pub fn run(&self) -> (Process, Folder) {
        self.run_logging("info")
    }

    /// The same, logging so much.
    pub fn run_logging(&self, log: &str) -> (Process, Folder) {
        let folder = Folder::new(self.name).expect("a folder");
        let file = folder
            .write("config.json", &self.config(&self.agent))
            .expect("a file");
        let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
        let router = Process::start(program, &file, |command| command.env("PROXY_LOG", log));
        (router.expect("the router starts"), folder)
    }
}

/// The text of a request.
pub fn statement(id: &str, class: &str) -> String {
    format!(
        "/* id={id},c={class},t=acme,d={PATIENCE},cluster=1 */ SELECT body FROM objects WHERE oid = '7f'"
    )
}

/// Asks one thing.
pub fn ask(client: &mut RequestClient, id: &str, class: &str) -> RequestOutcome {
    client.ask(&statement(id, class), id, Duration::from_millis(PATIENCE))
}
