//! Scatter-gather: merges partial results of several sources by typed rules. The answer states which rows and values
//! are certain although sources truncated their rows or did not answer. The crate does no I/O and reads no clock.
//!
//! [`Rules`] define the sort order, how rows with one key are reduced to one, and the limits. A source sends a
//! [`Partial`] in [`Piece`]s. A [`Gathering`] collects the pieces of the queried sources and returns an [`Answer`],
//! which can itself be a partial result of a higher level. [`StreamMerge`] merges any number of rows that arrive in
//! order. [`Query`] is a query that routers send to each other.

mod answer;
mod bounds;
mod error;
mod gathering;
mod merge;
mod part;
mod query;
mod rules;
mod value;

pub use answer::{Answer, AnswerRow, AnsweredSource, Cursor, MissingReason, RowCounts};
pub use error::Error;
pub use gathering::{Gathering, MAX_SOURCES, PutOutcome};
pub use merge::{Input, StreamMerge};
pub use part::{MAX_PIECES, Partial, Piece, Range, Row, Source, Uncertainty};
pub use query::{Message, Query, Topic};
pub use rules::{
    AbsentOrder, Aggregate, Combine, Guard, KeepRule, MAX_COLUMNS, MAX_ROWS, MAX_TIES, Plan,
    RequiredSources, Rules, SortKey, TieRule, Unique,
};
pub use value::{MAX_INT_MAGNITUDE, Real, Value};
