//! The adaptive limit on what one router has in flight at one node.
//!
//! It guards against a queue that grows until every answer is late. The limit rises by one for each full round of timely
//! answers and falls by a factor on late ones (additive increase, multiplicative decrease), so that it settles where the
//! node still answers well inside the latency objective.

use crate::api::{Micros, Time};

/// Attempts in flight at a node from all routers together, before anything is known of it.
pub(crate) const INITIAL_FLEET_LIMIT: f64 = 24.0;
/// One router may always have this many in flight, or it would never learn that a node has recovered.
const MIN_LIMIT: f64 = 1.0;
/// One router never has more in flight at one node.
const MAX_LIMIT: f64 = 200.0;
/// An answer is late when it took more than this share of its latency objective.
const LATE_SHARE_OF_OBJECTIVE: f64 = 0.4;
/// What is left of the limit after a late answer.
const LATE_FACTOR: f64 = 0.93;
/// What is left of the limit after work that was lost or turned away.
const LOST_FACTOR: f64 = 0.8;
/// Answers that are late together tell of one jam: within this time the limit falls once.
const MIN_TIME_BETWEEN_CUTS: Micros = 100_000;

/// What an attempt's end says of the room at its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// Answered well inside its objective.
    InTime,
    /// Answered, but late.
    Late,
    /// Not answered in time, or turned away because the queue was full.
    Lost,
}

impl Signal {
    /// The signal of an answer that took so long.
    pub(crate) fn of_answer(elapsed: Micros, latency_objective: Micros) -> Self {
        if elapsed as f64 > LATE_SHARE_OF_OBJECTIVE * latency_objective as f64 {
            Signal::Late
        } else {
            Signal::InTime
        }
    }
}

/// How many attempts one router may have in flight at one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    cut_at: Time,
}

impl ConcurrencyLimit {
    /// The limit for a node of which nothing is known: the fleet's, shared by all routers.
    pub(crate) fn new(router_count: u32) -> Self {
        let mut new = ConcurrencyLimit::default();
        new.reset(router_count);
        new
    }

    /// Back to the first limit: the node has started anew.
    pub(crate) fn reset(&mut self, router_count: u32) {
        self.limit = INITIAL_FLEET_LIMIT / f64::from(router_count.max(1));
    }

    /// Whether another attempt fits beside so many, within a share of the limit. One always fits.
    pub(crate) fn has_room(&self, in_flight: usize, share: f64) -> bool {
        (in_flight as f64) < (self.limit * share).max(1.0)
    }

    /// Takes the end of an attempt into account; `in_flight` are those that are left.
    pub(crate) fn observe(&mut self, now: Time, signal: Signal, in_flight: usize) {
        let used = in_flight as f64 + 1.0;
        match signal {
            // A limit that is not used says nothing about what the node bears.
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
