//! Errors of the program, each with a help text.

use plovercove_simulation::SpecError;
use std::io;

/// An error in the command line, in a script or during a run.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Error {
    /// The script has an error.
    #[error(transparent)]
    Script(#[from] plovercove_starlark_config::ScriptError),
    /// A case of the script has an error.
    #[error("case {case}: {fault}")]
    Case {
        /// Name of the case.
        case: String,
        /// Error of the case.
        #[source]
        fault: Box<Error>,
    },
    /// The simulation cannot run the case.
    #[error("the model cannot play it: {0}")]
    Model(#[source] SpecError),
    /// The script has no such case.
    #[error("{file}: there is no case {case:?}")]
    NoCase {
        /// Path of the script.
        file: String,
        /// Name of the case.
        case: String,
    },
    /// The argument of `--set` is not of the form `KEY=VALUE`.
    #[error("--set {0}: expected KEY=VALUE")]
    Set(String),
    /// The argument of `--seeds` is not a valid range.
    #[error("expected A..B with A up to B, and no more than 100000 seeds")]
    Seeds,
    /// The argument of `--variant` is not a known variant.
    #[error("expected tiers, flat or strict, got {0:?}")]
    Variant(String),
    /// The number of clients, the duration or the number of rounds of a measurement is out of range.
    #[error("expected 1 to 200 clients, 0.1 to 60 seconds and 1 to 100 rounds")]
    Rounds,
    /// The case is too large to run on sockets.
    #[error(
        "on sockets {most_nodes} nodes and {most_routers} routers are the most; this has {nodes} and {routers}"
    )]
    TooLarge {
        /// Maximum number of nodes.
        most_nodes: usize,
        /// Maximum number of routers.
        most_routers: usize,
        /// Number of nodes of the case.
        nodes: usize,
        /// Number of routers of the case.
        routers: usize,
    },
    /// The case has a fault that only the simulation supports.
    #[error("on sockets only zone_down can be played")]
    OnlyZoneDown,
    /// The case has a fault that takes down only a part of a zone.
    #[error("on sockets a zone goes down whole")]
    Whole,
    /// The router's program was not found.
    #[error("the router is not beside this program: build it, or name it with --router")]
    NoRouter,
    /// A router process does not start.
    #[error("router {name}: {why}")]
    Router {
        /// Name of the router.
        name: String,
        /// Reason, with the last line of its log.
        why: String,
    },
    /// A fault injection run cannot continue. The text is the reason.
    #[error("the trial cannot go on: {0}")]
    Trial(String),
    /// A file cannot be written.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// Cause.
        source: io::Error,
    },
    /// The operating system does not provide a file, a socket or a process.
    #[error("the system refuses what a trial needs: {0}")]
    System(#[from] io::Error),
    /// A result cannot be written as JSON.
    #[error("an outcome is no JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The router under measurement does not provide an expected value.
    #[error("the router's {0} is not told")]
    Untold(&'static str),
    /// A client under measurement was not served.
    #[error("{way}: {source}")]
    Client {
        /// Name of the client's path to the server.
        way: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// A client under measurement received an answer without rows.
    #[error("{way}: an answer without rows: {heard}")]
    Answer {
        /// Name of the client's path to the server.
        way: &'static str,
        /// Received messages.
        heard: String,
    },
    /// A client thread panicked.
    #[error("a client panicked")]
    Panicked,
}

impl Error {
    /// Returns what the user can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Error::Script(fault) => fault.help(),
            Error::Case { fault, .. } => fault.help(),
            Error::Model(_) => "correct the key that is named, in the script or under --set",
            Error::NoCase { .. } => {
                "name a case of the script; plovercove-experiments check FILE prints them"
            }
            Error::Set(_) => "write the path of a key, = and its value, as --set clients.load=0.7",
            Error::Seeds => "write two whole numbers, as --seeds 1..40",
            Error::Variant(_) => {
                "name one of the three ways; --variant may stand there more than once"
            }
            Error::Rounds => {
                "stay within these bounds; eight clients, two seconds and five rounds are the usual"
            }
            Error::TooLarge { .. } => {
                "play it on the model with run, or make it smaller with fewer nodes and routers"
            }
            Error::OnlyZoneDown | Error::Whole => "play this case on the model with run",
            Error::NoRouter => {
                "build the router with cargo build -p plovercove-router, in the same profile as the lab"
            }
            Error::Router { .. } => "do what the router's own line says; it has its help in it",
            Error::Trial(_) => {
                "correct the script where one is named; else try fewer trials at once, and send in the message"
            }
            Error::File { .. } => "name a file in a folder that is there and that you may write to",
            Error::System(_) => {
                "raise the limits on open files and processes, or make room in the folder for temporary files"
            }
            Error::Json(_) => {
                "nobody can act on this one: send in the script, the seed and the version"
            }
            Error::Untold(_) => {
                "build router and lab from the same sources; if they are, send in the router's log"
            }
            Error::Client { .. } => {
                "try fewer clients; if one alone fails too, send in the message and the router's version"
            }
            Error::Answer { .. } => {
                "nobody can act on this one: send in the answer and the router's version"
            }
            Error::Panicked => "nobody can act on this one: send in what stands above it",
        }
    }
}

/// The fault injection uses texts as errors. This conversion appends the help.
impl From<Error> for String {
    fn from(error: Error) -> String {
        format!("{error} (help: {})", error.help())
    }
}

#[cfg(test)]
mod tests;
