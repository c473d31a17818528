//! State that all nodes of a fleet share: the logs of the groups, the request classes, and counters.

use plovercove_simulation::replication::Group;
use plovercove_simulation::{Reads, Spec};
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// State that all nodes of a fleet share.
pub(crate) struct Shared {
    spec: Spec,
    seed: u64,
    groups: Vec<Mutex<Group>>,
    started: Instant,
    spilled: Mutex<Vec<Vec<f64>>>,
    writes: Mutex<HashMap<String, u32>>,
}

impl Shared {
    pub(crate) fn new(spec: Spec, seed: u64, groups: Vec<Group>) -> Self {
        Shared {
            spec,
            seed,
            groups: groups.into_iter().map(Mutex::new).collect(),
            started: Instant::now(),
            spilled: Mutex::default(),
            writes: Mutex::default(),
        }
    }

    pub(crate) fn groups(&self) -> usize {
        self.groups.len()
    }

    /// Returns the name of a zone, by its index.
    pub(crate) fn zone(&self, zone: usize) -> &str {
        &self.spec.zones[zone].name
    }

    /// Returns the number of writes that ran more than once, and the work that each zone received from others, by second.
    pub(crate) fn counts(&self) -> (usize, Vec<Vec<f64>>) {
        let writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        let spilled = self
            .spilled
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        (writes.values().filter(|times| **times > 1).count(), spilled)
    }

    pub(crate) fn group(&self, group: usize) -> MutexGuard<'_, Group> {
        self.groups[group]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn class(&self, name: &str) -> Option<usize> {
        self.spec.classes.iter().position(|c| c.name == name)
    }

    pub(crate) fn writes(&self, class: usize) -> bool {
        self.spec.classes[class].reads == Reads::Write
    }

    /// Returns the work of a request (s). It depends only on seed, class and id, so it is the same on each node.
    pub(crate) fn work(&self, class: usize, id: &str) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, id).hash(&mut hasher);
        let mut dice = plovercove_simulation::SimRng::seed_from_u64(hasher.finish());
        let class = &self.spec.classes[class];
        let sigma2 = (1.0 + class.spread * class.spread).ln();
        let mean = (class.work_ms / 1e3).ln() - sigma2 / 2.0;
        LogNormal::new(mean, sigma2.sqrt()).map_or(class.work_ms / 1e3, |d| d.sample(&mut dice))
    }

    /// Counts the work of a statement that a node of zone `to` received. `from` is the tenant, which has the name of the
    /// client's zone.
    pub(crate) fn count_received(&self, to: usize, from: Option<&str>, class: usize) {
        if self.writes(class) || from.is_none_or(|from| self.zone(to) == from) {
            return;
        }
        let second = self.started.elapsed().as_secs() as usize;
        let mut spilled = self.spilled.lock().unwrap_or_else(PoisonError::into_inner);
        while spilled.len() <= second {
            spilled.push(vec![0.0; self.spec.zones.len()]);
        }
        spilled[second][to] += self.spec.classes[class].work_ms / 1e3;
    }

    pub(crate) fn count_write(&self, id: &str) {
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        *writes.entry(id.to_string()).or_default() += 1;
    }
}
