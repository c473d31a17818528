//! The partial result that one source sends: its rows, the bound on rows that it withheld, and its encoding in numbered
//! pieces.

use crate::error::Error;
use crate::rules::{Aggregate, Guard, Plan, Role};
use crate::value::{MAX_INT_MAGNITUDE, Value};
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};

/// The identity of a source. A source that holds a lease keeps its name when the lease changes hands; the fencing token
/// distinguishes the lease holders.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    /// Name of the source, the same at all routers: `gateway/a`.
    pub name: String,
    /// Incarnation of the process (`boot`). It is compared only between equal tokens.
    pub incarnation: u64,
    /// Fencing token of the lease under which the source answers; [`Token::NONE`] without a lease.
    pub token: Token,
}

/// The values that a combined column can have. `None` is an end without a bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// The lowest possible value.
    pub low: Option<Value>,
    /// The highest possible value.
    pub high: Option<Value>,
}

impl Range {
    /// Makes the range of exactly this value.
    pub fn exact(value: &Value) -> Range {
        Range {
            low: Some(value.clone()),
            high: Some(value.clone()),
        }
    }

    /// Returns whether only one value is possible.
    pub fn is_exact(&self) -> bool {
        self.low.is_some() && self.low == self.high
    }
}

/// What is uncertain about a row because a source withheld rows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Uncertainty {
    /// The possible values of each combined column, in the order of `combine`.
    pub ranges: Vec<Range>,
    /// Set if a withheld row may be the one that is kept for this key. That row does not sort before this prefix of a
    /// sort key.
    pub replacement_prefix: Option<Vec<Value>>,
}

/// One row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The values, in the order of the columns in the rules.
    pub values: Vec<Value>,
    /// The source of the row, as an index in `origins` of its partial result.
    pub origin: u32,
    /// Number of received rows that were merged into this one.
    pub merged_rows: u64,
    /// What is uncertain about the row; `None` if it is certain.
    pub uncertainty: Option<Box<Uncertainty>>,
}

impl Row {
    /// Makes a row that was not merged with others, of the source with index 0.
    pub fn from_values(values: Vec<Value>) -> Row {
        Row {
            values,
            origin: 0,
            merged_rows: 1,
            uncertainty: None,
        }
    }
}

/// The partial result of one source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// The source.
    pub source: Source,
    /// Number of this partial result among those of the source to the same query. Only the newest is used: the one
    /// with the highest token, then the highest incarnation, then the highest round.
    pub round: u32,
    /// Age of the oldest information in it (ms).
    pub age_ms: u64,
    /// Whether the source declares that the rows are in the sort order of the rules. The receiver verifies it.
    pub sorted: bool,
    /// Whether there is one row for each key and the source withheld no further row of a key that is listed.
    pub combined: bool,
    /// Set if the source withheld rows. None of them sorts before this prefix of a sort key; they may tie with it.
    pub withheld_prefix: Option<Vec<Value>>,
    /// Number of rows that the source has in total, if known.
    pub total_rows: Option<u64>,
    /// The sources of the rows, sorted by name: the source itself, or the sources that it queried.
    pub origins: Vec<Source>,
    /// Names of the sources that it queried without a usable answer.
    pub missing: Vec<String>,
    /// The rows.
    pub rows: Vec<Row>,
}

impl Partial {
    /// Makes a partial result of all rows of one source, in any order and with any number of rows for a key.
    pub fn from_raw_rows(source: Source, age_ms: u64, rows: Vec<Vec<Value>>) -> Partial {
        let total_rows = Some(rows.len() as u64);
        let rows = rows.into_iter().map(Row::from_values).collect();
        let origins = vec![source.clone()];
        Partial {
            source,
            round: 0,
            age_ms,
            sorted: false,
            combined: false,
            withheld_prefix: None,
            total_rows,
            origins,
            missing: Vec::new(),
            rows,
        }
    }

    /// Makes the partial result that a source sends of all its rows: sorted, one row for each key, and truncated to the
    /// first `max_rows`, with the prefix at which it was truncated.
    ///
    /// # Errors
    /// The rows do not fit the rules.
    pub fn build(
        plan: &Plan,
        source: Source,
        age_ms: u64,
        rows: Vec<Vec<Value>>,
        max_rows: Option<usize>,
    ) -> Result<Partial, Error> {
        let mut partial =
            crate::merge::normalize(plan, Partial::from_raw_rows(source, age_ms, rows))?;
        partial.truncate_rows(plan, max_rows.unwrap_or(usize::MAX));
        Ok(partial)
    }

    /// Truncates sorted rows to the first `max_rows`.
    pub(crate) fn truncate_rows(&mut self, plan: &Plan, max_rows: usize) {
        if let Some(first_withheld) = self.rows.get(max_rows) {
            let prefix = crate::bounds::lower_bound(plan, first_withheld);
            self.withheld_prefix =
                crate::bounds::earlier_prefix(plan, self.withheld_prefix.take(), Some(prefix));
            self.rows.truncate(max_rows);
        }
    }

    /// Encodes the partial result as pieces of at most `max_piece_bytes` bytes each in encoded form.
    ///
    /// # Errors
    /// [`Error::TooLong`] if the header of a piece does not fit, [`Error::TooMuch`] if there would be too many pieces.
    pub fn pieces(&self, max_piece_bytes: usize) -> Result<Vec<Piece>, Error> {
        let name = &self.source.name;
        let body = postcard::to_allocvec(self).map_err(|_| Error::Malformed {
            source_name: name.clone(),
        })?;
        // The header of a piece has five integers of up to 10, 10, 5, 5 and 5 bytes and two lengths of up to 3 bytes.
        let payload_bytes = max_piece_bytes.saturating_sub(name.len() + 41);
        if payload_bytes == 0 {
            return Err(Error::TooLong {
                source_name: name.clone(),
                most: max_piece_bytes,
            });
        }
        let piece_count = body.len().div_ceil(payload_bytes);
        if piece_count > MAX_PIECES {
            return Err(Error::TooMuch {
                source_name: name.clone(),
                what: "pieces",
                most: MAX_PIECES,
            });
        }
        let piece = |(number, bytes): (usize, &[u8])| Piece {
            source: self.source.clone(),
            round: self.round,
            number: number as u32,
            piece_count: piece_count as u32,
            bytes: bytes.into(),
        };
        Ok(body.chunks(payload_bytes).enumerate().map(piece).collect())
    }

    /// Checks that the rows fit the rules. Rows that pass have values of a type and magnitude that can be summed.
    pub(crate) fn check_rows(&self, plan: &Plan) -> Result<(), Error> {
        let name = || self.source.name.clone();
        let columns = &plan.rules.columns;
        let unfit = |column: usize, value: &dyn std::fmt::Display| Error::Unfit {
            source_name: name(),
            column: columns.get(column).cloned().unwrap_or_default(),
            value: value.to_string().chars().take(40).collect(),
        };
        let has_known_origin = |row: &Row| (row.origin as usize) < self.origins.len();
        let origins_sorted = self.origins.windows(2).all(|w| w[0].name < w[1].name);
        let prefix_fits = |prefix: &Vec<Value>| prefix.len() <= plan.sort.len();
        if self.origins.is_empty()
            || !origins_sorted
            || !self.rows.iter().all(has_known_origin)
            || !self.withheld_prefix.iter().all(prefix_fits)
        {
            return Err(Error::Malformed {
                source_name: name(),
            });
        }
        for row in &self.rows {
            if row.values.len() != columns.len() {
                return Err(Error::Columns {
                    source_name: name(),
                    got: row.values.len(),
                    want: columns.len(),
                });
            }
            for (column, value) in row.values.iter().enumerate() {
                if value
                    .int()
                    .is_some_and(|n| n.unsigned_abs() > MAX_INT_MAGNITUDE.unsigned_abs())
                {
                    return Err(unfit(column, value));
                }
            }
            let Some(unique) = &plan.unique else {
                if row.uncertainty.is_some() || row.merged_rows != 1 {
                    return Err(Error::Malformed {
                        source_name: name(),
                    });
                }
                continue;
            };
            if let Some(uncertainty) = &row.uncertainty
                && (uncertainty.ranges.len() != unique.combine.len()
                    || !uncertainty.replacement_prefix.iter().all(prefix_fits))
            {
                return Err(Error::Malformed {
                    source_name: name(),
                });
            }
            for (i, combine) in unique.combine.iter().enumerate() {
                let is_added = matches!(combine.by, Aggregate::Sum | Aggregate::Count);
                let is_valid = |v: &Value| match v {
                    Value::Absent => true,
                    Value::Int(n) => !combine.non_negative || *n >= 0,
                    _ => !is_added,
                };
                let value = &row.values[combine.column];
                if !is_valid(value) {
                    return Err(unfit(combine.column, value));
                }
                let Some(range) = row.uncertainty.as_ref().map(|d| &d.ranges[i]) else {
                    continue;
                };
                let ends = [&range.low, &range.high];
                let is_in_range = |v: &Value| {
                    v.int()
                        .is_none_or(|n| n.unsigned_abs() <= MAX_INT_MAGNITUDE.unsigned_abs())
                };
                let is_valid_end = |v: &Value| {
                    is_in_range(v)
                        && if is_added {
                            v.int().is_some() && is_valid(v)
                        } else {
                            true
                        }
                };
                let is_reversed =
                    matches!((&range.low, &range.high), (Some(low), Some(high)) if low > high);
                if is_reversed || !ends.into_iter().flatten().all(is_valid_end) {
                    return Err(unfit(combine.column, &"a range that cannot be"));
                }
            }
        }
        Ok(())
    }
}

/// The version of a partial result. The highest of one source is used: that of the newest lease holder, then that of
/// its newest process, then its latest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Version {
    pub token: Token,
    pub incarnation: u64,
    pub round: u32,
}

/// Maximum number of pieces of one partial result: 1 MB with pieces of 1,000 bytes.
pub const MAX_PIECES: usize = 1_024;

/// One piece of an encoded partial result, no longer than a part of a datagram may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The source.
    pub source: Source,
    /// The round of the partial result, see [`Partial::round`].
    pub round: u32,
    /// Number of the piece, from 0.
    pub number: u32,
    /// Number of pieces of the partial result.
    pub piece_count: u32,
    /// The bytes of this piece.
    pub bytes: Box<[u8]>,
}

impl Piece {
    pub(crate) fn version(&self) -> Version {
        Version {
            token: self.source.token,
            incarnation: self.source.incarnation,
            round: self.round,
        }
    }

    /// Encodes the piece for sending.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// Decodes a received piece.
    ///
    /// # Errors
    /// [`Error::Malformed`] if the bytes are no piece.
    pub fn decode(bytes: &[u8]) -> Result<Piece, Error> {
        postcard::from_bytes(bytes).map_err(|_| Error::Malformed {
            source_name: String::new(),
        })
    }
}

/// Checks the order of rows that the source declares as sorted.
pub(crate) fn check_order(plan: &Plan, partial: &Partial) -> Result<(), Error> {
    if !partial.sorted || !plan.rules.is_guard_on(Guard::Sorted) {
        return Ok(());
    }
    let unsorted = partial
        .rows
        .windows(2)
        .position(|w| plan.cmp_sort_keys(&w[0].values, &w[1].values).is_gt());
    match unsorted {
        Some(index) => Err(Error::Unsorted {
            source_name: partial.source.name.clone(),
            row: index as u64 + 1,
        }),
        None => Ok(()),
    }
}

/// Returns whether a column is not combined: it is part of the key, or its value is that of the row that is kept.
pub(crate) fn is_not_combined(plan: &Plan, column: usize) -> bool {
    plan.unique
        .as_ref()
        .is_none_or(|u| !matches!(u.roles[column], Role::Combined(_)))
}
