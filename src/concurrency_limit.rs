//! The adaptive limit on the number of requests that one router has in flight at one node.
//!
//! It prevents a queue that grows until every answer is late. The limit rises by one for each full round of timely
//! answers and falls by a factor on late ones (additive increase, multiplicative decrease), so that it settles where
//! the node still answers well inside the latency objective.

use crate::api::{Micros, Time};

/// Initial limit on the attempts of all routers together at a node of which nothing is known.
pub(crate) const INITIAL_FLEET_LIMIT: f64 = 24.0;
/// Lower bound of the limit. Without it a router would never learn that a node has recovered.
const MIN_LIMIT: f64 = 1.0;
/// Upper bound of the limit of one router at one node.
const MAX_LIMIT: f64 = 200.0;
/// Share of the latency objective beyond which an answer counts as late.
const LATE_SHARE_OF_OBJECTIVE: f64 = 0.4;
/// Factor by which a late answer lowers the limit.
const LATE_FACTOR: f64 = 0.93;
/// Factor by which a lost or rejected attempt lowers the limit.
const LOST_FACTOR: f64 = 0.8;
/// Time within which the limit falls only once: answers that are late together have one overload as their cause.
const MIN_TIME_BETWEEN_CUTS: Micros = 100_000;

/// What the end of an attempt shows about the load of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Answered well inside the latency objective.
    InTime,
    /// Answered, but late.
    Late,
    /// Not answered in time, or rejected because the queue was full.
    Lost,
}

impl Signal {
    /// Classifies an answer by the time that it took.
    pub(crate) fn of_answer(elapsed: Micros, latency_objective: Micros) -> Self {
        if elapsed as f64 > LATE_SHARE_OF_OBJECTIVE * latency_objective as f64 {
            Signal::Late
        } else {
            Signal::InTime
        }
    }
}

/// The number of attempts that one router may have in flight at one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    cut_at: Time,
}

impl ConcurrencyLimit {
    /// Creates the limit for an unknown node: an equal share of the initial limit of the fleet.
    pub(crate) fn new(router_count: u32) -> Self {
        let mut new = ConcurrencyLimit::default();
        new.reset(router_count);
        new
    }

    /// Sets the limit to its initial value, for an unknown node or after a restart of the node.
    pub(crate) fn reset(&mut self, router_count: u32) {
        self.limit = INITIAL_FLEET_LIMIT / f64::from(router_count.max(1));
    }

    /// Returns whether another attempt fits within a share of the limit beside those in flight. One attempt always
    /// fits.
    pub(crate) fn has_room(&self, in_flight: usize, share: f64) -> bool {
        (in_flight as f64) < (self.limit * share).max(1.0)
    }

    /// Adjusts the limit after an attempt has ended. `in_flight` is the number of attempts that remain.
    pub(crate) fn observe(&mut self, now: Time, signal: Signal, in_flight: usize) {
        let used = in_flight as f64 + 1.0;
        match signal {
            // A limit that is less than half used does not show what the node can take.
            Signal::InTime if used >= self.limit / 2.0 => self.limit += 1.0 / self.limit,
            Signal::InTime => {}
            Signal::Late => self.cut(now, used, LATE_FACTOR),
            Signal::Lost => self.cut(now, used, LOST_FACTOR),
        }
        self.limit = self.limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    fn cut(&mut self, now: Time, used: f64, factor: f64) {
        if now >= self.cut_at + MIN_TIME_BETWEEN_CUTS {
            self.limit = self.limit.min(used) * factor;
            self.cut_at = now;
        }
    }
}
