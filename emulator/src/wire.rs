//! The parts of version 3 of the PostgreSQL wire protocol that the emulated clients and nodes need, and HTTP requests.

use std::io::{self, BufRead, ErrorKind, Read, Write};
use std::net::TcpStream;

/// Maximum length of a message.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Reads a startup packet, which has no type byte.
pub fn startup(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    body(stream, u32::from_be_bytes(head) as usize)
}

/// Reads a message. Returns its type and body.
pub fn message(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let [kind, length @ ..] = head;
    Ok((kind, body(stream, u32::from_be_bytes(length) as usize)?))
}

/// Reads a message and returns the statement of a simple query. Returns `None` for other messages, such as Terminate.
pub fn statement(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let (kind, body) = message(stream)?;
    let text = || {
        String::from_utf8_lossy(&body)
            .trim_end_matches('\0')
            .to_string()
    };
    Ok((kind == b'Q').then(text))
}

fn body(stream: &mut TcpStream, length: usize) -> io::Result<Vec<u8>> {
    if !(4..=MAX_MESSAGE_BYTES).contains(&length) {
        return Err(ErrorKind::InvalidData.into());
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok(body)
}

/// Appends a message.
pub fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

/// Appends a ParameterStatus message.
pub fn put_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

/// Appends a row with one text column, preceded by its description and followed by CommandComplete.
pub fn put_row(out: &mut Vec<u8>, value: &[u8]) {
    let described = [
        &b"\0\x01body\0"[..],
        &[0; 10],
        &[0xff, 0xff],
        &[0xff; 4],
        &[0, 0],
    ]
    .concat();
    put(out, b'T', &described);
    let row = [&b"\0\x01"[..], &(value.len() as u32).to_be_bytes(), value].concat();
    put(out, b'D', &row);
    put(out, b'C', b"SELECT 1\0");
}

/// Appends an error with this code.
pub fn put_error(out: &mut Vec<u8>, code: &str) {
    put(out, b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes());
}

/// Appends ReadyForQuery.
pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', b"I");
}

/// Accepts a client as a server does: reads its startup packet, and sends a greeting with the role of the node.
pub fn welcome(stream: &mut TcpStream, role: &str) -> io::Result<()> {
    startup(stream)?;
    let mut out = Vec::new();
    put(&mut out, b'R', &[0; 4]);
    put_status(&mut out, "replication_role", role);
    put_ready(&mut out);
    stream.write_all(&out)
}

/// Reads the head of an HTTP request. Returns its first line, or `None` at the end of the connection.
pub fn request(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut header = String::from("?");
    while !header.trim().is_empty() {
        header.clear();
        if reader.read_line(&mut header)? == 0 {
            return Ok(None);
        }
    }
    Ok(Some(first))
}

/// Sends a startup packet for the user `worker` and the database `catalog`.
pub fn greet(stream: &mut TcpStream) -> io::Result<()> {
    let mut packet = 196_608_u32.to_be_bytes().to_vec();
    packet.extend_from_slice(b"user\0worker\0database\0catalog\0\0");
    stream.write_all(&(packet.len() as u32 + 4).to_be_bytes())?;
    stream.write_all(&packet)
}

/// Returns the value of a label in the comment in front of a statement.
pub fn label<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.strip_prefix("/*")?.split("*/").next()?;
    comment
        .split(',')
        .find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('='))
}

#[cfg(test)]
mod tests;
