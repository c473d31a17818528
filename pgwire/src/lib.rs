//! The PostgreSQL wire protocol in the versions that plovercove meets: 2.0 and 3.0 of old clients, 3.0 and 3.2 of servers.
//!
//! Everything here is a state machine without I/O or a clock: bytes go in, bytes and decisions come out. Fronts and
//! upstreams of the router own the sockets, the deadlines and the budget of bytes.
//!
//! | module | what it decides |
//! | --- | --- |
//! | [`catalogue`] | what becomes of every message that either side can send, and why |
//! | [`startup`] | how a client comes in: version, user, proof of who it is |
//! | [`verifier`] | what is kept to check clients by; never a password |
//! | [`login_rate_limit`] | who may try to log in again, and when |
//! | [`messages`] | framing of messages, and the words that both sides use |
//! | [`login`] | how the router itself logs in to a server |
//! | [`reply`] | whether a server's reply has the order and form that it must, and what it says became of the request |
//! | [`encoder`] | the words of a reply, an error or a greeting in a client's version |
//! | [`values`] | values whose text differs between versions: bytea, dates |
//! | [`session`] | which settings the router keeps for a client, since servers' connections are shared |
//! | [`cancel`] | the router's own cancel keys |
//! | [`statement`] | whether a statement without labels reads or writes, or needs a session of its own |

pub mod cancel;
pub mod catalogue;
pub mod encoder;
mod error;
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
use serde::{Deserialize, Serialize};

/// A version of the protocol, as the first packet of a session names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Version {
    /// 2.0: PostgreSQL 6.4 to 7.3. Messages without lengths, errors as one text.
    #[serde(rename = "2.0")]
    V2,
    /// 3.0: PostgreSQL 7.4 and later.
    #[serde(rename = "3.0")]
    V30,
    /// 3.2: PostgreSQL 18. Secret keys of up to 256 bytes.
    #[serde(rename = "3.2")]
    V32,
}

impl Version {
    /// As people write it.
    pub fn name(self) -> &'static str {
        match self {
            Version::V2 => "2.0",
            Version::V30 => "3.0",
            Version::V32 => "3.2",
        }
    }

    /// As the first packet writes it: the major number in the high half, the minor one in the low.
    pub fn protocol_number(self) -> u32 {
        match self {
            Version::V2 => 2 << 16,
            Version::V30 => 3 << 16,
            Version::V32 => 3 << 16 | 2,
        }
    }
}

/// Why a session or a request cannot go on: what the other side is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SqlError {
    /// The SQLSTATE.
    pub code: &'static str,
    /// The text; it holds no secret.
    pub text: String,
}

impl SqlError {
    /// A fault with this code and text.
    pub fn new(code: &'static str, text: impl Into<String>) -> Self {
        SqlError {
            code,
            text: text.into(),
        }
    }
}

impl std::fmt::Display for SqlError {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "{} ({})", self.text, self.code)
    }
}

impl std::error::Error for SqlError {}
