//! What is true whatever was held back. The beginning of a sort key (an *edge*) stands for all keys that begin so: an empty
//! one says nothing.

use crate::merge::Cut;
use crate::part::{Range, Row};
use crate::rules::{By, CombineBy, KeepBy, Plan, Role};
use crate::value::Value;
use std::cmp::Ordering;

/// Two edges as far as both go.
pub(crate) fn along(plan: &Plan, a: &[Value], b: &[Value]) -> Ordering {
    let each = plan.sort.iter().zip(a.iter().zip(b));
    each.map(|(k, (a, b))| k.cmp(a, b))
        .find(|o| o.is_ne())
        .unwrap_or(Ordering::Equal)
}

/// The edge that lies first: of two that agree, the shorter one, which leaves more room.
pub(crate) fn nearer(
    plan: &Plan,
    a: Option<Vec<Value>>,
    b: Option<Vec<Value>>,
) -> Option<Vec<Value>> {
    match (a, b) {
        (Some(a), Some(b)) => {
            let order = along(plan, &a, &b).then(a.len().cmp(&b.len()));
            Some(if order.is_le() { a } else { b })
        }
        (a, b) => a.or(b),
    }
}

/// The furthest edge a row can truly lie at, and whether nothing is open about it.
#[derive(Clone, Debug)]
pub(crate) struct Worst {
    edge: Vec<Value>,
    exact: bool,
}

/// The one that lies last.
pub(crate) fn further(plan: &Plan, a: Option<Worst>, b: Worst) -> Worst {
    let Some(a) = a else { return b };
    let order = along(plan, &a.edge, &b.edge)
        .then(b.edge.len().cmp(&a.edge.len()))
        .then(b.exact.cmp(&a.exact));
    if order.is_ge() { a } else { b }
}

/// Whether what lies at `worst` at the furthest is before what lies at `best` at the nearest. Two rows of which all is known
/// stand as they are listed.
pub(crate) fn before(plan: &Plan, worst: &Worst, best: &[Value], exact: bool) -> bool {
    match along(plan, &worst.edge, best) {
        Ordering::Less => true,
        Ordering::Equal => worst.exact && exact,
        Ordering::Greater => false,
    }
}

/// Where a row can truly lie at the nearest.
pub(crate) fn best(plan: &Plan, row: &Row) -> Vec<Value> {
    if row.doubt.is_none() {
        return plan.key_of(&row.values);
    }
    let edge = walk(plan, row, true);
    let Some(loose) = row.doubt.as_ref().and_then(|d| d.loose.clone()) else {
        return edge;
    };
    // A row that takes its place brings its own sort key, but for the combined columns.
    let until = plan.first_combined().unwrap_or(plan.sort.len());
    let only_key = (0..until).all(|i| role(plan, i) == Role::Key);
    if only_key {
        return edge;
    }
    let own: Vec<Value> = plan.sort[..until]
        .iter()
        .map(|k| row.values[k.column].clone())
        .collect();
    nearer(plan, Some(own), Some(loose)).unwrap_or_default()
}

/// Where a row can truly lie at the furthest.
pub(crate) fn worst(plan: &Plan, row: &Row) -> Worst {
    if row.doubt.is_none() {
        return Worst {
            edge: plan.key_of(&row.values),
            exact: true,
        };
    }
    let first = plan
        .unique
        .as_ref()
        .is_some_and(|u| matches!(u.keep, KeepBy::First));
    if first && plan.first_combined().is_none() {
        // Whatever takes its place sorts before it.
        return Worst {
            edge: plan.key_of(&row.values),
            exact: false,
        };
    }
    Worst {
        edge: walk(plan, row, false),
        exact: false,
    }
}

fn role(plan: &Plan, sort: usize) -> Role {
    plan.unique
        .as_ref()
        .map_or(Role::Kept, |u| u.roles[plan.sort[sort].column])
}

/// The sort key of a row in doubt, column by column, as far as it can be said.
fn walk(plan: &Plan, row: &Row, best: bool) -> Vec<Value> {
    let Some(doubt) = &row.doubt else {
        return plan.key_of(&row.values);
    };
    let mut edge = Vec::new();
    for (i, by) in plan.sort.iter().enumerate() {
        match role(plan, i) {
            Role::Key => edge.push(row.values[by.column].clone()),
            Role::Kept if doubt.loose.is_none() => edge.push(row.values[by.column].clone()),
            Role::Kept => break,
            Role::Combined(at) => {
                let range = &doubt.ranges[at];
                let end = if best == by.down {
                    &range.high
                } else {
                    &range.low
                };
                // An absent value sorts apart from the others, so a range with one has no end that is surely its first.
                let apart = [&range.low, &range.high]
                    .into_iter()
                    .any(|v| *v == Some(Value::Absent));
                match end {
                    Some(value) if !apart || range.is_exact() => edge.push(value.clone()),
                    _ => break,
                }
            }
        }
    }
    edge
}

/// What a source that was cut can add to a sum at the most: it sorts by that column, highest first, so what it holds back is
/// not above where it cut. Without one row for each key it may hold any number of them back.
fn most_added(plan: &Plan, combine: &CombineBy, cut: &Cut) -> Option<i128> {
    let first = plan
        .sort
        .first()
        .filter(|k| k.column == combine.column && k.down)?;
    if !cut.combined {
        return None;
    }
    match cut.edge.first()? {
        Value::Int(n) => Some((*n).max(0)),
        Value::Absent if first.last => Some(0),
        _ => None,
    }
}

/// What one combined column can be when this source may hold something back for the same key.
pub(crate) fn widen(plan: &Plan, combine: &CombineBy, range: &mut Range, cut: &Cut) {
    let edge = || cut.edge.first().filter(|v| **v != Value::Absent);
    let sorted = plan.sort.first().filter(|k| k.column == combine.column);
    match combine.by {
        By::Sum | By::Count => {
            if !combine.floor {
                range.low = None;
            }
            let more = most_added(plan, combine, cut);
            range.high = range
                .high
                .take()
                .and_then(|h| Some(Value::Int(h.int()?.checked_add(more?)?)));
        }
        By::Highest => {
            let most = sorted.filter(|k| k.down).and_then(|_| edge());
            range.high = range.high.take().and_then(|h| Some(h.max(most?.clone())));
        }
        By::Lowest => {
            let least = sorted.filter(|k| !k.down).and_then(|_| edge());
            range.low = range.low.take().and_then(|l| {
                if l == Value::Absent {
                    None
                } else {
                    Some(l.min(least?.clone()))
                }
            });
            // Nothing was there at all: what was held back may be anything.
            if range.low.is_none() && range.high == Some(Value::Absent) {
                range.high = None;
            }
        }
    }
}

/// Where a row that no source sent can lie at the nearest; none where nothing was held back.
pub(crate) fn unsent(plan: &Plan, cuts: &[Cut]) -> Option<Vec<Value>> {
    if cuts.is_empty() {
        return None;
    }
    let nearest = |until: usize| {
        let edges = cuts
            .iter()
            .map(|c| Some(c.edge[..c.edge.len().min(until)].to_vec()));
        edges.fold(None, |a, b| nearer(plan, a, b))
    };
    let (Some(unique), Some(at)) = (&plan.unique, plan.first_combined()) else {
        return nearest(plan.sort.len());
    };
    let by = plan.sort[at];
    let Role::Combined(place) = unique.roles[by.column] else {
        return Some(Vec::new());
    };
    let combine = &unique.combine[place];
    if at > 0 {
        return nearest(at);
    }
    Some(match combine.by {
        By::Lowest | By::Highest => return nearest(1),
        By::Sum | By::Count if by.down => {
            let all = cuts.iter().try_fold(0_i128, |sum, c| {
                sum.checked_add(most_added(plan, combine, c)?)
            });
            all.map(Value::Int).into_iter().collect()
        }
        By::Sum | By::Count if combine.floor => vec![Value::Int(0)],
        By::Sum | By::Count => Vec::new(),
    })
}
