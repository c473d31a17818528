//! One answer: rows in their places, what is sure of them, whom it is from and who is missing.

use crate::bounds::{self, Worst};
use crate::error::Error;
use crate::merge::{After, Input, by_key, merge};
use crate::part::{Partial, Range, Row, Source};
use crate::rules::{Guard, Need, Plan, Ties};
use crate::value::Value;
use plovercove_fencing::Token;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Where the next page begins: after the last row of this one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cursor {
    /// That row.
    pub values: Vec<Value>,
    /// Its source.
    pub source: String,
}

/// One row of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placed {
    /// Its values, in the places of the rules' columns. A combined column has what was made of the rows that came.
    pub values: Vec<Value>,
    /// Whose row it is; of combined rows, whose stayed.
    pub source: String,
    /// Of how many rows it was made: those that came, so there may be more where a part was cut. All but one were dropped or
    /// combined.
    pub of: u64,
    /// It truly stands in this place among all that the sources that answered hold.
    pub certain: bool,
    /// What each combined column can truly be, in the order of `combine`; empty where all is sure.
    pub ranges: Vec<Range>,
    /// Another row may truly stay for this key: its other columns are not sure.
    pub loose: bool,
}

/// Why a source is missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Why {
    /// Nothing came.
    Silent,
    /// Some of its pieces came.
    Incomplete {
        /// How many.
        have: u32,
        /// Of how many.
        of: u32,
    },
    /// What came was refused.
    Refused(Error),
    /// Somebody who answered missed it.
    Below {
        /// Who.
        by: String,
    },
}

/// A source that answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    /// Who.
    pub source: Source,
    /// How old the oldest of its part was (ms).
    pub age_ms: u64,
    /// It held rows back.
    pub cut: bool,
    /// How many rows it holds, if it said so.
    pub held: Option<u64>,
    /// It answered more than once; the newest counts.
    pub again: bool,
    /// Its token or life changed between its answers.
    pub changed: bool,
}

/// What was done, in rows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Rows read.
    pub read: u64,
    /// Rows that went into another of their key.
    pub dropped: u64,
    /// Rows that the limits cut, as far as they were read.
    pub cut: u64,
}

/// The answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Its rows.
    pub rows: Vec<Placed>,
    /// No row that is not here (and not before this page) truly sorts before this beginning of a sort key. Empty: nothing is
    /// known. None: no other row is there.
    pub hidden: Option<Vec<Value>>,
    /// Who answered, by name.
    pub answered: Vec<Answered>,
    /// Who is missing, by name. What they hold is in no bound.
    pub missing: BTreeMap<String, Why>,
    /// As many answered as the rules need.
    pub enough: bool,
    /// The age of the oldest part (ms).
    pub oldest_ms: u64,
    /// What was done.
    pub tally: Tally,
    /// Where the next page begins, if rows were cut.
    pub next: Option<Cursor>,
    /// It begins with the first row: it can be merged again.
    first_page: bool,
    origins: Vec<Source>,
    inner: Vec<Row>,
}

impl Answer {
    /// This answer as what one source sends to a higher merge.
    ///
    /// # Errors
    /// [`Error::MiddlePage`]: rows before it are not here.
    pub fn partial(&self, source: Source, round: u32) -> Result<Partial, Error> {
        if !self.first_page {
            return Err(Error::MiddlePage);
        }
        Ok(Partial {
            source,
            round,
            age_ms: self.oldest_ms,
            sorted: true,
            combined: true,
            cut: self.hidden.clone(),
            held: None,
            origins: self.origins.clone(),
            missing: self.missing.keys().cloned().collect(),
            rows: self.inner.clone(),
        })
    }

    /// Whether nobody is missing and nothing was held back or cut.
    pub fn is_whole(&self) -> bool {
        self.missing.is_empty() && self.hidden.is_none()
    }
}

/// What is known of one source when a gathering closes.
pub(crate) struct Asked {
    pub name: String,
    pub partial: Option<Partial>,
    pub why: Option<Why>,
    pub again: bool,
    pub changed: bool,
}

/// Whose parts are merged: two that speak for the same source are not added up. The one that speaks for more goes first, so
/// that it does not depend on who came first.
fn apart(plan: &Plan, asked: &mut [Asked]) {
    let mut order: Vec<usize> = (0..asked.len())
        .filter(|i| asked[*i].partial.is_some())
        .collect();
    let origins = |a: &Asked| a.partial.as_ref().map_or(0, |p| p.origins.len());
    order.sort_by_key(|i| (std::cmp::Reverse(origins(&asked[*i])), *i));
    let mut spoken: BTreeSet<String> = BTreeSet::new();
    for i in order {
        let Some(partial) = &asked[i].partial else {
            continue;
        };
        let both = partial.origins.iter().find(|o| spoken.contains(&o.name));
        if let Some(origin) = both.filter(|_| plan.rules.on(Guard::Overlap)) {
            let origin = origin.name.clone();
            let error = Error::Overlaps {
                source_name: asked[i].name.clone(),
                origin,
            };
            (asked[i].partial, asked[i].why) = (None, Some(Why::Refused(error)));
            continue;
        }
        spoken.extend(partial.origins.iter().map(|o| o.name.clone()));
    }
}

/// The answer of what came.
pub(crate) fn conclude(
    plan: &Plan,
    mut asked: Vec<Asked>,
    after: Option<&Cursor>,
) -> Result<Answer, Error> {
    apart(plan, &mut asked);
    let mut missing = BTreeMap::new();
    let mut origins: BTreeMap<String, Source> = BTreeMap::new();
    let (mut parts, mut answered, expected) = (Vec::new(), Vec::new(), asked.len());
    for one in asked {
        let Some(partial) = one.partial else {
            missing.insert(one.name, one.why.unwrap_or(Why::Silent));
            continue;
        };
        for name in &partial.missing {
            missing.entry(name.clone()).or_insert(Why::Below {
                by: one.name.clone(),
            });
        }
        origins.extend(partial.origins.iter().map(|o| (o.name.clone(), o.clone())));
        answered.push(Answered {
            source: partial.source.clone(),
            age_ms: partial.age_ms,
            cut: partial.cut.is_some(),
            held: partial.held,
            again: one.again,
            changed: one.changed,
        });
        parts.push(partial);
    }
    let origins: Vec<Source> = origins.into_values().collect();
    let tokens: Vec<Token> = origins.iter().map(|o| o.token).collect();
    let place = |name: &str| origins.partition_point(|o| o.name.as_str() < name) as u32;
    let inputs = parts.into_iter().map(|partial| {
        // Names are in order in each part, so the order of its rows stays.
        let places: Vec<u32> = partial.origins.iter().map(|o| place(&o.name)).collect();
        let rows = partial
            .rows
            .into_iter()
            .map(|r| Row {
                origin: places[r.origin as usize],
                ..r
            })
            .collect();
        let rows = if plan.unique.is_some() {
            by_key(plan, rows)
        } else {
            rows
        };
        let name = partial.source.name;
        Input {
            name,
            rows: rows.into_iter(),
            combined: partial.combined,
            cut: partial.cut,
        }
    });
    let from = after.map(|c| {
        let at = place(&c.source);
        let there = origins.get(at as usize).is_some_and(|o| o.name == c.source);
        After {
            values: c.values.clone(),
            origin: at + u32::from(there),
        }
    });
    let merged = merge(plan, inputs.collect(), &tokens, plan.hold, from.as_ref())?;
    let mut tally = Tally {
        read: merged.read,
        dropped: merged.dropped,
        cut: merged.cut,
    };
    let (mut rows, mut hidden) = (merged.rows, merged.hidden);
    let offset = usize::try_from(plan.rules.offset)
        .unwrap_or(usize::MAX)
        .min(rows.len());
    let fit = within_bytes(plan, &rows[offset..]) + offset;
    if fit < rows.len() {
        let edges = rows[fit..].iter().map(|row| Some(bounds::best(plan, row)));
        let edge = edges.fold(None, |a, b| bounds::nearer(plan, a, b));
        hidden = bounds::nearer(plan, hidden, edge.filter(|_| plan.rules.on(Guard::OwnCut)));
        tally.cut += (rows.len() - fit) as u64;
        rows.truncate(fit);
    }
    let certain = certain(plan, &rows, merged.passed, hidden.as_deref());
    let listed = rows.iter().zip(certain).skip(offset);
    let placed = listed.map(|(row, certain)| Placed {
        values: row.values.clone(),
        source: origins
            .get(row.origin as usize)
            .map(|o| o.name.clone())
            .unwrap_or_default(),
        of: row.of,
        certain,
        ranges: row.doubt.as_ref().map_or(Vec::new(), |d| d.ranges.clone()),
        loose: row.doubt.as_ref().is_some_and(|d| d.loose.is_some()),
    });
    let placed: Vec<Placed> = placed.collect();
    let next = placed.last().filter(|_| tally.cut > 0);
    let next = next.map(|row| Cursor {
        values: row.values.clone(),
        source: row.source.clone(),
    });
    let enough = match plan.rules.need {
        Need::Any => true,
        Need::Least(least) => answered.len() >= least as usize,
        Need::All => answered.len() == expected && missing.is_empty(),
    };
    let oldest_ms = answered.iter().map(|a| a.age_ms).max().unwrap_or(0);
    let first_page = offset == 0 && after.is_none();
    Ok(Answer {
        rows: placed,
        hidden,
        answered,
        missing,
        enough,
        oldest_ms,
        tally,
        next,
        first_page,
        origins,
        inner: rows,
    })
}

/// How many rows fit in the bytes that the answer may have.
fn within_bytes(plan: &Plan, rows: &[Row]) -> usize {
    let Some(most) = plan.rules.bytes else {
        return rows.len();
    };
    let mut left = most;
    let size = |row: &Row| {
        postcard::experimental::serialized_size(&row.values).unwrap_or(usize::MAX) as u64
    };
    let fits = |row: &&Row| {
        let rest = left.checked_sub(size(row));
        left = rest.unwrap_or(0);
        rest.is_some()
    };
    let fit = rows.iter().take_while(fits).count();
    // What ties with a row that was cut is cut with it, where ties belong together.
    let apart = |at: &usize| {
        plan.by_sort(&rows[*at - 1].values, &rows[*at].values)
            .is_ne()
    };
    if plan.rules.ties == Ties::Keep && fit < rows.len() {
        return (1..=fit).rev().find(apart).unwrap_or(0);
    }
    fit
}

/// Which rows surely stand in their place: after all before them, before all after them, and before all that is hidden.
fn certain(
    plan: &Plan,
    rows: &[Row],
    passed: Option<Worst>,
    hidden: Option<&[Value]>,
) -> Vec<bool> {
    let bests: Vec<Vec<Value>> = rows.iter().map(|row| bounds::best(plan, row)).collect();
    let worsts: Vec<Worst> = rows.iter().map(|row| bounds::worst(plan, row)).collect();
    let exact: Vec<bool> = rows.iter().map(|row| row.doubt.is_none()).collect();
    let mut sure = vec![true; rows.len()];
    let mut furthest = passed;
    for i in 0..rows.len() {
        sure[i] &= furthest
            .as_ref()
            .is_none_or(|worst| bounds::before(plan, worst, &bests[i], exact[i]));
        furthest = Some(bounds::further(plan, furthest, worsts[i].clone()));
    }
    // Of two that are equally near, the one in doubt leaves more room; hidden rows are always in doubt.
    let mut nearest = hidden.map(|edge| (edge.to_vec(), false));
    for i in (0..rows.len()).rev() {
        sure[i] &= nearest
            .as_ref()
            .is_none_or(|(best, exact)| bounds::before(plan, &worsts[i], best, *exact));
        let own = (bests[i].clone(), exact[i]);
        nearest = Some(match nearest {
            None => own,
            Some(other) => {
                let order = bounds::along(plan, &own.0, &other.0);
                let order = order
                    .then(own.0.len().cmp(&other.0.len()))
                    .then(own.1.cmp(&other.1));
                if order.is_le() { own } else { other }
            }
        });
    }
    sure
}
