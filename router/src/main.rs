//! The program `plovercove`: a router between PostgreSQL clients and groups of replicated db nodes. The library does the
//! work; this file has the command line, the log and the exit code.

use clap::{Parser, Subcommand, ValueEnum};
use plovercove_router::operators::{OperatorSettings, Operators, OperatorsFile};
use plovercove_router::{Error, config, net, serve};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Routes reads and writes to groups of replicated databases. Without a command it serves; PROXY_CONFIG names its
/// configuration.
#[derive(Parser)]
#[command(name = "plovercove", version)]
struct CommandLine {
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
    let operators = Operators::read(file)?;
    let mut parts = Vec::new();
    if let Some(rules) = operators.tiers {
        parts.push(format!(
            "{} zones, a spillover of at most {}",
            rules.zones.len(),
            rules.max_spill_share
        ));
    }
    if !operators.fronts.is_empty() {
        parts.push(format!("{} additional listeners", operators.fronts.len()));
    }
    if let Some(servers) = operators.servers {
        parts.push(format!(
            "the router logs in to db nodes as {}",
            servers.user
        ));
    }
    if let Some(peers) = operators.peers {
        parts.push(format!(
            "routers of the installation {} exchange gossip at {}",
            peers.rules.installation, peers.listen
        ));
    }
    if let Some(duties) = operators.duties {
        parts.push(format!(
            "{} routers vote on leases",
            duties.rules.voters.members.len()
        ));
    }
    Ok(if parts.is_empty() {
        "no settings".into()
    } else {
        parts.join("; ")
    })
}

fn serve(command_line: &CommandLine, signals: net::signals::Signals) -> Result<(), Error> {
    let config = config::read()?;
    let file_at = |path: &PathBuf| OperatorsFile {
        path: path.clone(),
        settings: config.settings.clone(),
        seed: config.seed,
    };
    let operators_file = command_line.operators.as_ref().map(file_at);
    let settings = operators_file
        .as_ref()
        .map_or_else(|| Ok(OperatorSettings::without_file()), OperatorsFile::read)?;
    let log = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(config.log_level);
    match command_line.log_format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
    serve::Router::new(config, settings, operators_file, signals)?.run()
}

/// Prints an error and its help in one line.
fn print_error(error: &Error) {
    eprintln!("plovercove: {error} (help: {})", error.help());
}

fn main() -> ExitCode {
    // Handlers come first: a signal that arrives without a handler ends the process, even a SIGHUP that requests a reload.
    let signals = match net::signals::Signals::catch() {
        Ok(signals) => signals,
        Err(e) => {
            print_error(&Error::Signals(e));
            return ExitCode::FAILURE;
        }
    };
    let command_line = CommandLine::parse();
    let result = match &command_line.command {
        Some(Command::Check { file }) => {
            check(file).map(|summary| println!("{}: good, {summary}", file.display()))
        }
        Some(Command::Catalogue) => {
            print!("{}", plovercove_pgwire::catalogue::table());
            Ok(())
        }
        None => serve(&command_line, signals),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::FAILURE
        }
    }
}
