//! What a router does for one duty: look, ask, own, hand over.

use crate::ballot::Tally;
use crate::event::LossReason;
use crate::ms;
use crate::placement::Member;
use crate::rules::{Guard, Rules};
use crate::wire::{Answer, Checkpoint, LeaseStatus};
use plovercove::{Micros, Time};
use plovercove_fencing::Token;

/// Who is ranked lower looks less often, but never less often than each so many renewals.
const MAX_POLL_RENEWALS: u64 = 30;
/// Who is ranked lower than this asks no later, so that the last of 300 routers still asks within the bound.
const MAX_DELAYED_RANK: u64 = 8;

/// What a new owner begins from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// Under which token it was finished.
    pub token: Token,
    /// What [`crate::Duties::finished`] was told at last.
    pub checkpoint: Vec<u8>,
}

/// What one decider said of a duty at last.
#[derive(Clone, Copy, Debug)]
struct VoterReply {
    /// The ask that it answers.
    requested_at: Time,
    /// When it came.
    received_at: Time,
    highest: Token,
    status: LeaseStatus,
}

/// A token that is asked for or held.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub token: Token,
    tally: Tally,
    /// Since when it is asked for without a majority.
    since: Time,
    /// When the last ask was sent.
    sent: Time,
    /// It is owned now.
    pub is_held: bool,
    /// What the predecessor had finished.
    pub predecessor_checkpoint: Option<Checkpoint>,
    /// What was finished under this token.
    pub checkpoint: Option<Checkpoint>,
    /// It is being handed over.
    pub handover: Option<Handover>,
}

/// A hand-over.
#[derive(Clone, Debug)]
pub(crate) struct Handover {
    pub to: Member,
    /// How many have been offered it.
    pub attempts: usize,
    /// When it was offered to this one.
    pub since: Time,
    /// When the last message of it was sent.
    pub sent: Time,
    /// The successor's clock and lease, once it is ready: from then on this router acts no more.
    pub ready: Option<(u64, u32)>,
}

/// One duty as this router sees it.
#[derive(Clone, Debug)]
pub(crate) struct LocalLease {
    pub zone: Option<String>,
    pub rank: usize,
    pub claim: Option<Claim>,
    /// When something must be sent next.
    pub next_send: Time,
    /// From when it may be asked for: a majority says that it is free.
    claim_at: Option<Time>,
    /// Since when each look found it free.
    free_since: Option<Time>,
    replies: Vec<Option<VoterReply>>,
    /// The highest token that is known of.
    highest_token: Token,
    /// Who is believed to own it.
    pub believed_holder: Option<(Member, Token)>,
    /// It is set aside until then.
    suspended_until: Time,
    /// Claims that failed in a row.
    failed_claims: u32,
    /// The token that it still owns, and until when, while it asks for a newer one.
    previous_grant: Option<(Token, Time)>,
}

/// What became of an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum AnswerEffect {
    /// Nothing that matters.
    None,
    /// It is owned now.
    Acquired,
    /// It is over: a majority refuses.
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

    /// The token under which this router may act and until when, by the votes it has.
    pub fn current_grant(&self, rules: &Rules) -> Option<(Token, Time)> {
        let claim = self.claim.as_ref()?;
        if !claim.is_held {
            return self.previous_grant;
        }
        // Against: two that act, since the successor may have its votes while this is still under way.
        if rules.is_enabled(Guard::Transfer)
            && claim.handover.as_ref().is_some_and(|p| p.ready.is_some())
        {
            return None;
        }
        Some((claim.token, claim.lease_end(rules)?))
    }

    /// A decider that started anew knows no lease, and takes renewals of no token that it may have voted for before it did.
    /// A newer token is asked for while the lease runs: else a restart of one decider after the other ends it.
    fn request_newer_token(&mut self, rules: &Rules, now: Time) {
        let Some(claim) = self
            .claim
            .as_ref()
            .filter(|h| h.is_held && h.handover.is_none())
        else {
            return;
        };
        let (previous_grant, predecessor_checkpoint) = (
            claim.lease_end(rules).map(|until| (claim.token, until)),
            claim.latest_checkpoint(),
        );
        self.previous_grant = previous_grant;
        self.claim = Some(Claim {
            predecessor_checkpoint,
            ..Claim::new(self.highest_token.next(), rules, now)
        });
        self.next_send = now;
    }

    /// Ranked for the first time, before it has looked: who is ranked lower looks later. Else each of 300 routers that
    /// start at once would look at each duty.
    pub fn delay_first_poll(&mut self, rules: &Rules, now: Time, jitter: f64) {
        if self.rank > 0 && self.claim.is_none() && self.replies.iter().all(Option::is_none) {
            self.next_send = now
                + self.rank_delay(rules)
                + (self.poll_interval(rules) as f64 * jitter) as Micros;
        }
    }

    /// Whether it is set aside.
    pub fn is_suspended(&self, now: Time) -> bool {
        now < self.suspended_until
    }

    /// The token to ask for now: none to look. Begins a claim where it is time for one.
    pub fn next_request(&mut self, rules: &Rules, now: Time) -> (Token, Option<Checkpoint>) {
        if let Some(claim) = &mut self.claim {
            claim.sent = now;
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

    /// When it is to be sent again, drawn with the share of jitter.
    pub fn schedule_next_send(&mut self, rules: &Rules, now: Time, jitter: f64) {
        let spread = |duration: Micros| (duration as f64 * (0.85 + 0.15 * jitter)) as Micros;
        self.next_send = match &self.claim {
            Some(claim) if !claim.is_held => now + spread(rules.retry_interval()),
            Some(claim)
                if claim
                    .tally
                    .lease_start(rules.quorum())
                    .is_none_or(|s| s < claim.sent) =>
            {
                now + spread(2 * rules.retry_interval())
            }
            Some(_) => now + spread(rules.renew_interval()),
            None => now + spread(self.poll_interval(rules)),
        };
    }

    /// Between two looks of who is ranked like this: all of them together look about six times in a renewal's time.
    fn poll_interval(&self, rules: &Rules) -> Micros {
        rules
            .renew_interval()
            .saturating_mul((self.rank as u64 + 1).min(MAX_POLL_RENEWALS))
    }

    /// How much later than the first in rank it asks.
    fn rank_delay(&self, rules: &Rules) -> Micros {
        rules
            .retry_interval()
            .saturating_mul((self.rank as u64).min(MAX_DELAYED_RANK))
    }

    /// Whether an item must leave now, or may leave with others.
    pub fn is_due(&self, now: Time, ahead: Micros) -> bool {
        if self
            .claim
            .as_ref()
            .is_some_and(|h| h.handover.as_ref().is_some_and(|p| p.ready.is_some()))
        {
            return false;
        }
        // What is held is renewed with others where it is due within half of that, so that they stay together.
        let ahead = if self.claim.is_some() {
            ahead / 2
        } else {
            ahead
        };
        self.next_send <= now || (self.claim_at.is_none() && self.next_send <= now + ahead)
    }

    /// A decider has answered.
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
        let replies = VoterReply {
            requested_at,
            received_at: now,
            highest: answer.highest,
            status: answer.status,
        };
        match self.replies.get_mut(voter) {
            Some(slot) if slot.is_none_or(|t| t.requested_at <= requested_at) => {
                *slot = Some(replies)
            }
            _ => {}
        }
        let quorum = rules.quorum();
        if let Some(claim) = &mut self.claim {
            if answer.status == LeaseStatus::Granted && answer.highest == claim.token {
                let became = claim.record_vote(
                    rules,
                    now,
                    voter,
                    requested_at,
                    answer.checkpoint,
                    &mut self.next_send,
                    jitter,
                );
                if became == AnswerEffect::Acquired {
                    (self.previous_grant, self.failed_claims) = (None, 0);
                }
                return became;
            }
            let anew = answer.status == LeaseStatus::Free
                && answer.highest > claim.token
                && requested_at >= claim.since;
            if claim.is_held && anew {
                self.request_newer_token(rules, now);
                return AnswerEffect::None;
            }
            let no = self.replies.iter().flatten().filter(|t| {
                t.requested_at >= claim.since
                    && (t.highest > claim.token || !matches!(t.status, LeaseStatus::Granted))
            });
            let refused = no.count() + quorum > self.replies.len();
            return if refused {
                AnswerEffect::Rejected
            } else {
                AnswerEffect::None
            };
        }
        self.evaluate_replies(rules, now, quorum, jitter);
        AnswerEffect::None
    }

    /// What follows from what deciders say, for who does not hold it.
    fn evaluate_replies(&mut self, rules: &Rules, now: Time, quorum: usize, jitter: f64) {
        let fresh = |t: &&VoterReply| t.received_at + 2 * rules.retry_interval() >= now;
        let said: Vec<VoterReply> = self
            .replies
            .iter()
            .flatten()
            .filter(fresh)
            .copied()
            .collect();
        let count =
            |is: &dyn Fn(&LeaseStatus) -> bool| said.iter().filter(|t| is(&t.status)).count();
        let left = |ms_: u32, received_at: Time| received_at.saturating_add(ms(u64::from(ms_)));
        if count(&|w| matches!(w, LeaseStatus::Suspended { .. })) >= quorum {
            let ends = said.iter().filter_map(|t| match t.status {
                LeaseStatus::Suspended { remaining_ms } => Some(left(remaining_ms, t.received_at)),
                _ => None,
            });
            self.suspended_until = ends.min().unwrap_or(now);
            (self.believed_holder, self.claim_at) = (None, None);
            self.next_send = self
                .next_send
                .max(self.suspended_until + self.rank_delay(rules));
            return;
        }
        if count(&|w| matches!(w, LeaseStatus::Free | LeaseStatus::Granted)) >= quorum {
            // Who is ranked low leaves it to the others until its next look: they may look only with their next ping.
            let free_since = *self.free_since.get_or_insert(now);
            if self.rank as u64 > MAX_DELAYED_RANK && now < free_since + rules.renew_interval() {
                self.next_send = self
                    .next_send
                    .min(free_since + rules.renew_interval() + self.rank_delay(rules));
                return;
            }
            if self.claim_at.is_none() {
                let chance = (jitter * rules.retry_interval() as f64) as Micros;
                let wait = if self.failed_claims == 0 {
                    chance / 4
                } else {
                    chance << self.failed_claims.min(4)
                };
                let at = now + self.rank_delay(rules) + wait;
                self.claim_at = Some(at);
                self.next_send = self.next_send.min(at);
                self.believed_holder = None;
            }
            return;
        }
        // Somebody's lease runs at those who would have to vote.
        (self.claim_at, self.free_since) = (None, None);
    }

    /// Who holds it by most of the deciders that say so, and until when their leases run at the latest.
    pub fn reported_holder(&self) -> Option<(crate::ballot::Holder, Token, Time)> {
        let newest = self
            .replies
            .iter()
            .flatten()
            .filter_map(|t| match t.status {
                LeaseStatus::Held { by, remaining_ms } => Some((
                    t.highest,
                    by,
                    t.received_at.saturating_add(ms(u64::from(remaining_ms))),
                )),
                _ => None,
            });
        newest
            .max_by_key(|(token, _, until)| (*token, *until))
            .map(|(token, by, until)| (by, token, until))
    }

    /// Who owned it is not seen any more: look when its lease is over.
    pub fn poll_after_lease_end(&mut self, rules: &Rules, now: Time, jitter: f64) {
        let until = self
            .reported_holder()
            .map_or(now, |(_, _, until)| until.max(now));
        let chance = (jitter * rules.retry_interval() as f64 / 2.0) as Micros;
        self.next_send = self.next_send.min(until + self.rank_delay(rules) + chance);
    }

    /// A claim that nobody answers, or a lease that is over. Why it is lost, where it was owned.
    pub fn check_expiry(&mut self, rules: &Rules, now: Time) -> Option<Option<LossReason>> {
        let claim = self.claim.as_ref()?;
        if claim.is_held {
            return claim
                .lease_end(rules)
                .is_none_or(|until| until <= now)
                .then_some(Some(LossReason::Expired));
        }
        if self.previous_grant.is_some_and(|(_, until)| until <= now) {
            self.previous_grant = None;
            return Some(Some(LossReason::Expired));
        }
        (claim.since + rules.claim_timeout() <= now).then_some(None)
    }

    /// When [`Chore::expire`] finds something next.
    pub fn next_expiry(&self, rules: &Rules) -> Option<Time> {
        let claim = self.claim.as_ref()?;
        if claim.is_held {
            return claim.lease_end(rules);
        }
        let previous_grant = self.previous_grant.map_or(Time::MAX, |(_, until)| until);
        Some((claim.since + rules.claim_timeout()).min(previous_grant))
    }

    /// The token is given up, and never used again.
    pub fn drop_claim(&mut self, rules: &Rules, now: Time, jitter: f64) -> Option<Token> {
        let claim = self.claim.take()?;
        self.previous_grant = None;
        self.failed_claims = if claim.is_held {
            0
        } else {
            self.failed_claims.saturating_add(1)
        };
        self.claim_at = None;
        self.replies.iter_mut().for_each(|t| *t = None);
        let wait = (rules.retry_interval() as f64 * jitter) as Micros;
        self.next_send = now + (wait << self.failed_claims.min(4)) + self.rank_delay(rules);
        Some(claim.token)
    }

    /// The router stood still: nothing that was voted for counts.
    pub fn reset_after_stall(&mut self, rules: &Rules, now: Time) -> Option<Token> {
        self.claim_at = None;
        self.next_send = now;
        let voters = self.replies.len();
        let claim = self.claim.as_mut()?;
        let was = claim
            .is_held
            .then_some(claim.token)
            .or(self.previous_grant.map(|(token, _)| token));
        // Against: an owner whose clock stood still with it takes its lease for running.
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
        was
    }

    /// Another hands it over to this router: the next token will be passed to it, or has been.
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
        // Its own ask is sent only where the votes do not come by themselves.
        self.next_send = now + 2 * rules.retry_interval();
    }
}

impl Claim {
    fn new(token: Token, rules: &Rules, now: Time) -> Self {
        Claim {
            token,
            tally: Tally::new(rules.voters.members.len()),
            since: now,
            sent: now,
            is_held: false,
            predecessor_checkpoint: None,
            checkpoint: None,
            handover: None,
        }
    }

    /// When the lease ends, by the votes there are.
    fn lease_end(&self, rules: &Rules) -> Option<Time> {
        Some(
            self.tally
                .lease_start(rules.quorum())?
                .saturating_add(rules.lease_at_holder()),
        )
    }

    /// What is finished, by this owner or else by the one before.
    pub fn latest_checkpoint(&self) -> Option<Checkpoint> {
        self.checkpoint
            .clone()
            .or_else(|| self.predecessor_checkpoint.clone())
    }

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
        // Asks sent before a stop do not count after it.
        if requested_at < self.since && !self.is_held {
            return AnswerEffect::None;
        }
        // Against: votes that were long under way make a lease that is over at the deciders.
        self.tally.record_vote(
            voter,
            if rules.is_enabled(Guard::CountFromRequest) {
                requested_at
            } else {
                now
            },
        );
        if checkpoint.as_ref().map(|m| (m.token, m.count))
            > self
                .predecessor_checkpoint
                .as_ref()
                .map(|m| (m.token, m.count))
        {
            self.predecessor_checkpoint = checkpoint;
        }
        let Some(since) = self.tally.lease_start(rules.quorum()) else {
            return AnswerEffect::None;
        };
        if since >= self.sent && self.handover.is_none() {
            let spread = 0.85 + 0.15 * jitter;
            *next_send = self.sent + (rules.renew_interval() as f64 * spread) as Micros;
        }
        if self.is_held || since.saturating_add(rules.lease_at_holder()) <= now {
            return AnswerEffect::None;
        }
        self.is_held = true;
        AnswerEffect::Acquired
    }
}
