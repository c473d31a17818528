//! A db node that a test drives by hand: the test accepts each connection, and decides when to send the greeting and each
//! answer.

use crate::wire;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A db node that acts only when the test calls a method.
pub struct Node(TcpListener);

impl Node {
    /// Starts a node that listens. `timeout` limits the time for which `accept` waits for a connection.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(timeout: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        // On Linux the read timeout of a listener is also its timeout for accepting.
        socket2::SockRef::from(&listener).set_read_timeout(Some(timeout))?;
        Ok(Node(listener))
    }

    /// Returns the address on which the node listens.
    ///
    /// # Errors
    /// The system cannot determine the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Accepts the next connection and reads the startup packet of the router. No greeting is sent yet.
    ///
    /// # Errors
    /// No connection came within the timeout.
    pub fn accept(&self, timeout: Duration) -> io::Result<Link> {
        let (mut stream, _) = self.0.accept()?;
        stream.set_read_timeout(Some(timeout))?;
        stream.set_write_timeout(Some(timeout))?;
        stream.set_nodelay(true)?;
        wire::startup(&mut stream)?;
        Ok(Link(stream))
    }
}

/// A db node to which no connection can be established, because its accept queue is full.
pub struct FullQueueNode {
    node: Node,
    queue: Vec<TcpStream>,
}

/// Time without a connection after which the accept queue counts as full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

impl FullQueueNode {
    /// Starts a node and fills its accept queue. For `timeout` see `Node::start`.
    ///
    /// # Errors
    /// No port is available.
    pub fn start(timeout: Duration) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(0)?;
        socket.set_read_timeout(Some(timeout))?;
        let node = Node(socket.into());
        let (at, mut queue) = (node.address()?, Vec::new());
        while let Ok(stream) = TcpStream::connect_timeout(&at, CONNECT_TIMEOUT) {
            queue.push(stream);
        }
        Ok(FullQueueNode { node, queue })
    }

    /// Returns the address on which the node listens.
    ///
    /// # Errors
    /// The system cannot determine the address.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.node.address()
    }

    /// Empties the accept queue, so that connections are established, including those that were begun before.
    ///
    /// # Errors
    /// A connection of the queue no longer exists.
    pub fn accept_connections(self) -> io::Result<Node> {
        for _ in &self.queue {
            self.node.0.accept()?;
        }
        Ok(self.node)
    }
}

/// A connection from the router.
pub struct Link(TcpStream);

impl Link {
    /// Sends the greeting to the router, with this replication role.
    ///
    /// # Errors
    /// The router has closed the connection.
    pub fn greet(&mut self, role: &str) -> io::Result<()> {
        let mut out = Vec::new();
        wire::put(&mut out, b'R', &[0; 4]);
        wire::put_status(&mut out, "replication_role", role);
        wire::put_ready(&mut out);
        io::Write::write_all(&mut self.0, &out)
    }

    /// Waits for the next statement and returns its id, or `None` at the end of the connection.
    ///
    /// # Errors
    /// No data came within the timeout, and the connection is open.
    pub fn statement(&mut self) -> io::Result<Option<String>> {
        let text = match wire::statement(&mut self.0) {
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::UnexpectedEof | ErrorKind::ConnectionReset
                ) =>
            {
                return Ok(None);
            }
            read => read?,
        };
        Ok(text.map(|text| wire::label(&text, "id").map_or(text.clone(), str::to_string)))
    }

    /// Returns the id of a statement that has already arrived, without waiting.
    ///
    /// # Errors
    /// The mode of the socket cannot be changed.
    pub fn pending_statement(&mut self) -> io::Result<Option<String>> {
        let mut byte = [0];
        self.0.set_nonblocking(true)?;
        let come = self.0.peek(&mut byte);
        self.0.set_nonblocking(false)?;
        if matches!(come, Ok(1)) {
            self.statement()
        } else {
            Ok(None)
        }
    }

    /// Reads up to `max_bytes` bytes. Returns their number, which is 0 at the end of the connection.
    ///
    /// # Errors
    /// No data came within the timeout, and the connection is open.
    pub fn read(&mut self, max_bytes: usize) -> io::Result<usize> {
        io::Read::read(&mut self.0, &mut vec![0; max_bytes])
    }

    /// Shuts down the sending direction of the connection.
    ///
    /// # Errors
    /// The router has closed the connection.
    pub fn close_write(&self) -> io::Result<()> {
        self.0.shutdown(Shutdown::Write)
    }

    /// Resets the connection, as the system does when a process is killed.
    ///
    /// # Errors
    /// The socket option cannot be set.
    pub fn reset(self) -> io::Result<()> {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO))
    }

    /// Sends bytes unchanged.
    ///
    /// # Errors
    /// The router has closed the connection, or does not read within the timeout.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        io::Write::write_all(&mut self.0, bytes)
    }

    /// Sends the answer to the statement with this id.
    ///
    /// # Errors
    /// The router has closed the connection.
    pub fn answer(&mut self, id: &str) -> io::Result<()> {
        self.answer_all(&[id])
    }

    /// Sends the answer to the statement with this id up to CommandComplete, without ReadyForQuery.
    ///
    /// # Errors
    /// The router has closed the connection.
    pub fn answer_without_ready(&mut self, id: &str) -> io::Result<()> {
        let mut out = Vec::new();
        wire::put_row(&mut out, id.as_bytes());
        io::Write::write_all(&mut self.0, &out)
    }

    /// Sends the answers to these ids in one write, whether or not the statements arrived.
    ///
    /// # Errors
    /// The router has closed the connection.
    pub fn answer_all(&mut self, ids: &[&str]) -> io::Result<()> {
        let mut out = Vec::new();
        for id in ids {
            wire::put_row(&mut out, id.as_bytes());
            wire::put_ready(&mut out);
        }
        io::Write::write_all(&mut self.0, &out)
    }
}
