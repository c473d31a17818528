//! Framing and parsing of messages of version 3 and of packets without a type byte, and the error codes in them.

/// First number of a CancelRequest, in place of the protocol version.
pub const CANCEL_REQUEST: u32 = 80_877_102;

/// Codes of authentication requests, the first field of a message of type `R`.
pub mod auth {
    /// AuthenticationOk
    pub const OK: u32 = 0;
    /// AuthenticationKerberosV5
    pub const KERBEROS_V5: u32 = 2;
    /// AuthenticationCleartextPassword
    pub const CLEARTEXT_PASSWORD: u32 = 3;
    /// AuthenticationMD5Password
    pub const MD5_PASSWORD: u32 = 5;
    /// AuthenticationGSS
    pub const GSS: u32 = 7;
    /// AuthenticationSSPI
    pub const SSPI: u32 = 9;
    /// AuthenticationSASL
    pub const SASL: u32 = 10;
    /// AuthenticationSASLContinue
    pub const SASL_CONTINUE: u32 = 11;
    /// AuthenticationSASLFinal
    pub const SASL_FINAL: u32 = 12;
}

/// SQLSTATE codes that the router sends or interprets.
pub mod code {
    /// The request was rejected for lack of capacity without any effect; repeating it is safe.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// The request cannot be accepted at the moment and had no effect; repeating it is safe.
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    /// A message violates the protocol.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// The outcome of the request is unknown.
    pub const UNKNOWN_OUTCOME: &str = "08007";
    /// A class or tenant of this name does not exist.
    pub const UNDEFINED_OBJECT: &str = "42704";
    /// The router does not support this feature of the protocol.
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    /// A write was sent to a db node that is not the primary.
    pub const READ_ONLY_TRANSACTION: &str = "25006";
    /// A read was sent to a db node whose position is too old.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// The statement has too many words.
    pub const STATEMENT_TOO_COMPLEX: &str = "54001";
    /// The request was cancelled by a cancel request.
    pub const QUERY_CANCELED: &str = "57014";
    /// The authentication failed: the password or the proof is wrong, or the user does not exist.
    pub const INVALID_PASSWORD: &str = "28P01";
    /// The login was rejected before any authentication.
    pub const INVALID_AUTHORIZATION: &str = "28000";
    /// A setting has an invalid value.
    pub const INVALID_PARAMETER_VALUE: &str = "22023";
    /// The answer cannot be expressed in the client's protocol version.
    pub const UNTRANSLATABLE_CHARACTER: &str = "22P05";
}

/// The bytes violate the format of the message, so that nothing after them can be parsed either.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// One message of version 3.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The type byte.
    pub kind: u8,
    /// The bytes after the length field.
    pub body: &'a [u8],
    /// The complete message with type byte and length field, as received.
    pub raw: &'a [u8],
}

/// Parses the message at the front of `bytes`. Returns `None` if it is not complete yet. A message whose length field
/// exceeds `max_length` is malformed.
pub fn parse_message(bytes: &[u8], max_length: usize) -> Result<Option<Message<'_>>, Malformed> {
    let Some((&kind, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(length) = length(rest, max_length)? else {
        return Ok(None);
    };
    let raw = bytes.get(..length + 1);
    Ok(raw.map(|raw| Message {
        kind,
        body: &raw[5..],
        raw,
    }))
}

/// Parses the packet without a type byte at the front of `bytes`. Returns its body and the length of the complete packet,
/// or `None` if it is not complete yet.
pub fn parse_packet(bytes: &[u8], max_length: usize) -> Result<Option<(&[u8], usize)>, Malformed> {
    let Some(length) = length(bytes, max_length)? else {
        return Ok(None);
    };
    Ok(bytes.get(4..length).map(|body| (body, length)))
}

fn length(bytes: &[u8], max_length: usize) -> Result<Option<usize>, Malformed> {
    let Some(field) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*field) as usize;
    if (4..=max_length).contains(&length) {
        Ok(Some(length))
    } else {
        Err(Malformed)
    }
}

/// Iterates over the messages in `bytes`; it ends at the first one that is incomplete or malformed.
pub fn split(mut bytes: &[u8]) -> impl Iterator<Item = Message<'_>> {
    std::iter::from_fn(move || {
        let next = parse_message(bytes, usize::MAX >> 1).ok()??;
        bytes = &bytes[next.raw.len()..];
        Some(next)
    })
}

/// Reads numbers and texts from the front of a message body. A missing field is an error.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    /// Reads `count` bytes.
    pub fn take(&mut self, count: usize) -> Result<&'a [u8], Malformed> {
        let (taken, rest) = self.0.split_at_checked(count).ok_or(Malformed)?;
        self.0 = rest;
        Ok(taken)
    }

    fn chunk<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let (taken, rest) = self.0.split_first_chunk::<N>().ok_or(Malformed)?;
        self.0 = rest;
        Ok(*taken)
    }

    /// Reads one byte.
    pub fn byte(&mut self) -> Result<u8, Malformed> {
        self.chunk::<1>().map(|[byte]| byte)
    }

    /// Reads a signed number of 16 bits.
    pub fn int16(&mut self) -> Result<i16, Malformed> {
        self.chunk().map(i16::from_be_bytes)
    }

    /// Reads a signed number of 32 bits.
    pub fn int32(&mut self) -> Result<i32, Malformed> {
        self.chunk().map(i32::from_be_bytes)
    }

    /// Reads an unsigned number of 32 bits.
    pub fn uint32(&mut self) -> Result<u32, Malformed> {
        self.chunk().map(u32::from_be_bytes)
    }

    /// Reads a text and the zero byte that ends it; returns the text without the zero byte.
    pub fn text(&mut self) -> Result<&'a [u8], Malformed> {
        let end = self.0.iter().position(|byte| *byte == 0).ok_or(Malformed)?;
        let text = self.take(end)?;
        self.take(1)?;
        Ok(text)
    }

    /// Reads a text that must be UTF-8.
    pub fn utf8(&mut self) -> Result<&'a str, Malformed> {
        std::str::from_utf8(self.text()?).map_err(|_| Malformed)
    }

    /// Reads a value that is preceded by its length. Returns `None` for NULL, whose length is -1.
    pub fn value(&mut self) -> Result<Option<&'a [u8]>, Malformed> {
        match self.int32()? {
            -1 => Ok(None),
            length => usize::try_from(length)
                .map_err(|_| Malformed)
                .and_then(|n| self.take(n))
                .map(Some),
        }
    }

    /// Returns an error if any bytes are left.
    pub fn end(self) -> Result<(), Malformed> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(Malformed)
        }
    }
}

/// Appends a message of this type, whose body the closure writes.
pub fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    put_packet(out, body);
}

/// Appends a packet without a type byte, whose body the closure writes.
pub fn put_packet(out: &mut Vec<u8>, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend_from_slice(&[0; 4]);
    body(out);
    let length = (out.len() - start) as u32;
    out[start..start + 4].copy_from_slice(&length.to_be_bytes());
}

/// Appends a text and its zero byte.
pub fn put_text(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(text);
    out.push(0);
}

/// Appends ReadyForQuery, outside a transaction.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', |out| out.push(b'I'));
}

/// Appends CommandComplete.
pub fn put_complete(out: &mut Vec<u8>, tag: &str) {
    put(out, b'C', |out| put_text(out, tag.as_bytes()));
}

/// Appends a simple query.
pub fn put_query(out: &mut Vec<u8>, text: &str) {
    put(out, b'Q', |out| put_text(out, text.as_bytes()));
}

/// Appends ParameterStatus.
pub fn put_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', |out| {
        put_text(out, name.as_bytes());
        put_text(out, value.as_bytes());
    });
}

/// Appends ErrorResponse. `detail` becomes the field DETAIL: the time in milliseconds after which the client may retry.
pub fn put_error(out: &mut Vec<u8>, fatal: bool, code: &str, text: &str, detail: Option<u64>) {
    let severity = if fatal { "FATAL" } else { "ERROR" };
    put(out, b'E', |out| {
        for (field, value) in [
            (b'S', severity),
            (b'V', severity),
            (b'C', code),
            (b'M', text),
        ] {
            out.push(field);
            put_text(out, value.as_bytes());
        }
        if let Some(number) = detail {
            out.push(b'D');
            put_text(out, number.to_string().as_bytes());
        }
        out.push(0);
    });
}

/// Returns the SQLSTATE of an ErrorResponse, or `None` if the body is not a list of fields with a valid code.
pub fn parse_error_code(body: &[u8]) -> Option<&str> {
    let mut fields = body.strip_suffix(&[0, 0])?.split(|byte| *byte == 0);
    let code = fields
        .find_map(|field| field.strip_prefix(b"C"))
        .filter(|code| code.len() == 5)?;
    std::str::from_utf8(code)
        .ok()
        .filter(|code| code.bytes().all(|byte| byte.is_ascii_alphanumeric()))
}

/// Returns the fields of an ErrorResponse or NoticeResponse as pairs of field type and text, unknown field types included.
pub fn parse_error_fields(body: &[u8]) -> Result<Vec<(u8, &[u8])>, Malformed> {
    let (mut fields, mut parsed) = (Fields(body), Vec::new());
    loop {
        match fields.byte()? {
            0 => return fields.end().map(|()| parsed),
            kind => parsed.push((kind, fields.text()?)),
        }
    }
}

/// Returns the value of a DataRow with a single column, or `None` if the body is anything else or the value is NULL.
pub fn parse_single_value(body: &[u8]) -> Option<&[u8]> {
    let (head, value) = body.split_first_chunk::<6>()?;
    let [column_count @ .., a, b, c, d] = *head;
    let length = usize::try_from(i32::from_be_bytes([a, b, c, d])).ok()?;
    (column_count == [0, 1] && value.len() == length).then_some(value)
}

/// A column of a RowDescription.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Column<'a> {
    /// The name of the column.
    pub name: &'a [u8],
    /// The object id of the type.
    pub type_oid: u32,
    /// The size of the type.
    pub type_size: i16,
    /// The modifier of the type.
    pub type_modifier: i32,
    /// Whether values are in binary format.
    pub binary: bool,
}

/// Parses the columns of a RowDescription.
pub fn parse_columns(body: &[u8]) -> Result<Vec<Column<'_>>, Malformed> {
    let mut fields = Fields(body);
    let count = usize::try_from(fields.int16()?).map_err(|_| Malformed)?;
    let mut parsed = Vec::with_capacity(count.min(body.len() / 19));
    for _ in 0..count {
        let name = fields.text()?;
        let (_table, _number) = (fields.int32()?, fields.int16()?);
        let (type_oid, type_size, type_modifier) =
            (fields.uint32()?, fields.int16()?, fields.int32()?);
        let binary = match fields.int16()? {
            0 => false,
            1 => true,
            _ => return Err(Malformed),
        };
        parsed.push(Column {
            name,
            type_oid,
            type_size,
            type_modifier,
            binary,
        });
    }
    fields.end().map(|()| parsed)
}

/// Parses the values of a DataRow.
pub fn parse_row(body: &[u8]) -> Result<Vec<Option<&[u8]>>, Malformed> {
    let mut fields = Fields(body);
    let count = usize::try_from(fields.int16()?).map_err(|_| Malformed)?;
    let mut parsed = Vec::with_capacity(count.min(body.len() / 4));
    for _ in 0..count {
        parsed.push(fields.value()?);
    }
    fields.end().map(|()| parsed)
}

/// Returns the length of a FunctionCall of version 2.0 without its type byte, or `None` if it is not complete yet. The
/// message is a text, a number, and arguments that are each preceded by their length.
pub fn v2_function_call_length(
    bytes: &[u8],
    max_length: usize,
) -> Result<Option<usize>, Malformed> {
    let mut fields = Fields(bytes);
    let mut parse = || -> Result<usize, Malformed> {
        fields.text()?;
        fields.take(4)?;
        for _ in 0..fields.int32()?.max(0) {
            let length = fields.int32()?;
            fields.take(usize::try_from(length).unwrap_or(0))?;
        }
        Ok(bytes.len() - fields.0.len())
    };
    match parse() {
        Ok(length) => Ok(Some(length)),
        // The message may still be incomplete, unless more bytes than the longest message have been received.
        Err(Malformed) if bytes.len() <= max_length => Ok(None),
        Err(Malformed) => Err(Malformed),
    }
}

/// Parses ParameterStatus: a name, a value and nothing else.
pub fn parse_status(body: &[u8]) -> Result<(&str, &str), Malformed> {
    let mut fields = Fields(body);
    let parameter = (fields.utf8()?, fields.utf8()?);
    fields.end().map(|()| parameter)
}
