//! Statements as the platform writes them, with their labels in a comment in front; and the framing of messages, which is
//! the dialect's.

pub use plovercove_pgwire::messages::*;
use plovercove_pgwire::reply::Shape;
use std::ops::Range;

/// A query of a client, to be passed on as it is but for the patience it tells.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    text: String,
    /// Where the digits of `d` stand.
    timeout_digits: Range<usize>,
    /// What its answer may look like.
    pub shape: Shape,
}

/// What the comment in front of a statement says, by name.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Labels<'a> {
    /// The request's own name.
    pub id: &'a str,
    /// The class.
    pub class: &'a str,
    /// The tenant, where told.
    pub tenant: Option<&'a str>,
    /// The client's patience in milliseconds.
    pub timeout_ms: u64,
    /// Whether the client marked a repeat.
    pub is_retry: bool,
    /// The group.
    pub group: u64,
    /// The position that the read must see, in Unix milliseconds.
    pub min_position_ms: Option<u64>,
    /// The first quoted text of the statement.
    pub quoted_key: Option<&'a str>,
    timeout_digits: Range<usize>,
}

/// What is wrong with the comment in front of a statement. Clients are told the text; nothing is allocated for it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum Mislabelled<'a> {
    /// There is none.
    #[error("the statement does not start with a comment")]
    NoComment,
    /// It goes on to the end of the statement.
    #[error("the comment does not end")]
    Endless,
    /// A part of it is no label.
    #[error("{0:?} is not name=value")]
    NoPair(&'a str),
    /// A label that counts does not.
    #[error("{name}: {value:?} is not a whole number")]
    NoNumber {
        /// The label.
        name: &'a str,
        /// What it says.
        value: &'a str,
    },
    /// A label stands there twice.
    #[error("{0} is told twice")]
    Twice(&'a str),
    /// The request's name is none.
    #[error("id: expected letters and digits")]
    Id,
    /// A label that must be there is not.
    #[error("{0} is missing")]
    Missing(&'static str),
}

impl Mislabelled<'_> {
    /// What an operator can do.
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
            Mislabelled::Id => {
                "have the client name each request with 1 to 64 letters, digits, - and _"
            }
            Mislabelled::Missing(_) => {
                "have the client write this label; id, c, d and cluster must be there"
            }
        }
    }
}

/// Reads the comment in front of a statement.
///
/// # Errors
/// Says what is wrong with it.
pub fn read_labels(text: &str) -> Result<Labels<'_>, Mislabelled<'_>> {
    let trimmed = text.trim_start();
    let start = text.len() - trimmed.len();
    let inner = trimmed.strip_prefix("/*").ok_or(Mislabelled::NoComment)?;
    let (comment, statement) = inner.split_once("*/").ok_or(Mislabelled::Endless)?;
    let mut found = Labels::default();
    let mut at = start + 2;
    let (mut id, mut class, mut group, mut timeout_ms) = (None, None, None, None);
    let mut seen: Vec<&str> = Vec::new();
    for part in comment.split(',') {
        let (name, value) = part.split_once('=').ok_or(Mislabelled::NoPair(part))?;
        let name_length = name.len();
        let (name, trimmed_value) = (name.trim(), value.trim());
        let number = || {
            let digits = Some(trimmed_value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            digits
                .and_then(|v| v.parse::<u64>().ok())
                .ok_or(Mislabelled::NoNumber {
                    name,
                    value: trimmed_value,
                })
        };
        // Danger: said twice, the db node may go by the other one than the router does.
        if seen.contains(&name) {
            return Err(Mislabelled::Twice(name));
        }
        seen.push(name);
        match name {
            "id" => {
                let fits = (1..=64).contains(&trimmed_value.len())
                    && trimmed_value
                        .bytes()
                        .all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
                id = Some(fits.then_some(trimmed_value).ok_or(Mislabelled::Id)?);
            }
            "c" => class = Some(trimmed_value),
            "t" => found.tenant = Some(trimmed_value).filter(|t| !t.is_empty()),
            "d" => {
                let lead = value.len() - value.trim_start().len();
                let begin = at + name_length + 1 + lead;
                timeout_ms = Some(number()?);
                found.timeout_digits = begin..begin + trimmed_value.len();
            }
            "r" => found.is_retry = trimmed_value == "1",
            "cluster" => group = Some(number()?),
            "after" => found.min_position_ms = Some(number()?),
            _ => {}
        }
        at += part.len() + 1;
    }
    found.class = class.ok_or(Mislabelled::Missing("c, the class,"))?;
    found.group = group.ok_or(Mislabelled::Missing("cluster, the group,"))?;
    found.id = id.ok_or(Mislabelled::Missing("id"))?;
    found.timeout_ms = timeout_ms.ok_or(Mislabelled::Missing("d, the patience,"))?;
    found.quoted_key = statement.split('\'').nth(1);
    Ok(found)
}

impl Statement {
    /// A statement whose comment has been read.
    pub fn new(text: &str, labels: &Labels<'_>, shape: Shape) -> Self {
        Statement {
            text: text.to_string(),
            timeout_digits: labels.timeout_digits.clone(),
            shape,
        }
    }

    /// Appends it as a query that tells this patience in milliseconds.
    pub fn append_query(&self, out: &mut Vec<u8>, timeout_ms: u64) {
        let (before, after) = (
            &self.text[..self.timeout_digits.start],
            &self.text[self.timeout_digits.end..],
        );
        put_query(out, &format!("{before}{timeout_ms}{after}"));
    }
}

#[cfg(test)]
mod tests;
