//! The state that a voter persists. The file is small, rarely written, and carries a checksum that detects torn writes.

use crate::rules::Rules;
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};

/// Version of the file's format.
const VERSION: u8 = 1;
/// First bytes of the file.
const MAGIC: &[u8; 8] = b"plovduty";
/// Length of the checksum at the end of the file, in bytes.
const CHECKSUM_BYTES: usize = 32;
/// Maximum length of the file, in bytes.
const MAX_FILE_BYTES: usize = 1_024;

/// State that a voter persists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PersistedState {
    /// Name of the installation that the voter belongs to.
    pub installation: String,
    /// The voter's name among the members.
    pub name: String,
    /// Generation of the set of voters in which the voter votes, or voted last.
    pub generation: u32,
    /// The voter has never voted for a token above this one.
    pub token_ceiling: Token,
    /// The voter has never granted a longer lease (ms).
    pub max_lease_ms: u64,
    /// The voter has promised not to vote in a generation below this one.
    pub sealed_below: u32,
}

/// Why a voter's file is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PersistedStateFault {
    /// The file is truncated, or is not the file of a voter.
    #[error("the decider's file is torn or is none: {bytes} bytes")]
    Torn {
        /// Length of the file.
        bytes: usize,
    },
    /// The checksum does not match, or the content cannot be decoded.
    #[error("the decider's file is damaged: its checksum does not fit")]
    Damaged,
    /// The file has another version of the format.
    #[error("the decider's file has version {got}, expected {VERSION}")]
    Version {
        /// The file's version.
        got: u8,
    },
    /// The file belongs to another installation.
    #[error("the decider's file belongs to installation {got:?}")]
    Installation {
        /// The file's installation.
        got: String,
    },
    /// The file belongs to another router.
    #[error("the decider's file belongs to router {got:?}")]
    Name {
        /// The file's router.
        got: String,
    },
    /// The file is of a later generation of voters than the settings.
    #[error("the decider's file has generation {got}, and the settings have {expected}")]
    Newer {
        /// The file's generation.
        got: u32,
        /// The generation of the settings.
        expected: u32,
    },
}

impl PersistedStateFault {
    /// Returns what an operator can do about the fault.
    pub fn help(&self) -> &'static str {
        match self {
            PersistedStateFault::Torn { .. } | PersistedStateFault::Damaged => {
                "move the file away and start again with a majority of the other deciders running: it reads their tokens and then votes"
            }
            PersistedStateFault::Version { .. } => {
                "start the version that wrote it, or move the file away as if it were lost"
            }
            PersistedStateFault::Installation { .. } | PersistedStateFault::Name { .. } => {
                "set this router's own file; if there is none, set a path that does not exist yet"
            }
            PersistedStateFault::Newer { .. } => {
                "give this router the settings that the other deciders have"
            }
        }
    }
}

impl PersistedState {
    /// Encodes the state as the content of the file.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = MAGIC.to_vec();
        out.push(VERSION);
        // Encoding strings and numbers into memory cannot fail.
        let mut out = postcard::to_extend(self, out).unwrap_or_default();
        let checksum = blake3::hash(&out);
        out.extend_from_slice(checksum.as_bytes());
        out
    }

    /// Decodes a file's content for the router of this name under these settings.
    ///
    /// # Errors
    /// The file is rejected. If it is torn or damaged, the caller goes on as if the file were lost: the voter reads the
    /// tokens of the other voters before it votes. After any other fault the file may hold valid state. It must then not be
    /// overwritten, and the router does not vote until the operator has moved the file away.
    pub fn decode(
        bytes: &[u8],
        rules: &Rules,
        name: &str,
    ) -> Result<PersistedState, PersistedStateFault> {
        if bytes.len() < MAGIC.len() + 1 + CHECKSUM_BYTES
            || bytes.len() > MAX_FILE_BYTES
            || !bytes.starts_with(MAGIC)
        {
            return Err(PersistedStateFault::Torn { bytes: bytes.len() });
        }
        let (body, checksum) = bytes.split_at(bytes.len() - CHECKSUM_BYTES);
        if blake3::hash(body).as_bytes() != checksum {
            return Err(PersistedStateFault::Damaged);
        }
        let (version, body) = (body[MAGIC.len()], &body[MAGIC.len() + 1..]);
        if version != VERSION {
            return Err(PersistedStateFault::Version { got: version });
        }
        let (state, rest) = postcard::take_from_bytes::<PersistedState>(body)
            .map_err(|_| PersistedStateFault::Damaged)?;
        if !rest.is_empty() {
            return Err(PersistedStateFault::Damaged);
        }
        if state.installation != rules.installation {
            return Err(PersistedStateFault::Installation {
                got: state.installation,
            });
        }
        if state.name != name {
            return Err(PersistedStateFault::Name { got: state.name });
        }
        if state.generation > rules.voters.generation {
            return Err(PersistedStateFault::Newer {
                got: state.generation,
                expected: rules.voters.generation,
            });
        }
        Ok(state)
    }
}
