//! How long a watch on the node list waits, when its silence is an answer that will not come, and when to call again.
//!
//! Danger: a watch that falls silent hides every change until it is begun anew. 279 of 300 routers that waited 25 s for such
//! a one learned of nine changes when all was over; nearly half of the requests had been refused by then. Bounds of a wait,
//! of patience and of a pause, each for itself, did not keep the clock: failures in a row added up to 0.7 to 1 s more.
//!
//! So there is one clock, which starts with each call: the next one is made at the latest a *turn* later, whatever becomes of
//! this one. Connecting, the wait, patience and the pause share the turn.

use crate::Backoff;
use plovercove::{Micros, Time};

/// A change counts as told so long after the service had it and could be reached.
const CLOCK: Micros = 6_000_000;
/// What the clock leaves for the next call's connection and answer, on a machine that is late with its turns.
const ANSWER: Micros = 1_000_000;
/// No turn is shorter, whatever the grace: seven calls a second cost a router nothing that shows.
const LEAST: Micros = 140_000;
/// An agent that answers a watch at once, with nothing new, is called again so much later: half of the 200 ms within which
/// a call goes on with the watch. Danger: the loop would spin on such a one.
const FOLLOWS: Micros = 100_000;
/// An answer may take so many times what the last ones were late.
const SLACK: Micros = 2;
/// Waits are shorter by up to this part, each router's by its own draw.
const JITTER: Micros = 6;

/// How a router comes by its lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// It asks for them at one service of fixed capacity that all routers share.
    Polled,
    /// They are pushed to an agent on its own machine, where calls are free; what the agent has counts as told at once.
    Pushed {
        /// How long after that a router may still send to a node that drains.
        grace: Micros,
    },
}

impl ListSource {
    /// From one call to the next, at the longest: the clock, less an answer; or seven eighths of the grace.
    fn turn(self) -> Micros {
        match self {
            ListSource::Polled => CLOCK - ANSWER,
            ListSource::Pushed { grace } => (grace - grace / 8).clamp(LEAST, CLOCK - ANSWER),
        }
    }

    /// What a turn keeps free for the pause after a call that fell silent, and the first and the longest pause after other
    /// failures. Where calls are free, an eighth of the grace, always.
    fn pauses(self) -> (Micros, Micros, Micros) {
        let turn = self.turn();
        match self {
            // Danger: calls that all fail at once are made again over half a second at first, and then ever more rarely.
            ListSource::Polled => (turn / 10, turn / 5, turn),
            ListSource::Pushed { .. } => (turn / 7, turn / 7, turn / 7),
        }
    }

    /// Over how long the first calls after a move are spread. What the new service has counts as told 4 s after it: with
    /// half a second a lost call and its pause fit in, too. An agent of one's own is called at once.
    fn spread(self) -> Micros {
        match self {
            ListSource::Polled => self.turn() / 10,
            ListSource::Pushed { .. } => 0,
        }
    }
}

/// The waits of one router's watch.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    turn: Micros,
    /// Over how long calls are spread that all routers make for one cause.
    spread: Micros,
    /// What a turn keeps free for a pause.
    rest: Micros,
    /// How late answers are, of late.
    late: Micros,
    /// When this turn began.
    began: Time,
    connecting: bool,
    /// When the call that is out was made, and what it waits for; 0 for one that asks for the whole list.
    called: Time,
    waits: Micros,
    /// The last answer was spoilt.
    spoilt: bool,
    /// The next call is the first after a move.
    is_first_after_move: bool,
    backoff: Backoff,
}

impl WatchSchedule {
    /// Before the first call; routers need different seeds.
    pub fn new(lists: ListSource, seed: u64) -> Self {
        let (rest, first, longest) = lists.pauses();
        WatchSchedule {
            turn: lists.turn(),
            spread: lists.spread(),
            rest,
            late: 0,
            began: 0,
            connecting: false,
            called: 0,
            waits: 0,
            spoilt: false,
            is_first_after_move: false,
            backoff: Backoff::new(first, longest, seed),
        }
    }

    /// A connection is begun for the next call. Returns until when it is waited for.
    pub fn begin_connection(&mut self, now: Time) -> Time {
        (self.began, self.connecting) = (now, true);
        // Of the 5 s of lists that are asked for, enough for one lost SYN, which is sent again after 1 s.
        now + self.turn / 4
    }

    /// A call is made: for news, or for the whole list. Returns the wait to ask for and until when an answer is waited for.
    pub fn begin_call(&mut self, now: Time, news: bool) -> (Micros, Time) {
        if !std::mem::take(&mut self.connecting) {
            self.began = now;
        }
        let (end, patience) = (self.began + self.out(), self.patience());
        let whole = self.out() - patience;
        // News comes to all watches at one moment. Danger: their next calls would end together, too, over and over.
        let drawn = whole - self.backoff.below(whole / JITTER);
        // Connecting has had its part; what it took is no part of the draw, so that equal seeds give equal waits.
        // What the service has at a move counts as told sooner than a whole wait lasts, and the call may be lost.
        let is_first_after_move = std::mem::take(&mut self.is_first_after_move);
        let wait = if news && !is_first_after_move {
            drawn.min(end.saturating_sub(now).saturating_sub(patience))
        } else {
            0
        };
        (self.called, self.waits) = (now, wait);
        (wait, end.min(now + wait + patience))
    }

    /// How long a call may be out.
    fn out(&self) -> Micros {
        self.turn - self.rest
    }

    /// How much longer than its wait an answer is waited for: so that a late turn of a busy machine is no silence, and no
    /// longer than leaves a wait, since calls without one would follow each other at once.
    fn patience(&self) -> Micros {
        (SLACK * self.late).clamp(self.out() / 3, self.out() / 4 * 3)
    }

    /// The call that is out was answered, with news or without. Returns when to make the next.
    pub fn record_answer(&mut self, now: Time, news: bool) -> Time {
        let took = now.saturating_sub(self.called);
        // News that comes before the wait is over says nothing of how late the service is.
        if !news || took >= self.waits {
            self.late = (self.late + took.saturating_sub(self.waits)) / 2;
        }
        self.spoilt = false;
        self.backoff.record_success();
        if news || took >= self.waits / 2 {
            now
        } else {
            now + FOLLOWS.min(self.rest)
        }
    }

    /// No answer came in time. Returns when to call again.
    pub fn record_silence(&mut self, now: Time) -> Time {
        // Danger: a service that answers later than a call is waited for would never be heard. Its wait gets shorter.
        self.late = self.patience();
        self.record_failure(now)
    }

    /// The answer was spoilt, or none to be followed. Returns when to call again: at once, since news may stand in it.
    pub fn record_invalid_answer(&mut self, now: Time) -> Time {
        // Danger: a service that has nothing else to say would be called without end.
        if std::mem::replace(&mut self.spoilt, true) {
            self.record_failure(now)
        } else {
            now
        }
    }

    /// The connection did not come up, or broke, or the call was refused. Returns when to call again.
    pub fn record_failure(&mut self, now: Time) -> Time {
        self.connecting = false;
        self.backoff
            .record_failure_within(now, (self.began + self.turn).saturating_sub(now))
    }

    /// The next call goes to another service, or to one that is said to be well: what failed before counts no more. Returns
    /// when to make it: soon, and within the turn that has begun.
    pub fn record_service_change(&mut self, now: Time) -> Time {
        (self.late, self.connecting, self.spoilt) = (0, false, false);
        self.is_first_after_move = true;
        self.backoff.record_success();
        // Danger: all routers are told in one instant, and would call a service that they share in it.
        now + self
            .backoff
            .below(self.spread)
            .min((self.began + self.turn).saturating_sub(now))
    }
}
