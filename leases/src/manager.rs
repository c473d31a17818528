//! A router's part in the duties: a candidate for all of them, and a decider where the settings list it.

use crate::ballot::Holder;
use crate::event::{LeaseEvent, LossReason};
use crate::local_lease::{AnswerEffect, Handover, LocalLease, ResumePoint};
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

/// News that nobody takes are forgotten beyond this: the oldest first.
const MAX_PENDING_EVENTS: usize = 1_024;
/// Successors that are offered a duty before it is given back.
const MAX_SUCCESSORS_OFFERED: usize = 3;
/// A router that owns too much hands over one duty in so many renewals' time.
const RENEWALS_BETWEEN_REBALANCES: u64 = 2;
/// Share of the datagrams that is kept for renewals.
const RENEWAL_RESERVE: f64 = 0.3;

/// Counts since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bodies sent to others.
    pub sent: u64,
    /// Their bytes.
    pub bytes: u64,
    /// Bodies that were none, or of another version.
    pub malformed: u64,
    /// Asks that were not sent or not answered since too many datagrams went out.
    pub dropped: u64,
    /// Duties won.
    pub won: u64,
    /// Duties lost.
    pub lost: u64,
}

/// A router's part in the duties.
pub struct LeaseManager {
    rules: Rules,
    me: Member,
    leases: BTreeMap<LeaseName, LocalLease>,
    wanted: Vec<WantedLease>,
    members: Vec<Member>,
    members_by_holder: BTreeMap<Holder, Member>,
    placement: Placement,
    voter: Option<Voter>,
    /// When each decider answered last that votes in this generation.
    last_answers: Vec<Option<Time>>,
    had_majority: Option<bool>,
    next_poll: Time,
    next_rebalance: Time,
    /// The latest time that was handed in.
    latest_time: Time,
    next_turn: Time,
    is_leaving: bool,
    outbox: Vec<(SocketAddr, Vec<u8>)>,
    /// What it has to say to itself.
    loopback: VecDeque<Vec<u8>>,
    events: VecDeque<LeaseEvent>,
    limiter: RateLimiter,
    counts: Counts,
    rng: Pcg64Mcg,
}

impl LeaseManager {
    /// A router among this many. `kept` is what its file holds ([`Kept::read`]); none where there is none, or where it is
    /// no decider.
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
        // All of a fleet that starts at once must not ask at once.
        let first = if routers > 1 {
            rng.random_range(0..rules.renew_interval().max(1))
        } else {
            0
        };
        let mut new = LeaseManager {
            limiter: RateLimiter::new(rules.datagrams_per_s, now),
            last_answers: vec![None; voters],
            leases: BTreeMap::new(),
            wanted: Vec::new(),
            members: vec![me.clone()],
            members_by_holder: BTreeMap::from([(me.holder(), me.clone())]),
            placement: Placement::default(),
            voter,
            had_majority: None,
            next_poll: now + first / 4,
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
        if let Some(voter) = &new.voter {
            new.record_event(LeaseEvent::VoterStageChanged {
                stage: voter.stage(),
                above: Token::NONE,
            });
        }
        new
    }

    /// The settings.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Who this is.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// How far it has come as a decider; none where it is none.
    pub fn stage(&self) -> Option<VoterStage> {
        self.voter.as_ref().map(Voter::stage)
    }

    /// Counts since the start.
    pub fn counts(&self) -> Counts {
        let dropped = self.counts.dropped + self.voter.as_ref().map_or(0, |s| s.dropped);
        Counts {
            dropped,
            ..self.counts
        }
    }

    /// When [`Duties::turn`] is to be called next at the latest.
    pub fn next_turn(&self) -> Time {
        self.next_turn
    }

    /// Takes what is to be sent: bodies for [`carried::DUTY`](https://docs.rs/) parts of peers, and where to.
    pub fn take_outbox(&mut self) -> Vec<(SocketAddr, Vec<u8>)> {
        std::mem::take(&mut self.outbox)
    }

    /// Takes one piece of news.
    pub fn take_event(&mut self) -> Option<LeaseEvent> {
        self.events.pop_front()
    }

    fn record_event(&mut self, events: LeaseEvent) {
        match events {
            LeaseEvent::Acquired { .. } => self.counts.won += 1,
            LeaseEvent::Lost { .. } => self.counts.lost += 1,
            _ => {}
        }
        if self.events.len() >= MAX_PENDING_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(events);
    }

    /// What there is to do, alike at all routers.
    pub fn set_wanted(&mut self, now: Time, mut wanted: Vec<WantedLease>) {
        self.detect_stall(now);
        wanted.sort();
        wanted.dedup_by(|a, b| a.lease == b.lease);
        if wanted == self.wanted {
            return;
        }
        let gone: Vec<LeaseName> = self
            .leases
            .keys()
            .filter(|d| wanted.binary_search_by(|w| w.lease.cmp(d)).is_err())
            .cloned()
            .collect();
        for lease in gone {
            self.give_up(now, &lease, Some(LossReason::Unwanted));
            self.leases.remove(&lease);
        }
        let voters = self.rules.voters.members.len();
        for one in &wanted {
            // The first asks come early, and not all at once.
            let due = now + self.rng.random_range(0..self.rules.retry_interval().max(1));
            let new = || LocalLease::new(one.zone.clone(), voters, due);
            self.leases
                .entry(one.lease.clone())
                .or_insert_with(new)
                .zone
                .clone_from(&one.zone);
        }
        self.wanted = wanted;
        self.update_placement(now);
    }

    /// Who is seen; this router is always taken to be.
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

    fn update_placement(&mut self, now: Time) {
        self.placement = Placement::new(&self.wanted, &self.members);
        let ranks = self.placement.ranks(&self.wanted, &self.members, &self.me);
        for (wanted, rank) in self.wanted.iter().zip(ranks) {
            let jitter: f64 = self.rng.random();
            let Some(state) = self.leases.get_mut(&wanted.lease) else {
                continue;
            };
            let (rose, sank) = (rank < state.rank, rank > state.rank);
            state.rank = rank;
            if sank {
                state.delay_first_poll(&self.rules, now, jitter);
            }
            if state.claim.is_some() {
                continue;
            }
            let gone = state
                .reported_holder()
                .is_some_and(|(by, _, _)| !self.members_by_holder.contains_key(&by));
            if gone {
                state.poll_after_lease_end(&self.rules, now, jitter);
            } else if rose {
                let soon = (self.rules.renew_interval() as f64 * jitter) as Micros;
                state.next_send = state
                    .next_send
                    .min(now + soon.saturating_mul(rank as u64 + 1));
            }
        }
        self.schedule_next_turn();
    }

    /// Notices where the loop stood still or the clock jumped.
    fn detect_stall(&mut self, now: Time) {
        if now < self.latest_time {
            self.handle_stall(now, self.latest_time - now);
        } else if now > self.stall_limit() {
            self.handle_stall(now, now - self.next_turn.max(self.latest_time));
        }
        self.latest_time = now;
    }

    /// A call after this means that the loop stood still.
    fn stall_limit(&self) -> Time {
        self.next_turn
            .max(self.latest_time)
            .saturating_add(self.rules.renew_interval())
    }

    /// The loop stood still for so long, or the clock jumped: nothing is owned until it has been asked for again.
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
        self.last_answers
            .iter_mut()
            .flatten()
            .for_each(|at| *at = (*at).min(latest_time).min(now));
        (self.next_poll, self.next_rebalance) = (
            now,
            self.next_rebalance.min(now + self.rules.renew_interval()),
        );
        self.latest_time = now;
        self.next_turn = now;
    }

    /// Whether this router may act for a duty now, and with which token: the last look at the clock before an effect.
    pub fn may_act(&self, now: Time, lease: &LeaseName) -> Option<Token> {
        let (token, until) = self.leases.get(lease)?.current_grant(&self.rules)?;
        // Against: an owner that was stopped since it last looked acts after its lease.
        if self.rules.is_enabled(Guard::Clock) && now >= until {
            return None;
        }
        // Against: the same, where its clock stood still or jumped.
        let stood = now < self.latest_time || now > self.stall_limit();
        (!stood || !self.rules.is_enabled(Guard::Stalled)).then_some(token)
    }

    /// Who is believed to own a duty, and with which token: this router itself, or what deciders said of another.
    pub fn holder(&self, lease: &LeaseName) -> Option<(Member, Token)> {
        let state = self.leases.get(lease)?;
        if let Some((token, until)) = state.current_grant(&self.rules)
            && self.latest_time < until
        {
            return Some((self.me.clone(), token));
        }
        state.believed_holder.clone()
    }

    /// Another router was seen to act for a duty with this token, which a fence has let pass.
    pub fn note_holder(&mut self, lease: &LeaseName, from: &Member, token: Token) {
        if let Some(state) = self.leases.get_mut(lease)
            && state
                .believed_holder
                .as_ref()
                .is_none_or(|(_, known)| *known <= token)
        {
            state.believed_holder = Some((from.clone(), token));
        }
    }

    /// What this router owns now.
    pub fn held_leases(&self, now: Time) -> impl Iterator<Item = (&LeaseName, Token)> {
        self.leases
            .keys()
            .filter_map(move |lease| Some((lease, self.may_act(now, lease)?)))
    }

    /// Whether too few deciders answer: then each router does the chores by itself, as without duties.
    pub fn is_without_majority(&self, now: Time) -> bool {
        let mut last_answers: Vec<Time> = self.last_answers.iter().flatten().copied().collect();
        last_answers.sort_unstable_by(|a, b| b.cmp(a));
        let last = last_answers.get(self.rules.voters.majority().saturating_sub(1));
        last.is_none_or(|at| at.saturating_add(crate::ms(self.rules.lease_ms)) <= now)
    }

    /// Whether a duty is set aside since it killed its owners. Nobody should do it then, also not by itself.
    pub fn is_suspended(&self, now: Time, lease: &LeaseName) -> bool {
        self.leases.get(lease).is_some_and(|c| c.is_suspended(now))
    }

    /// What is done so far (64 bytes at the most): a new owner begins from there. The deciders have it one renewal later.
    /// Whether it was taken.
    pub fn record_checkpoint(&mut self, lease: &LeaseName, checkpoint: Vec<u8>) -> bool {
        let claim = self.leases.get_mut(lease).and_then(|c| c.claim.as_mut());
        let Some(claim) = claim.filter(|h| h.is_held && checkpoint.len() <= MAX_CHECKPOINT_BYTES)
        else {
            return false;
        };
        let count = claim
            .checkpoint
            .as_ref()
            .map_or(0, |m| m.count)
            .saturating_add(1);
        claim.checkpoint = Some(Checkpoint {
            token: claim.token,
            count,
            data: checkpoint,
        });
        true
    }

    /// What the predecessor is known to have finished; none where nothing is known.
    pub fn resume_point(&self, lease: &LeaseName) -> Option<ResumePoint> {
        let checkpoint = self
            .leases
            .get(lease)?
            .claim
            .as_ref()
            .filter(|h| h.is_held)?
            .predecessor_checkpoint
            .as_ref()?;
        Some(ResumePoint {
            token: checkpoint.token,
            checkpoint: checkpoint.data.clone(),
        })
    }

    /// What must be on disk before the votes that wait for it leave; call [`Duties::kept`] when it is. It must be written
    /// whole and synced, beside the old file and then over it.
    pub fn take_pending_write(&mut self) -> Option<Vec<u8>> {
        self.voter.as_mut()?.take_pending_write()
    }

    /// What [`Duties::to_keep`] gave last is on disk.
    pub fn complete_write(&mut self, now: Time) {
        self.detect_stall(now);
        self.with_voter(|voter, rules, out| voter.complete_write(rules, now, out));
        self.deliver_loopback(now);
    }

    /// Hands over all that is owned, each to a successor that says it is ready; nothing is asked for any more.
    pub fn hand_over_all(&mut self, now: Time) {
        self.detect_stall(now);
        self.is_leaving = true;
        let all: Vec<LeaseName> = self.leases.keys().cloned().collect();
        for lease in all {
            let owns = self
                .leases
                .get(&lease)
                .is_some_and(|c| c.claim.as_ref().is_some_and(|h| h.is_held));
            if owns {
                self.offer_to_successor(now, &lease, 0);
            } else {
                self.give_up(now, &lease, None);
            }
        }
        self.deliver_loopback(now);
    }

    /// Whether a hand-over is still under way.
    pub fn is_handing_over(&self) -> bool {
        self.leases
            .values()
            .any(|c| c.claim.as_ref().is_some_and(|h| h.handover.is_some()))
    }

    /// Offers a duty to the next that should own it.
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
        let to = order
            .into_iter()
            .filter(|m| m.address != self.me.address)
            .nth(attempts)
            .cloned();
        let Some(to) = to.filter(|_| attempts < MAX_SUCCESSORS_OFFERED) else {
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
            since: now,
            sent: now,
            ready: None,
        });
        self.send_handover(lease);
    }

    /// Sends what a hand-over has to send now.
    fn send_handover(&mut self, lease: &LeaseName) {
        let Some(claim) = self.leases.get(lease).and_then(|c| c.claim.as_ref()) else {
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
            Some((requested_at, lease_ms)) => {
                self.send_to_voters(&Message::Transfer {
                    generation,
                    lease,
                    token,
                    to,
                    requested_at,
                    lease_ms,
                });
            }
        }
    }

    /// Gives up what is held or asked for of a duty, and tells the deciders.
    fn give_up(&mut self, now: Time, lease: &LeaseName, reason: Option<LossReason>) {
        let jitter: f64 = self.rng.random();
        let Some(state) = self.leases.get_mut(lease) else {
            return;
        };
        let owned = state.current_grant(&self.rules).map(|(token, _)| token);
        let Some(token) = state.drop_claim(&self.rules, now, jitter) else {
            return;
        };
        if let Some(reason) =
            reason.filter(|reason| owned.is_some() || *reason == LossReason::Expired)
        {
            self.record_event(LeaseEvent::Lost {
                lease: lease.clone(),
                token: owned.unwrap_or(token),
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
        for n in 0..self.rules.voters.members.len() {
            self.send_bytes(self.rules.voters.members[n].address, bytes.clone());
        }
    }

    fn with_voter(&mut self, act: impl FnOnce(&mut Voter, &Rules, &mut Outbox)) {
        let Some(voter) = &mut self.voter else { return };
        let mut out = Outbox::default();
        act(voter, &self.rules, &mut out);
        out.events
            .into_iter()
            .for_each(|events| self.record_event(events));
        for (to, bytes) in out.messages {
            self.send_bytes(to, bytes);
        }
    }

    /// A body came from another. `late` is how much longer it was under way than the fastest from there (us).
    pub fn receive(&mut self, now: Time, from: &Member, message: &[u8], late: Micros) {
        self.detect_stall(now);
        self.process(now, from, message, late);
        self.deliver_loopback(now);
    }

    /// What this router says to itself is heard at once.
    fn deliver_loopback(&mut self, now: Time) {
        let me = self.me.clone();
        while let Some(message) = self.loopback.pop_front() {
            self.process(now, &me, &message, 0);
        }
        self.schedule_next_turn();
    }

    fn process(&mut self, now: Time, from: &Member, message: &[u8], late: Micros) {
        let Some(message) = decode(message) else {
            self.counts.malformed += 1;
            return;
        };
        let ours = self.rules.voters.generation;
        match message {
            Message::Request {
                generation,
                requested_at,
                lease_ms,
                items,
            } => {
                // What is so late would make a lease that is almost over: it only keeps others out.
                if late > crate::ms(u64::from(lease_ms)) / 2 {
                    return;
                }
                let items = if generation == ours {
                    items
                } else {
                    Vec::new()
                };
                self.with_voter(|voter, rules, out| {
                    voter.receive_request(rules, now, from, requested_at, lease_ms, items, out)
                });
            }
            Message::Answers {
                generation,
                incarnation,
                requested_at,
                stage,
                items,
            } if incarnation == self.me.incarnation
                && generation == ours
                && requested_at <= now =>
            {
                self.process_answers(now, from, requested_at, stage, items);
            }
            Message::Release { generation, items } if generation == ours => {
                self.with_voter(|voter, _, _| voter.release(from, items));
            }
            Message::Offer {
                generation,
                lease,
                token,
                checkpoint,
            } if generation == ours => {
                self.accept_offer(now, from, lease, token, checkpoint);
            }
            Message::Ready {
                generation,
                lease,
                token,
                requested_at,
                lease_ms,
            } if generation == ours => {
                let claim = self.leases.get_mut(&lease).and_then(|c| c.claim.as_mut());
                let Some(claim) = claim.filter(|h| h.is_held && h.token == token) else {
                    return;
                };
                let Some(handover) = claim.handover.as_mut() else {
                    return;
                };
                if handover.to.holder() != from.holder() || handover.ready.is_some() {
                    return;
                }
                (handover.ready, handover.since, handover.sent) =
                    (Some((requested_at, lease_ms)), now, now);
                self.send_handover(&lease);
            }
            Message::Transfer {
                generation,
                lease,
                token,
                to,
                requested_at,
                lease_ms,
            } if generation == ours => {
                self.with_voter(|voter, rules, out| {
                    voter.receive_transfer(
                        rules,
                        now,
                        from,
                        lease,
                        token,
                        to,
                        requested_at,
                        lease_ms,
                        out,
                    );
                });
            }
            Message::TransferDone {
                generation,
                lease,
                token,
            } if generation == ours => self.complete_handover(now, from, &lease, token),
            Message::QueryState {
                generation,
                token_ceiling,
            } if generation == ours => {
                self.with_voter(|voter, rules, out| {
                    voter.answer_state_query(rules, now, from, token_ceiling, out)
                });
            }
            Message::State(state) if state.generation == ours => {
                self.with_voter(|voter, rules, out| {
                    voter.receive_state(rules, now, from, state, out)
                });
            }
            _ => {}
        }
    }

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
            self.last_answers[voter] = self.last_answers[voter].max(Some(requested_at));
        }
        for answer in items {
            let jitter: f64 = self.rng.random();
            let lease = answer.lease.clone();
            let Some(state) = self.leases.get_mut(&lease) else {
                continue;
            };
            let was_aside = state.is_suspended(now);
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
            if state.is_suspended(now) && !was_aside {
                let duration = state.next_send.saturating_sub(now);
                self.record_event(LeaseEvent::Suspended { lease, duration });
                continue;
            }
            if state.claim.is_some() {
                continue;
            }
            if let Some((by, token, until)) = state.reported_holder() {
                let unknown = || Member {
                    name: String::new(),
                    zone: String::new(),
                    address: by.address,
                    incarnation: by.incarnation,
                };
                let seen = self.members_by_holder.get(&by).cloned();
                if until > now
                    && state
                        .believed_holder
                        .as_ref()
                        .is_none_or(|(_, known)| *known <= token)
                {
                    state.believed_holder = Some((seen.clone().unwrap_or_else(unknown), token));
                }
                if seen.is_none() {
                    state.poll_after_lease_end(&self.rules, now, jitter);
                }
            }
        }
    }

    fn announce_acquired(&mut self, lease: &LeaseName) {
        let Some(claim) = self.leases.get(lease).and_then(|c| c.claim.as_ref()) else {
            return;
        };
        let (token, predecessor_checkpoint) = (
            claim.token,
            claim.predecessor_checkpoint.as_ref().map(|m| m.token),
        );
        self.record_event(LeaseEvent::Acquired {
            lease: lease.clone(),
            token,
            resumes_from: predecessor_checkpoint,
        });
        if let Some((from, before)) = self
            .leases
            .get_mut(lease)
            .and_then(|c| c.believed_holder.take())
            && before.next() == token
            && from.holder() != self.me.holder()
        {
            let generation = self.rules.voters.generation;
            let message = Message::TransferDone {
                generation,
                lease: lease.clone(),
                token,
            };
            self.send(from.address, &message);
        }
    }

    /// Another would hand a duty over to this router.
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

    fn complete_handover(&mut self, now: Time, from: &Member, lease: &LeaseName, token: Token) {
        let Some(state) = self.leases.get_mut(lease) else {
            return;
        };
        let Some(claim) = state.claim.as_ref().filter(|h| h.token.next() == token) else {
            return;
        };
        let Some(handover) = claim
            .handover
            .as_ref()
            .filter(|p| p.to.holder() == from.holder())
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

    /// Does what is due.
    pub fn turn(&mut self, now: Time) {
        self.detect_stall(now);
        self.with_voter(|voter, rules, out| voter.turn(rules, now, out));
        self.deliver_loopback(now);
        self.expire_claims(now);
        self.continue_handovers(now);
        self.rebalance(now);
        self.send_requests(now);
        self.deliver_loopback(now);
        let majority = !self.is_without_majority(now);
        if self.had_majority.unwrap_or(false) != majority {
            self.record_event(if majority {
                LeaseEvent::MajorityReached
            } else {
                LeaseEvent::MajorityLost
            });
            self.had_majority = Some(majority);
        }
    }

    fn expire_claims(&mut self, now: Time) {
        let over: Vec<_> = self
            .leases
            .iter_mut()
            .filter_map(|(lease, state)| {
                Some((lease.clone(), state.check_expiry(&self.rules, now)?))
            })
            .collect();
        for (lease, reason) in over {
            self.give_up(now, &lease, reason);
        }
    }

    /// Goes on with hand-overs: sends again, or takes the next successor.
    fn continue_handovers(&mut self, now: Time) {
        let ask = self.rules.retry_interval();
        let due = |c: &LocalLease| {
            let handover = c.claim.as_ref()?.handover.as_ref()?;
            (handover.sent + ask <= now)
                .then(|| (handover.attempts, handover.since, handover.ready.is_some()))
        };
        let all: Vec<_> = self
            .leases
            .iter()
            .filter_map(|(d, c)| Some((d.clone(), due(c)?)))
            .collect();
        for (lease, (attempts, since, ready)) in all {
            if !ready && since + 2 * ask <= now {
                self.offer_to_successor(now, &lease, attempts + 1);
                continue;
            }
            if ready && since + self.rules.claim_timeout() <= now {
                let token = self
                    .leases
                    .get(&lease)
                    .and_then(|c| c.claim.as_ref())
                    .map(|h| h.token);
                self.give_up(now, &lease, None);
                if let Some(token) = token {
                    self.record_event(LeaseEvent::Released { lease, token });
                }
                continue;
            }
            let claim = self.leases.get_mut(&lease).and_then(|c| c.claim.as_mut());
            if let Some(handover) = claim.and_then(|h| h.handover.as_mut()) {
                handover.sent = now;
            }
            self.send_handover(&lease);
        }
    }

    /// Hands something over where this router owns more than the spread allows.
    fn rebalance(&mut self, now: Time) {
        if now < self.next_rebalance || self.is_leaving {
            return;
        }
        let jitter: f64 = self.rng.random();
        self.next_rebalance = now
            + RENEWALS_BETWEEN_REBALANCES * self.rules.renew_interval()
            + (jitter * self.rules.renew_interval() as f64) as Micros;
        let own = self
            .leases
            .values()
            .filter(|c| c.claim.as_ref().is_some_and(|h| h.is_held))
            .count();
        if own <= self.placement.rebalance_threshold() || self.is_handing_over() {
            return;
        }
        let elsewhere = |(lease, state): (&LeaseName, &LocalLease)| {
            let won = state.claim.as_ref().is_some_and(|h| h.is_held);
            (won && self.placement.preferred_holder(lease) != Some(self.me.address))
                .then(|| lease.clone())
        };
        if let Some(lease) = self.leases.iter().find_map(elsewhere) {
            self.offer_to_successor(now, &lease, 0);
        }
    }

    /// Asks all deciders for what is due, and for what will be soon, in as few bodies as hold it.
    fn send_requests(&mut self, now: Time) {
        // As far ahead as the next ping: a look at what others own never costs a datagram of its own.
        let ahead = self.rules.renew_interval();
        let due = self
            .leases
            .values()
            .any(|c| c.next_send <= now && c.is_due(now, 0));
        if (!due && now < self.next_poll) || (self.is_leaving && !self.is_handing_over()) {
            return;
        }
        let owns = self
            .leases
            .values()
            .any(|c| c.claim.as_ref().is_some_and(|h| h.is_held) && c.next_send <= now);
        if !self
            .limiter
            .try_take(now, if owns { 0.0 } else { RENEWAL_RESERVE })
        {
            self.counts.dropped += 1;
            let later = now + self.rules.retry_interval();
            self.leases
                .values_mut()
                .filter(|c| c.next_send <= now)
                .for_each(|c| c.next_send = later);
            self.next_poll = self.next_poll.max(later);
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
        self.next_poll =
            now + (self.rules.renew_interval() as f64 * (0.9 + 0.1 * jitter)) as Micros;
        let (generation, lease_ms) = (self.rules.voters.generation, self.rules.lease_ms as u32);
        let make = |items| Message::Request {
            generation,
            requested_at: now,
            lease_ms,
            items,
        };
        for bytes in encode_in_parts(&items, &make) {
            for n in 0..self.rules.voters.members.len() {
                self.send_bytes(self.rules.voters.members[n].address, bytes.clone());
            }
        }
    }

    /// Finds when something is due next.
    fn schedule_next_turn(&mut self) {
        let rules = &self.rules;
        let of = |c: &LocalLease| {
            let handover = c
                .claim
                .as_ref()
                .and_then(|h| h.handover.as_ref())
                .map(|p| p.sent + rules.retry_interval());
            let ends = c.next_expiry(rules);
            let ready = c
                .claim
                .as_ref()
                .and_then(|h| h.handover.as_ref())
                .is_some_and(|p| p.ready.is_some());
            let due = if ready || (self.is_leaving && c.claim.is_none()) {
                Time::MAX
            } else {
                c.next_send
            };
            due.min(handover.unwrap_or(Time::MAX))
                .min(ends.unwrap_or(Time::MAX))
        };
        let leases = self.leases.values().map(of).min().unwrap_or(Time::MAX);
        let voter = self.voter.as_ref().map_or(Time::MAX, Voter::next_turn);
        let ping = if self.is_leaving {
            Time::MAX
        } else {
            self.next_poll
        };
        self.next_turn = leases.min(voter).min(ping);
    }
}
