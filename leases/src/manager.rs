//! A router's part in the leases: it is a candidate for all of them, and a voter if the settings list it as one.

use crate::ballot::Holder;
use crate::event::{LeaseEvent, LossReason};
use crate::local_lease::{AnswerEffect, Handover, LocalLease, ResumePoint, SuccessorReady};
use crate::persisted::PersistedState;
use crate::placement::{Member, Placement, WantedLease};
use crate::rate_limiter::RateLimiter;
use crate::rules::{Guard, Rules};
use crate::voter::{Outbox, Voter};
use crate::wire::{
    Answer, Checkpoint, MAX_CHECKPOINT_BYTES, Message, RequestItem, VoterStage, decode, encode,
    encode_in_parts,
};
use plovercove::{Micros, Time};
use plovercove_fencing::{LeaseName, Token};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of events that wait to be taken. Beyond it the oldest is dropped.
const MAX_PENDING_EVENTS: usize = 1_024;
/// Number of successors that are offered a lease before it is released without a successor.
const MAX_SUCCESSORS_OFFERED: usize = 3;
/// Number of renewal intervals between two leases that a router hands over because it holds too many.
const RENEWALS_BETWEEN_REBALANCES: u64 = 2;
/// Share of the datagrams that is reserved for renewals.
const RENEWAL_RESERVE: f64 = 0.3;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Messages sent to other routers.
    pub sent: u64,
    /// Bytes of these messages.
    pub bytes: u64,
    /// Received messages that were malformed or of another version.
    pub malformed: u64,
    /// Requests that were not sent, or not answered, because of the rate limit.
    pub dropped: u64,
    /// Leases acquired.
    pub won: u64,
    /// Leases lost.
    pub lost: u64,
}

/// Acquires, renews and hands over the leases of one router, and votes if the router is a voter.
pub struct LeaseManager {
    rules: Rules,
    me: Member,
    leases: BTreeMap<LeaseName, LocalLease>,
    wanted: Vec<WantedLease>,
    members: Vec<Member>,
    members_by_holder: BTreeMap<Holder, Member>,
    placement: Placement,
    voter: Option<Voter>,
    /// For each voter, when the latest request that it answered in the stage [`VoterStage::Voting`] was sent.
    last_answered: Vec<Option<Time>>,
    /// Whether a majority of the voters answered when that last changed; `None` until a majority answers for the first
    /// time.
    had_majority: Option<bool>,
    /// When a request is due even if no lease needs one, to see whether the voters answer.
    next_heartbeat: Time,
    next_rebalance: Time,
    /// The time of the latest call.
    latest_time: Time,
    next_turn: Time,
    /// Whether the router is shutting down: it then hands its leases over and claims none.
    is_leaving: bool,
    outbox: Vec<(SocketAddr, Vec<u8>)>,
    /// Messages of this router to itself.
    loopback: VecDeque<Vec<u8>>,
    events: VecDeque<LeaseEvent>,
    limiter: RateLimiter,
    counts: Counts,
    rng: Pcg64Mcg,
}

impl LeaseManager {
    /// Creates the manager of a router, in an installation of this number of routers.
    ///
    /// `persisted` is the content of its file ([`PersistedState::decode`]); it is `None` if the file does not exist or the
    /// router does not vote.
    pub fn new(
        rules: Rules,
        me: Member,
        routers: u32,
        now: Time,
        seed: u64,
        persisted: Option<PersistedState>,
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let voter = Voter::new(&rules, &me, now, persisted);
        let voters = rules.voters.members.len();
        // Routers that start at the same time must not send their first requests at once.
        let first_delay = if routers > 1 {
            rng.random_range(0..rules.renew_interval().max(1))
        } else {
            0
        };
        let mut manager = LeaseManager {
            limiter: RateLimiter::new(rules.datagrams_per_s, now),
            last_answered: vec![None; voters],
            leases: BTreeMap::new(),
            wanted: Vec::new(),
            members: vec![me.clone()],
            members_by_holder: BTreeMap::from([(me.holder(), me.clone())]),
            placement: Placement::default(),
            voter,
            had_majority: None,
            next_heartbeat: now + first_delay / 4,
            next_rebalance: now,
            latest_time: now,
            next_turn: now,
            is_leaving: false,
            outbox: Vec::new(),
            loopback: VecDeque::new(),
            events: VecDeque::new(),
            counts: Counts::default(),
            rules,
            me,
            rng,
        };
        if let Some(voter) = &manager.voter {
            manager.record_event(LeaseEvent::VoterStageChanged {
                stage: voter.stage(),
                above: Token::NONE,
            });
        }
        manager
    }

    /// Returns the settings.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Returns this router as a member.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the stage of this router as a voter; `None` if it does not vote.
    pub fn stage(&self) -> Option<VoterStage> {
        self.voter.as_ref().map(Voter::stage)
    }

    /// Returns the counts since the start.
    pub fn counts(&self) -> Counts {
        let dropped = self.counts.dropped + self.voter.as_ref().map_or(0, |voter| voter.dropped);
        Counts {
            dropped,
            ..self.counts
        }
    }

    /// Returns when [`LeaseManager::turn`] must be called next.
    pub fn next_turn(&self) -> Time {
        self.next_turn
    }

    /// Takes the messages to send, as receivers and the bodies of parts of gossip.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes the oldest event.
    pub fn take_event(&mut self) -> Option<LeaseEvent> {
        self.events.pop_front()
    }

    fn record_event(&mut self, event: LeaseEvent) {
        match event {
            LeaseEvent::Acquired { .. } => self.counts.won += 1,
            LeaseEvent::Lost { .. } => self.counts.lost += 1,
            _ => {}
        }
        if self.events.len() >= MAX_PENDING_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Sets the leases that must have a holder. All routers set the same ones.
    pub fn set_wanted(&mut self, now: Time, mut wanted: Vec<WantedLease>) {
        self.detect_stall(now);
        wanted.sort();
        wanted.dedup_by(|a, b| a.lease == b.lease);
        if wanted == self.wanted {
            return;
        }
        let unwanted: Vec<LeaseName> = self
            .leases
            .keys()
            .filter(|lease| wanted.binary_search_by(|w| w.lease.cmp(lease)).is_err())
            .cloned()
            .collect();
        for lease in unwanted {
            self.give_up(now, &lease, Some(LossReason::Unwanted));
            self.leases.remove(&lease);
        }
        let voters = self.rules.voters.members.len();
        for one in &wanted {
            // The first requests are sent early, but not all at once.
            let next_send = now + self.rng.random_range(0..self.rules.retry_interval().max(1));
            let new_lease = || LocalLease::new(one.zone.clone(), voters, next_send);
            self.leases
                .entry(one.lease.clone())
                .or_insert_with(new_lease)
                .zone
                .clone_from(&one.zone);
        }
        self.wanted = wanted;
        self.update_placement(now);
    }

    /// Sets the members that this router sees. The router itself is always one of them.
    pub fn set_members(&mut self, now: Time, mut members: Vec<Member>) {
        self.detect_stall(now);
        if !members.iter().any(|m| m.holder() == self.me.holder()) {
            members.push(self.me.clone());
        }
        members.sort();
        members.dedup();
        if members == self.members {
            return;
        }
        self.members_by_holder = members.iter().map(|m| (m.holder(), m.clone())).collect();
        self.members = members;
        self.update_placement(now);
    }

    /// Computes the placement and the ranks anew, and reschedules polls accordingly.
    fn update_placement(&mut self, now: Time) {
        self.placement = Placement::new(&self.wanted, &self.members);
        let ranks = self.placement.ranks(&self.wanted, &self.members, &self.me);
        for (wanted, rank) in self.wanted.iter().zip(ranks) {
            let jitter: f64 = self.rng.random();
            let Some(state) = self.leases.get_mut(&wanted.lease) else {
                continue;
            };
            let (rank_improved, rank_worsened) = (rank < state.rank, rank > state.rank);
            state.rank = rank;
            if rank_worsened {
                state.delay_first_poll(&self.rules, now, jitter);
            }
            if state.claim.is_some() {
                continue;
            }
            let holder_left = state
                .reported_holder()
                .is_some_and(|(holder, _, _)| !self.members_by_holder.contains_key(&holder));
            if holder_left {
                state.poll_after_lease_end(&self.rules, now, jitter);
            } else if rank_improved {
                let random_delay = (self.rules.renew_interval() as f64 * jitter) as Micros;
                state.next_send = state
                    .next_send
                    .min(now + random_delay.saturating_mul(rank as u64 + 1));
            }
        }
        self.schedule_next_turn();
    }

    /// Detects a stall of the event loop or a jump of the clock.
    fn detect_stall(&mut self, now: Time) {
        if now < self.latest_time {
            self.handle_stall(now, self.latest_time - now);
        } else if now > self.stall_limit() {
            self.handle_stall(now, now - self.next_turn.max(self.latest_time));
        }
        self.latest_time = now;
    }

    /// Returns the time after which a call means that the event loop has stalled.
    fn stall_limit(&self) -> Time {
        self.next_turn
            .max(self.latest_time)
            .saturating_add(self.rules.renew_interval())
    }

    /// Handles a stall of the event loop or a jump of the clock, of this length (us). The router holds no lease until the
    /// voters have granted it again.
    pub fn handle_stall(&mut self, now: Time, duration: Micros) {
        if let Some(voter) = &mut self.voter {
            voter.extend_after_stall(&self.rules, self.latest_time, now, duration);
        }
        self.record_event(LeaseEvent::Stalled { duration });
        let mut lost = Vec::new();
        for (lease, state) in &mut self.leases {
            if let Some(token) = state.reset_after_stall(&self.rules, now) {
                lost.push((lease.clone(), token));
            }
        }
        if self.rules.is_enabled(Guard::Stalled) {
            for (lease, token) in lost {
                self.record_event(LeaseEvent::Lost {
                    lease,
                    token,
                    reason: LossReason::Stalled,
                });
            }
        }
        let latest_time = self.latest_time;
        self.last_answered
            .iter_mut()
            .flatten()
            .for_each(|at| *at = (*at).min(latest_time).min(now));
        (self.next_heartbeat, self.next_rebalance) = (
            now,
            self.next_rebalance.min(now + self.rules.renew_interval()),
        );
        self.latest_time = now;
        self.next_turn = now;
    }

    /// Returns the token under which this router may act now, if it holds the lease.
    ///
    /// The caller must check this with a fresh reading of the clock immediately before each action.
    pub fn may_act(&self, now: Time, lease: &LeaseName) -> Option<Token> {
        let grant = self.leases.get(lease)?.current_grant(&self.rules)?;
        // A process may have been stopped since its last check. Without this check it would act after the end of its lease.
        if self.rules.is_enabled(Guard::Clock) && now >= grant.until {
            return None;
        }
        // The same happens if the clock stopped together with the process, or jumped.
        let has_stalled = now < self.latest_time || now > self.stall_limit();
        (!has_stalled || !self.rules.is_enabled(Guard::Stalled)).then_some(grant.token)
    }

    /// Returns the presumed holder of a lease and its token: this router itself, or the holder that voters reported.
    pub fn holder(&self, lease: &LeaseName) -> Option<(Member, Token)> {
        let state = self.leases.get(lease)?;
        if let Some(grant) = state.current_grant(&self.rules)
            && self.latest_time < grant.until
        {
            return Some((self.me.clone(), grant.token));
        }
        state.believed_holder.clone()
    }

    /// Notes that another router acted under a lease, with a token that a fence has admitted.
    pub fn note_holder(&mut self, lease: &LeaseName, holder: &Member, token: Token) {
        if let Some(state) = self.leases.get_mut(lease)
            && state
                .believed_holder
                .as_ref()
                .is_none_or(|(_, known)| *known <= token)
        {
            state.believed_holder = Some((holder.clone(), token));
        }
    }

    /// Returns the leases that this router holds now, with their tokens.
    pub fn held_leases(&self, now: Time) -> impl Iterator<Item = (&LeaseName, Token)> {
        self.leases
            .keys()
            .filter_map(move |lease| Some((lease, self.may_act(now, lease)?)))
    }

    /// Returns whether no majority of the voters answers. Then each router does the work by itself, as if there were no
    /// leases.
    pub fn is_without_majority(&self, now: Time) -> bool {
        let mut answered: Vec<Time> = self.last_answered.iter().flatten().copied().collect();
        answered.sort_unstable_by(|a, b| b.cmp(a));
        let majority_answered = answered.get(self.rules.voters.majority().saturating_sub(1));
        majority_answered
            .is_none_or(|sent| sent.saturating_add(crate::ms(self.rules.lease_ms)) <= now)
    }

    /// Returns whether a lease is suspended because several holders in a row were lost. No router should do its work then,
    /// not even by itself.
    pub fn is_suspended(&self, now: Time, lease: &LeaseName) -> bool {
        self.leases
            .get(lease)
            .is_some_and(|state| state.is_suspended(now))
    }

    /// Reports progress of a lease's work, from which the next holder resumes. Returns `false` if this router does not hold
    /// the lease or the data is longer than 64 bytes.
    ///
    /// The voters receive it with the next renewal.
    pub fn record_checkpoint(&mut self, lease: &LeaseName, data: Vec<u8>) -> bool {
        let claim = self
            .leases
            .get_mut(lease)
            .and_then(|state| state.claim.as_mut());
        let Some(claim) = claim.filter(|claim| claim.is_held && data.len() <= MAX_CHECKPOINT_BYTES)
        else {
            return false;
        };
        let count = claim
            .checkpoint
            .as_ref()
            .map_or(0, |checkpoint| checkpoint.count)
            .saturating_add(1);
        claim.checkpoint = Some(Checkpoint {
            token: claim.token,
            count,
            data,
        });
        true
    }

    /// Returns the previous holder's progress, if this router holds the lease and knows of any.
    pub fn resume_point(&self, lease: &LeaseName) -> Option<ResumePoint> {
        let checkpoint = self
            .leases
            .get(lease)?
            .claim
            .as_ref()
            .filter(|claim| claim.is_held)?
            .predecessor_checkpoint
            .as_ref()?;
        Some(ResumePoint {
            token: checkpoint.token,
            checkpoint: checkpoint.data.clone(),
        })
    }

    /// Takes the content of the voter's file, if it must be written; votes wait for it.
    ///
    /// The caller writes it to a new file, syncs that, renames it over the old file, and then calls
    /// [`LeaseManager::complete_write`].
    pub fn take_pending_write(&mut self) -> Option<Vec<u8>> {
        self.voter.as_mut()?.take_pending_write()
    }

    /// Notes that the content returned by [`LeaseManager::take_pending_write`] is on disk.
    pub fn complete_write(&mut self, now: Time) {
        self.detect_stall(now);
        self.with_voter(|voter, rules, outbox| voter.complete_write(rules, now, outbox));
        self.deliver_loopback(now);
    }

    /// Hands each lease over to a successor that accepts it, and claims no more leases.
    pub fn hand_over_all(&mut self, now: Time) {
        self.detect_stall(now);
        self.is_leaving = true;
        let names: Vec<LeaseName> = self.leases.keys().cloned().collect();
        for lease in names {
            let is_held = self
                .leases
                .get(&lease)
                .is_some_and(|state| state.claim.as_ref().is_some_and(|claim| claim.is_held));
            if is_held {
                self.offer_to_successor(now, &lease, 0);
            } else {
                self.give_up(now, &lease, None);
            }
        }
        self.deliver_loopback(now);
    }

    /// Returns whether a hand-over is under way.
    pub fn is_handing_over(&self) -> bool {
        self.leases.values().any(|state| {
            state
                .claim
                .as_ref()
                .is_some_and(|claim| claim.handover.is_some())
        })
    }

    /// Offers a lease to the member that should hold it next, after `attempts` others were offered it.
    fn offer_to_successor(&mut self, now: Time, lease: &LeaseName, attempts: usize) {
        let Some(state) = self.leases.get_mut(lease) else {
            return;
        };
        let Some(claim) = state.claim.as_mut() else {
            return;
        };
        let wanted = WantedLease {
            lease: lease.clone(),
            zone: state.zone.clone(),
        };
        let order = self.placement.ranked_members(&wanted, &self.members);
        let successor = order
            .into_iter()
            .filter(|m| m.address != self.me.address)
            .nth(attempts)
            .cloned();
        let Some(to) = successor.filter(|_| attempts < MAX_SUCCESSORS_OFFERED) else {
            claim.handover = None;
            if self.is_leaving {
                let token = claim.token;
                self.give_up(now, lease, None);
                self.record_event(LeaseEvent::Released {
                    lease: lease.clone(),
                    token,
                });
            }
            return;
        };
        claim.handover = Some(Handover {
            to,
            attempts,
            step_started_at: now,
            last_sent: now,
            ready: None,
        });
        self.send_handover(lease);
    }

    /// Sends the message of the current step of a hand-over.
    fn send_handover(&mut self, lease: &LeaseName) {
        let Some(claim) = self
            .leases
            .get(lease)
            .and_then(|state| state.claim.as_ref())
        else {
            return;
        };
        let Some(handover) = &claim.handover else {
            return;
        };
        let (generation, token, lease) = (self.rules.voters.generation, claim.token, lease.clone());
        let to = handover.to.holder();
        match handover.ready {
            None => {
                let message = Message::Offer {
                    generation,
                    lease,
                    token,
                    checkpoint: claim.latest_checkpoint(),
                };
                self.send(to.address, &message);
            }
            Some(ready) => {
                self.send_to_voters(&Message::Transfer {
                    generation,
                    lease,
                    token,
                    to,
                    requested_at: ready.requested_at,
                    lease_ms: ready.lease_ms,
                });
            }
        }
    }

    /// Gives up a lease or the claim to it, and releases the token at the voters.
    fn give_up(&mut self, now: Time, lease: &LeaseName, reason: Option<LossReason>) {
        let jitter: f64 = self.rng.random();
        let Some(state) = self.leases.get_mut(lease) else {
            return;
        };
        let held_token = state.current_grant(&self.rules).map(|grant| grant.token);
        let Some(token) = state.drop_claim(&self.rules, now, jitter) else {
            return;
        };
        if let Some(reason) =
            reason.filter(|reason| held_token.is_some() || *reason == LossReason::Expired)
        {
            self.record_event(LeaseEvent::Lost {
                lease: lease.clone(),
                token: held_token.unwrap_or(token),
                reason,
            });
        }
        let generation = self.rules.voters.generation;
        self.send_to_voters(&Message::Release {
            generation,
            items: vec![(lease.clone(), token)],
        });
    }

    fn send(&mut self, to: SocketAddr, message: &Message) {
        if let Some(bytes) = encode(message) {
            self.send_bytes(to, bytes);
        }
    }

    fn send_bytes(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        if to == self.me.address {
            self.loopback.push_back(bytes);
            return;
        }
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        self.outbox.push((to, bytes));
    }

    fn send_to_voters(&mut self, message: &Message) {
        let Some(bytes) = encode(message) else { return };
        for position in 0..self.rules.voters.members.len() {
            self.send_bytes(self.rules.voters.members[position].address, bytes.clone());
        }
    }

    /// Calls the voter, if this router is one, and takes over the messages and events that the call produced.
    fn with_voter(&mut self, act: impl FnOnce(&mut Voter, &Rules, &mut Outbox)) {
        let Some(voter) = &mut self.voter else { return };
        let mut outbox = Outbox::default();
        act(voter, &self.rules, &mut outbox);
        outbox
            .events
            .into_iter()
            .for_each(|event| self.record_event(event));
        for (to, bytes) in outbox.messages {
            self.send_bytes(to, bytes);
        }
    }

    /// Handles a message from another router. `delay` is how much longer the network took for it than for the fastest
    /// message of that router (us).
    pub fn receive(&mut self, now: Time, from: &Member, message: &[u8], delay: Micros) {
        self.detect_stall(now);
        self.process(now, from, message, delay);
        self.deliver_loopback(now);
    }

    /// Delivers the messages of this router to itself at once.
    fn deliver_loopback(&mut self, now: Time) {
        let me = self.me.clone();
        while let Some(message) = self.loopback.pop_front() {
            self.process(now, &me, &message, 0);
        }
        self.schedule_next_turn();
    }

    /// Decodes a message and passes it on to its handler.
    fn process(&mut self, now: Time, from: &Member, message: &[u8], delay: Micros) {
        let Some(message) = decode(message) else {
            self.counts.malformed += 1;
            return;
        };
        let own_generation = self.rules.voters.generation;
        match message {
            Message::Request {
                generation,
                requested_at,
                lease_ms,
                items,
            } => {
                // A request that was delayed this long would gain a lease that has almost ended at the candidate, but that
                // still blocks other candidates.
                if delay > crate::ms(u64::from(lease_ms)) / 2 {
                    return;
                }
                let items = if generation == own_generation {
                    items
                } else {
                    Vec::new()
                };
                self.with_voter(|voter, rules, outbox| {
                    voter.receive_request(rules, now, from, requested_at, lease_ms, items, outbox)
                });
            }
            Message::Answers {
                generation,
                incarnation,
                requested_at,
                stage,
                items,
            } if incarnation == self.me.incarnation
                && generation == own_generation
                && requested_at <= now =>
            {
                self.process_answers(now, from, requested_at, stage, items);
            }
            Message::Release { generation, items } if generation == own_generation => {
                self.with_voter(|voter, _, _| voter.release(from, items));
            }
            Message::Offer {
                generation,
                lease,
                token,
                checkpoint,
            } if generation == own_generation => {
                self.accept_offer(now, from, lease, token, checkpoint);
            }
            Message::Ready {
                generation,
                lease,
                token,
                requested_at,
                lease_ms,
            } if generation == own_generation => {
                let claim = self
                    .leases
                    .get_mut(&lease)
                    .and_then(|state| state.claim.as_mut());
                let Some(claim) = claim.filter(|claim| claim.is_held && claim.token == token)
                else {
                    return;
                };
                let Some(handover) = claim.handover.as_mut() else {
                    return;
                };
                if handover.to.holder() != from.holder() || handover.ready.is_some() {
                    return;
                }
                handover.ready = Some(SuccessorReady {
                    requested_at,
                    lease_ms,
                });
                (handover.step_started_at, handover.last_sent) = (now, now);
                self.send_handover(&lease);
            }
            Message::Transfer {
                generation,
                lease,
                token,
                to,
                requested_at,
                lease_ms,
            } if generation == own_generation => {
                self.with_voter(|voter, rules, outbox| {
                    voter.receive_transfer(
                        rules,
                        now,
                        from,
                        lease,
                        token,
                        to,
                        requested_at,
                        lease_ms,
                        outbox,
                    );
                });
            }
            Message::TransferDone {
                generation,
                lease,
                token,
            } if generation == own_generation => self.complete_handover(now, from, &lease, token),
            Message::QueryState {
                generation,
                token_ceiling,
            } if generation == own_generation => {
                self.with_voter(|voter, rules, outbox| {
                    voter.answer_state_query(rules, now, from, token_ceiling, outbox)
                });
            }
            Message::State(state) if state.generation == own_generation => {
                self.with_voter(|voter, rules, outbox| {
                    voter.receive_state(rules, now, from, state, outbox)
                });
            }
            _ => {}
        }
    }

    /// Handles the answers of a voter.
    fn process_answers(
        &mut self,
        now: Time,
        from: &Member,
        requested_at: Time,
        stage: VoterStage,
        items: Vec<Answer>,
    ) {
        let Some(voter) = self.rules.voters.position_of(&from.address) else {
            return;
        };
        if stage == VoterStage::Voting {
            self.last_answered[voter] = self.last_answered[voter].max(Some(requested_at));
        }
        for answer in items {
            let jitter: f64 = self.rng.random();
            let lease = answer.lease.clone();
            let Some(state) = self.leases.get_mut(&lease) else {
                continue;
            };
            let was_suspended = state.is_suspended(now);
            match state.receive_answer(&self.rules, now, voter, requested_at, answer, jitter) {
                AnswerEffect::None => {}
                AnswerEffect::Acquired => {
                    self.announce_acquired(&lease);
                    continue;
                }
                AnswerEffect::Rejected => {
                    self.give_up(now, &lease, Some(LossReason::Rejected));
                    continue;
                }
            }
            if state.is_suspended(now) && !was_suspended {
                let duration = state.next_send.saturating_sub(now);
                self.record_event(LeaseEvent::Suspended { lease, duration });
                continue;
            }
            if state.claim.is_some() {
                continue;
            }
            if let Some((holder, token, until)) = state.reported_holder() {
                let nonmember = || Member {
                    name: String::new(),
                    zone: String::new(),
                    address: holder.address,
                    incarnation: holder.incarnation,
                };
                let member = self.members_by_holder.get(&holder).cloned();
                if until > now
                    && state
                        .believed_holder
                        .as_ref()
                        .is_none_or(|(_, known)| *known <= token)
                {
                    state.believed_holder = Some((member.clone().unwrap_or_else(nonmember), token));
                }
                if member.is_none() {
                    state.poll_after_lease_end(&self.rules, now, jitter);
                }
            }
        }
    }

    /// Records that this router has acquired a lease, and confirms it to the previous holder if it was handed over.
    fn announce_acquired(&mut self, lease: &LeaseName) {
        let Some(claim) = self
            .leases
            .get(lease)
            .and_then(|state| state.claim.as_ref())
        else {
            return;
        };
        let (token, resumes_from) = (
            claim.token,
            claim
                .predecessor_checkpoint
                .as_ref()
                .map(|checkpoint| checkpoint.token),
        );
        self.record_event(LeaseEvent::Acquired {
            lease: lease.clone(),
            token,
            resumes_from,
        });
        if let Some((previous, previous_token)) = self
            .leases
            .get_mut(lease)
            .and_then(|state| state.believed_holder.take())
            && previous_token.next() == token
            && previous.holder() != self.me.holder()
        {
            let generation = self.rules.voters.generation;
            let message = Message::TransferDone {
                generation,
                lease: lease.clone(),
                token,
            };
            self.send(previous.address, &message);
        }
    }

    /// Accepts a holder's offer to hand a lease over to this router.
    fn accept_offer(
        &mut self,
        now: Time,
        from: &Member,
        lease: LeaseName,
        token: Token,
        checkpoint: Option<Checkpoint>,
    ) {
        let Some(state) = self.leases.get_mut(&lease).filter(|_| !self.is_leaving) else {
            return;
        };
        let generation = self.rules.voters.generation;
        match &state.claim {
            Some(claim) if claim.is_held && claim.token == token.next() => {
                return self.send(
                    from.address,
                    &Message::TransferDone {
                        generation,
                        lease,
                        token: token.next(),
                    },
                );
            }
            Some(claim) if claim.token > token.next() || claim.is_held => return,
            _ => {}
        }
        state.expect_transfer(&self.rules, now, token.next(), checkpoint);
        state.believed_holder = Some((from.clone(), token));
        let lease_ms = self.rules.lease_ms as u32;
        self.send(
            from.address,
            &Message::Ready {
                generation,
                lease,
                token,
                requested_at: now,
                lease_ms,
            },
        );
    }

    /// Handles the confirmation of a successor that it holds the lease.
    fn complete_handover(&mut self, now: Time, from: &Member, lease: &LeaseName, token: Token) {
        let Some(state) = self.leases.get_mut(lease) else {
            return;
        };
        let Some(claim) = state
            .claim
            .as_ref()
            .filter(|claim| claim.token.next() == token)
        else {
            return;
        };
        let Some(handover) = claim
            .handover
            .as_ref()
            .filter(|handover| handover.to.holder() == from.holder())
        else {
            return;
        };
        let (to, token) = (handover.to.clone(), claim.token);
        let jitter: f64 = self.rng.random();
        state.drop_claim(&self.rules, now, jitter);
        state.believed_holder = Some((to.clone(), token.next()));
        state.next_send = now + self.rules.renew_interval();
        self.record_event(LeaseEvent::HandedOver {
            lease: lease.clone(),
            token,
            to,
        });
    }

    /// Does all that is due: expiries, hand-overs, requests, and the voter's work.
    pub fn turn(&mut self, now: Time) {
        self.detect_stall(now);
        self.with_voter(|voter, rules, outbox| voter.turn(rules, now, outbox));
        self.deliver_loopback(now);
        self.expire_claims(now);
        self.continue_handovers(now);
        self.rebalance(now);
        self.send_requests(now);
        self.deliver_loopback(now);
        let has_majority = !self.is_without_majority(now);
        if self.had_majority.unwrap_or(false) != has_majority {
            self.record_event(if has_majority {
                LeaseEvent::MajorityReached
            } else {
                LeaseEvent::MajorityLost
            });
            self.had_majority = Some(has_majority);
        }
    }

    /// Gives up the leases that have ended and the claims that have timed out.
    fn expire_claims(&mut self, now: Time) {
        let expired: Vec<_> = self
            .leases
            .iter_mut()
            .filter_map(|(lease, state)| {
                Some((lease.clone(), state.check_expiry(&self.rules, now)?))
            })
            .collect();
        for (lease, reason) in expired {
            self.give_up(now, &lease, reason);
        }
    }

    /// Continues hand-overs: sends unanswered messages again, or turns to the next successor.
    fn continue_handovers(&mut self, now: Time) {
        let retry = self.rules.retry_interval();
        let due_step = |state: &LocalLease| {
            let handover = state.claim.as_ref()?.handover.as_ref()?;
            (handover.last_sent + retry <= now).then(|| {
                (
                    handover.attempts,
                    handover.step_started_at,
                    handover.ready.is_some(),
                )
            })
        };
        let due: Vec<_> = self
            .leases
            .iter()
            .filter_map(|(lease, state)| Some((lease.clone(), due_step(state)?)))
            .collect();
        for (lease, (attempts, step_started_at, is_ready)) in due {
            if !is_ready && step_started_at + 2 * retry <= now {
                self.offer_to_successor(now, &lease, attempts + 1);
                continue;
            }
            if is_ready && step_started_at + self.rules.claim_timeout() <= now {
                let token = self
                    .leases
                    .get(&lease)
                    .and_then(|state| state.claim.as_ref())
                    .map(|claim| claim.token);
                self.give_up(now, &lease, None);
                if let Some(token) = token {
                    self.record_event(LeaseEvent::Released { lease, token });
                }
                continue;
            }
            let claim = self
                .leases
                .get_mut(&lease)
                .and_then(|state| state.claim.as_mut());
            if let Some(handover) = claim.and_then(|claim| claim.handover.as_mut()) {
                handover.last_sent = now;
            }
            self.send_handover(&lease);
        }
    }

    /// Hands one lease over if this router holds more than [`Placement::rebalance_threshold`].
    fn rebalance(&mut self, now: Time) {
        if now < self.next_rebalance || self.is_leaving {
            return;
        }
        let jitter: f64 = self.rng.random();
        self.next_rebalance = now
            + RENEWALS_BETWEEN_REBALANCES * self.rules.renew_interval()
            + (jitter * self.rules.renew_interval() as f64) as Micros;
        let held_count = self
            .leases
            .values()
            .filter(|state| state.claim.as_ref().is_some_and(|claim| claim.is_held))
            .count();
        if held_count <= self.placement.rebalance_threshold() || self.is_handing_over() {
            return;
        }
        let misplaced = |(lease, state): (&LeaseName, &LocalLease)| {
            let is_held = state.claim.as_ref().is_some_and(|claim| claim.is_held);
            (is_held && self.placement.preferred_holder(lease) != Some(self.me.address))
                .then(|| lease.clone())
        };
        if let Some(lease) = self.leases.iter().find_map(misplaced) {
            self.offer_to_successor(now, &lease, 0);
        }
    }

    /// Sends all voters the requests and polls that are due, and those that soon will be, in as few messages as possible.
    fn send_requests(&mut self, now: Time) {
        // Polls due before the next heartbeat are sent along, so that no poll needs a datagram for itself.
        let ahead = self.rules.renew_interval();
        let is_due = self
            .leases
            .values()
            .any(|state| state.next_send <= now && state.is_due(now, 0));
        if (!is_due && now < self.next_heartbeat) || (self.is_leaving && !self.is_handing_over()) {
            return;
        }
        let renews_held = self.leases.values().any(|state| {
            state.claim.as_ref().is_some_and(|claim| claim.is_held) && state.next_send <= now
        });
        if !self
            .limiter
            .try_take(now, if renews_held { 0.0 } else { RENEWAL_RESERVE })
        {
            self.counts.dropped += 1;
            let later = now + self.rules.retry_interval();
            self.leases
                .values_mut()
                .filter(|state| state.next_send <= now)
                .for_each(|state| state.next_send = later);
            self.next_heartbeat = self.next_heartbeat.max(later);
            return;
        }
        let mut items = Vec::new();
        for (lease, state) in &mut self.leases {
            if (self.is_leaving && state.claim.is_none()) || !state.is_due(now, ahead) {
                continue;
            }
            let (token, checkpoint) = state.next_request(&self.rules, now);
            state.schedule_next_send(&self.rules, now, self.rng.random());
            items.push(RequestItem {
                lease: lease.clone(),
                token,
                checkpoint,
            });
        }
        let jitter: f64 = self.rng.random();
        self.next_heartbeat =
            now + (self.rules.renew_interval() as f64 * (0.9 + 0.1 * jitter)) as Micros;
        let (generation, lease_ms) = (self.rules.voters.generation, self.rules.lease_ms as u32);
        let make = |items| Message::Request {
            generation,
            requested_at: now,
            lease_ms,
            items,
        };
        for bytes in encode_in_parts(&items, &make) {
            for position in 0..self.rules.voters.members.len() {
                self.send_bytes(self.rules.voters.members[position].address, bytes.clone());
            }
        }
    }

    /// Computes when the next turn is due.
    fn schedule_next_turn(&mut self) {
        let rules = &self.rules;
        let next_of = |state: &LocalLease| {
            let handover = state
                .claim
                .as_ref()
                .and_then(|claim| claim.handover.as_ref());
            let next_handover_send =
                handover.map(|handover| handover.last_sent + rules.retry_interval());
            let expiry = state.next_expiry(rules);
            let is_ready = handover.is_some_and(|handover| handover.ready.is_some());
            let next_send = if is_ready || (self.is_leaving && state.claim.is_none()) {
                Time::MAX
            } else {
                state.next_send
            };
            next_send
                .min(next_handover_send.unwrap_or(Time::MAX))
                .min(expiry.unwrap_or(Time::MAX))
        };
        let leases = self.leases.values().map(next_of).min().unwrap_or(Time::MAX);
        let voter = self.voter.as_ref().map_or(Time::MAX, Voter::next_turn);
        let heartbeat = if self.is_leaving {
            Time::MAX
        } else {
            self.next_heartbeat
        };
        self.next_turn = leases.min(voter).min(heartbeat);
    }
}
