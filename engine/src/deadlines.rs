//! All deadlines of the router, in one ordered set.

use crate::{AttemptId, Key};
use plovercove::Time;
use std::collections::BTreeSet;

/// The subject of a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Deadline {
    /// The decisions requested a wake-up.
    Wake,
    /// An attempt times out.
    Attempt(AttemptId),
    /// A connection to a database node takes too long to open or to answer a health check, or is idle for too long.
    Backend(Key),
    /// A client's connection has to be checked.
    Client(Key),
    /// The discovery service has to be called, or has not answered in time.
    Discovery,
    /// The router may accept connections again.
    Accept,
    /// A probe of another router, a gossip round, or a review of outlier verdicts.
    Gossip,
    /// The shutdown closes the listeners, and the connections between requests.
    Drain,
    /// The shutdown reads nothing more from clients.
    StopReading,
}

/// The ordered set of deadlines.
#[derive(Default)]
pub struct Deadlines(BTreeSet<(Time, Deadline)>);

impl Deadlines {
    /// Adds a deadline.
    pub fn add(&mut self, at: Time, deadline: Deadline) {
        self.0.insert((at, deadline));
    }

    /// Removes a deadline.
    pub fn remove(&mut self, at: Time, deadline: Deadline) {
        self.0.remove(&(at, deadline));
    }

    /// Moves the only deadline of a subject from the time in `scheduled`, which is updated, to `at`. `None` means no
    /// deadline.
    pub fn set(&mut self, scheduled: &mut Option<Time>, deadline: Deadline, at: Option<Time>) {
        if let Some(old) = std::mem::replace(scheduled, at) {
            self.remove(old, deadline);
        }
        if let Some(new) = at {
            self.add(new, deadline);
        }
    }

    /// Returns the time of the next deadline.
    pub fn next(&self) -> Option<Time> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns one deadline that has passed.
    pub fn pop(&mut self, now: Time) -> Option<Deadline> {
        self.next().filter(|at| *at <= now)?;
        self.0.pop_first().map(|(_, deadline)| deadline)
    }
}
