//! A connection with its buffers: partial reads and writes, and nothing ever waited for.

use plovercove_poller::{Interest, Poll, Registered};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;

const CHUNK: usize = 16 * 1024;
/// A buffer that has grown beyond this is given back once it is empty.
const KEPT: usize = 16 * 1024;

/// What a read found out about the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    /// It may say more.
    Open,
    /// It has closed or reset the connection.
    Gone,
}

/// A connected socket, bytes that came and bytes that are to go.
pub struct Stream {
    socket: Registered<TcpStream>,
    input: Vec<u8>,
    read: usize,
    output: Vec<u8>,
    written: usize,
    most: usize,
}

impl Stream {
    /// Takes over a socket that is connected, or that is connecting and will be writable when it is.
    pub fn new(
        poll: &Poll, socket: TcpStream, key: usize, interest: Interest, most: usize,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = poll.register(socket, key, interest)?;
        Ok(Stream { socket, input: Vec::new(), read: 0, output: Vec::new(), written: 0, most })
    }

    /// Reads what has come, up to the most that the input may hold.
    pub fn fill(&mut self) -> Peer {
        let mut chunk = [0; CHUNK];
        while self.unread().len() < self.most {
            match (&*self.socket).read(&mut chunk) {
                Ok(0) => return Peer::Gone,
                Ok(n) => {
                    self.input.extend_from_slice(&chunk[..n]);
                    if n < CHUNK {
                        return Peer::Open;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Peer::Open,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Peer::Gone,
            }
        }
        Peer::Open
    }

    /// The bytes that came and have not been taken.
    pub fn unread(&self) -> &[u8] {
        &self.input[self.read..]
    }

    /// Takes bytes off the front of what came.
    pub fn take(&mut self, count: usize) {
        self.read += count;
        if self.read == self.input.len() {
            self.input.clear();
            self.read = 0;
            self.input.shrink_to(KEPT);
        } else if self.read > CHUNK {
            self.input.drain(..self.read);
            self.read = 0;
        }
    }

    /// The buffer for what is to go.
    pub fn output(&mut self) -> &mut Vec<u8> {
        &mut self.output
    }

    /// How many bytes are still to go.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Writes what it can; true once nothing is left.
    pub fn flush(&mut self) -> Result<bool, Peer> {
        while self.written < self.output.len() {
            match (&*self.socket).write(&self.output[self.written..]) {
                Ok(0) => return Err(Peer::Gone),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(Peer::Gone),
            }
        }
        self.output.clear();
        self.written = 0;
        self.output.shrink_to(KEPT);
        Ok(true)
    }

    /// Sets what the socket waits for: room to write while there is something to go, and bytes where wanted.
    pub fn wait_for(&mut self, reading: bool) {
        let interest = match (reading, self.unsent() > 0) {
            (true, true) => Interest::Both,
            (true, false) => Interest::Read,
            (false, true) => Interest::Write,
            (false, false) => Interest::Nothing,
        };
        if let Err(e) = self.socket.want(interest) {
            tracing::error!("a socket's interest cannot be changed: {e}");
        }
    }

    /// Whether a connection attempt came through; asked once the socket is writable.
    pub fn connected(&self) -> bool {
        matches!(self.socket.take_error(), Ok(None)) && self.socket.peer_addr().is_ok()
    }

    /// Whether an idle connection is still good: nothing has come, and the other side has not closed it.
    pub fn quiet(&self) -> bool {
        let mut byte = [0];
        matches!(self.socket.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}
