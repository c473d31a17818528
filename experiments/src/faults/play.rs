//! Plays a trial: processes, stand-ins, links and clients, and what is done to them when.

use super::{Trial, What, Zone};
use crate::sockets;
use plovercove_emulator::counting_node::{Conduct, CountingNode as Node};
use plovercove_emulator::links::{Links, Passed, Weather};
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

/// All must have found each other by then, or the trial cannot begin.
const JOINS: Duration = Duration::from_secs(30);
/// Beyond the bound by which they must agree, they are waited for so long: the checker says how late it was.
const LATE: Duration = Duration::from_secs(10);
/// A process that has not ended by then after SIGTERM is killed, which is told.
const ENDS: Duration = Duration::from_secs(8);
/// Between two looks at the logs.
const LOOKS: Duration = Duration::from_millis(20);
/// The drain grace that routers are told, and what the stand-ins allow beyond it for the way of the list.
pub const DRAIN: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(500));
/// What a client waits for (ms).
pub const PATIENCE_MS: u64 = 900;

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was killed.
    Killed,
    /// It was told to end, and did so with this code, or did not by the time allowed.
    Terminated(Option<i32>),
    /// By itself.
    Itself(Option<i32>),
}

/// A line of a log, at its time since the trial's beginning (s).
#[derive(Clone, Debug)]
pub struct Line {
    /// When.
    pub at: f64,
    /// Its fields.
    pub said: Value,
}

/// One process, from its start to its end.
#[derive(Debug)]
pub struct Life {
    /// The router.
    pub router: usize,
    /// Whether it is a second one under that router's name.
    pub twin: bool,
    /// From when (s).
    pub from: f64,
    /// Until when.
    pub until: f64,
    /// How it ended.
    pub end: End,
    /// Its log.
    pub log: Vec<Line>,
    /// CPU seconds that it used.
    pub cpu: f64,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Of which router.
    pub router: usize,
    /// When (s).
    pub at: f64,
    /// How long it took (s).
    pub took: f64,
    /// Its id.
    pub id: String,
    /// Whether it is a write.
    pub write: bool,
    /// How it ended.
    pub fate: RequestOutcome,
}

/// A statement that came to a node.
#[derive(Clone, Debug)]
pub struct Met {
    /// When (s).
    pub at: f64,
    /// Its id.
    pub id: String,
}

/// Something that was done to a router or a node, from and until when (s).
#[derive(Clone, Debug)]
pub struct Done {
    /// The router or node.
    pub whom: usize,
    /// When it began.
    pub from: f64,
    /// When it ended.
    pub until: f64,
}

/// All that the checker may know.
#[derive(Debug, Default)]
pub struct Record {
    /// Processes.
    pub lives: Vec<Life>,
    /// Requests.
    pub asked: Vec<Asked>,
    /// Blows to routers' processes.
    pub blows: Vec<Done>,
    /// When links between routers were bad.
    pub cuts: Vec<(f64, f64)>,
    /// What was wrong with nodes, or with the ways to them.
    pub nodes: Vec<Done>,
    /// How often each write ran, over all nodes.
    pub wrote: HashMap<String, u32>,
    /// Statements that came to a node after it was to get none, by node.
    pub after_close: Vec<u64>,
    /// Statements that came to a node and were not answered well, by node.
    pub unserved: Vec<Vec<Met>>,
    /// What passed between routers.
    pub passed: Passed,
    /// How long it took until all had found each other (s).
    pub joined: f64,
    /// When the last fault ended.
    pub last: f64,
    /// When all were told to end.
    pub closing: f64,
    /// When all agreed after that; none: not by the time allowed.
    pub agreed: Option<f64>,
    /// Zone and group of each node.
    pub places: Vec<(usize, usize)>,
}

/// The routers or nodes that a name stands for.
///
/// # Errors
/// It stands for none.
pub fn select(
    name: &str,
    letter: char,
    zoned: &[usize],
    zones: &[Zone],
) -> Result<Vec<usize>, String> {
    if name == "*" {
        return Ok((0..zoned.len()).collect());
    }
    if let Some(zone) = zones.iter().position(|z| z.name == name) {
        return Ok((0..zoned.len()).filter(|n| zoned[*n] == zone).collect());
    }
    let number = name
        .strip_prefix(letter)
        .and_then(|n| n.parse::<usize>().ok())
        .filter(|n| *n < zoned.len());
    number
        .map(|n| vec![n])
        .ok_or_else(|| format!("there is no {name:?}"))
}

fn spec(trial: &Trial) -> Result<Spec, String> {
    let class = |name: &str, reads: Reads| ClassSpec {
        name: name.into(),
        share: 1.0,
        work_ms: 2.0,
        spread: 0.5,
        aim_ms: 300,
        deadline_ms: PATIENCE_MS,
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
    let zones: Vec<ZoneSpec> = trial.zones.iter().map(zone).collect();
    let classes = [
        class("search", Reads::Bounded(3_000)),
        class("look", Reads::Any),
        class("book", Reads::Write),
    ];
    serde_json::from_value(json!({"seconds": 1.0, "zones": zones, "classes": classes}))
        .map_err(|e| e.to_string())
}

/// A router's place: its files, its way to the world, and its process, if it has one.
struct Place {
    zone: usize,
    agent: Agent,
    /// To the agent, then to each node.
    wires: Vec<TcpRelay>,
    process: Option<(Process, f64)>,
    /// Lines of its log that were read already, and what they came to.
    read: usize,
    seen: Option<u64>,
    levels: BTreeMap<String, String>,
}

/// What is listed of a node.
#[derive(Clone, Default)]
struct Listing {
    name: String,
    started: Option<u64>,
    draining: bool,
}

struct Rig<'a> {
    trial: &'a Trial,
    program: &'a Path,
    without: Option<&'a str>,
    seed: u64,
    folder: Folder,
    spec: Spec,
    zoned: Vec<usize>,
    places: Vec<Place>,
    nodes: Vec<Node>,
    listings: Vec<Listing>,
    links: Links,
    twins: Vec<(usize, Process, f64)>,
    listens: Arc<Vec<Mutex<Option<SocketAddr>>>>,
    floods: Vec<(usize, Arc<AtomicBool>)>,
    zero: SystemTime,
    record: Record,
    weather: BTreeMap<usize, Vec<(usize, usize, Weather)>>,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn cpu(id: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let fields = stat
        .rsplit_once(')')
        .map_or("", |f| f.1)
        .split_whitespace()
        .skip(11)
        .take(2);
    fields.filter_map(|f| f.parse::<f64>().ok()).sum::<f64>() / 100.0
}

impl Rig<'_> {
    fn now(&self) -> f64 {
        since(self.zero, SystemTime::now())
    }

    fn operators(&self, advertise: Option<SocketAddr>) -> Result<String, String> {
        let Some(rules) = &self.trial.peers else {
            return Ok(String::new());
        };
        let mut rules: Map<String, Value> = rules.clone();
        rules.insert("installation".into(), "rig".into());
        let seeds =
            (0..self.zoned.len().min(3)).map(|n| self.links.address(n).map(|a| a.to_string()));
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

    /// Starts a router's process, as itself or as a second one under its name.
    fn boot(&mut self, n: usize, twin: bool) -> Result<(), String> {
        let place = &self.places[n];
        let agent = place
            .wires
            .first()
            .map_or(place.agent.address(), TcpRelay::address);
        let config = sockets::config(&self.spec, n, &self.trial.zones[place.zone].name, agent);
        let name = if twin {
            format!("n{n}-twin")
        } else {
            format!("n{n}")
        };
        let told = |e: std::io::Error| e.to_string();
        let advertise = if twin {
            None
        } else {
            Some(self.links.address(n).map_err(told)?)
        };
        let file = self
            .folder
            .write(&format!("{name}.json"), &config.to_string())
            .map_err(told)?;
        let rules = self
            .folder
            .write(&format!("{name}.star"), &self.operators(advertise)?)
            .map_err(told)?;
        let without = self.without;
        let process = Process::start(self.program, &file, |command| {
            command
                .args(["--log-format", "json", "--operators"])
                .arg(&rules);
            match without {
                Some(guard) => command.env("PLOVERCOVE_WITHOUT", guard),
                None => command,
            }
        });
        let process = process.map_err(|e| format!("{name}: {e}"))?;
        let from = self.now();
        if twin {
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
            self.links.locate(n, at);
        }
        *lock(&self.listens[n]) = Some(process.listen());
        let place = &mut self.places[n];
        place.process = Some((process, from));
        (place.read, place.seen) = (0, None);
        place.levels.clear();
        Ok(())
    }

    /// Takes a process that has ended, or is ended now, into the record.
    fn bury(&mut self, n: usize, twin: bool, mut process: Process, from: f64, told: Option<bool>) {
        let used = cpu(process.id());
        let end = match told {
            Some(true) => {
                let status = process.wait_for_exit(ENDS);
                End::Terminated(status.and_then(|s| s.code()))
            }
            Some(false) => {
                process.send_signal(ProcessSignal::Kill);
                let _ = process.wait_for_exit(ENDS);
                End::Killed
            }
            None => End::Itself(process.wait_for_exit(Duration::ZERO).and_then(|s| s.code())),
        };
        let until = self.now();
        let log = process
            .lines()
            .iter()
            .filter_map(|line| self.line(line))
            .collect();
        self.record.lives.push(Life {
            router: n,
            twin,
            from,
            until,
            end,
            log,
            cpu: used,
        });
    }

    fn line(&self, line: &str) -> Option<Line> {
        let said: Value = serde_json::from_str(line).ok()?;
        let at = humantime::parse_rfc3339(said["timestamp"].as_str()?).ok()?;
        Some(Line {
            at: since(self.zero, at),
            said,
        })
    }

    fn end(&mut self, n: usize, told: bool) {
        if let Some((mut process, from)) = self.places[n].process.take() {
            if told {
                process.send_signal(ProcessSignal::Continue);
                process.send_signal(ProcessSignal::Term);
            }
            *lock(&self.listens[n]) = None;
            self.bury(n, false, process, from, Some(told));
        }
    }

    fn send_signal(&mut self, n: usize, blow: ProcessSignal) {
        if let Some((process, _)) = &mut self.places[n].process {
            process.send_signal(blow);
        }
    }

    fn again(&mut self, n: usize) -> Result<(), String> {
        if self.places[n].process.is_none() {
            self.boot(n, false)
        } else {
            Ok(())
        }
    }

    /// Tells every router's agent how the list stands.
    fn list(&self) {
        for place in &self.places {
            let entries = self.nodes.iter().enumerate().map(|(n, node)| {
                let (zone, group) = self.record.places[n];
                let listing = &self.listings[n];
                Entry {
                    name: listing.name.clone(),
                    address: place
                        .wires
                        .get(n + 1)
                        .map_or(node.address(), TcpRelay::address),
                    zone: self.trial.zones[zone].name.clone(),
                    group: group as u64 + 1,
                    head: n.is_multiple_of(self.trial.members),
                    started: listing.started,
                    draining: listing.draining,
                }
            });
            place.agent.set_list(entries);
        }
    }

    /// Reads what is new in the logs; whether all routers that are up see each other and agree on the nodes.
    fn agree(&mut self) -> bool {
        let up = self.places.iter().filter(|p| p.process.is_some()).count() + self.twins.len();
        for place in &mut self.places {
            let Some((process, _)) = &place.process else {
                continue;
            };
            for line in process.since(place.read) {
                place.read += 1;
                let Ok(said) = serde_json::from_str::<Value>(&line) else {
                    continue;
                };
                place.seen = said["seen"].as_u64().or(place.seen);
                if said["reason"] == "verdict"
                    && let (Some(node), Some(level)) =
                        (said["node"].as_str(), said["level"].as_str())
                {
                    place.levels.insert(node.into(), level.into());
                }
            }
        }
        let peers = self.trial.peers.is_some();
        let running = || self.places.iter().filter(|p| p.process.is_some());
        !peers
            || running()
                .all(|p| p.seen == Some(up as u64) && p.levels.values().all(|level| level == "in"))
    }

    fn until(&mut self, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            if self.agree() {
                return true;
            }
            if Instant::now() >= until || INTERRUPTED.load(Ordering::Relaxed) {
                return false;
            }
            std::thread::sleep(LOOKS);
        }
    }

    fn routers(&self, names: &[String]) -> Vec<usize> {
        let each =
            |name: &String| select(name, 'n', &self.zoned, &self.trial.zones).unwrap_or_default();
        let mut all: Vec<usize> = names.iter().flat_map(each).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    fn nodes(&self, names: &[String]) -> Vec<usize> {
        let zoned: Vec<usize> = self.record.places.iter().map(|p| p.0).collect();
        let each = |name: &String| select(name, 's', &zoned, &self.trial.zones).unwrap_or_default();
        let mut all: Vec<usize> = names.iter().flat_map(each).collect();
        all.sort_unstable();
        all.dedup();
        all
    }

    /// Sets the weather of all links anew from what is in force.
    fn blow(&self) {
        let routers = self.zoned.len();
        let mut all: HashMap<(usize, usize), Weather> = HashMap::new();
        for (from, to, weather) in self.weather.values().flatten() {
            let known = all.entry((*from, *to)).or_default();
            *known = known.and(*weather);
        }
        for from in 0..routers {
            for to in 0..routers {
                self.links
                    .set(from, to, all.get(&(from, to)).copied().unwrap_or_default());
            }
        }
    }

    fn behave(&mut self, nodes: &[usize], conduct: &Conduct) {
        for n in nodes {
            self.nodes[*n].behave(conduct.clone());
        }
    }

    fn wires(&self, routers: &[usize], nodes: &[usize], out: bool, home: bool) {
        for r in routers {
            for n in nodes {
                if let Some(wire) = self.places[*r].wires.get(n + 1) {
                    wire.cut(out, home);
                }
            }
        }
    }

    fn started_now(&mut self, nodes: &[usize]) {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |d| d.as_micros() as u64);
        for n in nodes {
            self.listings[*n].started = Some(now);
        }
        self.list();
    }

    fn begin(&mut self, key: usize, what: &What) -> Result<(), String> {
        match what {
            What::Kill { routers } => self
                .routers(routers)
                .into_iter()
                .for_each(|n| self.end(n, false)),
            What::Term { routers } => {
                for n in self.routers(routers) {
                    self.send_signal(n, ProcessSignal::Term);
                    *lock(&self.listens[n]) = None;
                }
            }
            What::Stop { routers } => {
                self.routers(routers)
                    .into_iter()
                    .for_each(|n| self.send_signal(n, ProcessSignal::Stop));
            }
            // Their steps are in the plan.
            What::Duty { .. } | What::Rolling { .. } => {}
            What::Twin { router } => {
                for n in self.routers(std::slice::from_ref(router)) {
                    self.boot(n, true)?;
                }
            }
            What::Link { from, to, weather } => {
                let (from, to) = (self.routers(from), self.routers(to));
                let all = from
                    .iter()
                    .flat_map(|f| to.iter().map(move |t| (*f, *t, *weather)));
                let all = all.filter(|(f, t, _)| f != t).collect();
                self.weather.insert(key, all);
                self.blow();
            }
            What::Partition { parts } => {
                let parts: Vec<Vec<usize>> = parts.iter().map(|p| self.routers(p)).collect();
                let of = |n: usize| parts.iter().position(|p| p.contains(&n));
                let cut = Weather {
                    cut: true,
                    ..Weather::default()
                };
                let all =
                    (0..self.zoned.len()).flat_map(|f| (0..self.zoned.len()).map(move |t| (f, t)));
                let all = all
                    .filter(|(f, t)| of(*f) != of(*t))
                    .map(|(f, t)| (f, t, cut))
                    .collect();
                self.weather.insert(key, all);
                self.blow();
            }
            What::Flood { routers, rate } => {
                for n in self.routers(routers) {
                    let to = self.links.address(n).map_err(|e| e.to_string())?;
                    let over = Arc::new(AtomicBool::new(false));
                    self.floods.push((key, over.clone()));
                    let gap = Duration::from_secs_f64(1.0 / f64::from((*rate).max(1)));
                    std::thread::spawn(move || flood(to, gap, &over));
                }
            }
            What::NodeDown { nodes } => {
                let nodes = self.nodes(nodes);
                self.behave(
                    &nodes,
                    &Conduct {
                        down: true,
                        ..Conduct::default()
                    },
                );
            }
            What::NodeSilent { nodes } => {
                let nodes = self.nodes(nodes);
                self.behave(
                    &nodes,
                    &Conduct {
                        silent: true,
                        ..Conduct::default()
                    },
                );
            }
            What::NodeErrors { nodes, class } => {
                let nodes = self.nodes(nodes);
                self.behave(
                    &nodes,
                    &Conduct {
                        errors: Some(class.clone()),
                        ..Conduct::default()
                    },
                );
            }
            What::NodeSlow { nodes, ms } => {
                let nodes = self.nodes(nodes);
                self.behave(
                    &nodes,
                    &Conduct {
                        slow: Duration::from_millis(*ms),
                        ..Conduct::default()
                    },
                );
            }
            What::Wires {
                routers,
                nodes,
                home_only,
            } => {
                self.wires(&self.routers(routers), &self.nodes(nodes), !home_only, true);
            }
            What::AgentSilent { routers } => {
                self.routers(routers)
                    .into_iter()
                    .for_each(|n| self.places[n].agent.set_silent(true));
            }
            What::Drain { nodes } => {
                for n in self.nodes(nodes) {
                    self.listings[n].draining = true;
                    self.nodes[n].close_at(Some(Instant::now() + DRAIN.0 + DRAIN.1));
                }
                self.list();
            }
            What::Rename { node } => {
                let nodes = self.nodes(std::slice::from_ref(node));
                nodes
                    .iter()
                    .for_each(|n| self.listings[*n].name = format!("s{n}-new"));
                self.started_now(&nodes);
            }
        }
        Ok(())
    }

    fn finish(&mut self, key: usize, what: &What) -> Result<(), String> {
        match what {
            What::Kill { routers } => {
                for n in self.routers(routers) {
                    self.again(n)?;
                }
            }
            What::Term { routers } => {
                for n in self.routers(routers) {
                    self.end(n, true);
                    self.again(n)?;
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
                    self.bury(n, true, process, from, Some(true));
                }
            }
            What::Link { .. } | What::Partition { .. } => {
                self.weather.remove(&key);
                self.blow();
            }
            What::Flood { .. } => {
                let mine = self.floods.iter().filter(|(k, _)| *k == key);
                mine.for_each(|(_, over)| over.store(true, Ordering::Relaxed));
            }
            What::NodeDown { nodes } => {
                let nodes = self.nodes(nodes);
                self.behave(&nodes, &Conduct::default());
                self.started_now(&nodes);
            }
            What::NodeSilent { nodes }
            | What::NodeErrors { nodes, .. }
            | What::NodeSlow { nodes, .. } => {
                let nodes = self.nodes(nodes);
                self.behave(&nodes, &Conduct::default());
            }
            What::Wires { routers, nodes, .. } => {
                self.wires(&self.routers(routers), &self.nodes(nodes), false, false);
            }
            What::AgentSilent { routers } => {
                self.routers(routers)
                    .into_iter()
                    .for_each(|n| self.places[n].agent.set_silent(false));
            }
            What::Drain { nodes } => {
                for n in self.nodes(nodes) {
                    self.listings[n].draining = false;
                    self.nodes[n].close_at(None);
                }
                self.list();
            }
            What::Rolling { .. } | What::Rename { .. } => {}
        }
        Ok(())
    }

    /// Writes down what is done to whom, for the checker.
    fn note(&mut self, fault: &super::Fault) {
        let (from, until) = (fault.at, fault.until);
        let what = &fault.what;
        if matches!(what, What::Partition { .. } | What::Link { .. }) {
            self.record.cuts.push((from, until));
        }
        if super::draw::is_blow(what) {
            let struck = self.routers(&what.routers());
            self.record
                .blows
                .extend(struck.into_iter().map(|whom| Done { whom, from, until }));
        }
        let nodes = self.nodes(&what.nodes());
        self.record
            .nodes
            .extend(nodes.into_iter().map(|whom| Done { whom, from, until }));
    }
}

/// The trial has been interrupted: it ends its processes and itself.
pub static INTERRUPTED: LazyLock<Arc<AtomicBool>> = LazyLock::new(Arc::default);

fn interrupted() -> Result<(), String> {
    if INTERRUPTED.load(Ordering::Relaxed) {
        Err("interrupted".into())
    } else {
        Ok(())
    }
}

/// Lets time pass until then, unless the trial is interrupted.
fn pause(span: f64) -> Result<(), String> {
    let until = Instant::now() + Duration::from_secs_f64(span.max(0.0));
    while Instant::now() < until {
        interrupted()?;
        std::thread::sleep(until.saturating_duration_since(Instant::now()).min(LOOKS));
    }
    interrupted()
}

fn since(zero: SystemTime, at: SystemTime) -> f64 {
    match at.duration_since(zero) {
        Ok(after) => after.as_secs_f64(),
        Err(before) => -before.duration().as_secs_f64(),
    }
}

/// Strangers with a key of their own, who accuse nodes in the names of routers that there are and that there are not.
fn flood(to: SocketAddr, gap: Duration, over: &AtomicBool) {
    let (Ok(socket), Ok(keys)) = (
        UdpSocket::bind(("127.0.0.1", 0)),
        Keys::new("rig", b"a key that nobody here has", None),
    ) else {
        return;
    };
    let seen = Observation {
        no_reply: 50,
        duration_tenths_s: 50,
        nodes_seen: 9,
        nodes_failing: 1,
        ..Observation::default()
    };
    let mut seq = 0;
    while !over.load(Ordering::Relaxed) {
        seq += 1;
        let who = seq % 6;
        let from = Incarnation {
            address: SocketAddr::from(([127, 0, 0, 9], 9 + who as u16)),
            boot: u64::MAX / 2,
            renewals: 0,
            name: format!("n{}", who * 20),
            zone: ["a", "b", "c"][(who % 3) as usize].into(),
        };
        let record = GossipRecord::from_observation(&from, seq, &"s4".into(), None, &seen);
        let parts = record.and_then(|r| r.to_part()).into_iter().collect();
        if let Some(bytes) = keys.seal(&Envelope {
            from,
            seq,
            clock_ms: seq,
            parts,
        }) {
            let _ = socket.send_to(&bytes, to);
        }
        std::thread::sleep(gap);
    }
}

/// One client of a router: it asks at its times, and goes on when the router is back.
struct Client {
    router: usize,
    name: u64,
    /// Between two of its requests (s).
    gap: f64,
    groups: usize,
    zone: String,
    zero: SystemTime,
    listens: Arc<Vec<Mutex<Option<SocketAddr>>>>,
    stop: Arc<AtomicBool>,
}

fn client(client: Client) -> Vec<Asked> {
    let Client {
        router,
        name,
        gap,
        groups,
        zone,
        zero,
        listens,
        stop,
    } = client;
    let mut asked = Vec::new();
    let mut caller: Option<(SocketAddr, RequestClient)> = None;
    let begun = Instant::now();
    let mut count = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        std::thread::sleep(
            Duration::from_secs_f64(gap * count as f64).saturating_sub(begun.elapsed()),
        );
        let Some(listen) = *lock(&listens[router]) else {
            caller = None;
            continue;
        };
        if caller.as_ref().is_none_or(|(at, _)| *at != listen) {
            caller = Some((listen, RequestClient::new(listen)));
        }
        let Some((_, talk)) = &mut caller else {
            continue;
        };
        let class = ["search", "look", "book"][(count % 3) as usize];
        let group = (name + count / 3) as usize % groups + 1;
        let id = format!("{:x}{count:08x}", name + 16);
        let what = if class == "book" { "INSERT" } else { "SELECT" };
        let statement =
            format!("/* id={id},c={class},t={zone},d={PATIENCE_MS},cluster={group} */ {what} 'k'");
        let (at, from) = (since(zero, SystemTime::now()), Instant::now());
        let fate = talk.ask(&statement, &id, Duration::from_millis(PATIENCE_MS));
        let took = from.elapsed().as_secs_f64();
        asked.push(Asked {
            router,
            at,
            took,
            id,
            write: class == "book",
            fate,
        });
    }
    asked
}

/// Plays a trial to its end.
///
/// # Errors
/// It could not be set up: a process does not start, or they do not find each other at the beginning.
pub fn play(
    trial: &Trial,
    program: &Path,
    seed: u64,
    without: Option<&str>,
) -> Result<Record, String> {
    static PLAYED: AtomicU64 = AtomicU64::new(0);
    let told = |e: std::io::Error| e.to_string();
    let (zoned, placed) = (trial.routers(), trial.nodes());
    let number = PLAYED.fetch_add(1, Ordering::Relaxed);
    let folder = Folder::new(&format!("faults-{seed}-{number}")).map_err(told)?;
    folder
        .write("key", "the key of the rig, as long as it must be")
        .map_err(told)?;
    let node = |n: usize| Node::start(n.is_multiple_of(trial.members));
    let nodes = (0..placed.len())
        .map(node)
        .collect::<Result<Vec<_>, _>>()
        .map_err(told)?;
    let mut places = Vec::new();
    for zone in &zoned {
        let agent = Agent::start().map_err(told)?;
        let ends = std::iter::once(agent.address()).chain(nodes.iter().map(Node::address));
        let ends = ends.filter(|_| trial.wires);
        let wires = ends
            .map(TcpRelay::start)
            .collect::<Result<Vec<_>, _>>()
            .map_err(told)?;
        let levels = BTreeMap::new();
        places.push(Place {
            zone: *zone,
            agent,
            wires,
            process: None,
            read: 0,
            seen: None,
            levels,
        });
    }
    let listing = |n: usize| Listing {
        name: format!("s{n}"),
        ..Listing::default()
    };
    let mut rig = Rig {
        trial,
        program,
        without,
        seed,
        spec: spec(trial)?,
        links: Links::start(zoned.len(), seed).map_err(told)?,
        listens: Arc::new(zoned.iter().map(|_| Mutex::new(None)).collect()),
        listings: (0..nodes.len()).map(listing).collect(),
        folder,
        zoned,
        places,
        nodes,
        twins: Vec::new(),
        floods: Vec::new(),
        zero: SystemTime::now(),
        record: Record {
            places: placed,
            ..Record::default()
        },
        weather: BTreeMap::new(),
    };
    rig.list();
    for n in 0..rig.zoned.len() {
        interrupted()?;
        rig.boot(n, false)?;
    }
    if !rig.until(JOINS) {
        let seen: Vec<_> = rig.places.iter().map(|p| p.seen).collect();
        return Err(format!("the routers do not find each other: {seen:?}"));
    }
    rig.record.joined = rig.now();
    rig.zero = SystemTime::now();
    let joined = rig.record.joined;
    rig.places
        .iter_mut()
        .for_each(|p| p.process.iter_mut().for_each(|(_, from)| *from -= joined));
    let stop = Arc::new(AtomicBool::new(false));
    let groups = rig.record.places.iter().map(|p| p.1).max().unwrap_or(0) + 1;
    let asked = rig.routers(&trial.clients);
    let gap = asked.len() as f64 * trial.each as f64 / trial.rate;
    let clients: Vec<_> = (0..asked.len() as u64 * trial.each)
        .map(|name| {
            let (listens, stop, zero) = (rig.listens.clone(), stop.clone(), rig.zero);
            let router = asked[(name / trial.each) as usize];
            let zone = trial.zones[rig.zoned[router]].name.clone();
            let mine = Client {
                router,
                name,
                gap,
                groups,
                zone,
                zero,
                listens,
                stop,
            };
            std::thread::spawn(move || client(mine))
        })
        .collect();
    let ended = act(&mut rig);
    // The trial's own length, for cases in which little or nothing goes wrong.
    let ended = ended.and_then(|()| pause(trial.seconds - rig.now()));
    rig.record.last = rig.now();
    if ended.is_ok() {
        let rules = rules(trial)?;
        let within =
            Duration::from_micros(rules.max_convergence_delay() + rules.max_evidence_age());
        let proofs = Duration::from_secs(16);
        let within = trial
            .wait_s
            .map_or(within + LATE + proofs, Duration::from_secs_f64);
        let good = trial.peers.is_none() || rig.until(within);
        rig.record.agreed = good.then(|| rig.now());
    }
    rig.record.closing = rig.now();
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        rig.record
            .asked
            .extend(client.join().map_err(|_| "a client panicked")?);
    }
    for (_, over) in &rig.floods {
        over.store(true, Ordering::Relaxed);
    }
    // All are told before any is waited for.
    for n in 0..rig.zoned.len() {
        let gone = rig.places[n]
            .process
            .as_mut()
            .is_some_and(|(p, _)| p.wait_for_exit(Duration::ZERO).is_some());
        if gone {
            if let Some((process, from)) = rig.places[n].process.take() {
                rig.bury(n, false, process, from, None);
            }
        } else {
            rig.send_signal(n, ProcessSignal::Continue);
            rig.send_signal(n, ProcessSignal::Term);
        }
    }
    for n in 0..rig.zoned.len() {
        rig.end(n, true);
    }
    ended?;
    for node in &rig.nodes {
        for (id, times) in node.wrote() {
            *rig.record.wrote.entry(id).or_default() += times;
        }
        rig.record.after_close.push(node.after_close());
        let now = since(rig.zero, SystemTime::now());
        let met = node.unserved().into_iter().map(|statement| Met {
            at: now - statement.at.elapsed().as_secs_f64(),
            id: statement.id,
        });
        rig.record.unserved.push(met.collect());
    }
    rig.record.passed = rig.links.passed();
    let _ = rig.seed;
    Ok(std::mem::take(&mut rig.record))
}

/// The rules that the routers of a trial are told.
///
/// # Errors
/// They are none.
pub fn rules(trial: &Trial) -> Result<plovercove_gossip::Rules, String> {
    let told = trial.peers.clone().unwrap_or_default();
    let rules: plovercove_gossip::Rules =
        serde_json::from_value(Value::Object(told)).map_err(|e| format!("peers: {e}"))?;
    let routers = trial.routers().len() as u32;
    Ok(plovercove_gossip::Rules {
        routers,
        installation: "rig".into(),
        ..rules
    })
}

enum Step {
    Begin(usize),
    Finish(usize),
    Strike(usize, ProcessSignal),
    Restart(usize),
}

/// Does what the trial says at its times.
fn act(rig: &mut Rig) -> Result<(), String> {
    let trial = rig.trial;
    let mut plan: Vec<(f64, Step)> = Vec::new();
    for (key, fault) in trial.faults.iter().enumerate() {
        rig.note(fault);
        plan.push((fault.at, Step::Begin(key)));
        match &fault.what {
            What::Duty {
                routers,
                on_ms,
                off_ms,
            } => {
                let (on, off) = (*on_ms as f64 / 1e3, *off_ms as f64 / 1e3);
                for n in rig.routers(routers) {
                    let mut at = fault.at;
                    while at + off < fault.until {
                        plan.push((at, Step::Strike(n, ProcessSignal::Stop)));
                        plan.push((at + off, Step::Strike(n, ProcessSignal::Continue)));
                        at += (on + off).max(0.02);
                    }
                }
            }
            What::Rolling { routers } => {
                let all = rig.routers(routers);
                let gap = (fault.until - fault.at) / all.len().max(1) as f64;
                for (k, n) in all.into_iter().enumerate() {
                    plan.push((fault.at + gap * k as f64, Step::Restart(n)));
                }
            }
            _ => {}
        }
        plan.push((fault.until, Step::Finish(key)));
    }
    plan.sort_by(|a, b| a.0.total_cmp(&b.0));
    for (at, step) in plan {
        // The schedule: its times are the trial's own, nothing waits here for something to have happened.
        pause(at - rig.now())?;
        match step {
            Step::Begin(key) => rig.begin(key, &trial.faults[key].what)?,
            Step::Finish(key) => rig.finish(key, &trial.faults[key].what)?,
            Step::Strike(n, blow) => rig.send_signal(n, blow),
            Step::Restart(n) => {
                rig.end(n, true);
                rig.again(n)?;
            }
        }
    }
    Ok(())
}

/// Writes down a trial and its logs.
///
/// # Errors
/// A file could not be written.
pub fn keep(folder: &Path, trial: &Trial, record: &Record) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    std::fs::write(
        folder.join("trial.json"),
        serde_json::to_string_pretty(trial)?,
    )?;
    for (number, life) in record.lives.iter().enumerate() {
        let name = format!(
            "n{}-{number}{}.log",
            life.router,
            if life.twin { "-twin" } else { "" }
        );
        let lines: Vec<String> = life
            .log
            .iter()
            .map(|line| format!("{:9.3} {}", line.at, line.said))
            .collect();
        std::fs::write(folder.join(name), lines.join("\n"))?;
    }
    Ok(())
}
