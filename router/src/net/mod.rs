//! Sockets: connecting, buffering, the budget of bytes, signals and the numbers under which they hang on the poller.

pub mod budget;
pub mod signals;
pub mod stream;

use plovercove_engine::Key;
use socket2::{Domain, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Whom an event of the poller is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The listener.
    Listener = 1,
    /// A signal that has come.
    Signal = 2,
    /// The agent's connection.
    Discovery = 3,
    /// A client.
    Client = 4,
    /// A connection to a db node.
    Node = 5,
    /// Other routers.
    Gossip = 6,
}

const SOURCE_SHIFT: u32 = 56;

/// The number under which a socket hangs on the poller.
pub fn poll_key(source: EventSource, key: Option<Key>) -> usize {
    (source as usize) << SOURCE_SHIFT | key.map_or(0, |k| k.number() as usize)
}

/// Whom that number stands for.
pub fn split_poll_key(number: usize) -> (Option<EventSource>, Key) {
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
        .find(|s| *s as usize == number >> SOURCE_SHIFT);
    (
        source,
        Key::from_number(number as u64 & ((1 << SOURCE_SHIFT) - 1)),
    )
}

/// Begins a connection that does not block; the poller tells when it is up.
pub fn begin_connect(address: SocketAddr) -> io::Result<TcpStream> {
    const EINPROGRESS: i32 = 115;
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(e) if e.raw_os_error() != Some(EINPROGRESS) => Err(e),
        _ => Ok(socket.into()),
    }
}
