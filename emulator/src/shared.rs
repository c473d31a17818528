//! What the nodes share: the groups' logs, the classes, and what is counted over all of them.

use plovercove_simulation::replication::Group;
use plovercove_simulation::{Reads, Spec};
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// What nodes share.
pub(crate) struct Shared {
    spec: Spec,
    seed: u64,
    groups: Vec<Mutex<Group>>,
    begun: Instant,
    spilled: Mutex<Vec<Vec<f64>>>,
    writes: Mutex<HashMap<String, u32>>,
}

impl Shared {
    pub(crate) fn new(spec: Spec, seed: u64, groups: Vec<Group>) -> Self {
        Shared {
            spec,
            seed,
            groups: groups.into_iter().map(Mutex::new).collect(),
            begun: Instant::now(),
            spilled: Mutex::default(),
            writes: Mutex::default(),
        }
    }

    pub(crate) fn groups(&self) -> usize {
        self.groups.len()
    }

    /// The name of a zone, by its place.
    pub(crate) fn zone(&self, zone: usize) -> &str {
        &self.spec.zones[zone].name
    }

    /// Writes that ran more than once, and the work that came to each zone from others.
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

    /// The work of a request, the same wherever and whenever it runs.
    pub(crate) fn work(&self, class: usize, id: &str) -> f64 {
        let mut hasher = DefaultHasher::new();
        (self.seed, id).hash(&mut hasher);
        let mut dice = plovercove_simulation::SimRng::seed_from_u64(hasher.finish());
        let told = &self.spec.classes[class];
        let sigma2 = (1.0 + told.spread * told.spread).ln();
        let mean = (told.work_ms / 1e3).ln() - sigma2 / 2.0;
        LogNormal::new(mean, sigma2.sqrt()).map_or(told.work_ms / 1e3, |d| d.sample(&mut dice))
    }

    /// A statement came to a node of this zone, from a client whose tenant is named as its zone.
    pub(crate) fn sent(&self, to: usize, from: Option<&str>, class: usize) {
        if self.writes(class) || from.is_none_or(|from| self.zone(to) == from) {
            return;
        }
        let second = self.begun.elapsed().as_secs() as usize;
        let mut spilled = self.spilled.lock().unwrap_or_else(PoisonError::into_inner);
        while spilled.len() <= second {
            spilled.push(vec![0.0; self.spec.zones.len()]);
        }
        spilled[second][to] += self.spec.classes[class].work_ms / 1e3;
    }

    pub(crate) fn ran(&self, id: &str) {
        let mut writes = self.writes.lock().unwrap_or_else(PoisonError::into_inner);
        *writes.entry(id.to_string()).or_default() += 1;
    }
}
