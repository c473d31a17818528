//! What one source sends: its rows, what it held back, and the numbered pieces in which that travels.

use crate::error::Error;
use crate::rules::{By, Guard, Plan, Role};
use crate::value::{INT_MOST, Value};
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};

/// Who answers. A source that is a duty has one name whoever owns it; its token tells the owners apart.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Source {
    /// Its name, alike everywhere: `gateway/a`.
    pub name: String,
    /// The life of the process (`boot`); compared under the same token only.
    pub life: u64,
    /// The grant under which it answers; [`Token::NONE`] where it owns nothing.
    pub token: Token,
}

/// What a combined column can truly be. `None` is without bound.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// Not below this.
    pub low: Option<Value>,
    /// Not above this.
    pub high: Option<Value>,
}

impl Range {
    /// One value and no other.
    pub fn exact(value: &Value) -> Range {
        Range {
            low: Some(value.clone()),
            high: Some(value.clone()),
        }
    }

    /// Whether there is only one value that it can be.
    pub fn is_exact(&self) -> bool {
        self.low.is_some() && self.low == self.high
    }
}

/// What is not sure of a row, since a source was cut.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Doubt {
    /// What each combined column can be, in the order of `combine`.
    pub ranges: Vec<Range>,
    /// Another row may truly stay for this key. It does not sort before this beginning of a sort key.
    pub loose: Option<Vec<Value>>,
}

/// One row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Its values, in the places of the rules' columns.
    pub values: Vec<Value>,
    /// Whose row it is: a place in the partial's `origins`.
    pub origin: u32,
    /// Of how many rows it was made: those that came.
    pub of: u64,
    /// What is not sure of it.
    pub doubt: Option<Box<Doubt>>,
}

impl Row {
    /// A row as its source has it.
    pub fn plain(values: Vec<Value>) -> Row {
        Row {
            values,
            origin: 0,
            of: 1,
            doubt: None,
        }
    }
}

/// What one source answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Partial {
    /// Who.
    pub source: Source,
    /// Counts its answers to the same question. The newest counts: by token, then life, then this.
    pub round: u32,
    /// How old the oldest of it is (ms).
    pub age_ms: u64,
    /// Whether its rows are in the order of the rules. It is looked at.
    pub sorted: bool,
    /// Whether it has one row for each key, and no other row of that key among those it held back.
    pub combined: bool,
    /// It held rows back. None of them sorts before this beginning of a sort key; they may tie with it.
    pub cut: Option<Vec<Value>>,
    /// How many rows it holds in all, if it says so.
    pub held: Option<u64>,
    /// Whose rows these are, by name: itself, or those that it asked.
    pub origins: Vec<Source>,
    /// Whom it asked in vain.
    pub missing: Vec<String>,
    /// Its rows.
    pub rows: Vec<Row>,
}

impl Partial {
    /// Rows of one source, all that it holds, as they are.
    pub fn raw(source: Source, age_ms: u64, rows: Vec<Vec<Value>>) -> Partial {
        let held = Some(rows.len() as u64);
        let rows = rows.into_iter().map(Row::plain).collect();
        let origins = vec![source.clone()];
        Partial {
            source,
            round: 0,
            age_ms,
            sorted: false,
            combined: false,
            cut: None,
            held,
            origins,
            missing: Vec::new(),
            rows,
        }
    }

    /// What a source sends of all the rows that it holds: sorted, combined, its first `most` and from where it cut.
    ///
    /// # Errors
    /// The rows do not fit the rules.
    pub fn of(
        plan: &Plan,
        source: Source,
        age_ms: u64,
        rows: Vec<Vec<Value>>,
        most: Option<usize>,
    ) -> Result<Partial, Error> {
        let mut partial = crate::merge::tidy(plan, Partial::raw(source, age_ms, rows))?;
        partial.cut_to(plan, most.unwrap_or(usize::MAX));
        Ok(partial)
    }

    /// Cuts what is in order to its first rows.
    pub(crate) fn cut_to(&mut self, plan: &Plan, most: usize) {
        if let Some(first) = self.rows.get(most) {
            let edge = crate::bounds::best(plan, first);
            self.cut = crate::bounds::nearer(plan, self.cut.take(), Some(edge));
            self.rows.truncate(most);
        }
    }

    /// The pieces in which it travels, each at most so many bytes in its wire form.
    ///
    /// # Errors
    /// [`Error::TooLong`] where not even the head of a piece fits, [`Error::TooMuch`] where there would be too many.
    pub fn pieces(&self, room: usize) -> Result<Vec<Piece>, Error> {
        let name = &self.source.name;
        let body = postcard::to_allocvec(self).map_err(|_| Error::Malformed {
            source_name: name.clone(),
        })?;
        // Numbers of up to 10, 10, 5, 5 and 5 bytes, and two lengths of up to 3.
        let space = room.saturating_sub(name.len() + 41);
        if space == 0 {
            return Err(Error::TooLong {
                source_name: name.clone(),
                most: room,
            });
        }
        let of = body.len().div_ceil(space);
        if of > MOST_PIECES {
            return Err(Error::TooMuch {
                source_name: name.clone(),
                what: "pieces",
                most: MOST_PIECES,
            });
        }
        let piece = |(number, bytes): (usize, &[u8])| Piece {
            source: self.source.clone(),
            round: self.round,
            number: number as u32,
            of: of as u32,
            bytes: bytes.into(),
        };
        Ok(body.chunks(space).enumerate().map(piece).collect())
    }

    /// Checks each row against the rules. Sums of what fits can be made.
    pub(crate) fn fits(&self, plan: &Plan) -> Result<(), Error> {
        let name = || self.source.name.clone();
        let columns = &plan.rules.columns;
        let unfit = |column: usize, value: &dyn std::fmt::Display| Error::Unfit {
            source_name: name(),
            column: columns.get(column).cloned().unwrap_or_default(),
            value: value.to_string().chars().take(40).collect(),
        };
        let known = |row: &Row| (row.origin as usize) < self.origins.len();
        let ordered = self.origins.windows(2).all(|w| w[0].name < w[1].name);
        let edge = |edge: &Vec<Value>| edge.len() <= plan.sort.len();
        if self.origins.is_empty()
            || !ordered
            || !self.rows.iter().all(known)
            || !self.cut.iter().all(edge)
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
                    .is_some_and(|n| n.unsigned_abs() > INT_MOST.unsigned_abs())
                {
                    return Err(unfit(column, value));
                }
            }
            let Some(unique) = &plan.unique else {
                if row.doubt.is_some() || row.of != 1 {
                    return Err(Error::Malformed {
                        source_name: name(),
                    });
                }
                continue;
            };
            if let Some(doubt) = &row.doubt
                && (doubt.ranges.len() != unique.combine.len() || !doubt.loose.iter().all(edge))
            {
                return Err(Error::Malformed {
                    source_name: name(),
                });
            }
            for (i, combine) in unique.combine.iter().enumerate() {
                let added = matches!(combine.by, By::Sum | By::Count);
                let good = |v: &Value| match v {
                    Value::Absent => true,
                    Value::Int(n) => !combine.floor || *n >= 0,
                    _ => !added,
                };
                let value = &row.values[combine.column];
                if !good(value) {
                    return Err(unfit(combine.column, value));
                }
                let Some(range) = row.doubt.as_ref().map(|d| &d.ranges[i]) else {
                    continue;
                };
                let ends = [&range.low, &range.high];
                let small = |v: &Value| {
                    v.int()
                        .is_none_or(|n| n.unsigned_abs() <= INT_MOST.unsigned_abs())
                };
                let fits = |v: &Value| {
                    small(v)
                        && if added {
                            v.int().is_some() && good(v)
                        } else {
                            true
                        }
                };
                let turned =
                    matches!((&range.low, &range.high), (Some(low), Some(high)) if low > high);
                if turned || !ends.into_iter().flatten().all(fits) {
                    return Err(unfit(combine.column, &"a range that cannot be"));
                }
            }
        }
        Ok(())
    }
}

/// Which of two answers of one source counts: a newer owner, a newer process, a later answer.
pub(crate) type Version = (Token, u64, u32);

/// Pieces of one partial at the most: 1 MB.
pub const MOST_PIECES: usize = 1_024;

/// One piece of a partial, as long as a part of a datagram may be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// Whose.
    pub source: Source,
    /// Of which of its answers.
    pub round: u32,
    /// Which, from 0.
    pub number: u32,
    /// Of how many.
    pub of: u32,
    /// Its bytes.
    pub bytes: Box<[u8]>,
}

impl Piece {
    pub(crate) fn version(&self) -> Version {
        (self.source.token, self.source.life, self.round)
    }

    /// A piece as it is sent.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_allocvec(self).unwrap_or_default()
    }

    /// A piece as it came.
    ///
    /// # Errors
    /// [`Error::Malformed`].
    pub fn decode(bytes: &[u8]) -> Result<Piece, Error> {
        postcard::from_bytes(bytes).map_err(|_| Error::Malformed {
            source_name: String::new(),
        })
    }
}

/// Whether rows that are told sorted are.
pub(crate) fn in_order(plan: &Plan, partial: &Partial) -> Result<(), Error> {
    if !partial.sorted || !plan.rules.on(Guard::Sorted) {
        return Ok(());
    }
    let wrong = partial
        .rows
        .windows(2)
        .position(|w| plan.by_sort(&w[0].values, &w[1].values).is_gt());
    match wrong {
        Some(at) => Err(Error::Unsorted {
            source_name: partial.source.name.clone(),
            row: at as u64 + 1,
        }),
        None => Ok(()),
    }
}

/// Whether a column is neither key nor combined.
pub(crate) fn is_kept(plan: &Plan, column: usize) -> bool {
    plan.unique
        .as_ref()
        .is_none_or(|u| !matches!(u.roles[column], Role::Combined(_)))
}
