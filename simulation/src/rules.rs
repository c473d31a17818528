//! The rules that no run may break, checked while it goes.

use serde::Serialize;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each try gets a final answer in time, unless its router was killed.
    NoAnswer,
    /// ... and only one.
    SecondAnswer,
    /// A write runs once at the most, over all tries of its client.
    RanTwice,
    /// Nothing new goes to a node later than the grace after its router was told that it drains or is gone.
    Drain,
    /// No cold node is pushed over.
    PushedOver,
    /// No read is answered from data older than its class allows.
    Stale,
    /// Attempts of one request stay within the limit.
    Attempts,
}

/// How often a rule was broken, and when first.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// How often.
    pub times: u64,
    /// When first (s), and what was seen.
    pub first: (f64, String),
}

/// All breaches of a run.
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
