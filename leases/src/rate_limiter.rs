//! Rate limit of datagrams.

use plovercove::Time;

/// Token bucket that refills evenly and holds the permits of one second.
#[derive(Clone, Debug)]
pub(crate) struct RateLimiter {
    rate_per_s: f64,
    level: f64,
    updated_at: Time,
}

impl RateLimiter {
    pub fn new(rate_per_s: u32, now: Time) -> Self {
        RateLimiter {
            rate_per_s: f64::from(rate_per_s),
            level: f64::from(rate_per_s),
            updated_at: now,
        }
    }

    /// Takes a permit if the share `reserve` of the bucket remains afterwards, and returns whether it did.
    pub fn try_take(&mut self, now: Time, reserve: f64) -> bool {
        let elapsed_s = now.saturating_sub(self.updated_at) as f64 / 1e6;
        self.updated_at = self.updated_at.max(now);
        self.level = (self.level + elapsed_s * self.rate_per_s).min(self.rate_per_s);
        let is_allowed = self.level >= 1.0 + reserve * self.rate_per_s;
        if is_allowed {
            self.level -= 1.0;
        }
        is_allowed
    }
}
