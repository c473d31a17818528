//! Ids of requests: detects repeated ids, and generates ids for requests without one.

use plovercove::{Micros, Time};
use std::collections::HashSet;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// Maximum number of ids that one generation remembers.
const MAX_IDS_PER_GENERATION: usize = 64 * 1024;

/// The ids of recent requests. Each request must have a unique id: if two clients used the same one, a node could return
/// the answer of one client's request to the other.
///
/// Ids are kept in two generations; when the current one ends, the previous one is forgotten.
pub(super) struct RecentIds {
    hasher: RandomState,
    current: HashSet<u64>,
    previous: HashSet<u64>,
    generation_duration: Micros,
    generation_ends_at: Time,
}

impl RecentIds {
    /// Returns an empty set that remembers each id for at least this duration, unless a generation overflows.
    pub(super) fn new(remembered_for: Micros) -> Self {
        RecentIds {
            hasher: RandomState::new(),
            current: HashSet::new(),
            previous: HashSet::new(),
            generation_duration: remembered_for,
            generation_ends_at: 0,
        }
    }

    /// Remembers an id. Returns false if it was remembered already.
    pub(super) fn insert_if_new(&mut self, id: &str, now: Time) -> bool {
        if now >= self.generation_ends_at || self.current.len() >= MAX_IDS_PER_GENERATION {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.clear();
            self.generation_ends_at = now + self.generation_duration;
        }
        let hash = self.hasher.hash_one(id);
        !self.previous.contains(&hash) && self.current.insert(hash)
    }
}

/// Generates ids for requests without one. No other router generates the same ids.
pub(super) struct IdGenerator {
    router: u64,
    generated_count: u64,
}

impl IdGenerator {
    /// Returns a generator; `router` is a random number that identifies this process.
    pub(super) fn new(router: u64) -> Self {
        IdGenerator {
            router,
            generated_count: 0,
        }
    }

    pub(super) fn next(&mut self) -> String {
        self.generated_count += 1;
        format!("{:016x}-{:x}", self.router, self.generated_count)
    }
}
