//! Incarnation of a router: its identity from the start of its process to its end.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// Maximum length of a router's name.
const MAX_NAME_BYTES: usize = 48;
/// Maximum length of the name of a router's zone.
const MAX_ZONE_BYTES: usize = 32;

/// Identity of a router among the members. A restart begins a new incarnation, and the records of the old one become void.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Address at which the other members reach the router. Each router has its own address.
    pub address: SocketAddr,
    /// Unix time at the start of the process (us), which rises with each start.
    pub boot: u64,
    /// Number of times that the members considered this incarnation down although it was not, and it rejoined.
    pub renewals: u32,
    /// Name of the router.
    pub name: String,
    /// Zone of the router.
    pub zone: String,
}

impl Incarnation {
    /// Returns the identity of an unknown router at an address, as of a seed that has not answered yet.
    pub fn unknown(address: SocketAddr) -> Self {
        Incarnation {
            address,
            boot: 0,
            renewals: 0,
            name: String::new(),
            zone: String::new(),
        }
    }

    /// Returns whether the names are short enough to be part of every datagram.
    pub fn has_valid_names(&self) -> bool {
        self.name.len() <= MAX_NAME_BYTES && self.zone.len() <= MAX_ZONE_BYTES
    }
}

impl fmt::Debug for Incarnation {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            to,
            "{}@{}#{}.{}",
            self.name, self.address, self.boot, self.renewals
        )
    }
}

impl Identity for Incarnation {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Incarnation {
            renewals: self.renewals + 1,
            ..self.clone()
        })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        // If two started in the same microsecond, the name decides, so that all members decide alike.
        (self.boot, self.renewals, &self.name) > (other.boot, other.renewals, &other.name)
    }
}
