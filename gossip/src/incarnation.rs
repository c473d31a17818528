//! One life of a router: from the start of its process to its end.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// A router's identity among its peers. A restart is a new life; what the old one said ends with it.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Where the others reach it. There is one router at an address.
    pub address: SocketAddr,
    /// Rises with each start: Unix time at the start (us).
    pub boot: u64,
    /// Rises where peers took this life for ended and it was not.
    pub renewals: u32,
    /// Its name.
    pub name: String,
    /// The zone it stands in.
    pub zone: String,
}

impl Incarnation {
    /// Whoever is at an address: all that is known of a seed.
    pub fn unknown(address: SocketAddr) -> Self {
        Incarnation {
            address,
            boot: 0,
            renewals: 0,
            name: String::new(),
            zone: String::new(),
        }
    }

    /// Whether names are short enough to be told in every datagram.
    pub fn fits(&self) -> bool {
        self.name.len() <= 48 && self.zone.len() <= 32
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
        // The names decide where two began in the same microsecond, so that all decide alike.
        (self.boot, self.renewals, &self.name) > (other.boot, other.renewals, &other.name)
    }
}
