//! All of it together: datagrams in and out, the time, and what follows for the nodes.

use crate::ledger::Others;
use crate::life::Life;
use crate::members::{Change, Members, Roll};
use crate::records::{Digest, Record, Store, about, of, part, subject};
use crate::replay::Replays;
use crate::rules::{Guard, REVIEW, Rules};
use crate::verdict::{Level, Opinion, Subject, Verdict, judge};
use crate::wire::{Envelope, Fault, Keys, Part, carried, kind};
use crate::witness::Witness;
use plovercove::{Micros, NodeId, Time};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;

/// Routers that try a node that is out, on behalf of all: two could both be behind one bad link.
const TRIERS: usize = 3;
/// A router that was stopped doubts for so long what it sees fail.
const DOUBTS: Micros = 2_000_000;
/// A node that comes back is doubted for so long, and twice as long each time that it did so of late.
const PROVES: Micros = 4_000_000;
/// Times that count, and by when half of one is forgotten.
const FLAPS: (f64, f64) = (4.0, 60e6);
/// Of one cause, one line is told in this time.
const TELL: Micros = 10_000_000;
/// Lines that wait to be told.
const NEWS: usize = 256;
/// Parts for other crates that wait to be taken: several times what one turn of the loop reads.
const CARRIED: usize = 512;
/// What a router may save up of its budget: so many seconds of it.
const BURST: f64 = 0.5;

/// A datagram that is to be sent.
pub type Datagram = (SocketAddr, Vec<u8>);

/// What came about, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// A router is there.
    Up(Life),
    /// A router is gone: it left, or says nothing.
    Down(Life),
    /// How many are there, this one among them, of how many there should be.
    Count {
        /// Seen.
        seen: usize,
        /// By the settings.
        should: u32,
    },
    /// Two routers have one name.
    Twins(Life, Life),
    /// The others took this router for gone.
    Again(Life),
    /// Another router holds this one's address.
    Taken,
    /// This router stood still for so long.
    Stood(Micros),
    /// Datagrams that were dropped since this was told last.
    Dropped(Fault, u64),
    /// The verdict on a node changed.
    Verdict {
        /// The node.
        node: NodeId,
        /// What was held of it.
        was: Level,
        /// What is.
        verdict: Verdict,
        /// Whether this router tries it for all.
        tries: bool,
    },
}

/// A part that came for another crate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrived {
    /// Who sent it; the tag vouches for a holder of the key, not for the name.
    pub from: Life,
    /// What it is, of [`carried`].
    pub kind: u8,
    /// Its content.
    pub body: Vec<u8>,
    /// How much longer it was under way than the fastest datagram of its sender, where that is worth counting.
    pub late: Micros,
}

/// What was counted since the start.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Datagrams and bytes sent.
    pub sent: (u64, u64),
    /// Datagrams and bytes that came and were good.
    pub came: (u64, u64),
    /// Datagrams that the budget kept from being sent.
    pub held_back: u64,
    /// Datagrams that were dropped, by reason.
    pub dropped: BTreeMap<&'static str, u64>,
    /// Records of kinds that are not known.
    pub unknown: u64,
    /// Datagrams that were long under way.
    pub late: u64,
    /// Messages of membership that made no sense.
    pub odd: u64,
}

/// What a router believes, for people.
#[derive(Clone, Debug, Serialize)]
pub struct Belief {
    /// This router.
    pub me: String,
    /// Routers that are seen, this one among them.
    pub seen: usize,
    /// Routers that there should be.
    pub should: u32,
    /// Their names.
    pub members: Vec<String>,
    /// Records held.
    pub records: usize,
    /// Nodes that are not in, with level and the age of the evidence (ms).
    pub levels: Vec<(String, &'static str, u64)>,
    /// What was counted.
    pub counts: Counts,
}

/// Tokens for datagrams and bytes.
struct Budget {
    rates: (f64, f64),
    left: (f64, f64),
    at: Time,
}

impl Budget {
    fn take(&mut self, now: Time, bytes: usize) -> bool {
        let passed = now.saturating_sub(self.at) as f64 / 1e6;
        self.at = now;
        let fill = |left: f64, rate: f64| (left + rate * passed).min((rate * BURST).max(1.0));
        self.left = (
            fill(self.left.0, self.rates.0),
            fill(self.left.1, self.rates.1),
        );
        let enough = self.left.0 >= 1.0 && self.left.1 >= bytes as f64;
        if enough {
            self.left = (self.left.0 - 1.0, self.left.1 - bytes as f64);
        }
        enough
    }
}

#[derive(Clone, Copy, Default)]
struct Flaps {
    times: f64,
    at: Time,
    /// Doubted until then, though nothing is said against it any more.
    proves: Time,
}

/// One router among its peers.
pub struct Peers {
    rules: Rules,
    keys: Keys,
    /// This life as it began.
    me: Life,
    room: usize,
    members: Members,
    replays: Replays,
    store: Store,
    dice: Pcg64Mcg,
    began: Time,
    seq: u64,
    records: u64,
    gossip_at: Time,
    repair_at: Time,
    review_at: Time,
    budget: Budget,
    verdicts: BTreeMap<NodeId, Verdict>,
    flaps: BTreeMap<NodeId, Flaps>,
    out: Vec<Datagram>,
    news: VecDeque<News>,
    arrived: VecDeque<Arrived>,
    counted: Option<usize>,
    dropped: BTreeMap<Fault, (u64, Time)>,
    counts: Counts,
    left: bool,
}

impl Peers {
    /// A router that knows nobody yet.
    pub fn new(rules: Rules, keys: Keys, me: Life, now: Time, seed: u64) -> Self {
        let room = Keys::room(&me);
        let mut dice = Pcg64Mcg::seed_from_u64(seed ^ me.boot);
        let members = Members::new(me.clone(), &rules, room, dice.random());
        let rates = (
            f64::from(rules.datagrams_per_s),
            f64::from(rules.bytes_per_s),
        );
        let mut store = Store::new(
            rules.evidence(),
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
        Peers {
            keys,
            room,
            members,
            replays: Replays::default(),
            store,
            began: now,
            seq: 0,
            records: 0,
            gossip_at,
            repair_at,
            review_at,
            budget: Budget {
                rates,
                left: (rates.0 * BURST, rates.1 * BURST),
                at: now,
            },
            verdicts: BTreeMap::new(),
            flaps: BTreeMap::new(),
            out: Vec::new(),
            news: VecDeque::new(),
            arrived: VecDeque::new(),
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
    pub fn rekey(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// When something is due.
    pub fn next(&self) -> Time {
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
    pub fn take_out(&mut self) -> Vec<Datagram> {
        std::mem::take(&mut self.out)
    }

    /// A line for the log, while there is one.
    pub fn news(&mut self) -> Option<News> {
        self.news.pop_front()
    }

    /// A part that came for another crate, while there is one. Nobody who does not ask holds them: past a bound the
    /// oldest go.
    pub fn arrived(&mut self) -> Option<Arrived> {
        self.arrived.pop_front()
    }

    /// Sends a part of another crate, within the budget; false where it was not sent.
    pub fn post(&mut self, now: Time, to: SocketAddr, kind: u8, body: Vec<u8>) -> bool {
        let before = self.seq;
        if !self.left && carried::RANGE.contains(&kind) {
            self.send(now, to, vec![Part { kind, body }]);
        }
        self.seq > before
    }

    /// How long the body of a part may be that is sent alone (bytes).
    pub fn room(&self) -> usize {
        self.room - 8
    }

    /// This life.
    pub fn me(&self) -> &Life {
        self.members.me()
    }

    /// The other routers that are up, as far as can be told.
    pub fn others(&self) -> impl Iterator<Item = &Life> {
        self.members.active().values()
    }

    /// Routers that are seen, this one among them.
    pub fn seen(&self) -> usize {
        self.members.active().len() + 1
    }

    /// What was counted.
    pub fn counts(&self) -> Counts {
        Counts {
            odd: self.members.odd,
            ..self.counts.clone()
        }
    }

    /// What this router believes.
    pub fn belief(&self, witness: &Witness) -> Belief {
        let ages = |node: &NodeId| self.verdicts.get(node).map_or(0, |v| v.oldest / 1_000);
        Belief {
            me: format!("{:?}", self.members.me()),
            seen: self.seen(),
            should: self.rules.routers,
            members: self
                .members
                .active()
                .values()
                .map(|life| life.name.clone())
                .collect(),
            records: self.store.len(),
            levels: witness
                .levels()
                .iter()
                .map(|(n, l)| (n.to_string(), l.word(), ages(n)))
                .collect(),
            counts: self.counts(),
        }
    }

    fn tell(&mut self, news: News) {
        if self.news.len() < NEWS {
            self.news.push_back(news);
        }
    }

    fn drop(&mut self, now: Time, fault: Fault) {
        *self.counts.dropped.entry(fault.word()).or_default() += 1;
        let (count, told) = self.dropped.entry(fault).or_default();
        *count += 1;
        if now >= *told {
            *told = now + TELL;
            let count = std::mem::take(count);
            self.tell(News::Dropped(fault, count));
        }
    }

    /// A datagram came.
    pub fn receive(&mut self, now: Time, bytes: &[u8]) {
        if self.left {
            return;
        }
        match self.take(now, bytes) {
            Ok(()) => {
                self.counts.came.0 += 1;
                self.counts.came.1 += bytes.len() as u64;
            }
            Err(fault) => self.drop(now, fault),
        }
        self.pass_on(now);
    }

    fn take(&mut self, now: Time, bytes: &[u8]) -> Result<(), Fault> {
        let envelope = self.keys.open(bytes, self.rules.on(Guard::Tag))?;
        let from = envelope.from.address;
        if from == self.me.address && envelope.from.boot <= self.me.boot {
            return Err(Fault::Own);
        }
        if self.members.is_full() && !self.members.is_member(&from) {
            return Err(Fault::TooMuch);
        }
        let late = self
            .replays
            .take(now, &envelope, self.rules.on(Guard::Replay))?;
        let late = if late > crate::ms(self.rules.late_ms) {
            late
        } else {
            0
        };
        self.counts.late += u64::from(late > 0);
        let late = if self.rules.on(Guard::Transit) {
            late
        } else {
            0
        };
        self.store.started(&envelope.from.name, envelope.from.boot);
        let mut good = true;
        for body in of(&envelope, kind::RECORDS) {
            let Ok(records) = Store::unpack(body) else {
                good = false;
                continue;
            };
            for record in records {
                if record.kind == about::NODE {
                    self.store.put(now, record, late);
                } else {
                    self.counts.unknown += 1;
                }
            }
        }
        for part in envelope
            .parts
            .iter()
            .filter(|p| carried::RANGE.contains(&p.kind))
        {
            if self.arrived.len() >= CARRIED {
                self.arrived.pop_front();
            }
            let (from, body) = (envelope.from.clone(), part.body.clone());
            self.arrived.push_back(Arrived {
                from,
                kind: part.kind,
                body,
                late,
            });
        }
        for body in of(&envelope, kind::DIGEST) {
            match postcard::from_bytes::<Digest>(body) {
                Ok(digest) => self.answer(now, from, &digest),
                Err(_) => good = false,
            }
        }
        for body in of(&envelope, kind::WANT) {
            match postcard::from_bytes::<Vec<u64>>(body) {
                Ok(names) => {
                    let part = self.store.wanted(now, &names, self.room);
                    self.send(now, from, part.into_iter().collect());
                }
                Err(_) => good = false,
            }
        }
        let repairs = self.rules.on(Guard::Repair);
        for body in of(&envelope, kind::ROLL).filter(|_| repairs) {
            match postcard::from_bytes::<Roll>(body) {
                Ok(roll) => {
                    let lives = self.members.differing(&roll, self.room - 8);
                    let lives = (!lives.is_empty())
                        .then(|| part(kind::MEMBERS, &lives))
                        .flatten();
                    self.send(now, from, lives.into_iter().collect());
                }
                Err(_) => good = false,
            }
        }
        for body in of(&envelope, kind::MEMBERS).filter(|_| late == 0) {
            match postcard::from_bytes::<Vec<Life>>(body) {
                Ok(lives) => self.members.learn(now, lives),
                Err(_) => good = false,
            }
        }
        // A suspicion that was long under way is about a time that is over.
        if late == 0 {
            for body in of(&envelope, kind::SWIM) {
                self.members.receive(now, body);
            }
        }
        if good { Ok(()) } else { Err(Fault::Malformed) }
    }

    fn answer(&mut self, now: Time, to: SocketAddr, digest: &Digest) {
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
        let stamp = now.saturating_sub(self.began) / 1_000;
        let from = self.members.me().clone();
        let Some(bytes) = self.keys.seal(&Envelope {
            from,
            seq: self.seq + 1,
            stamp,
            parts,
        }) else {
            return;
        };
        if !self.budget.take(now, bytes.len()) {
            self.counts.held_back += 1;
            return;
        }
        self.seq += 1;
        self.counts.sent.0 += 1;
        self.counts.sent.1 += bytes.len() as u64;
        self.out.push((to, bytes));
    }

    /// What membership wants sent, with records where there is room beside it; and what changed in it.
    fn pass_on(&mut self, now: Time) {
        while let Some((to, body)) = self.members.sends() {
            let left = self.room.saturating_sub(body.len() + 16);
            let records = self.store.hot(now, left);
            let swim = Part {
                kind: kind::SWIM,
                body,
            };
            self.send(now, to, std::iter::once(swim).chain(records).collect());
        }
        while let Some(change) = self.members.changes.pop_front() {
            match change {
                Change::Up(life) => {
                    let twin = self.members.active().values().chain([self.members.me()]);
                    let twin = twin
                        .filter(|l| l.name == life.name && l.address != life.address)
                        .min();
                    if let Some(twin) = twin.cloned() {
                        self.tell(News::Twins(life.clone(), twin));
                    }
                    self.store.started(&life.name, life.boot);
                    self.tell(News::Up(life));
                }
                Change::Down(life) => self.tell(News::Down(life)),
                Change::Again(life) => self.tell(News::Again(life)),
                Change::Taken => self.tell(News::Taken),
            }
        }
        let seen = self.seen();
        if self.counted != Some(seen) {
            self.counted = Some(seen);
            self.tell(News::Count {
                seen,
                should: self.rules.routers,
            });
        }
    }

    /// Does what is due: probes, gossip, repair, and a review of the verdicts.
    pub fn turn(&mut self, now: Time, witness: &mut Witness) {
        if self.left {
            return;
        }
        if let Some(stood) = self.members.due(now) {
            if self.rules.on(Guard::Stopped) {
                witness.ledger.awoke(now, DOUBTS);
            }
            self.tell(News::Stood(stood));
            // What was believed is as old as the stop is long.
            self.review_at = now;
        }
        self.pass_on(now);
        if now >= self.review_at {
            self.review_at = now + REVIEW;
            self.review(now, witness);
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

    /// Tells what is worth telling, and judges by all that is known.
    fn review(&mut self, now: Time, witness: &mut Witness) {
        self.store.fade(now);
        let cases = self.cases(now, witness);
        self.say(now, witness, &cases);
        let mut zones: BTreeSet<&str> = self
            .members
            .active()
            .values()
            .map(|l| l.zone.as_str())
            .collect();
        zones.insert(&self.me.zone);
        let verdicts = judge(&self.rules, &cases, zones.len());
        let known: BTreeSet<NodeId> = self
            .verdicts
            .keys()
            .chain(verdicts.keys())
            .cloned()
            .collect();
        // Who comes back in does so before another goes out: not for a moment are more out than a group can spare.
        let level = |node: &NodeId| verdicts.get(node).map_or(Level::In, |v| v.level);
        let (out, rest): (Vec<_>, Vec<_>) = known
            .into_iter()
            .partition(|node| level(node) == Level::Out);
        for node in rest.into_iter().chain(out) {
            self.settle(
                now,
                witness,
                &node,
                verdicts.get(&node).cloned().unwrap_or_default(),
            );
        }
        self.verdicts = verdicts;
        self.flaps.retain(|id, f| {
            witness.is_listed(id) && now.saturating_sub(f.at) < (FLAPS.0 * FLAPS.1) as Micros
        });
        // Nodes that have proved themselves, and levels of nodes that nobody speaks of any more.
        let past = |node: &&NodeId| !self.verdicts.contains_key(*node);
        let past: Vec<NodeId> = witness.levels().keys().filter(past).cloned().collect();
        for node in past {
            self.settle(now, witness, &node, Verdict::default());
        }
    }

    /// All nodes that serve, each with what is said of its present start: what was said of another start was said of
    /// another machine.
    fn cases(&self, now: Time, witness: &Witness) -> Vec<(Subject, Vec<Opinion>)> {
        let mut opinions = self.store.opinions(now);
        let case = |(told, started): (&Subject, Option<Time>)| {
            let number = if opinions.is_empty() {
                None
            } else {
                self.store.number(&subject(&told.node, started))
            };
            (
                told.clone(),
                number.and_then(|n| opinions.remove(&n)).unwrap_or_default(),
            )
        };
        witness.serving().map(case).collect()
    }

    /// Tells what this router saw, where that is news to the others.
    fn say(&mut self, now: Time, witness: &mut Witness, cases: &[(Subject, Vec<Opinion>)]) {
        let (me, fresh) = (self.store.number(&self.me.name), self.rules.fresh());
        let (name, rules) = (self.me.name.as_bytes(), &self.rules);
        let others = |node: &NodeId| {
            let told = cases
                .iter()
                .find(|(s, _)| s.node == *node)
                .map_or(&[][..], |(_, told)| told);
            let of_others = || told.iter().filter(|o| Some(o.observer) != me);
            let accuses = |o: &&Opinion| o.seen.fails() || o.seen.is_slow();
            let failures: f64 = of_others()
                .filter(accuses)
                .map(|o| o.seen.failures().min(rules.each()))
                .sum();
            let (accusers, slow) = (
                of_others().filter(accuses).count(),
                of_others().filter(|o| o.seen.is_slow()).count(),
            );
            let luck = crate::draw(&[node.as_bytes(), name]) as f64 / u64::MAX as f64;
            Others {
                accusers,
                supporters: of_others()
                    .filter(|o| !accuses(o) && o.age <= fresh)
                    .count(),
                contested: accusers >= 2
                    && (failures * 2.0 >= f64::from(rules.failures) || slow >= 2),
                wait: (luck * rules.settle() as f64 / 2.0) as Micros,
            }
        };
        let told = witness.ledger.news(now, &self.rules, others);
        for (node, started, seen) in told {
            self.records += 1;
            let record = Record::of_node(&self.me, self.records, &node, started, &seen);
            let Some(record) = record else { continue };
            self.store.put(now, record, 0);
        }
    }

    /// Acts on a verdict.
    fn settle(&mut self, now: Time, witness: &mut Witness, node: &NodeId, verdict: Verdict) {
        let was = witness.level(node);
        let mut level = verdict.level;
        let mut why = verdict.why;
        if was == Level::Out && level != Level::Out {
            let flaps = self.flaps.entry(node.clone()).or_default();
            let half = now.saturating_sub(flaps.at) as f64 / FLAPS.1;
            flaps.times = (flaps.times * 0.5_f64.powf(half) + 1.0).min(FLAPS.0);
            flaps.at = now;
            flaps.proves = now + PROVES * (1 << (flaps.times.round() as u32 - 1).min(4));
        }
        if level == Level::In
            && self.rules.on(Guard::Flap)
            && self.flaps.get(node).is_some_and(|f| now < f.proves)
        {
            (level, why) = (Level::Doubted, "has to prove itself");
        }
        let tries = level == Level::Out && self.tries(node);
        let every = self.rules.evidence() / 8;
        witness.set(now, node, level, tries.then_some(every));
        if was != level {
            let verdict = Verdict {
                level,
                why,
                ..verdict
            };
            self.tell(News::Verdict {
                node: node.clone(),
                was,
                verdict,
                tries,
            });
        }
    }

    /// Whether this router is one of the few that try a node: chosen alike by all who see the same routers, and taken
    /// over when one of them goes.
    fn tries(&self, node: &NodeId) -> bool {
        let place = |name: &str| crate::draw(&[b"tries", node.as_bytes(), name.as_bytes()]);
        let mine = place(&self.me.name);
        let before = self
            .members
            .active()
            .values()
            .filter(|life| place(&life.name) > mine);
        before.take(TRIERS).count() < TRIERS
    }

    /// Tells the others that this router ends, so that nobody has to suspect it first.
    pub fn leave(&mut self, now: Time) {
        if !self.left {
            self.members.leave(now);
            self.pass_on(now);
            self.left = true;
        }
    }
}
