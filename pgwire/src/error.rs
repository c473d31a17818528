//! What is wrong with what operators say of logins. Nothing here repeats what may be a password.

use crate::verifier::MAX_USERS;

/// What is wrong with a file of users, or with the limit on logins that fail.
#[derive(
    Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum Error {
    /// A line that is no user and verifier.
    #[error("line {0}: expected a user and a verifier")]
    NoPair(usize),
    /// What stands after the user is no verifier.
    #[error("line {0}: expected md5... or SCRAM-SHA-256$...; passwords are not kept in plain text")]
    NoVerifier(usize),
    /// A user for the second time.
    #[error("line {0}: this user stands here twice")]
    Twice(usize),
    /// The file holds more users than may be.
    #[error("line {0}: more users than a file may hold ({MAX_USERS})")]
    TooMany(usize),
    /// A limit out of its bounds.
    #[error("{key}: expected {want}")]
    Limit {
        /// Its key.
        key: &'static str,
        /// Its bounds.
        want: &'static str,
    },
}

impl Error {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Error::NoPair(_) => {
                "write a user and a verifier on this line, with a blank between; # begins a comment"
            }
            Error::NoVerifier(_) => {
                "copy the verifier from rolpassword in pg_authid of a server that knows this user"
            }
            Error::Twice(_) => {
                "leave one line for each user: which of two would hold is nobody's guess"
            }
            Error::TooMany(_) => "split the users over several fronts, each with a file of its own",
            Error::Limit { .. } => {
                "set this limit within its bounds, or leave it out for the default"
            }
        }
    }
}
