//! One budget for all bytes that the router holds for others: what came and is not whole, what waits for its answer, what
//! has not been read yet. Shares are booked as they grow and given back when they are dropped.

use std::cell::Cell;
use std::ops::Deref;
use std::rc::Rc;

/// What a buffer may hold though the budget is spent: else a hoarder of memory would lock out everyone.
const SMALL: usize = 4 * 1024;
/// A buffer that has grown beyond this is given back once it is empty.
const KEPT: usize = 1024;

struct Account {
    limit: usize,
    reserved: Cell<usize>,
}

/// A budget of bytes.
#[derive(Clone)]
pub struct Budget(Rc<Account>);

/// Bytes taken out of a budget for as long as this is kept.
pub struct Reservation {
    account: Rc<Account>,
    bytes: usize,
}

/// Bytes that are booked to a budget.
pub struct Buffer {
    bytes: Vec<u8>,
    share: Reservation,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(limit: usize) -> Self {
        Budget(Rc::new(Account {
            limit,
            reserved: Cell::new(0),
        }))
    }

    /// Takes a share, if anything is left.
    pub fn reserve(&self, bytes: usize) -> Option<Reservation> {
        (self.0.reserved.get() < self.0.limit).then(|| {
            let mut share = Reservation {
                account: Rc::clone(&self.0),
                bytes: 0,
            };
            share.set(bytes);
            share
        })
    }

    /// An empty buffer.
    pub fn buffer(&self) -> Buffer {
        Buffer {
            bytes: Vec::new(),
            share: Reservation {
                account: Rc::clone(&self.0),
                bytes: 0,
            },
        }
    }
}

impl Reservation {
    fn set(&mut self, bytes: usize) {
        let reserved = self.account.reserved.get() + bytes - self.bytes;
        self.account.reserved.set(reserved);
        self.bytes = bytes;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl Buffer {
    /// Changes what it holds.
    pub fn write<T>(&mut self, change: impl FnOnce(&mut Vec<u8>) -> T) -> T {
        let result = change(&mut self.bytes);
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = Vec::new();
        }
        self.share.set(self.bytes.capacity());
        result
    }

    /// Whether it may not grow: it is no small one, and the budget is spent.
    pub fn is_over_budget(&self) -> bool {
        self.bytes.len() >= SMALL && self.share.account.reserved.get() >= self.share.account.limit
    }

    /// Whether no more than half of the budget is spent. Danger: what is held ahead would leave nothing for others.
    pub fn has_ample_room(&self) -> bool {
        self.share.account.reserved.get() <= self.share.account.limit / 2
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
