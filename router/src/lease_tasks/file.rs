//! The file with a voter's persisted state: read at the start, and replaced as a whole when a vote depends on a new state.

use plovercove::{Micros, Time};
use plovercove_leases::{PersistedState, PersistedStateFault, Rules};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// Time after which a failed write is retried (us). Votes are held back until then.
const WRITE_RETRY_AFTER_US: Micros = 1_000_000;

/// A fault of the file.
#[derive(Debug, thiserror::Error)]
pub enum StateFileFault {
    /// The system refused to read it.
    #[error("{}: the decider's file cannot be read: {source}", path.display())]
    Read {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The content cannot be used.
    #[error("{}: {source}", path.display())]
    Kept {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: PersistedStateFault,
    },
    /// The system refused to write it.
    #[error("{}: the decider's file cannot be written: {source}", path.display())]
    Write {
        /// The path.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
}

impl StateFileFault {
    /// Returns advice for the operator.
    pub fn help(&self) -> &'static str {
        match self {
            StateFileFault::Read { .. } => {
                "give the router's user the right to read the file, or set `duties.file` to one that does not exist yet"
            }
            StateFileFault::Kept { source, .. } => source.help(),
            StateFileFault::Write { .. } => {
                "make room on the disk, or give the router's user the right to write the folder; until then this decider does not vote"
            }
        }
    }

    /// Returns whether the file may hold valid state, possibly of another router. Such a file is not overwritten, and this
    /// router does not vote.
    fn forbids_writing(&self) -> bool {
        !matches!(
            self,
            StateFileFault::Kept {
                source: PersistedStateFault::Torn { .. } | PersistedStateFault::Damaged,
                ..
            }
        )
    }
}

/// The file with a voter's persisted state.
pub struct StateFile {
    path: PathBuf,
    must_not_write: bool,
    unwritten: Option<Vec<u8>>,
    next_attempt: Time,
    /// Number and duration of the writes.
    pub writes: WriteCounts,
}

/// Number and duration of the writes of a file. The event loop waits for each write.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteCounts {
    /// Number of writes.
    pub count: u64,
    /// Longest duration (us).
    pub longest_us: Micros,
    /// Sum of the durations (us).
    pub total_us: Micros,
}

impl StateFile {
    /// Reads the file. If it is torn or damaged, the voter continues as if the file were lost: it learns the other voters'
    /// tokens first, and the file is overwritten. A file of another router is left as it is.
    pub fn read(
        path: &Path,
        rules: &Rules,
        name: &str,
    ) -> (Self, Result<Option<PersistedState>, StateFileFault>) {
        let path = path.to_path_buf();
        let state = match fs::read(&path) {
            Ok(bytes) => PersistedState::decode(&bytes, rules, name)
                .map(Some)
                .map_err(|source| StateFileFault::Kept {
                    path: path.clone(),
                    source,
                }),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(source) => Err(StateFileFault::Read {
                path: path.clone(),
                source,
            }),
        };
        let must_not_write = state.as_ref().is_err_and(StateFileFault::forbids_writing);
        (
            StateFile {
                path,
                must_not_write,
                unwritten: None,
                next_attempt: 0,
                writes: WriteCounts::default(),
            },
            state,
        )
    }

    /// Writes a new state, or one whose write failed before, unless the retry is not due yet. Returns true if a write
    /// succeeded, so that the latest state is on disk.
    ///
    /// The event loop waits for the write, because votes depend on it and no later message may overtake it. Writes are rare:
    /// the ceiling of tokens rises in steps, so that the file is written at the start and then once in many grants.
    /// `writes` counts the cost.
    ///
    /// # Errors
    /// The system refused the write. It is retried.
    pub fn persist(
        &mut self,
        now: Time,
        new_state: Option<Vec<u8>>,
    ) -> Result<bool, StateFileFault> {
        if new_state.is_some() {
            self.unwritten = new_state;
        }
        if self.must_not_write || now < self.next_attempt {
            return Ok(false);
        }
        let Some(bytes) = &self.unwritten else {
            return Ok(false);
        };
        let started = Instant::now();
        if let Err(source) = replace_file(&self.path, bytes) {
            self.next_attempt = now + WRITE_RETRY_AFTER_US;
            return Err(StateFileFault::Write {
                path: self.path.clone(),
                source,
            });
        }
        let duration = started.elapsed().as_micros() as Micros;
        self.writes = WriteCounts {
            count: self.writes.count + 1,
            longest_us: self.writes.longest_us.max(duration),
            total_us: self.writes.total_us + duration,
        };
        self.unwritten = None;
        Ok(true)
    }

    /// Returns the time of the next retry, or `Time::MAX` if there is nothing to write.
    pub fn next_deadline(&self) -> Time {
        if self.unwritten.is_some() && !self.must_not_write {
            self.next_attempt
        } else {
            Time::MAX
        }
    }
}

/// Replaces a file atomically: writes a new file next to it and renames it, so that a crash leaves either the old or the
/// new content. The folder is synced too; otherwise a power failure could undo the rename.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut new_path = path.as_os_str().to_owned();
    new_path.push(".new");
    let mut file = File::create(&new_path)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    drop(file);
    fs::rename(&new_path, path)?;
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
