//! Budget of datagrams and bytes, as two token buckets, so that gossip does not saturate the links of the routers.

use plovercove::Time;

/// Depth of the buckets, as seconds of the budget that a router may save up.
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

    fn refill(&mut self, elapsed_s: f64) {
        let max_tokens = (self.rate_per_s * BURST_S).max(1.0);
        self.tokens = (self.tokens + self.rate_per_s * elapsed_s).min(max_tokens);
    }
}

/// Token buckets for datagrams and for their bytes.
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

    /// Takes the tokens of a datagram of this size if there are enough, and returns whether there were.
    pub(crate) fn take(&mut self, now: Time, bytes: usize) -> bool {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        self.datagrams.refill(elapsed_s);
        self.bytes.refill(elapsed_s);
        let is_enough = self.datagrams.tokens >= 1.0 && self.bytes.tokens >= bytes as f64;
        if is_enough {
            self.datagrams.tokens -= 1.0;
            self.bytes.tokens -= bytes as f64;
        }
        is_enough
    }
}
