//! The merge itself: sorted streams of several sources become one, rows of one key become one row, and the first ones stay.
//! Memory grows with sources and with the limit, not with rows.

use crate::bounds::{self, nearer};
use crate::error::Error;
use crate::part::{Doubt, Partial, Range, Row, in_order, is_kept};
use crate::rules::{By, Guard, KeepBy, MOST_TIES, Plan, Ties, UniqueBy};
use crate::value::Value;
use plovercove_fencing::Token;
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Rows of one source, in the order that the merge needs ([`Plan::streamed`]).
pub struct Input<I> {
    /// The source's name, for errors.
    pub name: String,
    /// Its rows. Their `origin` is the place of their source among all, by name.
    pub rows: I,
    /// One row for each key, and none of them held back.
    pub combined: bool,
    /// It held rows back: none sorts before this beginning of a sort key.
    pub cut: Option<Vec<Value>>,
}

/// Where one source was cut.
#[derive(Clone, Debug)]
pub(crate) struct Cut {
    pub input: usize,
    pub edge: Vec<Value>,
    pub combined: bool,
}

impl Plan {
    /// How rows must come to a merge of streams: by key where there is one row for each key, else by the sort keys.
    pub fn streamed(&self, a: &Row, b: &Row) -> Ordering {
        if self.unique.is_some() {
            self.by_key(&a.values, &b.values)
        } else {
            self.by_sort(&a.values, &b.values)
        }
    }

    /// The order of an answer: sort keys, then content, then source. So every order of arrival gives the same.
    pub(crate) fn full(&self, a: &Row, b: &Row) -> Ordering {
        let order = self
            .by_sort(&a.values, &b.values)
            .then_with(|| a.values.cmp(&b.values));
        if self.rules.on(Guard::LastResort) {
            order.then(a.origin.cmp(&b.origin))
        } else {
            order
        }
    }

    /// Which of two rows with one key stays: less is better. Combined columns have no say, so that rows which were
    /// combined below are chosen among alike.
    fn choose(&self, unique: &UniqueBy, tokens: &[Token], a: &Row, b: &Row) -> Ordering {
        let token = |row: &Row| tokens.get(row.origin as usize).copied().unwrap_or_default();
        let kept = match unique.keep {
            KeepBy::First => Ordering::Equal,
            KeepBy::Token => token(b).cmp(&token(a)),
            KeepBy::Freshest(life, position) => {
                let of = |row: &Row, column: usize| row.values[column].clone();
                (of(b, life), of(b, position)).cmp(&(of(a, life), of(a, position)))
            }
        };
        let sorted = || {
            let keys = self.sort.iter().filter(|k| is_kept(self, k.column));
            keys.map(|k| k.cmp(&a.values[k.column], &b.values[k.column]))
                .find(|o| o.is_ne())
        };
        let content = || {
            let columns = (0..a.values.len()).filter(|c| is_kept(self, *c));
            columns
                .map(|c| a.values[c].cmp(&b.values[c]))
                .find(|o| o.is_ne())
        };
        kept.then_with(|| sorted().unwrap_or(Ordering::Equal))
            .then_with(|| content().unwrap_or(Ordering::Equal))
            .then(a.origin.cmp(&b.origin))
    }
}

struct Head<'p> {
    row: Row,
    input: usize,
    plan: &'p Plan,
}

impl Ord for Head<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        // A binary heap gives the greatest out; what comes first must be that.
        other
            .plan
            .streamed(&other.row, &self.row)
            .then(other.input.cmp(&self.input))
    }
}

impl PartialOrd for Head<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Head<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Head<'_> {}

/// Sorted streams as one: one row of each source is held. A row out of order ends it with an error.
pub struct Streams<'p, I> {
    plan: &'p Plan,
    heads: BinaryHeap<Head<'p>>,
    inputs: Vec<Input<I>>,
    read: Vec<u64>,
    failed: Option<Error>,
}

impl<'p, I: Iterator<Item = Row>> Streams<'p, I> {
    /// These sources, merged.
    pub fn new(plan: &'p Plan, mut inputs: Vec<Input<I>>) -> Self {
        let first = |(input, from): (usize, &mut Input<I>)| {
            from.rows.next().map(|row| Head { row, input, plan })
        };
        let heads = inputs.iter_mut().enumerate().filter_map(first).collect();
        let read = vec![0; inputs.len()];
        Streams {
            plan,
            heads,
            inputs,
            read,
            failed: None,
        }
    }

    /// Rows given out so far.
    pub fn read(&self) -> u64 {
        self.read.iter().sum()
    }
}

impl<I: Iterator<Item = Row>> Iterator for Streams<'_, I> {
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
        if self.plan.rules.on(Guard::Sorted) && self.plan.streamed(&head.row, &next).is_gt() {
            let source_name = self.inputs[input].name.clone();
            self.failed = Some(Error::Unsorted {
                source_name,
                row: self.read[input],
            });
        }
        Some(Ok((input, std::mem::replace(&mut head.row, next))))
    }
}

/// Rows of one key as they come.
struct Group {
    kept: Row,
    known: Vec<Value>,
    ranges: Vec<Range>,
    loose: Option<Vec<Value>>,
    of: u64,
    number: u64,
}

fn added(plan: &Plan, column: usize, a: &Value, b: &Value) -> Result<Value, Error> {
    let (a, b) = (a.int().unwrap_or(0), b.int().unwrap_or(0));
    let sum = if plan.rules.on(Guard::Overflow) {
        a.checked_add(b)
    } else {
        Some(a.wrapping_add(b))
    };
    let overflow = || Error::Overflow {
        column: plan.rules.columns[column].clone(),
    };
    Ok(Value::Int(sum.ok_or_else(overflow)?))
}

fn chosen(by: By, a: Value, b: Value) -> Value {
    match (a, b) {
        (Value::Absent, other) | (other, Value::Absent) => other,
        (a, b) if by == By::Lowest => a.min(b),
        (a, b) => a.max(b),
    }
}

/// A combined column of one row: a count of rows where none is told, a sum that is never absent.
fn own(by: By, value: &Value) -> Value {
    match (by, value) {
        (By::Count, Value::Absent) => Value::Int(1),
        (By::Sum, Value::Absent) => Value::Int(0),
        _ => value.clone(),
    }
}

impl Group {
    fn new(plan: &Plan, unique: &UniqueBy, row: Row, number: u64) -> Group {
        let known: Vec<Value> = unique
            .combine
            .iter()
            .map(|c| own(c.by, &row.values[c.column]))
            .collect();
        let (mut kept, mut ranges, mut loose) =
            (row, known.iter().map(Range::exact).collect(), None);
        if let Some(doubt) = kept.doubt.take() {
            (ranges, loose) = (doubt.ranges, doubt.loose.filter(|_| plan.keeps()));
        }
        Group {
            of: kept.of,
            kept,
            known,
            ranges,
            loose,
            number,
        }
    }

    fn add(
        &mut self,
        plan: &Plan,
        unique: &UniqueBy,
        tokens: &[Token],
        other: Group,
    ) -> Result<(), Error> {
        for (i, combine) in unique.combine.iter().enumerate() {
            let (range, more) = (&mut self.ranges[i], &other.ranges[i]);
            if matches!(combine.by, By::Sum | By::Count) {
                self.known[i] = added(plan, combine.column, &self.known[i], &other.known[i])?;
                let end = |a: &Option<Value>, b: &Option<Value>| match (a, b) {
                    (Some(a), Some(b)) => added(plan, combine.column, a, b).map(Some),
                    _ => Ok(None),
                };
                *range = Range {
                    low: end(&range.low, &more.low)?,
                    high: end(&range.high, &more.high)?,
                };
            } else {
                self.known[i] = chosen(combine.by, self.known[i].clone(), other.known[i].clone());
                let end = |a: &Option<Value>, b: &Option<Value>| {
                    Some(chosen(combine.by, a.clone()?, b.clone()?))
                };
                *range = Range {
                    low: end(&range.low, &more.low),
                    high: end(&range.high, &more.high),
                };
            }
        }
        self.loose = nearer(plan, self.loose.take(), other.loose);
        self.of = self.of.saturating_add(other.of);
        if plan.choose(unique, tokens, &other.kept, &self.kept).is_lt() {
            self.kept = other.kept;
        }
        Ok(())
    }

    /// The row, with what those that were cut may hold back for its key.
    fn finish(mut self, plan: &Plan, unique: &UniqueBy, cuts: &[Cut], spoke: &[u64]) -> Row {
        let mut doubted = self.loose.is_some();
        for cut in cuts
            .iter()
            .filter(|c| !(c.combined && spoke[c.input] == self.number))
        {
            for (combine, range) in unique.combine.iter().zip(&mut self.ranges) {
                bounds::widen(plan, combine, range, cut);
            }
            // What sorts later than the one that is first already does not take its place.
            let first = matches!(unique.keep, KeepBy::First) && plan.first_combined().is_none();
            let own = plan.key_of(&self.kept.values);
            let later = first && bounds::along(plan, &own, &cut.edge).is_lt();
            if plan.keeps() && !later {
                let until = plan
                    .first_combined()
                    .unwrap_or(plan.sort.len())
                    .min(cut.edge.len());
                self.loose = nearer(plan, self.loose.take(), Some(cut.edge[..until].to_vec()));
                doubted = true;
            }
        }
        doubted |= !self.ranges.iter().all(Range::is_exact);
        for (combine, value) in unique.combine.iter().zip(self.known) {
            self.kept.values[combine.column] = value;
        }
        self.kept.of = self.of;
        self.kept.doubt = doubted.then(|| {
            Box::new(Doubt {
                ranges: self.ranges,
                loose: self.loose,
            })
        });
        self.kept
    }
}

/// What a merge makes.
pub(crate) struct Merged {
    /// Rows in order, those before the page among them.
    pub rows: Vec<Row>,
    /// Nothing that is not listed is nearer than this; none where nothing is hidden.
    pub hidden: Option<Vec<Value>>,
    /// How far what the cursor passed over can truly lie.
    pub passed: Option<bounds::Worst>,
    /// Rows read, and rows that went into others of their key.
    pub read: u64,
    pub dropped: u64,
    /// Rows (after deduplication) that the limit cut; a merge without keys stops reading there and counts one.
    pub cut: u64,
}

/// The first rows by order, as many as the limit allows.
struct First<'p> {
    plan: &'p Plan,
    rows: BinaryHeap<Ordered<'p>>,
    ties: BinaryHeap<Ordered<'p>>,
    hold: usize,
    edge: Option<Vec<Value>>,
    cut: u64,
}

struct Ordered<'p>(Row, &'p Plan);

impl Ord for Ordered<'_> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.1.full(&self.0, &other.0)
    }
}

impl PartialOrd for Ordered<'_> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Ordered<'_> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Ordered<'_> {}

impl<'p> First<'p> {
    fn evict(&mut self, row: &Row) {
        self.cut += 1;
        if !self.plan.rules.on(Guard::OwnCut) {
            return;
        }
        // Most that is cut is sure, and lies later than what was cut already: nothing is allocated for it.
        let nearer_by = |edge: &Vec<Value>| {
            let each = self.plan.sort.iter().zip(edge);
            each.map(|(k, v)| k.cmp(&row.values[k.column], v))
                .find(|o| o.is_ne())
                .is_some_and(Ordering::is_lt)
        };
        if row.doubt.is_some() || self.edge.as_ref().is_none_or(nearer_by) {
            self.edge = nearer(
                self.plan,
                self.edge.take(),
                Some(bounds::best(self.plan, row)),
            );
        }
    }

    /// Takes a row; false where no later one (by the sort keys) can have a place.
    fn push(&mut self, row: Row) -> bool {
        let plan = self.plan;
        if self.rows.len() < self.hold {
            self.rows.push(Ordered(row, plan));
            return true;
        }
        let out = match self.rows.peek_mut() {
            Some(mut last) if plan.full(&row, &last.0).is_lt() => {
                std::mem::replace(&mut last.0, row)
            }
            _ => row,
        };
        let Some(last) = self.rows.peek().map(|l| plan.key_of(&l.0.values)) else {
            return false;
        };
        let tied = |row: &Row| bounds::along(plan, &plan.key_of(&row.values), &last).is_eq();
        if self.ties.peek().is_some_and(|t| !tied(&t.0)) {
            for old in std::mem::take(&mut self.ties) {
                self.evict(&old.0);
            }
        }
        if plan.rules.ties == Ties::Keep && tied(&out) {
            self.ties.push(Ordered(out, plan));
            if self.ties.len() > MOST_TIES
                && let Some(most) = self.ties.pop()
            {
                self.evict(&most.0);
            }
            return true;
        }
        let later = !tied(&out);
        self.evict(&out);
        !later
    }

    fn finish(self) -> (Vec<Row>, Option<Vec<Value>>, u64) {
        let mut rows: Vec<Row> = self
            .rows
            .into_sorted_vec()
            .into_iter()
            .map(|o| o.0)
            .collect();
        rows.extend(self.ties.into_sorted_vec().into_iter().map(|o| o.0));
        (rows, self.edge, self.cut)
    }
}

/// Where a page begins: after these values, and of rows that are equal to them with this source.
pub(crate) struct After {
    pub values: Vec<Value>,
    pub origin: u32,
}

impl After {
    fn passes(&self, plan: &Plan, row: &Row) -> bool {
        let order = plan
            .by_sort(&row.values, &self.values)
            .then_with(|| row.values.cmp(&self.values));
        order.is_lt() || order.is_eq() && row.origin < self.origin
    }
}

/// Merges streams by the rules: everything but offset and bytes. `tokens` are those of the sources, by name.
pub(crate) fn merge<I: Iterator<Item = Row>>(
    plan: &Plan,
    inputs: Vec<Input<I>>,
    tokens: &[Token],
    hold: usize,
    after: Option<&After>,
) -> Result<Merged, Error> {
    let cut = |(input, from): (usize, &Input<I>)| {
        let edge = from
            .cut
            .clone()
            .filter(|_| plan.rules.on(Guard::Threshold))?;
        Some(Cut {
            input,
            edge,
            combined: from.combined,
        })
    };
    let cuts: Vec<Cut> = inputs.iter().enumerate().filter_map(cut).collect();
    let combined: Vec<bool> = inputs.iter().map(|i| i.combined).collect();
    let names: Vec<String> = inputs.iter().map(|i| i.name.clone()).collect();
    let mut streams = Streams::new(plan, inputs);
    let mut first = First {
        plan,
        rows: BinaryHeap::new(),
        ties: BinaryHeap::new(),
        hold,
        edge: None,
        cut: 0,
    };
    let (mut passed, mut dropped) = (None, 0);
    let mut place = |row: Row, passed: &mut Option<bounds::Worst>| {
        if after.is_some_and(|after| after.passes(plan, &row)) {
            *passed = Some(bounds::further(
                plan,
                passed.take(),
                bounds::worst(plan, &row),
            ));
            return true;
        }
        first.push(row)
    };
    if let Some(unique) = &plan.unique {
        let mut spoke = vec![0_u64; combined.len()];
        let (mut group, mut number): (Option<Group>, u64) = (None, 0);
        while let Some(next) = streams.next() {
            let (input, row) = next?;
            let same = group
                .as_ref()
                .is_some_and(|g| plan.by_key(&g.kept.values, &row.values).is_eq());
            if same && combined[input] && spoke[input] == number && plan.rules.on(Guard::Collide) {
                return Err(Error::Colliding {
                    source_name: names[input].clone(),
                    row: streams.read[input] - 1,
                });
            }
            if same && let Some(group) = &mut group {
                group.add(plan, unique, tokens, Group::new(plan, unique, row, number))?;
                dropped += 1;
            } else {
                if let Some(done) = group.take() {
                    place(done.finish(plan, unique, &cuts, &spoke), &mut passed);
                }
                number += 1;
                group = Some(Group::new(plan, unique, row, number));
            }
            spoke[input] = number;
        }
        if let Some(done) = group.take() {
            place(done.finish(plan, unique, &cuts, &spoke), &mut passed);
        }
    } else {
        for next in streams.by_ref() {
            // Streams come by the sort keys, so nothing after this one has a place either.
            if !place(next?.1, &mut passed) {
                break;
            }
        }
    }
    let read = streams.read();
    let (rows, edge, cut) = first.finish();
    let hidden = nearer(plan, edge, bounds::unsent(plan, &cuts));
    Ok(Merged {
        rows,
        hidden,
        passed,
        read,
        dropped,
        cut,
    })
}

/// One partial as it is merged: checked, in order, one row for each key, its first `each` rows.
pub(crate) fn tidy(plan: &Plan, mut partial: Partial) -> Result<Partial, Error> {
    partial.fits(plan)?;
    in_order(plan, &partial)?;
    let name = partial.source.name.clone();
    if plan.unique.is_some() {
        let tokens: Vec<Token> = partial.origins.iter().map(|o| o.token).collect();
        let rows = by_key(plan, std::mem::take(&mut partial.rows));
        let input = Input {
            name,
            rows: rows.into_iter(),
            combined: partial.combined,
            cut: None,
        };
        partial.rows = merge(plan, vec![input], &tokens, usize::MAX, None)?.rows;
        partial.combined |= partial.cut.is_none();
    } else {
        partial.rows.sort_by(|a, b| plan.full(a, b));
    }
    partial.sorted = true;
    if let Some(each) = plan.rules.each.filter(|_| partial.origins.len() == 1) {
        partial.cut_to(plan, usize::try_from(each).unwrap_or(usize::MAX));
    }
    Ok(partial)
}

/// Rows in the order of their keys, as a merge of streams with keys takes them.
pub(crate) fn by_key(plan: &Plan, mut rows: Vec<Row>) -> Vec<Row> {
    rows.sort_by(|a, b| plan.by_key(&a.values, &b.values));
    rows
}

#[cfg(test)]
mod tests;
