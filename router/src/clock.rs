//! The router's clock, and the conversions between the times on the wire and those of the decision module.
//!
//! The module counts microseconds that never run backwards; the wire carries Unix milliseconds. A conversion never makes
//! data look fresher, or a wait shorter, than the value that was received.

use plovercove::{Micros, Time};
use std::time::{Instant, SystemTime};

/// Unix time in microseconds: the system clock read once at the start, advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Time,
}

impl Default for Clock {
    /// Creates a clock that starts at the system time.
    fn default() -> Self {
        let unix = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            start: Instant::now(),
            unix: unix.as_micros() as Time,
        }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.unix + self.start.elapsed().as_micros() as Time
    }
}

/// Converts a Unix time in milliseconds to microseconds.
pub fn from_ms(ms: u64) -> Time {
    ms.saturating_mul(1_000)
}

/// Converts a Unix time in seconds, as load reports carry it, to microseconds, rounded down. Returns `None` unless the
/// value is positive, since 0 means that the node reports no time.
pub fn from_seconds(seconds: f64) -> Option<Time> {
    (seconds > 0.0).then_some((seconds * 1e6).floor() as Time)
}

/// Converts a duration to milliseconds, rounded up so that a wait is never announced as shorter than it is.
pub fn to_ms(duration: Micros) -> u64 {
    duration.div_ceil(1_000)
}

/// Returns the age of a timestamp. A timestamp in the future, from a clock that is ahead, has the age 0: the data must be
/// the newest.
pub fn age(now: Time, timestamp: Time) -> Micros {
    now.saturating_sub(timestamp)
}

#[cfg(test)]
mod tests;
