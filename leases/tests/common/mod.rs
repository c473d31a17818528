//! Routers with leases in virtual time. Each has a clock and a disk, and a test sets the conditions of the network.
#![allow(dead_code, missing_docs, reason = "each test uses a part of it")]

use plovercove::{Micros, Time};
use plovercove_fencing::{LeaseName, Token};
use plovercove_leases::{
    Guard, LeaseEvent, LeaseManager, Member, PersistedState, Rules, VoterConfig, VoterSet,
    WantedLease,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;
/// Time without contact after which a router is no longer a member for another one.
const MEMBER_TIMEOUT: Micros = 4 * S;

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Sample,
    UpdateMembers,
    /// Turn of a node's incarnation.
    Turn(usize, u64),
    /// A message arrives at a node.
    Arrive {
        to: usize,
        incarnation: u64,
        from: usize,
        from_incarnation: u64,
        body: Vec<u8>,
        delay: Micros,
    },
    /// A write to disk by a node's incarnation is complete.
    WriteDone(usize, u64, Vec<u8>),
}

/// A message that arrived at a stopped node.
struct WaitingMessage {
    from: usize,
    from_incarnation: u64,
    body: Vec<u8>,
    delay: Micros,
}

pub struct Node {
    pub manager: Option<LeaseManager>,
    pub incarnation: u64,
    pub is_stopped: bool,
    /// Rate of its clock: the clock shows the true time multiplied by the rate, plus the offset.
    pub rate: f64,
    pub offset: i64,
    pub disk: Option<Vec<u8>>,
    pub rules: Rules,
    /// Messages that arrived while the node was stopped.
    waiting: Vec<WaitingMessage>,
    pub events: Vec<(Time, LeaseEvent)>,
}

/// Returns the delay of each copy of a message that arrives; none if the message is lost. The parameters are the time, the
/// sender, the receiver, and the source of randomness.
pub type NetworkConditions = Box<dyn FnMut(Time, usize, usize, &mut Pcg64Mcg) -> Vec<Micros>>;

/// The simulated routers and the network between them.
pub struct Net {
    pub now: Time,
    pub nodes: Vec<Node>,
    pub wanted: Vec<WantedLease>,
    pub conditions: NetworkConditions,
    /// Whether the link from one node (first index) to another is cut.
    pub cut: Vec<Vec<bool>>,
    /// Descriptions of the violations seen so far.
    pub violations: Vec<String>,
    /// The actions seen under each lease.
    pub activity: BTreeMap<LeaseName, Activity>,
    /// Duration of a write to disk; with `None` it never completes.
    pub disk: Option<Micros>,
    pub rng: Pcg64Mcg,
    /// When each node (first index) last had contact with another.
    last_contact: Vec<Vec<Time>>,
    /// The members last reported to each node, as nodes and their incarnations.
    seen_members: Vec<Vec<(usize, u64)>>,
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    zones: usize,
    /// Number of messages and of bytes that each node has sent.
    pub sent: Vec<(u64, u64)>,
    /// Time between two samples of the acting holders.
    pub sample_interval: Micros,
}

/// The actions seen under one lease.
#[derive(Default, Clone)]
pub struct Activity {
    /// The node and incarnation that acted under each token.
    pub by_token: BTreeMap<Token, (usize, u64)>,
    /// The newest token of an action.
    pub newest: Token,
    /// Time of the latest action.
    pub last: Time,
    /// Longest time without an action.
    pub gap: Micros,
    /// Number of actions under a token older than the newest.
    pub stale_actions: u64,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n / 250) as u8, 1], 7_000 + (n % 250) as u16))
}

/// Returns the node with this address.
fn node_at(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = address else {
        return None;
    };
    Some(usize::from(v4.ip().octets()[2]) * 250 + usize::from(address.port()).checked_sub(7_000)?)
}

pub fn reliable_network() -> NetworkConditions {
    Box::new(|_, _, _, rng| vec![500 + rng.random_range(0..1_500)])
}

/// Loses, duplicates and delays messages, each with its own probability. Delays and duplicates take up to 5 s.
pub fn faulty_network(loss: f64, duplicate: f64, delay: f64) -> NetworkConditions {
    Box::new(move |_, _, _, rng| {
        if rng.random::<f64>() < loss {
            return Vec::new();
        }
        let mut delays = vec![500 + rng.random_range(0..1_500)];
        if rng.random::<f64>() < delay {
            delays[0] += rng.random_range(0..5 * S);
        }
        if rng.random::<f64>() < duplicate {
            delays.push(delays[0] + rng.random_range(0..5 * S));
        }
        delays
    })
}

pub fn rules(voters: usize) -> Rules {
    let voter = |n: usize| VoterConfig {
        name: format!("n{n}"),
        address: address(n),
    };
    Rules {
        installation: "test".into(),
        voters: VoterSet {
            generation: 1,
            members: (0..voters).map(voter).collect(),
            previous: Vec::new(),
        },
        lease_ms: 3_000,
        retry_ms: 200,
        ..Rules::default()
    }
}

pub fn rules_without(guard: Option<Guard>) -> Rules {
    Rules {
        disabled_guard: guard,
        ..rules(3)
    }
}

pub fn wanted_leases(count: usize) -> Vec<WantedLease> {
    (0..count)
        .map(|n| WantedLease {
            lease: lease(n),
            zone: None,
        })
        .collect()
}

pub fn lease(n: usize) -> LeaseName {
    LeaseName::new(&format!("positions/{n}")).expect("a valid name")
}

impl Net {
    pub fn new(routers: usize, wanted: Vec<WantedLease>, seed: u64, rules: &Rules) -> Self {
        let mut net = Net {
            now: 1_000 * S,
            nodes: Vec::new(),
            wanted,
            conditions: reliable_network(),
            cut: vec![vec![false; routers]; routers],
            violations: Vec::new(),
            activity: BTreeMap::new(),
            disk: Some(5 * MS),
            rng: Pcg64Mcg::seed_from_u64(seed),
            last_contact: vec![vec![0; routers]; routers],
            seen_members: vec![Vec::new(); routers],
            heap: BinaryHeap::new(),
            order: 0,
            zones: 3,
            sent: vec![(0, 0); routers],
            sample_interval: 10 * MS,
        };
        for n in 0..routers {
            let offset = net.rng.random_range(0..1_000 * S) as i64;
            let drift = rules.drift * 0.99;
            let rate = 1.0 + net.rng.random_range(-drift..drift);
            net.nodes.push(Node {
                manager: None,
                incarnation: 0,
                is_stopped: false,
                rate,
                offset,
                disk: None,
                rules: rules.clone(),
                waiting: Vec::new(),
                events: Vec::new(),
            });
            net.start(n);
        }
        net.update_members();
        net.schedule(net.now, Event::Sample);
        net.schedule(net.now, Event::UpdateMembers);
        net
    }

    pub fn member(&self, n: usize) -> Member {
        Member {
            name: format!("n{n}"),
            zone: ["a", "b", "c"][n % self.zones].into(),
            address: address(n),
            incarnation: self.nodes[n].incarnation,
        }
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, event)));
    }

    /// Returns the time on a node's clock.
    pub fn clock(&self, n: usize) -> Time {
        let node = &self.nodes[n];
        ((self.now as f64 * node.rate) as i64 + node.offset) as Time
    }

    pub fn is_up(&self, n: usize) -> bool {
        self.nodes[n].manager.is_some()
    }

    pub fn start(&mut self, n: usize) {
        if self.is_up(n) {
            return;
        }
        self.nodes[n].incarnation = self.nodes[n].incarnation.max(self.now) + 1;
        let (me, now, seed) = (self.member(n), self.clock(n), self.rng.random());
        let node = &mut self.nodes[n];
        let persisted = node
            .disk
            .as_ref()
            .and_then(|b| PersistedState::decode(b, &node.rules, &me.name).ok());
        let routers = self.cut.len() as u32;
        let mut manager = LeaseManager::new(node.rules.clone(), me, routers, now, seed, persisted);
        manager.set_wanted(now, self.wanted.clone());
        (node.manager, node.is_stopped) = (Some(manager), false);
        self.seen_members[n].clear();
        self.process_output(n);
    }

    pub fn kill(&mut self, n: usize) {
        let node = &mut self.nodes[n];
        (node.manager, node.is_stopped) = (None, false);
        node.waiting.clear();
    }

    pub fn stop(&mut self, n: usize) {
        self.nodes[n].is_stopped = self.is_up(n);
    }

    /// Resumes a stopped node. Its first action is the one that it was about to take when it was stopped.
    pub fn resume(&mut self, n: usize) {
        if !self.nodes[n].is_stopped {
            return;
        }
        self.nodes[n].is_stopped = false;
        self.sample();
        for message in std::mem::take(&mut self.nodes[n].waiting) {
            self.deliver(
                n,
                message.from,
                message.from_incarnation,
                &message.body,
                message.delay,
            );
        }
        self.turn(n);
    }

    /// Cuts the links between sets of nodes in both directions, or restores them.
    pub fn partition(&mut self, sides: &[&[usize]], is_cut: bool) {
        for (a, one) in sides.iter().enumerate() {
            for other in sides
                .iter()
                .enumerate()
                .filter(|(b, _)| *b != a)
                .map(|(_, o)| o)
            {
                for (x, y) in one.iter().flat_map(|x| other.iter().map(move |y| (*x, *y))) {
                    self.cut[x][y] = is_cut;
                }
            }
        }
    }

    /// Restores all links.
    pub fn heal(&mut self) {
        self.cut.iter_mut().flatten().for_each(|c| *c = false);
    }

    /// Calls the lease manager of a node at its local time, and processes the output.
    pub fn call<T>(
        &mut self,
        n: usize,
        action: impl FnOnce(&mut LeaseManager, Time) -> T,
    ) -> Option<T> {
        let now = self.clock(n);
        let result = self.nodes[n]
            .manager
            .as_mut()
            .map(|manager| action(manager, now));
        self.process_output(n);
        result
    }

    fn turn(&mut self, n: usize) {
        self.call(n, |manager, now| manager.turn(now));
    }

    fn deliver(&mut self, n: usize, from: usize, incarnation: u64, body: &[u8], delay: Micros) {
        let member = Member {
            incarnation,
            ..self.member(from)
        };
        self.call(n, |manager, now| manager.receive(now, &member, body, delay));
    }

    /// Takes the output of a node, and schedules the arrival of its messages, its write to disk and its next turn.
    fn process_output(&mut self, n: usize) {
        let (incarnation, clock, rate) =
            (self.nodes[n].incarnation, self.clock(n), self.nodes[n].rate);
        let Some(manager) = &mut self.nodes[n].manager else {
            return;
        };
        let (outbox, next, file) = (
            manager.take_outbox(),
            manager.next_turn(),
            manager.take_pending_write(),
        );
        let events: Vec<LeaseEvent> = std::iter::from_fn(|| manager.take_event()).collect();
        let now = self.now;
        self.nodes[n]
            .events
            .extend(events.into_iter().map(|event| (now, event)));
        for (to, body) in outbox {
            let Some(to) = node_at(to).filter(|n| *n < self.nodes.len()) else {
                continue;
            };
            let (bodies, bytes) = self.sent[n];
            self.sent[n] = (bodies + 1, bytes + body.len() as u64);
            if self.cut[n][to] {
                continue;
            }
            for transit in (self.conditions)(now, n, to, &mut self.rng) {
                let delay = transit.saturating_sub(500);
                let arrival = Event::Arrive {
                    to,
                    incarnation: self.nodes[to].incarnation,
                    from: n,
                    from_incarnation: incarnation,
                    body: body.clone(),
                    delay,
                };
                self.schedule(now + transit, arrival);
            }
        }
        if let (Some(file), Some(write_time)) = (file, self.disk) {
            self.schedule(now + write_time, Event::WriteDone(n, incarnation, file));
        }
        if next < Time::MAX {
            let wait = (next.saturating_sub(clock) as f64 / rate) as Micros + 1;
            self.schedule(now + wait, Event::Turn(n, incarnation));
        }
    }

    pub fn run(&mut self, duration: Micros) {
        let end = self.now + duration;
        while let Some(Reverse((at, _, _))) = self.heap.peek()
            && *at <= end
        {
            let Some(Reverse((at, _, event))) = self.heap.pop() else {
                break;
            };
            self.now = self.now.max(at);
            let is_active = |net: &Net, n: usize, incarnation: u64| {
                net.nodes[n].incarnation == incarnation && !net.nodes[n].is_stopped
            };
            match event {
                Event::Sample => {
                    self.sample();
                    self.schedule(self.now + self.sample_interval, Event::Sample);
                }
                Event::UpdateMembers => {
                    self.update_members();
                    self.schedule(self.now + S / 2, Event::UpdateMembers);
                }
                Event::Turn(n, incarnation) if is_active(self, n, incarnation) => {
                    let now = self.clock(n);
                    if self.nodes[n]
                        .manager
                        .as_ref()
                        .is_some_and(|manager| manager.next_turn() <= now)
                    {
                        self.turn(n);
                    }
                }
                Event::Arrive {
                    to,
                    incarnation,
                    from,
                    from_incarnation,
                    body,
                    delay,
                } => {
                    if is_active(self, to, incarnation) {
                        self.deliver(to, from, from_incarnation, &body, delay);
                    } else if self.nodes[to].incarnation == incarnation && self.is_up(to) {
                        self.nodes[to].waiting.push(WaitingMessage {
                            from,
                            from_incarnation,
                            body,
                            delay,
                        });
                    }
                }
                Event::WriteDone(n, incarnation, file)
                    if self.nodes[n].incarnation == incarnation && self.is_up(n) =>
                {
                    self.nodes[n].disk = Some(file);
                    if !self.nodes[n].is_stopped {
                        self.call(n, |manager, now| manager.complete_write(now));
                    }
                }
                _ => {}
            }
        }
        self.now = end;
    }

    /// Returns the members last reported to a node.
    pub fn members_seen_by(&self, n: usize) -> Vec<Member> {
        let member = |(m, incarnation): &(usize, u64)| Member {
            incarnation: *incarnation,
            ..self.member(*m)
        };
        self.seen_members[n].iter().map(member).collect()
    }

    /// Reports to each node the members that gossip would show it by now.
    fn update_members(&mut self) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                let is_alive = self.is_up(b) && !self.nodes[b].is_stopped;
                if is_alive && !self.cut[a][b] && !self.cut[b][a] {
                    self.last_contact[a][b] = self.now;
                }
            }
        }
        for a in 0..self.nodes.len() {
            if self.nodes[a].is_stopped || !self.is_up(a) {
                continue;
            }
            let is_seen = |b: &usize| {
                self.last_contact[a][*b] + MEMBER_TIMEOUT > self.now
                    && self.nodes[*b].incarnation > 0
            };
            let members_now: Vec<(usize, u64)> = (0..self.nodes.len())
                .filter(is_seen)
                .map(|b| (b, self.nodes[b].incarnation))
                .collect();
            if members_now == self.seen_members[a] {
                continue;
            }
            let members: Vec<Member> = members_now.iter().map(|(b, _)| self.member(*b)).collect();
            self.seen_members[a] = members_now;
            self.call(a, |manager, now| manager.set_members(now, members));
        }
    }

    /// Records which nodes may act at this moment of true time.
    fn sample(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].is_stopped {
                continue;
            }
            let (now, incarnation) = (self.clock(n), self.nodes[n].incarnation);
            let Some(manager) = &self.nodes[n].manager else {
                continue;
            };
            let held: Vec<(LeaseName, Token)> = manager
                .held_leases(now)
                .map(|(d, t)| (d.clone(), t))
                .collect();
            for (lease, token) in held {
                self.record_action(n, incarnation, lease, token);
            }
        }
    }

    /// Records an action under a lease, and a violation if its token is stale or belongs to another node.
    fn record_action(&mut self, n: usize, incarnation: u64, lease: LeaseName, token: Token) {
        let now = self.now;
        let activity = self.activity.entry(lease.clone()).or_default();
        let other = *activity.by_token.entry(token).or_insert((n, incarnation));
        let mut violations = Vec::new();
        if other != (n, incarnation) {
            violations.push(format!("{lease} {token}: n{n} and n{} hold it", other.0));
        }
        if token < activity.newest {
            activity.stale_actions += 1;
            violations.push(format!(
                "{lease}: n{n} acts with {token} after {} acted with {}",
                activity.by_token[&activity.newest].0, activity.newest
            ));
        }
        activity.newest = activity.newest.max(token);
        if activity.last > 0 {
            activity.gap = activity.gap.max(now - activity.last);
        }
        activity.last = now;
        if self.violations.len() < 20 {
            self.violations
                .extend(violations.into_iter().map(|text| format!("{now}: {text}")));
        }
    }

    /// Returns the nodes that may act under a lease now.
    pub fn acting_holders(&self, lease: &LeaseName) -> Vec<usize> {
        let may_act = |n: &usize| {
            let now = self.clock(*n);
            !self.nodes[*n].is_stopped
                && self.nodes[*n]
                    .manager
                    .as_ref()
                    .is_some_and(|manager| manager.may_act(now, lease).is_some())
        };
        (0..self.nodes.len()).filter(may_act).collect()
    }

    pub fn holder_of(&self, n: usize) -> usize {
        self.acting_holders(&lease(n))
            .first()
            .copied()
            .unwrap_or_else(|| panic!("lease {n} has no holder"))
    }

    /// Runs until a condition holds, and returns how long that took; `None` if it does not hold within the time.
    pub fn run_until(
        &mut self,
        within: Micros,
        mut condition: impl FnMut(&Net) -> bool,
    ) -> Option<Micros> {
        let from = self.now;
        while self.now < from + within {
            if condition(self) {
                return Some(self.now - from);
            }
            self.run(self.sample_interval);
        }
        condition(self).then(|| self.now - from)
    }

    /// Runs until each lease has exactly one holder.
    pub fn run_until_all_held(&mut self) -> Micros {
        let took = self.run_until(60 * S, Net::all_held);
        took.unwrap_or_else(|| {
            panic!(
                "leases without a holder: {:?}",
                self.leases_without_holder()
            )
        })
    }

    pub fn all_held(&self) -> bool {
        self.wanted
            .iter()
            .all(|w| self.acting_holders(&w.lease).len() == 1)
    }

    pub fn leases_without_holder(&self) -> Vec<&LeaseName> {
        self.wanted
            .iter()
            .map(|w| &w.lease)
            .filter(|d| self.acting_holders(d).is_empty())
            .collect()
    }

    pub fn assert_no_violations(&self) {
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }

    pub fn clear_gaps(&mut self) {
        self.activity.values_mut().for_each(|a| a.gap = 0);
    }

    pub fn longest_gap(&self) -> Micros {
        self.activity.values().map(|a| a.gap).max().unwrap_or(0)
    }
}
