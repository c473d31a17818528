//! What a router does for one duty: look, ask, own, hand over.

use crate::ballot::Tally;
use crate::ms;
use crate::news::Why;
use crate::place::Member;
use crate::rules::{Guard, Rules};
use crate::wire::{Answer, Mark, Word};
use plovercove::{Micros, Time};
use plovercove_fencing::Token;

/// Who is ranked lower looks less often, but never less often than each so many renewals.
const SELDOM: u64 = 30;
/// Who is ranked lower than this asks no later, so that the last of 300 routers still asks within the bound.
const STEPS: u64 = 8;

/// What a new owner begins from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Begin {
    /// Under which token it was finished.
    pub token: Token,
    /// What [`crate::Duties::finished`] was told at last.
    pub mark: Vec<u8>,
}

/// What one decider said of a duty at last.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// The ask that it answers.
    asked: Time,
    /// When it came.
    came: Time,
    highest: Token,
    word: Word,
}

/// A token that is asked for or held.
#[derive(Clone, Debug)]
pub(crate) struct Hold {
    pub token: Token,
    tally: Tally,
    /// Since when it is asked for without a majority.
    since: Time,
    /// When the last ask was sent.
    sent: Time,
    /// It is owned now.
    pub won: bool,
    /// What the predecessor had finished.
    pub begins: Option<Mark>,
    /// What was finished under this token.
    pub mark: Option<Mark>,
    /// It is being handed over.
    pub passing: Option<Passing>,
}

/// A hand-over.
#[derive(Clone, Debug)]
pub(crate) struct Passing {
    pub to: Member,
    /// How many have been offered it.
    pub tries: usize,
    /// When it was offered to this one.
    pub since: Time,
    /// When the last message of it was sent.
    pub sent: Time,
    /// The successor's clock and lease, once it is ready: from then on this router acts no more.
    pub ready: Option<(u64, u32)>,
}

/// One duty as this router sees it.
#[derive(Clone, Debug)]
pub(crate) struct Chore {
    pub zone: Option<String>,
    pub rank: usize,
    pub hold: Option<Hold>,
    /// When something must be sent next.
    pub due: Time,
    /// From when it may be asked for: a majority says that it is free.
    claim: Option<Time>,
    /// Since when each look found it free.
    free: Option<Time>,
    told: Vec<Option<Told>>,
    /// The highest token that is known of.
    known: Token,
    /// Who is believed to own it.
    pub owner: Option<(Member, Token)>,
    /// It is set aside until then.
    aside: Time,
    /// Claims that failed in a row.
    failed: u32,
    /// The token that it still owns, and until when, while it asks for a newer one.
    older: Option<(Token, Time)>,
}

/// What became of an answer.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Became {
    /// Nothing that matters.
    Nothing,
    /// It is owned now.
    Won,
    /// It is over: a majority refuses.
    Refused,
}

impl Chore {
    pub fn new(zone: Option<String>, deciders: usize, due: Time) -> Self {
        Chore {
            zone,
            rank: 0,
            hold: None,
            due,
            claim: None,
            free: None,
            told: vec![None; deciders],
            known: Token::NONE,
            owner: None,
            aside: 0,
            failed: 0,
            older: None,
        }
    }

    /// The token under which this router may act and until when, by the votes it has.
    pub fn owns(&self, rules: &Rules) -> Option<(Token, Time)> {
        let hold = self.hold.as_ref()?;
        if !hold.won {
            return self.older;
        }
        // Against: two that act, since the successor may have its votes while this is still under way.
        if rules.on(Guard::Pass) && hold.passing.as_ref().is_some_and(|p| p.ready.is_some()) {
            return None;
        }
        Some((hold.token, hold.until(rules)?))
    }

    /// A decider that started anew knows no lease, and takes renewals of no token that it may have voted for before it did.
    /// A newer token is asked for while the lease runs: else a restart of one decider after the other ends it.
    fn renumber(&mut self, rules: &Rules, now: Time) {
        let Some(hold) = self.hold.as_ref().filter(|h| h.won && h.passing.is_none()) else {
            return;
        };
        let (older, begins) = (
            hold.until(rules).map(|until| (hold.token, until)),
            hold.work(),
        );
        self.older = older;
        self.hold = Some(Hold {
            begins,
            ..Hold::new(self.known.next(), rules, now)
        });
        self.due = now;
    }

    /// Ranked for the first time, before it has looked: who is ranked lower looks later. Else each of 300 routers that
    /// start at once would look at each duty.
    pub fn ranked(&mut self, rules: &Rules, now: Time, jitter: f64) {
        if self.rank > 0 && self.hold.is_none() && self.told.iter().all(Option::is_none) {
            self.due = now + self.later(rules) + (self.seldom(rules) as f64 * jitter) as Micros;
        }
    }

    /// Whether it is set aside.
    pub fn is_aside(&self, now: Time) -> bool {
        now < self.aside
    }

    /// The token to ask for now: none to look. Begins a claim where it is time for one.
    pub fn item(&mut self, rules: &Rules, now: Time) -> (Token, Option<Mark>) {
        if let Some(hold) = &mut self.hold {
            hold.sent = now;
            return (hold.token, hold.mark.clone());
        }
        if self.claim.is_some_and(|at| at <= now) {
            let token = self.known.next();
            self.claim = None;
            self.hold = Some(Hold::new(token, rules, now));
            return (token, None);
        }
        (Token::NONE, None)
    }

    /// When it is to be sent again, drawn with the share of jitter.
    pub fn plan(&mut self, rules: &Rules, now: Time, jitter: f64) {
        let spread = |span: Micros| (span as f64 * (0.85 + 0.15 * jitter)) as Micros;
        self.due = match &self.hold {
            Some(hold) if !hold.won => now + spread(rules.ask()),
            Some(hold)
                if hold
                    .tally
                    .since(rules.quorum())
                    .is_none_or(|s| s < hold.sent) =>
            {
                now + spread(2 * rules.ask())
            }
            Some(_) => now + spread(rules.renew()),
            None => now + spread(self.seldom(rules)),
        };
    }

    /// Between two looks of who is ranked like this: all of them together look about six times in a renewal's time.
    fn seldom(&self, rules: &Rules) -> Micros {
        rules
            .renew()
            .saturating_mul((self.rank as u64 + 1).min(SELDOM))
    }

    /// How much later than the first in rank it asks.
    fn later(&self, rules: &Rules) -> Micros {
        rules.ask().saturating_mul((self.rank as u64).min(STEPS))
    }

    /// Whether an item must leave now, or may leave with others.
    pub fn wants(&self, now: Time, ahead: Micros) -> bool {
        if self
            .hold
            .as_ref()
            .is_some_and(|h| h.passing.as_ref().is_some_and(|p| p.ready.is_some()))
        {
            return false;
        }
        // What is held is renewed with others where it is due within half of that, so that they stay together.
        let ahead = if self.hold.is_some() {
            ahead / 2
        } else {
            ahead
        };
        self.due <= now || (self.claim.is_none() && self.due <= now + ahead)
    }

    /// A decider has answered.
    pub fn answer(
        &mut self,
        rules: &Rules,
        now: Time,
        decider: usize,
        asked: Time,
        answer: Answer,
        jitter: f64,
    ) -> Became {
        self.known = self.known.max(answer.highest);
        let told = Told {
            asked,
            came: now,
            highest: answer.highest,
            word: answer.word,
        };
        match self.told.get_mut(decider) {
            Some(slot) if slot.is_none_or(|t| t.asked <= asked) => *slot = Some(told),
            _ => {}
        }
        let quorum = rules.quorum();
        if let Some(hold) = &mut self.hold {
            if answer.word == Word::Voted && answer.highest == hold.token {
                let became = hold.voted(
                    rules,
                    now,
                    decider,
                    asked,
                    answer.mark,
                    &mut self.due,
                    jitter,
                );
                if became == Became::Won {
                    (self.older, self.failed) = (None, 0);
                }
                return became;
            }
            let anew =
                answer.word == Word::Free && answer.highest > hold.token && asked >= hold.since;
            if hold.won && anew {
                self.renumber(rules, now);
                return Became::Nothing;
            }
            let no = self.told.iter().flatten().filter(|t| {
                t.asked >= hold.since && (t.highest > hold.token || !matches!(t.word, Word::Voted))
            });
            let refused = no.count() + quorum > self.told.len();
            return if refused {
                Became::Refused
            } else {
                Became::Nothing
            };
        }
        self.look(rules, now, quorum, jitter);
        Became::Nothing
    }

    /// What follows from what deciders say, for who does not hold it.
    fn look(&mut self, rules: &Rules, now: Time, quorum: usize, jitter: f64) {
        let fresh = |t: &&Told| t.came + 2 * rules.ask() >= now;
        let said: Vec<Told> = self.told.iter().flatten().filter(fresh).copied().collect();
        let count = |is: &dyn Fn(&Word) -> bool| said.iter().filter(|t| is(&t.word)).count();
        let left = |ms_: u32, came: Time| came.saturating_add(ms(u64::from(ms_)));
        if count(&|w| matches!(w, Word::Aside { .. })) >= quorum {
            let ends = said.iter().filter_map(|t| match t.word {
                Word::Aside { left_ms } => Some(left(left_ms, t.came)),
                _ => None,
            });
            self.aside = ends.min().unwrap_or(now);
            (self.owner, self.claim) = (None, None);
            self.due = self.due.max(self.aside + self.later(rules));
            return;
        }
        if count(&|w| matches!(w, Word::Free | Word::Voted)) >= quorum {
            // Who is ranked low leaves it to the others until its next look: they may look only with their next ping.
            let free = *self.free.get_or_insert(now);
            if self.rank as u64 > STEPS && now < free + rules.renew() {
                self.due = self.due.min(free + rules.renew() + self.later(rules));
                return;
            }
            if self.claim.is_none() {
                let chance = (jitter * rules.ask() as f64) as Micros;
                let wait = if self.failed == 0 {
                    chance / 4
                } else {
                    chance << self.failed.min(4)
                };
                let at = now + self.later(rules) + wait;
                self.claim = Some(at);
                self.due = self.due.min(at);
                self.owner = None;
            }
            return;
        }
        // Somebody's lease runs at those who would have to vote.
        (self.claim, self.free) = (None, None);
    }

    /// Who holds it by most of the deciders that say so, and until when their leases run at the latest.
    pub fn held(&self) -> Option<(crate::ballot::Holder, Token, Time)> {
        let newest = self.told.iter().flatten().filter_map(|t| match t.word {
            Word::Held { by, left_ms } => {
                Some((t.highest, by, t.came.saturating_add(ms(u64::from(left_ms)))))
            }
            _ => None,
        });
        newest
            .max_by_key(|(token, _, until)| (*token, *until))
            .map(|(token, by, until)| (by, token, until))
    }

    /// Who owned it is not seen any more: look when its lease is over.
    pub fn vacant(&mut self, rules: &Rules, now: Time, jitter: f64) {
        let until = self.held().map_or(now, |(_, _, until)| until.max(now));
        let chance = (jitter * rules.ask() as f64 / 2.0) as Micros;
        self.due = self.due.min(until + self.later(rules) + chance);
    }

    /// A claim that nobody answers, or a lease that is over. Why it is lost, where it was owned.
    pub fn expire(&mut self, rules: &Rules, now: Time) -> Option<Option<Why>> {
        let hold = self.hold.as_ref()?;
        if hold.won {
            return hold
                .until(rules)
                .is_none_or(|until| until <= now)
                .then_some(Some(Why::Lapsed));
        }
        if self.older.is_some_and(|(_, until)| until <= now) {
            self.older = None;
            return Some(Some(Why::Lapsed));
        }
        (hold.since + rules.patience() <= now).then_some(None)
    }

    /// When [`Chore::expire`] finds something next.
    pub fn ends(&self, rules: &Rules) -> Option<Time> {
        let hold = self.hold.as_ref()?;
        if hold.won {
            return hold.until(rules);
        }
        let older = self.older.map_or(Time::MAX, |(_, until)| until);
        Some((hold.since + rules.patience()).min(older))
    }

    /// The token is given up, and never used again.
    pub fn drop_hold(&mut self, rules: &Rules, now: Time, jitter: f64) -> Option<Token> {
        let hold = self.hold.take()?;
        self.older = None;
        self.failed = if hold.won {
            0
        } else {
            self.failed.saturating_add(1)
        };
        self.claim = None;
        self.told.iter_mut().for_each(|t| *t = None);
        let wait = (rules.ask() as f64 * jitter) as Micros;
        self.due = now + (wait << self.failed.min(4)) + self.later(rules);
        Some(hold.token)
    }

    /// The router stood still: nothing that was voted for counts.
    pub fn stood(&mut self, rules: &Rules, now: Time) -> Option<Token> {
        self.claim = None;
        self.due = now;
        let deciders = self.told.len();
        let hold = self.hold.as_mut()?;
        let was = hold
            .won
            .then_some(hold.token)
            .or(self.older.map(|(token, _)| token));
        // Against: an owner whose clock stood still with it takes its lease for running.
        if rules.on(Guard::Stood) {
            self.older = None;
            let (begins, mark) = (hold.begins.take(), hold.mark.take());
            *hold = Hold {
                begins,
                mark,
                ..Hold::new(hold.token, rules, now)
            };
            hold.tally = Tally::new(deciders);
        }
        was
    }

    /// Another hands it over to this router: the next token will be passed to it, or has been.
    pub fn expect(&mut self, rules: &Rules, now: Time, token: Token, mark: Option<Mark>) {
        let hold = Hold {
            begins: mark,
            ..Hold::new(token, rules, now)
        };
        self.hold = Some(hold);
        self.claim = None;
        // Its own ask is sent only where the votes do not come by themselves.
        self.due = now + 2 * rules.ask();
    }
}

impl Hold {
    fn new(token: Token, rules: &Rules, now: Time) -> Self {
        Hold {
            token,
            tally: Tally::new(rules.deciders.members.len()),
            since: now,
            sent: now,
            won: false,
            begins: None,
            mark: None,
            passing: None,
        }
    }

    /// When the lease ends, by the votes there are.
    fn until(&self, rules: &Rules) -> Option<Time> {
        Some(
            self.tally
                .since(rules.quorum())?
                .saturating_add(rules.lease_at_owner()),
        )
    }

    /// What is finished, by this owner or else by the one before.
    pub fn work(&self) -> Option<Mark> {
        self.mark.clone().or_else(|| self.begins.clone())
    }

    #[expect(clippy::too_many_arguments, reason = "the parts of one answer")]
    fn voted(
        &mut self,
        rules: &Rules,
        now: Time,
        decider: usize,
        asked: Time,
        mark: Option<Mark>,
        due: &mut Time,
        jitter: f64,
    ) -> Became {
        // Asks sent before a stop do not count after it.
        if asked < self.since && !self.won {
            return Became::Nothing;
        }
        // Against: votes that were long under way make a lease that is over at the deciders.
        self.tally
            .voted(decider, if rules.on(Guard::Asked) { asked } else { now });
        if mark.as_ref().map(|m| (m.token, m.count))
            > self.begins.as_ref().map(|m| (m.token, m.count))
        {
            self.begins = mark;
        }
        let Some(since) = self.tally.since(rules.quorum()) else {
            return Became::Nothing;
        };
        if since >= self.sent && self.passing.is_none() {
            let spread = 0.85 + 0.15 * jitter;
            *due = self.sent + (rules.renew() as f64 * spread) as Micros;
        }
        if self.won || since.saturating_add(rules.lease_at_owner()) <= now {
            return Became::Nothing;
        }
        self.won = true;
        Became::Won
    }
}
