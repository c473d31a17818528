//! What a decider keeps on disk: little, written rarely, and recognised when it is torn.

use crate::rules::Rules;
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};

/// The form of the file.
const VERSION: u8 = 1;
/// What stands first in the file.
const MAGIC: &[u8; 8] = b"plovduty";
/// Bytes of the checksum at the end.
const SUM: usize = 32;
/// No file is longer (bytes).
const MOST: usize = 1_024;

/// What a decider keeps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Whose fleet it decides for.
    pub installation: String,
    /// Its name among peers.
    pub name: String,
    /// The set of deciders that it votes in, or voted in at last.
    pub generation: u32,
    /// It has never voted for a token over this.
    pub ceiling: Token,
    /// It has never granted a longer lease (ms).
    pub longest_ms: u64,
    /// It votes for no generation under this.
    pub sealed: u32,
}

/// Why a file is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeptFault {
    /// It is no file of a decider, or is cut short.
    #[error("the decider's file is torn or is none: {bytes} bytes")]
    Torn {
        /// How long it is.
        bytes: usize,
    },
    /// Its checksum does not fit.
    #[error("the decider's file is damaged: its checksum does not fit")]
    Damaged,
    /// It was written by another version.
    #[error("the decider's file has version {got}, expected {VERSION}")]
    Version {
        /// The file's version.
        got: u8,
    },
    /// It belongs to another installation.
    #[error("the decider's file belongs to installation {got:?}")]
    Installation {
        /// The file's installation.
        got: String,
    },
    /// It belongs to another router.
    #[error("the decider's file belongs to router {got:?}")]
    Name {
        /// The file's router.
        got: String,
    },
    /// It is of a newer set of deciders than the settings.
    #[error("the decider's file has generation {got}, and the settings have {expected}")]
    Newer {
        /// The file's generation.
        got: u32,
        /// That of the settings.
        expected: u32,
    },
}

impl KeptFault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            KeptFault::Torn { .. } | KeptFault::Damaged => {
                "move the file away and start again with a majority of the other deciders running: it reads their tokens and then votes"
            }
            KeptFault::Version { .. } => {
                "start the version that wrote it, or move the file away as if it were lost"
            }
            KeptFault::Installation { .. } | KeptFault::Name { .. } => {
                "set this router's own file; if there is none, set a path that does not exist yet"
            }
            KeptFault::Newer { .. } => "give this router the settings that the other deciders have",
        }
    }
}

impl Kept {
    /// The file's bytes.
    pub fn write(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        out.push(VERSION);
        // Strings and numbers can always be written to memory.
        let mut out = postcard::to_extend(self, out).unwrap_or_default();
        let sum = blake3::hash(&out);
        out.extend_from_slice(sum.as_bytes());
        out
    }

    /// What a file holds, for this router under these settings.
    ///
    /// # Errors
    /// Why it is not taken. The router then starts only when the operator has moved the file away: without one, it does not
    /// vote before it has read the tokens of the others.
    pub fn read(bytes: &[u8], rules: &Rules, name: &str) -> Result<Kept, KeptFault> {
        if bytes.len() < MAGIC.len() + 1 + SUM || bytes.len() > MOST || !bytes.starts_with(MAGIC) {
            return Err(KeptFault::Torn { bytes: bytes.len() });
        }
        let (body, sum) = bytes.split_at(bytes.len() - SUM);
        if blake3::hash(body).as_bytes() != sum {
            return Err(KeptFault::Damaged);
        }
        let (version, body) = (body[MAGIC.len()], &body[MAGIC.len() + 1..]);
        if version != VERSION {
            return Err(KeptFault::Version { got: version });
        }
        let (kept, rest) =
            postcard::take_from_bytes::<Kept>(body).map_err(|_| KeptFault::Damaged)?;
        if !rest.is_empty() {
            return Err(KeptFault::Damaged);
        }
        if kept.installation != rules.installation {
            return Err(KeptFault::Installation {
                got: kept.installation,
            });
        }
        if kept.name != name {
            return Err(KeptFault::Name { got: kept.name });
        }
        if kept.generation > rules.deciders.generation {
            return Err(KeptFault::Newer {
                got: kept.generation,
                expected: rules.deciders.generation,
            });
        }
        Ok(kept)
    }
}
