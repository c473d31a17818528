//! Costs of comparing lists, and errors of three methods of doing it.

mod common;

use common::{Network, SECOND, normal_conditions, partitioned, topic};
use plovercove_fanout::{
    Client, Declaration, Entry, MergeOutcome, Rules, State, Subscriber, SubscriptionTable,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Has subscribers of five topics each declare them at a gateway, without a network.
fn declare_subscribers(network: &mut Network, gateway: usize, names: std::ops::Range<usize>) {
    for n in names {
        let address = SocketAddr::from(([127, 9, (n / 250) as u8, 1], 9_000 + (n % 250) as u16));
        let identity = Subscriber {
            name: format!("l{n}").into(),
            boot: network.now,
            address,
            zone: "a".into(),
        };
        let mut client = Client::new(network.rules.clone(), identity, network.now, n as u64);
        for t in 0..5 {
            client
                .subscribe(&topic(&format!("nodes/{t}")))
                .expect("fewer topics than the maximum");
        }
        client.set_gateway(network.now, common::address(gateway));
        client.turn(network.now + SECOND);
        for (_, body) in client.take_outbox() {
            network.deliver_to_gateway(gateway, address, &body);
        }
    }
}

fn list_bytes(network: &Network) -> u64 {
    (0..3).map(|n| network.gateway(n).counts().lists).sum()
}

fn lists_are_equal(network: &Network) -> bool {
    let first = network.gateway_list(0);
    (1..3).all(|n| network.gateway_list(n) == first)
}

#[test]
fn comparison_bytes_grow_with_the_difference() {
    // No subscriber renews, so that only the comparison of lists sends datagrams.
    let rules = Rules {
        renew_ms: 600_000,
        ..Rules::default()
    };
    let mut network = Network::new(1, rules);
    for zone in 0..3 {
        declare_subscribers(&mut network, zone, zone * 900..zone * 900 + 667);
    }
    network.run_for(SECOND);
    let took = network
        .run_until(300 * SECOND, lists_are_equal)
        .expect("the lists become equal");
    let all = network.gateway_list(0).len();
    let list_bytes_estimate: u64 = network
        .gateway(0)
        .table()
        .live_entries()
        .map(|e| e.subscriber.name.len() as u64 + e.topic.name().len() as u64 + 28)
        .sum();
    println!(
        "{all} subscriptions, at all gateways after {took} us and {} bytes; a list has about {list_bytes_estimate} bytes",
        list_bytes(&network)
    );
    let mut names = 10_000;
    let mut last = 0;
    for differences in [10, 100, 1_000] {
        network.conditions = partitioned(|from, to| from == 0 || to == 0);
        network.run_for(SECOND);
        declare_subscribers(&mut network, 0, names..names + differences / 5);
        names += differences;
        network.run_for(10 * SECOND);
        let before = list_bytes(&network);
        network.conditions = normal_conditions();
        let bound = network.rules.convergence_bound(differences, 3);
        let took = network.run_until(bound, lists_are_equal);
        let bytes = list_bytes(&network) - before;
        let took = took.unwrap_or_else(|| panic!("{differences}: lists differ after {bound} us"));
        println!(
            "{differences} differences: {bytes} bytes among three gateways, {took} us of {bound}"
        );
        assert!(
            bytes > last && bytes < 4_000 * 10 + 4 * 600 * differences as u64,
            "{bytes}"
        );
        last = bytes;
    }
    assert!(
        last < 2 * list_bytes_estimate,
        "1,000 differences cost {last} bytes, sending the list to two gateways costs {}",
        2 * list_bytes_estimate
    );
}

/// A subscriber's change: its counter, the gateway, and whether it subscribes or unsubscribes.
#[derive(Clone, Copy)]
struct Change {
    subscriber: usize,
    counter: u64,
    gateway: usize,
    subscribes: bool,
}

/// A method to keep three lists equal.
trait Method {
    fn apply(&mut self, change: Change);
    /// Compares all lists with each other. Returns the bytes sent.
    fn compare(&mut self) -> u64;
    /// Returns the subscribers and their gateways, as listed by one gateway.
    fn list(&self, gateway: usize) -> BTreeSet<(usize, usize)>;
}

const ENTRY_BYTES: u64 = 45;

/// The subscriber's own counter decides which entry is newer.
struct SubscriberCounter([SubscriptionTable; 3]);

impl Method for SubscriberCounter {
    fn apply(&mut self, change: Change) {
        let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let name = change.subscriber.to_string().as_str().into();
        let subscriber = Subscriber {
            name,
            boot: 1,
            address,
            zone: common::ZONES[change.gateway].into(),
        };
        let topics = if change.subscribes {
            vec![topic("role/1")]
        } else {
            Vec::new()
        };
        let role = topic("role/1");
        let declaration = Declaration {
            subscriber: &subscriber,
            counter: change.counter,
            first: Some(&role),
            last: Some(&role),
            topics: &topics,
        };
        self.0[change.gateway].apply(1, &declaration);
    }

    fn compare(&mut self) -> u64 {
        let mut bytes = 0;
        for (a, b) in [(0, 1), (1, 2), (0, 2), (0, 1)] {
            for (from, to) in [(a, b), (b, a)] {
                let known: BTreeSet<Entry> = self.0[to].entries().cloned().collect();
                for entry in self.0[from].entries().cloned().collect::<Vec<_>>() {
                    if known.contains(&entry) {
                        continue;
                    }
                    // An ended entry is sent only to a gateway that has the subscriber.
                    if entry.state != State::Live
                        && !known
                            .iter()
                            .any(|k| k.subscriber.name == entry.subscriber.name)
                    {
                        continue;
                    }
                    bytes += ENTRY_BYTES;
                    if let MergeOutcome::Stale(newer) = self.0[to].merge(1, &entry) {
                        bytes += ENTRY_BYTES;
                        self.0[from].merge(1, &newer);
                    }
                }
            }
        }
        bytes
    }

    fn list(&self, gateway: usize) -> BTreeSet<(usize, usize)> {
        let zone = |z: &str| common::ZONES.iter().position(|n| *n == z).unwrap_or(9);
        self.0[gateway]
            .live_entries()
            .map(|e| {
                (
                    e.subscriber.name.parse().unwrap_or(9),
                    zone(&e.subscriber.zone),
                )
            })
            .collect()
    }
}

/// An observed-remove map: gateways number the entries that they add, and remember up to which number they have seen
/// each other's entries.
#[derive(Clone, Default)]
struct ObservedMap {
    dots: BTreeMap<(usize, u64), usize>,
    seen: BTreeMap<usize, u64>,
}

struct ObservedRemove([ObservedMap; 3]);

impl Method for ObservedRemove {
    fn apply(&mut self, change: Change) {
        let here = &mut self.0[change.gateway];
        here.dots
            .retain(|_, subscriber| *subscriber != change.subscriber);
        if change.subscribes {
            let number = here.seen.entry(change.gateway).or_default();
            *number += 1;
            here.dots
                .insert((change.gateway, *number), change.subscriber);
        }
    }

    fn compare(&mut self) -> u64 {
        let mut bytes = 0;
        for (a, b) in [(0, 1), (1, 2), (0, 2), (0, 1)] {
            let (left, right) = (self.0[a].clone(), self.0[b].clone());
            let seen = |side: &ObservedMap, dot: &(usize, u64)| {
                side.seen.get(&dot.0).is_some_and(|n| *n >= dot.1)
            };
            let mut dots = BTreeMap::new();
            for (side, other) in [(&left, &right), (&right, &left)] {
                bytes += 11 * side.seen.len() as u64;
                for (dot, subscriber) in &side.dots {
                    if other.dots.contains_key(dot) || !seen(other, dot) {
                        bytes += if other.dots.contains_key(dot) {
                            0
                        } else {
                            ENTRY_BYTES
                        };
                        dots.insert(*dot, *subscriber);
                    } else {
                        // The number of an entry, to report that it ended.
                        bytes += 11;
                    }
                }
            }
            let mut all = left.seen.clone();
            for (gateway, number) in &right.seen {
                let known = all.entry(*gateway).or_default();
                *known = (*known).max(*number);
            }
            self.0[a] = ObservedMap {
                dots: dots.clone(),
                seen: all.clone(),
            };
            self.0[b] = ObservedMap { dots, seen: all };
        }
        bytes
    }

    fn list(&self, gateway: usize) -> BTreeSet<(usize, usize)> {
        self.0[gateway]
            .dots
            .iter()
            .map(|((gateway, _), subscriber)| (*subscriber, *gateway))
            .collect()
    }
}

/// One gateway collects all lists, resolves conflicts by the last one received, and sends the complete result back.
struct CentralList([BTreeMap<usize, usize>; 3]);

impl Method for CentralList {
    fn apply(&mut self, change: Change) {
        self.0[change.gateway].remove(&change.subscriber);
        if change.subscribes {
            self.0[change.gateway].insert(change.subscriber, change.gateway);
        }
    }

    fn compare(&mut self) -> u64 {
        let mut all = self.0[0].clone();
        let mut bytes = 0;
        for list in &self.0[1..] {
            bytes += ENTRY_BYTES * list.len() as u64;
            all.extend(list.iter().map(|(subscriber, zone)| (*subscriber, *zone)));
        }
        bytes += 2 * ENTRY_BYTES * all.len() as u64;
        self.0 = [all.clone(), all.clone(), all];
        bytes
    }

    fn list(&self, gateway: usize) -> BTreeSet<(usize, usize)> {
        self.0[gateway]
            .iter()
            .map(|(subscriber, zone)| (*subscriber, *zone))
            .collect()
    }
}

/// Runs the same schedule with each method: 300 subscribers; then a partition into three parts, in which a tenth of them
/// move at least once and a twentieth unsubscribe, and one change in ten arrives a second time at the end. Returns the
/// wrong entries of all lists, and the bytes sent.
fn run_partition(method: &mut dyn Method, seed: u64) -> (usize, u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut wanted: BTreeMap<usize, (u64, Option<usize>)> = BTreeMap::new();
    for subscriber in 0..300 {
        method.apply(Change {
            subscriber,
            counter: 1,
            gateway: subscriber % 3,
            subscribes: true,
        });
        wanted.insert(subscriber, (1, Some(subscriber % 3)));
    }
    method.compare();
    let mut repeated = Vec::new();
    for _ in 0..45 {
        let subscriber = rng.random_range(0..300);
        let Some((counter, current)) = wanted.get(&subscriber).copied() else {
            continue;
        };
        let unsubscribes = rng.random_range(0..3) == 0;
        let to = rng.random_range(0..3);
        let to = if unsubscribes {
            current.unwrap_or(to)
        } else {
            to
        };
        let change = Change {
            subscriber,
            counter: counter + 1,
            gateway: to,
            subscribes: !unsubscribes,
        };
        method.apply(change);
        wanted.insert(subscriber, (counter + 1, (!unsubscribes).then_some(to)));
        if rng.random_range(0..10) == 0 {
            repeated.push(change);
        }
    }
    repeated.into_iter().for_each(|change| method.apply(change));
    let bytes = method.compare();
    let expected: BTreeSet<(usize, usize)> = wanted
        .iter()
        .filter_map(|(w, (_, at))| at.map(|at| (*w, at)))
        .collect();
    let wrong = (0..3)
        .map(|gateway| method.list(gateway).symmetric_difference(&expected).count())
        .sum();
    (wrong, bytes)
}

#[test]
fn the_subscriber_counter_is_never_wrong_and_other_methods_are() {
    let mut sums = [(0, 0); 3];
    for seed in 0..50 {
        let table = |zone: &str| SubscriptionTable::new(Rules::default(), zone);
        let counter = run_partition(&mut SubscriberCounter(common::ZONES.map(table)), seed);
        let observed = run_partition(&mut ObservedRemove(Default::default()), seed);
        let central = run_partition(&mut CentralList(Default::default()), seed);
        for (sum, (wrong, bytes)) in sums.iter_mut().zip([counter, observed, central]) {
            *sum = (sum.0 + wrong, sum.1 + bytes);
        }
    }
    for (name, (wrong, bytes)) in ["subscriber counter", "observed-remove map", "central list"]
        .iter()
        .zip(sums)
    {
        println!(
            "{name}: {wrong} wrong entries in 50 partitions, {} bytes each",
            bytes / 50
        );
    }
    assert_eq!(sums[0].0, 0);
    assert!(
        sums[1].0 > 0 && sums[2].0 > 0,
        "the schedule does not distinguish the methods: {sums:?}"
    );
}
