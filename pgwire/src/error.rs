//! Errors in the operators' settings for logins. No error text repeats input that may be a password.

use crate::verifier::MAX_USERS;

/// An error in a credentials file, or in the limits on failed logins.
#[derive(
    Clone, Debug, PartialEq, Eq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames,
)]
pub enum Error {
    /// A line does not consist of a user and a verifier.
    #[error("line {0}: expected a user and a verifier")]
    NoPair(usize),
    /// The text after the user is not a verifier.
    #[error("line {0}: expected md5... or SCRAM-SHA-256$...; passwords are not kept in plain text")]
    NoVerifier(usize),
    /// A user is listed for the second time.
    #[error("line {0}: this user stands here twice")]
    Twice(usize),
    /// The file lists more users than [`MAX_USERS`].
    #[error("line {0}: more users than a file may hold ({MAX_USERS})")]
    TooMany(usize),
    /// A limit is out of its bounds.
    #[error("{key}: expected {want}")]
    Limit {
        /// The key of the setting.
        key: &'static str,
        /// The bounds of the setting.
        want: &'static str,
    },
}

impl Error {
    /// Returns what an operator can do about the error.
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
