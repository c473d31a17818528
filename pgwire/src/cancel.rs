//! Cancel keys of client sessions.
//!
//! The router issues its own keys and does not pass on those of servers: a client's session is not bound to one connection
//! to a server.

use crate::Version;
use std::collections::HashMap;
use subtle::ConstantTimeEq;

/// The key that a client has to send to cancel the request of its session.
#[derive(Clone, PartialEq, Eq)]
pub struct CancelKey {
    /// Number of the session, sent in the field for the process id.
    pub id: u32,
    /// Secret bytes: four up to version 3.0, 32 in newer versions.
    pub secret: Vec<u8>,
}

/// Prints the id without the secret, so that logs never contain a secret.
impl std::fmt::Debug for CancelKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "CancelKey({})", self.id)
    }
}

/// The cancel keys of all open sessions. `S` identifies a session.
#[derive(Default)]
pub struct CancelKeys<S> {
    issued: HashMap<u32, (Vec<u8>, S)>,
    last_id: u32,
}

impl<S: Copy> CancelKeys<S> {
    /// Returns an empty set of keys.
    pub fn new() -> Self {
        CancelKeys {
            issued: HashMap::new(),
            last_id: 0,
        }
    }

    /// Issues a key for a session. The secret is taken from the front of `random`.
    pub fn issue(&mut self, session: S, version: Version, random: [u8; 32]) -> CancelKey {
        loop {
            // Old clients treat the id as a process id, which is above 0 and below 2^31.
            self.last_id = self.last_id % (i32::MAX as u32) + 1;
            if !self.issued.contains_key(&self.last_id) {
                break;
            }
        }
        let secret_length = if version >= Version::V32 { 32 } else { 4 };
        let secret = random[..secret_length].to_vec();
        self.issued.insert(self.last_id, (secret.clone(), session));
        CancelKey {
            id: self.last_id,
            secret,
        }
    }

    /// Returns the session that a key belongs to. Secrets are compared in constant time, so that the duration does not reveal
    /// how much of a guessed secret is right.
    pub fn find(&self, key: &CancelKey) -> Option<S> {
        let (secret, session) = self.issued.get(&key.id)?;
        bool::from(secret.ct_eq(&key.secret)).then_some(*session)
    }

    /// Removes the key of a session that has ended.
    pub fn remove(&mut self, id: u32) {
        self.issued.remove(&id);
    }

    /// Returns the number of issued keys.
    pub fn len(&self) -> usize {
        self.issued.len()
    }

    /// Returns true if there are no keys.
    pub fn is_empty(&self) -> bool {
        self.issued.is_empty()
    }
}

#[cfg(test)]
mod tests;
