//! `plovercove-experiments` runs experiments with load, faults and designs: in a simulation that uses plovercove's own
//! decision code, and with real router processes on loopback sockets.

mod error;
mod experiment;
mod faults;
mod sockets;
mod table;
mod translation_cost;

use clap::{Parser, Subcommand};
use error::Error;
use experiment::{Experiment, Outcome};
use plovercove_simulation::Variant;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Experiments with load, faults and designs of plovercove, in a simulation that uses the router's own decision code.
#[derive(Parser)]
#[command(name = "plovercove-experiments", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Simulate an experiment in virtual time, and print a table.
    Run {
        /// Script that describes the experiment.
        file: PathBuf,
        /// Seed of the run.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run with each seed from A to B, inclusive, written as A..B.
        #[arg(long, value_parser = seeds, conflicts_with = "seed")]
        seeds: Option<(u64, u64)>,
        /// Override a setting of the script, as in clients.load=0.7. May be given more than once.
        #[arg(long, value_name = "KEY=VALUE")]
        set: Vec<String>,
        /// Run only this case. May be given more than once.
        #[arg(long)]
        case: Vec<String>,
        /// Run only this variant of the zone policy: tiers, flat or strict. May be given more than once.
        #[arg(long, value_parser = variant)]
        variant: Vec<Variant>,
        /// Write all reports to a JSON file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Print the figures of each second.
        #[arg(long)]
        seconds: bool,
        /// Exit with an error if a rule was violated or a node failed because of overload.
        #[arg(long)]
        strict: bool,
    },
    /// Run a small experiment on loopback sockets, with emulated nodes and real routers.
    Sockets {
        /// Script that describes the experiment.
        file: PathBuf,
        /// Case to run, if the script has more than one.
        #[arg(long)]
        case: Option<String>,
        /// Seed of the work and the arrival times of requests.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Path of the router's program. The default is the one in the folder of this program.
        #[arg(long, value_name = "FILE")]
        router: Option<PathBuf>,
        /// Write the result to a JSON file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Run a demonstration of twenty seconds on loopback sockets, in which a zone fails and returns.
    Demo {
        /// Path of the router's program. The default is the one in the folder of this program.
        #[arg(long, value_name = "FILE")]
        router: Option<PathBuf>,
    },
    /// Measure the cost of protocol translation: compare further listeners of a router with its main listener.
    Translate {
        /// Number of concurrent clients.
        #[arg(long, default_value_t = 8)]
        clients: usize,
        /// Duration of each measurement in each round, in seconds.
        #[arg(long, default_value_t = 2.0)]
        seconds: f64,
        /// Number of rounds, without the first one, which is a warm-up.
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Path of the router's program. The default is the one in the folder of this program.
        #[arg(long, value_name = "FILE")]
        router: Option<PathBuf>,
    },
    /// Run many router processes on loopback sockets, inject faults, and check the invariants.
    Faults {
        /// Script that describes the experiment.
        file: PathBuf,
        /// Run only this case. May be given more than once.
        #[arg(long)]
        case: Vec<String>,
        /// Seed of the random faults.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Run with each seed from A to B, inclusive, written as A..B.
        #[arg(long, value_parser = seeds, conflicts_with = "seed")]
        seeds: Option<(u64, u64)>,
        /// Number of concurrent runs.
        #[arg(long, default_value_t = 2)]
        at_once: usize,
        /// Write all results to a JSON file.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Keep the logs of runs with violations in this folder.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
        /// After a violation, remove faults from the schedule while the check still fails.
        #[arg(long)]
        shrink: bool,
        /// Disable a guard of the routers. Only a router that was built with the feature `mutations` supports this.
        #[arg(long, value_name = "GUARD")]
        without: Option<String>,
        /// Path of the router's program. The default is the one in the folder of this program.
        #[arg(long, value_name = "FILE")]
        router: Option<PathBuf>,
    },
    /// Check a script, and print its cases.
    Check {
        /// Script to check.
        file: PathBuf,
    },
}

fn seeds(text: &str) -> Result<(u64, u64), Error> {
    let parts = text.split_once("..").ok_or(Error::Seeds)?;
    let number = |part: &str| part.parse::<u64>().map_err(|_| Error::Seeds);
    let (from, to) = (number(parts.0)?, number(parts.1)?);
    if from > to || to - from >= 100_000 {
        Err(Error::Seeds)
    } else {
        Ok((from, to))
    }
}

fn variant(text: &str) -> Result<Variant, Error> {
    serde_json::from_value(text.into()).map_err(|_| Error::Variant(text.to_string()))
}

fn main() -> ExitCode {
    match run(Arguments::parse().command) {
        Ok(code) => code,
        Err(why) => {
            eprintln!("plovercove-experiments: {why} (help: {})", why.help());
            ExitCode::FAILURE
        }
    }
}

/// Writes results as JSON.
fn write_json(path: &Path, results: &impl serde::Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(results)?;
    std::fs::write(path, text).map_err(|source| Error::File {
        path: path.display().to_string(),
        source,
    })
}

/// Script of the command `demo`.
const DEMO_SCRIPT: &str = include_str!("../../experiments/demo.star");

fn run_on_sockets(
    experiment: Experiment,
    case: Option<&str>,
    seed: u64,
    router: Option<PathBuf>,
    json: Option<PathBuf>,
) -> Result<ExitCode, Error> {
    let wanted = |name: &String| case.is_none_or(|case| case == name);
    let (_, spec) = experiment
        .cases
        .iter()
        .find(|(name, _)| wanted(name))
        .ok_or_else(|| Error::NoCase {
            file: experiment.name.clone(),
            case: case.unwrap_or_default().to_string(),
        })?;
    let router = router.map_or_else(sockets::router_beside, Ok)?;
    let outcome = sockets::run(spec, &router, seed, |line| println!("{line}"))?;
    print!("{}", sockets::summary(&outcome));
    if let Some(path) = json {
        write_json(&path, &outcome)?;
    }
    Ok(if outcome.has_violations() {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    })
}

fn run(command: Command) -> Result<ExitCode, Error> {
    match command {
        Command::Sockets {
            file,
            case,
            seed,
            router,
            json,
        } => {
            let experiment = Experiment::read(&file, &[])?;
            run_on_sockets(experiment, case.as_deref(), seed, router, json)
        }
        Command::Demo { router } => run_on_sockets(
            Experiment::from_text("demo", DEMO_SCRIPT)?,
            None,
            1,
            router,
            None,
        ),
        Command::Translate {
            clients,
            seconds,
            rounds,
            router,
        } => {
            if !(1..=200).contains(&clients)
                || !(0.1..=60.0).contains(&seconds)
                || !(1..=100).contains(&rounds)
            {
                return Err(Error::Rounds);
            }
            let program = router.map_or_else(sockets::router_beside, Ok)?;
            let costs = translation_cost::measure(
                &program,
                clients,
                std::time::Duration::from_secs_f64(seconds),
                rounds,
            )?;
            print!("{}", translation_cost::table(&costs));
            Ok(ExitCode::SUCCESS)
        }
        Command::Faults {
            file,
            case,
            seed,
            seeds,
            at_once,
            json,
            keep,
            shrink,
            without,
            router,
        } => {
            let (from, to) = seeds.unwrap_or((seed, seed));
            let at_once = at_once.clamp(1, 16);
            let options = faults::RunOptions {
                file,
                cases: case,
                seeds: from..=to,
                at_once,
                keep,
                without,
                shrink,
                router,
            };
            for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
                // A program that exits at once would leave its router processes behind. The flag makes all runs end them first.
                let flag = faults::runner::INTERRUPTED.clone();
                signal_hook::flag::register(signal, flag)?;
            }
            let results = faults::run(&options).map_err(Error::Trial)?;
            let broken = results.iter().filter(|v| !v.broken.is_empty()).count();
            println!(
                "{} trials, {broken} in which something was broken",
                results.len()
            );
            if let Some(path) = json {
                write_json(&path, &results)?;
            }
            Ok(if broken > 0 {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            })
        }
        Command::Check { file } => {
            let experiment = Experiment::read(&file, &[])?;
            println!("{}: {} cases", experiment.name, experiment.cases.len());
            for (name, spec) in &experiment.cases {
                let nodes: usize = spec.zones.iter().map(|z| z.nodes).sum();
                let routers: usize = spec.zones.iter().map(|z| z.routers).sum();
                println!(
                    "  {name}: {nodes} nodes, {routers} routers, {} s",
                    spec.seconds
                );
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Run {
            file,
            seed,
            seeds,
            set,
            case,
            variant,
            json,
            seconds,
            strict,
        } => {
            let mut experiment = Experiment::read(&file, &set)?;
            if let Some(unknown) = case
                .iter()
                .find(|c| !experiment.cases.iter().any(|(name, _)| name == *c))
            {
                return Err(Error::NoCase {
                    file: file.display().to_string(),
                    case: unknown.clone(),
                });
            }
            experiment
                .cases
                .retain(|(name, _)| case.is_empty() || case.contains(name));
            if !variant.is_empty() {
                experiment.variants = variant;
            }
            let (from, to) = seeds.unwrap_or((seed, seed));
            let outcomes = experiment.simulate(from..=to)?;
            print!("{}", table::summary(&experiment, &outcomes));
            if seconds {
                print!("{}", table::seconds(&outcomes));
            }
            if let Some(path) = json {
                write_json(&path, &outcomes)?;
            }
            let broken = |o: &Outcome| !o.report.breaches.is_empty();
            let failed = strict && outcomes.iter().any(broken);
            Ok(if failed {
                ExitCode::FAILURE
            } else {
                ExitCode::SUCCESS
            })
        }
    }
}
