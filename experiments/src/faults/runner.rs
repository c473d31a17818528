//! Runs a scenario: starts the processes, the emulated nodes, the links and the clients, and injects the faults on time.

use super::{Scenario, What, Zone};
use crate::sockets;
use plovercove_emulator::counting_node::{CountingNode as Node, InjectedFaults};
use plovercove_emulator::links::{LinkConditions, Links, Traffic};
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use plovercove_emulator::tcp_relay::TcpRelay;
use plovercove_emulator::{Agent, Entry, RequestClient, RequestOutcome};
use plovercove_gossip::{Envelope, Incarnation, Keys, Observation, Record as GossipRecord};
use plovercove_simulation::{ClassSpec, Reads, Spec, ZoneSpec};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, UdpSocket};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Maximum time until all routers have found each other. A run that takes longer is given up.
const MAX_JOIN_TIME: Duration = Duration::from_secs(30);
/// Additional time to wait for agreement after the time bound, so that the checker can report how late it was.
const AGREEMENT_GRACE: Duration = Duration::from_secs(10);
/// Maximum time between SIGTERM and the exit of a process. A process that takes longer is killed, and the checker reports
/// it.
const MAX_EXIT_TIME: Duration = Duration::from_secs(8);
/// Interval at which the logs are read.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Drain grace in the settings of the routers.
pub const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Additional time that the emulated nodes allow for the transfer of the list to the routers.
pub const LIST_DELAY_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time for which a client waits for an answer (ms).
pub const CLIENT_TIMEOUT_MS: u64 = 900;

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessExit {
    /// The process was killed.
    Killed,
    /// The process received SIGTERM. It exited with this code, or not in time if there is none.
    Terminated(Option<i32>),
    /// The process exited without a signal, with this code.
    Unexpected(Option<i32>),
}

/// A line of a log.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Time since the beginning of the run (s).
    pub at: f64,
    /// Fields of the JSON object.
    pub fields: Value,
}

/// One router process, from its start to its exit.
#[derive(Debug)]
pub struct ProcessRun {
    /// Number of the router.
    pub router: usize,
    /// Whether this is the second process with that router's name.
    pub is_twin: bool,
    /// Time of the start (s).
    pub from: f64,
    /// Time of the exit (s).
    pub until: f64,
    /// Outcome.
    pub exit: ProcessExit,
    /// Lines of its log.
    pub log: Vec<LogLine>,
    /// CPU time (s).
    pub cpu: f64,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Number of the router to which it was sent.
    pub router: usize,
    /// When (s).
    pub at: f64,
    /// Time until the outcome (s).
    pub took: f64,
    /// Id of the request.
    pub id: String,
    /// Whether the request is a write.
    pub is_write: bool,
    /// Outcome.
    pub outcome: RequestOutcome,
}

/// A statement that a node received.
#[derive(Clone, Debug)]
pub struct ReceivedStatement {
    /// When (s).
    pub at: f64,
    /// Id of the request.
    pub id: String,
}

/// The time in which a fault was in force on a router or a node.
#[derive(Clone, Debug)]
pub struct FaultInterval {
    /// Number of the router or node.
    pub target: usize,
    /// Beginning of the fault (s).
    pub from: f64,
    /// End of the fault (s).
    pub until: f64,
}

/// The record of a run, from which the checker works.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// Router processes.
    pub processes: Vec<ProcessRun>,
    /// Requests of all clients.
    pub requests: Vec<RequestRecord>,
    /// Faults that were injected into router processes.
    pub process_faults: Vec<FaultInterval>,
    /// Intervals in which links between routers were faulty.
    pub link_faults: Vec<(f64, f64)>,
    /// Faults of nodes, and of the connections to them.
    pub node_faults: Vec<FaultInterval>,
    /// Number of times that each write ran, over all nodes, by id.
    pub write_counts: HashMap<String, u32>,
    /// Number of statements that each node received after the drain grace.
    pub statements_after_drain: Vec<u64>,
    /// Statements that each node received and did not answer in time and without error.
    pub unserved: Vec<Vec<ReceivedStatement>>,
    /// Counters of the links between routers.
    pub traffic: Traffic,
    /// Time until all routers had found each other (s).
    pub joined_after: f64,
    /// Time at which the last fault ended (s).
    pub faults_end: f64,
    /// Time at which the shutdown of all processes began (s).
    pub shutdown_start: f64,
    /// Time at which all routers agreed after the last fault (s). It is `None` if they did not agree in time.
    pub agreed_at: Option<f64>,
    /// Zone and group of each node.
    pub node_placement: Vec<(usize, usize)>,
}

/// Returns the routers or nodes that a name of a scenario stands for. `letter` is that of their names, and `zone_of` has the
/// index of the zone of each.
///
/// # Errors
/// The name stands for no router and no node.
pub fn select(
    name: &str,
    letter: char,
    zone_of: &[usize],
    zones: &[Zone],
) -> Result<Vec<usize>, String> {
    if name == "*" {
        return Ok((0..zone_of.len()).collect());
    }
    if let Some(zone) = zones.iter().position(|z| z.name == name) {
        return Ok((0..zone_of.len()).filter(|n| zone_of[*n] == zone).collect());
    }
    let number = name
        .strip_prefix(letter)
        .and_then(|n| n.parse::<usize>().ok())
        .filter(|n| *n < zone_of.len());
    number
        .map(|n| vec![n])
        .ok_or_else(|| format!("there is no {name:?}"))
}

/// Returns the specification from which the configuration of the routers follows.
fn spec(scenario: &Scenario) -> Result<Spec, String> {
    let class = |name: &str, reads: Reads| ClassSpec {
        name: name.into(),
        share: 1.0,
        work_ms: 2.0,
        spread: 0.5,
        aim_ms: 300,
        deadline_ms: CLIENT_TIMEOUT_MS,
        worth: 1.0,
        late: 0.5,
        reads,
        blocks: false,
    };
    let zone = |z: &Zone| ZoneSpec {
        name: z.name.clone(),
        nodes: z.nodes,
        routers: z.routers,
    };
    let zones: Vec<ZoneSpec> = scenario.zones.iter().map(zone).collect();
    let classes = [
        class("search", Reads::Bounded(3_000)),
        class("look", Reads::Any),
        class("book", Reads::Write),
    ];
    serde_json::from_value(json!({"seconds": 1.0, "zones": zones, "classes": classes}))
        .map_err(|e| e.to_string())
}

/// A router with its agent, its relays and its current process.
struct RouterSlot {
    zone: usize,
    agent: Agent,
    /// Relay to the agent, followed by one to each node. It is empty if the scenario has no relays.
    relays: Vec<TcpRelay>,
    /// Current process, with the time of its start.
    process: Option<(Process, f64)>,
    /// Number of log lines that were already evaluated.
    lines_read: usize,
    /// Number of members that the router last logged.
    seen: Option<u64>,
    /// Last logged level of each node.
    levels: BTreeMap<String, String>,
}

/// Entry of a node in the list, as far as it changes.
#[derive(Clone, Default)]
struct Listing {
    name: String,
    started: Option<u64>,
    draining: bool,
}

/// The running fleet of a scenario.
struct Testbed<'a> {
    scenario: &'a Scenario,
    program: &'a Path,
    /// Guard that the routers disable.
    disabled_guard: Option<&'a str>,
    seed: u64,
    folder: Folder,
    spec: Spec,
    router_zones: Vec<usize>,
    slots: Vec<RouterSlot>,
    nodes: Vec<Node>,
    listings: Vec<Listing>,
    links: Links,
    /// Second processes with the name of a router: number of the router, process and time of its start.
    twins: Vec<(usize, Process, f64)>,
    /// Address of each router for clients, while it accepts them.
    listen_addresses: Arc<Vec<Mutex<Option<SocketAddr>>>>,
    /// Stop flags of the threads that flood routers, by number of the fault.
    floods: Vec<(usize, Arc<AtomicBool>)>,
    /// Time from which the times of the record count.
    time_zero: SystemTime,
    record: RunRecord,
    /// Link conditions of each fault in force, by number of the fault: sender, receiver and conditions.
    link_conditions: BTreeMap<usize, Vec<(usize, usize, LinkConditions)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the CPU time that a process has used (s).
fn cpu_time(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat
        .rsplit_once(')')
        .map_or("", |f| f.1)
        .split_whitespace()
        .skip(11)
        .take(2);
    fields.filter_map(|f| f.parse::<f64>().ok()).sum::<f64>() / 100.0
}

impl Testbed<'_> {
    fn now(&self) -> f64 {
        seconds_since(self.time_zero, SystemTime::now())
    }

    fn operators_file(&self, advertise: Option<SocketAddr>) -> Result<String, String> {
        let Some(rules) = &self.scenario.peers else {
            return Ok(String::new());
        };
        let mut rules: Map<String, Value> = rules.clone();
        rules.insert("installation".into(), "rig".into());
        let seeds = (0..self.router_zones.len().min(3))
            .map(|n| self.links.address(n).map(|a| a.to_string()));
        let seeds = seeds
            .collect::<Result<Vec<_>, _>>()
            .map_err(|e| e.to_string())?;
        rules.insert("seeds".into(), json!(seeds));
        let mut peers = json!({"listen": "127.0.0.1:0", "key_file": "key", "rules": rules});
        if let Some(at) = advertise {
            peers["advertise"] = at.to_string().into();
        }
        Ok(format!("peers = {peers}\n"))
    }

    /// Starts a process of a router, or a second process with the same name.
    fn start_process(&mut self, n: usize, is_twin: bool) -> Result<(), String> {
        let slot = &self.slots[n];
        let agent = slot
            .relays
            .first()
            .map_or(slot.agent.address(), TcpRelay::address);
        let config = sockets::config(&self.spec, n, &self.scenario.zones[slot.zone].name, agent);
        let name = if is_twin {
            format!("n{n}-twin")
        } else {
            format!("n{n}")
        };
        let to_text = |e: std::io::Error| e.to_string();
        let advertise = if is_twin {
            None
        } else {
            Some(self.links.address(n).map_err(to_text)?)
        };
        let file = self
            .folder
            .write(&format!("{name}.json"), &config.to_string())
            .map_err(to_text)?;
        let rules = self
            .folder
            .write(&format!("{name}.star"), &self.operators_file(advertise)?)
            .map_err(to_text)?;
        let disabled_guard = self.disabled_guard;
        let process = Process::start(self.program, &file, |command| {
            command
                .args(["--log-format", "json", "--operators"])
                .arg(&rules);
            match disabled_guard {
                Some(guard) => command.env("PLOVERCOVE_WITHOUT", guard),
                None => command,
            }
        });
        let process = process.map_err(|e| format!("{name}: {e}"))?;
        let from = self.now();
        if is_twin {
            self.twins.push((n, process, from));
            return Ok(());
        }
        let lines = process.lines();
        let peers = lines
            .iter()
            .filter_map(|l| serde_json::from_str::<Value>(l).ok());
        let peers = peers
            .filter_map(|v| v["peers"].as_str()?.parse::<SocketAddr>().ok())
            .next();
        if let Some(at) = peers {
            self.links.set_router_address(n, at);
        }
        *lock(&self.listen_addresses[n]) = Some(process.listen());
        let slot = &mut self.slots[n];
        slot.process = Some((process, from));
        (slot.lines_read, slot.seen) = (0, None);
        slot.levels.clear();
        Ok(())
    }

    /// Adds a process to the record, and ends it if necessary. `terminated` is `Some(true)` if the process received SIGTERM,
    /// `Some(false)` if it has to be killed, and `None` if it exited without a signal.
    fn record_exit(
        &mut self,
        n: usize,
        is_twin: bool,
        mut process: Process,
        from: f64,
        terminated: Option<bool>,
    ) {
        let used = cpu_time(process.id());
        let exit = match terminated {
            Some(true) => {
                let status = process.wait_for_exit(MAX_EXIT_TIME);
                ProcessExit::Terminated(status.and_then(|s| s.code()))
            }
            Some(false) => {
                process.send_signal(ProcessSignal::Kill);
                let _ = process.wait_for_exit(MAX_EXIT_TIME);
                ProcessExit::Killed
            }
            None => ProcessExit::Unexpected(
                process.wait_for_exit(Duration::ZERO).and_then(|s| s.code()),
            ),
        };
        let until = self.now();
        let log = process
            .lines()
            .iter()
            .filter_map(|line| self.parse_log_line(line))
            .collect();
        self.record.processes.push(ProcessRun {
            router: n,
            is_twin,
            from,
            until,
            exit,
            log,
            cpu: used,
        });
    }

    fn parse_log_line(&self, line: &str) -> Option<LogLine> {
        let fields: Value = serde_json::from_str(line).ok()?;
        let at = humantime::parse_rfc3339(fields["timestamp"].as_str()?).ok()?;
        Some(LogLine {
            at: seconds_since(self.time_zero, at),
            fields,
        })
    }

    fn end_process(&mut self, n: usize, terminate: bool) {
        if let Some((mut process, from)) = self.slots[n].process.take() {
            if terminate {
                process.send_signal(ProcessSignal::Continue);
                process.send_signal(ProcessSignal::Term);
            }
            *lock(&self.listen_addresses[n]) = None;
            self.record_exit(n, false, process, from, Some(terminate));
        }
    }

    fn send_signal(&mut self, n: usize, signal: ProcessSignal) {
        if let Some((process, _)) = &mut self.slots[n].process {
            process.send_signal(signal);
        }
    }

    fn restart_if_ended(&mut self, n: usize) -> Result<(), String> {
        if self.slots[n].process.is_none() {
            self.start_process(n, false)
        } else {
            Ok(())
        }
    }

    /// Publishes the current list of nodes through the agents of all routers.
    fn publish_list(&self) {
        for slot in &self.slots {
            let entries = self.nodes.iter().enumerate().map(|(n, node)| {
                let (zone, group) = self.record.node_placement[n];
                let listing = &self.listings[n];
                Entry {
                    name: listing.name.clone(),
                    address: slot
                        .relays
                        .get(n + 1)
                        .map_or(node.address(), TcpRelay::address),
                    zone: self.scenario.zones[zone].name.clone(),
                    group: group as u64 + 1,
                    head: n.is_multiple_of(self.scenario.members),
                    started: listing.started,
                    draining: listing.draining,
                }
            });
            slot.agent.set_list(entries);
        }
    }

    /// Reads the new log lines. Returns whether all running routers see each other and agree that no node is ejected.
    fn has_agreement(&mut self) -> bool {
        let up = self.slots.iter().filter(|p| p.process.is_some()).count() + self.twins.len();
        for slot in &mut self.slots {
            let Some((process, _)) = &slot.process else {
                continue;
            };
            for line in process.since(slot.lines_read) {
                slot.lines_read += 1;
                let Ok(fields) = serde_json::from_str::<Value>(&line) else {
                    continue;
                };
                slot.seen = fields["seen"].as_u64().or(slot.seen);
                if fields["reason"] == "verdict"
                    && let (Some(node), Some(level)) =
                        (fields["node"].as_str(), fields["level"].as_str())
                {
                    slot.levels.insert(node.into(), level.into());
                }
            }
        }
        let peers = self.scenario.peers.is_some();
        let running = || self.slots.iter().filter(|p| p.process.is_some());
        !peers
            || running()
                .all(|p| p.seen == Some(up as u64) && p.levels.values().all(|level| level == "in"))
    }

    fn wait_for_agreement(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            if self.has_agreement() {
                return true;
            }
            if Instant::now() >= until || INTERRUPTED.load(Ordering::Relaxed) {
                return false;
            }
            std::thread::sleep(LOG_POLL_INTERVAL);
        }
    }

    fn routers(&self, names: &[String]) -> Vec<usize> {
        let each = |name: &String| {
            select(name, 'n', &self.router_zones, &self.scenario.zones).unwrap_or_default()
        };
        let mut all: Vec<usize> = names.iter().flat_map(each).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    fn nodes(&self, names: &[String]) -> Vec<usize> {
        let router_zones: Vec<usize> = self.record.node_placement.iter().map(|p| p.0).collect();
        let each = |name: &String| {
            select(name, 's', &router_zones, &self.scenario.zones).unwrap_or_default()
        };
        let mut all: Vec<usize> = names.iter().flat_map(each).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Sets the conditions of all links from the faults that are in force.
    fn apply_link_conditions(&self) {
        let routers = self.router_zones.len();
        let mut all: HashMap<(usize, usize), LinkConditions> = HashMap::new();
        for (from, to, conditions) in self.link_conditions.values().flatten() {
            let combined = all.entry((*from, *to)).or_default();
            *combined = combined.and(*conditions);
        }
        for from in 0..routers {
            for to in 0..routers {
                self.links.set_conditions(
                    from,
                    to,
                    all.get(&(from, to)).copied().unwrap_or_default(),
                );
            }
        }
    }

    fn inject_node_faults(&mut self, nodes: &[usize], faults: &InjectedFaults) {
        for n in nodes {
            self.nodes[*n].set_faults(faults.clone());
        }
    }

    fn cut_relays(&self, routers: &[usize], nodes: &[usize], outbound: bool, inbound: bool) {
        for r in routers {
            for n in nodes {
                if let Some(relay) = self.slots[*r].relays.get(n + 1) {
                    relay.cut(outbound, inbound);
                }
            }
        }
    }

    fn list_as_started_now(&mut self, nodes: &[usize]) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64);
        for n in nodes {
            self.listings[*n].started = Some(now);
        }
        self.publish_list();
    }

    fn begin_fault(&mut self, key: usize, what: &What) -> Result<(), String> {
        match what {
            What::Kill { routers } => self
                .routers(routers)
                .into_iter()
                .for_each(|n| self.end_process(n, false)),
            What::Term { routers } => {
                for n in self.routers(routers) {
                    self.send_signal(n, ProcessSignal::Term);
                    *lock(&self.listen_addresses[n]) = None;
                }
            }
            What::Stop { routers } => {
                self.routers(routers)
                    .into_iter()
                    .for_each(|n| self.send_signal(n, ProcessSignal::Stop));
            }
            // The plan has separate steps for these.
            What::Duty { .. } | What::Rolling { .. } => {}
            What::Twin { router } => {
                for n in self.routers(std::slice::from_ref(router)) {
                    self.start_process(n, true)?;
                }
            }
            What::Link { from, to, weather } => {
                let (from, to) = (self.routers(from), self.routers(to));
                let all = from
                    .iter()
                    .flat_map(|f| to.iter().map(move |t| (*f, *t, *weather)));
                let all = all.filter(|(f, t, _)| f != t).collect();
                self.link_conditions.insert(key, all);
                self.apply_link_conditions();
            }
            What::Partition { parts } => {
                let parts: Vec<Vec<usize>> = parts.iter().map(|p| self.routers(p)).collect();
                let of = |n: usize| parts.iter().position(|p| p.contains(&n));
                let cut = LinkConditions {
                    cut: true,
                    ..LinkConditions::default()
                };
                let all = (0..self.router_zones.len())
                    .flat_map(|f| (0..self.router_zones.len()).map(move |t| (f, t)));
                let all = all
                    .filter(|(f, t)| of(*f) != of(*t))
                    .map(|(f, t)| (f, t, cut))
                    .collect();
                self.link_conditions.insert(key, all);
                self.apply_link_conditions();
            }
            What::Flood { routers, rate } => {
                for n in self.routers(routers) {
                    let to = self.links.address(n).map_err(|e| e.to_string())?;
                    let stop = Arc::new(AtomicBool::new(false));
                    self.floods.push((key, stop.clone()));
                    let gap = Duration::from_secs_f64(1.0 / f64::from((*rate).max(1)));
                    std::thread::spawn(move || flood(to, gap, &stop));
                }
            }
            What::NodeDown { nodes } => {
                let nodes = self.nodes(nodes);
                self.inject_node_faults(
                    &nodes,
                    &InjectedFaults {
                        down: true,
                        ..InjectedFaults::default()
                    },
                );
            }
            What::NodeSilent { nodes } => {
                let nodes = self.nodes(nodes);
                self.inject_node_faults(
                    &nodes,
                    &InjectedFaults {
                        silent: true,
                        ..InjectedFaults::default()
                    },
                );
            }
            What::NodeErrors { nodes, class } => {
                let nodes = self.nodes(nodes);
                self.inject_node_faults(
                    &nodes,
                    &InjectedFaults {
                        errors: Some(class.clone()),
                        ..InjectedFaults::default()
                    },
                );
            }
            What::NodeSlow { nodes, ms } => {
                let nodes = self.nodes(nodes);
                self.inject_node_faults(
                    &nodes,
                    &InjectedFaults {
                        slow: Duration::from_millis(*ms),
                        ..InjectedFaults::default()
                    },
                );
            }
            What::Wires {
                routers,
                nodes,
                home_only,
            } => {
                self.cut_relays(&self.routers(routers), &self.nodes(nodes), !home_only, true);
            }
            What::AgentSilent { routers } => {
                self.routers(routers)
                    .into_iter()
                    .for_each(|n| self.slots[n].agent.set_silent(true));
            }
            What::Drain { nodes } => {
                for n in self.nodes(nodes) {
                    self.listings[n].draining = true;
                    self.nodes[n].set_drain_deadline(Some(
                        Instant::now() + DRAIN_GRACE + LIST_DELAY_ALLOWANCE,
                    ));
                }
                self.publish_list();
            }
            What::Rename { node } => {
                let nodes = self.nodes(std::slice::from_ref(node));
                nodes
                    .iter()
                    .for_each(|n| self.listings[*n].name = format!("s{n}-new"));
                self.list_as_started_now(&nodes);
            }
        }
        Ok(())
    }

    fn end_fault(&mut self, key: usize, what: &What) -> Result<(), String> {
        match what {
            What::Kill { routers } => {
                for n in self.routers(routers) {
                    self.restart_if_ended(n)?;
                }
            }
            What::Term { routers } => {
                for n in self.routers(routers) {
                    self.end_process(n, true);
                    self.restart_if_ended(n)?;
                }
            }
            What::Stop { routers } | What::Duty { routers, .. } => {
                self.routers(routers)
                    .into_iter()
                    .for_each(|n| self.send_signal(n, ProcessSignal::Continue));
            }
            What::Twin { .. } => {
                for (n, mut process, from) in std::mem::take(&mut self.twins) {
                    process.send_signal(ProcessSignal::Term);
                    self.record_exit(n, true, process, from, Some(true));
                }
            }
            What::Link { .. } | What::Partition { .. } => {
                self.link_conditions.remove(&key);
                self.apply_link_conditions();
            }
            What::Flood { .. } => {
                let floods = self.floods.iter().filter(|(k, _)| *k == key);
                floods.for_each(|(_, stop)| stop.store(true, Ordering::Relaxed));
            }
            What::NodeDown { nodes } => {
                let nodes = self.nodes(nodes);
                self.inject_node_faults(&nodes, &InjectedFaults::default());
                self.list_as_started_now(&nodes);
            }
            What::NodeSilent { nodes }
            | What::NodeErrors { nodes, .. }
            | What::NodeSlow { nodes, .. } => {
                let nodes = self.nodes(nodes);
                self.inject_node_faults(&nodes, &InjectedFaults::default());
            }
            What::Wires { routers, nodes, .. } => {
                self.cut_relays(&self.routers(routers), &self.nodes(nodes), false, false);
            }
            What::AgentSilent { routers } => {
                self.routers(routers)
                    .into_iter()
                    .for_each(|n| self.slots[n].agent.set_silent(false));
            }
            What::Drain { nodes } => {
                for n in self.nodes(nodes) {
                    self.listings[n].draining = false;
                    self.nodes[n].set_drain_deadline(None);
                }
                self.publish_list();
            }
            What::Rolling { .. } | What::Rename { .. } => {}
        }
        Ok(())
    }

    /// Adds a fault to the record for the checker.
    fn record_fault(&mut self, fault: &super::Fault) {
        let (from, until) = (fault.at, fault.until);
        let what = &fault.what;
        if matches!(what, What::Partition { .. } | What::Link { .. }) {
            self.record.link_faults.push((from, until));
        }
        if super::random_faults::is_process_fault(what) {
            let routers = self.routers(&what.routers());
            self.record
                .process_faults
                .extend(routers.into_iter().map(|target| FaultInterval {
                    target,
                    from,
                    until,
                }));
        }
        let nodes = self.nodes(&what.nodes());
        self.record
            .node_faults
            .extend(nodes.into_iter().map(|target| FaultInterval {
                target,
                from,
                until,
            }));
    }
}

/// Set when the program is interrupted. All runs then end their processes and fail.
pub static INTERRUPTED: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

fn check_interrupt() -> Result<(), String> {
    if INTERRUPTED.load(Ordering::Relaxed) {
        Err("interrupted".into())
    } else {
        Ok(())
    }
}

/// Waits for this time. Returns an error as soon as the program is interrupted.
fn pause(seconds: f64) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs_f64(seconds.max(0.0));
    while Instant::now() < until {
        check_interrupt()?;
        std::thread::sleep(
            until
                .saturating_duration_since(Instant::now())
                .min(LOG_POLL_INTERVAL),
        );
    }
    check_interrupt()
}

fn seconds_since(zero: SystemTime, at: SystemTime) -> f64 {
    match at.duration_since(zero) {
        Ok(after) => after.as_secs_f64(),
        Err(before) => -before.duration().as_secs_f64(),
    }
}

/// Sends datagrams that are sealed with another key. They report failures of a node, under names of existing and unknown
/// routers.
fn flood(to: SocketAddr, interval: Duration, stop: &AtomicBool) {
    let (Ok(socket), Ok(keys)) = (
        UdpSocket::bind(("127.0.0.1", 0)),
        Keys::new("rig", b"a key that nobody here has", None),
    ) else {
        return;
    };
    let observation = Observation {
        no_reply: 50,
        duration_tenths_s: 50,
        nodes_seen: 9,
        nodes_failing: 1,
        ..Observation::default()
    };
    let mut seq = 0;
    while !stop.load(Ordering::Relaxed) {
        seq += 1;
        let sender = seq % 6;
        let from = Incarnation {
            address: SocketAddr::from(([127, 0, 0, 9], 9 + sender as u16)),
            boot: u64::MAX / 2,
            renewals: 0,
            name: format!("n{}", sender * 20),
            zone: ["a", "b", "c"][(sender % 3) as usize].into(),
        };
        let record = GossipRecord::from_observation(&from, seq, &"s4".into(), None, &observation);
        let parts = record.and_then(|r| r.to_part()).into_iter().collect();
        if let Some(bytes) = keys.seal(&Envelope {
            from,
            seq,
            clock_ms: seq,
            parts,
        }) {
            let _ = socket.send_to(&bytes, to);
        }
        std::thread::sleep(interval);
    }
}

/// A client of a router. It sends requests at fixed times, and continues after the router was restarted.
struct Client {
    router: usize,
    name: u64,
    /// Time between two requests (s).
    gap: f64,
    groups: usize,
    zone: String,
    time_zero: SystemTime,
    listen_addresses: Arc<Vec<Mutex<Option<SocketAddr>>>>,
    stop: Arc<AtomicBool>,
}

fn run_client(client: Client) -> Vec<RequestRecord> {
    let Client {
        router,
        name,
        gap,
        groups,
        zone,
        time_zero,
        listen_addresses,
        stop,
    } = client;
    let mut requests = Vec::new();
    let mut connection: Option<(SocketAddr, RequestClient)> = None;
    let started = Instant::now();
    let mut count = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        std::thread::sleep(
            Duration::from_secs_f64(gap * count as f64).saturating_sub(started.elapsed()),
        );
        let Some(listen) = *lock(&listen_addresses[router]) else {
            connection = None;
            continue;
        };
        if connection.as_ref().is_none_or(|(at, _)| *at != listen) {
            connection = Some((listen, RequestClient::new(listen)));
        }
        let Some((_, client)) = &mut connection else {
            continue;
        };
        let class = ["search", "look", "book"][(count % 3) as usize];
        let group = (name + count / 3) as usize % groups + 1;
        let id = format!("{:x}{count:08x}", name + 16);
        let what = if class == "book" { "INSERT" } else { "SELECT" };
        let statement = format!(
            "/* id={id},c={class},t={zone},d={CLIENT_TIMEOUT_MS},cluster={group} */ {what} 'k'"
        );
        let (at, from) = (seconds_since(time_zero, SystemTime::now()), Instant::now());
        let outcome = client.ask(&statement, &id, Duration::from_millis(CLIENT_TIMEOUT_MS));
        let took = from.elapsed().as_secs_f64();
        requests.push(RequestRecord {
            router,
            at,
            took,
            id,
            is_write: class == "book",
            outcome,
        });
    }
    requests
}

/// Runs a scenario to its end and returns the record.
///
/// # Errors
/// The run could not be set up, because a process does not start or because the routers do not find each other, or the
/// program was interrupted.
pub fn run_scenario(
    scenario: &Scenario,
    program: &Path,
    seed: u64,
    disabled_guard: Option<&str>,
) -> Result<RunRecord, String> {
    static RUNS: AtomicU64 = AtomicU64::new(0);
    let to_text = |e: std::io::Error| e.to_string();
    let (router_zones, placed) = (scenario.routers(), scenario.nodes());
    let number = RUNS.fetch_add(1, Ordering::Relaxed);
    let folder = Folder::new(&format!("faults-{seed}-{number}")).map_err(to_text)?;
    folder
        .write("key", "the key of the rig, as long as it must be")
        .map_err(to_text)?;
    let node = |n: usize| Node::start(n.is_multiple_of(scenario.members));
    let nodes = (0..placed.len())
        .map(node)
        .collect::<Result<Vec<_>, _>>()
        .map_err(to_text)?;
    let mut slots = Vec::new();
    for zone in &router_zones {
        let agent = Agent::start().map_err(to_text)?;
        let targets = std::iter::once(agent.address()).chain(nodes.iter().map(Node::address));
        let targets = targets.filter(|_| scenario.wires);
        let relays = targets
            .map(TcpRelay::start)
            .collect::<Result<Vec<_>, _>>()
            .map_err(to_text)?;
        let levels = BTreeMap::new();
        slots.push(RouterSlot {
            zone: *zone,
            agent,
            relays,
            process: None,
            lines_read: 0,
            seen: None,
            levels,
        });
    }
    let listing = |n: usize| Listing {
        name: format!("s{n}"),
        ..Listing::default()
    };
    let mut testbed = Testbed {
        scenario,
        program,
        disabled_guard,
        seed,
        spec: spec(scenario)?,
        links: Links::start(router_zones.len(), seed).map_err(to_text)?,
        listen_addresses: Arc::new(router_zones.iter().map(|_| Mutex::new(None)).collect()),
        listings: (0..nodes.len()).map(listing).collect(),
        folder,
        router_zones,
        slots,
        nodes,
        twins: Vec::new(),
        floods: Vec::new(),
        time_zero: SystemTime::now(),
        record: RunRecord {
            node_placement: placed,
            ..RunRecord::default()
        },
        link_conditions: BTreeMap::new(),
    };
    testbed.publish_list();
    for n in 0..testbed.router_zones.len() {
        check_interrupt()?;
        testbed.start_process(n, false)?;
    }
    if !testbed.wait_for_agreement(MAX_JOIN_TIME) {
        let seen: Vec<_> = testbed.slots.iter().map(|p| p.seen).collect();
        return Err(format!("the routers do not find each other: {seen:?}"));
    }
    testbed.record.joined_after = testbed.now();
    testbed.time_zero = SystemTime::now();
    let joined = testbed.record.joined_after;
    testbed
        .slots
        .iter_mut()
        .for_each(|p| p.process.iter_mut().for_each(|(_, from)| *from -= joined));
    let stop = Arc::new(AtomicBool::new(false));
    let groups = testbed
        .record
        .node_placement
        .iter()
        .map(|p| p.1)
        .max()
        .unwrap_or(0)
        + 1;
    let loaded_routers = testbed.routers(&scenario.clients);
    let gap = loaded_routers.len() as f64 * scenario.each as f64 / scenario.rate;
    let clients: Vec<_> = (0..loaded_routers.len() as u64 * scenario.each)
        .map(|name| {
            let (listen_addresses, stop, time_zero) = (
                testbed.listen_addresses.clone(),
                stop.clone(),
                testbed.time_zero,
            );
            let router = loaded_routers[(name / scenario.each) as usize];
            let zone = scenario.zones[testbed.router_zones[router]].name.clone();
            let config = Client {
                router,
                name,
                gap,
                groups,
                zone,
                time_zero,
                listen_addresses,
                stop,
            };
            std::thread::spawn(move || run_client(config))
        })
        .collect();
    let completed = inject_faults(&mut testbed);
    // The run lasts for the minimum duration even if its faults are over earlier.
    let completed = completed.and_then(|()| pause(scenario.seconds - testbed.now()));
    testbed.record.faults_end = testbed.now();
    if completed.is_ok() {
        let rules = gossip_rules(scenario)?;
        let within =
            Duration::from_micros(rules.max_convergence_delay() + rules.max_evidence_age());
        let detection_time = Duration::from_secs(16);
        let within = scenario.wait_s.map_or(
            within + AGREEMENT_GRACE + detection_time,
            Duration::from_secs_f64,
        );
        let has_agreement = scenario.peers.is_none() || testbed.wait_for_agreement(within);
        testbed.record.agreed_at = has_agreement.then(|| testbed.now());
    }
    testbed.record.shutdown_start = testbed.now();
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        testbed
            .record
            .requests
            .extend(client.join().map_err(|_| "a client panicked")?);
    }
    for (_, stop) in &testbed.floods {
        stop.store(true, Ordering::Relaxed);
    }
    // All processes get the signal before the first exit is awaited.
    for n in 0..testbed.router_zones.len() {
        let has_exited = testbed.slots[n]
            .process
            .as_mut()
            .is_some_and(|(p, _)| p.wait_for_exit(Duration::ZERO).is_some());
        if has_exited {
            if let Some((process, from)) = testbed.slots[n].process.take() {
                testbed.record_exit(n, false, process, from, None);
            }
        } else {
            testbed.send_signal(n, ProcessSignal::Continue);
            testbed.send_signal(n, ProcessSignal::Term);
        }
    }
    for n in 0..testbed.router_zones.len() {
        testbed.end_process(n, true);
    }
    completed?;
    for node in &testbed.nodes {
        for (id, times) in node.write_counts() {
            *testbed.record.write_counts.entry(id).or_default() += times;
        }
        testbed
            .record
            .statements_after_drain
            .push(node.statements_after_drain());
        let now = seconds_since(testbed.time_zero, SystemTime::now());
        let met = node
            .unserved()
            .into_iter()
            .map(|statement| ReceivedStatement {
                at: now - statement.at.elapsed().as_secs_f64(),
                id: statement.id,
            });
        testbed.record.unserved.push(met.collect());
    }
    testbed.record.traffic = testbed.links.traffic();
    let _ = testbed.seed;
    Ok(std::mem::take(&mut testbed.record))
}

/// Returns the gossip rules of the routers of a scenario.
///
/// # Errors
/// The rules of the scenario are invalid.
pub fn gossip_rules(scenario: &Scenario) -> Result<plovercove_gossip::Rules, String> {
    let rules = scenario.peers.clone().unwrap_or_default();
    let rules: plovercove_gossip::Rules =
        serde_json::from_value(Value::Object(rules)).map_err(|e| format!("peers: {e}"))?;
    let routers = scenario.routers().len() as u32;
    Ok(plovercove_gossip::Rules {
        routers,
        installation: "rig".into(),
        ..rules
    })
}

enum Step {
    BeginFault(usize),
    EndFault(usize),
    SendSignal(usize, ProcessSignal),
    Restart(usize),
}

/// Injects the faults of the scenario at their times.
fn inject_faults(testbed: &mut Testbed) -> Result<(), String> {
    let scenario = testbed.scenario;
    let mut plan: Vec<(f64, Step)> = Vec::new();
    for (key, fault) in scenario.faults.iter().enumerate() {
        testbed.record_fault(fault);
        plan.push((fault.at, Step::BeginFault(key)));
        match &fault.what {
            What::Duty {
                routers,
                on_ms,
                off_ms,
            } => {
                let (on, off) = (*on_ms as f64 / 1e3, *off_ms as f64 / 1e3);
                for n in testbed.routers(routers) {
                    let mut at = fault.at;
                    while at + off < fault.until {
                        plan.push((at, Step::SendSignal(n, ProcessSignal::Stop)));
                        plan.push((at + off, Step::SendSignal(n, ProcessSignal::Continue)));
                        at += (on + off).max(0.02);
                    }
                }
            }
            What::Rolling { routers } => {
                let all = testbed.routers(routers);
                let gap = (fault.until - fault.at) / all.len().max(1) as f64;
                for (k, n) in all.into_iter().enumerate() {
                    plan.push((fault.at + gap * k as f64, Step::Restart(n)));
                }
            }
            _ => {}
        }
        plan.push((fault.until, Step::EndFault(key)));
    }
    plan.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, step) in plan {
        // The steps follow the times of the schedule. No step waits for the effect of an earlier one.
        pause(at - testbed.now())?;
        match step {
            Step::BeginFault(key) => testbed.begin_fault(key, &scenario.faults[key].what)?,
            Step::EndFault(key) => testbed.end_fault(key, &scenario.faults[key].what)?,
            Step::SendSignal(n, signal) => testbed.send_signal(n, signal),
            Step::Restart(n) => {
                testbed.end_process(n, true);
                testbed.restart_if_ended(n)?;
            }
        }
    }
    Ok(())
}

/// Writes the scenario and the logs of a run to a folder.
///
/// # Errors
/// The folder or a file could not be written.
pub fn write_record(folder: &Path, scenario: &Scenario, record: &RunRecord) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(
        folder.join("trial.json"),
        serde_json::to_string_pretty(scenario)?,
    )?;
    for (number, process) in record.processes.iter().enumerate() {
        let name = format!(
            "n{}-{number}{}.log",
            process.router,
            if process.is_twin { "-twin" } else { "" }
        );
        let lines: Vec<String> = process
            .log
            .iter()
            .map(|line| format!("{:9.3} {}", line.at, line.fields))
            .collect();
        std::fs::write(folder.join(name), lines.join("\n"))?;
    }
    Ok(())
}
