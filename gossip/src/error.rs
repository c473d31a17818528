//! Faults in the settings and keys of gossip.

/// Minimum length of a key (bytes). A shorter one could be guessed.
pub(crate) const MIN_KEY_BYTES: usize = 16;
/// Maximum number of seeds. The other members become known through them.
pub(crate) const MAX_SEEDS: usize = 64;

/// Fault in the settings or keys of gossip.
#[derive(Clone, Debug, PartialEq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Error {
    /// A key is too short.
    #[error("expected a key of {MIN_KEY_BYTES} bytes or more")]
    ShortKey,
    /// An integer is out of its bounds.
    #[error("{key}: expected {least} to {most}, got {got}")]
    Range {
        /// Key of the setting.
        key: &'static str,
        /// Least allowed value.
        least: u64,
        /// Greatest allowed value.
        most: u64,
        /// Value that is set.
        got: u64,
    },
    /// The lifetime of observations is out of its bounds (s).
    #[error("evidence_s: expected 1 to 600, got {0}")]
    Evidence(f64),
    /// The installation has no name, or one that is too long for a key file.
    #[error("installation: expected a name of 1 to 64 bytes")]
    Name,
    /// There are too many seeds.
    #[error("seeds: expected {MAX_SEEDS} at the most")]
    Seeds,
}

impl Error {
    /// Returns what an operator can do about the fault.
    pub fn help(&self) -> &'static str {
        match self {
            Error::ShortKey => {
                "make a key of 32 random bytes, and give the same file to all routers of the installation"
            }
            Error::Range { .. } => {
                "set this key within its bounds, or leave it out for the default; some bounds follow other keys, as answer_ms does probe_ms"
            }
            Error::Evidence(_) => {
                "set evidence_s to the seconds for which a router believes what others saw, 1 to 600"
            }
            Error::Name => {
                "set peers.rules.installation to a short name, the same at all routers that are to know each other"
            }
            Error::Seeds => {
                "name a few routers of each zone as seeds; the others become known through them"
            }
        }
    }
}
