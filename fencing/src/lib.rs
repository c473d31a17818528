//! Names of leases, fencing tokens, and the fence that rejects a token older than one that it has already admitted.
//!
//! A lease is the exclusive right of one router to do a certain piece of work for all routers. Each grant of a lease
//! carries a [`Token`] that only rises. A receiver of the holder's messages checks them with a [`Fence`], so that a holder
//! that was stalled while another router took the lease over does no harm when it resumes.
//!
//! Leases, subscriber lists and recorded histories share these types. The crate does no I/O and reads no clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Maximum length of a lease's name, in bytes. A datagram of 1,200 bytes carries several names.
pub const MAX_NAME_BYTES: usize = 64;

/// Name of a lease, identical at all routers, such as `positions/12` or `gateway/a`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(Arc<str>);

impl LeaseName {
    /// Checks a name and wraps it.
    ///
    /// # Errors
    /// The name is empty, too long, or contains a character that logs and settings keys do not allow.
    pub fn new(name: &str) -> Result<Self, InvalidLeaseName> {
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"/-_.:".contains(&b);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            return Err(InvalidLeaseName {
                name: name.chars().take(MAX_NAME_BYTES).collect(),
            });
        }
        Ok(LeaseName(name.into()))
    }

    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Splits the name at the first slash into the kind of work and its subject; the subject is empty without a slash.
    pub fn split_kind(&self) -> (&str, &str) {
        self.0.split_once('/').unwrap_or((&self.0, ""))
    }
}

impl TryFrom<String> for LeaseName {
    type Error = InvalidLeaseName;

    fn try_from(name: String) -> Result<Self, InvalidLeaseName> {
        LeaseName::new(&name)
    }
}

impl From<LeaseName> for String {
    fn from(lease: LeaseName) -> String {
        lease.0.to_string()
    }
}

impl fmt::Display for LeaseName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl fmt::Debug for LeaseName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

/// A text that cannot be a lease's name.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is no duty's name: 1 to {MAX_NAME_BYTES} letters, digits and / - _ . : are")]
pub struct InvalidLeaseName {
    /// The first characters of the text.
    pub name: String,
}

impl InvalidLeaseName {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        "rename the duty, group or zone in the operators' file; the name stands in every datagram about it"
    }
}

/// Fencing token: the number of a grant of one lease. It only rises, whatever fails; 0 precedes the first grant.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Token(pub u64);

impl Token {
    /// The token before the first grant. No grant carries it.
    pub const NONE: Token = Token(0);

    /// Returns the token of the next grant.
    ///
    /// It saturates at the largest number, which takes 500,000 years at a grant each microsecond.
    pub fn next(self) -> Token {
        Token(self.0.saturating_add(1))
    }
}

impl fmt::Display for Token {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "#{}", self.0)
    }
}

/// How an admitted token compares with the newest that the fence knew before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    /// The token equals the newest one.
    Current,
    /// The token is newer; the fence rejects all older ones from now on.
    Newer,
}

/// Why a fence rejects a token.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FenceError {
    /// The lease has been granted to another holder since.
    #[error("{lease}: token {token} is older than {newest}")]
    Older {
        /// The lease.
        lease: LeaseName,
        /// The rejected token.
        token: Token,
        /// The newest token admitted so far.
        newest: Token,
    },
    /// No grant carries this token.
    #[error("{lease}: no grant has token {token}")]
    Never {
        /// The lease.
        lease: LeaseName,
        /// The rejected token.
        token: Token,
    },
    /// The fence already remembers the maximum number of leases.
    #[error("{lease}: the fence holds {max_leases} duties and takes no other")]
    Full {
        /// The lease that is not among them.
        lease: LeaseName,
        /// Maximum number of leases that the fence remembers.
        max_leases: usize,
    },
}

impl FenceError {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            FenceError::Older { .. } => {
                "nothing: an owner that stood still or was cut off has been replaced; look at that machine if it happens often"
            }
            FenceError::Never { .. } => {
                "look for a router of another version or installation with this key; send in both routers' logs"
            }
            FenceError::Full { .. } => {
                "lower the number of duties in the operators' file, or look for a router that makes names up"
            }
        }
    }
}

/// Admits messages of lease holders: it remembers the newest token of each lease and rejects older ones for good.
///
/// It rejects a holder that stalled between its check of the clock and its send, a former holder's message that the
/// network delayed, and the older of two holders if a clock ran wrong. It never forgets a token: a message under a
/// forgotten token could still arrive and would pass.
#[derive(Clone, Debug)]
pub struct Fence {
    newest: BTreeMap<LeaseName, Token>,
    max_leases: usize,
}

impl Fence {
    /// Creates an empty fence that remembers at most `max_leases` leases.
    pub fn new(max_leases: usize) -> Self {
        Fence {
            newest: BTreeMap::new(),
            max_leases,
        }
    }

    /// Checks a token of a lease, and remembers it if it is the newest.
    ///
    /// # Errors
    /// The token is rejected, and the fence remains as it was.
    pub fn admit(&mut self, lease: &LeaseName, token: Token) -> Result<Admitted, FenceError> {
        if token == Token::NONE {
            return Err(FenceError::Never {
                lease: lease.clone(),
                token,
            });
        }
        if let Some(newest) = self.newest.get_mut(lease) {
            if token < *newest {
                return Err(FenceError::Older {
                    lease: lease.clone(),
                    token,
                    newest: *newest,
                });
            }
            let admitted = if token == *newest {
                Admitted::Current
            } else {
                Admitted::Newer
            };
            *newest = token;
            return Ok(admitted);
        }
        if self.newest.len() >= self.max_leases {
            return Err(FenceError::Full {
                lease: lease.clone(),
                max_leases: self.max_leases,
            });
        }
        self.newest.insert(lease.clone(), token);
        Ok(Admitted::Newer)
    }

    /// Returns the newest admitted token of a lease, or [`Token::NONE`] if none was admitted.
    pub fn newest(&self, lease: &LeaseName) -> Token {
        self.newest.get(lease).copied().unwrap_or_default()
    }

    /// Returns the newest admitted token of each lease.
    pub fn tokens(&self) -> impl Iterator<Item = (&LeaseName, Token)> {
        self.newest.iter().map(|(lease, token)| (lease, *token))
    }
}

#[cfg(test)]
mod tests;
