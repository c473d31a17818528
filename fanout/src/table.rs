//! Who subscribed to what, at all zones' gateways: the subscriber's own number decides between two words about one
//! subscription, so that gateways need not agree on anything to come to the same list.

use crate::wire::{self, Entry, State};
use crate::{Guard, Rules, Subscriber, Topic};
use plovercove::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

/// Parts of a range, levels of ranges, and leaves at the bottom: at 10,000 subscriptions a leaf has two or three.
pub(crate) const PARTS: usize = 16;
pub(crate) const LEVELS: u8 = 3;
pub(crate) const LEAVES: usize = 4_096;

/// Zones at the most: the sums of each take 32 kB, and whoever makes names up must not fill the memory.
const ZONES: usize = 64;

/// The name of a zone, or of a subscriber.
pub(crate) type Name = Arc<str>;

/// What is kept beside an entry, at this gateway alone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Kept {
    pub entry: Entry,
    pub key: u64,
    /// When it ended, as learnt here.
    since: Time,
    /// The news of its topic that the subscriber was told last.
    pub place: Option<(plovercove_fencing::Token, u64)>,
}

/// A subscriber, with all that it subscribed to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Person {
    pub topics: BTreeMap<Topic, Kept>,
    /// When it was last known to want to be told: by its own word, or by another gateway's.
    pub renewed: Time,
    /// It renewed here itself.
    pub own_word: bool,
    /// Up to this number of this life it said that another gateway tells it.
    pub moved: (u64, u64),
    /// It waits in line to be told.
    pub queued: bool,
}

/// What became of an entry that another gateway told.
#[derive(Clone, Debug, PartialEq)]
pub enum MergeOutcome {
    /// It was newer and taken.
    Applied,
    /// Both are alike.
    Unchanged,
    /// What is known here is newer; this is it.
    Stale(Entry),
    /// Another gateway ended by age who renewed here: its subscriber has to say it anew.
    Contested(SocketAddr, Arc<str>),
    /// There are too many.
    Full,
}

/// What a subscriber says of a range of topics.
#[derive(Clone, Debug)]
pub struct Declaration<'a> {
    /// Who says it, with its gateway's zone.
    pub subscriber: &'a Subscriber,
    /// Its number.
    pub counter: u64,
    /// The first topic of the range, if it has one.
    pub from: Option<&'a Topic>,
    /// The last topic of the range, if it has one.
    pub through: Option<&'a Topic>,
    /// What it holds of the range.
    pub topics: &'a [Topic],
}

/// The list of one gateway: its own zone's, and copies of the others'.
#[derive(Clone, Debug)]
pub struct SubscriptionTable {
    rules: Rules,
    zone: Name,
    pub(crate) people: BTreeMap<Name, Person>,
    keys: BTreeMap<u64, (Name, Topic)>,
    /// Subscribers of this zone, by topic.
    pub(crate) listeners: BTreeMap<Topic, BTreeSet<Name>>,
    /// Sums over what holds, by zone and leaf.
    leaves: BTreeMap<Name, Vec<u64>>,
    /// When each zone's gateway last confirmed the copy of its list here.
    confirmed: BTreeMap<Name, Time>,
    /// Keys that changed here by the subscriber's word or by age, to be told to the other gateways.
    pub(crate) changed: BTreeSet<u64>,
}

impl PartialEq for SubscriptionTable {
    fn eq(&self, other: &Self) -> bool {
        (&self.zone, &self.people, &self.confirmed)
            == (&other.zone, &other.people, &other.confirmed)
    }
}

impl Eq for SubscriptionTable {}

/// For model checks: the rest follows from these.
impl std::hash::Hash for SubscriptionTable {
    fn hash<H: std::hash::Hasher>(&self, to: &mut H) {
        (&self.zone, &self.people, &self.confirmed).hash(to);
    }
}

fn key(name: &str, topic: &Topic) -> u64 {
    wire::hash(&[name.as_bytes(), topic.name().as_bytes()])
}

pub(crate) fn leaf(key: u64) -> usize {
    (key >> 52) as usize
}

/// What tells an entry of a leaf from the others, and its state from another one.
pub(crate) fn ends(key: u64, entry: &Entry) -> ([u8; 4], [u8; 4]) {
    (
        (key as u32).to_le_bytes(),
        (sum(key, entry) as u32).to_le_bytes(),
    )
}

fn sum(key: u64, entry: &Entry) -> u64 {
    wire::hash(&[
        &key.to_le_bytes(),
        &entry.boot.to_le_bytes(),
        &entry.counter.to_le_bytes(),
        entry.subscriber.address.to_string().as_bytes(),
    ])
}

impl SubscriptionTable {
    /// An empty one at the gateway of a zone.
    pub fn new(rules: Rules, zone: &str) -> Self {
        SubscriptionTable {
            rules,
            zone: zone.into(),
            people: BTreeMap::new(),
            keys: BTreeMap::new(),
            listeners: BTreeMap::new(),
            leaves: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Subscriptions that are remembered, those that ended too.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// What holds, of all zones.
    pub fn live_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries().filter(|e| e.state == State::Live)
    }

    /// All that is remembered.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.people
            .values()
            .flat_map(|p| p.topics.values())
            .map(|k| &k.entry)
    }

    pub(crate) fn zone(&self) -> &Name {
        &self.zone
    }

    /// What this zone's subscribers said here themselves: that they hold something, or that they left.
    pub(crate) fn own_words(&self) -> Vec<Entry> {
        let people = self.people.values().filter(|p| p.own_word);
        let entries = people.flat_map(|p| p.topics.values()).map(|k| &k.entry);
        entries
            .filter(|e| e.subscriber.zone == self.zone && e.state != State::Expired)
            .cloned()
            .collect()
    }

    /// The other gateways are to be told of it.
    pub(crate) fn note(&mut self, entry: &Entry) {
        self.changed
            .insert(key(&entry.subscriber.name, &entry.topic));
    }

    /// Subscribers that this zone's gateway tells.
    pub fn own_subscriber_count(&self) -> usize {
        self.people
            .values()
            .filter(|p| p.topics.values().any(|k| self.own(&k.entry)))
            .count()
    }

    /// Whether this gateway tells it.
    pub(crate) fn own(&self, entry: &Entry) -> bool {
        entry.state == State::Live && entry.subscriber.zone == self.zone
    }

    pub(crate) fn kept(&self, key: u64) -> Option<&Kept> {
        let (name, topic) = self.keys.get(&key)?;
        self.people.get(name)?.topics.get(topic)
    }

    /// What is remembered of a leaf, of all zones and also what ended.
    pub(crate) fn in_leaf(&self, leaf: usize) -> impl Iterator<Item = &Kept> {
        let first = (leaf as u64) << 52;
        let last = first | ((1 << 52) - 1);
        self.keys
            .range(first..=last)
            .filter_map(|(key, _)| self.kept(*key))
    }

    /// What holds of a zone's list in a range.
    pub(crate) fn in_range(&self, zone: &str, level: u8, index: usize) -> Vec<Entry> {
        let wide = LEAVES >> (4 * level.min(LEVELS));
        let leaves = index * wide..((index + 1) * wide).min(LEAVES);
        let holds = |k: &&Kept| k.entry.state == State::Live && *k.entry.subscriber.zone == *zone;
        leaves
            .flat_map(|leaf| {
                self.in_leaf(leaf)
                    .filter(holds)
                    .map(|k| k.entry.clone())
                    .collect::<Vec<_>>()
            })
            .collect()
    }

    /// The zones whose lists are compared.
    pub(crate) fn zones(&self) -> impl Iterator<Item = &Name> {
        self.leaves.keys()
    }

    /// The sum of a range of a zone's list; level 0 is all of it.
    pub(crate) fn sum(&self, zone: &str, level: u8, index: usize) -> u64 {
        let Some(leaves) = self.leaves.get(zone) else {
            return 0;
        };
        let wide = LEAVES >> (4 * level.min(LEVELS));
        leaves
            .iter()
            .skip(index * wide)
            .take(wide)
            .fold(0, |all, leaf| all ^ leaf)
    }

    fn toggle(&mut self, key: u64, entry: &Entry) {
        if entry.state != State::Live {
            return;
        }
        let leaves = self
            .leaves
            .entry(entry.subscriber.zone.clone())
            .or_insert_with(|| vec![0; LEAVES]);
        leaves[leaf(key)] ^= sum(key, entry);
        if entry.subscriber.zone == self.zone {
            let at = self.listeners.entry(entry.topic.clone()).or_default();
            if !at.remove(&entry.subscriber.name) {
                at.insert(entry.subscriber.name.clone());
            }
            if at.is_empty() {
                self.listeners.remove(&entry.topic);
            }
        }
    }

    /// Puts an entry in the place of what there is.
    fn set(&mut self, now: Time, entry: Entry) -> bool {
        let (name, topic) = (entry.subscriber.name.clone(), entry.topic.clone());
        let key = key(&name, &topic);
        let before = self
            .people
            .get(&name)
            .and_then(|p| p.topics.get(&topic))
            .cloned();
        let zone = &entry.subscriber.zone;
        let strange =
            !self.leaves.contains_key(zone) && *zone != self.zone && self.leaves.len() >= ZONES;
        if strange || (before.is_none() && self.keys.len() >= self.rules.subscriptions) {
            return false;
        }
        let same_life = before.as_ref().is_some_and(|b| b.entry.boot == entry.boot);
        if let Some(before) = &before {
            self.toggle(key, &before.entry);
        }
        self.toggle(key, &entry);
        let ended = entry.state != State::Live;
        let boot = entry.boot;
        let kept = Kept {
            key,
            since: now,
            place: before.and_then(|b| b.place).filter(|_| !ended && same_life),
            entry,
        };
        let person = self.people.entry(name.clone()).or_default();
        person.topics.insert(topic.clone(), kept);
        self.keys.insert(key, (name.clone(), topic.clone()));
        if self.rules.is_enabled(Guard::Order) {
            self.end_old_lives(now, &name, boot);
        }
        if ended && !self.rules.is_enabled(Guard::Tombstone) {
            self.remove(&name, &topic);
        }
        true
    }

    /// A later life of a subscriber ends all that an earlier one holds, also topics that it does not ask for itself.
    fn end_old_lives(&mut self, now: Time, name: &Name, boot: u64) {
        let Some(person) = self.people.get_mut(name) else {
            return;
        };
        let old = |k: &&mut Kept| k.entry.boot < boot && k.entry.state == State::Live;
        let mut ended = Vec::new();
        for kept in person.topics.values_mut().filter(old) {
            ended.push((kept.key, kept.entry.clone()));
            (kept.entry.state, kept.since, kept.place) = (State::Left, now, None);
        }
        for (key, entry) in ended {
            self.toggle(key, &entry);
        }
    }

    /// The latest life of a name, and one entry of it.
    fn latest(&self, name: &str) -> Option<&Entry> {
        self.people
            .get(name)?
            .topics
            .values()
            .map(|k| &k.entry)
            .max_by_key(|e| e.boot)
    }

    fn remove(&mut self, name: &Name, topic: &Topic) {
        let Some(person) = self.people.get_mut(name) else {
            return;
        };
        let Some(kept) = person.topics.remove(topic) else {
            return;
        };
        if person.topics.is_empty() {
            self.people.remove(name);
        }
        self.keys.remove(&kept.key);
        self.toggle(kept.key, &kept.entry);
    }

    /// Takes a subscriber's own word on a range of topics. It counts for each where its number is newer. False where
    /// there are too many.
    pub fn apply(&mut self, now: Time, says: &Declaration<'_>) -> bool {
        let who = says.subscriber;
        let later = |k: &Entry| (k.boot, k.counter) >= (who.boot, says.counter);
        let entry = |topic: &Topic, state| Entry {
            boot: who.boot,
            counter: says.counter,
            state,
            subscriber: who.clone(),
            topic: topic.clone(),
        };
        let order = self.rules.is_enabled(Guard::Order);
        let ends = (
            says.from.map_or(Bound::Unbounded, Bound::Included),
            says.through.map_or(Bound::Unbounded, Bound::Included),
        );
        if order && self.latest(&who.name).is_some_and(|e| e.boot > who.boot) {
            return true;
        }
        let mut changes = Vec::new();
        let backwards =
            matches!((says.from, says.through), (Some(from), Some(through)) if from > through);
        if let Some(person) = self.people.get(&who.name).filter(|_| !backwards) {
            let gone = person.topics.range::<Topic, _>(ends).map(|(_, k)| &k.entry);
            let gone = gone.filter(|e| e.state == State::Live && !says.topics.contains(&e.topic));
            changes.extend(
                gone.filter(|e| !order || !later(e))
                    .map(|e| entry(&e.topic, State::Left)),
            );
        }
        // A leave is remembered also where the subscription that it ends never came, be there nothing or an older leave:
        // it may be on its way.
        let person = self.people.get(&who.name);
        if let (Some(from), Some(through), true) = (says.from, says.through, says.topics.is_empty())
            && from == through
            && person
                .and_then(|p| p.topics.get(from))
                .is_none_or(|k| k.entry.state != State::Live && (!order || !later(&k.entry)))
        {
            changes.push(entry(from, State::Left));
        }
        for topic in says.topics.iter().take(self.rules.topics) {
            let known = person.and_then(|p| p.topics.get(topic)).map(|k| &k.entry);
            if known.is_none_or(|k| !order || !later(k)) {
                changes.push(entry(topic, State::Live));
            }
        }
        let mut all = true;
        for entry in changes {
            let key = key(&entry.subscriber.name, &entry.topic);
            let many = self
                .people
                .get(&who.name)
                .is_some_and(|p| p.topics.len() >= 2 * self.rules.topics);
            let fits = (!many || self.keys.contains_key(&key)) && self.set(now, entry);
            all &= fits;
            if fits {
                self.changed.insert(key);
            }
        }
        self.heard(now, &who.name);
        all
    }

    /// A subscriber is there, by its own word.
    pub(crate) fn heard(&mut self, now: Time, name: &str) {
        if let Some(person) = self.people.get_mut(name) {
            person.renewed = now;
            person.own_word = true;
        }
    }

    /// The sum of what a subscriber holds here, and its latest life.
    pub(crate) fn holds(&self, name: &str) -> (u64, u64) {
        let Some(person) = self.people.get(name) else {
            return (0, 0);
        };
        let boot = person
            .topics
            .values()
            .map(|k| k.entry.boot)
            .max()
            .unwrap_or(0);
        let own = person
            .topics
            .values()
            .filter(|k| self.own(&k.entry) && k.entry.boot == boot);
        (
            wire::holds(boot, own.map(|k| (&k.entry.topic, k.entry.counter))),
            boot,
        )
    }

    /// Takes what another gateway tells.
    pub fn merge(&mut self, now: Time, entry: &Entry) -> MergeOutcome {
        let known = self
            .people
            .get(&entry.subscriber.name)
            .and_then(|p| p.topics.get(&entry.topic));
        let own_word = self
            .people
            .get(&entry.subscriber.name)
            .is_some_and(|p| p.own_word);
        if let Some(known) = known {
            let known = &known.entry;
            if known == entry {
                return MergeOutcome::Unchanged;
            }
            // What a gateway ended by age is no word of the subscriber, who knows better.
            let alike = (known.boot, known.counter) == (entry.boot, entry.counter);
            if alike && entry.state == State::Expired && self.own(known) && own_word {
                return MergeOutcome::Contested(
                    known.subscriber.address,
                    known.subscriber.name.clone(),
                );
            }
            if known > entry && self.rules.is_enabled(Guard::Order) {
                return MergeOutcome::Stale(known.clone());
            }
        } else if entry.state != State::Live && !self.rules.is_enabled(Guard::Tombstone) {
            return MergeOutcome::Unchanged;
        }
        if entry.state == State::Live
            && self.rules.is_enabled(Guard::Order)
            && let Some(latest) = self.latest(&entry.subscriber.name)
            && latest.boot > entry.boot
        {
            return MergeOutcome::Stale(latest.clone());
        }
        let (name, zone) = (entry.subscriber.name.clone(), entry.subscriber.zone.clone());
        if !self.set(now, entry.clone()) {
            return MergeOutcome::Full;
        }
        self.confirmed.entry(zone).or_insert(now);
        if let Some(person) = self.people.get_mut(&name)
            && !person.own_word
        {
            // A copy: who is truly there says so within a lease.
            person.renewed = now;
        }
        MergeOutcome::Applied
    }

    /// This zone's gateway is another one from now on, or this one anew: whoever is in its list has a lease to say that
    /// it is there.
    pub fn restart_leases(&mut self, now: Time) {
        for person in self.people.values_mut() {
            person.renewed = now;
            person.own_word = false;
        }
    }

    /// A zone's gateway confirmed at that time that the copy here is its list.
    pub fn confirm_copy(&mut self, zone: &str, at: Time) {
        // Of an empty list there is nothing to confirm, and whoever makes zones up fills nothing.
        if self.leaves.contains_key(zone) {
            let known = self.confirmed.entry(zone.into()).or_insert(at);
            *known = (*known).max(at);
        }
    }

    /// The copy is no fresher than that from now on: some of it was taken from another copy.
    pub(crate) fn taint(&mut self, zone: &str, at: Time) {
        if let Some(known) = self.confirmed.get_mut(zone) {
            *known = (*known).min(at);
        }
    }

    /// When a zone's gateway last confirmed the copy of its list here.
    pub(crate) fn confirmed(&self, now: Time, zone: &str) -> Time {
        if *zone == *self.zone {
            now
        } else {
            self.confirmed.get(zone).copied().unwrap_or(now)
        }
    }

    /// Ends what was not renewed, forgets what cannot matter any more, and throws away copies that are too old. `owner`
    /// is whether this gateway is the one that its zone's subscribers renew with.
    pub fn expire_and_forget(&mut self, now: Time, owner: bool, lease: Micros) {
        let (expiry, away) = (
            self.rules.is_enabled(Guard::Expiry),
            self.rules.is_enabled(Guard::Away),
        );
        let (keep, forget) = (
            self.rules.tombstone_retention(),
            crate::ms(self.rules.forget_ms),
        );
        let old = |at: Option<&Time>| at.is_some_and(|at| at + forget < now);
        let (mut expired, mut forgotten) = (Vec::new(), Vec::new());
        for (name, person) in &self.people {
            for (topic, kept) in &person.topics {
                let zone = &kept.entry.subscriber.zone;
                if kept.entry.state != State::Live {
                    if kept.since + keep < now {
                        forgotten.push((name.clone(), topic.clone()));
                    }
                } else if *zone == self.zone {
                    if owner && expiry && person.renewed + lease < now {
                        expired.push(Entry {
                            state: State::Expired,
                            ..kept.entry.clone()
                        });
                    }
                } else if away && old(self.confirmed.get(zone)) {
                    forgotten.push((name.clone(), topic.clone()));
                }
            }
        }
        for (name, topic) in forgotten {
            self.remove(&name, &topic);
        }
        for entry in expired {
            self.changed
                .insert(key(&entry.subscriber.name, &entry.topic));
            self.set(now, entry);
        }
        if away {
            // The zone's list is empty here now; what comes next begins a new copy.
            self.confirmed.retain(|_, at| *at + forget >= now);
        }
        self.leaves
            .retain(|zone, leaves| *zone == self.zone || leaves.iter().any(|sum| *sum != 0));
    }
}
