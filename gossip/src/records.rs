//! What each router says of what it saw: versioned by origin, start and sequence, ended by age, and repaired.

use crate::datagram::{Envelope, Part, kind};
use crate::event::ObserverReport;
use crate::incarnation::Incarnation;
use crate::observations::Observation;
use crate::outlier_vote::Opinion;
use plovercove::{Micros, NodeId, Time};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Records that are held, of all routers together and of one.
const MOST: (usize, usize) = (4_096, 64);
/// Origins whose present start is remembered.
const ORIGINS: usize = 4_096;
/// Names that are numbered before all are numbered anew.
const NUMBERS: usize = 4 * MOST.0;
/// Entries of one digest, so that it fits in a datagram beside a roll of the members.
const DIGEST: usize = 36;
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
    pub fn from_observation(
        incarnation: &Incarnation,
        seq: u64,
        node: &NodeId,
        started: Option<Time>,
        seen: &Observation,
    ) -> Option<Record> {
        Some(Record {
            origin: incarnation.name.clone(),
            boot: incarnation.boot,
            zone: incarnation.zone.clone(),
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
        crate::draw(&[
            self.origin.as_bytes(),
            &[self.kind],
            self.subject.as_bytes(),
        ])
    }

    /// A newer one of the same name has a greater version: starts lie further apart than one start has records.
    fn version(&self) -> u64 {
        self.boot.saturating_add(self.seq)
    }
}

struct Held {
    record: Record,
    /// What it says of a node, read once; and its origin, zone and subject as numbers.
    seen: Observation,
    numbers: [u32; 3],
    born: Time,
    sends: u8,
}

impl Held {
    /// Its place among what is to be sent: what was sent least first, then the youngest.
    fn heat(&self, name: u64) -> (Reverse<u8>, Reverse<Time>, u64) {
        (Reverse(self.sends), Reverse(self.born), name)
    }
}

/// What one router holds, in a part of the order of names, for another to compare.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    from: u64,
    to: u64,
    held: Vec<(u64, u64)>,
}

/// Numbers for names: judging compares thousands of them ten times a second.
#[derive(Default)]
struct Numbers(HashMap<String, u32>);

impl Numbers {
    fn of(&mut self, name: &str) -> u32 {
        if let Some(known) = self.0.get(name) {
            return *known;
        }
        let number = self.0.len() as u32;
        self.0.insert(name.into(), number);
        number
    }
}

/// The records that a router holds.
pub struct RecordStore {
    numbers: Numbers,
    held: BTreeMap<u64, Held>,
    /// Those that are to be sent, in that order.
    hot: BTreeSet<(Reverse<u8>, Reverse<Time>, u64)>,
    /// The names of each origin's records.
    of: BTreeMap<String, BTreeSet<u64>>,
    boots: BTreeMap<String, u64>,
    incarnation: Micros,
    sends: u8,
    /// Where the next digest begins.
    next: u64,
    ages: bool,
    ends: bool,
}

impl RecordStore {
    /// A store whose records live so long and are sent so often each.
    ///
    /// `ages` and `ends`: whether records end by age and with their origin's life; tests take that away.
    pub fn new(incarnation: Micros, sends: u8, ages: bool, ends: bool) -> Self {
        RecordStore {
            numbers: Numbers::default(),
            held: BTreeMap::new(),
            hot: BTreeSet::new(),
            of: BTreeMap::new(),
            boots: BTreeMap::new(),
            incarnation,
            sends,
            next: 0,
            ages,
            ends,
        }
    }

    /// How many it holds.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether it holds none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// The one place where a record is let go.
    fn remove(&mut self, name: u64) {
        let Some(held) = self.held.remove(&name) else {
            return;
        };
        self.hot.remove(&held.heat(name));
        if let Some(names) = self.of.get_mut(&held.record.origin) {
            names.remove(&name);
            if names.is_empty() {
                self.of.remove(&held.record.origin);
            }
        }
    }

    /// This router started then: what earlier starts said is void.
    pub fn started(&mut self, origin: &str, boot: u64) {
        if !self.ends || self.boots.get(origin).is_some_and(|known| *known >= boot) {
            return;
        }
        if self.boots.len() >= ORIGINS {
            let of = &self.of;
            self.boots.retain(|name, _| of.contains_key(name));
        }
        self.boots.insert(origin.into(), boot);
        let names = self.of.get(origin).cloned().unwrap_or_default();
        for name in names {
            if self.held.get(&name).is_some_and(|h| h.record.boot < boot) {
                self.remove(name);
            }
        }
    }

    /// Takes a record that was so much longer under way than usual; true where it is news.
    pub fn put(&mut self, now: Time, record: Record, late: Micros) -> bool {
        let age = crate::ms(u64::from(record.age_ms)) + late;
        let names = record.origin.len() + record.zone.len() + record.subject.len();
        if (self.ages && age > self.incarnation) || names > NAMES || record.body.len() > NAMES {
            return false;
        }
        if self.ends
            && self
                .boots
                .get(&record.origin)
                .is_some_and(|boot| *boot > record.boot)
        {
            return false;
        }
        let name = record.name();
        if self
            .held
            .get(&name)
            .is_some_and(|held| held.record.version() >= record.version())
        {
            return false;
        }
        let Ok(seen) = postcard::from_bytes::<Observation>(&record.body) else {
            return false;
        };
        self.started(&record.origin, record.boot);
        self.remove(name);
        let of = self.of.get(&record.origin);
        let oldest = |all: &mut dyn Iterator<Item = &u64>| {
            all.filter_map(|n| Some((self.held.get(n)?.born, *n)))
                .min()
                .map(|(_, n)| n)
        };
        let leaves = match of {
            Some(own) if own.len() >= MOST.1 => oldest(&mut own.iter()),
            _ if self.held.len() >= MOST.0 => oldest(&mut self.held.keys()),
            _ => None,
        };
        if let Some(leaves) = leaves {
            self.remove(leaves);
        }
        self.of
            .entry(record.origin.clone())
            .or_default()
            .insert(name);
        if self.numbers.0.len() > NUMBERS {
            // Names that nobody uses any more: all are numbered anew.
            self.numbers.0.clear();
            for held in self.held.values_mut() {
                let r = &held.record;
                held.numbers = [&r.origin, &r.zone, &r.subject].map(|name| self.numbers.of(name));
            }
        }
        let numbers =
            [&record.origin, &record.zone, &record.subject].map(|name| self.numbers.of(name));
        let held = Held {
            record,
            seen,
            numbers,
            born: now.saturating_sub(age),
            sends: self.sends,
        };
        self.hot.insert(held.heat(name));
        self.held.insert(name, held);
        true
    }

    /// Lets go of what is too old.
    pub fn fade(&mut self, now: Time) {
        let over = |h: &Held| now.saturating_sub(h.born) > self.incarnation;
        let over: Vec<u64> = self
            .held
            .iter()
            .filter(|(_, h)| self.ages && over(h))
            .map(|(name, _)| *name)
            .collect();
        over.into_iter().for_each(|name| self.remove(name));
    }

    /// What is said of each subject, by its number.
    pub(crate) fn opinions(&self, now: Time) -> HashMap<u32, Vec<Opinion>> {
        let mut all: HashMap<u32, Vec<Opinion>> = HashMap::new();
        for Held {
            seen,
            numbers: [observer, zone, subject],
            born,
            ..
        } in self.held.values()
        {
            let age = now.saturating_sub(*born);
            let opinion = Opinion {
                observer: *observer,
                zone: *zone,
                seen: *seen,
                age,
            };
            all.entry(*subject).or_default().push(opinion);
        }
        all
    }

    /// What is said of one subject, with the names of who says it.
    pub(crate) fn testimonies(&self, now: Time, subject: &str) -> Vec<ObserverReport> {
        let held = self.held.values();
        let of_subject = held.filter(|held| held.record.subject == subject);
        of_subject
            .map(|held| ObserverReport {
                observer: held.record.origin.clone(),
                zone: held.record.zone.clone(),
                observation: held.seen,
                age: now.saturating_sub(held.born),
            })
            .collect()
    }

    /// The number of a name, if any record has it.
    pub(crate) fn number(&self, name: &str) -> Option<u32> {
        self.numbers.0.get(name).copied()
    }

    /// The records that were sent least so far, as many as there is room for; they count as sent once more.
    pub(crate) fn hot(&mut self, now: Time, room: usize) -> Option<Part> {
        if self.hot.is_empty() {
            return None;
        }
        let (part, sent) = self.pack(now, self.hot.iter().map(|(_, _, name)| *name), room);
        for name in sent {
            if let Some(held) = self.held.get_mut(&name) {
                self.hot.remove(&held.heat(name));
                held.sends -= 1;
                if held.sends > 0 {
                    self.hot.insert(held.heat(name));
                }
            }
        }
        part
    }

    /// As many of these as there is room for, and which they are.
    fn pack(
        &self,
        now: Time,
        names: impl Iterator<Item = u64>,
        room: usize,
    ) -> (Option<Part>, Vec<u64>) {
        let (mut body, mut sent) = (Vec::new(), Vec::new());
        for name in names {
            let Some(Held {
                record: r, born, ..
            }) = self.held.get(&name)
            else {
                continue;
            };
            let age = now.saturating_sub(*born);
            let age_ms = u32::try_from(age.div_ceil(1_000)).unwrap_or(u32::MAX);
            // A record with its age of now; the fields as in `Record`.
            let aged = (
                &r.origin, r.boot, &r.zone, r.seq, age_ms, r.kind, &r.subject, &r.body,
            );
            let before = body.len();
            let Ok(longer) = postcard::to_extend(&aged, std::mem::take(&mut body)) else {
                break;
            };
            body = longer;
            if body.len() > room {
                body.truncate(before);
                break;
            }
            sent.push(name);
        }
        (
            (!sent.is_empty()).then_some(Part {
                kind: kind::RECORDS,
                body,
            }),
            sent,
        )
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
        let entries = self
            .held
            .range(from..)
            .take(DIGEST + 1)
            .map(|(n, h)| (*n, h.record.version()));
        let mut held: Vec<(u64, u64)> = entries.collect();
        let more = (held.len() > DIGEST).then(|| held.pop()).flatten();
        self.next = more.map_or(0, |(name, _)| name);
        Digest {
            from,
            to: more.map_or(u64::MAX, |(name, _)| name - 1),
            held,
        }
    }

    /// What the other lacks, and the names of what it has and is lacking here.
    pub(crate) fn compare(
        &self,
        now: Time,
        theirs: &Digest,
        room: usize,
    ) -> (Option<Part>, Vec<u64>) {
        if theirs.from > theirs.to {
            return (None, Vec::new());
        }
        let told: BTreeMap<u64, u64> = theirs.held.iter().copied().collect();
        let lacking = self.held.range(theirs.from..=theirs.to);
        let lacking = lacking.filter(|(n, h)| told.get(n).is_none_or(|v| *v < h.record.version()));
        let (part, _) = self.pack(now, lacking.map(|(n, _)| *n), room);
        let newer = |(n, v): &(u64, u64)| self.held.get(n).is_none_or(|h| h.record.version() < *v);
        (
            part,
            told.into_iter()
                .filter(newer)
                .map(|(n, _)| n)
                .take(DIGEST)
                .collect(),
        )
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
    postcard::to_allocvec(body)
        .ok()
        .map(|body| Part { kind, body })
}

/// Parts of one kind.
pub(crate) fn of(envelope: &Envelope, kind: u8) -> impl Iterator<Item = &[u8]> {
    envelope
        .parts
        .iter()
        .filter(move |p| p.kind == kind)
        .map(|p| p.body.as_slice())
}

#[cfg(test)]
mod tests;
