//! One lease as a router sees it: the router polls the voters, claims the lease, holds it, and hands it over.

use crate::ballot::Tally;
use crate::event::LossReason;
use crate::ms;
use crate::placement::Member;
use crate::rules::{Guard, Rules};
use crate::wire::{Answer, Checkpoint, LeaseStatus};
use plovercove::{Micros, Time};
use plovercove_fencing::Token;

/// Maximum time between two polls of a lease, in renewal intervals. The lower a candidate is ranked, the more rarely it
/// polls.
const MAX_POLL_RENEWALS: u64 = 30;
/// Rank from which on a candidate delays its claim no further, so that the last of 300 routers still claims a lease within
/// the bound of [`Rules::max_gap_after_kill`].
const MAX_DELAYED_RANK: u64 = 8;

/// Progress from which a new holder resumes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// The token under which it was reported.
    pub token: Token,
    /// The latest data passed to [`crate::LeaseManager::record_checkpoint`].
    pub checkpoint: Vec<u8>,
}

/// A voter's latest answer about a lease.
#[derive(Clone, Copy, Debug)]
struct VoterReply {
    /// When the answered request was sent.
    requested_at: Time,
    /// When the answer arrived.
    received_at: Time,
    /// The highest token that the voter may have voted for.
    highest: Token,
    status: LeaseStatus,
}

/// The token under which a router may act, and until when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Grant {
    pub token: Token,
    pub until: Time,
}

/// A token that a router requests or holds.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub token: Token,
    tally: Tally,
    /// When the router began to request the token.
    started_at: Time,
    /// When the latest request was sent.
    last_sent: Time,
    /// Whether a majority has granted the token.
    pub is_held: bool,
    /// The latest checkpoint of the previous holder.
    pub predecessor_checkpoint: Option<Checkpoint>,
    /// The latest checkpoint under this token.
    pub checkpoint: Option<Checkpoint>,
    /// The hand-over of the lease, if one is under way.
    pub handover: Option<Handover>,
}

/// A successor's acceptance of an offered lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SuccessorReady {
    /// Time on the successor's clock from which its lease counts.
    pub requested_at: u64,
    /// Length of the successor's lease (ms).
    pub lease_ms: u32,
}

/// The hand-over of a lease to a successor.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    /// The successor.
    pub to: Member,
    /// Number of successors that were offered the lease before this one.
    pub attempts: usize,
    /// When the offer, or later the transfer, was first sent.
    pub step_started_at: Time,
    /// When the latest message of the hand-over was sent.
    pub last_sent: Time,
    /// The successor's acceptance. From its arrival on this router no longer acts under the lease.
    pub ready: Option<SuccessorReady>,
}

/// One lease as this router sees it.
#[derive(Clone, Debug)]
pub(crate) struct LocalLease {
    /// The zone that the work is for, if it is for a single one.
    pub zone: Option<String>,
    /// Number of members that should hold the lease rather than this router.
    pub rank: usize,
    pub claim: Option<Claim>,
    /// When the next request or poll is due.
    pub next_send: Time,
    /// When the router may claim the lease, after a majority has answered that it is free.
    claim_at: Option<Time>,
    /// Time since which every poll has found the lease free.
    free_since: Option<Time>,
    /// The latest answer of each voter.
    replies: Vec<Option<VoterReply>>,
    /// The highest token that any voter has reported.
    highest_token: Token,
    /// The presumed holder and its token.
    pub believed_holder: Option<(Member, Token)>,
    /// End of the suspension.
    suspended_until: Time,
    /// Number of claims in a row that failed.
    failed_claims: u32,
    /// The grant under which this router still holds the lease while it requests a newer token.
    previous_grant: Option<Grant>,
}

/// Effect of a voter's answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AnswerEffect {
    /// The lease neither became held nor was rejected.
    None,
    /// The router holds the lease now.
    Acquired,
    /// A majority can no longer be reached: too many voters reject the token.
    Rejected,
}

impl LocalLease {
    pub fn new(zone: Option<String>, voters: usize, next_send: Time) -> Self {
        LocalLease {
            zone,
            rank: 0,
            claim: None,
            next_send,
            claim_at: None,
            free_since: None,
            replies: vec![None; voters],
            highest_token: Token::NONE,
            believed_holder: None,
            suspended_until: 0,
            failed_claims: 0,
            previous_grant: None,
        }
    }

    /// Returns the token under which this router may act and until when, according to its votes.
    pub fn current_grant(&self, rules: &Rules) -> Option<Grant> {
        let claim = self.claim.as_ref()?;
        if !claim.is_held {
            return self.previous_grant;
        }
        // Once the successor is ready, it may already have its votes while the confirmation is still in flight. If this router
        // continued until the confirmation arrives, both would act.
        if rules.is_enabled(Guard::Transfer)
            && claim
                .handover
                .as_ref()
                .is_some_and(|handover| handover.ready.is_some())
        {
            return None;
        }
        Some(Grant {
            token: claim.token,
            until: claim.lease_end(rules)?,
        })
    }

    /// Requests a newer token while the lease is running.
    ///
    /// A restarted voter knows no leases, and rejects the renewal of any token that it may have voted for before. Without
    /// a newer token, the restart of one voter after the other would end the lease.
    fn request_newer_token(&mut self, rules: &Rules, now: Time) {
        let Some(claim) = self
            .claim
            .as_ref()
            .filter(|claim| claim.is_held && claim.handover.is_none())
        else {
            return;
        };
        let token = claim.token;
        let (previous_grant, predecessor_checkpoint) = (
            claim.lease_end(rules).map(|until| Grant { token, until }),
            claim.latest_checkpoint(),
        );
        self.previous_grant = previous_grant;
        self.claim = Some(Claim {
            predecessor_checkpoint,
            ..Claim::new(self.highest_token.next(), rules, now)
        });
        self.next_send = now;
    }

    /// Delays the first poll according to the rank. Otherwise each of 300 routers that start at the same time would poll each
    /// lease at once.
    pub fn delay_first_poll(&mut self, rules: &Rules, now: Time, jitter: f64) {
        if self.rank > 0 && self.claim.is_none() && self.replies.iter().all(Option::is_none) {
            self.next_send = now
                + self.rank_delay(rules)
                + (self.poll_interval(rules) as f64 * jitter) as Micros;
        }
    }

    /// Returns whether the lease is suspended.
    pub fn is_suspended(&self, now: Time) -> bool {
        now < self.suspended_until
    }

    /// Returns the token to request now, with the checkpoint to report; [`Token::NONE`] stands for a poll. Starts a claim if
    /// one is due.
    pub fn next_request(&mut self, rules: &Rules, now: Time) -> (Token, Option<Checkpoint>) {
        if let Some(claim) = &mut self.claim {
            claim.last_sent = now;
            return (claim.token, claim.checkpoint.clone());
        }
        if self.claim_at.is_some_and(|at| at <= now) {
            let token = self.highest_token.next();
            self.claim_at = None;
            self.claim = Some(Claim::new(token, rules, now));
            return (token, None);
        }
        (Token::NONE, None)
    }

    /// Sets the time of the next request or poll, with a random `jitter` between 0 and 1.
    pub fn schedule_next_send(&mut self, rules: &Rules, now: Time, jitter: f64) {
        let spread = |duration: Micros| (duration as f64 * (0.85 + 0.15 * jitter)) as Micros;
        self.next_send = match &self.claim {
            Some(claim) if !claim.is_held => now + spread(rules.retry_interval()),
            Some(claim)
                if claim
                    .tally
                    .lease_start(rules.quorum())
                    .is_none_or(|start| start < claim.last_sent) =>
            {
                now + spread(2 * rules.retry_interval())
            }
            Some(_) => now + spread(rules.renew_interval()),
            None => now + spread(self.poll_interval(rules)),
        };
    }

    /// Returns the time between two polls at this rank. In a renewal interval, 100 routers together poll a lease about
    /// six times, and 300 routers about thirteen times.
    fn poll_interval(&self, rules: &Rules) -> Micros {
        rules
            .renew_interval()
            .saturating_mul((self.rank as u64 + 1).min(MAX_POLL_RENEWALS))
    }

    /// Returns how much later than the first-ranked candidate this router claims the lease.
    fn rank_delay(&self, rules: &Rules) -> Micros {
        rules
            .retry_interval()
            .saturating_mul((self.rank as u64).min(MAX_DELAYED_RANK))
    }

    /// Returns whether a request or poll is due now, or within `ahead` so that it may share a datagram with others.
    pub fn is_due(&self, now: Time, ahead: Micros) -> bool {
        if self.claim.as_ref().is_some_and(|claim| {
            claim
                .handover
                .as_ref()
                .is_some_and(|handover| handover.ready.is_some())
        }) {
            return false;
        }
        // Renewals are brought forward by at most half of that time, which is enough for them to share datagrams.
        let ahead = if self.claim.is_some() {
            ahead / 2
        } else {
            ahead
        };
        self.next_send <= now || (self.claim_at.is_none() && self.next_send <= now + ahead)
    }

    /// Handles a voter's answer.
    pub fn receive_answer(
        &mut self,
        rules: &Rules,
        now: Time,
        voter: usize,
        requested_at: Time,
        answer: Answer,
        jitter: f64,
    ) -> AnswerEffect {
        self.highest_token = self.highest_token.max(answer.highest);
        let reply = VoterReply {
            requested_at,
            received_at: now,
            highest: answer.highest,
            status: answer.status,
        };
        match self.replies.get_mut(voter) {
            Some(slot) if slot.is_none_or(|latest| latest.requested_at <= requested_at) => {
                *slot = Some(reply)
            }
            _ => {}
        }
        let quorum = rules.quorum();
        if let Some(claim) = &mut self.claim {
            if answer.status == LeaseStatus::Granted && answer.highest == claim.token {
                let effect = claim.record_vote(
                    rules,
                    now,
                    voter,
                    requested_at,
                    answer.checkpoint,
                    &mut self.next_send,
                    jitter,
                );
                if effect == AnswerEffect::Acquired {
                    (self.previous_grant, self.failed_claims) = (None, 0);
                }
                return effect;
            }
            let voter_restarted = answer.status == LeaseStatus::Free
                && answer.highest > claim.token
                && requested_at >= claim.started_at;
            if claim.is_held && voter_restarted {
                self.request_newer_token(rules, now);
                return AnswerEffect::None;
            }
            let rejections = self.replies.iter().flatten().filter(|reply| {
                reply.requested_at >= claim.started_at
                    && (reply.highest > claim.token
                        || !matches!(reply.status, LeaseStatus::Granted))
            });
            let is_rejected = rejections.count() + quorum > self.replies.len();
            return if is_rejected {
                AnswerEffect::Rejected
            } else {
                AnswerEffect::None
            };
        }
        self.evaluate_replies(rules, now, quorum, jitter);
        AnswerEffect::None
    }

    /// Decides by the voters' answers whether and when to claim a lease that this router does not hold.
    fn evaluate_replies(&mut self, rules: &Rules, now: Time, quorum: usize, jitter: f64) {
        let is_recent = |reply: &&VoterReply| reply.received_at + 2 * rules.retry_interval() >= now;
        let recent: Vec<VoterReply> = self
            .replies
            .iter()
            .flatten()
            .filter(is_recent)
            .copied()
            .collect();
        let count = |matches: &dyn Fn(&LeaseStatus) -> bool| {
            recent.iter().filter(|r| matches(&r.status)).count()
        };
        let end_of = |remaining_ms: u32, received_at: Time| {
            received_at.saturating_add(ms(u64::from(remaining_ms)))
        };
        if count(&|status| matches!(status, LeaseStatus::Suspended { .. })) >= quorum {
            let ends = recent.iter().filter_map(|reply| match reply.status {
                LeaseStatus::Suspended { remaining_ms } => {
                    Some(end_of(remaining_ms, reply.received_at))
                }
                _ => None,
            });
            self.suspended_until = ends.min().unwrap_or(now);
            (self.believed_holder, self.claim_at) = (None, None);
            self.next_send = self
                .next_send
                .max(self.suspended_until + self.rank_delay(rules));
            return;
        }
        if count(&|status| matches!(status, LeaseStatus::Free | LeaseStatus::Granted)) >= quorum {
            // A low-ranked candidate waits for a renewal interval, because better ranked ones may find the lease free only
            // with their next poll.
            let free_since = *self.free_since.get_or_insert(now);
            if self.rank as u64 > MAX_DELAYED_RANK && now < free_since + rules.renew_interval() {
                self.next_send = self
                    .next_send
                    .min(free_since + rules.renew_interval() + self.rank_delay(rules));
                return;
            }
            if self.claim_at.is_none() {
                let random_delay = (jitter * rules.retry_interval() as f64) as Micros;
                let wait = if self.failed_claims == 0 {
                    random_delay / 4
                } else {
                    random_delay << self.failed_claims.min(4)
                };
                let claim_at = now + self.rank_delay(rules) + wait;
                self.claim_at = Some(claim_at);
                self.next_send = self.next_send.min(claim_at);
                self.believed_holder = None;
            }
            return;
        }
        // Too many voters know of a running lease, or have not answered, for a majority to grant the token.
        (self.claim_at, self.free_since) = (None, None);
    }

    /// Returns the holder of the newest token that a voter has reported, that token, and the latest end of its lease.
    pub fn reported_holder(&self) -> Option<(crate::ballot::Holder, Token, Time)> {
        let newest = self
            .replies
            .iter()
            .flatten()
            .filter_map(|reply| match reply.status {
                LeaseStatus::Held {
                    holder,
                    remaining_ms,
                } => Some((
                    reply.highest,
                    holder,
                    reply
                        .received_at
                        .saturating_add(ms(u64::from(remaining_ms))),
                )),
                _ => None,
            });
        newest
            .max_by_key(|(token, _, until)| (*token, *until))
            .map(|(token, holder, until)| (holder, token, until))
    }

    /// Schedules a poll for the end of the lease, because its holder is no longer a member.
    pub fn poll_after_lease_end(&mut self, rules: &Rules, now: Time, jitter: f64) {
        let until = self
            .reported_holder()
            .map_or(now, |(_, _, until)| until.max(now));
        let random_delay = (jitter * rules.retry_interval() as f64 / 2.0) as Micros;
        self.next_send = self
            .next_send
            .min(until + self.rank_delay(rules) + random_delay);
    }

    /// Checks whether the claim has timed out or the lease has ended.
    ///
    /// Returns `Some` if it has: with a reason if the router held the lease, and with `None` if it only claimed it.
    pub fn check_expiry(&mut self, rules: &Rules, now: Time) -> Option<Option<LossReason>> {
        let claim = self.claim.as_ref()?;
        if claim.is_held {
            return claim
                .lease_end(rules)
                .is_none_or(|until| until <= now)
                .then_some(Some(LossReason::Expired));
        }
        if self.previous_grant.is_some_and(|grant| grant.until <= now) {
            self.previous_grant = None;
            return Some(Some(LossReason::Expired));
        }
        (claim.started_at + rules.claim_timeout() <= now).then_some(None)
    }

    /// Returns when [`LocalLease::check_expiry`] finds the next expiry.
    pub fn next_expiry(&self, rules: &Rules) -> Option<Time> {
        let claim = self.claim.as_ref()?;
        if claim.is_held {
            return claim.lease_end(rules);
        }
        let previous_end = self.previous_grant.map_or(Time::MAX, |grant| grant.until);
        Some((claim.started_at + rules.claim_timeout()).min(previous_end))
    }

    /// Gives up the claim and returns its token, which is never used again.
    pub fn drop_claim(&mut self, rules: &Rules, now: Time, jitter: f64) -> Option<Token> {
        let claim = self.claim.take()?;
        self.previous_grant = None;
        self.failed_claims = if claim.is_held {
            0
        } else {
            self.failed_claims.saturating_add(1)
        };
        self.claim_at = None;
        self.replies.iter_mut().for_each(|reply| *reply = None);
        let wait = (rules.retry_interval() as f64 * jitter) as Micros;
        self.next_send = now + (wait << self.failed_claims.min(4)) + self.rank_delay(rules);
        Some(claim.token)
    }

    /// Discards all votes after a stall. Returns the token of the lease if the router held it.
    pub fn reset_after_stall(&mut self, rules: &Rules, now: Time) -> Option<Token> {
        self.claim_at = None;
        self.next_send = now;
        let voters = self.replies.len();
        let claim = self.claim.as_mut()?;
        let held_token = claim
            .is_held
            .then_some(claim.token)
            .or(self.previous_grant.map(|grant| grant.token));
        // If the clock stopped during the stall, the lease may have ended in true time although the clock shows that it is
        // still running.
        if rules.is_enabled(Guard::Stalled) {
            self.previous_grant = None;
            let (predecessor_checkpoint, checkpoint) =
                (claim.predecessor_checkpoint.take(), claim.checkpoint.take());
            *claim = Claim {
                predecessor_checkpoint,
                checkpoint,
                ..Claim::new(claim.token, rules, now)
            };
            claim.tally = Tally::new(voters);
        }
        held_token
    }

    /// Prepares for a transfer from the current holder, under the given token.
    pub fn expect_transfer(
        &mut self,
        rules: &Rules,
        now: Time,
        token: Token,
        checkpoint: Option<Checkpoint>,
    ) {
        let claim = Claim {
            predecessor_checkpoint: checkpoint,
            ..Claim::new(token, rules, now)
        };
        self.claim = Some(claim);
        self.claim_at = None;
        // The votes follow from the transfer. This router sends a request only if they do not arrive in time.
        self.next_send = now + 2 * rules.retry_interval();
    }
}

impl Claim {
    fn new(token: Token, rules: &Rules, now: Time) -> Self {
        Claim {
            token,
            tally: Tally::new(rules.voters.members.len()),
            started_at: now,
            last_sent: now,
            is_held: false,
            predecessor_checkpoint: None,
            checkpoint: None,
            handover: None,
        }
    }

    /// Returns the end of the lease according to the votes; `None` without a majority.
    fn lease_end(&self, rules: &Rules) -> Option<Time> {
        Some(
            self.tally
                .lease_start(rules.quorum())?
                .saturating_add(rules.lease_at_holder()),
        )
    }

    /// Returns the latest checkpoint under this token or, if there is none, the previous holder's.
    pub fn latest_checkpoint(&self) -> Option<Checkpoint> {
        self.checkpoint
            .clone()
            .or_else(|| self.predecessor_checkpoint.clone())
    }

    /// Counts a vote, and schedules the next renewal once a majority has granted the latest request.
    #[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
    fn record_vote(
        &mut self,
        rules: &Rules,
        now: Time,
        voter: usize,
        requested_at: Time,
        checkpoint: Option<Checkpoint>,
        next_send: &mut Time,
        jitter: f64,
    ) -> AnswerEffect {
        // A request sent before a stall does not count after it.
        if requested_at < self.started_at && !self.is_held {
            return AnswerEffect::None;
        }
        // The lease counts from the time of the request. If it counted from the arrival of the votes, delayed votes would
        // grant a lease that has already ended at the voters.
        self.tally.record_vote(
            voter,
            if rules.is_enabled(Guard::CountFromRequest) {
                requested_at
            } else {
                now
            },
        );
        if checkpoint
            .as_ref()
            .map(|checkpoint| (checkpoint.token, checkpoint.count))
            > self
                .predecessor_checkpoint
                .as_ref()
                .map(|checkpoint| (checkpoint.token, checkpoint.count))
        {
            self.predecessor_checkpoint = checkpoint;
        }
        let Some(lease_start) = self.tally.lease_start(rules.quorum()) else {
            return AnswerEffect::None;
        };
        if lease_start >= self.last_sent && self.handover.is_none() {
            let spread = 0.85 + 0.15 * jitter;
            *next_send = self.last_sent + (rules.renew_interval() as f64 * spread) as Micros;
        }
        if self.is_held || lease_start.saturating_add(rules.lease_at_holder()) <= now {
            return AnswerEffect::None;
        }
        self.is_held = true;
        AnswerEffect::Acquired
    }
}
