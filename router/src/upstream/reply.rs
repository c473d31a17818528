//! A db node's reply to one query. `plovercove-pgwire` checks each message; this module collects the bytes for the client
//! and reads what the node reports about itself.

use crate::clock;
use crate::net::budget::{Budget, Buffer};
use plovercove::{AttemptEnd, NodeReport, Role};
use plovercove_pgwire::messages::{self, Message};
use plovercove_pgwire::reply::{self, InvalidReply, MessageAction, Outcome, Shape};
use std::hash::{DefaultHasher, Hasher};

/// Maximum size of a row. The platform's protocol limits values to 64 KiB, but db nodes have sent 400 KB. The byte budget
/// protects the memory.
pub const MAX_ROW_BYTES: usize = 2 * 1024 * 1024;
/// Maximum size of all other messages.
const MAX_OTHER_BYTES: usize = 4 * 1024;
/// Number of bytes at the front of each message that a fingerprint covers. Replies that differ only behind them have the same
/// fingerprint, which costs a confirmation and nothing else.
const MAX_FINGERPRINT_BYTES: usize = 1024;

/// Identifies the contents of a reply: copies of a reply have the same fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprint(u64);

/// The received part of a reply.
pub struct Reply {
    /// The bytes to forward to the client, unchanged.
    pub body: Buffer,
    budget: Budget,
    shape: Shape,
    protocol_state: reply::Reply,
    fingerprint: DefaultHasher,
    /// The report in the parameters of the reply, as recent as the reply.
    pub answer_report: NodeReport,
    /// The load report in the reply, which may be older.
    pub load_report: NodeReport,
}

/// Returns the maximum size of a message of this kind, or `None` if the kind is unknown.
pub fn max_message_bytes(kind: u8) -> Option<usize> {
    match kind {
        b'D' => Some(MAX_ROW_BYTES),
        b'T' | b'C' | b'E' | b'S' | b'N' | b'Z' | b'R' | b'K' | b'v' => Some(MAX_OTHER_BYTES),
        b'd' => Some(MAX_ROW_BYTES),
        b'I' | b'A' | b'G' | b'H' | b'c' => Some(MAX_OTHER_BYTES),
        _ => None,
    }
}

impl Reply {
    /// Creates an empty reply.
    pub fn new(budget: &Budget, shape: Shape) -> Self {
        Reply {
            body: budget.buffer(),
            budget: budget.clone(),
            shape,
            protocol_state: reply::Reply::new(shape),
            fingerprint: DefaultHasher::new(),
            answer_report: NodeReport::default(),
            load_report: NodeReport::default(),
        }
    }

    /// Takes the reply and leaves an empty one of the same shape.
    pub fn take(&mut self) -> Self {
        let empty = Reply::new(&self.budget, self.shape);
        std::mem::replace(self, empty)
    }

    /// Returns the fingerprint of the messages received so far.
    pub fn fingerprint(&self) -> Fingerprint {
        Fingerprint(self.fingerprint.finish())
    }

    /// Adds a message to the fingerprint. Parameters and notices are left out, since they may change between two copies.
    pub fn add_to_fingerprint(&mut self, message: &Message<'_>) {
        if matches!(message.kind, b'S' | b'N' | b'A') {
            return;
        }
        let covered = message.raw.len().min(MAX_FINGERPRINT_BYTES);
        self.fingerprint.write_usize(message.raw.len());
        self.fingerprint.write(&message.raw[..covered]);
    }

    /// Handles the next message, other than ReadyForQuery. Returns true if the node waits for copy data, which must be
    /// answered with CopyFail. `is_report` says whether the query was one for a load report.
    pub fn read_message(
        &mut self,
        message: &Message<'_>,
        is_report: bool,
    ) -> Result<bool, InvalidReply> {
        self.add_to_fingerprint(message);
        match self.protocol_state.read_message(message)? {
            MessageAction::ParameterStatus(name, value) => self.read_parameter(name, value),
            MessageAction::Skip => {}
            MessageAction::FailCopy => return Ok(true),
            MessageAction::Keep => {
                // In a reply to a client's statement, a value may look like a load report but is not one.
                if is_report && message.kind == b'D' {
                    self.load_report = parse_load_report(
                        messages::parse_single_value(message.body).ok_or(InvalidReply)?,
                    );
                }
                self.body.write(|body| body.extend_from_slice(message.raw));
            }
        }
        Ok(false)
    }

    /// Handles ReadyForQuery. Returns true if the connection can be reused.
    pub fn read_ready(&mut self, state: &[u8]) -> Result<bool, InvalidReply> {
        self.protocol_state.read_ready(state)
    }

    fn read_parameter(&mut self, name: &str, value: &str) {
        match name {
            "replication_role" => {
                self.answer_report.role = match value {
                    "primary" => Some(Role::Primary),
                    "standby" => Some(Role::Replica),
                    _ => None,
                };
            }
            "log_position" => self.answer_report.position = value.parse().ok().map(clock::from_ms),
            "pressure" => self.load_report = parse_load_report(value.as_bytes()),
            _ => {}
        }
    }

    /// Returns whether no message of the reply itself has been received; parameters and notices do not count.
    pub fn is_empty(&self) -> bool {
        self.protocol_state.is_empty()
    }

    /// Returns whether the outcome of the request is known, even if the rest of the reply is missing.
    pub fn has_outcome(&self) -> bool {
        self.protocol_state.has_outcome()
    }

    /// Returns how the attempt ended. An error of the statement itself is a successful answer, as a row is.
    pub fn attempt_end(&self) -> AttemptEnd {
        match self.protocol_state.outcome() {
            Outcome::Served | Outcome::StatementError => AttemptEnd::Success,
            Outcome::Misdirected => AttemptEnd::Misdirected,
            Outcome::Overloaded => AttemptEnd::Overloaded,
            Outcome::Failed => AttemptEnd::Failure,
        }
    }
}

/// Parses a load report: `name=value` pairs separated by commas. A report with any malformed part is ignored as a whole,
/// because a truncated report may contain a wrong position or role.
fn parse_load_report(text: &[u8]) -> NodeReport {
    let fields = std::str::from_utf8(text)
        .unwrap_or("")
        .split(',')
        .map(|field| {
            let (name, value) = field.split_once('=')?;
            let number = value
                .parse::<f64>()
                .ok()
                .filter(|number| number.is_finite() && *number >= 0.0)?;
            Some((name, number))
        });
    let mut report = NodeReport::default();
    for (name, number) in fields.collect::<Option<Vec<_>>>().unwrap_or_default() {
        match name {
            "x0" => report.position = clock::from_seconds(number),
            "x1" => {
                report.role = Some(if number == 1.0 {
                    Role::Primary
                } else {
                    Role::Replica
                })
            }
            "outstanding" | "inflight" => report.in_flight = Some(number.round() as u32),
            "utilization" | "util" => report.utilization_permille = Some((number * 1e3) as u32),
            _ => {}
        }
    }
    report
}

#[cfg(test)]
mod tests;
