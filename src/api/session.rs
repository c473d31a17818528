//! Identifiers of sessions.

use crate::random::salted_hash;

/// Salt of the hash, so that it differs from hashes of equal names elsewhere.
const SESSION_SALT: u32 = 0x5e55;

/// Identifies a session by a hash of its name, because a name may be as long as a statement. Two sessions with equal hashes
/// would count as one: each would see the writes of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionId(u64);

impl From<&str> for SessionId {
    fn from(name: &str) -> Self {
        SessionId(salted_hash(name, SESSION_SALT))
    }
}

impl From<String> for SessionId {
    fn from(name: String) -> Self {
        name.as_str().into()
    }
}
