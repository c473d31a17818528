//! Budgets of work: how routers that share nothing keep a common limit.
//!
//! Each router holds a bucket of *seconds of work*. It fills at the router's part of the limit and every send takes what
//! the class of the request costs. Where hundreds of routers divide one node, a part is far less than one request a
//! second: then the first requests must not come at once from all, so buckets begin at different levels.

use plovercove::Time;

/// A bucket of seconds of work.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    level: f64,
    rate: f64,
    /// The most that it holds.
    depth: f64,
    filled: Time,
}

/// A bucket holds what comes in so long, in seconds: longer, and a burst would overshoot a window of one second.
const DEPTH: f64 = 0.07;

impl Allowance {
    /// A bucket whose first level is this share of one request's cost.
    pub fn staggered(now: Time, share: f64, cost: f64) -> Self {
        Allowance {
            level: share.clamp(0.0, 1.0) * cost,
            rate: 0.0,
            depth: cost,
            filled: now,
        }
    }

    fn now(&self, now: Time) -> f64 {
        let span = now.saturating_sub(self.filled) as f64 / 1e6;
        (self.level + self.rate * span).min(self.depth)
    }

    /// Brings the level up to date and takes over a new rate, in seconds of work a second. `least`, what an
    /// ordinary request costs, is the least that the bucket can hold.
    pub fn refill(&mut self, now: Time, rate: f64, least: f64) {
        // The old rate held until now; with the new one a rise would count backwards.
        self.level = self.now(now);
        (self.rate, self.depth, self.filled) =
            (rate, (rate * DEPTH).max(least), self.filled.max(now));
    }

    /// Whether a request of this cost may take its part, and leave `reserve` of the depth to what is worth more. One
    /// that costs more than the bucket holds never may. Danger: a bucket as deep as the dearest request would let every
    /// router send at once what the limit allows in a second.
    pub fn covers(&self, now: Time, cost: f64, reserve: f64) -> bool {
        self.rate > 0.0 && self.now(now) + 1e-12 >= cost + reserve * (self.depth - cost).max(0.0)
    }

    /// Takes a part. The level may go below zero, and is then made good.
    pub fn take(&mut self, now: Time, cost: f64) {
        self.level = self.now(now) - cost;
        self.filled = self.filled.max(now);
    }

    /// What fills it, in seconds of work a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

#[cfg(test)]
mod tests;
