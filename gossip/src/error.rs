//! What is wrong with what operators say of peers.

/// The least bytes of a key: one of fewer could be guessed.
pub(crate) const LEAST_KEY: usize = 16;
/// Routers that are called at the start; the rest become known by them.
pub(crate) const MOST_SEEDS: usize = 64;

/// What is wrong with the rules or keys of peers. Rules name their key.
#[derive(Clone, Debug, PartialEq, thiserror::Error, strum::IntoStaticStr, strum::VariantNames)]
pub enum Error {
    /// A key that could be guessed.
    #[error("expected a key of {LEAST_KEY} bytes or more")]
    ShortKey,
    /// A whole number out of its bounds.
    #[error("{key}: expected {least} to {most}, got {got}")]
    Range {
        /// Its key.
        key: &'static str,
        /// The least.
        least: u64,
        /// The most.
        most: u64,
        /// What stands there.
        got: u64,
    },
    /// The life of evidence is out of its bounds (s).
    #[error("evidence_s: expected 1 to 600, got {0}")]
    Evidence(f64),
    /// An installation without a name, or with one too long for a file of keys.
    #[error("installation: expected a name of 1 to 64 bytes")]
    Name,
    /// Too many routers to call at the start.
    #[error("seeds: expected {MOST_SEEDS} at the most")]
    Seeds,
}

impl Error {
    /// What an operator can do.
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
