//! A budget of bytes, of which shares are taken and given back when they are dropped.

use std::cell::Cell;
use std::rc::Rc;

/// What is left of a budget.
pub struct Budget(Rc<Cell<usize>>);

/// Bytes taken out of a budget for as long as this is kept.
pub struct Share {
    left: Rc<Cell<usize>>,
    bytes: usize,
}

impl Budget {
    /// A budget of so many bytes.
    pub fn new(bytes: usize) -> Self {
        Budget(Rc::new(Cell::new(bytes)))
    }

    /// Takes a share, if there is as much left.
    pub fn take(&self, bytes: usize) -> Option<Share> {
        self.0.set(self.0.get().checked_sub(bytes)?);
        Some(Share { left: Rc::clone(&self.0), bytes })
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.bytes);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_share_comes_back_when_it_is_dropped() {
        // Danger: pipelines full of large statements would otherwise grow until the router is killed for memory.
        let budget = Budget::new(10);
        let most = budget.take(8).expect("there is room");
        assert!(budget.take(3).is_none() && budget.take(2).is_some());
        drop(most);
        assert!(budget.take(10).is_some());
    }
}
