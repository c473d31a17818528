//! The recent load of each cold node and the kinds of requests that caused it. A report of a crash contains these shares.

use plovercove::{Micros, Time};
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::fmt;

/// Share of the load above which the load counts as caused by routers that knew of the node's start. Only then does a
/// crash break the rule `PushedOver`, since a router that does not know of a start cannot limit its requests.
const RESPONSIBLE_SHARE: f64 = 2.0 / 3.0;

/// A request that reached a cold node.
pub(crate) struct ColdRequest {
    pub(crate) at: Time,
    /// Its work (s).
    pub(crate) work: f64,
    /// Whether its router knew that the node had started.
    pub(crate) from_informed: bool,
    pub(crate) is_write: bool,
    /// Whether it was a further attempt of its request.
    pub(crate) is_further_attempt: bool,
}

/// The requests that reached cold nodes within the last window.
pub(crate) struct ColdLoads {
    window: Micros,
    nodes: HashMap<u32, VecDeque<ColdRequest>>,
}

/// Shares of the work that a node received, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LoadShares {
    /// From routers that knew of the node's start.
    pub told: f64,
    /// From writes.
    pub writes: f64,
    /// From attempts after the first of a request.
    pub again: f64,
}

/// The largest load of any cold node within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LoadPeak {
    /// The load as a share of what the node certainly withstands.
    pub pressure: f64,
    /// Causes of the load.
    pub shares: LoadShares,
}

impl LoadShares {
    /// Returns whether most of the load came from routers that knew of the node's start.
    pub fn are_mostly_informed(&self) -> bool {
        self.told > RESPONSIBLE_SHARE
    }
}

impl fmt::Display for LoadShares {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let percent = |share: f64| (share * 100.0).round() as u32;
        let (told, writes, again) = (
            percent(self.told),
            percent(self.writes),
            percent(self.again),
        );
        write!(
            f,
            "{told} % from routers that were told of its start, {writes} % writes, {again} % further attempts"
        )
    }
}

impl ColdLoads {
    pub(crate) fn new(window: Micros) -> Self {
        ColdLoads {
            window,
            nodes: HashMap::new(),
        }
    }

    pub(crate) fn add(&mut self, node: u32, request: ColdRequest) {
        let requests = self.nodes.entry(node).or_default();
        while requests
            .front()
            .is_some_and(|old| old.at + self.window < request.at)
        {
            requests.pop_front();
        }
        requests.push_back(request);
    }

    /// Forgets the load of a node whose process restarts.
    pub(crate) fn clear(&mut self, node: u32) {
        self.nodes.remove(&node);
    }

    pub(crate) fn shares(&self, node: u32) -> LoadShares {
        let requests = self.nodes.get(&node);
        let sum = |which: fn(&ColdRequest) -> bool| -> f64 {
            requests
                .iter()
                .flat_map(|s| s.iter())
                .filter(|p| which(p))
                .map(|p| p.work)
                .sum()
        };
        let all = sum(|_| true).max(1e-9);
        LoadShares {
            told: sum(|p| p.from_informed) / all,
            writes: sum(|p| p.is_write) / all,
            again: sum(|p| p.is_further_attempt) / all,
        }
    }
}

#[cfg(test)]
mod tests;
