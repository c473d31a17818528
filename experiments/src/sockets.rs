//! Runs a small experiment on loopback sockets, with emulated nodes and clients and with real router processes.

use crate::error::Error;
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use plovercove_emulator::{Clients, Fleet, FleetCounts, RequestOutcome, Sample};
use plovercove_simulation::{FaultKind, Reads, Spec, Variant};
use serde::Serialize;
use serde_json::json;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// Maximum time between SIGTERM and the exit of a router. A router that takes longer is killed.
const MAX_EXIT_TIME: Duration = Duration::from_secs(8);
/// Maximum number of nodes. Larger experiments need more threads and sockets than one machine has, and are simulated.
const MAX_NODES: usize = 24;
/// Maximum number of routers, for the same reason.
const MAX_ROUTERS: usize = 6;

/// Result of an experiment on sockets.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Number of requests.
    pub requests: usize,
    /// Number of requests that were served.
    pub served: usize,
    /// Number of requests that were rejected.
    pub refused: usize,
    /// Number of requests that failed.
    pub failed: usize,
    /// Number of requests without an answer by the timeout, which violates the rules.
    pub unanswered: usize,
    /// Number of requests that were answered with the value of another request, which violates the rules.
    pub foreign: usize,
    /// Number of writes that ran more than once, which violates the rules.
    pub twice: usize,
    /// Number of nodes that were overloaded until they failed, which violates the rules.
    pub fallen: usize,
    /// Value of the requests that were answered in time, as a share of the value of all requests, by second.
    pub in_time: Vec<f64>,
    /// Maximum spillover to a zone in any second, as a share of the capacity of the whole zone.
    pub spill_most: f64,
}

impl Outcome {
    /// Returns whether a rule was violated.
    pub fn has_violations(&self) -> bool {
        self.unanswered + self.foreign + self.twice + self.fallen > 0
    }
}

/// A router process with the index of its zone.
struct Router {
    process: Process,
    zone: usize,
}

impl Drop for Router {
    fn drop(&mut self) {
        // The router finishes its requests after SIGTERM. Dropping the process kills a router that takes longer.
        self.process.send_signal(ProcessSignal::Term);
        let _ = self.process.wait_for_exit(MAX_EXIT_TIME);
    }
}

/// Returns the configuration of a router, in the format of the platform.
pub(crate) fn config(
    spec: &Spec,
    index: usize,
    zone: &str,
    agent: SocketAddr,
) -> serde_json::Value {
    let read_class = |reads: Reads| match reads {
        Reads::Any => "loose",
        Reads::Bounded(_) => "recent",
        Reads::Session => "own_writes",
        Reads::Write => "update",
    };
    let max_age = |reads: Reads| {
        if let Reads::Bounded(ms) = reads {
            ms * 1_000
        } else {
            0
        }
    };
    let profiles: Vec<_> = spec
        .classes
        .iter()
        .map(|c| {
            let effect = if c.reads == Reads::Write { "at_most_once" } else { "idempotent" };
            json!({"Name": c.name, "Aim": c.aim_ms * 1_000, "Deadline": c.deadline_ms * 1_000, "Gain": c.worth,
                   "LateWorth": c.late, "Effect": effect})
        })
        .collect();
    let settings = spec.router_settings(index, zone);
    json!({
        "name": format!("n{index}"), "listen": "127.0.0.1:0", "discovery": agent.to_string(),
        "seed": format!("{:x}", index + 17), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "Balancers": settings.router_count, "SlotNo": index, "Tick": 5000, "Discovery": "automatic", "Zone": zone,
            "FamilyInfo": {
                "ClassRead": spec.classes.iter().map(|c| read_class(c.reads)).collect::<Vec<_>>(),
                "MaxAge": spec.classes.iter().map(|c| max_age(c.reads)).collect::<Vec<_>>(),
                "ServerChecks": "silent", "ShowsRole": "delayed", "SessionMarks": "client"},
            "Limits": {"Cancel": true, "ConnIdle": 30_000_000, "DialTimeout": settings.connect_timeout,
                "MaxAttempts": settings.max_attempts, "MaxRetryAfter": settings.max_retry_after, "Probing": true,
                "RetryAfter": true, "SecondCopies": true},
            "Profiles": profiles,
            "Customers": spec.zones.iter().map(|z| json!({"Name": z.name})).collect::<Vec<_>>(),
            "Report": {"How": "pull", "Names": ["x0", "x1"]},
            "Rules": {"Cold": settings.slow_start_duration, "ColdShare": settings.slow_start_min_share,
                "DrainGrace": settings.drain_grace, "OverloadFactor": settings.overload_factor,
                "OverloadFor": settings.overload_duration, "GraceToAnswer": settings.answer_grace}}})
}

/// Returns the operators' file with the rules of the specification. The rules are written as JSON, which is valid Starlark
/// here, because they do not contain `true`, `false` or `null`.
fn operators_file(spec: &Spec) -> Result<String, Error> {
    let rules = serde_json::to_string(&spec.locality_rules())?;
    Ok(format!("tiers = {rules}\n"))
}

fn start(
    program: &Path,
    folder: &Folder,
    spec: &Spec,
    index: usize,
    zone: usize,
    agent: SocketAddr,
) -> Result<Router, Error> {
    let text = config(spec, index, &spec.zones[zone].name, agent).to_string();
    let file = folder.write(&format!("n{index}.json"), &text)?;
    let rules = folder.path().join("operators.star");
    let process = Process::start(program, &file, |command| {
        command.args(["--log-format", "json"]);
        if spec.variant == Variant::ZoneFailover {
            command.arg("--operators").arg(&rules);
        }
        command
    });
    Ok(Router {
        process: process.map_err(|e| Error::Router {
            name: index.to_string(),
            why: e.to_string(),
        })?,
        zone,
    })
}

/// Runs a specification: starts the fleet and the clients, and takes zones down and up at their times. `print` gets the
/// lines that describe the progress.
pub fn run(
    spec: &Spec,
    program: &Path,
    seed: u64,
    mut print: impl FnMut(&str),
) -> Result<Outcome, Error> {
    let (nodes, routers) = spec
        .zones
        .iter()
        .fold((0, 0), |sum, z| (sum.0 + z.nodes, sum.1 + z.routers));
    if nodes > MAX_NODES || routers > MAX_ROUTERS {
        return Err(Error::TooLarge {
            most_nodes: MAX_NODES,
            most_routers: MAX_ROUTERS,
            nodes,
            routers,
        });
    }
    let mut steps = Vec::new();
    for fault in &spec.faults {
        let FaultKind::ZoneDown { zone, part } = &fault.what else {
            return Err(Error::OnlyZoneDown);
        };
        if *part < 1.0 {
            return Err(Error::Whole);
        }
        steps.push((fault.at, zone, false));
        steps.push((fault.until, zone, true));
    }
    steps.sort_by(|a, b| a.0.total_cmp(&b.0));
    let folder = Folder::new(&format!("lab-{seed}"))?;
    folder.write("operators.star", &operators_file(spec)?)?;
    let fleet = Fleet::start(spec, seed)?;
    let mut running = Vec::new();
    for (zone, zone_spec) in spec.zones.iter().enumerate() {
        for _ in 0..zone_spec.routers {
            running.push(start(
                program,
                &folder,
                spec,
                running.len(),
                zone,
                fleet.agent(),
            )?);
        }
    }
    print(&format!("{nodes} db nodes and {routers} routers serve"));
    let addresses: Vec<_> = running
        .iter()
        .map(|r| (r.zone, r.process.listen()))
        .collect();
    let started = Instant::now();
    let clients = Clients::start(spec, &addresses, seed);
    for (at, zone, up) in steps {
        std::thread::sleep(Duration::from_secs_f64(at).saturating_sub(started.elapsed()));
        print(&format!(
            "{at:5.1} s: zone {zone} {}",
            if up {
                "starts again, cold"
            } else {
                "goes down"
            }
        ));
        if up {
            fleet.zone_up(zone)?;
        } else {
            fleet.zone_down(zone);
        }
    }
    std::thread::sleep(Duration::from_secs_f64(spec.seconds).saturating_sub(started.elapsed()));
    let samples = clients.stop();
    let counts = fleet.counts();
    drop(running);
    drop(fleet);
    Ok(summarize(spec, &samples, &counts))
}

fn summarize(spec: &Spec, samples: &[Sample], counts: &FleetCounts) -> Outcome {
    let count_of =
        |outcome: RequestOutcome| samples.iter().filter(|s| s.outcome == outcome).count();
    let mut worth = vec![(0.0, 0.0); spec.seconds.ceil() as usize];
    for s in samples {
        let class = &spec.classes[s.class];
        let Some(second) = worth.get_mut(s.at.as_secs() as usize) else {
            continue;
        };
        second.0 += class.worth;
        if s.outcome == RequestOutcome::Served {
            let in_time = s.took <= Duration::from_millis(class.aim_ms);
            second.1 += class.worth * if in_time { 1.0 } else { class.late };
        }
    }
    let capacity = |zone: usize| (spec.zones[zone].nodes as u32 * spec.node.cores) as f64;
    let spilled = counts
        .spilled
        .iter()
        .flat_map(|s| s.iter().enumerate().map(|(z, work)| work / capacity(z)));
    Outcome {
        requests: samples.len(),
        served: count_of(RequestOutcome::Served),
        refused: count_of(RequestOutcome::Refused),
        failed: count_of(RequestOutcome::Failed),
        unanswered: count_of(RequestOutcome::Unanswered),
        foreign: count_of(RequestOutcome::Foreign),
        twice: counts.twice,
        fallen: counts.fallen,
        in_time: worth
            .into_iter()
            .map(|(requested, in_time)| {
                if requested > 0.0 {
                    in_time / requested
                } else {
                    1.0
                }
            })
            .collect(),
        spill_most: spilled.fold(0.0, f64::max),
    }
}

/// Returns the path of the router's program, which is in the folder of this program or in the folder above.
pub fn router_beside() -> Result<PathBuf, Error> {
    let program = std::env::current_exe()?;
    let beside =
        |folder: Option<&Path>| folder.map(|f| f.join("plovercove")).filter(|p| p.is_file());
    let found =
        beside(program.parent()).or_else(|| beside(program.parent().and_then(Path::parent)));
    found.ok_or(Error::NoRouter)
}

/// Formats the result for the terminal.
pub fn summary(outcome: &Outcome) -> String {
    let mut out = String::new();
    let o = outcome;
    let _ = writeln!(out, "\nsecond  in time");
    for (second, share) in o.in_time.iter().enumerate() {
        let _ = writeln!(
            out,
            "{second:6}  {share:.3}  {}",
            "#".repeat((share * 40.0) as usize)
        );
    }
    let _ = writeln!(
        out,
        "{} requests: {} served, {} refused, {} failed; most spilled to a zone in a second: {:.0} % of it",
        o.requests,
        o.served,
        o.refused,
        o.failed,
        o.spill_most * 100.0
    );
    let _ = writeln!(
        out,
        "rules: {} unanswered, {} foreign, {} writes ran twice, {} nodes fell",
        o.unanswered, o.foreign, o.twice, o.fallen
    );
    out
}
