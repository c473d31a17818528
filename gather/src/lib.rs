//! Merging partial results from several sources by typed rules, with what truncation and silence may hide, without I/O or clock.
//!
//! [`Rules`] say how rows are sorted, which rows of one key stay, and how many. A source sends a [`Partial`] in [`Piece`]s; a
//! [`Gathering`] collects those of the sources that were asked and closes with an [`Answer`], which can itself be a partial of a
//! higher merge. [`Streams`] merges any number of rows that come in order. [`Question`] is what routers ask each other.

mod answer;
mod bounds;
mod error;
mod gathering;
mod merge;
mod part;
mod question;
mod rules;
mod value;

pub use answer::{Answer, Answered, Cursor, Placed, Tally, Why};
pub use error::Error;
pub use gathering::{Gathering, MOST_SOURCES, Put};
pub use merge::{Input, Streams};
pub use part::{Doubt, MOST_PIECES, Partial, Piece, Range, Row, Source};
pub use question::{Message, Question, Topic};
pub use rules::{
    Absent, By, Combine, Guard, Keep, MOST_COLUMNS, MOST_ROWS, MOST_TIES, Need, Plan, Rules, Sort,
    Ties, Unique,
};
pub use value::{INT_MOST, Real, Value};
