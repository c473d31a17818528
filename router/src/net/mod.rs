//! Sockets: connecting, buffering, the byte budget, signals, and the keys under which sockets are registered with the
//! poller.

pub mod budget;
pub mod signals;
pub mod stream;

use plovercove_engine::Key;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// The kind of socket that a poller event belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// A listener for clients.
    Listener = 1,
    /// The socket that signal handlers write to.
    Signal = 2,
    /// The connection to the discovery agent.
    Discovery = 3,
    /// A client's connection.
    Client = 4,
    /// A connection to a db node.
    Node = 5,
    /// The datagram socket for gossip with other routers.
    Gossip = 6,
}

const SOURCE_SHIFT: u32 = 56;

/// Returns the poller key of a socket: its source in the top byte and its table key below.
pub fn poll_key(source: EventSource, key: Option<Key>) -> usize {
    (source as usize) << SOURCE_SHIFT | key.map_or(0, |k| k.number() as usize)
}

/// Splits a poller key into the source and the table key. The source is `None` if the key is malformed.
pub fn split_poll_key(poll_key: usize) -> (Option<EventSource>, Key) {
    let sources = [
        EventSource::Listener,
        EventSource::Signal,
        EventSource::Discovery,
        EventSource::Client,
        EventSource::Node,
        EventSource::Gossip,
    ];
    let source = sources
        .into_iter()
        .find(|s| *s as usize == poll_key >> SOURCE_SHIFT);
    (
        source,
        Key::from_number(poll_key as u64 & ((1 << SOURCE_SHIFT) - 1)),
    )
}

/// Starts a connection attempt without blocking. The socket becomes writable when the attempt has ended.
pub fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    const EINPROGRESS: i32 = 115;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(EINPROGRESS) => Err(e),
        _ => Ok(socket.into()),
    }
}
