//! A job on a connection and its reply, with a check that the reply is not a copy of the one before it.
//!
//! A reply does not name its statement; it belongs to it by the order on the connection alone. If a node sends a reply twice,
//! the copy arrives where the reply to the next statement is expected. Without the check the next request would be answered
//! with it, and every later request on the connection with the answer to the request before.
//!
//! A copy follows its original directly, so it has the fingerprint of the last reply on the connection. A reply with that
//! fingerprint is held until the node has answered an empty query, which is sent behind the statement and has no effect. The
//! last reply before that answer belongs to the statement. Equal replies to different statements are thus still told apart
//! from copies.

use super::connection::Job;
use super::reply::{Fingerprint, Reply};
use plovercove::AttemptEnd;
use plovercove_pgwire::messages::{self, Message};
use plovercove_pgwire::reply::InvalidReply;

/// The reason in CopyFail, with which the router ends a COPY into a table.
const COPY_UNSUPPORTED: &[u8] = b"COPY FROM STDIN is not supported by the router";
/// The query that confirms a reply. Nodes answer it with EmptyQueryResponse.
const CONFIRMATION_QUERY: &str = "";

/// A complete reply that may be a copy of the last one.
struct HeldReply {
    reply: Reply,
    is_reusable: bool,
    /// Whether the node has answered the empty query after this reply.
    is_confirmed: bool,
}

/// The progress of a job after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobProgress {
    /// More messages are expected.
    Continue,
    /// The reply is complete, and the connection is ready.
    Complete {
        is_reusable: bool,
        /// Whether a copy of the last reply arrived before this one and was dropped.
        has_dropped_copy: bool,
    },
}

/// A job on a connection.
pub(super) struct RunningJob {
    pub(super) job: Job,
    pub(super) reply: Reply,
    /// Whether the last byte has been written to the socket.
    pub(super) is_written: bool,
    /// The fingerprint of the last complete reply on the connection.
    pub(super) last_reply: Option<Fingerprint>,
    held: Option<HeldReply>,
}

impl RunningJob {
    /// Creates a job of which no byte has been written. `last_reply` is the fingerprint of the last reply on its connection.
    pub(super) fn new(job: Job, reply: Reply, last_reply: Option<Fingerprint>) -> Self {
        RunningJob {
            job,
            reply,
            is_written: false,
            last_reply,
            held: None,
        }
    }

    /// Handles a message of the node. A direct answer to it is appended to `answer`.
    pub(super) fn read_message(
        &mut self,
        message: &Message<'_>,
        answer: &mut Vec<u8>,
    ) -> Result<JobProgress, InvalidReply> {
        if message.kind == b'Z' {
            return self.read_ready(message.body, answer);
        }
        if self.is_confirmation(message) {
            self.confirm(message);
            return Ok(JobProgress::Continue);
        }
        if self.is_confirmed() && !matches!(message.kind, b'S' | b'N' | b'A') {
            return Err(InvalidReply);
        }
        let waits_for_data = self.reply.read_message(message, self.job.wants_report())?;
        if waits_for_data {
            messages::put(answer, b'f', |out| {
                messages::put_text(out, COPY_UNSUPPORTED)
            });
        }
        Ok(JobProgress::Continue)
    }

    /// Returns how a written job ends if its connection ends now, or `None` if its reply has the outcome. A reply that may be
    /// a copy has no outcome.
    pub(super) fn end_without_ready(&self) -> Option<AttemptEnd> {
        let has_own_outcome = self.reply.has_outcome() && !self.may_be_copy();
        let is_known = has_own_outcome || self.is_confirmed();
        (!is_known).then_some(AttemptEnd::Reset)
    }

    /// Returns the job and the reply that belongs to it.
    pub(super) fn into_job_and_reply(self) -> (Job, Reply) {
        let confirmed = self.held.filter(|held| held.is_confirmed);
        let reply = confirmed.map_or(self.reply, |held| held.reply);
        (self.job, reply)
    }

    /// Returns whether the reply so far equals the last reply on the connection.
    fn may_be_copy(&self) -> bool {
        self.last_reply == Some(self.reply.fingerprint())
    }

    fn read_ready(
        &mut self,
        state: &[u8],
        answer: &mut Vec<u8>,
    ) -> Result<JobProgress, InvalidReply> {
        if let Some(held) = self.held.as_ref().filter(|held| held.is_confirmed) {
            return Ok(JobProgress::Complete {
                is_reusable: held.is_reusable && state == b"I",
                has_dropped_copy: false,
            });
        }
        let is_reusable = self.reply.read_ready(state)?;
        if self.is_written && self.may_be_copy() {
            self.hold(is_reusable, answer);
            return Ok(JobProgress::Continue);
        }
        self.last_reply = Some(self.reply.fingerprint());
        // The reply that was held, if any, was a copy, and the answer to the empty query is still under way.
        let has_dropped_copy = self.held.is_some();
        Ok(JobProgress::Complete {
            is_reusable: is_reusable && !has_dropped_copy,
            has_dropped_copy,
        })
    }

    /// Holds the reply, in place of one that was held before and thus was a copy. Appends the empty query to `answer`, unless
    /// it has been sent.
    fn hold(&mut self, is_reusable: bool, answer: &mut Vec<u8>) {
        if self.held.is_none() {
            messages::put_query(answer, CONFIRMATION_QUERY);
        }
        self.held = Some(HeldReply {
            reply: self.reply.take(),
            is_reusable,
            is_confirmed: false,
        });
    }

    /// Returns whether a message is the node's answer to the empty query.
    fn is_confirmation(&self, message: &Message<'_>) -> bool {
        let is_expected = self.held.is_some() && !self.is_confirmed() && self.reply.is_empty();
        is_expected && message.kind == b'I' && message.body.is_empty()
    }

    fn is_confirmed(&self) -> bool {
        self.held.as_ref().is_some_and(|held| held.is_confirmed)
    }

    fn confirm(&mut self, message: &Message<'_>) {
        if let Some(held) = &mut self.held {
            held.is_confirmed = true;
        }
        // A copy of this answer is told apart from the next reply like any other copy.
        self.reply.add_to_fingerprint(message);
        self.last_reply = Some(self.reply.fingerprint());
    }
}
