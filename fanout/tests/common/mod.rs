//! Gateways, publishers and subscribers in virtual time, with whatever weather a test makes between them.
#![allow(dead_code, missing_docs, reason = "each test uses a part of it")]

use plovercove::{Micros, Time};
use plovercove_fanout::{Client, Gateway, Publisher, Rules, Subscriber, SubscriptionEvent, Topic};
use plovercove_fencing::{LeaseName, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

pub const S: Micros = 1_000_000;
pub const BEGIN: Time = 1_000_000 * S;
pub const ZONES: [&str; 3] = ["a", "b", "c"];

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Turn(usize),
    Came {
        to: usize,
        from: usize,
        life: u32,
        bytes: Vec<u8>,
    },
}

/// One process: a gateway, a publisher or a subscriber.
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
    pub life: u32,
    held: Vec<(usize, Vec<u8>)>,
    due: Time,
    /// What a subscriber learnt, and when.
    pub news: Vec<(Time, SubscriptionEvent)>,
}

/// What the network does to a datagram: none where it is lost, else how often it comes and after how long.
pub type Weather = Box<dyn FnMut(Time, usize, usize, &mut Pcg64Mcg) -> Vec<Micros>>;

pub struct Net {
    pub now: Time,
    pub rules: Rules,
    pub hosts: Vec<Host>,
    pub weather: Weather,
    pub dice: Pcg64Mcg,
    /// The gateway of each zone, as the duties have it.
    pub owners: [(usize, Token); 3],
    /// Whether what comes to a process that stands still is lost.
    pub full: bool,
    /// When datagrams came to a host.
    pub came: BTreeMap<usize, Vec<Time>>,
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    order: u64,
    seed: u64,
}

pub fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (n / 250) as u8, 1], 7_000 + (n % 250) as u16))
}

pub fn topic(name: &str) -> Topic {
    Topic::new(name).expect("a name")
}

pub fn duty(name: &str) -> LeaseName {
    LeaseName::new(name).expect("a name")
}

pub fn calm() -> Weather {
    Box::new(|_, _, _, dice| vec![500 + dice.random_range(0..1_500)])
}

/// Lost with this chance, doubled with it, and one in ten is up to two seconds late.
pub fn rough(chance: f64) -> Weather {
    Box::new(move |_, _, _, dice| {
        let mut copies = Vec::new();
        for _ in 0..1 + u8::from(dice.random::<f64>() < chance) {
            if dice.random::<f64>() >= chance {
                let most = if dice.random::<f64>() < 0.1 {
                    2 * S
                } else {
                    2_000
                };
                copies.push(500 + dice.random_range(0..most));
            }
        }
        copies
    })
}

/// These cannot hear each other.
pub fn cut(apart: impl Fn(usize, usize) -> bool + 'static) -> Weather {
    Box::new(move |_, from, to, dice| {
        if apart(from, to) || apart(to, from) {
            Vec::new()
        } else {
            vec![500 + dice.random_range(0..1_500)]
        }
    })
}

impl Net {
    /// Three gateways, hosts 0 to 2.
    pub fn new(seed: u64, rules: Rules) -> Self {
        let mut net = Net {
            now: BEGIN,
            rules,
            hosts: Vec::new(),
            weather: calm(),
            dice: Pcg64Mcg::seed_from_u64(seed),
            owners: [0, 1, 2].map(|n| (n, Token(1))),
            full: false,
            came: BTreeMap::new(),
            heap: BinaryHeap::new(),
            order: 0,
            seed,
        };
        for zone in 0..3 {
            net.add_gateway(zone);
        }
        net.tell_owners();
        net
    }

    fn add(&mut self, zone: usize, role: Role) -> usize {
        let host = Host {
            role,
            zone,
            up: true,
            stopped: false,
            life: 0,
            held: Vec::new(),
            due: Time::MAX,
            news: Vec::new(),
        };
        self.hosts.push(host);
        self.wake(self.hosts.len() - 1);
        self.hosts.len() - 1
    }

    pub fn add_gateway(&mut self, zone: usize) -> usize {
        let n = self.hosts.len();
        let seed = self.seed ^ (n as u64) << 16;
        let gateway = Gateway::new(self.rules.clone(), ZONES[zone], address(n), self.now, seed)
            .expect("a zone");
        self.add(zone, Role::Gateway(Box::new(gateway)))
    }

    pub fn add_publisher(&mut self) -> usize {
        let seed = self.seed ^ (self.hosts.len() as u64) << 16;
        self.add(
            0,
            Role::Publisher(Box::new(Publisher::new(self.rules.clone(), self.now, seed))),
        )
    }

    fn client_of(&self, n: usize, name: &str, zone: usize) -> Client {
        let me = Subscriber {
            name: name.into(),
            boot: self.now,
            address: address(n),
            zone: ZONES[zone].into(),
        };
        Client::new(
            self.rules.clone(),
            me,
            self.now,
            self.seed ^ (n as u64) << 16 ^ self.now,
        )
    }

    pub fn add_client(&mut self, name: &str, zone: usize, topics: &[&str]) -> usize {
        let n = self.hosts.len();
        let mut client = self.client_of(n, name, zone);
        for name in topics {
            client.subscribe(&topic(name)).expect("few");
        }
        client.set_gateway(self.now, address(self.owners[zone].0));
        self.add(zone, Role::Client(Box::new(client)))
    }

    pub fn gateway(&self, n: usize) -> &Gateway {
        let Role::Gateway(gateway) = &self.hosts[n].role else {
            panic!("{n} is no gateway")
        };
        gateway
    }

    pub fn client(&self, n: usize) -> &Client {
        let Role::Client(client) = &self.hosts[n].role else {
            panic!("{n} is no subscriber")
        };
        client
    }

    /// Drives a subscriber by hand.
    pub fn with(&mut self, n: usize, act: impl FnOnce(&mut Client, Time)) {
        let now = self.now;
        let Role::Client(client) = &mut self.hosts[n].role else {
            panic!("{n} is no subscriber")
        };
        act(client, now);
        self.wake(n);
    }

    pub fn moves(&mut self, n: usize, zone: usize) {
        let to = address(self.owners[zone].0);
        self.hosts[n].zone = zone;
        self.with(n, |client, now| client.set_gateway(now, to));
    }

    /// Tells those that are up, and not stopped, who has which duty.
    pub fn tell_owners(&mut self) {
        for n in 0..self.hosts.len() {
            if self.hosts[n].up && !self.hosts[n].stopped {
                self.tell_owners_to(n);
            }
        }
    }

    pub fn tell_owners_to(&mut self, n: usize) {
        let (now, zone) = (self.now, self.hosts[n].zone);
        let owners = self.owners;
        let others: Vec<(String, SocketAddr, Token)> = owners
            .iter()
            .enumerate()
            .map(|(z, (n, token))| (ZONES[z].to_string(), address(*n), *token))
            .collect();
        match &mut self.hosts[n].role {
            Role::Gateway(gateway) => {
                gateway.set_token(now, (owners[zone].0 == n).then_some(owners[zone].1));
                gateway.set_gateways(now, &others);
            }
            Role::Publisher(publisher) => {
                publisher.set_gateways(now, &owners.map(|(n, _)| address(n)));
            }
            Role::Client(client) => client.set_gateway(now, address(owners[zone].0)),
        }
        self.wake(n);
    }

    pub fn publish(&mut self, n: usize, name: &str, token: Token, body: &[u8]) -> Option<u64> {
        let now = self.now;
        let Role::Publisher(publisher) = &mut self.hosts[n].role else {
            panic!("{n} is no publisher")
        };
        let number = publisher
            .publish(now, &topic(name), &duty(name), token, body)
            .ok();
        self.wake(n);
        number
    }

    pub fn kill(&mut self, n: usize) {
        self.hosts[n].up = false;
    }

    pub fn stop(&mut self, n: usize) {
        self.hosts[n].stopped = true;
    }

    /// It goes on: what came meanwhile is read first.
    pub fn go_on(&mut self, n: usize) {
        (self.hosts[n].stopped, self.hosts[n].due) = (false, Time::MAX);
        for (from, bytes) in std::mem::take(&mut self.hosts[n].held) {
            self.receive(n, from, &bytes);
        }
        self.wake(n);
    }

    fn at(&mut self, at: Time, event: Event) {
        self.order += 1;
        self.heap.push(Reverse((at, self.order, event)));
    }

    fn receive(&mut self, to: usize, from: usize, bytes: &[u8]) {
        let (now, from) = (self.now, address(from));
        // What cannot be taken is counted by who refuses it.
        let _ = match &mut self.hosts[to].role {
            Role::Gateway(gateway) => gateway.receive(now, from, bytes, 0),
            Role::Publisher(publisher) => publisher.receive(now, from, bytes, 0),
            Role::Client(client) => client.receive(now, from, bytes, 0),
        };
    }

    /// Hands a body to a gateway, from an address that no host has.
    pub fn feed(&mut self, n: usize, from: SocketAddr, body: &[u8]) {
        let now = self.now;
        let Role::Gateway(gateway) = &mut self.hosts[n].role else {
            panic!("{n} is no gateway")
        };
        gateway.receive(now, from, body, 0).expect("it takes it");
        self.wake(n);
    }

    pub fn run(&mut self, span: Micros) {
        let until = self.now + span;
        while let Some(Reverse((at, _, _))) = self.heap.peek()
            && *at <= until
        {
            let Some(Reverse((at, _, event))) = self.heap.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match event {
                Event::Turn(n) => {
                    let host = &mut self.hosts[n];
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
                    self.wake(n);
                }
                Event::Came {
                    to,
                    from,
                    life,
                    bytes,
                } => {
                    let host = &mut self.hosts[to];
                    if !host.up || host.life != life {
                        continue;
                    }
                    if host.stopped {
                        if !self.full {
                            host.held.push((from, bytes));
                        }
                        continue;
                    }
                    self.came.entry(to).or_default().push(self.now);
                    self.receive(to, from, &bytes);
                    self.wake(to);
                }
            }
        }
        self.now = until;
    }

    /// Sends what it has to send, and sees when it has to be driven next.
    fn wake(&mut self, n: usize) {
        let now = self.now;
        let Host { role, news, .. } = &mut self.hosts[n];
        let (out, next) = match role {
            Role::Gateway(gateway) => (gateway.take_outbox(), gateway.next_turn()),
            Role::Publisher(publisher) => (publisher.take_outbox(), publisher.next_turn()),
            Role::Client(client) => {
                while let Some(told) = client.take_event() {
                    news.push((now, told));
                }
                (client.take_outbox(), client.next_turn())
            }
        };
        for (to, bytes) in out {
            assert!(
                bytes.len() <= 1_100,
                "{} bytes do not fit a datagram",
                bytes.len()
            );
            let Some(to) = (0..self.hosts.len()).find(|n| address(*n) == to) else {
                continue;
            };
            for after in (self.weather)(now, n, to, &mut self.dice) {
                let life = self.hosts[to].life;
                self.at(
                    now + after,
                    Event::Came {
                        to,
                        from: n,
                        life,
                        bytes: bytes.clone(),
                    },
                );
            }
        }
        let next = next.max(now + 1);
        if next < self.hosts[n].due {
            self.hosts[n].due = next;
            self.at(next, Event::Turn(n));
        }
    }

    /// Runs until a condition holds; how long that took.
    pub fn until(&mut self, within: Micros, mut holds: impl FnMut(&Net) -> bool) -> Option<Micros> {
        let from = self.now;
        while self.now < from + within {
            if holds(self) {
                return Some(self.now - from);
            }
            self.run(S / 20);
        }
        holds(self).then(|| self.now - from)
    }

    /// What a gateway believes: who is told of what by which zone.
    pub fn list(&self, n: usize) -> BTreeSet<(String, String, String)> {
        let of = |e: &plovercove_fanout::Entry| {
            (
                e.subscriber.name.to_string(),
                e.topic.to_string(),
                e.subscriber.zone.to_string(),
            )
        };
        self.gateway(n).table().live_entries().map(of).collect()
    }

    /// What is so: by the wishes of the latest life of each name that is up.
    pub fn truth(&self) -> BTreeSet<(String, String, String)> {
        let mut latest: BTreeMap<String, (u64, usize)> = BTreeMap::new();
        for (n, host) in self.hosts.iter().enumerate() {
            if let (Role::Client(client), true) = (&host.role, host.up) {
                let at = latest
                    .entry(client.identity().name.to_string())
                    .or_default();
                *at = (*at).max((client.identity().boot, n));
            }
        }
        let of = |(name, (_, n)): (&String, &(u64, usize))| {
            let zone = ZONES[self.hosts[*n].zone].to_string();
            let topics: Vec<_> = self.client(*n).topics().map(|t| t.to_string()).collect();
            topics
                .into_iter()
                .map(|t| (name.clone(), t, zone.clone()))
                .collect::<Vec<_>>()
        };
        latest.iter().flat_map(of).collect()
    }

    /// Whether every gateway's list is the truth.
    pub fn equal(&self) -> bool {
        let truth = self.truth();
        self.owners
            .iter()
            .all(|(n, _)| !self.hosts[*n].up || self.list(*n) == truth)
    }

    /// What is wrong at the gateways, for a failing test to show: missing, and too many.
    pub fn wrong(&self) -> Vec<String> {
        let truth = self.truth();
        let of = |n: usize| {
            let list = self.list(n);
            let lacks: Vec<_> = truth.difference(&list).take(4).cloned().collect();
            let extra: Vec<_> = list.difference(&truth).take(4).cloned().collect();
            format!("gateway {n} lacks {lacks:?} and has {extra:?}")
        };
        self.owners.iter().map(|(n, _)| of(*n)).collect()
    }

    /// What is wrong with a subscriber's news: backwards, or with a hole of which it was not told.
    pub fn bad_news(&self, n: usize) -> Option<String> {
        let mut last: BTreeMap<String, (Token, u64)> = BTreeMap::new();
        for (_, news) in &self.hosts[n].news {
            let (topic, place, missed) = match news {
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
            if missed && topic.collapses() {
                continue;
            }
            let known = before.unwrap_or((Token::NONE, 0));
            if place < known || (!missed && place == known) {
                return Some(format!("{topic}: {place:?} after {known:?}"));
            }
            let next = place.0 == known.0 && place.1 == known.1 + 1;
            if !missed && !topic.collapses() && !next {
                return Some(format!(
                    "{topic}: {place:?} follows {known:?}, nothing told as missed"
                ));
            }
            last.insert(topic.name().into(), place);
        }
        None
    }
}
