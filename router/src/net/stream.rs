//! A connection with its buffers: partial reads and writes, and nothing ever waited for.

use super::budget::{Budget, Buffer};
use plovercove_poller::{Interest, Poll, Registered};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};

const CHUNK: usize = 16 * 1024;
/// Chunks read in one go: a peer that sends at full speed gets its next turn when the others had theirs.
const CHUNKS: usize = 4;

/// What the end of a stream counts among the bytes that are not sent.
const END_OF_STREAM: usize = 1;

/// What a read found out about the other side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// It may say more.
    Open,
    /// It has ended the connection.
    Closed,
    /// The connection broke: what has come may be a part of what was sent.
    Reset,
    /// It says more than there is memory for.
    OverBudget,
}

/// A connected socket, bytes that came and bytes that are to go.
pub struct Stream {
    socket: Registered<TcpStream>,
    input: Buffer,
    read: usize,
    output: Buffer,
    written: usize,
    most: usize,
}

impl Stream {
    /// Takes over a socket that is connected, or that is connecting and will be writable when it is.
    pub fn new(
        poll: &Poll,
        budget: &Budget,
        socket: TcpStream,
        key: usize,
        interest: Interest,
        most: usize,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = poll.register(socket, key, interest)?;
        Ok(Stream {
            socket,
            input: budget.buffer(),
            read: 0,
            output: budget.buffer(),
            written: 0,
            most,
        })
    }

    /// Reads what has come, up to the most that the input may hold.
    pub fn fill(&mut self) -> PeerState {
        let mut chunk = [0; CHUNK];
        for _ in 0..CHUNKS {
            if self.unread().len() >= self.most {
                break;
            }
            if self.input.is_over_budget() {
                return PeerState::OverBudget;
            }
            match self.receive(&mut chunk) {
                Ok(count) => {
                    self.input
                        .write(|input| input.extend_from_slice(&chunk[..count]));
                    if count < CHUNK {
                        break;
                    }
                }
                Err(peer) => return peer,
            }
        }
        PeerState::Open
    }

    /// Reads what has come and keeps none of it; says how much it was.
    pub fn discard(&mut self) -> Result<usize, PeerState> {
        self.consume(self.unread().len());
        let mut chunk = [0; CHUNK];
        match self.receive(&mut chunk) {
            Ok(count) => Ok(count),
            Err(PeerState::Open) => Ok(0),
            Err(peer) => Err(peer),
        }
    }

    /// Bytes that have come; `Open` where there are none just now.
    fn receive(&self, chunk: &mut [u8]) -> Result<usize, PeerState> {
        loop {
            match (&*self.socket).read(chunk) {
                Ok(0) => return Err(PeerState::Closed),
                Ok(count) => return Ok(count),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Err(PeerState::Open),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(PeerState::Reset),
            }
        }
    }

    /// Says that nothing more will be sent.
    pub fn shut_down_write(&self) {
        // It fails only where the other side has gone, which the next read tells.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Whether it may read what is not needed yet: half of the memory for all is left.
    pub fn may_read_ahead(&self) -> bool {
        self.input.has_ample_room()
    }

    /// The bytes that came and have not been taken.
    pub fn unread(&self) -> &[u8] {
        &self.input[self.read..]
    }

    /// Takes bytes off the front of what came.
    pub fn consume(&mut self, count: usize) {
        self.read += count;
        if self.read == self.input.len() || self.read > CHUNK {
            let read = std::mem::take(&mut self.read);
            self.input.write(|input| drop(input.drain(..read)));
        }
    }

    /// Adds to what is to go.
    pub fn queue_output<T>(&mut self, word: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        self.output.write(word)
    }

    /// How many bytes are still to go.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Whether something that was written lies in the system's buffer, the stream's end aside. No, where the system does not
    /// tell: nobody waits for what cannot be seen.
    pub fn is_delivering(&self) -> bool {
        self.socket
            .unsent_bytes()
            .is_ok_and(|bytes| bytes > END_OF_STREAM)
    }

    /// Whether nothing of what is to go has left yet.
    pub fn is_output_untouched(&self) -> bool {
        self.written == 0
    }

    /// Writes what it can; true once nothing is left.
    pub fn flush(&mut self) -> Result<bool, PeerState> {
        while self.written < self.output.len() {
            match (&*self.socket).write(&self.output[self.written..]) {
                Ok(0) => return Err(PeerState::Closed),
                Ok(n) => self.written += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(false),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(PeerState::Closed),
            }
        }
        self.written = 0;
        self.output.write(Vec::clear);
        Ok(true)
    }

    /// Sets what the socket waits for: room to write while there is something to go, and bytes where wanted.
    pub fn set_read_interest(&mut self, reading: bool) {
        let interest = match (reading, self.unsent() > 0) {
            (true, true) => Interest::Both,
            (true, false) => Interest::Read,
            (false, true) => Interest::Write,
            (false, false) => Interest::Nothing,
        };
        if let Err(e) = self.socket.set_interest(interest) {
            tracing::error!("a socket's interest cannot be changed: {e}");
        }
    }

    /// Whether a connection attempt came through; asked once the socket is writable.
    pub fn is_connected(&self) -> bool {
        matches!(self.socket.take_error(), Ok(None)) && self.socket.peer_addr().is_ok()
    }

    /// Whether an idle connection is still good: nothing has come, and the other side has not closed it.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0];
        matches!(self.socket.peek(&mut byte), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}
