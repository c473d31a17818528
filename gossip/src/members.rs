//! Who is there: SWIM by the crate `foca`, on a clock that stands still while this router does.

use crate::incarnation::Incarnation;
use crate::rules::{Guard, Rules, SEEK};
use foca::{
    AccumulatingRuntime, Config, Foca, NoCustomBroadcast, OwnedNotification, PeriodicParams,
    PostcardCodec, Timer,
};
use plovercove::{Micros, Time};
use plovercove_engine::Backoff;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// A timer that is later than this was held up by this router itself: a loop's turn is far shorter.
const STALL: Micros = 250_000;
/// Addresses of members that are gone and may come back.
const FORGOTTEN: usize = 1_024;
/// Members that are down are called in turn, one in this time (ms), and forgotten by SWIM itself after so long (s).
const DOWN: (u64, u64) = (2_000, 600);
/// Members that are known at the most: what a holder of the key could make up ends here.
const MOST: usize = 2_048;
/// Others that are asked to probe who does not answer.
const INDIRECT: usize = 3;

/// A sum over the members of each part of the order of addresses: two routers with the same sums see the same members.
pub(crate) type Roll = [u64; 16];

/// In which part of a roll an address counts.
fn place(address: &SocketAddr) -> usize {
    (crate::draw(&[address.to_string().as_bytes()]) % 16) as usize
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Up(Incarnation),
    Down(Incarnation),
    /// The others took this life for ended; it goes on as this.
    Again(Incarnation),
    /// Another holds this router's address, and began later.
    Taken,
}

pub(crate) struct Members {
    foca: Foca<Incarnation, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Incarnation>,
    timers: BTreeMap<(Time, u64), Timer<Incarnation>>,
    order: u64,
    /// How long this router has stood still, all in all: its timers are late by no more than a turn.
    stood: Micros,
    active: BTreeMap<SocketAddr, Incarnation>,
    forgotten: BTreeMap<SocketAddr, Time>,
    seeds: Vec<SocketAddr>,
    should: usize,
    pauses: Backoff,
    seek_at: Time,
    dice: Pcg64Mcg,
    remembers: bool,
    doubts: bool,
    pub(crate) changes: VecDeque<Change>,
    /// Messages that made no sense.
    pub(crate) invalid_messages: u64,
}

fn config(rules: &Rules, room: usize) -> Config {
    let ms = Duration::from_millis;
    let some = |n: usize| NonZeroUsize::new(n.max(1)).unwrap_or(NonZeroUsize::MIN);
    let often = |every: u64, members: usize| PeriodicParams {
        frequency: ms(every),
        num_members: some(members),
    };
    Config {
        probe_period: ms(rules.probe_ms),
        probe_rtt: ms(rules.answer_ms),
        num_indirect_probes: some(INDIRECT),
        max_transmissions: NonZeroU8::new(rules.sends()).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: ms(rules.suspect_ms),
        remove_down_after: Some(Duration::from_secs(DOWN.1)),
        max_packet_size: some(room),
        notify_down_members: true,
        periodic_announce: Some(often(10 * rules.probe_ms, 1)),
        periodic_announce_to_down_members: rules.on(Guard::Forgotten).then(|| often(DOWN.0, 1)),
        periodic_gossip: Some(often(rules.gossip_ms, rules.fanout)),
    }
}

impl Members {
    pub(crate) fn new(incarnation: Incarnation, rules: &Rules, room: usize, seed: u64) -> Self {
        let mut dice = Pcg64Mcg::seed_from_u64(seed);
        let foca = Foca::new(
            incarnation.clone(),
            config(rules, room),
            Pcg64Mcg::seed_from_u64(dice.random()),
            PostcardCodec,
        );
        let pauses = Backoff::new(crate::ms(SEEK.0), crate::ms(SEEK.1), dice.random());
        Members {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            order: 0,
            stood: 0,
            active: BTreeMap::new(),
            forgotten: BTreeMap::new(),
            seeds: rules
                .seeds
                .iter()
                .copied()
                .filter(|s| *s != incarnation.address)
                .collect(),
            should: rules.routers as usize,
            pauses,
            seek_at: 0,
            dice,
            remembers: rules.on(Guard::Forgotten),
            doubts: rules.on(Guard::Stopped),
            changes: VecDeque::new(),
            invalid_messages: 0,
        }
    }

    pub(crate) fn me(&self) -> &Incarnation {
        self.foca.identity()
    }

    /// The other members that are up, as far as can be told.
    pub(crate) fn active(&self) -> &BTreeMap<SocketAddr, Incarnation> {
        &self.active
    }

    pub(crate) fn is_member(&self, address: &SocketAddr) -> bool {
        self.active.contains_key(address)
    }

    pub(crate) fn is_full(&self) -> bool {
        self.active.len() >= MOST
    }

    /// The sums over all members, this router among them.
    pub(crate) fn roll(&self) -> Roll {
        let mut roll = Roll::default();
        for incarnation in self.active.values().chain([self.me()]) {
            let (boot, renewals) = (
                incarnation.boot.to_le_bytes(),
                incarnation.renewals.to_le_bytes(),
            );
            roll[place(&incarnation.address)] ^=
                crate::draw(&[incarnation.address.to_string().as_bytes(), &boot, &renewals]);
        }
        roll
    }

    /// Members of the parts in which another's sums differ, from one drawn at random on, as many as there is room for.
    pub(crate) fn differing(&mut self, theirs: &Roll, room: usize) -> Vec<Incarnation> {
        let ours = self.roll();
        let first = self.dice.random_range(0..ours.len());
        let mut incarnations = Vec::new();
        let mut left = room;
        for part in (first..first + ours.len())
            .map(|n| n % ours.len())
            .filter(|n| ours[*n] != theirs[*n])
        {
            for incarnation in self
                .active
                .values()
                .chain([self.foca.identity()])
                .filter(|l| place(&l.address) == part)
            {
                // Numbers, address and lengths take at most so much beside the names.
                let size = 36 + incarnation.name.len() + incarnation.zone.len();
                if size > left {
                    return incarnations;
                }
                left -= size;
                incarnations.push(incarnation.clone());
            }
        }
        incarnations
    }

    /// Another sees these; those that are not known here are members until SWIM finds otherwise.
    ///
    /// Danger: what SWIM piggybacks is sent a bounded number of times. Where many come and go at once some miss it, and
    /// without this would not know of them for minutes.
    pub(crate) fn learn(&mut self, now: Time, incarnations: Vec<Incarnation>) {
        let known = |l: &Incarnation| {
            self.active.get(&l.address) == Some(l) || l.address == self.foca.identity().address
        };
        let fresh: Vec<_> = incarnations
            .into_iter()
            .filter(|l| l.fits() && !known(l))
            .map(foca::Member::alive)
            .collect();
        if !fresh.is_empty() && !self.is_full() {
            let result = self
                .foca
                .apply_many(fresh.into_iter(), false, &mut self.runtime);
            self.settle(now, result);
        }
    }

    /// Members drawn at random.
    pub(crate) fn some(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.active.keys().copied().collect();
        let count = count.min(all.len());
        for n in 0..count {
            let other = self.dice.random_range(n..all.len());
            all.swap(n, other);
        }
        all.truncate(count);
        all
    }

    pub(crate) fn next(&self) -> Time {
        let timer = self
            .timers
            .first_key_value()
            .map_or(Time::MAX, |((at, _), _)| at + self.stood);
        timer.min(self.seek_at)
    }

    pub(crate) fn receive(&mut self, now: Time, data: &[u8]) {
        let result = self.foca.handle_data(data, &mut self.runtime);
        self.settle(now, result);
    }

    /// Does what is due; tells how long this router has stood still, where it has.
    pub(crate) fn due(&mut self, now: Time) -> Option<Micros> {
        let due = self
            .timers
            .first_key_value()
            .map(|((at, _), _)| at + self.stood);
        let late = due.map_or(0, |due| now.saturating_sub(due));
        // Danger: a router that was stopped for 10 s finds every answer overdue and every suspect's time run out, and
        // would tell all the others so. Its own timers are late, so it is itself that it must doubt: for them, the time
        // it stood still has not passed. What came meanwhile is read before they fall due.
        let stood = late > STALL;
        if stood && self.doubts {
            self.stood += late;
        }
        while let Some(entry) = self.timers.first_entry()
            && entry.key().0 + self.stood <= now
        {
            let timer = entry.remove();
            let result = self.foca.handle_timer(timer, &mut self.runtime);
            self.settle(now, result);
        }
        if now >= self.seek_at {
            self.seek(now);
        }
        stood.then_some(late)
    }

    /// Calls a seed or a member that is gone, as long as fewer are there than should be.
    fn seek(&mut self, now: Time) {
        if self.active.len() + 1 >= self.should {
            self.pauses.record_success();
            self.seek_at = now + crate::ms(SEEK.1);
            return;
        }
        self.seek_at = self.pauses.record_failure(now);
        let gone = self.forgotten.keys().filter(|_| self.remembers);
        let mut all: Vec<SocketAddr> = self.seeds.iter().chain(gone).copied().collect();
        all.retain(|a| !self.active.contains_key(a));
        if !all.is_empty() {
            let one = all[self.dice.random_range(0..all.len())];
            let result = self
                .foca
                .announce(Incarnation::unknown(one), &mut self.runtime);
            self.settle(now, result);
        }
    }

    /// Tells the others that this life ends.
    pub(crate) fn leave(&mut self, now: Time) {
        let result = self.foca.leave_cluster(&mut self.runtime);
        self.settle(now, result);
        self.timers.clear();
        self.seek_at = Time::MAX;
    }

    /// What is to be sent.
    pub(crate) fn sends(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.runtime
            .to_send()
            .map(|(to, bytes)| (to.address, bytes.to_vec()))
    }

    fn settle(&mut self, now: Time, result: Result<(), foca::Error>) {
        self.invalid_messages += u64::from(result.is_err());
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.order += 1;
            let at = now.saturating_sub(self.stood) + after.as_micros() as Micros;
            self.timers.insert((at, self.order), timer);
        }
        while let Some(told) = self.runtime.to_notify() {
            match told {
                OwnedNotification::MemberUp(incarnation) => {
                    self.forgotten.remove(&incarnation.address);
                    self.active.insert(incarnation.address, incarnation.clone());
                    self.changes.push_back(Change::Up(incarnation));
                }
                OwnedNotification::MemberDown(incarnation) => {
                    self.active.remove(&incarnation.address);
                    if self.forgotten.len() >= FORGOTTEN {
                        let oldest = self
                            .forgotten
                            .iter()
                            .min_by_key(|(_, at)| **at)
                            .map(|(a, _)| *a);
                        oldest.map(|a| self.forgotten.remove(&a));
                    }
                    self.forgotten.insert(incarnation.address, now);
                    self.changes.push_back(Change::Down(incarnation));
                }
                OwnedNotification::Rename(_, incarnation) => {
                    if let Some(known) = self.active.get_mut(&incarnation.address) {
                        known.clone_from(&incarnation);
                        self.changes.push_back(Change::Up(incarnation));
                    }
                }
                OwnedNotification::Rejoin(incarnation) => {
                    self.changes.push_back(Change::Again(incarnation))
                }
                OwnedNotification::Defunct => self.changes.push_back(Change::Taken),
                OwnedNotification::Active | OwnedNotification::Idle => {}
            }
        }
    }
}
