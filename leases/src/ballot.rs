//! The two halves of the agreement, each so small that a model checker can try all of it: what one decider knows of one
//! duty, and what an owner counts of the votes for it.

use crate::rules::{Guard, Rules};
use plovercove::{Micros, Time};
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Who holds a duty: one life of one router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its life: a restart has a higher one.
    pub boot: u64,
}

/// What a decider says to a candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Said {
    /// It votes, or the lease is renewed.
    Voted,
    /// It has voted for this token or a newer one; nobody's lease runs.
    Older,
    /// Another's lease runs.
    Held,
}

/// What one decider knows of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ballot {
    /// The highest token that it may have voted for.
    pub highest: Token,
    /// Whose it is.
    pub holder: Option<Holder>,
    /// The lease runs until then, on the decider's clock (us).
    pub until: Time,
}

impl Ballot {
    /// Nobody has it; tokens up to this may have been voted for.
    pub fn new(highest: Token) -> Self {
        Ballot {
            highest,
            holder: None,
            until: 0,
        }
    }

    /// Whether somebody's lease runs.
    pub fn runs(&self, now: Time) -> bool {
        self.holder.is_some() && now < self.until
    }

    /// Whether this life holds it.
    fn is(&self, rules: &Rules, who: &Holder) -> bool {
        // Against: a process that is started anew while the old one is merely stopped takes the old one's lease for its own,
        // and the old one wakes up.
        self.holder
            .is_some_and(|h| h == *who || (!rules.on(Guard::Life) && h.address == who.address))
    }

    /// A life asks for a token, for so long on the decider's clock (us).
    pub fn ask(
        &mut self,
        rules: &Rules,
        now: Time,
        who: &Holder,
        token: Token,
        hold: Micros,
    ) -> Said {
        let own = self.is(rules, who);
        if token == self.highest && own && self.runs(now) {
            self.holder = Some(*who);
            self.until = self.until.max(now.saturating_add(hold));
            return Said::Voted;
        }
        // Against: a second owner while the first acts.
        if self.runs(now) && !own && rules.on(Guard::Held) {
            return Said::Held;
        }
        // Against: two owners with one token, which no fence could tell apart; asks that come twice or late.
        let newer = if rules.on(Guard::Once) {
            token > self.highest
        } else {
            token >= self.highest
        };
        if !newer || token == Token::NONE {
            return Said::Older;
        }
        (self.highest, self.holder, self.until) = (token, Some(*who), now.saturating_add(hold));
        Said::Voted
    }

    /// A life gives a token back that it will not use again. Whether that changed anything.
    pub fn release(&mut self, who: &Holder, token: Token) -> bool {
        let held = token == self.highest && self.holder == Some(*who);
        if held {
            self.holder = None;
        }
        held
    }

    /// A holder hands its duty to another, who gets the next token. Whether that is so now.
    pub fn pass(
        &mut self,
        now: Time,
        from: &Holder,
        token: Token,
        to: &Holder,
        hold: Micros,
    ) -> bool {
        if token == self.highest && self.holder == Some(*from) {
            (self.highest, self.holder) = (token.next(), Some(*to));
            self.until = now.saturating_add(hold);
            return true;
        }
        // It came twice.
        token.next() == self.highest && self.holder == Some(*to)
    }
}

/// An owner's count of the votes for one token.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Tally {
    /// For each decider, when the latest ask was sent that it said yes to (us); none where it has not.
    asked: Vec<Option<Time>>,
}

impl Tally {
    /// No votes of so many deciders.
    pub fn new(deciders: usize) -> Self {
        Tally {
            asked: vec![None; deciders],
        }
    }

    /// A decider said yes to the ask that was sent then.
    pub fn voted(&mut self, decider: usize, asked: Time) {
        if let Some(latest) = self.asked.get_mut(decider) {
            *latest = (*latest).max(Some(asked));
        }
    }

    /// How many have voted.
    pub fn votes(&self) -> usize {
        self.asked.iter().flatten().count()
    }

    /// Whether this decider said yes to an ask as new as this.
    pub fn has(&self, decider: usize, since: Time) -> bool {
        self.asked
            .get(decider)
            .is_some_and(|at| at.is_some_and(|at| at >= since))
    }

    /// From when the lease counts: a majority has said yes to asks sent then or later. An old answer that comes late, or
    /// twice, changes nothing.
    pub fn since(&self, quorum: usize) -> Option<Time> {
        let mut asked: Vec<Time> = self.asked.iter().flatten().copied().collect();
        asked.sort_unstable_by(|a, b| b.cmp(a));
        asked.get(quorum.checked_sub(1)?).copied()
    }
}
