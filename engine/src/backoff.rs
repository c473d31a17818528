//! When a call that failed is made again: at growing intervals, each router at a time of its own.
//!
//! Danger: a service that many routers ask fails for all of them at once. Where each asks again after the same short
//! pause, it is asked more the less it can answer, and never comes back: 100 routers made 1,000 calls a second of a
//! discovery that could answer a few, and knew the same list for 25 s.

use plovercove::{Micros, Time};

/// The pauses after failures in a row: doubling from the first to the longest, each drawn evenly from its upper half.
#[derive(Clone, Debug)]
pub struct Backoff {
    first: Micros,
    longest: Micros,
    next: Micros,
    /// State of the random numbers (splitmix64), so that equal seeds give equal pauses.
    state: u64,
}

impl Backoff {
    /// Pauses in microseconds; routers need different seeds.
    pub fn new(first: Micros, longest: Micros, seed: u64) -> Self {
        Backoff {
            first,
            longest,
            next: first,
            state: seed,
        }
    }

    /// A call failed at this time. Returns when to make the next.
    pub fn record_failure(&mut self, now: Time) -> Time {
        self.record_failure_within(now, Micros::MAX)
    }

    /// A call failed at this time, and the next has to be made within so much. The pause is drawn, also where there is less
    /// room than it would take: routers that were cut off at the end of their room would call in step.
    pub fn record_failure_within(&mut self, now: Time, room: Micros) -> Time {
        let pause = self.next.min(room);
        let half = pause / 2;
        self.next = (self.next * 2).min(self.longest);
        now + half + self.below(pause - half + 1)
    }

    /// A call was answered: the next failure is the first again.
    pub fn record_success(&mut self) {
        self.next = self.first;
    }

    /// A draw under a bound.
    pub(crate) fn below(&mut self, end: u64) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.state ^ (self.state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % end.max(1)
    }
}
