//! The merge: combines the sorted rows of several sources, reduces the rows of each key to one, and keeps the first
//! rows. Its memory depends on the number of sources and on the limit, not on the number of rows.

use crate::bounds::{self, earlier_prefix};
use crate::error::Error;
use crate::part::{Partial, Range, Row, Uncertainty, check_order, is_not_combined};
use crate::rules::{Aggregate, Guard, KeptRow, MAX_TIES, Plan, TieRule, UniquePlan};
use crate::value::Value;
use plovercove_fencing::Token;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Rows of one source, in the order that the merge needs ([`Plan::cmp_stream_order`]).
pub struct Input<I> {
    /// Name of the source, for errors.
    pub name: String,
    /// The rows. Their `origin` is the index of their source among all sources, sorted by name.
    pub rows: I,
    /// Whether there is one row for each key and the source withheld no further row of a listed key.
    pub combined: bool,
    /// Set if the source withheld rows. None of them sorts before this prefix of a sort key.
    pub withheld_prefix: Option<Vec<Value>>,
}

/// The bound on the rows that one source withheld.
#[derive(Clone, Debug)]
pub(crate) struct Withheld {
    /// Index of the source among the inputs.
    pub input: usize,
    /// No withheld row sorts before this prefix of a sort key.
    pub prefix: Vec<Value>,
    /// See [`Input::combined`].
    pub combined: bool,
}

impl Plan {
    /// Compares two rows by the order that a merge of streams needs: by key if the rows of each key are reduced to one,
    /// else by the sort columns.
    pub fn cmp_stream_order(&self, a: &Row, b: &Row) -> Ordering {
        if self.unique.is_some() {
            self.cmp_unique_key(&a.values, &b.values)
        } else {
            self.cmp_sort_keys(&a.values, &b.values)
        }
    }

    /// Compares two rows by the order of an answer: sort columns, then content, then source. This is a total order, so
    /// the order of arrival has no effect on the answer.
    pub(crate) fn cmp_answer_order(&self, a: &Row, b: &Row) -> Ordering {
        let order = self
            .cmp_sort_keys(&a.values, &b.values)
            .then_with(|| a.values.cmp(&b.values));
        if self.rules.is_guard_on(Guard::LastResort) {
            order.then(a.origin.cmp(&b.origin))
        } else {
            order
        }
    }

    /// Compares two rows of one key; the lesser one is kept. Combined columns are ignored, so that the choice is the
    /// same for rows that a lower level has combined.
    fn cmp_kept(&self, unique: &UniquePlan, tokens: &[Token], a: &Row, b: &Row) -> Ordering {
        let token = |row: &Row| tokens.get(row.origin as usize).copied().unwrap_or_default();
        let by_rule = match unique.keep {
            KeptRow::First => Ordering::Equal,
            KeptRow::Token => token(b).cmp(&token(a)),
            KeptRow::Freshest(incarnation, position) => {
                let value = |row: &Row, column: usize| row.values[column].clone();
                (value(b, incarnation), value(b, position))
                    .cmp(&(value(a, incarnation), value(a, position)))
            }
        };
        let by_sort_columns = || {
            let keys = self.sort.iter().filter(|k| is_not_combined(self, k.column));
            keys.map(|column| column.cmp(&a.values[column.column], &b.values[column.column]))
                .find(|o| o.is_ne())
        };
        let by_content = || {
            let columns = (0..a.values.len()).filter(|c| is_not_combined(self, *c));
            columns
                .map(|c| a.values[c].cmp(&b.values[c]))
                .find(|o| o.is_ne())
        };
        by_rule
            .then_with(|| by_sort_columns().unwrap_or(Ordering::Equal))
            .then_with(|| by_content().unwrap_or(Ordering::Equal))
            .then(a.origin.cmp(&b.origin))
    }
}

/// The next row of one input, on the heap of a [`StreamMerge`].
struct StreamHead<'p> {
    row: Row,
    input: usize,
    plan: &'p Plan,
}

impl Ord for StreamHead<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        // `BinaryHeap` pops the greatest element, so the order is reversed.
        other
            .plan
            .cmp_stream_order(&other.row, &self.row)
            .then(other.input.cmp(&self.input))
    }
}

impl PartialOrd for StreamHead<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for StreamHead<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for StreamHead<'_> {}

/// Merges sorted streams into one. It keeps one row of each source in memory. A row that is out of order ends it with
/// an error.
pub struct StreamMerge<'p, I> {
    plan: &'p Plan,
    heads: BinaryHeap<StreamHead<'p>>,
    inputs: Vec<Input<I>>,
    /// Number of rows returned of each input.
    read: Vec<u64>,
    failed: Option<Error>,
}

impl<'p, I: Iterator<Item = Row>> StreamMerge<'p, I> {
    /// Merges these inputs.
    pub fn new(plan: &'p Plan, mut inputs: Vec<Input<I>>) -> Self {
        let first = |(input, source): (usize, &mut Input<I>)| {
            source
                .rows
                .next()
                .map(|row| StreamHead { row, input, plan })
        };
        let heads = inputs.iter_mut().enumerate().filter_map(first).collect();
        let read = vec![0; inputs.len()];
        StreamMerge {
            plan,
            heads,
            inputs,
            read,
            failed: None,
        }
    }

    /// Returns the number of rows returned so far.
    pub fn rows_read(&self) -> u64 {
        self.read.iter().sum()
    }
}

impl<I: Iterator<Item = Row>> Iterator for StreamMerge<'_, I> {
    type Item = Result<(usize, Row), Error>;

    fn next(&mut self) -> Option<Self::Item> {
        if let Some(error) = self.failed.take() {
            self.heads.clear();
            return Some(Err(error));
        }
        let mut head = self.heads.peek_mut()?;
        let input = head.input;
        self.read[input] += 1;
        let Some(next) = self.inputs[input].rows.next() else {
            return Some(Ok((
                input,
                std::collections::binary_heap::PeekMut::pop(head).row,
            )));
        };
        if self.plan.rules.is_guard_on(Guard::Sorted)
            && self.plan.cmp_stream_order(&head.row, &next).is_gt()
        {
            let source_name = self.inputs[input].name.clone();
            self.failed = Some(Error::Unsorted {
                source_name,
                row: self.read[input],
            });
        }
        Some(Ok((input, std::mem::replace(&mut head.row, next))))
    }
}

/// The rows of one key that have been read so far, merged into one.
struct KeyGroup {
    /// The row that is kept.
    kept: Row,
    /// The combined columns over the rows read.
    combined: Vec<Value>,
    /// The possible values of the combined columns.
    ranges: Vec<Range>,
    /// See [`Uncertainty::replacement_prefix`].
    replacement_prefix: Option<Vec<Value>>,
    merged_rows: u64,
    /// Number of the group, from 1.
    number: u64,
}

/// Adds two values of a column; a value that is no integer counts as 0.
fn add_ints(plan: &Plan, column: usize, a: &Value, b: &Value) -> Result<Value, Error> {
    let (a, b) = (a.int().unwrap_or(0), b.int().unwrap_or(0));
    let sum = if plan.rules.is_guard_on(Guard::Overflow) {
        a.checked_add(b)
    } else {
        Some(a.wrapping_add(b))
    };
    let overflow = || Error::Overflow {
        column: plan.rules.columns[column].clone(),
    };
    Ok(Value::Int(sum.ok_or_else(overflow)?))
}

/// Returns the lower or the higher of two values, whichever `by` asks for. Absent values are ignored.
fn choose_extreme(by: Aggregate, a: Value, b: Value) -> Value {
    match (a, b) {
        (Value::Absent, other) | (other, Value::Absent) => other,
        (a, b) if by == Aggregate::Lowest => a.min(b),
        (a, b) => a.max(b),
    }
}

/// Returns the value of a combined column of one row: for an absent value a count of 1 or a sum of 0.
fn combined_value(by: Aggregate, value: &Value) -> Value {
    match (by, value) {
        (Aggregate::Count, Value::Absent) => Value::Int(1),
        (Aggregate::Sum, Value::Absent) => Value::Int(0),
        _ => value.clone(),
    }
}

impl KeyGroup {
    fn new(plan: &Plan, unique: &UniquePlan, row: Row, number: u64) -> KeyGroup {
        let combined: Vec<Value> = unique
            .combine
            .iter()
            .map(|c| combined_value(c.by, &row.values[c.column]))
            .collect();
        let (mut kept, mut ranges, mut replacement_prefix) =
            (row, combined.iter().map(Range::exact).collect(), None);
        if let Some(uncertainty) = kept.uncertainty.take() {
            (ranges, replacement_prefix) = (
                uncertainty.ranges,
                uncertainty
                    .replacement_prefix
                    .filter(|_| plan.has_kept_columns()),
            );
        }
        KeyGroup {
            merged_rows: kept.merged_rows,
            kept,
            combined,
            ranges,
            replacement_prefix,
            number,
        }
    }

    /// Adds the row of another group with the same key.
    fn add(
        &mut self,
        plan: &Plan,
        unique: &UniquePlan,
        tokens: &[Token],
        other: KeyGroup,
    ) -> Result<(), Error> {
        for (i, combine) in unique.combine.iter().enumerate() {
            let (range, other_range) = (&mut self.ranges[i], &other.ranges[i]);
            if matches!(combine.by, Aggregate::Sum | Aggregate::Count) {
                self.combined[i] =
                    add_ints(plan, combine.column, &self.combined[i], &other.combined[i])?;
                let merged_end = |a: &Option<Value>, b: &Option<Value>| match (a, b) {
                    (Some(a), Some(b)) => add_ints(plan, combine.column, a, b).map(Some),
                    _ => Ok(None),
                };
                *range = Range {
                    low: merged_end(&range.low, &other_range.low)?,
                    high: merged_end(&range.high, &other_range.high)?,
                };
            } else {
                self.combined[i] = choose_extreme(
                    combine.by,
                    self.combined[i].clone(),
                    other.combined[i].clone(),
                );
                let merged_end = |a: &Option<Value>, b: &Option<Value>| {
                    Some(choose_extreme(combine.by, a.clone()?, b.clone()?))
                };
                *range = Range {
                    low: merged_end(&range.low, &other_range.low),
                    high: merged_end(&range.high, &other_range.high),
                };
            }
        }
        self.replacement_prefix = earlier_prefix(
            plan,
            self.replacement_prefix.take(),
            other.replacement_prefix,
        );
        self.merged_rows = self.merged_rows.saturating_add(other.merged_rows);
        if plan
            .cmp_kept(unique, tokens, &other.kept, &self.kept)
            .is_lt()
        {
            self.kept = other.kept;
        }
        Ok(())
    }

    /// Returns the merged row, with its uncertainty because of rows of the key that sources may have withheld.
    /// `last_groups` has for each source the number of the last group that it had a row in.
    fn finish(
        mut self,
        plan: &Plan,
        unique: &UniquePlan,
        withheld: &[Withheld],
        last_groups: &[u64],
    ) -> Row {
        let mut uncertain = self.replacement_prefix.is_some();
        for source in withheld
            .iter()
            .filter(|source| !(source.combined && last_groups[source.input] == self.number))
        {
            for (combine, range) in unique.combine.iter().zip(&mut self.ranges) {
                bounds::widen_range(plan, combine, range, source);
            }
            // If the first row in sort order is kept, a row that sorts after the kept one cannot replace it.
            let keeps_first =
                matches!(unique.keep, KeptRow::First) && plan.first_combined().is_none();
            let sort_key = plan.sort_key_of(&self.kept.values);
            let cannot_replace =
                keeps_first && bounds::cmp_prefixes(plan, &sort_key, &source.prefix).is_lt();
            if plan.has_kept_columns() && !cannot_replace {
                let column_count = plan
                    .first_combined()
                    .unwrap_or(plan.sort.len())
                    .min(source.prefix.len());
                self.replacement_prefix = earlier_prefix(
                    plan,
                    self.replacement_prefix.take(),
                    Some(source.prefix[..column_count].to_vec()),
                );
                uncertain = true;
            }
        }
        uncertain |= !self.ranges.iter().all(Range::is_exact);
        for (combine, value) in unique.combine.iter().zip(self.combined) {
            self.kept.values[combine.column] = value;
        }
        self.kept.merged_rows = self.merged_rows;
        self.kept.uncertainty = uncertain.then(|| {
            Box::new(Uncertainty {
                ranges: self.ranges,
                replacement_prefix: self.replacement_prefix,
            })
        });
        self.kept
    }
}

/// The result of a merge.
pub(crate) struct MergeResult {
    /// The rows in order, including those that an offset skips.
    pub rows: Vec<Row>,
    /// No row that is not listed sorts before this prefix of a sort key; `None` if there is no such row.
    pub hidden_prefix: Option<Vec<Value>>,
    /// The last sort key that the rows before the page can have; `None` if the page has no cursor or no row precedes
    /// it.
    pub skipped_bound: Option<bounds::UpperBound>,
    /// Number of rows read.
    pub read: u64,
    /// Number of rows that were merged into another row of their key.
    pub dropped: u64,
    /// Number of rows (after deduplication) that the limit cut. A merge without keys stops reading at the limit and
    /// counts one.
    pub cut: u64,
}

/// Collects the first rows in order, up to a limit.
struct TopRows<'p> {
    plan: &'p Plan,
    rows: BinaryHeap<OrderedRow<'p>>,
    /// Rows beyond the limit that tie with the last row within it.
    ties: BinaryHeap<OrderedRow<'p>>,
    max_held_rows: usize,
    /// No row that was cut sorts before this prefix of a sort key.
    cut_prefix: Option<Vec<Value>>,
    /// Number of rows cut.
    cut: u64,
}

/// A row with the order of the answer, for a heap.
struct OrderedRow<'p>(Row, &'p Plan);

impl Ord for OrderedRow<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.1.cmp_answer_order(&self.0, &other.0)
    }
}

impl PartialOrd for OrderedRow<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for OrderedRow<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for OrderedRow<'_> {}

impl<'p> TopRows<'p> {
    /// Counts a row that is cut, and includes it in the bound on cut rows.
    fn evict(&mut self, row: &Row) {
        self.cut += 1;
        if !self.plan.rules.is_guard_on(Guard::OwnCut) {
            return;
        }
        // Most cut rows are certain and sort after a row that was cut before. This check avoids an allocation for them.
        let sorts_before = |prefix: &Vec<Value>| {
            let each = self.plan.sort.iter().zip(prefix);
            each.map(|(column, value)| column.cmp(&row.values[column.column], value))
                .find(|o| o.is_ne())
                .is_some_and(Ordering::is_lt)
        };
        if row.uncertainty.is_some() || self.cut_prefix.as_ref().is_none_or(sorts_before) {
            self.cut_prefix = earlier_prefix(
                self.plan,
                self.cut_prefix.take(),
                Some(bounds::lower_bound(self.plan, row)),
            );
        }
    }

    /// Adds a row. Returns false if no row that sorts after it can be within the limit.
    fn push(&mut self, row: Row) -> bool {
        let plan = self.plan;
        if self.rows.len() < self.max_held_rows {
            self.rows.push(OrderedRow(row, plan));
            return true;
        }
        let cut_row = match self.rows.peek_mut() {
            Some(mut last) if plan.cmp_answer_order(&row, &last.0).is_lt() => {
                std::mem::replace(&mut last.0, row)
            }
            _ => row,
        };
        let Some(last) = self.rows.peek().map(|l| plan.sort_key_of(&l.0.values)) else {
            return false;
        };
        let tied =
            |row: &Row| bounds::cmp_prefixes(plan, &plan.sort_key_of(&row.values), &last).is_eq();
        if self.ties.peek().is_some_and(|t| !tied(&t.0)) {
            for old in std::mem::take(&mut self.ties) {
                self.evict(&old.0);
            }
        }
        if plan.rules.ties == TieRule::Extend && tied(&cut_row) {
            self.ties.push(OrderedRow(cut_row, plan));
            if self.ties.len() > MAX_TIES
                && let Some(last_tie) = self.ties.pop()
            {
                self.evict(&last_tie.0);
            }
            return true;
        }
        let sorts_after_limit = !tied(&cut_row);
        self.evict(&cut_row);
        !sorts_after_limit
    }

    fn finish(self) -> (Vec<Row>, Option<Vec<Value>>, u64) {
        let mut rows: Vec<Row> = self
            .rows
            .into_sorted_vec()
            .into_iter()
            .map(|o| o.0)
            .collect();
        rows.extend(self.ties.into_sorted_vec().into_iter().map(|o| o.0));
        (rows, self.cut_prefix, self.cut)
    }
}

/// The position after which a page begins: rows with a lesser sort key or content are skipped, and rows with equal
/// values of a source with a lesser index than `origin`.
pub(crate) struct PageStart {
    pub values: Vec<Value>,
    pub origin: u32,
}

impl PageStart {
    /// Returns whether a row is before the page.
    fn skips(&self, plan: &Plan, row: &Row) -> bool {
        let order = plan
            .cmp_sort_keys(&row.values, &self.values)
            .then_with(|| row.values.cmp(&self.values));
        order.is_lt() || order.is_eq() && row.origin < self.origin
    }
}

/// Merges streams by the rules, except for the offset and the limit of bytes. `tokens` are the fencing tokens of the
/// sources, sorted by name.
pub(crate) fn merge<I: Iterator<Item = Row>>(
    plan: &Plan,
    inputs: Vec<Input<I>>,
    tokens: &[Token],
    max_held_rows: usize,
    page_start: Option<&PageStart>,
) -> Result<MergeResult, Error> {
    let withheld_rows = |(input, source): (usize, &Input<I>)| {
        let prefix = source
            .withheld_prefix
            .clone()
            .filter(|_| plan.rules.is_guard_on(Guard::Threshold))?;
        Some(Withheld {
            input,
            prefix,
            combined: source.combined,
        })
    };
    let withheld: Vec<Withheld> = inputs
        .iter()
        .enumerate()
        .filter_map(withheld_rows)
        .collect();
    let combined: Vec<bool> = inputs.iter().map(|i| i.combined).collect();
    let names: Vec<String> = inputs.iter().map(|i| i.name.clone()).collect();
    let mut streams = StreamMerge::new(plan, inputs);
    let mut top_rows = TopRows {
        plan,
        rows: BinaryHeap::new(),
        ties: BinaryHeap::new(),
        max_held_rows,
        cut_prefix: None,
        cut: 0,
    };
    let (mut skipped_bound, mut dropped) = (None, 0);
    let mut add_row = |row: Row, skipped_bound: &mut Option<bounds::UpperBound>| {
        if page_start.is_some_and(|start| start.skips(plan, &row)) {
            *skipped_bound = Some(bounds::later_bound(
                plan,
                skipped_bound.take(),
                bounds::upper_bound(plan, &row),
            ));
            return true;
        }
        top_rows.push(row)
    };
    if let Some(unique) = &plan.unique {
        let mut last_groups = vec![0_u64; combined.len()];
        let (mut group, mut number): (Option<KeyGroup>, u64) = (None, 0);
        while let Some(next) = streams.next() {
            let (input, row) = next?;
            let is_same_key = group
                .as_ref()
                .is_some_and(|g| plan.cmp_unique_key(&g.kept.values, &row.values).is_eq());
            if is_same_key
                && combined[input]
                && last_groups[input] == number
                && plan.rules.is_guard_on(Guard::Collide)
            {
                return Err(Error::Colliding {
                    source_name: names[input].clone(),
                    row: streams.read[input] - 1,
                });
            }
            if is_same_key && let Some(group) = &mut group {
                group.add(
                    plan,
                    unique,
                    tokens,
                    KeyGroup::new(plan, unique, row, number),
                )?;
                dropped += 1;
            } else {
                if let Some(finished) = group.take() {
                    add_row(
                        finished.finish(plan, unique, &withheld, &last_groups),
                        &mut skipped_bound,
                    );
                }
                number += 1;
                group = Some(KeyGroup::new(plan, unique, row, number));
            }
            last_groups[input] = number;
        }
        if let Some(finished) = group.take() {
            add_row(
                finished.finish(plan, unique, &withheld, &last_groups),
                &mut skipped_bound,
            );
        }
    } else {
        for next in streams.by_ref() {
            // The rows arrive in sort order, so no row after this one is within the limit either.
            if !add_row(next?.1, &mut skipped_bound) {
                break;
            }
        }
    }
    let read = streams.rows_read();
    let (rows, cut_prefix, cut) = top_rows.finish();
    let hidden_prefix = earlier_prefix(
        plan,
        cut_prefix,
        bounds::lower_bound_of_unsent_rows(plan, &withheld),
    );
    Ok(MergeResult {
        rows,
        hidden_prefix,
        skipped_bound,
        read,
        dropped,
        cut,
    })
}

/// Checks a partial result and prepares it for a merge: sorts it, reduces the rows of each key to one, and truncates it
/// to the maximum number of rows of one source.
pub(crate) fn normalize(plan: &Plan, mut partial: Partial) -> Result<Partial, Error> {
    partial.check_rows(plan)?;
    check_order(plan, &partial)?;
    let name = partial.source.name.clone();
    if plan.unique.is_some() {
        let tokens: Vec<Token> = partial.origins.iter().map(|o| o.token).collect();
        let rows = sort_by_unique_key(plan, std::mem::take(&mut partial.rows));
        let input = Input {
            name,
            rows: rows.into_iter(),
            combined: partial.combined,
            withheld_prefix: None,
        };
        partial.rows = merge(plan, vec![input], &tokens, usize::MAX, None)?.rows;
        partial.combined |= partial.withheld_prefix.is_none();
    } else {
        partial.rows.sort_by(|a, b| plan.cmp_answer_order(a, b));
    }
    partial.sorted = true;
    if let Some(max_rows) = plan
        .rules
        .max_rows_per_source
        .filter(|_| partial.origins.len() == 1)
    {
        partial.truncate_rows(plan, usize::try_from(max_rows).unwrap_or(usize::MAX));
    }
    Ok(partial)
}

/// Sorts rows by their keys, as a merge of streams with keys needs them.
pub(crate) fn sort_by_unique_key(plan: &Plan, mut rows: Vec<Row>) -> Vec<Row> {
    rows.sort_by(|a, b| plan.cmp_unique_key(&a.values, &b.values));
    rows
}

#[cfg(test)]
mod tests;
