//! What a receiver knows of one topic's numbers: holes are seen, fetched, and told where they cannot be filled.

use crate::wire::{Mark, Told};
use crate::{Guard, Rules, Topic};
use plovercove::{Micros, Time};
use plovercove_fencing::{LeaseName, Token};
use std::collections::BTreeMap;
use std::sync::Arc;

/// News that came before the ones they follow, at the most.
const AHEAD: usize = 64;

/// What comes out, in order.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Comes {
    Item {
        duty: LeaseName,
        token: Token,
        number: u64,
        made: Time,
        body: Arc<[u8]>,
    },
    /// Up to this number it was missed.
    Missed {
        duty: LeaseName,
        token: Token,
        through: u64,
    },
}

#[derive(Debug, Clone, Default)]
pub(crate) struct Track {
    /// The token and number of the last that came out.
    pub last: Option<(Token, u64)>,
    /// The last that came out before its receiver left the topic: nothing up to there comes out again.
    heard_before: Option<(Token, u64)>,
    duty: Option<LeaseName>,
    ahead: BTreeMap<u64, (Time, Arc<[u8]>)>,
    /// The newest number that is known to exist.
    known: u64,
    /// Whether the newest says all: then nothing is skipped, the newest is asked for until it comes.
    collapses: bool,
    /// Since when there is a hole, and when it is asked for next.
    hole: Option<(Time, Time)>,
    out: Vec<Comes>,
}

impl Track {
    /// One of a topic that was left when this had come out.
    pub fn after(heard_before: Option<(Token, u64)>) -> Self {
        Track {
            heard_before,
            ..Track::default()
        }
    }

    /// The last that ever came out, also before the topic was left.
    pub fn last_heard(&self) -> Option<(Token, u64)> {
        self.last.max(self.heard_before)
    }

    /// What came out since.
    pub fn take(&mut self) -> Vec<Comes> {
        std::mem::take(&mut self.out)
    }

    fn number(&self) -> u64 {
        self.last.map_or(0, |(_, number)| number)
    }

    /// Begins with another token's numbers, or with the first.
    fn turn_to(&mut self, rules: &Rules, topic: &Topic, duty: &LeaseName, token: Token, at: u64) {
        let at = match self.heard_before {
            Some((heard, number)) if heard == token => at.max(number),
            _ => at,
        };
        self.ahead.clear();
        self.hole = None;
        self.known = at;
        self.duty = Some(duty.clone());
        self.collapses = topic.collapses();
        self.last = Some((token, at));
        // Nobody can say how far the other numbers went, so what led here is to be asked for elsewhere.
        if !topic.collapses() && rules.is_enabled(Guard::Gap) {
            self.out.push(Comes::Missed {
                duty: duty.clone(),
                token,
                through: at,
            });
        }
    }

    /// Whether this token's numbers count: not an older one's.
    fn follows(&self, rules: &Rules, token: Token) -> bool {
        self.last_heard()
            .is_none_or(|(last, _)| token >= last || !rules.is_enabled(Guard::Fence))
    }

    pub fn item(&mut self, rules: &Rules, now: Time, told: &Told, late: Micros) {
        if !self.follows(rules, told.token) || told.number == 0 {
            return;
        }
        if self.last.is_none_or(|(last, _)| last != told.token) {
            let at = if told.topic.collapses() {
                0
            } else {
                told.number - 1
            };
            self.turn_to(rules, &told.topic, &told.duty, told.token, at);
        }
        self.known = self.known.max(told.number);
        let made = now.saturating_sub(told.age.saturating_add(late));
        if told.number <= self.number() {
            return;
        }
        let whole = told.topic.collapses() || !rules.is_enabled(Guard::Gap);
        if whole || told.number == self.number() + 1 {
            self.emit(told.number, made, told.body.clone());
            self.drain();
        } else {
            self.ahead.insert(told.number, (made, told.body.clone()));
            if self.ahead.len() > AHEAD {
                self.give_up();
            }
        }
        self.look(now);
    }

    /// Up to this number nothing is to be had.
    pub fn missed(&mut self, rules: &Rules, now: Time, mark: &Mark) {
        if !self.follows(rules, mark.token) {
            return;
        }
        if self.last.is_none_or(|(last, _)| last != mark.token) {
            self.turn_to(rules, &mark.topic, &mark.duty, mark.token, mark.number);
        } else if mark.number > self.number() {
            self.skip(mark.number);
        }
        self.known = self.known.max(mark.number);
        self.drain();
        self.look(now);
    }

    /// The sender is at this number.
    pub fn head(&mut self, rules: &Rules, now: Time, mark: &Mark) {
        if !self.follows(rules, mark.token) || !rules.is_enabled(Guard::Gap) {
            return;
        }
        if self.last.is_none_or(|(last, _)| last != mark.token) {
            let at = if mark.topic.collapses() {
                0
            } else {
                mark.number
            };
            self.turn_to(rules, &mark.topic, &mark.duty, mark.token, at);
        }
        self.known = self.known.max(mark.number);
        self.look(now);
    }

    /// What to fetch now, if there is a hole: the token, and after which number. Asked again after `again`.
    pub fn fetch(&mut self, rules: &Rules, now: Time, again: Micros) -> Option<(Token, u64)> {
        let (since, next) = self.hole?;
        if now >= since + crate::ms(rules.gap_ms) {
            self.give_up();
            self.hole = self.hole.map(|_| (now, next));
            self.look(now);
        }
        let (_, next) = self.hole?;
        if now < next {
            return None;
        }
        self.hole = self.hole.map(|(since, _)| (since, now + again));
        self.last
    }

    /// When it has to be looked at next.
    pub fn next_turn(&self) -> Time {
        self.hole.map_or(Time::MAX, |(_, next)| next)
    }

    fn look(&mut self, now: Time) {
        let hole = self.known > self.number();
        if !hole {
            self.hole = None;
        } else if self.hole.is_none() {
            self.hole = Some((now, now));
        }
    }

    fn emit(&mut self, number: u64, made: Time, body: Arc<[u8]>) {
        let (Some((token, _)), Some(duty)) = (self.last, self.duty.clone()) else {
            return;
        };
        self.last = Some((token, number));
        self.out.push(Comes::Item {
            duty,
            token,
            number,
            made,
            body,
        });
    }

    fn skip(&mut self, through: u64) {
        let (Some((token, _)), Some(duty)) = (self.last, self.duty.clone()) else {
            return;
        };
        self.last = Some((token, through));
        self.ahead.retain(|number, _| *number > through);
        self.out.push(Comes::Missed {
            duty,
            token,
            through,
        });
    }

    fn drain(&mut self) {
        let before = self.number();
        while let Some((made, body)) = self.ahead.remove(&(self.number() + 1)) {
            self.emit(self.number() + 1, made, body);
        }
        if self.number() > before {
            self.hole = None;
        }
    }

    /// The hole will not be filled in time: says so, and goes on after it. Positions are asked for all the same, since
    /// the newest is all that counts.
    fn give_up(&mut self) {
        if self.collapses {
            if let (Some((token, _)), Some(duty)) = (self.last, self.duty.clone()) {
                self.out.push(Comes::Missed {
                    duty,
                    token,
                    through: self.known,
                });
            }
            return;
        }
        let through = self
            .ahead
            .keys()
            .next()
            .map_or(self.known, |first| first - 1);
        self.skip(through);
        self.drain();
    }
}
