//! What operators say of duties, and what can be wrong with it.

use plovercove::Micros;
use plovercove_fanout as fanout;
use plovercove_leases::{Rules, RulesFault};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Between two questions to a node (ms), the least and the most. Oftener than that the module does not ask by itself
/// either, since reports are no newer; more rarely than that a watch proves nothing for reads that bear a second or two.
const WATCH_MS: (u64, u64) = (100, 5_000);

/// The `duties` block of the operators' file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// How owners are found.
    pub rules: Rules,
    /// How news goes to those who want it.
    #[serde(default)]
    pub fanout: fanout::Rules,
    /// Where a decider keeps what it must not forget, seen from the operators' file.
    pub file: Option<PathBuf>,
    /// Between two questions of a group's owner to a node (ms).
    #[serde(default = "watch_ms")]
    pub watch_ms: u64,
}

/// Reads that bear a second mostly find a position that proves enough.
fn watch_ms() -> u64 {
    500
}

/// What operators say of duties, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseTasksConfig {
    /// How owners are found.
    pub rules: Rules,
    /// How news goes to those who want it.
    pub fanout: fanout::Rules,
    /// Where a decider keeps what it must not forget.
    pub file: Option<PathBuf>,
    /// Between two questions of a group's owner to a node (us).
    pub watch: Micros,
}

/// What cannot be meant.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum TermsFault {
    /// There is nobody to share work with.
    #[error("duties: expected a peers block beside it")]
    NoPeers,
    /// A setting of duties.
    #[error("duties.rules.{0}")]
    Rules(#[from] RulesFault),
    /// A setting of fanout.
    #[error("duties.fanout.{0}")]
    Fanout(#[from] fanout::Fault),
    /// A decider must not forget.
    #[error("duties.file: expected a path, since {address} is listed as a decider")]
    NoFile {
        /// This router's address.
        address: SocketAddr,
    },
    /// Too often or too rarely.
    #[error("duties.watch_ms: expected {least} to {most}, got {got}")]
    Watch {
        /// The least.
        least: u64,
        /// The most.
        most: u64,
        /// What it is.
        got: u64,
    },
    /// More than peers may send.
    #[error("duties.{key}: expected no more than peers.rules.datagrams_per_s, {most}, got {got}")]
    Budget {
        /// The key.
        key: &'static str,
        /// What peers may send.
        most: u32,
        /// What it is.
        got: u32,
    },
    /// Tests only: a guard that does not exist.
    #[cfg(feature = "mutations")]
    #[error("PLOVERCOVE_WITHOUT: no guard is {0:?}")]
    NoGuard(String),
}

impl TermsFault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            TermsFault::NoPeers => "add a peers block, or take the duties block out",
            TermsFault::Rules(fault) => fault.help(),
            TermsFault::Fanout(fault) => fault.help(),
            TermsFault::NoFile { .. } => {
                "set `duties.file` to a path on a disk that outlives the process"
            }
            TermsFault::Watch { .. } => "set `duties.watch_ms` within the range, or leave it out",
            TermsFault::Budget { .. } => "lower it, or raise the budget of `peers`",
            #[cfg(feature = "mutations")]
            TermsFault::NoGuard(_) => "tests only: take the variable out of the environment",
        }
    }
}

impl Block {
    /// The terms of a router among this many that others reach at this address, within the budget of its peers.
    ///
    /// # Errors
    /// Names the key at fault.
    pub fn terms(
        &self,
        folder: &Path,
        address: SocketAddr,
        peers: &plovercove_gossip::Rules,
    ) -> Result<LeaseTasksConfig, TermsFault> {
        let mut rules = self.rules.clone();
        rules.installation.clone_from(&peers.installation);
        #[cfg_attr(
            not(feature = "mutations"),
            expect(unused_mut, reason = "tests take a guard away")
        )]
        let mut fanout = self.fanout.clone();
        #[cfg(feature = "mutations")]
        if let Ok(guard) = std::env::var("PLOVERCOVE_WITHOUT") {
            let unknown = || TermsFault::NoGuard(guard.clone());
            match guard.split_once('/') {
                Some(("duties", name)) => {
                    rules.disabled_guard =
                        Some(plovercove_leases::Guard::named(name).ok_or_else(unknown)?);
                }
                Some(("fanout", name)) => {
                    fanout.without =
                        Some(plovercove_fanout::Guard::named(name).ok_or_else(unknown)?);
                }
                _ => {}
            }
        }
        rules.check(peers.routers)?;
        fanout.check()?;
        let (least, most) = WATCH_MS;
        if !(least..=most).contains(&self.watch_ms) {
            return Err(TermsFault::Watch {
                least,
                most,
                got: self.watch_ms,
            });
        }
        for (key, got) in [
            ("rules.datagrams_per_s", rules.datagrams_per_s),
            ("fanout.datagrams_per_s", fanout.datagrams_per_s),
        ] {
            if got > peers.datagrams_per_s {
                return Err(TermsFault::Budget {
                    key,
                    most: peers.datagrams_per_s,
                    got,
                });
            }
        }
        let deciders = rules.voters.members.iter().chain(&rules.voters.previous);
        if self.file.is_none() && deciders.map(|d| d.address).any(|d| d == address) {
            return Err(TermsFault::NoFile { address });
        }
        let file = self.file.as_ref().map(|file| folder.join(file));
        Ok(LeaseTasksConfig {
            rules,
            fanout,
            file,
            watch: self.watch_ms * 1_000,
        })
    }
}
