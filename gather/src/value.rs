//! Values of a row: a few types with one total order.

use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::fmt;

/// Largest magnitude of an integer that a source may send. 2^27 such integers can be added before 128 bits overflow.
pub const MAX_INT_MAGNITUDE: i128 = 1 << 100;

/// A floating-point number that is never NaN and never negative zero, so that all such numbers have a total order.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct Real(f64);

impl Real {
    /// Converts a number; returns `None` for NaN.
    pub fn new(number: f64) -> Option<Real> {
        // Adding zero turns -0 into 0.
        (!number.is_nan()).then_some(Real(number + 0.0))
    }

    /// Returns the number.
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
    /// No value.
    Absent,
    /// A boolean.
    Bool(bool),
    /// An integer of a magnitude up to [`MAX_INT_MAGNITUDE`]. It is wider than sources need, so that sums of sums fit.
    Int(i128),
    /// A floating-point number. Such numbers are compared but never added: their sum would depend on the order of
    /// arrival.
    Real(Real),
    /// Text, ordered by its bytes.
    Text(Box<str>),
    /// Bytes.
    Bytes(Box<[u8]>),
}

impl Eq for Value {}

impl Value {
    /// Makes a text value.
    pub fn text(text: &str) -> Value {
        Value::Text(text.into())
    }

    /// Returns the integer, or `None` for a value of another type.
    pub fn int(&self) -> Option<i128> {
        if let Value::Int(int) = self {
            Some(*int)
        } else {
            None
        }
    }

    /// Returns the rank of the type in the order of values: absent, booleans, numbers, text, bytes.
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
    fn from(int: i64) -> Value {
        Value::Int(int.into())
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
            (Value::Int(a), Value::Real(b)) => cmp_int_real(*a, b.0),
            (Value::Real(a), Value::Int(b)) => cmp_int_real(*b, a.0).reverse(),
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

/// Compares an integer with a floating-point number exactly. A conversion of the integer to 53 bits would make
/// different integers equal to the same number, and the order would not be transitive. Of equal numbers the integer
/// sorts first.
fn cmp_int_real(int: i128, real: f64) -> Ordering {
    // No integer of a row reaches 2^126, and below it the integral part of the number fits in 128 bits.
    const REAL_LIMIT: f64 = (1_u128 << 126) as f64;
    if real >= REAL_LIMIT {
        return Ordering::Less;
    }
    if real <= -REAL_LIMIT {
        return Ordering::Greater;
    }
    let integral = real.floor();
    int.cmp(&(integral as i128)).then(Ordering::Less)
}

impl fmt::Display for Value {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Absent => formatter.write_str("-"),
            Value::Bool(value) => write!(formatter, "{value}"),
            Value::Int(int) => write!(formatter, "{int}"),
            Value::Real(real) => write!(formatter, "{}", real.0),
            Value::Text(text) => formatter.write_str(text),
            Value::Bytes(bytes) => bytes.iter().try_for_each(|b| write!(formatter, "{b:02x}")),
        }
    }
}

#[cfg(test)]
mod tests;
