//! Where the router's configuration is read, checked and given its defaults.

use crate::Error;
use crate::discovery::{self, Listing};
use plovercove::Settings;
use plovercove_settings::{
    Fault, ReadResult, Section, Value, number, parse, read_settings, text, unsigned,
};
use simd_json::prelude::*;
use std::env;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;

/// Descriptors taken where no limit is told.
const SOCKETS: u64 = 1_024;
/// Descriptors for all but connections: standard streams, poller, listener, signals, discovery, and some spare.
const RESERVED: u64 = 24;
/// Memory in MB where no limit is told, and the share of it that all buffered bytes may take up.
const MEMORY: (f64, f64) = (192.0, 0.4);
/// The least of descriptors and memory that the router can work with.
const LEAST: (u64, f64) = (64, 32.0);

/// All that a router is told at its start.
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The agent that knows the db nodes.
    pub discovery: SocketAddr,
    /// The list of db nodes as it was last known.
    pub remembered_list: Listing,
    /// The seed of its random numbers.
    pub seed: u64,
    /// The most connections of clients.
    pub max_clients: usize,
    /// The most connections to db nodes.
    pub max_node_connections: usize,
    /// The most bytes held for clients and db nodes.
    pub max_buffered_bytes: usize,
    /// How much is logged.
    pub log_level: tracing::Level,
    /// What the module is told.
    pub settings: Settings,
}

/// Reads the file named by `PROXY_CONFIG`; the other variables go before what it says.
pub fn read() -> Result<Config, Error> {
    from_file(|name| env::var(name).ok())
}

/// Reads the file again. What a variable said of discovery at the start is out of date now: the file goes before it.
pub fn reread() -> Result<Config, Error> {
    from_file(|name| {
        if name == "PROXY_DISCOVERY" {
            None
        } else {
            env::var(name).ok()
        }
    })
}

/// Reads a file as it stands, whatever variables say.
pub fn read_file(path: &Path) -> Result<Config, Error> {
    let json = bytes(path)?;
    from_json(json, |_| None).map_err(|fault| fault.within(path.display().to_string()))
}

fn bytes(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|source| Error::Unreadable {
        path: path.display().to_string(),
        source,
    })
}

fn from_file(variable: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
    let path = env::var("PROXY_CONFIG").map_err(|_| Error::NoConfig)?;
    let json = bytes(Path::new(&path)).map_err(|e| e.within("PROXY_CONFIG"))?;
    from_json(json, variable)
}

fn from_json(json: Vec<u8>, variable: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
    let value = parse(json)?;
    if !value.is_object() {
        return Err(
            plovercove_settings::wrong_kind("the configuration", "an object", &value).into(),
        );
    }
    let top = Section::new(&value, "");
    let told = |name: &str, key: &str| -> Result<_, Error> {
        match variable(name) {
            Some(given) => Ok((given, name.to_string())),
            None => Ok((top.required(key, text)?.to_string(), key.to_string())),
        }
    };
    let address = |name: &str, key: &str| {
        let (given, from) = told(name, key)?;
        given.parse::<SocketAddr>().map_err(|_| Error::Address {
            key: from,
            got: given,
        })
    };
    let limits = top.optional_section("limits")?;
    let limit = |key: &str| {
        limits
            .as_ref()
            .map_or(Ok(None), |part| part.optional(key, number))
    };
    let sockets = limit("sockets")?.map_or(SOCKETS, |n| n as u64);
    if sockets < LEAST.0 {
        return Err(Error::Least {
            key: "limits.sockets",
            least: LEAST.0 as f64,
            got: sockets as f64,
        });
    }
    let memory = limit("memory_mb")?.unwrap_or(MEMORY.0);
    if memory < LEAST.1 {
        return Err(Error::Least {
            key: "limits.memory_mb",
            least: LEAST.1,
            got: memory,
        });
    }
    let clients = (sockets - RESERVED) / 2;
    Ok(Config {
        name: told("PROXY_NAME", "name")?.0,
        listen: address("PROXY_LISTEN", "listen")?,
        discovery: address("PROXY_DISCOVERY", "discovery")?,
        remembered_list: top.optional("known", known)?.unwrap_or_default(),
        seed: top.optional("seed", seed)?.unwrap_or(1),
        max_clients: clients as usize,
        max_node_connections: (sockets - RESERVED - clients) as usize,
        max_buffered_bytes: (memory * MEMORY.1 * 1e6) as usize,
        log_level: match variable("PROXY_LOG") {
            Some(word) => word.parse().map_err(|_| Error::Level(word))?,
            None => tracing::Level::INFO,
        },
        settings: read_settings(top.required("settings", |v, _| Ok(v))?, "settings.")?.settings,
    })
}

/// What was remembered is this program's own form: a status that it does not know is a mistake there.
fn known(value: &Value, what: &str) -> ReadResult<Listing> {
    let listing = discovery::read_listing(value, &format!("{what}."))?;
    listing
        .unknown_status
        .clone()
        .map_or(Ok(listing), |odd| Err(Fault::new(odd)))
}

fn seed(value: &Value, what: &str) -> ReadResult<u64> {
    let hex = value
        .as_str()
        .and_then(|digits| u64::from_str_radix(digits, 16).ok());
    hex.map_or_else(|| unsigned(value, what), Ok)
}

#[cfg(test)]
mod tests;
