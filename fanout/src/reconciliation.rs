//! How gateways keep their lists equal: changes at once, and digests of ranges with the differences only.
//!
//! Nothing of a comparison is kept between two messages, so a gateway that dies in the middle leaves nothing to clear up:
//! the next comparison finds what still differs.

use crate::gateway::Gateway;
use crate::outbox::{Lane, spread};
use crate::table::{self, LEVELS, MergeOutcome, Name, PARTS};
use crate::wire::{Entry, For, Message, State};
use crate::{Guard, Rules};
use plovercove::{Micros, Time};
use plovercove_fencing::Token;
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Zones in one message of sums: they fit a body with the longest names.
const ZONES: usize = 8;
/// Entries of a leaf that are listed at the most: they fit a body.
const LISTED: usize = 100;

/// Another zone's gateway.
#[derive(Debug)]
pub(crate) struct Other {
    pub address: SocketAddr,
    compare_at: Time,
    /// When its copies of the zones were last confirmed, by this gateway's clock.
    copies: BTreeMap<Name, Time>,
}

/// The other zones' gateways, and that of this zone where it is another router.
#[derive(Debug, Default)]
pub(crate) struct Others {
    by_zone: BTreeMap<Name, Other>,
    /// The gateway of this zone that is in charge now.
    successor: Option<SocketAddr>,
    /// What an old owner asks of the one in charge, and the token that it had.
    asked: Vec<Entry>,
    pub old: Option<(Name, Token)>,
    round: u32,
}

impl Others {
    /// Compares soon with all of them.
    pub fn begin(&mut self, now: Time, dice: &mut Pcg64Mcg, rules: &Rules) {
        for other in self.by_zone.values_mut() {
            other.compare_at = now + spread(dice, crate::ms(rules.answer_ms));
        }
    }

    /// When the next comparison is due.
    pub fn next_turn(&self) -> Time {
        self.by_zone
            .values()
            .map(|o| o.compare_at)
            .min()
            .unwrap_or(Time::MAX)
    }
}

/// A part of a sum: other bits in each round, so that two that look alike once do not do so for ever.
fn part(sum: u64, round: u32) -> u32 {
    if round.is_multiple_of(2) {
        sum as u32
    } else {
        (sum >> 32) as u32
    }
}

impl Gateway {
    /// The gateways of the other zones as the duties have them now, and that of this zone where it is another router.
    pub fn set_gateways(&mut self, now: Time, list: &[(String, SocketAddr, Token)]) {
        self.now = self.now.max(now);
        let mut seen = Vec::new();
        for (zone, address, token) in list {
            let Ok(duty) = crate::gateway::duty(zone) else {
                continue;
            };
            if self.admit(&duty, *token).is_err() {
                continue;
            }
            if **zone == *self.zone {
                self.replaced(now, *address, *token);
                continue;
            }
            let zone: Name = zone.as_str().into();
            seen.push(zone.clone());
            let compare_at = now + spread(&mut self.dice, crate::ms(self.rules.answer_ms));
            let fresh = Other {
                address: *address,
                compare_at,
                copies: BTreeMap::new(),
            };
            let other = self.others.by_zone.entry(zone).or_insert(fresh);
            if other.address != *address {
                *other = Other {
                    address: *address,
                    compare_at,
                    copies: BTreeMap::new(),
                };
            }
        }
        self.others.by_zone.retain(|zone, _| seen.contains(zone));
        self.pump(now);
    }

    /// This zone has a gateway of that token at that address.
    fn replaced(&mut self, now: Time, address: SocketAddr, token: Token) {
        if address != self.me {
            self.others.successor = Some(address);
            if self.token.is_some_and(|mine| mine < token) && self.rules.is_enabled(Guard::Fence) {
                self.lose(now);
            }
            self.ask_successor();
        }
    }

    /// What subscribers said to an old owner is asked of the one in charge: it may know better.
    pub(crate) fn hand_over(&mut self, _now: Time, requests: Vec<Entry>) {
        self.others.old = self.token.map(|token| (self.zone.clone(), token));
        self.others.asked = requests;
    }

    pub(crate) fn ask_successor(&mut self) {
        if self.token.is_some() {
            return;
        }
        let Some(to) = self.others.successor else {
            return;
        };
        for entry in std::mem::take(&mut self.others.asked) {
            self.mail
                .put(Lane::Control, to, For::Gateway, &Message::Request(entry));
        }
    }

    /// Tells the other gateways what changed here, at once.
    pub(crate) fn push_changes(&mut self) {
        let changed = std::mem::take(&mut self.table.changed);
        if self.token.is_none() || changed.is_empty() {
            return;
        }
        let to: Vec<SocketAddr> = self.others.by_zone.values().map(|o| o.address).collect();
        for key in changed {
            let Some(entry) = self.table.kept(key).map(|k| k.entry.clone()) else {
                continue;
            };
            for to in &to {
                self.mail.put(
                    Lane::Lists,
                    *to,
                    For::Gateway,
                    &Message::Entry(entry.clone()),
                );
            }
        }
    }

    /// Begins the comparisons that are due. Of two gateways the one whose zone's name is first begins, and not while
    /// it still sends what the last one found.
    pub(crate) fn compare(&mut self, now: Time) {
        let due: Vec<(Name, SocketAddr)> = self
            .others
            .by_zone
            .iter()
            .filter(|(_, o)| o.compare_at <= now)
            .map(|(zone, o)| (zone.clone(), o.address))
            .collect();
        for (zone, to) in due {
            let pause = spread(&mut self.dice, crate::ms(self.rules.compare_ms));
            if let Some(other) = self.others.by_zone.get_mut(&zone) {
                other.compare_at = now + pause;
            }
            let busy = self.mail.waits_for(Lane::Lists, to);
            if self.zone > zone || busy || !self.rules.is_enabled(Guard::Repair) {
                continue;
            }
            self.others.round = self.others.round.wrapping_add(1);
            let round = self.others.round;
            let mut names: Vec<Name> = self.table.zones().cloned().collect();
            names.extend(self.others.by_zone.keys().cloned());
            names.push(self.zone.clone());
            names.sort();
            names.dedup();
            for names in names.chunks(ZONES) {
                let zones = names.iter().map(|zone| self.tells_of(now, zone)).collect();
                self.mail.put(
                    Lane::Lists,
                    to,
                    For::Gateway,
                    &Message::Sums { round, zones },
                );
            }
        }
    }

    /// The sum of a zone's list here, and how long ago its gateway confirmed it.
    fn tells_of(&self, now: Time, zone: &Name) -> (Name, u64, Micros) {
        let age = now.saturating_sub(self.table.confirmed(now, zone));
        (zone.clone(), self.table.sum(zone, 0, 0), age)
    }

    /// What an old owner took from subscribers: it is asked for, and what is known to be newer stays.
    pub(crate) fn requests(&mut self, now: Time, messages: Vec<Message>) {
        for message in messages {
            let Message::Request(entry) = message else {
                continue;
            };
            // That it ended by age is the old owner's own judgement.
            if entry.state == State::Expired
                || entry.subscriber.zone != self.zone
                || self.token.is_none()
            {
                continue;
            }
            if self.table.merge(now, &entry) == MergeOutcome::Applied {
                self.counts.requests += 1;
                self.table.note(&entry);
            }
        }
    }

    /// What another gateway says, whose token passed.
    pub(crate) fn between(
        &mut self,
        now: Time,
        from: SocketAddr,
        zone: &Name,
        messages: Vec<Message>,
        late: Micros,
    ) {
        for message in messages {
            match message {
                Message::Refused { duty, token } if duty == self.duty => {
                    let newer = self.token.is_some_and(|mine| mine < token);
                    if newer
                        && self.admit(&duty, token).is_ok()
                        && self.rules.is_enabled(Guard::Fence)
                    {
                        self.lose(now);
                        self.others.successor = Some(from)
                            .filter(|_| *zone == self.zone)
                            .or(self.others.successor);
                        self.ask_successor();
                    }
                }
                Message::Refused { duty, token } => {
                    let _ = self.admit(&duty, token);
                }
                Message::Request(_) => self.requests(now, vec![message]),
                _ if self.token.is_none() || *zone == self.zone => (),
                Message::Sums { round, zones } => self.sums(now, from, zone, round, &zones, late),
                Message::Same { zones } => {
                    self.told_of(now, zone, &zones, late);
                    for (name, sum, age) in zones {
                        self.compare_one(now, &name, sum, age.saturating_add(late));
                    }
                }
                Message::Ranges {
                    zone,
                    round,
                    level,
                    index,
                    sums,
                } => {
                    self.ranges(from, &zone, round, level, index as usize, &sums);
                }
                Message::All { zone, level, index } => {
                    for entry in self.table.in_range(&zone, level, index as usize) {
                        self.mail
                            .put(Lane::Lists, from, For::Gateway, &Message::Entry(entry));
                    }
                }
                Message::Leaf { zone, index, held } => self.leaf(from, &zone, index, &held),
                Message::Want { index, keys } => {
                    let mut wanted = Vec::new();
                    for kept in self.table.in_leaf(index as usize % table::LEAVES) {
                        if keys.contains(&table::ends(kept.key, &kept.entry).0) {
                            wanted.push(kept.entry.clone());
                        }
                    }
                    for entry in wanted {
                        self.mail
                            .put(Lane::Lists, from, For::Gateway, &Message::Entry(entry));
                    }
                }
                Message::Entry(entry) => self.entry(now, from, zone, &entry),
                _ => (),
            }
        }
    }

    /// Remembers how old another gateway's copies are.
    fn told_of(&mut self, now: Time, from: &Name, zones: &[(Name, u64, Micros)], late: Micros) {
        if let Some(other) = self.others.by_zone.get_mut(from) {
            for (zone, _, age) in zones.iter().take(ZONES) {
                if other.copies.len() < 8 * ZONES || other.copies.contains_key(zone) {
                    other
                        .copies
                        .insert(zone.clone(), now.saturating_sub(age.saturating_add(late)));
                }
            }
        }
    }

    /// Whether a zone's list is the same here; then it is as fresh as the fresher of the two.
    fn compare_one(&mut self, now: Time, zone: &Name, sum: u64, age: Micros) -> bool {
        let same = self.table.sum(zone, 0, 0) == sum;
        if same && *zone != self.zone {
            self.table.confirm_copy(zone, now.saturating_sub(age));
        }
        same
    }

    fn sums(
        &mut self,
        now: Time,
        from: SocketAddr,
        other: &Name,
        round: u32,
        zones: &[(Name, u64, Micros)],
        late: Micros,
    ) {
        self.told_of(now, other, zones, late);
        let busy = self.mail.waits_for(Lane::Lists, from);
        let mut same = Vec::new();
        let mut differ: Vec<Name> = Vec::new();
        for (zone, sum, age) in zones {
            if self.compare_one(now, zone, *sum, age.saturating_add(late)) {
                same.push(self.tells_of(now, zone));
            } else {
                differ.push(zone.clone());
            }
        }
        // A zone that the other has never heard of.
        let new = self
            .table
            .zones()
            .filter(|z| !zones.iter().any(|(told, ..)| told == *z));
        differ.extend(
            new.filter(|z| !self.others.by_zone.contains_key(*z) && zones.len() < ZONES)
                .cloned(),
        );
        if !same.is_empty() {
            self.mail.put(
                Lane::Lists,
                from,
                For::Gateway,
                &Message::Same { zones: same },
            );
        }
        if busy || !self.rules.is_enabled(Guard::Repair) {
            return;
        }
        // How old the copies here are goes before their entries.
        let ages = differ
            .iter()
            .map(|zone| self.tells_of(now, zone))
            .collect::<Vec<_>>();
        for ages in ages.chunks(ZONES) {
            self.mail.put(
                Lane::Lists,
                from,
                For::Gateway,
                &Message::Same {
                    zones: ages.to_vec(),
                },
            );
        }
        for zone in differ {
            self.send_ranges(from, &zone, round, 0, 0);
        }
    }

    fn send_ranges(&mut self, to: SocketAddr, zone: &Name, round: u32, level: u8, index: usize) {
        let sum = |n: usize| part(self.table.sum(zone, level + 1, index * PARTS + n), round);
        let sums = std::array::from_fn(sum);
        let message = Message::Ranges {
            zone: zone.clone(),
            round,
            level,
            index: index as u16,
            sums,
        };
        self.mail.put(Lane::Lists, to, For::Gateway, &message);
    }

    fn ranges(
        &mut self,
        from: SocketAddr,
        zone: &Name,
        round: u32,
        level: u8,
        index: usize,
        sums: &[u32; PARTS],
    ) {
        if level >= LEVELS || index >= PARTS.pow(u32::from(level)) {
            return;
        }
        for (n, theirs) in sums.iter().enumerate() {
            let child = index * PARTS + n;
            let mine = self.table.sum(zone, level + 1, child);
            if part(mine, round) == *theirs {
                continue;
            }
            if mine == 0 {
                let all = Message::All {
                    zone: zone.clone(),
                    level: level + 1,
                    index: child as u16,
                };
                self.mail.put(Lane::Lists, from, For::Gateway, &all);
            }
            // What the other has may have ended here: leaves tell.
            if level + 1 < LEVELS {
                if mine != 0 {
                    self.send_ranges(from, zone, round, level + 1, child);
                }
                continue;
            }
            if mine != 0 {
                let held = self
                    .table
                    .in_leaf(child)
                    .filter(|k| k.entry.state == State::Live && k.entry.subscriber.zone == *zone);
                let held = held
                    .take(LISTED)
                    .map(|k| table::ends(k.key, &k.entry))
                    .collect();
                let message = Message::Leaf {
                    zone: zone.clone(),
                    index: child as u16,
                    held,
                };
                self.mail.put(Lane::Lists, from, For::Gateway, &message);
            }
        }
    }

    fn leaf(&mut self, from: SocketAddr, zone: &Name, index: u16, held: &[([u8; 4], [u8; 4])]) {
        let (mut send, mut known) = (Vec::new(), Vec::new());
        for kept in self.table.in_leaf(index as usize % table::LEAVES) {
            let (key, sum) = table::ends(kept.key, &kept.entry);
            let listed = held.iter().find(|(theirs, _)| *theirs == key);
            let counts = kept.entry.state == State::Live && kept.entry.subscriber.zone == *zone;
            known.push(key);
            match listed {
                Some((_, theirs)) if counts && *theirs == sum => (),
                // It ended here, or is in another zone, or is of another number.
                Some(_) => send.push(kept.entry.clone()),
                None if counts => send.push(kept.entry.clone()),
                None => (),
            }
        }
        let keys: Vec<_> = held
            .iter()
            .map(|(key, _)| *key)
            .filter(|key| !known.contains(key))
            .collect();
        if !keys.is_empty() {
            self.mail.put(
                Lane::Lists,
                from,
                For::Gateway,
                &Message::Want { index, keys },
            );
        }
        for entry in send {
            self.mail
                .put(Lane::Lists, from, For::Gateway, &Message::Entry(entry));
        }
    }

    fn entry(&mut self, now: Time, from: SocketAddr, other: &Name, entry: &Entry) {
        let zone = &entry.subscriber.zone;
        // From its own gateway it is fresh; another's copy is as fresh as that told.
        let fresh = if zone == other {
            Some(now)
        } else {
            self.others
                .by_zone
                .get(other)
                .and_then(|o| o.copies.get(zone))
                .copied()
        };
        let oldest = now.saturating_sub(crate::ms(self.rules.forget_ms));
        let stale = entry.state == State::Live && fresh.is_none_or(|at| at < oldest);
        if stale && self.rules.is_enabled(Guard::Away) {
            return;
        }
        match self.table.merge(now, entry) {
            MergeOutcome::Applied => {
                self.counts.taken += 1;
                if *zone != self.zone
                    && let Some(at) = fresh
                {
                    self.table.taint(zone, at);
                }
            }
            MergeOutcome::Stale(mine) => {
                self.mail
                    .put(Lane::Lists, from, For::Gateway, &Message::Entry(mine));
            }
            MergeOutcome::Contested(to, name) => self.ask_anew(now, to, name),
            MergeOutcome::Unchanged | MergeOutcome::Full => (),
        }
    }
}
