//! A router that votes.

use crate::ballot::{Ballot, Holder, VoteOutcome};
use crate::event::LeaseEvent;
use crate::ms;
use crate::persisted::PersistedState;
use crate::placement::Member;
use crate::rate_limiter::RateLimiter;
use crate::rules::{Guard, MAX_LEASE_MS, Rules, majority};
use crate::wire::{
    Answer, Checkpoint, LeaseStatus, Message, RequestItem, VoterStage, VoterState, encode,
    encode_in_parts,
};
use plovercove::{Micros, Time};
use plovercove_fencing::{LeaseName, Token};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Tokens that one write to the disk allows for: a grant a second writes every quarter of an hour.
const TOKEN_CEILING_STEP: u64 = 1_000;
/// Duties that a decider knows at the most: eight times what the largest fleet has.
const MAX_LEASES: usize = 4_096;
/// Asks that wait for the disk at the most; the others are sent again by whoever asked.
const MAX_DEFERRED_REQUESTS: usize = 256;
/// So many owners lost ...
const LOSSES_TO_SUSPEND: usize = 3;
/// ... within this time set a duty aside (us). A lease that has to end before the next owner is not counted in it.
const LOSS_WINDOW_US: Micros = 60_000_000;
/// A duty is set aside for no longer (us).
const MAX_SUSPEND_US: Micros = 3_600_000_000;
/// Share of the datagrams that is kept for renewals: who owns must not lose it because others join.
const RENEWAL_RESERVE: f64 = 0.3;

/// What it remembers of one duty.
#[derive(Clone, Debug)]
struct Record {
    ballot: Ballot,
    checkpoint: Option<Checkpoint>,
    /// Owners whose lease ended without a word of them, and when.
    losses: VecDeque<(Time, Holder)>,
    /// Nobody gets it until then ...
    suspended_until: Time,
    /// ... for the n-th time in a row.
    suspensions: u32,
}

/// What another decider said of itself, when.
#[derive(Clone, Debug)]
struct KnownState {
    state: VoterState,
    at: Time,
}

/// A decider.
#[derive(Clone, Debug)]
pub(crate) struct Voter {
    me: Member,
    stage: VoterStage,
    /// Tokens up to this may have been voted for, of any duty.
    token_floor: Token,
    records: BTreeMap<LeaseName, Record>,
    /// On disk.
    on_disk: Option<PersistedState>,
    /// To be written next.
    to_write: Option<PersistedState>,
    /// Handed to the router, and not yet on disk.
    being_written: Option<PersistedState>,
    /// It votes from then on at the earliest.
    votes_from: Time,
    started_at: Time,
    known_states: BTreeMap<SocketAddr, KnownState>,
    next_query: Time,
    deferred: Vec<(Member, u64, u32, RequestItem)>,
    limiter: RateLimiter,
    pub(crate) dropped: u64,
    file_is_stale: bool,
}

/// What it wants sent, and said.
#[derive(Default)]
pub(crate) struct Outbox {
    pub messages: Vec<(SocketAddr, Vec<u8>)>,
    pub events: Vec<LeaseEvent>,
}

impl Outbox {
    pub fn send(&mut self, to: SocketAddr, message: &Message) {
        if let Some(bytes) = encode(message) {
            self.messages.push((to, bytes));
        }
    }
}

impl Voter {
    /// The decider that this router is by the settings; none where it is none, and was none in the former set.
    pub fn new(
        rules: &Rules,
        me: &Member,
        now: Time,
        persisted: Option<PersistedState>,
    ) -> Option<Self> {
        let set = &rules.voters;
        let member = set.position_of(&me.address).is_some();
        let before = set.previous.iter().any(|d| d.address == me.address);
        if !member && !before {
            return None;
        }
        let known = persisted.as_ref().map(|k| k.generation);
        let former = set.generation.checked_sub(1);
        let stage = match known {
            _ if !member => VoterStage::Former,
            Some(g) if g == set.generation => VoterStage::Waiting,
            Some(g) if Some(g) == former && before => VoterStage::Joining,
            _ => VoterStage::Blank,
        };
        // The file of an older generation than the former says nothing that could be told to others.
        let persisted =
            persisted.filter(|k| k.generation == set.generation || Some(k.generation) == former);
        let longest = persisted
            .as_ref()
            .map_or(0, |k| k.max_lease_ms)
            .max(rules.lease_ms);
        let mut voter = Voter {
            me: me.clone(),
            stage,
            token_floor: persisted.as_ref().map_or(Token::NONE, |k| k.token_ceiling),
            records: BTreeMap::new(),
            on_disk: persisted.clone(),
            to_write: None,
            being_written: None,
            votes_from: now,
            started_at: now,
            known_states: BTreeMap::new(),
            next_query: now,
            deferred: Vec::new(),
            limiter: RateLimiter::new(rules.datagrams_per_s, now),
            dropped: 0,
            file_is_stale: false,
        };
        voter.extend_waiting(rules, now, longest);
        if let Some(persisted) = persisted
            && matches!(stage, VoterStage::Joining | VoterStage::Former)
            && persisted.sealed_below < set.generation
        {
            voter.to_write = Some(PersistedState {
                sealed_below: set.generation,
                ..persisted
            });
        }
        Some(voter)
    }

    /// It votes only when leases up to this length that it may have granted are over.
    fn extend_waiting(&mut self, rules: &Rules, now: Time, max_lease_ms: u64) {
        // Against: a decider that restarts has forgotten whose leases run, and would make a second owner at once.
        if rules.is_enabled(Guard::WaitAfterStart) {
            self.votes_from = self
                .votes_from
                .max(now + rules.lease_at_voter(max_lease_ms));
        }
    }

    pub fn stage(&self) -> VoterStage {
        self.stage
    }

    /// What must be on disk before the votes that wait for it leave; one after the other.
    pub fn take_pending_write(&mut self) -> Option<Vec<u8>> {
        if self.being_written.is_some() {
            return None;
        }
        self.being_written = self.to_write.take();
        self.being_written.as_ref().map(PersistedState::encode)
    }

    /// What was handed out last is on disk.
    pub fn complete_write(&mut self, rules: &Rules, now: Time, outbox: &mut Outbox) {
        let Some(being_written) = self.being_written.take() else {
            return;
        };
        self.on_disk = Some(being_written);
        self.turn(rules, now, outbox);
        for (from, requested_at, lease_ms, item) in std::mem::take(&mut self.deferred) {
            self.receive_request(
                rules,
                now,
                &from,
                requested_at,
                lease_ms,
                vec![item],
                outbox,
            );
        }
    }

    /// Whether a vote for this token and lease may leave; asks for room on the disk where it may not, and ahead of that.
    fn is_covered_by_disk(&mut self, rules: &Rules, token: Token, lease_ms: u64) -> bool {
        let Some(on_disk) = &self.on_disk else {
            return false;
        };
        let covers = token <= on_disk.token_ceiling && lease_ms <= on_disk.max_lease_ms;
        let coming = self
            .to_write
            .as_ref()
            .or(self.being_written.as_ref())
            .unwrap_or(on_disk);
        if token.0.saturating_add(TOKEN_CEILING_STEP / 2) > coming.token_ceiling.0
            || lease_ms > coming.max_lease_ms
        {
            let token_ceiling =
                Token(token.0.saturating_add(TOKEN_CEILING_STEP)).max(coming.token_ceiling);
            let max_lease_ms = coming.max_lease_ms.max(lease_ms).max(rules.lease_ms);
            self.to_write = Some(PersistedState {
                token_ceiling,
                max_lease_ms,
                ..coming.clone()
            });
        }
        // Against: a decider that restarts votes again for a token that it voted for before.
        covers || !rules.is_enabled(Guard::Ceiling)
    }

    /// Whether the file on disk is of the set that the settings name.
    fn has_current_generation(&self, rules: &Rules) -> bool {
        self.on_disk
            .as_ref()
            .is_some_and(|k| k.generation == rules.voters.generation)
    }

    pub fn next_turn(&self) -> Time {
        match self.stage {
            VoterStage::Voting | VoterStage::Former => Time::MAX,
            // Without its file on disk it is called again by that, or when it reads.
            VoterStage::Waiting
                if self.on_disk.is_some()
                    && self.to_write.is_none()
                    && self.being_written.is_none() =>
            {
                self.votes_from.min(self.next_query)
            }
            VoterStage::Waiting | VoterStage::Blank | VoterStage::Joining => self.next_query,
        }
    }

    pub fn turn(&mut self, rules: &Rules, now: Time, outbox: &mut Outbox) {
        if matches!(self.stage, VoterStage::Voting | VoterStage::Former) {
            return;
        }
        if now >= self.next_query {
            self.next_query = now + 2 * rules.retry_interval();
            let decode = Message::QueryState {
                generation: rules.voters.generation,
                token_ceiling: self.token_ceiling(),
            };
            let all = rules.voters.members.iter().chain(&rules.voters.previous);
            let mut to: Vec<_> = all
                .map(|d| d.address)
                .filter(|a| *a != self.me.address)
                .collect();
            to.sort_unstable();
            to.dedup();
            to.iter().for_each(|a| outbox.send(*a, &decode));
        }
        self.advance(rules, now, outbox);
    }

    /// It has never voted for a token over this.
    fn token_ceiling(&self) -> Token {
        self.on_disk
            .as_ref()
            .map_or(Token::NONE, |k| k.token_ceiling)
            .max(self.token_floor)
    }

    /// Those of the others in this generation that know what they may have voted for.
    fn informed_voters(&self, rules: &Rules) -> impl Iterator<Item = &VoterState> {
        let set = &rules.voters;
        let others = set.members.iter().filter(|d| d.address != self.me.address);
        others
            .filter_map(|d| self.known_states.get(&d.address))
            .map(|t| &t.state)
            .filter(|s| {
                s.generation == set.generation
                    && matches!(s.stage, VoterStage::Voting | VoterStage::Waiting)
            })
    }

    fn advance(&mut self, rules: &Rules, now: Time, outbox: &mut Outbox) {
        let set = &rules.voters;
        match self.stage {
            VoterStage::Waiting => {
                let (others, receiver_ceiling) = self
                    .informed_voters(rules)
                    .fold((Token::NONE, Token::NONE), |(c, y), s| {
                        (c.max(s.token_ceiling), y.max(s.receiver_ceiling))
                    });
                if receiver_ceiling > self.token_ceiling() && !self.file_is_stale {
                    // An old copy of the file was put back: what it lacks, only others know.
                    self.file_is_stale = true;
                    self.stage = VoterStage::Blank;
                    outbox.events.push(LeaseEvent::StaleFile);
                    return self.advance(rules, now, outbox);
                }
                self.token_floor = self.token_floor.max(others);
                if now >= self.votes_from
                    && self.has_current_generation(rules)
                    && self.to_write.is_none()
                    && self.being_written.is_none()
                {
                    self.start_voting(outbox);
                }
            }
            VoterStage::Blank => {
                let (count, token_ceiling, longest) = self
                    .informed_voters(rules)
                    .fold((0, Token::NONE, 0), |(n, c, l), s| {
                        (n + 1, c.max(s.token_ceiling), l.max(s.max_lease_ms))
                    });
                // Against: a decider that has forgotten what it voted for votes for it again. Those who made an owner with it
                // are a majority without it, so a majority of all that does not count it has one of them.
                if count >= set.majority() || !rules.is_enabled(Guard::CatchUp) {
                    return self.enter_waiting(rules, now, token_ceiling, longest, outbox);
                }
                // The first start, or a set most of which is new. All of the others must answer: of those who made an owner
                // with it, no more than a minority can have lost their files, and one that has not is among them.
                let others = set.members.iter().filter(|d| d.address != self.me.address);
                let answered = others
                    .filter_map(|d| self.known_states.get(&d.address))
                    .filter(|t| t.state.generation == set.generation);
                if answered.count() + 1 == set.members.len() {
                    let before = if set.previous.is_empty() {
                        Some((Token::NONE, 0))
                    } else {
                        self.limits_of_previous_set(rules)
                    };
                    if let Some((sealed_below, long)) = before {
                        self.enter_waiting(
                            rules,
                            now,
                            token_ceiling.max(sealed_below),
                            longest.max(long),
                            outbox,
                        );
                    }
                }
            }
            VoterStage::Joining => {
                if let Some((token_ceiling, longest)) = self.limits_of_previous_set(rules) {
                    self.enter_waiting(rules, now, token_ceiling, longest, outbox);
                }
            }
            VoterStage::Voting | VoterStage::Former => {}
        }
    }

    /// What a majority of the former set had voted for, where it has sealed itself: the highest token, the longest lease.
    fn limits_of_previous_set(&self, rules: &Rules) -> Option<(Token, u64)> {
        let set = &rules.voters;
        let sealed_below = set.previous.iter().filter_map(|d| {
            if d.address == self.me.address {
                let on_disk = self
                    .on_disk
                    .as_ref()
                    .filter(|k| k.sealed_below >= set.generation)?;
                return Some((on_disk.token_ceiling, on_disk.max_lease_ms));
            }
            let state = &self.known_states.get(&d.address)?.state;
            (state.sealed_below >= set.generation)
                .then_some((state.token_ceiling, state.max_lease_ms))
        });
        let (count, token_ceiling, longest) = sealed_below.fold(
            (0, Token::NONE, 0),
            |(n, c, l), (token_ceiling, longest)| (n + 1, c.max(token_ceiling), l.max(longest)),
        );
        // Against: two sets of deciders, each of which makes an owner.
        (count >= majority(set.previous.len()) || !rules.is_enabled(Guard::Seal))
            .then_some((token_ceiling, longest))
    }

    /// It knows now what it may have voted for, and waits for the leases.
    fn enter_waiting(
        &mut self,
        rules: &Rules,
        now: Time,
        token_ceiling: Token,
        max_lease_ms: u64,
        outbox: &mut Outbox,
    ) {
        // A file that is lost waits from the start: it granted nothing since. Who takes over from a former set waits from now,
        // since that set may have granted a lease just before it sealed itself.
        let since = if self.stage == VoterStage::Joining || !rules.voters.previous.is_empty() {
            now
        } else {
            self.started_at
        };
        self.extend_waiting(rules, since, max_lease_ms.max(rules.lease_ms));
        self.token_floor = self.token_floor.max(token_ceiling);
        self.to_write = Some(PersistedState {
            installation: rules.installation.clone(),
            name: self.me.name.clone(),
            generation: rules.voters.generation,
            token_ceiling: self.token_floor,
            max_lease_ms: max_lease_ms.max(rules.lease_ms),
            sealed_below: rules.voters.generation,
        });
        self.stage = VoterStage::Waiting;
        outbox.events.push(LeaseEvent::VoterStageChanged {
            stage: self.stage,
            above: self.token_floor,
        });
    }

    fn start_voting(&mut self, outbox: &mut Outbox) {
        self.stage = VoterStage::Voting;
        outbox.events.push(LeaseEvent::VoterStageChanged {
            stage: self.stage,
            above: self.token_floor,
        });
    }

    /// The loop stood still for so long, or the clock jumped, over `was` or back: whether leases are over cannot be known, so
    /// those that ran are taken to run for as much longer.
    pub fn extend_after_stall(&mut self, rules: &Rules, was: Time, now: Time, duration: Micros) {
        let longest = self
            .on_disk
            .as_ref()
            .map_or(0, |k| k.max_lease_ms)
            .max(rules.lease_ms);
        let most = now.saturating_add(rules.lease_at_voter(longest));
        let later = |at: Time| {
            if now < was {
                most
            } else {
                at.saturating_add(duration).min(most)
            }
        };
        for record in self
            .records
            .values_mut()
            .filter(|r| r.ballot.is_running(was))
        {
            record.ballot.until = later(record.ballot.until);
        }
        if self.votes_from > was {
            self.votes_from = later(self.votes_from);
        }
        (self.started_at, self.next_query) = (self.started_at.min(now), self.next_query.min(now));
    }

    /// Another decider asks how far this one has come.
    pub fn answer_state_query(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        token_ceiling: Token,
        outbox: &mut Outbox,
    ) {
        let known = self
            .known_states
            .get(&from.address)
            .map_or(Token::NONE, |t| t.state.token_ceiling);
        // What is on disk is told, not what is to be: the promise must last.
        let state = VoterState {
            generation: rules.voters.generation,
            incarnation: from.incarnation,
            stage: match self.stage {
                VoterStage::Waiting if self.has_current_generation(rules) => VoterStage::Waiting,
                VoterStage::Waiting if self.on_disk.is_some() => VoterStage::Joining,
                VoterStage::Waiting => VoterStage::Blank,
                stage => stage,
            },
            token_ceiling: self.token_ceiling(),
            max_lease_ms: self.on_disk.as_ref().map_or(0, |k| k.max_lease_ms),
            sealed_below: self.on_disk.as_ref().map_or(0, |k| k.sealed_below),
            receiver_ceiling: known,
        };
        outbox.send(from.address, &Message::State(state));
        // What it tells of itself is remembered, so that it can be told when it comes back with less.
        let decides = rules.voters.position_of(&from.address).is_some();
        if decides && token_ceiling > known {
            self.remember_ceiling(now, from, token_ceiling);
        }
    }

    fn remember_ceiling(&mut self, now: Time, from: &Member, token_ceiling: Token) {
        let known_states = self
            .known_states
            .entry(from.address)
            .or_insert_with(|| KnownState {
                state: VoterState {
                    generation: 0,
                    incarnation: 0,
                    stage: VoterStage::Blank,
                    token_ceiling,
                    max_lease_ms: 0,
                    sealed_below: 0,
                    receiver_ceiling: Token::NONE,
                },
                at: now,
            });
        known_states.state.token_ceiling = known_states.state.token_ceiling.max(token_ceiling);
        known_states.at = known_states.at.max(now);
    }

    /// Another decider has told how far it has come.
    pub fn receive_state(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        mut state: VoterState,
        outbox: &mut Outbox,
    ) {
        let set = &rules.voters;
        let known = set
            .members
            .iter()
            .chain(&set.previous)
            .any(|d| d.address == from.address);
        if !known
            || state.incarnation != self.me.incarnation
            || matches!(self.stage, VoterStage::Voting | VoterStage::Former)
        {
            return;
        }
        state.max_lease_ms = state.max_lease_ms.min(MAX_LEASE_MS);
        if let Some(before) = self.known_states.get(&from.address) {
            state.token_ceiling = state.token_ceiling.max(before.state.token_ceiling);
        }
        self.known_states
            .insert(from.address, KnownState { state, at: now });
        self.advance(rules, now, outbox);
    }

    /// A router asks for duties, or looks.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub fn receive_request(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        requested_at: u64,
        lease_ms: u32,
        items: Vec<RequestItem>,
        outbox: &mut Outbox,
    ) {
        let candidate = from.holder();
        let renews = items.iter().any(|i| {
            self.records
                .get(&i.lease)
                .is_some_and(|r| r.ballot.holder == Some(candidate) && r.ballot.highest == i.token)
        });
        if !self
            .limiter
            .try_take(now, if renews { 0.0 } else { RENEWAL_RESERVE })
        {
            self.dropped += 1;
            return;
        }
        let lease_ms = u64::from(lease_ms);
        let mut answers = Vec::with_capacity(items.len());
        if self.stage == VoterStage::Voting && (1..=MAX_LEASE_MS).contains(&lease_ms) {
            for item in items {
                if let Some(answer) =
                    self.answer_item(rules, now, from, requested_at, lease_ms, item, outbox)
                {
                    answers.push(answer);
                }
            }
        }
        let (generation, incarnation, stage) =
            (rules.voters.generation, from.incarnation, self.stage);
        let make = |items| Message::Answers {
            generation,
            incarnation,
            requested_at,
            stage,
            items,
        };
        for bytes in encode_in_parts(&answers, &make) {
            outbox.messages.push((from.address, bytes));
        }
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    fn answer_item(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        requested_at: u64,
        lease_ms: u64,
        item: RequestItem,
        outbox: &mut Outbox,
    ) -> Option<Answer> {
        let (candidate, lease) = (from.holder(), item.lease.clone());
        let token_floor = self.token_floor;
        if !self.records.contains_key(&lease)
            && (item.token == Token::NONE || self.records.len() >= MAX_LEASES)
        {
            let status = if self.records.len() >= MAX_LEASES {
                LeaseStatus::VoterFull
            } else {
                LeaseStatus::Free
            };
            if status == LeaseStatus::VoterFull {
                outbox.events.push(LeaseEvent::VoterFull {
                    lease: lease.clone(),
                });
            }
            return Some(Answer {
                lease,
                highest: token_floor,
                status,
                checkpoint: None,
            });
        }
        // The disk first: what it does not cover must not be decided on yet.
        if item.token != Token::NONE && !self.is_covered_by_disk(rules, item.token, lease_ms) {
            if self.deferred.len() < MAX_DEFERRED_REQUESTS {
                self.deferred
                    .push((from.clone(), requested_at, lease_ms as u32, item));
            }
            return None;
        }
        let record = self.records.entry(lease.clone()).or_insert_with(|| Record {
            ballot: Ballot::new(token_floor),
            checkpoint: None,
            losses: VecDeque::new(),
            suspended_until: 0,
            suspensions: 0,
        });
        if let Some(duration) = record.detect_lost_holder(rules, now, &candidate) {
            outbox.events.push(LeaseEvent::Suspended {
                lease: lease.clone(),
                duration,
            });
        }
        let was = record.ballot.highest;
        let left = |until: Time| u32::try_from((until - now).div_ceil(1_000)).unwrap_or(u32::MAX);
        let renews = record.ballot.is_running(now) && record.ballot.holder == Some(candidate);
        let said = match item.token {
            _ if now < record.suspended_until && !renews => {
                return Some(Answer {
                    lease,
                    highest: was,
                    status: LeaseStatus::Suspended {
                        remaining_ms: left(record.suspended_until),
                    },
                    checkpoint: None,
                });
            }
            Token::NONE if record.ballot.is_running(now) => VoteOutcome::HeldByOther,
            Token::NONE => VoteOutcome::StaleToken,
            token => record.ballot.request_vote(
                rules,
                now,
                &candidate,
                token,
                rules.lease_at_voter(lease_ms),
            ),
        };
        let mut checkpoint = None;
        if said == VoteOutcome::Granted {
            if renews && was == item.token {
                record.store_checkpoint(item.checkpoint, item.token);
            }
            checkpoint = record.checkpoint.clone().filter(|m| m.token < item.token);
        }
        let status = match (said, record.ballot.holder) {
            (VoteOutcome::Granted, _) => LeaseStatus::Granted,
            (VoteOutcome::HeldByOther, Some(by)) => LeaseStatus::Held {
                by,
                remaining_ms: left(record.ballot.until),
            },
            _ => LeaseStatus::Free,
        };
        Some(Answer {
            lease,
            highest: record.ballot.highest,
            status,
            checkpoint,
        })
    }

    /// A router gives tokens back.
    pub fn release(&mut self, from: &Member, items: Vec<(LeaseName, Token)>) {
        for (lease, token) in items {
            if let Some(record) = self.records.get_mut(&lease) {
                record.ballot.release(&from.holder(), token);
            }
        }
    }

    /// An owner hands its duty to another.
    #[expect(clippy::too_many_arguments, reason = "the parts of one message")]
    pub fn receive_transfer(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        lease: LeaseName,
        token: Token,
        to: Holder,
        requested_at: u64,
        lease_ms: u32,
        outbox: &mut Outbox,
    ) {
        let lease_ms = u64::from(lease_ms);
        if self.stage != VoterStage::Voting || !(1..=MAX_LEASE_MS).contains(&lease_ms) {
            return;
        }
        // It is sent again until the successor has it: there is no need to wait for the disk here.
        if !self.records.contains_key(&lease)
            || !self.is_covered_by_disk(rules, token.next(), lease_ms)
        {
            return;
        }
        let Some(record) = self.records.get_mut(&lease) else {
            return;
        };
        if record.ballot.transfer(
            now,
            &from.holder(),
            token,
            &to,
            rules.lease_at_voter(lease_ms),
        ) {
            let answer = Answer {
                lease,
                highest: token.next(),
                status: LeaseStatus::Granted,
                checkpoint: record.checkpoint.clone(),
            };
            let message = Message::Answers {
                generation: rules.voters.generation,
                incarnation: to.incarnation,
                requested_at,
                stage: self.stage,
                items: vec![answer],
            };
            outbox.send(to.address, &message);
        }
    }
}

impl Record {
    fn store_checkpoint(&mut self, checkpoint: Option<Checkpoint>, token: Token) {
        let Some(checkpoint) = checkpoint.filter(|m| m.token == token) else {
            return;
        };
        if self
            .checkpoint
            .as_ref()
            .is_none_or(|m| (m.token, m.count) < (checkpoint.token, checkpoint.count))
        {
            self.checkpoint = Some(checkpoint);
        }
    }

    /// Looks whether the last owner is lost, and how many were. For how long it is set aside, where it is from now on.
    fn detect_lost_holder(&mut self, rules: &Rules, now: Time, asks: &Holder) -> Option<Micros> {
        // Who asks was not lost by the duty: it was cut off, or merely slow.
        self.losses.retain(|(_, holder)| holder != asks);
        let lost = self.ballot.holder.filter(|_| now >= self.ballot.until)?;
        self.ballot.holder = None;
        if lost == *asks {
            return None;
        }
        let lapsed = self.ballot.until;
        self.losses.push_back((lapsed, lost));
        // Each of them could be replaced only when its lease was over.
        let within =
            LOSS_WINDOW_US + LOSSES_TO_SUSPEND as u64 * rules.lease_at_voter(rules.lease_ms);
        while self.losses.front().is_some_and(|(at, _)| at + within < now)
            || self.losses.len() > LOSSES_TO_SUSPEND
        {
            self.losses.pop_front();
        }
        if now.saturating_sub(self.suspended_until) > 10 * within {
            self.suspensions = 0;
        }
        // Against: a duty that kills whoever does it goes through the whole fleet. Who was set aside before is tried once.
        let enough = if self.suspensions > 0 {
            1
        } else {
            LOSSES_TO_SUSPEND
        };
        if self.losses.len() < enough || !rules.is_enabled(Guard::Suspend) {
            return None;
        }
        let duration = ms(rules.suspend_ms)
            .saturating_mul(1 << self.suspensions.min(16))
            .min(MAX_SUSPEND_US);
        (self.suspended_until, self.suspensions) = (now + duration, self.suspensions + 1);
        self.losses.clear();
        Some(duration)
    }
}
