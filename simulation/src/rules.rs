//! The rules that a run checks.

use serde::Serialize;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each try of a client gets a final answer by its deadline, unless its router was stopped.
    NoAnswer,
    /// Each try gets only one final answer.
    SecondAnswer,
    /// A write runs at most once, over all tries of its client.
    RanTwice,
    /// A router sends no new attempt to a node later than the drain grace after it received that the node is draining or
    /// removed.
    Drain,
    /// Routers that know of a node's start do not overload it while it is cold.
    PushedOver,
    /// No read is answered with data older than its class allows.
    Stale,
    /// The number of attempts of a request stays within the limit.
    Attempts,
}

/// The violations of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// Number of violations.
    pub times: u64,
    /// Time of the first violation (s), and what happened.
    pub first: (f64, String),
}

/// The violated rules of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Breaches(pub(crate) Vec<Breach>);

impl Breaches {
    pub(crate) fn add(&mut self, rule: Rule, second: f64, what: impl FnOnce() -> String) {
        match self.0.iter_mut().find(|b| b.rule == rule) {
            Some(known) => known.times += 1,
            None => self.0.push(Breach {
                rule,
                times: 1,
                first: (second, what()),
            }),
        }
    }
}
