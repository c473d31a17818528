//! Shared by the `standing*` tests, which run the router as a process: one group of nodes, the router's configuration, and
//! lists for an agent with scripted answers.

use plovercove_emulator::faulty_peers::{Agent, Node, NodeBehavior};
use plovercove_emulator::process::{Folder, Process};
use plovercove_emulator::{RequestClient, RequestOutcome};
use serde_json::{Value, json};
use std::path::Path;
use std::time::Duration;

/// Time after which a hanging test fails.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);
/// The timeout of a client (ms).
pub const CLIENT_TIMEOUT_MS: u64 = 900;
/// The longest deadline of a class in the settings.
pub const MAX_DEADLINE: Duration = Duration::from_millis(1_000);
/// Time after the news of a draining node during which a router may still send requests to it (us).
pub const DRAIN_GRACE_US: u64 = 1_000_000;

/// Returns an entry of the endpoint list. All entries belong to group 1.
pub fn entry(name: usize, node: &Node, primary: bool, status: &str) -> Value {
    json!({"name": format!("s-{name}"), "address": node.address().to_string(), "zone": "z", "type": "k", "group": 1,
           "status": status, "weight": 1.0, "since_ms": 0, "replication": if primary { "primary" } else { "standby" }})
}

/// Starts a primary and two replicas with these behaviours. Returns them with their entries, all serving.
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

/// Returns a copy of the list with this status for one node.
pub fn with_status(entries: &[Value], node: usize, status: &str) -> Vec<Value> {
    let mut changed = entries.to_vec();
    changed[node]["status"] = status.into();
    changed
}

/// Returns an answer of the agent with a complete list.
pub fn listing(index: u64, entries: &[Value]) -> String {
    json!({"index": index, "snapshot": true, "endpoints": entries}).to_string()
}

/// The parameters of a router process.
pub struct Start<'a> {
    /// The name of the router's temporary folder.
    pub name: &'a str,
    /// The configured address of the agent.
    pub agent: String,
    /// The entries of the remembered list, which has version 41.
    pub remembered: &'a [Value],
    /// Whether lists are pushed, as opposed to polled.
    pub pushed: bool,
    /// The limit on descriptors.
    pub sockets: u32,
}

impl<'a> Start<'a> {
    /// Returns parameters with this agent, which the router polls, and this remembered list.
    pub fn with_agent(name: &'a str, agent: &Agent, remembered: &'a [Value]) -> Self {
        Start {
            name,
            agent: agent.address().to_string(),
            remembered,
            pushed: false,
            sockets: 512,
        }
    }

    /// Returns the configuration, with an agent at this address.
    pub fn config(&self, agent: &str) -> String {
        let class = |name: &str, effect: &str| json!({"Name": name, "Aim": 400_000, "Deadline": MAX_DEADLINE.as_micros() as u64, "Gain": 1.0, "LateWorth": 0.5, "Effect": effect});
        json!({
            "name": "n1", "listen": "127.0.0.1:0", "discovery": agent, "seed": "5",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": self.sockets},
            "known": {"index": 41, "snapshot": true, "endpoints": self.remembered},
            "settings": {"Balancers": 1, "SlotNo": 0, "Tick": 5000,
                "Discovery": if self.pushed { "automatic" } else { "subscribe" }, "Zone": "z",
                "FamilyInfo": {"ClassRead": ["loose", "update"], "MaxAge": [0, 0],
                    "ServerChecks": "silent", "ShowsRole": "delayed", "SessionMarks": "client"},
                "Limits": {"Cancel": true, "ConnIdle": 30_000_000, "DialTimeout": 250_000, "MaxAttempts": 6,
                    "MaxRetryAfter": 500_000, "Probing": true, "RetryAfter": true, "SecondCopies": true},
                "Profiles": [class("look", "idempotent"), class("book", "at_most_once")],
                "Customers": [{"Name": "acme"}],
                "Report": {"How": "pull", "Names": ["x0", "x1", "inflight", "util"]},
                "Rules": {"Cold": 10_000_000, "ColdShare": 0.2, "DrainGrace": DRAIN_GRACE_US, "OverloadFactor": 4,
                    "OverloadFor": 2_000_000, "GraceToAnswer": 20_000}}})
        .to_string()
    }

    /// Starts the router. The returned folder is deleted when it is dropped.
    pub fn run(&self) -> (Process, Folder) {
        self.run_logging("info")
    }

    /// Starts the router with this log level.
    pub fn run_logging(&self, log_level: &str) -> (Process, Folder) {
        let folder = Folder::new(self.name).expect("a folder");
        let file = folder
            .write("config.json", &self.config(&self.agent))
            .expect("a file");
        let program = Path::new(env!("CARGO_BIN_EXE_plovercove"));
        let router = Process::start(program, &file, |command| {
            command.env("PROXY_LOG", log_level)
        });
        (router.expect("the router starts"), folder)
    }
}

/// Returns the text of a statement with labels.
pub fn statement(id: &str, class: &str) -> String {
    format!(
        "/* id={id},c={class},t=acme,d={CLIENT_TIMEOUT_MS},cluster=1 */ SELECT body FROM objects WHERE oid = '7f'"
    )
}

/// Sends a statement and returns its end.
pub fn ask(client: &mut RequestClient, id: &str, class: &str) -> RequestOutcome {
    client.ask(
        &statement(id, class),
        id,
        Duration::from_millis(CLIENT_TIMEOUT_MS),
    )
}
