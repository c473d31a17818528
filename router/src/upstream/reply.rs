//! A db node's reply to one query, checked message by message: what has the wrong order, length or form was spoilt on its
//! way, and nothing that it says counts.

use crate::clock;
use crate::net::budget::{Budget, Buffer};
use crate::pgwire::{self, Message, code};
use plovercove::{Ending, Role, Standing};

/// The longest row. Values have 64 KiB by the protocol, but db nodes have been seen to give 400 KB; the budget of bytes
/// is what protects the memory.
pub const LONGEST_ROW: usize = 2 * 1024 * 1024;
/// The longest of all other messages.
const LONGEST: usize = 4 * 1024;

/// It is no reply that a db node makes.
#[derive(Debug, PartialEq, Eq)]
pub struct Spoilt;

/// How far it has come.
#[derive(Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Start,
    Described,
    Row,
    /// Completed, with a row or without.
    Complete(bool),
    /// An error of that code.
    Refused(String),
}

/// What has come of a reply.
pub struct Reply {
    /// Row description, row and completion, as they came.
    pub body: Buffer,
    stage: Stage,
    /// What the node says of itself, and in its report.
    pub note: Standing,
    /// The report.
    pub report: Standing,
}

/// The longest that a message of this kind may be; none is of an unknown kind.
pub fn longest(kind: u8) -> Option<usize> {
    match kind {
        b'D' => Some(LONGEST_ROW),
        b'T' | b'C' | b'E' | b'S' | b'N' | b'Z' | b'R' | b'K' | b'v' => Some(LONGEST),
        _ => None,
    }
}

/// ParameterStatus: two texts and nothing else.
pub fn status(body: &[u8]) -> Result<(&str, &str), Spoilt> {
    let mut parts = body.strip_suffix(&[0]).ok_or(Spoilt)?.split(|byte| *byte == 0);
    let (Some(name), Some(value), None) = (parts.next(), parts.next(), parts.next()) else {
        return Err(Spoilt);
    };
    let text = |part| std::str::from_utf8(part).map_err(|_| Spoilt);
    Ok((text(name)?, text(value)?))
}

/// A description of one column: its name, and 18 bytes on where it comes from and how it is written.
fn describes_one_column(body: &[u8]) -> bool {
    let name = body.strip_prefix(&[0, 1]).and_then(|rest| rest.iter().position(|byte| *byte == 0));
    name.is_some_and(|name| body.len() == 2 + name + 1 + 18)
}

/// A command's tag: words and numbers.
fn is_tag(body: &[u8]) -> bool {
    let tag = body.strip_suffix(&[0]).unwrap_or_default();
    tag.first().is_some_and(u8::is_ascii_uppercase)
        && tag.iter().all(|byte| byte.is_ascii_alphanumeric() || *byte == b' ')
}

impl Reply {
    /// A reply of which nothing has come.
    pub fn new(budget: &Budget) -> Self {
        let (note, report) = Default::default();
        Reply { body: budget.buffer(), stage: Stage::Start, note, report }
    }

    /// Takes in what follows: any message but ReadyForQuery.
    pub fn take(&mut self, message: &Message<'_>, is_report: bool) -> Result<(), Spoilt> {
        match (&self.stage, message.kind) {
            (_, b'N') => return Ok(()),
            (_, b'S') => return status(message.body).map(|(name, value)| self.tell(name, value)),
            (Stage::Start, b'T') if describes_one_column(message.body) => self.stage = Stage::Described,
            (Stage::Described, b'D') => {
                let value = pgwire::single_value(message.body).ok_or(Spoilt)?;
                // A client's value may read like a report; it is none.
                if is_report {
                    self.report = report(value);
                }
                self.stage = Stage::Row;
            }
            (Stage::Row, b'C') if is_tag(message.body) => self.stage = Stage::Complete(true),
            (Stage::Described | Stage::Start, b'C') if is_tag(message.body) => {
                self.stage = Stage::Complete(false);
            }
            (Stage::Start, b'E') => {
                self.stage = Stage::Refused(pgwire::error_code(message.body).ok_or(Spoilt)?.to_string());
                return Ok(());
            }
            _ => return Err(Spoilt),
        }
        self.body.write(|body| body.extend_from_slice(message.raw));
        Ok(())
    }

    fn tell(&mut self, name: &str, value: &str) {
        match name {
            "replication_role" => {
                self.note.role = match value {
                    "primary" => Some(Role::Primary),
                    "standby" => Some(Role::Replica),
                    _ => None,
                };
            }
            "log_position" => self.note.position = value.parse().ok().map(clock::from_ms),
            "pressure" => self.report = report(value.as_bytes()),
            _ => {}
        }
    }

    /// Whether it says what became of the request, though no more may come.
    pub fn tells(&self) -> bool {
        matches!(self.stage, Stage::Complete(_) | Stage::Refused(_))
    }

    /// What became of the request.
    pub fn ending(&self) -> Ending {
        match &self.stage {
            Stage::Complete(true) => Ending::Success,
            Stage::Refused(code) => match code.as_str() {
                code::READ_ONLY | code::TOO_OLD => Ending::Missed,
                code::TURNED_AWAY => Ending::Overloaded,
                _ => Ending::Failure,
            },
            _ => Ending::Failure,
        }
    }
}

/// A load report, `name=value` with commas between. One that can't be read to its end tells nothing at all: half a
/// report may name a position or a role that no db node has.
fn report(text: &[u8]) -> Standing {
    let fields = std::str::from_utf8(text).unwrap_or("").split(',').map(|field| {
        let (name, value) = field.split_once('=')?;
        let figure = value.parse::<f64>().ok().filter(|figure| figure.is_finite() && *figure >= 0.0)?;
        Some((name, figure))
    });
    let mut told = Standing::default();
    for (name, figure) in fields.collect::<Option<Vec<_>>>().unwrap_or_default() {
        match name {
            "x0" => told.position = clock::from_seconds(figure),
            "x1" => told.role = Some(if figure == 1.0 { Role::Primary } else { Role::Replica }),
            _ => {}
        }
    }
    told
}

#[cfg(test)]
mod tests {
    use super::*;

    const COLUMN: &[u8] = b"\0\x01body\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

    fn of(messages: &[(u8, &[u8])]) -> Result<Ending, Spoilt> {
        let mut reply = Reply::new(&Budget::new(1 << 20));
        for (kind, body) in messages {
            reply.take(&Message { kind: *kind, body, raw: body }, false)?;
        }
        Ok(reply.ending())
    }

    #[test]
    fn only_a_whole_reply_in_its_order_is_served() {
        // Danger: a client served with anything but the value made for its request loses it.
        let (column, row, tag) =
            ((b'T', COLUMN), (b'D', &b"\0\x01\0\0\0\x01v"[..]), (b'C', &b"SELECT 1\0"[..]));
        let status = (b'S', &b"replication_role\0standby\0"[..]);
        assert_eq!(of(&[column, row, tag, status]), Ok(Ending::Success));
        assert_eq!(of(&[column, tag]), Ok(Ending::Failure));
        assert_eq!(of(&[(b'E', b"SERROR\0C53300\0Mno\0\0")]), Ok(Ending::Overloaded));
        for spoilt in [
            &[row][..],
            &[column, row, row],
            &[column, row, tag, row],
            &[column, row, tag, tag],
            &[column, column],
            &[(b'T', &COLUMN[1..])],
            &[(b'T', b"")],
            &[column, (b'D', b"\0\x01\0\0\0\x02v")],
            &[column, (b'D', b"\0\x01\xff\xff\xff\xff")],
            &[column, row, (b'C', b"SELECT 1")],
            &[column, row, (b'C', b"\x7f\x01\0")],
            &[column, row, (b'E', b"SERROR\0C53300\0Mno\0\0")],
            &[(b'E', b"SERROR\0C53")],
            &[(b'E', b"noise")],
            &[(b'S', b"replication_role\0standby")],
            &[(b'S', b"a\0b\0c\0")],
        ] {
            assert_eq!(of(spoilt), Err(Spoilt), "{spoilt:?}");
        }
    }

    #[test]
    fn a_report_that_cannot_be_read_tells_nothing() {
        // Danger: a position out of noise would let stale reads through, a role send writes to a replica.
        let whole = report(b"x0=1767225600.123,x1=1,inflight=7");
        assert_eq!((whole.position, whole.role), (Some(1_767_225_600_123_000), Some(Role::Primary)));
        for noise in
            ["x0=NaN,x1=1", "x0=-5,x1=1", "x0=inf,x1=1", "x1=1,x0=17\u{fffd}", "x1=1,", "", "x1=1,x0"]
        {
            let told = report(noise.as_bytes());
            assert_eq!((told.position, told.role), (None, None), "{noise}");
        }
    }
}
