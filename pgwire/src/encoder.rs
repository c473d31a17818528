//! Encodes replies, errors and greetings in a client's protocol version and value formats.

use crate::Version;
use crate::cancel::CancelKey;
use crate::messages::{self, Column, Fields, Malformed, Message, code, put, put_text};
use crate::values::ValueFormats;

/// Encodes messages for one client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Encoder {
    /// The client's protocol version.
    pub version: Version,
    /// The text formats of values that the client wants.
    pub formats: ValueFormats,
}

/// A reply that the client's version cannot express; the text says why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Untranslatable(pub &'static str);

impl From<Malformed> for Untranslatable {
    fn from(_: Malformed) -> Self {
        Untranslatable("the server's answer is malformed")
    }
}

/// Highest number of columns in a row description of version 2.0.
const MAX_V2_COLUMNS: usize = 1_664;
/// Fields of an error that version 3.0 had at first. Old clients may fail on the later ones: schema, table, column,
/// constraint, and the untranslated severity.
const V30_ERROR_FIELDS: &[u8] = b"SCMDHPpqWFLR";

impl Encoder {
    /// Returns true if a reply can be sent to the client without any change.
    pub fn passes_unchanged(&self, messages: &[u8]) -> bool {
        self.version != Version::V2
            && self.formats == ValueFormats::default()
            && self.has_only_v30_error_fields(messages)
    }

    /// Appends a complete reply, given as messages of version 3 without ReadyForQuery.
    ///
    /// # Errors
    /// Returns an error if the client's version cannot express the reply. Then nothing of what was appended may be sent.
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
                    self.put_row_description(&message, &columns, out)?;
                }
                b'D' => self.put_data_row(&message, &columns, out)?,
                b'E' | b'N' => self.put_server_error(&message, out)?,
                _ if self.version != Version::V2 => out.extend_from_slice(message.raw),
                b'C' => {
                    let tag = message.body.strip_suffix(&[0]).ok_or(Malformed)?;
                    let commands = [&b"SELECT"[..], b"FETCH", b"MOVE", b"COPY"];
                    let command = commands
                        .into_iter()
                        .find(|command| tag.starts_with(command));
                    out.push(b'C');
                    let without_count = command.filter(|command| *command != b"MOVE");
                    put_text(out, without_count.unwrap_or(tag));
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

    fn has_only_v30_error_fields(&self, messages: &[u8]) -> bool {
        messages::split(messages)
            .filter(|message| b"EN".contains(&message.kind))
            .all(|message| {
                messages::parse_error_fields(message.body).is_ok_and(|fields| {
                    fields
                        .iter()
                        .all(|(kind, _)| V30_ERROR_FIELDS.contains(kind))
                })
            })
    }

    fn put_row_description(
        &self,
        message: &Message<'_>,
        columns: &[Column<'_>],
        out: &mut Vec<u8>,
    ) -> Result<(), Untranslatable> {
        if self.version != Version::V2 {
            out.extend_from_slice(message.raw);
            return Ok(());
        }
        if columns.len() > MAX_V2_COLUMNS {
            return Err(Untranslatable(
                "the answer has more columns than version 2.0 can number",
            ));
        }
        // CursorResponse precedes RowDescription; the cursor of a simple query is called `blank`.
        out.extend_from_slice(b"Pblank\0T");
        out.extend_from_slice(&(columns.len() as u16).to_be_bytes());
        for column in columns {
            put_text(out, column.name);
            out.extend_from_slice(&column.type_oid.to_be_bytes());
            out.extend_from_slice(&column.type_size.to_be_bytes());
            out.extend_from_slice(&column.type_modifier.to_be_bytes());
        }
        Ok(())
    }

    fn put_data_row(
        &self,
        message: &Message<'_>,
        columns: &[Column<'_>],
        out: &mut Vec<u8>,
    ) -> Result<(), Untranslatable> {
        let v2 = self.version == Version::V2;
        if !v2
            && !columns
                .iter()
                .any(|column| self.formats.changes(column.type_oid))
        {
            out.extend_from_slice(message.raw);
            return Ok(());
        }
        let mut fields = Fields(message.body);
        if usize::try_from(fields.int16()?) != Ok(columns.len()) {
            return Err(Malformed.into());
        }
        // In version 2.0 all values of a row have one format: `D` is a row of texts, whose length fields count their own
        // four bytes, and `B` is a row of binary values.
        let binary_columns = columns.iter().filter(|column| column.binary).count();
        if v2 && binary_columns != 0 && binary_columns != columns.len() {
            return Err(Untranslatable(
                "the answer mixes texts and binary values, which version 2.0 cannot",
            ));
        }
        let counted_length = if v2 && binary_columns == 0 { 4 } else { 0 };
        let message_start = out.len();
        if v2 {
            out.push(if binary_columns > 0 { b'B' } else { b'D' });
            out.resize(message_start + 1 + columns.len().div_ceil(8), 0);
        } else {
            out.extend_from_slice(&[b'D', 0, 0, 0, 0]);
            out.extend_from_slice(&(columns.len() as u16).to_be_bytes());
        }
        for (index, column) in columns.iter().enumerate() {
            let Some(value) = fields.value()? else {
                if !v2 {
                    out.extend_from_slice(&(-1i32).to_be_bytes());
                }
                continue;
            };
            if v2 {
                out[message_start + 1 + index / 8] |= 0x80 >> (index % 8);
            }
            let rewritten = if column.binary {
                None
            } else {
                self.formats.rewrite(column.type_oid, value)
            };
            let encoded = rewritten.as_deref().unwrap_or(value);
            out.extend_from_slice(&(encoded.len() as u32 + counted_length).to_be_bytes());
            out.extend_from_slice(encoded);
        }
        fields.end()?;
        if !v2 {
            let length = (out.len() - message_start - 1) as u32;
            out[message_start + 1..message_start + 5].copy_from_slice(&length.to_be_bytes());
        }
        Ok(())
    }

    /// Appends an error or a notice of the server.
    fn put_server_error(
        &self,
        message: &Message<'_>,
        out: &mut Vec<u8>,
    ) -> Result<(), Untranslatable> {
        let fields = messages::parse_error_fields(message.body)?;
        if self.version != Version::V2 {
            put(out, message.kind, |out| {
                for (kind, text) in fields
                    .iter()
                    .filter(|(kind, _)| V30_ERROR_FIELDS.contains(kind))
                {
                    out.push(*kind);
                    put_text(out, text);
                }
                out.push(0);
            });
            return Ok(());
        }
        let field_text = |wanted: u8| {
            fields
                .iter()
                .find(|(kind, _)| *kind == wanted)
                .map(|(_, text)| *text)
        };
        let severity = field_text(b'S').unwrap_or(if message.kind == b'E' {
            b"ERROR"
        } else {
            b"NOTICE"
        });
        let message_text = field_text(b'M').unwrap_or_default();
        let mut text = [severity, b":  ", message_text, b"\n"].concat();
        for (kind, name) in [(b'D', "DETAIL"), (b'H', "HINT")] {
            if let Some(value) = field_text(kind) {
                text.extend_from_slice(&[name.as_bytes(), b":  ", value, b"\n"].concat());
            }
        }
        out.push(message.kind);
        put_text(out, &text);
        Ok(())
    }

    /// Appends an error of the router's own. `detail` is the time in milliseconds after which the client may retry.
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
        // Version 2.0 has no field for the code or the time, so both are written into the text.
        let severity = if fatal { "FATAL" } else { "ERROR" };
        let hint = match (code, detail) {
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
            format!("{severity}:  {text} ({code})\n{hint}").as_bytes(),
        );
    }

    /// Appends ReadyForQuery, outside a transaction.
    pub fn put_ready(&self, out: &mut Vec<u8>) {
        match self.version {
            Version::V2 => out.push(b'Z'),
            _ => messages::put_ready(out),
        }
    }

    /// Appends EmptyQueryResponse.
    pub fn put_empty_query_response(&self, out: &mut Vec<u8>) {
        match self.version {
            Version::V2 => out.extend_from_slice(b"I\0"),
            _ => put(out, b'I', |_| {}),
        }
    }

    /// Appends CommandComplete for a command that the router answers itself.
    pub fn put_complete(&self, tag: &str, out: &mut Vec<u8>) {
        match self.version {
            Version::V2 => {
                out.push(b'C');
                put_text(out, tag.as_bytes());
            }
            _ => messages::put_complete(out, tag),
        }
    }

    /// Appends ParameterStatus for a setting; version 2.0 has no such message, so nothing is appended.
    pub fn put_status(&self, name: &str, value: &str, out: &mut Vec<u8>) {
        if self.version != Version::V2 {
            messages::put_status(out, name, value);
        }
    }

    /// Appends the greeting after a successful login: parameters, cancel key and ReadyForQuery.
    pub fn put_greeting(
        &self,
        parameters: &[(String, String)],
        key: Option<&CancelKey>,
        out: &mut Vec<u8>,
    ) {
        let no_key = CancelKey {
            id: 0,
            secret: vec![0; 4],
        };
        let key = key.unwrap_or(&no_key);
        let mut key_bytes = key.id.to_be_bytes().to_vec();
        key_bytes.extend_from_slice(&key.secret);
        match self.version {
            Version::V2 => {
                out.extend_from_slice(b"R\0\0\0\0K");
                out.extend_from_slice(&key_bytes);
            }
            _ => {
                put(out, b'R', |out| out.extend_from_slice(&[0; 4]));
                parameters
                    .iter()
                    .for_each(|(name, value)| messages::put_status(out, name, value));
                put(out, b'K', |out| out.extend_from_slice(&key_bytes));
            }
        }
        self.put_ready(out);
    }
}
