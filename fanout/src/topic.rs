//! What subscribers ask for, and who they are.

use plovercove_fencing::{InvalidLeaseName, LeaseName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// A topic's name, alike at all routers: `positions/12`, `nodes/12`, `role/12`, `owners`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Topic(LeaseName);

impl Topic {
    /// The topic of this name.
    ///
    /// # Errors
    /// The name is empty, too long, or has characters that logs cannot hold.
    pub fn new(name: &str) -> Result<Self, InvalidLeaseName> {
        LeaseName::new(name).map(Topic)
    }

    /// Its name.
    pub fn name(&self) -> &str {
        self.0.as_str()
    }

    /// Whether the newest says all that earlier ones said: positions do, changes of state do not.
    pub fn collapses(&self) -> bool {
        self.0.split_kind().0 == "positions"
    }
}

impl fmt::Display for Topic {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(to)
    }
}

impl fmt::Debug for Topic {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(to)
    }
}

/// One life of a subscriber. A restart under the same name has a higher `boot` and takes its place.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subscriber {
    /// Its name, one for each in the fleet.
    pub name: Arc<str>,
    /// Rises with each start: Unix time at the start (us).
    pub boot: u64,
    /// Where it is told.
    pub address: SocketAddr,
    /// The zone of the gateway that tells it. A subscriber gives its own; the gateway sets what it is told by.
    pub zone: Arc<str>,
}
