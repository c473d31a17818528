//! The way back of a zone, and the penalty on one that flaps.
//!
//! A zone that was lost gets a small share of its requests at first. The share grows with answers in time, never on the
//! clock alone, never faster than it may double, and falls back when answers slow. The penalty (RFC 2439: a figure of
//! merit that each flap raises and that halves in a fixed time) slows the doubling, and above a bound leaves the zone
//! with trials only until it has faded to another.

use crate::rules::{FlapRules, RampRules, ms};
use plovercove::{Micros, Time};

/// The penalty on one zone.
#[derive(Clone, Debug, Default)]
pub struct Flap {
    penalty: f64,
    at: Time,
    suppressed: bool,
}

impl Flap {
    /// What is left of it.
    pub fn penalty(&self, now: Time, rules: &FlapRules) -> f64 {
        let halves = now.saturating_sub(self.at) as f64 / ms(rules.half_life_ms) as f64;
        self.penalty * (-halves).exp2()
    }

    /// The zone was lost once more.
    pub fn lost(&mut self, now: Time, rules: &FlapRules) {
        self.penalty = (self.penalty(now, rules) + rules.each).min(rules.most);
        self.at = now;
        self.suppressed |= self.penalty >= rules.suppress;
    }

    /// Whether it gets trials only.
    pub fn suppressed(&mut self, now: Time, rules: &FlapRules) -> bool {
        self.suppressed &= self.penalty(now, rules) >= rules.reuse;
        self.suppressed
    }
}

/// The share of its requests that a zone gets.
#[derive(Clone, Debug)]
pub struct Ramp {
    share: f64,
    /// Until then it does not double again, and before then it does not fall again.
    step_at: Time,
    fell_at: Time,
    /// Answers since the last step, in time and not.
    good: u32,
    slow: u32,
}

/// So many answers must be slow, and more than one for so many in time: work has a heavy tail, and a few answers in a
/// hundred are slow where all is well.
const FALLS: (u32, u32) = (3, 2);
/// Falls follow each other no faster: answers that are slow together are one piece of news.
const FALL_GAP: Micros = 300_000;

impl Default for Ramp {
    fn default() -> Self {
        Ramp {
            share: 1.0,
            step_at: 0,
            fell_at: 0,
            good: 0,
            slow: 0,
        }
    }
}

impl Ramp {
    /// The share, from above 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Whether it has been gone to its end.
    pub fn done(&self) -> bool {
        self.share >= 1.0
    }

    /// Begins anew. One that was under way goes on from where it was if that is lower.
    pub fn begin(&mut self, now: Time, share: f64) {
        self.share = self.share.min(share);
        (self.good, self.slow, self.step_at, self.fell_at) = (0, 0, now, now);
    }

    /// An answer in time has come. `slowed` is how many times as long a doubling takes.
    pub fn good(&mut self, now: Time, rules: &RampRules, slowed: f64) {
        if self.done() {
            return;
        }
        self.good += 1;
        let span = (ms(rules.double_ms) as f64 * slowed) as Micros;
        if self.good >= rules.answers && now >= self.step_at + span {
            self.share = (self.share * 2.0).min(1.0);
            (self.good, self.slow, self.step_at) = (0, 0, now);
        }
    }

    /// An answer was slow, or did not come.
    pub fn slow(&mut self, now: Time, rules: &RampRules) {
        self.slow += 1;
        let many = self.slow >= FALLS.0 && self.slow * FALLS.1 > self.good;
        if self.done() || !many || now < self.fell_at + FALL_GAP {
            return;
        }
        self.share = (self.share * rules.back).max(rules.start / 4.0);
        (self.good, self.slow, self.step_at, self.fell_at) = (0, 0, now, now);
    }
}

#[cfg(test)]
mod tests;
