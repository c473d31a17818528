//! Errors of reading and writing the files of a history.

use std::path::PathBuf;

/// Why a history cannot be written or read.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system reported an error.
    #[error("{path}: {source}", path = path.display())]
    File {
        /// Path of the file or folder.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// A line is not valid in a history.
    #[error("{path}, line {line}: {source}", path = path.display())]
    Line {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// A line exceeds the maximum length.
    #[error("{path}, line {line}: longer than {most} bytes", path = path.display())]
    Long {
        /// Path of the file.
        path: PathBuf,
        /// Number of the line, from 1.
        line: usize,
        /// The maximum length (bytes).
        most: usize,
    },
    /// The file has another version of the format.
    #[error("{path}: form {told} of a history, and this reads form {known}", path = path.display())]
    Form {
        /// Path of the file.
        path: PathBuf,
        /// The version in the file.
        told: u32,
        /// The version that this program reads.
        known: u32,
    },
    /// Two files have the same process name.
    #[error("{path}: there is another file of the process {process:?}", path = path.display())]
    Twice {
        /// Path of the second file.
        path: PathBuf,
        /// Name of the process.
        process: String,
    },
    /// A folder has no file of a history.
    #[error("{path}: no file of a history (*.jsonl) is here", path = path.display())]
    Nothing {
        /// Path of the folder.
        path: PathBuf,
    },
}

impl Error {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Error::File { .. } => {
                "look at the folder's rights and room; name the folder of one trial"
            }
            Error::Line { .. } | Error::Long { .. } => {
                "only a last line may be torn: a bad one before it means that another program wrote into the file; play the trial again"
            }
            Error::Form { .. } => {
                "judge it with the program that recorded it, or play the trial again"
            }
            Error::Twice { .. } => "keep each trial in a folder of its own",
            Error::Nothing { .. } => "name the folder of one trial, not the one that holds several",
        }
    }
}
