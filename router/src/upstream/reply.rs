//! A db node's reply to one query as it comes: the dialect checks each message, and here its bytes are kept, and what the db
//! node says of itself.

use crate::clock;
use crate::net::budget::{Budget, Buffer};
use plovercove::{AttemptEnd, NodeReport, Role};
use plovercove_pgwire::messages::{self, Message};
use plovercove_pgwire::reply::{self, InvalidReply, MessageAction, Outcome, Shape};

/// The longest row. Values have 64 KiB by the protocol, but db nodes have been seen to give 400 KB; the budget of bytes
/// is what protects the memory.
pub const MAX_ROW_BYTES: usize = 2 * 1024 * 1024;
/// The longest of all other messages.
const MAX_OTHER_BYTES: usize = 4 * 1024;

/// What has come of a reply.
pub struct Reply {
    /// What its client gets, as it came.
    pub body: Buffer,
    order: reply::Reply,
    /// What the answer says of the node: as new as the answer.
    pub answer_report: NodeReport,
    /// What the report carried along says of it: maybe older.
    pub load_report: NodeReport,
}

/// The longest that a message of this kind may be; none is of an unknown kind.
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
    /// A reply of which nothing has come.
    pub fn new(budget: &Budget, shape: Shape) -> Self {
        Reply {
            body: budget.buffer(),
            order: reply::Reply::new(shape),
            answer_report: NodeReport::default(),
            load_report: NodeReport::default(),
        }
    }

    /// Takes in what follows: any message but ReadyForQuery. True where the db node waits for data and must be told that
    /// there are none.
    pub fn take(&mut self, message: &Message<'_>, is_report: bool) -> Result<bool, InvalidReply> {
        match self.order.read_message(message)? {
            MessageAction::ParameterStatus(name, value) => self.tell(name, value),
            MessageAction::Skip => {}
            MessageAction::FailCopy => return Ok(true),
            MessageAction::Keep => {
                // A client's value may read like a report; it is none.
                if is_report && message.kind == b'D' {
                    self.load_report =
                        report(messages::parse_single_value(message.body).ok_or(InvalidReply)?);
                }
                self.body.write(|body| body.extend_from_slice(message.raw));
            }
        }
        Ok(false)
    }

    /// ReadyForQuery has come; true where the connection can be used again.
    pub fn ready(&mut self, state: &[u8]) -> Result<bool, InvalidReply> {
        self.order.read_ready(state)
    }

    fn tell(&mut self, name: &str, value: &str) {
        match name {
            "replication_role" => {
                self.answer_report.role = match value {
                    "primary" => Some(Role::Primary),
                    "standby" => Some(Role::Replica),
                    _ => None,
                };
            }
            "log_position" => self.answer_report.position = value.parse().ok().map(clock::from_ms),
            "pressure" => self.load_report = report(value.as_bytes()),
            _ => {}
        }
    }

    /// Whether it says what became of the request, though no more may come.
    pub fn tells(&self) -> bool {
        self.order.has_outcome()
    }

    /// What became of the request. An error that blames the statement is its answer, as a row would be.
    pub fn end(&self) -> AttemptEnd {
        match self.order.outcome() {
            Outcome::Served | Outcome::StatementError => AttemptEnd::Success,
            Outcome::Misdirected => AttemptEnd::Misdirected,
            Outcome::Overloaded => AttemptEnd::Overloaded,
            Outcome::Failed => AttemptEnd::Failure,
        }
    }
}

/// A load report, `name=value` with commas between. One that can't be read to its end tells nothing at all: half a
/// report may name a position or a role that no db node has.
fn report(text: &[u8]) -> NodeReport {
    let fields = std::str::from_utf8(text)
        .unwrap_or("")
        .split(',')
        .map(|field| {
            let (name, value) = field.split_once('=')?;
            let figure = value
                .parse::<f64>()
                .ok()
                .filter(|figure| figure.is_finite() && *figure >= 0.0)?;
            Some((name, figure))
        });
    let mut told = NodeReport::default();
    for (name, figure) in fields.collect::<Option<Vec<_>>>().unwrap_or_default() {
        match name {
            "x0" => told.position = clock::from_seconds(figure),
            "x1" => {
                told.role = Some(if figure == 1.0 {
                    Role::Primary
                } else {
                    Role::Replica
                })
            }
            "outstanding" | "inflight" => told.in_flight = Some(figure.round() as u32),
            "utilization" | "util" => told.utilization_permille = Some((figure * 1e3) as u32),
            _ => {}
        }
    }
    told
}

#[cfg(test)]
mod tests;
