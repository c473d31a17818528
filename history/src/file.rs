//! Files of a history. Each line is written in one call, so that a writer that is killed leaves at most its last line
//! torn. A reader tolerates a torn last line.

use crate::{Error, Event, FileHeader, Line, ProcessKind, Time};
use std::collections::BTreeSet;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::sync::{Mutex, PoisonError};

/// Version of the file format. It is raised when an older reader would misread the files.
const FORMAT_VERSION: u32 = 1;
/// Maximum length of a line (bytes). A list of 10,000 subscriptions takes about 1 MB.
const MAX_LINE_BYTES: usize = 16 << 20;
/// File name extension of a history file.
const FILE_EXTENSION: &str = "jsonl";

/// Returns the time of the machine's monotonic clock, which all its processes share.
pub fn now() -> Time {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Monotonic);
    time.tv_sec as Time * 1_000_000 + time.tv_nsec as Time / 1_000
}

/// Writes the file of one process. Several threads may use it.
pub struct Writer {
    path: PathBuf,
    file: Mutex<fs::File>,
    first_error: Mutex<Option<Error>>,
}

impl Writer {
    /// Creates the file of a process in this folder.
    ///
    /// # Errors
    /// The file cannot be created, or the process has one already.
    pub fn create(folder: &Path, process: &str, kind: ProcessKind) -> Result<Self, Error> {
        let path = folder.join(format!("{process}.{FILE_EXTENSION}"));
        let file = fs::OpenOptions::new()
            .write(true)
            .create_new(true)
            .open(&path);
        let file = file.map_err(|source| Error::File {
            path: path.clone(),
            source,
        })?;
        let writer = Writer {
            path,
            file: Mutex::new(file),
            first_error: Mutex::default(),
        };
        writer.write_json(&FileHeader {
            format_version: FORMAT_VERSION,
            process: process.into(),
            kind,
        })?;
        Ok(writer)
    }

    /// Records an event of this moment.
    ///
    /// # Errors
    /// The line cannot be written.
    pub fn write(&self, event: Event) -> Result<(), Error> {
        self.write_line(&Line {
            time: now(),
            claim: false,
            event,
        })
    }

    /// Records an event of this time.
    ///
    /// # Errors
    /// The line cannot be written.
    pub fn write_at(&self, time: Time, event: Event) -> Result<(), Error> {
        self.write_line(&Line {
            time,
            claim: false,
            event,
        })
    }

    /// Records a statement of the router under test.
    ///
    /// # Errors
    /// The line cannot be written.
    pub fn write_claim(&self, time: Time, event: Event) -> Result<(), Error> {
        self.write_line(&Line {
            time,
            claim: true,
            event,
        })
    }

    /// Records an event of this moment, for callers that cannot handle an error: the first error is stored for
    /// [`Writer::take_error`].
    pub fn record(&self, event: Event) {
        self.store_error(self.write(event));
    }

    /// Records a statement of the router under test, with errors as in [`Writer::record`].
    pub fn record_claim(&self, time: Time, event: Event) {
        self.store_error(self.write_claim(time, event));
    }

    fn store_error(&self, result: Result<(), Error>) {
        if let Err(error) = result {
            self.first_error
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .get_or_insert(error);
        }
    }

    /// Returns and clears the first error of [`Writer::record`] and [`Writer::record_claim`]; `None` if all events are
    /// in the file.
    pub fn take_error(&self) -> Option<Error> {
        self.first_error
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take()
    }

    /// Records a line.
    ///
    /// # Errors
    /// The line cannot be written.
    pub fn write_line(&self, line: &Line) -> Result<(), Error> {
        self.write_json(line)
    }

    fn write_json(&self, value: &impl serde::Serialize) -> Result<(), Error> {
        let failed = |source: std::io::Error| Error::File {
            path: self.path.clone(),
            source,
        };
        let mut bytes = serde_json::to_vec(value).map_err(|e| failed(e.into()))?;
        bytes.push(b'\n');
        // Without a buffer, recorded lines are not lost when this process is killed.
        self.file
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .write_all(&bytes)
            .map_err(failed)
    }
}

/// The file of one process.
#[derive(Clone, Debug)]
pub struct File {
    /// Path of the file.
    pub path: PathBuf,
    /// Its first line.
    pub header: FileHeader,
    /// The lines after the header. The first of them is line 2 of the file.
    pub lines: Vec<Line>,
    /// Whether the last line was torn; it is not in `lines`.
    pub torn: bool,
}

impl File {
    /// Reads a file. Returns `None` if it has no complete line, because its writer was killed before.
    ///
    /// # Errors
    /// The file cannot be read, or a line before the last is invalid.
    pub fn read(path: &Path) -> Result<Option<Self>, Error> {
        let failed = |source| Error::File {
            path: path.into(),
            source,
        };
        let mut reader = BufReader::new(fs::File::open(path).map_err(failed)?);
        let (mut header, mut lines, mut torn) = (None, Vec::new(), false);
        for line in 1.. {
            let mut bytes = Vec::new();
            let max_bytes = MAX_LINE_BYTES as u64 + 1;
            reader
                .by_ref()
                .take(max_bytes)
                .read_until(b'\n', &mut bytes)
                .map_err(failed)?;
            if bytes.is_empty() {
                break;
            }
            let is_complete = bytes.last() == Some(&b'\n');
            if !is_complete && bytes.len() > MAX_LINE_BYTES {
                return Err(Error::Long {
                    path: path.into(),
                    line,
                    most: MAX_LINE_BYTES,
                });
            }
            if !is_complete {
                // A line is written together with its line feed: without one it was cut off, even if it could be
                // parsed.
                torn = true;
                break;
            }
            let invalid = |source| Error::Line {
                path: path.into(),
                line,
                source,
            };
            match &header {
                None => {
                    let parsed: FileHeader = serde_json::from_slice(&bytes).map_err(invalid)?;
                    if parsed.format_version != FORMAT_VERSION {
                        return Err(Error::Form {
                            path: path.into(),
                            told: parsed.format_version,
                            known: FORMAT_VERSION,
                        });
                    }
                    header = Some(parsed);
                }
                Some(_) => lines.push(serde_json::from_slice(&bytes).map_err(invalid)?),
            }
        }
        Ok(header.map(|header| File {
            path: path.into(),
            header,
            lines,
            torn,
        }))
    }
}

/// All files of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// The files, in the order in which they were read; [`History::read`] sorts them by path.
    pub files: Vec<File>,
    /// Paths of files without a complete first line.
    pub empty_files: Vec<PathBuf>,
}

/// A line with its location.
#[derive(Clone, Copy, Debug)]
pub struct LineRef<'a> {
    /// The file.
    pub file: &'a File,
    /// Number of the line in the file, from 1.
    pub line_number: usize,
    /// The line.
    pub line: &'a Line,
}

impl History {
    /// Reads all files of a folder.
    ///
    /// # Errors
    /// The folder cannot be read or has no history file, or a file is invalid.
    pub fn read(folder: &Path) -> Result<Self, Error> {
        let failed = |source| Error::File {
            path: folder.into(),
            source,
        };
        let mut paths = Vec::new();
        for entry in fs::read_dir(folder).map_err(failed)? {
            let path = entry.map_err(failed)?.path();
            if path.extension().is_some_and(|e| e == FILE_EXTENSION) {
                paths.push(path);
            }
        }
        if paths.is_empty() {
            return Err(Error::Nothing {
                path: folder.into(),
            });
        }
        paths.sort();
        Self::read_files(&paths)
    }

    /// Reads these files as one history.
    ///
    /// # Errors
    /// A file is invalid, or two have the same process name.
    pub fn read_files(paths: &[PathBuf]) -> Result<Self, Error> {
        let (mut history, mut process_names) = (History::default(), BTreeSet::new());
        for path in paths {
            match File::read(path)? {
                None => history.empty_files.push(path.clone()),
                Some(file) => {
                    if !process_names.insert(file.header.process.clone()) {
                        return Err(Error::Twice {
                            path: path.clone(),
                            process: file.header.process,
                        });
                    }
                    history.files.push(file);
                }
            }
        }
        Ok(history)
    }

    /// Returns all lines after the headers, file by file.
    pub fn lines(&self) -> impl Iterator<Item = LineRef<'_>> {
        self.files.iter().flat_map(|file| {
            file.lines
                .iter()
                .enumerate()
                .map(move |(index, line)| LineRef {
                    file,
                    line_number: index + 2,
                    line,
                })
        })
    }
}
