//! A scripted client as old drivers are: version 2.0 read byte by byte as the manual of 7.3 says, and version 3.0 that
//! knows nothing of what came later. What it cannot read is an error, never skipped.

use md5::{Digest, Md5};
use std::io::{self, Error, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// What it hears, in either version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ServerMessage {
    /// The columns of a result: name and type.
    Columns(Vec<(String, u32)>),
    /// A row.
    Row(Vec<Option<Vec<u8>>>),
    /// A command is complete.
    Complete(String),
    /// The query was empty.
    Empty,
    /// An error: its text, with the code first where the version has one.
    Error(String),
    /// A notice.
    Notice(String),
    /// A setting.
    Status(String, String),
    /// A copy out: all of its data.
    Copied(Vec<u8>),
    /// Ready for the next query.
    Ready,
}

/// Longer than any answer takes.
const HANGS: Duration = Duration::from_secs(15);

/// An old client.
pub struct LegacyClient {
    stream: TcpStream,
    two: bool,
    columns: usize,
    /// What a cancel must show.
    pub key: (u32, Vec<u8>),
}

fn bad(text: impl Into<String>) -> Error {
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
    /// Connects and says nothing.
    pub fn open(address: SocketAddr, two: bool) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(HANGS))?;
        stream.set_nodelay(true)?;
        Ok(LegacyClient {
            stream,
            two,
            columns: 0,
            key: (0, Vec::new()),
        })
    }

    /// Connects and logs in. What it was told before it was ready.
    pub fn connect(
        address: SocketAddr,
        two: bool,
        user: &str,
        password: &str,
    ) -> io::Result<(Self, Vec<ServerMessage>)> {
        let mut old = LegacyClient::open(address, two)?;
        if two {
            let mut packet = vec![0u8; 296];
            packet[..8].copy_from_slice(b"\0\0\x01\x28\0\x02\0\0");
            packet[8..13].copy_from_slice(b"trips");
            packet[72..72 + user.len()].copy_from_slice(user.as_bytes());
            old.stream.write_all(&packet)?;
        } else {
            let body = [
                b"\0\x03\0\0user\0",
                user.as_bytes(),
                b"\0database\0trips\0\0",
            ]
            .concat();
            old.stream
                .write_all(&[&(body.len() as u32 + 4).to_be_bytes(), &body[..]].concat())?;
        }
        let heard = old.log_in(user, password)?;
        Ok((old, heard))
    }

    fn log_in(&mut self, user: &str, password: &str) -> io::Result<Vec<ServerMessage>> {
        let mut heard = Vec::new();
        loop {
            let kind = self.byte()?;
            let length = if self.two { 0 } else { self.number()? as usize };
            match kind {
                b'R' => match self.number()? {
                    0 => {}
                    3 => self.prove(password)?,
                    5 => {
                        let salt = self.bytes(4)?;
                        let inner = md5(&[password.as_bytes(), user.as_bytes()]);
                        self.prove(&format!("md5{}", md5(&[inner.as_bytes(), &salt])))?;
                    }
                    other => {
                        return Err(bad(format!(
                            "an authentication method it has never heard of: {other}"
                        )));
                    }
                },
                b'K' => {
                    // It has room for four bytes and no more.
                    self.key = (self.number()?, self.bytes(4)?);
                    if !self.two && length != 12 {
                        return Err(bad("a cancel key of an odd length"));
                    }
                }
                b'Z' => {
                    if !self.two {
                        self.byte()?;
                    }
                    return Ok(heard);
                }
                kind => {
                    let said = self.rest(kind, length)?;
                    if let ServerMessage::Error(text) = said {
                        return Err(bad(text));
                    }
                    heard.push(said);
                }
            }
        }
    }

    fn prove(&mut self, text: &str) -> io::Result<()> {
        let kind: &[u8] = if self.two { b"" } else { b"p" };
        let length = (text.len() as u32 + 5).to_be_bytes();
        self.stream
            .write_all(&[kind, &length, text.as_bytes(), &[0]].concat())
    }

    /// Sends bytes as they are.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Asks, without waiting for the answer.
    pub fn send_query(&mut self, text: &str) -> io::Result<()> {
        let length = (text.len() as u32 + 5).to_be_bytes();
        let length: &[u8] = if self.two { b"" } else { &length };
        self.send(&[b"Q", length, text.as_bytes(), &[0]].concat())
    }

    /// Asks, and hears all up to where it is ready again, or to the error that ends the session.
    pub fn query(&mut self, text: &str) -> io::Result<Vec<ServerMessage>> {
        self.send_query(text)?;
        self.receive_until_ready()
    }

    /// Hears all up to where it is ready again, or to the error that ends the session.
    pub fn receive_until_ready(&mut self) -> io::Result<Vec<ServerMessage>> {
        let mut heard = Vec::new();
        loop {
            match self.one() {
                Ok(said) => {
                    let done = said == ServerMessage::Ready;
                    heard.push(said);
                    if done {
                        return Ok(heard);
                    }
                }
                // The session was ended, and it was told why.
                Err(e)
                    if e.kind() == io::ErrorKind::UnexpectedEof
                        && matches!(heard.last(), Some(ServerMessage::Error(_))) =>
                {
                    return Ok(heard);
                }
                Err(e) => return Err(Error::new(e.kind(), format!("{e} after {heard:?}"))),
            }
        }
    }

    /// Whether the other side closes the connection, with nothing more said.
    pub fn is_closed_by_peer(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }

    fn one(&mut self) -> io::Result<ServerMessage> {
        let kind = self.byte()?;
        let length = if self.two { 0 } else { self.number()? as usize };
        if kind == b'P' && self.two {
            if self.text()? != "blank" {
                return Err(bad("a cursor of another name"));
            }
            return self.one();
        }
        self.rest(kind, length)
    }

    fn rest(&mut self, kind: u8, length: usize) -> io::Result<ServerMessage> {
        if self.two {
            self.rest_of_two(kind)
        } else {
            self.rest_of_three(kind, length)
        }
    }

    fn rest_of_two(&mut self, kind: u8) -> io::Result<ServerMessage> {
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
                    // The length of a text counts itself.
                    let itself = if kind == b'D' { 4 } else { 0 };
                    let length = self
                        .number()?
                        .checked_sub(itself)
                        .ok_or_else(|| bad("a length under its own"))?;
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
                return Err(bad(format!(
                    "a message that 2.0 does not have: {:?}",
                    other as char
                )));
            }
        })
    }

    fn rest_of_three(&mut self, kind: u8, length: usize) -> io::Result<ServerMessage> {
        let length = length
            .checked_sub(4)
            .ok_or_else(|| bad("an impossible length"))?;
        let body = self.bytes(length)?;
        let texts = || -> Vec<String> {
            body.split(|b| *b == 0)
                .map(|t| String::from_utf8_lossy(t).into_owned())
                .collect()
        };
        let told = || -> io::Result<String> {
            let mut told = String::new();
            for field in texts().iter().filter(|f| !f.is_empty()) {
                let (kind, text) = field.split_at(1);
                match kind {
                    "C" => told.insert_str(0, &format!("{text} ")),
                    "M" | "D" | "H" => told.push_str(text),
                    "S" | "P" | "p" | "q" | "W" | "F" | "L" | "R" | "V" => {}
                    other => {
                        return Err(bad(format!("a field that it has never heard of: {other}")));
                    }
                }
            }
            Ok(told)
        };
        Ok(match kind {
            b'T' => {
                let mut rest = &body[2..];
                let mut columns = Vec::new();
                while let Some(end) = rest.iter().position(|b| *b == 0) {
                    let name = String::from_utf8_lossy(&rest[..end]).into_owned();
                    let fixed = rest
                        .get(end + 1..end + 19)
                        .ok_or_else(|| bad("half a column"))?;
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
            b'E' => ServerMessage::Error(told()?),
            b'N' => ServerMessage::Notice(told()?),
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
                        other => return Err(bad(format!("{:?} amid a copy", other as char))),
                    }
                }
            }
            other => {
                return Err(bad(format!(
                    "a message that it cannot parse: {:?}",
                    other as char
                )));
            }
        })
    }

    fn bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        if count > 1 << 24 {
            return Err(bad("an impossible length"));
        }
        let mut bytes = vec![0; count];
        self.stream.read_exact(&mut bytes)?;
        Ok(bytes)
    }

    /// Reads one byte, such as the answer to a wish for encryption.
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
                0 => return String::from_utf8(bytes).map_err(|e| bad(e.to_string())),
                byte => bytes.push(byte),
            }
        }
    }
}

/// Asks that the session with this key be cancelled; true once the router has closed.
pub fn cancel(address: SocketAddr, key: &(u32, Vec<u8>)) -> io::Result<bool> {
    let mut old = LegacyClient::open(address, false)?;
    let length = (12 + key.1.len() as u32).to_be_bytes();
    old.send(
        &[
            &length[..],
            &80_877_102u32.to_be_bytes(),
            &key.0.to_be_bytes(),
            &key.1,
        ]
        .concat(),
    )?;
    Ok(old.is_closed_by_peer())
}
