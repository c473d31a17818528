//! The words of replies, errors and greetings in a client's version, with values in the forms that it wants.

use crate::Version;
use crate::cancel::CancelKey;
use crate::messages::{self, Column, Fields, Malformed, Message, code, put, put_text};
use crate::values::ValueFormats;

/// What a client is spoken to with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Encoder {
    /// Its version.
    pub version: Version,
    /// The forms of its values.
    pub formats: ValueFormats,
}

/// A reply that cannot be said in the client's version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Untranslatable(pub &'static str);

impl From<Malformed> for Untranslatable {
    fn from(_: Malformed) -> Self {
        Untranslatable("the server's answer is malformed")
    }
}

/// The most columns that 2.0 can number.
const V2_COLUMNS: usize = 1_664;
/// The fields of an error that 3.0 had when it was young; what came later (schema, table, column, constraint, the
/// severity without translation) old clients may stumble over.
const OLD_FIELDS: &[u8] = b"SCMDHPpqWFLR";

impl Encoder {
    /// Whether a reply goes on just as it came, so that nothing needs to be written anew.
    pub fn passes_unchanged(&self, messages: &[u8]) -> bool {
        self.version != Version::V2
            && self.formats == ValueFormats::default()
            && self.only_known_fields(messages)
    }

    /// Appends a whole reply, given in messages of version 3 without ReadyForQuery.
    ///
    /// # Errors
    /// It cannot be said; nothing that was appended may be sent.
    pub fn put_reply(&self, messages: &[u8], out: &mut Vec<u8>) -> Result<(), Untranslatable> {
        if self.passes_unchanged(messages) {
            out.extend_from_slice(messages);
            return Ok(());
        }
        let mut columns: Vec<Column<'_>> = Vec::new();
        for message in messages::split(messages) {
            match message.kind {
                b'T' => {
                    columns = messages::parse_columns(message.body)?;
                    self.description(&message, &columns, out)?;
                }
                b'D' => self.row(&message, &columns, out)?,
                b'E' | b'N' => self.error_as_told(&message, out)?,
                _ if self.version != Version::V2 => out.extend_from_slice(message.raw),
                b'C' => {
                    let tag = message.body.strip_suffix(&[0]).ok_or(Malformed)?;
                    let known = [&b"SELECT"[..], b"FETCH", b"MOVE", b"COPY"];
                    let word = known.into_iter().find(|word| tag.starts_with(word));
                    out.push(b'C');
                    put_text(out, word.filter(|w| *w != b"MOVE").unwrap_or(tag));
                }
                b'I' => out.extend_from_slice(b"I\0"),
                b'H' => out.push(b'H'),
                b'd' => out.extend_from_slice(message.body),
                b'c' => out.extend_from_slice(b"\\.\n"),
                _ => {
                    return Err(Untranslatable(
                        "the server's answer has a message that version 2.0 has no word for",
                    ));
                }
            }
        }
        Ok(())
    }

    fn only_known_fields(&self, messages: &[u8]) -> bool {
        messages::split(messages)
            .filter(|m| b"EN".contains(&m.kind))
            .all(|m| {
                messages::parse_error_fields(m.body)
                    .is_ok_and(|fields| fields.iter().all(|(kind, _)| OLD_FIELDS.contains(kind)))
            })
    }

    fn description(
        &self,
        message: &Message<'_>,
        columns: &[Column<'_>],
        out: &mut Vec<u8>,
    ) -> Result<(), Untranslatable> {
        if self.version != Version::V2 {
            out.extend_from_slice(message.raw);
            return Ok(());
        }
        if columns.len() > V2_COLUMNS {
            return Err(Untranslatable(
                "the answer has more columns than version 2.0 can number",
            ));
        }
        // A cursor's name comes before its rows; that of a simple query is `blank`.
        out.extend_from_slice(b"Pblank\0T");
        out.extend_from_slice(&(columns.len() as u16).to_be_bytes());
        for column in columns {
            put_text(out, column.name);
            out.extend_from_slice(&column.kind.to_be_bytes());
            out.extend_from_slice(&column.size.to_be_bytes());
            out.extend_from_slice(&column.modifier.to_be_bytes());
        }
        Ok(())
    }

    fn row(
        &self,
        message: &Message<'_>,
        columns: &[Column<'_>],
        out: &mut Vec<u8>,
    ) -> Result<(), Untranslatable> {
        let v2 = self.version == Version::V2;
        if !v2
            && !columns
                .iter()
                .any(|column| self.formats.changes(column.kind))
        {
            out.extend_from_slice(message.raw);
            return Ok(());
        }
        let mut fields = Fields(message.body);
        if usize::try_from(fields.int16()?) != Ok(columns.len()) {
            return Err(Malformed.into());
        }
        // 2.0 has one form for a whole row: `D` for texts, whose lengths count themselves, and `B` for binary values.
        let binary = columns.iter().filter(|column| column.binary).count();
        if v2 && binary != 0 && binary != columns.len() {
            return Err(Untranslatable(
                "the answer mixes texts and binary values, which version 2.0 cannot",
            ));
        }
        let more = if v2 && binary == 0 { 4 } else { 0 };
        let start = out.len();
        if v2 {
            out.push(if binary > 0 { b'B' } else { b'D' });
            out.resize(start + 1 + columns.len().div_ceil(8), 0);
        } else {
            out.extend_from_slice(&[b'D', 0, 0, 0, 0]);
            out.extend_from_slice(&(columns.len() as u16).to_be_bytes());
        }
        for (n, column) in columns.iter().enumerate() {
            let Some(value) = fields.value()? else {
                if !v2 {
                    out.extend_from_slice(&(-1i32).to_be_bytes());
                }
                continue;
            };
            if v2 {
                out[start + 1 + n / 8] |= 0x80 >> (n % 8);
            }
            let new = if column.binary {
                None
            } else {
                self.formats.rewrite(column.kind, value)
            };
            let text = new.as_deref().unwrap_or(value);
            out.extend_from_slice(&(text.len() as u32 + more).to_be_bytes());
            out.extend_from_slice(text);
        }
        fields.end()?;
        if !v2 {
            let length = (out.len() - start - 1) as u32;
            out[start + 1..start + 5].copy_from_slice(&length.to_be_bytes());
        }
        Ok(())
    }

    /// An error or a notice as the server told it.
    fn error_as_told(
        &self,
        message: &Message<'_>,
        out: &mut Vec<u8>,
    ) -> Result<(), Untranslatable> {
        let fields = messages::parse_error_fields(message.body)?;
        if self.version != Version::V2 {
            put(out, message.kind, |out| {
                for (kind, text) in fields.iter().filter(|(kind, _)| OLD_FIELDS.contains(kind)) {
                    out.push(*kind);
                    put_text(out, text);
                }
                out.push(0);
            });
            return Ok(());
        }
        let of = |wanted: u8| {
            fields
                .iter()
                .find(|(kind, _)| *kind == wanted)
                .map(|(_, text)| *text)
        };
        let severity = of(b'S').unwrap_or(if message.kind == b'E' {
            b"ERROR"
        } else {
            b"NOTICE"
        });
        let mut text = [severity, b":  ", of(b'M').unwrap_or_default(), b"\n"].concat();
        for (kind, name) in [(b'D', "DETAIL"), (b'H', "HINT")] {
            if let Some(more) = of(kind) {
                text.extend_from_slice(&[name.as_bytes(), b":  ", more, b"\n"].concat());
            }
        }
        out.push(message.kind);
        put_text(out, &text);
        Ok(())
    }

    /// Appends an error that the router words itself. `detail`: when to come back, in milliseconds.
    pub fn put_error(
        &self,
        fatal: bool,
        code: &str,
        text: &str,
        detail: Option<u64>,
        out: &mut Vec<u8>,
    ) {
        if self.version != Version::V2 {
            return messages::put_error(out, fatal, code, text, detail);
        }
        // 2.0 has no codes: what a program must know stands in the text.
        let severity = if fatal { "FATAL" } else { "ERROR" };
        let again = match (code, detail) {
            (code::TOO_MANY_CONNECTIONS | code::CANNOT_CONNECT_NOW, Some(wait)) => {
                format!("HINT:  Try again after {wait} ms.\n")
            }
            (code::TOO_MANY_CONNECTIONS | code::CANNOT_CONNECT_NOW, None) => {
                "HINT:  Trying again is harmless.\n".into()
            }
            _ => String::new(),
        };
        out.push(b'E');
        put_text(
            out,
            format!("{severity}:  {text} ({code})\n{again}").as_bytes(),
        );
    }

    /// Appends ReadyForQuery.
    pub fn put_ready(&self, out: &mut Vec<u8>) {
        match self.version {
            Version::V2 => out.push(b'Z'),
            _ => messages::put_ready(out),
        }
    }

    /// Appends the answer to an empty query.
    pub fn put_empty_query_response(&self, out: &mut Vec<u8>) {
        match self.version {
            Version::V2 => out.extend_from_slice(b"I\0"),
            _ => put(out, b'I', |_| {}),
        }
    }

    /// Appends the completion of a command that the router answers itself.
    pub fn put_complete(&self, tag: &str, out: &mut Vec<u8>) {
        match self.version {
            Version::V2 => {
                out.push(b'C');
                put_text(out, tag.as_bytes());
            }
            _ => messages::put_complete(out, tag),
        }
    }

    /// Appends what a setting is now; 2.0 has no word for it.
    pub fn put_status(&self, name: &str, value: &str, out: &mut Vec<u8>) {
        if self.version != Version::V2 {
            messages::put_status(out, name, value);
        }
    }

    /// Appends what a client is greeted with once it is in.
    pub fn put_greeting(
        &self,
        parameters: &[(String, String)],
        key: Option<&CancelKey>,
        out: &mut Vec<u8>,
    ) {
        let none = CancelKey {
            id: 0,
            secret: vec![0; 4],
        };
        let key = key.unwrap_or(&none);
        let mut id = key.id.to_be_bytes().to_vec();
        id.extend_from_slice(&key.secret);
        match self.version {
            Version::V2 => {
                out.extend_from_slice(b"R\0\0\0\0K");
                out.extend_from_slice(&id);
            }
            _ => {
                put(out, b'R', |out| out.extend_from_slice(&[0; 4]));
                parameters
                    .iter()
                    .for_each(|(name, value)| messages::put_status(out, name, value));
                put(out, b'K', |out| out.extend_from_slice(&id));
            }
        }
        self.put_ready(out);
    }
}
