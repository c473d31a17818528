//! Framing: messages of version 3, packets without a kind, and the texts and numbers within them.

/// Codes of errors that the router words or reads.
pub mod code {
    /// Turned away, harmless to repeat.
    pub const TOO_MANY_CONNECTIONS: &str = "53300";
    /// Not able to take it just now, harmless to repeat.
    pub const CANNOT_CONNECT_NOW: &str = "57P03";
    /// A message that breaks the protocol.
    pub const PROTOCOL_VIOLATION: &str = "08P01";
    /// The outcome is unknown.
    pub const UNKNOWN_OUTCOME: &str = "08007";
    /// A name that does not exist.
    pub const UNDEFINED_OBJECT: &str = "42704";
    /// Not spoken here.
    pub const FEATURE_NOT_SUPPORTED: &str = "0A000";
    /// A write at a db node that is no primary.
    pub const READ_ONLY_TRANSACTION: &str = "25006";
    /// A read at a db node that is too far behind.
    pub const SNAPSHOT_TOO_OLD: &str = "72000";
    /// Cancelled because someone asked for it.
    pub const QUERY_CANCELED: &str = "57014";
    /// The proof of who it is was wrong.
    pub const INVALID_PASSWORD: &str = "28P01";
    /// Not let in.
    pub const INVALID_AUTHORIZATION: &str = "28000";
    /// A text that the client's encoding or version cannot hold.
    pub const UNTRANSLATABLE_CHARACTER: &str = "22P05";
}

/// Framing that cannot be followed any further.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed;

/// One message, without its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// Its kind.
    pub kind: u8,
    /// What follows the length.
    pub body: &'a [u8],
    /// The whole of it, as it came.
    pub raw: &'a [u8],
}

/// The message at the front of some bytes, if it is whole. One longer than `most` is malformed.
pub fn parse_message(bytes: &[u8], most: usize) -> Result<Option<Message<'_>>, Malformed> {
    let Some((&kind, rest)) = bytes.split_first() else {
        return Ok(None);
    };
    let Some(length) = length(rest, most)? else {
        return Ok(None);
    };
    let raw = bytes.get(..length + 1);
    Ok(raw.map(|raw| Message {
        kind,
        body: &raw[5..],
        raw,
    }))
}

/// The packet without a kind at the front of some bytes, its length taken off, if it is whole; and how long all of it is.
pub fn parse_packet(bytes: &[u8], most: usize) -> Result<Option<(&[u8], usize)>, Malformed> {
    let Some(length) = length(bytes, most)? else {
        return Ok(None);
    };
    Ok(bytes.get(4..length).map(|body| (body, length)))
}

fn length(bytes: &[u8], most: usize) -> Result<Option<usize>, Malformed> {
    let Some(field) = bytes.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*field) as usize;
    if (4..=most).contains(&length) {
        Ok(Some(length))
    } else {
        Err(Malformed)
    }
}

/// The messages of some bytes that hold nothing but whole ones; it ends at the first that is not.
pub fn split(mut bytes: &[u8]) -> impl Iterator<Item = Message<'_>> {
    std::iter::from_fn(move || {
        let next = parse_message(bytes, usize::MAX >> 1).ok()??;
        bytes = &bytes[next.raw.len()..];
        Some(next)
    })
}

/// Reads numbers and texts off the front of a body; whatever is missing is malformed.
#[derive(Clone, Copy, Debug)]
pub struct Fields<'a>(pub &'a [u8]);

impl<'a> Fields<'a> {
    /// So many bytes.
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

    /// One byte.
    pub fn byte(&mut self) -> Result<u8, Malformed> {
        self.chunk::<1>().map(|[byte]| byte)
    }

    /// A number of 16 bits.
    pub fn int16(&mut self) -> Result<i16, Malformed> {
        self.chunk().map(i16::from_be_bytes)
    }

    /// A number of 32 bits.
    pub fn int32(&mut self) -> Result<i32, Malformed> {
        self.chunk().map(i32::from_be_bytes)
    }

    /// A number of 32 bits without sign.
    pub fn uint32(&mut self) -> Result<u32, Malformed> {
        self.chunk().map(u32::from_be_bytes)
    }

    /// A text up to its zero byte, which is taken too.
    pub fn text(&mut self) -> Result<&'a [u8], Malformed> {
        let end = self.0.iter().position(|byte| *byte == 0).ok_or(Malformed)?;
        let text = self.take(end)?;
        self.take(1)?;
        Ok(text)
    }

    /// A text that must be UTF-8.
    pub fn utf8(&mut self) -> Result<&'a str, Malformed> {
        std::str::from_utf8(self.text()?).map_err(|_| Malformed)
    }

    /// A value with its length before it; none for NULL.
    pub fn value(&mut self) -> Result<Option<&'a [u8]>, Malformed> {
        match self.int32()? {
            -1 => Ok(None),
            length => usize::try_from(length)
                .map_err(|_| Malformed)
                .and_then(|n| self.take(n))
                .map(Some),
        }
    }

    /// Nothing may be left.
    pub fn end(self) -> Result<(), Malformed> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(Malformed)
        }
    }
}

/// Appends a message whose body is written by a closure.
pub fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    out.push(kind);
    put_packet(out, body);
}

/// Appends a packet without a kind.
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

/// Appends ErrorResponse.
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

/// The code of an ErrorResponse; none where it is not the list of fields that it should be.
pub fn parse_error_code(body: &[u8]) -> Option<&str> {
    let mut fields = body.strip_suffix(&[0, 0])?.split(|byte| *byte == 0);
    let code = fields
        .find_map(|field| field.strip_prefix(b"C"))
        .filter(|code| code.len() == 5)?;
    std::str::from_utf8(code)
        .ok()
        .filter(|code| code.bytes().all(|byte| byte.is_ascii_alphanumeric()))
}

/// The fields of an ErrorResponse or a notice: kind and text. Kinds that are not known are left to the caller.
pub fn parse_error_fields(body: &[u8]) -> Result<Vec<(u8, &[u8])>, Malformed> {
    let (mut fields, mut all) = (Fields(body), Vec::new());
    loop {
        match fields.byte()? {
            0 => return fields.end().map(|()| all),
            kind => all.push((kind, fields.text()?)),
        }
    }
}

/// The value of a DataRow of a single column.
pub fn parse_single_value(body: &[u8]) -> Option<&[u8]> {
    let (head, value) = body.split_first_chunk::<6>()?;
    let [columns @ .., a, b, c, d] = *head;
    let length = usize::try_from(i32::from_be_bytes([a, b, c, d])).ok()?;
    (columns == [0, 1] && value.len() == length).then_some(value)
}

/// A column as RowDescription tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Column<'a> {
    /// Its name.
    pub name: &'a [u8],
    /// The type's number.
    pub kind: u32,
    /// The type's size and modifier.
    pub size: i16,
    /// See `size`.
    pub modifier: i32,
    /// Whether values come in binary form.
    pub binary: bool,
}

/// The columns of a RowDescription.
pub fn parse_columns(body: &[u8]) -> Result<Vec<Column<'_>>, Malformed> {
    let mut fields = Fields(body);
    let count = usize::try_from(fields.int16()?).map_err(|_| Malformed)?;
    let mut all = Vec::with_capacity(count.min(body.len() / 19));
    for _ in 0..count {
        let name = fields.text()?;
        let (_table, _number) = (fields.int32()?, fields.int16()?);
        let (kind, size, modifier) = (fields.uint32()?, fields.int16()?, fields.int32()?);
        let binary = match fields.int16()? {
            0 => false,
            1 => true,
            _ => return Err(Malformed),
        };
        all.push(Column {
            name,
            kind,
            size,
            modifier,
            binary,
        });
    }
    fields.end().map(|()| all)
}

/// The values of a DataRow.
pub fn parse_row(body: &[u8]) -> Result<Vec<Option<&[u8]>>, Malformed> {
    let mut fields = Fields(body);
    let count = usize::try_from(fields.int16()?).map_err(|_| Malformed)?;
    let mut all = Vec::with_capacity(count.min(body.len() / 4));
    for _ in 0..count {
        all.push(fields.value()?);
    }
    fields.end().map(|()| all)
}

/// The length of a function call of version 2.0 after its kind, if it is whole: a text, a number, and arguments with their
/// lengths before them.
pub fn v2_function_call_length(bytes: &[u8], most: usize) -> Result<Option<usize>, Malformed> {
    let mut fields = Fields(bytes);
    let mut whole = || -> Result<usize, Malformed> {
        fields.text()?;
        fields.take(4)?;
        for _ in 0..fields.int32()?.max(0) {
            let length = fields.int32()?;
            fields.take(usize::try_from(length).unwrap_or(0))?;
        }
        Ok(bytes.len() - fields.0.len())
    };
    match whole() {
        Ok(length) => Ok(Some(length)),
        // Too short so far; too long for good.
        Err(Malformed) if bytes.len() <= most => Ok(None),
        Err(Malformed) => Err(Malformed),
    }
}

/// ParameterStatus: two texts and nothing else.
pub fn parse_status(body: &[u8]) -> Result<(&str, &str), Malformed> {
    let mut fields = Fields(body);
    let told = (fields.utf8()?, fields.utf8()?);
    fields.end().map(|()| told)
}
