//! The voter: a router that grants leases, and persists what it must not forget across a restart.

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

/// Number of tokens by which one write to disk raises the ceiling. The next write is scheduled when half of them are used:
/// after about eight minutes if one lease is granted once a second.
const TOKEN_CEILING_STEP: u64 = 1_000;
/// Maximum number of leases that a voter keeps: eight times as many as the largest installation has.
const MAX_LEASES: usize = 4_096;
/// Maximum number of requests that wait for a write to disk. Candidates retry the requests that are dropped.
const MAX_DEFERRED_REQUESTS: usize = 256;
/// Number of holders lost within [`LOSS_WINDOW_US`] that suspends a lease.
const LOSSES_TO_SUSPEND: usize = 3;
/// Time within which the lost holders are counted (us), not including the leases that have to end in between.
const LOSS_WINDOW_US: Micros = 60_000_000;
/// Maximum time for which a lease is suspended (us).
const MAX_SUSPEND_US: Micros = 3_600_000_000;
/// Share of the datagrams that is reserved for renewals, so that new candidates do not cost a holder its lease.
const RENEWAL_RESERVE: f64 = 0.3;

/// State of one lease at this voter.
#[derive(Clone, Debug)]
struct Record {
    ballot: Ballot,
    checkpoint: Option<Checkpoint>,
    /// Holders that neither renewed nor released the lease, and when their lease ended.
    losses: VecDeque<(Time, Holder)>,
    /// End of the current or latest suspension.
    suspended_until: Time,
    /// Number of suspensions in a row.
    suspensions: u32,
}

/// The latest known state of another voter.
#[derive(Clone, Debug)]
struct KnownState {
    state: VoterState,
    received_at: Time,
}

/// A request that waits until the disk covers its token and lease.
#[derive(Clone, Debug)]
struct DeferredRequest {
    from: Member,
    requested_at: u64,
    lease_ms: u32,
    item: RequestItem,
}

/// A voter.
#[derive(Clone, Debug)]
pub(crate) struct Voter {
    me: Member,
    stage: VoterStage,
    /// The voter may have voted for tokens up to this one, of any lease.
    token_floor: Token,
    records: BTreeMap<LeaseName, Record>,
    /// The state on disk.
    on_disk: Option<PersistedState>,
    /// The state to write next.
    to_write: Option<PersistedState>,
    /// The state that the router is writing.
    being_written: Option<PersistedState>,
    /// Earliest time at which the voter votes.
    votes_from: Time,
    started_at: Time,
    known_states: BTreeMap<SocketAddr, KnownState>,
    next_query: Time,
    deferred: Vec<DeferredRequest>,
    limiter: RateLimiter,
    /// Number of requests dropped by the rate limit.
    pub(crate) dropped: u64,
    /// Whether another voter has reported a higher token of this voter than its file allows.
    file_is_stale: bool,
}

/// Messages and events that a call has produced.
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
    /// Creates the voter of this router. Returns `None` if the settings list it neither in the current nor in the previous
    /// set of voters.
    pub fn new(
        rules: &Rules,
        me: &Member,
        now: Time,
        persisted: Option<PersistedState>,
    ) -> Option<Self> {
        let set = &rules.voters;
        let is_member = set.position_of(&me.address).is_some();
        let was_member = set.previous.iter().any(|voter| voter.address == me.address);
        if !is_member && !was_member {
            return None;
        }
        let file_generation = persisted.as_ref().map(|persisted| persisted.generation);
        let previous_generation = set.generation.checked_sub(1);
        let stage = match file_generation {
            _ if !is_member => VoterStage::Former,
            Some(g) if g == set.generation => VoterStage::Waiting,
            Some(g) if Some(g) == previous_generation && was_member => VoterStage::Joining,
            _ => VoterStage::Blank,
        };
        // A file older than the previous generation holds nothing that other voters could use.
        let persisted = persisted.filter(|persisted| {
            persisted.generation == set.generation
                || Some(persisted.generation) == previous_generation
        });
        let max_lease_ms = persisted
            .as_ref()
            .map_or(0, |persisted| persisted.max_lease_ms)
            .max(rules.lease_ms);
        let mut voter = Voter {
            me: me.clone(),
            stage,
            token_floor: persisted
                .as_ref()
                .map_or(Token::NONE, |persisted| persisted.token_ceiling),
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
        voter.extend_waiting(rules, now, max_lease_ms);
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

    /// Delays voting until leases of up to `max_lease_ms` that the voter may have granted have ended.
    fn extend_waiting(&mut self, rules: &Rules, now: Time, max_lease_ms: u64) {
        // A restarted voter has forgotten which leases are running. If it voted at once, it could grant a lease to a second
        // holder while the first still acts.
        if rules.is_enabled(Guard::WaitAfterStart) {
            self.votes_from = self
                .votes_from
                .max(now + rules.lease_at_voter(max_lease_ms));
        }
    }

    pub fn stage(&self) -> VoterStage {
        self.stage
    }

    /// Takes the content of the file to write, if one is due. The next is available only after [`Voter::complete_write`].
    pub fn take_pending_write(&mut self) -> Option<Vec<u8>> {
        if self.being_written.is_some() {
            return None;
        }
        self.being_written = self.to_write.take();
        self.being_written.as_ref().map(PersistedState::encode)
    }

    /// Notes that the content taken last is on disk, and answers the requests that waited for it.
    pub fn complete_write(&mut self, rules: &Rules, now: Time, outbox: &mut Outbox) {
        let Some(written) = self.being_written.take() else {
            return;
        };
        self.on_disk = Some(written);
        self.turn(rules, now, outbox);
        for deferred in std::mem::take(&mut self.deferred) {
            self.receive_request(
                rules,
                now,
                &deferred.from,
                deferred.requested_at,
                deferred.lease_ms,
                vec![deferred.item],
                outbox,
            );
        }
    }

    /// Returns whether the state on disk allows a vote for this token and lease. Schedules a write if it does not, and also
    /// when half of the tokens below the ceiling are used.
    fn is_covered_by_disk(&mut self, rules: &Rules, token: Token, lease_ms: u64) -> bool {
        let Some(on_disk) = &self.on_disk else {
            return false;
        };
        let is_covered = token <= on_disk.token_ceiling && lease_ms <= on_disk.max_lease_ms;
        let latest = self
            .to_write
            .as_ref()
            .or(self.being_written.as_ref())
            .unwrap_or(on_disk);
        if token.0.saturating_add(TOKEN_CEILING_STEP / 2) > latest.token_ceiling.0
            || lease_ms > latest.max_lease_ms
        {
            let token_ceiling =
                Token(token.0.saturating_add(TOKEN_CEILING_STEP)).max(latest.token_ceiling);
            let max_lease_ms = latest.max_lease_ms.max(lease_ms).max(rules.lease_ms);
            self.to_write = Some(PersistedState {
                token_ceiling,
                max_lease_ms,
                ..latest.clone()
            });
        }
        // Without the ceiling on disk, a restarted voter could vote a second time for the same token.
        is_covered || !rules.is_enabled(Guard::Ceiling)
    }

    /// Returns whether the state on disk is of the current generation.
    fn has_current_generation(&self, rules: &Rules) -> bool {
        self.on_disk
            .as_ref()
            .is_some_and(|persisted| persisted.generation == rules.voters.generation)
    }

    /// Returns when [`Voter::turn`] is due.
    pub fn next_turn(&self) -> Time {
        match self.stage {
            VoterStage::Voting | VoterStage::Former => Time::MAX,
            // While a write is outstanding, its completion or the next query of states calls the voter again.
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

    /// Queries the states of the other voters when that is due, and advances the stage.
    pub fn turn(&mut self, rules: &Rules, now: Time, outbox: &mut Outbox) {
        if matches!(self.stage, VoterStage::Voting | VoterStage::Former) {
            return;
        }
        if now >= self.next_query {
            self.next_query = now + 2 * rules.retry_interval();
            let query = Message::QueryState {
                generation: rules.voters.generation,
                token_ceiling: self.token_ceiling(),
            };
            let voters = rules.voters.members.iter().chain(&rules.voters.previous);
            let mut receivers: Vec<_> = voters
                .map(|v| v.address)
                .filter(|a| *a != self.me.address)
                .collect();
            receivers.sort_unstable();
            receivers.dedup();
            receivers.iter().for_each(|a| outbox.send(*a, &query));
        }
        self.advance(rules, now, outbox);
    }

    /// Returns the highest token that the voter may have voted for.
    fn token_ceiling(&self) -> Token {
        self.on_disk
            .as_ref()
            .map_or(Token::NONE, |persisted| persisted.token_ceiling)
            .max(self.token_floor)
    }

    /// Returns the states of the other voters of this generation that know up to which token they may have voted.
    fn informed_voters(&self, rules: &Rules) -> impl Iterator<Item = &VoterState> {
        let set = &rules.voters;
        let others = set
            .members
            .iter()
            .filter(|voter| voter.address != self.me.address);
        others
            .filter_map(|voter| self.known_states.get(&voter.address))
            .map(|known| &known.state)
            .filter(|s| {
                s.generation == set.generation
                    && matches!(s.stage, VoterStage::Voting | VoterStage::Waiting)
            })
    }

    /// Moves on to the next stage if its conditions are met.
    fn advance(&mut self, rules: &Rules, now: Time, outbox: &mut Outbox) {
        let set = &rules.voters;
        match self.stage {
            VoterStage::Waiting => {
                let (others_ceiling, own_reported_ceiling) = self
                    .informed_voters(rules)
                    .fold((Token::NONE, Token::NONE), |(others, own), s| {
                        (others.max(s.token_ceiling), own.max(s.receiver_ceiling))
                    });
                if own_reported_ceiling > self.token_ceiling() && !self.file_is_stale {
                    // An old copy of the file was restored. Only the other voters know which tokens it lacks.
                    self.file_is_stale = true;
                    self.stage = VoterStage::Blank;
                    outbox.events.push(LeaseEvent::StaleFile);
                    return self.advance(rules, now, outbox);
                }
                self.token_floor = self.token_floor.max(others_ceiling);
                if now >= self.votes_from
                    && self.has_current_generation(rules)
                    && self.to_write.is_none()
                    && self.being_written.is_none()
                {
                    self.start_voting(outbox);
                }
            }
            VoterStage::Blank => {
                let (count, token_ceiling, max_lease_ms) = self.informed_voters(rules).fold(
                    (0, Token::NONE, 0),
                    |(count, ceiling, longest), s| {
                        (
                            count + 1,
                            ceiling.max(s.token_ceiling),
                            longest.max(s.max_lease_ms),
                        )
                    },
                );
                // A voter that has forgotten its votes could vote twice for one token. Any majority that granted a lease
                // with this voter's vote shares a member other than this voter with any majority formed without it, so
                // the ceilings of a majority of the others cover all of its votes.
                if count >= set.majority() || !rules.is_enabled(Guard::CatchUp) {
                    return self.enter_waiting(rules, now, token_ceiling, max_lease_ms, outbox);
                }
                // This is the first start, or most of the set is new. Then all other voters must answer: of those that
                // granted a lease together with this one, at most a minority can have lost their files, so at least one
                // answer still covers the votes.
                let others = set
                    .members
                    .iter()
                    .filter(|voter| voter.address != self.me.address);
                let answered = others
                    .filter_map(|voter| self.known_states.get(&voter.address))
                    .filter(|known| known.state.generation == set.generation);
                if answered.count() + 1 == set.members.len() {
                    let previous_limits = if set.previous.is_empty() {
                        Some((Token::NONE, 0))
                    } else {
                        self.limits_of_previous_set(rules)
                    };
                    if let Some((previous_ceiling, previous_max_lease_ms)) = previous_limits {
                        self.enter_waiting(
                            rules,
                            now,
                            token_ceiling.max(previous_ceiling),
                            max_lease_ms.max(previous_max_lease_ms),
                            outbox,
                        );
                    }
                }
            }
            VoterStage::Joining => {
                if let Some((token_ceiling, max_lease_ms)) = self.limits_of_previous_set(rules) {
                    self.enter_waiting(rules, now, token_ceiling, max_lease_ms, outbox);
                }
            }
            VoterStage::Voting | VoterStage::Former => {}
        }
    }

    /// Returns the highest token and the longest lease (ms) of the previous set's votes, once a majority of it has sealed
    /// itself.
    fn limits_of_previous_set(&self, rules: &Rules) -> Option<(Token, u64)> {
        let set = &rules.voters;
        let sealed = set.previous.iter().filter_map(|voter| {
            if voter.address == self.me.address {
                let on_disk = self
                    .on_disk
                    .as_ref()
                    .filter(|persisted| persisted.sealed_below >= set.generation)?;
                return Some((on_disk.token_ceiling, on_disk.max_lease_ms));
            }
            let state = &self.known_states.get(&voter.address)?.state;
            (state.sealed_below >= set.generation)
                .then_some((state.token_ceiling, state.max_lease_ms))
        });
        let (count, token_ceiling, max_lease_ms) = sealed.fold(
            (0, Token::NONE, 0),
            |(count, ceiling, longest), (token_ceiling, max_lease_ms)| {
                (
                    count + 1,
                    ceiling.max(token_ceiling),
                    longest.max(max_lease_ms),
                )
            },
        );
        // Otherwise both sets of voters could grant the same lease to different holders.
        (count >= majority(set.previous.len()) || !rules.is_enabled(Guard::Seal))
            .then_some((token_ceiling, max_lease_ms))
    }

    /// Enters the stage [`VoterStage::Waiting`]: the voter knows up to which token it may have voted.
    fn enter_waiting(
        &mut self,
        rules: &Rules,
        now: Time,
        token_ceiling: Token,
        max_lease_ms: u64,
        outbox: &mut Outbox,
    ) {
        // A voter that lost its file waits from its start, since it has granted nothing after that. A voter of a new set
        // waits from now, since the previous set may have granted a lease just before it sealed itself.
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

    /// Extends the leases that were running at `latest_time`, the time of the last call before a stall of the
    /// event loop or a jump of the clock.
    ///
    /// The voter cannot know whether these leases have ended in true time, so it extends them by the length of the stall or
    /// jump, and at most by the longest lease that it may have granted.
    pub fn extend_after_stall(
        &mut self,
        rules: &Rules,
        latest_time: Time,
        now: Time,
        duration: Micros,
    ) {
        let max_lease_ms = self
            .on_disk
            .as_ref()
            .map_or(0, |persisted| persisted.max_lease_ms)
            .max(rules.lease_ms);
        let latest_end = now.saturating_add(rules.lease_at_voter(max_lease_ms));
        let extended = |end: Time| {
            if now < latest_time {
                latest_end
            } else {
                end.saturating_add(duration).min(latest_end)
            }
        };
        for record in self
            .records
            .values_mut()
            .filter(|r| r.ballot.is_running(latest_time))
        {
            record.ballot.until = extended(record.ballot.until);
        }
        if self.votes_from > latest_time {
            self.votes_from = extended(self.votes_from);
        }
        (self.started_at, self.next_query) = (self.started_at.min(now), self.next_query.min(now));
    }

    /// Answers another voter's query with the state of this one.
    pub fn answer_state_query(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        token_ceiling: Token,
        outbox: &mut Outbox,
    ) {
        let known_ceiling = self
            .known_states
            .get(&from.address)
            .map_or(Token::NONE, |known| known.state.token_ceiling);
        // The answer is a promise that must survive a restart, so it contains what is on disk, not what will be written.
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
            max_lease_ms: self
                .on_disk
                .as_ref()
                .map_or(0, |persisted| persisted.max_lease_ms),
            sealed_below: self
                .on_disk
                .as_ref()
                .map_or(0, |persisted| persisted.sealed_below),
            receiver_ceiling: known_ceiling,
        };
        outbox.send(from.address, &Message::State(state));
        // The reported ceiling is kept, so that a voter that restarts with an old copy of its file learns of it.
        let is_voter = rules.voters.position_of(&from.address).is_some();
        if is_voter && token_ceiling > known_ceiling {
            self.remember_ceiling(now, from, token_ceiling);
        }
    }

    fn remember_ceiling(&mut self, now: Time, from: &Member, token_ceiling: Token) {
        let known = self
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
                received_at: now,
            });
        known.state.token_ceiling = known.state.token_ceiling.max(token_ceiling);
        known.received_at = known.received_at.max(now);
    }

    /// Handles the state of another voter, sent in answer to a query.
    pub fn receive_state(
        &mut self,
        rules: &Rules,
        now: Time,
        from: &Member,
        mut state: VoterState,
        outbox: &mut Outbox,
    ) {
        let set = &rules.voters;
        let is_voter = set
            .members
            .iter()
            .chain(&set.previous)
            .any(|voter| voter.address == from.address);
        if !is_voter
            || state.incarnation != self.me.incarnation
            || matches!(self.stage, VoterStage::Voting | VoterStage::Former)
        {
            return;
        }
        state.max_lease_ms = state.max_lease_ms.min(MAX_LEASE_MS);
        if let Some(known) = self.known_states.get(&from.address) {
            state.token_ceiling = state.token_ceiling.max(known.state.token_ceiling);
        }
        self.known_states.insert(
            from.address,
            KnownState {
                state,
                received_at: now,
            },
        );
        self.advance(rules, now, outbox);
    }

    /// Handles a request for leases, or a poll of them.
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
        let is_renewal = items.iter().any(|i| {
            self.records
                .get(&i.lease)
                .is_some_and(|r| r.ballot.holder == Some(candidate) && r.ballot.highest == i.token)
        });
        if !self
            .limiter
            .try_take(now, if is_renewal { 0.0 } else { RENEWAL_RESERVE })
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

    /// Answers a request for one lease. Returns `None` if the answer has to wait for the disk.
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
        // No vote may be given, nor even recorded, before the state on disk covers it.
        if item.token != Token::NONE && !self.is_covered_by_disk(rules, item.token, lease_ms) {
            if self.deferred.len() < MAX_DEFERRED_REQUESTS {
                self.deferred.push(DeferredRequest {
                    from: from.clone(),
                    requested_at,
                    lease_ms: lease_ms as u32,
                    item,
                });
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
        let highest_before = record.ballot.highest;
        let remaining_ms =
            |until: Time| u32::try_from((until - now).div_ceil(1_000)).unwrap_or(u32::MAX);
        let is_renewal = record.ballot.is_running(now) && record.ballot.holder == Some(candidate);
        let outcome = match item.token {
            _ if now < record.suspended_until && !is_renewal => {
                return Some(Answer {
                    lease,
                    highest: highest_before,
                    status: LeaseStatus::Suspended {
                        remaining_ms: remaining_ms(record.suspended_until),
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
        if outcome == VoteOutcome::Granted {
            if is_renewal && highest_before == item.token {
                record.store_checkpoint(item.checkpoint, item.token);
            }
            checkpoint = record
                .checkpoint
                .clone()
                .filter(|stored| stored.token < item.token);
        }
        let status = match (outcome, record.ballot.holder) {
            (VoteOutcome::Granted, _) => LeaseStatus::Granted,
            (VoteOutcome::HeldByOther, Some(holder)) => LeaseStatus::Held {
                holder,
                remaining_ms: remaining_ms(record.ballot.until),
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

    /// Handles the release of tokens that a router will not use again.
    pub fn release(&mut self, from: &Member, items: Vec<(LeaseName, Token)>) {
        for (lease, token) in items {
            if let Some(record) = self.records.get_mut(&lease) {
                record.ballot.release(&from.holder(), token);
            }
        }
    }

    /// Handles the transfer of a lease from its holder to a successor, and sends the vote to the successor.
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
        // The holder repeats the transfer until the successor has the lease, so it need not be deferred until the write is
        // complete.
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
    /// Stores the checkpoint of the holder of this token, if it is newer than the stored one.
    fn store_checkpoint(&mut self, checkpoint: Option<Checkpoint>, token: Token) {
        let Some(checkpoint) = checkpoint.filter(|reported| reported.token == token) else {
            return;
        };
        if self.checkpoint.as_ref().is_none_or(|stored| {
            (stored.token, stored.count) < (checkpoint.token, checkpoint.count)
        }) {
            self.checkpoint = Some(checkpoint);
        }
    }

    /// Detects that the last holder neither renewed nor released its lease. Returns the duration of the suspension if the
    /// lease is suspended from now on because several holders in a row were lost.
    fn detect_lost_holder(
        &mut self,
        rules: &Rules,
        now: Time,
        candidate: &Holder,
    ) -> Option<Micros> {
        // The candidate itself is alive: the work did not kill it, it was unreachable or slow.
        self.losses.retain(|(_, holder)| holder != candidate);
        let lost = self.ballot.holder.filter(|_| now >= self.ballot.until)?;
        self.ballot.holder = None;
        if lost == *candidate {
            return None;
        }
        let lease_end = self.ballot.until;
        self.losses.push_back((lease_end, lost));
        // A lost holder can be replaced only after its lease has ended, so the leases extend the window.
        let window =
            LOSS_WINDOW_US + LOSSES_TO_SUSPEND as u64 * rules.lease_at_voter(rules.lease_ms);
        while self
            .losses
            .front()
            .is_some_and(|(ended_at, _)| ended_at + window < now)
            || self.losses.len() > LOSSES_TO_SUSPEND
        {
            self.losses.pop_front();
        }
        // Long after the last suspension, a lease is treated as if it had never been suspended.
        if now.saturating_sub(self.suspended_until) > 10 * window {
            self.suspensions = 0;
        }
        // Work that kills its process would otherwise stop one router after the other. A lease that was suspended before
        // is suspended again after a single loss.
        let losses_needed = if self.suspensions > 0 {
            1
        } else {
            LOSSES_TO_SUSPEND
        };
        if self.losses.len() < losses_needed || !rules.is_enabled(Guard::Suspend) {
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
