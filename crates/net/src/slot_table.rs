//! A table with generational ids: the id of a removed entry does not resolve, even after its slot is reused.

use std::marker::PhantomData;

/// A table id. Its raw value holds the slot index in the low 32 bits and the generation of the entry above them.
pub trait SlotId: Copy {
    /// Creates an id from its raw value.
    fn from_raw(raw: u64) -> Self;
    /// Returns the raw value.
    fn raw(self) -> u64;
}

/// Entries by generational id.
pub struct SlotTable<I, T> {
    slots: Vec<(u32, Option<T>)>,
    free_slots: Vec<u32>,
    id: PhantomData<I>,
}

impl<I: SlotId, T> Default for SlotTable<I, T> {
    fn default() -> Self {
        SlotTable {
            slots: Vec::new(),
            free_slots: Vec::new(),
            id: PhantomData,
        }
    }
}

fn split_raw_id(raw: u64) -> (usize, u32) {
    ((raw & u64::from(u32::MAX)) as usize, (raw >> 32) as u32)
}

impl<I: SlotId, T> SlotTable<I, T> {
    /// Allocates an id, inserts the entry that `make` returns for it, and returns the id.
    pub fn insert(&mut self, make: impl FnOnce(I) -> T) -> I {
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.slots.push((0, None));
            self.slots.len() as u32 - 1
        });
        let slot = &mut self.slots[index as usize];
        // Generations wrap at 30 bits, which keeps raw ids below the keys that the poller reserves.
        slot.0 = (slot.0 + 1) & 0x3fff_ffff;
        let id = I::from_raw(u64::from(slot.0) << 32 | u64::from(index));
        slot.1 = Some(make(id));
        id
    }

    /// Returns the entry with this id.
    pub fn get(&self, id: I) -> Option<&T> {
        let (index, generation) = split_raw_id(id.raw());
        self.slots
            .get(index)
            .filter(|slot| slot.0 == generation)?
            .1
            .as_ref()
    }

    /// Returns a mutable reference to the entry with this id.
    pub fn get_mut(&mut self, id: I) -> Option<&mut T> {
        let (index, generation) = split_raw_id(id.raw());
        self.slots
            .get_mut(index)
            .filter(|slot| slot.0 == generation)?
            .1
            .as_mut()
    }

    /// Removes and returns the entry with this id.
    pub fn remove(&mut self, id: I) -> Option<T> {
        let (index, generation) = split_raw_id(id.raw());
        let removed = self
            .slots
            .get_mut(index)
            .filter(|slot| slot.0 == generation)?
            .1
            .take();
        if removed.is_some() {
            self.free_slots.push(index as u32);
        }
        removed
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free_slots.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Iterates over all entries in slot order.
    pub fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.slots
            .iter()
            .enumerate()
            .filter_map(|(index, (generation, entry))| {
                entry.as_ref().map(|entry| {
                    (
                        I::from_raw(u64::from(*generation) << 32 | index as u64),
                        entry,
                    )
                })
            })
    }
}
