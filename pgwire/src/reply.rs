//! Checks a server's reply to one simple query and derives the outcome of the request from it.
//!
//! A reply whose messages have a wrong order, length or form was corrupted on its way, and none of its contents is used.

use crate::messages::{self, Message, code};

/// The reply is not one that a server sends; it was corrupted on its way.
#[derive(Debug, PartialEq, Eq)]
pub struct InvalidReply;

impl From<messages::Malformed> for InvalidReply {
    fn from(_: messages::Malformed) -> Self {
        InvalidReply
    }
}

/// The allowed shape of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// One row with one column, or an error. The platform's db nodes reply like this.
    OneValue,
    /// Any reply to a simple query: results of any size, several results, COPY TO STDOUT.
    Any,
}

/// Code of an error that the router itself assigns to a reply after which a transaction is still open.
const TRANSACTION_LEFT_OPEN: &str = "25000";
/// Code of an error after which the outcome of the statement is unknown.
const STATEMENT_COMPLETION_UNKNOWN: &str = "40003";

/// The messages received so far.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Start,
    /// A result has been described, with this number of columns, and this number of rows has followed.
    Rows {
        columns: usize,
        rows: usize,
    },
    CopyOut,
    CopyEnded,
    /// The server waits for data to copy and is sent CopyFail; its error follows.
    CopyRejected,
    /// One or more results are complete.
    Complete {
        last_has_rows: bool,
    },
    /// The server sent an error with this code, first or after other messages of the reply.
    Error {
        code: String,
        is_first: bool,
    },
}

/// What the caller has to do with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageAction<'a> {
    /// Append the message to the reply for the client.
    Keep,
    /// Drop the message.
    Skip,
    /// Evaluate a parameter of the server, given by name and value; the message is not part of the reply.
    ParameterStatus(&'a str, &'a str),
    /// Send CopyFail, because the server waits for data to copy.
    FailCopy,
}

/// The outcome of a request according to its reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The statement ran, and the reply contains its answer.
    Served,
    /// The db node rejected the statement without any effect, because it is not the primary or its position is too old.
    Misdirected,
    /// The db node rejected the statement for lack of capacity, without any effect.
    Overloaded,
    /// The statement itself is wrong and had no effect. The error is the answer: another db node would return the same.
    StatementError,
    /// The reply is an error or unusable; the statement may have had an effect.
    Failed,
}

/// A reply that is being received.
#[derive(Debug)]
pub struct Reply {
    shape: Shape,
    stage: Stage,
}

impl Reply {
    /// Returns a reply of which no message has been received yet.
    pub fn new(shape: Shape) -> Self {
        Reply {
            shape,
            stage: Stage::Start,
        }
    }

    /// Reads the next message, which may be any but ReadyForQuery.
    ///
    /// # Errors
    /// Returns an error if the message cannot follow the previous ones, or is malformed.
    pub fn read_message<'a>(
        &mut self,
        message: &Message<'a>,
    ) -> Result<MessageAction<'a>, InvalidReply> {
        let is_any = self.shape == Shape::Any;
        let body = message.body;
        let next = match (&self.stage, message.kind) {
            (_, b'N') => {
                return Ok(if is_any {
                    MessageAction::Keep
                } else {
                    MessageAction::Skip
                });
            }
            (_, b'A') if is_any => return Ok(MessageAction::Skip),
            (_, b'S') => {
                return Ok(messages::parse_status(body)
                    .map(|(name, value)| MessageAction::ParameterStatus(name, value))?);
            }
            (Stage::Start, b'T') if !is_any && describes_one_column(body) => Stage::Rows {
                columns: 1,
                rows: 0,
            },
            (Stage::Rows { .. }, b'D')
                if !is_any
                    && self.stage
                        != Stage::Rows {
                            columns: 1,
                            rows: 0,
                        } =>
            {
                return Err(InvalidReply);
            }
            (
                Stage::Rows {
                    columns: 1,
                    rows: 0,
                },
                b'D',
            ) if !is_any => {
                messages::parse_single_value(body).ok_or(InvalidReply)?;
                Stage::Rows {
                    columns: 1,
                    rows: 1,
                }
            }
            (Stage::Start | Stage::Complete { .. }, b'T') if is_any => Stage::Rows {
                columns: messages::parse_columns(body)?.len(),
                rows: 0,
            },
            (Stage::Rows { columns, rows }, b'D') => {
                if messages::parse_row(body)?.len() != *columns {
                    return Err(InvalidReply);
                }
                Stage::Rows {
                    columns: *columns,
                    rows: rows + 1,
                }
            }
            (Stage::Rows { rows, .. }, b'C') if is_tag(body) => Stage::Complete {
                last_has_rows: *rows > 0,
            },
            (Stage::Start, b'C') if is_tag(body) => Stage::Complete {
                last_has_rows: false,
            },
            (Stage::Complete { .. } | Stage::CopyEnded, b'C') if is_any && is_tag(body) => {
                Stage::Complete {
                    last_has_rows: true,
                }
            }
            (Stage::Start | Stage::Complete { .. }, b'I') if is_any && body.is_empty() => {
                Stage::Complete {
                    last_has_rows: false,
                }
            }
            (Stage::Start | Stage::Complete { .. }, b'H') if is_any => Stage::CopyOut,
            (Stage::CopyOut, b'd') => Stage::CopyOut,
            (Stage::CopyOut, b'c') if body.is_empty() => Stage::CopyEnded,
            (Stage::Start | Stage::Complete { .. }, b'G') if is_any => {
                self.stage = Stage::CopyRejected;
                return Ok(MessageAction::FailCopy);
            }
            (Stage::Start, b'E') => Stage::Error {
                code: messages::parse_error_code(body)
                    .ok_or(InvalidReply)?
                    .to_string(),
                is_first: true,
            },
            (
                Stage::Rows { .. }
                | Stage::CopyOut
                | Stage::CopyEnded
                | Stage::CopyRejected
                | Stage::Complete { .. },
                b'E',
            ) if is_any => Stage::Error {
                code: messages::parse_error_code(body)
                    .ok_or(InvalidReply)?
                    .to_string(),
                is_first: false,
            },
            _ => return Err(InvalidReply),
        };
        self.stage = next;
        Ok(MessageAction::Keep)
    }

    /// Reads ReadyForQuery with this transaction state. Returns true if the connection can be reused.
    ///
    /// # Errors
    /// Returns an error if the reply is not complete yet, or the state is invalid.
    pub fn read_ready(&mut self, state: &[u8]) -> Result<bool, InvalidReply> {
        match (self.shape, state) {
            _ if !self.has_outcome() => Err(InvalidReply),
            (_, b"I") => Ok(true),
            // A transaction is still open. Closing the connection rolls it back, so the statement has no lasting effect.
            (Shape::Any, b"T" | b"E") => {
                if !matches!(self.stage, Stage::Error { .. }) {
                    self.stage = Stage::Error {
                        code: TRANSACTION_LEFT_OPEN.into(),
                        is_first: false,
                    };
                }
                Ok(false)
            }
            _ => Err(InvalidReply),
        }
    }

    /// Returns true if no message of the reply itself has been received; parameters and notices do not count.
    pub fn is_empty(&self) -> bool {
        self.stage == Stage::Start
    }

    /// Returns true if the messages so far determine the outcome, even if no further ones arrive.
    pub fn has_outcome(&self) -> bool {
        matches!(self.stage, Stage::Complete { .. } | Stage::Error { .. })
    }

    /// Returns true if the reply ends with an error.
    pub fn is_error(&self) -> bool {
        matches!(self.stage, Stage::Error { .. })
    }

    fn blames_statement(&self, code: &str) -> bool {
        let is_statement_error = code
            .get(..2)
            .is_some_and(|class| STATEMENT_ERROR_CLASSES.contains(&class));
        self.shape == Shape::Any
            && is_statement_error
            && code != STATEMENT_COMPLETION_UNKNOWN
            && code != TRANSACTION_LEFT_OPEN
    }

    /// Returns the outcome of the request.
    pub fn outcome(&self) -> Outcome {
        match &self.stage {
            Stage::Complete { last_has_rows } if *last_has_rows || self.shape == Shape::Any => {
                Outcome::Served
            }
            Stage::Error {
                code,
                is_first: true,
            } => match code.as_str() {
                code::READ_ONLY_TRANSACTION | code::SNAPSHOT_TOO_OLD => Outcome::Misdirected,
                code::TOO_MANY_CONNECTIONS => Outcome::Overloaded,
                _ if self.blames_statement(code) => Outcome::StatementError,
                _ => Outcome::Failed,
            },
            // A statement that fails rolls back those before it in the same query.
            Stage::Error {
                code,
                is_first: false,
            } if self.blames_statement(code) => Outcome::StatementError,
            _ => Outcome::Failed,
        }
    }
}

/// Classes of errors that the statement or its data cause: the statement was rolled back. Not among them are 08 and 40003
/// (the outcome is unknown), 53 and 57 (the server lacks resources or shuts down), and 58, F0 and XX (the server itself is
/// at fault).
const STATEMENT_ERROR_CLASSES: [&str; 19] = [
    "0A", "21", "22", "23", "24", "25", "26", "2B", "2F", "34", "38", "39", "3B", "3D", "3F", "40",
    "42", "44", "P0",
];

/// Returns true if a RowDescription describes one column: its name, and 18 bytes about its origin, type and format. Clients
/// of the platform do not use those 18 bytes, so their contents are not checked: corrupted ones do not invalidate the answer.
fn describes_one_column(body: &[u8]) -> bool {
    let name_length = body
        .strip_prefix(&[0, 1])
        .and_then(|rest| rest.iter().position(|byte| *byte == 0));
    name_length.is_some_and(|name_length| body.len() == 2 + name_length + 1 + 18)
}

/// Returns true if `body` is the tag of a CommandComplete, which consists of words and numbers.
fn is_tag(body: &[u8]) -> bool {
    let tag = body.strip_suffix(&[0]).unwrap_or_default();
    tag.first().is_some_and(u8::is_ascii_uppercase)
        && tag
            .iter()
            .all(|byte| byte.is_ascii_alphanumeric() || *byte == b' ')
}

#[cfg(test)]
mod tests;
