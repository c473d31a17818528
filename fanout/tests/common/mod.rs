//! Simulates gateways, publishers and subscribers in virtual time, under network conditions that the test sets.
#![allow(
    dead_code,
    missing_docs,
    reason = "each test uses a part of this module"
)]

use plovercove::{Micros, Time};
use plovercove_fanout::{Client, Gateway, Publisher, Rules, Subscriber, SubscriptionEvent, Topic};
use plovercove_fencing::{LeaseName, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub const SECOND: Micros = 1_000_000;
pub const START: Time = 1_000_000 * SECOND;
pub const ZONES: [&str; 3] = ["a", "b", "c"];

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Turn(usize),
    Arrive {
        to: usize,
        from: usize,
        incarnation: u32,
        bytes: Vec<u8>,
    },
}

/// The role of a process.
pub enum Role {
    Gateway(Box<Gateway>),
    Publisher(Box<Publisher>),
    Client(Box<Client>),
}

pub struct Host {
    pub role: Role,
    pub zone: usize,
    pub up: bool,
    pub stopped: bool,
    pub incarnation: u32,
    buffered: Vec<(usize, Vec<u8>)>,
    due: Time,
    /// The events of a subscriber, with their times.
    pub events: Vec<(Time, SubscriptionEvent)>,
}

/// Network conditions: returns the delay of each copy of a datagram that arrives. No delays mean that the datagram is
/// lost.
pub type Conditions = Box<dyn FnMut(Time, usize, usize, &mut Pcg64Mcg) -> Vec<Micros>>;

pub struct Network {
    pub now: Time,
    pub rules: Rules,
    pub hosts: Vec<Host>,
    pub conditions: Conditions,
    pub rng: Pcg64Mcg,
    /// The host and token of the holder of each zone's gateway lease.
    pub lease_holders: [(usize, Token); 3],
    /// Whether datagrams to a stopped process are lost. Otherwise they are buffered until it resumes.
    pub drops_when_stopped: bool,
    /// Arrival times of datagrams at each host.
    pub arrivals: BTreeMap<usize, Vec<Time>>,
    queue: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
    seed: u64,
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, (index / 250) as u8, 1],
        7_000 + (index % 250) as u16,
    ))
}

pub fn topic(name: &str) -> Topic {
    Topic::new(name).expect("a valid name")
}

pub fn lease_name(name: &str) -> LeaseName {
    LeaseName::new(name).expect("a valid name")
}

pub fn normal_conditions() -> Conditions {
    Box::new(|_, _, _, rng| vec![500 + rng.random_range(0..1_500)])
}

/// Loses a datagram with this probability, duplicates it with the same one, and delays one copy in ten by up to two
/// seconds.
pub fn lossy_conditions(probability: f64) -> Conditions {
    Box::new(move |_, _, _, rng| {
        let mut copies = Vec::new();
        for _ in 0..1 + u8::from(rng.random::<f64>() < probability) {
            if rng.random::<f64>() >= probability {
                let max_delay = if rng.random::<f64>() < 0.1 {
                    2 * SECOND
                } else {
                    2_000
                };
                copies.push(500 + rng.random_range(0..max_delay));
            }
        }
        copies
    })
}

/// Loses all datagrams in both directions between the hosts for which `is_cut` holds.
pub fn partitioned(is_cut: impl Fn(usize, usize) -> bool + 'static) -> Conditions {
    Box::new(move |_, from, to, rng| {
        if is_cut(from, to) || is_cut(to, from) {
            Vec::new()
        } else {
            vec![500 + rng.random_range(0..1_500)]
        }
    })
}

impl Network {
    /// Creates a network with three gateways, hosts 0 to 2.
    pub fn new(seed: u64, rules: Rules) -> Self {
        let mut network = Network {
            now: START,
            rules,
            hosts: Vec::new(),
            conditions: normal_conditions(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            lease_holders: [0, 1, 2].map(|index| (index, Token(1))),
            drops_when_stopped: false,
            arrivals: BTreeMap::new(),
            queue: BinaryHeap::new(),
            sequence: 0,
            seed,
        };
        for zone in 0..3 {
            network.add_gateway(zone);
        }
        network.notify_lease_holders();
        network
    }

    fn add(&mut self, zone: usize, role: Role) -> usize {
        let host = Host {
            role,
            zone,
            up: true,
            stopped: false,
            incarnation: 0,
            buffered: Vec::new(),
            due: Time::MAX,
            events: Vec::new(),
        };
        self.hosts.push(host);
        self.wake(self.hosts.len() - 1);
        self.hosts.len() - 1
    }

    pub fn add_gateway(&mut self, zone: usize) -> usize {
        let index = self.hosts.len();
        let seed = self.seed ^ (index as u64) << 16;
        let gateway = Gateway::new(
            self.rules.clone(),
            ZONES[zone],
            address(index),
            self.now,
            seed,
        )
        .expect("a valid zone");
        self.add(zone, Role::Gateway(Box::new(gateway)))
    }

    pub fn add_publisher(&mut self) -> usize {
        let seed = self.seed ^ (self.hosts.len() as u64) << 16;
        self.add(
            0,
            Role::Publisher(Box::new(Publisher::new(self.rules.clone(), self.now, seed))),
        )
    }

    fn new_client(&self, index: usize, name: &str, zone: usize) -> Client {
        let identity = Subscriber {
            name: name.into(),
            boot: self.now,
            address: address(index),
            zone: ZONES[zone].into(),
        };
        Client::new(
            self.rules.clone(),
            identity,
            self.now,
            self.seed ^ (index as u64) << 16 ^ self.now,
        )
    }

    pub fn add_client(&mut self, name: &str, zone: usize, topics: &[&str]) -> usize {
        let index = self.hosts.len();
        let mut client = self.new_client(index, name, zone);
        for name in topics {
            client
                .subscribe(&topic(name))
                .expect("fewer topics than the maximum");
        }
        client.set_gateway(self.now, address(self.lease_holders[zone].0));
        self.add(zone, Role::Client(Box::new(client)))
    }

    pub fn gateway(&self, index: usize) -> &Gateway {
        let Role::Gateway(gateway) = &self.hosts[index].role else {
            panic!("host {index} is not a gateway")
        };
        gateway
    }

    pub fn client(&self, index: usize) -> &Client {
        let Role::Client(client) = &self.hosts[index].role else {
            panic!("host {index} is not a subscriber")
        };
        client
    }

    /// Calls a function on a subscriber's client.
    pub fn with_client(&mut self, index: usize, action: impl FnOnce(&mut Client, Time)) {
        let now = self.now;
        let Role::Client(client) = &mut self.hosts[index].role else {
            panic!("host {index} is not a subscriber")
        };
        action(client, now);
        self.wake(index);
    }

    pub fn move_client(&mut self, index: usize, zone: usize) {
        let to = address(self.lease_holders[zone].0);
        self.hosts[index].zone = zone;
        self.with_client(index, |client, now| client.set_gateway(now, to));
    }

    /// Notifies all running hosts of the current lease holders.
    pub fn notify_lease_holders(&mut self) {
        for index in 0..self.hosts.len() {
            if self.hosts[index].up && !self.hosts[index].stopped {
                self.notify_lease_holders_to(index);
            }
        }
    }

    pub fn notify_lease_holders_to(&mut self, index: usize) {
        let (now, zone) = (self.now, self.hosts[index].zone);
        let lease_holders = self.lease_holders;
        let gateways: Vec<(String, SocketAddr, Token)> = lease_holders
            .iter()
            .enumerate()
            .map(|(z, (index, token))| (ZONES[z].to_string(), address(*index), *token))
            .collect();
        match &mut self.hosts[index].role {
            Role::Gateway(gateway) => {
                gateway.set_token(
                    now,
                    (lease_holders[zone].0 == index).then_some(lease_holders[zone].1),
                );
                gateway.set_gateways(now, &gateways);
            }
            Role::Publisher(publisher) => {
                publisher.set_gateways(now, &lease_holders.map(|(index, _)| address(index)));
            }
            Role::Client(client) => client.set_gateway(now, address(lease_holders[zone].0)),
        }
        self.wake(index);
    }

    pub fn publish(&mut self, index: usize, name: &str, token: Token, body: &[u8]) -> Option<u64> {
        let now = self.now;
        let Role::Publisher(publisher) = &mut self.hosts[index].role else {
            panic!("host {index} is not a publisher")
        };
        let number = publisher
            .publish(now, &topic(name), &lease_name(name), token, body)
            .ok();
        self.wake(index);
        number
    }

    pub fn kill(&mut self, index: usize) {
        self.hosts[index].up = false;
    }

    pub fn stop(&mut self, index: usize) {
        self.hosts[index].stopped = true;
    }

    /// Resumes a stopped host, which reads the buffered datagrams first.
    pub fn resume(&mut self, index: usize) {
        (self.hosts[index].stopped, self.hosts[index].due) = (false, Time::MAX);
        for (from, bytes) in std::mem::take(&mut self.hosts[index].buffered) {
            self.receive(index, from, &bytes);
        }
        self.wake(index);
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, event)));
    }

    fn receive(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let (now, from) = (self.now, address(from));
        // The receiver counts what it rejects.
        let _ = match &mut self.hosts[to].role {
            Role::Gateway(gateway) => gateway.receive(now, from, bytes, 0),
            Role::Publisher(publisher) => publisher.receive(now, from, bytes, 0),
            Role::Client(client) => client.receive(now, from, bytes, 0),
        };
    }

    /// Delivers a body to a gateway from an address that no host has.
    pub fn deliver_to_gateway(&mut self, index: usize, from: SocketAddr, body: &[u8]) {
        let now = self.now;
        let Role::Gateway(gateway) = &mut self.hosts[index].role else {
            panic!("host {index} is not a gateway")
        };
        gateway
            .receive(now, from, body, 0)
            .expect("the gateway accepts the body");
        self.wake(index);
    }

    pub fn run_for(&mut self, duration: Micros) {
        let until = self.now + duration;
        while let Some(Reverse((at, _, _))) = self.queue.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.queue.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match event {
                Event::Turn(index) => {
                    let host = &mut self.hosts[index];
                    if host.due > self.now || !host.up || host.stopped {
                        continue;
                    }
                    host.due = Time::MAX;
                    let now = self.now;
                    match &mut host.role {
                        Role::Gateway(gateway) => gateway.turn(now),
                        Role::Publisher(publisher) => publisher.turn(now),
                        Role::Client(client) => client.turn(now),
                    }
                    self.wake(index);
                }
                Event::Arrive {
                    to,
                    from,
                    incarnation,
                    bytes,
                } => {
                    let host = &mut self.hosts[to];
                    if !host.up || host.incarnation != incarnation {
                        continue;
                    }
                    if host.stopped {
                        if !self.drops_when_stopped {
                            host.buffered.push((from, bytes));
                        }
                        continue;
                    }
                    self.arrivals.entry(to).or_default().push(self.now);
                    self.receive(to, from, &bytes);
                    self.wake(to);
                }
            }
        }
        self.now = until;
    }

    /// Sends what the host has to send, and schedules its next turn.
    fn wake(&mut self, index: usize) {
        let now = self.now;
        let Host { role, events, .. } = &mut self.hosts[index];
        let (bodies, next) = match role {
            Role::Gateway(gateway) => (gateway.take_outbox(), gateway.next_turn()),
            Role::Publisher(publisher) => (publisher.take_outbox(), publisher.next_turn()),
            Role::Client(client) => {
                while let Some(event) = client.take_event() {
                    events.push((now, event));
                }
                (client.take_outbox(), client.next_turn())
            }
        };
        for (to, bytes) in bodies {
            assert!(
                bytes.len() <= 1_100,
                "{} bytes do not fit a datagram",
                bytes.len()
            );
            let Some(to) = (0..self.hosts.len()).find(|index| address(*index) == to) else {
                continue;
            };
            for delay in (self.conditions)(now, index, to, &mut self.rng) {
                let incarnation = self.hosts[to].incarnation;
                self.schedule(
                    now + delay,
                    Event::Arrive {
                        to,
                        from: index,
                        incarnation,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        let next = next.max(now + 1);
        if next < self.hosts[index].due {
            self.hosts[index].due = next;
            self.schedule(next, Event::Turn(index));
        }
    }

    /// Runs until a condition holds. Returns how long that took, or `None` if it took longer than `limit`.
    pub fn run_until(
        &mut self,
        limit: Micros,
        mut condition: impl FnMut(&Network) -> bool,
    ) -> Option<Micros> {
        let start = self.now;
        while self.now < start + limit {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run_for(SECOND / 20);
        }
        condition(self).then(|| self.now - start)
    }

    /// Returns the live entries of a gateway's list as subscriber, topic and zone.
    pub fn gateway_list(&self, index: usize) -> BTreeSet<(String, String, String)> {
        let key = |entry: &plovercove_fanout::Entry| {
            (
                entry.subscriber.name.to_string(),
                entry.topic.to_string(),
                entry.subscriber.zone.to_string(),
            )
        };
        self.gateway(index)
            .table()
            .live_entries()
            .map(key)
            .collect()
    }

    /// Returns the list that all gateways should have: the topics of the latest running incarnation of each name.
    pub fn expected_list(&self) -> BTreeSet<(String, String, String)> {
        let mut latest: BTreeMap<String, (u64, usize)> = BTreeMap::new();
        for (index, host) in self.hosts.iter().enumerate() {
            if let (Role::Client(client), true) = (&host.role, host.up) {
                let newest = latest
                    .entry(client.identity().name.to_string())
                    .or_default();
                *newest = (*newest).max((client.identity().boot, index));
            }
        }
        let wanted = |(name, (_, index)): (&String, &(u64, usize))| {
            let zone = ZONES[self.hosts[*index].zone].to_string();
            let topics: Vec<_> = self
                .client(*index)
                .topics()
                .map(|t| t.to_string())
                .collect();
            topics
                .into_iter()
                .map(|t| (name.clone(), t, zone.clone()))
                .collect::<Vec<_>>()
        };
        latest.iter().flat_map(wanted).collect()
    }

    /// Returns whether all running gateways have the expected list.
    pub fn lists_are_correct(&self) -> bool {
        let expected = self.expected_list();
        self.lease_holders
            .iter()
            .all(|(index, _)| !self.hosts[*index].up || self.gateway_list(*index) == expected)
    }

    /// Describes missing and unexpected entries of the gateways' lists, for the message of a failing test.
    pub fn list_differences(&self) -> Vec<String> {
        let expected = self.expected_list();
        let describe = |index: usize| {
            let list = self.gateway_list(index);
            let missing: Vec<_> = expected.difference(&list).take(4).cloned().collect();
            let unexpected: Vec<_> = list.difference(&expected).take(4).cloned().collect();
            format!("gateway {index} lacks {missing:?} and has {unexpected:?} in excess")
        };
        self.lease_holders
            .iter()
            .map(|(index, _)| describe(*index))
            .collect()
    }

    /// Returns what is wrong with a subscriber's events: numbers that go back, or a gap that was not reported as
    /// missed.
    pub fn event_fault(&self, index: usize) -> Option<String> {
        let mut last: BTreeMap<String, (Token, u64)> = BTreeMap::new();
        for (_, event) in &self.hosts[index].events {
            let (topic, position, is_missed) = match event {
                SubscriptionEvent::Item {
                    topic,
                    token,
                    number,
                    ..
                } => (topic, (*token, *number), false),
                SubscriptionEvent::Missed {
                    topic,
                    token,
                    through,
                } => (topic, (*token, *through), true),
                _ => continue,
            };
            let before = last.get(topic.name()).copied();
            if is_missed && topic.collapses() {
                continue;
            }
            let known = before.unwrap_or((Token::NONE, 0));
            if position < known || (!is_missed && position == known) {
                return Some(format!("{topic}: {position:?} after {known:?}"));
            }
            let is_next = position.0 == known.0 && position.1 == known.1 + 1;
            if !is_missed && !topic.collapses() && !is_next {
                return Some(format!(
                    "{topic}: {position:?} follows {known:?}, and nothing was reported as missed"
                ));
            }
            last.insert(topic.name().into(), position);
        }
        None
    }
}
