//! What reconciling costs, and what three ways of it get wrong.

mod common;

use common::{Net, S, calm, cut, topic};
use plovercove_fanout::{
    Client, Declaration, Entry, MergeOutcome, Rules, State, Subscriber, SubscriptionTable,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Has so many subscribers of five topics each say so at a gateway, without a network between.
fn fill(net: &mut Net, gateway: usize, names: std::ops::Range<usize>) {
    for n in names {
        let address = SocketAddr::from(([127, 9, (n / 250) as u8, 1], 9_000 + (n % 250) as u16));
        let me = Subscriber {
            name: format!("l{n}").into(),
            boot: net.now,
            address,
            zone: "a".into(),
        };
        let mut client = Client::new(net.rules.clone(), me, net.now, n as u64);
        for t in 0..5 {
            client
                .subscribe(&topic(&format!("nodes/{t}")))
                .expect("few");
        }
        client.set_gateway(net.now, common::address(gateway));
        client.turn(net.now + S);
        for (_, body) in client.take_outbox() {
            net.feed(gateway, address, &body);
        }
    }
}

fn lists(net: &Net) -> u64 {
    (0..3).map(|n| net.gateway(n).counts().lists).sum()
}

fn alike(net: &Net) -> bool {
    let first = net.list(0);
    (1..3).all(|n| net.list(n) == first)
}

#[test]
fn bytes_grow_with_the_difference() {
    // Nobody renews here: the lists alone are looked at.
    let rules = Rules {
        renew_ms: 600_000,
        ..Rules::default()
    };
    let mut net = Net::new(1, rules);
    for zone in 0..3 {
        fill(&mut net, zone, zone * 900..zone * 900 + 667);
    }
    net.run(S);
    let took = net.until(300 * S, alike).expect("they become alike");
    let all = net.list(0).len();
    let whole: u64 = net
        .gateway(0)
        .table()
        .live_entries()
        .map(|e| e.subscriber.name.len() as u64 + e.topic.name().len() as u64 + 28)
        .sum();
    println!(
        "{all} subscriptions, filled at all in {took} us with {} bytes; a list is about {whole} bytes",
        lists(&net)
    );
    let mut names = 10_000;
    let mut last = 0;
    for differences in [10, 100, 1_000] {
        net.weather = cut(|from, to| from == 0 || to == 0);
        net.run(S);
        fill(&mut net, 0, names..names + differences / 5);
        names += differences;
        net.run(10 * S);
        let before = lists(&net);
        net.weather = calm();
        let bound = net.rules.convergence_bound(differences, 3);
        let took = net.until(bound, alike);
        let bytes = lists(&net) - before;
        let took = took.unwrap_or_else(|| panic!("{differences}: not by {bound} us"));
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
        last < 2 * whole,
        "1,000 differences cost {last} bytes, sending all to two {}",
        2 * whole
    );
}

/// One word of a subscriber: its number, the gateway, and whether it holds.
#[derive(Clone, Copy)]
struct Word {
    who: usize,
    counter: u64,
    to: usize,
    holds: bool,
}

/// Ways of keeping three lists equal.
trait Way {
    fn says(&mut self, word: Word);
    /// Compares all with all; the bytes that were sent.
    fn compare(&mut self) -> u64;
    /// Who is told by which gateway, at one of them.
    fn list(&self, at: usize) -> BTreeSet<(usize, usize)>;
}

const ENTRY: u64 = 45;

/// The subscriber's own number decides.
struct Own([SubscriptionTable; 3]);

impl Way for Own {
    fn says(&mut self, word: Word) {
        let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
        let name = word.who.to_string().as_str().into();
        let subscriber = Subscriber {
            name,
            boot: 1,
            address,
            zone: common::ZONES[word.to].into(),
        };
        let topics = if word.holds {
            vec![topic("role/1")]
        } else {
            Vec::new()
        };
        let role = topic("role/1");
        let declaration = Declaration {
            subscriber: &subscriber,
            counter: word.counter,
            first: Some(&role),
            last: Some(&role),
            topics: &topics,
        };
        self.0[word.to].apply(1, &declaration);
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
                    // What ended is told only where the other still has it.
                    if entry.state != State::Live
                        && !known
                            .iter()
                            .any(|k| k.subscriber.name == entry.subscriber.name)
                    {
                        continue;
                    }
                    bytes += ENTRY;
                    if let MergeOutcome::Stale(newer) = self.0[to].merge(1, &entry) {
                        bytes += ENTRY;
                        self.0[from].merge(1, &newer);
                    }
                }
            }
        }
        bytes
    }

    fn list(&self, at: usize) -> BTreeSet<(usize, usize)> {
        let zone = |z: &str| common::ZONES.iter().position(|n| *n == z).unwrap_or(9);
        self.0[at]
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

/// An observed-remove map: gateways number what they add, and remember how far they know each other's numbers.
#[derive(Clone, Default)]
struct Seen {
    dots: BTreeMap<(usize, u64), usize>,
    knows: BTreeMap<usize, u64>,
}

struct Observed([Seen; 3]);

impl Way for Observed {
    fn says(&mut self, word: Word) {
        let here = &mut self.0[word.to];
        here.dots.retain(|_, who| *who != word.who);
        if word.holds {
            let number = here.knows.entry(word.to).or_default();
            *number += 1;
            here.dots.insert((word.to, *number), word.who);
        }
    }

    fn compare(&mut self) -> u64 {
        let mut bytes = 0;
        for (a, b) in [(0, 1), (1, 2), (0, 2), (0, 1)] {
            let (left, right) = (self.0[a].clone(), self.0[b].clone());
            let knows = |side: &Seen, dot: &(usize, u64)| {
                side.knows.get(&dot.0).is_some_and(|n| *n >= dot.1)
            };
            let mut dots = BTreeMap::new();
            for (side, other) in [(&left, &right), (&right, &left)] {
                bytes += 11 * side.knows.len() as u64;
                for (dot, who) in &side.dots {
                    if other.dots.contains_key(dot) || !knows(other, dot) {
                        bytes += if other.dots.contains_key(dot) {
                            0
                        } else {
                            ENTRY
                        };
                        dots.insert(*dot, *who);
                    } else {
                        // Its number, to say that it ended.
                        bytes += 11;
                    }
                }
            }
            let mut all = left.knows.clone();
            for (gateway, number) in &right.knows {
                let known = all.entry(*gateway).or_default();
                *known = (*known).max(*number);
            }
            self.0[a] = Seen {
                dots: dots.clone(),
                knows: all.clone(),
            };
            self.0[b] = Seen { dots, knows: all };
        }
        bytes
    }

    fn list(&self, at: usize) -> BTreeSet<(usize, usize)> {
        self.0[at]
            .dots
            .iter()
            .map(|((gateway, _), who)| (*who, *gateway))
            .collect()
    }
}

/// One of them gathers all lists, decides by what it was told last, and sends the result back whole.
struct OneOwner([BTreeMap<usize, usize>; 3]);

impl Way for OneOwner {
    fn says(&mut self, word: Word) {
        self.0[word.to].remove(&word.who);
        if word.holds {
            self.0[word.to].insert(word.who, word.to);
        }
    }

    fn compare(&mut self) -> u64 {
        let mut all = self.0[0].clone();
        let mut bytes = 0;
        for list in &self.0[1..] {
            bytes += ENTRY * list.len() as u64;
            all.extend(list.iter().map(|(who, zone)| (*who, *zone)));
        }
        bytes += 2 * ENTRY * all.len() as u64;
        self.0 = [all.clone(), all.clone(), all];
        bytes
    }

    fn list(&self, at: usize) -> BTreeSet<(usize, usize)> {
        self.0[at].iter().map(|(who, zone)| (*who, *zone)).collect()
    }
}

/// The same schedule for each way: 300 subscribers, then a partition in three in which a tenth moves once or more, a
/// twentieth leaves, and one word in ten comes once more at its end. Wrong entries at all lists, and bytes.
fn play(way: &mut dyn Way, seed: u64) -> (usize, u64) {
    let mut dice = Pcg64Mcg::seed_from_u64(seed);
    let mut wants: BTreeMap<usize, (u64, Option<usize>)> = BTreeMap::new();
    for who in 0..300 {
        way.says(Word {
            who,
            counter: 1,
            to: who % 3,
            holds: true,
        });
        wants.insert(who, (1, Some(who % 3)));
    }
    way.compare();
    let mut again = Vec::new();
    for _ in 0..45 {
        let who = dice.random_range(0..300);
        let Some((counter, at)) = wants.get(&who).copied() else {
            continue;
        };
        let leaves = dice.random_range(0..3) == 0;
        let to = dice.random_range(0..3);
        let to = if leaves { at.unwrap_or(to) } else { to };
        let word = Word {
            who,
            counter: counter + 1,
            to,
            holds: !leaves,
        };
        way.says(word);
        wants.insert(who, (counter + 1, (!leaves).then_some(to)));
        if dice.random_range(0..10) == 0 {
            again.push(word);
        }
    }
    again.into_iter().for_each(|word| way.says(word));
    let bytes = way.compare();
    let truth: BTreeSet<(usize, usize)> = wants
        .iter()
        .filter_map(|(w, (_, at))| at.map(|at| (*w, at)))
        .collect();
    let wrong = (0..3)
        .map(|at| way.list(at).symmetric_difference(&truth).count())
        .sum();
    (wrong, bytes)
}

#[test]
fn the_subscribers_own_number_is_never_wrong_and_the_other_ways_are() {
    let mut sums = [(0, 0); 3];
    for seed in 0..50 {
        let table = |zone: &str| SubscriptionTable::new(Rules::default(), zone);
        let own = play(&mut Own(common::ZONES.map(table)), seed);
        let observed = play(&mut Observed(Default::default()), seed);
        let one = play(&mut OneOwner(Default::default()), seed);
        for (sum, (wrong, bytes)) in sums.iter_mut().zip([own, observed, one]) {
            *sum = (sum.0 + wrong, sum.1 + bytes);
        }
    }
    for (name, (wrong, bytes)) in ["own number", "observed-remove", "one owner"]
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
        "the schedule tells nothing apart: {sums:?}"
    );
}
