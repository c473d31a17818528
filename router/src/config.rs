//! Reads the router's configuration, checks it and fills in the defaults.

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

/// Default limit on file descriptors.
const DEFAULT_SOCKETS: u64 = 1_024;
/// Descriptors kept free for everything but connections: standard streams, poller, listener, signals, discovery, and some
/// spare ones.
const RESERVED_SOCKETS: u64 = 24;
/// Default memory limit in MB.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Share of the memory limit that buffered bytes may use.
const BUFFER_MEMORY_SHARE: f64 = 0.4;
/// Minimum number of descriptors that the router can work with.
const MIN_SOCKETS: u64 = 64;
/// Minimum memory in MB that the router can work with.
const MIN_MEMORY_MB: f64 = 32.0;

/// The configuration of a router.
pub struct Config {
    /// The router's name.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The last known endpoint list, used until discovery answers.
    pub remembered_list: Listing,
    /// The seed of the router's random numbers.
    pub seed: u64,
    /// Maximum number of client connections.
    pub max_clients: usize,
    /// Maximum number of connections to db nodes.
    pub max_node_connections: usize,
    /// Maximum number of bytes buffered for clients and db nodes.
    pub max_buffered_bytes: usize,
    /// The level of the log.
    pub log_level: tracing::Level,
    /// The settings of the decision module.
    pub settings: Settings,
}

/// Reads the file named by `PROXY_CONFIG`. The other environment variables take precedence over it.
pub fn read() -> Result<Config, Error> {
    from_file(|name| env::var(name).ok())
}

/// Reads the file again, on a reload. `PROXY_DISCOVERY` is ignored: it holds the address at the start, and the file may
/// name a newer one.
pub fn reread() -> Result<Config, Error> {
    from_file(|name| {
        if name == "PROXY_DISCOVERY" {
            None
        } else {
            env::var(name).ok()
        }
    })
}

/// Reads a file without regard to environment variables.
pub fn read_file(path: &Path) -> Result<Config, Error> {
    let json = read_bytes(path)?;
    from_json(json, |_| None).map_err(|fault| fault.within(path.display().to_string()))
}

fn read_bytes(path: &Path) -> Result<Vec<u8>, Error> {
    fs::read(path).map_err(|source| Error::Unreadable {
        path: path.display().to_string(),
        source,
    })
}

fn from_file(variable: impl Fn(&str) -> Option<String>) -> Result<Config, Error> {
    let path = env::var("PROXY_CONFIG").map_err(|_| Error::NoConfig)?;
    let json = read_bytes(Path::new(&path)).map_err(|e| e.within("PROXY_CONFIG"))?;
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
    let value_and_key = |name: &str, key: &str| -> Result<_, Error> {
        match variable(name) {
            Some(value) => Ok((value, name.to_string())),
            None => Ok((top.required(key, text)?.to_string(), key.to_string())),
        }
    };
    let address = |name: &str, key: &str| {
        let (address_text, source_key) = value_and_key(name, key)?;
        address_text
            .parse::<SocketAddr>()
            .map_err(|_| Error::Address {
                key: source_key,
                got: address_text,
            })
    };
    let limits = top.optional_section("limits")?;
    let limit = |key: &str| {
        limits
            .as_ref()
            .map_or(Ok(None), |section| section.optional(key, number))
    };
    let sockets = limit("sockets")?.map_or(DEFAULT_SOCKETS, |count| count as u64);
    if sockets < MIN_SOCKETS {
        return Err(Error::Least {
            key: "limits.sockets",
            least: MIN_SOCKETS as f64,
            got: sockets as f64,
        });
    }
    let memory_mb = limit("memory_mb")?.unwrap_or(DEFAULT_MEMORY_MB);
    if memory_mb < MIN_MEMORY_MB {
        return Err(Error::Least {
            key: "limits.memory_mb",
            least: MIN_MEMORY_MB,
            got: memory_mb,
        });
    }
    let max_clients = (sockets - RESERVED_SOCKETS) / 2;
    Ok(Config {
        name: value_and_key("PROXY_NAME", "name")?.0,
        listen: address("PROXY_LISTEN", "listen")?,
        discovery: address("PROXY_DISCOVERY", "discovery")?,
        remembered_list: top.optional("known", remembered_list)?.unwrap_or_default(),
        seed: top.optional("seed", read_seed)?.unwrap_or(1),
        max_clients: max_clients as usize,
        max_node_connections: (sockets - RESERVED_SOCKETS - max_clients) as usize,
        max_buffered_bytes: (memory_mb * BUFFER_MEMORY_SHARE * 1e6) as usize,
        log_level: match variable("PROXY_LOG") {
            Some(level) => level.parse().map_err(|_| Error::Level(level))?,
            None => tracing::Level::INFO,
        },
        settings: read_settings(top.required("settings", |v, _| Ok(v))?, "settings.")?.settings,
    })
}

/// Reads the remembered list. It is in this program's own format, so an unknown status is an error, unlike in a list that
/// the agent sends.
fn remembered_list(value: &Value, key: &str) -> ReadResult<Listing> {
    let listing = discovery::read_listing(value, &format!("{key}."))?;
    listing
        .unknown_status
        .clone()
        .map_or(Ok(listing), |status_fault| Err(Fault::new(status_fault)))
}

/// Reads a seed: a string of hexadecimal digits, or a number.
fn read_seed(value: &Value, key: &str) -> ReadResult<u64> {
    let hex = value
        .as_str()
        .and_then(|digits| u64::from_str_radix(digits, 16).ok());
    hex.map_or_else(|| unsigned(value, key), Ok)
}

#[cfg(test)]
mod tests;
