//! Gossip of one router: receives and sends datagrams, runs what is due, and keeps the verdicts on nodes.

use crate::budget::Budget;
use crate::datagram::{DatagramFault, Envelope, Keys, Part, part_kind, payload_kind};
use crate::event::{Counts, GossipEvent, ReceivedPart, Snapshot};
use crate::incarnation::Incarnation;
use crate::members::{Change, MemberChecksums, Members};
use crate::observer::Observer;
use crate::outlier_vote::Verdict;
use crate::records::{Digest, RecordStore, bodies_of_kind, encode_part, record_kind};
use crate::replay::ReplayGuard;
use crate::review::Flaps;
use crate::rules::{Guard, REVIEW_INTERVAL_US, Rules};
use plovercove::{Micros, NodeId, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::de::DeserializeOwned;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Time after a stall of this router in which failures do not count against nodes.
const IGNORE_FAILURES_AFTER_STALL_US: Micros = 2_000_000;
/// Minimum time between two events about datagrams that are dropped for the same reason.
const DROPPED_LOG_INTERVAL_US: Micros = 10_000_000;
/// Maximum number of events that wait to be taken. Further ones are dropped.
const MAX_EVENTS: usize = 256;
/// Maximum number of parts for other crates that wait to be taken, several times the number that one turn of the event loop
/// reads.
const MAX_RECEIVED_PARTS: usize = 512;
/// Number of bytes that a part needs besides its body.
const PART_OVERHEAD_BYTES: usize = 8;
/// Number of bytes that a part of records needs besides a membership message.
const RECORDS_OVERHEAD_BYTES: usize = 16;

/// Datagram to send, with the address of its receiver.
pub type Datagram = (SocketAddr, Vec<u8>);

/// Gossip state of one router.
pub struct Gossip {
    pub(crate) rules: Rules,
    keys: Keys,
    /// Identity of this router at its start. A rejoin changes only the identity in `members`.
    pub(crate) me: Incarnation,
    max_parts_bytes: usize,
    pub(crate) members: Members,
    replay_guard: ReplayGuard,
    pub(crate) store: RecordStore,
    rng: Pcg64Mcg,
    started_at: Time,
    /// Sequence number of the last datagram.
    seq: u64,
    /// Sequence number of this router's last record.
    pub(crate) record_seq: u64,
    gossip_at: Time,
    repair_at: Time,
    review_at: Time,
    budget: Budget,
    pub(crate) verdicts: BTreeMap<NodeId, Verdict>,
    pub(crate) flaps: BTreeMap<NodeId, Flaps>,
    outgoing: Vec<Datagram>,
    events: VecDeque<GossipEvent>,
    received_parts: VecDeque<ReceivedPart>,
    /// Number of members in the last event about it.
    reported_member_count: Option<usize>,
    /// Number of dropped datagrams since the last event about them, and the time of the next event.
    dropped: BTreeMap<DatagramFault, (u64, Time)>,
    counts: Counts,
    has_left: bool,
}

impl Gossip {
    /// Creates the gossip of a router that knows no other member yet.
    pub fn new(rules: Rules, keys: Keys, me: Incarnation, now: Time, seed: u64) -> Self {
        let max_parts_bytes = Keys::max_parts_bytes(&me);
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ me.boot);
        let members = Members::new(me.clone(), &rules, max_parts_bytes, rng.random());
        let mut store = RecordStore::new(
            rules.evidence_lifetime(),
            rules.max_transmissions(),
            rules.is_enabled(Guard::Age),
            rules.is_enabled(Guard::OldLife),
        );
        store.note_start(&me.name, me.boot);
        // The first times are drawn at random, since all routers may have been started at once.
        let mut first_time =
            |interval_ms: u64| now + rng.random_range(0..=crate::ms_to_us(interval_ms));
        let (gossip_at, repair_at, review_at) = (
            first_time(rules.gossip_ms),
            first_time(rules.repair_ms),
            first_time(REVIEW_INTERVAL_US / 1_000),
        );
        Gossip {
            keys,
            max_parts_bytes,
            members,
            replay_guard: ReplayGuard::default(),
            store,
            started_at: now,
            seq: 0,
            record_seq: 0,
            gossip_at,
            repair_at,
            review_at,
            budget: Budget::new(rules.datagrams_per_s, rules.bytes_per_s, now),
            verdicts: BTreeMap::new(),
            flaps: BTreeMap::new(),
            outgoing: Vec::new(),
            events: VecDeque::new(),
            received_parts: VecDeque::new(),
            reported_member_count: None,
            dropped: BTreeMap::new(),
            counts: Counts::default(),
            has_left: false,
            rng,
            rules,
            me,
        }
    }

    /// Returns the settings.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Uses other keys from now on.
    pub fn replace_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Returns the time at which [`Gossip::turn`] has to run next.
    pub fn next_deadline(&self) -> Time {
        if self.has_left {
            return Time::MAX;
        }
        self.members
            .next_deadline()
            .min(self.gossip_at)
            .min(self.repair_at)
            .min(self.review_at)
    }

    /// Takes the datagrams that are to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes the oldest event.
    pub fn next_event(&mut self) -> Option<GossipEvent> {
        self.events.pop_front()
    }

    /// Takes the oldest received part that belongs to another crate. If the parts are not taken, the oldest are dropped
    /// beyond a bound.
    pub fn next_received_part(&mut self) -> Option<ReceivedPart> {
        self.received_parts.pop_front()
    }

    /// Sends a part of another crate. Returns whether it was sent, which depends on its size and on the budget.
    pub fn send_part(&mut self, now: Time, to: SocketAddr, kind: u8, body: Vec<u8>) -> bool {
        let last_seq = self.seq;
        if !self.has_left && payload_kind::RANGE.contains(&kind) {
            self.send(now, to, vec![Part { kind, body }]);
        }
        self.seq > last_seq
    }

    /// Returns the maximum length of the body of a part that is sent alone.
    pub fn max_body_bytes(&self) -> usize {
        self.max_parts_bytes - PART_OVERHEAD_BYTES
    }

    /// Returns the present identity of this router.
    pub fn identity(&self) -> &Incarnation {
        self.members.identity()
    }

    /// Returns the other members that are up, as far as this router knows.
    pub fn members(&self) -> impl Iterator<Item = &Incarnation> {
        self.members.active().values()
    }

    /// Returns the number of members that are up, including this router.
    pub fn member_count(&self) -> usize {
        self.members.active().len() + 1
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        Counts {
            invalid_messages: self.members.invalid_messages,
            ..self.counts.clone()
        }
    }

    /// Returns a snapshot of this router's view of members and nodes.
    pub fn snapshot(&self, observer: &Observer) -> Snapshot {
        let evidence_age_ms = |node: &NodeId| {
            self.verdicts
                .get(node)
                .map_or(0, |verdict| verdict.oldest / 1_000)
        };
        Snapshot {
            me: format!("{:?}", self.members.identity()),
            seen: self.member_count(),
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
                .map(|(node, level)| (node.to_string(), level.label(), evidence_age_ms(node)))
                .collect(),
            counts: self.counts(),
        }
    }

    pub(crate) fn push_event(&mut self, event: GossipEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push_back(event);
        }
    }

    fn drop_datagram(&mut self, now: Time, fault: DatagramFault) {
        *self.counts.dropped.entry(fault.label()).or_default() += 1;
        let (count, next_event_at) = self.dropped.entry(fault).or_default();
        *count += 1;
        if now >= *next_event_at {
            *next_event_at = now + DROPPED_LOG_INTERVAL_US;
            let count = std::mem::take(count);
            self.push_event(GossipEvent::Dropped(fault, count));
        }
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        if self.has_left {
            return;
        }
        match self.process(now, bytes) {
            Ok(()) => {
                self.counts.received.0 += 1;
                self.counts.received.1 += bytes.len() as u64;
            }
            Err(fault) => self.drop_datagram(now, fault),
        }
        self.send_membership(now);
    }

    fn process(&mut self, now: Time, bytes: &[u8]) -> Result<(), DatagramFault> {
        let envelope = self.keys.open(bytes, self.rules.is_enabled(Guard::Tag))?;
        let from = envelope.from.address;
        if from == self.me.address && envelope.from.boot <= self.me.boot {
            return Err(DatagramFault::Own);
        }
        if self.members.is_full() && !self.members.is_member(&from) {
            return Err(DatagramFault::TooMuch);
        }
        let delay = self.delay_of(now, &envelope)?;
        let sender = &envelope.from;
        self.store.note_start(&sender.name, sender.boot);
        // All parts are processed, even if one of them is malformed.
        let results = [
            self.process_records(now, &envelope, delay),
            self.queue_received_parts(&envelope, delay),
            self.process_digests(now, &envelope),
            self.send_wanted_records(now, &envelope),
            self.process_member_checksums(now, &envelope),
            self.process_members(now, &envelope, delay),
            self.process_membership(now, &envelope, delay),
        ];
        results.into_iter().collect()
    }

    /// Returns the delay of a datagram compared with the fastest of its sender, or 0 if it does not count as late.
    fn delay_of(&mut self, now: Time, envelope: &Envelope) -> Result<Micros, DatagramFault> {
        let is_enabled = self.rules.is_enabled(Guard::Replay);
        let delay = self.replay_guard.check(now, envelope, is_enabled)?;
        if delay <= crate::ms_to_us(self.rules.late_ms) {
            return Ok(0);
        }
        self.counts.late += 1;
        Ok(if self.rules.is_enabled(Guard::Transit) {
            delay
        } else {
            0
        })
    }

    fn process_records(
        &mut self,
        now: Time,
        envelope: &Envelope,
        delay: Micros,
    ) -> Result<(), DatagramFault> {
        let mut result = Ok(());
        for body in bodies_of_kind(envelope, part_kind::RECORDS) {
            let Ok(records) = RecordStore::unpack(body) else {
                result = Err(DatagramFault::Malformed);
                continue;
            };
            for record in records {
                if record.kind == record_kind::NODE {
                    self.store.insert(now, record, delay);
                } else {
                    self.counts.unknown_records += 1;
                }
            }
        }
        result
    }

    /// Queues the parts for other crates. Beyond a bound, the oldest parts are dropped.
    fn queue_received_parts(
        &mut self,
        envelope: &Envelope,
        delay: Micros,
    ) -> Result<(), DatagramFault> {
        let parts = envelope.parts.iter();
        for part in parts.filter(|part| payload_kind::RANGE.contains(&part.kind)) {
            if self.received_parts.len() >= MAX_RECEIVED_PARTS {
                self.received_parts.pop_front();
            }
            self.received_parts.push_back(ReceivedPart {
                from: envelope.from.clone(),
                kind: part.kind,
                body: part.body.clone(),
                late: delay,
            });
        }
        Ok(())
    }

    fn process_digests(&mut self, now: Time, envelope: &Envelope) -> Result<(), DatagramFault> {
        let (digests, result) = decode::<Digest>(envelope, part_kind::DIGEST);
        for digest in digests {
            self.answer_digest(now, envelope.from.address, &digest);
        }
        result
    }

    fn send_wanted_records(&mut self, now: Time, envelope: &Envelope) -> Result<(), DatagramFault> {
        let (wanted, result) = decode::<Vec<u64>>(envelope, part_kind::WANTED_RECORDS);
        for names in wanted {
            let part = self.store.part_with(now, &names, self.max_parts_bytes);
            self.send(now, envelope.from.address, part.into_iter().collect());
        }
        result
    }

    fn process_member_checksums(
        &mut self,
        now: Time,
        envelope: &Envelope,
    ) -> Result<(), DatagramFault> {
        if !self.rules.is_enabled(Guard::Repair) {
            return Ok(());
        }
        let (all_checksums, result) =
            decode::<MemberChecksums>(envelope, part_kind::MEMBER_CHECKSUMS);
        for checksums in all_checksums {
            let differing = self.members.members_of_differing_buckets(
                &checksums,
                self.max_parts_bytes - PART_OVERHEAD_BYTES,
            );
            if !differing.is_empty() {
                let part = encode_part(part_kind::MEMBERS, &differing);
                self.send(now, envelope.from.address, part.into_iter().collect());
            }
        }
        result
    }

    fn process_members(
        &mut self,
        now: Time,
        envelope: &Envelope,
        delay: Micros,
    ) -> Result<(), DatagramFault> {
        if delay > 0 {
            return Ok(());
        }
        let (members, result) = decode::<Vec<Incarnation>>(envelope, part_kind::MEMBERS);
        for incarnations in members {
            self.members.add_members(now, incarnations);
        }
        result
    }

    /// Processes membership messages. Those of a late datagram are skipped, since a suspicion in them may be outdated.
    fn process_membership(
        &mut self,
        now: Time,
        envelope: &Envelope,
        delay: Micros,
    ) -> Result<(), DatagramFault> {
        if delay == 0 {
            for body in bodies_of_kind(envelope, part_kind::SWIM) {
                self.members.receive(now, body);
            }
        }
        Ok(())
    }

    fn answer_digest(&mut self, now: Time, to: SocketAddr, digest: &Digest) {
        let (part, wanted) = self
            .store
            .compare_digest(now, digest, self.max_parts_bytes / 2);
        let request = (!wanted.is_empty())
            .then(|| encode_part(part_kind::WANTED_RECORDS, &wanted))
            .flatten();
        let parts: Vec<Part> = part.into_iter().chain(request).collect();
        self.send(now, to, parts);
    }

    fn send(&mut self, now: Time, to: SocketAddr, parts: Vec<Part>) {
        if parts.is_empty() {
            return;
        }
        let clock_ms = now.saturating_sub(self.started_at) / 1_000;
        let from = self.members.identity().clone();
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
        self.outgoing.push((to, bytes));
    }

    /// Sends the messages of membership, each together with records that fit, and reports the changes of the membership.
    fn send_membership(&mut self, now: Time) {
        while let Some((to, body)) = self.members.next_outgoing() {
            let bytes_left = self
                .max_parts_bytes
                .saturating_sub(body.len() + RECORDS_OVERHEAD_BYTES);
            let records = self.store.next_part(now, bytes_left);
            let swim = Part {
                kind: part_kind::SWIM,
                body,
            };
            self.send(now, to, std::iter::once(swim).chain(records).collect());
        }
        while let Some(change) = self.members.changes.pop_front() {
            match change {
                Change::Up(incarnation) => {
                    let known = self
                        .members
                        .active()
                        .values()
                        .chain([self.members.identity()]);
                    let same_name = known
                        .filter(|member| {
                            member.name == incarnation.name && member.address != incarnation.address
                        })
                        .min();
                    if let Some(same_name) = same_name.cloned() {
                        self.push_event(GossipEvent::DuplicateName(incarnation.clone(), same_name));
                    }
                    self.store.note_start(&incarnation.name, incarnation.boot);
                    self.push_event(GossipEvent::MemberUp(incarnation));
                }
                Change::Down(incarnation) => self.push_event(GossipEvent::MemberDown(incarnation)),
                Change::Rejoined(incarnation) => {
                    self.push_event(GossipEvent::Rejoined(incarnation))
                }
                Change::AddressTaken => self.push_event(GossipEvent::AddressTaken),
            }
        }
        let seen = self.member_count();
        if self.reported_member_count != Some(seen) {
            self.reported_member_count = Some(seen);
            self.push_event(GossipEvent::MemberCount {
                seen,
                expected: self.rules.routers,
            });
        }
    }

    /// Does what is due: probes, gossip, repair of records, and the review of the verdicts.
    pub fn turn(&mut self, now: Time, observer: &mut Observer) {
        if self.has_left {
            return;
        }
        if let Some(stall) = self.members.run_timers(now) {
            if self.rules.is_enabled(Guard::Stopped) {
                observer
                    .observations
                    .note_stall(now, IGNORE_FAILURES_AFTER_STALL_US);
            }
            self.push_event(GossipEvent::Stalled(stall));
            // The verdicts have aged by the duration of the stall.
            self.review_at = now;
        }
        self.send_membership(now);
        if now >= self.review_at {
            self.review_at = now + REVIEW_INTERVAL_US;
            self.review(now, observer);
        }
        if now >= self.gossip_at {
            self.gossip_at = self.jittered(now, self.rules.gossip_ms);
            self.gossip(now);
        }
        if now >= self.repair_at {
            self.repair_at = self.jittered(now, self.rules.repair_ms);
            if self.rules.is_enabled(Guard::Repair)
                && let Some(member) = self.members.random_members(1).first().copied()
            {
                let (digest, checksums) = (self.store.digest(), self.members.checksums());
                let parts = [
                    encode_part(part_kind::DIGEST, &digest),
                    encode_part(part_kind::MEMBER_CHECKSUMS, &checksums),
                ];
                self.send(now, member, parts.into_iter().flatten().collect());
            }
        }
    }

    /// Returns the time after this interval, with random jitter so that routers do not synchronize.
    fn jittered(&mut self, now: Time, interval_ms: u64) -> Time {
        let interval = crate::ms_to_us(interval_ms);
        now + interval * 4 / 5 + self.rng.random_range(0..=interval * 2 / 5)
    }

    fn gossip(&mut self, now: Time) {
        let receivers = self.members.random_members(self.rules.fanout);
        for to in receivers {
            // A record can go to several members of one round, until it was sent the full number of times.
            let Some(records) = self.store.next_part(now, self.max_parts_bytes) else {
                return;
            };
            self.send(now, to, vec![records]);
        }
    }

    /// Announces to the other members that this router ends, so that they need not detect it by a suspicion.
    pub fn leave(&mut self, now: Time) {
        if !self.has_left {
            self.members.leave(now);
            self.send_membership(now);
            self.has_left = true;
        }
    }
}

/// Decodes the parts of one kind. Returns those that could be decoded, and a fault if there are others.
fn decode<T: DeserializeOwned>(
    envelope: &Envelope,
    kind: u8,
) -> (Vec<T>, Result<(), DatagramFault>) {
    let mut result = Ok(());
    let mut decoded = Vec::new();
    for body in bodies_of_kind(envelope, kind) {
        match postcard::from_bytes::<T>(body) {
            Ok(part) => decoded.push(part),
            Err(_) => result = Err(DatagramFault::Malformed),
        }
    }
    (decoded, result)
}
