//! The router's clock, and the one place where the times of the sockets become the module's and back.
//!
//! The module counts microseconds that never run backwards; sockets carry Unix milliseconds. A conversion never claims
//! data to be fresher, or patience to be longer, than what was told.

use plovercove::{Micros, Time};
use std::time::{Instant, SystemTime};

/// Unix time in microseconds, read once and carried on by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    unix: Time,
}

impl Default for Clock {
    /// A clock that starts at the system's time.
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
    /// The time now.
    pub fn now(&self) -> Time {
        self.unix + self.start.elapsed().as_micros() as Time
    }
}

/// A Unix time in milliseconds, as a moment on the clock.
pub fn from_ms(ms: u64) -> Time {
    ms.saturating_mul(1_000)
}

/// A Unix time in seconds, as load reports tell it, rounded down; `None` for nothing told.
pub fn from_seconds(seconds: f64) -> Option<Time> {
    (seconds > 0.0).then_some((seconds * 1e6).floor() as Time)
}

/// A span in milliseconds, rounded up: a wait is never told shorter than it is.
pub fn to_ms(span: Micros) -> u64 {
    span.div_ceil(1_000)
}

/// How long ago a moment was. One in the future, from a clock that is ahead, is now: the data must be the newest.
pub fn age(now: Time, then: Time) -> Micros {
    now.saturating_sub(then)
}

#[cfg(test)]
mod tests;
