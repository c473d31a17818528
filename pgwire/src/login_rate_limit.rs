//! Rate limit on failed logins, by address and by user.
//!
//! A failed login counts against the address that it came from and against the user. A limit by user alone would let
//! anyone lock a user out by failing in their name. Therefore an address from which a user has logged in lately is exempt
//! from the limit of that user.

use crate::Error;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::hash::Hash;
use std::net::IpAddr;

/// A time or a duration in microseconds, on the same clock as the router's.
pub type Time = u64;

/// How many failures are allowed, and how fast they are forgiven.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Number of failures that one address may have in a burst.
    pub address: u32,
    /// Number of failures that one user may have in a burst, over all addresses.
    pub user: u32,
    /// Milliseconds after which one failure is forgiven.
    pub forgive_ms: u64,
    /// Highest number of addresses that are remembered, and likewise of users.
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
    /// Returns an error that names the key of the first setting that is out of bounds.
    pub fn check(&self) -> Result<(), Error> {
        let out_of_bounds = |key, want| Err(Error::Limit { key, want });
        match self {
            r if r.address == 0 => out_of_bounds("address", "1 or more"),
            r if r.user == 0 => out_of_bounds("user", "1 or more"),
            r if !(1..=3_600_000).contains(&r.forgive_ms) => {
                out_of_bounds("forgive_ms", "1 to 3600000")
            }
            r if !(16..=1_000_000).contains(&r.most) => out_of_bounds("most", "16 to 1000000"),
            _ => Ok(()),
        }
    }
}

/// Unforgiven failures by key. For each key only the time is stored at which its last failure is forgiven: n failures are
/// unforgiven if this time is n forgive intervals away.
struct Penalties<K> {
    forgiven_at: HashMap<K, Time>,
    max_keys: usize,
}

impl<K: Hash + Eq + Clone> Penalties<K> {
    fn new(max_keys: usize) -> Self {
        Penalties {
            forgiven_at: HashMap::new(),
            max_keys,
        }
    }

    /// Returns the time until `key` has fewer than `max_failures` unforgiven failures.
    fn wait(&self, now: Time, key: &K, max_failures: u32, forgive_interval: Time) -> Time {
        let forgiven_at = self.forgiven_at.get(key).copied().unwrap_or(0);
        // One more failure must fit within the limit.
        forgiven_at
            .saturating_sub(now)
            .saturating_sub(forgive_interval * u64::from(max_failures - 1))
    }

    fn add(&mut self, now: Time, key: K, max_failures: u32, forgive_interval: Time) {
        if self.forgiven_at.len() >= self.max_keys && !self.forgiven_at.contains_key(&key) {
            self.forgiven_at.retain(|_, forgiven_at| *forgiven_at > now);
        }
        if self.forgiven_at.len() >= self.max_keys && !self.forgiven_at.contains_key(&key) {
            // The key that is forgiven first makes room.
            let first_to_expire = self
                .forgiven_at
                .iter()
                .min_by_key(|(_, forgiven_at)| **forgiven_at)
                .map(|(key, _)| key.clone());
            first_to_expire.map(|key| self.forgiven_at.remove(&key));
        }
        let forgiven_at = self.forgiven_at.entry(key).or_insert(now);
        *forgiven_at = ((*forgiven_at).max(now) + forgive_interval)
            .min(now + forgive_interval * u64::from(max_failures));
    }
}

/// The rate limit on failed logins of one listener.
pub struct LoginRateLimit {
    rules: Rules,
    addresses: Penalties<IpAddr>,
    users: Penalties<String>,
    /// Addresses and users of successful logins, and until when they count.
    trusted: HashMap<(IpAddr, String), Time>,
}

/// Time during which a successful login exempts its address from the limit of that user.
const TRUST_DURATION: Time = 24 * 3_600 * 1_000_000;

impl LoginRateLimit {
    /// Returns a rate limit without any recorded logins.
    pub fn new(rules: Rules) -> Self {
        let max_keys = rules.most;
        LoginRateLimit {
            rules,
            addresses: Penalties::new(max_keys),
            users: Penalties::new(max_keys),
            trusted: HashMap::new(),
        }
    }

    fn forgive_interval(&self) -> Time {
        self.rules.forgive_ms * 1_000
    }

    fn is_trusted(&self, now: Time, address: IpAddr, user: &str) -> bool {
        self.trusted
            .get(&(address, user.to_string()))
            .is_some_and(|until| now < *until)
    }

    /// Checks whether a login may be attempted now.
    ///
    /// # Errors
    /// Returns how long the client has to wait.
    pub fn check(&self, now: Time, address: IpAddr, user: &str) -> Result<(), Time> {
        let forgive_interval = self.forgive_interval();
        let address_wait = self
            .addresses
            .wait(now, &address, self.rules.address, forgive_interval);
        let user_wait = match self.is_trusted(now, address, user) {
            true => 0,
            false => self
                .users
                .wait(now, &user.to_string(), self.rules.user, forgive_interval),
        };
        if address_wait.max(user_wait) == 0 {
            Ok(())
        } else {
            Err(address_wait.max(user_wait))
        }
    }

    /// Records a failed login.
    pub fn record_failure(&mut self, now: Time, address: IpAddr, user: &str) {
        let forgive_interval = self.forgive_interval();
        self.addresses
            .add(now, address, self.rules.address, forgive_interval);
        if !self.is_trusted(now, address, user) {
            self.users
                .add(now, user.to_string(), self.rules.user, forgive_interval);
        }
    }

    /// Records a successful login.
    pub fn record_success(&mut self, now: Time, address: IpAddr, user: &str) {
        if self.trusted.len() >= self.rules.most {
            self.trusted.retain(|_, until| *until > now);
        }
        if self.trusted.len() < self.rules.most {
            self.trusted
                .insert((address, user.to_string()), now + TRUST_DURATION);
        }
    }

    /// Returns the number of remembered addresses, users, and pairs of both.
    pub fn entry_counts(&self) -> [usize; 3] {
        [
            self.addresses.forgiven_at.len(),
            self.users.forgiven_at.len(),
            self.trusted.len(),
        ]
    }
}

#[cfg(test)]
mod tests;
