//! A small experiment on loopback sockets: stand-ins, and real router processes with tiers.

use crate::error::Error;
use plovercove_emulator::process::{Folder, Process, ProcessSignal};
use plovercove_emulator::{Clients, Fleet, RequestOutcome, Sample, Tally};
use plovercove_simulation::{Reads, Spec, Trouble, Variant};
use serde::Serialize;
use serde_json::json;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// A router that has not ended by then after SIGTERM is killed.
const ENDS: Duration = Duration::from_secs(8);
/// More than this is for the model: threads and sockets are few here.
const MOST: (usize, usize) = (24, 6);

/// What came of it.
#[derive(Debug, Serialize)]
pub struct Outcome {
    /// Requests, and how they ended.
    pub requests: usize,
    /// See `requests`.
    pub served: usize,
    /// See `requests`.
    pub refused: usize,
    /// See `requests`.
    pub failed: usize,
    /// Rules broken: no answer by the patience, another request's value, a write that ran twice, a node that fell over.
    pub unanswered: usize,
    /// See `unanswered`.
    pub foreign: usize,
    /// See `unanswered`.
    pub twice: usize,
    /// See `unanswered`.
    pub fallen: usize,
    /// Worth in time over worth asked for, by second.
    pub in_time: Vec<f64>,
    /// The most that was spilled to a zone in any second, as a share of what the whole zone can do.
    pub spill_most: f64,
}

impl Outcome {
    /// Whether a rule was broken.
    pub fn broken(&self) -> bool {
        self.unanswered + self.foreign + self.twice + self.fallen > 0
    }
}

/// A router, and the place of its zone.
struct Router {
    process: Process,
    zone: usize,
}

impl Drop for Router {
    fn drop(&mut self) {
        // It finishes what it has taken, as in service; what does not end by then is killed.
        self.process.send_signal(ProcessSignal::Term);
        let _ = self.process.wait_for_exit(ENDS);
    }
}

/// What a router is told, in the platform's form.
pub(crate) fn config(
    spec: &Spec,
    index: usize,
    zone: &str,
    agent: SocketAddr,
) -> serde_json::Value {
    let word = |reads: Reads| match reads {
        Reads::Any => "loose",
        Reads::Bounded(_) => "recent",
        Reads::Session => "own_writes",
        Reads::Write => "update",
    };
    let age = |reads: Reads| {
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
    let settings = spec.settings(index, zone);
    json!({
        "name": format!("n{index}"), "listen": "127.0.0.1:0", "discovery": agent.to_string(),
        "seed": format!("{:x}", index + 17), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": {
            "Balancers": settings.router_count, "SlotNo": index, "Tick": 5000, "Discovery": "automatic", "Zone": zone,
            "FamilyInfo": {
                "ClassRead": spec.classes.iter().map(|c| word(c.reads)).collect::<Vec<_>>(),
                "MaxAge": spec.classes.iter().map(|c| age(c.reads)).collect::<Vec<_>>(),
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

/// The operators' file for the spec's rules: JSON but for the names of true, false and null, which it has none of.
fn operators(spec: &Spec) -> Result<String, Error> {
    let rules = serde_json::to_string(&spec.rules())?;
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

/// Plays a spec: its zones going down and coming up, at their times.
pub fn play(
    spec: &Spec,
    program: &Path,
    seed: u64,
    mut tell: impl FnMut(&str),
) -> Result<Outcome, Error> {
    let (nodes, routers) = spec
        .zones
        .iter()
        .fold((0, 0), |sum, z| (sum.0 + z.nodes, sum.1 + z.routers));
    if nodes > MOST.0 || routers > MOST.1 {
        return Err(Error::TooLarge {
            most_nodes: MOST.0,
            most_routers: MOST.1,
            nodes,
            routers,
        });
    }
    let mut steps = Vec::new();
    for fault in &spec.faults {
        let Trouble::ZoneDown { zone, part } = &fault.what else {
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
    folder.write("operators.star", &operators(spec)?)?;
    let fleet = Fleet::start(spec, seed)?;
    let mut running = Vec::new();
    for (zone, told) in spec.zones.iter().enumerate() {
        for _ in 0..told.routers {
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
    tell(&format!("{nodes} db nodes and {routers} routers serve"));
    let addresses: Vec<_> = running
        .iter()
        .map(|r| (r.zone, r.process.listen()))
        .collect();
    let begun = Instant::now();
    let clients = Clients::start(spec, &addresses, seed);
    for (at, zone, up) in steps {
        std::thread::sleep(Duration::from_secs_f64(at).saturating_sub(begun.elapsed()));
        tell(&format!(
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
    std::thread::sleep(Duration::from_secs_f64(spec.seconds).saturating_sub(begun.elapsed()));
    let samples = clients.stop();
    let tally = fleet.tally();
    drop(running);
    drop(fleet);
    Ok(count(spec, &samples, &tally))
}

fn count(spec: &Spec, samples: &[Sample], tally: &Tally) -> Outcome {
    let of = |fate: RequestOutcome| samples.iter().filter(|s| s.fate == fate).count();
    let mut worth = vec![(0.0, 0.0); spec.seconds.ceil() as usize];
    for s in samples {
        let class = &spec.classes[s.class];
        let Some(second) = worth.get_mut(s.at.as_secs() as usize) else {
            continue;
        };
        second.0 += class.worth;
        if s.fate == RequestOutcome::Served {
            let in_time = s.took <= Duration::from_millis(class.aim_ms);
            second.1 += class.worth * if in_time { 1.0 } else { class.late };
        }
    }
    let capacity = |zone: usize| (spec.zones[zone].nodes as u32 * spec.node.cores) as f64;
    let spilled = tally
        .spilled
        .iter()
        .flat_map(|s| s.iter().enumerate().map(|(z, work)| work / capacity(z)));
    Outcome {
        requests: samples.len(),
        served: of(RequestOutcome::Served),
        refused: of(RequestOutcome::Refused),
        failed: of(RequestOutcome::Failed),
        unanswered: of(RequestOutcome::Unanswered),
        foreign: of(RequestOutcome::Foreign),
        twice: tally.twice,
        fallen: tally.fallen,
        in_time: worth
            .into_iter()
            .map(|(asked, good)| if asked > 0.0 { good / asked } else { 1.0 })
            .collect(),
        spill_most: spilled.fold(0.0, f64::max),
    }
}

/// The router beside this program.
pub fn router_beside() -> Result<PathBuf, Error> {
    let mine = std::env::current_exe()?;
    let beside =
        |folder: Option<&Path>| folder.map(|f| f.join("plovercove")).filter(|p| p.is_file());
    let found = beside(mine.parent()).or_else(|| beside(mine.parent().and_then(Path::parent)));
    found.ok_or(Error::NoRouter)
}

/// What people read.
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
