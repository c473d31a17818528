//! All deadlines of the router, in one ordered structure.

use crate::{AttemptId, Key};
use plovercove::Time;
use std::collections::BTreeSet;

/// What falls due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deadline {
    /// The module asked to be woken.
    Wake,
    /// An attempt has waited long enough.
    Attempt(AttemptId),
    /// A connection to a db node has been dialled, probed or idle long enough.
    Backend(Key),
    /// A client's connection is to be looked over.
    Client(Key),
    /// The agent is to be called, or has not answered.
    Discovery,
    /// Accepting may go on.
    Accept,
    /// A probe of another router, a round of gossip, a review of verdicts.
    Gossip,
    /// The next step of the way out.
    Shutdown,
}

/// The ordered set of deadlines.
#[derive(Default)]
pub struct Deadlines(BTreeSet<(Time, Deadline)>);

impl Deadlines {
    /// Something falls due then, beside what does already.
    pub fn add(&mut self, at: Time, due: Deadline) {
        self.0.insert((at, due));
    }

    /// That is off.
    pub fn remove(&mut self, at: Time, due: Deadline) {
        self.0.remove(&(at, due));
    }

    /// Moves the one deadline of something, whose present time stands in `held`.
    pub fn set(&mut self, held: &mut Option<Time>, due: Deadline, at: Option<Time>) {
        if let Some(old) = std::mem::replace(held, at) {
            self.remove(old, due);
        }
        if let Some(new) = at {
            self.add(new, due);
        }
    }

    /// When the next one falls due.
    pub fn next(&self) -> Option<Time> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Takes out one that is due.
    pub fn pop(&mut self, now: Time) -> Option<Deadline> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, due)| due)
    }
}
