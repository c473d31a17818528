//! plovercove, the router: PostgreSQL clients in front, groups of replicated db nodes behind, and in between the
//! decision module. All of it is in the library; here are the command line, the log and the exit code.

use plovercove_router::{config, net, serve};
use std::process::ExitCode;

fn main() -> ExitCode {
    // Danger: a signal that comes before it is caught ends the process, whatever it was meant to say.
    let signals = match net::signals::Signals::catch() {
        Ok(signals) => signals,
        Err(e) => {
            eprintln!("plovercove: cannot catch signals: {e}");
            return ExitCode::FAILURE;
        }
    };
    let config = match config::read() {
        Ok(config) => config,
        Err(fault) => {
            eprintln!("plovercove: {fault}");
            return ExitCode::FAILURE;
        }
    };
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false)
        .with_max_level(config.log)
        .init();
    match serve::Router::new(config, signals).and_then(serve::Router::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            tracing::error!("cannot go on: {e}");
            ExitCode::FAILURE
        }
    }
}
