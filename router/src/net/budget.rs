//! A shared budget for all bytes that the router buffers: incomplete messages, statements that wait for a reply, and
//! output that the other side has not read yet. A buffer reserves bytes as it grows and releases them when it is dropped.

use std::cell::Cell;
use std::ops::Deref;
use std::rc::Rc;

/// A buffer below this size may grow although the budget is spent. Otherwise one connection that uses up the memory would
/// block all others.
pub const MIN_BUFFER_BYTES: usize = 4 * 1024;
/// An empty buffer whose capacity exceeds this is deallocated.
const MAX_RETAINED_BYTES: usize = 1024;

struct Account {
    limit: usize,
    reserved: Cell<usize>,
}

impl Account {
    fn is_spent(&self) -> bool {
        self.reserved.get() >= self.limit
    }

    fn has_little_room(&self) -> bool {
        self.reserved.get() > self.limit / 4 * 3
    }
}

/// A budget of bytes. Clones share it.
#[derive(Clone)]
pub struct Budget(Rc<Account>);

/// Bytes reserved in a budget until this value is dropped.
pub struct Reservation {
    account: Rc<Account>,
    bytes: usize,
}

/// A byte buffer whose capacity is reserved in a budget.
pub struct Buffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl Budget {
    /// Creates a budget of `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Budget(Rc::new(Account {
            limit,
            reserved: Cell::new(0),
        }))
    }

    /// Returns the number of bytes of the whole budget.
    pub fn limit(&self) -> usize {
        self.0.limit
    }

    /// Returns whether less than a quarter of the budget is left. That quarter is for complete requests and for replies:
    /// neither incomplete messages nor clients that do not read their answers may use it.
    pub fn has_little_room(&self) -> bool {
        self.0.has_little_room()
    }

    /// Reserves bytes. Returns `None` if the budget is spent. The last reservation may exceed the limit.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        (!self.0.is_spent()).then(|| {
            let mut reservation = Reservation {
                account: Rc::clone(&self.0),
                bytes: 0,
            };
            reservation.resize(bytes);
            reservation
        })
    }

    /// Creates an empty buffer.
    pub fn buffer(&self) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            reservation: Reservation {
                account: Rc::clone(&self.0),
                bytes: 0,
            },
        }
    }
}

impl Reservation {
    fn resize(&mut self, bytes: usize) {
        let reserved = self.account.reserved.get() + bytes - self.bytes;
        self.account.reserved.set(reserved);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.resize(0);
    }
}

impl Buffer {
    /// Changes the content and adjusts the reservation to the new capacity.
    pub fn write<T>(&mut self, change: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let result = change(&mut self.bytes);
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_RETAINED_BYTES {
            self.bytes = Vec::new();
        }
        self.reservation.resize(self.bytes.capacity());
        result
    }

    /// Returns whether the buffer must not grow: it has reached `MIN_BUFFER_BYTES` and the budget is spent.
    pub fn is_over_budget(&self) -> bool {
        self.bytes.len() >= MIN_BUFFER_BYTES && self.reservation.account.is_spent()
    }

    /// Returns whether less than a quarter of the budget is left.
    pub fn has_little_room(&self) -> bool {
        self.reservation.account.has_little_room()
    }

    /// Returns whether at most half of the budget is spent. Only then may data be read ahead; otherwise data that is not
    /// needed yet could use up the memory that other connections need now.
    pub fn has_ample_room(&self) -> bool {
        self.reservation.account.reserved.get() <= self.reservation.account.limit / 2
    }
}

impl Deref for Buffer {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
