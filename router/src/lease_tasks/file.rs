//! The decider's file: read at the start, and written over whole when its votes need it.

use plovercove::{Micros, Time};
use plovercove_leases::{PersistedState, PersistedStateFault, Rules};
use std::fs::{self, File as Open};
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::time::Instant;

/// What could not be written is tried again after this (us): votes wait for it.
const AGAIN: Micros = 1_000_000;

/// Why the file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum FileFault {
    /// The system does not let it be read.
    #[error("{}: the decider's file cannot be read: {source}", path.display())]
    Read {
        /// Where it lies.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// What it holds cannot be taken.
    #[error("{}: {source}", path.display())]
    Kept {
        /// Where it lies.
        path: PathBuf,
        /// Why.
        source: PersistedStateFault,
    },
    /// The system does not let it be written.
    #[error("{}: the decider's file cannot be written: {source}", path.display())]
    Write {
        /// Where it lies.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

impl FileFault {
    /// What an operator can do.
    pub fn help(&self) -> &'static str {
        match self {
            FileFault::Read { .. } => {
                "give the router's user the right to read the file, or set `duties.file` to one that does not exist yet"
            }
            FileFault::Kept { source, .. } => source.help(),
            FileFault::Write { .. } => {
                "make room on the disk, or give the router's user the right to write the folder; until then this decider does not vote"
            }
        }
    }

    /// Whether the file is another's, or may be good: then nothing is written over it, and this decider does not vote.
    fn bars(&self) -> bool {
        !matches!(
            self,
            FileFault::Kept {
                source: PersistedStateFault::Torn { .. } | PersistedStateFault::Damaged,
                ..
            }
        )
    }
}

/// A decider's file.
pub struct File {
    path: PathBuf,
    barred: bool,
    unwritten: Option<Vec<u8>>,
    again: Time,
    /// How often it was written, and what that took the loop at the longest and in sum (us).
    pub written: (u64, Micros, Micros),
}

impl File {
    /// Reads the file. Where it is torn the decider goes on as if it were lost: it reads the others' tokens first, and the
    /// file is written over. Where it is another's, it is left as it is.
    pub fn read(
        path: &Path,
        rules: &Rules,
        name: &str,
    ) -> (Self, Result<Option<PersistedState>, FileFault>) {
        let path = path.to_path_buf();
        let kept = match fs::read(&path) {
            Ok(bytes) => PersistedState::decode(&bytes, rules, name)
                .map(Some)
                .map_err(|source| FileFault::Kept {
                    path: path.clone(),
                    source,
                }),
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(None),
            Err(source) => Err(FileFault::Read {
                path: path.clone(),
                source,
            }),
        };
        let barred = kept.as_ref().is_err_and(FileFault::bars);
        (
            File {
                path,
                barred,
                unwritten: None,
                again: 0,
                written: (0, 0, 0),
            },
            kept,
        )
    }

    /// Takes what is to be written, and writes it where that may be tried now. True when what was given last is on disk.
    ///
    /// It is written on the loop, since votes wait for it and nothing may overtake it. It is rare: the ceiling of tokens
    /// rises in steps, so that it is written at the start and then once in many grants. `written` says what it costs.
    ///
    /// # Errors
    /// The system refused; it is tried again.
    pub fn keep(&mut self, now: Time, fresh: Option<Vec<u8>>) -> Result<bool, FileFault> {
        if fresh.is_some() {
            self.unwritten = fresh;
        }
        if self.barred || now < self.again {
            return Ok(false);
        }
        let Some(bytes) = &self.unwritten else {
            return Ok(false);
        };
        let begun = Instant::now();
        if let Err(source) = write_over(&self.path, bytes) {
            self.again = now + AGAIN;
            return Err(FileFault::Write {
                path: self.path.clone(),
                source,
            });
        }
        let took = begun.elapsed().as_micros() as Micros;
        self.written = (
            self.written.0 + 1,
            self.written.1.max(took),
            self.written.2 + took,
        );
        self.unwritten = None;
        Ok(true)
    }

    /// When it is to be tried again.
    pub fn next(&self) -> Time {
        if self.unwritten.is_some() && !self.barred {
            self.again
        } else {
            Time::MAX
        }
    }
}

/// Writes beside the file, then over it: whoever stops in between leaves the old one or the new one, whole. The folder is
/// synced too, or the new name may be lost with the power.
fn write_over(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let mut beside = path.as_os_str().to_owned();
    beside.push(".new");
    let mut file = Open::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    drop(file);
    fs::rename(&beside, path)?;
    let folder = path
        .parent()
        .filter(|p| !p.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    Open::open(folder)?.sync_all()
}

#[cfg(test)]
mod tests;
