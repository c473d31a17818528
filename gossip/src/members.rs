//! Membership: SWIM by the crate `foca`, on a clock that does not advance while this router is stalled.

use crate::incarnation::Incarnation;
use crate::rules::{Guard, MAX_SEEK_BACKOFF_MS, MIN_SEEK_BACKOFF_MS, Rules};
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

/// Lateness of a timer from which on this router counts as stalled. A turn of the event loop is far shorter.
const STALL_THRESHOLD_US: Micros = 250_000;
/// Maximum number of former members whose addresses are remembered because they may come back.
const MAX_FORMER_MEMBERS: usize = 1_024;
/// Interval at which one of the members that are down is contacted (ms).
const DOWN_ANNOUNCE_INTERVAL_MS: u64 = 2_000;
/// Time after which the SWIM implementation forgets a member that is down (s).
const DOWN_MEMORY_S: u64 = 600;
/// Maximum number of members, so that a holder of the key cannot fill the memory with invented ones.
const MAX_MEMBERS: usize = 2_048;
/// Number of members that are requested to probe a member that does not answer.
const INDIRECT_PROBES: usize = 3;

/// Checksums of the members, one for each bucket of addresses. Two routers with the same checksums know the same members.
pub(crate) type MemberChecksums = [u64; 16];

/// Returns the bucket of an address in [`MemberChecksums`].
fn bucket_of(address: &SocketAddr) -> usize {
    (crate::shared_draw(&[address.to_string().as_bytes()]) % 16) as usize
}

/// Change of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Change {
    Up(Incarnation),
    Down(Incarnation),
    /// The other members considered this router down, and it rejoined with this identity.
    Rejoined(Incarnation),
    /// Another router, which started later, uses this router's address.
    AddressTaken,
}

/// Membership of one router.
pub(crate) struct Members {
    foca: Foca<Incarnation, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>,
    runtime: AccumulatingRuntime<Incarnation>,
    timers: BTreeMap<(Time, u64), Timer<Incarnation>>,
    /// Sequence number of the last timer, which orders timers of the same time.
    timer_seq: u64,
    /// Total duration of all stalls of this router, by which its timers are postponed.
    total_stall: Micros,
    active: BTreeMap<SocketAddr, Incarnation>,
    /// Former members, and when each went down.
    former: BTreeMap<SocketAddr, Time>,
    seeds: Vec<SocketAddr>,
    /// Expected number of routers.
    expected: usize,
    seek_backoff: Backoff,
    seek_at: Time,
    rng: Pcg64Mcg,
    /// Whether former members are contacted as well as seeds.
    contacts_former: bool,
    /// Whether timers are postponed by stalls.
    excludes_stalls: bool,
    pub(crate) changes: VecDeque<Change>,
    /// Number of invalid messages.
    pub(crate) invalid_messages: u64,
}

fn config(rules: &Rules, max_bytes: usize) -> Config {
    let ms = Duration::from_millis;
    let non_zero = |n: usize| NonZeroUsize::new(n.max(1)).unwrap_or(NonZeroUsize::MIN);
    let periodic = |interval_ms: u64, members: usize| PeriodicParams {
        frequency: ms(interval_ms),
        num_members: non_zero(members),
    };
    Config {
        probe_period: ms(rules.probe_ms),
        probe_rtt: ms(rules.answer_ms),
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(rules.max_transmissions()).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: ms(rules.suspect_ms),
        remove_down_after: Some(Duration::from_secs(DOWN_MEMORY_S)),
        max_packet_size: non_zero(max_bytes),
        notify_down_members: true,
        periodic_announce: Some(periodic(10 * rules.probe_ms, 1)),
        periodic_announce_to_down_members: rules
            .is_enabled(Guard::Forgotten)
            .then(|| periodic(DOWN_ANNOUNCE_INTERVAL_MS, 1)),
        periodic_gossip: Some(periodic(rules.gossip_ms, rules.fanout)),
    }
}

impl Members {
    /// Creates the membership of a router that knows no other member. `max_bytes` limits the length of a message.
    pub(crate) fn new(
        incarnation: Incarnation,
        rules: &Rules,
        max_bytes: usize,
        seed: u64,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let foca = Foca::new(
            incarnation.clone(),
            config(rules, max_bytes),
            Pcg64Mcg::seed_from_u64(rng.random()),
            PostcardCodec,
        );
        let seek_backoff = Backoff::new(
            crate::ms_to_us(MIN_SEEK_BACKOFF_MS),
            crate::ms_to_us(MAX_SEEK_BACKOFF_MS),
            rng.random(),
        );
        Members {
            foca,
            runtime: AccumulatingRuntime::new(),
            timers: BTreeMap::new(),
            timer_seq: 0,
            total_stall: 0,
            active: BTreeMap::new(),
            former: BTreeMap::new(),
            seeds: rules
                .seeds
                .iter()
                .copied()
                .filter(|seed| *seed != incarnation.address)
                .collect(),
            expected: rules.routers as usize,
            seek_backoff,
            seek_at: 0,
            rng,
            contacts_former: rules.is_enabled(Guard::Forgotten),
            excludes_stalls: rules.is_enabled(Guard::Stopped),
            changes: VecDeque::new(),
            invalid_messages: 0,
        }
    }

    /// Returns the identity of this router.
    pub(crate) fn identity(&self) -> &Incarnation {
        self.foca.identity()
    }

    /// Returns the other members that are up, as far as this router knows.
    pub(crate) fn active(&self) -> &BTreeMap<SocketAddr, Incarnation> {
        &self.active
    }

    /// Returns whether a member that is up has this address.
    pub(crate) fn is_member(&self, address: &SocketAddr) -> bool {
        self.active.contains_key(address)
    }

    /// Returns whether there are too many members to add another one.
    pub(crate) fn is_full(&self) -> bool {
        self.active.len() >= MAX_MEMBERS
    }

    /// Returns the checksums of all members, including this router.
    pub(crate) fn checksums(&self) -> MemberChecksums {
        let mut checksums = MemberChecksums::default();
        for incarnation in self.active.values().chain([self.identity()]) {
            let (boot, renewals) = (
                incarnation.boot.to_le_bytes(),
                incarnation.renewals.to_le_bytes(),
            );
            checksums[bucket_of(&incarnation.address)] ^=
                crate::shared_draw(&[incarnation.address.to_string().as_bytes(), &boot, &renewals]);
        }
        checksums
    }

    /// Returns the members of the buckets in which another router's checksums differ, up to this size. The first bucket is
    /// drawn at random.
    pub(crate) fn members_of_differing_buckets(
        &mut self,
        theirs: &MemberChecksums,
        max_bytes: usize,
    ) -> Vec<Incarnation> {
        let ours = self.checksums();
        let first = self.rng.random_range(0..ours.len());
        let mut incarnations = Vec::new();
        let mut bytes_left = max_bytes;
        for bucket in (first..first + ours.len())
            .map(|n| n % ours.len())
            .filter(|n| ours[*n] != theirs[*n])
        {
            for incarnation in self
                .active
                .values()
                .chain([self.foca.identity()])
                .filter(|member| bucket_of(&member.address) == bucket)
            {
                // The numbers, the address and the lengths take at most 36 bytes besides the names.
                let size = 36 + incarnation.name.len() + incarnation.zone.len();
                if size > bytes_left {
                    return incarnations;
                }
                bytes_left -= size;
                incarnations.push(incarnation.clone());
            }
        }
        incarnations
    }

    /// Adds members that another router knows. They stay members until SWIM finds that they are down.
    ///
    /// SWIM piggybacks each change only a bounded number of times. If many members come and go at once, some routers miss
    /// changes. Without this method they would not know of these members for minutes.
    pub(crate) fn add_members(&mut self, now: Time, incarnations: Vec<Incarnation>) {
        let is_known = |member: &Incarnation| {
            self.active.get(&member.address) == Some(member)
                || member.address == self.foca.identity().address
        };
        let unknown: Vec<_> = incarnations
            .into_iter()
            .filter(|member| member.has_valid_names() && !is_known(member))
            .map(foca::Member::alive)
            .collect();
        if !unknown.is_empty() && !self.is_full() {
            let result = self
                .foca
                .apply_many(unknown.into_iter(), false, &mut self.runtime);
            self.process_output(now, result);
        }
    }

    /// Returns the addresses of members that are drawn at random.
    pub(crate) fn random_members(&mut self, count: usize) -> Vec<SocketAddr> {
        let mut all: Vec<SocketAddr> = self.active.keys().copied().collect();
        let count = count.min(all.len());
        for n in 0..count {
            let other = self.rng.random_range(n..all.len());
            all.swap(n, other);
        }
        all.truncate(count);
        all
    }

    /// Returns the time at which [`Members::run_timers`] has to run next.
    pub(crate) fn next_deadline(&self) -> Time {
        let timer = self
            .timers
            .first_key_value()
            .map_or(Time::MAX, |((at, _), _)| at + self.total_stall);
        timer.min(self.seek_at)
    }

    /// Handles a received message.
    pub(crate) fn receive(&mut self, now: Time, data: &[u8]) {
        let result = self.foca.handle_data(data, &mut self.runtime);
        self.process_output(now, result);
    }

    /// Runs the timers that are due. Returns the duration of a stall of this router if there was one.
    pub(crate) fn run_timers(&mut self, now: Time) -> Option<Micros> {
        let due = self
            .timers
            .first_key_value()
            .map(|((at, _), _)| at + self.total_stall);
        let late = due.map_or(0, |due| now.saturating_sub(due));
        // After a stall, for example of 10 s, every answer would be overdue and every suspicion would have expired, and this
        // router would report all members as down. Since its own timers are late, the stall is its own fault, and the timers
        // are postponed by its duration. The datagrams that arrived during the stall are read before the timers are due.
        let has_stalled = late > STALL_THRESHOLD_US;
        if has_stalled && self.excludes_stalls {
            self.total_stall += late;
        }
        while let Some(entry) = self.timers.first_entry()
            && entry.key().0 + self.total_stall <= now
        {
            let timer = entry.remove();
            let result = self.foca.handle_timer(timer, &mut self.runtime);
            self.process_output(now, result);
        }
        if now >= self.seek_at {
            self.seek(now);
        }
        has_stalled.then_some(late)
    }

    /// Announces this router to a seed or a former member, as long as there are fewer members than expected.
    fn seek(&mut self, now: Time) {
        if self.active.len() + 1 >= self.expected {
            self.seek_backoff.record_success();
            self.seek_at = now + crate::ms_to_us(MAX_SEEK_BACKOFF_MS);
            return;
        }
        self.seek_at = self.seek_backoff.record_failure(now);
        let former = self.former.keys().filter(|_| self.contacts_former);
        let mut all: Vec<SocketAddr> = self.seeds.iter().chain(former).copied().collect();
        all.retain(|address| !self.active.contains_key(address));
        if !all.is_empty() {
            let target = all[self.rng.random_range(0..all.len())];
            let result = self
                .foca
                .announce(Incarnation::unknown(target), &mut self.runtime);
            self.process_output(now, result);
        }
    }

    /// Announces to the other members that this router ends.
    pub(crate) fn leave(&mut self, now: Time) {
        let result = self.foca.leave_cluster(&mut self.runtime);
        self.process_output(now, result);
        self.timers.clear();
        self.seek_at = Time::MAX;
    }

    /// Returns the next message to send, with the address of its receiver.
    pub(crate) fn next_outgoing(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        self.runtime
            .to_send()
            .map(|(to, bytes)| (to.address, bytes.to_vec()))
    }

    /// Takes over the timers and the changes that a call of the SWIM implementation produced.
    fn process_output(&mut self, now: Time, result: Result<(), foca::Error>) {
        self.invalid_messages += u64::from(result.is_err());
        while let Some((after, timer)) = self.runtime.to_schedule() {
            self.timer_seq += 1;
            let at = now.saturating_sub(self.total_stall) + after.as_micros() as Micros;
            self.timers.insert((at, self.timer_seq), timer);
        }
        while let Some(notification) = self.runtime.to_notify() {
            match notification {
                OwnedNotification::MemberUp(incarnation) => {
                    self.former.remove(&incarnation.address);
                    self.active.insert(incarnation.address, incarnation.clone());
                    self.changes.push_back(Change::Up(incarnation));
                }
                OwnedNotification::MemberDown(incarnation) => {
                    self.active.remove(&incarnation.address);
                    if self.former.len() >= MAX_FORMER_MEMBERS {
                        let oldest = self
                            .former
                            .iter()
                            .min_by_key(|(_, at)| **at)
                            .map(|(address, _)| *address);
                        oldest.map(|address| self.former.remove(&address));
                    }
                    self.former.insert(incarnation.address, now);
                    self.changes.push_back(Change::Down(incarnation));
                }
                OwnedNotification::Rename(_, incarnation) => {
                    if let Some(known) = self.active.get_mut(&incarnation.address) {
                        known.clone_from(&incarnation);
                        self.changes.push_back(Change::Up(incarnation));
                    }
                }
                OwnedNotification::Rejoin(incarnation) => {
                    self.changes.push_back(Change::Rejoined(incarnation))
                }
                OwnedNotification::Defunct => self.changes.push_back(Change::AddressTaken),
                OwnedNotification::Active | OwnedNotification::Idle => {}
            }
        }
    }
}
