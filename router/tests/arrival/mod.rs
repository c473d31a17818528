//! Waits until the peer's system has received what a socket sent, according to the system's table of TCP connections.

use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Timeout that ends a hanging test. No passing test waits for it.
const TEST_TIMEOUT: Duration = Duration::from_secs(40);

/// Returns the local port of a connection. It identifies the connection even after its socket has been closed.
pub fn local_port(stream: &TcpStream) -> u16 {
    stream.local_addr().expect("connected").port()
}

/// Waits until the peer's system has acknowledged all bytes that were sent from this port, and the close of the connection
/// if it was closed.
pub fn wait_for_acknowledgement(local_port: u16) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_acknowledged(local_port) {
        assert!(
            Instant::now() < deadline,
            "the peer's system does not receive anything"
        );
        std::thread::yield_now();
    }
}

fn is_acknowledged(local_port: u16) -> bool {
    const FIN_WAIT1: &str = "04";
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    let lines = table
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let port_suffix = format!(":{local_port:04X}");
    let own_line = lines.into_iter().find(|fields| {
        fields
            .get(1)
            .is_some_and(|address| address.ends_with(&port_suffix))
    });
    // A connection that was reset is no longer in the table.
    own_line.is_none_or(|fields| fields[3] != FIN_WAIT1 && fields[4].starts_with("00000000:"))
}
