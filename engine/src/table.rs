//! Tables of slots whose keys stay distinct when a slot is reused.

use slab::Slab;

/// Number of the lowest bits of a key that hold the slot. The bits above them hold the serial number.
const SLOT_BITS: u32 = 20;

/// Identifies one entry of a table by its slot and a serial number. The serial number distinguishes it from later
/// entries in the same slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

impl Key {
    /// Returns the key as a plain number under 2^52.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Returns the key with this number.
    pub fn from_number(number: u64) -> Self {
        Key(number)
    }

    fn slot(self) -> usize {
        (self.0 & ((1 << SLOT_BITS) - 1)) as usize
    }
}

/// A table of entries under unique keys.
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
    /// Creates an empty table.
    pub fn new() -> Self {
        Table::default()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Adds an entry, which `make` creates for its key. Adds nothing if `make` fails.
    pub fn insert_with<E>(&mut self, make: impl FnOnce(Key) -> Result<T, E>) -> Result<Key, E> {
        self.serial = self.serial.wrapping_add(1);
        let vacant = self.slots.vacant_entry();
        let key = Key(u64::from(self.serial) << SLOT_BITS | vacant.key() as u64);
        vacant.insert((key, make(key)?));
        Ok(key)
    }

    /// Returns the entry with this key, if it exists.
    pub fn get(&self, key: Key) -> Option<&T> {
        self.slots
            .get(key.slot())
            .filter(|(k, _)| *k == key)
            .map(|(_, entry)| entry)
    }

    /// Returns the entry with this key for modification, if it exists.
    pub fn get_mut(&mut self, key: Key) -> Option<&mut T> {
        self.slots
            .get_mut(key.slot())
            .filter(|(k, _)| *k == key)
            .map(|(_, entry)| entry)
    }

    /// Removes and returns the entry with this key.
    pub fn remove(&mut self, key: Key) -> Option<T> {
        self.get(key)?;
        Some(self.slots.remove(key.slot()).1)
    }

    /// Returns whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Returns all entries with their keys.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &T)> {
        self.slots.iter().map(|(_, (key, entry))| (*key, entry))
    }
}

#[cfg(test)]
mod tests;
