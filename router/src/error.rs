//! Errors of the start, the check of a file, a reload and the event loop, with help for operators.

use plovercove_locality as zone_rules;
use plovercove_settings as settings;
use plovercove_starlark_config::Location;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;

/// An error of the start, the check of a file, a reload or the event loop.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Error {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG is missing")]
    NoConfig,
    /// The configuration file cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// An error with the file or variable that it belongs to.
    #[error("{location}: {fault}")]
    In {
        /// The file or variable.
        location: String,
        /// The error.
        #[source]
        fault: Box<Error>,
    },
    /// A value that is not an address and port.
    #[error("{key}: expected an address and port, got {got:?}")]
    Address {
        /// The key or variable.
        key: String,
        /// The value.
        got: String,
    },
    /// A limit that is too low for the router to work.
    #[error("{key}: expected at least {least}, got {got}")]
    Least {
        /// The key.
        key: &'static str,
        /// The lowest accepted value.
        least: f64,
        /// The value.
        got: f64,
    },
    /// An unknown log level.
    #[error("PROXY_LOG: expected error, warn, info, debug or trace, got {0:?}")]
    Level(String),
    /// An error in the configuration.
    #[error(transparent)]
    Setting(#[from] settings::Fault),
    /// An error in evaluating the operators' file.
    #[error(transparent)]
    Script(#[from] plovercove_starlark_config::ScriptError),
    /// An error in a key of the operators' file.
    #[error("{location}: {cause}")]
    Operators {
        /// The file, the line and the key.
        location: Box<Location>,
        /// The cause.
        #[source]
        cause: KeyFaultCause,
    },
    /// The signal handlers cannot be installed.
    #[error("cannot catch signals: {0}")]
    Signals(#[source] io::Error),
    /// A socket cannot listen at its address.
    #[error("cannot go on: cannot listen at {address} for {what}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who connects to the address.
        what: &'static str,
        /// The system's error.
        source: io::Error,
    },
    /// A system call failed that the event loop depends on.
    #[error("cannot go on: {0}")]
    Loop(#[from] io::Error),
}

impl Error {
    /// Returns advice for the operator.
    pub fn help(&self) -> &'static str {
        match self {
            Error::NoConfig => {
                "set the variable PROXY_CONFIG to the path of the router's configuration"
            }
            Error::Unreadable { .. } => {
                "name a file that is there and that the router's user may read"
            }
            Error::In { fault, .. } => fault.help(),
            Error::Address { .. } => {
                "write an address and a port, as 10.0.0.7:5432 or [fd00::7]:5432; names are not looked up"
            }
            Error::Least { .. } => {
                "give the router at least this much; with less it could serve nobody"
            }
            Error::Level(_) => "set PROXY_LOG to one of these words, or leave it out for info",
            Error::Setting(fault) => fault.help(),
            Error::Script(fault) => fault.help(),
            Error::Operators { cause, .. } => cause.help(),
            Error::Signals(_) => {
                "raise the limit on open files; if that is not it, send in this line and the system's version"
            }
            Error::Listen { .. } => {
                "end what listens there already, choose another port, or an address of this machine; ports under 1024 need a privilege"
            }
            Error::Loop(_) => {
                "raise the limit on open files and look at the machine's memory; if neither is it, send in the log"
            }
        }
    }

    /// Adds the file or variable that the error belongs to.
    pub fn within(self, location: impl Into<String>) -> Self {
        Error::In {
            location: location.into(),
            fault: Box::new(self),
        }
    }
}

/// The cause of an error in a key of the operators' file.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum KeyFaultCause {
    /// A file of secrets cannot be read.
    #[error("{path} cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// Other users may access a file of secrets.
    #[error("{0} can be read or written by others; its mode must be 600")]
    Open(String),
    /// A file of secrets is too large.
    #[error("{0} is longer than 64 MB")]
    TooLong(String),
    /// A line of a file of users is malformed.
    #[error("{path}: {source}")]
    Users {
        /// The file.
        path: String,
        /// The error.
        source: plovercove_pgwire::Error,
    },
    /// A limit on logins is out of range.
    #[error("{}", without_key(.0))]
    Logins(#[source] plovercove_pgwire::Error),
    /// An error in the `tiers` block.
    #[error("{0}")]
    Locality(#[source] zone_rules::RuleFaultKind),
    /// An error in the rules or the keys of the `peers` block.
    #[error("{}", without_key(.0))]
    Peers(#[source] plovercove_gossip::Error),
    /// An error in the `duties` block.
    #[error("{}", without_key(.0))]
    Duties(#[source] Box<crate::lease_tasks::LeaseTasksFault>),
    /// A listener has no protocol version or no authentication method.
    #[error("expected one version and one method at the least")]
    NoMethod,
    /// `trust` is listed together with another authentication method.
    #[error("with trust there is no other")]
    TrustBeside,
    /// A listener authenticates clients and has no file of users.
    #[error("without trust there must be a file of users")]
    NoUsers,
    /// The limit on clients or the idle timeout is out of range.
    #[error("expected 1 client or more, and 1 to 86400 seconds")]
    Clients,
    /// A listener has no name.
    #[error("a front needs a name")]
    NoName,
    /// An unknown `DateStyle`.
    #[error("expected ISO, SQL, Postgres or German, and MDY or DMY")]
    Dates,
    /// Two listeners have the same name.
    #[error("another front has it too")]
    NameTwice,
    /// The configuration has no class of this name.
    #[error("class {0:?} does not exist")]
    NoClass(String),
    /// A class of reads is named for writes, or the reverse.
    #[error("class {class:?} {does}")]
    ClassDoes {
        /// The class.
        class: String,
        /// Whether it reads or writes.
        does: &'static str,
    },
    /// A protocol version that the router does not use with db nodes.
    #[error("expected \"3.0\" or \"3.2\"")]
    Version,
    /// The advertised address is unspecified (0.0.0.0 or ::), so no router can reach it.
    #[error("expected the address where the others reach this router")]
    Advertise,
    /// `PLOVERCOVE_WITHOUT` names an unknown guard. Only builds with the feature `mutations` read it.
    #[error("no guard is {0:?}")]
    NoGuard(String),
}

impl KeyFaultCause {
    /// Returns advice for the operator.
    pub fn help(&self) -> &'static str {
        match self {
            KeyFaultCause::Unreadable { .. } => {
                "name a file that is there, seen from the operators' file, and that the router's user owns"
            }
            KeyFaultCause::Open(_) => {
                "run chmod 600 on the file, and change the secrets in it: others may have read them"
            }
            KeyFaultCause::TooLong(_) => {
                "name the file of secrets and not another; it holds a key, a password or users"
            }
            KeyFaultCause::Users { source, .. } | KeyFaultCause::Logins(source) => source.help(),
            KeyFaultCause::Locality(fault) => fault.help(),
            KeyFaultCause::Peers(error) => error.help(),
            KeyFaultCause::Duties(fault) => fault.help(),
            KeyFaultCause::NoMethod => {
                "list at least one of versions and one of methods, or take the front out"
            }
            KeyFaultCause::TrustBeside => {
                "leave trust alone in methods, or take it out: with it nobody would be asked for a proof"
            }
            KeyFaultCause::NoUsers => {
                "set credentials to a file of users and verifiers, seen from the operators' file"
            }
            KeyFaultCause::Clients => "set clients to 1 or more and idle_s to 1 to 86400",
            KeyFaultCause::NoName => "name the front; the log tells of it by that name",
            KeyFaultCause::Dates => {
                "set date_style as PostgreSQL's DateStyle, such as \"ISO, MDY\""
            }
            KeyFaultCause::NameTwice => "give each front a name of its own",
            KeyFaultCause::NoClass(_) => "name a class of the configuration's settings.Profiles",
            KeyFaultCause::ClassDoes { .. } => {
                "name a class that reads under reads, and one whose ClassRead is update under writes"
            }
            KeyFaultCause::Version => {
                "set servers.version to \"3.0\" or \"3.2\"; servers that speak only 2.0 cannot be used"
            }
            KeyFaultCause::Advertise => {
                "set peers.advertise to this machine's own address and port, since listen is an address of no machine"
            }
            KeyFaultCause::NoGuard(_) => {
                "take PLOVERCOVE_WITHOUT out of the environment; it is for tests alone"
            }
        }
    }
}

/// Formats an error without the key at its beginning, because the location already names the key.
fn without_key(error: &impl Display) -> String {
    let text = error.to_string();
    text.split_once(": ")
        .map(|(_, text_without_key)| text_without_key.to_string())
        .unwrap_or(text)
}

/// An error in a key of the operators' file, before the line of the key is known.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {cause}")]
pub struct KeyFault {
    /// The path of the key.
    pub key: String,
    /// The cause.
    #[source]
    pub cause: KeyFaultCause,
}

impl KeyFault {
    /// Creates an error in this key.
    pub(crate) fn new(key: impl Into<String>, cause: KeyFaultCause) -> Self {
        KeyFault {
            key: key.into(),
            cause,
        }
    }

    /// Creates an error in a key below this one. The text of `error` begins with the inner key and a colon.
    pub(crate) fn below(key: &str, error: &impl Display, cause: KeyFaultCause) -> Self {
        let text = error.to_string();
        let key = text
            .split_once(": ")
            .map_or(key.to_string(), |(inner, _)| format!("{key}.{inner}"));
        KeyFault { key, cause }
    }
}
