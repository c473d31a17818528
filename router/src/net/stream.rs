//! A non-blocking TCP connection with its input and output buffers.

use super::budget::{Budget, Buffer};
use plovercove_poller::{Interest, Poll, Registered};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};

const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks read in one call, so that a peer that sends at full speed does not keep the loop from the
/// other connections.
pub const MAX_CHUNKS_PER_CALL: usize = 4;

/// The rest of the input is moved to the front of its buffer once more than one byte in this many is consumed.
const MOVED_FRACTION: usize = 8;

/// The system counts the end of a stream as one unsent byte.
const END_OF_STREAM_BYTES: usize = 1;

/// The state of the connection as seen by a read or write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer may send more.
    Open,
    /// The peer has closed the connection.
    Closed,
    /// The connection was reset: the received bytes may be a part of those that the peer sent.
    Reset,
    /// The input buffer must not grow, because the byte budget is spent.
    OverBudget,
}

impl PeerState {
    /// Returns the name of the state in log lines.
    pub fn label(self) -> &'static str {
        match self {
            PeerState::Open => "Open",
            PeerState::Closed => "Gone",
            PeerState::Reset => "Reset",
            PeerState::OverBudget => "TooMuch",
        }
    }
}

/// What waits in the system's buffer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peeked {
    /// Nothing; the peer may send more.
    Nothing,
    /// Bytes that have not been read.
    Bytes,
    /// The end of the stream: the peer has closed or reset the connection.
    End(PeerState),
}

/// A socket with its input and output buffers.
pub struct Stream {
    socket: Registered<TcpStream>,
    input: Buffer,
    consumed: usize,
    output: Buffer,
    written: usize,
    max_input_bytes: usize,
}

impl Stream {
    /// Registers a socket that is connected or connecting. `max_input_bytes` limits the input buffer.
    pub fn new(
        poll: &Poll,
        budget: &Budget,
        socket: TcpStream,
        key: usize,
        interest: Interest,
        max_input_bytes: usize,
    ) -> io::Result<Self> {
        socket.set_nonblocking(true)?;
        socket.set_nodelay(true)?;
        let socket = poll.register(socket, key, interest)?;
        Ok(Stream {
            socket,
            input: budget.buffer(),
            consumed: 0,
            output: budget.buffer(),
            written: 0,
            max_input_bytes,
        })
    }

    /// Reads received bytes into the input buffer, up to its limit.
    pub fn fill(&mut self) -> PeerState {
        let mut chunk = [0; CHUNK_BYTES];
        for _ in 0..MAX_CHUNKS_PER_CALL {
            if self.unread().len() >= self.max_input_bytes {
                break;
            }
            if self.input.is_over_budget() {
                return PeerState::OverBudget;
            }
            match self.receive(&mut chunk) {
                Ok(count) => {
                    self.input
                        .write(|input| input.extend_from_slice(&chunk[..count]));
                    if count < CHUNK_BYTES {
                        break;
                    }
                }
                Err(peer) => return peer,
            }
        }
        PeerState::Open
    }

    /// Drops the input buffer, reads received bytes without keeping them, and returns their number.
    pub fn discard(&mut self) -> Result<usize, PeerState> {
        self.consume(self.unread().len());
        self.skip(CHUNK_BYTES)
    }

    /// Reads up to `max_bytes` received bytes without keeping them, and returns their number. The input buffer must be empty.
    pub fn skip(&mut self, max_bytes: usize) -> Result<usize, PeerState> {
        let mut chunk = [0; CHUNK_BYTES];
        match self.receive(&mut chunk[..max_bytes.min(CHUNK_BYTES)]) {
            Ok(count) => Ok(count),
            Err(PeerState::Open) => Ok(0),
            Err(peer) => Err(peer),
        }
    }

    /// Reads into `chunk`. Returns `Err(PeerState::Open)` if no bytes are available.
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

    /// Shuts down the sending direction.
    pub fn shut_down_write(&self) {
        // This fails only if the peer has closed the connection, and the next read reports that.
        let _ = self.socket.shutdown(Shutdown::Write);
    }

    /// Returns whether data that is not needed yet may be read, which requires that half of the byte budget is free.
    pub fn may_read_ahead(&self) -> bool {
        self.input.has_ample_room()
    }

    /// Returns whether less than a quarter of the byte budget is left.
    pub fn has_little_room(&self) -> bool {
        self.input.has_little_room()
    }

    /// Returns the received bytes that have not been consumed.
    pub fn unread(&self) -> &[u8] {
        &self.input[self.consumed..]
    }

    /// Removes bytes from the front of the input. A long rest is moved only once a fair part of the buffer is free.
    pub fn consume(&mut self, count: usize) {
        self.consumed += count;
        let worthwhile = CHUNK_BYTES.max(self.input.len() / MOVED_FRACTION);
        let is_worth_moving = self.consumed > worthwhile;
        if self.consumed == self.input.len() || is_worth_moving {
            let consumed = std::mem::take(&mut self.consumed);
            self.input.write(|input| drop(input.drain(..consumed)));
        }
    }

    /// Appends to the output buffer. Nothing is sent before `flush`.
    pub fn queue_output<T>(&mut self, append: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        self.output.write(append)
    }

    /// Returns the number of queued bytes that have not been written to the socket.
    pub fn unsent(&self) -> usize {
        self.output.len() - self.written
    }

    /// Returns whether the system's send buffer holds written bytes other than the end of the stream. Returns false if the
    /// system does not report it, so that no caller waits for bytes that it cannot observe.
    pub fn is_delivering(&self) -> bool {
        self.socket
            .unsent_bytes()
            .is_ok_and(|bytes| bytes > END_OF_STREAM_BYTES)
    }

    /// Returns whether none of the queued bytes has been written to the socket.
    pub fn is_output_untouched(&self) -> bool {
        self.written == 0
    }

    /// Writes queued bytes. Returns true if none is left.
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

    /// Sets the poller interest: readable if `reading`, and writable while output is queued.
    pub fn set_read_interest(&mut self, reading: bool) {
        let interest = match (reading, self.unsent() > 0) {
            (true, true) => Interest::Both,
            (true, false) => Interest::Read,
            (false, true) => Interest::Write,
            (false, false) => Interest::Nothing,
        };
        if let Err(e) = self.socket.set_interest(interest) {
            tracing::error!("cannot change the poller interest of a socket: {e}");
        }
    }

    /// Returns whether a connection attempt succeeded. Valid once the socket is writable.
    pub fn is_connected(&self) -> bool {
        matches!(self.socket.take_error(), Ok(None)) && self.socket.peer_addr().is_ok()
    }

    /// Returns whether an idle connection can be used: no bytes have arrived and the peer has not closed it.
    pub fn is_quiet(&self) -> bool {
        self.peek() == Peeked::Nothing
    }

    /// Returns what waits in the system's buffer, without reading it.
    pub fn peek(&self) -> Peeked {
        loop {
            match self.socket.peek(&mut [0]) {
                Ok(0) => return Peeked::End(PeerState::Closed),
                Ok(_) => return Peeked::Bytes,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Peeked::Nothing,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Peeked::End(PeerState::Reset),
            }
        }
    }
}
