//! Who presses the cold nodes: what came to each of late, from whom. A node that falls over is told with it.

use plovercove::{Micros, Time};
use serde::Serialize;
use std::collections::{HashMap, VecDeque};
use std::fmt;

/// More than this part of the pressure must come from routers that knew of the start for the rule to be theirs.
const THEIRS: f64 = 2.0 / 3.0;

/// One request that reached a cold node.
pub(crate) struct Press {
    pub(crate) at: Time,
    /// Its work (s).
    pub(crate) work: f64,
    /// Its router had been told that the node started.
    pub(crate) told: bool,
    pub(crate) write: bool,
    /// It was not its request's first attempt.
    pub(crate) again: bool,
}

/// What reached the cold nodes within the window that the rule names.
pub(crate) struct Pressure {
    window: Micros,
    nodes: HashMap<u32, VecDeque<Press>>,
}

/// Shares of the work that pressed a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LoadShares {
    /// From routers that had been told of its start.
    pub told: f64,
    /// Writes.
    pub writes: f64,
    /// Of attempts that were not their requests' first.
    pub again: f64,
}

/// The most that came to any cold node within a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LoadPeak {
    /// As a share of what it surely bears.
    pub pressure: f64,
    /// Whose it was.
    pub shares: LoadShares,
}

impl LoadShares {
    /// Whether the routers knew what they did.
    pub fn are_mostly_informed(&self) -> bool {
        self.told > THEIRS
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

impl Pressure {
    pub(crate) fn new(window: Micros) -> Self {
        Pressure {
            window,
            nodes: HashMap::new(),
        }
    }

    pub(crate) fn add(&mut self, node: u32, press: Press) {
        let seen = self.nodes.entry(node).or_default();
        while seen
            .front()
            .is_some_and(|old| old.at + self.window < press.at)
        {
            seen.pop_front();
        }
        seen.push_back(press);
    }

    /// A new process has not been pressed yet.
    pub(crate) fn clear(&mut self, node: u32) {
        self.nodes.remove(&node);
    }

    pub(crate) fn shares(&self, node: u32) -> LoadShares {
        let seen = self.nodes.get(&node);
        let sum = |which: fn(&Press) -> bool| -> f64 {
            seen.iter()
                .flat_map(|s| s.iter())
                .filter(|p| which(p))
                .map(|p| p.work)
                .sum()
        };
        let all = sum(|_| true).max(1e-9);
        LoadShares {
            told: sum(|p| p.told) / all,
            writes: sum(|p| p.write) / all,
            again: sum(|p| p.again) / all,
        }
    }
}

#[cfg(test)]
mod tests;
