//! Cancel keys: the router's own, since a client's session and a connection to a server are not the same thing.

use crate::Version;
use std::collections::HashMap;
use subtle::ConstantTimeEq;

/// What a client must show to have its request cancelled.
#[derive(Clone, PartialEq, Eq)]
pub struct CancelKey {
    /// The number of its session, in the place of a process id.
    pub id: u32,
    /// The secret: four bytes up to 3.0, 32 for newer clients.
    pub secret: Vec<u8>,
}

/// It shows nothing of the secret.
impl std::fmt::Debug for CancelKey {
    fn fmt(&self, to: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(to, "CancelKey({})", self.id)
    }
}

/// The keys that are out. `S` is whatever names a session.
#[derive(Default)]
pub struct CancelKeys<S> {
    out: HashMap<u32, (Vec<u8>, S)>,
    last: u32,
}

impl<S: Copy> CancelKeys<S> {
    /// No keys.
    pub fn new() -> Self {
        CancelKeys {
            out: HashMap::new(),
            last: 0,
        }
    }

    /// A key for a session. `random` is as many random bytes as the longest secret has.
    pub fn issue(&mut self, session: S, version: Version, random: [u8; 32]) -> CancelKey {
        loop {
            // Old clients hold it for a process id: over 0, and under 2^31.
            self.last = self.last % (i32::MAX as u32) + 1;
            if !self.out.contains_key(&self.last) {
                break;
            }
        }
        let length = if version >= Version::V32 { 32 } else { 4 };
        let secret = random[..length].to_vec();
        self.out.insert(self.last, (secret.clone(), session));
        CancelKey {
            id: self.last,
            secret,
        }
    }

    /// The session that a key belongs to. A wrong one takes as long as a right one.
    pub fn find(&self, key: &CancelKey) -> Option<S> {
        let (secret, session) = self.out.get(&key.id)?;
        bool::from(secret.ct_eq(&key.secret)).then_some(*session)
    }

    /// The session is over.
    pub fn remove(&mut self, id: u32) {
        self.out.remove(&id);
    }

    /// How many are out.
    pub fn len(&self) -> usize {
        self.out.len()
    }

    /// Whether none is out.
    pub fn is_empty(&self) -> bool {
        self.out.is_empty()
    }
}

#[cfg(test)]
mod tests;
