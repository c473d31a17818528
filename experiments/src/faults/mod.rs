//! Fault injection for a fleet of real router processes: routers crash, are partitioned and come back as a script
//! describes. A checker then looks for violations of the invariants. It reads only the logs of the processes and the
//! counters of the emulated nodes and links.

pub mod checker;
pub mod random_faults;
pub mod runner;

use crate::sockets;
use plovercove_emulator::links::LinkConditions;
use plovercove_starlark_config::Script;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Maximum number of routers, and of db nodes, in one scenario. One machine cannot run more processes.
const MAX_PROCESSES: usize = 128;

/// A zone of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Name of the zone.
    pub name: String,
    /// Number of routers.
    pub routers: usize,
    /// Number of db nodes. The members of a group are in different zones.
    pub nodes: usize,
}

/// A kind of injected fault.
///
/// Routers are named `n0`, `n1` and so on, db nodes `s0`, `s1` and so on. The name of a zone stands for all routers or
/// db nodes of that zone, and `*` for all of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// Kills routers with SIGKILL. They are started again at the end, under the same name and address.
    Kill {
        /// Names of the affected routers or db nodes.
        routers: Vec<String>,
    },
    /// Terminates routers with SIGTERM. They are started again at the end.
    Term {
        /// Names of the affected routers or db nodes.
        routers: Vec<String>,
    },
    /// Stops routers with SIGSTOP, and continues them with SIGCONT at the end.
    Stop {
        /// Names of the affected routers or db nodes.
        routers: Vec<String>,
    },
    /// Stops and continues routers alternately, so that they are slow members.
    Duty {
        /// Names of the affected routers or db nodes.
        routers: Vec<String>,
        /// Time for which a router runs in each cycle (ms).
        on_ms: u64,
        /// Time for which a router is stopped in each cycle (ms).
        off_ms: u64,
    },
    /// Restarts routers one after the other with SIGTERM, at equal intervals between the beginning and the end.
    Rolling {
        /// Names of the affected routers or db nodes.
        routers: Vec<String>,
    },
    /// Starts a second process with the name of a router, at another address.
    Twin {
        /// Router whose name is used twice.
        router: String,
    },
    /// Changes the conditions of the links from some routers to others.
    Link {
        /// Sending routers.
        from: Vec<String>,
        /// Receiving routers.
        to: Vec<String>,
        /// Conditions of these links.
        weather: LinkConditions,
    },
    /// Partitions the routers: no datagram passes between the parts.
    Partition {
        /// Names of the routers in each part.
        parts: Vec<Vec<String>>,
    },
    /// Sends datagrams that are sealed with a wrong key.
    Flood {
        /// Receiving routers.
        routers: Vec<String>,
        /// Datagrams per second to each router.
        rate: u32,
    },
    /// Stops db nodes. They are started again at the end.
    NodeDown {
        /// Names of the affected routers or db nodes.
        nodes: Vec<String>,
    },
    /// Makes db nodes read statements without answering them.
    NodeSilent {
        /// Names of the affected routers or db nodes.
        nodes: Vec<String>,
    },
    /// Makes db nodes answer with errors.
    NodeErrors {
        /// Names of the affected routers or db nodes.
        nodes: Vec<String>,
        /// Class whose statements fail. If it is empty, the statements of all classes fail.
        #[serde(default)]
        class: String,
    },
    /// Makes db nodes slower.
    NodeSlow {
        /// Names of the affected routers or db nodes.
        nodes: Vec<String>,
        /// Additional time for each answer (ms).
        ms: u64,
    },
    /// Cuts the connections between routers and db nodes.
    Wires {
        /// Names of the routers.
        routers: Vec<String>,
        /// Names of the db nodes.
        nodes: Vec<String>,
        /// Cuts only the direction from the db nodes to the routers.
        #[serde(default)]
        home_only: bool,
    },
    /// Makes the discovery agents of routers read requests without answering them.
    AgentSilent {
        /// Names of the routers.
        routers: Vec<String>,
    },
    /// Lists db nodes as draining, and as serving again at the end.
    Drain {
        /// Names of the affected routers or db nodes.
        nodes: Vec<String>,
    },
    /// Lists the address of a db node under a new node name.
    Rename {
        /// Names of the affected routers or db nodes.
        node: String,
    },
}

/// A fault with its beginning and end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Beginning, in seconds after all routers have found each other.
    pub at: f64,
    /// End, in seconds after all routers have found each other.
    pub until: f64,
    /// Kind of fault.
    pub what: What,
}

/// Description of one run: the fleet, the load of its clients and the injected faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, expecting = "struct Trial")]
pub struct Scenario {
    /// Zones of the fleet.
    pub zones: Vec<Zone>,
    /// Number of db nodes in a group.
    pub members: usize,
    /// Minimum duration of the run (s).
    pub seconds: f64,
    /// Time after the last fault within which all routers have to agree (s). If it is `None`, the time follows from the
    /// gossip rules.
    pub wait_s: Option<f64>,
    /// Requests per second of all clients together.
    pub rate: f64,
    /// Gossip rules of the operators' file. If they are `None`, the routers do not gossip.
    pub peers: Option<Map<String, Value>>,
    /// Injected faults.
    pub faults: Vec<Fault>,
    /// Number of further faults that are drawn from the seed.
    pub random: usize,
    /// Nodes that all routers have to eject within the time bound after the beginning of the node's fault.
    pub out: Vec<String>,
    /// Routers to which clients send requests.
    pub clients: Vec<String>,
    /// Number of clients of each of these routers. A client has one request in flight at a time.
    pub each: u64,
    /// Whether connections to nodes and agents pass through relays that can be cut. Otherwise they are direct.
    pub wires: bool,
}

impl Default for Scenario {
    fn default() -> Self {
        let zone = |name: &str| Zone {
            name: name.into(),
            routers: 3,
            nodes: 3,
        };
        Scenario {
            zones: ["a", "b", "c"].map(zone).to_vec(),
            members: 3,
            seconds: 4.0,
            wait_s: None,
            rate: 240.0,
            peers: None,
            faults: Vec::new(),
            random: 0,
            out: Vec::new(),
            clients: vec!["*".into()],
            each: 3,
            wires: true,
        }
    }
}

impl Scenario {
    /// Returns the index of the zone of each router.
    pub fn routers(&self) -> Vec<usize> {
        let each = |(n, z): (usize, &Zone)| std::iter::repeat_n(n, z.routers);
        self.zones.iter().enumerate().flat_map(each).collect()
    }

    /// Returns zone and group of each db node. Nodes are assigned to zones in rotation, so that the members of a group are
    /// in different zones.
    pub fn nodes(&self) -> Vec<(usize, usize)> {
        let mut left: Vec<usize> = self.zones.iter().map(|z| z.nodes).collect();
        let mut zones = Vec::new();
        while left.iter().any(|n| *n > 0) {
            for (zone, n) in left.iter_mut().enumerate().filter(|(_, n)| **n > 0) {
                *n -= 1;
                zones.push(zone);
            }
        }
        zones
            .into_iter()
            .enumerate()
            .map(|(n, zone)| (zone, n / self.members))
            .collect()
    }

    fn check(&self) -> Result<(), String> {
        let (routers, nodes) = (self.routers().len(), self.nodes().len());
        if routers == 0
            || routers > MAX_PROCESSES
            || nodes == 0
            || nodes > MAX_PROCESSES
            || self.members == 0
        {
            return Err(format!(
                "zones: expected 1 to {MAX_PROCESSES} routers and nodes, got {routers} and {nodes}"
            ));
        }
        if !(0.0..=600.0).contains(&self.seconds) {
            return Err(format!("seconds: expected 0 to 600, got {}", self.seconds));
        }
        if !(1.0..=5_000.0).contains(&self.rate) {
            return Err(format!("rate: expected 1 to 5000, got {}", self.rate));
        }
        if !(1..=64).contains(&self.each) {
            return Err(format!("each: expected 1 to 64, got {}", self.each));
        }
        for name in &self.clients {
            runner::select(name, 'n', &self.routers(), &self.zones)
                .map_err(|e| format!("clients: {e}"))?;
        }
        for (n, fault) in self.faults.iter().enumerate() {
            let key = format!("faults[{n}]");
            if !(0.0..=600.0).contains(&fault.at) || !(fault.at..=600.0).contains(&fault.until) {
                return Err(format!(
                    "{key}.at: expected at up to until, and 600 at the most"
                ));
            }
            for name in fault.what.routers() {
                runner::select(&name, 'n', &self.routers(), &self.zones)
                    .map_err(|e| format!("{key}.what: {e}"))?;
            }
            let zones: Vec<usize> = self.nodes().iter().map(|n| n.0).collect();
            for name in fault.what.nodes() {
                runner::select(&name, 's', &zones, &self.zones)
                    .map_err(|e| format!("{key}.what: {e}"))?;
            }
        }
        Ok(())
    }
}

impl What {
    /// Returns the names of the affected routers.
    pub fn routers(&self) -> Vec<String> {
        match self {
            What::Kill { routers }
            | What::Term { routers }
            | What::Stop { routers }
            | What::Duty { routers, .. }
            | What::Rolling { routers }
            | What::Flood { routers, .. }
            | What::Wires { routers, .. }
            | What::AgentSilent { routers } => routers.clone(),
            What::Twin { router } => vec![router.clone()],
            What::Link { from, to, .. } => [from.clone(), to.clone()].concat(),
            What::Partition { parts } => parts.concat(),
            _ => Vec::new(),
        }
    }

    /// Returns the names of the affected db nodes.
    pub fn nodes(&self) -> Vec<String> {
        match self {
            What::NodeDown { nodes }
            | What::NodeSilent { nodes }
            | What::NodeErrors { nodes, .. }
            | What::NodeSlow { nodes, .. }
            | What::Wires { nodes, .. }
            | What::Drain { nodes } => nodes.clone(),
            What::Rename { node } => vec![node.clone()],
            _ => Vec::new(),
        }
    }
}

/// The cases of a script.
pub struct Cases {
    /// Name and scenario of each case.
    pub cases: Vec<(String, Scenario)>,
}

impl Cases {
    /// Reads a script. Its top level has the settings of all cases, and `cases` overrides them for each case.
    ///
    /// # Errors
    /// The text names file, line and key.
    pub fn read(path: &Path) -> Result<Self, String> {
        let script = Script::read(path).map_err(|e| e.to_string())?;
        let mut base = script.values.clone();
        let cases = base.remove("cases").unwrap_or_else(|| json!({ "all": {} }));
        let Value::Object(cases) = cases else {
            return Err(script
                .error_at("cases", "expected a dict of names and settings")
                .to_string());
        };
        let mut read = Vec::new();
        for (name, overrides) in cases {
            let mut value = Value::Object(base.clone());
            crate::experiment::merge(&mut value, overrides);
            let scenario: Scenario = script
                .deserialize_value(value, "")
                .map_err(|e| format!("case {name}: {e}"))?;
            scenario.check().map_err(|e| {
                let (key, why) = e.split_once(": ").unwrap_or(("", &e));
                format!("case {name}: {}", script.error_at(key, why))
            })?;
            read.push((name, scenario));
        }
        Ok(Cases { cases: read })
    }
}

/// Options of the command line.
pub struct RunOptions {
    /// Path of the script.
    pub file: PathBuf,
    /// Cases to run. If there are none, all cases run.
    pub cases: Vec<String>,
    /// Seeds with which each case runs.
    pub seeds: RangeInclusive<u64>,
    /// Number of concurrent runs.
    pub at_once: usize,
    /// Folder for the logs of runs with violations.
    pub keep: Option<PathBuf>,
    /// Guard that the routers disable.
    pub without: Option<String>,
    /// Whether faults are removed from a failing schedule while it still fails.
    pub shrink: bool,
    /// Path of the router's program.
    pub router: Option<PathBuf>,
}

/// Result of one run.
#[derive(Serialize)]
pub struct RunResult {
    /// Name of the case.
    pub case: String,
    /// Seed of the run.
    pub seed: u64,
    /// Violations that the checker found.
    pub broken: Vec<checker::Violation>,
    /// Injected faults, including the random ones.
    pub faults: Vec<Fault>,
    /// Figures of the run.
    pub figures: checker::Figures,
    /// Wall-clock duration (s).
    pub wall: f64,
}

/// Runs one case with one seed, and checks the record.
fn run_one(
    options: &RunOptions,
    program: &Path,
    name: &str,
    scenario: &Scenario,
    seed: u64,
) -> Result<RunResult, String> {
    let started = std::time::Instant::now();
    let mut scenario = scenario.clone();
    let drawn = random_faults::draw_faults(&scenario, seed);
    scenario.faults.extend(drawn);
    scenario.random = 0;
    let record = runner::run_scenario(&scenario, program, seed, options.without.as_deref())
        .map_err(|e| format!("{name}, seed {seed}: {e}"))?;
    let (broken, figures) = checker::check(&scenario, &record);
    if let Some(folder) = options.keep.as_ref().filter(|_| !broken.is_empty()) {
        runner::write_record(&folder.join(format!("{name}-{seed}")), &scenario, &record)
            .map_err(|e| e.to_string())?;
    }
    let wall = started.elapsed().as_secs_f64();
    Ok(RunResult {
        case: name.into(),
        seed,
        broken,
        faults: scenario.faults,
        figures,
        wall,
    })
}

/// Runs all cases with all seeds, and prints each result as soon as it is there.
///
/// # Errors
/// A run could not be carried out.
pub fn run(options: &RunOptions) -> Result<Vec<RunResult>, String> {
    let mut cases = Cases::read(&options.file)?.cases;
    if let Some(unknown) = options
        .cases
        .iter()
        .find(|c| !cases.iter().any(|(name, _)| name == *c))
    {
        return Err(format!(
            "{}: there is no case {unknown:?}",
            options.file.display()
        ));
    }
    cases.retain(|(name, _)| options.cases.is_empty() || options.cases.contains(name));
    let program = options
        .router
        .clone()
        .map_or_else(sockets::router_beside, Ok)?;
    let mut queue = Vec::new();
    for seed in options.seeds.clone() {
        queue.extend(cases.iter().map(|(name, scenario)| (name, scenario, seed)));
    }
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(options.at_once)
        .build()
        .map_err(|e| e.to_string())?;
    let run = |(name, scenario, seed): (&String, &Scenario, u64)| {
        let result = run_one(options, &program, name, scenario, seed);
        if let Ok(result) = &result {
            println!("{}", format_result(result));
        }
        result
    };
    let results: Result<Vec<RunResult>, String> =
        pool.install(|| queue.into_par_iter().with_max_len(1).map(run).collect());
    let results = results?;
    if options.shrink
        && let Some(failed) = results.iter().find(|v| !v.broken.is_empty())
        && let Some((_, scenario)) = cases.iter().find(|(name, _)| *name == failed.case)
    {
        let check = failed.broken[0].check;
        let small = random_faults::shrink(failed.faults.clone(), |faults| {
            let scenario = Scenario {
                faults: faults.to_vec(),
                random: 0,
                ..scenario.clone()
            };
            let again = run_one(options, &program, &failed.case, &scenario, failed.seed);
            again.is_ok_and(|v| v.broken.iter().any(|b| b.check == check))
        });
        let text = serde_json::to_string_pretty(&small).map_err(|e| e.to_string())?;
        println!(
            "{} of {} faults are enough for {check}:\n{text}",
            small.len(),
            failed.faults.len()
        );
    }
    Ok(results)
}

/// Maximum number of violations that are printed for a run. The first violation of each check is always printed.
const MAX_PRINTED_VIOLATIONS: usize = 8;

/// Selects the violations to print, in order of time: the first of each check, and then the earliest others.
///
/// Without the first of each check, a check that fails on every router at once would hide one that fails later.
fn select_violations(broken: &[checker::Violation]) -> Vec<&checker::Violation> {
    let mut seen = std::collections::BTreeSet::new();
    let first: Vec<bool> = broken.iter().map(|b| seen.insert(b.check)).collect();
    let mut room = MAX_PRINTED_VIOLATIONS.saturating_sub(seen.len());
    let mut all = broken.iter().zip(first).collect::<Vec<_>>();
    all.retain(|(_, first)| *first || room.checked_sub(1).inspect(|left| room = *left).is_some());
    all.into_iter().map(|(broken, _)| broken).collect()
}

/// Formats a result as one line. If there are violations, they and the schedule of faults follow.
fn format_result(result: &RunResult) -> String {
    let f = &result.figures;
    let mut out = format!(
        "{:>16} {:>5}  {}  {} requests, {} served; joined {:.1} s, agreed {:.1} s; {:.1} datagrams/s each, {} at the most; {:.0} s",
        result.case,
        result.seed,
        if result.broken.is_empty() {
            "good  "
        } else {
            "BROKEN"
        },
        f.requests,
        f.served,
        f.joined,
        f.agreed,
        f.datagrams.0,
        f.datagrams.1,
        result.wall,
    );
    for broken in select_violations(&result.broken) {
        out += &format!(
            "\n    {} at {:.2} s, {}: {}",
            broken.check, broken.at, broken.who, broken.what
        );
    }
    if !result.broken.is_empty() {
        out += &format!(
            "\n    schedule: {}",
            serde_json::to_string(&result.faults).unwrap_or_default()
        );
    }
    out
}

#[cfg(test)]
mod tests;
