//! What can be wrong with rules and with what sources send.

/// Why rules or a source's part are refused. The variants that name a `source` refuse that source and nothing else.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A key of the rules has a value that cannot be meant.
    #[error("merge.{key}: {want}")]
    Rule {
        /// The key in the operators' file, below `merge`.
        key: String,
        /// What is expected.
        want: String,
    },
    /// Bytes that are no part, not a number among them.
    #[error("{source_name}: what came is no part of an answer")]
    Malformed {
        /// Who sent it.
        source_name: String,
    },
    /// Rows that were told sorted are not.
    #[error("{source_name}: row {row} is told sorted and sorts before the one before it")]
    Unsorted {
        /// Who sent it.
        source_name: String,
        /// Which row, from 0.
        row: u64,
    },
    /// A key that was told to be there once is there twice.
    #[error(
        "{source_name}: a key that was told combined comes twice, the second time in row {row}"
    )]
    Colliding {
        /// Who sent it.
        source_name: String,
        /// Which row, from 0.
        row: u64,
    },
    /// A row has another number of columns than the rules name.
    #[error("{source_name}: a row has {got} columns and the rules name {want}")]
    Columns {
        /// Who sent it.
        source_name: String,
        /// How many came.
        got: usize,
        /// How many were expected.
        want: usize,
    },
    /// A value that its column cannot have: a sum of what is no integer, a negative number where none is told to be, an
    /// integer beyond [`crate::INT_MOST`], a range the wrong way round, an origin that is not named.
    #[error("{source_name}: column {column} cannot be {value}")]
    Unfit {
        /// Who sent it.
        source_name: String,
        /// Which column.
        column: String,
        /// What came.
        value: String,
    },
    /// A sum that does not fit.
    #[error("column {column}: the sum does not fit in 127 bits")]
    Overflow {
        /// Which column.
        column: String,
    },
    /// A source sends more than one source may.
    #[error("{source_name}: more than {most} {what} from one source")]
    TooMuch {
        /// Who sent it.
        source_name: String,
        /// What there is too much of.
        what: &'static str,
        /// The most.
        most: usize,
    },
    /// The same piece came with different content.
    #[error("{source_name}: piece {piece} came twice with different content")]
    Contradicts {
        /// Who sent it.
        source_name: String,
        /// Which piece.
        piece: u32,
    },
    /// Nobody expected this source.
    #[error("{source_name}: not among the sources that were asked")]
    Unexpected {
        /// Who sent it.
        source_name: String,
    },
    /// It answers in the name of sources that another part answers for as well.
    #[error("{source_name}: speaks for {origin}, and so does another part")]
    Overlaps {
        /// Who sent it.
        source_name: String,
        /// Whom both speak for.
        origin: String,
    },
    /// A page from the middle cannot be merged again.
    #[error("an answer with an offset or a cursor is no part of another")]
    MiddlePage,
    /// A name so long that nothing else fits in a piece.
    #[error("{source_name}: a name too long for pieces of {most} bytes")]
    TooLong {
        /// Who would have sent it.
        source_name: String,
        /// The room (bytes).
        most: usize,
    },
}

impl Error {
    /// What an operator can do.
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

    /// The source that is refused, where it is one source's doing.
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
