//! A client of the platform: it opens a session and sends simple queries.

use crate::{common, wire};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How a request ended, as its client sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served with this value.
    Value(Vec<u8>),
    /// An error with this code.
    Error(String),
    /// EmptyQueryResponse.
    Empty,
    /// The connection was closed without an answer, after the last byte of the request had been written.
    Closed(String),
    /// The connection was closed before the last byte of the request had been written.
    Cut(String),
    /// Nothing came in the time that the client waited.
    Nothing,
}

impl Answer {
    pub fn short(&self) -> String {
        match self {
            Answer::Value(value) => {
                let shown = &value[..value.len().min(40)];
                format!("row {:?}", String::from_utf8_lossy(shown))
            }
            Answer::Error(code) => format!("error {code}"),
            Answer::Empty => "empty".into(),
            Answer::Closed(how) => format!("closed without an answer ({how})"),
            Answer::Cut(how) => format!("closed before the request was written ({how})"),
            Answer::Nothing => "no answer in time".into(),
        }
    }
}

/// A session.
pub struct Client {
    pub stream: TcpStream,
    /// The session was ended by the router.
    pub ended: bool,
}

impl Client {
    /// Connects and logs in.
    pub fn open(router: SocketAddr) -> io::Result<Self> {
        let mut stream = common::connect(router)?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(&wire::startup())?;
        loop {
            let (kind, body) = wire::read_message(&mut stream)?;
            match kind {
                b'Z' => {
                    return Ok(Client {
                        stream,
                        ended: false,
                    });
                }
                b'E' => return Err(io::Error::other(wire::error_code(&body))),
                _ => {}
            }
        }
    }

    /// Sends a query and waits for its answer for at most this time.
    pub fn ask(&mut self, statement: &str, patience: Duration) -> Answer {
        if let Err(e) = self.stream.write_all(&wire::query(statement)) {
            self.ended = true;
            return Answer::Cut(e.kind().to_string());
        }
        self.read_answer(patience)
    }

    /// Waits for the next answer.
    pub fn read_answer(&mut self, patience: Duration) -> Answer {
        let until = std::time::Instant::now() + patience;
        let mut found = None;
        loop {
            let left = until.saturating_duration_since(std::time::Instant::now());
            if left.is_zero() {
                self.ended = true;
                return found.unwrap_or(Answer::Nothing);
            }
            let _ = self.stream.set_read_timeout(Some(left));
            match wire::read_message(&mut self.stream) {
                Ok((b'D', body)) => found = Some(Answer::Value(wire::row_value(&body).to_vec())),
                Ok((b'E', body)) => found = Some(Answer::Error(wire::error_code(&body))),
                Ok((b'I', _)) => found = Some(Answer::Empty),
                Ok((b'Z', _)) => return found.unwrap_or(Answer::Closed("no answer".into())),
                Ok(_) => {}
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    self.ended = true;
                    return found.unwrap_or(Answer::Nothing);
                }
                Err(e) => {
                    self.ended = true;
                    // No ReadyForQuery is needed after a fatal error.
                    return found.unwrap_or_else(|| Answer::Closed(e.kind().to_string()));
                }
            }
        }
    }
}

/// Returns whether a router answers an empty query.
pub fn is_ready(router: SocketAddr) -> bool {
    Client::open(router)
        .is_ok_and(|mut client| client.ask("", Duration::from_millis(500)) == Answer::Empty)
}
