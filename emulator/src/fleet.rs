//! The nodes and their groups, what happens to them, and what is counted.

use crate::agent::{Agent, Entry};
use crate::node::Node;
use crate::shared::Shared;
use plovercove_simulation::node::Machine;
use plovercove_simulation::replication::Group;
use plovercove_simulation::{Spec, layout};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

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
        let group =
            |(members, head): (&Vec<usize>, &usize)| Group::new(members.len(), *head, ship, apply);
        let groups = layout.groups.iter().zip(&layout.heads).map(group).collect();
        let shared = Arc::new(Shared::new(spec.clone(), seed, groups));
        let mut nodes = Vec::new();
        for (n, place) in layout.places.iter().enumerate() {
            let listener = TcpListener::bind(("127.0.0.1", 0))?;
            let machine = Machine::new(spec.node.clone(), 1.0, spec.mean_work());
            let name = format!("s-{n:04}");
            let node = Arc::new(Node::new(name, *place, machine, listener.local_addr()?));
            node.serve(listener, &shared);
            nodes.push(node);
        }
        let agent = Agent::start()?;
        let fleet = Fleet {
            shared,
            nodes,
            agent,
        };
        fleet.list();
        Ok(fleet)
    }

    /// Where the agent listens.
    pub fn agent(&self) -> SocketAddr {
        self.agent.address()
    }

    /// Tells the list as things stand.
    fn list(&self) {
        let entries = self.nodes.iter().filter_map(|node| {
            let inside = node.inside();
            let head = self.shared.group(node.group).primary() == Some(node.member);
            inside.up.then(|| Entry {
                name: node.name.clone(),
                address: node.address,
                zone: self.shared.zone(node.zone).to_string(),
                group: node.group as u64 + 1,
                head,
                started: inside.machine.started(),
                draining: false,
            })
        });
        self.agent.set_list(entries);
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
        for n in 0..self.shared.groups() {
            let able: Vec<usize> = self
                .nodes
                .iter()
                .filter(|node| node.group == n && node.inside().up)
                .map(|node| node.member)
                .collect();
            self.shared.group(n).elect(&able, crate::now());
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
            self.shared
                .group(node.group)
                .rejoin(node.member, crate::now());
        }
        std::thread::sleep(LIST_LATE.1);
        self.list();
        Ok(())
    }

    fn of<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Arc<Node>> {
        self.nodes
            .iter()
            .filter(move |node| self.shared.zone(node.zone) == zone)
    }

    /// What was counted so far.
    pub fn tally(&self) -> Tally {
        let (twice, spilled) = self.shared.counts();
        Tally {
            fallen: self
                .nodes
                .iter()
                .filter(|node| node.inside().machine.fallen())
                .count(),
            twice,
            spilled,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.iter().for_each(|node| node.die());
    }
}
