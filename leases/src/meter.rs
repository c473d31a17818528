//! How many datagrams may be sent now.

use plovercove::Time;

/// A bucket that fills evenly, and holds a second's worth.
#[derive(Clone, Debug)]
pub(crate) struct Meter {
    rate: f64,
    level: f64,
    at: Time,
}

impl Meter {
    pub fn new(rate: u32, now: Time) -> Self {
        Meter {
            rate: f64::from(rate),
            level: f64::from(rate),
            at: now,
        }
    }

    /// Takes one where more than this share is left.
    pub fn take(&mut self, now: Time, spare: f64) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = self.at.max(now);
        self.level = (self.level + passed * self.rate).min(self.rate);
        let may = self.level >= 1.0 + spare * self.rate;
        if may {
            self.level -= 1.0;
        }
        may
    }
}
