//! Version 3 of the PostgreSQL wire protocol: the framing of messages, for clients and db nodes alike.

use std::ops::Range;

/// Codes of errors that the router words or reads.
pub mod code {
    /// Turned away, harmless to repeat.
    pub const TURNED_AWAY: &str = "53300";
    /// Not able to take it just now, harmless to repeat.
    pub const NOT_NOW: &str = "57P03";
    /// A message that breaks the protocol.
    pub const PROTOCOL: &str = "08P01";
    /// The outcome is unknown.
    pub const UNKNOWN_OUTCOME: &str = "08007";
    /// A name that does not exist.
    pub const UNDEFINED: &str = "42704";
    /// Not spoken here.
    pub const UNSUPPORTED: &str = "0A000";
    /// A write at a db node that is no primary.
    pub const READ_ONLY: &str = "25006";
    /// A read at a db node that is too far behind.
    pub const TOO_OLD: &str = "72000";
}

const PROTOCOL_3: u32 = 196_608;
const CANCEL_REQUEST: u32 = 80_877_102;
const SSL_REQUEST: u32 = 80_877_103;
const GSS_REQUEST: u32 = 80_877_104;

/// Framing that cannot be followed any further.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// One message, without its length.
#[derive(Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its kind.
    pub kind: u8,
    /// What follows the length.
    pub body: &'a [u8],
    /// The whole of it, as it came.
    pub raw: &'a [u8],
}

/// The message at the front of some bytes, if it is whole. One longer than `most` is malformed.
pub fn message(bytes: &[u8], most: usize) -> Result<Option<Message<'_>>, Malformed> {
    let Some((&kind, rest)) = bytes.split_first() else { return Ok(None) };
    let Some(length) = length(rest, most)? else { return Ok(None) };
    let raw = bytes.get(..length + 1);
    Ok(raw.map(|raw| Message { kind, body: &raw[5..], raw }))
}

fn length(bytes: &[u8], most: usize) -> Result<Option<usize>, Malformed> {
    let Some(field) = bytes.first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_be_bytes(*field) as usize;
    if (4..=most).contains(&length) { Ok(Some(length)) } else { Err(Malformed) }
}

/// What a client's first packet asks for.
#[derive(Debug, PartialEq, Eq)]
pub enum Opening {
    /// A session. The minor version where it is newer than 3.0.
    Session(Option<u32>),
    /// Encryption, which is not offered.
    Encryption,
    /// To cancel a query of another connection.
    Cancel,
}

/// The first packet at the front of some bytes, and its length, if it is whole.
pub fn opening(bytes: &[u8]) -> Result<Option<(Opening, usize)>, Malformed> {
    let Some(length) = length(bytes, 10_000)? else { return Ok(None) };
    let Some(packet) = bytes.get(..length) else { return Ok(None) };
    let code = packet[4..].first_chunk::<4>().map(|c| u32::from_be_bytes(*c));
    let opening = match code {
        Some(PROTOCOL_3) => Opening::Session(None),
        Some(version) if version >> 16 == 3 => Opening::Session(Some(version & 0xffff)),
        Some(SSL_REQUEST | GSS_REQUEST) => Opening::Encryption,
        Some(CANCEL_REQUEST) => Opening::Cancel,
        _ => return Err(Malformed),
    };
    Ok(Some((opening, length)))
}

/// Appends a message whose body is written by a closure.
pub fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    put_packet(out, body);
}

fn put_packet(out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

fn put_text(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(text.as_bytes());
    out.push(0);
}

/// Appends the packet that opens a session at a db node.
pub fn put_startup(out: &mut Vec<u8>, user: &str, database: &str) {
    put_packet(out, |out| {
        out.extend_from_slice(&PROTOCOL_3.to_be_bytes());
        for text in ["user", user, "database", database, ""] {
            put_text(out, text);
        }
    });
}

/// Appends what a client is greeted with.
pub fn put_welcome(out: &mut Vec<u8>, newer_minor: Option<u32>) {
    if newer_minor.is_some() {
        put(out, b'v', |out| out.extend_from_slice(&[0; 8]));
    }
    put(out, b'R', |out| out.extend_from_slice(&[0; 4]));
    for (name, value) in
        [("server_version", "15.0"), ("server_encoding", "UTF8"), ("client_encoding", "UTF8")]
    {
        put(out, b'S', |out| {
            put_text(out, name);
            put_text(out, value);
        });
    }
    put(out, b'K', |out| out.extend_from_slice(&[0; 8]));
    put_ready(out);
}

/// Appends ReadyForQuery, outside a transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

/// Appends CommandComplete.
pub fn put_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', |out| put_text(out, tag));
}

/// Appends a simple query.
pub fn put_query(out: &mut Vec<u8>, text: &str) {
    put(out, b'Q', |out| put_text(out, text));
}

/// Appends ErrorResponse.
pub fn put_error(out: &mut Vec<u8>, fatal: bool, code: &str, text: &str, detail: Option<u64>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    put(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', text)] {
            out.push(field);
            put_text(out, value);
        }
        if let Some(number) = detail {
            out.push(b'D');
            put_text(out, &number.to_string());
        }
        out.push(0);
    });
}

/// The code of an ErrorResponse; none where it is not the list of fields that it should be.
pub fn error_code(body: &[u8]) -> Option<&str> {
    let mut fields = body.strip_suffix(&[0, 0])?.split(|byte| *byte == 0);
    let code = fields.find_map(|field| field.strip_prefix(b"C")).filter(|code| code.len() == 5)?;
    std::str::from_utf8(code).ok().filter(|code| code.bytes().all(|byte| byte.is_ascii_alphanumeric()))
}

/// The value of a DataRow of a single column.
pub fn single_value(body: &[u8]) -> Option<&[u8]> {
    let (head, value) = body.split_first_chunk::<6>()?;
    let [columns @ .., a, b, c, d] = *head;
    let length = usize::try_from(i32::from_be_bytes([a, b, c, d])).ok()?;
    (columns == [0, 1] && value.len() == length).then_some(value)
}

/// A query of a client, to be passed on as it is but for the patience it tells.
#[derive(Debug, PartialEq, Eq)]
pub struct Statement {
    text: String,
    /// Where the digits of `d` stand.
    patience: Range<usize>,
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
    pub patience: u64,
    /// Whether the client marked a repeat.
    pub repeat: bool,
    /// The group.
    pub group: u64,
    /// The position that the read must see, in Unix milliseconds.
    pub after: Option<u64>,
    /// The first quoted text of the statement.
    pub key: Option<&'a str>,
    patience_at: Range<usize>,
}

/// Reads the comment in front of a statement, or says what is wrong with it.
pub fn labels(text: &str) -> Result<Labels<'_>, String> {
    let trimmed = text.trim_start();
    let start = text.len() - trimmed.len();
    let inner = trimmed.strip_prefix("/*").ok_or("the statement does not start with a comment")?;
    let (comment, statement) = inner.split_once("*/").ok_or("the comment does not end")?;
    let mut found = Labels::default();
    let mut at = start + 2;
    let (mut id, mut class, mut group, mut patience) = (None, None, None, None);
    let mut seen: Vec<&str> = Vec::new();
    for part in comment.split(',') {
        let (name, value) = part.split_once('=').ok_or_else(|| format!("{part:?} is not name=value"))?;
        let name_length = name.len();
        let (name, trimmed_value) = (name.trim(), value.trim());
        let number = || {
            let wrong = || format!("{name}: {trimmed_value:?} is not a whole number");
            let digits = Some(trimmed_value).filter(|v| v.bytes().all(|b| b.is_ascii_digit()));
            digits.and_then(|v| v.parse::<u64>().ok()).ok_or_else(wrong)
        };
        // Danger: said twice, the db node may go by the other one than the router does.
        if seen.contains(&name) {
            return Err(format!("{name} is told twice"));
        }
        seen.push(name);
        match name {
            "id" => {
                let fits = (1..=64).contains(&trimmed_value.len())
                    && trimmed_value.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_".contains(&b));
                id = Some(fits.then_some(trimmed_value).ok_or("id: expected letters and digits")?);
            }
            "c" => class = Some(trimmed_value),
            "t" => found.tenant = Some(trimmed_value).filter(|t| !t.is_empty()),
            "d" => {
                let lead = value.len() - value.trim_start().len();
                let begin = at + name_length + 1 + lead;
                patience = Some(number()?);
                found.patience_at = begin..begin + trimmed_value.len();
            }
            "r" => found.repeat = trimmed_value == "1",
            "cluster" => group = Some(number()?),
            "after" => found.after = Some(number()?),
            _ => {}
        }
        at += part.len() + 1;
    }
    found.class = class.ok_or("c, the class, is missing")?;
    found.group = group.ok_or("cluster, the group, is missing")?;
    found.id = id.ok_or("id is missing")?;
    found.patience = patience.ok_or("d, the patience, is missing")?;
    found.key = statement.split('\'').nth(1);
    Ok(found)
}

impl Statement {
    /// A statement whose comment has been read.
    pub fn new(text: &str, labels: &Labels<'_>) -> Self {
        Statement { text: text.to_string(), patience: labels.patience_at.clone() }
    }

    /// Appends it as a query that tells this patience in milliseconds.
    pub fn put(&self, out: &mut Vec<u8>, patience: u64) {
        let (before, after) = (&self.text[..self.patience.start], &self.text[self.patience.end..]);
        put_query(out, &format!("{before}{patience}{after}"));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const READ: &str =
        "/* id=9b,c=basket,t=acme,d=480,cluster=2,after=17 */ SELECT body FROM objects WHERE oid = '7f3a'";

    #[test]
    fn only_the_patience_of_a_statement_changes() {
        let found = labels(READ).expect("well formed");
        assert_eq!((found.class, found.tenant, found.group), ("basket", Some("acme"), 2));
        assert_eq!((found.patience, found.after, found.key), (480, Some(17), Some("7f3a")));
        let mut out = Vec::new();
        Statement::new(READ, &found).put(&mut out, 33);
        let mut want = Vec::new();
        put_query(&mut want, &READ.replace("d=480", "d=33"));
        assert_eq!(out, want);
    }

    #[test]
    fn odd_comments_are_named_and_nothing_panics() {
        for (text, complaint) in [
            ("SELECT 1", "comment"),
            ("/* id=1", "does not end"),
            ("/**/ SELECT 1", "not name=value"),
            ("/* c=a,d=x,cluster=1 */", "d: \"x\""),
            ("/* d=5,cluster=1 */", "class"),
            ("/* c=a */", "cluster"),
            ("/* c=a,cluster=-1 */", "cluster: \"-1\""),
            ("/* id=1,id=2 */", "id is told twice"),
            ("/* id=a b */", "id: expected"),
            ("/* c=a,cluster=1,d=5 */", "id is missing"),
            ("/* id=1,c=a,cluster=1 */", "d, the patience"),
            ("/* id=1,c=a,cluster=1,d=-5 */", "d: \"-5\""),
        ] {
            let said = labels(text).expect_err(text);
            assert!(said.contains(complaint), "{text}: {said}");
        }
    }

    #[test]
    fn lengths_out_of_bounds_are_malformed_and_parts_are_waited_for() {
        assert_eq!(message(b"Q\0\0\0\x03", 100), Err(Malformed));
        assert_eq!(message(b"Q\xff\xff\xff\xff", 100), Err(Malformed));
        for part in [&b""[..], b"Q", b"Q\0\0\0", b"Q\0\0\0\x06a"] {
            assert_eq!(message(part, 100), Ok(None));
        }
        assert_eq!(opening(b"\0\0\0\x04"), Err(Malformed));
        assert_eq!(opening(b"\0\0\0\x08\0\x02\0\0"), Err(Malformed));
        assert_eq!(single_value(b"\0\x01\0\0\0\x02ab"), Some(&b"ab"[..]));
        assert_eq!(
            (single_value(b"\0\x02\0\0\0\x02ab"), single_value(b"\0\x01\xff\xff\xff\xff")),
            (None, None)
        );
    }
}
