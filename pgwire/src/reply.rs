//! A server's reply to one simple query: whether its messages have the order and form that they must, and what it says
//! became of the request. What has the wrong order, length or form was spoilt on its way, and nothing that it says counts.

use crate::messages::{self, Message, code};

/// It is no reply that a server makes.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidReply;

impl From<messages::Malformed> for InvalidReply {
    fn from(_: messages::Malformed) -> Self {
        InvalidReply
    }
}

/// What replies may look like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// The platform's: one row of one column, or an error.
    OneValue,
    /// Whatever simple queries bring: any results, empty ones, copies out.
    Any,
}

/// A transaction was left open: no server worded that, so nothing is passed on.
const LEFT_OPEN: &str = "25000";

/// How far it has come.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Start,
    /// Described: so many columns, so many rows.
    Rows(usize, usize),
    CopyOut,
    CopyEnded,
    /// The server was told to fail the copy, and says so next.
    CopyRefused,
    /// One result, or more, is complete; the last one with a row or without.
    Complete(bool),
    /// An error of that code; whether a result was complete before it.
    Refused(String, bool),
}

/// What is to be done with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageAction<'a> {
    /// It belongs to what the client gets.
    Keep,
    /// It is no part of it.
    Skip,
    /// The server tells something of itself.
    ParameterStatus(&'a str, &'a str),
    /// The server waits for data to copy: it must be told CopyFail.
    FailCopy,
}

/// What a reply says became of the request. See the protocol's table of outcomes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, and here is its answer.
    Served,
    /// Turned away untouched: no primary, or too far behind.
    Misdirected,
    /// Turned away unseen.
    Overloaded,
    /// The server says that the statement itself is at fault and had no effect; that is its answer, and another server
    /// would give the same.
    StatementError,
    /// An error, or no answer of use: it may have had an effect.
    Failed,
}

/// What has come of a reply.
#[derive(Debug)]
pub struct Reply {
    shape: Shape,
    stage: Stage,
}

impl Reply {
    /// A reply of which nothing has come.
    pub fn new(shape: Shape) -> Self {
        Reply {
            shape,
            stage: Stage::Start,
        }
    }

    /// Takes in what follows: any message but ReadyForQuery.
    ///
    /// # Errors
    /// It cannot follow what came before, or has not the form that it must have.
    pub fn read_message<'a>(
        &mut self,
        message: &Message<'a>,
    ) -> Result<MessageAction<'a>, InvalidReply> {
        let any = self.shape == Shape::Any;
        let body = message.body;
        let next = match (&self.stage, message.kind) {
            (_, b'N') => {
                return Ok(if any {
                    MessageAction::Keep
                } else {
                    MessageAction::Skip
                });
            }
            (_, b'A') if any => return Ok(MessageAction::Skip),
            (_, b'S') => {
                return Ok(messages::parse_status(body)
                    .map(|(name, value)| MessageAction::ParameterStatus(name, value))?);
            }
            (Stage::Start, b'T') if !any && describes_one_column(body) => Stage::Rows(1, 0),
            (Stage::Rows(..), b'D') if !any && self.stage != Stage::Rows(1, 0) => {
                return Err(InvalidReply);
            }
            (Stage::Rows(1, 0), b'D') if !any => {
                messages::parse_single_value(body).ok_or(InvalidReply)?;
                Stage::Rows(1, 1)
            }
            (Stage::Start | Stage::Complete(_), b'T') if any => {
                Stage::Rows(messages::parse_columns(body)?.len(), 0)
            }
            (Stage::Rows(columns, rows), b'D') => {
                if messages::parse_row(body)?.len() != *columns {
                    return Err(InvalidReply);
                }
                Stage::Rows(*columns, rows + 1)
            }
            (Stage::Rows(_, rows), b'C') if is_tag(body) => Stage::Complete(*rows > 0),
            (Stage::Start, b'C') if is_tag(body) => Stage::Complete(false),
            (Stage::Complete(_) | Stage::CopyEnded, b'C') if any && is_tag(body) => {
                Stage::Complete(true)
            }
            (Stage::Start | Stage::Complete(_), b'I') if any && body.is_empty() => {
                Stage::Complete(false)
            }
            (Stage::Start | Stage::Complete(_), b'H') if any => Stage::CopyOut,
            (Stage::CopyOut, b'd') => Stage::CopyOut,
            (Stage::CopyOut, b'c') if body.is_empty() => Stage::CopyEnded,
            (Stage::Start | Stage::Complete(_), b'G') if any => {
                self.stage = Stage::CopyRefused;
                return Ok(MessageAction::FailCopy);
            }
            (Stage::Start, b'E') => Stage::Refused(
                messages::parse_error_code(body)
                    .ok_or(InvalidReply)?
                    .to_string(),
                false,
            ),
            (
                Stage::Rows(..)
                | Stage::CopyOut
                | Stage::CopyEnded
                | Stage::CopyRefused
                | Stage::Complete(_),
                b'E',
            ) if any => Stage::Refused(
                messages::parse_error_code(body)
                    .ok_or(InvalidReply)?
                    .to_string(),
                true,
            ),
            _ => return Err(InvalidReply),
        };
        self.stage = next;
        Ok(MessageAction::Keep)
    }

    /// ReadyForQuery has come, with this state. True where the connection can be used again.
    ///
    /// # Errors
    /// It comes too early.
    pub fn read_ready(&mut self, state: &[u8]) -> Result<bool, InvalidReply> {
        match (self.shape, state) {
            _ if !self.has_outcome() => Err(InvalidReply),
            (_, b"I") => Ok(true),
            // A transaction was left open: it is undone when the connection ends, so nothing has been done for good.
            (Shape::Any, b"T" | b"E") => {
                if !matches!(self.stage, Stage::Refused(..)) {
                    self.stage = Stage::Refused(LEFT_OPEN.into(), true);
                }
                Ok(false)
            }
            _ => Err(InvalidReply),
        }
    }

    /// Whether it says what became of the request, though no more may come.
    pub fn has_outcome(&self) -> bool {
        matches!(self.stage, Stage::Complete(_) | Stage::Refused(..))
    }

    /// Whether the server itself worded an error.
    pub fn is_error(&self) -> bool {
        matches!(self.stage, Stage::Refused(..))
    }

    fn faults(&self, said: &str) -> bool {
        let known = said.get(..2).is_some_and(|class| BLAME.contains(&class));
        self.shape == Shape::Any && known && said != "40003" && said != LEFT_OPEN
    }

    /// What became of the request.
    pub fn outcome(&self) -> Outcome {
        match &self.stage {
            Stage::Complete(rows) if *rows || self.shape == Shape::Any => Outcome::Served,
            Stage::Refused(said, false) => match said.as_str() {
                code::READ_ONLY_TRANSACTION | code::SNAPSHOT_TOO_OLD => Outcome::Misdirected,
                code::TOO_MANY_CONNECTIONS => Outcome::Overloaded,
                _ if self.faults(said) => Outcome::StatementError,
                _ => Outcome::Failed,
            },
            // A statement that fails undoes those before it in the same query.
            Stage::Refused(said, true) if self.faults(said) => Outcome::StatementError,
            _ => Outcome::Failed,
        }
    }
}

/// Classes of errors that blame the statement or its data: it was undone, wherever it ran. Not among them: 08 and 40003 (the
/// outcome is unknown), 53 and 57 (the server is short of something, or stops), 58, F0 and XX (the server is at fault).
const BLAME: [&str; 19] = [
    "0A", "21", "22", "23", "24", "25", "26", "2B", "2F", "34", "38", "39", "3B", "3D", "3F", "40",
    "42", "44", "P0",
];

/// A description of one column: its name, and 18 bytes on where it comes from and how it is written. On the platform
/// nothing is made of those, so they are not looked at: the value is what counts.
fn describes_one_column(body: &[u8]) -> bool {
    let name = body
        .strip_prefix(&[0, 1])
        .and_then(|rest| rest.iter().position(|byte| *byte == 0));
    name.is_some_and(|name| body.len() == 2 + name + 1 + 18)
}

/// A command's tag: words and numbers.
fn is_tag(body: &[u8]) -> bool {
    let tag = body.strip_suffix(&[0]).unwrap_or_default();
    tag.first().is_some_and(u8::is_ascii_uppercase)
        && tag
            .iter()
            .all(|byte| byte.is_ascii_alphanumeric() || *byte == b' ')
}

#[cfg(test)]
mod tests;
