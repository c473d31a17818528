//! What stands in a row: a few kinds of values with one total order.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// Integers lie within this on both sides. 2^27 of them can be added before 128 bits are full.
pub const INT_MOST: i128 = 1 << 100;

/// A number with a fraction. It is never "not a number", and zero has one sign, so that all of them can be ordered.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Real(f64);

impl Real {
    /// This number; none where it is none.
    pub fn new(number: f64) -> Option<Real> {
        // Adding zero makes -0 into 0.
        (!number.is_nan()).then_some(Real(number + 0.0))
    }

    /// The number.
    pub fn get(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Real {
    type Error = &'static str;

    fn try_from(number: f64) -> Result<Self, &'static str> {
        Real::new(number).ok_or("not a number")
    }
}

impl From<Real> for f64 {
    fn from(real: Real) -> f64 {
        real.0
    }
}

/// One value of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// There is none.
    Absent,
    /// Yes or no.
    Bool(bool),
    /// An integer, at most [`INT_MOST`] on either side of zero. It is wider than sources need, so that sums of sums fit.
    Int(i128),
    /// A number with a fraction. Such numbers are compared, never added: their sum would depend on the order of arrival.
    Real(Real),
    /// Text, ordered by its bytes.
    Text(Box<str>),
    /// Bytes.
    Bytes(Box<[u8]>),
}

impl Eq for Value {}

impl Value {
    /// Text.
    pub fn text(text: &str) -> Value {
        Value::Text(text.into())
    }

    /// The integer, if it is one.
    pub fn int(&self) -> Option<i128> {
        if let Value::Int(n) = self {
            Some(*n)
        } else {
            None
        }
    }

    /// Absent first, then no and yes, numbers, text, bytes.
    fn rank(&self) -> u8 {
        match self {
            Value::Absent => 0,
            Value::Bool(_) => 1,
            Value::Int(_) | Value::Real(_) => 2,
            Value::Text(_) => 3,
            Value::Bytes(_) => 4,
        }
    }
}

impl From<i64> for Value {
    fn from(n: i64) -> Value {
        Value::Int(n.into())
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::text(text)
    }
}

impl Ord for Value {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Value::Bool(a), Value::Bool(b)) => a.cmp(b),
            (Value::Int(a), Value::Int(b)) => a.cmp(b),
            (Value::Real(a), Value::Real(b)) => a.0.total_cmp(&b.0),
            (Value::Int(a), Value::Real(b)) => against(*a, b.0),
            (Value::Real(a), Value::Int(b)) => against(*b, a.0).reverse(),
            (Value::Text(a), Value::Text(b)) => a.cmp(b),
            (Value::Bytes(a), Value::Bytes(b)) => a.cmp(b),
            _ => self.rank().cmp(&other.rank()),
        }
    }
}

impl PartialOrd for Value {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// An integer against a number with a fraction, exactly: a conversion to 53 bits would call different integers equal to the
/// same number, and the order would have circles. Of equal ones the integer is first.
fn against(int: i128, real: f64) -> Ordering {
    // Beyond 2^126 no integer of ours lies, and below it the whole part fits in 128 bits.
    const EDGE: f64 = (1_u128 << 126) as f64;
    if real >= EDGE {
        return Ordering::Less;
    }
    if real <= -EDGE {
        return Ordering::Greater;
    }
    let whole = real.floor();
    int.cmp(&(whole as i128)).then(Ordering::Less)
}

impl fmt::Display for Value {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Absent => to.write_str("-"),
            Value::Bool(yes) => write!(to, "{yes}"),
            Value::Int(n) => write!(to, "{n}"),
            Value::Real(real) => write!(to, "{}", real.0),
            Value::Text(text) => to.write_str(text),
            Value::Bytes(bytes) => bytes.iter().try_for_each(|b| write!(to, "{b:02x}")),
        }
    }
}

#[cfg(test)]
mod tests;
