//! One request of a client, its attempts, and the rules on it that no decision may break.

use crate::{FinalAnswer, Key};
use plovercove::{AttemptEnd, Class, DedupScope, Idempotency, NodeId, Time};

/// One attempt at a node.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) node: NodeId,
    pub(crate) sent_at: Time,
    /// It is waited for until then.
    pub(crate) deadline: Time,
    /// Its last byte has been written: from then on it may have run.
    pub(crate) is_written: bool,
    /// How it ended; none while it is in flight.
    pub(crate) end: Option<AttemptEnd>,
}

impl Attempt {
    pub(crate) fn is_in_flight(&self) -> bool {
        self.end.is_none()
    }

    /// It is in flight, or ended so that it may have had an effect.
    fn may_take_effect(&self) -> bool {
        self.end.is_none_or(AttemptEnd::may_have_executed)
    }
}

/// A request that is owed an answer, or has attempts in flight.
#[derive(Debug)]
pub(crate) struct Request {
    /// Its client, as the front named it.
    pub(crate) origin: Key,
    pub(crate) class: usize,
    /// Its final answer is still owed.
    pub(crate) is_open: bool,
    /// Some attempt ended so that it may have had an effect.
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

    /// An attempt of it ended.
    pub(crate) fn record_end(&mut self, number: u32, end: AttemptEnd) {
        self.may_have_executed |= end.may_have_executed();
        if let Some(attempt) = self.attempts.get_mut(number as usize) {
            attempt.end = Some(end);
        }
    }

    /// Nothing is owed and no attempt is in flight.
    pub(crate) fn is_done(&self) -> bool {
        !self.is_open && !self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Whether one of its attempts may run beside the others that may have run by now. Their window is counted from the
    /// decision on the first of them: its bytes left then, or later.
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

    /// The last guard of the rule on rejections: what may have run, and must not run twice, is never called harmless.
    pub(crate) fn guard_answer(&self, class: &Class, answer: FinalAnswer) -> FinalAnswer {
        let may_repeat = match class.idempotency {
            Idempotency::Idempotent => true,
            // A client's retry may reach nodes beyond those that drop it.
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
