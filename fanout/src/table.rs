//! The subscriptions of all zones, as one gateway knows them. The subscriber's own counter decides which of two entries
//! of a subscription is newer, so gateways come to the same list without any agreement among them.

use crate::wire::{self, Entry, EntryDigest, State};
use crate::{Guard, Rules, Subscriber, Topic};
use plovercove::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

/// Number of subranges of a range.
pub(crate) const CHILDREN_PER_RANGE: usize = 16;
/// Number of levels of ranges below the complete list.
pub(crate) const RANGE_LEVELS: u8 = 3;
/// Number of leaves, which are the ranges of the lowest level. With 10,000 subscriptions, a leaf has two or three
/// entries.
pub(crate) const LEAF_COUNT: usize = 4_096;

/// Maximum number of zones. The digests of one zone take 32 kB, so a sender that invents zone names must not be able to
/// fill the memory.
const MAX_ZONES: usize = 64;

/// Name of a zone or of a subscriber.
pub(crate) type Name = Arc<str>;

/// An entry, with what only this gateway knows about it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct StoredEntry {
    pub entry: Entry,
    pub key: u64,
    /// When this gateway stored the entry's current state.
    changed_at: Time,
    /// The last item of the topic that was sent to the subscriber.
    pub delivered: Option<(plovercove_fencing::Token, u64)>,
}

/// A subscriber with all its entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct SubscriberRecord {
    pub topics: BTreeMap<Topic, StoredEntry>,
    /// When the subscriber last renewed here, or when another gateway's copy of one of its entries was stored.
    pub renewed_at: Time,
    /// Whether the subscriber itself renewed at this gateway.
    pub renewed_here: bool,
    /// Incarnation and counter up to which the subscriber reported that another gateway serves it.
    pub moved: (u64, u64),
    /// Whether the subscriber waits in the queue for delivery.
    pub queued: bool,
}

/// Result of merging an entry from another gateway.
#[derive(Clone, Debug, PartialEq)]
pub enum MergeOutcome {
    /// The entry was newer and was stored.
    Applied,
    /// The entry was known already, or an ended one was ignored.
    Unchanged,
    /// The known entry, which is returned, is newer.
    Stale(Entry),
    /// The other gateway ended a subscription whose subscriber renewed here. The subscriber with this address and name
    /// has to declare it again.
    Contested(SocketAddr, Arc<str>),
    /// The table has no room for the entry.
    Full,
}

/// A subscriber's declaration of its subscriptions within a range of topics.
#[derive(Clone, Debug)]
pub struct Declaration<'a> {
    /// The subscriber, with the zone of the gateway that received the declaration.
    pub subscriber: &'a Subscriber,
    /// The subscriber's counter.
    pub counter: u64,
    /// The first topic of the range; `None` if the range has no lower end.
    pub first: Option<&'a Topic>,
    /// The last topic of the range; `None` if the range has no upper end.
    pub last: Option<&'a Topic>,
    /// All topics in the range that the subscriber subscribes to.
    pub topics: &'a [Topic],
}

/// Subscription list of one gateway: its own zone's subscribers, and copies of the other zones' lists.
#[derive(Clone, Debug)]
pub struct SubscriptionTable {
    rules: Rules,
    zone: Name,
    pub(crate) subscribers: BTreeMap<Name, SubscriberRecord>,
    /// Subscriber and topic of each entry, by the entry's key.
    keys: BTreeMap<u64, (Name, Topic)>,
    /// Subscribers of this zone, by topic.
    pub(crate) listeners: BTreeMap<Topic, BTreeSet<Name>>,
    /// Digests of the live entries, by zone and leaf.
    leaf_digests: BTreeMap<Name, Vec<u64>>,
    /// When each zone's gateway last confirmed this copy of its list.
    confirmed_at: BTreeMap<Name, Time>,
    /// Keys of the entries that were changed here by a declaration or by expiry and have to be sent to the other
    /// gateways.
    pub(crate) changed: BTreeSet<u64>,
}

impl PartialEq for SubscriptionTable {
    fn eq(&self, other: &Self) -> bool {
        (&self.zone, &self.subscribers, &self.confirmed_at)
            == (&other.zone, &other.subscribers, &other.confirmed_at)
    }
}

impl Eq for SubscriptionTable {}

/// Only for the model checker. The other fields follow from these.
impl std::hash::Hash for SubscriptionTable {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        (&self.zone, &self.subscribers, &self.confirmed_at).hash(state);
    }
}

fn entry_key(name: &str, topic: &Topic) -> u64 {
    wire::hash_parts(&[name.as_bytes(), topic.name().as_bytes()])
}

/// Returns the leaf to which a key belongs: its upper 12 bits.
pub(crate) fn leaf_of_key(key: u64) -> usize {
    (key >> 52) as usize
}

/// Returns what distinguishes an entry from the others of its leaf, and from other states of itself.
pub(crate) fn entry_digest(key: u64, entry: &Entry) -> EntryDigest {
    EntryDigest {
        key: (key as u32).to_le_bytes(),
        content: (full_entry_digest(key, entry) as u32).to_le_bytes(),
    }
}

fn full_entry_digest(key: u64, entry: &Entry) -> u64 {
    wire::hash_parts(&[
        &key.to_le_bytes(),
        &entry.boot.to_le_bytes(),
        &entry.counter.to_le_bytes(),
        entry.subscriber.address.to_string().as_bytes(),
    ])
}

impl SubscriptionTable {
    /// Creates an empty table for the gateway of a zone.
    pub fn new(rules: Rules, zone: &str) -> Self {
        SubscriptionTable {
            rules,
            zone: zone.into(),
            subscribers: BTreeMap::new(),
            keys: BTreeMap::new(),
            listeners: BTreeMap::new(),
            leaf_digests: BTreeMap::new(),
            confirmed_at: BTreeMap::new(),
            changed: BTreeSet::new(),
        }
    }

    /// Returns the number of remembered subscriptions, including ended ones.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no subscription is remembered.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Returns the live entries of all zones.
    pub fn live_entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries().filter(|e| e.state == State::Live)
    }

    /// Returns all remembered entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.subscribers
            .values()
            .flat_map(|record| record.topics.values())
            .map(|stored| &stored.entry)
    }

    pub(crate) fn zone(&self) -> &Name {
        &self.zone
    }

    /// Returns the entries that this zone's subscribers declared here themselves: live ones, and those that they ended.
    pub(crate) fn locally_renewed_entries(&self) -> Vec<Entry> {
        let subscribers = self
            .subscribers
            .values()
            .filter(|record| record.renewed_here);
        let entries = subscribers
            .flat_map(|record| record.topics.values())
            .map(|stored| &stored.entry);
        entries
            .filter(|e| e.subscriber.zone == self.zone && e.state != State::Expired)
            .cloned()
            .collect()
    }

    /// Marks an entry to be sent to the other gateways.
    pub(crate) fn mark_changed(&mut self, entry: &Entry) {
        self.changed
            .insert(entry_key(&entry.subscriber.name, &entry.topic));
    }

    /// Returns the number of subscribers that this gateway serves.
    pub fn own_subscriber_count(&self) -> usize {
        self.subscribers
            .values()
            .filter(|record| {
                record
                    .topics
                    .values()
                    .any(|stored| self.is_local(&stored.entry))
            })
            .count()
    }

    /// Returns whether this gateway serves the subscription.
    pub(crate) fn is_local(&self, entry: &Entry) -> bool {
        entry.state == State::Live && entry.subscriber.zone == self.zone
    }

    pub(crate) fn stored(&self, key: u64) -> Option<&StoredEntry> {
        let (name, topic) = self.keys.get(&key)?;
        self.subscribers.get(name)?.topics.get(topic)
    }

    /// Returns all remembered entries of a leaf: of all zones, and ended ones too.
    pub(crate) fn entries_in_leaf(&self, leaf: usize) -> impl Iterator<Item = &StoredEntry> {
        let first = (leaf as u64) << 52;
        let last = first | ((1 << 52) - 1);
        self.keys
            .range(first..=last)
            .filter_map(|(key, _)| self.stored(*key))
    }

    /// Returns the live entries of a zone within a range.
    pub(crate) fn live_entries_in_range(&self, zone: &str, level: u8, index: usize) -> Vec<Entry> {
        let leaves_per_range = LEAF_COUNT >> (4 * level.min(RANGE_LEVELS));
        let leaves = index * leaves_per_range..((index + 1) * leaves_per_range).min(LEAF_COUNT);
        let is_listed =
            |k: &&StoredEntry| k.entry.state == State::Live && *k.entry.subscriber.zone == *zone;
        leaves
            .flat_map(|leaf| {
                self.entries_in_leaf(leaf)
                    .filter(is_listed)
                    .map(|stored| stored.entry.clone())
                    .collect::<Vec<_>>()
            })
            .collect()
    }

    /// Returns the zones whose lists are compared.
    pub(crate) fn zones(&self) -> impl Iterator<Item = &Name> {
        self.leaf_digests.keys()
    }

    /// Returns the digest of a range of a zone's list. The range of level 0 is the complete list.
    pub(crate) fn range_digest(&self, zone: &str, level: u8, index: usize) -> u64 {
        let Some(leaves) = self.leaf_digests.get(zone) else {
            return 0;
        };
        let leaves_per_range = LEAF_COUNT >> (4 * level.min(RANGE_LEVELS));
        leaves
            .iter()
            .skip(index * leaves_per_range)
            .take(leaves_per_range)
            .fold(0, |digest, leaf| digest ^ leaf)
    }

    /// Adds a live entry to the digest of its leaf and to the listeners, or removes it if it is there.
    fn toggle_live(&mut self, key: u64, entry: &Entry) {
        if entry.state != State::Live {
            return;
        }
        let leaves = self
            .leaf_digests
            .entry(entry.subscriber.zone.clone())
            .or_insert_with(|| vec![0; LEAF_COUNT]);
        leaves[leaf_of_key(key)] ^= full_entry_digest(key, entry);
        if entry.subscriber.zone == self.zone {
            let names = self.listeners.entry(entry.topic.clone()).or_default();
            if !names.remove(&entry.subscriber.name) {
                names.insert(entry.subscriber.name.clone());
            }
            if names.is_empty() {
                self.listeners.remove(&entry.topic);
            }
        }
    }

    /// Stores an entry in place of the known one. Returns false if there is no room for it.
    fn store(&mut self, now: Time, entry: Entry) -> bool {
        let (name, topic) = (entry.subscriber.name.clone(), entry.topic.clone());
        let key = entry_key(&name, &topic);
        let known = self
            .subscribers
            .get(&name)
            .and_then(|record| record.topics.get(&topic))
            .cloned();
        let zone = &entry.subscriber.zone;
        let exceeds_zones = !self.leaf_digests.contains_key(zone)
            && *zone != self.zone
            && self.leaf_digests.len() >= MAX_ZONES;
        if exceeds_zones || (known.is_none() && self.keys.len() >= self.rules.subscriptions) {
            return false;
        }
        let is_same_incarnation = known
            .as_ref()
            .is_some_and(|known| known.entry.boot == entry.boot);
        if let Some(known) = &known {
            self.toggle_live(key, &known.entry);
        }
        self.toggle_live(key, &entry);
        let is_ended = entry.state != State::Live;
        let boot = entry.boot;
        let stored = StoredEntry {
            key,
            changed_at: now,
            delivered: known
                .and_then(|known| known.delivered)
                .filter(|_| !is_ended && is_same_incarnation),
            entry,
        };
        let record = self.subscribers.entry(name.clone()).or_default();
        record.topics.insert(topic.clone(), stored);
        self.keys.insert(key, (name.clone(), topic.clone()));
        if self.rules.is_enabled(Guard::Order) {
            self.end_earlier_incarnations(now, &name, boot);
        }
        if is_ended && !self.rules.is_enabled(Guard::Tombstone) {
            self.remove(&name, &topic);
        }
        true
    }

    /// Ends all entries of earlier incarnations of a subscriber, including topics that the later incarnation does not
    /// subscribe to.
    fn end_earlier_incarnations(&mut self, now: Time, name: &Name, boot: u64) {
        let Some(record) = self.subscribers.get_mut(name) else {
            return;
        };
        let is_earlier = |k: &&mut StoredEntry| k.entry.boot < boot && k.entry.state == State::Live;
        let mut ended = Vec::new();
        for stored in record.topics.values_mut().filter(is_earlier) {
            ended.push((stored.key, stored.entry.clone()));
            (stored.entry.state, stored.changed_at, stored.delivered) = (State::Left, now, None);
        }
        for (key, entry) in ended {
            self.toggle_live(key, &entry);
        }
    }

    /// Returns an entry of the latest incarnation of a subscriber.
    fn latest_entry(&self, name: &str) -> Option<&Entry> {
        self.subscribers
            .get(name)?
            .topics
            .values()
            .map(|stored| &stored.entry)
            .max_by_key(|e| e.boot)
    }

    fn remove(&mut self, name: &Name, topic: &Topic) {
        let Some(record) = self.subscribers.get_mut(name) else {
            return;
        };
        let Some(stored) = record.topics.remove(topic) else {
            return;
        };
        if record.topics.is_empty() {
            self.subscribers.remove(name);
        }
        self.keys.remove(&stored.key);
        self.toggle_live(stored.key, &stored.entry);
    }

    /// Applies a subscriber's declaration to each topic of the range for which its counter is newer. Returns false if
    /// there is no room for a subscription.
    pub fn apply(&mut self, now: Time, declaration: &Declaration<'_>) -> bool {
        let subscriber = declaration.subscriber;
        let is_not_older =
            |k: &Entry| (k.boot, k.counter) >= (subscriber.boot, declaration.counter);
        let entry = |topic: &Topic, state| Entry {
            boot: subscriber.boot,
            counter: declaration.counter,
            state,
            subscriber: subscriber.clone(),
            topic: topic.clone(),
        };
        let checks_order = self.rules.is_enabled(Guard::Order);
        let range = (
            declaration.first.map_or(Bound::Unbounded, Bound::Included),
            declaration.last.map_or(Bound::Unbounded, Bound::Included),
        );
        if checks_order
            && self
                .latest_entry(&subscriber.name)
                .is_some_and(|e| e.boot > subscriber.boot)
        {
            return true;
        }
        let mut changes = Vec::new();
        let is_reversed = matches!(
            (declaration.first, declaration.last),
            (Some(first), Some(last)) if first > last
        );
        if let Some(record) = self
            .subscribers
            .get(&subscriber.name)
            .filter(|_| !is_reversed)
        {
            let removed = record
                .topics
                .range::<Topic, _>(range)
                .map(|(_, stored)| &stored.entry);
            let removed = removed
                .filter(|e| e.state == State::Live && !declaration.topics.contains(&e.topic));
            changes.extend(
                removed
                    .filter(|e| !checks_order || !is_not_older(e))
                    .map(|e| entry(&e.topic, State::Left)),
            );
        }
        // An unsubscription is stored even if the table has no live entry that it ends: the subscription may still
        // arrive from another gateway or as a delayed message.
        let record = self.subscribers.get(&subscriber.name);
        if let (Some(first), Some(last), true) = (
            declaration.first,
            declaration.last,
            declaration.topics.is_empty(),
        ) && first == last
            && record
                .and_then(|record| record.topics.get(first))
                .is_none_or(|stored| {
                    stored.entry.state != State::Live
                        && (!checks_order || !is_not_older(&stored.entry))
                })
        {
            changes.push(entry(first, State::Left));
        }
        for topic in declaration.topics.iter().take(self.rules.topics) {
            let known = record
                .and_then(|record| record.topics.get(topic))
                .map(|stored| &stored.entry);
            if known.is_none_or(|known| !checks_order || !is_not_older(known)) {
                changes.push(entry(topic, State::Live));
            }
        }
        let mut all_fit = true;
        for entry in changes {
            let key = entry_key(&entry.subscriber.name, &entry.topic);
            let is_full = self
                .subscribers
                .get(&subscriber.name)
                .is_some_and(|record| record.topics.len() >= 2 * self.rules.topics);
            let fits = (!is_full || self.keys.contains_key(&key)) && self.store(now, entry);
            all_fit &= fits;
            if fits {
                self.changed.insert(key);
            }
        }
        self.record_renewal(now, &subscriber.name);
        all_fit
    }

    /// Records that the subscriber itself renewed here.
    pub(crate) fn record_renewal(&mut self, now: Time, name: &str) {
        if let Some(record) = self.subscribers.get_mut(name) {
            record.renewed_at = now;
            record.renewed_here = true;
        }
    }

    /// Returns the digest of a subscriber's subscriptions at this gateway, and its latest incarnation.
    pub(crate) fn subscriptions_digest(&self, name: &str) -> (u64, u64) {
        let Some(record) = self.subscribers.get(name) else {
            return (0, 0);
        };
        let boot = record
            .topics
            .values()
            .map(|stored| stored.entry.boot)
            .max()
            .unwrap_or(0);
        let own = record
            .topics
            .values()
            .filter(|stored| self.is_local(&stored.entry) && stored.entry.boot == boot);
        (
            wire::subscriptions_digest(
                boot,
                own.map(|stored| (&stored.entry.topic, stored.entry.counter)),
            ),
            boot,
        )
    }

    /// Merges an entry that another gateway sent.
    pub fn merge(&mut self, now: Time, entry: &Entry) -> MergeOutcome {
        let known = self
            .subscribers
            .get(&entry.subscriber.name)
            .and_then(|record| record.topics.get(&entry.topic));
        let renewed_here = self
            .subscribers
            .get(&entry.subscriber.name)
            .is_some_and(|record| record.renewed_here);
        if let Some(known) = known {
            let known = &known.entry;
            if known == entry {
                return MergeOutcome::Unchanged;
            }
            // An expiry is the other gateway's assumption. This gateway knows better, because the subscriber renewed
            // here.
            let is_same_change = (known.boot, known.counter) == (entry.boot, entry.counter);
            if is_same_change
                && entry.state == State::Expired
                && self.is_local(known)
                && renewed_here
            {
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
            && let Some(latest) = self.latest_entry(&entry.subscriber.name)
            && latest.boot > entry.boot
        {
            return MergeOutcome::Stale(latest.clone());
        }
        let (name, zone) = (entry.subscriber.name.clone(), entry.subscriber.zone.clone());
        if !self.store(now, entry.clone()) {
            return MergeOutcome::Full;
        }
        self.confirmed_at.entry(zone).or_insert(now);
        if let Some(record) = self.subscribers.get_mut(&name)
            && !record.renewed_here
        {
            // The entry is a copy, so its subscriber gets a complete lease to renew.
            record.renewed_at = now;
        }
        MergeOutcome::Applied
    }

    /// Restarts the leases of all subscribers, because this gateway has just acquired its zone's lease: each subscriber
    /// in the list has a complete lease to renew here.
    pub fn restart_leases(&mut self, now: Time) {
        for record in self.subscribers.values_mut() {
            record.renewed_at = now;
            record.renewed_here = false;
        }
    }

    /// Records that a zone's gateway confirmed this copy of its list at that time.
    pub fn confirm_copy(&mut self, zone: &str, confirmed_at: Time) {
        // An empty list needs no confirmation, and a sender that invents zone names must not fill the memory.
        if self.leaf_digests.contains_key(zone) {
            let known = self.confirmed_at.entry(zone.into()).or_insert(confirmed_at);
            *known = (*known).max(confirmed_at);
        }
    }

    /// Limits how fresh a copy counts, because a part of it was taken from another gateway's copy of that age.
    pub(crate) fn limit_freshness(&mut self, zone: &str, confirmed_at: Time) {
        if let Some(known) = self.confirmed_at.get_mut(zone) {
            *known = (*known).min(confirmed_at);
        }
    }

    /// Returns when a zone's gateway last confirmed this copy of its list.
    pub(crate) fn confirmed_at(&self, now: Time, zone: &str) -> Time {
        if *zone == *self.zone {
            now
        } else {
            self.confirmed_at.get(zone).copied().unwrap_or(now)
        }
    }

    /// Expires subscriptions that were not renewed, forgets ended ones after their retention, and discards copies that
    /// are too old. `holds_lease` is whether this gateway is the one with which its zone's subscribers renew.
    pub fn expire_and_forget(&mut self, now: Time, holds_lease: bool, lease: Micros) {
        let (expires, discards_copies) = (
            self.rules.is_enabled(Guard::Expiry),
            self.rules.is_enabled(Guard::Away),
        );
        let (retention, forget_after) = (
            self.rules.tombstone_retention(),
            crate::us_from_ms(self.rules.forget_ms),
        );
        let is_old = |at: Option<&Time>| at.is_some_and(|at| at + forget_after < now);
        let (mut expired, mut forgotten) = (Vec::new(), Vec::new());
        for (name, record) in &self.subscribers {
            for (topic, stored) in &record.topics {
                let zone = &stored.entry.subscriber.zone;
                if stored.entry.state != State::Live {
                    if stored.changed_at + retention < now {
                        forgotten.push((name.clone(), topic.clone()));
                    }
                } else if *zone == self.zone {
                    if holds_lease && expires && record.renewed_at + lease < now {
                        expired.push(Entry {
                            state: State::Expired,
                            ..stored.entry.clone()
                        });
                    }
                } else if discards_copies && is_old(self.confirmed_at.get(zone)) {
                    forgotten.push((name.clone(), topic.clone()));
                }
            }
        }
        for (name, topic) in forgotten {
            self.remove(&name, &topic);
        }
        for entry in expired {
            self.changed
                .insert(entry_key(&entry.subscriber.name, &entry.topic));
            self.store(now, entry);
        }
        if discards_copies {
            // The copy of the zone's list is empty now. The next entry starts a new copy.
            self.confirmed_at.retain(|_, at| *at + forget_after >= now);
        }
        self.leaf_digests
            .retain(|zone, leaves| *zone == self.zone || leaves.iter().any(|digest| *digest != 0));
    }
}
