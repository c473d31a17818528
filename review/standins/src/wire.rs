//! Version 3 of the PostgreSQL wire protocol, as far as the protocol page uses it.

use std::io::{self, Read};
use std::net::TcpStream;

/// Reads a message: its type and its body.
pub fn read_message(stream: &mut TcpStream) -> io::Result<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    if !(4..=8 << 20).contains(&length) {
        return Err(io::Error::other("a message has an impossible length"));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok((head[0], body))
}

/// Reads a startup packet.
pub fn read_startup(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut head = [0; 4];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes(head) as usize;
    if !(8..=65_536).contains(&length) {
        return Err(io::Error::other(
            "a startup packet has an impossible length",
        ));
    }
    let mut body = vec![0; length - 4];
    stream.read_exact(&mut body)?;
    Ok(body)
}

pub fn put(out: &mut Vec<u8>, kind: u8, body: &[u8]) {
    out.push(kind);
    out.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    out.extend_from_slice(body);
}

pub fn startup() -> Vec<u8> {
    let body = b"\0\x03\0\0user\0worker\0database\0catalog\0\0";
    let mut out = (body.len() as u32 + 4).to_be_bytes().to_vec();
    out.extend_from_slice(body);
    out
}

pub fn query(text: &str) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 6);
    put(&mut out, b'Q', format!("{text}\0").as_bytes());
    out
}

pub fn put_status(out: &mut Vec<u8>, name: &str, value: &str) {
    put(out, b'S', format!("{name}\0{value}\0").as_bytes());
}

/// RowDescription, a DataRow of one column, and CommandComplete.
pub fn put_row(out: &mut Vec<u8>, value: &[u8], tag: &str) {
    let mut described = vec![0, 1];
    described.extend_from_slice(b"body\0");
    described.extend_from_slice(&[
        0, 0, 0, 0, 0, 1, 0, 0, 0, 17, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 1,
    ]);
    put(out, b'T', &described);
    let mut row = vec![0, 1];
    row.extend_from_slice(&(value.len() as u32).to_be_bytes());
    row.extend_from_slice(value);
    put(out, b'D', &row);
    put(out, b'C', format!("{tag}\0").as_bytes());
}

pub fn put_error(out: &mut Vec<u8>, code: &str) {
    put(
        out,
        b'E',
        format!("SERROR\0VERROR\0C{code}\0Mno\0\0").as_bytes(),
    );
}

pub fn put_ready(out: &mut Vec<u8>) {
    put(out, b'Z', b"I");
}

/// Returns the value of a label in the comment in front of a statement.
pub fn label<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement
        .trim_start()
        .strip_prefix("/*")?
        .split("*/")
        .next()?;
    comment.split(',').find_map(|part| {
        let (n, v) = part.split_once('=')?;
        (n.trim() == name).then_some(v.trim())
    })
}

/// Returns the first value of a DataRow.
pub fn row_value(body: &[u8]) -> &[u8] {
    body.get(6..).unwrap_or_default()
}

/// Returns the SQLSTATE of an ErrorResponse.
pub fn error_code(body: &[u8]) -> String {
    body.split(|b| *b == 0)
        .find_map(|field| field.strip_prefix(b"C"))
        .map(|code| String::from_utf8_lossy(code).into_owned())
        .unwrap_or_default()
}
