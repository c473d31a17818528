//! The answer of a merge: its rows, what is certain about them, and which sources answered or are missing.

use crate::bounds::{self, UpperBound};
use crate::error::Error;
use crate::merge::{Input, PageStart, merge, sort_by_unique_key};
use crate::part::{Partial, Range, Row, Source};
use crate::rules::{Guard, Plan, RequiredSources, TieRule};
use crate::value::Value;
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The position after which the next page begins: the last row of this page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// Values of that row.
    pub values: Vec<Value>,
    /// Name of its source.
    pub source: String,
}

/// One row of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRow {
    /// The values, in the order of the columns in the rules. A combined column has the result over the received rows.
    pub values: Vec<Value>,
    /// Name of the source of the row; if rows were combined, of the row that was kept.
    pub source: String,
    /// Number of received rows that were merged into this one. There may be more rows of the key if a source withheld
    /// rows.
    #[serde(rename = "of")]
    pub merged_rows: u64,
    /// Whether the row surely has this position among all rows of the sources that answered.
    pub certain: bool,
    /// The possible values of each combined column, in the order of `combine`; empty if all values are certain.
    pub ranges: Vec<Range>,
    /// Whether a withheld row may be the one that is kept for this key, so that the columns which are not combined are
    /// uncertain.
    #[serde(rename = "loose")]
    pub may_be_replaced: bool,
}

/// Why a source is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MissingReason {
    /// Nothing was received.
    NoAnswer,
    /// Only some of its pieces were received.
    Incomplete {
        /// Number of pieces received.
        received: u32,
        /// Number of pieces of the partial result.
        expected: u32,
    },
    /// Its partial result was rejected.
    Rejected(Error),
    /// It is missing at a lower level: a source that answered reports it as missing.
    MissingBelow {
        /// Name of the source that reports it.
        reported_by: String,
    },
}

/// A source that answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnsweredSource {
    /// The source.
    pub source: Source,
    /// Age of the oldest information in its partial result (ms).
    pub age_ms: u64,
    /// Whether it withheld rows.
    pub withheld_rows: bool,
    /// Number of rows that it has in total, if known.
    pub total_rows: Option<u64>,
    /// Whether it sent more than one partial result; the newest is used.
    pub answered_again: bool,
    /// Whether its token or incarnation changed between its partial results.
    pub identity_changed: bool,
}

/// Numbers of rows that the merge processed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RowCounts {
    /// Number of rows read.
    pub read: u64,
    /// Number of rows that were merged into another row of their key.
    pub dropped: u64,
    /// Number of rows cut by limits, as far as they were read.
    pub cut: u64,
}

/// The answer of a merge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The rows, in order.
    pub rows: Vec<AnswerRow>,
    /// A bound on rows that are neither listed nor before this page: none of them sorts before this prefix of a sort
    /// key. An empty prefix is no bound. `None`: there are no such rows.
    pub hidden_prefix: Option<Vec<Value>>,
    /// The sources that answered, sorted by name.
    pub answered: Vec<AnsweredSource>,
    /// The sources that are missing, by name. The bounds of the answer do not include their rows.
    pub missing: BTreeMap<String, MissingReason>,
    /// Whether the number of sources that the rules require answered.
    pub is_sufficient: bool,
    /// Age of the oldest information in the answer (ms).
    pub oldest_ms: u64,
    /// Numbers of rows that the merge processed.
    pub row_counts: RowCounts,
    /// The position after which the next page begins; `None` if no rows were cut.
    pub next_page: Option<Cursor>,
    /// Whether the answer begins with the first row, so that it can be merged again.
    is_first_page: bool,
    /// The sources of the rows, sorted by name.
    origins: Vec<Source>,
    /// The rows as a higher merge takes them.
    merged: Vec<Row>,
}

impl Answer {
    /// Converts the answer to the partial result that `source` sends to a higher level.
    ///
    /// # Errors
    /// [`Error::MiddlePage`] if the answer does not begin with the first row.
    pub fn partial(&self, source: Source, round: u32) -> Result<Partial, Error> {
        if !self.is_first_page {
            return Err(Error::MiddlePage);
        }
        Ok(Partial {
            source,
            round,
            age_ms: self.oldest_ms,
            sorted: true,
            combined: true,
            withheld_prefix: self.hidden_prefix.clone(),
            total_rows: None,
            origins: self.origins.clone(),
            missing: self.missing.keys().cloned().collect(),
            rows: self.merged.clone(),
        })
    }

    /// Returns whether no source is missing and no row was withheld or cut.
    pub fn is_complete(&self) -> bool {
        self.missing.is_empty() && self.hidden_prefix.is_none()
    }
}

/// The result of one source when a gathering closes.
pub(crate) struct SourceResult {
    pub name: String,
    pub partial: Option<Partial>,
    pub reason: Option<MissingReason>,
    pub answered_again: bool,
    pub identity_changed: bool,
}

/// Rejects partial results that include a source which another partial result includes as well, since the source's rows
/// would be counted twice. The partial result with more sources is used, so that the order of arrival has no effect.
fn reject_overlapping(plan: &Plan, results: &mut [SourceResult]) {
    let mut order: Vec<usize> = (0..results.len())
        .filter(|i| results[*i].partial.is_some())
        .collect();
    let origin_count =
        |result: &SourceResult| result.partial.as_ref().map_or(0, |p| p.origins.len());
    order.sort_by_key(|i| (std::cmp::Reverse(origin_count(&results[*i])), *i));
    let mut included: BTreeSet<String> = BTreeSet::new();
    for i in order {
        let Some(partial) = &results[i].partial else {
            continue;
        };
        let overlap = partial.origins.iter().find(|o| included.contains(&o.name));
        if let Some(origin) = overlap.filter(|_| plan.rules.is_guard_on(Guard::Overlap)) {
            let origin = origin.name.clone();
            let error = Error::Overlaps {
                source_name: results[i].name.clone(),
                origin,
            };
            (results[i].partial, results[i].reason) = (None, Some(MissingReason::Rejected(error)));
            continue;
        }
        included.extend(partial.origins.iter().map(|o| o.name.clone()));
    }
}

/// Merges the partial results of all sources into an answer.
pub(crate) fn build_answer(
    plan: &Plan,
    mut results: Vec<SourceResult>,
    after: Option<&Cursor>,
) -> Result<Answer, Error> {
    reject_overlapping(plan, &mut results);
    let mut missing = BTreeMap::new();
    let mut origins: BTreeMap<String, Source> = BTreeMap::new();
    let (mut parts, mut answered, expected) = (Vec::new(), Vec::new(), results.len());
    for result in results {
        let Some(partial) = result.partial else {
            missing.insert(
                result.name,
                result.reason.unwrap_or(MissingReason::NoAnswer),
            );
            continue;
        };
        for name in &partial.missing {
            missing
                .entry(name.clone())
                .or_insert(MissingReason::MissingBelow {
                    reported_by: result.name.clone(),
                });
        }
        origins.extend(partial.origins.iter().map(|o| (o.name.clone(), o.clone())));
        answered.push(AnsweredSource {
            source: partial.source.clone(),
            age_ms: partial.age_ms,
            withheld_rows: partial.withheld_prefix.is_some(),
            total_rows: partial.total_rows,
            answered_again: result.answered_again,
            identity_changed: result.identity_changed,
        });
        parts.push(partial);
    }
    let origins: Vec<Source> = origins.into_values().collect();
    let tokens: Vec<Token> = origins.iter().map(|o| o.token).collect();
    let origin_index = |name: &str| origins.partition_point(|o| o.name.as_str() < name) as u32;
    let inputs = parts.into_iter().map(|partial| {
        // The origins of each partial result are sorted by name, so the new indexes keep the order of its rows.
        let new_indexes: Vec<u32> = partial
            .origins
            .iter()
            .map(|o| origin_index(&o.name))
            .collect();
        let rows = partial
            .rows
            .into_iter()
            .map(|row| Row {
                origin: new_indexes[row.origin as usize],
                ..row
            })
            .collect();
        let rows = if plan.unique.is_some() {
            sort_by_unique_key(plan, rows)
        } else {
            rows
        };
        let name = partial.source.name;
        Input {
            name,
            rows: rows.into_iter(),
            combined: partial.combined,
            withheld_prefix: partial.withheld_prefix,
        }
    });
    let page_start = after.map(|cursor| {
        let index = origin_index(&cursor.source);
        let is_present = origins
            .get(index as usize)
            .is_some_and(|origin| origin.name == cursor.source);
        PageStart {
            values: cursor.values.clone(),
            origin: index + u32::from(is_present),
        }
    });
    let merged = merge(
        plan,
        inputs.collect(),
        &tokens,
        plan.max_held_rows,
        page_start.as_ref(),
    )?;
    let mut row_counts = RowCounts {
        read: merged.read,
        dropped: merged.dropped,
        cut: merged.cut,
    };
    let (mut rows, mut hidden_prefix) = (merged.rows, merged.hidden_prefix);
    let offset = usize::try_from(plan.rules.offset)
        .unwrap_or(usize::MAX)
        .min(rows.len());
    let fitting = rows_within_bytes(plan, &rows[offset..]) + offset;
    if fitting < rows.len() {
        let prefixes = rows[fitting..]
            .iter()
            .map(|row| Some(bounds::lower_bound(plan, row)));
        let prefix = prefixes.fold(None, |a, b| bounds::earlier_prefix(plan, a, b));
        hidden_prefix = bounds::earlier_prefix(
            plan,
            hidden_prefix,
            prefix.filter(|_| plan.rules.is_guard_on(Guard::OwnCut)),
        );
        row_counts.cut += (rows.len() - fitting) as u64;
        rows.truncate(fitting);
    }
    let certain = certain_rows(plan, &rows, merged.skipped_bound, hidden_prefix.as_deref());
    let listed = rows.iter().zip(certain).skip(offset);
    let answer_rows = listed.map(|(row, certain)| AnswerRow {
        values: row.values.clone(),
        source: origins
            .get(row.origin as usize)
            .map(|o| o.name.clone())
            .unwrap_or_default(),
        merged_rows: row.merged_rows,
        certain,
        ranges: row
            .uncertainty
            .as_ref()
            .map_or(Vec::new(), |uncertainty| uncertainty.ranges.clone()),
        may_be_replaced: row
            .uncertainty
            .as_ref()
            .is_some_and(|uncertainty| uncertainty.replacement_prefix.is_some()),
    });
    let answer_rows: Vec<AnswerRow> = answer_rows.collect();
    let last_row = answer_rows.last().filter(|_| row_counts.cut > 0);
    let next_page = last_row.map(|row| Cursor {
        values: row.values.clone(),
        source: row.source.clone(),
    });
    let is_sufficient = match plan.rules.need {
        RequiredSources::Any => true,
        RequiredSources::Least(least) => answered.len() >= least as usize,
        RequiredSources::All => answered.len() == expected && missing.is_empty(),
    };
    let oldest_ms = answered.iter().map(|a| a.age_ms).max().unwrap_or(0);
    let is_first_page = offset == 0 && after.is_none();
    Ok(Answer {
        rows: answer_rows,
        hidden_prefix,
        answered,
        missing,
        is_sufficient,
        oldest_ms,
        row_counts,
        next_page,
        is_first_page,
        origins,
        merged: rows,
    })
}

/// Returns how many of the rows fit in the size limit of an answer.
fn rows_within_bytes(plan: &Plan, rows: &[Row]) -> usize {
    let Some(max_bytes) = plan.rules.max_bytes else {
        return rows.len();
    };
    let mut remaining_bytes = max_bytes;
    let size = |row: &Row| {
        postcard::experimental::serialized_size(&row.values).unwrap_or(usize::MAX) as u64
    };
    let fits = |row: &&Row| {
        let rest = remaining_bytes.checked_sub(size(row));
        remaining_bytes = rest.unwrap_or(0);
        rest.is_some()
    };
    let fitting = rows.iter().take_while(fits).count();
    // If the rules keep ties together, rows that tie with the first cut row are cut too.
    let differs_from_previous = |index: &usize| {
        plan.cmp_sort_keys(&rows[*index - 1].values, &rows[*index].values)
            .is_ne()
    };
    if plan.rules.ties == TieRule::Extend && fitting < rows.len() {
        return (1..=fitting).rev().find(differs_from_previous).unwrap_or(0);
    }
    fitting
}

/// Returns for each row whether its position is certain: it surely sorts after all rows before it, including those
/// before the page (`skipped`), and before all rows after it and all hidden rows.
fn certain_rows(
    plan: &Plan,
    rows: &[Row],
    skipped: Option<UpperBound>,
    hidden_prefix: Option<&[Value]>,
) -> Vec<bool> {
    let lower_bounds: Vec<Vec<Value>> = rows
        .iter()
        .map(|row| bounds::lower_bound(plan, row))
        .collect();
    let upper_bounds: Vec<UpperBound> = rows
        .iter()
        .map(|row| bounds::upper_bound(plan, row))
        .collect();
    let exact: Vec<bool> = rows.iter().map(|row| row.uncertainty.is_none()).collect();
    let mut certain = vec![true; rows.len()];
    let mut last_bound = skipped;
    for i in 0..rows.len() {
        certain[i] &= last_bound.as_ref().is_none_or(|upper_bound| {
            bounds::is_surely_before(plan, upper_bound, &lower_bounds[i], exact[i])
        });
        last_bound = Some(bounds::later_bound(
            plan,
            last_bound,
            upper_bounds[i].clone(),
        ));
    }
    // Of two equal bounds the one that is not exact allows more. The bound of hidden rows is never exact.
    let mut first_bound = hidden_prefix.map(|prefix| (prefix.to_vec(), false));
    for i in (0..rows.len()).rev() {
        certain[i] &= first_bound.as_ref().is_none_or(|(lower_bound, exact)| {
            bounds::is_surely_before(plan, &upper_bounds[i], lower_bound, *exact)
        });
        let row_bound = (lower_bounds[i].clone(), exact[i]);
        first_bound = Some(match first_bound {
            None => row_bound,
            Some(other) => {
                let order = bounds::cmp_prefixes(plan, &row_bound.0, &other.0);
                let order = order
                    .then(row_bound.0.len().cmp(&other.0.len()))
                    .then(row_bound.1.cmp(&other.1));
                if order.is_le() { row_bound } else { other }
            }
        });
    }
    certain
}
