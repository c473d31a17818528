//! Histories of what many processes asked, answered and did, and checkers that judge them when all is over.
//!
//! Each process that sees something from outside (stand-ins, clients, listeners, links, the rig) writes one file of JSON
//! lines. Nothing in it comes from the router under test, unless the line says that it is the router's claim. A history is
//! a folder of such files; [`judge`] reads no clock and asks nobody.
//!
//! All times are microseconds on the one monotonic clock of the machine that plays the trial, so that events of several
//! processes can be put in the order in which they truly happened. Histories of several machines are not supported.

mod error;
mod event;
mod file;
mod gathered;
mod judge;
mod lists;
mod owners;
mod requests;

pub use error::Error;
pub use event::{
    Acted, Answered, Asked, Bounds, Came, Entry, Event, Fate, Fault, Gone, Head, Held, Keep, Kind,
    Line, Listed, Merged, MergedRow, Missed, Plain, Published, Ran, Refused, Row, Sent, SortKey,
    Subscription, Time, Told,
};
pub use file::{File, History, Seen, Writer, now};
pub use gathered::plain;
pub use judge::{Cited, Counts, Finding, Judged, judge};
