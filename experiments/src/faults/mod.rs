//! Trials of many router processes that fail, are cut off from each other and come back: what a script describes is played
//! with real processes, and judged by a checker that knows nothing but their logs and what the stand-ins counted.

pub mod check;
pub mod draw;
pub mod play;

use crate::sockets;
use plovercove_emulator::links::Weather;
use plovercove_starlark_config::Script;
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// More processes than this are too much for one machine.
const MOST: usize = 128;

/// A zone of the trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Zone {
    /// Its name.
    pub name: String,
    /// Its routers.
    pub routers: usize,
    /// Its db nodes; members of a group stand in different zones.
    pub nodes: usize,
}

/// What goes wrong. Routers are named n0, n1 and so on, or by their zone, or `*`; nodes s0, s1 and so on, or by zone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// SIGKILL; started again at the end, under the same name and address.
    Kill {
        /// Which.
        routers: Vec<String>,
    },
    /// SIGTERM; started again at the end.
    Term {
        /// Which.
        routers: Vec<String>,
    },
    /// SIGSTOP, and SIGCONT at the end.
    Stop {
        /// Which.
        routers: Vec<String>,
    },
    /// Stopped and let go in turn: a slow peer.
    Duty {
        /// Which.
        routers: Vec<String>,
        /// Let go for so long (ms).
        on_ms: u64,
        /// Stopped for so long (ms).
        off_ms: u64,
    },
    /// One after the other is ended by SIGTERM and started again, evenly from the beginning to the end.
    Rolling {
        /// Which.
        routers: Vec<String>,
    },
    /// A second process under a router's name, at an address of its own.
    Twin {
        /// Whose name.
        router: String,
    },
    /// Weather from some routers to others.
    Link {
        /// From which.
        from: Vec<String>,
        /// To which.
        to: Vec<String>,
        /// What happens to datagrams.
        weather: Weather,
    },
    /// Routers are parted: nothing passes between the parts.
    Partition {
        /// The parts.
        parts: Vec<Vec<String>>,
    },
    /// Datagrams with a wrong key, so many a second to each.
    Flood {
        /// To which.
        routers: Vec<String>,
        /// A second.
        rate: u32,
    },
    /// Db nodes die, and start again at the end.
    NodeDown {
        /// Which.
        nodes: Vec<String>,
    },
    /// Db nodes take statements in and never answer.
    NodeSilent {
        /// Which.
        nodes: Vec<String>,
    },
    /// Db nodes answer with errors.
    NodeErrors {
        /// Which.
        nodes: Vec<String>,
        /// Only this class; empty for all.
        #[serde(default)]
        class: String,
    },
    /// Db nodes take so much longer.
    NodeSlow {
        /// Which.
        nodes: Vec<String>,
        /// How much (ms).
        ms: u64,
    },
    /// Routers cannot reach db nodes, or hear nothing from them.
    Wires {
        /// Which routers.
        routers: Vec<String>,
        /// Which nodes.
        nodes: Vec<String>,
        /// Only what comes back is cut.
        #[serde(default)]
        home_only: bool,
    },
    /// Routers' agents keep silent.
    AgentSilent {
        /// Which routers'.
        routers: Vec<String>,
    },
    /// Db nodes are listed as draining, and as serving again at the end.
    Drain {
        /// Which.
        nodes: Vec<String>,
    },
    /// A db node's address is given to a node of another name.
    Rename {
        /// Which.
        node: String,
    },
}

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins (s after all routers have found each other).
    pub at: f64,
    /// When it ends.
    pub until: f64,
    /// What happens.
    pub what: What,
}

/// A trial.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Trial {
    /// The zones.
    pub zones: Vec<Zone>,
    /// Members of a group.
    pub members: usize,
    /// It lasts so long at the least (s).
    pub seconds: f64,
    /// After the last fault all are waited for so long (s); none: by the bounds of their rules.
    pub wait_s: Option<f64>,
    /// Requests a second of all clients together.
    pub rate: f64,
    /// The peers' rules of the operators' file; none: routers share nothing.
    pub peers: Option<Map<String, Value>>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// So many faults are drawn from the seed besides.
    pub random: usize,
    /// Nodes that all routers must take out, by the bound, from the beginning of their fault.
    pub out: Vec<String>,
    /// Routers that clients ask.
    pub clients: Vec<String>,
    /// Clients of each of them; each asks one thing at a time.
    pub each: u64,
    /// Connections to nodes and agents go by way of wires that can be cut; without, directly.
    pub wires: bool,
}

impl Default for Trial {
    fn default() -> Self {
        let zone = |name: &str| Zone {
            name: name.into(),
            routers: 3,
            nodes: 3,
        };
        Trial {
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

impl Trial {
    /// Routers, each with its zone.
    pub fn routers(&self) -> Vec<usize> {
        let each = |(n, z): (usize, &Zone)| std::iter::repeat_n(n, z.routers);
        self.zones.iter().enumerate().flat_map(each).collect()
    }

    /// Db nodes, each with zone and group: zones take turns, so that members of a group stand apart.
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
        if routers == 0 || routers > MOST || nodes == 0 || nodes > MOST || self.members == 0 {
            return Err(format!(
                "zones: expected 1 to {MOST} routers and nodes, got {routers} and {nodes}"
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
            play::select(name, 'n', &self.routers(), &self.zones)
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
                play::select(&name, 'n', &self.routers(), &self.zones)
                    .map_err(|e| format!("{key}.what: {e}"))?;
            }
            let zones: Vec<usize> = self.nodes().iter().map(|n| n.0).collect();
            for name in fault.what.nodes() {
                play::select(&name, 's', &zones, &self.zones)
                    .map_err(|e| format!("{key}.what: {e}"))?;
            }
        }
        Ok(())
    }
}

impl What {
    /// The routers that it names.
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

    /// The nodes that it names.
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

/// A script's cases.
pub struct Cases {
    /// Each with its name.
    pub cases: Vec<(String, Trial)>,
}

impl Cases {
    /// Reads a script: settings of all cases, and `cases` with what differs.
    ///
    /// # Errors
    /// Names file, line and key.
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
        for (name, over) in cases {
            let mut value = Value::Object(base.clone());
            crate::experiment::merge(&mut value, over);
            let trial: Trial = script
                .deserialize_value(value, "")
                .map_err(|e| format!("case {name}: {e}"))?;
            trial.check().map_err(|e| {
                let (key, why) = e.split_once(": ").unwrap_or(("", &e));
                format!("case {name}: {}", script.error_at(key, why))
            })?;
            read.push((name, trial));
        }
        Ok(Cases { cases: read })
    }
}

/// What is asked for on the command line.
pub struct Wish {
    /// The script.
    pub file: PathBuf,
    /// Only these cases.
    pub cases: Vec<String>,
    /// The seeds.
    pub seeds: RangeInclusive<u64>,
    /// Trials at once.
    pub at_once: usize,
    /// Where logs are kept.
    pub keep: Option<PathBuf>,
    /// A guard that is switched off.
    pub without: Option<String>,
    /// Whether a schedule that fails is made smaller.
    pub shrink: bool,
    /// The router's program.
    pub router: Option<PathBuf>,
}

/// What came of one trial.
#[derive(Serialize)]
pub struct Verdict {
    /// The case.
    pub case: String,
    /// The seed.
    pub seed: u64,
    /// What was broken.
    pub broken: Vec<check::Broken>,
    /// What happened, with what was drawn.
    pub faults: Vec<Fault>,
    /// Figures.
    pub figures: check::Figures,
    /// How long it took (s).
    pub wall: f64,
}

fn one(
    wish: &Wish,
    program: &Path,
    name: &str,
    trial: &Trial,
    seed: u64,
) -> Result<Verdict, String> {
    let begun = std::time::Instant::now();
    let mut trial = trial.clone();
    let drawn = draw::faults(&trial, seed);
    trial.faults.extend(drawn);
    trial.random = 0;
    let record = play::play(&trial, program, seed, wish.without.as_deref())
        .map_err(|e| format!("{name}, seed {seed}: {e}"))?;
    let (broken, figures) = check::check(&trial, &record);
    if let Some(folder) = wish.keep.as_ref().filter(|_| !broken.is_empty()) {
        play::keep(&folder.join(format!("{name}-{seed}")), &trial, &record)
            .map_err(|e| e.to_string())?;
    }
    let wall = begun.elapsed().as_secs_f64();
    Ok(Verdict {
        case: name.into(),
        seed,
        broken,
        faults: trial.faults,
        figures,
        wall,
    })
}

/// Plays what is wished, and prints each outcome as it comes.
///
/// # Errors
/// A trial could not be played at all.
pub fn run(wish: &Wish) -> Result<Vec<Verdict>, String> {
    let mut cases = Cases::read(&wish.file)?.cases;
    if let Some(unknown) = wish
        .cases
        .iter()
        .find(|c| !cases.iter().any(|(name, _)| name == *c))
    {
        return Err(format!(
            "{}: there is no case {unknown:?}",
            wish.file.display()
        ));
    }
    cases.retain(|(name, _)| wish.cases.is_empty() || wish.cases.contains(name));
    let program = wish
        .router
        .clone()
        .map_or_else(sockets::router_beside, Ok)?;
    let mut runs = Vec::new();
    for seed in wish.seeds.clone() {
        runs.extend(cases.iter().map(|(name, trial)| (name, trial, seed)));
    }
    let pool = rayon::ThreadPoolBuilder::new()
        .num_threads(wish.at_once)
        .build()
        .map_err(|e| e.to_string())?;
    let play = |(name, trial, seed): (&String, &Trial, u64)| {
        let verdict = one(wish, &program, name, trial, seed);
        if let Ok(verdict) = &verdict {
            println!("{}", line(verdict));
        }
        verdict
    };
    let verdicts: Result<Vec<Verdict>, String> =
        pool.install(|| runs.into_par_iter().with_max_len(1).map(play).collect());
    let verdicts = verdicts?;
    if wish.shrink
        && let Some(failed) = verdicts.iter().find(|v| !v.broken.is_empty())
        && let Some((_, trial)) = cases.iter().find(|(name, _)| *name == failed.case)
    {
        let wanted = failed.broken[0].check;
        let small = draw::shrink(failed.faults.clone(), |faults| {
            let trial = Trial {
                faults: faults.to_vec(),
                random: 0,
                ..trial.clone()
            };
            let again = one(wish, &program, &failed.case, &trial, failed.seed);
            again.is_ok_and(|v| v.broken.iter().any(|b| b.check == wanted))
        });
        let text = serde_json::to_string_pretty(&small).map_err(|e| e.to_string())?;
        println!(
            "{} of {} faults are enough for {wanted}:\n{text}",
            small.len(),
            failed.faults.len()
        );
    }
    Ok(verdicts)
}

/// The most lines about what was broken, but for the first of each check.
const LINES: usize = 8;

/// What is told of all that was broken: the first of each check, and the earliest of the rest, in the order of time.
///
/// Danger: a check that strikes every router at once would hide one that strikes later.
fn told(broken: &[check::Broken]) -> Vec<&check::Broken> {
    let mut seen = std::collections::BTreeSet::new();
    let first: Vec<bool> = broken.iter().map(|b| seen.insert(b.check)).collect();
    let mut room = LINES.saturating_sub(seen.len());
    let mut all = broken.iter().zip(first).collect::<Vec<_>>();
    all.retain(|(_, first)| *first || room.checked_sub(1).inspect(|left| room = *left).is_some());
    all.into_iter().map(|(broken, _)| broken).collect()
}

/// One line for people, and the schedule where something was broken.
fn line(verdict: &Verdict) -> String {
    let f = &verdict.figures;
    let mut out = format!(
        "{:>16} {:>5}  {}  {} requests, {} served; joined {:.1} s, agreed {:.1} s; {:.1} datagrams/s each, {} at the most; {:.0} s",
        verdict.case,
        verdict.seed,
        if verdict.broken.is_empty() {
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
        verdict.wall,
    );
    for broken in told(&verdict.broken) {
        out += &format!(
            "\n    {} at {:.2} s, {}: {}",
            broken.check, broken.at, broken.who, broken.what
        );
    }
    if !verdict.broken.is_empty() {
        out += &format!(
            "\n    schedule: {}",
            serde_json::to_string(&verdict.faults).unwrap_or_default()
        );
    }
    out
}

#[cfg(test)]
mod tests;
