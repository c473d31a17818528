//! Ids of requests: those of late, and those that this router makes itself.

use plovercove::{Micros, Time};
use std::collections::HashSet;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// Ids that are remembered in one generation, at the most.
const MAX_REMEMBERED_IDS: usize = 64 * 1024;

/// The ids of late. Every request has one of its own, so one that comes again is another client's, and what a node makes for
/// it may be the other's.
pub(super) struct RecentIds {
    hasher: RandomState,
    current: HashSet<u64>,
    previous: HashSet<u64>,
    generation_length: Micros,
    generation_ends_at: Time,
}

impl RecentIds {
    /// Remembers ids for this long at the least, unless there are very many.
    pub(super) fn new(remembered_for: Micros) -> Self {
        RecentIds {
            hasher: RandomState::new(),
            current: HashSet::new(),
            previous: HashSet::new(),
            generation_length: remembered_for,
            generation_ends_at: 0,
        }
    }

    /// Takes an id, unless it has been taken.
    pub(super) fn take(&mut self, id: &str, now: Time) -> bool {
        if now >= self.generation_ends_at || self.current.len() >= MAX_REMEMBERED_IDS {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
            self.generation_ends_at = now + self.generation_length;
        }
        let hash = self.hasher.hash_one(id);
        !self.previous.contains(&hash) && self.current.insert(hash)
    }
}

/// Makes ids for requests that came without one: no other router makes the same.
pub(super) struct IdGenerator {
    router: u64,
    made: u64,
}

impl IdGenerator {
    /// `router` is a random number of this process.
    pub(super) fn new(router: u64) -> Self {
        IdGenerator { router, made: 0 }
    }

    pub(super) fn next(&mut self) -> String {
        self.made += 1;
        format!("{:016x}-{:x}", self.router, self.made)
    }
}
