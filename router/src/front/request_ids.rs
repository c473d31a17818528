//! Ids of requests: detects repeated ids, and generates ids for requests without one.

use plovercove::{Idempotency, Micros, Time};
use std::collections::HashSet;
use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

/// Maximum number of ids of requests that may be repeated in one generation. Beyond it, older ones are forgotten early.
const MAX_REPEATABLE_IDS: usize = 64 * 1024;
/// Maximum number of ids of requests that must not run twice in one generation. Beyond it, such requests are refused.
const MAX_UNREPEATABLE_IDS: usize = 128 * 1024;

/// Why the id of a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdFault {
    /// It is the id of another request.
    Repeated,
    /// No more ids can be remembered for now.
    Full,
}

/// An id that is remembered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RememberedId(u64);

/// Hashes of ids in two generations. When the current one ends, the previous one is forgotten.
#[derive(Default)]
struct Generations {
    current: HashSet<u64>,
    previous: HashSet<u64>,
    ends_at: Time,
}

impl Generations {
    fn contains(&self, hash: u64) -> bool {
        self.current.contains(&hash) || self.previous.contains(&hash)
    }

    fn begin_next(&mut self, ends_at: Time) {
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.ends_at = ends_at;
    }

    fn forget(&mut self, hash: u64) {
        self.current.remove(&hash);
        self.previous.remove(&hash);
    }
}

/// The ids of recent requests. Each request must have a unique id: if two clients used the same one, a node could return
/// the answer of one client's request to the other, and a request that comes again could run twice.
///
/// Ids of requests that must not run twice are kept apart, so that no flood of other ids pushes them out.
pub(super) struct RecentIds {
    hasher: RandomState,
    repeatable: Generations,
    unrepeatable: Generations,
    generation_duration: Micros,
}

impl RecentIds {
    /// Returns an empty set that remembers each id for at least this duration; if very many come, only those of requests that
    /// must not run twice.
    pub(super) fn new(remembered_for: Micros) -> Self {
        RecentIds {
            hasher: RandomState::new(),
            repeatable: Generations::default(),
            unrepeatable: Generations::default(),
            generation_duration: remembered_for,
        }
    }

    /// Remembers the id of a request.
    ///
    /// # Errors
    ///
    /// Returns why the request must not be accepted.
    pub(super) fn insert(
        &mut self,
        id: &str,
        idempotency: Idempotency,
        now: Time,
    ) -> Result<RememberedId, IdFault> {
        let ends_at = now + self.generation_duration;
        let is_overfull = self.repeatable.current.len() >= MAX_REPEATABLE_IDS;
        if now >= self.repeatable.ends_at || is_overfull {
            self.repeatable.begin_next(ends_at);
        }
        if now >= self.unrepeatable.ends_at {
            self.unrepeatable.begin_next(ends_at);
        }
        let hash = self.hasher.hash_one(id);
        if self.repeatable.contains(hash) || self.unrepeatable.contains(hash) {
            return Err(IdFault::Repeated);
        }
        let (generations, limit) = match idempotency {
            Idempotency::Idempotent => (&mut self.repeatable, MAX_REPEATABLE_IDS),
            Idempotency::Deduplicated | Idempotency::AtMostOnce => {
                (&mut self.unrepeatable, MAX_UNREPEATABLE_IDS)
            }
        };
        if generations.current.len() >= limit {
            return Err(IdFault::Full);
        }
        generations.current.insert(hash);
        Ok(RememberedId(hash))
    }

    /// Forgets the id of a request that was rejected, so that sending it again is harmless.
    pub(super) fn forget(&mut self, id: RememberedId) {
        self.repeatable.forget(id.0);
        self.unrepeatable.forget(id.0);
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

#[cfg(test)]
mod tests;
