//! Why the lab does not play, and what to do.

use plovercove_simulation::SpecError;
use std::io;

/// What is wrong with a command, a script or a trial.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Error {
    /// A fault of the script.
    #[error(transparent)]
    Script(#[from] plovercove_starlark_config::ScriptError),
    /// A fault of one case of the script.
    #[error("case {case}: {fault}")]
    Case {
        /// The case.
        case: String,
        /// The fault.
        #[source]
        fault: Box<Error>,
    },
    /// The model cannot play the case.
    #[error("the model cannot play it: {0}")]
    Model(#[source] SpecError),
    /// The script has no such case.
    #[error("{file}: there is no case {case:?}")]
    NoCase {
        /// The script.
        file: String,
        /// The case.
        case: String,
    },
    /// A setting that is none.
    #[error("--set {0}: expected KEY=VALUE")]
    Set(String),
    /// A range of seeds that is none.
    #[error("expected A..B with A up to B, and no more than 100000 seeds")]
    Seeds,
    /// A way of treating zones that is none.
    #[error("expected tiers, flat or strict, got {0:?}")]
    Variant(String),
    /// A measurement that is too short, too long or too wide.
    #[error("expected 1 to 200 clients, 0.1 to 60 seconds and 1 to 100 rounds")]
    Rounds,
    /// A case that is too large for sockets.
    #[error(
        "on sockets {most_nodes} nodes and {most_routers} routers are the most; this has {nodes} and {routers}"
    )]
    TooLarge {
        /// The most nodes.
        most_nodes: usize,
        /// The most routers.
        most_routers: usize,
        /// Its nodes.
        nodes: usize,
        /// Its routers.
        routers: usize,
    },
    /// A fault that only the model knows.
    #[error("on sockets only zone_down can be played")]
    OnlyZoneDown,
    /// A zone of which a part goes down.
    #[error("on sockets a zone goes down whole")]
    Whole,
    /// There is no router to try.
    #[error("the router is not beside this program: build it, or name it with --router")]
    NoRouter,
    /// A router under trial does not start; in the stand-ins' words.
    #[error("router {name}: {why}")]
    Router {
        /// Which.
        name: String,
        /// The last line that it said.
        why: String,
    },
    /// A trial of faults cannot go on; in its own words.
    #[error("the trial cannot go on: {0}")]
    Trial(String),
    /// A file that cannot be written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// The system refuses a file, a socket or a process.
    #[error("the system refuses what a trial needs: {0}")]
    System(#[from] io::Error),
    /// An outcome that cannot be written as JSON.
    #[error("an outcome is no JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The router under measurement does not say what it should.
    #[error("the router's {0} is not told")]
    Untold(&'static str),
    /// A client under measurement was not served.
    #[error("{way}: {source}")]
    Client {
        /// Its way to the server.
        way: &'static str,
        /// Why.
        source: io::Error,
    },
    /// A client under measurement had another answer than rows.
    #[error("{way}: an answer without rows: {heard}")]
    Answer {
        /// Its way to the server.
        way: &'static str,
        /// What it heard.
        heard: String,
    },
    /// A client of the lab's own panicked.
    #[error("a client panicked")]
    Panicked,
}

impl Error {
    /// What to do.
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

/// For what still speaks in texts: the trials of faults.
impl From<Error> for String {
    fn from(error: Error) -> String {
        format!("{error} (help: {})", error.help())
    }
}

#[cfg(test)]
mod tests;
