//! Statements as the platform's clients send them, with labels in a leading comment. Also re-exports the message framing of
//! `plovercove-pgwire`.

use crate::net::budget::Reservation;
use plovercove_pgwire::excerpt;
pub use plovercove_pgwire::messages::*;
use plovercove_pgwire::reply::Shape;
use std::ops::Range;

/// Bytes of a query message besides its text: its type, its length and a zero byte.
const QUERY_OVERHEAD_BYTES: usize = 6;

/// Maximum number of labels of a statement. Clients send at most seven; the names are compared with each other.
const MAX_LABELS: usize = 32;

/// A query of a client. It is forwarded unchanged, except for the timeout in its labels.
pub struct Statement {
    text: String,
    /// The position of the digits of the label `d`, the timeout.
    timeout_digits: Range<usize>,
    /// The expected shape of the reply.
    pub shape: Shape,
    /// Reserves the bytes of the text in the memory budget for as long as anything holds the statement.
    _reservation: Option<Reservation>,
}

/// The labels in the leading comment of a statement.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Labels<'a> {
    /// The request ID.
    pub id: &'a str,
    /// The class.
    pub class: &'a str,
    /// The tenant, if given.
    pub tenant: Option<&'a str>,
    /// The client's timeout in milliseconds.
    pub timeout_ms: u64,
    /// Whether the client marked the statement as a retry.
    pub is_retry: bool,
    /// The group.
    pub group: u64,
    /// The minimum log position of the node that serves the read, in Unix milliseconds.
    pub min_position_ms: Option<u64>,
    /// The first single-quoted text of the statement.
    pub quoted_key: Option<&'a str>,
    timeout_digits: Range<usize>,
}

/// A fault in the leading comment of a statement. Its text is sent to the client. It borrows from the statement.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum Mislabelled<'a> {
    /// There is no leading comment.
    #[error("the statement does not start with a comment")]
    NoComment,
    /// The comment is not closed.
    #[error("the comment does not end")]
    Endless,
    /// A part of the comment is not a label.
    #[error("{0:?} is not name=value")]
    NoPair(&'a str),
    /// A numeric label is not a whole number.
    #[error("{name}: {value:?} is not a whole number")]
    NoNumber {
        /// The label.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// A label is given twice.
    #[error("{0} is told twice")]
    Twice(&'a str),
    /// There are more labels than any client needs.
    #[error("there are more than {MAX_LABELS} labels")]
    TooMany,
    /// The request ID is malformed.
    #[error("id: expected letters and digits")]
    Id,
    /// A required label is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
}

impl Mislabelled<'_> {
    /// Returns advice for the operator.
    pub fn help(&self) -> &'static str {
        match self {
            Mislabelled::NoComment => {
                "have the client begin each statement with its labels, or send clients that know none to a further front"
            }
            Mislabelled::Endless => "have the client end the comment of labels with */",
            Mislabelled::NoPair(_) => {
                "have the client write labels as name=value with commas between, and no comma in a value"
            }
            Mislabelled::NoNumber { .. } => "have the client write this label in digits alone",
            Mislabelled::Twice(_) => {
                "have the client, or the library between, write each label once"
            }
            Mislabelled::TooMany => "have the client write no other labels than the router knows",
            Mislabelled::Id => {
                "have the client name each request with 1 to 64 letters, digits, - and _"
            }
            Mislabelled::Missing(_) => {
                "have the client write this label; id, c, d and cluster must be there"
            }
        }
    }
}

/// Reads the labels in the leading comment of a statement.
///
/// # Errors
/// Returns the first fault in the comment.
pub fn read_labels(text: &str) -> Result<Labels<'_>, Mislabelled<'_>> {
    let trimmed = text.trim_start();
    let start = text.len() - trimmed.len();
    let inner = trimmed.strip_prefix("/*").ok_or(Mislabelled::NoComment)?;
    let (comment, statement) = inner.split_once("*/").ok_or(Mislabelled::Endless)?;
    let mut labels = Labels::default();
    let mut offset = start + 2;
    let (mut id, mut class, mut group, mut timeout_ms) = (None, None, None, None);
    let mut seen_names: Vec<&str> = Vec::new();
    for part in comment.split(',') {
        let (name, value) = part
            .split_once('=')
            .ok_or(Mislabelled::NoPair(excerpt(part)))?;
        let name_length = name.len();
        let (name, trimmed_value) = (name.trim(), value.trim());
        let number = || {
            let digits = Some(trimmed_value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            digits
                .and_then(|v| v.parse::<u64>().ok())
                .ok_or(Mislabelled::NoNumber {
                    name,
                    value: excerpt(trimmed_value),
                })
        };
        if seen_names.len() >= MAX_LABELS {
            return Err(Mislabelled::TooMany);
        }
        // A duplicate label is rejected, because the db node could use the other value than the router.
        if seen_names.contains(&name) {
            return Err(Mislabelled::Twice(excerpt(name)));
        }
        seen_names.push(name);
        match name {
            "id" => {
                let fits = (1..=64).contains(&trimmed_value.len())
                    && trimmed_value
                        .bytes()
                        .all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
                id = Some(fits.then_some(trimmed_value).ok_or(Mislabelled::Id)?);
            }
            "c" => class = Some(trimmed_value),
            "t" => labels.tenant = Some(trimmed_value).filter(|t| !t.is_empty()),
            "d" => {
                let leading_spaces = value.len() - value.trim_start().len();
                let digits_start = offset + name_length + 1 + leading_spaces;
                timeout_ms = Some(number()?);
                labels.timeout_digits = digits_start..digits_start + trimmed_value.len();
            }
            "r" => labels.is_retry = trimmed_value == "1",
            "cluster" => group = Some(number()?),
            "after" => labels.min_position_ms = Some(number()?),
            _ => {}
        }
        offset += part.len() + 1;
    }
    labels.class = class.ok_or(Mislabelled::Missing("c, the class,"))?;
    labels.group = group.ok_or(Mislabelled::Missing("cluster, the group,"))?;
    labels.id = id.ok_or(Mislabelled::Missing("id"))?;
    labels.timeout_ms = timeout_ms.ok_or(Mislabelled::Missing("d, the patience,"))?;
    labels.quoted_key = statement.split('\'').nth(1);
    Ok(labels)
}

impl Statement {
    /// Creates a statement from its text and its labels.
    pub fn new(text: &str, labels: &Labels<'_>, shape: Shape) -> Self {
        Statement {
            text: text.to_string(),
            timeout_digits: labels.timeout_digits.clone(),
            shape,
            _reservation: None,
        }
    }

    /// Keeps a reservation of memory until the statement is dropped.
    pub fn with_reservation(mut self, reservation: Reservation) -> Self {
        self._reservation = Some(reservation);
        self
    }

    /// Appends the statement as a query message with this timeout in milliseconds.
    pub fn append_query(&self, out: &mut Vec<u8>, timeout_ms: u64) {
        let before = &self.text[..self.timeout_digits.start];
        let after = &self.text[self.timeout_digits.end..];
        let timeout = timeout_ms.to_string();
        // One allocation of the final size: a statement may have megabytes.
        out.reserve_exact(before.len() + timeout.len() + after.len() + QUERY_OVERHEAD_BYTES);
        put(out, b'Q', |out| {
            out.extend_from_slice(before.as_bytes());
            out.extend_from_slice(timeout.as_bytes());
            put_text(out, after.as_bytes());
        });
    }
}

#[cfg(test)]
mod tests;
