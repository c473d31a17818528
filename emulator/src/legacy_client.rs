//! A scripted client that behaves like old drivers. It supports protocol 2.0, as the manual of PostgreSQL 7.3 describes it,
//! and protocol 3.0 without any later additions. A message that it does not know is an error and is never skipped.

use md5::{Digest, Md5};
use std::io::{self, Error, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message of the server, in either version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerMessage {
    /// Name and type of each column of a result.
    Columns(Vec<(String, u32)>),
    /// A row.
    Row(Vec<Option<Vec<u8>>>),
    /// CommandComplete with its tag.
    Complete(String),
    /// EmptyQueryResponse.
    Empty,
    /// The text of an error. In version 3.0 the code precedes it.
    Error(String),
    /// The text of a notice.
    Notice(String),
    /// Name and value of a parameter.
    Status(String, String),
    /// All data of a COPY to the client.
    Copied(Vec<u8>),
    /// ReadyForQuery.
    Ready,
}

/// Read timeout. It is longer than any answer takes.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A connection of an old driver.
pub struct LegacyClient {
    stream: TcpStream,
    protocol_2: bool,
    columns: usize,
    /// Process id and key for a cancel request.
    pub key: (u32, Vec<u8>),
}

fn error(text: impl Into<String>) -> Error {
    Error::other(text.into())
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn md5(parts: &[&[u8]]) -> String {
    let mut hash = Md5::new();
    parts.iter().for_each(|p| hash.update(p));
    hex(&hash.finalize())
}

impl LegacyClient {
    /// Connects without sending anything.
    pub fn open(address: SocketAddr, protocol_2: bool) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
        Ok(LegacyClient {
            stream,
            protocol_2,
            columns: 0,
            key: (0, Vec::new()),
        })
    }

    /// Connects and logs in. Also returns the messages that came before ReadyForQuery.
    pub fn connect(
        address: SocketAddr,
        protocol_2: bool,
        user: &str,
        password: &str,
    ) -> io::Result<(Self, Vec<ServerMessage>)> {
        let mut client = LegacyClient::open(address, protocol_2)?;
        if protocol_2 {
            let mut packet = vec![0u8; 296];
            packet[..8].copy_from_slice(b"\0\0\x01\x28\0\x02\0\0");
            packet[8..13].copy_from_slice(b"trips");
            packet[72..72 + user.len()].copy_from_slice(user.as_bytes());
            client.stream.write_all(&packet)?;
        } else {
            let body = [
                b"\0\x03\0\0user\0",
                user.as_bytes(),
                b"\0database\0trips\0\0",
            ]
            .concat();
            client
                .stream
                .write_all(&[&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat())?;
        }
        let messages = client.log_in(user, password)?;
        Ok((client, messages))
    }

    fn log_in(&mut self, user: &str, password: &str) -> io::Result<Vec<ServerMessage>> {
        let mut messages = Vec::new();
        loop {
            let kind = self.byte()?;
            let length = if self.protocol_2 {
                0
            } else {
                self.number()? as usize
            };
            match kind {
                b'R' => match self.number()? {
                    0 => {}
                    3 => self.send_password(password)?,
                    5 => {
                        let salt = self.bytes(4)?;
                        let inner = md5(&[password.as_bytes(), user.as_bytes()]);
                        self.send_password(&format!("md5{}", md5(&[inner.as_bytes(), &salt])))?;
                    }
                    other => {
                        return Err(error(format!(
                            "an authentication method it has never heard of: {other}"
                        )));
                    }
                },
                b'K' => {
                    // Old drivers expect a key of four bytes.
                    self.key = (self.number()?, self.bytes(4)?);
                    if !self.protocol_2 && length != 12 {
                        return Err(error("a cancel key of an odd length"));
                    }
                }
                b'Z' => {
                    if !self.protocol_2 {
                        self.byte()?;
                    }
                    return Ok(messages);
                }
                kind => {
                    let message = self.read_body(kind, length)?;
                    if let ServerMessage::Error(text) = message {
                        return Err(error(text));
                    }
                    messages.push(message);
                }
            }
        }
    }

    fn send_password(&mut self, text: &str) -> io::Result<()> {
        let kind: &[u8] = if self.protocol_2 { b"" } else { b"p" };
        let length = (text.len() as u32 + 5).to_be_bytes();
        self.stream
            .write_all(&[kind, &length, text.as_bytes(), &[0]].concat())
    }

    /// Sends bytes unchanged.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a query without waiting for its answer.
    pub fn send_query(&mut self, text: &str) -> io::Result<()> {
        let length = (text.len() as u32 + 5).to_be_bytes();
        let length: &[u8] = if self.protocol_2 { b"" } else { &length };
        self.send(&[b"Q", length, text.as_bytes(), &[0]].concat())
    }

    /// Sends a query, and receives all messages up to ReadyForQuery or to the error that ends the session.
    pub fn query(&mut self, text: &str) -> io::Result<Vec<ServerMessage>> {
        self.send_query(text)?;
        self.receive_until_ready()
    }

    /// Receives all messages up to ReadyForQuery, or to the error that ends the session.
    pub fn receive_until_ready(&mut self) -> io::Result<Vec<ServerMessage>> {
        let mut messages = Vec::new();
        loop {
            match self.read_message() {
                Ok(message) => {
                    let is_done = message == ServerMessage::Ready;
                    messages.push(message);
                    if is_done {
                        return Ok(messages);
                    }
                }
                // The server ended the session and sent the reason before.
                Err(e)
                    if e.kind() == io::ErrorKind::UnexpectedEof
                        && matches!(messages.last(), Some(ServerMessage::Error(_))) =>
                {
                    return Ok(messages);
                }
                Err(e) => return Err(Error::new(e.kind(), format!("{e} after {messages:?}"))),
            }
        }
    }

    /// Returns whether the other side closes the connection without sending anything more.
    pub fn is_closed_by_peer(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    fn read_message(&mut self) -> io::Result<ServerMessage> {
        let kind = self.byte()?;
        let length = if self.protocol_2 {
            0
        } else {
            self.number()? as usize
        };
        if kind == b'P' && self.protocol_2 {
            if self.text()? != "blank" {
                return Err(error("a cursor of another name"));
            }
            return self.read_message();
        }
        self.read_body(kind, length)
    }

    fn read_body(&mut self, kind: u8, length: usize) -> io::Result<ServerMessage> {
        if self.protocol_2 {
            self.read_body_2(kind)
        } else {
            self.read_body_3(kind, length)
        }
    }

    fn read_body_2(&mut self, kind: u8) -> io::Result<ServerMessage> {
        Ok(match kind {
            b'T' => {
                let mut columns = Vec::new();
                for _ in 0..self.short()? {
                    let name = self.text()?;
                    let kind = self.number()?;
                    self.bytes(6)?;
                    columns.push((name, kind));
                }
                self.columns = columns.len();
                ServerMessage::Columns(columns)
            }
            b'D' | b'B' => {
                let bits = self.bytes(self.columns.div_ceil(8))?;
                let mut values = Vec::new();
                for n in 0..self.columns {
                    if bits[n / 8] & (0x80 >> (n % 8)) == 0 {
                        values.push(None);
                        continue;
                    }
                    // The length of a text value includes the length field.
                    let length_of_field = if kind == b'D' { 4 } else { 0 };
                    let length = self
                        .number()?
                        .checked_sub(length_of_field)
                        .ok_or_else(|| error("a length under its own"))?;
                    values.push(Some(self.bytes(length as usize)?));
                }
                ServerMessage::Row(values)
            }
            b'C' => ServerMessage::Complete(self.text()?),
            b'I' if self.text()?.is_empty() => ServerMessage::Empty,
            b'E' => ServerMessage::Error(self.text()?),
            b'N' => ServerMessage::Notice(self.text()?),
            b'Z' => ServerMessage::Ready,
            b'H' => {
                let mut data = Vec::new();
                while !data.ends_with(b"\\.\n") {
                    data.push(self.byte()?);
                }
                data.truncate(data.len() - 3);
                ServerMessage::Copied(data)
            }
            other => {
                return Err(error(format!(
                    "a message that 2.0 does not have: {:?}",
                    other as char
                )));
            }
        })
    }

    fn read_body_3(&mut self, kind: u8, length: usize) -> io::Result<ServerMessage> {
        let length = length
            .checked_sub(4)
            .ok_or_else(|| error("an impossible length"))?;
        let body = self.bytes(length)?;
        let texts = || -> Vec<String> {
            body.split(|b| *b == 0)
                .map(|t| String::from_utf8_lossy(t).into_owned())
                .collect()
        };
        let error_text = || -> io::Result<String> {
            let mut result = String::new();
            for field in texts().iter().filter(|f| !f.is_empty()) {
                let (kind, text) = field.split_at(1);
                match kind {
                    "C" => result.insert_str(0, &format!("{text} ")),
                    "M" | "D" | "H" => result.push_str(text),
                    "S" | "P" | "p" | "q" | "W" | "F" | "L" | "R" | "V" => {}
                    other => {
                        return Err(error(format!(
                            "a field that it has never heard of: {other}"
                        )));
                    }
                }
            }
            Ok(result)
        };
        Ok(match kind {
            b'T' => {
                let mut rest = &body[2..];
                let mut columns = Vec::new();
                while let Some(end) = rest.iter().position(|b| *b == 0) {
                    let name = String::from_utf8_lossy(&rest[..end]).into_owned();
                    let fixed = rest
                        .get(end + 1..end + 19)
                        .ok_or_else(|| error("half a column"))?;
                    columns.push((
                        name,
                        u32::from_be_bytes([fixed[6], fixed[7], fixed[8], fixed[9]]),
                    ));
                    rest = &rest[end + 19..];
                }
                ServerMessage::Columns(columns)
            }
            b'D' => {
                let (mut rest, mut values) = (&body[2..], Vec::new());
                while let Some((length, after)) = rest.split_first_chunk::<4>() {
                    let length = i32::from_be_bytes(*length);
                    let (value, after) = after.split_at(length.max(0) as usize);
                    values.push((length >= 0).then(|| value.to_vec()));
                    rest = after;
                }
                ServerMessage::Row(values)
            }
            b'C' => ServerMessage::Complete(texts()[0].clone()),
            b'I' => ServerMessage::Empty,
            b'E' => ServerMessage::Error(error_text()?),
            b'N' => ServerMessage::Notice(error_text()?),
            b'S' => ServerMessage::Status(texts()[0].clone(), texts()[1].clone()),
            b'Z' => ServerMessage::Ready,
            b'H' => {
                let mut data = Vec::new();
                loop {
                    let kind = self.byte()?;
                    let length = self.number()? as usize;
                    let more = self.bytes(length - 4)?;
                    match kind {
                        b'd' => data.extend(more),
                        b'c' => return Ok(ServerMessage::Copied(data)),
                        other => return Err(error(format!("{:?} amid a copy", other as char))),
                    }
                }
            }
            other => {
                return Err(error(format!(
                    "a message that it cannot parse: {:?}",
                    other as char
                )));
            }
        })
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        if count > 1 << 24 {
            return Err(error("an impossible length"));
        }
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    /// Reads one byte, such as the answer to an SSLRequest.
    pub fn byte(&mut self) -> io::Result<u8> {
        Ok(self.bytes(1)?[0])
    }

    fn short(&mut self) -> io::Result<u16> {
        let bytes = self.bytes(2)?;
        Ok(u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    fn number(&mut self) -> io::Result<u32> {
        let bytes = self.bytes(4)?;
        Ok(u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    fn text(&mut self) -> io::Result<String> {
        let mut bytes = Vec::new();
        loop {
            match self.byte()? {
                0 => return String::from_utf8(bytes).map_err(|e| error(e.to_string())),
                byte => bytes.push(byte),
            }
        }
    }
}

/// Sends a cancel request with this key. Returns whether the router then closes the connection.
pub fn cancel(address: SocketAddr, key: &(u32, Vec<u8>)) -> io::Result<bool> {
    let mut client = LegacyClient::open(address, false)?;
    let length = (12 + key.1.len() as u32).to_be_bytes();
    client.send(
        &[
            &length[..],
            &80_877_102u32.to_be_bytes(),
            &key.0.to_be_bytes(),
            &key.1,
        ]
        .concat(),
    )?;
    Ok(client.is_closed_by_peer())
}
