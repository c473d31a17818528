//! One request of a client, its attempts, and the rules that no decision may break.

use crate::{FinalAnswer, Key};
use plovercove::{AttemptEnd, Class, DedupScope, Idempotency, NodeId, Time};

/// One attempt at a node.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) node: NodeId,
    pub(crate) sent_at: Time,
    /// Time at which it times out.
    pub(crate) deadline: Time,
    /// Whether its last byte has been written: from then on it may have been executed.
    pub(crate) is_written: bool,
    /// How it ended; `None` while it is in flight.
    pub(crate) end: Option<AttemptEnd>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.end.is_none()
    }

    /// Returns whether it is in flight, or ended in a way that it may have been executed.
    fn may_take_effect(&self) -> bool {
        self.end.is_none_or(AttemptEnd::may_have_executed)
    }
}

/// A request that has no final answer yet, or has attempts in flight.
#[derive(Debug)]
pub(crate) struct Request {
    /// The client's key, as the client-facing part of the router gave it.
    pub(crate) origin: Key,
    pub(crate) class: usize,
    /// Whether it still has to get a final answer.
    pub(crate) is_open: bool,
    /// Whether an attempt ended in a way that it may have been executed.
    may_have_executed: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Request {
    pub(crate) fn new(origin: Key, class: usize) -> Self {
        Request {
            origin,
            class,
            is_open: true,
            may_have_executed: false,
            attempts: Vec::new(),
        }
    }

    /// Records the end of one of its attempts.
    pub(crate) fn record_end(&mut self, number: u32, end: AttemptEnd) {
        self.may_have_executed |= end.may_have_executed();
        if let Some(attempt) = self.attempts.get_mut(number as usize) {
            attempt.end = Some(end);
        }
    }

    /// Returns whether it is closed and has no attempt in flight.
    pub(crate) fn is_done(&self) -> bool {
        !self.is_open && !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns whether one of its attempts may still be sent, given the other attempts that may have been executed.
    ///
    /// The deduplication window counts from the decision on the first of them, since its bytes were sent then or later.
    pub(crate) fn may_run(&self, class: &Class, number: u32, now: Time) -> bool {
        let others = (0u32..)
            .zip(&self.attempts)
            .filter(|(other, _)| *other != number);
        let others = others.filter(|(_, attempt)| attempt.may_take_effect());
        let Some(first_sent_at) = others.map(|(_, attempt)| attempt.sent_at).min() else {
            return true;
        };
        match class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated => now < first_sent_at + class.dedup_window,
            Idempotency::AtMostOnce => false,
        }
    }

    /// Replaces a rejection by a failure if the request may have been executed and must not run twice, since a
    /// rejection promises that a retry is harmless.
    pub(crate) fn guard_answer(&self, class: &Class, answer: FinalAnswer) -> FinalAnswer {
        let may_repeat = match class.idempotency {
            Idempotency::Idempotent => true,
            // A client's retry may reach nodes beyond those that discard repeats.
            Idempotency::Deduplicated => class.dedup_scope == DedupScope::All,
            Idempotency::AtMostOnce => false,
        };
        let is_written = |a: &Attempt| a.is_in_flight() && a.is_written;
        let may_have_run = self.may_have_executed || self.attempts.iter().any(is_written);
        if may_have_run && !may_repeat {
            FinalAnswer::Failed
        } else {
            answer
        }
    }
}
