//! What can be wrong, and what an operator can do.

use plovercove_fencing::{FenceError, InvalidLeaseName};

/// Why something was not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Fault {
    /// A setting that cannot be meant.
    #[error("{key}: expected {least} to {most}, got {value}")]
    Setting {
        /// Its key.
        key: &'static str,
        /// What was set.
        value: u64,
        /// The least.
        least: u64,
        /// The most.
        most: u64,
    },
    /// A topic, zone or subscriber with a name that cannot stand in a datagram.
    #[error(transparent)]
    Name(#[from] InvalidLeaseName),
    /// An owner that was replaced.
    #[error(transparent)]
    Refused(#[from] FenceError),
    /// News that does not fit a datagram.
    #[error("news of {topic} has {bytes} bytes, {most} fit a datagram")]
    Large {
        /// Its topic.
        topic: String,
        /// Its size.
        bytes: usize,
        /// What fits.
        most: usize,
    },
    /// As many topics or subscriptions as there may be.
    #[error("{what}: there are {most} already")]
    Full {
        /// Of what.
        what: &'static str,
        /// The most.
        most: usize,
    },
    /// A body that no router of this version sends.
    #[error("a body from {from} that cannot be read")]
    Unread {
        /// Who sent it.
        from: std::net::SocketAddr,
    },
}

impl Fault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Fault::Setting { .. } => {
                "set the key within these bounds; docs/operators-fanout.md says what it is for"
            }
            Fault::Name(e) => e.help(),
            Fault::Refused(e) => e.help(),
            Fault::Large { .. } => {
                "nothing to set; send in the log: the publisher has to split what it tells"
            }
            Fault::Full { .. } => {
                "raise `topics` or `subscriptions` if there are truly so many listeners, or look for one that makes names up"
            }
            Fault::Unread { .. } => {
                "look for a router or listener of another version at this address"
            }
        }
    }
}
