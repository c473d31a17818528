//! The merge rules as operators write them ([`Rules`]), and the same rules checked and with columns as indexes
//! ([`Plan`]).

use crate::error::Error;
use crate::value::Value;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;

/// Maximum number of columns of a row: a row must fit in a datagram part of 1,000 bytes.
pub const MAX_COLUMNS: usize = 32;
/// Maximum number of rows of an answer, including the rows before its page. With rows of 200 bytes this is 20 MB.
pub const MAX_ROWS: u64 = 100_000;
/// Maximum number of rows that an answer lists beyond its limit because they tie with the last row.
pub const MAX_TIES: usize = 10_000;

/// A safety check that tests can switch off, to show that they detect the failure that it prevents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Guard {
    /// The order of rows that a source declares as sorted is verified.
    Sorted,
    /// Two rows with one key are an error if their source declares one row for each key.
    Collide,
    /// The newer of two partial results of one source is used.
    Newer,
    /// Two partial results that include rows of the same source are not added up.
    Overlap,
    /// The bounds of an answer include rows that a source withheld.
    Threshold,
    /// The bounds of an answer include rows that the limits of the answer itself cut.
    OwnCut,
    /// A sum that overflows is an error.
    Overflow,
    /// Rows with equal content are ordered by their source.
    LastResort,
    /// A source that sends the same piece with different content is rejected.
    Contradict,
    /// A source that exceeds its share of memory is rejected.
    Share,
}

/// Whether absent values sort before or after all others, whether the column is sorted ascending or descending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AbsentOrder {
    /// Absent values sort before all others.
    First,
    /// Absent values sort after all others.
    #[default]
    Last,
}

/// One column to sort by.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SortKey {
    /// Name of the column.
    pub by: String,
    /// Whether the highest value comes first.
    #[serde(default, rename = "down")]
    pub descending: bool,
    /// Where absent values sort.
    #[serde(default)]
    pub absent: AbsentOrder,
}

/// Selects which of several rows with one key is kept. If several rows qualify, the first of them in sort order is
/// kept.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum KeepRule {
    /// Keeps the first row in sort order.
    #[default]
    First,
    /// Keeps the row with the highest incarnation, and among rows of that incarnation the one with the highest
    /// position.
    Freshest {
        /// Name of the column with the incarnation.
        #[serde(rename = "life")]
        incarnation: String,
        /// Name of the column with the position.
        position: String,
    },
    /// Keeps the row whose source has the highest fencing token.
    Token,
}

/// How the values of a column are combined over all rows with one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Aggregate {
    /// The sum. An absent value adds nothing. Only integers are allowed.
    Sum,
    /// The number of rows. An absent value counts as one row, an integer as that many rows, which a source has counted.
    Count,
    /// The lowest value that is not absent.
    Lowest,
    /// The highest value that is not absent.
    Highest,
}

/// A column whose values are combined over all rows with one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Combine {
    /// Name of the column.
    pub column: String,
    /// How its values are combined.
    pub by: Aggregate,
    /// Whether the addends of a sum are never negative, so that rows that were not sent can only raise the sum. A
    /// source that sends a negative value is rejected.
    #[serde(default, rename = "floor")]
    pub non_negative: bool,
}

/// Reduces the rows of each key to one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Unique {
    /// Names of the columns that form the key.
    pub key: Vec<String>,
    /// Which row of a key is kept.
    #[serde(default)]
    pub keep: KeepRule,
    /// Columns that are combined over all rows of a key. All others are taken from the row that is kept.
    #[serde(default)]
    pub combine: Vec<Combine>,
}

/// What happens to rows that tie in the sort columns with the last row within the limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TieRule {
    /// They are cut. Content and source decide which of the tied rows come first.
    #[default]
    Cut,
    /// They are listed beyond [`Rules::max_rows`], up to [`MAX_TIES`] of them.
    #[serde(rename = "keep")]
    Extend,
}

/// How many sources have to answer for an answer to be sufficient.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequiredSources {
    /// Any number, even none.
    #[default]
    Any,
    /// At least this number.
    Least(u32),
    /// All of them.
    All,
}

/// The rules by which partial results are merged into an answer: `merge` in the operators' file.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Names of the columns, in the order of the values of a row.
    pub columns: Vec<String>,
    /// Columns to sort by, the most significant first. Rows that are equal in them are ordered by content, then by
    /// source.
    pub sort: Vec<SortKey>,
    /// Reduces the rows of each key to one; `None` keeps all rows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub unique: Option<Unique>,
    /// Maximum number of rows of the answer; [`MAX_ROWS`] if it is not set.
    #[serde(rename = "rows", skip_serializing_if = "Option::is_none")]
    pub max_rows: Option<u64>,
    /// Maximum size of the answer's rows in encoded form (bytes).
    #[serde(rename = "bytes", skip_serializing_if = "Option::is_none")]
    pub max_bytes: Option<u64>,
    /// Maximum number of rows of each source: its first rows in sort order are used.
    #[serde(rename = "each", skip_serializing_if = "Option::is_none")]
    pub max_rows_per_source: Option<u64>,
    /// Number of rows to skip before the first row of the answer.
    pub offset: u64,
    /// What happens to rows that tie with the last one.
    pub ties: TieRule,
    /// How many sources have to answer.
    pub need: RequiredSources,
    /// Tests only: the guard that is switched off.
    #[cfg(feature = "mutations")]
    #[serde(skip)]
    pub disabled_guard: Option<Guard>,
}

impl Rules {
    /// Returns whether a guard is active. Only tests switch guards off.
    #[cfg(feature = "mutations")]
    pub(crate) fn is_guard_on(&self, guard: Guard) -> bool {
        self.disabled_guard != Some(guard)
    }

    /// Returns whether a guard is active. Only tests switch guards off.
    #[cfg(not(feature = "mutations"))]
    pub(crate) fn is_guard_on(&self, _: Guard) -> bool {
        true
    }

    /// Checks the rules for contradictions and values out of range.
    ///
    /// # Errors
    /// [`Error::Rule`], which names the key at fault.
    pub fn check(&self) -> Result<(), Error> {
        self.plan().map(drop)
    }

    /// Returns the rules for sources and for lower levels of a hierarchical merge, with which the merge of their
    /// answers equals a merge of all rows: without an offset, and without a limit if it could cut a row that affects
    /// its key's merged row.
    pub fn lower(&self) -> Rules {
        let may_cut = self
            .unique
            .as_ref()
            .is_none_or(|u| u.keep == KeepRule::First && u.combine.is_empty());
        let max_rows = self
            .max_rows
            .map(|rows| rows.saturating_add(self.offset))
            .filter(|_| may_cut);
        // Only the top level limits bytes: a lower level has other rows before the same row.
        Rules {
            max_rows,
            offset: 0,
            max_bytes: None,
            need: RequiredSources::Any,
            ..self.clone()
        }
    }

    /// Checks the rules and resolves names of columns to indexes.
    ///
    /// # Errors
    /// [`Error::Rule`], which names the key at fault.
    pub fn plan(&self) -> Result<Plan, Error> {
        let rule_error = |key: &str, want: &str| Error::Rule {
            key: key.into(),
            want: want.into(),
        };
        if self.columns.is_empty() || self.columns.len() > MAX_COLUMNS {
            return Err(rule_error("columns", "expected 1 to 32 names"));
        }
        for (i, name) in self.columns.iter().enumerate() {
            if name.is_empty() || name.len() > 64 || self.columns[..i].contains(name) {
                return Err(rule_error(
                    &format!("columns.{i}"),
                    "expected a name of 1 to 64 bytes that no other column has",
                ));
            }
        }
        let column_index = |key: String, name: &String| {
            let index = self.columns.iter().position(|c| c == name);
            index.ok_or_else(|| Error::Rule {
                key,
                want: format!("expected one of the columns, got {name:?}"),
            })
        };
        let mut sort = Vec::new();
        for (i, key) in self.sort.iter().enumerate() {
            let column = column_index(format!("sort.{i}.by"), &key.by)?;
            if sort.iter().any(|k: &SortColumn| k.column == column) {
                return Err(rule_error(
                    &format!("sort.{i}.by"),
                    "expected a column that is not sorted by already",
                ));
            }
            sort.push(SortColumn {
                column,
                descending: key.descending,
                absent_last: key.absent == AbsentOrder::Last,
            });
        }
        let mut unique = None;
        if let Some(rule) = &self.unique {
            if rule.key.is_empty() {
                return Err(rule_error("unique.key", "expected one column or more"));
            }
            let mut roles = vec![Role::Kept; self.columns.len()];
            let mut key = Vec::new();
            for (i, name) in rule.key.iter().enumerate() {
                let column = column_index(format!("unique.key.{i}"), name)?;
                if roles[column] != Role::Kept {
                    return Err(rule_error(
                        &format!("unique.key.{i}"),
                        "expected each column once",
                    ));
                }
                roles[column] = Role::Key;
                key.push(column);
            }
            let mut combine = Vec::new();
            for (i, column_rule) in rule.combine.iter().enumerate() {
                let path = format!("unique.combine.{i}");
                let column = column_index(format!("{path}.column"), &column_rule.column)?;
                if roles[column] != Role::Kept {
                    return Err(rule_error(
                        &format!("{path}.column"),
                        "expected a column that is neither key nor combined already",
                    ));
                }
                if column_rule.non_negative && column_rule.by != Aggregate::Sum {
                    return Err(rule_error(
                        &format!("{path}.floor"),
                        "expected only beside by = \"sum\"",
                    ));
                }
                roles[column] = Role::Combined(combine.len());
                combine.push(CombinedColumn {
                    column,
                    by: column_rule.by,
                    non_negative: column_rule.non_negative || column_rule.by == Aggregate::Count,
                });
            }
            let keep = match &rule.keep {
                KeepRule::First => KeptRow::First,
                KeepRule::Token => KeptRow::Token,
                KeepRule::Freshest {
                    incarnation,
                    position,
                } => {
                    let (incarnation, position) = (
                        column_index("unique.keep.life".into(), incarnation)?,
                        column_index("unique.keep.position".into(), position)?,
                    );
                    let is_combined = |c: usize| matches!(roles[c], Role::Combined(_));
                    if is_combined(incarnation) || is_combined(position) {
                        return Err(rule_error(
                            "unique.keep.freshest",
                            "expected columns that are not combined",
                        ));
                    }
                    KeptRow::Freshest(incarnation, position)
                }
            };
            unique = Some(UniquePlan {
                key,
                keep,
                combine,
                roles,
            });
        }
        let rows = self.max_rows.unwrap_or(MAX_ROWS);
        if rows == 0 || rows > MAX_ROWS {
            return Err(rule_error(
                "rows",
                &format!("expected 1 to {MAX_ROWS}, got {rows}"),
            ));
        }
        if self.max_rows.is_some()
            && rows
                .checked_add(self.offset)
                .is_none_or(|last_row| last_row > MAX_ROWS)
            || self.offset > MAX_ROWS
        {
            return Err(rule_error(
                "offset",
                &format!("expected {MAX_ROWS} at the most, `rows` with it; use a cursor"),
            ));
        }
        for (key, limit) in [
            ("each", self.max_rows_per_source),
            ("bytes", self.max_bytes),
        ] {
            if limit == Some(0) {
                return Err(rule_error(key, "expected 1 or more"));
            }
        }
        if self.need == RequiredSources::Least(0) {
            return Err(rule_error("need.least", "expected 1 or more"));
        }
        let max_held_rows = rows.saturating_add(self.offset).min(MAX_ROWS) as usize;
        Ok(Plan {
            rules: self.clone(),
            sort,
            unique,
            max_held_rows,
        })
    }
}

/// What a column is used for if the rows of each key are reduced to one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Role {
    /// A part of the key.
    Key,
    /// Taken from the row that is kept.
    Kept,
    /// Combined over all rows of the key, with this index in [`UniquePlan::combine`].
    Combined(usize),
}

/// A column to sort by, checked ([`SortKey`]).
#[derive(Clone, Copy, Debug)]
pub(crate) struct SortColumn {
    pub column: usize,
    pub descending: bool,
    /// Whether absent values sort after all others.
    pub absent_last: bool,
}

impl SortColumn {
    pub fn cmp(&self, a: &Value, b: &Value) -> Ordering {
        match (a, b) {
            (Value::Absent, Value::Absent) => Ordering::Equal,
            (Value::Absent, _) => {
                if self.absent_last {
                    Ordering::Greater
                } else {
                    Ordering::Less
                }
            }
            (_, Value::Absent) => {
                if self.absent_last {
                    Ordering::Less
                } else {
                    Ordering::Greater
                }
            }
            _ if self.descending => b.cmp(a),
            _ => a.cmp(b),
        }
    }
}

/// Which row of a key is kept, with indexes of columns ([`KeepRule`]).
#[derive(Clone, Copy, Debug)]
pub(crate) enum KeptRow {
    First,
    /// By the columns with the incarnation and the position.
    Freshest(usize, usize),
    Token,
}

/// A combined column, checked ([`Combine`]).
#[derive(Clone, Copy, Debug)]
pub(crate) struct CombinedColumn {
    pub column: usize,
    pub by: Aggregate,
    /// Whether no value is negative; always true of counts.
    pub non_negative: bool,
}

/// How the rows of each key are reduced to one, checked ([`Unique`]).
#[derive(Clone, Debug)]
pub(crate) struct UniquePlan {
    pub key: Vec<usize>,
    pub keep: KeptRow,
    pub combine: Vec<CombinedColumn>,
    /// The role of each column of a row.
    pub roles: Vec<Role>,
}

/// Checked rules with columns as indexes.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(crate) rules: Rules,
    pub(crate) sort: Vec<SortColumn>,
    pub(crate) unique: Option<UniquePlan>,
    /// Maximum number of rows kept in memory while merging: the rows of the page and those that an offset skips.
    pub(crate) max_held_rows: usize,
}

impl Plan {
    /// Returns the rules that this plan was made from.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Compares two rows by the sort columns alone.
    pub(crate) fn cmp_sort_keys(&self, a: &[Value], b: &[Value]) -> Ordering {
        first_difference(self.sort.iter().map(|k| k.cmp(&a[k.column], &b[k.column])))
    }

    /// Compares two rows by the columns of the key.
    pub(crate) fn cmp_unique_key(&self, a: &[Value], b: &[Value]) -> Ordering {
        let key = self.unique.as_ref().map_or(&[][..], |u| &u.key);
        first_difference(key.iter().map(|c| a[*c].cmp(&b[*c])))
    }

    /// Returns the values of the sort columns of a row.
    pub(crate) fn sort_key_of(&self, values: &[Value]) -> Vec<Value> {
        self.sort.iter().map(|k| values[k.column].clone()).collect()
    }

    /// Returns the index of the first sort column that is combined. From this column on, the order of a source's rows
    /// does not determine the order of the answer.
    pub(crate) fn first_combined(&self) -> Option<usize> {
        let unique = self.unique.as_ref()?;
        self.sort
            .iter()
            .position(|k| matches!(unique.roles[k.column], Role::Combined(_)))
    }

    /// Returns whether a row has columns that are neither a part of the key nor combined.
    pub(crate) fn has_kept_columns(&self) -> bool {
        self.unique
            .as_ref()
            .is_some_and(|u| u.roles.contains(&Role::Kept))
    }
}

/// Returns the first ordering that is not equal.
fn first_difference(mut orderings: impl Iterator<Item = Ordering>) -> Ordering {
    orderings
        .find(|order| order.is_ne())
        .unwrap_or(Ordering::Equal)
}
