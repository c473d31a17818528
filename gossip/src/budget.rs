//! The budget of datagrams and bytes, as two token buckets: a fleet that gossips must not fill its own links.

use plovercove::Time;

/// A router may save up so many seconds of its budget.
const BURST_S: f64 = 0.5;

/// A token bucket.
#[derive(Debug)]
struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
}

impl TokenBucket {
    fn full(rate_per_s: f64) -> Self {
        TokenBucket {
            rate_per_s,
            tokens: rate_per_s * BURST_S,
        }
    }

    fn refill(&mut self, passed_s: f64) {
        let most = (self.rate_per_s * BURST_S).max(1.0);
        self.tokens = (self.tokens + self.rate_per_s * passed_s).min(most);
    }
}

/// Tokens for datagrams and for their bytes.
#[derive(Debug)]
pub(crate) struct Budget {
    datagrams: TokenBucket,
    bytes: TokenBucket,
    refilled_at: Time,
}

impl Budget {
    pub(crate) fn new(datagrams_per_s: u32, bytes_per_s: u32, now: Time) -> Self {
        Budget {
            datagrams: TokenBucket::full(f64::from(datagrams_per_s)),
            bytes: TokenBucket::full(f64::from(bytes_per_s)),
            refilled_at: now,
        }
    }

    /// Takes what a datagram of so many bytes costs, if there is enough.
    pub(crate) fn take(&mut self, now: Time, bytes: usize) -> bool {
        let passed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.datagrams.refill(passed_s);
        self.bytes.refill(passed_s);
        let is_enough = self.datagrams.tokens >= 1.0 && self.bytes.tokens >= bytes as f64;
        if is_enough {
            self.datagrams.tokens -= 1.0;
            self.bytes.tokens -= bytes as f64;
        }
        is_enough
    }
}
