//! Records: what each router publishes about the database nodes.
//!
//! A record has a version by origin, start and sequence number. It expires by age, and lost records are repaired by comparing
//! digests.

use crate::datagram::{Envelope, Part, part_kind};
use crate::event::ObserverReport;
use crate::incarnation::Incarnation;
use crate::observations::Observation;
use crate::outlier_vote::Opinion;
use plovercove::{Micros, NodeId, Time};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of stored records of all routers together.
const MAX_RECORDS: usize = 4_096;
/// Maximum number of stored records of one router.
const MAX_RECORDS_PER_ORIGIN: usize = 64;
/// Maximum number of origins whose present start is remembered.
const MAX_ORIGINS: usize = 4_096;
/// Number of numbered names beyond which all names in use are numbered anew.
const MAX_NUMBERED_NAMES: usize = 4 * MAX_RECORDS;
/// Maximum number of entries of a digest, so that it fits in a datagram together with the checksums of the members.
const MAX_DIGEST_ENTRIES: usize = 36;
/// Maximum length of all names of a record together, and of its body (bytes).
const MAX_FIELD_BYTES: usize = 128;

/// Kinds of records.
pub(crate) mod record_kind {
    /// Observation of a database node.
    pub const NODE: u8 = 1;
}

/// Versioned statement of one router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the router that published it.
    pub origin: String,
    /// Start of the origin's process.
    pub boot: u64,
    /// Zone of the origin.
    pub zone: String,
    /// Sequence number, which rises with each record of an origin.
    pub seq: u64,
    /// Age of the record when it was sent (ms), by which it expires without a comparison of clocks.
    pub age_ms: u32,
    /// Kind of the record. Unknown kinds are skipped.
    pub kind: u8,
    /// Subject of the record, for example a node and its start.
    pub subject: String,
    /// Encoded content.
    pub body: Vec<u8>,
}

impl Record {
    /// Creates the record of a router's observation of a node since the start of that node.
    pub fn from_observation(
        incarnation: &Incarnation,
        seq: u64,
        node: &NodeId,
        started: Option<Time>,
        observation: &Observation,
    ) -> Option<Record> {
        Some(Record {
            origin: incarnation.name.clone(),
            boot: incarnation.boot,
            zone: incarnation.zone.clone(),
            seq,
            age_ms: 0,
            kind: record_kind::NODE,
            subject: subject_of(node, started),
            body: postcard::to_allocvec(observation).ok()?,
        })
    }

    /// Returns a part of a datagram with only this record.
    pub fn to_part(&self) -> Option<Part> {
        encode_part(part_kind::RECORDS, self)
    }

    /// Returns the name of the record, a hash of its origin, kind and subject.
    fn name(&self) -> u64 {
        crate::shared_draw(&[
            self.origin.as_bytes(),
            &[self.kind],
            self.subject.as_bytes(),
        ])
    }

    /// Returns the version. A newer record with the same name has a higher version, since two starts lie further apart (us)
    /// than the number of records of one start.
    fn version(&self) -> u64 {
        self.boot.saturating_add(self.seq)
    }
}

struct StoredRecord {
    record: Record,
    /// The decoded body.
    observation: Observation,
    /// Numbers of the origin, the zone and the subject.
    numbers: [u32; 3],
    published_at: Time,
    remaining_transmissions: u8,
}

impl StoredRecord {
    /// Returns the position in the send queue. Records that were sent least come first, then the youngest.
    fn send_position(&self, name: u64) -> (Reverse<u8>, Reverse<Time>, u64) {
        (
            Reverse(self.remaining_transmissions),
            Reverse(self.published_at),
            name,
        )
    }
}

/// Names and versions of the records that a router has within a range of names, for another router to compare.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Digest {
    /// First name of the range.
    from: u64,
    /// Last name of the range.
    to: u64,
    /// Name and version of each record.
    entries: Vec<(u64, u64)>,
}

/// Numbers in place of names, since a review compares thousands of names ten times per second.
#[derive(Default)]
struct NumberedNames(HashMap<String, u32>);

impl NumberedNames {
    fn number_of(&mut self, name: &str) -> u32 {
        if let Some(known) = self.0.get(name) {
            return *known;
        }
        let number = self.0.len() as u32;
        self.0.insert(name.into(), number);
        number
    }
}

/// Store of the records that a router knows.
pub struct RecordStore {
    numbered_names: NumberedNames,
    records: BTreeMap<u64, StoredRecord>,
    /// Records that are still to be sent, in the order of sending.
    send_queue: BTreeSet<(Reverse<u8>, Reverse<Time>, u64)>,
    /// Names of the records of each origin.
    names_by_origin: BTreeMap<String, BTreeSet<u64>>,
    /// Present start of each origin.
    boots: BTreeMap<String, u64>,
    lifetime: Micros,
    transmissions: u8,
    /// Name at which the next digest begins.
    next_digest_from: u64,
    expires_by_age: bool,
    expires_by_start: bool,
}

impl RecordStore {
    /// Creates a store whose records expire after `lifetime` and are sent `transmissions` times each.
    ///
    /// `expires_by_age` and `expires_by_start` say whether records expire by age and with a new start of their origin. Only
    /// tests disable them.
    pub fn new(
        lifetime: Micros,
        transmissions: u8,
        expires_by_age: bool,
        expires_by_start: bool,
    ) -> Self {
        RecordStore {
            numbered_names: NumberedNames::default(),
            records: BTreeMap::new(),
            send_queue: BTreeSet::new(),
            names_by_origin: BTreeMap::new(),
            boots: BTreeMap::new(),
            lifetime,
            transmissions,
            next_digest_from: 0,
            expires_by_age,
            expires_by_start,
        }
    }

    /// Returns the number of stored records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes a record from all indexes. Nothing else removes records.
    fn remove(&mut self, name: u64) {
        let Some(stored) = self.records.remove(&name) else {
            return;
        };
        self.send_queue.remove(&stored.send_position(name));
        if let Some(names) = self.names_by_origin.get_mut(&stored.record.origin) {
            names.remove(&name);
            if names.is_empty() {
                self.names_by_origin.remove(&stored.record.origin);
            }
        }
    }

    /// Notes the start of a router, and removes its records from earlier starts.
    pub fn note_start(&mut self, origin: &str, boot: u64) {
        if !self.expires_by_start || self.boots.get(origin).is_some_and(|known| *known >= boot) {
            return;
        }
        if self.boots.len() >= MAX_ORIGINS {
            let names_by_origin = &self.names_by_origin;
            self.boots
                .retain(|origin, _| names_by_origin.contains_key(origin));
        }
        self.boots.insert(origin.into(), boot);
        let names = self
            .names_by_origin
            .get(origin)
            .cloned()
            .unwrap_or_default();
        for name in names {
            if self
                .records
                .get(&name)
                .is_some_and(|stored| stored.record.boot < boot)
            {
                self.remove(name);
            }
        }
    }

    /// Stores a record, whose age rises by the delay of its datagram. Returns whether the record is new.
    pub fn insert(&mut self, now: Time, record: Record, delay: Micros) -> bool {
        let age = crate::ms_to_us(u64::from(record.age_ms)) + delay;
        let names_bytes = record.origin.len() + record.zone.len() + record.subject.len();
        if (self.expires_by_age && age > self.lifetime)
            || names_bytes > MAX_FIELD_BYTES
            || record.body.len() > MAX_FIELD_BYTES
        {
            return false;
        }
        if self.expires_by_start
            && self
                .boots
                .get(&record.origin)
                .is_some_and(|boot| *boot > record.boot)
        {
            return false;
        }
        let name = record.name();
        if self
            .records
            .get(&name)
            .is_some_and(|stored| stored.record.version() >= record.version())
        {
            return false;
        }
        let Ok(observation) = postcard::from_bytes::<Observation>(&record.body) else {
            return false;
        };
        self.note_start(&record.origin, record.boot);
        self.remove(name);
        let own_names = self.names_by_origin.get(&record.origin);
        let oldest = |all: &mut dyn Iterator<Item = &u64>| {
            all.filter_map(|n| Some((self.records.get(n)?.published_at, *n)))
                .min()
                .map(|(_, n)| n)
        };
        let removed = match own_names {
            Some(own) if own.len() >= MAX_RECORDS_PER_ORIGIN => oldest(&mut own.iter()),
            _ if self.records.len() >= MAX_RECORDS => oldest(&mut self.records.keys()),
            _ => None,
        };
        if let Some(removed) = removed {
            self.remove(removed);
        }
        self.names_by_origin
            .entry(record.origin.clone())
            .or_default()
            .insert(name);
        if self.numbered_names.0.len() > MAX_NUMBERED_NAMES {
            // Some of the names are not used any more, so all names in use are numbered anew.
            self.numbered_names.0.clear();
            for stored in self.records.values_mut() {
                let record = &stored.record;
                stored.numbers = [&record.origin, &record.zone, &record.subject]
                    .map(|name| self.numbered_names.number_of(name));
            }
        }
        let numbers = [&record.origin, &record.zone, &record.subject]
            .map(|name| self.numbered_names.number_of(name));
        let stored = StoredRecord {
            record,
            observation,
            numbers,
            published_at: now.saturating_sub(age),
            remaining_transmissions: self.transmissions,
        };
        self.send_queue.insert(stored.send_position(name));
        self.records.insert(name, stored);
        true
    }

    /// Removes records that have expired.
    pub fn remove_expired(&mut self, now: Time) {
        let is_expired =
            |stored: &StoredRecord| now.saturating_sub(stored.published_at) > self.lifetime;
        let expired: Vec<u64> = self
            .records
            .iter()
            .filter(|(_, stored)| self.expires_by_age && is_expired(stored))
            .map(|(name, _)| *name)
            .collect();
        expired.into_iter().for_each(|name| self.remove(name));
    }

    /// Returns all opinions by the number of their subject.
    pub(crate) fn opinions(&self, now: Time) -> HashMap<u32, Vec<Opinion>> {
        let mut all: HashMap<u32, Vec<Opinion>> = HashMap::new();
        for StoredRecord {
            observation,
            numbers: [observer, zone, subject],
            published_at,
            ..
        } in self.records.values()
        {
            let age = now.saturating_sub(*published_at);
            let opinion = Opinion {
                observer: *observer,
                zone: *zone,
                observation: *observation,
                age,
            };
            all.entry(*subject).or_default().push(opinion);
        }
        all
    }

    /// Returns the reports of all observers about one subject.
    pub(crate) fn reports(&self, now: Time, subject: &str) -> Vec<ObserverReport> {
        let stored = self.records.values();
        let of_subject = stored.filter(|stored| stored.record.subject == subject);
        of_subject
            .map(|stored| ObserverReport {
                observer: stored.record.origin.clone(),
                zone: stored.record.zone.clone(),
                observation: stored.observation,
                age: now.saturating_sub(stored.published_at),
            })
            .collect()
    }

    /// Returns the number of a name, or `None` if no record has the name.
    pub(crate) fn number(&self, name: &str) -> Option<u32> {
        self.numbered_names.0.get(name).copied()
    }

    /// Returns a part with the records that were sent least so far, up to this size, and counts them as sent once more.
    pub(crate) fn next_part(&mut self, now: Time, max_bytes: usize) -> Option<Part> {
        if self.send_queue.is_empty() {
            return None;
        }
        let (part, sent) = self.pack(
            now,
            self.send_queue.iter().map(|(_, _, name)| *name),
            max_bytes,
        );
        for name in sent {
            if let Some(stored) = self.records.get_mut(&name) {
                self.send_queue.remove(&stored.send_position(name));
                stored.remaining_transmissions -= 1;
                if stored.remaining_transmissions > 0 {
                    self.send_queue.insert(stored.send_position(name));
                }
            }
        }
        part
    }

    /// Encodes records until the part reaches this size. Returns the part, and the names of the records in it.
    fn pack(
        &self,
        now: Time,
        names: impl Iterator<Item = u64>,
        max_bytes: usize,
    ) -> (Option<Part>, Vec<u64>) {
        let (mut body, mut sent) = (Vec::new(), Vec::new());
        for name in names {
            let Some(StoredRecord {
                record,
                published_at,
                ..
            }) = self.records.get(&name)
            else {
                continue;
            };
            let age = now.saturating_sub(*published_at);
            let age_ms = u32::try_from(age.div_ceil(1_000)).unwrap_or(u32::MAX);
            // The record with its present age. The fields are those of `Record`, in the same order.
            let aged = (
                &record.origin,
                record.boot,
                &record.zone,
                record.seq,
                age_ms,
                record.kind,
                &record.subject,
                &record.body,
            );
            let length_before = body.len();
            let Ok(longer) = postcard::to_extend(&aged, std::mem::take(&mut body)) else {
                break;
            };
            body = longer;
            if body.len() > max_bytes {
                body.truncate(length_before);
                break;
            }
            sent.push(name);
        }
        (
            (!sent.is_empty()).then_some(Part {
                kind: part_kind::RECORDS,
                body,
            }),
            sent,
        )
    }

    /// Decodes the records of a part.
    ///
    /// # Errors
    /// Returns an error if the part contains anything else.
    pub(crate) fn unpack(mut body: &[u8]) -> Result<Vec<Record>, postcard::Error> {
        let mut records = Vec::new();
        while !body.is_empty() {
            let (record, rest) = postcard::take_from_bytes(body)?;
            records.push(record);
            body = rest;
        }
        Ok(records)
    }

    /// Returns the digest of the next range of names, which begins after the range of the last digest.
    pub(crate) fn digest(&mut self) -> Digest {
        let from = self.next_digest_from;
        let entries = self
            .records
            .range(from..)
            .take(MAX_DIGEST_ENTRIES + 1)
            .map(|(name, stored)| (*name, stored.record.version()));
        let mut entries: Vec<(u64, u64)> = entries.collect();
        let more = (entries.len() > MAX_DIGEST_ENTRIES)
            .then(|| entries.pop())
            .flatten();
        self.next_digest_from = more.map_or(0, |(name, _)| name);
        Digest {
            from,
            to: more.map_or(u64::MAX, |(name, _)| name - 1),
            entries,
        }
    }

    /// Compares the digest of another router with the store. Returns a part with the records that the other router lacks, and
    /// the names of the records that are missing here.
    pub(crate) fn compare_digest(
        &self,
        now: Time,
        theirs: &Digest,
        max_bytes: usize,
    ) -> (Option<Part>, Vec<u64>) {
        if theirs.from > theirs.to {
            return (None, Vec::new());
        }
        let their_versions: BTreeMap<u64, u64> = theirs.entries.iter().copied().collect();
        let missing_there = self.records.range(theirs.from..=theirs.to);
        let missing_there = missing_there.filter(|(name, stored)| {
            their_versions
                .get(name)
                .is_none_or(|version| *version < stored.record.version())
        });
        let (part, _) = self.pack(now, missing_there.map(|(name, _)| *name), max_bytes);
        let is_missing_here = |(name, version): &(u64, u64)| {
            let stored = self.records.get(name);
            stored.is_none_or(|stored| stored.record.version() < *version)
        };
        (
            part,
            their_versions
                .into_iter()
                .filter(is_missing_here)
                .map(|(name, _)| name)
                .take(MAX_DIGEST_ENTRIES)
                .collect(),
        )
    }

    /// Returns a part with the records of these names.
    pub(crate) fn part_with(&self, now: Time, names: &[u64], max_bytes: usize) -> Option<Part> {
        self.pack(
            now,
            names.iter().take(MAX_DIGEST_ENTRIES).copied(),
            max_bytes,
        )
        .0
    }
}

/// Returns the subject of records about a node. It contains the start of the node, so another start is another subject.
pub(crate) fn subject_of(node: &NodeId, started: Option<Time>) -> String {
    format!("{node}\n{}", started.unwrap_or(0))
}

/// Encodes a part of this kind, or returns `None` if it cannot be encoded.
pub(crate) fn encode_part<T: Serialize>(kind: u8, body: &T) -> Option<Part> {
    postcard::to_allocvec(body)
        .ok()
        .map(|body| Part { kind, body })
}

/// Returns the bodies of the parts of one kind.
pub(crate) fn bodies_of_kind(envelope: &Envelope, kind: u8) -> impl Iterator<Item = &[u8]> {
    envelope
        .parts
        .iter()
        .filter(move |p| p.kind == kind)
        .map(|p| p.body.as_slice())
}

#[cfg(test)]
mod tests;
