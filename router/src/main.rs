//! plovercove, the router: PostgreSQL clients in front, groups of replicated db nodes behind, and in between the
//! decision module. All of it is in the library; here are the command line, the log and the exit code.

use clap::{Parser, Subcommand, ValueEnum};
use plovercove_router::operators::{Operators, Source, Told};
use plovercove_router::{Error, config, net, serve};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Routes reads and writes to groups of replicated databases. Without a command it serves; PROXY_CONFIG names its
/// configuration.
#[derive(Parser)]
#[command(name = "plovercove", version)]
struct Line {
    /// The operators' file, a Starlark script of settings that belong to the installation.
    #[arg(long, value_name = "FILE")]
    operators: Option<PathBuf>,
    /// The form of the log on standard error.
    #[arg(long, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Check a file and end: an operators' file (.star) or a configuration (.json).
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Print what becomes of every message of the protocol.
    Catalogue,
}

fn check(file: &Path) -> Result<String, Error> {
    if file.extension().is_some_and(|kind| kind == "json") {
        let config = config::read_file(file)?;
        return Ok(format!(
            "a configuration for {:?}, {} classes",
            config.name,
            config.settings.classes.len()
        ));
    }
    let told = Operators::read(file)?;
    let mut parts = Vec::new();
    if let Some(rules) = told.tiers {
        parts.push(format!(
            "{} zones, a spill of {} at most",
            rules.zones.len(),
            rules.spill
        ));
    }
    if !told.fronts.is_empty() {
        parts.push(format!("{} further fronts", told.fronts.len()));
    }
    if let Some(servers) = told.servers {
        parts.push(format!("db nodes know the router as {}", servers.user));
    }
    if let Some(peers) = told.peers {
        parts.push(format!(
            "routers of {} talk at {}",
            peers.rules.installation, peers.listen
        ));
    }
    if let Some(duties) = told.duties {
        parts.push(format!(
            "{} deciders choose who does what for the fleet",
            duties.rules.voters.members.len()
        ));
    }
    Ok(if parts.is_empty() {
        "it sets nothing".into()
    } else {
        parts.join("; ")
    })
}

fn serve(line: &Line, signals: net::signals::Signals) -> Result<(), Error> {
    let config = config::read()?;
    let source = |path: &PathBuf| Source {
        path: path.clone(),
        settings: config.settings.clone(),
        seed: config.seed,
    };
    let operators = line.operators.as_ref().map(source);
    let told = operators
        .as_ref()
        .map_or_else(|| Ok(Told::nothing()), Source::read)?;
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(config.log);
    match line.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
    serve::Router::new(config, told, operators, signals)?.run()
}

/// One line, as in the log: what is wrong, and what to do.
fn complain(why: &Error) {
    eprintln!("plovercove: {why} (help: {})", why.help());
}

fn main() -> ExitCode {
    // Danger: a signal that comes before it is caught ends the process, whatever it was meant to say.
    let signals = match net::signals::Signals::catch() {
        Ok(signals) => signals,
        Err(e) => {
            complain(&Error::Signals(e));
            return ExitCode::FAILURE;
        }
    };
    let line = Line::parse();
    let ended = match &line.command {
        Some(Command::Check { file }) => {
            check(file).map(|said| println!("{}: good, {said}", file.display()))
        }
        Some(Command::Catalogue) => {
            print!("{}", plovercove_pgwire::catalogue::table());
            Ok(())
        }
        None => serve(&line, signals),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            complain(&why);
            ExitCode::FAILURE
        }
    }
}
