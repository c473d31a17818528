//! Exponential backoff with jitter, for calls that failed.
//!
//! It prevents routers from overloading a shared service. When the service fails, it fails for all routers at once. If
//! each router retried after the same short pause, the service would get more calls the fewer it can answer, and would
//! not recover: 100 routers made 1,000 calls a second to a discovery service that could answer a few, and their lists
//! were out of date for 25 s.

use plovercove::{Micros, Time};

/// The pauses after consecutive failures. They double from the first to the longest pause, and each is drawn uniformly
/// from the upper half of its range.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_pause: Micros,
    max_pause: Micros,
    next_pause: Micros,
    /// State of the random number generator (splitmix64). Equal seeds give equal pauses.
    state: u64,
}

impl Backoff {
    /// Creates a backoff with pauses in microseconds. Each router needs a different seed.
    pub fn new(first_pause: Micros, max_pause: Micros, seed: u64) -> Self {
        Backoff {
            first_pause,
            max_pause,
            next_pause: first_pause,
            state: seed,
        }
    }

    /// Records a call that failed at `now`. Returns the time of the next call.
    pub fn record_failure(&mut self, now: Time) -> Time {
        self.record_failure_within(now, Micros::MAX)
    }

    /// Records a call that failed at `now`, if the next call has to be made within `time_left`. Returns the time of the
    /// next call.
    ///
    /// The pause is drawn at random even if it is shortened to `time_left`: routers whose pauses all ended exactly
    /// there would call in step.
    pub fn record_failure_within(&mut self, now: Time, time_left: Micros) -> Time {
        let pause = self.next_pause.min(time_left);
        let half = pause / 2;
        self.next_pause = (self.next_pause * 2).min(self.max_pause);
        now + half + self.random_below(pause - half + 1)
    }

    /// Records a call that was answered: the next failure counts as the first again.
    pub fn record_success(&mut self) {
        self.next_pause = self.first_pause;
    }

    /// Returns a random number below `end`.
    pub(crate) fn random_below(&mut self, end: u64) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % end.max(1)
    }
}
