//! Errors in merge rules and in the partial results of sources.

/// Why rules or the partial result of a source are rejected. A variant with a `source_name` rejects only that source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A key of the rules has an invalid value.
    #[error("merge.{key}: {want}")]
    Rule {
        /// The key in the operators' file, below `merge`.
        key: String,
        /// What is expected.
        want: String,
    },
    /// The received bytes do not decode, a floating-point value is NaN, or the content contradicts itself: an origin
    /// that is not listed, or pieces with different counts.
    #[error("{source_name}: what came is no part of an answer")]
    Malformed {
        /// Name of the source.
        source_name: String,
    },
    /// Rows that the source declared as sorted are not sorted.
    #[error("{source_name}: row {row} is told sorted and sorts before the one before it")]
    Unsorted {
        /// Name of the source.
        source_name: String,
        /// Index of the row, from 0.
        row: u64,
    },
    /// A key has two rows although the source declared one row for each key.
    #[error(
        "{source_name}: a key that was told combined comes twice, the second time in row {row}"
    )]
    Colliding {
        /// Name of the source.
        source_name: String,
        /// Index of the row, from 0.
        row: u64,
    },
    /// A row has another number of columns than the rules name.
    #[error("{source_name}: a row has {got} columns and the rules name {want}")]
    Columns {
        /// Name of the source.
        source_name: String,
        /// Number of columns received.
        got: usize,
        /// Number of columns expected.
        want: usize,
    },
    /// A value is invalid in its column: a summand that is no integer, a negative value in a column declared as
    /// non-negative, an integer beyond [`crate::MAX_INT_MAGNITUDE`], or a reversed range.
    #[error("{source_name}: column {column} cannot be {value}")]
    Unfit {
        /// Name of the source.
        source_name: String,
        /// Name of the column.
        column: String,
        /// The received value.
        value: String,
    },
    /// A sum overflows.
    #[error("column {column}: the sum does not fit in 127 bits")]
    Overflow {
        /// Name of the column.
        column: String,
    },
    /// A source exceeds the limits of one source.
    #[error("{source_name}: more than {most} {what} from one source")]
    TooMuch {
        /// Name of the source.
        source_name: String,
        /// What exceeds the limit: sources, pieces, bytes or values.
        what: &'static str,
        /// The limit.
        most: usize,
    },
    /// The same piece was received with different content.
    #[error("{source_name}: piece {piece} came twice with different content")]
    Contradicts {
        /// Name of the source.
        source_name: String,
        /// Number of the piece.
        piece: u32,
    },
    /// The source is not among the queried ones.
    #[error("{source_name}: not among the sources that were asked")]
    Unexpected {
        /// Name of the source.
        source_name: String,
    },
    /// The partial result includes a source that another partial result includes as well.
    #[error("{source_name}: speaks for {origin}, and so does another part")]
    Overlaps {
        /// Name of the source.
        source_name: String,
        /// Name of the source that both include.
        origin: String,
    },
    /// A page that does not begin with the first row cannot be merged again.
    #[error("an answer with an offset or a cursor is no part of another")]
    MiddlePage,
    /// The name of the source leaves no room for data in a piece.
    #[error("{source_name}: a name too long for pieces of {most} bytes")]
    TooLong {
        /// Name of the source.
        source_name: String,
        /// Maximum size of a piece (bytes).
        most: usize,
    },
}

impl Error {
    /// Returns what an operator can do about the error.
    pub fn help(&self) -> &'static str {
        match self {
            Error::Rule { .. } => {
                "correct this key under `merge` in the operators' file; docs/gather.md has the table"
            }
            Error::Malformed { .. } | Error::Columns { .. } => {
                "look for a router of another version or with other rules under this name, and give all the same file"
            }
            Error::Unsorted { .. } | Error::Colliding { .. } => {
                "give all routers the same rules; if they have, send in this source's part and version"
            }
            Error::Unfit { .. } => {
                "look at what the source counts in this column; sums take integers, and `floor` only where none is negative"
            }
            Error::Overflow { .. } => {
                "a source sends senseless numbers in this column: find it by its rows and restart it"
            }
            Error::TooMuch { .. } => "lower `rows` or `each`, so that sources cut before they send",
            Error::Contradicts { .. } => {
                "look for two processes under this source's name, and stop one"
            }
            Error::Unexpected { .. } => {
                "nothing, if a router joined just now; else look for a router of another installation with this key"
            }
            Error::Overlaps { .. } => {
                "ask each source by one way only: two parts that both hold it cannot be added"
            }
            Error::MiddlePage => {
                "ask lower levels by the rules that `Rules::lower` gives, and cut the page at the top"
            }
            Error::TooLong { .. } => "shorten the source's name, or give more room",
        }
    }

    /// Returns the rejected source, or `None` if the error is not that of a single source.
    pub fn source_name(&self) -> Option<&str> {
        match self {
            Error::Malformed { source_name }
            | Error::Unsorted { source_name, .. }
            | Error::Colliding { source_name, .. }
            | Error::Columns { source_name, .. }
            | Error::Unfit { source_name, .. }
            | Error::TooMuch { source_name, .. }
            | Error::Contradicts { source_name, .. }
            | Error::Unexpected { source_name }
            | Error::Overlaps { source_name, .. }
            | Error::TooLong { source_name, .. } => Some(source_name),
            Error::Rule { .. } | Error::Overflow { .. } | Error::MiddlePage => None,
        }
    }
}
