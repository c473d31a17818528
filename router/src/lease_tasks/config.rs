//! The `duties` block of the operators' file and its checks.

use plovercove::Micros;
use plovercove_fanout as fanout;
use plovercove_leases::{Rules, RulesFault};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Minimum interval between two queries of a node by the holder of its group's lease (ms). The decision module does not
/// query more often by itself either, because nodes do not update their reports more often.
const MIN_WATCH_MS: u64 = 100;
/// Maximum interval (ms). At a longer interval, positions are too old for reads that allow a second or two of staleness.
const MAX_WATCH_MS: u64 = 5_000;

/// The `duties` block of the operators' file.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Block")]
pub struct LeaseTasksBlock {
    /// The rules of the leases.
    pub rules: Rules,
    /// The rules of the subscriptions.
    #[serde(default)]
    pub fanout: fanout::Rules,
    /// The file with a voter's persisted state; a path relative to the operators' file.
    pub file: Option<PathBuf>,
    /// Interval at which the lease holder of a group queries each node (ms).
    #[serde(default = "default_watch_ms")]
    pub watch_ms: u64,
}

/// At this interval, reads that allow a second of staleness mostly find a position that is fresh enough.
fn default_watch_ms() -> u64 {
    500
}

/// The checked `duties` block.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseTasksConfig {
    /// The rules of the leases.
    pub rules: Rules,
    /// The rules of the subscriptions.
    pub fanout: fanout::Rules,
    /// The file with a voter's persisted state.
    pub file: Option<PathBuf>,
    /// Interval at which the lease holder of a group queries each node (us).
    pub watch_interval: Micros,
}

/// A fault of the `duties` block.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum LeaseTasksFault {
    /// The file has no `peers` block, so this router cannot reach the others.
    #[error("duties: expected a peers block beside it")]
    NoPeers,
    /// A fault of the lease rules.
    #[error("duties.rules.{0}")]
    Rules(#[from] RulesFault),
    /// A fault of the subscription rules.
    #[error("duties.fanout.{0}")]
    Fanout(#[from] fanout::Fault),
    /// This router is listed as a voter and has no file for its persisted state.
    #[error("duties.file: expected a path, since {address} is listed as a decider")]
    NoFile {
        /// This router's address.
        address: SocketAddr,
    },
    /// The interval is out of range.
    #[error("duties.watch_ms: expected {least} to {most}, got {got}")]
    Watch {
        /// The minimum.
        least: u64,
        /// The maximum.
        most: u64,
        /// The value.
        got: u64,
    },
    /// A budget exceeds the datagram budget of the `peers` block.
    #[error("duties.{key}: expected no more than peers.rules.datagrams_per_s, {most}, got {got}")]
    Budget {
        /// The key.
        key: &'static str,
        /// The budget of the `peers` block.
        most: u32,
        /// The value.
        got: u32,
    },
    /// `PLOVERCOVE_WITHOUT` names an unknown guard. Only builds with the feature `mutations` read it.
    #[cfg(feature = "mutations")]
    #[error("PLOVERCOVE_WITHOUT: no guard is {0:?}")]
    NoGuard(String),
}

impl LeaseTasksFault {
    /// Returns advice for the operator.
    pub fn help(&self) -> &'static str {
        match self {
            LeaseTasksFault::NoPeers => "add a peers block, or take the duties block out",
            LeaseTasksFault::Rules(fault) => fault.help(),
            LeaseTasksFault::Fanout(fault) => fault.help(),
            LeaseTasksFault::NoFile { .. } => {
                "set `duties.file` to a path on a disk that outlives the process"
            }
            LeaseTasksFault::Watch { .. } => {
                "set `duties.watch_ms` within the range, or leave it out"
            }
            LeaseTasksFault::Budget { .. } => "lower it, or raise the budget of `peers`",
            #[cfg(feature = "mutations")]
            LeaseTasksFault::NoGuard(_) => "tests only: take the variable out of the environment",
        }
    }
}

impl LeaseTasksBlock {
    /// Checks the block for a router that the others reach at `address`. `peers` are the gossip rules, whose datagram
    /// budget includes that of the lease tasks. `folder` is the folder of the operators' file.
    ///
    /// # Errors
    /// Names the key.
    pub fn check(
        &self,
        folder: &Path,
        address: SocketAddr,
        peers: &plovercove_gossip::Rules,
    ) -> Result<LeaseTasksConfig, LeaseTasksFault> {
        let mut rules = self.rules.clone();
        rules.installation.clone_from(&peers.installation);
        #[cfg_attr(
            not(feature = "mutations"),
            expect(unused_mut, reason = "builds with mutations remove a guard")
        )]
        let mut fanout = self.fanout.clone();
        #[cfg(feature = "mutations")]
        if let Ok(guard) = std::env::var("PLOVERCOVE_WITHOUT") {
            let unknown = || LeaseTasksFault::NoGuard(guard.clone());
            match guard.split_once('/') {
                Some(("duties", name)) => {
                    rules.disabled_guard =
                        Some(plovercove_leases::Guard::named(name).ok_or_else(unknown)?);
                }
                Some(("fanout", name)) => {
                    fanout.disabled_guard =
                        Some(plovercove_fanout::Guard::from_name(name).ok_or_else(unknown)?);
                }
                _ => {}
            }
        }
        rules.check(peers.routers)?;
        fanout.check()?;
        if !(MIN_WATCH_MS..=MAX_WATCH_MS).contains(&self.watch_ms) {
            return Err(LeaseTasksFault::Watch {
                least: MIN_WATCH_MS,
                most: MAX_WATCH_MS,
                got: self.watch_ms,
            });
        }
        for (key, got) in [
            ("rules.datagrams_per_s", rules.datagrams_per_s),
            ("fanout.datagrams_per_s", fanout.datagrams_per_s),
        ] {
            if got > peers.datagrams_per_s {
                return Err(LeaseTasksFault::Budget {
                    key,
                    most: peers.datagrams_per_s,
                    got,
                });
            }
        }
        let voters = rules.voters.members.iter().chain(&rules.voters.previous);
        if self.file.is_none()
            && voters
                .map(|voter| voter.address)
                .any(|voter| voter == address)
        {
            return Err(LeaseTasksFault::NoFile { address });
        }
        let file = self.file.as_ref().map(|file| folder.join(file));
        Ok(LeaseTasksConfig {
            rules,
            fanout,
            file,
            watch_interval: self.watch_ms * 1_000,
        })
    }
}
