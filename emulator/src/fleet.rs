//! The emulated db nodes with their groups and the agent, the failure and return of zones, and counters.

use crate::agent::{Agent, Entry};
use crate::node::Node;
use crate::shared::Shared;
use plovercove_simulation::node::NodeModel;
use plovercove_simulation::replication::Group;
use plovercove_simulation::{Spec, layout};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

/// Time until the list omits a node that has failed.
const LIST_DELAY_OF_FAILURE: Duration = Duration::from_millis(1_200);
/// Time until the list contains a node that has started.
const LIST_DELAY_OF_START: Duration = Duration::from_millis(900);
/// Time until a group that lost its primary elects another one.
const ELECTION_TIME: Duration = Duration::from_millis(2_500);

/// Counters over all nodes.
#[derive(Clone, Debug, Default)]
pub struct FleetCounts {
    /// Number of nodes that failed because of overload.
    pub fallen: usize,
    /// Number of writes that ran more than once.
    pub twice: usize,
    /// Work that each zone received from other zones, in seconds of work, by second since the start. Writes are not counted.
    pub spilled: Vec<Vec<f64>>,
}

/// Db nodes, and the agent that serves their list, on loopback sockets.
pub struct Fleet {
    shared: Arc<Shared>,
    nodes: Vec<Arc<Node>>,
    agent: Agent,
}

impl Fleet {
    /// Starts the nodes of a specification and the agent.
    ///
    /// # Errors
    /// A socket is not available.
    pub fn start(spec: &Spec, seed: u64) -> io::Result<Self> {
        let layout = layout(spec);
        let rate = spec.request_rate() * spec.write_share() / layout.groups.len() as f64;
        let apply = (spec.replication.apply_use / rate.max(1e-9) * 1e6) as u64;
        let ship = (spec.replication.ship_ms * 1e3) as u64;
        let group =
            |(members, head): (&Vec<usize>, &usize)| Group::new(members.len(), *head, ship, apply);
        let groups = layout
            .groups
            .iter()
            .zip(&layout.primaries)
            .map(group)
            .collect();
        let shared = Arc::new(Shared::new(spec.clone(), seed, groups));
        let mut nodes = Vec::new();
        for (n, place) in layout.placements.iter().enumerate() {
            let listener = TcpListener::bind(("127.0.0.1", 0))?;
            let machine = NodeModel::new(spec.node.clone(), 1.0, spec.mean_work_s());
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
        fleet.publish_list();
        Ok(fleet)
    }

    /// Returns the address of the agent.
    pub fn agent(&self) -> SocketAddr {
        self.agent.address()
    }

    /// Publishes the list of the running nodes.
    fn publish_list(&self) {
        let entries = self.nodes.iter().filter_map(|node| {
            let state = node.state();
            let head = self.shared.group(node.group).primary() == Some(node.member);
            state.up.then(|| Entry {
                name: node.name.clone(),
                address: node.address,
                zone: self.shared.zone(node.zone).to_string(),
                group: node.group as u64 + 1,
                head,
                started: state.machine.started_at(),
                draining: false,
            })
        });
        self.agent.set_list(entries);
    }

    /// Stops the nodes of a zone. Returns after the list was updated and the groups have elected new primaries.
    pub fn zone_down(&self, zone: &str) {
        let nodes: Vec<&Arc<Node>> = self.nodes_in(zone).collect();
        let now = crate::now();
        for node in &nodes {
            node.stop();
            let mut group = self.shared.group(node.group);
            if group.primary() == Some(node.member) {
                group.lose_primary(now);
            }
            group.disconnect(node.member, now);
        }
        std::thread::sleep(LIST_DELAY_OF_FAILURE);
        self.publish_list();
        std::thread::sleep(ELECTION_TIME.saturating_sub(LIST_DELAY_OF_FAILURE));
        for n in 0..self.shared.groups() {
            let candidates: Vec<usize> = self
                .nodes
                .iter()
                .filter(|node| node.group == n && node.state().up)
                .map(|node| node.member)
                .collect();
            self.shared.group(n).elect(&candidates, crate::now());
        }
        self.publish_list();
    }

    /// Starts the nodes of a zone again, with cold caches. Returns after the list was updated.
    ///
    /// # Errors
    /// The address of a node is no longer available.
    pub fn zone_up(&self, zone: &str) -> io::Result<()> {
        for node in self.nodes_in(zone) {
            node.start_again(&self.shared)?;
            self.shared
                .group(node.group)
                .reconnect(node.member, crate::now());
        }
        std::thread::sleep(LIST_DELAY_OF_START);
        self.publish_list();
        Ok(())
    }

    fn nodes_in<'a>(&'a self, zone: &'a str) -> impl Iterator<Item = &'a Arc<Node>> {
        self.nodes
            .iter()
            .filter(move |node| self.shared.zone(node.zone) == zone)
    }

    /// Returns the counters.
    pub fn counts(&self) -> FleetCounts {
        let (twice, spilled) = self.shared.counts();
        FleetCounts {
            fallen: self
                .nodes
                .iter()
                .filter(|node| node.state().machine.has_crashed())
                .count(),
            twice,
            spilled,
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.iter().for_each(|node| node.stop());
    }
}
