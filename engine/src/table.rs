//! Tables of numbered slots whose numbers are not mistaken for one another when a slot is used again.

use slab::Slab;

const SLOT_BITS: u32 = 20;

/// Names one entry of a table: its slot, and a serial number against mistaking it for the slot's next tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

impl Key {
    /// The key as a plain number under 2^52.
    pub fn number(self) -> u64 {
        self.0
    }

    /// The key that gave this number.
    pub fn from_number(number: u64) -> Self {
        Key(number)
    }

    fn slot(self) -> usize {
        (self.0 & ((1 << SLOT_BITS) - 1)) as usize
    }
}

/// A table of numbered slots.
pub struct Table<T> {
    slots: Slab<(Key, T)>,
    serial: u32,
}

impl<T> Default for Table<T> {
    fn default() -> Self {
        Table {
            slots: Slab::new(),
            serial: 0,
        }
    }
}

impl<T> Table<T> {
    /// An empty table.
    pub fn new() -> Self {
        Table::default()
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Adds the entry made for its key.
    pub fn insert_with<E>(&mut self, make: impl FnOnce(Key) -> Result<T, E>) -> Result<Key, E> {
        self.serial = self.serial.wrapping_add(1);
        let vacant = self.slots.vacant_entry();
        let key = Key(u64::from(self.serial) << SLOT_BITS | vacant.key() as u64);
        vacant.insert((key, make(key)?));
        Ok(key)
    }

    /// The entry, while it is there.
    pub fn get(&self, key: Key) -> Option<&T> {
        self.slots
            .get(key.slot())
            .filter(|(k, _)| *k == key)
            .map(|(_, entry)| entry)
    }

    /// The entry, to be changed.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots
            .get_mut(key.slot())
            .filter(|(k, _)| *k == key)
            .map(|(_, entry)| entry)
    }

    /// Takes the entry out.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        self.get(key)?;
        Some(self.slots.remove(key.slot()).1)
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.slots.iter().map(|(_, (key, entry))| (*key, entry))
    }
}

#[cfg(test)]
mod tests;
