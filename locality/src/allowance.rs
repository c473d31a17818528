//! Token buckets of work, by which routers that share no state keep a common limit.
//!
//! The tokens of a router's bucket are *seconds of work*. The bucket fills at the router's share of the limit, and each
//! attempt takes the cost of the request's class. Where hundreds of routers share one node, the share of one router is far
//! below one request per second. The buckets then begin at different levels, or all routers would send their first request
//! at the same time.

use plovercove::Time;

/// Token bucket of seconds of work.
#[derive(Clone, Debug, Default)]
pub struct Allowance {
    level: f64,
    rate: f64,
    /// Highest level.
    depth: f64,
    filled_at: Time,
}

/// Depth of a bucket, as the time (s) in which it fills. With a greater depth, a burst would exceed the limit within a
/// window of one second.
const DEPTH_S: f64 = 0.07;

impl Allowance {
    /// Creates a bucket that begins at this share of the cost of one request.
    pub fn staggered(now: Time, share: f64, cost: f64) -> Self {
        Allowance {
            level: share.clamp(0.0, 1.0) * cost,
            rate: 0.0,
            depth: cost,
            filled_at: now,
        }
    }

    fn level_at(&self, now: Time) -> f64 {
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1e6;
        (self.level + self.rate * elapsed_s).min(self.depth)
    }

    /// Updates the level and sets a new rate, in seconds of work per second. The depth is at least `min_depth`, the cost
    /// of an ordinary request.
    pub fn refill(&mut self, now: Time, rate: f64, min_depth: f64) {
        // The old rate applied until now. With the new one, a raise would count for the past.
        self.level = self.level_at(now);
        (self.rate, self.depth, self.filled_at) = (
            rate,
            (rate * DEPTH_S).max(min_depth),
            self.filled_at.max(now),
        );
    }

    /// Returns whether the level admits a request of this cost and leaves the share `reserve` of the remaining depth for
    /// classes of higher worth.
    ///
    /// A request that costs more than the depth is never admitted. If each bucket were as deep as the most expensive
    /// request, all routers together could send at once what the limit allows in a second.
    pub fn covers(&self, now: Time, cost: f64, reserve: f64) -> bool {
        // The tolerance absorbs rounding errors of the level.
        self.rate > 0.0
            && self.level_at(now) + 1e-12 >= cost + reserve * (self.depth - cost).max(0.0)
    }

    /// Takes the cost of a request. The level may fall below zero; the deficit then has to be refilled first.
    pub fn take(&mut self, now: Time, cost: f64) {
        self.level = self.level_at(now) - cost;
        self.filled_at = self.filled_at.max(now);
    }

    /// Returns the rate, in seconds of work per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

#[cfg(test)]
mod tests;
