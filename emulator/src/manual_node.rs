//! A db node that does nothing by itself: a test takes its connections in, and says when each greets and answers.

use crate::wire;
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// A db node that waits to be told.
pub struct Node(TcpListener);

impl Node {
    /// A node that listens; what waits for it longer than this ends the test.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start(hangs: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        // On this system the time-out of reads is that of accepting too.
        socket2::SockRef::from(&listener).set_read_timeout(Some(hangs))?;
        Ok(Node(listener))
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.0.local_addr()
    }

    /// Takes the next connection in, with what the router says first. It has not been greeted.
    ///
    /// # Errors
    /// None came.
    pub fn accept(&self, hangs: Duration) -> io::Result<Link> {
        let (mut stream, _) = self.0.accept()?;
        stream.set_read_timeout(Some(hangs))?;
        stream.set_write_timeout(Some(hangs))?;
        stream.set_nodelay(true)?;
        wire::startup(&mut stream)?;
        Ok(Link(stream))
    }
}

/// A db node that no connection comes up to: its queue is full.
pub struct FullQueueNode {
    node: Node,
    queue: Vec<TcpStream>,
}

/// So long a connection is waited for, to tell that the queue is full.
const UP: Duration = Duration::from_millis(200);

impl FullQueueNode {
    /// A node that listens and is deaf; see `Node::start`.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start(hangs: Duration) -> io::Result<Self> {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        socket.listen(0)?;
        socket.set_read_timeout(Some(hangs))?;
        let node = Node(socket.into());
        let (at, mut queue) = (node.address()?, Vec::new());
        while let Ok(stream) = TcpStream::connect_timeout(&at, UP) {
            queue.push(stream);
        }
        Ok(FullQueueNode { node, queue })
    }

    /// Where it listens.
    ///
    /// # Errors
    /// The system does not tell.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.node.address()
    }

    /// From now on connections come up, those that were begun before included.
    ///
    /// # Errors
    /// What stood in the queue has gone.
    pub fn accept_connections(self) -> io::Result<Node> {
        for _ in &self.queue {
            self.node.0.accept()?;
        }
        Ok(self.node)
    }
}

/// One connection of the router's.
pub struct Link(TcpStream);

impl Link {
    /// Welcomes the router as this role.
    ///
    /// # Errors
    /// The router has gone.
    pub fn greet(&mut self, role: &str) -> io::Result<()> {
        let mut out = Vec::new();
        wire::put(&mut out, b'R', &[0; 4]);
        wire::put_status(&mut out, "replication_role", role);
        wire::put_ready(&mut out);
        io::Write::write_all(&mut self.0, &out)
    }

    /// The id of the next statement; none at the end of the connection.
    ///
    /// # Errors
    /// Nothing comes, and the connection stays open.
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

    /// The id of a statement that has come by now, if one has.
    ///
    /// # Errors
    /// The time-out can't be set.
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

    /// Reads so many bytes at the most, as they come; 0 at the end of the connection.
    ///
    /// # Errors
    /// Nothing comes, and the connection stays open.
    pub fn read(&mut self, most: usize) -> io::Result<usize> {
        io::Read::read(&mut self.0, &mut vec![0; most])
    }

    /// Says that nothing more will be said; what comes is read no longer.
    ///
    /// # Errors
    /// The router has gone.
    pub fn close_write(&self) -> io::Result<()> {
        self.0.shutdown(Shutdown::Write)
    }

    /// Resets the connection, as the system does when a process dies.
    ///
    /// # Errors
    /// The system refuses.
    pub fn reset(self) -> io::Result<()> {
        socket2::SockRef::from(&self.0).set_linger(Some(Duration::ZERO))
    }

    /// Says these bytes, whatever they are.
    ///
    /// # Errors
    /// The router has gone, or takes nothing in.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        io::Write::write_all(&mut self.0, bytes)
    }

    /// Answers the statement that came with its own id.
    ///
    /// # Errors
    /// The router has gone.
    pub fn answer(&mut self, id: &str) -> io::Result<()> {
        self.answer_all(&[id])
    }

    /// Says these answers in one write, whatever came.
    ///
    /// # Errors
    /// The router has gone.
    pub fn answer_all(&mut self, ids: &[&str]) -> io::Result<()> {
        let mut out = Vec::new();
        for id in ids {
            wire::put_row(&mut out, id.as_bytes());
            wire::put_ready(&mut out);
        }
        io::Write::write_all(&mut self.0, &out)
    }
}
