//! A duty is a chore of the fleet that has one owner at a time. Each grant of it carries a [`Token`] that only rises, and
//! whoever is affected by what an owner does holds a [`Fence`] that refuses an older one: an owner that was stopped, and
//! wakes up after another took over, does no harm.
//!
//! Duties, subscriber lists, histories and whatever else acts for the fleet share these types. No I/O, no clock.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// The longest name of a duty (bytes): it stands in datagrams of 1,200 bytes, several to each.
pub const LONGEST_NAME: usize = 64;

/// A duty's name, alike at all routers: `positions/12`, `gateway/a`.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Duty(Arc<str>);

impl Duty {
    /// The duty of this name.
    ///
    /// # Errors
    /// The name is empty, too long, or has characters that logs and keys of settings cannot hold.
    pub fn new(name: &str) -> Result<Self, BadName> {
        let fits = |b: u8| b.is_ascii_alphanumeric() || b"/-_.:".contains(&b);
        if name.is_empty() || name.len() > LONGEST_NAME || !name.bytes().all(fits) {
            return Err(BadName {
                name: name.chars().take(LONGEST_NAME).collect(),
            });
        }
        Ok(Duty(name.into()))
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.0
    }

    /// What it is for, before the first slash, and of what.
    pub fn split(&self) -> (&str, &str) {
        self.0.split_once('/').unwrap_or((&self.0, ""))
    }
}

impl TryFrom<String> for Duty {
    type Error = BadName;

    fn try_from(name: String) -> Result<Self, BadName> {
        Duty::new(&name)
    }
}

impl From<Duty> for String {
    fn from(duty: Duty) -> String {
        duty.0.to_string()
    }
}

impl fmt::Display for Duty {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

impl fmt::Debug for Duty {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        to.write_str(&self.0)
    }
}

/// A name that no duty can have.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{name:?} is no duty's name: 1 to {LONGEST_NAME} letters, digits and / - _ . : are")]
pub struct BadName {
    /// Its beginning.
    pub name: String,
}

impl BadName {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        "rename the duty, group or zone in the operators' file; the name stands in every datagram about it"
    }
}

/// Numbers the grants of one duty. It only rises, whatever fails; 0 is before the first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Token(pub u64);

impl Token {
    /// Before the first grant.
    pub const NONE: Token = Token(0);

    /// The next one. It stops at the largest number, which no fleet reaches: a grant each microsecond for 500,000 years.
    pub fn next(self) -> Token {
        Token(self.0.saturating_add(1))
    }
}

impl fmt::Display for Token {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "#{}", self.0)
    }
}

/// What a fence says of a token that it lets pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Passed {
    /// It is the one that acted last.
    Same,
    /// It is newer: from now on older ones are refused.
    Newer,
}

/// Why a fence refuses.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// Another has been granted the duty since.
    #[error("{duty}: token {told} is older than {known}")]
    Older {
        /// The duty.
        duty: Duty,
        /// The token that came.
        told: Token,
        /// The newest that was seen.
        known: Token,
    },
    /// It was never granted.
    #[error("{duty}: no grant has token {told}")]
    Never {
        /// The duty.
        duty: Duty,
        /// The token that came.
        told: Token,
    },
    /// The fence holds as many duties as it may.
    #[error("{duty}: the fence holds {most} duties and takes no other")]
    Full {
        /// The duty.
        duty: Duty,
        /// How many it holds at the most.
        most: usize,
    },
}

impl Refused {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            Refused::Older { .. } => {
                "nothing: an owner that stood still or was cut off has been replaced; look at that machine if it happens often"
            }
            Refused::Never { .. } => {
                "look for a router of another version or installation with this key; send in both routers' logs"
            }
            Refused::Full { .. } => {
                "lower the number of duties in the operators' file, or look for a router that makes names up"
            }
        }
    }
}

/// What is affected by owners: it lets the newest token of each duty pass, and refuses older ones for ever.
///
/// Against: an owner that was stopped between looking at its clock and sending, an answer of an old owner that is long
/// under way, two owners where a clock went wrong. It forgets nothing, since what it forgot could come back.
#[derive(Clone, Debug)]
pub struct Fence {
    newest: BTreeMap<Duty, Token>,
    most: usize,
}

impl Fence {
    /// A fence that has seen nothing and holds so many duties at the most.
    pub fn new(most: usize) -> Self {
        Fence {
            newest: BTreeMap::new(),
            most,
        }
    }

    /// Whether this may act now, and remembers it.
    ///
    /// # Errors
    /// It is refused; nothing was remembered.
    pub fn admit(&mut self, duty: &Duty, token: Token) -> Result<Passed, Refused> {
        if token == Token::NONE {
            return Err(Refused::Never {
                duty: duty.clone(),
                told: token,
            });
        }
        if let Some(known) = self.newest.get_mut(duty) {
            if token < *known {
                return Err(Refused::Older {
                    duty: duty.clone(),
                    told: token,
                    known: *known,
                });
            }
            let passed = if token == *known {
                Passed::Same
            } else {
                Passed::Newer
            };
            *known = token;
            return Ok(passed);
        }
        if self.newest.len() >= self.most {
            return Err(Refused::Full {
                duty: duty.clone(),
                most: self.most,
            });
        }
        self.newest.insert(duty.clone(), token);
        Ok(Passed::Newer)
    }

    /// The newest token of a duty that was let pass.
    pub fn newest(&self, duty: &Duty) -> Token {
        self.newest.get(duty).copied().unwrap_or_default()
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = (&Duty, Token)> {
        self.newest.iter().map(|(duty, token)| (duty, *token))
    }
}

#[cfg(test)]
mod tests;
