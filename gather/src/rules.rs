//! How partial results become one answer, as operators write it, and the same with columns by place.

use crate::error::Error;
use crate::value::Value;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Columns of a row at the most: a row must fit in a part of 1,000 bytes.
pub const MOST_COLUMNS: usize = 32;
/// Rows of an answer at the most, those before its page among them. With rows of 200 bytes this is 20 MB.
pub const MOST_ROWS: u64 = 100_000;
/// Rows that are kept beyond the limit since they tie with the last one.
pub const MOST_TIES: usize = 10_000;

/// A guard that tests can switch off, to see that the check against it catches that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// Rows that are told sorted are looked at.
    Sorted,
    /// A key that is told combined comes once.
    Collide,
    /// Of two parts of one source the newer counts.
    Newer,
    /// Two parts that speak for the same source are not added.
    Overlap,
    /// What a source held back is counted in bounds.
    Threshold,
    /// What the answer itself cut is counted in bounds.
    OwnCut,
    /// Sums are checked.
    Overflow,
    /// Equal rows are told apart by their source.
    LastResort,
    /// The same piece with different content refuses its source.
    Contradict,
    /// A source has its share of memory and no more.
    Share,
}

/// Whether absent values come before or after all others, whichever way the column is sorted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Absent {
    /// Before.
    First,
    /// After.
    #[default]
    Last,
}

/// One key to sort by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sort {
    /// The column.
    pub by: String,
    /// The highest first.
    #[serde(default)]
    pub down: bool,
    /// Where absent values go.
    #[serde(default)]
    pub absent: Absent,
}

/// Which of several rows with one key stays. Where this leaves two, the first by order stays.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Keep {
    /// The first by order.
    #[default]
    First,
    /// The one of the latest life, and of that the furthest position.
    Freshest {
        /// The column with the life.
        life: String,
        /// The column with the position.
        position: String,
    },
    /// The one whose source had the highest token.
    Token,
}

/// How a column is made of those of all rows with one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum By {
    /// Added; absent is nothing. Integers only.
    Sum,
    /// How many rows there are: absent counts as one, an integer as that many rows which a source counted already.
    Count,
    /// The lowest that is not absent.
    Lowest,
    /// The highest that is not absent.
    Highest,
}

/// A column that is made of those of all rows with one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Combine {
    /// The column.
    pub column: String,
    /// How.
    pub by: By,
    /// A sum's parts are never negative: what was not sent can only add. A negative one refuses its source.
    #[serde(default)]
    pub floor: bool,
}

/// One row for each key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Unique {
    /// The columns that are the key.
    pub key: Vec<String>,
    /// Which row stays.
    #[serde(default)]
    pub keep: Keep,
    /// Columns that are combined instead of kept.
    #[serde(default)]
    pub combine: Vec<Combine>,
}

/// What becomes of rows that sort alike with the last one that fits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ties {
    /// They are cut, those that come last by content and source.
    #[default]
    Cut,
    /// They are kept beyond `rows`, [`MOST_TIES`] at the most.
    Keep,
}

/// How many sources an answer needs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Need {
    /// Whoever answered by the deadline.
    #[default]
    Any,
    /// So many.
    Least(u32),
    /// Every one.
    All,
}

/// The rules of one kind of answer: `merge` in the operators' file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// The names of the columns, in their places.
    pub columns: Vec<String>,
    /// The keys to sort by, the first one first. Rows that are equal in them go by their content, then by their source.
    pub sort: Vec<Sort>,
    /// One row for each key.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unique: Option<Unique>,
    /// Rows of the answer at the most; [`MOST_ROWS`] where it is not set.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rows: Option<u64>,
    /// Bytes of the answer's rows at the most, as they are sent.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes: Option<u64>,
    /// Rows of each source at the most: its first by order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub each: Option<u64>,
    /// Rows to pass over.
    pub offset: u64,
    /// Rows that tie with the last one.
    pub ties: Ties,
    /// How many sources are needed.
    pub need: Need,
    /// Tests only: the guard that is off.
    #[cfg(feature = "mutations")]
    #[serde(skip)]
    pub without: Option<Guard>,
}

impl Rules {
    /// Whether a guard is on. It is, but in tests that take it away.
    #[cfg(feature = "mutations")]
    pub(crate) fn on(&self, guard: Guard) -> bool {
        self.without != Some(guard)
    }

    /// Whether a guard is on. It is, but in tests that take it away.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn on(&self, _: Guard) -> bool {
        true
    }

    /// Checks what cannot be meant.
    ///
    /// # Errors
    /// [`Error::Rule`], which names the key at fault.
    pub fn check(&self) -> Result<(), Error> {
        self.plan().map(drop)
    }

    /// The rules by which sources and lower levels answer, so that the answer above them is the same as if all rows had
    /// come to it: no offset, and no cut where one could take a key's row that counts above.
    pub fn lower(&self) -> Rules {
        let cut = self
            .unique
            .as_ref()
            .is_none_or(|u| u.keep == Keep::First && u.combine.is_empty());
        let rows = self
            .rows
            .map(|rows| rows.saturating_add(self.offset))
            .filter(|_| cut);
        // Bytes are counted at the top: below, other rows stand before these.
        Rules {
            rows,
            offset: 0,
            bytes: None,
            need: Need::Any,
            ..self.clone()
        }
    }

    /// The rules with columns by place.
    ///
    /// # Errors
    /// [`Error::Rule`], which names the key at fault.
    pub fn plan(&self) -> Result<Plan, Error> {
        let bad = |key: &str, want: &str| Error::Rule {
            key: key.into(),
            want: want.into(),
        };
        if self.columns.is_empty() || self.columns.len() > MOST_COLUMNS {
            return Err(bad("columns", "expected 1 to 32 names"));
        }
        for (i, name) in self.columns.iter().enumerate() {
            if name.is_empty() || name.len() > 64 || self.columns[..i].contains(name) {
                return Err(bad(
                    &format!("columns.{i}"),
                    "expected a name of 1 to 64 bytes that no other column has",
                ));
            }
        }
        let place = |key: String, name: &String| {
            let at = self.columns.iter().position(|c| c == name);
            at.ok_or_else(|| Error::Rule {
                key,
                want: format!("expected one of the columns, got {name:?}"),
            })
        };
        let mut sort = Vec::new();
        for (i, key) in self.sort.iter().enumerate() {
            let column = place(format!("sort.{i}.by"), &key.by)?;
            if sort.iter().any(|k: &SortBy| k.column == column) {
                return Err(bad(
                    &format!("sort.{i}.by"),
                    "expected a column that is not sorted by already",
                ));
            }
            sort.push(SortBy {
                column,
                down: key.down,
                last: key.absent == Absent::Last,
            });
        }
        let mut unique = None;
        if let Some(told) = &self.unique {
            if told.key.is_empty() {
                return Err(bad("unique.key", "expected one column or more"));
            }
            let mut roles = vec![Role::Kept; self.columns.len()];
            let mut key = Vec::new();
            for (i, name) in told.key.iter().enumerate() {
                let column = place(format!("unique.key.{i}"), name)?;
                if roles[column] != Role::Kept {
                    return Err(bad(&format!("unique.key.{i}"), "expected each column once"));
                }
                roles[column] = Role::Key;
                key.push(column);
            }
            let mut combine = Vec::new();
            for (i, one) in told.combine.iter().enumerate() {
                let at = format!("unique.combine.{i}");
                let column = place(format!("{at}.column"), &one.column)?;
                if roles[column] != Role::Kept {
                    return Err(bad(
                        &format!("{at}.column"),
                        "expected a column that is neither key nor combined already",
                    ));
                }
                if one.floor && one.by != By::Sum {
                    return Err(bad(
                        &format!("{at}.floor"),
                        "expected only beside by = \"sum\"",
                    ));
                }
                roles[column] = Role::Combined(combine.len());
                combine.push(CombineBy {
                    column,
                    by: one.by,
                    floor: one.floor || one.by == By::Count,
                });
            }
            let keep = match &told.keep {
                Keep::First => KeepBy::First,
                Keep::Token => KeepBy::Token,
                Keep::Freshest { life, position } => {
                    let (life, position) = (
                        place("unique.keep.life".into(), life)?,
                        place("unique.keep.position".into(), position)?,
                    );
                    let combined = |c: usize| matches!(roles[c], Role::Combined(_));
                    if combined(life) || combined(position) {
                        return Err(bad(
                            "unique.keep.freshest",
                            "expected columns that are not combined",
                        ));
                    }
                    KeepBy::Freshest(life, position)
                }
            };
            unique = Some(UniqueBy {
                key,
                keep,
                combine,
                roles,
            });
        }
        let rows = self.rows.unwrap_or(MOST_ROWS);
        if rows == 0 || rows > MOST_ROWS {
            return Err(bad(
                "rows",
                &format!("expected 1 to {MOST_ROWS}, got {rows}"),
            ));
        }
        if self.rows.is_some()
            && rows
                .checked_add(self.offset)
                .is_none_or(|all| all > MOST_ROWS)
            || self.offset > MOST_ROWS
        {
            return Err(bad(
                "offset",
                &format!("expected {MOST_ROWS} at the most, `rows` with it; use a cursor"),
            ));
        }
        for (key, told) in [("each", self.each), ("bytes", self.bytes)] {
            if told == Some(0) {
                return Err(bad(key, "expected 1 or more"));
            }
        }
        if self.need == Need::Least(0) {
            return Err(bad("need.least", "expected 1 or more"));
        }
        let hold = rows.saturating_add(self.offset).min(MOST_ROWS) as usize;
        Ok(Plan {
            rules: self.clone(),
            sort,
            unique,
            hold,
        })
    }
}

/// What a column is, where there is one row for each key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    Key,
    Kept,
    /// By this place among the combined ones.
    Combined(usize),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct SortBy {
    pub column: usize,
    pub down: bool,
    pub last: bool,
}

impl SortBy {
    pub fn cmp(&self, a: &Value, b: &Value) -> Ordering {
        match (a, b) {
            (Value::Absent, Value::Absent) => Ordering::Equal,
            (Value::Absent, _) => {
                if self.last {
                    Ordering::Greater
                } else {
                    Ordering::Less
                }
            }
            (_, Value::Absent) => {
                if self.last {
                    Ordering::Less
                } else {
                    Ordering::Greater
                }
            }
            _ if self.down => b.cmp(a),
            _ => a.cmp(b),
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum KeepBy {
    First,
    Freshest(usize, usize),
    Token,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct CombineBy {
    pub column: usize,
    pub by: By,
    pub floor: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct UniqueBy {
    pub key: Vec<usize>,
    pub keep: KeepBy,
    pub combine: Vec<CombineBy>,
    pub roles: Vec<Role>,
}

/// Rules that were checked, with columns by place.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) rules: Rules,
    pub(crate) sort: Vec<SortBy>,
    pub(crate) unique: Option<UniqueBy>,
    /// Rows that are held while merging: those before the page and those of it.
    pub(crate) hold: usize,
}

impl Plan {
    /// The rules it was made of.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Two rows by the sort keys alone.
    pub(crate) fn by_sort(&self, a: &[Value], b: &[Value]) -> Ordering {
        first_difference(self.sort.iter().map(|k| k.cmp(&a[k.column], &b[k.column])))
    }

    /// Two rows by the columns of the key.
    pub(crate) fn by_key(&self, a: &[Value], b: &[Value]) -> Ordering {
        let key = self.unique.as_ref().map_or(&[][..], |u| &u.key);
        first_difference(key.iter().map(|c| a[*c].cmp(&b[*c])))
    }

    /// The sort key of a row.
    pub(crate) fn key_of(&self, values: &[Value]) -> Vec<Value> {
        self.sort.iter().map(|k| values[k.column].clone()).collect()
    }

    /// The first sort key that is combined: beyond it, a source's order says nothing of the answer's.
    pub(crate) fn first_combined(&self) -> Option<usize> {
        let unique = self.unique.as_ref()?;
        self.sort
            .iter()
            .position(|k| matches!(unique.roles[k.column], Role::Combined(_)))
    }

    /// Whether a row has columns that are neither key nor combined.
    pub(crate) fn keeps(&self) -> bool {
        self.unique
            .as_ref()
            .is_some_and(|u| u.roles.contains(&Role::Kept))
    }
}

fn first_difference(mut each: impl Iterator<Item = Ordering>) -> Ordering {
    each.find(|order| order.is_ne()).unwrap_or(Ordering::Equal)
}
