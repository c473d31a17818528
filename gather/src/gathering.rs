//! Gathers the pieces of the sources that were asked, and closes with one answer.

use crate::answer::{Answer, Asked, Cursor, Why, conclude};
use crate::error::Error;
use crate::merge::tidy;
use crate::part::{MOST_PIECES, Partial, Piece, Version};
use crate::rules::{Guard, Plan};
use std::collections::BTreeMap;

/// Sources of one gathering at the most.
pub const MOST_SOURCES: usize = 2_000;
/// Bytes of pieces that all sources of a gathering may fill: each has an equal share, 16 pieces of 1,000 bytes at the least.
const MOST_BYTES: usize = 64 << 20;
/// Values of rows that all sources may have; one takes 32 bytes. A byte on the wire can be a value, so bytes alone are no bound.
const MOST_VALUES: usize = 4 << 20;

/// What became of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    /// More of this source is to come.
    More,
    /// This source is complete.
    Complete,
    /// It had come already.
    Again,
    /// It is of an answer that a newer one has replaced.
    Older,
}

#[derive(Debug, Default)]
struct Heard {
    version: Option<Version>,
    pieces: BTreeMap<u32, Box<[u8]>>,
    bytes: usize,
    of: u32,
    whole: Option<Partial>,
    refused: Option<Error>,
    again: bool,
    changed: bool,
}

/// Partial results of several sources on their way to one answer. The caller has the clock: it closes at its deadline, or
/// when all are there.
#[derive(Debug)]
pub struct Gathering {
    plan: Plan,
    after: Option<Cursor>,
    sources: BTreeMap<String, Heard>,
}

impl Gathering {
    /// Expects these sources.
    ///
    /// # Errors
    /// [`Error::TooMuch`] for too many sources, [`Error::Columns`] for a cursor of other rules.
    pub fn new(
        plan: Plan,
        sources: impl IntoIterator<Item = String>,
        after: Option<Cursor>,
    ) -> Result<Self, Error> {
        let sources: BTreeMap<String, Heard> = sources
            .into_iter()
            .take(MOST_SOURCES + 1)
            .map(|name| (name, Heard::default()))
            .collect();
        if sources.len() > MOST_SOURCES {
            return Err(Error::TooMuch {
                source_name: String::new(),
                what: "sources",
                most: MOST_SOURCES,
            });
        }
        let columns = plan.rules().columns.len();
        if let Some(got) = after
            .as_ref()
            .map(|c| c.values.len())
            .filter(|got| *got != columns)
        {
            return Err(Error::Columns {
                source_name: "cursor".into(),
                got,
                want: columns,
            });
        }
        Ok(Gathering {
            plan,
            after,
            sources,
        })
    }

    /// Takes one piece.
    ///
    /// # Errors
    /// The source is refused, until it speaks anew with a newer token, life or round; nobody else is affected.
    pub fn put(&mut self, piece: Piece) -> Result<Put, Error> {
        let name = piece.source.name.clone();
        let count = self.sources.len().max(1);
        let share = (MOST_BYTES / count).max(16_000);
        let Some(heard) = self.sources.get_mut(&name) else {
            return Err(Error::Unexpected { source_name: name });
        };
        let guard = |guard| self.plan.rules.on(guard);
        if let Some(known) = heard.version.filter(|v| *v != piece.version()) {
            heard.again = true;
            heard.changed |= (known.0, known.1) != (piece.source.token, piece.source.life);
            if known > piece.version() && guard(Guard::Newer) {
                return Ok(Put::Older);
            }
            let (again, changed) = (heard.again, heard.changed);
            *heard = Heard {
                again,
                changed,
                ..Heard::default()
            };
        }
        heard.version = Some(piece.version());
        if let Some(refused) = &heard.refused {
            return Err(refused.clone());
        }
        let refuse = |heard: &mut Heard, error: Error| {
            (heard.pieces, heard.whole, heard.refused) =
                (BTreeMap::new(), None, Some(error.clone()));
            Err(error)
        };
        if heard.pieces.is_empty() {
            heard.of = piece.of;
        }
        if piece.of == 0 || piece.number >= piece.of || piece.of != heard.of {
            return refuse(heard, Error::Malformed { source_name: name });
        }
        if piece.of as usize > MOST_PIECES {
            return refuse(
                heard,
                Error::TooMuch {
                    source_name: name,
                    what: "pieces",
                    most: MOST_PIECES,
                },
            );
        }
        if let Some(known) = heard.pieces.get(&piece.number) {
            if *known != piece.bytes && guard(Guard::Contradict) {
                return refuse(
                    heard,
                    Error::Contradicts {
                        source_name: name,
                        piece: piece.number,
                    },
                );
            }
            return Ok(Put::Again);
        }
        heard.bytes += piece.bytes.len();
        if heard.bytes > share && guard(Guard::Share) {
            return refuse(
                heard,
                Error::TooMuch {
                    source_name: name,
                    what: "bytes",
                    most: share,
                },
            );
        }
        heard.pieces.insert(piece.number, piece.bytes);
        if heard.pieces.len() < heard.of as usize {
            return Ok(Put::More);
        }
        // Pieces stay where they are, so that a later one that contradicts is noticed whatever came first.
        let bytes: Vec<u8> = heard
            .pieces
            .values()
            .flat_map(|b| b.iter().copied())
            .collect();
        let malformed = || Error::Malformed {
            source_name: name.clone(),
        };
        let told = postcard::from_bytes(&bytes).map_err(|_| malformed());
        let whole = told.and_then(|partial: Partial| {
            let same = partial.source == piece.source && partial.round == piece.round;
            if same {
                accept(&self.plan, count, partial)
            } else {
                Err(malformed())
            }
        });
        match whole {
            Ok(partial) => heard.whole = Some(partial),
            Err(error) => return refuse(heard, error),
        }
        Ok(Put::Complete)
    }

    /// Takes a partial that did not travel.
    ///
    /// # Errors
    /// As for a piece.
    pub fn put_whole(&mut self, partial: Partial) -> Result<Put, Error> {
        // It goes the same way as others, so that it makes no difference how a partial came.
        let pieces = partial.pieces(1 << 16)?;
        pieces
            .into_iter()
            .try_fold(Put::More, |_, piece| self.put(piece))
    }

    /// Whether every source is complete or refused, so that waiting brings nothing more.
    pub fn is_complete(&self) -> bool {
        self.sources
            .values()
            .all(|h| h.whole.is_some() || h.refused.is_some())
    }

    /// How many are complete.
    pub fn complete(&self) -> usize {
        self.sources.values().filter(|h| h.whole.is_some()).count()
    }

    /// The answer of what is there.
    ///
    /// # Errors
    /// [`Error::Overflow`] where a sum does not fit; what one source did wrong stands in the answer instead.
    pub fn close(self) -> Result<Answer, Error> {
        let asked = self.sources.into_iter().map(|(name, heard)| {
            let pieces = heard.pieces.len() as u32;
            let why = match (&heard.whole, &heard.refused) {
                (Some(_), _) => None,
                (None, Some(error)) => Some(Why::Refused(error.clone())),
                (None, None) if pieces > 0 => Some(Why::Incomplete {
                    have: pieces,
                    of: heard.of,
                }),
                (None, None) => Some(Why::Silent),
            };
            Asked {
                name,
                partial: heard.whole,
                why,
                again: heard.again,
                changed: heard.changed,
            }
        });
        conclude(&self.plan, asked.collect(), self.after.as_ref())
    }
}

/// A partial that came, checked and in order.
fn accept(plan: &Plan, sources: usize, partial: Partial) -> Result<Partial, Error> {
    let most = (MOST_VALUES / sources).max(16_000);
    let values: usize = partial.rows.iter().map(|r| r.values.len()).sum();
    if values > most && plan.rules.on(Guard::Share) {
        return Err(Error::TooMuch {
            source_name: partial.source.name,
            what: "values",
            most,
        });
    }
    tidy(plan, partial)
}
