//! Topics and the identity of their subscribers.

use plovercove_fencing::{InvalidLeaseName, LeaseName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

/// Name of a topic, the same on all routers: `positions/12`, `nodes/12`, `role/12`, `owners`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Topic(LeaseName);

impl Topic {
    /// Creates the topic of this name.
    ///
    /// # Errors
    /// The name is empty, is too long, or has characters that are not allowed in logs.
    pub fn new(name: &str) -> Result<Self, InvalidLeaseName> {
        LeaseName::new(name).map(Topic)
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        self.0.as_str()
    }

    /// Returns whether the newest item replaces all earlier ones. It does for positions, and does not for changes of
    /// state.
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

/// One incarnation of a subscriber. After a restart under the same name, the incarnation has a higher `boot` and
/// replaces the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Subscriber {
    /// Name of the subscriber, unique among all routers.
    pub name: Arc<str>,
    /// Unix time at the start of the process (us); it rises with each restart.
    pub boot: u64,
    /// Address to which items are delivered.
    pub address: SocketAddr,
    /// Zone of the gateway that delivers the items. A subscriber sets its own zone; a gateway replaces it by the zone
    /// that it serves.
    pub zone: Arc<str>,
}
