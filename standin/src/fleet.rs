//! The nodes and their groups, what happens to them, and what is counted.

use crate::agent::Agent;
use crate::node::Node;
use plovercove_fleet::node::Machine;
use plovercove_fleet::replication::Group;
use plovercove_fleet::{Reads, Spec, layout};
use rand::SeedableRng;
use rand_distr::{Distribution, LogNormal};
use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The list hears of what has died, and of what has started, after so long.
const LIST_LATE: (Duration, Duration) = (Duration::from_millis(1_200), Duration::from_millis(900));
/// Another primary takes over after so long.
const ELECTS: Duration = Duration::from_millis(2_500);

/// What was counted.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Nodes that fell over.
    pub fallen: usize,
    /// Writes that ran more than once.
    pub twice: usize,
    /// Seconds of work that came to each zone from others, by second since the start; writes left out.
    pub spilled: Vec<Vec<f64>>,
}

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
    pub(crate) fn group(&self, group: usize) -> MutexGuard<'_, Group> {
        self.groups[group].lock().unwrap_or_else(PoisonError::into_inner)
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
        let mut dice = plovercove_fleet::Dice::seed_from_u64(hasher.finish());
        let told = &self.spec.classes[class];
        let sigma2 = (1.0 + told.spread * told.spread).ln();
        let mean = (told.work_ms / 1e3).ln() - sigma2 / 2.0;
        LogNormal::new(mean, sigma2.sqrt()).map_or(told.work_ms / 1e3, |d| d.sample(&mut dice))
    }

    /// A statement came to a node of this zone, from a client whose tenant is named as its zone.
    pub(crate) fn sent(&self, to: usize, from: Option<&str>, class: usize) {
        if self.writes(class) || from.is_none_or(|from| self.spec.zones[to].name == from) {
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

/// Db nodes and the agent of their list, on loopback sockets.
pub struct Fleet {
    shared: Arc<Shared>,
    nodes: Vec<Arc<Node>>,
    agent: Agent,
}

impl Fleet {
    /// Starts the nodes of a spec and the agent.
    ///
    /// # Errors
    /// A socket could not be had.
    pub fn start(spec: &Spec, seed: u64) -> io::Result<Self> {
        let layout = layout(spec);
        let rate = spec.rate() * spec.write_share() / layout.groups.len() as f64;
        let apply = (spec.replication.apply_use / rate.max(1e-9) * 1e6) as u64;
        let ship = (spec.replication.ship_ms * 1e3) as u64;
        let group = |(members, head): (&Vec<usize>, &usize)| {
            Mutex::new(Group::new(members.len(), *head, ship, apply))
        };
        let shared = Arc::new(Shared {
            spec: spec.clone(),
            seed,
            groups: layout.groups.iter().zip(&layout.heads).map(group).collect(),
            begun: Instant::now(),
            spilled: Mutex::default(),
            writes: Mutex::default(),
        });
        let mut nodes = Vec::new();
        for (n, place) in layout.places.iter().enumerate() {
            let listener = TcpListener::bind(("127.0.0.1", 0))?;
            let machine = Machine::new(spec.node.clone(), 1.0);
            let name = format!("s-{n:04}");
            let node = Arc::new(Node::new(name, *place, machine, listener.local_addr()?));
            node.serve(listener, &shared);
            nodes.push(node);
        }
        let zones = spec.zones.iter().map(|z| z.name.clone()).collect();
        let agent = Agent::start(zones)?;
        let fleet = Fleet { shared, nodes, agent };
        fleet.list();
        Ok(fleet)
    }

    /// Where the agent listens.
    pub fn agent(&self) -> SocketAddr {
        self.agent.address
    }

    /// Tells the list as things stand.
    fn list(&self) {
        let entries = self.nodes.iter().filter_map(|node| {
            let inside = node.inside();
            let head = self.shared.group(node.group).primary() == Some(node.member);
            inside.up.then(|| (node.clone(), head, inside.machine.started()))
        });
        self.agent.tell(entries.collect());
    }

    /// The processes of a zone's nodes die. The list and the groups follow in time; this returns when they have.
    pub fn zone_down(&self, zone: &str) {
        let mine: Vec<&Arc<Node>> = self.of(zone).collect();
        let now = crate::now();
        for node in &mine {
            node.die();
            let mut group = self.shared.group(node.group);
            if group.primary() == Some(node.member) {
                group.lose_primary(now);
            }
            group.sever(node.member, now);
        }
        std::thread::sleep(LIST_LATE.0);
        self.list();
        std::thread::sleep(ELECTS.saturating_sub(LIST_LATE.0));
        for (n, group) in self.shared.groups.iter().enumerate() {
            let able: Vec<usize> = self
                .nodes
                .iter()
                .filter(|node| node.group == n && node.inside().up)
                .map(|node| node.member)
                .collect();
            group.lock().unwrap_or_else(PoisonError::into_inner).elect(&able, crate::now());
        }
        self.list();
    }

    /// They start again, cold. This returns when the list has told it.
    ///
    /// # Errors
    /// An address could not be had again.
    pub fn zone_up(&self, zone: &str) -> io::Result<()> {
        for node in self.of(zone) {
            node.start_again(&self.shared)?;
            self.shared.group(node.group).rejoin(node.member, crate::now());
        }
        std::thread::sleep(LIST_LATE.1);
        self.list();
        Ok(())
    }

    fn of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Arc<Node>> {
        let zones = &self.shared.spec.zones;
        self.nodes.iter().filter(move |node| zones[node.zone].name == zone)
    }

    /// What was counted so far.
    pub fn tally(&self) -> Tally {
        let writes = self.shared.writes.lock().unwrap_or_else(PoisonError::into_inner);
        Tally {
            fallen: self.nodes.iter().filter(|node| node.inside().machine.fallen()).count(),
            twice: writes.values().filter(|times| **times > 1).count(),
            spilled: self.shared.spilled.lock().unwrap_or_else(PoisonError::into_inner).clone(),
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.iter().for_each(|node| node.die());
    }
}
