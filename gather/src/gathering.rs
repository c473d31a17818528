//! Gathers the pieces that the queried sources send, and makes one answer of them.

use crate::answer::{Answer, Cursor, MissingReason, SourceResult, build_answer};
use crate::error::Error;
use crate::merge::normalize;
use crate::part::{MAX_PIECES, Partial, Piece, Version};
use crate::rules::{Guard, Plan};
use std::collections::BTreeMap;

/// Maximum number of sources of one gathering.
pub const MAX_SOURCES: usize = 2_000;
/// Maximum size of the pieces of all sources of a gathering (bytes). Each source may use an equal share of it, but at
/// least 16 pieces of 1,000 bytes.
const MAX_TOTAL_PIECE_BYTES: usize = 64 << 20;
/// Maximum number of values in the rows of all sources. A value takes 32 bytes of memory but can be one byte on the
/// wire, so a limit on bytes alone would not limit memory.
const MAX_TOTAL_VALUES: usize = 4 << 20;

/// The effect of a received piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutOutcome {
    /// Further pieces of this source are missing.
    Incomplete,
    /// All pieces of this source are there.
    Complete,
    /// The piece had been received before.
    Duplicate,
    /// The piece belongs to a partial result that a newer one of the same source has replaced.
    Outdated,
}

/// What has been received from one source.
#[derive(Debug, Default)]
struct SourceState {
    version: Option<Version>,
    pieces: BTreeMap<u32, Box<[u8]>>,
    bytes: usize,
    piece_count: u32,
    partial: Option<Partial>,
    rejected: Option<Error>,
    answered_again: bool,
    identity_changed: bool,
}

/// Collects the partial results of several sources. The caller keeps the time: it calls [`Gathering::close`] at its
/// deadline, or as soon as [`Gathering::is_complete`].
#[derive(Debug)]
pub struct Gathering {
    plan: Plan,
    after: Option<Cursor>,
    sources: BTreeMap<String, SourceState>,
}

impl Gathering {
    /// Starts a gathering that expects these sources. `after` is the cursor of a page, if it is not the first one.
    ///
    /// # Errors
    /// [`Error::TooMuch`] for too many sources, [`Error::Columns`] for a cursor that does not fit the rules.
    pub fn new(
        plan: Plan,
        sources: impl IntoIterator<Item = String>,
        after: Option<Cursor>,
    ) -> Result<Self, Error> {
        let sources: BTreeMap<String, SourceState> = sources
            .into_iter()
            .take(MAX_SOURCES + 1)
            .map(|name| (name, SourceState::default()))
            .collect();
        if sources.len() > MAX_SOURCES {
            return Err(Error::TooMuch {
                source_name: String::new(),
                what: "sources",
                most: MAX_SOURCES,
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

    /// Adds one piece.
    ///
    /// # Errors
    /// The source is rejected until it sends a partial result with a newer token, incarnation or round. No other source
    /// is affected.
    pub fn put(&mut self, piece: Piece) -> Result<PutOutcome, Error> {
        let name = piece.source.name.clone();
        let count = self.sources.len().max(1);
        let share = (MAX_TOTAL_PIECE_BYTES / count).max(16_000);
        let Some(state) = self.sources.get_mut(&name) else {
            return Err(Error::Unexpected { source_name: name });
        };
        let is_on = |guard| self.plan.rules.is_guard_on(guard);
        if let Some(known) = state.version.filter(|v| *v != piece.version()) {
            state.answered_again = true;
            state.identity_changed |=
                (known.token, known.incarnation) != (piece.source.token, piece.source.incarnation);
            if known > piece.version() && is_on(Guard::Newer) {
                return Ok(PutOutcome::Outdated);
            }
            let (answered_again, identity_changed) = (state.answered_again, state.identity_changed);
            *state = SourceState {
                answered_again,
                identity_changed,
                ..SourceState::default()
            };
        }
        state.version = Some(piece.version());
        if let Some(error) = &state.rejected {
            return Err(error.clone());
        }
        let reject = |state: &mut SourceState, error: Error| {
            (state.pieces, state.partial, state.rejected) =
                (BTreeMap::new(), None, Some(error.clone()));
            Err(error)
        };
        if state.pieces.is_empty() {
            state.piece_count = piece.piece_count;
        }
        if piece.piece_count == 0
            || piece.number >= piece.piece_count
            || piece.piece_count != state.piece_count
        {
            return reject(state, Error::Malformed { source_name: name });
        }
        if piece.piece_count as usize > MAX_PIECES {
            return reject(
                state,
                Error::TooMuch {
                    source_name: name,
                    what: "pieces",
                    most: MAX_PIECES,
                },
            );
        }
        if let Some(known) = state.pieces.get(&piece.number) {
            if *known != piece.bytes && is_on(Guard::Contradict) {
                return reject(
                    state,
                    Error::Contradicts {
                        source_name: name,
                        piece: piece.number,
                    },
                );
            }
            return Ok(PutOutcome::Duplicate);
        }
        state.bytes += piece.bytes.len();
        if state.bytes > share && is_on(Guard::Share) {
            return reject(
                state,
                Error::TooMuch {
                    source_name: name,
                    what: "bytes",
                    most: share,
                },
            );
        }
        state.pieces.insert(piece.number, piece.bytes);
        if state.pieces.len() < state.piece_count as usize {
            return Ok(PutOutcome::Incomplete);
        }
        // The pieces are kept, so that a contradicting copy of one is detected whichever copy comes first.
        let bytes: Vec<u8> = state
            .pieces
            .values()
            .flat_map(|b| b.iter().copied())
            .collect();
        let malformed = || Error::Malformed {
            source_name: name.clone(),
        };
        let decoded = postcard::from_bytes(&bytes).map_err(|_| malformed());
        let checked = decoded.and_then(|partial: Partial| {
            let matches_piece = partial.source == piece.source && partial.round == piece.round;
            if matches_piece {
                check_partial(&self.plan, count, partial)
            } else {
                Err(malformed())
            }
        });
        match checked {
            Ok(partial) => state.partial = Some(partial),
            Err(error) => return reject(state, error),
        }
        Ok(PutOutcome::Complete)
    }

    /// Adds a partial result that was not sent in pieces.
    ///
    /// # Errors
    /// The same as those of [`Gathering::put`].
    pub fn put_partial(&mut self, partial: Partial) -> Result<PutOutcome, Error> {
        // The partial result takes the same path as pieces from the network, so that both ways have the same effect.
        let pieces = partial.pieces(1 << 16)?;
        pieces
            .into_iter()
            .try_fold(PutOutcome::Incomplete, |_, piece| self.put(piece))
    }

    /// Returns whether every source is complete or rejected, so that waiting longer has no effect.
    pub fn is_complete(&self) -> bool {
        self.sources
            .values()
            .all(|state| state.partial.is_some() || state.rejected.is_some())
    }

    /// Returns the number of sources that are complete.
    pub fn complete_count(&self) -> usize {
        self.sources
            .values()
            .filter(|state| state.partial.is_some())
            .count()
    }

    /// Makes the answer from what has been received.
    ///
    /// # Errors
    /// [`Error::Overflow`] if a sum does not fit. Errors of a single source are listed in the answer instead.
    pub fn close(self) -> Result<Answer, Error> {
        let results = self.sources.into_iter().map(|(name, state)| {
            let received = state.pieces.len() as u32;
            let reason = match (&state.partial, &state.rejected) {
                (Some(_), _) => None,
                (None, Some(error)) => Some(MissingReason::Rejected(error.clone())),
                (None, None) if received > 0 => Some(MissingReason::Incomplete {
                    received,
                    expected: state.piece_count,
                }),
                (None, None) => Some(MissingReason::NoAnswer),
            };
            SourceResult {
                name,
                partial: state.partial,
                reason,
                answered_again: state.answered_again,
                identity_changed: state.identity_changed,
            }
        });
        build_answer(&self.plan, results.collect(), self.after.as_ref())
    }
}

/// Checks a partial result and brings its rows into the order of a merge.
fn check_partial(plan: &Plan, sources: usize, partial: Partial) -> Result<Partial, Error> {
    let max_values = (MAX_TOTAL_VALUES / sources).max(16_000);
    let values: usize = partial.rows.iter().map(|r| r.values.len()).sum();
    if values > max_values && plan.rules.is_guard_on(Guard::Share) {
        return Err(Error::TooMuch {
            source_name: partial.source.name,
            what: "values",
            most: max_values,
        });
    }
    normalize(plan, partial)
}
