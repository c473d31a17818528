//! The schedule of a watch on the endpoint list: how long each call asks the service to wait for a change, when a call
//! counts as silent, and when the next call is made.
//!
//! A watch whose call is never answered hides every change until the next call. Of 300 routers that waited 25 s for
//! such a call, 279 learned of nine changes only when all was over; by then nearly half of the requests had been
//! rejected. Separate bounds on the wait, the answer margin and the pause did not keep the limit of
//! [`MAX_UPDATE_DELAY`]: consecutive failures added 0.7 to 1 s to it.
//!
//! So one limit covers them all. A *cycle* starts with each call, or with opening the connection for it, and the next
//! call is made at most one cycle later, whatever becomes of this one. Connecting, the wait, the answer margin and the
//! pause share the cycle.

use crate::Backoff;
use plovercove::{Micros, Time};

/// Time within which a router must know a change that the service has, if the service can be reached.
const MAX_UPDATE_DELAY: Micros = 6_000_000;
/// Part of this time that is reserved for the connection and the answer of the next call, on a machine whose event loop
/// is late.
const NEXT_CALL_RESERVE: Micros = 1_000_000;
/// Minimum length of a cycle, however short the drain grace is: seven calls a second cost a router nothing noticeable.
const MIN_CYCLE: Micros = 140_000;
/// Pause after an answer without a change that came at once instead of after the wait. It prevents a busy loop, and is
/// half of the 200 ms within which the next call still continues the watch.
const EARLY_ANSWER_PAUSE: Micros = 100_000;
/// An answer may come later than its wait by this multiple of the mean lateness of the last answers.
const LATENESS_FACTOR: Micros = 2;
/// Divisor for the largest part of a wait that a random draw takes away, so that the calls of routers do not end
/// together.
const JITTER_DIVISOR: Micros = 6;

/// How a router gets its endpoint lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListSource {
    /// It polls one service of fixed capacity, which all routers share.
    Polled,
    /// Lists are pushed to an agent on the router's own machine, where calls cost nothing. The router is expected to
    /// know at once what the agent knows.
    Pushed {
        /// Time after a change within which a router may still send to a draining node.
        drain_grace: Micros,
    },
}

impl ListSource {
    /// Returns the longest time from one call to the next: the maximum update delay less the reserve for the next call,
    /// or seven eighths of the drain grace but at least [`MIN_CYCLE`], whichever is shorter.
    fn cycle(self) -> Micros {
        match self {
            ListSource::Polled => MAX_UPDATE_DELAY - NEXT_CALL_RESERVE,
            ListSource::Pushed { drain_grace } => (drain_grace - drain_grace / 8)
                .clamp(MIN_CYCLE, MAX_UPDATE_DELAY - NEXT_CALL_RESERVE),
        }
    }

    /// Returns the part of a cycle that is reserved for the pause after a silent call, and the first and the longest
    /// pause after other failures. All three are an eighth of the drain grace if calls cost nothing.
    fn pauses(self) -> (Micros, Micros, Micros) {
        let cycle = self.cycle();
        match self {
            // The routers' calls may all fail at once. The retries are spread over half a second at first and become
            // rarer with each failure.
            ListSource::Polled => (cycle / 10, cycle / 5, cycle),
            ListSource::Pushed { .. } => (cycle / 7, cycle / 7, cycle / 7),
        }
    }

    /// Returns the time over which routers spread their first calls after a change of service. A router has 4 s to know
    /// what the new service knows, and half a second leaves room for one lost call and its pause. An agent on the
    /// router's own machine is called at once.
    fn spread(self) -> Micros {
        match self {
            ListSource::Polled => self.cycle() / 10,
            ListSource::Pushed { .. } => 0,
        }
    }
}

/// The schedule of one router's watch on the endpoint list.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    cycle: Micros,
    /// Time over which calls are spread that all routers make for the same cause.
    spread: Micros,
    /// Part of a cycle that is reserved for a pause.
    pause_reserve: Micros,
    /// Running mean of the time by which answers came later than their wait.
    lateness: Micros,
    cycle_started_at: Time,
    is_connecting: bool,
    called_at: Time,
    /// The wait that the call in flight asked for; 0 for a call that asks for the complete list.
    requested_wait: Micros,
    last_answer_invalid: bool,
    /// Whether the next call is the first one after a change of service.
    is_first_after_change: bool,
    backoff: Backoff,
}

impl WatchSchedule {
    /// Creates the schedule of a watch that has made no call yet. Each router needs a different seed.
    pub fn new(source: ListSource, seed: u64) -> Self {
        let (pause_reserve, first_pause, max_pause) = source.pauses();
        WatchSchedule {
            cycle: source.cycle(),
            spread: source.spread(),
            pause_reserve,
            lateness: 0,
            cycle_started_at: 0,
            is_connecting: false,
            called_at: 0,
            requested_wait: 0,
            last_answer_invalid: false,
            is_first_after_change: false,
            backoff: Backoff::new(first_pause, max_pause, seed),
        }
    }

    /// Records that a connection for the next call is being opened. Returns the time at which it is given up.
    pub fn begin_connection(&mut self, now: Time) -> Time {
        (self.cycle_started_at, self.is_connecting) = (now, true);
        // For a polled source a quarter of the cycle is 1.25 s, enough for one lost SYN, which is sent again after 1 s.
        now + self.cycle / 4
    }

    /// Records that a call is made, for changes or for the complete list. Returns the wait to ask for, and the time at
    /// which the call counts as silent.
    pub fn begin_call(&mut self, now: Time, asks_for_changes: bool) -> (Micros, Time) {
        if !std::mem::take(&mut self.is_connecting) {
            self.cycle_started_at = now;
        }
        let (end, answer_margin) = (
            self.cycle_started_at + self.max_call_duration(),
            self.answer_margin(),
        );
        let full_wait = self.max_call_duration() - answer_margin;
        // A change reaches all watches at the same time. Without a random draw their next calls would end together,
        // over and over.
        let drawn_wait = full_wait - self.backoff.random_below(full_wait / JITTER_DIVISOR);
        // The time spent on connecting shortens the wait but is no part of the draw, so that equal seeds give equal
        // waits. After a change of service the first call asks for no wait: the router has to know the service's list
        // before a full wait is over, and the call may be lost.
        let is_first_after_change = std::mem::take(&mut self.is_first_after_change);
        let wait = if asks_for_changes && !is_first_after_change {
            drawn_wait.min(end.saturating_sub(now).saturating_sub(answer_margin))
        } else {
            0
        };
        (self.called_at, self.requested_wait) = (now, wait);
        (wait, end.min(now + wait + answer_margin))
    }

    /// Returns the longest time that a call may be in flight.
    fn max_call_duration(&self) -> Micros {
        self.cycle - self.pause_reserve
    }

    /// Returns how much longer than its wait a call may take to be answered. It is long enough that a late turn of a
    /// busy machine does not look like silence. It leaves time for a wait, since calls without one would follow each
    /// other at once.
    fn answer_margin(&self) -> Micros {
        (LATENESS_FACTOR * self.lateness).clamp(
            self.max_call_duration() / 3,
            self.max_call_duration() / 4 * 3,
        )
    }

    /// Records that the call in flight was answered, with a change or without. Returns the time of the next call.
    pub fn record_answer(&mut self, now: Time, has_change: bool) -> Time {
        let elapsed = now.saturating_sub(self.called_at);
        // A change that comes before the wait is over does not show how late the service is.
        if !has_change || elapsed >= self.requested_wait {
            self.lateness = (self.lateness + elapsed.saturating_sub(self.requested_wait)) / 2;
        }
        self.last_answer_invalid = false;
        self.backoff.record_success();
        if has_change || elapsed >= self.requested_wait / 2 {
            now
        } else {
            now + EARLY_ANSWER_PAUSE.min(self.pause_reserve)
        }
    }

    /// Records that no answer came in time. Returns the time of the next call.
    pub fn record_silence(&mut self, now: Time) -> Time {
        // The next call waits less and leaves more time for its answer. Otherwise the answers of a service that is
        // always later than the calls allow would never be received.
        self.lateness = self.answer_margin();
        self.record_failure(now)
    }

    /// Records that the answer was invalid. Returns the time of the next call, which is at once after a first invalid
    /// answer, since the answer may have contained a change.
    pub fn record_invalid_answer(&mut self, now: Time) -> Time {
        // A service that has only invalid answers must not be called without a pause.
        if std::mem::replace(&mut self.last_answer_invalid, true) {
            self.record_failure(now)
        } else {
            now
        }
    }

    /// Records that the connection could not be opened or broke, or that the call was rejected. Returns the time of the
    /// next call.
    pub fn record_failure(&mut self, now: Time) -> Time {
        self.is_connecting = false;
        self.backoff.record_failure_within(
            now,
            (self.cycle_started_at + self.cycle).saturating_sub(now),
        )
    }

    /// Records that the next call goes to another service, or to a service that is reported to work again: earlier
    /// failures no longer count. Returns the time of the next call, which is soon and within the current cycle.
    pub fn record_service_change(&mut self, now: Time) -> Time {
        (self.lateness, self.is_connecting, self.last_answer_invalid) = (0, false, false);
        self.is_first_after_change = true;
        self.backoff.record_success();
        // All routers learn of the change at the same time and would call a shared service at once.
        now + self
            .backoff
            .random_below(self.spread)
            .min((self.cycle_started_at + self.cycle).saturating_sub(now))
    }
}
