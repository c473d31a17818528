//! Why the router does not start, does not take a file over, or ends; and what an operator can do.

use plovercove_locality as tiers;
use plovercove_settings as settings;
use plovercove_starlark_config::Place;
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;

/// What is wrong with a start, a check, a reload or the loop.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Error {
    /// No configuration is named.
    #[error("PROXY_CONFIG is missing")]
    NoConfig,
    /// A configuration that cannot be read.
    #[error("cannot read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// A fault and the file or variable it belongs to.
    #[error("{place}: {fault}")]
    In {
        /// The file or variable.
        place: String,
        /// The fault there.
        #[source]
        fault: Box<Error>,
    },
    /// A text that is no address and port.
    #[error("{key}: expected an address and port, got {got:?}")]
    Address {
        /// Its key or variable.
        key: String,
        /// The text.
        got: String,
    },
    /// A limit that the router cannot work with.
    #[error("{key}: expected at least {least}, got {got}")]
    Least {
        /// Its key.
        key: &'static str,
        /// The least that is enough.
        least: f64,
        /// What stands there.
        got: f64,
    },
    /// A word that is no level of the log.
    #[error("PROXY_LOG: expected error, warn, info, debug or trace, got {0:?}")]
    Level(String),
    /// A fault of the configuration.
    #[error(transparent)]
    Setting(#[from] settings::Fault),
    /// A fault of the operators' file as a script.
    #[error(transparent)]
    Script(#[from] plovercove_starlark_config::Fault),
    /// A fault of a key of the operators' file.
    #[error("{place}: {cause}")]
    Operators {
        /// The file, the line and the key.
        place: Box<Place>,
        /// What is wrong.
        #[source]
        cause: KeyFaultCause,
    },
    /// Signals cannot be caught.
    #[error("cannot catch signals: {0}")]
    Signals(#[source] io::Error),
    /// An address that cannot be listened at.
    #[error("cannot go on: cannot listen at {address} for {what}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Who would come there.
        what: &'static str,
        /// Why.
        source: io::Error,
    },
    /// The system refuses what the loop cannot do without.
    #[error("cannot go on: {0}")]
    Loop(#[from] io::Error),
}

impl Error {
    /// What an operator can do.
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

    /// The same fault, with the file or variable it belongs to in front.
    pub fn within(self, place: impl Into<String>) -> Self {
        Error::In {
            place: place.into(),
            fault: Box::new(self),
        }
    }
}

/// What is wrong with a key of the operators' file.
#[derive(Debug, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum KeyFaultCause {
    /// A file of secrets that cannot be read.
    #[error("{path} cannot be read: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// A file of secrets that is open to others.
    #[error("{0} can be read or written by others; its mode must be 600")]
    Open(String),
    /// A file of secrets that is longer than any can be.
    #[error("{0} is longer than 64 MB")]
    TooLong(String),
    /// A file of users with a mistake in it.
    #[error("{path}: {source}")]
    Users {
        /// The file.
        path: String,
        /// The mistake.
        source: plovercove_pgwire::Error,
    },
    /// A limit on logins that cannot be meant.
    #[error("{}", bare(.0))]
    Logins(#[source] plovercove_pgwire::Error),
    /// A fault of the tiers.
    #[error("{0}")]
    Locality(#[source] tiers::RuleFaultKind),
    /// A fault of the rules or keys of peers.
    #[error("{}", bare(.0))]
    Peers(#[source] plovercove_gossip::Error),
    /// A fault of what is done for the fleet.
    #[error("{}", bare(.0))]
    Duties(#[source] Box<crate::lease_tasks::TermsFault>),
    /// A front that speaks nothing.
    #[error("expected one version and one method at the least")]
    NoMethod,
    /// Trust beside a proof.
    #[error("with trust there is no other")]
    TrustBeside,
    /// A front that asks for proofs and knows no users.
    #[error("without trust there must be a file of users")]
    NoUsers,
    /// No clients, or no time for them.
    #[error("expected 1 client or more, and 1 to 86400 seconds")]
    Clients,
    /// A front without a name.
    #[error("a front needs a name")]
    NoName,
    /// Dates in no known form.
    #[error("expected ISO, SQL, Postgres or German, and MDY or DMY")]
    Dates,
    /// Two fronts of one name.
    #[error("another front has it too")]
    NameTwice,
    /// A class that the platform does not tell.
    #[error("class {0:?} does not exist")]
    NoClass(String),
    /// A class for the other kind of statement.
    #[error("class {class:?} {does}")]
    ClassDoes {
        /// The class.
        class: String,
        /// What it does.
        does: &'static str,
    },
    /// A version that no server is asked for.
    #[error("expected \"3.0\" or \"3.2\"")]
    Version,
    /// An address at which nobody can be reached.
    #[error("expected the address where the others reach this router")]
    Advertise,
    /// A guard that does not exist; only builds for tests know guards.
    #[error("no guard is {0:?}")]
    NoGuard(String),
}

impl KeyFaultCause {
    /// What an operator can do.
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

/// A complaint without the key that it begins with: the place has named it.
fn bare(complaint: &impl Display) -> String {
    let text = complaint.to_string();
    text.split_once(": ")
        .map(|(_, why)| why.to_string())
        .unwrap_or(text)
}

/// What is wrong with a key of the operators' file, before its line is known.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {cause}")]
pub struct KeyFault {
    /// The path of the key.
    pub key: String,
    /// What is wrong.
    #[source]
    pub cause: KeyFaultCause,
}

impl KeyFault {
    /// A fault of this key.
    pub(crate) fn new(key: impl Into<String>, cause: KeyFaultCause) -> Self {
        KeyFault {
            key: key.into(),
            cause,
        }
    }

    /// A fault whose text begins with the key, seen from this one.
    pub(crate) fn under(key: &str, complaint: &impl Display, cause: KeyFaultCause) -> Self {
        let text = complaint.to_string();
        let key = text
            .split_once(": ")
            .map_or(key.to_string(), |(inner, _)| format!("{key}.{inner}"));
        KeyFault { key, cause }
    }
}
