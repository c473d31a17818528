//! Lease holders by a replicated log: the leader of the three log nodes writes which router holds which lease, and each
//! renewal is another entry. A holder outside of the log needs a lease all the same, which counts from the time of its request.

use crate::ROUTERS;
use crate::common::{MS, Net, address};
use plovercove::{Micros, Time};
use plovercove_leases::{Placement, Rules};
use raft::prelude::{Config, Message};
use raft::storage::MemStorage;
use raft::{RawNode, StateRole};
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// A tick of the log's clock. Heartbeats are sent every 2 ticks, and elections start after 10 to 20.
const TICK: Micros = 100 * MS;
/// Time for which a message is in flight.
const TRANSIT: Micros = MS;
/// Step of the simulation.
const STEP: Micros = 5 * MS;

/// A message in flight.
enum Sent {
    /// Between the nodes of the log.
    Log(Box<Message>),
    /// A router requests all leases that it should hold.
    Request {
        from: usize,
        requested_at: Time,
        leases: Vec<usize>,
    },
    /// The log grants these leases to the router, by its request of this time.
    Granted {
        requested_at: Time,
        leases: Vec<usize>,
    },
}

/// The state of a lease at a node of the log.
struct Entry {
    holder: usize,
    /// End of the lease by the clock of the log's node, from the time at which the node applied the entry.
    until: Time,
}

struct InFlight {
    arrives_at: Time,
    to: usize,
    message: Sent,
}

/// Routers whose leases a replicated log grants.
pub struct ReplicatedLog {
    pub net: Net,
    pub sent: u64,
    rules: Rules,
    /// Number of leases.
    leases: usize,
    nodes: Vec<RawNode<MemStorage>>,
    /// The leases by the applied entries of each node of the log.
    applied: Vec<BTreeMap<usize, Entry>>,
    /// For each router, the leases that it holds and their ends.
    held_until: Vec<BTreeMap<usize, Time>>,
    in_flight: Vec<InFlight>,
    next_tick: Time,
    next_request: Vec<Time>,
}

impl ReplicatedLog {
    pub fn new(net: Net, leases: usize, rules: &Rules) -> Self {
        let node = |id: u64| {
            let storage = MemStorage::new_with_conf_state((vec![1, 2, 3], vec![]));
            let config = Config {
                id,
                election_tick: 10,
                heartbeat_tick: 2,
                check_quorum: true,
                pre_vote: true,
                ..Config::default()
            };
            let quiet = slog::Logger::root(slog::Discard, slog::o!());
            RawNode::new(&config, storage, &quiet).expect("a node")
        };
        let now = net.now;
        ReplicatedLog {
            net,
            sent: 0,
            rules: rules.clone(),
            leases,
            nodes: (1..=3).map(node).collect(),
            applied: (0..3).map(|_| BTreeMap::new()).collect(),
            held_until: vec![BTreeMap::new(); ROUTERS],
            in_flight: Vec::new(),
            next_tick: now,
            next_request: (0..ROUTERS as u64).map(|n| now + n * 100 * MS).collect(),
        }
    }

    fn is_active(&self, n: usize) -> bool {
        self.net.is_up(n) && !self.net.nodes[n].is_stopped
    }

    /// Returns the nodes that may act under a lease now.
    pub fn acting(&self, lease: usize) -> Vec<usize> {
        let now = self.net.now;
        let may_act = |n: &usize| {
            self.is_active(*n)
                && self.held_until[*n]
                    .get(&lease)
                    .is_some_and(|until| now < *until)
        };
        (0..ROUTERS).filter(may_act).collect()
    }

    fn send(&mut self, from: usize, to: usize, message: Sent) {
        if from != to {
            self.sent += 1;
        }
        if from == to || !self.net.cut[from][to] {
            let transit = if from == to { 0 } else { TRANSIT };
            self.in_flight.push(InFlight {
                arrives_at: self.net.now + transit,
                to,
                message,
            });
        }
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.net.now + duration;
        while self.net.now < end {
            // The routers of the simulated network run as well, because they determine the visible members.
            self.net.run(STEP.min(end - self.net.now));
            let now = self.net.now;
            if now >= self.next_tick {
                self.next_tick = now + TICK;
                (0..3)
                    .filter(|n| self.is_active(*n))
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| {
                        self.nodes[n].tick();
                    });
            }
            (0..ROUTERS).for_each(|n| self.request_leases(n));
            // Messages that arrive within this step are handled and answered within it, so that the length of a step does
            // not slow down a round of the log.
            for _ in 0..8 {
                self.deliver();
                (0..3).for_each(|n| self.apply_ready(n));
            }
        }
    }

    /// Requests, once in each renewal interval, the leases that a router holds or should hold by the hash.
    fn request_leases(&mut self, n: usize) {
        let now = self.net.now;
        if now < self.next_request[n] || !self.is_active(n) {
            return;
        }
        self.next_request[n] = now + self.rules.renew_interval();
        let placement = Placement::new(&self.net.wanted, &self.net.members_seen_by(n));
        let is_mine = |lease: &usize| {
            placement.preferred_holder(&crate::common::lease(*lease)) == Some(address(n))
                || self.held_until[n].contains_key(lease)
        };
        let leases: Vec<usize> = (0..self.leases).filter(is_mine).collect();
        self.held_until[n].retain(|_, until| *until > now);
        for log_node in 0..3 {
            self.send(
                n,
                log_node,
                Sent::Request {
                    from: n,
                    requested_at: now,
                    leases: leases.clone(),
                },
            );
        }
    }

    /// Delivers the messages that arrive within this step.
    fn deliver(&mut self) {
        self.in_flight
            .sort_by_key(|in_flight| Reverse(in_flight.arrives_at));
        let step_end = self.net.now + STEP;
        let mut arrived = Vec::new();
        while self
            .in_flight
            .last()
            .is_some_and(|in_flight| in_flight.arrives_at <= step_end)
        {
            arrived.extend(self.in_flight.pop());
        }
        for InFlight { to, message, .. } in arrived {
            if !self.is_active(to) {
                continue;
            }
            match message {
                Sent::Log(message) => drop(self.nodes[to].step(*message)),
                Sent::Request {
                    from,
                    requested_at,
                    leases,
                } if self.nodes[to].raft.state == StateRole::Leader => {
                    let now = self.net.now;
                    let is_free = |lease: &usize| {
                        self.applied[to]
                            .get(lease)
                            .is_none_or(|entry| entry.holder == from || entry.until <= now)
                    };
                    for lease in leases.into_iter().filter(is_free) {
                        let entry = format!("{lease} {from} {requested_at}");
                        drop(self.nodes[to].propose(Vec::new(), entry.into_bytes()));
                    }
                }
                Sent::Request { .. } => {}
                Sent::Granted {
                    requested_at,
                    leases,
                } => {
                    let until = requested_at + self.rules.lease_at_holder();
                    let held_until = &mut self.held_until[to];
                    for lease in leases {
                        let old = held_until.entry(lease).or_default();
                        *old = until.max(*old);
                    }
                }
            }
        }
    }

    /// Sends the messages of a node of the log and applies its committed entries. The leader notifies the routers whose leases were granted.
    fn apply_ready(&mut self, n: usize) {
        if !self.is_active(n) || !self.nodes[n].has_ready() {
            return;
        }
        let node = &mut self.nodes[n];
        let mut ready = node.ready();
        let mut messages = ready.take_messages();
        let mut committed = ready.take_committed_entries();
        node.mut_store()
            .wl()
            .append(ready.entries())
            .expect("in-memory storage");
        if let Some(hard) = ready.hs() {
            node.mut_store().wl().set_hardstate(hard.clone());
        }
        messages.extend(ready.take_persisted_messages());
        let mut light = node.advance(ready);
        messages.extend(light.take_messages());
        committed.extend(light.take_committed_entries());
        node.advance_apply();
        let is_leader = node.raft.state == StateRole::Leader;
        for message in messages {
            let to = message.to as usize - 1;
            self.send(n, to, Sent::Log(Box::new(message)));
        }
        let now = self.net.now;
        let mut granted: BTreeMap<(usize, Time), Vec<usize>> = BTreeMap::new();
        for entry in committed {
            let text = String::from_utf8_lossy(&entry.data).into_owned();
            let numbers: Vec<u64> = text
                .split(' ')
                .filter_map(|word| word.parse().ok())
                .collect();
            let [lease, holder, requested_at] = numbers[..] else {
                continue;
            };
            let (lease, holder) = (lease as usize, holder as usize);
            // An entry of a former leader may be committed after one of its successor. It counts only if the lease was free at
            // the time of its request.
            let is_free = self.applied[n]
                .get(&lease)
                .is_none_or(|entry| entry.holder == holder || entry.until <= requested_at);
            if is_free {
                let until = now + self.rules.lease_at_voter(self.rules.lease_ms);
                self.applied[n].insert(lease, Entry { holder, until });
                granted
                    .entry((holder, requested_at))
                    .or_default()
                    .push(lease);
            }
        }
        for ((holder, requested_at), leases) in granted.into_iter().filter(|_| is_leader) {
            self.send(
                n,
                holder,
                Sent::Granted {
                    requested_at,
                    leases,
                },
            );
        }
    }
}
