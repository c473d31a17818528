//! The times of a graceful shutdown.
//!
//! SIGKILL follows SIGTERM: after the longest deadline of any class, of which at most `MAX_COUNTED_DEADLINE` counts, and
//! `KILL_MARGIN`. A request that SIGKILL finds unanswered is lost, and so is one that the router leaves behind when it ends.
//! Therefore every step of the shutdown has a time that is derived from the earliest SIGKILL, and none depends on what
//! clients or nodes do.

use plovercove::{Micros, Time};

/// The longest deadline that counts for the time of SIGKILL.
const MAX_COUNTED_DEADLINE: Micros = 3_000_000;
/// Time from the longest deadline after SIGTERM until SIGKILL.
const KILL_MARGIN: Micros = 700_000;
/// Time after SIGTERM during which connections are accepted. New ones keep coming for up to 0.4 s.
const ACCEPT_TIME: Micros = 500_000;
/// The same if deadlines are so short that answers are due before.
const MIN_ACCEPT_TIME: Micros = 450_000;
/// Time from the last answers until SIGKILL. The process may be held up for 0.15 s when SIGTERM arrives, and once more
/// between reading its clock and writing the answers, and a busy machine schedules it late.
const ANSWER_MARGIN: Micros = 450_000;
/// Time from the last answers until nothing more is read, in which what crosses the answers is read and rejected.
const LAST_REJECTIONS_TIME: Micros = 100_000;
/// Time from the last close until SIGKILL.
const CLOSE_MARGIN: Micros = 100_000;

/// When the steps of a shutdown are due. They are in the order of the fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// The listeners close, and so do connections between requests.
    pub drain_at: Time,
    /// All requests have their final answers.
    pub answer_by: Time,
    /// From now on, nothing more is read from clients.
    pub stop_reading_at: Time,
    /// Lingering closes end.
    pub close_by: Time,
}

impl ShutdownSchedule {
    /// Returns the schedule of a shutdown that begins with a SIGTERM at this time. `longest_deadline` is the longest deadline
    /// of any class.
    pub fn new(sigterm_at: Time, longest_deadline: Micros) -> Self {
        let earliest_kill = sigterm_at + longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        let answer_by = (earliest_kill - ANSWER_MARGIN).max(sigterm_at + MIN_ACCEPT_TIME);
        let drain_at = answer_by.min(sigterm_at + ACCEPT_TIME);
        ShutdownSchedule {
            drain_at,
            answer_by,
            stop_reading_at: answer_by + LAST_REJECTIONS_TIME,
            close_by: earliest_kill - CLOSE_MARGIN,
        }
    }
}

#[cfg(test)]
mod tests;
