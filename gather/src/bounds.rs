//! Bounds that are true whatever rows the sources withheld. A bound on the sort key of a row is a *prefix*: the first
//! values of a sort key, which stand for all sort keys that begin with them. An empty prefix allows any sort key.

use crate::merge::Withheld;
use crate::part::{Range, Row};
use crate::rules::{Aggregate, CombinedColumn, KeptRow, Plan, Role};
use crate::value::Value;
use std::cmp::Ordering;

/// Compares two prefixes by the columns that both have.
pub(crate) fn cmp_prefixes(plan: &Plan, a: &[Value], b: &[Value]) -> Ordering {
    let each = plan.sort.iter().zip(a.iter().zip(b));
    each.map(|(k, (a, b))| k.cmp(a, b))
        .find(|o| o.is_ne())
        .unwrap_or(Ordering::Equal)
}

/// Returns the prefix that sorts first. If one is the beginning of the other, returns the shorter one, which allows
/// more.
pub(crate) fn earlier_prefix(
    plan: &Plan,
    a: Option<Vec<Value>>,
    b: Option<Vec<Value>>,
) -> Option<Vec<Value>> {
    match (a, b) {
        (Some(a), Some(b)) => {
            let order = cmp_prefixes(plan, &a, &b).then(a.len().cmp(&b.len()));
            Some(if order.is_le() { a } else { b })
        }
        (a, b) => a.or(b),
    }
}

/// The last sort key that a row can have.
#[derive(Clone, Debug)]
pub(crate) struct UpperBound {
    prefix: Vec<Value>,
    /// Whether this is the known sort key of the row.
    exact: bool,
}

/// Returns the bound that sorts last. If one prefix is the beginning of the other, returns the shorter one.
pub(crate) fn later_bound(plan: &Plan, a: Option<UpperBound>, b: UpperBound) -> UpperBound {
    let Some(a) = a else { return b };
    let order = cmp_prefixes(plan, &a.prefix, &b.prefix)
        .then(b.prefix.len().cmp(&a.prefix.len()))
        .then(b.exact.cmp(&a.exact));
    if order.is_ge() { a } else { b }
}

/// Returns whether a row with the upper bound `earlier` surely precedes a row with the lower bound `later`. Two rows
/// with known sort keys that are equal are in the order in which they are listed; `later_is_exact` says that `later` is
/// a known sort key.
pub(crate) fn is_surely_before(
    plan: &Plan,
    earlier: &UpperBound,
    later: &[Value],
    later_is_exact: bool,
) -> bool {
    match cmp_prefixes(plan, &earlier.prefix, later) {
        Ordering::Less => true,
        Ordering::Equal => earlier.exact && later_is_exact,
        Ordering::Greater => false,
    }
}

/// Returns the first sort key that a row can have.
pub(crate) fn lower_bound(plan: &Plan, row: &Row) -> Vec<Value> {
    if row.uncertainty.is_none() {
        return plan.sort_key_of(&row.values);
    }
    let prefix = bound_prefix(plan, row, true);
    let Some(replacement) = row
        .uncertainty
        .as_ref()
        .and_then(|d| d.replacement_prefix.clone())
    else {
        return prefix;
    };
    // Another row that is kept instead has its own values in the sort columns before the first combined one.
    let column_count = plan.first_combined().unwrap_or(plan.sort.len());
    let only_key = (0..column_count).all(|i| role_of_sort_column(plan, i) == Role::Key);
    if only_key {
        return prefix;
    }
    let known: Vec<Value> = plan.sort[..column_count]
        .iter()
        .map(|k| row.values[k.column].clone())
        .collect();
    earlier_prefix(plan, Some(known), Some(replacement)).unwrap_or_default()
}

/// Returns the last sort key that a row can have.
pub(crate) fn upper_bound(plan: &Plan, row: &Row) -> UpperBound {
    if row.uncertainty.is_none() {
        return UpperBound {
            prefix: plan.sort_key_of(&row.values),
            exact: true,
        };
    }
    let keeps_first = plan
        .unique
        .as_ref()
        .is_some_and(|u| matches!(u.keep, KeptRow::First));
    if keeps_first && plan.first_combined().is_none() {
        // Another row that is kept instead sorts before this one.
        return UpperBound {
            prefix: plan.sort_key_of(&row.values),
            exact: false,
        };
    }
    UpperBound {
        prefix: bound_prefix(plan, row, false),
        exact: false,
    }
}

/// Returns the role of a sort column, by its index in the sort order.
fn role_of_sort_column(plan: &Plan, sort_index: usize) -> Role {
    plan.unique
        .as_ref()
        .map_or(Role::Kept, |u| u.roles[plan.sort[sort_index].column])
}

/// Returns the bound on the sort key of a row that is uncertain: the first possible sort key (`first`) or the last, up
/// to the first column that has no bound.
fn bound_prefix(plan: &Plan, row: &Row, first: bool) -> Vec<Value> {
    let Some(uncertainty) = &row.uncertainty else {
        return plan.sort_key_of(&row.values);
    };
    let mut prefix = Vec::new();
    for (i, by) in plan.sort.iter().enumerate() {
        match role_of_sort_column(plan, i) {
            Role::Key => prefix.push(row.values[by.column].clone()),
            Role::Kept if uncertainty.replacement_prefix.is_none() => {
                prefix.push(row.values[by.column].clone())
            }
            Role::Kept => break,
            Role::Combined(index) => {
                let range = &uncertainty.ranges[index];
                let end = if first == by.descending {
                    &range.high
                } else {
                    &range.low
                };
                // An absent value sorts before or after all others, so neither end of a range that includes it surely
                // sorts first.
                let includes_absent = [&range.low, &range.high]
                    .into_iter()
                    .any(|v| *v == Some(Value::Absent));
                match end {
                    Some(value) if !includes_absent || range.is_exact() => {
                        prefix.push(value.clone())
                    }
                    _ => break,
                }
            }
        }
    }
    prefix
}

/// Returns the most that the withheld rows of a source can add to a sum of one key. This has a bound if the rows are
/// sorted by that column with the highest first, so that no withheld row is above the prefix at which the source cut.
/// Without one row for each key there is no bound, since the source may withhold any number of rows of the key.
fn max_withheld_addend(plan: &Plan, combine: &CombinedColumn, withheld: &Withheld) -> Option<i128> {
    let first_sort = plan
        .sort
        .first()
        .filter(|k| k.column == combine.column && k.descending)?;
    if !withheld.combined {
        return None;
    }
    match withheld.prefix.first()? {
        Value::Int(n) => Some((*n).max(0)),
        Value::Absent if first_sort.absent_last => Some(0),
        _ => None,
    }
}

/// Widens the range of a combined column by what a source may withhold for the same key.
pub(crate) fn widen_range(
    plan: &Plan,
    combine: &CombinedColumn,
    range: &mut Range,
    withheld: &Withheld,
) {
    let first_value = || withheld.prefix.first().filter(|v| **v != Value::Absent);
    let sorted = plan.sort.first().filter(|k| k.column == combine.column);
    match combine.by {
        Aggregate::Sum | Aggregate::Count => {
            if !combine.non_negative {
                range.low = None;
            }
            let max_addend = max_withheld_addend(plan, combine, withheld);
            range.high = range
                .high
                .take()
                .and_then(|h| Some(Value::Int(h.int()?.checked_add(max_addend?)?)));
        }
        Aggregate::Highest => {
            let highest = sorted.filter(|k| k.descending).and_then(|_| first_value());
            range.high = range
                .high
                .take()
                .and_then(|h| Some(h.max(highest?.clone())));
        }
        Aggregate::Lowest => {
            let lowest = sorted.filter(|k| !k.descending).and_then(|_| first_value());
            range.low = range.low.take().and_then(|l| {
                if l == Value::Absent {
                    None
                } else {
                    Some(l.min(lowest?.clone()))
                }
            });
            // All values that came are absent, so the withheld ones may be anything.
            if range.low.is_none() && range.high == Some(Value::Absent) {
                range.high = None;
            }
        }
    }
}

/// Returns the first sort key that a row which no source sent can have; `None` if no source withheld rows.
pub(crate) fn lower_bound_of_unsent_rows(plan: &Plan, withheld: &[Withheld]) -> Option<Vec<Value>> {
    if withheld.is_empty() {
        return None;
    }
    let earliest = |max_columns: usize| {
        let prefixes = withheld
            .iter()
            .map(|c| Some(c.prefix[..c.prefix.len().min(max_columns)].to_vec()));
        prefixes.fold(None, |a, b| earlier_prefix(plan, a, b))
    };
    let (Some(unique), Some(sort_index)) = (&plan.unique, plan.first_combined()) else {
        return earliest(plan.sort.len());
    };
    let sort_column = plan.sort[sort_index];
    let Role::Combined(index) = unique.roles[sort_column.column] else {
        return Some(Vec::new());
    };
    let combine = &unique.combine[index];
    if sort_index > 0 {
        return earliest(sort_index);
    }
    Some(match combine.by {
        Aggregate::Lowest | Aggregate::Highest => return earliest(1),
        Aggregate::Sum | Aggregate::Count if sort_column.descending => {
            let sum = withheld.iter().try_fold(0_i128, |sum, c| {
                sum.checked_add(max_withheld_addend(plan, combine, c)?)
            });
            sum.map(Value::Int).into_iter().collect()
        }
        Aggregate::Sum | Aggregate::Count if combine.non_negative => vec![Value::Int(0)],
        Aggregate::Sum | Aggregate::Count => Vec::new(),
    })
}
