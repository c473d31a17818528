//! Faults of this crate, and advice for operators.

use plovercove_fencing::{FenceError, InvalidLeaseName};

/// Why a setting, a name or a message was not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Fault {
    /// A setting is out of range.
    #[error("{key}: expected {least} to {most}, got {value}")]
    Setting {
        /// The settings key.
        key: &'static str,
        /// The configured value.
        value: u64,
        /// The smallest allowed value.
        least: u64,
        /// The largest allowed value.
        most: u64,
    },
    /// A topic, zone or subscriber has an invalid name.
    #[error(transparent)]
    Name(#[from] InvalidLeaseName),
    /// The sender's lease has been granted to another router.
    #[error(transparent)]
    Refused(#[from] FenceError),
    /// An item is too large for a datagram.
    #[error("news of {topic} has {bytes} bytes, {most} fit a datagram")]
    Large {
        /// The topic of the item.
        topic: String,
        /// The size of the item.
        bytes: usize,
        /// The maximum size.
        most: usize,
    },
    /// The maximum number of topics or subscriptions is reached.
    #[error("{what}: there are {most} already")]
    Full {
        /// What there are too many of.
        what: &'static str,
        /// The maximum.
        most: usize,
    },
    /// A body could not be decoded, or no router of this version sends it.
    #[error("a body from {from} that cannot be read")]
    Unread {
        /// The sender.
        from: std::net::SocketAddr,
    },
}

impl Fault {
    /// Returns advice for the operator.
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
