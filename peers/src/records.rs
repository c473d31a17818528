//! What each router says of what it saw: versioned by origin, start and sequence, ended by age, and repaired.

use crate::ledger::Seen;
use crate::life::Life;
use crate::wire::{Envelope, Part, kind};
use plovercove::{NodeId, Span, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Records that are held, of all routers together and of one.
const MOST: (usize, usize) = (4_096, 64);
/// Origins whose present start is remembered.
const ORIGINS: usize = 4_096;
/// Entries of one digest, so that it fits in a datagram.
const DIGEST: usize = 44;
/// Bytes that names in a record may have.
const NAMES: usize = 128;

/// Kinds of records.
pub(crate) mod about {
    /// What was seen of a db node.
    pub const NODE: u8 = 1;
}

/// One thing that one router says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Whose it is.
    pub origin: String,
    /// The start of its origin's process.
    pub boot: u64,
    /// Its origin's zone.
    pub zone: String,
    /// Rises with each record of an origin.
    pub seq: u64,
    /// How old it was when it was sent (ms): no clock of another machine is needed to tell when it ends.
    pub age_ms: u32,
    /// What it is about; unknown kinds are skipped.
    pub kind: u8,
    /// Of what.
    pub subject: String,
    /// What is said.
    pub body: Vec<u8>,
}

impl Record {
    /// What a router of this life saw of a node since that node's start.
    pub fn of_node(
        life: &Life, seq: u64, node: &NodeId, started: Option<Time>, seen: &Seen,
    ) -> Option<Record> {
        Some(Record {
            origin: life.name.clone(),
            boot: life.boot,
            zone: life.zone.clone(),
            seq,
            age_ms: 0,
            kind: about::NODE,
            subject: subject(node, started),
            body: postcard::to_allocvec(seen).ok()?,
        })
    }

    /// A part that holds it alone.
    pub fn part(&self) -> Option<Part> {
        part(kind::RECORDS, self)
    }

    fn name(&self) -> u64 {
        crate::draw(&[self.origin.as_bytes(), &[self.kind], self.subject.as_bytes()])
    }

    /// A newer one of the same name has a greater version: starts lie further apart than one start has records.
    fn version(&self) -> u64 {
        self.boot.saturating_add(self.seq)
    }
}

struct Held {
    record: Record,
    born: Time,
    sends: u8,
}

/// What one router holds, in a part of the order of names, for another to compare.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    from: u64,
    to: u64,
    held: Vec<(u64, u64)>,
}

/// The records that a router holds.
pub struct Store {
    held: BTreeMap<u64, Held>,
    boots: BTreeMap<String, u64>,
    life: Span,
    sends: u8,
    /// Where the next digest begins.
    next: u64,
    ages: bool,
    ends: bool,
}

impl Store {
    /// A store whose records live so long and are sent so often each.
    ///
    /// `ages` and `ends`: whether records end by age and with their origin's life; tests take that away.
    pub fn new(life: Span, sends: u8, ages: bool, ends: bool) -> Self {
        Store { held: BTreeMap::new(), boots: BTreeMap::new(), life, sends, next: 0, ages, ends }
    }

    /// How many it holds.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// This router started then: what earlier starts said is void.
    pub fn started(&mut self, origin: &str, boot: u64) {
        if !self.ends || self.boots.get(origin).is_some_and(|known| *known >= boot) {
            return;
        }
        if self.boots.len() >= ORIGINS {
            let held = &self.held;
            self.boots.retain(|name, _| held.values().any(|h| h.record.origin == *name));
        }
        self.boots.insert(origin.into(), boot);
        self.held.retain(|_, h| h.record.origin != origin || h.record.boot >= boot);
    }

    /// Takes a record that was so much longer under way than usual; true where it is news.
    pub fn put(&mut self, now: Time, record: Record, late: Span) -> bool {
        let age = crate::ms(u64::from(record.age_ms)) + late;
        let names = record.origin.len() + record.zone.len() + record.subject.len();
        if (self.ages && age > self.life) || names > NAMES || record.body.len() > NAMES {
            return false;
        }
        if self.ends && self.boots.get(&record.origin).is_some_and(|boot| *boot > record.boot) {
            return false;
        }
        let name = record.name();
        if self.held.get(&name).is_some_and(|held| held.record.version() >= record.version()) {
            return false;
        }
        self.started(&record.origin, record.boot);
        let own: Vec<_> =
            self.held.iter().filter(|(n, h)| h.record.origin == record.origin && **n != name).collect();
        let crowded = own.len() >= MOST.1;
        let oldest = |held: &mut dyn Iterator<Item = (&u64, &Held)>| {
            held.min_by_key(|(n, h)| (h.born, **n)).map(|(n, _)| *n)
        };
        let leaves = if crowded {
            oldest(&mut own.into_iter())
        } else if self.held.len() >= MOST.0 {
            oldest(&mut self.held.iter())
        } else {
            None
        };
        leaves.map(|n| self.held.remove(&n));
        self.held.insert(name, Held { record, born: now.saturating_sub(age), sends: self.sends });
        true
    }

    /// Lets go of what is too old.
    pub fn fade(&mut self, now: Time) {
        if self.ages {
            self.held.retain(|_, h| now.saturating_sub(h.born) <= self.life);
        }
    }

    /// The records, with their ages.
    pub fn iter(&self, now: Time) -> impl Iterator<Item = (&Record, Span)> {
        self.held.values().map(move |h| (&h.record, now.saturating_sub(h.born)))
    }

    /// The records that were sent least so far, as many as there is room for; they count as sent once more.
    pub(crate) fn hot(&mut self, now: Time, room: usize) -> Option<Part> {
        let mut hot: Vec<(u8, Time, u64)> =
            self.held.iter().filter(|(_, h)| h.sends > 0).map(|(n, h)| (h.sends, h.born, *n)).collect();
        if hot.is_empty() {
            return None;
        }
        hot.sort_unstable_by(|a, b| b.cmp(a));
        let (part, sent) = self.pack(now, hot.into_iter().map(|(_, _, name)| name), room);
        for name in sent {
            self.held.entry(name).and_modify(|h| h.sends -= 1);
        }
        part
    }

    /// As many of these as there is room for, and which they are.
    fn pack(&self, now: Time, names: impl Iterator<Item = u64>, room: usize) -> (Option<Part>, Vec<u64>) {
        let (mut body, mut sent) = (Vec::new(), Vec::new());
        for name in names {
            let Some(held) = self.held.get(&name) else { continue };
            let age = now.saturating_sub(held.born);
            let age_ms = u32::try_from(age.div_ceil(1_000)).unwrap_or(u32::MAX);
            let Ok(one) = postcard::to_allocvec(&Record { age_ms, ..held.record.clone() }) else { continue };
            if body.len() + one.len() > room {
                break;
            }
            body.extend_from_slice(&one);
            sent.push(name);
        }
        ((!sent.is_empty()).then_some(Part { kind: kind::RECORDS, body }), sent)
    }

    /// The records of a part.
    ///
    /// # Errors
    /// It holds something else.
    pub(crate) fn unpack(mut body: &[u8]) -> Result<Vec<Record>, postcard::Error> {
        let mut records = Vec::new();
        while !body.is_empty() {
            let (record, rest) = postcard::take_from_bytes(body)?;
            records.push(record);
            body = rest;
        }
        Ok(records)
    }

    /// What is held, from where the last digest ended.
    pub(crate) fn digest(&mut self) -> Digest {
        let from = self.next;
        let entries = self.held.range(from..).take(DIGEST + 1).map(|(n, h)| (*n, h.record.version()));
        let mut held: Vec<(u64, u64)> = entries.collect();
        let more = (held.len() > DIGEST).then(|| held.pop()).flatten();
        self.next = more.map_or(0, |(name, _)| name);
        Digest { from, to: more.map_or(u64::MAX, |(name, _)| name - 1), held }
    }

    /// What the other lacks, and the names of what it has and is lacking here.
    pub(crate) fn compare(&self, now: Time, theirs: &Digest, room: usize) -> (Option<Part>, Vec<u64>) {
        if theirs.from > theirs.to {
            return (None, Vec::new());
        }
        let told: BTreeMap<u64, u64> = theirs.held.iter().copied().collect();
        let lacking = self.held.range(theirs.from..=theirs.to);
        let lacking = lacking.filter(|(n, h)| told.get(n).is_none_or(|v| *v < h.record.version()));
        let (part, _) = self.pack(now, lacking.map(|(n, _)| *n), room);
        let newer = |(n, v): &(u64, u64)| self.held.get(n).is_none_or(|h| h.record.version() < *v);
        (part, told.into_iter().filter(newer).map(|(n, _)| n).take(DIGEST).collect())
    }

    /// The records of these names.
    pub(crate) fn wanted(&self, now: Time, names: &[u64], room: usize) -> Option<Part> {
        self.pack(now, names.iter().take(DIGEST).copied(), room).0
    }
}

/// A node's name and start as a record's subject: another start is another subject.
pub(crate) fn subject(node: &NodeId, started: Option<Time>) -> String {
    format!("{node}\n{}", started.unwrap_or(0))
}

/// A part with this body.
pub(crate) fn part<T: Serialize>(kind: u8, body: &T) -> Option<Part> {
    postcard::to_allocvec(body).ok().map(|body| Part { kind, body })
}

/// Parts of one kind.
pub(crate) fn of(envelope: &Envelope, kind: u8) -> impl Iterator<Item = &[u8]> {
    envelope.parts.iter().filter(move |p| p.kind == kind).map(|p| p.body.as_slice())
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: Time = 1_000_000;

    fn record(origin: &str, boot: u64, seq: u64, age_ms: u32) -> Record {
        let zone = "a".to_string();
        Record {
            origin: origin.into(),
            boot,
            zone,
            seq,
            age_ms,
            kind: 1,
            subject: format!("s{seq}"),
            body: vec![1],
        }
    }

    fn store() -> Store {
        Store::new(15 * S, 4, true, true)
    }

    #[test]
    fn records_end_by_their_age_wherever_they_were_in_between() {
        // Danger: each router that passes a record on would make it young again, and it would never end.
        let (mut a, mut b) = (store(), store());
        assert!(a.put(100 * S, record("n1", 1, 1, 4_000), 0));
        let sent = a.hot(105 * S, 1_000).expect("it is hot");
        let came = Store::unpack(&sent.body).expect("records");
        assert_eq!(came[0].age_ms, 9_000);
        // Another machine, with another clock, by way of a slow link.
        assert!(b.put(1_007 * S, came[0].clone(), 2 * S));
        b.fade(1_011 * S);
        assert_eq!(b.len(), 1);
        b.fade(1_012 * S);
        assert_eq!(b.len(), 0);
        assert!(!b.put(1_012 * S, record("n1", 1, 2, 16_000), 0), "it is over on arrival");
    }

    #[test]
    fn a_restart_ends_what_the_old_life_said_and_nothing_of_it_comes_back() {
        let mut store = store();
        assert!(store.put(S, record("n1", 1, 9, 0), 0) && store.put(S, record("n2", 1, 9, 0), 0));
        store.started("n1", 2);
        assert_eq!(store.len(), 1);
        assert!(!store.put(S, record("n1", 1, 10, 0), 0), "a late datagram of the old life");
        assert!(store.put(S, record("n1", 2, 1, 0), 0));
    }

    #[test]
    fn the_same_or_an_older_record_is_no_news() {
        let mut store = store();
        let of =
            |seq: u64, body: u8| Record { subject: "s".into(), body: vec![body], ..record("n1", 1, seq, 0) };
        assert!(store.put(S, of(2, 7), 0));
        assert!(!store.put(S, of(2, 8), 0) && !store.put(S, of(1, 8), 0) && store.put(S, of(3, 9), 0));
        assert_eq!(store.len(), 1);
    }

    #[test]
    fn comparing_finds_what_either_lacks_however_much_it_is() {
        let (mut a, mut b) = (store(), store());
        for n in 0..300 {
            let told = record(&format!("n{}", n / 4), 1, n, 0);
            if n % 3 != 0 {
                a.put(S, told.clone(), 0);
            }
            if n % 3 != 1 {
                b.put(S, told, 0);
            }
        }
        let mut rounds = 0;
        while a.len() < 300 || b.len() < 300 {
            rounds += 1;
            assert!(rounds < 60, "{} and {}", a.len(), b.len());
            let digest = a.digest();
            assert!(part(kind::DIGEST, &digest).is_some_and(|p| p.body.len() < 1_000));
            let (lacking, wanted) = b.compare(S, &digest, 1_000);
            for r in lacking.iter().flat_map(|p| Store::unpack(&p.body).expect("records")) {
                a.put(S, r, 0);
            }
            for r in a.wanted(S, &wanted, 1_000).iter().flat_map(|p| Store::unpack(&p.body).expect("records"))
            {
                b.put(S, r, 0);
            }
        }
    }

    #[test]
    fn what_is_held_is_bounded_for_each_origin_and_for_all() {
        let mut store = store();
        for n in 0..1_000 {
            store.put(S + n, record("loud", 1, n, 0), 0);
        }
        assert_eq!(store.len(), MOST.1);
        for n in 0..6_000 {
            store.put(S, record(&format!("n{n}"), 1, 1, 0), 0);
        }
        assert_eq!(store.len(), MOST.0);
        assert!(!store.put(S, Record { body: vec![0; 500], ..record("n", 1, 1, 0) }, 0), "a body has an end");
    }
}
