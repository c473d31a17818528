//! One router's gossip: datagrams in and out, the time, and what follows for the nodes.

use crate::budget::Budget;
use crate::datagram::{DatagramFault, Envelope, Keys, Part, kind, payload_kind};
use crate::event::{Counts, GossipEvent, ReceivedPart, Snapshot};
use crate::incarnation::Incarnation;
use crate::members::{Change, Members, Roll};
use crate::observer::Observer;
use crate::outlier_vote::Verdict;
use crate::records::{Digest, RecordStore, about, of, part};
use crate::replay::ReplayGuard;
use crate::review::Flaps;
use crate::rules::{Guard, REVIEW, Rules};
use plovercove::{Micros, NodeId, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// A router that was stopped doubts for so long what it sees fail.
const DOUBT_AFTER_STOP: Micros = 2_000_000;
/// Datagrams that are dropped for one cause are told in one line in this time.
const DROPPED_LOG_INTERVAL: Micros = 10_000_000;
/// Events that wait to be taken, at the most.
const MAX_EVENTS: usize = 256;
/// Parts for other crates that wait to be taken: several times what one turn of the loop reads.
const MAX_RECEIVED_PARTS: usize = 512;
/// Bytes that a part needs beside its body.
const PART_OVERHEAD: usize = 8;
/// Bytes that records need beside a message of membership.
const RECORDS_OVERHEAD: usize = 16;

/// A datagram that is to be sent.
pub type Datagram = (SocketAddr, Vec<u8>);

/// One router among its peers.
pub struct Gossip {
    pub(crate) rules: Rules,
    keys: Keys,
    /// This life as it began.
    pub(crate) me: Incarnation,
    room: usize,
    pub(crate) members: Members,
    replays: ReplayGuard,
    pub(crate) store: RecordStore,
    dice: Pcg64Mcg,
    began: Time,
    seq: u64,
    pub(crate) records: u64,
    gossip_at: Time,
    repair_at: Time,
    review_at: Time,
    budget: Budget,
    pub(crate) verdicts: BTreeMap<NodeId, Verdict>,
    pub(crate) flaps: BTreeMap<NodeId, Flaps>,
    out: Vec<Datagram>,
    events: VecDeque<GossipEvent>,
    received_parts: VecDeque<ReceivedPart>,
    counted: Option<usize>,
    dropped: BTreeMap<DatagramFault, (u64, Time)>,
    counts: Counts,
    left: bool,
}

impl Gossip {
    /// A router that knows nobody yet.
    pub fn new(rules: Rules, keys: Keys, me: Incarnation, now: Time, seed: u64) -> Self {
        let room = Keys::room(&me);
        let mut dice = Pcg64Mcg::seed_from_u64(seed ^ me.boot);
        let members = Members::new(me.clone(), &rules, room, dice.random());
        let mut store = RecordStore::new(
            rules.evidence_lifetime(),
            rules.sends(),
            rules.on(Guard::Age),
            rules.on(Guard::OldLife),
        );
        store.started(&me.name, me.boot);
        // Each begins at a time of its own: all may have been started at once.
        let mut within = |ms: u64| now + dice.random_range(0..=crate::ms(ms));
        let (gossip_at, repair_at, review_at) = (
            within(rules.gossip_ms),
            within(rules.repair_ms),
            within(REVIEW / 1_000),
        );
        Gossip {
            keys,
            room,
            members,
            replays: ReplayGuard::default(),
            store,
            began: now,
            seq: 0,
            records: 0,
            gossip_at,
            repair_at,
            review_at,
            budget: Budget::new(rules.datagrams_per_s, rules.bytes_per_s, now),
            verdicts: BTreeMap::new(),
            flaps: BTreeMap::new(),
            out: Vec::new(),
            events: VecDeque::new(),
            received_parts: VecDeque::new(),
            counted: None,
            dropped: BTreeMap::new(),
            counts: Counts::default(),
            left: false,
            dice,
            rules,
            me,
        }
    }

    /// The settings.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Other keys hold from now on.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// When something is due.
    pub fn next_deadline(&self) -> Time {
        if self.left {
            return Time::MAX;
        }
        self.members
            .next()
            .min(self.gossip_at)
            .min(self.repair_at)
            .min(self.review_at)
    }

    /// What is to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// A line for the log, while there is one.
    pub fn next_event(&mut self) -> Option<GossipEvent> {
        self.events.pop_front()
    }

    /// A part that came for another crate, while there is one. Nobody who does not ask holds them: past a bound the
    /// oldest go.
    pub fn next_received_part(&mut self) -> Option<ReceivedPart> {
        self.received_parts.pop_front()
    }

    /// Sends a part of another crate, within the budget; false where it was not sent.
    pub fn send_part(&mut self, now: Time, to: SocketAddr, kind: u8, body: Vec<u8>) -> bool {
        let before = self.seq;
        if !self.left && payload_kind::RANGE.contains(&kind) {
            self.send(now, to, vec![Part { kind, body }]);
        }
        self.seq > before
    }

    /// How long the body of a part may be that is sent alone (bytes).
    pub fn max_body_bytes(&self) -> usize {
        self.room - PART_OVERHEAD
    }

    /// This life.
    pub fn identity(&self) -> &Incarnation {
        self.members.me()
    }

    /// The other routers that are up, as far as can be told.
    pub fn members(&self) -> impl Iterator<Item = &Incarnation> {
        self.members.active().values()
    }

    /// Routers that are seen, this one among them.
    pub fn seen_count(&self) -> usize {
        self.members.active().len() + 1
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        Counts {
            invalid_messages: self.members.invalid_messages,
            ..self.counts.clone()
        }
    }

    /// What this router believes.
    pub fn snapshot(&self, observer: &Observer) -> Snapshot {
        let ages = |node: &NodeId| self.verdicts.get(node).map_or(0, |v| v.oldest / 1_000);
        Snapshot {
            me: format!("{:?}", self.members.me()),
            seen: self.seen_count(),
            expected: self.rules.routers,
            members: self
                .members
                .active()
                .values()
                .map(|incarnation| incarnation.name.clone())
                .collect(),
            records: self.store.len(),
            levels: observer
                .levels()
                .iter()
                .map(|(n, l)| (n.to_string(), l.label(), ages(n)))
                .collect(),
            counts: self.counts(),
        }
    }

    pub(crate) fn tell(&mut self, event: GossipEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }

    fn drop_datagram(&mut self, now: Time, fault: DatagramFault) {
        *self.counts.dropped.entry(fault.label()).or_default() += 1;
        let (count, told) = self.dropped.entry(fault).or_default();
        *count += 1;
        if now >= *told {
            *told = now + DROPPED_LOG_INTERVAL;
            let count = std::mem::take(count);
            self.tell(GossipEvent::Dropped(fault, count));
        }
    }

    /// A datagram came.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        if self.left {
            return;
        }
        match self.take(now, bytes) {
            Ok(()) => {
                self.counts.received.0 += 1;
                self.counts.received.1 += bytes.len() as u64;
            }
            Err(fault) => self.drop_datagram(now, fault),
        }
        self.send_membership(now);
    }

    fn take(&mut self, now: Time, bytes: &[u8]) -> Result<(), DatagramFault> {
        let envelope = self.keys.open(bytes, self.rules.on(Guard::Tag))?;
        let from = envelope.from.address;
        if from == self.me.address && envelope.from.boot <= self.me.boot {
            return Err(DatagramFault::Own);
        }
        if self.members.is_full() && !self.members.is_member(&from) {
            return Err(DatagramFault::TooMuch);
        }
        let late = self.lateness(now, &envelope)?;
        let sender = &envelope.from;
        self.store.started(&sender.name, sender.boot);
        // Each kind of part is taken in, also where one before it is malformed.
        let results = [
            self.take_records(now, &envelope, late),
            self.take_carried(&envelope, late),
            self.take_digests(now, &envelope),
            self.take_wanted(now, &envelope),
            self.take_rolls(now, &envelope),
            self.take_members(now, &envelope, late),
            self.take_membership(now, &envelope, late),
        ];
        results.into_iter().collect()
    }

    /// How much longer a datagram was under way than the fastest of its sender, where that is worth counting.
    fn lateness(&mut self, now: Time, envelope: &Envelope) -> Result<Micros, DatagramFault> {
        let guards_replay = self.rules.on(Guard::Replay);
        let late = self.replays.take(now, envelope, guards_replay)?;
        if late <= crate::ms(self.rules.late_ms) {
            return Ok(0);
        }
        self.counts.late += 1;
        Ok(if self.rules.on(Guard::Transit) {
            late
        } else {
            0
        })
    }

    fn take_records(
        &mut self,
        now: Time,
        envelope: &Envelope,
        late: Micros,
    ) -> Result<(), DatagramFault> {
        let mut result = Ok(());
        for body in of(envelope, kind::RECORDS) {
            let Ok(records) = RecordStore::unpack(body) else {
                result = Err(DatagramFault::Malformed);
                continue;
            };
            for record in records {
                if record.kind == about::NODE {
                    self.store.put(now, record, late);
                } else {
                    self.counts.unknown_records += 1;
                }
            }
        }
        result
    }

    /// Parts for other crates. Nobody who does not ask holds them: past a bound the oldest go.
    fn take_carried(&mut self, envelope: &Envelope, late: Micros) -> Result<(), DatagramFault> {
        let parts = envelope.parts.iter();
        for part in parts.filter(|part| payload_kind::RANGE.contains(&part.kind)) {
            if self.received_parts.len() >= MAX_RECEIVED_PARTS {
                self.received_parts.pop_front();
            }
            self.received_parts.push_back(ReceivedPart {
                from: envelope.from.clone(),
                kind: part.kind,
                body: part.body.clone(),
                late,
            });
        }
        Ok(())
    }

    fn take_digests(&mut self, now: Time, envelope: &Envelope) -> Result<(), DatagramFault> {
        let (digests, result) = decode::<Digest>(envelope, kind::DIGEST);
        for digest in digests {
            self.answer_digest(now, envelope.from.address, &digest);
        }
        result
    }

    fn take_wanted(&mut self, now: Time, envelope: &Envelope) -> Result<(), DatagramFault> {
        let (wanted, result) = decode::<Vec<u64>>(envelope, kind::WANT);
        for names in wanted {
            let part = self.store.wanted(now, &names, self.room);
            self.send(now, envelope.from.address, part.into_iter().collect());
        }
        result
    }

    fn take_rolls(&mut self, now: Time, envelope: &Envelope) -> Result<(), DatagramFault> {
        if !self.rules.on(Guard::Repair) {
            return Ok(());
        }
        let (rolls, result) = decode::<Roll>(envelope, kind::ROLL);
        for roll in rolls {
            let differing = self.members.differing(&roll, self.room - PART_OVERHEAD);
            if !differing.is_empty() {
                let part = part(kind::MEMBERS, &differing);
                self.send(now, envelope.from.address, part.into_iter().collect());
            }
        }
        result
    }

    fn take_members(
        &mut self,
        now: Time,
        envelope: &Envelope,
        late: Micros,
    ) -> Result<(), DatagramFault> {
        if late > 0 {
            return Ok(());
        }
        let (members, result) = decode::<Vec<Incarnation>>(envelope, kind::MEMBERS);
        for incarnations in members {
            self.members.learn(now, incarnations);
        }
        result
    }

    /// Messages of membership. A suspicion that was long under way is about a time that is over.
    fn take_membership(
        &mut self,
        now: Time,
        envelope: &Envelope,
        late: Micros,
    ) -> Result<(), DatagramFault> {
        if late == 0 {
            for body in of(envelope, kind::SWIM) {
                self.members.receive(now, body);
            }
        }
        Ok(())
    }

    fn answer_digest(&mut self, now: Time, to: SocketAddr, digest: &Digest) {
        let (part, wanted) = self.store.compare(now, digest, self.room / 2);
        let want = (!wanted.is_empty())
            .then(|| self::part(kind::WANT, &wanted))
            .flatten();
        let parts: Vec<Part> = part.into_iter().chain(want).collect();
        self.send(now, to, parts);
    }

    fn send(&mut self, now: Time, to: SocketAddr, parts: Vec<Part>) {
        if parts.is_empty() {
            return;
        }
        let clock_ms = now.saturating_sub(self.began) / 1_000;
        let from = self.members.me().clone();
        let Some(bytes) = self.keys.seal(&Envelope {
            from,
            seq: self.seq + 1,
            clock_ms,
            parts,
        }) else {
            return;
        };
        if !self.budget.take(now, bytes.len()) {
            self.counts.over_budget += 1;
            return;
        }
        self.seq += 1;
        self.counts.sent.0 += 1;
        self.counts.sent.1 += bytes.len() as u64;
        self.out.push((to, bytes));
    }

    /// What membership wants sent, with records where there is room beside it; and what changed in it.
    fn send_membership(&mut self, now: Time) {
        while let Some((to, body)) = self.members.sends() {
            let left = self.room.saturating_sub(body.len() + RECORDS_OVERHEAD);
            let records = self.store.hot(now, left);
            let swim = Part {
                kind: kind::SWIM,
                body,
            };
            self.send(now, to, std::iter::once(swim).chain(records).collect());
        }
        while let Some(change) = self.members.changes.pop_front() {
            match change {
                Change::Up(incarnation) => {
                    let twin = self.members.active().values().chain([self.members.me()]);
                    let twin = twin
                        .filter(|l| l.name == incarnation.name && l.address != incarnation.address)
                        .min();
                    if let Some(twin) = twin.cloned() {
                        self.tell(GossipEvent::DuplicateName(incarnation.clone(), twin));
                    }
                    self.store.started(&incarnation.name, incarnation.boot);
                    self.tell(GossipEvent::MemberUp(incarnation));
                }
                Change::Down(incarnation) => self.tell(GossipEvent::MemberDown(incarnation)),
                Change::Again(incarnation) => self.tell(GossipEvent::Rejoined(incarnation)),
                Change::Taken => self.tell(GossipEvent::AddressTaken),
            }
        }
        let seen = self.seen_count();
        if self.counted != Some(seen) {
            self.counted = Some(seen);
            self.tell(GossipEvent::MemberCount {
                seen,
                expected: self.rules.routers,
            });
        }
    }

    /// Does what is due: probes, gossip, repair, and a review of the verdicts.
    pub fn turn(&mut self, now: Time, observer: &mut Observer) {
        if self.left {
            return;
        }
        if let Some(stood) = self.members.due(now) {
            if self.rules.on(Guard::Stopped) {
                observer.observations.awoke(now, DOUBT_AFTER_STOP);
            }
            self.tell(GossipEvent::Stalled(stood));
            // What was believed is as old as the stop is long.
            self.review_at = now;
        }
        self.send_membership(now);
        if now >= self.review_at {
            self.review_at = now + REVIEW;
            self.review(now, observer);
        }
        if now >= self.gossip_at {
            self.gossip_at = self.later(now, self.rules.gossip_ms);
            self.gossip(now);
        }
        if now >= self.repair_at {
            self.repair_at = self.later(now, self.rules.repair_ms);
            if self.rules.on(Guard::Repair)
                && let Some(one) = self.members.some(1).first().copied()
            {
                let (digest, roll) = (self.store.digest(), self.members.roll());
                let parts = [part(kind::DIGEST, &digest), part(kind::ROLL, &roll)];
                self.send(now, one, parts.into_iter().flatten().collect());
            }
        }
    }

    /// A pause of this length, drawn so that routers do not fall into step.
    fn later(&mut self, now: Time, ms: u64) -> Time {
        now + crate::ms(ms) * 4 / 5 + self.dice.random_range(0..=crate::ms(ms) * 2 / 5)
    }

    fn gossip(&mut self, now: Time) {
        let some = self.members.some(self.rules.fanout);
        for to in some {
            // Each gets the same round's records: what the first got is hot for the second as well.
            let Some(records) = self.store.hot(now, self.room) else {
                return;
            };
            self.send(now, to, vec![records]);
        }
    }

    /// Tells the others that this router ends, so that nobody has to suspect it first.
    pub fn leave(&mut self, now: Time) {
        if !self.left {
            self.members.leave(now);
            self.send_membership(now);
            self.left = true;
        }
    }
}

/// The parts of one kind that can be read, and whether all could.
fn decode<T: DeserializeOwned>(
    envelope: &Envelope,
    kind: u8,
) -> (Vec<T>, Result<(), DatagramFault>) {
    let mut result = Ok(());
    let mut decoded = Vec::new();
    for body in of(envelope, kind) {
        match postcard::from_bytes::<T>(body) {
            Ok(part) => decoded.push(part),
            Err(_) => result = Err(DatagramFault::Malformed),
        }
    }
    (decoded, result)
}
