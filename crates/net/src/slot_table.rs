//! Tables of entries under generational ids: an id is never reused, so what refers to a removed entry finds nothing.

use std::marker::PhantomData;

/// An id of a table: the index of a slot and the generation of its entry.
pub trait SlotId: Copy {
    /// The id with this number.
    fn from_raw(raw: u64) -> Self;
    /// Its number.
    fn raw(self) -> u64;
}

/// Entries by id.
pub struct SlotTable<I, T> {
    rows: Vec<(u32, Option<T>)>,
    free: Vec<u32>,
    id: PhantomData<I>,
}

impl<I: SlotId, T> Default for SlotTable<I, T> {
    fn default() -> Self {
        SlotTable {
            rows: Vec::new(),
            free: Vec::new(),
            id: PhantomData,
        }
    }
}

fn parts(raw: u64) -> (usize, u32) {
    ((raw & u64::from(u32::MAX)) as usize, (raw >> 32) as u32)
}

impl<I: SlotId, T> SlotTable<I, T> {
    /// Inserts the entry that is made for the new id.
    pub fn insert(&mut self, make: impl FnOnce(I) -> T) -> I {
        let index = self.free.pop().unwrap_or_else(|| {
            self.rows.push((0, None));
            self.rows.len() as u32 - 1
        });
        let row = &mut self.rows[index as usize];
        // Raw numbers stay below those that the poller reserves.
        row.0 = (row.0 + 1) & 0x3fff_ffff;
        let id = I::from_raw(u64::from(row.0) << 32 | u64::from(index));
        row.1 = Some(make(id));
        id
    }

    /// The entry of an id.
    pub fn get(&self, id: I) -> Option<&T> {
        let (index, generation) = parts(id.raw());
        self.rows
            .get(index)
            .filter(|row| row.0 == generation)?
            .1
            .as_ref()
    }

    /// The entry of an id, for changes.
    pub fn get_mut(&mut self, id: I) -> Option<&mut T> {
        let (index, generation) = parts(id.raw());
        self.rows
            .get_mut(index)
            .filter(|row| row.0 == generation)?
            .1
            .as_mut()
    }

    /// Removes the entry of an id.
    pub fn remove(&mut self, id: I) -> Option<T> {
        let (index, generation) = parts(id.raw());
        let gone = self
            .rows
            .get_mut(index)
            .filter(|row| row.0 == generation)?
            .1
            .take();
        if gone.is_some() {
            self.free.push(index as u32);
        }
        gone
    }

    /// How many entries there are.
    pub fn len(&self) -> usize {
        self.rows.len() - self.free.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All entries, in the order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (I, &T)> {
        self.rows
            .iter()
            .enumerate()
            .filter_map(|(index, (generation, entry))| {
                entry
                    .as_ref()
                    .map(|t| (I::from_raw(u64::from(*generation) << 32 | index as u64), t))
            })
    }
}
