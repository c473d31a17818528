//! The two parts of the agreement: a voter's [`Ballot`] for one lease, and a candidate's [`Tally`] of the votes for it.
//! Both are small enough for a model checker to explore exhaustively.

use crate::rules::{Guard, Rules};
use plovercove::{Micros, Time};
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The holder of a lease: one incarnation of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// Its incarnation, which rises with each restart.
    pub incarnation: u64,
}

/// A voter's answer to a request for a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum VoteOutcome {
    /// The voter votes for the token, or renews the lease.
    Granted,
    /// No lease is running, but the voter has already voted for this token or a newer one.
    StaleToken,
    /// The lease of another holder is running.
    HeldByOther,
}

/// What a voter knows of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ballot {
    /// The highest token that the voter may have voted for.
    pub highest: Token,
    /// The holder of the lease.
    pub holder: Option<Holder>,
    /// End of the lease on the voter's clock (us).
    pub until: Time,
}

impl Ballot {
    /// Creates the ballot of a lease without a holder. The voter may have voted for tokens up to `highest`.
    pub fn new(highest: Token) -> Self {
        Ballot {
            highest,
            holder: None,
            until: 0,
        }
    }

    /// Returns whether the lease has a holder and has not ended.
    pub fn is_running(&self, now: Time) -> bool {
        self.holder.is_some() && now < self.until
    }

    /// Returns whether this incarnation is the holder.
    fn is_held_by(&self, rules: &Rules, candidate: &Holder) -> bool {
        // A restarted router may run beside its previous process, which is merely stopped. If it renewed the lease of that
        // process, both would act when the stopped one resumes. Hence the incarnation must match, not only the address.
        self.holder.is_some_and(|h| {
            h == *candidate
                || (!rules.is_enabled(Guard::Incarnation) && h.address == candidate.address)
        })
    }

    /// Votes on a candidate's request for a token, for a lease of `duration` on the voter's clock (us).
    pub fn request_vote(
        &mut self,
        rules: &Rules,
        now: Time,
        candidate: &Holder,
        token: Token,
        duration: Micros,
    ) -> VoteOutcome {
        let is_own = self.is_held_by(rules, candidate);
        if token == self.highest && is_own && self.is_running(now) {
            self.holder = Some(*candidate);
            self.until = self.until.max(now.saturating_add(duration));
            return VoteOutcome::Granted;
        }
        // Without this check there would be a second holder while the first still acts.
        if self.is_running(now) && !is_own && rules.is_enabled(Guard::RunningLease) {
            return VoteOutcome::HeldByOther;
        }
        // A token is granted once. Otherwise a duplicate or delayed request could give two holders the same token, which
        // no fence can tell apart.
        let is_newer = if rules.is_enabled(Guard::VoteOnce) {
            token > self.highest
        } else {
            token >= self.highest
        };
        if !is_newer || token == Token::NONE {
            return VoteOutcome::StaleToken;
        }
        (self.highest, self.holder, self.until) =
            (token, Some(*candidate), now.saturating_add(duration));
        VoteOutcome::Granted
    }

    /// Releases a token that its holder will not use again. Returns whether that ended the lease.
    pub fn release(&mut self, holder: &Holder, token: Token) -> bool {
        let is_held = token == self.highest && self.holder == Some(*holder);
        if is_held {
            self.holder = None;
        }
        is_held
    }

    /// Transfers the lease from its holder to a successor, under the next token. Returns whether the successor holds it now.
    pub fn transfer(
        &mut self,
        now: Time,
        from: &Holder,
        token: Token,
        to: &Holder,
        duration: Micros,
    ) -> bool {
        if token == self.highest && self.holder == Some(*from) {
            (self.highest, self.holder) = (token.next(), Some(*to));
            self.until = now.saturating_add(duration);
            return true;
        }
        // A duplicate of an earlier transfer changes nothing.
        token.next() == self.highest && self.holder == Some(*to)
    }
}

/// A candidate's count of the votes for one token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tally {
    /// For each voter, when the latest request that it granted was sent (us); `None` if it has granted none.
    granted: Vec<Option<Time>>,
}

impl Tally {
    /// Creates a tally without votes, for this number of voters.
    pub fn new(voters: usize) -> Self {
        Tally {
            granted: vec![None; voters],
        }
    }

    /// Records that a voter granted the request that was sent at `requested_at`.
    pub fn record_vote(&mut self, voter: usize, requested_at: Time) {
        if let Some(latest) = self.granted.get_mut(voter) {
            *latest = (*latest).max(Some(requested_at));
        }
    }

    /// Returns the number of voters that have voted for the token.
    pub fn count_votes(&self) -> usize {
        self.granted.iter().flatten().count()
    }

    /// Returns whether a voter granted a request that was sent at `since` or later.
    pub fn has_vote_since(&self, voter: usize, since: Time) -> bool {
        self.granted
            .get(voter)
            .is_some_and(|sent| sent.is_some_and(|sent| sent >= since))
    }

    /// Returns the start of the lease: the latest time for which a quorum has granted requests sent then or later.
    ///
    /// An old vote that arrives late or twice does not change it.
    pub fn lease_start(&self, quorum: usize) -> Option<Time> {
        let mut sent: Vec<Time> = self.granted.iter().flatten().copied().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(quorum.checked_sub(1)?).copied()
    }
}
