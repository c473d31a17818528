//! The PostgreSQL wire protocol in the versions that plovercove supports: 2.0, 3.0 and 3.2 with clients, 3.0 and 3.2 with
//! servers.
//!
//! All modules are state machines without I/O or a clock: they consume bytes and return bytes and decisions. The router's
//! modules `front` and `upstream` own the sockets, the deadlines and the memory budget.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`catalogue`] | what the router does with every message that a client or a server can send, and why |
//! | [`startup`] | startup and login of a client: version, user, authentication |
//! | [`verifier`] | MD5 and SCRAM verifiers by which clients are authenticated; passwords are never stored |
//! | [`login_rate_limit`] | which addresses and users may try to log in again, and when |
//! | [`messages`] | framing and parsing of messages, error codes |
//! | [`login`] | login of the router at a server |
//! | [`reply`] | checks a server's reply for order and form, and derives the outcome of the request from it |
//! | [`encoder`] | encodes replies, errors and greetings in a client's version |
//! | [`values`] | values whose text differs between versions: bytea, dates |
//! | [`session`] | settings that the router keeps for each client, since connections to servers are shared |
//! | [`cancel`] | cancel keys that the router issues |
//! | [`statement`] | whether a statement without labels reads, writes, or needs an exclusive server session |

pub mod cancel;
pub mod catalogue;
pub mod encoder;
mod error;
mod excerpt;
pub mod login;
pub mod login_rate_limit;
pub mod messages;
pub mod reply;
pub mod session;
pub mod startup;
pub mod statement;
pub mod values;
pub mod verifier;

pub use error::Error;
pub use excerpt::excerpt;
use serde::{Deserialize, Serialize};

/// A version of the protocol, which a client requests in its first packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Version {
    /// Version 2.0, of PostgreSQL 6.4 to 7.3. Messages have no length field, and an error is a single text.
    #[serde(rename = "2.0")]
    V2,
    /// Version 3.0, of PostgreSQL 7.4 and later.
    #[serde(rename = "3.0")]
    V30,
    /// Version 3.2, of PostgreSQL 18. Secret keys have up to 256 bytes.
    #[serde(rename = "3.2")]
    V32,
}

impl Version {
    /// Returns the version as text, such as `3.0`.
    pub fn name(self) -> &'static str {
        match self {
            Version::V2 => "2.0",
            Version::V30 => "3.0",
            Version::V32 => "3.2",
        }
    }

    /// Returns the number in the first packet: the major version in the upper 16 bits, the minor version in the lower.
    pub fn protocol_number(self) -> u32 {
        match self {
            Version::V2 => 2 << 16,
            Version::V30 => 3 << 16,
            Version::V32 => 3 << 16 | 2,
        }
    }
}

/// An error that is sent to the client, and ends its request or its session.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// The SQLSTATE.
    pub code: &'static str,
    /// The error message. It never contains a secret.
    pub text: String,
}

impl SqlError {
    /// Returns an error with this code and text.
    pub fn new(code: &'static str, text: impl Into<String>) -> Self {
        SqlError {
            code,
            text: text.into(),
        }
    }
}

impl std::fmt::Display for SqlError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} ({})", self.text, self.code)
    }
}

impl std::error::Error for SqlError {}
