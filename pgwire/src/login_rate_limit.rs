//! Who may try to log in again, and when.
//!
//! A failed login costs the address it came from and the user it was for. Danger: a limit by user alone would let anyone
//! lock a user out by failing in their name; so an address from which a user came in of late is not held back for what
//! others did in that user's name.

use crate::Error;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;
use std::net::IpAddr;

/// Microseconds, as everywhere in the router.
pub type Time = u64;

/// How many failures are forgiven.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Failures in a row that one address has at once ...
    pub address: u32,
    /// ... and one user, over all addresses.
    pub user: u32,
    /// Milliseconds in which one failure is forgiven.
    pub forgive_ms: u64,
    /// Addresses and users that are remembered, of each.
    pub most: usize,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            address: 10,
            user: 10,
            forgive_ms: 3_000,
            most: 10_000,
        }
    }
}

impl Rules {
    /// Checks the rules.
    ///
    /// # Errors
    /// Names the key at fault.
    pub fn check(&self) -> Result<(), Error> {
        let bad = |key, want| Err(Error::Limit { key, want });
        match self {
            r if r.address == 0 => bad("address", "1 or more"),
            r if r.user == 0 => bad("user", "1 or more"),
            r if !(1..=3_600_000).contains(&r.forgive_ms) => bad("forgive_ms", "1 to 3600000"),
            r if !(16..=1_000_000).contains(&r.most) => bad("most", "16 to 1000000"),
            _ => Ok(()),
        }
    }
}

/// When the debts of each key are forgiven to the last. A debt of n failures is one that ends n spans from now.
struct Debts<K> {
    until: HashMap<K, Time>,
    most: usize,
}

impl<K: Hash + Eq + Clone> Debts<K> {
    fn new(most: usize) -> Self {
        Debts {
            until: HashMap::new(),
            most,
        }
    }

    /// How long until fewer than `most` failures stand against it.
    fn wait(&self, now: Time, key: &K, most: u32, each: Time) -> Time {
        let until = self.until.get(key).copied().unwrap_or(0);
        // One more must fit under the limit.
        until
            .saturating_sub(now)
            .saturating_sub(each * u64::from(most - 1))
    }

    fn add(&mut self, now: Time, key: K, most: u32, each: Time) {
        if self.until.len() >= self.most && !self.until.contains_key(&key) {
            self.until.retain(|_, until| *until > now);
        }
        if self.until.len() >= self.most && !self.until.contains_key(&key) {
            // The one that owes least gives way.
            let least = self
                .until
                .iter()
                .min_by_key(|(_, until)| **until)
                .map(|(key, _)| key.clone());
            least.map(|key| self.until.remove(&key));
        }
        let until = self.until.entry(key).or_insert(now);
        *until = ((*until).max(now) + each).min(now + each * u64::from(most));
    }
}

/// The limit on logins.
pub struct LoginRateLimit {
    rules: Rules,
    addresses: Debts<IpAddr>,
    users: Debts<String>,
    /// Who came in from where, and until when that counts.
    known: HashMap<(IpAddr, String), Time>,
}

/// For so long a login that succeeded speaks for its address.
const SPEAKS_FOR: Time = 24 * 3_600 * 1_000_000;

impl LoginRateLimit {
    /// One that has seen nothing.
    pub fn new(rules: Rules) -> Self {
        let most = rules.most;
        LoginRateLimit {
            rules,
            addresses: Debts::new(most),
            users: Debts::new(most),
            known: HashMap::new(),
        }
    }

    fn each(&self) -> Time {
        self.rules.forgive_ms * 1_000
    }

    fn speaks(&self, now: Time, address: IpAddr, user: &str) -> bool {
        self.known
            .get(&(address, user.to_string()))
            .is_some_and(|until| now < *until)
    }

    /// Whether a login may be tried now.
    ///
    /// # Errors
    /// How long it must wait.
    pub fn check(&self, now: Time, address: IpAddr, user: &str) -> Result<(), Time> {
        let each = self.each();
        let from = self.addresses.wait(now, &address, self.rules.address, each);
        let whose = match self.speaks(now, address, user) {
            true => 0,
            false => self
                .users
                .wait(now, &user.to_string(), self.rules.user, each),
        };
        if from.max(whose) == 0 {
            Ok(())
        } else {
            Err(from.max(whose))
        }
    }

    /// A login failed.
    pub fn record_failure(&mut self, now: Time, address: IpAddr, user: &str) {
        let each = self.each();
        self.addresses.add(now, address, self.rules.address, each);
        if !self.speaks(now, address, user) {
            self.users.add(now, user.to_string(), self.rules.user, each);
        }
    }

    /// A login succeeded.
    pub fn record_success(&mut self, now: Time, address: IpAddr, user: &str) {
        if self.known.len() >= self.rules.most {
            self.known.retain(|_, until| *until > now);
        }
        if self.known.len() < self.rules.most {
            self.known
                .insert((address, user.to_string()), now + SPEAKS_FOR);
        }
    }

    /// How many entries are held, of addresses, users and pairs.
    pub fn entry_counts(&self) -> [usize; 3] {
        [
            self.addresses.until.len(),
            self.users.until.len(),
            self.known.len(),
        ]
    }
}

#[cfg(test)]
mod tests;
